//! Decisions of the system: agreement, leases, ownership, failover, routing, limits and retries.
//!
//! Nothing here does I/O. Time, messages and randomness come in as arguments and effects go out as
//! values, so the same code runs under a test clock.

pub mod assign;
pub mod directory;
pub mod lease;
pub mod raft;
pub mod route;

use serde::{Deserialize, Serialize};

pub use auburnlug_state::{Millis, Term};

/// Position in the log of a database group; ordered by term first.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Position {
    /// Term of the primary that wrote it.
    pub term: Term,
    /// Offset in the log.
    pub offset: u64,
}
