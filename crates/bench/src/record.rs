//! Record format of the stand-in servers and the load generator: JSON Lines.

use std::{
    fs::{File, OpenOptions},
    io::{BufWriter, Write as _},
    path::Path,
    sync::{Mutex, PoisonError},
    time::{SystemTime, UNIX_EPOCH},
};

use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{Error, Result, Write};

/// An event at a stand-in server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "lowercase")]
pub enum Event {
    /// A statement finished.
    Ran(ExecutedStatement),
    /// The server became primary of a term.
    Promoted {
        /// Time, in microseconds since 1970.
        time: u64,
        /// Server.
        server: String,
        /// Term.
        term: u64,
    },
    /// A replica applied log entries.
    Applied {
        /// Time, in microseconds since 1970.
        time: u64,
        /// Server.
        server: String,
        /// Term of the last visible entry.
        term: u64,
        /// Position of the last visible entry.
        position: u64,
    },
    /// A password or start-up parameter contained a caller's key.
    Key {
        /// Time, in microseconds since 1970.
        time: u64,
        /// Server.
        server: String,
        /// Where the key was found.
        place: String,
    },
}

/// A statement that a stand-in server ran.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ExecutedStatement {
    /// Time at which it got its slot, in microseconds since 1970.
    pub time: u64,
    /// Server.
    pub server: String,
    /// Number of the connection, unique within an incarnation of the server.
    pub connection: u64,
    /// Number of the transaction on that connection; absent outside of one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub transaction: Option<u64>,
    /// User of the connection.
    pub user: String,
    /// Request id.
    pub request: String,
    /// Client account, parsed from the database key.
    pub account: String,
    /// Whether it is a write.
    pub write: bool,
    /// Table.
    pub table: String,
    /// Key.
    pub key: String,
    /// Value written or read.
    pub value: String,
    /// Term of the entry, or of the server for a read.
    pub term: u64,
    /// Position of the entry, or applied position for a read.
    pub position: u64,
    /// Whether the server was primary.
    pub primary: bool,
    /// Whether it took effect.
    pub committed: bool,
}

/// Request kind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// A read.
    #[default]
    Read,
    /// An idempotent write.
    Write,
    /// A non-idempotent write.
    Once,
    /// A long read of a batch job.
    Batch,
}

/// Outcome of a request, by SQLSTATE (design 2.8).
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Outcome {
    /// Done.
    Done,
    /// Refused by a limit, not run (`53400`).
    Limit,
    /// Cannot be served now, not run (`57P03`).
    Unavailable,
    /// The key was refused, not run (`28000`, `28P01`).
    Key,
    /// Failed at the server (its own error).
    Failed,
    /// Outcome unknown (`08007`).
    Unknown,
    /// No answer: the connection ended or the deadline passed.
    #[default]
    None,
}

impl Outcome {
    /// Outcome of an error with this SQLSTATE.
    pub fn of(code: &str) -> Outcome {
        match code {
            "53400" => Outcome::Limit,
            "57P03" => Outcome::Unavailable,
            "28000" | "28P01" => Outcome::Key,
            "08007" => Outcome::Unknown,
            _ => Outcome::Failed,
        }
    }

    /// Whether the answer says that the request did not run.
    pub fn not_run(self) -> bool {
        matches!(self, Outcome::Limit | Outcome::Unavailable | Outcome::Key)
    }
}

/// A request as the load generator observed it. Times are in microseconds since 1970.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Request {
    /// Request id.
    pub id: String,
    /// Client account.
    pub account: String,
    /// Database group.
    pub group: String,
    /// Session; empty for a client without a session.
    pub session: String,
    /// Kind.
    pub kind: Kind,
    /// Table.
    pub table: String,
    /// Key that it reads or writes.
    pub key: String,
    /// Entry that it was sent to.
    pub entry: String,
    /// Arrival time according to the schedule.
    pub intended: u64,
    /// Time of the first attempt.
    pub sent: u64,
    /// Time of the answer; 0 without one.
    pub answered: u64,
    /// Outcome.
    pub outcome: Outcome,
    /// SQLSTATE of an error; empty otherwise.
    pub code: String,
    /// Value that was read.
    pub value: String,
    /// Number of attempts.
    pub tries: u32,
}

/// A timestamp that a test script records for an action, such as `failover GROUP`.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Mark {
    /// Time, in microseconds since 1970.
    pub time: u64,
    /// Action.
    pub name: String,
}

/// An append-only file of records.
#[derive(Debug)]
pub struct Sink {
    file: Mutex<BufWriter<File>>,
}

impl Sink {
    /// Opens `path` for appending.
    ///
    /// # Errors
    /// The file cannot be opened.
    pub fn open(path: &Path) -> Result<Sink> {
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        Ok(Sink { file: Mutex::new(BufWriter::new(file)) })
    }

    /// Appends records and flushes them to the operating system, so that they survive a crash of
    /// the process.
    ///
    /// # Errors
    /// Writing fails.
    pub fn put<T: Serialize>(&self, items: &[T]) -> Result<()> {
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        for item in items {
            serde_json::to_writer(&mut *file, item)?;
            file.write_all(b"\n")?;
        }
        Ok(file.flush()?)
    }
}

/// Reads a file of records. An incomplete last line, which a killed process may leave, is ignored.
///
/// # Errors
/// The file cannot be read, or a line before the last is not a record.
pub fn read<T: DeserializeOwned>(path: &Path) -> Result<Vec<T>> {
    let text = std::fs::read_to_string(path)
        .map_err(|e| Error::Input(format!("{}: {e}", path.display())))?;
    let mut items = Vec::new();
    for (number, line) in text.split_inclusive('\n').enumerate() {
        match serde_json::from_str(line) {
            Ok(item) => items.push(item),
            Err(_) if !line.ends_with('\n') => break,
            Err(e) => {
                return Err(Error::Input(format!("{}:{}: {e}", path.display(), number + 1)));
            }
        }
    }
    Ok(items)
}

/// Microseconds since 1970.
pub fn now() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as u64)
}

/// Client account of a database key, which the load generator writes as `ACCOUNT:REST`.
pub fn account(key: &str) -> &str {
    key.split_once(':').map_or("", |(account, _)| account)
}

/// Request id of a value, which the load generator writes as `ID|REST`.
pub fn request(value: &str) -> &str {
    value.split_once('|').map_or("", |(id, _)| id)
}

impl ExecutedStatement {
    /// Creates the record of a write that has not committed yet.
    pub fn write(write: &Write) -> ExecutedStatement {
        ExecutedStatement {
            request: request(&write.value).into(),
            account: account(&write.key).into(),
            write: true,
            table: write.table.clone(),
            key: write.key.clone(),
            value: write.value.clone(),
            ..ExecutedStatement::default()
        }
    }
}
