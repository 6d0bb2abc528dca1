//! Pace of a server: how many statements per second its connection owners may send to it.
//!
//! A server that has just started is slow, and its group may limit the statements that it gets until
//! it has warmed up. Only connection owners send statements to servers. The control leader divides
//! the rate of a cold server among them in proportion to their connections, and each owner spaces
//! its statements evenly, so that no time credits a burst.
//!
//! An owner may use a share from an earlier update until it has applied the update that withdrew it
//! or its lease has ended. The control leader counts such shares as used and grants the rest only
//! later, so that the sum of all shares in use never exceeds the rate.

use std::{collections::BTreeMap, sync::Arc};

use auburnlug_state::{Millis, Name};

use crate::{connection_owners::ServerOwners, entry_leases::EntryLeases};

/// Milliseconds per second.
const SECOND_MS: f64 = 1_000.0;

/// Shares of the rates of servers, as the control leader grants them.
#[derive(Debug, Default)]
pub struct ColdShares {
    servers: BTreeMap<Arc<str>, ServerShares>,
}

/// Shares of the rate of one server, in statements/s; infinite while it is not cold.
#[derive(Debug, Default)]
struct ServerShares {
    granted: BTreeMap<Name, f64>,
    withdrawn: Vec<WithdrawnShare>,
    /// Update that replaces the shares of earlier leaders, unless all entries have applied it.
    barrier: Option<u64>,
}

/// A share that an entry may use until it has applied an update.
#[derive(Debug)]
struct WithdrawnShare {
    entry: Name,
    rate: f64,
    update: u64,
}

/// Connection owners to which the rate of a server is divided.
#[derive(Debug, Clone, Copy)]
pub struct ShareAssignment<'a> {
    /// Server.
    pub server: &'a Arc<str>,
    /// Connection owners.
    pub owners: &'a ServerOwners,
    /// Rate of the server, in statements/s; `None` if it is not cold.
    pub rate: Option<f64>,
    /// Number of the update that announces the owners and the shares.
    pub update: u64,
    /// Whether no earlier leader can have announced owners of the server.
    pub is_new: bool,
}

impl ColdShares {
    /// Divides the rate of a server. Shares in use elsewhere are granted in a later call.
    pub fn assign(&mut self, assignment: ShareAssignment<'_>, leases: &EntryLeases, now: Millis) {
        let ShareAssignment { server, owners, rate, update, is_new } = assignment;
        let shares = self.servers.entry(server.clone()).or_insert_with(|| ServerShares {
            barrier: (!is_new).then_some(update),
            ..ServerShares::default()
        });
        shares.remove_released(leases, now);
        let total: u32 = owners.iter().map(|(_, connections)| *connections).sum();
        let part = |connections: u32| f64::from(connections) / f64::from(total.max(1));
        let target = |connections: u32| rate.map_or(f64::INFINITY, |rate| rate * part(connections));
        let targets: BTreeMap<&Name, f64> =
            owners.iter().map(|(name, connections)| (name, target(*connections))).collect();
        for (entry, granted) in std::mem::take(&mut shares.granted) {
            let kept = match targets.get(&entry) {
                // Entries that do not know yet that the server is cold use any rate.
                Some(target) if granted.is_infinite() && target.is_finite() => 0.0,
                Some(target) => target.min(granted),
                None => 0.0,
            };
            if kept < granted {
                let withdrawn = WithdrawnShare { entry: entry.clone(), rate: granted, update };
                shares.withdrawn.push(withdrawn);
            }
            if targets.contains_key(&entry) {
                shares.granted.insert(entry, kept);
            }
        }
        for (entry, target) in targets {
            let free = rate.map_or(f64::INFINITY, |rate| rate - shares.used_beside(entry));
            let raised = if shares.barrier.is_some() && rate.is_some() { 0.0 } else { free };
            let granted = shares.granted.entry(entry.clone()).or_default();
            *granted = granted.max(raised.min(target));
        }
    }

