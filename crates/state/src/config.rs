//! The configuration in force: groups, routes and client accounts.

use std::{
    collections::{BTreeMap, BTreeSet},
    ops::RangeInclusive,
};

use serde::{Deserialize, Serialize};

use crate::{Error, Name, Result};

/// Allowed rate of a client account, in requests/s.
pub(crate) const RATES: RangeInclusive<f64> = 0.1..=1_000_000.0;

/// Allowed burst of a client account, in requests. A request takes one token, so a smaller burst
/// would refuse every request.
pub(crate) const BURSTS: RangeInclusive<f64> = 1.0..=1_000_000.0;

/// Allowed age of reads, in milliseconds.
pub(crate) const AGES: RangeInclusive<u64> = 0..=3_600_000;

/// Client account of callers without a key.
pub(crate) const PUBLIC: &str = "public";

/// Hexadecimal digits of a SHA-256.
const HASH_DIGITS: usize = 64;

/// Configuration derived from the template and the changes after it.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// Database groups.
    pub groups: BTreeMap<Name, Group>,
    /// Routes, by name.
    pub routes: BTreeMap<Name, Route>,
    /// Client accounts.
    pub accounts: BTreeMap<Name, Account>,
}

/// A database group.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Group {
    /// Number of servers; a majority of it must hold a write.
    pub size: u32,
    /// Database name that callers connect to.
    pub database: Name,
}

/// What a statement does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// Reads only; a replica may serve it.
    Read,
    /// May write; the primary serves it.
    Write,
}

/// Scheduling class of a statement.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Class {
    /// Somebody waits for it.
    Interactive,
    /// A job that may wait.
    Batch,
}

/// A family of statements.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Prefix of the normalised statement (lower case, single spaces).
    pub statement: String,
    /// Read or write.
    pub kind: Kind,
    /// Whether it may run twice without harm.
    pub idempotent: bool,
    /// Whether it may run without a key.
    pub open: bool,
    /// Scheduling class.
    pub class: Class,
}

/// A client account.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Account {
    /// Requests a second over all instances.
    pub rate: f64,
    /// Requests that may come at once.
    pub burst: f64,
    /// Accepted age of reads, in milliseconds.
    pub age: u64,
    /// SHA-256 of its keys, in hexadecimal.
    pub keys: BTreeSet<String>,
}

impl Config {
    /// Client account that the key with this SHA-256 (in lower-case hexadecimal) belongs to.
    pub fn account_of_key(&self, key: &str) -> Option<&Name> {
        self.accounts.iter().find(|(_, a)| a.keys.contains(key)).map(|(name, _)| name)
    }

    /// First client account with a key that an earlier one has too.
    pub(crate) fn shared_key(&self) -> Option<&Name> {
        let mut seen = BTreeSet::new();
        let mut shared = |account: &Account| account.keys.iter().any(|k| !seen.insert(k.clone()));
        self.accounts.iter().find(|(_, a)| shared(a)).map(|(name, _)| name)
    }
}

/// Checks rate (requests/s), burst (requests) and age of reads (ms) of a client account.
///
/// # Errors
///
/// The first value outside its range, with the range.
pub fn check_limits(account: &Name, rate: f64, burst: f64, age: u64) -> Result<()> {
    let fault = |key: &str, allowed: String| {
        Err(Error::template(&format!("account {account}"), key, &allowed))
    };
    if !RATES.contains(&rate) {
        return fault("rate", format!("{} to {} requests/s", RATES.start(), RATES.end()));
    }
    if !BURSTS.contains(&burst) {
        return fault("burst", format!("{} to {} requests", BURSTS.start(), BURSTS.end()));
    }
    if !AGES.contains(&age) {
        return fault("age", format!("{} to {} ms", AGES.start(), AGES.end()));
    }
    Ok(())
}

/// The SHA-256 of a key in lower case; `None` if the text is not 64 hexadecimal digits.
pub fn key_hash(text: &str) -> Option<String> {
    let valid = text.len() == HASH_DIGITS && text.bytes().all(|c| c.is_ascii_hexdigit());
    valid.then(|| text.to_ascii_lowercase())
}
