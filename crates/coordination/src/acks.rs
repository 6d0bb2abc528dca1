//! Acknowledgement of writes by a majority of a group.

use std::collections::{BTreeMap, BTreeSet};

use auburnlug_state::{Name, Term};

use crate::Position;

/// State of a write when it starts to wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Wait {
    /// A majority holds it already.
    Acknowledged,
    /// It waits for a majority.
    Pending,
    /// It was written under another term; nobody can tell whether it survives.
    Unknown,
}

/// Writes that wait for a majority under one term.
#[derive(Debug)]
pub struct Acks {
    majority: usize,
    term: Term,
    /// Log position that each server has stored, reported under `term`.
    received: BTreeMap<Name, Position>,
    /// Highest position held by a majority.
    held: Position,
    waiting: BTreeSet<(Position, u64)>,
}

impl Acks {
    /// No write waits; `size` is the fixed size of the group.
    pub fn new(size: u32, term: Term) -> Acks {
        let majority = size as usize / 2 + 1;
        let (received, waiting) = (BTreeMap::new(), BTreeSet::new());
        Acks { majority, term, received, held: Position::default(), waiting }
    }

    /// Drops what other servers than these reported. Once another server has a former one's
    /// place, the two together must not count as two of the group.
    pub fn servers(&mut self, servers: &[Name]) {
        self.received.retain(|name, _| servers.contains(name));
    }

    /// Starts the wait of write `id` that ends at `position`.
    pub fn wait(&mut self, position: Position, id: u64) -> Wait {
        if position.term != self.term {
            return Wait::Unknown;
        }
        if position <= self.held {
            return Wait::Acknowledged;
        }
        self.waiting.insert((position, id));
        Wait::Pending
    }

    /// Takes the status of a server: its `term` and the position stored in its log (the term of
    /// its last record, and `received`). Returns the writes that are acknowledged by it.
    pub fn status(&mut self, server: &Name, term: Term, received: Position) -> Vec<u64> {
        // A server that was fenced with a higher term may discard what it holds of this one. A
        // record of an earlier term at the same offset may be another record; it does not count,
        // because positions are ordered by term first.
        if term != self.term {
            return Vec::new();
        }
        let known = self.received.entry(server.clone()).or_default();
        *known = received.max(*known);
        let mut all: Vec<_> = self.received.values().copied().collect();
        all.sort_unstable_by(|a, b| b.cmp(a));
        let held = all.get(self.majority - 1).copied().unwrap_or_default();
        self.held = self.held.max(held);
        self.acknowledged()
    }

    /// Moves to another term and returns the writes whose outcome is now unknown.
    pub fn reset(&mut self, term: Term) -> Vec<u64> {
        if term == self.term {
            return Vec::new();
        }
        self.term = term;
        self.received.clear();
        self.held = Position::default();
        std::mem::take(&mut self.waiting).into_iter().map(|(_, id)| id).collect()
    }

    /// Stops the wait of a write whose deadline has passed; true if it was still waiting.
    pub fn cancel(&mut self, position: Position, id: u64) -> bool {
        self.waiting.remove(&(position, id))
    }

    /// Whether writes wait, so that polls should go back to back.
    pub fn busy(&self) -> bool {
        !self.waiting.is_empty()
    }

    fn acknowledged(&mut self) -> Vec<u64> {
        let mut done = Vec::new();
        while let Some(&(position, id)) = self.waiting.first() {
            if position > self.held {
                break;
            }
            self.waiting.pop_first();
            done.push(id);
        }
        done
    }
}
