//! Replication state of a stand-in server: log, term, role and applied data.
//!
//! The log maintains the invariants that the proxy relies on: (term, position) identifies a log
//! entry, two logs with the same term at a position are identical up to it, and the term of a
//! server never decreases.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

/// A change of one key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// Table.
    pub table: String,
    /// Key.
    pub key: String,
    /// New value.
    pub value: String,
}

/// A committed transaction in the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Term of the primary that wrote it.
    pub term: u64,
    /// Position, from 1.
    pub position: u64,
    /// Changes; empty for the first entry of a term.
    pub writes: Vec<Write>,
}

/// A record in the data file of a server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogRecord {
    /// The server saw a higher term.
    Term(u64),
    /// The server became the primary of a term.
    Promote(u64),
    /// Log entries after this position were removed.
    Truncate(u64),
    /// A log entry was appended.
    Entry(LogEntry),
}

/// Why a server refuses a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The server has seen a higher term.
    Term(u64),
    /// The server is not the primary.
    Replica,
    /// The server is the primary of the term.
    Primary,
}

/// State of one server.
#[derive(Debug)]
pub struct Node {
    /// Highest term seen.
    pub term: u64,
    /// Whether it is the primary of that term.
    pub primary: bool,
    /// Address of the primary that it follows.
    pub upstream: Option<String>,
    /// Number of changes of role or upstream; invalidates replication streams of earlier epochs.
    pub epoch: u64,
    /// Time of the last message from that primary.
    pub last_heartbeat: Instant,
    /// Delay before a received entry becomes visible.
    pub lag: Duration,
    log: Vec<LogEntry>,
    applied: u64,
    pending: VecDeque<(u64, Instant)>,
    tables: BTreeMap<String, BTreeMap<String, String>>,
    records: Vec<LogRecord>,
}

impl Node {
    /// Creates a server without data, at term 0.
    pub fn new(now: Instant) -> Node {
        Node {
            term: 0,
            primary: false,
            upstream: None,
            epoch: 0,
            last_heartbeat: now,
            lag: Duration::ZERO,
            log: Vec::new(),
            applied: 0,
            pending: VecDeque::new(),
            tables: BTreeMap::new(),
            records: Vec::new(),
        }
    }

    /// Restores a server from its data file; it starts as a replica.
    pub fn replay(records: &[LogRecord], now: Instant) -> Node {
        let mut node = Node::new(now);
        for record in records {
            match record {
                LogRecord::Term(term) | LogRecord::Promote(term) => node.term = *term,
                LogRecord::Truncate(position) => node.truncate(*position),
                LogRecord::Entry(entry) => node.push(entry.clone(), now),
            }
        }
        node.apply_due(now);
        node.records.clear();
        node
    }

    /// Takes the records since the last call, which belong into the data file.
    pub fn take_records(&mut self) -> Vec<LogRecord> {
        std::mem::take(&mut self.records)
    }

    /// Position of the last log entry.
    pub fn received(&self) -> u64 {
        self.log.len() as u64
    }

    /// Position of the last entry that is visible to reads.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// Term and position of the last visible entry.
    pub fn visible(&self) -> (u64, u64) {
        let last = self.applied.checked_sub(1).and_then(|at| self.log.get(at as usize));
        last.map_or((0, 0), |e| (e.term, e.position))
    }

    /// Term of the last entry.
    pub fn last_term(&self) -> u64 {
        self.log.last().map_or(0, |e| e.term)
    }

    /// All entries.
    pub fn log(&self) -> &[LogEntry] {
        &self.log
    }

    /// Refuses terms below `term`; a primary of a lower term becomes a replica.
    ///
    /// # Errors
    /// The server has seen a higher term.
    pub fn fence(&mut self, term: u64) -> Result<(), Refusal> {
        if term < self.term {
            return Err(Refusal::Term(self.term));
        }
        if term > self.term {
            self.term = term;
            self.primary = false;
            self.upstream = None;
            self.epoch += 1;
            self.records.push(LogRecord::Term(term));
        }
        Ok(())
    }

    /// Becomes the primary of `term` and appends an empty entry, so that the entries of earlier
    /// terms are replicated under the new term as well.
    ///
    /// # Errors
    /// The server has seen a higher term, or follows the primary of this term.
    pub fn promote(&mut self, term: u64, now: Instant) -> Result<(), Refusal> {
        self.fence(term)?;
        if self.primary {
            return Ok(());
        }
        if self.upstream.is_some() || self.last_term() == term {
            return Err(Refusal::Replica);
        }
        self.primary = true;
        self.epoch += 1;
        self.records.push(LogRecord::Promote(term));
        self.apply_all();
        self.push(LogEntry { term, position: self.received() + 1, writes: Vec::new() }, now);
        self.apply_all();
        Ok(())
    }

