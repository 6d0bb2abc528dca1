//! Tests of instance leases: a lease expires at the holder before the granter reassigns its shards.

// The exemption for tests in clippy.toml does not cover helper functions in test files.
#![allow(clippy::unwrap_used)]

mod common;

use auburnlug_coordination::{
    assign::Assigner,
    lease::{
        INSTANCE_LEASE_MS, LEASE_DRIFT_MARGIN_MS, LEASE_RENEWAL_INTERVAL_MS, Lease, LeaseHolder,
        LeaseTable, RenewalReply,
    },
};
use auburnlug_state::{Applied, Command, Instance, Machine, Millis};
use common::{apply, instance, machine, name};
use proptest::{
    prelude::*,
    test_runner::{RngSeed, TestRunner},
};

fn lease(sent: Millis, index: u64) -> Lease {
    Lease { sent, duration: INSTANCE_LEASE_MS, index }
}

/// Guards against a lease that takes effect before its index is applied, which would let the holder
/// accept a withdrawn key.
#[test]
fn lease_takes_effect_once_its_index_is_applied() {
    let mut holder = LeaseHolder::default();
    assert!(holder.renewal_due(0));
    holder.record_renewal(100);
    assert!(
        !holder.renewal_due(100 + LEASE_RENEWAL_INTERVAL_MS - 1)
            && holder.renewal_due(100 + LEASE_RENEWAL_INTERVAL_MS)
    );
    holder.accept(&lease(100, 7));
    holder.record_applied(6);
    assert!(!holder.valid(200));
    holder.record_applied(7);
    assert!(holder.valid(100 + INSTANCE_LEASE_MS - 1) && !holder.valid(100 + INSTANCE_LEASE_MS));
}

/// Guards against slow retries of unanswered renewals, which would lose up to 300 ms of the lease
/// after an election.
#[test]
fn unanswered_renewals_are_retried_more_often() {
    let mut holder = LeaseHolder::default();
    holder.record_renewal(1000);
    assert!(holder.accept(&lease(1000, 0)));
    let mut sent = vec![1000];
    for now in 1001..2000 {
        if holder.renewal_due(now) {
            holder.record_renewal(now);
            sent.push(now);
        }
    }
    assert_eq!(sent, [1000, 1300, 1600, 1700, 1800, 1900]);
    assert!(
        holder.accept(&lease(1900, 0)) && !holder.renewal_due(1900 + LEASE_RENEWAL_INTERVAL_MS - 1)
    );
}

/// Guards against a lease that is extended by late, repeated, foreign or too long grants.
#[test]
fn lease_is_measured_from_the_renewal_that_it_answers() {
    let mut holder = LeaseHolder::default();
    holder.record_renewal(100);
    holder.record_renewal(400);
    holder.accept(&lease(400, 0));
    holder.accept(&lease(100, 0));
    holder.accept(&lease(900, 0));
    holder.accept(&Lease { sent: 100, duration: 9 * INSTANCE_LEASE_MS, index: 0 });
    assert_eq!(
        (holder.until(), holder.remaining(400 + INSTANCE_LEASE_MS - 5)),
        (400 + INSTANCE_LEASE_MS, 5)
    );
    holder.record_renewal(400 + INSTANCE_LEASE_MS);
    holder.accept(&lease(100, 0));
    assert_eq!(holder.until(), 400 + INSTANCE_LEASE_MS);
    holder.release();
    holder.accept(&lease(400 + INSTANCE_LEASE_MS, 0));
    assert_eq!(holder.until(), 0);
}

fn renew(table: &mut LeaseTable, i: &Instance, machine: &Machine, now: Millis) -> RenewalReply {
    table.renew(i, now, machine.index, machine, now)
}

