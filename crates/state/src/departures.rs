//! Replicas that have left a database group.
//!
//! A commit is acknowledged once some replicas have received it. If the only one that has it leaves
//! the group, no comparison of the remaining replicas shows that they lack the commit. So each
//! departure is recorded until a position is known that covers everything the replica may have
//! received. A server that is promoted later must have reached that position.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::{
    Position,
    fleet::{Backend, Incarnation},
};

/// Replicas that have left a database group and may have held commits that no other replica holds.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departures {
    /// Replicas whose last position is not known, by identity.
    pub pending: BTreeMap<Arc<str>, Departed>,
    /// Highest position that the other replicas that left may have received.
    pub covered: Position,
}

/// A replica that has left its group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departed {
    /// Address at which it accepted connections.
    pub address: SocketAddr,
    /// Incarnation of its process.
    pub run: Incarnation,
    /// Whether its process is known to have ended. A server that deregisters ends soon afterwards.
    pub ended: bool,
    /// Replica that was started at its address, normally with its log.
    #[serde(default)]
    pub successor: Option<Arc<str>>,
}

impl Departures {
    /// Records that a replica has left. `started` is the server that took its name or address.
    pub(crate) fn record(&mut self, backend: &Backend, started: Option<&Backend>) {
        let successor = started.filter(|s| s.id != backend.id && s.group == backend.group);
        let departed = Departed {
            address: backend.address,
            run: backend.run,
            ended: started.is_some(),
            successor: successor.map(|successor| successor.id.clone()),
        };
        self.pending.insert(backend.id.clone(), departed);
    }

    /// Records that `backend` is registered: its process may have been one that left, or may have
    /// started in the place of one.
    pub(crate) fn register(&mut self, backend: &Backend) {
        self.pending.retain(|id, departed| *id != backend.id || departed.run != backend.run);
        let replaced = |(id, departed): &(&Arc<str>, &mut Departed)| {
            **id == backend.id || departed.address == backend.address
        };
        for (_, departed) in self.pending.iter_mut().filter(replaced) {
            departed.ended = true;
        }
    }

    /// Records that a replica that left had received nothing beyond `end`; returns whether this was
    /// not known.
    pub(crate) fn cover(&mut self, id: &str, run: Incarnation, end: Position) -> bool {
        if self.pending.get(id).is_none_or(|departed| departed.run != run) {
            return false;
        }
        self.pending.remove(id);
        self.covered = self.covered.max(end);
        true
    }

    /// Highest position that a replica that left may have received; `None` while it is unknown.
    pub fn end(&self) -> Option<Position> {
        self.pending.is_empty().then_some(self.covered)
    }
}
