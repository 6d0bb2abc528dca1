//! What heartbeats may change in the directory of servers.

// The setting for tests in clippy.toml does not reach helper functions in test files.
#![allow(clippy::unwrap_used, clippy::panic)]

use auburnlug_coordination::registration::{
    Conflict, Decision, Displaced, EarlierRuns, Place, decide,
};
use auburnlug_state::{
    Applied,
    fleet::{Backend, Fleet, FleetChange, GroupPrimary, Incarnation},
};
use proptest::prelude::*;

fn backend(id: &str, group: &str, host: u8, run: u64) -> Backend {
    Backend {
        id: id.into(),
        group: group.into(),
        address: ([10, 0, 0, host], 80).into(),
        domain: "d".into(),
        slots: 3,
        draining: false,
        run: Incarnation(run),
        cold: false,
    }
}

/// A group with the primary `p` and the replicas `r1` and `r2`.
fn fleet() -> Fleet {
    let mut fleet = Fleet::default();
    for (host, id) in [(1, "p"), (2, "r1"), (3, "r2")] {
        fleet.apply(&FleetChange::Record(backend(id, "g", host, 10)));
    }
    let lead = GroupPrimary { term: 3, primary: Some("p".into()), ..Default::default() };
    fleet.apply(&FleetChange::Lead { group: "g".into(), after: 0, lead });
    fleet
}

fn unconfirmed(fleet: &Fleet, reported: &Backend) -> Decision {
    decide(fleet, reported, 1, None, false)
}

/// Applies the changes that a confirmed heartbeat leads to.
fn record_confirmed(fleet: &mut Fleet, reported: &Backend) {
    let Decision::Record(displaced) = decide(fleet, reported, 1, None, true) else {
        panic!("not recorded: {reported:?}");
    };
    for Displaced { id, run } in displaced {
        assert_eq!(fleet.apply(&FleetChange::Forget { id, run }), Applied::Done);
    }
    assert_eq!(fleet.apply(&FleetChange::Record(reported.clone())), Applied::Done);
}

/// One heartbeat took the name or the address of a server that was running, and a failover that
/// did not compare the server lost its commits.
#[test]
fn name_and_address_of_a_recorded_server_need_a_confirmation() {
    let fleet = fleet();
    for (reported, holder, place) in [
        (backend("x", "other", 2, 99), "r1", Place::Address),
        (backend("x", "other", 2, 1), "r1", Place::Address),
        (backend("x", "g", 1, 99), "p", Place::Address),
        (backend("r1", "other", 2, 99), "r1", Place::Name),
        (backend("p", "other", 1, 99), "p", Place::Name),
        (backend("r1", "g", 9, 99), "r1", Place::Name),
        (backend("r1", "g", 9, 10), "r1", Place::Name),
        (backend("r1", "g", 3, 99), "r2", Place::Address),
    ] {
        let conflict = Conflict { holder: holder.into(), place };
        assert_eq!(unconfirmed(&fleet, &reported), Decision::Confirm(conflict), "{reported:?}");
    }
}

/// A check of the configured groups would depend on when a heartbeat arrives.
#[test]
fn the_configuration_does_not_matter() {
    let reported = backend("x", "other", 2, 99);
    let decision = unconfirmed(&fleet(), &reported);
    let mut configured = fleet();
    let plan = std::sync::Arc::new(auburnlug_state::fleet::FleetConfig {
        version: 1,
        ..Default::default()
    });
    configured.apply(&FleetChange::Deploy { plan, document: "{}".into() });
    assert_eq!(unconfirmed(&configured, &reported), decision);
}

#[test]
fn servers_that_take_nobodys_place_are_recorded_at_once() {
    for fleet in [Fleet::default(), fleet()] {
        for reported in [backend("new", "g", 9, 1), backend("new", "other", 9, 1)] {
            assert_eq!(unconfirmed(&fleet, &reported), Decision::Record(Vec::new()));
        }
    }
    let fleet = fleet();
    let draining = Backend { draining: true, ..backend("r1", "g", 2, 10) };
    for reported in [draining, backend("r1", "g", 2, 20)] {
        assert_eq!(unconfirmed(&fleet, &reported), Decision::Record(Vec::new()));
    }
    assert_eq!(unconfirmed(&fleet, &backend("r1", "g", 2, 10)), Decision::Unchanged);
}

#[test]
fn late_heartbeats_are_outdated() {
    let fleet = fleet();
    let recorded = Displaced { id: "r1".into(), run: Incarnation(10) };
    assert_eq!(unconfirmed(&fleet, &backend("r1", "g", 2, 9)), Decision::EarlierRun(recorded));
    let draining = Backend { draining: true, ..backend("r1", "g", 2, 10) };
    let latest = |sequence| Some((Incarnation(10), sequence));
    assert_eq!(decide(&fleet, &draining, 4, latest(5), false), Decision::Outdated);
    // The answer to the first copy was lost.
    assert_eq!(decide(&fleet, &draining, 5, latest(5), false), Decision::Record(Vec::new()));
}

