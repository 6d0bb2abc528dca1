//! Messages between instances.
//!
//! Control and traffic messages use separate connections, so that large answers never delay lease
//! renewals.

use std::collections::BTreeSet;

use auburnlug_coordination::{Position, dedup::RequestKey, raft};
use auburnlug_state::{
    Applied, Class, Command, Index, Instance, Machine, Millis, Name, Server, Shard, Term,
    byte_size::ByteSize,
};
use serde::{Deserialize, Serialize};

/// Fields of a message whose lengths are bounded.
const FIELDS_BYTES: usize = 256;

/// A message on a control link.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ControlMessage {
    /// Consensus message between control members.
    Raft {
        /// Identity of the sender.
        from: Name,
        /// Identity of the intended receiver; a member that lost its disk gets a new identity.
        to: Name,
        /// Raft message.
        message: raft::Message,
    },
    /// A control member without state asks whether the control group exists.
    Probe {
        /// Identity of the sender.
        identity: Name,
    },
    /// Answer to [`ControlMessage::Probe`].
    Probed {
        /// Identity of the sender.
        identity: Name,
        /// Members of the control group; `None` if the sender has no state either.
        members: Option<raft::Members>,
        /// Term and index of the last entry of the sender's log.
        #[serde(default)]
        last: (Term, Index),
    },
    /// A control member without state asks the control leader to add it under a new identity.
    Join {
        /// Identity of the sender.
        identity: Name,
    },
    /// Asks an instance for its present identity.
    Identify {
        /// Number that the answer repeats.
        nonce: u64,
    },
    /// Answer to [`ControlMessage::Identify`].
    Identified {
        /// Identity of the sender.
        identity: Name,
        /// Number of the question.
        nonce: u64,
    },
    /// Names members that the sender knows to have lost their disks.
    Lost(BTreeSet<Name>),
    /// An instance requests the renewal of its lease.
    Renew(LeaseRenewal),
    /// The control leader grants a lease.
    Grant(LeaseGrant),
    /// Committed commands after index `after`.
    Update {
        /// Index that the receiver must have applied.
        after: Index,
        /// Last index that the update covers; log entries that are not commands are omitted.
        until: Index,
        /// Commands with their indexes.
        commands: Vec<(Index, Command)>,
    },
    /// The whole replicated state.
    Snapshot(Box<Machine>),
    /// Asks the control leader to commit a command.
    Propose {
        /// Number chosen by the sender.
        id: u64,
        /// Command.
        command: Command,
    },
    /// Answer to [`ControlMessage::Propose`].
    Proposed {
        /// Number of the request.
        id: u64,
        /// Result; `None` if it is unknown or the receiver is not the control leader.
        applied: Option<Applied>,
    },
    /// Announcement of a database server, forwarded to the control leader.
    Announce(Server),
    /// The sender is stopping: its lease ends now and its shards may be reassigned.
    Leave {
        /// Incarnation that is stopping.
        incarnation: u64,
    },
    /// The control leader asks the owner of a shard to release it: to drain its work and then to
    /// propose an assignment without an owner.
    Release {
        /// Shard to release.
        shard: Shard,
        /// Epoch of the owner.
        epoch: u64,
    },
}

/// Request for the renewal of a lease.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeaseRenewal {
    /// Description of the sender.
    pub instance: Instance,
    /// Send time on the sender's clock.
    pub sent: Millis,
    /// Index that the sender has applied.
    pub index: Index,
    /// Recorded servers whose announcements the sender received since its last renewal.
    pub heard: Vec<Name>,
}

/// A lease. It is valid for `span` from `sent`, once the instance has applied `index`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// Send time of the request, as given there.
    pub sent: Millis,
    /// Duration of the lease, in milliseconds.
    pub span: Millis,
    /// Committed index that the instance must have applied.
    pub index: Index,
}