/// Covers each way in which a lease ends, and which incarnations may get a lease afterwards.
#[test]
fn ledger_ends_leases_only_when_they_are_certainly_over() {
    let (mut machine, start) = (machine(1, 0), 5000);
    let grace = start + INSTANCE_LEASE_MS + LEASE_DRIFT_MARGIN_MS;
    let one = instance("one", 5, "a1");
    apply(&mut machine, &Command::Register(one.clone()));
    let mut table = LeaseTable::new(start);
    table.record_refused(&one.name, 5, start);
    assert!(
        table.take_expired(&machine, grace - 1).is_empty(),
        "leases of the former leader may be valid"
    );
    let mut table = LeaseTable::new(start);
    assert_eq!(table.take_expired(&machine, grace), vec![(name("one"), 5)], "never renewed");
    assert_eq!(renew(&mut table, &one, &machine, grace), RenewalReply::Expired);

    let mut table = LeaseTable::new(start);
    let granted = RenewalReply::Granted(lease(grace, machine.index));
    assert_eq!(renew(&mut table, &one, &machine, grace), granted);
    let end = grace + INSTANCE_LEASE_MS + LEASE_DRIFT_MARGIN_MS;
    assert!(table.take_expired(&machine, end - 1).is_empty() && table.holds_lease(&one, end - 1));
    assert!(!table.holds_lease(&one, end));
    assert_eq!(table.take_expired(&machine, end).len(), 1);
    assert_eq!(renew(&mut table, &one, &machine, end), RenewalReply::Expired);
    let mut removed = machine.clone();
    apply(&mut removed, &Command::Remove { instance: name("one"), incarnation: 5 });
    assert_eq!(renew(&mut table, &one, &removed, end), RenewalReply::Register);
    assert!(
        table.take_expired(&machine, end + LEASE_RENEWAL_INTERVAL_MS).is_empty(),
        "registered again"
    );
    assert!(matches!(renew(&mut table, &one, &machine, end), RenewalReply::Granted(_)));

    for end_lease in [LeaseTable::record_stopped, LeaseTable::record_refused] {
        end_lease(&mut table, &one.name, 4, end);
        assert!(table.take_expired(&machine, end).is_empty(), "another incarnation");
        end_lease(&mut table, &one.name, 5, end);
        assert_eq!(table.take_expired(&machine, end).len(), 1);
        assert_eq!(renew(&mut table, &one, &machine, end), RenewalReply::Superseded);
        assert_eq!(
            renew(&mut table, &one, &removed, end),
            RenewalReply::Superseded,
            "late message"
        );
        table = LeaseTable::new(start);
        renew(&mut table, &one, &machine, end);
    }
    assert_eq!(
        renew(&mut table, &instance("one", 4, "a1"), &machine, end),
        RenewalReply::Superseded
    );
    assert!(table.take_expired(&machine, end).is_empty(), "an earlier incarnation ends no lease");
    let two = instance("one", 6, "a1");
    assert_eq!(renew(&mut table, &two, &machine, end), RenewalReply::Register);
    assert_eq!(table.take_expired(&machine, end), vec![(name("one"), 5)], "later incarnation");
}

/// A changed record must be stored, and an instance that stops accepting shards must take effect at
/// once.
#[test]
fn changed_record_is_registered_while_the_lease_is_valid() {
    let mut machine = machine(1, 0);
    let mut one = instance("one", 1, "a1");
    apply(&mut machine, &Command::Register(one.clone()));
    let mut table = LeaseTable::new(0);
    renew(&mut table, &one, &machine, 10);
    assert_eq!(table.assignable_instances(&machine, 10).len(), 1);
    one.entry = false;
    assert!(matches!(renew(&mut table, &one, &machine, 20), RenewalReply::Update(_)));
    assert!(table.assignable_instances(&machine, 20).is_empty() && table.holds_lease(&one, 20));
}

/// A simulated instance with its own clock and its own, possibly outdated copy of the state.
struct Node {
    instance: Instance,
    alive: bool,
    /// Clock rate in twentieths of real time.
    rate: u64,
    holder: LeaseHolder,
    view: Machine,
    /// Released shards, each with the epoch of the ownership.
    released: Vec<(auburnlug_state::Shard, u64)>,
}

/// Simulated instances and leader, with uncommitted proposals and messages in flight.
struct World {
    now: Millis,
    nodes: Vec<Node>,
    machine: Machine,
    log: Vec<Command>,
    proposed: Vec<Command>,
    ledger: LeaseTable,
    assigner: Assigner,
    renewals: Vec<(Instance, Millis)>,
    grants: Vec<(usize, u64, Lease)>,
    /// Assignments that took effect.
    moves: usize,
}

impl World {
    fn new() -> World {
        let machine = machine(3, 2);
        let node = |i: u64| Node {
            instance: instance(&format!("n{i}"), 1, "a1"),
            alive: true,
            rate: 19 + i % 3,
            holder: LeaseHolder::default(),
            view: machine.clone(),
            released: Vec::new(),
        };
        World {
            now: 0,
            nodes: (0..4).map(node).collect(),
            machine: machine.clone(),
            log: Vec::new(),
            proposed: Vec::new(),
            ledger: LeaseTable::new(0),
            assigner: Assigner::default(),
            renewals: Vec::new(),
            grants: Vec::new(),
            moves: 0,
        }
    }

