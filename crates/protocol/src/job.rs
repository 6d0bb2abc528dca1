//! Requests of callers, the jobs that servers run for them, and the answers.
//!
//! The types are independent of the wire protocols of callers and servers, so that the same engine
//! serves all of them. Serialized field names are short because a link between entries carries a
//! job and an answer for each forwarded statement.

use std::{collections::BTreeMap, fmt, sync::Arc};

use auburnlug_coordination::Position;
use auburnlug_state::{Millis, byte_size::ByteSize};
use serde::{Deserialize, Serialize};

/// Session variables, by name.
pub type SessionVariables = BTreeMap<Arc<str>, Arc<str>>;

/// First message of a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Opening {
    /// Database.
    pub database: Arc<str>,
    /// Key; `None` for an anonymous caller.
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
        /// Whether the transaction is read-only.
        read_only: bool,
    },
    /// Commits the transaction; the text is sent unchanged.
    Commit(Arc<str>),
    /// Rolls the transaction back.
    Rollback,
    /// A read; the text is sent unchanged.
    Read(Arc<str>),
    /// A write; the text is sent unchanged.
    Write(Arc<str>),
    /// Sets a session variable.
    Set {
        /// Name.
        name: Arc<str>,
        /// Value.
        value: Arc<str>,
    },
    /// Creates a prepared statement.
    Prepare {
        /// Name, within the session.
        name: Arc<str>,
        /// Statement.
        shape: PreparedStatement,
    },
    /// Runs a prepared statement.
    Execute {
        /// Name, within the session.
        name: Arc<str>,
        /// Arguments as sent.
        arguments: Arc<str>,
    },
    /// Removes a prepared statement.
    Deallocate {
        /// Name, within the session.
        name: Arc<str>,
    },
}

impl Statement {
    /// Returns the name used in logs.
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
pub struct PreparedStatement {
    /// Whether it writes.
    #[serde(rename = "w")]
    pub writes: bool,
    /// Text of the statement, as the server parses it.
    #[serde(rename = "t")]
    pub text: Arc<str>,
}

/// Text that a server runs for a caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StatementText {
    /// A statement, sent unchanged.
    Plain(Arc<str>),
    /// A prepared statement with its arguments.
    Prepared {
        /// Prepared statement.
        shape: PreparedStatement,
        /// Arguments as the caller sent them.
        arguments: Arc<str>,
    },
}

/// Where a statement may run, by the data that it must see.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DataRequirement {
    /// On the primary.
    Primary,
    /// On any server whose data is recent enough.
    Recent {
        /// Maximum age of the data, in milliseconds.
        age: Millis,
        /// Required position: the data must include it.
        after: Option<Position>,
    },
}

/// Role of a statement in a transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TransactionStep {
    /// Outside a transaction.
    Single,
    /// First statement of a transaction.
    First {
        /// Whether the transaction is read-only.
        read_only: bool,
    },
    /// A later statement of a transaction.
    Next,
}

/// A statement to be run by a server.
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
    /// Required position: the server's log must include it; `None` on the primary.
    #[serde(rename = "af")]
    pub after: Option<Position>,
    /// Role in a transaction.
    #[serde(rename = "st")]
    pub step: TransactionStep,
    /// Whether it writes or commits, and so must not be retried once it may have run.
    #[serde(rename = "o")]
    pub run_once: bool,
    /// Whether it ends the transaction.
    #[serde(rename = "c")]
    pub commits: bool,
    /// What to run.
    #[serde(rename = "t")]
    pub text: StatementText,
    /// Session variables.
    #[serde(rename = "v")]
    pub values: SessionVariables,
    /// Time until the deadline of the statement, in milliseconds.
    #[serde(rename = "l")]
    pub remaining: Millis,
    /// Wait limit: longest wait for a slot after which the answer is still useful to the caller, in
    /// milliseconds.
    #[serde(rename = "pa")]
    pub max_wait: Millis,
    /// Priority; 0 goes first.
    #[serde(rename = "p")]
    pub priority: u32,
    /// Time until the operation misses its latency objective, in milliseconds; 0 if it has.
    #[serde(rename = "ob", default)]
    pub objective: Millis,
}

