//! Errors of the state layer.

use std::fmt;

use quick_error::quick_error;

/// Result of the state layer.
pub type Result<T> = std::result::Result<T, Error>;

/// An error of the state layer; [`Error::category`] tells its kind.
pub struct Error {
    kind: Kind,
}

/// Kind of a state error.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Category {
    /// A name has a wrong length or a wrong character.
    Name,
    /// A value cannot be encoded.
    Encode,
    /// Stored bytes are not what was written.
    Corrupt,
}

quick_error! {
    #[derive(Debug)]
    enum Kind {
        Name(text: String) {
            display("{text:?} is not a name: 1 to 63 characters of a-z, 0-9, '-', '_' and '.'")
        }
        Encode(text: String) {
            display("the value cannot be encoded: {text}")
        }
        Corrupt(text: &'static str) {
            display("corrupt record: {text}")
        }
    }
}

impl Error {
    /// Kind of this error.
    pub fn category(&self) -> Category {
        match self.kind {
            Kind::Name(..) => Category::Name,
            Kind::Encode(..) => Category::Encode,
            Kind::Corrupt(..) => Category::Corrupt,
        }
    }

    pub(crate) fn name(text: &str) -> Error {
        let text = text.chars().take(80).collect();
        Error { kind: Kind::Name(text) }
    }

    pub(crate) fn encode(text: String) -> Error {
        Error { kind: Kind::Encode(text) }
    }

    pub(crate) fn corrupt(text: &'static str) -> Error {
        Error { kind: Kind::Corrupt(text) }
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
