//! Leases of entries, as the control leader counts them.
//!
//! An entry that holds connections to a primary runs statements there as long as its lease runs and
//! its view names that primary; the others forward to it. So a change of a primary takes effect for
//! sure when each entry that may hold the former one has put the change in force, or its lease has
//! ended. An entry that stops uses its lease to the end.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use auburnlug_state::{Millis, Name, Term};

/// Length of a lease from the sending of its request, in milliseconds. A promotion waits that long
/// for a holder that cannot be reached, and is to be over within 6 s with its detection; an entry
/// that is cut off serves that long.
pub const LEASE: Millis = 4_500;

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
    /// Holders of each server as they were placed last, with the update that placed them.
    placed: Option<(Placed, u64)>,
}

/// Holders of each server.
pub type Placed = BTreeMap<Arc<str>, BTreeSet<Name>>;

#[derive(Debug)]
struct Lease {
    until: Millis,
    applied: u64,
    /// Servers that the entry may hold, each until it has applied an update; `None` while it has
    /// not told them under this leader.
    servers: Option<BTreeMap<Arc<str>, u64>>,
}

/// Mark of a server that an entry holds for the time being.
const HELD: u64 = u64::MAX;

/// Update of the leader of `term` that an entry has put in force, by what it tells: the term and
/// the number of its last update. What it was `sent` last on its link bounds the number; updates of
/// other leaders count for nothing, also if their numbers are higher.
pub fn applied(term: Term, told: (Term, u64), sent: u64) -> u64 {
    if told.0 == term { told.1.min(sent) } else { 0 }
}

impl Leases {
    /// Leases of a leader that took over at `now`, while `holders` may have leases of earlier ones.
    pub fn new(now: Millis, holders: BTreeSet<Name>) -> Leases {
        let earlier = now + LEASE + DRIFT;
        Leases { earlier, holders, entries: BTreeMap::new(), placed: None }
    }

    /// Gives a lease to an entry that has put the update `applied` in force.
    pub fn renew(&mut self, entry: &Name, applied: u64, now: Millis) {
        let until = now + LEASE + DRIFT;
        self.holders.remove(entry);
        let known = self.entries.remove(entry.as_str());
        let mut servers = known.and_then(|known| known.servers);
        if let Some(servers) = &mut servers {
            servers.retain(|_, gone| applied < *gone);
        }
        self.entries.insert(entry.clone(), Lease { until, applied, servers });
    }

    /// Takes the servers that an entry holds by its view, which has an update of this leader.
    pub fn tell(&mut self, entry: &Name, held: impl IntoIterator<Item = Arc<str>>) {
        let Some(lease) = self.entries.get_mut(entry.as_str()) else { return };
        let mut servers = BTreeMap::new();
        for server in held {
            // Placed meanwhile at others: it holds the server until it has applied that.
            let gone = self.placed.as_ref().map_or(HELD, |(_, index)| *index);
            servers.insert(server, gone);
        }
        if let Some((placed, _)) = &self.placed {
            let own = placed.iter().filter(|(_, holders)| holders.contains(entry));
            servers.extend(own.map(|(server, _)| (server.clone(), HELD)));
        }
        lease.servers = Some(servers);
    }

    /// Notes the holders of all servers that the update `index` tells.
    pub fn place(&mut self, placed: Placed, index: u64) {
        for (name, lease) in &mut self.entries {
            let Some(servers) = &mut lease.servers else { continue };
            for (server, gone) in servers.iter_mut() {
                let holds = placed.get(server).is_some_and(|holders| holders.contains(name));
                if !holds && *gone == HELD {
                    *gone = index;
                }
            }
            let own = placed.iter().filter(|(_, holders)| holders.contains(name));
            servers.extend(own.map(|(server, _)| (server.clone(), HELD)));
        }
        self.placed = Some((placed, index));
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
        let done = |lease: &Lease| lease.done(index, now);
        self.settled(now) && self.entries.values().all(done)
    }

    /// Whether no entry uses a server as a primary any more, once the update `index` names another
    /// one or none.
    pub fn released(&self, server: &str, index: u64, now: Millis) -> bool {
        let free = |lease: &Lease| {
            let holds = lease.servers.as_ref().is_none_or(|held| held.contains_key(server));
            lease.done(index, now) || !holds
        };
        self.settled(now) && self.entries.values().all(free)
    }

    fn settled(&self, now: Millis) -> bool {
        now >= self.earlier || self.holders.is_empty()
    }
}

impl Lease {
    fn done(&self, index: u64, now: Millis) -> bool {
        self.applied >= index || now >= self.until
    }
}
