//! Errors of the protocol layer.

use std::fmt;

use quick_error::quick_error;

/// Result of the protocol layer.
pub type Result<T> = std::result::Result<T, Error>;

/// An error of the protocol layer; [`Error::category`] returns its kind.
pub struct Error {
    kind: Kind,
}

/// Kind of a protocol error.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Category {
    /// A settings file is not valid.
    Settings,
    /// A message could not be encoded or decoded.
    Codec,
    /// An error of the state layer.
    State,
}

quick_error! {
    #[derive(Debug)]
    enum Kind {
        Settings(place: String, reason: String) {
            display("{place}: {reason}")
        }
        Codec(reason: String) {
            display("malformed message: {reason}")
        }
        State(cause: auburnlug_state::Error) {
            display("{cause}")
        }
    }
}

impl Error {
    /// Kind of this error.
    pub fn category(&self) -> Category {
        match self.kind {
            Kind::Settings(..) => Category::Settings,
            Kind::Codec(..) => Category::Codec,
            Kind::State(..) => Category::State,
        }
    }

    pub(crate) fn settings(place: impl Into<String>, reason: impl Into<String>) -> Error {
        Error { kind: Kind::Settings(place.into(), reason.into()) }
    }

    pub(crate) fn codec(reason: impl fmt::Display) -> Error {
        Error { kind: Kind::Codec(reason.to_string()) }
    }
}

impl From<auburnlug_state::Error> for Error {
    fn from(cause: auburnlug_state::Error) -> Error {
        Error { kind: Kind::State(cause) }
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
