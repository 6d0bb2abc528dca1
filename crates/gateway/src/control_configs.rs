//! Recent fleet configurations, and the deltas between them that are sent to entries.

use std::{collections::BTreeMap, sync::Arc};

use auburnlug_protocol::config_delta::EncodedConfigDelta;
use auburnlug_state::{byte_size::ByteSize, fleet::FleetConfig, limits};
use auburnlug_transport::event::{Event, log};

/// Covers the configuration changes that may arrive while an update to an entry is in flight. Fewer
/// are kept if they are larger than [`limits::KEPT_BYTES`] together.
const MAX_KEPT_CONFIGS: usize = 16;

/// The most recent fleet configurations of a control member, by version.
#[derive(Debug)]
pub struct FleetConfigs {
    /// Configurations with their sizes.
    configs: BTreeMap<u64, (Arc<FleetConfig>, usize)>,
    /// Deltas to the newest configuration, by the version that they start from.
    deltas: BTreeMap<u64, Arc<EncodedConfigDelta>>,
}

impl FleetConfigs {
    /// Starts with the configuration in force.
    pub fn new(config: &Arc<FleetConfig>) -> FleetConfigs {
        FleetConfigs {
            configs: BTreeMap::from([(config.version, (config.clone(), config.byte_size()))]),
            deltas: BTreeMap::new(),
        }
    }

    /// Stores the configuration in force and drops the oldest beyond the bounds.
    pub fn store(&mut self, config: &Arc<FleetConfig>) {
        if self.configs.contains_key(&config.version) {
            return;
        }
        let size = config.byte_size();
        self.configs.insert(config.version, (config.clone(), size));
        self.deltas.clear();
        let sizes = self.configs.values().rev().map(|(_, size)| *size);
        let kept = limits::count_within(sizes, limits::KEPT_BYTES).min(MAX_KEPT_CONFIGS);
        while self.configs.len() > kept {
            self.configs.pop_first();
        }
    }

    /// Delta from version `base` to the newest configuration; the full configuration if `base` is
    /// not stored. `None` if `base` is the newest version, or if the delta cannot be encoded.
    pub fn delta_from(&mut self, base: u64) -> Option<Arc<EncodedConfigDelta>> {
        let (version, (newest, _)) = self.configs.last_key_value()?;
        if base >= *version {
            return None;
        }
        let empty = Arc::default();
        let before = self.configs.get(&base).map_or(&empty, |(config, _)| config);
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
