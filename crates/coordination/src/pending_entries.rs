//! Entries that wait to be recorded in the replicated state.
//!
//! Only one change is in flight at a time. Entries that arrive meanwhile are batched into the next
//! one, so that hundreds of entries that start at the same time need only two changes.

use std::collections::BTreeMap;

use auburnlug_state::{Millis, Name};

/// Time after which a change that was not applied is proposed again. Far longer than consensus
/// takes.
const REPROPOSE_TIMEOUT_MS: Millis = 1_000;

/// Waiting entries, each with its incarnation and a value that is returned once it is recorded.
#[derive(Debug)]
pub struct PendingEntries<T> {
    waiting: BTreeMap<Name, (u64, T)>,
    /// Time of the proposal in flight.
    proposed: Option<Millis>,
}

impl<T> PendingEntries<T> {
    /// Creates an empty table.
    pub fn new() -> PendingEntries<T> {
        PendingEntries { waiting: BTreeMap::new(), proposed: None }
    }

    /// Adds an incarnation of an entry; replaces the one that waited before.
    pub fn wait(&mut self, entry: Name, incarnation: u64, value: T) {
        self.waiting.insert(entry, (incarnation, value));
    }

    /// Whether no entry waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Whether a change may be proposed now.
    pub fn can_propose(&self, now: Millis) -> bool {
        self.proposed.is_none_or(|at| now >= at + REPROPOSE_TIMEOUT_MS)
    }

    /// Incarnations to record.
    pub fn incarnations(&self) -> BTreeMap<Name, u64> {
        self.waiting.iter().map(|(name, (incarnation, _))| (name.clone(), *incarnation)).collect()
    }

    /// Records that a change was proposed.
    pub fn record_proposed(&mut self, now: Millis) {
        self.proposed = Some(now);
    }

    /// Records that a change was applied; returns the entries that are recorded now.
    pub fn take_recorded(&mut self, recorded: &BTreeMap<Name, u64>) -> Vec<(Name, T)> {
        self.proposed = None;
        let waiting = std::mem::take(&mut self.waiting);
        let mut ready = Vec::new();
        for (name, (incarnation, value)) in waiting {
            if recorded.get(&name) == Some(&incarnation) {
                ready.push((name, value));
            } else {
                self.waiting.insert(name, (incarnation, value));
            }
        }
        ready
    }
}

impl<T> Default for PendingEntries<T> {
    fn default() -> PendingEntries<T> {
        PendingEntries::new()
    }
}