    /// Follows the primary of `term` at `address`.
    ///
    /// # Errors
    /// The server has seen a higher term or is itself the primary of this one.
    pub fn follow(&mut self, term: u64, address: &str, now: Instant) -> Result<(), Refusal> {
        self.fence(term)?;
        if self.primary {
            return Err(Refusal::Primary);
        }
        if self.upstream.as_deref() != Some(address) {
            self.upstream = Some(address.to_owned());
            self.epoch += 1;
            self.last_heartbeat = now;
        }
        Ok(())
    }

    /// Appends a transaction of the primary; returns its (term, position).
    ///
    /// # Errors
    /// The server is not the primary.
    pub fn commit(&mut self, writes: Vec<Write>, now: Instant) -> Result<(u64, u64), Refusal> {
        if !self.primary {
            return Err(Refusal::Replica);
        }
        let position = self.received() + 1;
        self.push(LogEntry { term: self.term, position, writes }, now);
        self.apply_all();
        Ok((self.term, position))
    }

    /// Last position of each term in the log, in order.
    pub fn term_ends(&self) -> Vec<(u64, u64)> {
        let mut ends: Vec<(u64, u64)> = Vec::new();
        for entry in &self.log {
            match ends.last_mut() {
                Some(last) if last.0 == entry.term => last.1 = entry.position,
                _ => ends.push((entry.term, entry.position)),
            }
        }
        ends
    }

    /// Highest position at which this log and one with the given [`Node::term_ends`] agree.
    pub fn common_position(&self, other: &[(u64, u64)]) -> u64 {
        let own = self.term_ends();
        let ends = other.iter().rev().filter_map(|(term, end)| {
            own.iter().find(|(t, _)| t == term).map(|(_, own)| *own.min(end))
        });
        ends.max().unwrap_or(0)
    }

    /// Validates a message from the primary of `term` on a stream that was opened at `epoch`.
    ///
    /// # Errors
    /// The server has been fenced, promoted or told to follow another server since.
    pub fn accept_message(&mut self, term: u64, epoch: u64, now: Instant) -> Result<(), Refusal> {
        if self.primary || self.epoch != epoch || term < self.term {
            return Err(Refusal::Term(self.term));
        }
        if term > self.term {
            self.term = term;
            self.records.push(LogRecord::Term(term));
        }
        self.last_heartbeat = now;
        Ok(())
    }

    /// Removes the entries after `position` and rebuilds the applied data if it included them.
    pub fn truncate(&mut self, position: u64) {
        if position >= self.received() {
            return;
        }
        self.log.truncate(position as usize);
        self.pending.retain(|(p, _)| *p <= position);
        self.records.push(LogRecord::Truncate(position));
        if self.applied > position {
            self.tables.clear();
            let target = position;
            self.applied = 0;
            self.apply_to(target);
        }
    }

    /// Appends an entry from the primary; `false` if it does not continue the log.
    pub fn receive(&mut self, entry: LogEntry, now: Instant) -> bool {
        if entry.position != self.received() + 1 {
            return false;
        }
        self.push(entry, now);
        self.apply_due(now);
        true
    }

    /// Applies the received entries whose replication lag has elapsed.
    pub fn apply_due(&mut self, now: Instant) {
        let mut target = self.applied;
        while let Some((position, at)) = self.pending.front().copied() {
            if at + self.lag > now {
                break;
            }
            target = target.max(position);
            self.pending.pop_front();
        }
        self.apply_to(target);
    }

    /// Visible value of a key.
    pub fn get(&self, table: &str, key: &str) -> Option<&String> {
        self.tables.get(table)?.get(key)
    }

    fn push(&mut self, entry: LogEntry, now: Instant) {
        self.pending.push_back((entry.position, now));
        self.records.push(LogRecord::Entry(entry.clone()));
        self.log.push(entry);
    }

    fn apply_all(&mut self) {
        self.pending.clear();
        self.apply_to(self.received());
    }

    fn apply_to(&mut self, target: u64) {
        for entry in &self.log[self.applied.min(target) as usize..target as usize] {
            for write in &entry.writes {
                let table = self.tables.entry(write.table.clone()).or_default();
                table.insert(write.key.clone(), write.value.clone());
            }
        }
        self.applied = self.applied.max(target);
    }
}