/// A message on a traffic link. `stream` is a number of a caller's connection, chosen by the entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum TrafficMessage {
    /// Runs a request.
    Run {
        /// Caller's connection.
        stream: u64,
        /// Request.
        request: Box<Request>,
    },
    /// Answer to the request in flight on the stream.
    Answer {
        /// Caller's connection.
        stream: u64,
        /// Answer.
        answer: Answer,
    },
    /// Cancels the request in flight on the stream.
    Cancel {
        /// Caller's connection.
        stream: u64,
    },
    /// The caller disconnected: an open transaction is rolled back.
    Close {
        /// Caller's connection.
        stream: u64,
    },
    /// A group owner asks for tokens of a client account.
    Take {
        /// Number chosen by the sender.
        id: u64,
        /// Client account.
        account: Name,
        /// Tokens needed now.
        count: u32,
        /// Tokens that the group owner expects to use in the next 50 ms.
        demand: u32,
        /// Unused tokens that are returned.
        returned: u32,
    },
    /// Answer to [`TrafficMessage::Take`].
    Tokens {
        /// Number of the request.
        id: u64,
        /// Client account; request numbers are unique only within an account.
        account: Name,
        /// Tokens granted; 0 with `retry` set if the bucket is empty.
        count: u32,
        /// Retry delay, in milliseconds; 0 if requests without a token keep waiting.
        retry: Millis,
        /// False if the receiver does not own the client account.
        owner: bool,
    },
    /// A rate owner sends the standby level of the bucket to its standby.
    Keep {
        /// Number of the message; increases with each message.
        id: u64,
        /// Client account.
        account: Name,
        /// Epoch of the rate owner.
        epoch: u64,
        /// Index that the sender has applied.
        index: Index,
        /// Standby level: the token level that the standby may start from.
        level: f64,
        /// Upper bound for the tokens of the sender that group owners may have.
        held: f64,
    },
    /// Answer to [`TrafficMessage::Keep`].
    Kept {
        /// Number of the request.
        id: u64,
        /// Client account.
        account: Name,
        /// Epoch of the rate owner.
        epoch: u64,
        /// Standby that stored the level.
        instance: Name,
    },
    /// Replicates request ids to the standby before their statements are sent.
    Intent {
        /// Number chosen by the sender.
        id: u64,
        /// Database group.
        group: Name,
        /// Epoch of the owner.
        epoch: u64,
        /// Request ids.
        keys: Vec<RequestKey>,
    },
    /// Replicates the answers to requests to the standby; not answered.
    Ended {
        /// Database group.
        group: Name,
        /// Epoch of the owner.
        epoch: u64,
        /// Request ids with their answers.
        answers: Vec<(RequestKey, Answer)>,
    },
    /// Replicates the owner's whole table to a new standby.
    Fill {
        /// Number chosen by the sender.
        id: u64,
        /// Database group.
        group: Name,
        /// Epoch of the owner.
        epoch: u64,
        /// Number of the table that the message applies to; it has no effect on another table.
        table: u64,
        /// Request ids with their answers, as far as they have been answered.
        entries: Vec<(RequestKey, Option<Answer>)>,
    },
    /// Replaces the receiver's table by an empty one that counts as incomplete.
    Void {
        /// Number chosen by the sender.
        id: u64,
        /// Database group.
        group: Name,
        /// Epoch of the owner.
        epoch: u64,
    },
    /// Answer to [`TrafficMessage::Intent`], [`TrafficMessage::Fill`] and [`TrafficMessage::Void`].
    Stored {
        /// Number of the request.
        id: u64,
        /// Number of the table; a table that replaces it gets a new number.
        table: u64,
        /// State of the table after the message.
        copy: TableState,
    },
}

/// State of a standby's table of request ids after a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TableState {
    /// The message was applied, and a new owner may use the table.
    Complete,
    /// The message was applied, but the table lacks request ids until the owner sends them all.
    Partial,
    /// The message was not applied because the table is full.
    Full,
    /// The message was not applied: the receiver does not know the sender as owner of the group, or
    /// the message is for another table.
    Stale,
}

