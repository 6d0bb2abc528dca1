//! The configuration: database groups, routes and client accounts.

use std::{
    collections::{BTreeMap, BTreeSet},
    ops::RangeInclusive,
};

use serde::{Deserialize, Serialize};

use crate::{Error, Name, Result};

/// Allowed rates of a client account, in requests/s.
pub(crate) const RATE_RANGE: RangeInclusive<f64> = 0.1..=1_000_000.0;

/// Allowed bursts of a client account, in requests. A request takes one token, so a burst below 1
/// would refuse every request.
pub(crate) const BURST_RANGE: RangeInclusive<f64> = 1.0..=1_000_000.0;

pub(crate) const READ_AGE_RANGE_MS: RangeInclusive<u64> = 0..=3_600_000;

/// Client account of callers without a key.
pub(crate) const PUBLIC_ACCOUNT: &str = "public";

const SHA256_HEX_DIGITS: usize = 64;

/// Configuration that results from the template and the changes applied after it.
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
    /// Number of servers; a write must be stored by a majority of this number.
    pub size: u32,
    /// Database name that callers connect to.
    pub database: Name,
}

/// Whether a statement reads or writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// Only reads; a replica may serve it.
    Read,
    /// May write; the primary serves it.
    Write,
}

/// Scheduling class of a statement.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Class {
    /// A user waits for the answer.
    Interactive,
    /// A background job, which may be delayed.
    Batch,
}

/// Treatment of all statements with the same prefix.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Prefix of the normalized statement (lower case, single spaces).
    pub statement: String,
    /// Read or write.
    pub kind: Kind,
    /// Whether the statement is idempotent, so that it may be retried.
    pub idempotent: bool,
    /// Whether callers without a key may run it.
    pub open: bool,
    /// Scheduling class.
    pub class: Class,
}

/// A client account.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Account {
    /// Requests/s over all instances together.
    pub rate: f64,
    /// Capacity of the token bucket, in requests.
    pub burst: f64,
    /// Maximum age of the data that reads return, in milliseconds.
    pub age: u64,
    /// SHA-256 of its keys, in hexadecimal.
    pub keys: BTreeSet<String>,
}

impl Config {
    /// Returns the client account that the key with this SHA-256 (lower-case hexadecimal) belongs
    /// to.
    pub fn account_of_key(&self, key: &str) -> Option<&Name> {
        self.accounts.iter().find(|(_, a)| a.keys.contains(key)).map(|(name, _)| name)
    }

    /// Returns the first client account that has a key in common with an earlier one.
    pub(crate) fn find_account_with_shared_key(&self) -> Option<&Name> {
        let mut seen = BTreeSet::new();
        let mut has_seen_key =
            |account: &Account| account.keys.iter().any(|k| !seen.insert(k.clone()));
        self.accounts.iter().find(|(_, a)| has_seen_key(a)).map(|(name, _)| name)
    }
}

/// Checks the rate (requests/s), burst (requests) and maximum read age (ms) of a client account.
///
/// # Errors
///
/// Names the first value that is outside its range, and the range.
pub fn check_account_limits(account: &Name, rate: f64, burst: f64, age: u64) -> Result<()> {
    let range_error = |key: &str, allowed: String| {
        Err(Error::template(&format!("account {account}"), key, &allowed))
    };
    if !RATE_RANGE.contains(&rate) {
        return range_error(
            "rate",
            format!("{} to {} requests/s", RATE_RANGE.start(), RATE_RANGE.end()),
        );
    }
    if !BURST_RANGE.contains(&burst) {
        return range_error(
            "burst",
            format!("{} to {} requests", BURST_RANGE.start(), BURST_RANGE.end()),
        );
    }
    if !READ_AGE_RANGE_MS.contains(&age) {
        return range_error(
            "age",
            format!("{} to {} ms", READ_AGE_RANGE_MS.start(), READ_AGE_RANGE_MS.end()),
        );
    }
    Ok(())
}

/// Converts the SHA-256 of a key to lower case; `None` if `text` is not 64 hexadecimal digits.
pub fn parse_key_hash(text: &str) -> Option<String> {
    let valid = text.len() == SHA256_HEX_DIGITS && text.bytes().all(|c| c.is_ascii_hexdigit());
    valid.then(|| text.to_ascii_lowercase())
}
