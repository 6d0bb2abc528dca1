//! Errors of the state layer.

use std::fmt;

use quick_error::quick_error;

/// Result of the state layer.
pub type Result<T> = std::result::Result<T, Error>;

/// An error of the state layer; [`Error::category`] returns its kind.
pub struct Error {
    kind: Kind,
}

/// Kind of a state error.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Category {
    /// A name has an invalid length or an invalid character.
    Name,
    /// A value cannot be encoded as a record.
    Encode,
    /// Stored bytes differ from what was written.
    Corrupt,
    /// A template is not valid INI text.
    Syntax,
    /// A section or a key of a template is not valid.
    Template,
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
        Syntax(text: String) {
            display("template: {text}")
        }
        Template(section: String, key: String, allowed: String) {
            display("section [{section}]{key}: allowed is {allowed}")
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
            Kind::Syntax(..) => Category::Syntax,
            Kind::Template(..) => Category::Template,
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

    pub(crate) fn syntax(text: String) -> Error {
        Error { kind: Kind::Syntax(text) }
    }

    /// Creates an error about a key of a section, or about the section itself if `key` is empty.
    pub(crate) fn template(section: &str, key: &str, allowed: &str) -> Error {
        let truncate = |text: &str| text.chars().take(80).collect::<String>();
        let key = if key.is_empty() { String::new() } else { format!(", key {}", truncate(key)) };
        Error { kind: Kind::Template(truncate(section), key, allowed.into()) }
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
