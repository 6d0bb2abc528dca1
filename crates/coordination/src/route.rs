//! Choice of the database server for a statement.

use auburnlug_state::{Millis, Name};

use crate::Position;

/// What a statement needs from a server.
#[derive(Debug, Clone, PartialEq)]
pub struct Need {
    /// Position that the server must have applied.
    pub floor: Position,
    /// Accepted age of the data, in milliseconds.
    pub age: Millis,
    /// Whether only the primary will do.
    pub primary: bool,
}

/// What is known of a server.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// Server.
    pub name: Name,
    /// Whether it is the recorded primary of the current term.
    pub primary: bool,
    /// Whether it takes new work.
    pub open: bool,
    /// Position applied at the last status.
    pub applied: Position,
    /// Time up to which its data is known to be complete.
    pub fresh: Millis,
    /// Free slots.
    pub free: u32,
    /// Smoothed time of a statement, in microseconds.
    pub latency: u64,
}

/// Decision for a statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Choice {
    /// Run it on this server.
    Server(Name),
    /// Queue it until a slot or a status comes.
    Wait,
}

/// A policy that chooses the server for a statement.
pub trait Route: Send {
    /// Chooses among `candidates` at time `now`.
    fn choose(&self, need: &Need, candidates: &[Candidate], now: Millis) -> Choice;
}