/// A server that is confirmed gets its place back from a record that anyone can have caused, also
/// with a later start time, and does not count as one that has left.
#[test]
fn a_confirmed_server_gets_its_place_back() {
    let replica = backend("r1", "g", 2, 10);
    for foreign in [
        backend("x", "other", 2, 99),
        backend("x", "g", 2, 99),
        backend("r1", "other", 2, 99),
        backend("r1", "other", 9, 99),
        backend("r1", "g", 9, 99),
    ] {
        let mut fleet = fleet();
        fleet.apply(&FleetChange::Record(foreign.clone()));
        assert_ne!(fleet.backends.get("r1"), Some(&replica), "{foreign:?}");
        assert!(matches!(unconfirmed(&fleet, &replica), Decision::Confirm(_)), "{foreign:?}");
        record_confirmed(&mut fleet, &replica);
        assert_eq!(fleet.backends.get("r1"), Some(&replica), "{foreign:?}");
        assert!(fleet.backends.get("x").is_none(), "{foreign:?}");
        let pending = &fleet.departures["g"].pending;
        assert!(!pending.values().any(|departed| departed.run == replica.run), "{foreign:?}");
    }
}

#[test]
fn a_foreign_record_from_before_the_first_configuration_yields() {
    let mut fleet = Fleet::default();
    fleet.apply(&FleetChange::Record(backend("x", "other", 2, 99)));
    let replica = backend("r1", "g", 2, 10);
    assert!(matches!(unconfirmed(&fleet, &replica), Decision::Confirm(_)));
    record_confirmed(&mut fleet, &replica);
    assert_eq!(fleet.backends.values().collect::<Vec<_>>(), [&replica]);
}

/// A replica whose place was taken may have had commits that its successor does not have.
#[test]
fn a_replica_that_lost_its_place_has_left() {
    for run in [5, 10, 20] {
        let mut fleet = fleet();
        record_confirmed(&mut fleet, &backend("new", "g", 2, run));
        assert_eq!(fleet.departures["g"].end(), None, "run {run}");
        assert!(fleet.departures["g"].pending.contains_key("r1"), "run {run}");
    }
}

/// One heartbeat with a later start time made all later ones of a running server count as outdated,
/// so that it could not announce that it leaves.
#[test]
fn a_process_that_goes_on_reporting_is_recorded_again() {
    let (id, run) = ("r1".into(), Incarnation(10));
    let mut earlier = EarlierRuns::default();
    assert!(!earlier.report(&id, run, 4, 1_000));
    assert!(!earlier.report(&id, run, 5, 2_200));
    assert!(!earlier.report(&id, run, 6, 3_400));
    assert!(earlier.report(&id, run, 7, 4_600));
    let mut fleet = fleet();
    let replica = backend("r1", "g", 2, 10);
    fleet.apply(&FleetChange::Record(backend("r1", "g", 2, 99)));
    let Decision::EarlierRun(Displaced { id, run }) = unconfirmed(&fleet, &replica) else {
        panic!("not an earlier run");
    };
    fleet.apply(&FleetChange::Forget { id, run });
    fleet.apply(&FleetChange::Record(replica.clone()));
    assert_eq!(fleet.backends.get("r1"), Some(&replica));
}

/// Heartbeats of a crashed process that arrive late must not displace the one that has started again.
#[test]
fn late_heartbeats_do_not_displace_a_process_that_reports() {
    let (id, run) = ("r1".into(), Incarnation(10));
    let mut earlier = EarlierRuns::default();
    for n in 0..10 {
        assert!(!earlier.report(&id, run, n, 1_000 + n * 1_200));
        earlier.clear("r1");
    }
    // Copies of one heartbeat, and one of a third process.
    for n in 0..10 {
        assert!(!earlier.report(&id, run, 4, 20_000 + n * 1_200));
    }
    assert!(!earlier.report(&id, Incarnation(9), 50, 60_000));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(512) })]

    /// Without a confirmation, no series of heartbeats takes a server's name, group or address.
    #[test]
    fn unconfirmed_heartbeats_take_no_place(
        beats in prop::collection::vec((0..5_usize, 0..3_usize, 1..6_u8, 5..15_u64, any::<bool>()), 1..20)
    ) {
        let mut fleet = fleet();
        let before = fleet.clone();
        for (id, group, host, run, draining) in beats {
            let (id, group) = (["p", "r1", "r2", "x", "y"][id], ["g", "other", "third"][group]);
            let reported = Backend { draining, ..backend(id, group, host, run) };
            if let Decision::Record(displaced) = unconfirmed(&fleet, &reported) {
                prop_assert!(displaced.is_empty());
                prop_assert_eq!(fleet.apply(&FleetChange::Record(reported)), Applied::Done);
            }
            for (id, known) in before.backends.iter() {
                let now = &fleet.backends[id];
                prop_assert_eq!((&now.group, now.address), (&known.group, known.address));
            }
        }
    }
}
