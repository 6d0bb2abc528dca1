//! Values that the agreement stores, sends and hands to its caller.

use std::collections::BTreeSet;

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
    pub voters: BTreeSet<Name>,
    /// Members that are being filled.
    pub learners: BTreeSet<Name>,
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
    #[serde(with = "auburnlug_state::bytes")]
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
    /// Asks whether the receiver would vote for the sender in `term`.
    PreVote {
        /// Term that the sender would start.
        term: Term,
        /// Last entry of the sender.
        index: Index,
        /// Term of that entry.
        last: Term,
    },
    /// Answers [`Message::PreVote`].
    PreVoteReply {
        /// Term asked about if granted, otherwise the term of the receiver.
        term: Term,
        /// Whether the receiver would vote.
        granted: bool,
    },
    /// Asks for the vote of `term`.
    RequestVote {
        /// Term of the candidate.
        term: Term,
        /// Last entry of the candidate.
        index: Index,
        /// Term of that entry.
        last: Term,
    },
    /// Answers [`Message::RequestVote`].
    VoteReply {
        /// Term of the receiver.
        term: Term,
        /// Whether the vote was given.
        granted: bool,
    },
    /// Entries after `index`; without entries it is a heartbeat.
    Append {
        /// Term of the leader.
        term: Term,
        /// Entry before the first one sent.
        index: Index,
        /// Term of that entry.
        last: Term,
        /// Entries, in order.
        entries: Vec<Entry>,
        /// Commit index of the leader.
        commit: Index,
        /// Time of sending on the leader's clock; the reply returns it.
        sent: Millis,
    },
    /// State that replaces the receiver's log.
    Install {
        /// Term of the leader.
        term: Term,
        /// Snapshot of the leader.
        snapshot: Snapshot,
        /// Time of sending on the leader's clock; the reply returns it.
        sent: Millis,
    },
    /// Answers [`Message::Append`] and [`Message::Install`].
    AppendReply {
        /// Term of the receiver.
        term: Term,
        /// Whether the log of the receiver now agrees with the leader's up to `index`.
        accepted: bool,
        /// Last agreed and durable entry, or the entry to continue after if not accepted.
        index: Index,
        /// Time of sending of the answered message.
        sent: Millis,
    },
}

impl Members {
    /// Number of voters in a majority.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Whether `names` hold a majority of the voters.
    pub fn majority(&self, names: &BTreeSet<Name>) -> bool {
        self.voters.intersection(names).count() >= self.quorum()
    }

    /// Voters and learners.
    pub fn all(&self) -> impl Iterator<Item = &Name> {
        self.voters.union(&self.learners)
    }
}

impl Ready {
    /// Whether something must be synced before the messages are sent.
    pub fn durable(&self) -> bool {
        self.vote.is_some()
            || self.snapshot.is_some()
            || self.truncate.is_some()
            || !self.append.is_empty()
    }
}
