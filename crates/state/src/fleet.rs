//! Replicated state of a fleet: a deployment whose configuration is published as one document and
//! whose primaries are promoted by an external authority.
//!
//! The configuration with the highest version is in force. The primary of a group is recorded both
//! before a promotion is ordered and after it took effect, and the server to promote is recorded
//! before the order is sent, so that a new control leader can continue an external failover.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::{Applied, Millis, Name, Position, Term, backends::Backends, departures::Departures};

/// Fleet configuration published by an operator.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetConfig {
    /// Version; the highest one is in force.
    pub version: u64,
    /// Databases that callers can connect to, by name.
    pub databases: BTreeMap<Arc<str>, Database>,
    /// Database groups, by name.
    pub groups: BTreeMap<Arc<str>, GroupConfig>,
    /// Client accounts, by name.
    pub accounts: BTreeMap<Arc<str>, AccountConfig>,
    /// Time after which an idle transaction may be ended, in milliseconds.
    pub idle: Millis,
}

/// Commits that reads of a database must see.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Freshness {
    /// Every acknowledged commit; reads run on the primary.
    Newest,
    /// Every commit acknowledged more than this many milliseconds ago.
    Bounded(Millis),
    /// As [`Freshness::Bounded`], and also every commit of the same session.
    Session(Millis),
}

/// A database that callers can connect to.
///
/// Serialized field names are short, as a configuration may have thousands of databases.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Database {
    /// Database group that holds it.
    #[serde(rename = "g")]
    pub group: Arc<str>,
    /// Commits that its reads must see.
    #[serde(rename = "f")]
    pub freshness: Freshness,
    /// Timeout of a statement, in milliseconds.
    #[serde(rename = "t")]
    pub timeout: Millis,
    /// Latency objective of an operation, in milliseconds.
    #[serde(rename = "o")]
    pub latency_objective: Millis,
    /// Priority; 0 goes first.
    #[serde(rename = "p")]
    pub priority: u32,
    /// Whether callers need no key.
    #[serde(rename = "n")]
    pub anonymous: bool,
    /// Home regions: servers elsewhere do not run its statements. Empty for all regions.
    #[serde(rename = "h", default, skip_serializing_if = "BTreeSet::is_empty")]
    pub homes: BTreeSet<Arc<str>>,
}

/// Limits of a database group.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GroupConfig {
    /// Connections that one server accepts from all instances together.
    #[serde(rename = "c")]
    pub max_connections: u32,
    /// Replicas that must have received a commit before it is acknowledged.
    #[serde(rename = "s")]
    pub synchronous_replicas: u32,
    /// Statements/s that a server gets while it is cold; `None` for no limit.
    #[serde(rename = "w", default, skip_serializing_if = "Option::is_none")]
    pub cold_rate: Option<f64>,
}

/// Keys and limits of a client account.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AccountConfig {
    /// SHA-256 of its keys.
    #[serde(rename = "k")]
    pub keys: BTreeSet<KeyHash>,
    /// Operations/s; `None` for no limit.
    #[serde(rename = "r")]
    pub rate: Option<f64>,
    /// Capacity of the token bucket, in operations.
    #[serde(rename = "b")]
    pub burst: f64,
    /// Priority; 0 goes first.
    #[serde(rename = "p")]
    pub priority: u32,
    /// Home regions: servers elsewhere do not run its statements. Empty for all regions.
    #[serde(rename = "h", default, skip_serializing_if = "BTreeSet::is_empty")]
    pub homes: BTreeSet<Arc<str>>,
}

/// SHA-256 of a caller's key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct KeyHash([u8; 32]);

impl From<&str> for KeyHash {
    fn from(key: &str) -> KeyHash {
        KeyHash(Sha256::digest(key.as_bytes()).into())
    }
}

impl FleetConfig {
    /// Returns the client account that the key belongs to.
    pub fn account_of_key(&self, key: &KeyHash) -> Option<&Arc<str>> {
        self.accounts.iter().find(|(_, account)| account.keys.contains(key)).map(|(name, _)| name)
    }
}

