//! Tracking of writes until a majority of their database group has stored them.

use std::collections::{BTreeMap, BTreeSet};

use auburnlug_state::{Name, Term};

use crate::Position;

/// State of a write when it starts to wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteState {
    /// A majority has already stored it.
    Acknowledged,
    /// It waits for a majority.
    Pending,
    /// It was written in another term, so its outcome is unknown.
    Unknown,
}

/// Writes of one term that wait for a majority.
#[derive(Debug)]
pub struct AckTracker {
    quorum: usize,
    term: Term,
    /// Position that each server has stored, as reported in `term`.
    received: BTreeMap<Name, Position>,
    /// Highest position that a majority has stored.
    stored: Position,
    /// End position and id of each waiting write.
    waiting: BTreeSet<(Position, u64)>,
}

impl AckTracker {
    /// Starts without waiting writes; `size` is the configured size of the group.
    pub fn new(size: u32, term: Term) -> AckTracker {
        let quorum = size as usize / 2 + 1;
        let (received, waiting) = (BTreeMap::new(), BTreeSet::new());
        AckTracker { quorum, term, received, stored: Position::default(), waiting }
    }

    /// Discards the reports of all servers except these. A replaced server and its replacement must
    /// not count as two members of the group.
    pub fn retain_servers(&mut self, servers: &[Name]) {
        self.received.retain(|name, _| servers.contains(name));
    }

    /// Starts to wait for write `id`, whose last record is at `position`.
    pub fn wait(&mut self, position: Position, id: u64) -> WriteState {
        if position.term != self.term {
            return WriteState::Unknown;
        }
        if position <= self.stored {
            return WriteState::Acknowledged;
        }
        self.waiting.insert((position, id));
        WriteState::Pending
    }

    /// Handles the status of a server: its `term`, and `received`, the position that its log has
    /// stored. Returns the writes that this acknowledges.
    pub fn record_status(&mut self, server: &Name, term: Term, received: Position) -> Vec<u64> {
        // A server that was fenced with a higher term may discard records of this term. A record of
        // an earlier term at the same offset may be a different record; it does not count, because
        // positions are ordered by term first.
        if term != self.term {
            return Vec::new();
        }
        let known = self.received.entry(server.clone()).or_default();
        *known = received.max(*known);
        let mut all: Vec<_> = self.received.values().copied().collect();
        all.sort_unstable_by(|a, b| b.cmp(a));
        let stored = all.get(self.quorum - 1).copied().unwrap_or_default();
        self.stored = self.stored.max(stored);
        self.take_acknowledged()
    }

    /// Switches to another term; returns the writes whose outcome is now unknown.
    pub fn reset(&mut self, term: Term) -> Vec<u64> {
        if term == self.term {
            return Vec::new();
        }
        self.term = term;
        self.received.clear();
        self.stored = Position::default();
        std::mem::take(&mut self.waiting).into_iter().map(|(_, id)| id).collect()
    }

    /// Stops waiting for a write whose deadline has passed; returns whether it was still waiting.
    pub fn cancel(&mut self, position: Position, id: u64) -> bool {
        self.waiting.remove(&(position, id))
    }

    /// Whether writes are waiting, so that the servers should be polled back to back.
    pub fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    fn take_acknowledged(&mut self) -> Vec<u64> {
        let mut done = Vec::new();
        while let Some(&(position, id)) = self.waiting.first() {
            if position > self.stored {
                break;
            }
            self.waiting.pop_first();
            done.push(id);
        }
        done
    }
}
