//! Input and output types of the failover of a database group.

use auburnlug_state::{Millis, Name, Role, Term};

use crate::Position;

/// Answer to a status poll.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Status {
    /// Highest term that the server was fenced with, was promoted in or follows.
    pub term: Term,
    /// Role of the server.
    pub role: Role,
    /// End of the server's log: term of the last record, and offset.
    pub received: Position,
    /// Time since the last contact to the primary that the server follows, in milliseconds.
    pub upstream_age: Option<Millis>,
}

/// An action for the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FailoverStep {
    /// Poll this server for its status.
    Poll(Name),
    /// Propose this term for the group.
    Term(Term),
    /// Fence this server with this term.
    Fence(Name, Term),
    /// Promote this server in this term.
    Promote(Name, Term),
    /// Tell `server` to follow `primary` in this term.
    Follow {
        /// Server to become a replica of `primary`.
        server: Name,
        /// Primary to follow.
        primary: Name,
        /// Term of the primary.
        term: Term,
    },
    /// Propose this server as the primary of this term.
    Primary(Name, Term),
    /// Propose to record that this new server has all writes acknowledged before it was added.
    Filled(Name, Term),
    /// Give up ownership of the group, so that another instance can try.
    Resign,
}

/// Parts of the service gap caused by a failover, in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Gap {
    /// From the last answer of the former primary until the decision to replace it.
    pub detection: Millis,
    /// From the decision until the new term was recorded.
    pub agreement: Millis,
    /// From the record of the term until the new primary was recorded.
    pub promotion: Millis,
    /// From the record of the primary until the first acknowledged write.
    pub first: Millis,
}
