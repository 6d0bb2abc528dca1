//! Errors of the data folder.

use std::{
    fmt, io,
    path::{Path, PathBuf},
};

use quick_error::quick_error;

/// Result of the data folder.
pub type Result<T> = std::result::Result<T, Error>;

/// An error of the data folder; [`Error::category`] returns its category.
pub struct Error {
    kind: Kind,
}

/// Category of a data folder error.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Category {
    /// A file operation failed.
    File,
    /// Another process uses the data folder.
    Locked,
    /// The data folder has another format version.
    Format,
    /// A file of the data folder is damaged.
    Corrupt,
    /// A file of the data folder is missing.
    Missing,
    /// An earlier operation of the disk failed, so the state of the folder is unknown.
    Stopped,
}

quick_error! {
    #[derive(Debug)]
    pub enum Kind {
        File(path: PathBuf, source: io::Error) {
            display("{}: {source}", path.display())
            source(source)
        }
        Locked(path: PathBuf) {
            display("{}: another process uses this data folder", path.display())
        }
        Format(path: PathBuf, text: String) {
            display("{}: format {text:?} is not supported", path.display())
        }
        Corrupt(path: PathBuf, at: u64, source: auburnlug_state::Error) {
            display("{}: byte {at}: {source}", path.display())
            source(source)
        }
        Order(path: PathBuf, at: u64, text: String) {
            display("{}: byte {at}: {text}", path.display())
        }
        Encode(path: PathBuf, source: auburnlug_state::Error) {
            display("{}: {source}", path.display())
            source(source)
        }
        Missing(path: PathBuf) {
            display("{}: file is missing", path.display())
        }
        Stopped {
            display("an earlier operation on the data folder failed; the member must stop")
        }
    }
}

impl Error {
    /// Category of this error.
    pub fn category(&self) -> Category {
        match self.kind {
            Kind::File(..) | Kind::Encode(..) => Category::File,
            Kind::Locked(..) => Category::Locked,
            Kind::Format(..) => Category::Format,
            Kind::Corrupt(..) | Kind::Order(..) => Category::Corrupt,
            Kind::Missing(..) => Category::Missing,
            Kind::Stopped => Category::Stopped,
        }
    }

    pub(crate) fn file(path: &Path) -> impl FnOnce(io::Error) -> Error {
        let path = path.to_owned();
        |source| Kind::File(path, source).into()
    }
}

impl From<Kind> for Error {
    fn from(kind: Kind) -> Error {
        Error { kind }
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

impl std::error::Error for Error {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        std::error::Error::source(&self.kind)
    }
}
