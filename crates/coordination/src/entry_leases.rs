//! Leases of entries, as the control leader tracks them.
//!
//! An entry that owns connections to a primary runs statements there while its lease is valid and
//! its view names that primary; the other entries forward to it. So a change of the primary is
//! certain to have taken effect once every entry that may own connections to the former primary has
//! applied the change, or its lease has expired. An entry that stops keeps its lease until it
//! expires.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use auburnlug_state::{Millis, Name, Term};

/// Length of a lease from the sending of its request, in milliseconds. A promotion waits this long
/// for a connection owner that cannot be reached and must, including failure detection, finish
/// within 6 s. A partitioned entry continues to serve for this long.
pub const ENTRY_LEASE_MS: Millis = 4_500;

/// Time that the leader adds to the lease of an entry for the drift between the two clocks.
const ENTRY_LEASE_DRIFT_MS: Millis = 100;

/// Leases granted by a control leader.
#[derive(Debug)]
pub struct EntryLeases {
    /// End of all leases that earlier leaders granted.
    earlier_end: Millis,
    /// Entries that may hold a lease of an earlier leader.
    earlier_holders: BTreeSet<Name>,
    entries: BTreeMap<Name, Lease>,
    /// Latest connection owners of each server, with the number of the update that assigned them.
    placed: Option<(ConnectionOwners, u64)>,
}

/// Connection owners of each server.
pub type ConnectionOwners = BTreeMap<Arc<str>, BTreeSet<Name>>;

#[derive(Debug)]
struct Lease {
    until: Millis,
    /// Last update of this leader that the entry has applied.
    applied: u64,
    /// Servers to which the entry may own connections, each with the update that ends this. `None`
    /// until the entry has reported them to this leader.
    servers: Option<BTreeMap<Arc<str>, u64>>,
}

/// Stands for no update: the entry owns connections to the server until further notice.
const NO_UPDATE: u64 = u64::MAX;

/// Number of the last update from the leader of `term` that an entry has applied.
///
/// `reported` is the term and the number of the last update that the entry reports. The number is
/// capped by `sent`, the last update sent on the entry's link. Updates of other leaders don't
/// count, even with a higher number.
pub fn applied_update(term: Term, reported: (Term, u64), sent: u64) -> u64 {
    if reported.0 == term { reported.1.min(sent) } else { 0 }
}

impl EntryLeases {
    /// Starts with the leader elected at `now`, while `earlier_holders` may have leases of earlier
    /// leaders.
    pub fn new(now: Millis, earlier_holders: BTreeSet<Name>) -> EntryLeases {
        let earlier_end = now + ENTRY_LEASE_MS + ENTRY_LEASE_DRIFT_MS;
        EntryLeases { earlier_end, earlier_holders, entries: BTreeMap::new(), placed: None }
    }

    /// Grants a lease to an entry that has applied the update `applied_update`.
    pub fn renew(&mut self, entry: &Name, applied: u64, now: Millis) {
        let until = now + ENTRY_LEASE_MS + ENTRY_LEASE_DRIFT_MS;
        self.earlier_holders.remove(entry);
        let previous = self.entries.remove(entry.as_str());
        let mut servers = previous.and_then(|previous| previous.servers);
        if let Some(servers) = &mut servers {
            servers.retain(|_, end_update| applied < *end_update);
        }
        self.entries.insert(entry.clone(), Lease { until, applied, servers });
    }

    /// Records the servers to which an entry owns connections by its view, which includes an update
    /// of this leader.
    pub fn report_servers(&mut self, entry: &Name, held: impl IntoIterator<Item = Arc<str>>) {
        let Some(lease) = self.entries.get_mut(entry.as_str()) else { return };
        let mut servers = BTreeMap::new();
        for server in held {
            // Unless assigned to the entry below, the server has moved to others meanwhile: the
            // entry owns connections until it has applied that update.
            let end_update = self.placed.as_ref().map_or(NO_UPDATE, |(_, index)| *index);
            servers.insert(server, end_update);
        }
        if let Some((placed, _)) = &self.placed {
            let assigned = placed.iter().filter(|(_, holders)| holders.contains(entry));
            servers.extend(assigned.map(|(server, _)| (server.clone(), NO_UPDATE)));
        }
        lease.servers = Some(servers);
    }

    /// Records the connection owners of all servers that the update `index` assigns.
    pub fn assign_servers(&mut self, placed: ConnectionOwners, index: u64) {
        for (name, lease) in &mut self.entries {
            let Some(servers) = &mut lease.servers else { continue };
            for (server, end_update) in servers.iter_mut() {
                let holds = placed.get(server).is_some_and(|holders| holders.contains(name));
                if !holds && *end_update == NO_UPDATE {
                    *end_update = index;
                }
            }
            let assigned = placed.iter().filter(|(_, holders)| holders.contains(name));
            servers.extend(assigned.map(|(server, _)| (server.clone(), NO_UPDATE)));
        }
        self.placed = Some((placed, index));
    }

    /// Discards which updates an entry has applied. Its lease remains valid.
    pub fn reset_applied(&mut self, entry: &Name) {
        if let Some(lease) = self.entries.get_mut(entry) {
            lease.applied = 0;
        }
    }

    /// Removes leases that have expired.
    pub fn remove_expired(&mut self, now: Millis) {
        self.entries.retain(|_, lease| now < lease.until);
    }

    /// Whether every entry has applied an update or holds no lease.
    pub fn is_applied(&self, index: u64, now: Millis) -> bool {
        let has_applied = |lease: &Lease| lease.applied_or_expired(index, now);
        self.earlier_expired(now) && self.entries.values().all(has_applied)
    }

    /// Whether an entry has applied an update or holds no lease.
    pub fn has_applied(&self, entry: &Name, index: u64, now: Millis) -> bool {
        let earlier = now < self.earlier_end && self.earlier_holders.contains(entry);
        let lease = self.entries.get(entry.as_str());
        !earlier && lease.is_none_or(|lease| lease.applied_or_expired(index, now))
    }

    /// Whether no entry uses a server as the primary any more, after the update `index` has named
    /// another primary or none.
    pub fn is_released(&self, server: &str, index: u64, now: Millis) -> bool {
        let released = |lease: &Lease| {
            let holds = lease.servers.as_ref().is_none_or(|held| held.contains_key(server));
            lease.applied_or_expired(index, now) || !holds
        };
        self.earlier_expired(now) && self.entries.values().all(released)
    }

    fn earlier_expired(&self, now: Millis) -> bool {
        now >= self.earlier_end || self.earlier_holders.is_empty()
    }
}

impl Lease {
    fn applied_or_expired(&self, index: u64, now: Millis) -> bool {
        self.applied >= index || now >= self.until
    }
}