/// Error code.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ErrorCode {
    /// Not run: no capacity.
    Busy,
    /// Not run: the server's log does not include the required position.
    Behind,
    /// Not run: the server is not the primary of its group.
    ReadOnly,
    /// Not run: another server than the expected one answered.
    WrongServer,
    /// Not run: the server has no free connection.
    ConnectionLimit,
    /// Not run: the server does not know the prepared statement.
    UnknownStatement,
    /// Not run: the server cannot be reached.
    Unreachable,
    /// The transaction was rolled back.
    Aborted,
    /// The statement ran and failed.
    Failed,
    /// The statement did not end in time; it may have run.
    Timeout,
    /// The outcome is unknown: the statement may have run.
    Unknown,
    /// Unknown key.
    UnknownKey,
    /// Unknown database.
    UnknownDatabase,
    /// The message exceeds the size limit.
    TooLarge,
    /// The message cannot be decoded, or is not valid in the state of the session.
    Malformed,
}

impl ErrorCode {
    /// Returns the name used in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            ErrorCode::Busy => "busy",
            ErrorCode::Behind => "behind",
            ErrorCode::ReadOnly => "read_only",
            ErrorCode::WrongServer => "wrong_server",
            ErrorCode::ConnectionLimit => "connection_limit",
            ErrorCode::UnknownStatement => "unknown_statement",
            ErrorCode::Unreachable => "unreachable",
            ErrorCode::Aborted => "aborted",
            ErrorCode::Failed => "failed",
            ErrorCode::Timeout => "timeout",
            ErrorCode::Unknown => "unknown",
            ErrorCode::UnknownKey => "unknown_key",
            ErrorCode::UnknownDatabase => "unknown_database",
            ErrorCode::TooLarge => "too_large",
            ErrorCode::Malformed => "malformed",
        }
    }
}

impl ErrorCode {
    /// Returns whether the statement did not run, so that it can be sent to another server.
    pub fn not_run(self) -> bool {
        matches!(
            self,
            ErrorCode::Busy
                | ErrorCode::Behind
                | ErrorCode::ReadOnly
                | ErrorCode::WrongServer
                | ErrorCode::ConnectionLimit
                | ErrorCode::Unreachable
        )
    }
}

impl fmt::Display for ErrorCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.label())
    }
}

/// End of an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Completion {
    /// Success, with the server's signature; `None` if no server was involved.
    Done(Option<Arc<str>>),
    /// Error with an explanation.
    Error(ErrorCode, Arc<str>),
}

/// Answer to a statement.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Rows.
    #[serde(rename = "r")]
    pub rows: Vec<Arc<str>>,
    /// Success or error.
    #[serde(rename = "e")]
    pub end: Completion,
    /// Position of the server's log.
    #[serde(rename = "p")]
    pub position: Option<Position>,
    /// Server that answered; `None` if none was asked.
    #[serde(rename = "s")]
    pub server: Option<Arc<str>>,
    /// Time that the job waited for a slot, in milliseconds.
    #[serde(rename = "w")]
    pub waited: Millis,
    /// Time that the server took, including the opening of a connection if needed, in milliseconds.
    #[serde(rename = "ra")]
    pub ran: Millis,
    /// Expected wait for a slot, in milliseconds, if it was the reason for a refusal; otherwise 0.
    #[serde(rename = "q")]
    pub expected_wait: Millis,
}

impl Answer {
    /// Creates an answer from the response of a server.
    pub fn new(rows: Vec<Arc<str>>, end: Completion, position: Option<Position>) -> Answer {
        Answer { rows, end, position, server: None, waited: 0, ran: 0, expected_wait: 0 }
    }

    /// Creates a successful answer to a statement that no server ran.
    pub fn without_server() -> Answer {
        Answer::new(Vec::new(), Completion::Done(None), None)
    }

    /// Creates an answer with an error that the proxy reports.
    pub fn error(code: ErrorCode, reason: impl Into<Arc<str>>) -> Answer {
        Answer::new(Vec::new(), Completion::Error(code, reason.into()), None)
    }

    /// Returns the error code; `None` for success.
    pub fn code(&self) -> Option<ErrorCode> {
        match &self.end {
            Completion::Done(_) => None,
            Completion::Error(code, _) => Some(*code),
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
    /// Answer; `None` when a session is opened.
    pub answer: Option<Answer>,
    /// State of the session; `None` if the session ends with this reply.
    pub state: Option<SessionState>,
}

impl ByteSize for Job {
    fn byte_size(&self) -> usize {
        let text = match &self.text {
            StatementText::Plain(text) => text.len(),
            StatementText::Prepared { shape, arguments } => shape.text.len() + arguments.len(),
        };
        let values = self.values.iter().map(|(name, value)| name.len() + value.len());
        text + values.sum::<usize>()
    }
}

impl ByteSize for Answer {
    fn byte_size(&self) -> usize {
        self.rows.iter().map(|row| row.len()).sum()
    }
}
