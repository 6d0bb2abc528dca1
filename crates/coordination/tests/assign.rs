//! Assignment of shards: balanced, near the primary, and never moved without need.

// clippy.toml allows unwrap in test functions; this covers their helpers.
#![allow(clippy::unwrap_used)]

mod common;

use std::collections::BTreeMap;

use auburnlug_coordination::{
    assign::{Assigner, Plan, RELEASE, SETTLE, standby},
    lease::{LEASE, Ledger, MARGIN},
};
use auburnlug_state::{Command, Instance, Machine, Millis, Shard};
use common::{apply, group, instance, machine, name, server};

const START: Millis = LEASE + MARGIN;

struct Fleet {
    machine: Machine,
    ledger: Ledger,
    assigner: Assigner,
}

impl Fleet {
    fn new(machine: Machine) -> Fleet {
        Fleet { machine, ledger: Ledger::new(0), assigner: Assigner::default() }
    }

    fn join(&mut self, instance: &Instance, now: Millis) {
        apply(&mut self.machine, &Command::Register(instance.clone()));
        self.renew(instance, now);
    }

    fn renew(&mut self, instance: &Instance, now: Millis) {
        self.ledger.renew(instance, now, 0, &self.machine, now);
    }

    /// Plans and commits.
    fn run(&mut self, now: Millis) -> Plan {
        let plan = self.assigner.plan(&self.machine, &mut self.ledger, now);
        for command in &plan.commands {
            apply(&mut self.machine, command);
        }
        plan
    }

    fn owner(&self, shard: &Shard) -> Option<&str> {
        self.machine.shards[shard].instance.as_ref().map(|n| n.as_str())
    }

    /// Groups and accounts of each owner.
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
        fleet.join(i, START - 1);
    }
    (fleet, all)
}

/// A leader that assigns before the former leader's leases are over makes a second holder.
#[test]
fn nothing_moves_in_the_grace_of_a_new_leader() {
    let (mut fleet, all) = fleet(3, 2, 2);
    fleet.ledger.leave(&all[0].name, 1, 5);
    assert_eq!(fleet.run(START - 1), Plan::default());
    assert_eq!(fleet.run(START).commands.len(), 6);
}

/// Uneven counts would overload an instance; a plan that changes without cause would flap.
#[test]
fn shards_are_spread_and_stay() {
    let (mut fleet, _) = fleet(7, 8, 3);
    fleet.run(START);
    let counts = fleet.counts();
    let within = |(g, a): &(usize, usize)| (2..=3).contains(g) && (2..=3).contains(a);
    assert!(counts.len() == 3 && counts.values().all(within), "{counts:?}");
    for now in START..START + 1000 {
        assert_eq!(fleet.run(now), Plan::default());
    }
}

/// An owner far from the primary adds the latency between regions to each statement.
#[test]
fn group_goes_to_the_domain_or_region_of_its_primary() {
    for (domains, near) in [(["b1", "a2", "a1"], "n2"), (["b1", "a1", "a1"], "n1")] {
        let mut fleet = Fleet::new(machine(1, 0));
        for (i, domain) in domains.iter().enumerate() {
            fleet.join(&instance(&format!("n{i}"), 1, domain), START);
        }
        apply(&mut fleet.machine, &Command::Announce(server("s", "g0", 9)));
        fleet.machine.groups.get_mut("g0").unwrap().primary = Some(name("s"));
        fleet.run(START);
        assert_eq!(fleet.owner(&group("g0")), Some(near));
    }
    let mut fleet = Fleet::new(machine(1, 0));
    fleet.join(&instance("n0", 1, "b1"), START);
    fleet.join(&instance("n1", 1, "a2"), START);
    let mut control = instance("n2", 1, "a1");
    control.entry = false;
    fleet.join(&control, START);
    apply(&mut fleet.machine, &Command::Announce(server("s", "g0", 9)));
    fleet.machine.groups.get_mut("g0").unwrap().primary = Some(name("s"));
    fleet.run(START);
    assert_eq!(fleet.owner(&group("g0")), Some("n1"), "region; control instances own nothing");
}

/// The shards of a dead instance move at once, those of the others don't.
#[test]
fn only_shards_of_ended_leases_move() {
    let (mut fleet, all) = fleet(6, 0, 3);
    fleet.run(START);
    let former = fleet.machine.clone();
    let before = &former.shards;
    fleet.ledger.refused(&all[0].name, 1, START);
    let plan = fleet.run(START + 1);
    assert_eq!(plan.commands.len(), 3);
    assert_eq!(plan.commands[2], Command::Remove { instance: name("n0"), incarnation: 1 });
    for (shard, holder) in before {
        let now = &fleet.machine.shards[shard];
        assert_eq!(holder.instance != Some(name("n0")), holder == now);
        if holder != now {
            assert_eq!(now.instance.as_ref(), standby(&former, shard), "the copy is there");
        }
    }
    let counts = fleet.counts();
    let spread = counts.values().max().unwrap().0 - counts.values().min().unwrap().0;
    let mut ask = None;
    let settled = START + 1 + SETTLE;
    for now in (START + 1..=settled).step_by(100) {
        all[1..].iter().for_each(|i| fleet.renew(i, now));
        let plan = fleet.assigner.plan(&fleet.machine, &mut fleet.ledger, now);
        ask = ask.or(plan.release);
    }
    assert_eq!(ask.is_some(), spread > 1, "an uneven rest is evened out by requests");
    let end = settled + LEASE + MARGIN;
    assert!(fleet.run(end - 1).commands.is_empty());
    assert_eq!(fleet.run(end).commands.len(), 2, "removed; nobody left to take the shards");
    assert!(fleet.machine.shards.values().all(|h| h.instance.is_none()));
}

