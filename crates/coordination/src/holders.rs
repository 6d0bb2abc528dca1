//! Which entries hold connections to which server.
//!
//! A server accepts few connections, each belongs to one client account, and it runs few statements
//! at once. So one entry near it, its first holder, gets most of the connections: it keeps the
//! accounts' connections warm and queues what waits for a slot in one place. A second holder has
//! the rest, so that the server stays in use when the first one is lost. All other entries forward.

use std::{collections::BTreeMap, sync::Arc};

use auburnlug_state::Name;

/// Connections to each server that no holder gets: for the control leader, and for connections of a
/// lost holder that the server has not dropped yet.
const RESERVE: u32 = 2;

/// Part of the connections that the first holder gets.
const FIRST: f64 = 0.6;

/// Place of an entry or a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Place {
    /// Region.
    pub region: Arc<str>,
    /// Failure domain.
    pub domain: Arc<str>,
}

/// A server whose connections are spread.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Needy {
    /// Failure domain.
    pub domain: Arc<str>,
    /// Connections that it accepts.
    pub limit: u32,
}

/// Holders of a server with the connections of each, the first holder first.
pub type Holders = Vec<(Name, u32)>;

/// Chooses the holders of all servers.
///
/// Holders are taken near the server: a statement takes several ways between the two. Among those
/// that are equally near, the ones that hold the server already keep it, so that few connections
/// move when an entry comes or goes, unless they have more than their part of the servers.
/// `regions` names the region of each failure domain that is known.
pub fn choose(
    entries: &BTreeMap<Name, Place>,
    servers: &BTreeMap<Arc<str>, Needy>,
    regions: &BTreeMap<Arc<str>, Arc<str>>,
    current: &BTreeMap<Arc<str>, Holders>,
) -> BTreeMap<Arc<str>, Holders> {
    let mut chosen: BTreeMap<Arc<str>, Vec<Name>> = BTreeMap::new();
    for turn in 0..2 {
        // First and second holders are spread apart from each other: the second ones idle.
        let mut load: BTreeMap<&Name, usize> = entries.keys().map(|name| (name, 0)).collect();
        for (id, server) in servers {
            let names = chosen.entry(id.clone()).or_default();
            let near = entries.values().filter(|place| place.domain == server.domain).count();
            let there = servers.values().filter(|other| other.domain == server.domain).count();
            let part = there.div_ceil(near.max(1));
            let former = current.get(id).and_then(|holders| holders.get(turn));
            let region = regions.get(&server.domain);
            let free = entries.iter().filter(|(name, _)| !names.contains(name));
            let best = free.min_by_key(|(name, place)| {
                let held = load.get(name).copied().unwrap_or(0);
                let keeps = former.is_some_and(|(former, _)| former == *name) && held < part;
                let far = place.domain != server.domain;
                (far, region != Some(&place.region), !keeps, held)
            });
            if let Some((name, _)) = best {
                names.push(name.clone());
                if let Some(held) = load.get_mut(name) {
                    *held += 1;
                }
            }
        }
    }
    let shared = |(id, names): (Arc<str>, Vec<Name>)| {
        let limit = servers.get(&id).map_or(0, |server| server.limit);
        (id, share(names, limit))
    };
    chosen.into_iter().map(shared).collect()
}

fn share(names: Vec<Name>, limit: u32) -> Holders {
    let usable = limit.saturating_sub(RESERVE).max(2);
    let first = if names.len() == 1 { usable } else { (f64::from(usable) * FIRST).ceil() as u32 };
    let shares = [first, usable - first];
    names.into_iter().zip(shares).collect()
}
