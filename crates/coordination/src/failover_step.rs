//! What the failover of a group takes in and asks for.

use auburnlug_state::{Millis, Name, Role, Term};

use crate::Position;

/// Answer to a status poll.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Status {
    /// Term of the server: the highest that it was fenced with, promoted to or follows.
    pub term: Term,
    /// Role.
    pub role: Role,
    /// Position stored in its log: term of the last record, and offset.
    pub received: Position,
    /// Time since it heard from the primary that it follows, in milliseconds.
    pub upstream: Option<Millis>,
}

/// Work for the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Ask this server for its status.
    Poll(Name),
    /// Propose this term for the group.
    Term(Term),
    /// Fence this server with this term.
    Fence(Name, Term),
    /// Promote this server in this term.
    Promote(Name, Term),
    /// Let `server` follow `primary` in this term.
    Follow {
        /// Server that follows.
        server: Name,
        /// Primary.
        primary: Name,
        /// Term of the primary.
        term: Term,
    },
    /// Propose this server as the primary of this term.
    Primary(Name, Term),
    /// Propose to record that this new server holds all that was acknowledged before it came.
    Filled(Name, Term),
    /// Release the group, so that another instance tries.
    Resign,
}

/// Parts of a service gap, in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Gap {
    /// From the last answer of the old primary to the decision.
    pub detection: Millis,
    /// From there until the new term was recorded.
    pub agreement: Millis,
    /// From there until the new primary was recorded.
    pub promotion: Millis,
    /// From there until the first acknowledged write.
    pub first: Millis,
}