    /// Withdraws the shares of servers that are not `known` with an update.
    pub fn retain(
        &mut self,
        known: impl Fn(&str) -> bool,
        update: u64,
        leases: &EntryLeases,
        now: Millis,
    ) {
        for (_, shares) in self.servers.iter_mut().filter(|(server, _)| !known(server)) {
            for (entry, rate) in std::mem::take(&mut shares.granted) {
                shares.withdrawn.push(WithdrawnShare { entry, rate, update });
            }
            shares.remove_released(leases, now);
        }
        self.servers.retain(|server, shares| known(server) || !shares.withdrawn.is_empty());
    }

    /// Share of an entry, in statements/s; `None` if it is not limited.
    pub fn share(&self, server: &str, entry: &str) -> Option<f64> {
        let granted = self.servers.get(server)?.granted.get(entry).copied();
        granted.filter(|rate| rate.is_finite())
    }

    /// Whether shares that were in use are released, so that [`ColdShares::assign`] may grant them.
    pub fn has_released(&self, leases: &EntryLeases, now: Millis) -> bool {
        self.servers.values().any(|shares| {
            shares.barrier.is_some_and(|update| leases.is_applied(update, now))
                || shares.withdrawn.iter().any(|share| share.is_released(leases, now))
        })
    }
}

impl ServerShares {
    fn remove_released(&mut self, leases: &EntryLeases, now: Millis) {
        self.withdrawn.retain(|share| !share.is_released(leases, now));
        self.barrier = self.barrier.filter(|update| !leases.is_applied(*update, now));
    }

    /// Sum of the rates that the entries other than `entry` may use.
    fn used_beside(&self, entry: &Name) -> f64 {
        let mut used: BTreeMap<&Name, f64> =
            self.granted.iter().map(|(name, rate)| (name, *rate)).collect();
        for share in &self.withdrawn {
            let rate = used.entry(&share.entry).or_default();
            *rate = rate.max(share.rate);
        }
        used.into_iter().filter(|(name, _)| *name != entry).map(|(_, rate)| rate).sum()
    }
}

impl WithdrawnShare {
    fn is_released(&self, leases: &EntryLeases, now: Millis) -> bool {
        leases.has_applied(&self.entry, self.update, now)
    }
}

/// Spaces the statements that a connection owner sends to a server.
#[derive(Debug, Default)]
pub struct StatementPacer {
    /// Statements/s; `None` for no limit.
    rate: Option<f64>,
    /// Time at which the last statement was due or was sent, in milliseconds.
    last: Option<f64>,
}

impl StatementPacer {
    /// Sets the rate, in statements/s; `None` for no limit.
    pub fn set_rate(&mut self, rate: Option<f64>) {
        self.rate = rate;
    }

    /// Whether the rate is limited.
    pub fn is_limited(&self) -> bool {
        self.rate.is_some()
    }

    /// Whether no statement may be sent at all.
    pub fn is_closed(&self) -> bool {
        self.rate.is_some_and(|rate| rate <= 0.0)
    }

    /// Time from which the next statement may be sent; 0 without a limit.
    pub fn ready_at(&self) -> Millis {
        self.next_due().map_or(0, |due| due.ceil() as Millis)
    }

    /// Time that `count` further statements take at least, in milliseconds.
    pub fn duration(&self, count: usize) -> f64 {
        self.rate.map_or(0.0, |rate| count as f64 * SECOND_MS / rate)
    }

    /// Records that a statement was sent.
    pub fn record_sent(&mut self, now: Millis) {
        let now = now as f64;
        // Less than a millisecond is credited, as the clock counts whole ones.
        let due = self.next_due().filter(|due| due.is_finite() && now < due + 1.0);
        self.last = Some(due.unwrap_or(now));
    }

    fn next_due(&self) -> Option<f64> {
        self.rate?;
        self.last.map(|last| last + self.duration(1))
    }
}
