//! Required positions of reads, so that a session sees its own writes.
//!
//! The group owner tracks the highest acknowledged write position per client account and session.
//! A request without a session uses the position of its whole client account. Entries removed from
//! the table are covered by a minimum for the whole group, so the required position of a read is
//! never too low.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use auburnlug_state::Name;

use crate::Position;

/// Client account and session; `None` stands for the whole client account.
type Key = (Name, Option<Arc<str>>);

/// Highest acknowledged write positions of one group.
#[derive(Debug)]
pub struct SessionPositions {
    min_required: Position,
    capacity: usize,
    entries: BTreeMap<Key, Position>,
    by_position: BTreeSet<(Position, Key)>,
}

impl SessionPositions {
    /// An empty table of at most `capacity` entries. After a takeover, `min_required` is the
    /// primary's position at that time.
    pub fn new(min_required: Position, capacity: usize) -> SessionPositions {
        SessionPositions {
            min_required,
            capacity,
            entries: BTreeMap::new(),
            by_position: BTreeSet::new(),
        }
    }

    /// Records an acknowledged write.
    pub fn acknowledge(&mut self, account: &Name, session: Option<&str>, position: Position) {
        if let Some(session) = session {
            self.raise((account.clone(), Some(session.into())), position);
        }
        self.raise((account.clone(), None), position);
        while self.entries.len() > self.capacity {
            let Some((lowest, _)) = self.by_position.first() else {
                return;
            };
            self.raise_minimum(*lowest);
        }
    }

    /// Required position of a read of this session.
    pub fn required_position(&self, account: &Name, session: Option<&str>) -> Position {
        let key = (account.clone(), session.map(Arc::from));
        self.entries.get(&key).copied().unwrap_or_default().max(self.min_required)
    }

    /// Raises the minimum of all sessions to `position` and removes the entries that it covers.
    /// Call it with the position that all servers have applied, and with the primary's position
    /// after a takeover.
    pub fn raise_minimum(&mut self, position: Position) {
        self.min_required = self.min_required.max(position);
        while let Some((lowest, _)) = self.by_position.first() {
            if *lowest > self.min_required {
                return;
            }
            if let Some((_, key)) = self.by_position.pop_first() {
                self.entries.remove(&key);
            }
        }
    }

    /// Number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn raise(&mut self, key: Key, position: Position) {
        let known = self.entries.get(&key).copied();
        if position <= self.min_required.max(known.unwrap_or_default()) {
            return;
        }
        if let Some(known) = known {
            self.by_position.remove(&(known, key.clone()));
        }
        self.by_position.insert((position, key.clone()));
        self.entries.insert(key, position);
    }
}
