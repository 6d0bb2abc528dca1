//! Positions that reads must see.
//!
//! The group owner keeps the highest acknowledged write position per client account and session.
//! A request without a session uses the position of its whole client account. Everything dropped
//! from the table is covered by the floor of the group, so a read never sees too little.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use auburnlug_state::Name;

use crate::Position;

/// Client account and session; no session stands for the whole client account.
type Key = (Name, Option<Arc<str>>);

/// Highest acknowledged write positions of one group.
#[derive(Debug)]
pub struct Positions {
    floor: Position,
    bound: usize,
    entries: BTreeMap<Key, Position>,
    oldest: BTreeSet<(Position, Key)>,
}

impl Positions {
    /// An empty table of at most `bound` entries. After a takeover, `floor` is the primary's
    /// position at that time.
    pub fn new(floor: Position, bound: usize) -> Positions {
        Positions { floor, bound, entries: BTreeMap::new(), oldest: BTreeSet::new() }
    }

    /// Records an acknowledged write.
    pub fn acknowledge(&mut self, account: &Name, session: Option<&str>, position: Position) {
        if let Some(session) = session {
            self.raise((account.clone(), Some(session.into())), position);
        }
        self.raise((account.clone(), None), position);
        while self.entries.len() > self.bound {
            let Some((lowest, _)) = self.oldest.first() else {
                return;
            };
            self.cover(*lowest);
        }
    }

    /// Position that a read of this session must see.
    pub fn need(&self, account: &Name, session: Option<&str>) -> Position {
        let key = (account.clone(), session.map(Arc::from));
        self.entries.get(&key).copied().unwrap_or_default().max(self.floor)
    }

    /// Raises the floor of all sessions and drops the entries that it covers. Call it with the
    /// position that all servers have applied, and with the primary's position after a takeover.
    pub fn cover(&mut self, position: Position) {
        self.floor = self.floor.max(position);
        while let Some((lowest, _)) = self.oldest.first() {
            if *lowest > self.floor {
                return;
            }
            if let Some((_, key)) = self.oldest.pop_first() {
                self.entries.remove(&key);
            }
        }
    }

    /// Number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether only the floor is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn raise(&mut self, key: Key, position: Position) {
        let known = self.entries.get(&key).copied();
        if position <= self.floor.max(known.unwrap_or_default()) {
            return;
        }
        if let Some(known) = known {
            self.oldest.remove(&(known, key.clone()));
        }
        self.oldest.insert((position, key.clone()));
        self.entries.insert(key, position);
    }
}
