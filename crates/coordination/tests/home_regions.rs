//! Home regions: which servers may run a request and which entries may carry it.

// The setting for tests in clippy.toml does not reach helper functions in test files.
#![allow(clippy::unwrap_used)]

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use auburnlug_coordination::home_regions::{self, DomainRegions, HomeRegions, ServerSite};
use auburnlug_state::Name;

fn regions(names: &[&str]) -> BTreeSet<Arc<str>> {
    names.iter().map(|name| Arc::from(*name)).collect()
}

fn homes(route: &[&str], account: &[&str]) -> HomeRegions {
    HomeRegions::new(&regions(route), Some(&regions(account)))
}

#[test]
fn both_sets_bind() {
    let allowed =
        |homes: &HomeRegions| ["north", "south", "west"].map(|region| homes.contains(Some(region)));
    assert_eq!(allowed(&homes(&[], &[])), [true, true, true]);
    assert_eq!(allowed(&homes(&["north"], &[])), [true, false, false]);
    assert_eq!(allowed(&homes(&[], &["south", "west"])), [false, true, true]);
    assert_eq!(allowed(&homes(&["north", "south"], &["south", "west"])), [false, true, false]);
    // Disjoint homes allow no region.
    assert_eq!(allowed(&homes(&["north"], &["south"])), [false, false, false]);
}

#[test]
fn a_server_whose_region_is_unknown_is_not_at_home() {
    assert!(homes(&[], &[]).contains(None));
    assert!(!homes(&["north"], &[]).contains(None));
    let known = BTreeMap::from([("north-a".into(), "north".into())]);
    let mut domains = DomainRegions::new(known);
    domains.learn(&"north-a".into(), &"south".into());
    domains.learn(&"south-a".into(), &"south".into());
    let found = ["north-a", "south-a", "west-a"].map(|domain| domains.region_of(domain));
    assert_eq!(found, [Some("north"), Some("south"), None]);
}

#[test]
fn only_owners_at_home_and_the_entry_itself_receive_a_request() {
    let [me, other] = ["10.0.0.1", "10.0.0.2"].map(|name| Name::try_from(name).unwrap());
    let homes = homes(&["north"], &[]);
    assert!(homes.allows_owner(&other, "north", &me));
    assert!(homes.allows_owner(&me, "south", &me));
    assert!(!homes.allows_owner(&other, "south", &me));
}

/// Guards against requests that are held until their deadline although all servers of their home
/// regions are lost or drain, and against a refusal while one of them is about to serve.
#[test]
fn requests_wait_only_for_servers_at_home() {
    let ready = ServerSite { at_home: true, eligible: true, owned: true, reachable: true };
    let prospect = |sites: &[ServerSite]| home_regions::have_prospect(sites.iter().copied());
    assert!(!prospect(&[]));
    assert!(prospect(&[ready]));
    assert!(!prospect(&[ServerSite { at_home: false, ..ready }]));
    assert!(!prospect(&[ServerSite { eligible: false, ..ready }]));
    // All connection owners are away.
    let unreachable = ServerSite { reachable: false, ..ready };
    assert!(!prospect(&[unreachable]));
    // The first assignment of connection owners follows.
    assert!(prospect(&[ServerSite { owned: false, ..unreachable }]));
}
