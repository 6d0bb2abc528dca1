//! Fleet configurations as control members send them to entries.
//!
//! Only the changes to the configuration that the receiver has are sent. They are encoded once for
//! all receivers with the same version, and compressed because entries may have links of only
//! 2 Mbit/s.

use std::sync::Arc;

use auburnlug_state::{fleet::FleetConfig, fleet_config_delta::FleetConfigDelta};
use serde::{Deserialize, Serialize};

use crate::{Result, packed::Packed};

/// Encoded changes between two versions of the fleet configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EncodedConfigDelta {
    /// Version that the receiver must have; 0 if it needs none.
    #[serde(rename = "b")]
    pub base: u64,
    /// Version that results.
    #[serde(rename = "v")]
    pub version: u64,
    /// An encoded [`FleetConfigDelta`].
    #[serde(rename = "d")]
    delta: Packed,
}

impl EncodedConfigDelta {
    /// Encodes the changes that turn `before` into `after`.
    ///
    /// # Errors
    ///
    /// [`crate::Category::Codec`] if the changes cannot be encoded as CBOR.
    pub fn between(before: &FleetConfig, after: &FleetConfig) -> Result<EncodedConfigDelta> {
        let delta = FleetConfigDelta::between(before, after);
        let delta = Packed::new(&delta)?;
        Ok(EncodedConfigDelta { base: before.version, version: after.version, delta })
    }

    /// Applies the changes to `current`; `None` if they are based on another version.
    ///
    /// # Errors
    ///
    /// [`crate::Category::Codec`] if the changes cannot be decoded.
    pub fn apply(&self, current: &Arc<FleetConfig>) -> Result<Option<Arc<FleetConfig>>> {
        if self.version <= current.version {
            // Versions are assigned by consensus, so the receiver has these changes already.
            return Ok(Some(current.clone()));
        }
        let empty = Arc::default();
        let before = if self.base == 0 { &empty } else { current };
        if before.version != self.base {
            return Ok(None);
        }
        let delta: FleetConfigDelta = self.delta.unpack()?;
        Ok(delta.apply(before).map(Arc::new))
    }
}
