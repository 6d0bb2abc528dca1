//! Configurations on links between control members and entries.
//!
//! A part holds what changes the configuration that the receiver has. It is encoded once for all
//! receivers that have the same one, and compressed: entries may have links of 2 Mbit/s.

use std::sync::Arc;

use auburnlug_state::{fleet::Plan, plan_delta::PlanDelta};
use serde::{Deserialize, Serialize};

use crate::{Result, packed::Packed};

/// Changes of a configuration, encoded.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanPart {
    /// Version that the receiver needs; 0 if it needs none.
    #[serde(rename = "b")]
    pub base: u64,
    /// Version that it leads to.
    #[serde(rename = "v")]
    pub version: u64,
    /// A [`PlanDelta`].
    #[serde(rename = "d")]
    delta: Packed,
}

impl PlanPart {
    /// What turns `before` into `after`.
    ///
    /// # Errors
    ///
    /// [`crate::Category::Codec`] if the changes have no CBOR form.
    pub fn between(before: &Plan, after: &Plan) -> Result<PlanPart> {
        let delta = PlanDelta::between(before, after);
        let delta = Packed::new(&delta)?;
        Ok(PlanPart { base: before.version, version: after.version, delta })
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
        let delta: PlanDelta = self.delta.open()?;
        Ok(delta.apply(before).map(Arc::new))
    }
}
