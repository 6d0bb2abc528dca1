//! Leases of entries, as the control leader counts them.
//!
//! An entry uses the primaries of its view as long as its lease runs. So a change of a primary
//! takes effect for sure only when each entry has put it in force, or its lease has ended; an entry
//! that stops uses its lease to the end.

use std::collections::{BTreeMap, BTreeSet};

use auburnlug_state::{Millis, Name};

/// Length of a lease from the sending of its request, in milliseconds. A promotion waits that long
/// for an entry that cannot be reached; an election and two lost requests fit into it.
pub const LEASE: Millis = 3_000;

/// What a lease is counted longer here than at its entry, in milliseconds: the drift of two clocks.
const DRIFT: Millis = 100;

/// Leases that a leader has given.
#[derive(Debug)]
pub struct Leases {
    /// End of all leases that earlier leaders have given.
    earlier: Millis,
    /// Entries that may hold such a lease.
    holders: BTreeSet<Name>,
    entries: BTreeMap<Name, Lease>,
}

#[derive(Debug)]
struct Lease {
    until: Millis,
    applied: u64,
}

impl Leases {
    /// Leases of a leader that took over at `now`, while `holders` may have leases of earlier ones.
    pub fn new(now: Millis, holders: BTreeSet<Name>) -> Leases {
        Leases { earlier: now + LEASE + DRIFT, holders, entries: BTreeMap::new() }
    }

    /// Gives a lease to an entry that has put the update `applied` in force.
    pub fn renew(&mut self, entry: &Name, applied: u64, now: Millis) {
        let until = now + LEASE + DRIFT;
        self.holders.remove(entry);
        self.entries.insert(entry.clone(), Lease { until, applied });
    }

    /// Forgets which updates an entry has put in force; its lease still runs.
    pub fn unlink(&mut self, entry: &Name) {
        if let Some(lease) = self.entries.get_mut(entry) {
            lease.applied = 0;
        }
    }

    /// Forgets leases that have ended.
    pub fn expire(&mut self, now: Millis) {
        self.entries.retain(|_, lease| now < lease.until);
    }

    /// Whether every entry has put an update in force, or holds no lease.
    pub fn in_force(&self, index: u64, now: Millis) -> bool {
        let done = |lease: &Lease| lease.applied >= index || now >= lease.until;
        (now >= self.earlier || self.holders.is_empty()) && self.entries.values().all(done)
    }
}
