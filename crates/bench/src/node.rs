//! State of a stand-in server: log, term, role and visible data.
//!
//! The log obeys the rules that the proxy relies on: an entry is identified by (term, position),
//! two logs that agree on the term at a position agree up to it, and a server never goes back to a
//! lower term.

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
pub struct Entry {
    /// Term of the primary that wrote it.
    pub term: u64,
    /// Position, from 1.
    pub position: u64,
    /// Changes; none for the entry that opens a term.
    pub writes: Vec<Write>,
}

/// A durable step of a server, in the order of its data file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Step {
    /// The server saw a higher term.
    Term(u64),
    /// The server became the primary of a term.
    Promote(u64),
    /// Entries after this position were dropped.
    Truncate(u64),
    /// An entry was added.
    Entry(Entry),
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
    /// Grows when the primary to follow changes.
    pub epoch: u64,
    /// Time of the last message from that primary.
    pub heard: Instant,
    /// Delay before a received entry becomes visible.
    pub lag: Duration,
    log: Vec<Entry>,
    applied: u64,
    due: VecDeque<(u64, Instant)>,
    tables: BTreeMap<String, BTreeMap<String, String>>,
    steps: Vec<Step>,
}

impl Node {
    /// A server without data, at term 0.
    pub fn new(now: Instant) -> Node {
        Node {
            term: 0,
            primary: false,
            upstream: None,
            epoch: 0,
            heard: now,
            lag: Duration::ZERO,
            log: Vec::new(),
            applied: 0,
            due: VecDeque::new(),
            tables: BTreeMap::new(),
            steps: Vec::new(),
        }
    }

    /// A server with the data of its file; it comes back as a replica.
    pub fn replay(steps: &[Step], now: Instant) -> Node {
        let mut node = Node::new(now);
        for step in steps {
            match step {
                Step::Term(term) | Step::Promote(term) => node.term = *term,
                Step::Truncate(position) => node.truncate(*position),
                Step::Entry(entry) => node.push(entry.clone(), now),
            }
        }
        node.apply_due(now);
        node.steps.clear();
        node
    }

    /// Steps since the last call, to be written to the data file.
    pub fn take_steps(&mut self) -> Vec<Step> {
        std::mem::take(&mut self.steps)
    }

    /// Position of the last entry.
    pub fn received(&self) -> u64 {
        self.log.len() as u64
    }

    /// Position up to which reads see the data.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// Term of the last entry.
    pub fn last_term(&self) -> u64 {
        self.log.last().map_or(0, |e| e.term)
    }

    /// All entries.
    pub fn log(&self) -> &[Entry] {
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
            self.steps.push(Step::Term(term));
        }
        Ok(())
    }

    /// Becomes the primary of `term` and opens it with an empty entry, so that the entries of
    /// earlier terms are held under the new term as well.
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
        self.steps.push(Step::Promote(term));
        self.apply_all();
        self.push(Entry { term, position: self.received() + 1, writes: Vec::new() }, now);
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
            self.heard = now;
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
        self.push(Entry { term: self.term, position, writes }, now);
        self.apply_all();
        Ok((self.term, position))
    }

    /// Last position of each term in the log, in order.
    pub fn terms(&self) -> Vec<(u64, u64)> {
        let mut runs: Vec<(u64, u64)> = Vec::new();
        for entry in &self.log {
            match runs.last_mut() {
                Some(last) if last.0 == entry.term => last.1 = entry.position,
                _ => runs.push((entry.term, entry.position)),
            }
        }
        runs
    }

    /// Highest position at which this log and one with the given [`Node::terms`] agree.
    pub fn common(&self, other: &[(u64, u64)]) -> u64 {
        let mine = self.terms();
        let ends = other.iter().rev().filter_map(|(term, end)| {
            mine.iter().find(|(t, _)| t == term).map(|(_, mine)| *mine.min(end))
        });
        ends.max().unwrap_or(0)
    }

    /// Accepts a message of the primary of `term` that this server followed at `epoch`.
    ///
    /// # Errors
    /// The server has been fenced, promoted or told to follow another server since.
    pub fn hear(&mut self, term: u64, epoch: u64, now: Instant) -> Result<(), Refusal> {
        if self.primary || self.epoch != epoch || term < self.term {
            return Err(Refusal::Term(self.term));
        }
        if term > self.term {
            self.term = term;
            self.steps.push(Step::Term(term));
        }
        self.heard = now;
        Ok(())
    }

    /// Drops the entries after `position`; visible data that they changed is rebuilt.
    pub fn truncate(&mut self, position: u64) {
        if position >= self.received() {
            return;
        }
        self.log.truncate(position as usize);
        self.due.retain(|(p, _)| *p <= position);
        self.steps.push(Step::Truncate(position));
        if self.applied > position {
            self.tables.clear();
            let goal = position;
            self.applied = 0;
            self.apply_to(goal);
        }
    }

    /// Adds an entry of the followed primary; one that does not continue the log is refused.
    pub fn receive(&mut self, entry: Entry, now: Instant) -> bool {
        if entry.position != self.received() + 1 {
            return false;
        }
        self.push(entry, now);
        self.apply_due(now);
        true
    }

    /// Makes the received entries visible whose delay has passed.
    pub fn apply_due(&mut self, now: Instant) {
        let mut goal = self.applied;
        while let Some((position, at)) = self.due.front().copied() {
            if at + self.lag > now {
                break;
            }
            goal = goal.max(position);
            self.due.pop_front();
        }
        self.apply_to(goal);
    }

    /// Visible value of a key.
    pub fn get(&self, table: &str, key: &str) -> Option<&String> {
        self.tables.get(table)?.get(key)
    }

    fn push(&mut self, entry: Entry, now: Instant) {
        self.due.push_back((entry.position, now));
        self.steps.push(Step::Entry(entry.clone()));
        self.log.push(entry);
    }

    fn apply_all(&mut self) {
        self.due.clear();
        self.apply_to(self.received());
    }

    fn apply_to(&mut self, goal: u64) {
        for entry in &self.log[self.applied.min(goal) as usize..goal as usize] {
            for write in &entry.writes {
                let table = self.tables.entry(write.table.clone()).or_default();
                table.insert(write.key.clone(), write.value.clone());
            }
        }
        self.applied = self.applied.max(goal);
    }
}
