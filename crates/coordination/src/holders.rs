//! Which entries hold connections to the servers of a group.
//!
//! A server accepts few connections, and each belongs to one client account. A holder needs several
//! to keep the accounts' connections warm, so a group has as many holders as get a useful number
//! each; the other entries forward to the nearest of them.

use std::{collections::BTreeMap, sync::Arc};

use auburnlug_state::Name;

/// Connections to each server that a holder needs.
const LEAST: u32 = 6;

/// Connections to each server that no holder gets: for the control leader, and for those that a
/// lost holder's server has not dropped yet.
const RESERVE: u32 = 2;

/// Place of an entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Place {
    /// Region.
    pub region: Arc<str>,
    /// Failure domain.
    pub domain: Arc<str>,
}

/// Holders of a group with the connections of each.
pub type Holders = BTreeMap<Name, u32>;

/// Chooses the holders of a group whose servers accept `limit` connections.
///
/// Entries of all failure domains take turns, and those that hold the group already go first, so
/// that few connections move when an entry comes or goes. `spread` differs between groups, so that
/// their holders do too.
pub fn choose(
    entries: &BTreeMap<Name, Place>,
    current: &Holders,
    limit: u32,
    spread: usize,
) -> Holders {
    let usable = limit.saturating_sub(RESERVE).max(1);
    let count = ((usable / LEAST).max(1) as usize).min(entries.len());
    let mut domains: BTreeMap<&Arc<str>, Vec<&Name>> = BTreeMap::new();
    for (name, place) in entries {
        domains.entry(&place.domain).or_default().push(name);
    }
    for names in domains.values_mut() {
        let turn = spread % names.len();
        names.rotate_left(turn);
        names.sort_by_key(|name| !current.contains_key(name.as_str()));
    }
    let mut lists: Vec<Vec<&Name>> = domains.into_values().collect();
    if !lists.is_empty() {
        let turn = spread % lists.len();
        lists.rotate_left(turn);
    }
    let longest = lists.iter().map(Vec::len).max().unwrap_or(0);
    let turns = (0..longest).flat_map(|row| lists.iter().filter_map(move |list| list.get(row)));
    let chosen: Vec<&Name> = turns.take(count).copied().collect();
    let each = usable / u32::try_from(chosen.len().max(1)).unwrap_or(1);
    chosen.into_iter().map(|name| (name.clone(), each)).collect()
}
