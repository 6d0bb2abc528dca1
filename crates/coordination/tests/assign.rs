//! Tests of the assignment of shards: balanced, near the primary, and stable.

// The exemption for tests in clippy.toml does not cover helper functions in test files.
#![allow(clippy::unwrap_used)]

mod common;

use std::collections::BTreeMap;

use auburnlug_coordination::{
    assign::{Assigner, AssignmentPlan, RELEASE_INTERVAL_MS, STANDBY_SETTLE_MS, standby},
    lease::{INSTANCE_LEASE_MS, LEASE_DRIFT_MARGIN_MS, LeaseTable},
};
use auburnlug_state::{Command, Instance, Machine, Millis, Shard};
use common::{apply, group, instance, machine, name, server};

const GRACE_END_MS: Millis = INSTANCE_LEASE_MS + LEASE_DRIFT_MARGIN_MS;

struct Fleet {
    machine: Machine,
    ledger: LeaseTable,
    assigner: Assigner,
}

impl Fleet {
    fn new(machine: Machine) -> Fleet {
        Fleet { machine, ledger: LeaseTable::new(0), assigner: Assigner::default() }
    }

    fn join(&mut self, instance: &Instance, now: Millis) {
        apply(&mut self.machine, &Command::Register(instance.clone()));
        self.renew(instance, now);
    }

    fn renew(&mut self, instance: &Instance, now: Millis) {
        self.ledger.renew(instance, now, 0, &self.machine, now);
    }

    /// Plans at `now` and applies the commands.
    fn run(&mut self, now: Millis) -> AssignmentPlan {
        let plan = self.assigner.plan(&self.machine, &mut self.ledger, now);
        for command in &plan.commands {
            apply(&mut self.machine, command);
        }
        plan
    }

    fn owner(&self, shard: &Shard) -> Option<&str> {
        self.machine.shards[shard].instance.as_ref().map(|n| n.as_str())
    }

    /// Number of groups and accounts of each owner.
    fn counts(&self) -> BTreeMap<&str, (usize, usize)> {
        let mut counts = BTreeMap::new();
        for (shard, holder) in &self.machine.shards {
            let count: &mut (usize, usize) =
                counts.entry(holder.instance.as_ref().unwrap().as_str()).or_default();
            match shard {
                Shard::Group(_) => count.0 += 1,
                Shard::Account(_) => count.1 += 1,
            }
        }
        counts
    }
}

fn fleet(groups: usize, accounts: usize, instances: usize) -> (Fleet, Vec<Instance>) {
    let mut fleet = Fleet::new(machine(groups, accounts));
    let all: Vec<_> = (0..instances).map(|i| instance(&format!("n{i}"), 1, "a1")).collect();
    for i in &all {
        fleet.join(i, GRACE_END_MS - 1);
    }
    (fleet, all)
}

/// Guards against a second owner of a shard: a new leader that assigns shards before the leases
/// granted by the former leader have expired.
#[test]
fn nothing_moves_in_the_grace_period_of_a_new_leader() {
    let (mut fleet, all) = fleet(3, 2, 2);
    fleet.ledger.record_stopped(&all[0].name, 1, 5);
    assert_eq!(fleet.run(GRACE_END_MS - 1), AssignmentPlan::default());
    assert_eq!(fleet.run(GRACE_END_MS).commands.len(), 6);
}

/// Guards against uneven counts, which overload an instance, and against plans that change without
/// cause, so that shards flap between instances.
#[test]
fn shards_are_balanced_and_stay() {
    let (mut fleet, _) = fleet(7, 8, 3);
    fleet.run(GRACE_END_MS);
    let counts = fleet.counts();
    let balanced = |(g, a): &(usize, usize)| (2..=3).contains(g) && (2..=3).contains(a);
    assert!(counts.len() == 3 && counts.values().all(balanced), "{counts:?}");
    for now in GRACE_END_MS..GRACE_END_MS + 1000 {
        assert_eq!(fleet.run(now), AssignmentPlan::default());
    }
}

