//! Differences between two fleet configurations.

use std::{collections::BTreeMap, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::{
    Millis,
    fleet::{AccountConfig, Database, FleetConfig, GroupConfig},
};

/// Changes that turn one fleet configuration into another.
///
/// Most versions change only a few of thousands of databases.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FleetConfigDelta {
    /// Version that the changes apply to; 0 for the empty configuration.
    pub base: u64,
    /// Version that results.
    pub version: u64,
    #[serde(rename = "d")]
    databases: ValueChanges<Database>,
    #[serde(rename = "g")]
    groups: ValueChanges<GroupConfig>,
    #[serde(rename = "a")]
    accounts: ValueChanges<AccountConfig>,
    #[serde(rename = "i")]
    idle: Millis,
}

/// New values by name; `None` for removed ones.
type ValueChanges<T> = BTreeMap<Arc<str>, Option<T>>;

impl FleetConfigDelta {
    /// Computes the changes that turn `before` into `after`.
    pub fn between(before: &FleetConfig, after: &FleetConfig) -> FleetConfigDelta {
        FleetConfigDelta {
            base: before.version,
            version: after.version,
            databases: find_changes(&before.databases, &after.databases),
            groups: find_changes(&before.groups, &after.groups),
            accounts: find_changes(&before.accounts, &after.accounts),
            idle: after.idle,
        }
    }

    /// Returns the changed configuration; `None` if the version of `config` is not the base
    /// version.
    pub fn apply(&self, config: &FleetConfig) -> Option<FleetConfig> {
        if config.version != self.base {
            return None;
        }
        let mut config = config.clone();
        config.version = self.version;
        config.idle = self.idle;
        apply_changes(&mut config.databases, &self.databases);
        apply_changes(&mut config.groups, &self.groups);
        apply_changes(&mut config.accounts, &self.accounts);
        Some(config)
    }
}

fn find_changes<T: Clone + PartialEq>(
    before: &BTreeMap<Arc<str>, T>,
    after: &BTreeMap<Arc<str>, T>,
) -> ValueChanges<T> {
    let removed = before.keys().filter(|name| !after.contains_key(*name));
    let removed = removed.map(|name| (name.clone(), None));
    let changed = after.iter().filter(|(name, value)| before.get(*name) != Some(value));
    removed.chain(changed.map(|(name, value)| (name.clone(), Some(value.clone())))).collect()
}

fn apply_changes<T: Clone>(values: &mut BTreeMap<Arc<str>, T>, changes: &ValueChanges<T>) {
    for (name, change) in changes {
        match change {
            Some(value) => drop(values.insert(name.clone(), value.clone())),
            None => drop(values.remove(name)),
        }
    }
}
