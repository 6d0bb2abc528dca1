//! Tests of the choice of voters: tables of cases, and simulated groups under power and disk
//! losses.

// The exemption for tests in clippy.toml does not cover helper functions in test files.
#![allow(clippy::unwrap_used, clippy::panic)]
// Each test file uses only a part of the module.
#[allow(dead_code)]
mod cluster;

use std::collections::BTreeSet;

use auburnlug_coordination::{
    membership::{ControlGroup, MEMBER_REPLACEMENT_TIMEOUT_MS, PROMOTION_TIMEOUT_MS, Progress},
    raft::{Members, Payload},
};
use auburnlug_state::Name;
use cluster::{Cluster, name};
use proptest::{
    prelude::*,
    test_runner::{RngSeed, TestRunner},
};

fn members(voters: &[&str], learners: &[&str]) -> Members {
    let names = |list: &[&str]| list.iter().map(|text| name(text)).collect();
    Members::new(names(voters), names(learners))
}

/// A group led by `a.1` in which all members except `unresponsive` have caught up and are
/// responsive.
fn group(members: Members, losses: usize, joining: &[&str], unresponsive: &[&str]) -> ControlGroup {
    let progress = |id: &Name| {
        let unresponsive = unresponsive.contains(&id.as_str());
        Progress {
            caught_up: !unresponsive,
            ack_age: if unresponsive { MEMBER_REPLACEMENT_TIMEOUT_MS } else { 50 },
        }
    };
    let standing = members.all().map(|id| (id.clone(), progress(id))).collect();
    let joining = joining.iter().map(|text| name(text)).collect();
    let (leader, lost) = (name("a.1"), BTreeSet::new());
    ControlGroup { members, leader, joining, lost, progress: standing, losses }
}

/// Applies steps until the membership no longer changes, and returns each membership.
fn steps(mut group: ControlGroup) -> Vec<Members> {
    let mut all = Vec::new();
    while let Some(next) = group.next_members() {
        assert!(all.len() < 10, "the membership does not settle: {all:?}");
        for id in next.all() {
            let caught_up = Progress { caught_up: true, ack_age: 50 };
            group.progress.entry(id.clone()).or_insert(caught_up);
        }
        all.push(next.clone());
        group.members = next;
    }
    all
}

/// Guards against a voter that has not caught up, and against two votes of one instance.
#[test]
fn member_with_a_lost_disk_catches_up_before_it_votes() {
    let healthy = members(&["a.1", "b.1", "c.1"], &[]);
    let taken = steps(group(healthy.clone(), 1, &["c.2"], &[]));
    let expected = [
        members(&["a.1", "b.1", "c.1"], &["c.2"]),
        members(&["a.1", "b.1"], &["c.2"]),
        members(&["a.1", "b.1", "c.2"], &[]),
    ];
    assert_eq!(taken, expected);
    let mut lagging = group(expected[0].clone(), 1, &["c.2"], &["c.1"]);
    lagging.progress.insert(name("c.2"), Progress { caught_up: false, ack_age: 50 });
    assert_eq!(lagging.next_members(), None);
}

/// Guards against learners that are never removed although they lost their disk before they caught
/// up, or their machine was replaced.
#[test]
fn abandoned_learner_is_removed() {
    let voters = ["a.1", "b.1", "c.1"];
    let lost = group(members(&voters, &["c.2", "d.1"]), 1, &["c.3"], &[]);
    assert_eq!(lost.next_members(), Some(members(&voters, &["d.1"])));
    let unresponsive = group(members(&voters, &["d.1"]), 1, &[], &["d.1"]);
    assert_eq!(unresponsive.next_members(), Some(members(&voters, &[])));
}

/// Guards against a group that removes an unresponsive voter without a replacement. The voter may
/// return with its disk, but meanwhile the group would tolerate fewer disk losses than required.
#[test]
fn unresponsive_voter_stays_until_it_is_replaced() {
    let five = ["a.1", "b.1", "c.1", "d.1", "e.1"];
    let absent = group(members(&five, &[]), 2, &[], &["d.1", "e.1"]);
    assert_eq!(absent.next_members(), None);
    let taken = steps(group(members(&five, &["f.1"]), 2, &[], &["d.1"]));
    let expected = [
        members(&["a.1", "b.1", "c.1", "d.1", "e.1", "f.1"], &[]),
        members(&["a.1", "b.1", "c.1", "e.1", "f.1"], &[]),
    ];
    assert_eq!(taken, expected);
}

/// Guards against an even number of voters, which an even split leaves without a leader, and
/// against learners that are not promoted although the group has too few voters.
#[test]
fn number_of_voters_matches_the_losses_to_tolerate() {
    let initial = members(&["a.1", "b.1", "c.1"], &[]);
    for (losses, joining, voters) in [
        (0, vec!["d.1"], 3),
        (1, vec![], 3),
        (1, vec!["d.1", "e.1"], 3),
        (2, vec!["d.1", "e.1", "f.1"], 5),
        (2, vec!["d.1", "e.1", "f.1", "g.1", "h.1", "i.1"], 5),
        (3, vec!["d.1", "e.1", "f.1", "g.1", "h.1", "i.1"], 7),
    ] {
        let last = steps(group(initial.clone(), losses, &joining, &[])).pop();
        let last = last.unwrap_or_else(|| initial.clone());
        assert_eq!(last.voters.len(), voters, "{losses} losses, {joining:?} join");
        assert_eq!(last.all().count(), 3 + joining.len());
    }
}