/// Guards against an owner far from the primary, which adds the latency between regions to each
/// statement.
#[test]
fn group_goes_to_the_domain_or_region_of_its_primary() {
    for (domains, near) in [(["b1", "a2", "a1"], "n2"), (["b1", "a1", "a1"], "n1")] {
        let mut fleet = Fleet::new(machine(1, 0));
        for (i, domain) in domains.iter().enumerate() {
            fleet.join(&instance(&format!("n{i}"), 1, domain), GRACE_END_MS);
        }
        apply(&mut fleet.machine, &Command::Announce(server("s", "g0", 9)));
        fleet.machine.groups.get_mut("g0").unwrap().primary = Some(name("s"));
        fleet.run(GRACE_END_MS);
        assert_eq!(fleet.owner(&group("g0")), Some(near));
    }
    let mut fleet = Fleet::new(machine(1, 0));
    fleet.join(&instance("n0", 1, "b1"), GRACE_END_MS);
    fleet.join(&instance("n1", 1, "a2"), GRACE_END_MS);
    let mut control = instance("n2", 1, "a1");
    control.entry = false;
    fleet.join(&control, GRACE_END_MS);
    apply(&mut fleet.machine, &Command::Announce(server("s", "g0", 9)));
    fleet.machine.groups.get_mut("g0").unwrap().primary = Some(name("s"));
    fleet.run(GRACE_END_MS);
    assert_eq!(fleet.owner(&group("g0")), Some("n1"), "region; control instances own nothing");
}

/// The shards of a failed instance must move at once, and those of the others must not move.
#[test]
fn only_shards_of_expired_leases_move() {
    let (mut fleet, all) = fleet(6, 0, 3);
    fleet.run(GRACE_END_MS);
    let former = fleet.machine.clone();
    let before = &former.shards;
    fleet.ledger.record_refused(&all[0].name, 1, GRACE_END_MS);
    let plan = fleet.run(GRACE_END_MS + 1);
    assert_eq!(plan.commands.len(), 3);
    assert_eq!(plan.commands[2], Command::Remove { instance: name("n0"), incarnation: 1 });
    for (shard, holder) in before {
        let now = &fleet.machine.shards[shard];
        assert_eq!(holder.instance != Some(name("n0")), holder == now);
        if holder != now {
            assert_eq!(
                now.instance.as_ref(),
                standby(&former, shard),
                "only the standby has a copy"
            );
        }
    }
    let counts = fleet.counts();
    let spread = counts.values().max().unwrap().0 - counts.values().min().unwrap().0;
    let mut release = None;
    let settled = GRACE_END_MS + 1 + STANDBY_SETTLE_MS;
    for now in (GRACE_END_MS + 1..=settled).step_by(100) {
        all[1..].iter().for_each(|i| fleet.renew(i, now));
        let plan = fleet.assigner.plan(&fleet.machine, &mut fleet.ledger, now);
        release = release.or(plan.release);
    }
    assert_eq!(release.is_some(), spread > 1, "requests balance an uneven rest");
    let end = settled + INSTANCE_LEASE_MS + LEASE_DRIFT_MARGIN_MS;
    assert!(fleet.run(end - 1).commands.is_empty());
    assert_eq!(
        fleet.run(end).commands.len(),
        2,
        "instances removed, nobody left to own the shards"
    );
    assert!(fleet.machine.shards.values().all(|h| h.instance.is_none()));
}

/// Guards against a standby that fails together with the owner, and against instances that disagree
/// on the standby.
#[test]
fn standby_is_in_another_failure_domain() {
    let mut fleet = Fleet::new(machine(8, 0));
    for (i, domain) in ["a1", "a1", "a2", "b1"].iter().enumerate() {
        fleet.join(&instance(&format!("n{i}"), 1, domain), GRACE_END_MS);
    }
    fleet.run(GRACE_END_MS);
    for (shard, holder) in &fleet.machine.shards {
        let copy = standby(&fleet.machine, shard).unwrap();
        let owner = holder.instance.as_ref().unwrap();
        let domain = |name| &fleet.machine.instances[name].domain;
        assert_ne!(domain(copy), domain(owner), "{shard}");
    }
    assert_eq!(standby(&fleet.machine, &group("unknown")), None);
}

/// Guards against a shard that returns at once to the owner that released it.
#[test]
fn released_shard_goes_to_another_instance() {
    let (mut fleet, all) = fleet(1, 0, 2);
    fleet.run(GRACE_END_MS);
    for round in 1..5 {
        let owner = fleet.owner(&group("g0")).unwrap().to_owned();
        let epoch = fleet.machine.shards[&group("g0")].epoch;
        let resign = Command::Assign { shard: group("g0"), instance: None, epoch };
        apply(&mut fleet.machine, &resign);
        fleet.run(GRACE_END_MS + round);
        assert_ne!(fleet.owner(&group("g0")), Some(owner.as_str()));
    }
    let owner = fleet.owner(&group("g0")).unwrap().to_owned();
    let other = all.iter().find(|i| i.name.as_str() != owner).unwrap();
    fleet.ledger.record_stopped(&other.name, 1, GRACE_END_MS + 9);
    let epoch = fleet.machine.shards[&group("g0")].epoch;
    apply(&mut fleet.machine, &Command::Assign { shard: group("g0"), instance: None, epoch });
    fleet.run(GRACE_END_MS + 10);
    assert_eq!(fleet.owner(&group("g0")), Some(owner.as_str()), "no other instance is left");
}

