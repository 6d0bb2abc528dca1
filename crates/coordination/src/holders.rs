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
/// Holders of a server keep their place as long as they are there, so that few connections move
/// when an entry comes or goes. New ones are taken near the server, and of those the one with the
/// fewest servers. `regions` names the region of each failure domain that is known.
pub fn choose(
    entries: &BTreeMap<Name, Place>,
    servers: &BTreeMap<Arc<str>, Needy>,
    regions: &BTreeMap<Arc<str>, Arc<str>>,
    current: &BTreeMap<Arc<str>, Holders>,
) -> BTreeMap<Arc<str>, Holders> {
    let mut load: BTreeMap<&Name, usize> = entries.keys().map(|name| (name, 0)).collect();
    let mut chosen: BTreeMap<Arc<str>, Vec<Name>> = BTreeMap::new();
    for id in servers.keys() {
        let former = current.get(id).into_iter().flatten().map(|(name, _)| name);
        let kept: Vec<Name> = former.filter(|name| entries.contains_key(*name)).cloned().collect();
        for name in &kept {
            if let Some(count) = load.get_mut(name) {
                *count += 1;
            }
        }
        chosen.insert(id.clone(), kept);
    }
    for turn in 0..2 {
        for (id, server) in servers {
            let Some(names) = chosen.get_mut(id) else { continue };
            if names.len() > turn {
                continue;
            }
            let region = regions.get(&server.domain);
            let free = entries.iter().filter(|(name, _)| !names.contains(name));
            let best = free.min_by_key(|(name, place)| {
                let far = place.domain != server.domain;
                let farther = region != Some(&place.region);
                (far, farther, load.get(name).copied().unwrap_or(0))
            });
            if let Some((name, _)) = best {
                names.push(name.clone());
                if let Some(count) = load.get_mut(name) {
                    *count += 1;
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
