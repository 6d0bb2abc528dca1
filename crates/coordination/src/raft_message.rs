//! Values that Raft stores, sends to other members and returns to its caller.

use std::collections::BTreeSet;

use auburnlug_state::{Command, Index, Millis, Name, Term, byte_size::ByteSize};
use serde::{Deserialize, Serialize};

use crate::quorum::{quorum_size, quorum_value};

/// Numbers of an entry or a message, encoded with the names of the fields.
const NUMBERS_BYTES: usize = 96;

/// An entry of the replicated log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Index in the log, starting at 1.
    pub index: Index,
    /// Term of the leader that appended it.
    pub term: Term,
    /// What the entry changes.
    pub payload: Payload,
}

/// Content of an entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Payload {
    /// Empty entry that a leader appends at the start of its term.
    Noop,
    /// Command for the replicated state machine.
    Command(Command),
    /// Membership change; it takes effect when the entry is appended.
    Members(Members),
}

/// Membership of the control group; a change adds, promotes or removes one member.
///
/// A change of the voters takes two entries. Until the first one is committed, every decision needs a
/// quorum of the former voters, too.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    /// Identities of the members that vote.
    pub voters: BTreeSet<Name>,
    /// Identities of the members that replicate the log without a vote.
    pub learners: BTreeSet<Name>,
    /// Voters before a change that is not complete; empty otherwise.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub former: BTreeSet<Name>,
}

/// Term and vote. Must be durable before a message that depends on them is sent.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vote {
    /// Current term.
    pub term: Term,
    /// Candidate that received this member's vote in the term.
    pub candidate: Option<Name>,
}

/// State of the replicated state machine at an index.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Last entry that the snapshot covers.
    pub index: Index,
    /// Term of that entry.
    pub term: Term,
    /// Membership at that entry.
    pub members: Members,
    /// Encoded state machine.
    #[serde(with = "auburnlug_state::bytes")]
    pub data: Vec<u8>,
}

/// Durable state from which a member starts.
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
    /// Replace the stored state and the state machine by this snapshot.
    pub snapshot: Option<Snapshot>,
    /// Remove stored entries from this index on.
    pub truncate: Option<Index>,
    /// Append these entries, then sync everything above at once.
    pub append: Vec<Entry>,
    /// Send these messages after the sync.
    pub messages: Vec<(Name, Message)>,
    /// Apply these entries in order.
    pub committed: Vec<Entry>,
}

/// A message between control members.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Asks whether the receiver would vote for the sender in `term`, without raising any term.
    PreVote {
        /// Term in which the sender would be a candidate.
        term: Term,
        /// Index of the sender's last entry.
        index: Index,
        /// Term of that entry.
        last: Term,
    },
    /// Answers [`Message::PreVote`].
    PreVoteReply {
        /// Requested term if granted, otherwise the current term of the receiver.
        term: Term,
        /// Whether the receiver would vote.
        granted: bool,
    },
    /// Asks for the receiver's vote in `term`.
    RequestVote {
        /// Term of the candidate.
        term: Term,
        /// Index of the candidate's last entry.
        index: Index,
        /// Term of that entry.
        last: Term,
    },
    /// Answers [`Message::RequestVote`].
    VoteReply {
        /// Term of the receiver.
        term: Term,
        /// Whether the receiver voted for the candidate.
        granted: bool,
    },
    /// Replicates the entries after `index`. Without entries it is a heartbeat.
    Append {
        /// Term of the leader.
        term: Term,
        /// Index of the entry before the first one sent.
        index: Index,
        /// Term of that entry.
        last: Term,
        /// Entries, in order.
        entries: Vec<Entry>,
        /// Commit index of the leader.
        commit: Index,
        /// Sending time on the leader's clock; the reply returns it.
        sent: Millis,
    },
    /// Replaces the receiver's log and state by a snapshot.
    Install {
        /// Term of the leader.
        term: Term,
        /// Snapshot of the leader.
        snapshot: Snapshot,
        /// Sending time on the leader's clock; the reply returns it.
        sent: Millis,
    },
    /// Answers [`Message::Append`] and [`Message::Install`].
    AppendReply {
        /// Term of the receiver.
        term: Term,
        /// Whether the receiver's log now matches the leader's up to `index`.
        accepted: bool,
        /// Last matching and durable entry if accepted, otherwise the entry after which the leader
        /// should retry.
        index: Index,
        /// Sending time of the answered message.
        sent: Millis,
    },
}

