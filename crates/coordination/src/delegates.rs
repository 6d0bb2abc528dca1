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

/// Delegates that an entry asks before it turns to the control leader.
const TRIES: usize = 2;

/// Delegates that an entry in `region` asks for an operation of a client account with this burst,
/// the preferred one first. The order is the same at all entries.
pub fn order<'a>(
    delegates: &'a Delegates,
    region: &str,
    account: &str,
    burst: f64,
) -> Vec<&'a Name> {
    let divided = burst >= DIVIDED;
    let usable = delegates.iter().filter(|(name, _)| !divided || ***name == *region);
    let weight = |name: &&Name| {
        let mut hasher = DefaultHasher::new();
        (account, name.as_str()).hash(&mut hasher);
        Reverse(hasher.finish())
    };
    let mut names: Vec<&Name> = usable.flat_map(|(_, names)| names).collect();
    names.sort_by_cached_key(weight);
    names.truncate(TRIES);
    names
}
