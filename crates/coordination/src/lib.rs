//! The decision logic of the proxy: consensus, leases, ownership, failover, routing, rate limits
//! and retries.
//!
//! Nothing in this crate does I/O. Time, messages and randomness are arguments, and effects are
//! returned as values, so that tests can run the same code under a simulated clock.

pub mod acks;
pub mod allotment;
pub mod assign;
pub mod changes;
pub mod dedup;
pub mod delegates;
pub mod directory;
mod error;
pub mod evidence;
pub mod failover;
mod failover_step;
pub mod floor;
pub mod formation;
pub mod freshness;
pub mod holders;
pub mod lease;
pub mod leases;
pub mod limit;
pub mod membership;
pub mod pick;
pub mod queue;
pub mod raft;
mod raft_leader;
mod raft_log;
mod raft_message;
pub mod retry;
pub mod roster;
pub mod route;
pub mod samples;
pub mod session;
pub mod share;
pub mod succession;

use serde::{Deserialize, Serialize};

pub use auburnlug_state::{Millis, Term};
pub use error::{Category, Error, Result};

/// Position in the log of a database group. Positions are ordered by term, then by offset.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Position {
    /// Term of the primary that wrote the record.
    pub term: Term,
    /// Offset in the log.
    pub offset: u64,
}
