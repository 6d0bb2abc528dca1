//! Messages between instances.
//!
//! Control and traffic use separate connections, so that large answers never delay renewals.

use auburnlug_coordination::{Position, dedup::Key, raft};
use auburnlug_state::{
    Applied, Class, Command, Index, Instance, Machine, Millis, Name, Server, Shard,
};
use serde::{Deserialize, Serialize};

/// A message on a control link.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Control {
    /// Agreement between control members.
    Raft {
        /// Identity of the sender.
        from: Name,
        /// Identity that is meant; a member that lost its disk has another one.
        to: Name,
        /// Message.
        message: raft::Message,
    },
    /// A member without state asks whether the control group exists.
    Probe {
        /// Identity of the sender.
        identity: Name,
    },
    /// Answer to [`Control::Probe`].
    Probed {
        /// Identity of the sender.
        identity: Name,
        /// Control membership; `None` if the sender has no state either.
        members: Option<raft::Members>,
    },
    /// A member without state asks the leader to be added under a new identity.
    Join {
        /// Identity of the sender.
        identity: Name,
    },
    /// An instance renews its lease.
    Renew(Renew),
    /// The leader grants a lease.
    Grant(Grant),
    /// Committed commands that follow `after`.
    Update {
        /// Index that the receiver must have applied.
        after: Index,
        /// Last index covered; entries that are not commands are left out of the list.
        until: Index,
        /// Commands with their indexes.
        commands: Vec<(Index, Command)>,
    },
    /// The whole replicated state.
    Snapshot(Box<Machine>),
    /// Asks the leader to commit a command.
    Propose {
        /// Number chosen by the sender.
        id: u64,
        /// Command.
        command: Command,
    },
    /// Answer to [`Control::Propose`].
    Proposed {
        /// Number of the request.
        id: u64,
        /// Effect; `None` if it is unknown or the receiver does not lead.
        applied: Option<Applied>,
    },
    /// A server's announcement, passed on to the leader.
    Announce(Server),
    /// The sender stops: its lease ends now and its shards may move.
    Leave {
        /// Incarnation that stops.
        incarnation: u64,
    },
    /// The leader asks the holder to give a shard up: to finish its work and then to propose its
    /// assignment to nobody.
    Release {
        /// Shard to give up.
        shard: Shard,
        /// Epoch of the holder.
        epoch: u64,
    },
}

/// Request for a lease.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Renew {
    /// Record of the sender.
    pub instance: Instance,
    /// Time of sending on the sender's clock.
    pub sent: Millis,
    /// Index that the sender has applied.
    pub index: Index,
    /// Recorded servers that announced themselves to the sender since its last renewal.
    pub heard: Vec<Name>,
}

/// A lease; valid for `span` from `sent`, once `index` is applied.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// Copied from the request.
    pub sent: Millis,
    /// Length of the lease in milliseconds.
    pub span: Millis,
    /// Committed index that the holder must have applied.
    pub index: Index,
}