/// Guards against a shard that moves back and forth between two instances, which interrupted its
/// group every second.
#[test]
fn moves_terminate() {
    for (groups, count) in [(3, 4), (7, 5), (12, 3), (5, 7)] {
        let (mut fleet, mut all) = fleet(groups, 0, count);
        fleet.run(GRACE_END_MS);
        fleet.ledger.record_refused(&all[0].name, 1, GRACE_END_MS);
        fleet.run(GRACE_END_MS + 1);
        all[0].incarnation = 2;
        fleet.join(&all[0].clone(), GRACE_END_MS + 2);
        let mut asked = 0;
        for now in (GRACE_END_MS + 2..GRACE_END_MS + 40 * RELEASE_INTERVAL_MS).step_by(100) {
            all.iter().for_each(|i| fleet.renew(i, now));
            let Some(release) = fleet.run(now).release else { continue };
            asked += 1;
            let before = fleet.counts()[release.instance.as_str()].0;
            let (shard, epoch) = (release.shard.clone(), release.epoch);
            apply(&mut fleet.machine, &Command::Assign { shard, instance: None, epoch });
            fleet.run(now);
            let owner = fleet.owner(&release.shard).unwrap();
            assert!(fleet.counts()[owner].0 < before, "{groups} groups, {count} instances");
        }
        assert!(asked <= groups, "{asked} moves of {groups} groups on {count} instances");
    }
}

/// Guards against a move to a standby that has just joined and has no copy yet.
#[test]
fn shard_moves_only_to_a_settled_standby() {
    let (mut fleet, mut all) = fleet(4, 0, 2);
    fleet.run(GRACE_END_MS);
    let joined = GRACE_END_MS + 10 * RELEASE_INTERVAL_MS;
    for now in (GRACE_END_MS..joined + STANDBY_SETTLE_MS).step_by(100) {
        if now == joined {
            all.push(instance("new", 1, "a3"));
            fleet.join(&all[2].clone(), now);
        }
        all.iter().for_each(|i| fleet.renew(i, now));
        assert_eq!(fleet.run(now).release, None, "{} ms after it joined", now - joined);
    }
    all.iter().for_each(|i| fleet.renew(i, joined + STANDBY_SETTLE_MS));
    let release = fleet.run(joined + STANDBY_SETTLE_MS).release.unwrap();
    assert_eq!(standby(&fleet.machine, &release.shard).unwrap(), &all[2].name);
}

/// A new instance must get its shards by requests to the owners, one per second, and never by
/// reassignment from a live owner.
#[test]
fn joined_instance_gets_shards_one_at_a_time() {
    let (mut fleet, mut all) = fleet(7, 0, 2);
    fleet.run(GRACE_END_MS);
    let new = instance("new", 1, "a1");
    fleet.join(&new, GRACE_END_MS);
    all.push(new);
    let mut asked = Vec::new();
    for now in (GRACE_END_MS..GRACE_END_MS + 20 * RELEASE_INTERVAL_MS).step_by(100) {
        for i in &all {
            fleet.renew(i, now);
        }
        let plan = fleet.run(now);
        if let Some(release) = plan.release {
            assert_eq!(fleet.machine.shards[&release.shard].instance, Some(release.instance));
            assert!(plan.commands.is_empty());
            asked.push(now);
            let (shard, epoch) = (release.shard, release.epoch);
            apply(&mut fleet.machine, &Command::Assign { shard, instance: None, epoch });
        } else {
            let released = |c: &Command| matches!(c, Command::Assign { epoch, .. } if *epoch > 1);
            assert!(
                plan.commands.iter().all(released),
                "a shard was reassigned from a live instance"
            );
        }
    }
    assert_eq!(
        asked,
        vec![
            GRACE_END_MS + STANDBY_SETTLE_MS,
            GRACE_END_MS + STANDBY_SETTLE_MS + RELEASE_INTERVAL_MS
        ]
    );
    let counts = fleet.counts();
    assert!(counts.values().all(|c| (2..=3).contains(&c.0)), "{counts:?}");
}
