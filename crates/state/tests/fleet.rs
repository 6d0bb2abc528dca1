//! Replicated state of a fleet: configuration versions, servers and primaries.

// clippy.toml allows unwrap in test functions only; this covers their helpers.
#![allow(clippy::unwrap_used)]

use std::sync::Arc;

use auburnlug_state::{
    Applied, Command, Machine, Name, Position,
    fleet::{
        Backend, Fleet, FleetChange, FleetConfig, GroupConfig, GroupPrimary, Incarnation,
        OrderedPromotion,
    },
    fleet_config_delta::FleetConfigDelta,
};

fn deploy(version: u64, text: &str) -> FleetChange {
    let plan = Arc::new(FleetConfig { version, ..FleetConfig::default() });
    FleetChange::Deploy { plan, document: text.into() }
}

fn backend(id: &str, port: u16, run: u64) -> Backend {
    Backend {
        id: id.into(),
        group: "g".into(),
        address: ([127, 0, 0, 1], port).into(),
        domain: "d".into(),
        slots: 3,
        draining: false,
        cold: false,
        run: Incarnation(run),
    }
}

#[test]
fn highest_version_is_in_force_in_any_order() {
    let mut fleet = Fleet::default();
    assert_eq!(fleet.apply(&deploy(7, "seven")), Applied::Done);
    assert_eq!(fleet.apply(&deploy(5, "five")), Applied::Stale);
    assert_eq!(fleet.apply(&deploy(7, "other seven")), Applied::Stale);
    assert_eq!((fleet.plan.version, &*fleet.document), (7, "seven"));
}

#[test]
fn late_heartbeat_of_an_earlier_incarnation_has_no_effect() {
    let mut fleet = Fleet::default();
    fleet.apply(&FleetChange::Record(backend("s", 1, 20)));
    assert_eq!(fleet.apply(&FleetChange::Record(backend("s", 2, 10))), Applied::Stale);
    assert_eq!(fleet.backends["s"], backend("s", 1, 20));
}

#[test]
fn newer_server_replaces_the_one_with_its_address() {
    let mut fleet = Fleet::default();
    fleet.apply(&FleetChange::Record(backend("old", 1, 10)));
    assert_eq!(fleet.apply(&FleetChange::Record(backend("new", 1, 20))), Applied::Done);
    assert!(!fleet.backends.contains_key("old"));
    // A late heartbeat of the replaced server.
    assert_eq!(fleet.apply(&FleetChange::Record(backend("old", 1, 10))), Applied::Stale);
}

#[test]
fn removal_of_an_earlier_incarnation_keeps_the_current_one() {
    let mut fleet = Fleet::default();
    fleet.apply(&FleetChange::Record(backend("s", 1, 20)));
    let removal = FleetChange::Forget { id: "s".into(), run: Incarnation(10) };
    assert_eq!(fleet.apply(&removal), Applied::Stale);
    assert!(fleet.backends.contains_key("s"));
}

#[test]
fn primary_is_recorded_only_if_the_term_is_unchanged() {
    let mut fleet = Fleet::default();
    let lead =
        |term, id: &str| GroupPrimary { term, primary: Some(id.into()), ..Default::default() };
    let change = |after, lead| FleetChange::Lead { group: "g".into(), after, lead };
    assert_eq!(fleet.apply(&change(0, lead(3, "a"))), Applied::Done);
    assert_eq!(fleet.apply(&change(0, lead(1, "b"))), Applied::Stale);
    assert_eq!(fleet.apply(&change(3, lead(4, "b"))), Applied::Done);
    assert_eq!(fleet.apply(&change(3, lead(4, "a"))), Applied::Stale);
    assert_eq!(fleet.leads["g"], lead(4, "b"));
}

#[test]
fn fleet_changes_are_applied_once_by_the_machine() {
    let mut machine = Machine::default();
    assert_eq!(machine.apply(1, &Command::Fleet(deploy(2, "two"))), Applied::Done);
    assert_eq!(machine.apply(1, &Command::Fleet(deploy(3, "three"))), Applied::Stale);
    assert_eq!(machine.fleet.plan.version, 2);
}

