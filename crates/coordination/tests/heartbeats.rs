//! Heartbeats of a thousand servers at the control members.

use std::{collections::BTreeMap, sync::Arc};

use auburnlug_coordination::heartbeats::{changes_nothing, receiver};
use auburnlug_state::{
    Name,
    fleet::{Backend, Fleet, FleetChange, GroupPrimary, Incarnation},
};

fn name(text: &str) -> Name {
    Name::try_from(text).expect("a valid name")
}

fn backend(id: &str) -> Backend {
    Backend {
        id: id.into(),
        group: "g".into(),
        address: "127.0.0.1:5432".parse().expect("an address"),
        domain: "a".into(),
        slots: 3,
        cold: false,
        draining: false,
        run: Incarnation(1),
    }
}

fn fleet() -> Fleet {
    let mut fleet = Fleet::default();
    fleet.apply(&FleetChange::Record(backend("p")));
    let lead = GroupPrimary { term: 1, primary: Some("p".into()), ..GroupPrimary::default() };
    fleet.apply(&FleetChange::Lead { group: "g".into(), after: 0, lead });
    fleet
}

/// The leader of a large fleet answers no heartbeats that change nothing; those of the others are
/// spread evenly, and a member that is lost takes only its own servers with it.
#[test]
fn heartbeats_of_a_large_fleet_are_spread_over_the_other_members() {
    let leader = name("m0");
    let followers = ["m1", "m2", "m3"].map(name).into();
    let receivers = |followers| {
        let mut receivers: BTreeMap<Arc<str>, Name> = BTreeMap::new();
        for server in 0..1_000 {
            let id: Arc<str> = format!("s{server}").into();
            receivers.insert(id.clone(), receiver(&leader, followers, &id, 1_000).clone());
        }
        receivers
    };
    let all = receivers(&followers);
    for follower in &followers {
        let count = all.values().filter(|name| *name == follower).count();
        assert!((250..=420).contains(&count), "{count} servers at {}", follower.as_str());
    }
    let left = receivers(&["m1", "m2"].map(name).into());
    let moved = all.iter().filter(|(id, name)| left[*id] != **name);
    assert!(moved.clone().all(|(_, name)| *name == self::name("m3")));
}

/// A small fleet, and one without other members, keep all heartbeats at the leader.
#[test]
fn a_small_fleet_reports_to_the_leader() {
    let leader = name("m0");
    assert_eq!(*receiver(&leader, &["m1"].map(name).into(), "s", 60), leader);
    assert_eq!(*receiver(&leader, &[].into(), "s", 1_000), leader);
}

/// A changed record, a lost role and an unexpected claim reach the leader.
#[test]
fn only_heartbeats_that_change_nothing_are_answered_by_a_follower() {
    let fleet = fleet();
    assert!(changes_nothing(&fleet, &backend("p"), true));
    assert!(!changes_nothing(&fleet, &backend("p"), false));
    assert!(!changes_nothing(&fleet, &backend("unknown"), false));
    let draining = Backend { draining: true, ..backend("p") };
    assert!(!changes_nothing(&fleet, &draining, true));
    let restarted = Backend { run: Incarnation(2), ..backend("p") };
    assert!(!changes_nothing(&fleet, &restarted, true));
}
