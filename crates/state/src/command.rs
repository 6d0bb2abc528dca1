//! Commands of the replicated log.
//!
//! A command that no longer matches the current state (an old term, an old epoch, another base
//! version) has no effect; the proposer gets the reason as [`crate::Applied`].

use std::{fmt, net::SocketAddr};

use serde::{Deserialize, Serialize};

use crate::{Index, Name, Term, fleet::FleetChange};

/// A change to the replicated state.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Changes the configuration, if the change is based on the version in force.
    Configure(Change),
    /// Adds an instance or replaces its record.
    Register(Instance),
    /// Removes an instance, if the incarnation still matches.
    Remove {
        /// Instance to remove.
        instance: Name,
        /// Incarnation that is known to have ended.
        incarnation: u64,
    },
    /// Assigns a shard to an instance and increments its epoch, if `epoch` is the current one.
    Assign {
        /// Shard to move.
        shard: Shard,
        /// New owner; `None` leaves the shard unassigned.
        instance: Option<Name>,
        /// Epoch on which the decision is based; 0 for a shard that was never assigned.
        epoch: u64,
    },
    /// Records a server's announcement.
    Announce(Server),
    /// Removes a server from its group.
    Forget(Name),
    /// Records a new term for a group, if `epoch` still owns it and `term` is the next one.
    Term {
        /// Database group.
        group: Name,
        /// New term.
        term: Term,
        /// Epoch of the group's owner.
        epoch: u64,
    },
    /// Records the primary of a term, if `epoch` still owns the group and the term is current.
    Primary {
        /// Database group.
        group: Name,
        /// Term of the primary.
        term: Term,
        /// Server that was promoted.
        server: Name,
        /// Epoch of the group's owner.
        epoch: u64,
    },
    /// Records that a server that joined the group later has all commits acknowledged before it
    /// joined, if `epoch` still owns the group and the term is current.
    Filled {
        /// Database group.
        group: Name,
        /// Term in which the server caught up.
        term: Term,
        /// Server that caught up.
        server: Name,
        /// Epoch of the group's owner.
        epoch: u64,
    },
    /// Changes the state of a fleet whose primaries are promoted by an external authority.
    Fleet(FleetChange),
}

/// A conditional change to the configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Idempotency key: a change that is sent again with the same id gets the first answer.
    pub id: Name,
    /// Operator who made it.
    pub operator: Name,
    /// Version that the change is based on; 0 before the first version.
    pub base: Index,
    /// What changes.
    pub edit: Edit,
}

/// What a change does to the configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Edit {
    /// Replaces the template, given as INI text. Granted and withdrawn keys stay as they are.
    Publish(String),
    /// Replaces the rate, the burst and the maximum read age of one client account.
    Account {
        /// Client account.
        account: Name,
        /// Rate, in requests/s.
        rate: f64,
        /// Burst, in requests.
        burst: f64,
        /// Maximum age of the data that reads return, in milliseconds.
        age: u64,
    },
    /// Removes a client account and withdraws its keys.
    Withdraw(Name),
    /// Adds a key to a client account.
    Grant {
        /// Client account.
        account: Name,
        /// SHA-256 of the key, in hexadecimal.
        key: String,
    },
    /// Withdraws a key of a client account.
    Revoke {
        /// Client account.
        account: Name,
        /// SHA-256 of the key, in hexadecimal.
        key: String,
    },
}

/// An instance of the system.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Instance {
    /// Name from its settings.
    pub name: Name,
    /// Number of this process start; greater than that of each earlier start.
    pub incarnation: u64,
    /// Address for links from other instances.
    pub peer: SocketAddr,
    /// Address of its HTTP listener.
    pub http: SocketAddr,
    /// Region.
    pub region: Name,
    /// Failure domain.
    pub domain: Name,
    /// Whether it accepts callers and owns shards.
    pub entry: bool,
}

/// Role of a database server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Accepts writes.
    Primary,
    /// Follows a primary.
    Replica,
}

/// A database server as it announced itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Server {
    /// Identity of the server.
    pub name: Name,
    /// Database group.
    pub group: Name,
    /// Random number of this start of the server process.
    pub incarnation: u64,
    /// Address that accepts connections.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: Name,
    /// Maximum number of concurrent statements.
    pub slots: u32,
    /// Maximum number of open connections.
    pub connections: u32,
    /// Whether the server is draining and must get no new work.
    pub draining: bool,
    /// Role that it claims; used only until the group has a recorded primary.
    pub role: Role,
    /// Term that it claims.
    pub term: Term,
}

/// A unit of ownership.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Shard {
    /// A database group.
    Group(Name),
    /// The rate and burst of a client account.
    Account(Name),
}

impl fmt::Display for Shard {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Shard::Group(name) => write!(f, "group/{name}"),
            Shard::Account(name) => write!(f, "account/{name}"),
        }
    }
}

/// Current owner of a shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardOwner {
    /// Owner; `None` while the shard is unassigned.
    pub instance: Option<Name>,
    /// Increases with each assignment.
    pub epoch: u64,
}
