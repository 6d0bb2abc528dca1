//! The decision logic of the proxy: consensus, leases, ownership, failover, routing, rate limits
//! and retries.
//!
//! Nothing in this crate does I/O. Time, messages and randomness are arguments, and effects are
//! returned as values, so that tests can run the same code under a simulated clock.

pub mod acks;
pub mod allotment;
pub mod assign;
pub mod bootstrap;
pub mod changes;
pub mod connection_owners;
pub mod dedup;
pub mod directory;
pub mod entry_leases;
mod error;
pub mod external_failover;
pub mod failover;
mod failover_step;
pub mod freshness;
pub mod lease;
pub mod membership;
pub mod pending_entries;
pub mod position_samples;
pub mod queue;
pub mod raft;
mod raft_leader;
mod raft_log;
mod raft_message;
pub mod rate_share;
pub mod regional_limiters;
pub mod retry;
pub mod route;
pub mod server_choice;
pub mod server_reports;
pub mod session;
pub mod slot_queue;
pub mod standby_level;
pub mod token_bucket;

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
