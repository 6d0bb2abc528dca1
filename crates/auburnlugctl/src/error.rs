//! Errors of the operator tool and the exit codes that go with them.

use std::io;

use auburnlug_protocol::operator::Fault;
use auburnlug_state::Index;
use quick_error::quick_error;

/// Result of the operator tool.
pub type Result<T> = std::result::Result<T, Error>;

quick_error! {
    /// Why a command was not carried out.
    #[derive(Debug)]
    pub enum Error {
        /// The change was refused and had no effect.
        Refused(text: String) {
            display("refused: {text}")
        }
        /// Another change came first.
        Conflict(version: Index, operator: String, id: String) {
            display("refused: version {version} by operator {operator} (change {id}) came first")
        }
        /// The command line or a file on it is not usable.
        Usage(text: String) {
            display("{text}")
        }
        /// A file can't be read.
        File(path: String, error: io::Error) {
            display("{path}: {error}")
            source(error)
        }
        /// No control instance gave an answer, and the change was not sent to any.
        Unreachable(text: String) {
            display("no control instance reachable: {text}")
        }
        /// The change was sent, and its answer was lost.
        Unknown(text: String) {
            display("effect unknown: {text}")
        }
        /// A request can't be made from the given values.
        Fault(error: Fault) {
            display("{error}")
            source(error)
            from()
        }
        /// A name or a template is not valid.
        State(error: auburnlug_state::Error) {
            display("{error}")
            source(error)
            from()
        }
    }
}

impl Error {
    /// Exit code: 1 refused, 2 usage, 3 unreachable or unknown.
    pub fn exit_code(&self) -> u8 {
        match self {
            Error::Refused(_) | Error::Conflict(..) => 1,
            Error::Usage(_) | Error::File(..) | Error::Fault(_) | Error::State(_) => 2,
            Error::Unreachable(_) | Error::Unknown(_) => 3,
        }
    }
}
