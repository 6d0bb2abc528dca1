//! Requests of callers, the work that they cause on servers, and the answers to both.
//!
//! The types carry what a caller's or a server's wire protocol says, in the project's own terms, so
//! that the same engine serves every such protocol. Fields have short names on links between
//! entries, which carry a job and an answer for each forwarded statement.

use std::{collections::BTreeMap, fmt, sync::Arc};

use auburnlug_coordination::Position;
use auburnlug_state::Millis;
use serde::{Deserialize, Serialize};

/// Values that a session has set, by name.
pub type Values = BTreeMap<Arc<str>, Arc<str>>;

/// First message of a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Opening {
    /// Database.
    pub database: Arc<str>,
    /// Key; `None` for a caller without one.
    pub key: Option<String>,
}

/// A request of a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Request {
    /// Opens the session.
    Open(Opening),
    /// Runs a statement.
    Run {
        /// Identity of the request.
        id: Arc<str>,
        /// Statement.
        statement: Statement,
    },
    /// Ends the session.
    Close,
    /// A message that cannot be decoded; the identity is empty if it cannot be read either.
    Malformed {
        /// Identity of the request.
        id: Arc<str>,
        /// What is wrong.
        reason: &'static str,
    },
}

/// A statement of a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Statement {
    /// Starts a transaction.
    Begin {
        /// Whether it only reads.
        read_only: bool,
    },
    /// Ends a transaction and keeps its writes; the text is sent unchanged.
    Commit(Arc<str>),
    /// Ends a transaction and drops its writes.
    Rollback,
    /// Reads; the text is sent unchanged.
    Read(Arc<str>),
    /// Writes; the text is sent unchanged.
    Write(Arc<str>),
    /// Sets a value of the session.
    Set {
        /// Name.
        name: Arc<str>,
        /// Value.
        value: Arc<str>,
    },
    /// Names a statement for later use.
    Prepare {
        /// Name, within the session.
        name: Arc<str>,
        /// Statement.
        shape: Shape,
    },
    /// Runs a prepared statement.
    Execute {
        /// Name, within the session.
        name: Arc<str>,
        /// Arguments as sent.
        arguments: Arc<str>,
    },
    /// Forgets a prepared statement.
    Deallocate {
        /// Name, within the session.
        name: Arc<str>,
    },
}

impl Statement {
    /// Name in logs.
    pub fn label(&self) -> &'static str {
        match self {
            Statement::Begin { .. } => "begin",
            Statement::Commit(_) => "commit",
            Statement::Rollback => "rollback",
            Statement::Read(_) => "read",
            Statement::Write(_) => "write",
            Statement::Set { .. } => "set",
            Statement::Prepare { .. } => "prepare",
            Statement::Execute { .. } => "execute",
            Statement::Deallocate { .. } => "deallocate",
        }
    }
}

/// A prepared statement.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Shape {
    /// Whether it writes.
    #[serde(rename = "w")]
    pub writes: bool,
    /// Text that the server interprets.
    #[serde(rename = "t")]
    pub text: Arc<str>,
}

/// What a server runs for a caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Text {
    /// A statement, sent unchanged.
    Plain(Arc<str>),
    /// A prepared statement with its arguments.
    Prepared {
        /// Prepared statement.
        shape: Shape,
        /// Arguments as the caller sent them.
        arguments: Arc<str>,
    },
}

/// Data that a statement must see.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Need {
    /// Runs at the primary.
    Primary,
    /// Runs where the data is recent enough.
    Recent {
        /// Greatest age of the data, in milliseconds.
        age: Millis,
        /// Position that the data must include.
        after: Option<Position>,
    },
}

/// Place of a statement in a transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Step {
    /// Outside a transaction.
    Single,
    /// First statement of a transaction.
    First {
        /// Whether the transaction only reads.
        read_only: bool,
    },
    /// A later statement.
    Next,
}

/// A statement for a server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// Identity of the request.
    #[serde(rename = "i")]
    pub id: Arc<str>,
    /// Client account.
    #[serde(rename = "a")]
    pub account: Arc<str>,
    /// Database group.
    #[serde(rename = "g")]
    pub group: Arc<str>,
    /// Server that runs it.
    #[serde(rename = "s")]
    pub server: Arc<str>,
    /// Position that the server's log must include; `None` at the primary.
    #[serde(rename = "af")]
    pub after: Option<Position>,
    /// Place in a transaction.
    #[serde(rename = "st")]
    pub step: Step,
    /// Whether it writes or commits, so that it must not run twice.
    #[serde(rename = "o")]
    pub once: bool,
    /// Whether it ends the transaction.
    #[serde(rename = "c")]
    pub commits: bool,
    /// What to run.
    #[serde(rename = "t")]
    pub text: Text,
    /// Values of the session.
    #[serde(rename = "v")]
    pub values: Values,
    /// Time left for the statement, in milliseconds.
    #[serde(rename = "l")]
    pub left: Millis,
    /// Longest wait for a slot after which an answer still serves the caller, in milliseconds.
    #[serde(rename = "pa")]
    pub patience: Millis,
    /// Priority; 0 goes first.
    #[serde(rename = "p")]
    pub priority: u32,
}

