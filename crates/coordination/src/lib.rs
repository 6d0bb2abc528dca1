//! Decisions of the system: agreement, leases, ownership, failover, routing, limits and retries.
//!
//! Nothing here does I/O. Time, messages and randomness come in as arguments and effects go out as
//! values, so the same code runs under a test clock.

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
mod raft_lead;
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

/// Position in the log of a database group; ordered by term first.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Position {
    /// Term of the primary that wrote it.
    pub term: Term,
    /// Offset in the log.
    pub offset: u64,
}