    fn step(&mut self, kind: u8, at: usize, by: usize) {
        let node = at % self.nodes.len();
        match kind {
            0..=3 => self.round(by),
            4 => self.now += by as u64 % 700,
            5 => self.renew(node),
            6 => self.deliver(at, by.is_multiple_of(2)),
            7 => self.catch_up(node, by % 4),
            8 => self.tick(),
            9 => self.commit(by % 5),
            10 => {
                // Entries that the former leader appended are committed or lost.
                self.commit(by % 5);
                self.proposed.clear();
                (self.ledger, self.assigner) = (LeaseTable::new(self.now), Assigner::default());
            }
            11 => self.stop(node, by),
            12 => self.restart(node),
            13 => self.release_one(node, by),
            _ => self.stall(node),
        }
    }

    /// Simulates a renewal interval without faults, except that some nodes may be stalled.
    fn round(&mut self, by: usize) {
        for i in (0..self.nodes.len()).filter(|i| by % 6 != *i) {
            self.renew(i);
        }
        while !self.renewals.is_empty() || !self.grants.is_empty() {
            self.deliver(0, false);
        }
        self.tick();
        self.commit(usize::MAX);
        for i in (0..self.nodes.len()).filter(|i| by % 7 != *i) {
            self.catch_up(i, usize::MAX);
        }
        self.now += LEASE_RENEWAL_INTERVAL_MS;
    }

    /// Stalls a node so that it renews just after its lease was found to be expired, while its
    /// removal is not committed yet, and so that it is the last to apply the removal.
    fn stall(&mut self, i: usize) {
        for _ in 0..INSTANCE_LEASE_MS / LEASE_RENEWAL_INTERVAL_MS {
            self.round(i);
        }
        self.now += LEASE_DRIFT_MARGIN_MS + LEASE_RENEWAL_INTERVAL_MS / 2;
        self.tick();
        self.renew(i);
        while !self.renewals.is_empty() || !self.grants.is_empty() {
            self.deliver(0, false);
        }
        self.commit(usize::MAX);
        for other in (0..self.nodes.len()).filter(|other| *other != i) {
            self.renew(other);
            self.catch_up(other, usize::MAX);
        }
    }

    fn clock(&self, i: usize) -> Millis {
        self.now * self.nodes[i].rate / 20
    }

    fn renew(&mut self, i: usize) {
        let clock = self.clock(i);
        let node = &mut self.nodes[i];
        if node.alive {
            node.holder.record_renewal(clock);
            self.renewals.push((node.instance.clone(), clock));
        }
    }

    fn deliver(&mut self, at: usize, twice: bool) {
        if at.is_multiple_of(2) && !self.renewals.is_empty() {
            let place = at % self.renewals.len();
            let (from, sent) = self.renewals[place].clone();
            if !twice {
                self.renewals.remove(place);
            }
            let commit = self.machine.index;
            let i = self.nodes.iter().position(|n| n.instance.name == from.name).unwrap();
            match self.ledger.renew(&from, sent, commit, &self.machine, self.now) {
                RenewalReply::Granted(lease) => self.grants.push((i, from.incarnation, lease)),
                RenewalReply::Update(_) | RenewalReply::Register => {
                    self.proposed.push(Command::Register(from));
                }
                RenewalReply::Expired | RenewalReply::Superseded => {}
            }
        } else if !self.grants.is_empty() {
            let (i, incarnation, lease) = self.grants.remove(at % self.grants.len());
            let node = &mut self.nodes[i];
            if node.alive && node.instance.incarnation == incarnation {
                node.holder.accept(&lease);
            }
        } else if !self.renewals.is_empty() {
            self.deliver(0, twice);
        }
    }

    fn catch_up(&mut self, i: usize, count: usize) {
        let node = &mut self.nodes[i];
        let from = node.view.index as usize - 1;
        for command in self.log.iter().skip(from).take(count) {
            apply(&mut node.view, command);
        }
        node.holder.record_applied(node.view.index);
    }

