//! Errors of the transport layer.

use std::{
    fmt, io,
    path::{Path, PathBuf},
};

use quick_error::quick_error;
use tokio_tungstenite::tungstenite;

use crate::disk;

/// Result of the transport layer.
pub type Result<T> = std::result::Result<T, Error>;

/// An error of the transport layer; [`Error::category`] returns its category.
pub struct Error {
    kind: Kind,
}

/// Category of a transport error.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Category {
    /// A socket or file operation failed.
    Io,
    /// The peer violated the protocol.
    Protocol,
    /// The peer failed authentication.
    Authentication,
    /// The peer closed the connection.
    Closed,
    /// A file named by the settings cannot be used.
    File,
    /// The instance cannot continue.
    Stopped,
    /// The Raft core refused its input.
    Raft,
    /// The data folder failed or is damaged.
    Disk,
}

quick_error! {
    #[derive(Debug)]
    enum Kind {
        Io(cause: io::Error) {
            display("{cause}")
        }
        Socket(cause: Box<tungstenite::Error>) {
            display("{cause}")
        }
        Protocol(cause: auburnlug_protocol::Error) {
            display("{cause}")
        }
        Authentication {
            display("the peer does not have the cluster secret")
        }
        Closed {
            display("the connection was closed")
        }
        File(file: PathBuf, reason: String) {
            display("{}: {reason}", file.display())
        }
        Stopped(reason: String) {
            display("{reason}")
        }
        Disk(cause: disk::Error) {
            display("{cause}")
        }
        Raft(cause: auburnlug_coordination::Error) {
            display("{cause}")
        }
    }
}

impl Error {
    /// Category of this error.
    pub fn category(&self) -> Category {
        match self.kind {
            Kind::Io(..) => Category::Io,
            Kind::Socket(..) | Kind::Protocol(..) => Category::Protocol,
            Kind::Authentication => Category::Authentication,
            Kind::Closed => Category::Closed,
            Kind::File(..) => Category::File,
            Kind::Stopped(..) => Category::Stopped,
            Kind::Raft(..) => Category::Raft,
            Kind::Disk(..) => Category::Disk,
        }
    }

    pub(crate) fn authentication() -> Error {
        Error { kind: Kind::Authentication }
    }

    pub(crate) fn closed() -> Error {
        Error { kind: Kind::Closed }
    }

    pub(crate) fn file(file: &Path, reason: &dyn fmt::Display) -> Error {
        Error { kind: Kind::File(file.into(), reason.to_string()) }
    }

    pub(crate) fn stopped(reason: String) -> Error {
        Error { kind: Kind::Stopped(reason) }
    }
}

impl From<io::Error> for Error {
    fn from(cause: io::Error) -> Error {
        Error { kind: Kind::Io(cause) }
    }
}

impl From<tungstenite::Error> for Error {
    fn from(cause: tungstenite::Error) -> Error {
        Error { kind: Kind::Socket(Box::new(cause)) }
    }
}

impl From<disk::Error> for Error {
    fn from(cause: disk::Error) -> Error {
        Error { kind: Kind::Disk(cause) }
    }
}

impl From<auburnlug_coordination::Error> for Error {
    fn from(cause: auburnlug_coordination::Error) -> Error {
        Error { kind: Kind::Raft(cause) }
    }
}

impl From<auburnlug_protocol::Error> for Error {
    fn from(cause: auburnlug_protocol::Error) -> Error {
        Error { kind: Kind::Protocol(cause) }
    }
}

impl fmt::Debug for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(&self.kind, f)
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.kind, f)
    }
}

impl std::error::Error for Error {}