fn plan(version: u64, groups: &[(&str, u32)]) -> FleetConfig {
    let group =
        |max_connections| GroupConfig { max_connections, synchronous_replicas: 1, cold_rate: None };
    let groups = groups.iter().map(|(name, n)| ((*name).into(), group(*n))).collect();
    FleetConfig { version, groups, idle: version * 10, ..FleetConfig::default() }
}

#[test]
fn delta_turns_its_base_into_the_new_configuration() {
    let before = plan(4, &[("a", 1), ("b", 2), ("c", 3)]);
    let after = plan(9, &[("a", 1), ("b", 7), ("d", 4)]);
    let delta = FleetConfigDelta::between(&before, &after);
    assert_eq!(delta.apply(&before), Some(after.clone()));
    assert_eq!(delta.apply(&after), None);
    assert_eq!(delta.apply(&FleetConfig::default()), None);
}

#[test]
fn restarted_entry_is_not_removed_with_its_earlier_incarnation() {
    let name = |text: &str| Name::try_from(text).unwrap();
    let entries = |list: &[(&str, u64)]| list.iter().map(|(n, run)| (name(n), *run)).collect();
    let mut fleet = Fleet::default();
    let join = |joined| FleetChange::Entries { joined, left: entries(&[]) };
    fleet.apply(&join(entries(&[("a", 1), ("b", 1)])));
    fleet.apply(&join(entries(&[("a", 2)])));
    let left = entries(&[("a", 1), ("b", 1)]);
    fleet.apply(&FleetChange::Entries { joined: entries(&[]), left });
    assert_eq!(fleet.entries, entries(&[("a", 2)]));
}

/// Group `g` with primary `p` and replicas `r1` and `r2`, all of incarnation 10.
fn group() -> Fleet {
    let mut fleet = Fleet::default();
    for (id, port) in [("p", 1), ("r1", 2), ("r2", 3)] {
        fleet.apply(&FleetChange::Record(backend(id, port, 10)));
    }
    let lead = GroupPrimary { term: 3, primary: Some("p".into()), ..Default::default() };
    fleet.apply(&FleetChange::Lead { group: "g".into(), after: 0, lead });
    fleet
}

/// Removes the recorded primary.
fn start_failover() -> FleetChange {
    let lead = GroupPrimary { term: 3, former: Some("p".into()), ..Default::default() };
    FleetChange::Lead { group: "g".into(), after: 3, lead }
}

fn order(before: Option<&str>, server: Option<&str>) -> FleetChange {
    let promotion = |id: &str| OrderedPromotion { server: id.into(), run: Incarnation(10) };
    let (before, ordered) = (before.map(promotion), server.map(promotion));
    FleetChange::Order { group: "g".into(), after: 3, before, ordered }
}

/// Two control leaders ordered the promotion of different servers, and the later promotion rolled
/// back what the earlier one had committed.
#[test]
fn one_promotion_at_a_time_is_recorded() {
    let mut fleet = group();
    assert_eq!(fleet.apply(&order(None, Some("r1"))), Applied::Stale);
    fleet.apply(&start_failover());
    assert_eq!(fleet.apply(&order(None, Some("r1"))), Applied::Done);
    assert_eq!(fleet.apply(&order(None, Some("r2"))), Applied::Stale);
    // A late start or end of the failover in the same term does not remove the promotion.
    let kept = GroupPrimary { term: 3, primary: Some("p".into()), ..Default::default() };
    let keep = FleetChange::Lead { group: "g".into(), after: 3, lead: kept };
    assert_eq!(fleet.apply(&keep), Applied::Stale);
    assert_eq!(fleet.apply(&start_failover()), Applied::Stale);
    assert_eq!(fleet.leads["g"].ordered.as_ref().unwrap().server, "r1".into());
    assert_eq!(fleet.apply(&order(Some("r1"), None)), Applied::Done);
    assert_eq!(fleet.apply(&order(None, Some("r2"))), Applied::Done);
    let lead = GroupPrimary { term: 4, primary: Some("r2".into()), ..Default::default() };
    fleet.apply(&FleetChange::Lead { group: "g".into(), after: 3, lead });
    assert_eq!(fleet.leads["g"].ordered, None);
}