/// Guards against a copy that is lost together with the owner, and against instances that
/// disagree on where it is.
#[test]
fn standby_is_in_another_failure_domain() {
    let mut fleet = Fleet::new(machine(8, 0));
    for (i, domain) in ["a1", "a1", "a2", "b1"].iter().enumerate() {
        fleet.join(&instance(&format!("n{i}"), 1, domain), START);
    }
    fleet.run(START);
    for (shard, holder) in &fleet.machine.shards {
        let copy = standby(&fleet.machine, shard).unwrap();
        let owner = holder.instance.as_ref().unwrap();
        let domain = |name| &fleet.machine.instances[name].domain;
        assert_ne!(domain(copy), domain(owner), "{shard}");
    }
    assert_eq!(standby(&fleet.machine, &group("unknown")), None);
}

/// A shard that its owner gave up must not come straight back to it.
#[test]
fn resigned_shard_goes_to_another_instance() {
    let (mut fleet, all) = fleet(1, 0, 2);
    fleet.run(START);
    for round in 1..5 {
        let owner = fleet.owner(&group("g0")).unwrap().to_owned();
        let epoch = fleet.machine.shards[&group("g0")].epoch;
        let resign = Command::Assign { shard: group("g0"), instance: None, epoch };
        apply(&mut fleet.machine, &resign);
        fleet.run(START + round);
        assert_ne!(fleet.owner(&group("g0")), Some(owner.as_str()));
    }
    let owner = fleet.owner(&group("g0")).unwrap().to_owned();
    let other = all.iter().find(|i| i.name.as_str() != owner).unwrap();
    fleet.ledger.leave(&other.name, 1, START + 9);
    let epoch = fleet.machine.shards[&group("g0")].epoch;
    apply(&mut fleet.machine, &Command::Assign { shard: group("g0"), instance: None, epoch });
    fleet.run(START + 10);
    assert_eq!(fleet.owner(&group("g0")), Some(owner.as_str()), "the only one left");
}

/// Guards against a shard that moves back and forth between two instances, which interrupted its
/// group every second.
#[test]
fn moves_come_to_an_end() {
    for (groups, count) in [(3, 4), (7, 5), (12, 3), (5, 7)] {
        let (mut fleet, mut all) = fleet(groups, 0, count);
        fleet.run(START);
        fleet.ledger.refused(&all[0].name, 1, START);
        fleet.run(START + 1);
        all[0].incarnation = 2;
        fleet.join(&all[0].clone(), START + 2);
        let mut asked = 0;
        for now in (START + 2..START + 40 * RELEASE).step_by(100) {
            all.iter().for_each(|i| fleet.renew(i, now));
            let Some(ask) = fleet.run(now).release else { continue };
            asked += 1;
            let before = fleet.counts()[ask.instance.as_str()].0;
            let (shard, epoch) = (ask.shard.clone(), ask.epoch);
            apply(&mut fleet.machine, &Command::Assign { shard, instance: None, epoch });
            fleet.run(now);
            let taker = fleet.owner(&ask.shard).unwrap();
            assert!(fleet.counts()[taker].0 < before, "{groups} groups, {count} instances");
        }
        assert!(asked <= groups, "{asked} moves of {groups} groups on {count} instances");
    }
}

/// Guards against a move to a standby that has just joined and holds no copy yet.
#[test]
fn fresh_standby_is_given_time() {
    let (mut fleet, mut all) = fleet(4, 0, 2);
    fleet.run(START);
    let joined = START + 10 * RELEASE;
    for now in (START..joined + SETTLE).step_by(100) {
        if now == joined {
            all.push(instance("new", 1, "a3"));
            fleet.join(&all[2].clone(), now);
        }
        all.iter().for_each(|i| fleet.renew(i, now));
        assert_eq!(fleet.run(now).release, None, "{} ms after it joined", now - joined);
    }
    all.iter().for_each(|i| fleet.renew(i, joined + SETTLE));
    let ask = fleet.run(joined + SETTLE).release.unwrap();
    assert_eq!(standby(&fleet.machine, &ask.shard).unwrap(), &all[2].name);
}

/// A new instance is filled by requests, one a second, and never by taking.
#[test]
fn joined_instance_is_filled_slowly() {
    let (mut fleet, mut all) = fleet(7, 0, 2);
    fleet.run(START);
    let new = instance("new", 1, "a1");
    fleet.join(&new, START);
    all.push(new);
    let mut asked = Vec::new();
    for now in (START..START + 20 * RELEASE).step_by(100) {
        for i in &all {
            fleet.renew(i, now);
        }
        let plan = fleet.run(now);
        if let Some(ask) = plan.release {
            assert_eq!(fleet.machine.shards[&ask.shard].instance, Some(ask.instance));
            assert!(plan.commands.is_empty());
            asked.push(now);
            let (shard, epoch) = (ask.shard, ask.epoch);
            apply(&mut fleet.machine, &Command::Assign { shard, instance: None, epoch });
        } else {
            let free = |c: &Command| matches!(c, Command::Assign { epoch, .. } if *epoch > 1);
            assert!(plan.commands.iter().all(free), "taken from a live instance");
        }
    }
    assert_eq!(asked, vec![START + SETTLE, START + SETTLE + RELEASE]);
    let counts = fleet.counts();
    assert!(counts.values().all(|c| (2..=3).contains(&c.0)), "{counts:?}");
}
