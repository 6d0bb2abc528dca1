//! Repeating a statement on another server.

use std::collections::BTreeSet;

use auburnlug_state::{Millis, Name};

/// Retries that a read earns: 10% of reads.
const SHARE: f64 = 0.1;

/// Retries a second that are always allowed, so that a quiet group can retry.
const FLOOR: f64 = 1.0;

/// Retries that can be saved up.
const SAVED: f64 = 10.0;

/// How an attempt on a server ended without an answer to pass on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// Nothing of the statement was sent.
    Unsent,
    /// The connection ended before the whole answer.
    Lost,
    /// The server said that it is stopping or starting (SQLSTATE class 57P).
    Stopping,
    /// The server reported an error of the statement itself; another server would do the same.
    Statement,
}

/// A statement and what was tried.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Attempts {
    /// Whether it may run twice without harm.
    pub idempotent: bool,
    /// Whether any attempt may have sent it.
    pub sent: bool,
    /// Servers that were tried.
    pub servers: BTreeSet<Name>,
}

/// What to do after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// Choose a server that is not in [`Attempts::servers`].
    Elsewhere,
    /// Pass the server's error on.
    Report,
    /// Refuse: it was not run.
    Refuse,
    /// The outcome is unknown.
    Unknown,
}

/// Budget of retries of one group.
#[derive(Debug)]
pub struct Budget {
    level: f64,
    at: Millis,
}

impl Budget {
    /// A budget with one retry.
    pub fn new(now: Millis) -> Budget {
        Budget { level: FLOOR, at: now }
    }

    /// Counts a first attempt of a read.
    pub fn read(&mut self) {
        self.level = (self.level + SHARE).min(SAVED);
    }

    /// Takes one retry; false if the budget is used up.
    pub fn take(&mut self, now: Millis) -> bool {
        let span = now.saturating_sub(self.at) as f64 / 1000.0;
        self.at = self.at.max(now);
        // The floor never saves more than one second's worth; only reads earn beyond it.
        if self.level < FLOOR {
            self.level = (self.level + span * FLOOR).min(FLOOR);
        }
        let allowed = self.level >= 1.0;
        if allowed {
            self.level -= 1.0;
        }
        allowed
    }
}

impl Attempts {
    /// Records an attempt on `server` that ended with `failure`, and decides what follows.
    pub fn failed(
        &mut self,
        server: &Name,
        failure: Failure,
        budget: &mut Budget,
        now: Millis,
    ) -> Next {
        self.servers.insert(server.clone());
        if failure != Failure::Unsent {
            self.sent = true;
        }
        if failure == Failure::Statement {
            return Next::Report;
        }
        if self.sent && !self.idempotent {
            return Next::Unknown;
        }
        match (budget.take(now), self.sent) {
            (true, _) => Next::Elsewhere,
            (false, true) => Next::Unknown,
            (false, false) => Next::Refuse,
        }
    }
}