impl Members {
    /// Membership in which no change is in progress.
    pub fn new(voters: BTreeSet<Name>, learners: BTreeSet<Name>) -> Members {
        Members { voters, learners, former: BTreeSet::new() }
    }

    /// Number of voters in a majority.
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Number of voters in a quorum that `counter` counts if the members in `lost` have lost their
    /// disks.
    pub fn needed(&self, lost: &BTreeSet<Name>, counter: &Name) -> usize {
        let sizes = self.voter_sets().map(|voters| quorum_size(voters, lost, counter));
        sizes.max().unwrap_or_default()
    }

    /// Whether `names` are a quorum, as `counter` counts it, if the members in `lost` have lost their
    /// disks.
    pub fn is_quorum(&self, names: &BTreeSet<Name>, lost: &BTreeSet<Name>, counter: &Name) -> bool {
        self.voter_sets().all(|voters| {
            let present = voters.iter().filter(|name| names.contains(*name));
            present.filter(|name| !lost.contains(*name)).count()
                >= quorum_size(voters, lost, counter)
        })
    }

    /// Greatest value that a quorum has reached; `None` if none can form.
    pub(crate) fn quorum_value<T: Ord>(
        &self,
        lost: &BTreeSet<Name>,
        counter: &Name,
        value: impl Fn(&Name) -> T,
    ) -> Option<T> {
        let values = self.voter_sets().map(|voters| quorum_value(voters, lost, counter, &value));
        values.min().flatten()
    }

    /// Whether `name` votes.
    pub fn is_voter(&self, name: &Name) -> bool {
        self.voter_sets().any(|voters| voters.contains(name))
    }

    /// Members that vote, with those that a change in progress removes.
    pub fn all_voters(&self) -> impl Iterator<Item = &Name> {
        self.voters.union(&self.former)
    }

    /// Voters, learners and former voters.
    pub fn all(&self) -> impl Iterator<Item = &Name> {
        let gone = self.former.difference(&self.voters);
        let gone = gone.filter(|name| !self.learners.contains(*name));
        self.voters.union(&self.learners).chain(gone)
    }

    /// The sets of voters that must agree.
    fn voter_sets(&self) -> impl Iterator<Item = &BTreeSet<Name>> {
        let former = Some(&self.former).filter(|former| !former.is_empty());
        std::iter::once(&self.voters).chain(former)
    }
}

impl Ready {
    /// Whether a sync is needed before the messages are sent.
    pub fn needs_sync(&self) -> bool {
        self.vote.is_some()
            || self.snapshot.is_some()
            || self.truncate.is_some()
            || !self.append.is_empty()
    }
}

impl ByteSize for Entry {
    fn byte_size(&self) -> usize {
        let payload = match &self.payload {
            Payload::Noop => 0,
            Payload::Command(command) => command.byte_size(),
            Payload::Members(members) => members.byte_size(),
        };
        NUMBERS_BYTES + payload
    }
}

impl ByteSize for Members {
    fn byte_size(&self) -> usize {
        NUMBERS_BYTES + self.all().map(|name| 2 * name.byte_size()).sum::<usize>()
    }
}

impl ByteSize for Snapshot {
    fn byte_size(&self) -> usize {
        NUMBERS_BYTES + self.members.byte_size() + self.data.len()
    }
}

impl ByteSize for Message {
    fn byte_size(&self) -> usize {
        let values = match self {
            Message::Append { entries, .. } => entries.iter().map(ByteSize::byte_size).sum(),
            Message::Install { snapshot, .. } => snapshot.byte_size(),
            _ => 0,
        };
        NUMBERS_BYTES + values
    }
}