    fn tick(&mut self) {
        let plan = self.assigner.plan(&self.machine, &mut self.ledger, self.now);
        for command in &plan.commands {
            if let Command::Remove { instance, incarnation } = command {
                let same = |n: &Node| n.instance.name == *instance && n.alive;
                let i = self.nodes.iter().position(same);
                let i = i.filter(|i| self.nodes[*i].instance.incarnation == *incarnation);
                let valid = i.is_some_and(|i| self.nodes[i].holder.valid(self.clock(i)));
                assert!(!valid, "{instance} is removed while its lease is valid");
            }
        }
        if let Some(release) = plan.release {
            let i = self.nodes.iter().position(|n| n.instance.name == release.instance).unwrap();
            self.release_shard(i, release.shard, release.epoch);
        }
        self.proposed.extend(plan.commands);
    }

    fn commit(&mut self, count: usize) {
        for command in self.proposed.drain(..count.min(self.proposed.len())) {
            let done = apply(&mut self.machine, &command) == Applied::Done;
            let assigned = matches!(command, Command::Assign { instance: Some(_), .. });
            self.moves += usize::from(done && assigned);
            self.log.push(command);
        }
    }

    fn stop(&mut self, i: usize, by: usize) {
        let node = &mut self.nodes[i];
        node.alive = false;
        let (name, incarnation) = (&node.instance.name, node.instance.incarnation);
        match by % 3 {
            0 => self.ledger.record_stopped(name, incarnation, self.now),
            1 => self.ledger.record_refused(name, incarnation, self.now),
            _ => {}
        }
    }

    fn restart(&mut self, i: usize) {
        let view = machine(3, 2);
        let node = &mut self.nodes[i];
        if !node.alive {
            node.instance.incarnation += 1;
            (node.alive, node.holder, node.view) = (true, LeaseHolder::default(), view);
            node.released.clear();
        }
    }

    fn release_one(&mut self, i: usize, by: usize) {
        let held = self.held(i);
        if !held.is_empty() {
            let shard = held[by % held.len()].clone();
            let epoch = self.nodes[i].view.shards[&shard].epoch;
            self.release_shard(i, shard, epoch);
        }
    }

    fn release_shard(&mut self, i: usize, shard: auburnlug_state::Shard, epoch: u64) {
        if self.nodes[i].alive {
            self.nodes[i].released.push((shard.clone(), epoch));
            self.proposed.push(Command::Assign { shard, instance: None, epoch });
        }
    }

    /// Shards that a node serves, judged by its own clock and its own copy of the state.
    fn held(&self, i: usize) -> Vec<auburnlug_state::Shard> {
        let node = &self.nodes[i];
        let name = &node.instance.name;
        let recorded = node.view.instances.get(name);
        let current = recorded.is_some_and(|r| r.incarnation == node.instance.incarnation);
        if !node.alive || !current || !node.holder.valid(self.clock(i)) {
            return Vec::new();
        }
        let owned = node.view.shards.iter().filter(|(shard, holder)| {
            let retained = !node.released.contains(&((*shard).clone(), holder.epoch));
            retained && holder.instance.as_ref() == Some(name)
        });
        owned.map(|(shard, _)| shard.clone()).collect()
    }
}

/// Guards against two instances that serve the same shard, under late, lost, duplicated and
/// reordered renewals, grants and log entries, crashes, restarts, releases and changes of the
/// leader in any order, with clock rates that differ by 10%.
#[test]
fn no_shard_has_two_live_owners() {
    let steps = proptest::collection::vec((0_u8..15, 0_usize..64, 0_usize..1000), 50..250);
    let (rng_seed, moves) = (RngSeed::Fixed(0x1ea5e), std::cell::Cell::new(0));
    let base = ProptestConfig::default();
    let config = ProptestConfig { cases: 600, rng_seed, failure_persistence: None, ..base };
    TestRunner::new(config)
        .run(&steps, |steps| {
            let mut world = World::new();
            for (kind, at, by) in steps {
                world.step(kind, at, by);
                let mut held: Vec<_> = (0..4).flat_map(|i| world.held(i)).collect();
                let count = held.len();
                held.sort();
                held.dedup();
                prop_assert_eq!(count, held.len(), "two owners of a shard at {} ms", world.now);
            }
            moves.set(moves.get() + world.moves);
            Ok(())
        })
        .unwrap();
    assert!(moves.get() > 5000, "only {} assignments were made", moves.get());
}