fn cover(id: &str, run: u64, offset: u64) -> FleetChange {
    let end = Position { term: 3, offset };
    FleetChange::Cover { group: "g".into(), id: id.into(), run: Incarnation(run), end }
}

/// A failover after the departure of the only replica that had the last commits lost them.
#[test]
fn a_replica_that_left_counts_until_its_commits_are_covered() {
    let mut fleet = group();
    let removal = FleetChange::Forget { id: "r1".into(), run: Incarnation(10) };
    fleet.apply(&removal);
    assert_eq!(fleet.departures["g"].end(), None);
    assert!(!fleet.departures["g"].pending["r1"].ended);
    assert_eq!(fleet.apply(&cover("r1", 9, 7)), Applied::Stale);
    assert_eq!(fleet.apply(&cover("r1", 10, 7)), Applied::Done);
    assert_eq!(fleet.departures["g"].end(), Some(Position { term: 3, offset: 7 }));
}

/// A replica that was started again, or whose address another server has, has ended.
#[test]
fn a_replaced_or_restarted_replica_has_left() {
    for (next, successor) in [
        (backend("r1", 2, 20), None),
        (backend("new", 2, 20), Some("new")),
        (Backend { group: "other".into(), ..backend("new", 2, 20) }, None),
    ] {
        let mut fleet = group();
        fleet.apply(&FleetChange::Record(next.clone()));
        let departed = &fleet.departures["g"].pending["r1"];
        assert!(departed.ended, "{next:?}");
        assert_eq!(departed.successor.as_deref(), successor, "{next:?}");
        assert_eq!(fleet.departures["g"].end(), None);
    }
}

#[test]
fn a_server_that_registers_again_with_its_process_has_not_left() {
    let mut fleet = group();
    fleet.apply(&FleetChange::Forget { id: "r1".into(), run: Incarnation(10) });
    fleet.apply(&FleetChange::Record(backend("r1", 2, 10)));
    assert!(fleet.departures["g"].pending.is_empty());
}

/// Commits of a primary are on a replica too, so its departure hides none.
#[test]
fn only_replicas_count_as_departed() {
    let mut fleet = group();
    fleet.apply(&FleetChange::Record(backend("p", 1, 20)));
    fleet.apply(&start_failover());
    fleet.apply(&FleetChange::Forget { id: "p".into(), run: Incarnation(20) });
    assert!(fleet.departures.is_empty());
}

/// A restart of all control members loses an evacuation that is not part of the snapshot.
#[test]
fn evacuation_is_part_of_the_snapshot_until_it_is_taken_back() {
    let mut machine = Machine::default();
    let evacuate = |begin| Command::Fleet(FleetChange::Evacuate { domain: "d".into(), begin });
    for (index, begin) in [(1, true), (2, true), (3, false)] {
        machine.apply(index, &evacuate(begin));
        let mut bytes = Vec::new();
        ciborium::into_writer(&machine, &mut bytes).unwrap();
        let opened: Machine = ciborium::from_reader(&bytes[..]).unwrap();
        assert_eq!(opened.fleet.is_evacuated("d"), begin);
        assert_eq!(opened.fleet.evacuations.len(), 1);
        assert!(!opened.fleet.is_evacuated("other"));
    }
}

/// A snapshot of a version without evacuations has no such field, and a deployment that uses none
/// writes none.
#[test]
fn snapshot_without_evacuations_has_the_former_format() {
    let mut fleet = Fleet::default();
    fleet.apply(&deploy(7, "seven"));
    let mut bytes = Vec::new();
    ciborium::into_writer(&fleet, &mut bytes).unwrap();
    let value: ciborium::Value = ciborium::from_reader(&bytes[..]).unwrap();
    let fields: Vec<_> = value.as_map().unwrap().iter().map(|(key, _)| key.as_text()).collect();
    assert!(!fields.contains(&Some("evacuations")));
    let opened: Fleet = ciborium::from_reader(&bytes[..]).unwrap();
    assert_eq!(opened, fleet);
}
