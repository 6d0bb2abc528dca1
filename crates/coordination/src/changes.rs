//! Deltas of a keyed state, so that a follower is sent only what changed.
//!
//! The state of hundreds of servers and entries takes kilobytes, and each change is sent to each of
//! hundreds of followers.

use std::{collections::BTreeMap, sync::Arc};

use serde::{Deserialize, Serialize};

/// Removed keys that are retained; a follower that lags further behind is sent a snapshot.
const MAX_REMOVED_KEYS: usize = 512;

/// Values by key, each with the number of the update that last changed it.
#[derive(Debug)]
pub struct ChangeTracker<T> {
    values: BTreeMap<Arc<str>, T>,
    /// Number of the update that last changed or removed each key.
    changed_in: BTreeMap<Arc<str>, u64>,
    /// Update from which `changed_in` is complete; `None` until values are set.
    complete_from: Option<u64>,
}

/// Difference to the values of a follower.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes<T> {
    /// Whether this is a snapshot: the follower removes the keys that it does not list.
    #[serde(rename = "w")]
    pub snapshot: bool,
    /// New and changed values.
    #[serde(rename = "s")]
    pub set: BTreeMap<Arc<str>, T>,
    /// Removed keys.
    #[serde(rename = "g")]
    pub removed: Vec<Arc<str>>,
}

impl<T> Changes<T> {
    /// A snapshot with all values.
    pub fn from_all(set: BTreeMap<Arc<str>, T>) -> Changes<T> {
        Changes { snapshot: true, set, removed: Vec::new() }
    }

    /// Applies the changes to the follower's values.
    pub fn apply(self, values: &mut BTreeMap<Arc<str>, T>) {
        if self.snapshot {
            values.clear();
        }
        for key in &self.removed {
            values.remove(key);
        }
        values.extend(self.set);
    }
}

impl<T: Clone + PartialEq> ChangeTracker<T> {
    /// A state without values; followers are sent nothing until values are set.
    pub fn new() -> ChangeTracker<T> {
        ChangeTracker { values: BTreeMap::new(), changed_in: BTreeMap::new(), complete_from: None }
    }

    /// Current values.
    pub fn values(&self) -> &BTreeMap<Arc<str>, T> {
        &self.values
    }

    /// Whether values were ever set.
    pub fn is_set(&self) -> bool {
        self.complete_from.is_some()
    }

    /// Replaces all values as of the update `index`. Returns the keys whose values differ.
    pub fn replace(&mut self, values: BTreeMap<Arc<str>, T>, index: u64) -> Vec<Arc<str>> {
        let differs = |(key, value): &(&Arc<str>, &T)| self.values.get(*key) != Some(*value);
        let set = values.iter().filter(differs).map(|(key, _)| key.clone());
        let removed = self.values.keys().filter(|key| !values.contains_key(*key)).cloned();
        let changed: Vec<Arc<str>> = set.chain(removed).collect();
        self.changed_in.extend(changed.iter().map(|key| (key.clone(), index)));
        self.values = values;
        if self.complete_from.is_none()
            || self.changed_in.len() > self.values.len() + MAX_REMOVED_KEYS
        {
            self.changed_in.retain(|key, _| self.values.contains_key(key));
            self.complete_from = Some(index);
        }
        changed
    }

    /// Changes after the update `sent`, the last one sent to a follower; `None` if there are none.
    pub fn since(&self, sent: u64) -> Option<Changes<T>> {
        if sent < self.complete_from? {
            return Some(Changes::from_all(self.values.clone()));
        }
        let keys = self.changed_in.iter().filter(|(_, index)| **index > sent).map(|(key, _)| key);
        let mut changes = Changes { snapshot: false, set: BTreeMap::new(), removed: Vec::new() };
        for key in keys {
            match self.values.get(key) {
                Some(value) => drop(changes.set.insert(key.clone(), value.clone())),
                None => changes.removed.push(key.clone()),
            }
        }
        (!changes.set.is_empty() || !changes.removed.is_empty()).then_some(changes)
    }
}

impl<T: Clone + PartialEq> Default for ChangeTracker<T> {
    fn default() -> ChangeTracker<T> {
        ChangeTracker::new()
    }
}
