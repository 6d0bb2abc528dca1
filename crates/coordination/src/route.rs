//! Choice of the database server for a statement.

use std::cmp::Reverse;

use auburnlug_state::{Millis, Name};

use crate::Position;

/// Longest time that a read waits for a replica to catch up, in milliseconds.
pub const PAUSE_MAX: Millis = 5;

/// What a statement needs from a server.
#[derive(Debug, Clone, PartialEq)]
pub struct Need {
    /// Position that the server must have applied.
    pub floor: Position,
    /// Accepted age of the data, in milliseconds.
    pub age: Millis,
    /// Whether only the primary will do.
    pub primary: bool,
    /// Time that it has waited for a replica to catch up, in milliseconds.
    pub paused: Millis,
}

/// What is known of a server.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// Server.
    pub name: Name,
    /// Whether it is the recorded primary of the current term.
    pub primary: bool,
    /// Whether it takes new work; false while it drains or cannot be reached.
    pub open: bool,
    /// Position applied at the last status.
    pub applied: Position,
    /// Time up to which its data is known to be complete.
    pub fresh: Millis,
    /// Free slots.
    pub free: u32,
    /// Statements that may run at once.
    pub slots: u32,
    /// Smoothed time of a statement, in microseconds.
    pub latency: u64,
    /// Failure domain.
    pub domain: Name,
    /// Expected time until it has applied what the primary had at its last status, in
    /// milliseconds, with the margin for the uncertainty of the estimate; `None` if not known.
    pub behind: Option<Millis>,
}

/// Decision for a statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Choice {
    /// Run it on this server.
    Server(Name),
    /// Choose again after this many milliseconds, or after the next status, and add the time to
    /// [`Need::paused`].
    Pause(Millis),
    /// Queue it until a slot or a status comes.
    Wait,
}

/// A policy that chooses the server for a statement.
pub trait Route: Send {
    /// Chooses among `candidates` at time `now`.
    fn choose(&self, need: &Need, candidates: &[Candidate], now: Millis) -> Choice;
}

/// Replicas first, if they are fresh enough, by free slots, then failure domain, then latency.
#[derive(Debug, Clone)]
pub struct Balanced {
    domain: Name,
}

impl Balanced {
    /// The policy of an owner in the failure domain `domain`.
    pub fn new(domain: Name) -> Balanced {
        Balanced { domain }
    }

    fn replica(&self, need: &Need, candidates: &[Candidate], now: Millis) -> Option<Name> {
        let fit = candidates.iter().filter(|c| c.free > 0 && suits(need, c, now));
        let best = fit.min_by_key(|c| (Reverse(c.free), c.domain != self.domain, c.latency));
        best.map(|c| c.name.clone())
    }

    /// Time to wait for a replica that is about to catch up.
    fn pause(&self, need: &Need, candidates: &[Candidate]) -> Option<Millis> {
        let left = PAUSE_MAX.saturating_sub(need.paused);
        let behind = candidates.iter().filter(|c| !c.primary && c.open && c.free > 0);
        let soonest = behind.filter_map(|c| c.behind).min()?.max(1);
        (need.age > 0 && soonest <= left).then_some(soonest)
    }
}

impl Route for Balanced {
    fn choose(&self, need: &Need, candidates: &[Candidate], now: Millis) -> Choice {
        if need.primary {
            return primary(candidates);
        }
        if let Some(name) = self.replica(need, candidates, now) {
            return Choice::Server(name);
        }
        let busy = candidates.iter().all(|c| !c.primary || c.free * 2 <= c.slots);
        match self.pause(need, candidates).filter(|_| busy) {
            Some(span) => Choice::Pause(span),
            None => primary(candidates),
        }
    }
}

/// Baseline: everything on the primary.
#[derive(Debug, Clone, Copy, Default)]
pub struct PrimaryOnly;

impl Route for PrimaryOnly {
    fn choose(&self, _need: &Need, candidates: &[Candidate], _now: Millis) -> Choice {
        primary(candidates)
    }
}

/// Whether a replica is open and its data meets position and age.
fn suits(need: &Need, server: &Candidate, now: Millis) -> bool {
    let fresh = now.saturating_sub(server.fresh) <= need.age;
    !server.primary && server.open && fresh && server.applied >= need.floor
}

/// The primary, or a wait for it.
fn primary(candidates: &[Candidate]) -> Choice {
    match candidates.iter().find(|c| c.primary && c.open && c.free > 0) {
        Some(server) => Choice::Server(server.name.clone()),
        None => Choice::Wait,
    }
}