/// Incarnation of a server process; increases with each start of the same server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

/// A backend server, as reported by its heartbeats.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Backend {
    /// Identity.
    pub id: Arc<str>,
    /// Database group.
    pub group: Arc<str>,
    /// Address that accepts connections.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: Arc<str>,
    /// Maximum number of concurrent statements.
    pub slots: u32,
    /// Whether it is draining.
    pub draining: bool,
    /// Incarnation of its process.
    pub run: Incarnation,
    /// Whether its process has just started and its group limits the rate of such servers.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub cold: bool,
}

/// Primary of a database group.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupPrimary {
    /// Term of the group's log; 0 while it is not known.
    pub term: Term,
    /// Primary of the term; `None` while a replacement is being promoted.
    pub primary: Option<Arc<str>>,
    /// Previous primary, while a replacement is being promoted.
    pub former: Option<Arc<str>>,
    /// Promotion that may have been ordered; recorded before the order is sent.
    #[serde(default)]
    pub ordered: Option<OrderedPromotion>,
}

/// Server whose promotion is ordered from the authority.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderedPromotion {
    /// Server.
    pub server: Arc<str>,
    /// Incarnation of its process, whose log was compared.
    pub run: Incarnation,
}

/// A change to the state of the fleet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum FleetChange {
    /// Puts a fleet configuration in force, if its version is higher than the one in force.
    Deploy {
        /// Decoded configuration.
        plan: Arc<FleetConfig>,
        /// The document as received; operators read it back unchanged.
        document: Arc<str>,
    },
    /// Adds or replaces a server.
    Record(Backend),
    /// Removes a server, if its incarnation still matches.
    Forget {
        /// Identity.
        id: Arc<str>,
        /// Incarnation that ended.
        run: Incarnation,
    },
    /// Records that a replica that has left had received nothing beyond a position.
    Cover {
        /// Database group.
        group: Arc<str>,
        /// Identity of the replica.
        id: Arc<str>,
        /// Incarnation that left.
        run: Incarnation,
        /// Position that covers its log.
        end: Position,
    },
    /// Records the primary of a group, if the recorded term is `after`.
    Lead {
        /// Database group.
        group: Arc<str>,
        /// Recorded term on which the decision is based.
        after: Term,
        /// New record.
        lead: GroupPrimary,
    },
    /// Records the promotion to order for a group without a primary, or that the recorded one has
    /// had no effect, if the recorded term is `after` and the recorded promotion is `before`.
    Order {
        /// Database group.
        group: Arc<str>,
        /// Recorded term on which the decision is based.
        after: Term,
        /// Recorded promotion on which the decision is based.
        before: Option<OrderedPromotion>,
        /// New record.
        ordered: Option<OrderedPromotion>,
    },
    /// Adds entries before they are granted leases, and removes entries whose leases have ended.
    Entries {
        /// Incarnations of entries that joined.
        joined: BTreeMap<Name, u64>,
        /// Incarnations of entries that left.
        left: BTreeMap<Name, u64>,
    },
    /// Starts or ends the evacuation of a failure domain. Members of versions without evacuations
    /// cannot read it.
    Evacuate {
        /// Failure domain.
        domain: Arc<str>,
        /// Whether the evacuation starts.
        begin: bool,
    },
}

