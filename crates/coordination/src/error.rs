//! Errors of the coordination layer.

use std::fmt;

use auburnlug_state::{Index, Millis, Name};
use quick_error::quick_error;

/// Result of the coordination layer.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// An error of the coordination layer; [`Error::category`] tells its kind.
pub struct Error {
    kind: Kind,
}

/// Kind of a coordination error.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Category {
    /// Another member leads, or none does; [`Error::leader`] names the leader if it is known.
    NotLeader,
    /// An earlier membership change, or the first entry of the term, is not committed yet.
    Busy,
    /// The membership differs by more than one permitted step.
    Membership,
    /// The learner lacks entries that were committed when it joined.
    Lagging,
    /// The timings do not keep the order that the leader lease relies on.
    Timing,
    /// The saved state contradicts itself.
    Saved,
    /// The snapshot does not match the log.
    Snapshot,
}

quick_error! {
    #[derive(Debug)]
    pub enum Kind {
        NotLeader(leader: Option<Name>) {
            display("this member does not lead; leader: {}", leader.as_ref().map_or("unknown", Name::as_str))
        }
        Busy {
            display("an earlier membership change or the first entry of the term is not committed yet")
        }
        Membership(text: &'static str) {
            display("membership change refused: {text}")
        }
        Lagging(name: Name, matched: Index, needed: Index) {
            display("learner {name} holds the log up to {matched} and needs it up to {needed}")
        }
        Timing(lease: Millis, quiet: Millis, shortest: Millis) {
            display("lease {lease} ms, quiet time {quiet} ms and shortest election timeout {shortest} ms: each must exceed or equal the one before, and the lease must be shorter than the quiet time")
        }
        Saved(index: Index, text: &'static str) {
            display("saved state at entry {index}: {text}")
        }
        Snapshot(index: Index) {
            display("no snapshot is possible at entry {index}: it is not applied, or older than the last one")
        }
    }
}

impl Error {
    /// Kind of this error.
    pub fn category(&self) -> Category {
        match self.kind {
            Kind::NotLeader(..) => Category::NotLeader,
            Kind::Busy => Category::Busy,
            Kind::Membership(..) => Category::Membership,
            Kind::Lagging(..) => Category::Lagging,
            Kind::Timing(..) => Category::Timing,
            Kind::Saved(..) => Category::Saved,
            Kind::Snapshot(..) => Category::Snapshot,
        }
    }

    /// Leader to send the proposal to, if the error names one.
    pub fn leader(&self) -> Option<&Name> {
        match &self.kind {
            Kind::NotLeader(leader) => leader.as_ref(),
            _ => None,
        }
    }
}

impl From<Kind> for Error {
    fn from(kind: Kind) -> Error {
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
