//! Commands of the agreed log.
//!
//! A command that no longer fits the state it meets (an old term, an old epoch, another base
//! version) has no effect; [`crate::Applied`] tells the proposer why.

use std::{fmt, net::SocketAddr};

use serde::{Deserialize, Serialize};

use crate::{Index, Name, Term, fleet::FleetChange};

/// A change of the replicated state.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Changes the configuration, if its base version is the one in force.
    Configure(Change),
    /// Adds an instance or replaces its record.
    Register(Instance),
    /// Removes an instance, if the incarnation still matches.
    Remove {
        /// Instance to remove.
        instance: Name,
        /// Incarnation that was seen to end.
        incarnation: u64,
    },
    /// Gives a shard to an instance and raises its epoch, if `epoch` is the current one.
    Assign {
        /// Shard to move.
        shard: Shard,
        /// New holder; `None` leaves the shard unassigned.
        instance: Option<Name>,
        /// Epoch that the decision was made from; 0 for a shard never assigned.
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
    /// Records that a new server of a group holds all that was acknowledged before it came, if
    /// `epoch` still owns the group and the term is current.
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
    /// Changes the state of a deployment that another authority runs.
    Fleet(FleetChange),
}

/// A conditional change of the configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Identity of the change; a repeated identity gets the first answer.
    pub id: Name,
    /// Operator who made it.
    pub operator: Name,
    /// Version it was made from; 0 before the first.
    pub base: Index,
    /// What changes.
    pub edit: Edit,
}

/// What a change of the configuration does.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Edit {
    /// Replaces the template, given as INI text. Granted and withdrawn keys stay as they are.
    Publish(String),
    /// Replaces rate, burst and accepted age of one client account.
    Account {
        /// Client account.
        account: Name,
        /// Requests a second.
        rate: f64,
        /// Requests.
        burst: f64,
        /// Accepted age of reads, in milliseconds.
        age: u64,
    },
    /// Removes a client account with its keys.
    Withdraw(Name),
    /// Adds a key, as SHA-256 in hexadecimal, to a client account.
    Grant {
        /// Client account.
        account: Name,
        /// SHA-256 of the key, in hexadecimal.
        key: String,
    },
    /// Removes a key from a client account.
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
    /// Number of this run of the process; greater than that of each earlier run.
    pub incarnation: u64,
    /// Address for links from other instances.
    pub peer: SocketAddr,
    /// Address of its HTTP listener.
    pub http: SocketAddr,
    /// Region.
    pub region: Name,
    /// Failure domain.
    pub domain: Name,
    /// Whether it takes callers and owns shards.
    pub entry: bool,
}

/// Role of a database server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Takes writes.
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
    /// Random number of this run of the server.
    pub incarnation: u64,
    /// Address that takes connections.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: Name,
    /// Statements that may run at once.
    pub slots: u32,
    /// Connections that may be open at once.
    pub connections: u32,
    /// Whether the server is leaving and takes no new work.
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
pub struct Holder {
    /// Owner; `None` while the shard is unassigned.
    pub instance: Option<Name>,
    /// Grows with each assignment.
    pub epoch: u64,
}
