//! Configurations on links between control members and entries.
//!
//! A part holds what changes the configuration that the receiver has. It is encoded once for all
//! receivers that have the same one, and compressed: entries may have links of 2 Mbit/s.

use std::{io::Read, sync::Arc};

use auburnlug_state::{fleet::Plan, plan_delta::PlanDelta};
use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};
use serde::{Deserialize, Serialize};

use crate::{Error, Result, decode};

/// Largest decoded part, in bytes: what is gone and what is new, each at most one document of the
/// operator interface (4 MiB).
const LARGEST: u64 = 8 << 20;

/// Changes of a configuration, encoded.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanPart {
    /// Version that the receiver needs; 0 if it needs none.
    #[serde(rename = "b")]
    pub base: u64,
    /// Version that it leads to.
    #[serde(rename = "v")]
    pub version: u64,
    /// Compressed CBOR form of a [`PlanDelta`].
    #[serde(rename = "d", with = "auburnlug_state::bytes")]
    data: Vec<u8>,
}

impl PlanPart {
    /// What turns `before` into `after`.
    ///
    /// # Errors
    ///
    /// [`crate::Category::Codec`] if the changes have no CBOR form.
    pub fn between(before: &Plan, after: &Plan) -> Result<PlanPart> {
        let delta = PlanDelta::between(before, after);
        let mut out = DeflateEncoder::new(Vec::new(), Compression::fast());
        ciborium::into_writer(&delta, &mut out).map_err(Error::codec)?;
        let data = out.finish().map_err(Error::codec)?;
        Ok(PlanPart { base: before.version, version: after.version, data })
    }

    /// The configuration that follows from `held`; `None` if the receiver needs another part.
    ///
    /// # Errors
    ///
    /// [`crate::Category::Codec`] if the part cannot be read.
    pub fn apply(&self, held: &Arc<Plan>) -> Result<Option<Arc<Plan>>> {
        if self.version <= held.version {
            // Versions are agreed on: the receiver has these changes already.
            return Ok(Some(held.clone()));
        }
        let empty = Arc::default();
        let before = if self.base == 0 { &empty } else { held };
        if before.version != self.base {
            return Ok(None);
        }
        let mut data = Vec::new();
        let mut input = DeflateDecoder::new(&self.data[..]).take(LARGEST + 1);
        input.read_to_end(&mut data).map_err(Error::codec)?;
        if data.len() as u64 > LARGEST {
            return Err(Error::codec("the configuration is too large"));
        }
        let delta: PlanDelta = decode(&data)?;
        Ok(delta.apply(before).map(Arc::new))
    }
}