/// Group led by `a.1` right after its election: the ages of all acknowledgements are equal, and the
/// voters in `unheard` have not answered yet.
fn elected(voters: &[&str], losses: usize, unheard: &[&str]) -> ControlGroup {
    let mut group = group(members(voters, &[]), losses, &[], &[]);
    for (name, progress) in &mut group.progress {
        progress.caught_up = !unheard.contains(&name.as_str());
    }
    group
}

/// Guards against a leader elected during a replacement that removes a voter by its name instead of
/// the one that has gone, so that the loss of one more disk ends the group.
#[test]
fn new_leader_removes_only_the_voter_that_did_not_answer() {
    for gone in ["b.1", "c.1", "d.1"] {
        let next = elected(&["a.1", "b.1", "c.1", "d.1"], 1, &[gone]).next_members().unwrap();
        let remaining = ["a.1", "b.1", "c.1", "d.1"].into_iter().filter(|name| *name != gone);
        assert_eq!(next, members(&remaining.collect::<Vec<_>>(), &[]));
    }
}

/// Guards against a new leader that removes a voter before the others have answered.
#[test]
fn no_voter_is_removed_while_several_have_not_answered() {
    let voters = ["a.1", "b.1", "c.1", "d.1", "e.1", "f.1"];
    for unheard in [["b.1", "c.1"], ["c.1", "f.1"], ["e.1", "f.1"]] {
        assert_eq!(elected(&voters, 2, &unheard).next_members(), None);
    }
    let mut one_silent = elected(&voters, 2, &["b.1", "c.1"]);
    let silent = Progress { caught_up: false, ack_age: MEMBER_REPLACEMENT_TIMEOUT_MS };
    one_silent.progress.insert(name("b.1"), silent);
    let next = one_silent.next_members().unwrap();
    assert_eq!(next, members(&["a.1", "c.1", "d.1", "e.1", "f.1"], &[]));
}

/// Guards against a replacement that takes longer than the time to catch up if the leader changes
/// meanwhile, and against one of a voter whose process has only restarted.
#[test]
fn silent_voter_is_replaced_before_it_may_be_removed() {
    let current = members(&["a.1", "b.1", "c.1"], &["d.1"]);
    let next = members(&["a.1", "b.1", "c.1", "d.1"], &[]);
    for (ack_age, expected) in
        [(PROMOTION_TIMEOUT_MS - 1, None), (PROMOTION_TIMEOUT_MS, Some(&next))]
    {
        let mut group = group(current.clone(), 1, &[], &[]);
        group.progress.insert(name("b.1"), Progress { caught_up: false, ack_age });
        assert_eq!(group.next_members().as_ref(), expected, "{ack_age} ms");
    }
}

fn voters(cluster: &Cluster) -> BTreeSet<Name> {
    let leader = cluster.leader().unwrap();
    cluster.nodes[leader].raft.members().voters.clone()
}

/// Proposes a command and returns the next committed one.
fn commit(cluster: &mut Cluster) -> String {
    cluster.propose();
    let last = cluster.committed.keys().last().copied().unwrap_or(0);
    for _ in 0..200 {
        cluster.run(10);
        let committed = cluster.committed.range(last + 1..).find_map(|(_, (entry, _))| {
            matches!(entry.payload, Payload::Command(_)).then(|| format!("{:?}", entry.payload))
        });
        if let Some(committed) = committed {
            return committed;
        }
    }
    panic!("nothing was committed within 2 s");
}

/// Guards against the loss of the group when two voters are without power for 7 s and return with
/// their disks, and then two other members lose theirs.
#[test]
fn short_absence_does_not_lower_the_losses_to_tolerate() {
    for seed in 0..20 {
        let mut cluster = Cluster::group(6, 2, seed);
        cluster.run(4_000);
        let absent: Vec<usize> = cluster.running().into_iter().rev().take(2).collect();
        cluster.faults.down.extend(absent.iter().copied());
        cluster.run(7_000);
        for slot in absent {
            cluster.restart(slot);
            cluster.faults.down.remove(&slot);
        }
        cluster.run(6_000);
        let before = commit(&mut cluster);
        let leader = cluster.leader().unwrap();
        let voting = voters(&cluster);
        let others = (0..6).filter(|slot| *slot != leader);
        let lost: Vec<usize> =
            others.filter(|slot| voting.contains(&cluster.nodes[*slot].id)).take(1).collect();
        for slot in lost.into_iter().chain([leader]) {
            cluster.lose_disk(slot);
        }
        cluster.run(8_000);
        let after = commit(&mut cluster);
        assert_ne!(before, after);
        assert_eq!(voters(&cluster).len(), 5, "seed {seed}");
    }
}

