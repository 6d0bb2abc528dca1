//! Agreement among the control members.

use auburnlug_state::{Command, Index, Millis, Name, Term};
use serde::{Deserialize, Serialize};

/// An entry of the agreed log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Index; the first is 1.
    pub index: Index,
    /// Term of the leader that appended it.
    pub term: Term,
    /// Content.
    pub payload: Payload,
}

/// Content of an entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Payload {
    /// First entry of a leader's term.
    Noop,
    /// Change of the replicated state.
    Command(Command),
    /// Control membership from here on.
    Members(Members),
}

/// Control membership; it differs from the one before by one member at most.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    /// Members that vote, by identity.
    pub voters: std::collections::BTreeSet<Name>,
    /// Members that are being filled.
    pub learners: std::collections::BTreeSet<Name>,
}

/// Term and vote; durable before a message that depends on them is sent.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vote {
    /// Current term.
    pub term: Term,
    /// Candidate that got the vote of this term.
    pub candidate: Option<Name>,
}

/// State of the machine up to an index.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Last entry that it covers.
    pub index: Index,
    /// Term of that entry.
    pub term: Term,
    /// Control membership at that entry.
    pub members: Members,
    /// Encoded machine.
    pub data: Vec<u8>,
}

/// What was durable when the process started.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Saved {
    /// Term and vote.
    pub vote: Vote,
    /// Last snapshot.
    pub snapshot: Option<Snapshot>,
    /// Entries after the snapshot.
    pub entries: Vec<Entry>,
}

/// Work for the caller, to be done in the order of the fields.
#[derive(Debug, Default, PartialEq)]
pub struct Ready {
    /// Store this term and vote.
    pub vote: Option<Vote>,
    /// Replace the stored state by this snapshot, and the machine too.
    pub snapshot: Option<Snapshot>,
    /// Remove stored entries from this index on.
    pub truncate: Option<Index>,
    /// Append these entries; sync once after all the above.
    pub append: Vec<Entry>,
    /// Send after the sync.
    pub messages: Vec<(Name, Message)>,
    /// Apply in order.
    pub committed: Vec<Entry>,
}

/// A message between control members.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Placeholder until the protocol is defined.
    Heartbeat,
}

/// Time on the process clock, kept for signatures.
pub type Now = Millis;