/// A message on a traffic link. `stream` numbers a caller's connection, chosen by the entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Traffic {
    /// Runs a request.
    Run {
        /// Caller's connection.
        stream: u64,
        /// Request.
        request: Box<Request>,
    },
    /// Answer to the request that is open on the stream.
    Answer {
        /// Caller's connection.
        stream: u64,
        /// Answer.
        answer: Answer,
    },
    /// Cancels the running statement of a stream.
    Cancel {
        /// Caller's connection.
        stream: u64,
    },
    /// The caller is gone: rolls back what is open.
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
        /// Tokens that the holder would use in the next 50 ms.
        demand: u32,
        /// Unused tokens that come back.
        returned: u32,
    },
    /// Answer to [`Traffic::Take`].
    Tokens {
        /// Number of the request.
        id: u64,
        /// Client account; numbers are unique only within one.
        account: Name,
        /// Tokens granted; 0 with `retry` set when the bucket is empty.
        count: u32,
        /// When to come again, in milliseconds; 0 if requests without a token wait on.
        retry: Millis,
        /// False if the receiver does not own the client account.
        owner: bool,
    },
    /// A rate owner lets its standby keep a level of the bucket.
    Keep {
        /// Number of the message; later ones are greater.
        id: u64,
        /// Client account.
        account: Name,
        /// Epoch of the rate owner.
        epoch: u64,
        /// Index that the sender has applied.
        index: Index,
        /// Level to start from.
        level: f64,
        /// Most tokens of the sender that holders may have.
        held: f64,
    },
    /// Answer to [`Traffic::Keep`].
    Kept {
        /// Number of the request.
        id: u64,
        /// Client account.
        account: Name,
        /// Epoch of the rate owner.
        epoch: u64,
        /// Instance that keeps it.
        instance: Name,
    },
    /// Copies request ids to the standby before their statements are sent.
    Intent {
        /// Number chosen by the sender.
        id: u64,
        /// Database group.
        group: Name,
        /// Epoch of the owner.
        epoch: u64,
        /// Request ids.
        keys: Vec<Key>,
    },
    /// Copies the answers to request ids to the standby; not answered.
    Ended {
        /// Database group.
        group: Name,
        /// Epoch of the owner.
        epoch: u64,
        /// Request ids with their answers.
        answers: Vec<(Key, Answer)>,
    },
    /// Copies the owner's whole table to a new standby.
    Fill {
        /// Number chosen by the sender.
        id: u64,
        /// Database group.
        group: Name,
        /// Epoch of the owner.
        epoch: u64,
        /// Table that is meant; it has no effect on another one.
        table: u64,
        /// Request ids with their answers, where there are any.
        entries: Vec<(Key, Option<Answer>)>,
    },
    /// Replaces the receiver's table by an empty, incomplete one.
    Void {
        /// Number chosen by the sender.
        id: u64,
        /// Database group.
        group: Name,
        /// Epoch of the owner.
        epoch: u64,
    },
    /// Answer to [`Traffic::Intent`], [`Traffic::Fill`] and [`Traffic::Void`].
    Stored {
        /// Number of the request.
        id: u64,
        /// Number of the table; a table that replaces it gets another one.
        table: u64,
        /// State of the table.
        copy: Copied,
    },
}

/// State of a standby's table after a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Copied {
    /// The message had its effect, and a new owner may use the table.
    Complete,
    /// The message had its effect, but the table lacks ids until the owner fills it.
    Partial,
    /// There is no room.
    Full,
    /// The sender does not own the group as far as the receiver knows, or another table is meant.
    Stale,
}

/// A request of a caller.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// Database group.
    pub group: Name,
    /// Client account.
    pub account: Name,
    /// SHA-256 of the key that came with it; `None` on an open route.
    pub key: Option<String>,
    /// Configuration that the entry used, as an index of the log.
    pub index: Index,
    /// Session; `None` stands for the whole client account.
    pub session: Option<String>,
    /// Request id given by the caller.
    pub id: Option<String>,
    /// Whether a replica may serve it.
    pub read: bool,
    /// Whether it may run twice without harm.
    pub idempotent: bool,
    /// Scheduling class.
    pub class: Class,
    /// Accepted age of the data, in milliseconds.
    pub age: Millis,
    /// Time left, in milliseconds.
    pub wait: Millis,
    /// Effect on the transaction state.
    pub block: Block,
    /// Frontend messages, up to and with `Query` or `Sync`.
    #[serde(with = "auburnlug_state::bytes")]
    pub messages: Vec<u8>,
}

/// What a request does to the caller's transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Block {
    /// Runs on its own.
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
    /// What became of it.
    pub outcome: Outcome,
    /// Backend messages up to `ReadyForQuery`; empty unless done or failed.
    #[serde(with = "auburnlug_state::bytes")]
    pub messages: Vec<u8>,
    /// Whether a replica served it.
    pub replica: bool,
    /// Position of the write, if it was one.
    pub position: Option<Position>,
}

/// What became of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// It ran and is acknowledged.
    Done,
    /// It ran and the server reported an error.
    Failed,
    /// It did not run.
    Refused {
        /// Why.
        reason: Reason,
        /// When to come again, in milliseconds; 0 if coming again does not help.
        retry: Millis,
    },
    /// It may have run.
    Unknown,
}

/// Why a request was refused without being run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Reason {
    /// The client account is above its rate and burst.
    Rate,
    /// The queue is full or the deadline passed in it.
    Overload,
    /// No primary within the deadline.
    Primary,
    /// The receiver does not own the group.
    Owner,
    /// The lease has ended: configuration cannot be confirmed.
    Lease,
    /// The key is not valid.
    Key,
    /// The instance is stopping.
    Stopping,
    /// The statement would leave state on the connection.
    State,
    /// No server connection within the deadline.
    Connection,
    /// The request is too large.
    Size,
    /// The caller cancelled it while it waited.
    Cancelled,
    /// The standby did not store its request id within the deadline.
    Standby,
}
