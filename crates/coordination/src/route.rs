//! Choice of the database server for a statement.

use std::cmp::Reverse;

use auburnlug_state::{Millis, Name};

use crate::Position;

/// Maximum time that a read waits for a replica to catch up.
pub const MAX_CATCH_UP_WAIT_MS: Millis = 5;

/// Requirements of a statement on the server that runs it.
#[derive(Debug, Clone, PartialEq)]
pub struct Requirements {
    /// Required position: the server must have applied it.
    pub required_position: Position,
    /// Maximum age of the data, in milliseconds.
    pub max_age: Millis,
    /// Whether it must run on the primary.
    pub primary: bool,
    /// Time that it has waited for a replica to catch up, in milliseconds.
    pub waited: Millis,
}

/// State of a server that may run the statement.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// Server.
    pub name: Name,
    /// Whether it is the recorded primary of the current term.
    pub primary: bool,
    /// Whether it accepts new statements; false while it drains or is unreachable.
    pub accepting: bool,
    /// Position applied at the last status.
    pub applied: Position,
    /// Time up to which its data is known to be complete.
    pub fresh_until: Millis,
    /// Free slots.
    pub free_slots: u32,
    /// Statements that may run at once.
    pub slots: u32,
    /// Moving average of the time of a statement, in microseconds.
    pub latency: u64,
    /// Failure domain.
    pub domain: Name,
    /// Expected time until it has applied the primary's position of the last status, in
    /// milliseconds, with a margin for the uncertainty of the estimate; `None` if unknown.
    pub catch_up_time: Option<Millis>,
}

/// Decision for a statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Choice {
    /// Run it on this server.
    Server(Name),
    /// Choose again after this many milliseconds, or after the next status, and add the time to
    /// [`Requirements::waited`].
    Pause(Millis),
    /// Queue it until a slot becomes free or a status arrives.
    Wait,
}

/// A policy that chooses the server for a statement.
pub trait Route: Send {
    /// Chooses among `candidates` at time `now`.
    fn choose(&self, need: &Requirements, candidates: &[Candidate], now: Millis) -> Choice;
}

/// Prefers replicas that are fresh enough, by free slots, then failure domain, then latency.
#[derive(Debug, Clone)]
pub struct Balanced {
    domain: Name,
}

impl Balanced {
    /// The policy of a group owner in the failure domain `domain`.
    pub fn new(domain: Name) -> Balanced {
        Balanced { domain }
    }

    fn choose_replica(
        &self,
        need: &Requirements,
        candidates: &[Candidate],
        now: Millis,
    ) -> Option<Name> {
        let suitable = candidates.iter().filter(|c| c.free_slots > 0 && meets(need, c, now));
        let best =
            suitable.min_by_key(|c| (Reverse(c.free_slots), c.domain != self.domain, c.latency));
        best.map(|c| c.name.clone())
    }

    /// Time to wait for a replica that will soon have caught up.
    fn catch_up_wait(&self, need: &Requirements, candidates: &[Candidate]) -> Option<Millis> {
        let left = MAX_CATCH_UP_WAIT_MS.saturating_sub(need.waited);
        let replicas = candidates.iter().filter(|c| !c.primary && c.accepting && c.free_slots > 0);
        let soonest = replicas.filter_map(|c| c.catch_up_time).min()?.max(1);
        (need.max_age > 0 && soonest <= left).then_some(soonest)
    }
}

impl Route for Balanced {
    fn choose(&self, need: &Requirements, candidates: &[Candidate], now: Millis) -> Choice {
        if need.primary {
            return choose_primary(candidates);
        }
        if let Some(name) = self.choose_replica(need, candidates, now) {
            return Choice::Server(name);
        }
        let busy = candidates.iter().all(|c| !c.primary || c.free_slots * 2 <= c.slots);
        match self.catch_up_wait(need, candidates).filter(|_| busy) {
            Some(wait) => Choice::Pause(wait),
            None => choose_primary(candidates),
        }
    }
}

/// Baseline for comparison: runs everything on the primary.
#[derive(Debug, Clone, Copy, Default)]
pub struct PrimaryOnly;

impl Route for PrimaryOnly {
    fn choose(&self, _need: &Requirements, candidates: &[Candidate], _now: Millis) -> Choice {
        choose_primary(candidates)
    }
}

/// Whether a replica accepts statements and meets the required position and maximum age.
fn meets(need: &Requirements, server: &Candidate, now: Millis) -> bool {
    let fresh = now.saturating_sub(server.fresh_until) <= need.max_age;
    !server.primary && server.accepting && fresh && server.applied >= need.required_position
}

/// Chooses the primary, or waits for it.
fn choose_primary(candidates: &[Candidate]) -> Choice {
    match candidates.iter().find(|c| c.primary && c.accepting && c.free_slots > 0) {
        Some(server) => Choice::Server(server.name.clone()),
        None => Choice::Wait,
    }
}
