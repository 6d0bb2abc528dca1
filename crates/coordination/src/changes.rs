//! Parts of a view that changed, so that a follower is sent only those.
//!
//! A view of hundreds of servers and entries takes kilobytes, and each of hundreds of followers is
//! told of each change.

use std::{collections::BTreeMap, sync::Arc};

use serde::{Deserialize, Serialize};

/// Removed keys that are kept; followers that lag behind more than these are sent everything.
const REMOVED: usize = 512;

/// Values by key, each with the update in which it changed last.
#[derive(Debug)]
pub struct Tracked<T> {
    values: BTreeMap<Arc<str>, T>,
    /// Update in which each key changed or was removed.
    marks: BTreeMap<Arc<str>, u64>,
    /// Update from which on the marks are complete; `None` while there are no values.
    complete: Option<u64>,
}

/// What differs from the values that a follower has.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes<T> {
    /// Whether the follower forgets what is not named.
    #[serde(rename = "w")]
    pub whole: bool,
    /// New and changed values.
    #[serde(rename = "s")]
    pub set: BTreeMap<Arc<str>, T>,
    /// Removed keys.
    #[serde(rename = "g")]
    pub gone: Vec<Arc<str>>,
}

impl<T> Changes<T> {
    /// All values.
    pub fn all(set: BTreeMap<Arc<str>, T>) -> Changes<T> {
        Changes { whole: true, set, gone: Vec::new() }
    }

    /// Puts the changes in force.
    pub fn apply(self, values: &mut BTreeMap<Arc<str>, T>) {
        if self.whole {
            values.clear();
        }
        for key in &self.gone {
            values.remove(key);
        }
        values.extend(self.set);
    }
}

impl<T: Clone + PartialEq> Tracked<T> {
    /// Without values; followers are sent nothing until there are some.
    pub fn new() -> Tracked<T> {
        Tracked { values: BTreeMap::new(), marks: BTreeMap::new(), complete: None }
    }

    /// Values in force.
    pub fn values(&self) -> &BTreeMap<Arc<str>, T> {
        &self.values
    }

    /// Whether values were ever set.
    pub fn known(&self) -> bool {
        self.complete.is_some()
    }

    /// Takes over values; what differs belongs to the update `index`. Returns the keys that differ.
    pub fn replace(&mut self, values: BTreeMap<Arc<str>, T>, index: u64) -> Vec<Arc<str>> {
        let differs = |(key, value): &(&Arc<str>, &T)| self.values.get(*key) != Some(*value);
        let set = values.iter().filter(differs).map(|(key, _)| key.clone());
        let gone = self.values.keys().filter(|key| !values.contains_key(*key)).cloned();
        let changed: Vec<Arc<str>> = set.chain(gone).collect();
        self.marks.extend(changed.iter().map(|key| (key.clone(), index)));
        self.values = values;
        if self.complete.is_none() || self.marks.len() > self.values.len() + REMOVED {
            self.marks.retain(|key, _| self.values.contains_key(key));
            self.complete = Some(index);
        }
        changed
    }

    /// What changed after the update `sent`, the last one that a follower was sent.
    pub fn since(&self, sent: u64) -> Option<Changes<T>> {
        if sent < self.complete? {
            return Some(Changes::all(self.values.clone()));
        }
        let keys = self.marks.iter().filter(|(_, index)| **index > sent).map(|(key, _)| key);
        let mut changes = Changes { whole: false, set: BTreeMap::new(), gone: Vec::new() };
        for key in keys {
            match self.values.get(key) {
                Some(value) => drop(changes.set.insert(key.clone(), value.clone())),
                None => changes.gone.push(key.clone()),
            }
        }
        (!changes.set.is_empty() || !changes.gone.is_empty()).then_some(changes)
    }
}

impl<T: Clone + PartialEq> Default for Tracked<T> {
    fn default() -> Tracked<T> {
        Tracked::new()
    }
}
