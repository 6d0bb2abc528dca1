//! Errors of the coordination layer.

use std::fmt;

use auburnlug_state::{Index, Millis, Name};
use quick_error::quick_error;

/// Alias for a [`Result`](std::result::Result) with the error type of this crate.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// An error of the coordination layer. Match on [`Error::category`] to tell errors apart.
pub struct Error {
    kind: ErrorKind,
}

/// Category of a coordination error.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Category {
    /// This member is not the leader; [`Error::leader`] names the leader if it is known.
    NotLeader,
    /// An earlier membership change, or the first entry of the term, is not committed yet.
    Busy,
    /// Too many bytes of earlier commands are not committed yet.
    Full,
    /// The proposed membership is not exactly one permitted step from the current one.
    Membership,
    /// The learner has not replicated all entries that the leader had when it joined.
    Lagging,
    /// The timeouts do not have the order that the leader lease relies on.
    Timing,
    /// The saved state is inconsistent.
    Saved,
    /// The snapshot does not match the log.
    Snapshot,
}

quick_error! {
    #[derive(Debug)]
    pub enum ErrorKind {
        NotLeader(leader: Option<Name>) {
            display("this member is not the leader; leader: {}", leader.as_ref().map_or("unknown", Name::as_str))
        }
        Busy {
            display("an earlier membership change or the first entry of the term is not committed yet")
        }
        Full(uncommitted: usize) {
            display("{uncommitted} bytes of earlier commands are not committed yet")
        }
        Membership(text: &'static str) {
            display("membership change refused: {text}")
        }
        Lagging(name: Name, matched: Index, needed: Index) {
            display("learner {name} has replicated the log up to entry {matched} but needs entry {needed}")
        }
        Timing(lease: Millis, quiet: Millis, shortest: Millis) {
            display("invalid Raft timing: lease {lease} ms, vote refusal period {quiet} ms, shortest election timeout {shortest} ms; required: 0 < heartbeat < lease < vote refusal period <= shortest <= longest election timeout")
        }
        Saved(index: Index, text: &'static str) {
            display("inconsistent saved state at entry {index}: {text}")
        }
        Snapshot(index: Index) {
            display("cannot take a snapshot at entry {index}: the entry is not applied, or an existing snapshot covers it")
        }
    }
}

impl Error {
    /// Category of this error.
    pub fn category(&self) -> Category {
        match self.kind {
            ErrorKind::NotLeader(..) => Category::NotLeader,
            ErrorKind::Busy => Category::Busy,
            ErrorKind::Full(..) => Category::Full,
            ErrorKind::Membership(..) => Category::Membership,
            ErrorKind::Lagging(..) => Category::Lagging,
            ErrorKind::Timing(..) => Category::Timing,
            ErrorKind::Saved(..) => Category::Saved,
            ErrorKind::Snapshot(..) => Category::Snapshot,
        }
    }

    /// Leader to which the proposal should be sent, if it is known.
    pub fn leader(&self) -> Option<&Name> {
        match &self.kind {
            ErrorKind::NotLeader(leader) => leader.as_ref(),
            _ => None,
        }
    }
}

impl From<ErrorKind> for Error {
    fn from(kind: ErrorKind) -> Error {
        Error { kind }
    }
}

impl fmt::Debug for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(&self.kind, f)
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.kind, f)
    }
}

impl std::error::Error for Error {}
