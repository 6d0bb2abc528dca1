//! Position in the log of a database group.

use serde::{Deserialize, Serialize};

use crate::Term;

/// Position in the log of a database group. Positions are ordered by term, then by offset.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Position {
    /// Term of the primary that wrote the record.
    pub term: Term,
    /// Offset in the log.
    pub offset: u64,
}
