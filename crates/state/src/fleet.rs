//! Replicated state of a deployment whose configuration arrives whole and whose servers are
//! promoted by another authority.
//!
//! The configuration with the highest version is in force. Which server leads a group is recorded
//! here before a promotion is ordered and again after it took effect, so that a new control leader
//! continues from there.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::{Applied, Millis, Name, Term};

/// A configuration as an operator published it.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// Version; the highest one is in force.
    pub version: u64,
    /// Databases that callers connect to, by name.
    pub databases: BTreeMap<Arc<str>, Database>,
    /// Database groups, by name.
    pub groups: BTreeMap<Arc<str>, GroupPlan>,
    /// Client accounts, by name.
    pub accounts: BTreeMap<Arc<str>, AccountPlan>,
    /// Time after which an idle transaction may be ended, in milliseconds.
    pub idle: Millis,
}

/// What reads of a database must see.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Freshness {
    /// Every acknowledged commit: reads run at the primary.
    Newest,
    /// Every commit acknowledged more than this many milliseconds ago.
    Bounded(Millis),
    /// As [`Freshness::Bounded`], and every commit of the same session.
    Session(Millis),
}

/// A database as callers see it. The names on the wire are short: there may be thousands.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Database {
    /// Database group that holds it.
    #[serde(rename = "g")]
    pub group: Arc<str>,
    /// What its reads must see.
    #[serde(rename = "f")]
    pub freshness: Freshness,
    /// Limit of one statement, in milliseconds.
    #[serde(rename = "t")]
    pub timeout: Millis,
    /// Latency objective of an operation, in milliseconds.
    #[serde(rename = "o")]
    pub objective: Millis,
    /// Priority; 0 goes first.
    #[serde(rename = "p")]
    pub priority: u32,
    /// Whether callers need no key.
    #[serde(rename = "n")]
    pub open: bool,
}

/// Limits of a database group.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GroupPlan {
    /// Connections that one server accepts from all instances together.
    #[serde(rename = "c")]
    pub connections: u32,
    /// Replicas that must have received a commit before it is acknowledged.
    #[serde(rename = "s")]
    pub synchronous: u32,
}

/// Keys and limits of a client account.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AccountPlan {
    /// SHA-256 of its keys.
    #[serde(rename = "k")]
    pub keys: BTreeSet<KeyHash>,
    /// Operations a second; `None` without a limit.
    #[serde(rename = "r")]
    pub rate: Option<f64>,
    /// Operations that may come at once.
    #[serde(rename = "b")]
    pub burst: f64,
    /// Priority; 0 goes first.
    #[serde(rename = "p")]
    pub priority: u32,
}

/// SHA-256 of a caller's key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct KeyHash([u8; 32]);

impl From<&str> for KeyHash {
    fn from(key: &str) -> KeyHash {
        KeyHash(Sha256::digest(key.as_bytes()).into())
    }
}

impl Plan {
    /// Client account that holds the key.
    pub fn account_of(&self, key: &KeyHash) -> Option<&Arc<str>> {
        self.accounts.iter().find(|(_, account)| account.keys.contains(key)).map(|(name, _)| name)
    }
}

/// Run of a server process; a later run of the same server is greater.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Run(pub u64);

/// A backend server as it described itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Backend {
    /// Identity.
    pub id: Arc<str>,
    /// Database group.
    pub group: Arc<str>,
    /// Address that takes connections.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: Arc<str>,
    /// Statements that run at once.
    pub slots: u32,
    /// Whether it is leaving.
    pub draining: bool,
    /// Run of its process.
    pub run: Run,
}

/// Who leads a database group.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lead {
    /// Term of the group's log; 0 while it is not known.
    pub term: Term,
    /// Server that leads the term; `None` while it is being replaced.
    pub primary: Option<Arc<str>>,
    /// Server that led before, while it is being replaced.
    pub former: Option<Arc<str>>,
}

/// A change of the fleet's state.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum FleetChange {
    /// Puts a configuration in force, if its version is higher than the one in force.
    Deploy {
        /// Decoded configuration.
        plan: Arc<Plan>,
        /// Document as it was received; read back unchanged.
        document: Arc<str>,
    },
    /// Records what a server said of itself.
    Record(Backend),
    /// Removes a server, if the run still matches.
    Forget {
        /// Identity.
        id: Arc<str>,
        /// Run that ended.
        run: Run,
    },
    /// Records who leads a group, if the recorded term is `after`.
    Lead {
        /// Database group.
        group: Arc<str>,
        /// Recorded term that the decision was made from.
        after: Term,
        /// New record.
        lead: Lead,
    },
    /// Records entries before they are given leases, and drops those that hold none any more.
    Entries {
        /// Runs of entries that joined.
        joined: BTreeMap<Name, u64>,
        /// Runs of entries that left.
        left: BTreeMap<Name, u64>,
    },
}

/// State of the fleet.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Fleet {
    /// Configuration in force.
    pub plan: Arc<Plan>,
    /// Document of that configuration; empty before the first.
    pub document: Arc<str>,
    /// Known servers.
    pub backends: BTreeMap<Arc<str>, Backend>,
    /// Leaders of groups.
    pub leads: BTreeMap<Arc<str>, Lead>,
    /// Runs of the entries that may hold leases and shares.
    #[serde(default)]
    pub entries: BTreeMap<Name, u64>,
}

impl Fleet {
    /// Applies a committed change.
    pub fn apply(&mut self, change: &FleetChange) -> Applied {
        match change {
            FleetChange::Deploy { plan, document } => {
                if plan.version <= self.plan.version {
                    return Applied::Stale;
                }
                self.plan = plan.clone();
                self.document = document.clone();
            }
            FleetChange::Record(backend) => return self.record(backend),
            FleetChange::Forget { id, run } => {
                if self.backends.get(id).is_none_or(|known| known.run != *run) {
                    return Applied::Stale;
                }
                self.backends.remove(id);
            }
            FleetChange::Lead { group, after, lead } => {
                let known = self.leads.entry(group.clone()).or_default();
                if known.term != *after || lead.term < known.term {
                    return Applied::Stale;
                }
                *known = lead.clone();
            }
            FleetChange::Entries { joined, left } => {
                self.entries.retain(|name, run| left.get(name) != Some(run));
                self.entries.extend(joined.iter().map(|(name, run)| (name.clone(), *run)));
            }
        }
        Applied::Done
    }

    /// A server that took over an address replaces the one that had it before.
    fn record(&mut self, backend: &Backend) -> Applied {
        let later = |known: &Backend| known.run > backend.run;
        if self.backends.get(&backend.id).is_some_and(later) {
            return Applied::Stale;
        }
        let same = |known: &&Backend| known.address == backend.address && known.id != backend.id;
        if let Some(former) = self.backends.values().find(same) {
            if former.run > backend.run {
                return Applied::Stale;
            }
            let id = former.id.clone();
            self.backends.remove(&id);
        }
        self.backends.insert(backend.id.clone(), backend.clone());
        Applied::Done
    }

    /// Servers of a group.
    pub fn backends_of<'a>(&'a self, group: &'a str) -> impl Iterator<Item = &'a Backend> {
        self.backends.values().filter(move |backend| &*backend.group == group)
    }
}
