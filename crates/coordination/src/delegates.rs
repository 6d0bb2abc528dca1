//! Entries that admit operations for the others near them.
//!
//! In a large fleet an entry sees an operation of most client accounts only now and then. A share
//! of the rate would be wasted there, and a question to the control leader for each operation ties
//! admission to it. So the entries of a region leave an account to one of few delegates, which
//! sees enough of its operations to make use of a share. Each entry prefers the same delegate for
//! an account, and the next one if that does not answer.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    hash::{DefaultHasher, Hash, Hasher},
    sync::Arc,
};

use auburnlug_state::Name;

use crate::holders::Place;

/// Entries for which one delegate serves.
const PEERS: usize = 12;

/// Delegates of a region at least, so that one may be lost.
const LEAST: usize = 2;

/// Delegates of each region.
pub type Delegates = BTreeMap<Arc<str>, BTreeSet<Name>>;

/// Chooses the delegates of all regions; those of `current` stay if they are among `entries`, as
/// they hold shares.
pub fn choose(entries: &BTreeMap<Name, Place>, current: &Delegates) -> Delegates {
    let mut regions: BTreeMap<Arc<str>, BTreeMap<&Name, &Arc<str>>> = BTreeMap::new();
    for (name, place) in entries {
        regions.entry(place.region.clone()).or_default().insert(name, &place.domain);
    }
    let chosen = |(region, entries): (Arc<str>, BTreeMap<&Name, &Arc<str>>)| {
        let former = current.get(&region).into_iter().flatten();
        let former = former.filter(|name| entries.contains_key(*name));
        (region, choose_in(&entries, former.collect()))
    };
    regions.into_iter().map(chosen).collect()
}

fn choose_in(entries: &BTreeMap<&Name, &Arc<str>>, former: Vec<&Name>) -> BTreeSet<Name> {
    let count = entries.len().div_ceil(PEERS).max(LEAST).min(entries.len());
    let mut chosen: BTreeSet<&Name> = former.into_iter().take(count).collect();
    while chosen.len() < count {
        let there =
            |domain| chosen.iter().filter(|name| entries.get(*name) == Some(domain)).count();
        let free = entries.iter().filter(|(name, _)| !chosen.contains(*name));
        let Some((name, _)) = free.min_by_key(|(name, domain)| (there(domain), **name)) else {
            break;
        };
        chosen.insert(name);
    }
    chosen.into_iter().cloned().collect()
}

/// Burst from which on an account's rate is divided between regions. A smaller one would leave each
/// of them less than the operations that come together.
const DIVIDED: f64 = 12.0;

/// Burst for which one delegate more shares an account in a region. With several delegates, a cut
/// that separates some from their entries leaves others on each side.
const SHARED: f64 = 4.0;

/// Delegates that an entry asks before it turns to the control leader: those near it, and some in
/// other regions.
const TRIES: usize = 4;

/// Delegates that the entry `me` in `region` asks for an operation of a client account with this
/// burst, the preferred one first.
///
/// The entries of a region spread a large account over several delegates, each entry with the same
/// one first. After those of its region an entry asks those of other regions.
pub fn order<'a>(
    delegates: &'a Delegates,
    (region, me): (&str, &Name),
    account: &str,
    burst: f64,
) -> Vec<&'a Name> {
    let ranked = |names: &mut Vec<&'a Name>| names.sort_by_cached_key(|n| rank(account, n));
    if burst < DIVIDED {
        let mut names: Vec<&Name> = delegates.values().flatten().collect();
        ranked(&mut names);
        names.truncate(TRIES);
        return names;
    }
    let count = (burst / delegates.len() as f64 / SHARED) as usize;
    let serving = |names: &'a BTreeSet<Name>| {
        let mut names: Vec<&Name> = names.iter().collect();
        ranked(&mut names);
        names.truncate(count.max(1));
        let first = rank(account, me).0 as usize % names.len().max(1);
        names.rotate_left(first);
        names
    };
    let near = delegates.get(region).map(serving).unwrap_or_default();
    let others = delegates.iter().filter(|(name, _)| ***name != *region);
    let far = others.filter_map(|(_, names)| serving(names).first().copied());
    let mut names: Vec<&Name> = near.into_iter().take(TRIES / 2).chain(far).collect();
    names.truncate(TRIES);
    names
}

fn rank(account: &str, name: &Name) -> Reverse<u64> {
    let mut hasher = DefaultHasher::new();
    (account, name.as_str()).hash(&mut hasher);
    Reverse(hasher.finish())
}
