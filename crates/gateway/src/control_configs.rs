//! Recent fleet configurations, and the deltas between them that are sent to entries.

use std::{collections::BTreeMap, sync::Arc};

use auburnlug_protocol::config_delta::EncodedConfigDelta;
use auburnlug_state::fleet::FleetConfig;
use auburnlug_transport::event::{Event, log};

/// Covers the configuration changes that may arrive while an update to an entry is in flight.
const MAX_KEPT_CONFIGS: usize = 16;

/// The most recent fleet configurations of a control member, by version.
#[derive(Debug)]
pub(crate) struct FleetConfigs {
    configs: BTreeMap<u64, Arc<FleetConfig>>,
    /// Deltas to the newest configuration, by the version that they start from.
    deltas: BTreeMap<u64, Arc<EncodedConfigDelta>>,
}

impl FleetConfigs {
    /// Starts with the configuration in force.
    pub(crate) fn new(config: &Arc<FleetConfig>) -> FleetConfigs {
        FleetConfigs {
            configs: BTreeMap::from([(config.version, config.clone())]),
            deltas: BTreeMap::new(),
        }
    }

    /// Stores the configuration in force and drops the oldest beyond [`MAX_KEPT_CONFIGS`].
    pub(crate) fn store(&mut self, config: &Arc<FleetConfig>) {
        if self.configs.insert(config.version, config.clone()).is_none() {
            self.deltas.clear();
        }
        while self.configs.len() > MAX_KEPT_CONFIGS {
            self.configs.pop_first();
        }
    }

    /// Delta from version `base` to the newest configuration; the full configuration if `base` is
    /// not stored. `None` if `base` is the newest version, or if the delta cannot be encoded.
    pub(crate) fn delta_from(&mut self, base: u64) -> Option<Arc<EncodedConfigDelta>> {
        let (version, newest) = self.configs.last_key_value()?;
        if base >= *version {
            return None;
        }
        let empty = Arc::default();
        let before = self.configs.get(&base).unwrap_or(&empty);
        if let Some(delta) = self.deltas.get(&before.version) {
            return Some(delta.clone());
        }
        match EncodedConfigDelta::between(before, newest) {
            Ok(delta) => {
                let delta = Arc::new(delta);
                self.deltas.insert(delta.base, delta.clone());
                Some(delta)
            }
            Err(e) => {
                log(Event::ConfigApplied, format_args!("version={version} not encoded: {e}"));
                None
            }
        }
    }
}
