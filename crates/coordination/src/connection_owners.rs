//! Connection owners: the entries that hold connections to each backend server.
//!
//! A server accepts few connections, each belongs to one client account, and it runs few statements
//! at once. So one entry near it, its first connection owner, gets most of the connections: it
//! keeps those of the accounts open for reuse and has a single queue for the server's slots. A
//! second connection owner has the rest, so that the server stays in use when the first one fails.
//! All other entries forward.

use std::{collections::BTreeMap, sync::Arc};

use auburnlug_state::Name;

/// Connections of each server that are not assigned: for the control leader, and for connections of
/// a failed owner that the server has not closed yet.
const RESERVED_CONNECTIONS: u32 = 2;

/// Fraction of the connections that the first connection owner gets.
const FIRST_OWNER_FRACTION: f64 = 0.6;

/// Location of an entry or a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Location {
    /// Region.
    pub region: Arc<str>,
    /// Failure domain.
    pub domain: Arc<str>,
}

/// A server whose connections are assigned.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerLimit {
    /// Failure domain.
    pub domain: Arc<str>,
    /// Maximum number of connections that it accepts.
    pub limit: u32,
}

/// Connection owners of a server with the number of connections of each, the first owner first.
pub type ServerOwners = Vec<(Name, u32)>;

/// Chooses the connection owners of all servers.
///
/// Entries near the server are preferred, as a statement takes several round trips between the two.
/// Among equally near ones the current owners stay, so that few connections move when an entry
/// joins or leaves, unless they own more than their part of the servers. `regions` gives the
/// region of each known failure domain.
pub fn choose<'a>(
    entries: &'a BTreeMap<Name, Location>,
    servers: &BTreeMap<Arc<str>, ServerLimit>,
    regions: &BTreeMap<Arc<str>, Arc<str>>,
    current: &BTreeMap<Arc<str>, ServerOwners>,
) -> BTreeMap<Arc<str>, ServerOwners> {
    let places = Places::new(entries);
    let mut local_servers: BTreeMap<&Arc<str>, usize> = BTreeMap::new();
    for server in servers.values() {
        *local_servers.entry(&server.domain).or_default() += 1;
    }
    let mut chosen: BTreeMap<Arc<str>, Vec<Name>> = BTreeMap::new();
    for rank in 0..2 {
        // First and second owners are balanced separately, as the second ones are mostly idle.
        let mut load: BTreeMap<&Name, usize> = BTreeMap::new();
        for (id, server) in servers {
            let names = chosen.entry(id.clone()).or_default();
            let local_entries = places.domains.get(&server.domain).map_or(0, Vec::len);
            let servers_near = local_servers.get(&server.domain).copied().unwrap_or(0);
            let fair_part = servers_near.div_ceil(local_entries.max(1));
            let former = current.get(id).and_then(|holders| holders.get(rank));
            let cost = |name: &Name| {
                let owned = load.get(name).copied().unwrap_or(0);
                let stays = former.is_some_and(|(former, _)| former == name) && owned < fair_part;
                (!stays, owned)
            };
            let best = |near: &Vec<&'a Name>| {
                let free = near.iter().filter(|name| !names.contains(name));
                free.min_by_key(|name| cost(name)).copied()
            };
            let near = places.near(&server.domain, regions.get(&server.domain));
            if let Some(name) = near.into_iter().flatten().find_map(best) {
                names.push(name.clone());
                *load.entry(name).or_default() += 1;
            }
        }
    }
    let divided = |(id, names): (Arc<str>, Vec<Name>)| {
        let limit = servers.get(&id).map_or(0, |server| server.limit);
        (id, divide_connections(names, limit))
    };
    chosen.into_iter().map(divided).collect()
}

/// Entries by failure domain and by region.
struct Places<'a> {
    domains: BTreeMap<&'a Arc<str>, Vec<&'a Name>>,
    regions: BTreeMap<&'a Arc<str>, Vec<&'a Name>>,
    all: Vec<&'a Name>,
}

impl<'a> Places<'a> {
    fn new(entries: &'a BTreeMap<Name, Location>) -> Places<'a> {
        let (mut domains, mut regions) = (BTreeMap::new(), BTreeMap::new());
        for (name, location) in entries {
            domains.entry(&location.domain).or_insert_with(Vec::new).push(name);
            regions.entry(&location.region).or_insert_with(Vec::new).push(name);
        }
        Places { domains, regions, all: entries.keys().collect() }
    }

    /// Entries in a failure domain, those in its region, and all, the nearest first.
    fn near(&self, domain: &Arc<str>, region: Option<&Arc<str>>) -> [Option<&Vec<&'a Name>>; 3] {
        let region = region.and_then(|region| self.regions.get(region));
        [self.domains.get(domain), region, Some(&self.all)]
    }
}

fn divide_connections(names: Vec<Name>, limit: u32) -> ServerOwners {
    let usable = limit.saturating_sub(RESERVED_CONNECTIONS).max(2);
    let first = if names.len() == 1 {
        usable
    } else {
        (f64::from(usable) * FIRST_OWNER_FRACTION).ceil() as u32
    };
    let counts = [first, usable - first];
    names.into_iter().zip(counts).collect()
}
