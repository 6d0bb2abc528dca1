//! Retries of a statement on another server, within a budget.

use std::collections::BTreeSet;

use auburnlug_state::{Millis, Name};

/// Retries that each read adds to the budget: 10% of reads.
const RETRIES_PER_READ: f64 = 0.1;

/// Retries per second that are always allowed, so that a group with few reads can retry.
const MIN_RETRIES_PER_SECOND: f64 = 1.0;

/// Maximum of the budget.
const MAX_RETRY_BUDGET: f64 = 10.0;

/// Reason why an attempt on a server failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// No part of the statement was sent.
    Unsent,
    /// The connection ended before the complete answer.
    Lost,
    /// The server said that it is stopping or starting (SQLSTATE class 57P).
    Stopping,
    /// The server reported an error of the statement itself; another server would report it too.
    Statement,
}

/// Attempts to run a statement.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Attempts {
    /// Whether the statement is idempotent.
    pub idempotent: bool,
    /// Whether any attempt may have sent it.
    pub sent: bool,
    /// Servers that were attempted.
    pub servers: BTreeSet<Name>,
}

/// What to do after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// Choose a server that is not in [`Attempts::servers`].
    RetryElsewhere,
    /// Pass the server's error on.
    Report,
    /// Refuse the statement: it was not run.
    Refuse,
    /// Report that the outcome is unknown.
    Unknown,
}

/// Retry budget of one group.
#[derive(Debug)]
pub struct RetryBudget {
    level: f64,
    updated_at: Millis,
}

impl RetryBudget {
    /// A budget with one retry.
    pub fn new(now: Millis) -> RetryBudget {
        RetryBudget { level: MIN_RETRIES_PER_SECOND, updated_at: now }
    }

    /// Counts a first attempt of a read.
    pub fn record_read(&mut self) {
        self.level = (self.level + RETRIES_PER_READ).min(MAX_RETRY_BUDGET);
    }

    /// Takes one retry; false if the budget is used up.
    pub fn take(&mut self, now: Millis) -> bool {
        let elapsed = now.saturating_sub(self.updated_at) as f64 / 1000.0;
        self.updated_at = self.updated_at.max(now);
        // The minimum rate fills the budget only up to one second's worth; more comes from reads.
        if self.level < MIN_RETRIES_PER_SECOND {
            self.level =
                (self.level + elapsed * MIN_RETRIES_PER_SECOND).min(MIN_RETRIES_PER_SECOND);
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
    pub fn record_failure(
        &mut self,
        server: &Name,
        failure: Failure,
        budget: &mut RetryBudget,
        now: Millis,
    ) -> NextStep {
        self.servers.insert(server.clone());
        if failure != Failure::Unsent {
            self.sent = true;
        }
        if failure == Failure::Statement {
            return NextStep::Report;
        }
        if self.sent && !self.idempotent {
            return NextStep::Unknown;
        }
        match (budget.take(now), self.sent) {
            (true, _) => NextStep::RetryElsewhere,
            (false, true) => NextStep::Unknown,
            (false, false) => NextStep::Refuse,
        }
    }
}
