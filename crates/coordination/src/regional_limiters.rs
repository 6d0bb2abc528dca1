//! Regional limiters: entries that admit operations for the other entries of their region.
//!
//! In a large fleet an entry sees operations of most client accounts only rarely. A rate share
//! would be wasted there, and a request to the control leader for each operation would make
//! admission depend on it. So the entries of a region forward the operations of an account to one
//! of a few regional limiters, which sees enough of them to use a rate share. Each entry prefers
//! the same regional limiter for an account, and tries the next one if that does not answer.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    hash::{DefaultHasher, Hash, Hasher},
    sync::Arc,
};

use auburnlug_state::Name;

use crate::connection_owners::Location;

/// Entries of a region per regional limiter.
const ENTRIES_PER_LIMITER: usize = 12;

/// Minimum number of regional limiters in a region, so that one may fail.
const MIN_LIMITERS_PER_REGION: usize = 2;

/// Regional limiters by region.
pub type RegionalLimiters = BTreeMap<Arc<str>, BTreeSet<Name>>;

/// Chooses the regional limiters of all regions. Those of `current` that are among `entries` stay,
/// as they hold rate shares.
pub fn choose(entries: &BTreeMap<Name, Location>, current: &RegionalLimiters) -> RegionalLimiters {
    let mut regions: BTreeMap<Arc<str>, BTreeMap<&Name, &Arc<str>>> = BTreeMap::new();
    for (name, location) in entries {
        regions.entry(location.region.clone()).or_default().insert(name, &location.domain);
    }
    let chosen = |(region, entries): (Arc<str>, BTreeMap<&Name, &Arc<str>>)| {
        let former = current.get(&region).into_iter().flatten();
        let former = former.filter(|name| entries.contains_key(*name));
        (region, choose_in_region(&entries, former.collect()))
    };
    regions.into_iter().map(chosen).collect()
}

fn choose_in_region(entries: &BTreeMap<&Name, &Arc<str>>, former: Vec<&Name>) -> BTreeSet<Name> {
    let count =
        entries.len().div_ceil(ENTRIES_PER_LIMITER).max(MIN_LIMITERS_PER_REGION).min(entries.len());
    let mut chosen: BTreeSet<&Name> = former.into_iter().take(count).collect();
    while chosen.len() < count {
        let in_domain =
            |domain| chosen.iter().filter(|name| entries.get(*name) == Some(domain)).count();
        let free = entries.iter().filter(|(name, _)| !chosen.contains(*name));
        let Some((name, _)) = free.min_by_key(|(name, domain)| (in_domain(domain), **name)) else {
            break;
        };
        chosen.insert(name);
    }
    chosen.into_iter().cloned().collect()
}

/// Minimum burst of an account whose rate is divided between regions. With a smaller burst, the
/// part of a region would not cover operations that arrive together.
const MIN_REGIONAL_BURST: f64 = 12.0;

/// Burst of a region per regional limiter that serves an account. With several of them, a network
/// partition that separates some from their entries leaves others on each side.
const BURST_PER_LIMITER: f64 = 4.0;

/// Regional limiters that an entry tries before the control leader: those of its region, and some
/// of other regions. A network partition may leave an entry only a few limiters that it reaches.
const MAX_LIMITER_ATTEMPTS: usize = 6;

/// Regional limiters of its region that an entry tries first.
const LOCAL_LIMITER_ATTEMPTS: usize = 2;

/// Regional limiters that `entry` in `region` tries for an operation of a client account with this
/// burst, in order of preference.
///
/// The entries of a region spread a large account over several regional limiters; each entry
/// always prefers the same one. After those of its region an entry tries one of each other region,
/// then the rest.
pub fn preference_order<'a>(
    delegates: &'a RegionalLimiters,
    (region, entry): (&str, &Name),
    account: &str,
    burst: f64,
) -> Vec<&'a Name> {
    let ranked = |names: &mut Vec<&'a Name>| names.sort_by_cached_key(|n| rank(account, n));
    if burst < MIN_REGIONAL_BURST {
        let mut names: Vec<&Name> = delegates.values().flatten().collect();
        ranked(&mut names);
        names.truncate(MAX_LIMITER_ATTEMPTS);
        return names;
    }
    let count = (burst / delegates.len() as f64 / BURST_PER_LIMITER) as usize;
    let regional = |names: &'a BTreeSet<Name>| {
        let mut names: Vec<&Name> = names.iter().collect();
        ranked(&mut names);
        names.truncate(count.max(1));
        let first = rank(account, entry).0 as usize % names.len().max(1);
        names.rotate_left(first);
        names
    };
    let local = delegates.get(region).map(regional).unwrap_or_default();
    let others = delegates.iter().filter(|(name, _)| ***name != *region);
    let (mut nearest, mut rest) = (local, Vec::new());
    rest.extend(nearest.split_off(nearest.len().min(LOCAL_LIMITER_ATTEMPTS)));
    for names in others.map(|(_, names)| regional(names)) {
        let mut names = names.into_iter();
        nearest.extend(names.next());
        rest.extend(names);
    }
    let mut names: Vec<&Name> = nearest.into_iter().chain(rest).collect();
    names.truncate(MAX_LIMITER_ATTEMPTS);
    names
}

fn rank(account: &str, name: &Name) -> Reverse<u64> {
    let mut hasher = DefaultHasher::new();
    (account, name.as_str()).hash(&mut hasher);
    Reverse(hasher.finish())
}
