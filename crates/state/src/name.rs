//! Validated names of instances, client accounts, database groups and servers.

use std::{borrow::Borrow, fmt, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::{Error, Result};

/// The limit of a PostgreSQL identifier.
const MAX_NAME_BYTES: usize = 63;

/// A name of 1 to 63 bytes from `a-z`, `0-9`, `-`, `_` and `.`; cheap to clone.
///
/// ```
/// use auburnlug_state::Name;
/// assert!(Name::try_from("muscat-desk").is_ok());
/// assert!(Name::try_from("Muscat desk").is_err());
/// ```
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Name(Arc<str>);

impl Name {
    /// Returns the name as a string slice.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<&str> for Name {
    type Error = Error;

    fn try_from(text: &str) -> Result<Name> {
        let valid = |c: u8| c.is_ascii_lowercase() || c.is_ascii_digit() || b"-_.".contains(&c);
        if text.is_empty() || text.len() > MAX_NAME_BYTES || !text.bytes().all(valid) {
            return Err(Error::name(text));
        }
        Ok(Name(text.into()))
    }
}

impl TryFrom<String> for Name {
    type Error = Error;

    fn try_from(text: String) -> Result<Name> {
        Name::try_from(text.as_str())
    }
}

impl From<Name> for String {
    fn from(name: Name) -> String {
        name.0.as_ref().into()
    }
}

impl Borrow<str> for Name {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
