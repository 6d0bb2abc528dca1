//! Errors of the operator tool, and their exit codes.

use std::io;

use auburnlug_protocol::operator::RequestError;
use auburnlug_state::Index;
use quick_error::quick_error;

/// Result of the operator tool.
pub type Result<T> = std::result::Result<T, Error>;

quick_error! {
    /// Why a command failed.
    #[derive(Debug)]
    pub enum Error {
        /// The change was refused and had no effect.
        Refused(text: String) {
            display("refused: {text}")
        }
        /// Another change was applied to the same base version first.
        Conflict(version: Index, operator: String, id: String) {
            display("refused: version {version} by operator {operator} (change {id}) came first")
        }
        /// The command line, the standard input or a file on the command line is not valid.
        Usage(text: String) {
            display("{text}")
        }
        /// A file or the standard input cannot be read.
        File(path: String, error: io::Error) {
            display("{path}: {error}")
            source(error)
        }
        /// No control instance answered, and no change was sent to any.
        Unreachable(text: String) {
            display("no control instance reachable: {text}")
        }
        /// The change was sent, but no definite answer arrived.
        EffectUnknown(text: String) {
            display("effect unknown: {text}")
        }
        /// The given values do not make a valid request.
        InvalidRequest(error: RequestError) {
            display("{error}")
            source(error)
            from()
        }
        /// A name or a template is not valid.
        InvalidValue(error: auburnlug_state::Error) {
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
            Error::Usage(_)
            | Error::File(..)
            | Error::InvalidRequest(_)
            | Error::InvalidValue(_) => 2,
            Error::Unreachable(_) | Error::EffectUnknown(_) => 3,
        }
    }
}