/// Guards against a control group that has no leader while it is partitioned in halves.
#[test]
fn one_side_of_an_even_split_has_a_leader() {
    for size in 3..=9 {
        for first in 0..size {
            let losses = if size >= 5 { 2 } else { 1 };
            let mut cluster = Cluster::group(size, losses, first as u64);
            cluster.run(4_000);
            let side = (0..size / 2).map(|n| (first + n * 2) % size).collect();
            cluster.split(&side);
            cluster.run(2_500);
            let leader = cluster.leader().unwrap();
            let raft = &cluster.nodes[leader].raft;
            let now = cluster.clock(leader);
            assert!(raft.lease_valid(now), "size {size}, side {side:?}: nobody leads");
        }
    }
}

/// A step of a fault schedule; slots are taken modulo the size of the group.
#[derive(Debug, Clone)]
enum Fault {
    Run(u64),
    PowerOff(usize),
    PowerOn,
    Freeze(usize),
    Wipe(usize),
    WipeLeader,
    Split(usize),
    Join,
}

fn faults() -> impl Strategy<Value = Vec<Fault>> {
    let fault = prop_oneof![
        5 => (1..5_000u64).prop_map(Fault::Run),
        2 => (0..6usize).prop_map(Fault::PowerOff),
        3 => Just(Fault::PowerOn),
        1 => (0..6usize).prop_map(Fault::Freeze),
        2 => (0..6usize).prop_map(Fault::Wipe),
        1 => Just(Fault::WipeLeader),
        1 => (1..6usize).prop_map(Fault::Split),
        2 => Just(Fault::Join),
    ];
    prop::collection::vec(fault, 5..25)
}

/// Time for which a member that returned without its disk counts as lost.
const CATCH_UP_MS: u64 = 6_000;

/// A group with only such losses as it must tolerate: any power losses, but no more than two disk
/// losses at once.
struct Scenario {
    cluster: Cluster,
    frozen: BTreeSet<usize>,
    /// Slots whose disks were lost, each with the time until which it counts as lost.
    wiped: Vec<(usize, u64)>,
}

impl Scenario {
    fn wipe(&mut self, slot: usize) {
        let now = self.cluster.now;
        self.wiped.retain(|(_, until)| now < *until);
        // A member can catch up only while no other member is down and no link is cut.
        let healthy = self.cluster.faults.down.is_empty() && self.cluster.faults.cuts.is_empty();
        let already_wiped = self.wiped.iter().any(|(other, _)| *other == slot);
        if already_wiped || self.wiped.len() >= 2 || !healthy {
            return;
        }
        self.wiped.push((slot, now + CATCH_UP_MS));
        self.cluster.lose_disk(slot);
    }

    fn power_on(&mut self) {
        for slot in std::mem::take(&mut self.cluster.faults.down) {
            if !self.frozen.remove(&slot) {
                self.cluster.restart(slot);
            }
        }
        self.delay_wiped();
    }

    /// Restarts the catch-up time of wiped members, which begins after the other faults end.
    fn delay_wiped(&mut self) {
        let now = self.cluster.now;
        for (_, until) in &mut self.wiped {
            *until = (*until).max(now + CATCH_UP_MS);
        }
    }

    fn perform(&mut self, fault: &Fault) {
        let size = self.cluster.nodes.len();
        match *fault {
            Fault::Run(span) => {
                self.cluster.propose();
                self.cluster.run(span);
            }
            Fault::PowerOff(slot) => {
                self.cluster.faults.down.insert(slot % size);
            }
            Fault::Freeze(slot) => {
                if self.cluster.faults.down.insert(slot % size) {
                    self.frozen.insert(slot % size);
                }
            }
            Fault::PowerOn => self.power_on(),
            Fault::Wipe(slot) => self.wipe(slot % size),
            Fault::WipeLeader => {
                if let Some(slot) = self.cluster.leader() {
                    self.wipe(slot);
                }
            }
            Fault::Split(from) => {
                self.cluster.split(&(0..from % size).collect());
            }
            Fault::Join => {
                self.cluster.faults.cuts.clear();
                self.delay_wiped();
            }
        }
    }
}

/// Guards against a group that stops for good or loses acknowledged entries, under losses that it
/// must tolerate. The cluster itself checks that no committed entry changes.
#[test]
fn no_schedule_of_tolerated_losses_stops_the_group() {
    let config = ProptestConfig {
        cases: 60,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        max_shrink_iters: 60,
        ..ProptestConfig::default()
    };
    let inputs = (5..7usize, any::<u64>(), faults());
    let result = TestRunner::new(config).run(&inputs, |(size, seed, faults)| {
        let mut cluster = Cluster::group(size, 2, seed);
        cluster.run(4_000);
        let mut scenario = Scenario { cluster, frozen: BTreeSet::new(), wiped: Vec::new() };
        for fault in &faults {
            scenario.perform(fault);
        }
        scenario.cluster.faults.cuts.clear();
        scenario.power_on();
        scenario.cluster.run(15_000);
        commit(&mut scenario.cluster);
        prop_assert_eq!(voters(&scenario.cluster).len(), 5);
        Ok(())
    });
    result.unwrap();
}
