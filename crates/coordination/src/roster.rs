//! Entries that wait to be recorded in the agreed state.
//!
//! One change is under way at a time; all that come meanwhile are part of the next one, so that
//! hundreds of entries that start together need two changes.

use std::collections::BTreeMap;

use auburnlug_state::{Millis, Name};

/// Time after which a change that was not applied is proposed again, in milliseconds; far more than
/// an agreement takes.
const AGAIN: Millis = 1_000;

/// Entries that wait, each with its run and what to go on with.
#[derive(Debug)]
pub struct Roster<T> {
    waiting: BTreeMap<Name, (u64, T)>,
    proposed: Option<Millis>,
}

impl<T> Roster<T> {
    /// Without entries.
    pub fn new() -> Roster<T> {
        Roster { waiting: BTreeMap::new(), proposed: None }
    }

    /// Lets a run of an entry wait; what it waited with before is dropped.
    pub fn wait(&mut self, entry: Name, run: u64, next: T) {
        self.waiting.insert(entry, (run, next));
    }

    /// Whether a change may be proposed now.
    pub fn free(&self, now: Millis) -> bool {
        self.proposed.is_none_or(|at| now >= at + AGAIN)
    }

    /// Runs to record.
    pub fn runs(&self) -> BTreeMap<Name, u64> {
        self.waiting.iter().map(|(name, (run, _))| (name.clone(), *run)).collect()
    }

    /// Notes that a change was proposed.
    pub fn proposed(&mut self, now: Millis) {
        self.proposed = Some(now);
    }

    /// Notes that a change was applied; returns the entries that are recorded now.
    pub fn applied(&mut self, recorded: &BTreeMap<Name, u64>) -> Vec<(Name, T)> {
        self.proposed = None;
        let waiting = std::mem::take(&mut self.waiting);
        let mut ready = Vec::new();
        for (name, (run, next)) in waiting {
            if recorded.get(&name) == Some(&run) {
                ready.push((name, next));
            } else {
                self.waiting.insert(name, (run, next));
            }
        }
        ready
    }
}

impl<T> Default for Roster<T> {
    fn default() -> Roster<T> {
        Roster::new()
    }
}