/// State of the fleet.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Fleet {
    /// Configuration in force.
    pub plan: Arc<FleetConfig>,
    /// Document of that configuration; empty before the first one.
    pub document: Arc<str>,
    /// Known servers.
    pub backends: Backends,
    /// Primaries of groups.
    pub leads: BTreeMap<Arc<str>, GroupPrimary>,
    /// Incarnations of the entries that may hold leases and rate shares.
    #[serde(default)]
    pub entries: BTreeMap<Name, u64>,
    /// Replicas that have left, by group.
    #[serde(default)]
    pub departures: BTreeMap<Arc<str>, Departures>,
    /// Failure domains that were ever evacuated, and whether each one is now.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub evacuations: BTreeMap<Arc<str>, bool>,
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
            FleetChange::Record(backend) => return self.record_backend(backend),
            FleetChange::Forget { id, run } => {
                if self.backends.get(id).is_none_or(|known| known.run != *run) {
                    return Applied::Stale;
                }
                self.remove_backend(id, None);
            }
            FleetChange::Cover { group, id, run, end } => {
                let departures = self.departures.get_mut(group);
                if !departures.is_some_and(|departures| departures.cover(id, *run, *end)) {
                    return Applied::Stale;
                }
            }
            FleetChange::Lead { group, after, lead } => {
                let known = self.leads.entry(group.clone()).or_default();
                // A promotion that may take effect is followed by a later term or by its removal.
                let is_ordered = lead.term == known.term && known.ordered.is_some();
                if known.term != *after || lead.term < known.term || is_ordered {
                    return Applied::Stale;
                }
                *known = lead.clone();
            }
            FleetChange::Order { group, after, before, ordered } => {
                let Some(known) = self.leads.get_mut(group) else { return Applied::Stale };
                if known.term != *after || known.primary.is_some() || known.ordered != *before {
                    return Applied::Stale;
                }
                known.ordered = ordered.clone();
            }
            FleetChange::Entries { joined, left } => {
                self.entries.retain(|name, run| left.get(name) != Some(run));
                self.entries.extend(joined.iter().map(|(name, run)| (name.clone(), *run)));
            }
            FleetChange::Evacuate { domain, begin } => {
                self.evacuations.insert(domain.clone(), *begin);
            }
        }
        Applied::Done
    }

    /// Adds or replaces a server, and removes another server that had the same address before.
    fn record_backend(&mut self, backend: &Backend) -> Applied {
        let known_run = self.backends.get(&backend.id).map(|known| known.run);
        if known_run.is_some_and(|run| run > backend.run) {
            return Applied::Stale;
        }
        let has_same_address =
            |known: &&Backend| known.address == backend.address && known.id != backend.id;
        if let Some(replaced) = self.backends.values().find(has_same_address) {
            if replaced.run > backend.run {
                return Applied::Stale;
            }
            let id = replaced.id.clone();
            self.remove_backend(&id, Some(backend));
        }
        // A server that starts again may have lost its log.
        if known_run.is_some_and(|run| run < backend.run) {
            self.remove_backend(&backend.id, Some(backend));
        }
        for departures in self.departures.values_mut() {
            departures.register(backend);
        }
        self.backends.insert(backend.clone());
        Applied::Done
    }

    /// Removes a server; a replica counts as departed. `started` is the server that took its name or
    /// address.
    fn remove_backend(&mut self, id: &str, started: Option<&Backend>) {
        let Some(backend) = self.backends.remove(id) else { return };
        let Some(lead) = self.leads.get(&backend.group) else { return };
        let primary = lead.primary.as_ref().or(lead.former.as_ref());
        if primary.is_none_or(|primary| *primary != backend.id) {
            self.departures.entry(backend.group.clone()).or_default().record(&backend, started);
        }
    }

    /// Returns whether a failure domain is evacuated.
    pub fn is_evacuated(&self, domain: &str) -> bool {
        self.evacuations.get(domain).copied().unwrap_or(false)
    }

    /// Returns the evacuated failure domains.
    pub fn evacuated_domains(&self) -> BTreeSet<Arc<str>> {
        let evacuated = self.evacuations.iter().filter(|(_, evacuated)| **evacuated);
        evacuated.map(|(domain, _)| domain.clone()).collect()
    }

    /// Whether the servers of a group get fewer statements while they are cold.
    pub fn limits_cold_servers(&self, group: &str) -> bool {
        self.plan.groups.get(group).is_some_and(|group| group.cold_rate.is_some())
    }

    /// Returns the servers of a group.
    pub fn backends_of(&self, group: &str) -> impl Iterator<Item = &Backend> {
        self.backends.of_group(group)
    }
}