/// A request of a caller.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// Database group.
    pub group: Name,
    /// Client account.
    pub account: Name,
    /// SHA-256 of the caller's key; `None` on an open route.
    pub key: Option<String>,
    /// Version of the configuration that the entry used, as an index of the replicated log.
    pub index: Index,
    /// Session; `None` means the whole client account.
    pub session: Option<String>,
    /// Request id given by the caller.
    pub id: Option<String>,
    /// Whether a replica may serve it.
    pub read: bool,
    /// Whether the request is idempotent, so that it may be retried.
    pub idempotent: bool,
    /// Scheduling class.
    pub class: Class,
    /// Maximum age of the data, in milliseconds.
    pub age: Millis,
    /// Time until the deadline, in milliseconds.
    pub wait: Millis,
    /// Effect on the transaction state.
    pub block: TransactionEffect,
    /// PostgreSQL frontend messages, up to and including `Query` or `Sync`.
    #[serde(with = "auburnlug_state::bytes")]
    pub messages: Vec<u8>,
}

/// Effect of a request on the caller's transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TransactionEffect {
    /// Runs outside a transaction.
    Single,
    /// Opens a transaction.
    Begin,
    /// Runs in the open transaction.
    Inside,
    /// Ends the open transaction by commit.
    Commit,
    /// Ends the open transaction by rollback.
    Rollback,
}

/// Answer to a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// Outcome of the request.
    pub outcome: Outcome,
    /// PostgreSQL backend messages up to `ReadyForQuery`; empty unless done or failed.
    #[serde(with = "auburnlug_state::bytes")]
    pub messages: Vec<u8>,
    /// Whether a replica served it.
    pub replica: bool,
    /// Position of the write, if the request was one.
    pub position: Option<Position>,
}

/// Outcome of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// It ran and is acknowledged.
    Done,
    /// It ran and the server reported an error.
    Failed,
    /// It did not run.
    Refused {
        /// Reason.
        reason: Reason,
        /// Retry delay, in milliseconds; 0 if a retry cannot succeed.
        retry: Millis,
    },
    /// It may have run.
    Unknown,
}

/// Reason why a request was refused without being run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Reason {
    /// The client account is above its rate and burst.
    Rate,
    /// The queue is full, or the deadline passed while the request was queued.
    Overload,
    /// There was no primary before the deadline.
    Primary,
    /// The receiver does not own the group.
    Owner,
    /// The lease of the instance has expired, so its configuration cannot be confirmed.
    Lease,
    /// The key is not valid.
    Key,
    /// The instance is stopping.
    Stopping,
    /// The statement would leave state on the connection.
    State,
    /// There was no connection to a server before the deadline.
    Connection,
    /// The request is too large.
    Size,
    /// The caller cancelled the request while it waited.
    Cancelled,
    /// The standby did not store the request id before the deadline.
    Standby,
}

impl ByteSize for ControlMessage {
    fn byte_size(&self) -> usize {
        let value = match self {
            ControlMessage::Raft { message, .. } => message.byte_size(),
            ControlMessage::Update { commands, .. } => {
                commands.iter().map(|(_, command)| command.byte_size()).sum()
            }
            ControlMessage::Snapshot(machine) => machine.byte_size(),
            ControlMessage::Propose { command, .. } => command.byte_size(),
            _ => 0,
        };
        FIELDS_BYTES + value
    }
}

impl ByteSize for TrafficMessage {
    fn byte_size(&self) -> usize {
        let values = match self {
            TrafficMessage::Run { request, .. } => request.messages.len(),
            TrafficMessage::Answer { answer, .. } => answer.messages.len(),
            TrafficMessage::Intent { keys, .. } => keys.len() * FIELDS_BYTES,
            TrafficMessage::Ended { answers, .. } => {
                answers.iter().map(|(_, answer)| FIELDS_BYTES + answer.messages.len()).sum()
            }
            TrafficMessage::Fill { entries, .. } => {
                let answers = entries.iter().map(|(_, answer)| answer.as_ref());
                answers.map(|a| FIELDS_BYTES + a.map_or(0, |a| a.messages.len())).sum()
            }
            _ => 0,
        };
        FIELDS_BYTES + values
    }
}