/// Reason of an error.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Code {
    /// Not run: no capacity.
    Busy,
    /// Not run: the server's log lacks the position asked for.
    Behind,
    /// Not run: the server does not lead its group.
    ReadOnly,
    /// Not run: another server than the expected one answered.
    WrongServer,
    /// Not run: the server has no free connection.
    ConnectionLimit,
    /// Not run: the server does not know the prepared statement.
    UnknownStatement,
    /// Not run: the server cannot be reached.
    Unreachable,
    /// Nothing is kept: the transaction was rolled back.
    Aborted,
    /// It ran and failed.
    Failed,
    /// It did not end in time; it may have run.
    Timeout,
    /// It may have run.
    Unknown,
    /// The key is not known.
    UnknownKey,
    /// The database is not known.
    UnknownDatabase,
    /// The message exceeds the size limit.
    TooLarge,
    /// The message cannot be decoded, or does not fit the state of the session.
    Malformed,
}

impl Code {
    /// Name in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Code::Busy => "busy",
            Code::Behind => "behind",
            Code::ReadOnly => "read_only",
            Code::WrongServer => "wrong_server",
            Code::ConnectionLimit => "connection_limit",
            Code::UnknownStatement => "unknown_statement",
            Code::Unreachable => "unreachable",
            Code::Aborted => "aborted",
            Code::Failed => "failed",
            Code::Timeout => "timeout",
            Code::Unknown => "unknown",
            Code::UnknownKey => "unknown_key",
            Code::UnknownDatabase => "unknown_database",
            Code::TooLarge => "too_large",
            Code::Malformed => "malformed",
        }
    }
}

impl Code {
    /// Whether the statement did not run, and can be sent to another server.
    pub fn not_run(self) -> bool {
        matches!(
            self,
            Code::Busy
                | Code::Behind
                | Code::ReadOnly
                | Code::WrongServer
                | Code::ConnectionLimit
                | Code::Unreachable
        )
    }
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.label())
    }
}

/// End of an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    /// Success, with the server's signature; `None` if no server took part.
    Done(Option<Arc<str>>),
    /// Error with an explanation.
    Error(Code, Arc<str>),
}

/// Answer to a statement.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Rows.
    #[serde(rename = "r")]
    pub rows: Vec<Arc<str>>,
    /// Success or error.
    #[serde(rename = "e")]
    pub end: End,
    /// State of the server's log.
    #[serde(rename = "p")]
    pub position: Option<Position>,
    /// Server that answered; `None` if none was asked.
    #[serde(rename = "s")]
    pub server: Option<Arc<str>>,
    /// Time that the job waited for a slot, in milliseconds.
    #[serde(rename = "w")]
    pub waited: Millis,
    /// Time that the server took, with a connection that had to be opened, in milliseconds.
    #[serde(rename = "ra")]
    pub ran: Millis,
    /// Expected wait for a slot that was the reason of a refusal, in milliseconds; else 0.
    #[serde(rename = "q")]
    pub queue: Millis,
}

impl Answer {
    /// An answer with what a server sent.
    pub fn new(rows: Vec<Arc<str>>, end: End, position: Option<Position>) -> Answer {
        Answer { rows, end, position, server: None, waited: 0, ran: 0, queue: 0 }
    }

    /// Success without a server.
    pub fn local() -> Answer {
        Answer::new(Vec::new(), End::Done(None), None)
    }

    /// An error that this system reports.
    pub fn error(code: Code, reason: impl Into<Arc<str>>) -> Answer {
        Answer::new(Vec::new(), End::Error(code, reason.into()), None)
    }

    /// Code of the error, if it is one.
    pub fn code(&self) -> Option<Code> {
        match &self.end {
            End::Done(_) => None,
            End::Error(code, _) => Some(*code),
        }
    }
}

/// State of a session after an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SessionState {
    /// Outside a transaction.
    Idle,
    /// In a transaction.
    Open,
    /// In a transaction that failed.
    Failed,
}

/// A message to a caller.
#[derive(Debug, Clone, PartialEq)]
pub struct Reply {
    /// Answer; `None` for the opening of a session.
    pub answer: Option<Answer>,
    /// State of the session; `None` if it ends with this reply.
    pub state: Option<SessionState>,
}
