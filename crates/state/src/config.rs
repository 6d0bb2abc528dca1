//! The configuration in force: groups, routes and client accounts.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::Name;

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
