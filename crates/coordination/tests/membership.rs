//! Who votes in a control group: tables of cases, and groups under losses of power and disks.

// The setting for tests in clippy.toml does not reach helper functions in test files.
#![allow(clippy::unwrap_used, clippy::panic)]
// Each test file uses a part of the cluster.
#[allow(dead_code)]
mod cluster;

use std::collections::BTreeSet;

use auburnlug_coordination::{
    membership::{Group, LOST, Standing},
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
    Members { voters: names(voters), learners: names(learners) }
}

/// A group in which all members are filled and answer but those named; `a.1` leads.
fn group(members: Members, losses: usize, joining: &[&str], silent: &[&str]) -> Group {
    let standing = |id: &Name| {
        let silent = silent.contains(&id.as_str());
        Standing { filled: !silent, silent: if silent { LOST } else { 50 } }
    };
    let standing = members.all().map(|id| (id.clone(), standing(id))).collect();
    let joining = joining.iter().map(|text| name(text)).collect();
    Group { members, leader: name("a.1"), joining, standing, losses }
}

/// Follows the steps until the membership stays.
fn steps(mut group: Group) -> Vec<Members> {
    let mut all = Vec::new();
    while let Some(next) = group.next() {
        assert!(all.len() < 10, "the membership does not settle: {all:?}");
        for id in next.all() {
            let filled = Standing { filled: true, silent: 50 };
            group.standing.entry(id.clone()).or_insert(filled);
        }
        all.push(next.clone());
        group.members = next;
    }
    all
}

/// Guards against a voter that has not been filled and against two votes of one instance.
#[test]
fn a_lost_disk_is_filled_before_it_votes() {
    let whole = members(&["a.1", "b.1", "c.1"], &[]);
    let taken = steps(group(whole.clone(), 1, &["c.2"], &[]));
    let expected = [
        members(&["a.1", "b.1", "c.1"], &["c.2"]),
        members(&["a.1", "b.1"], &["c.2"]),
        members(&["a.1", "b.1", "c.2"], &[]),
    ];
    assert_eq!(taken, expected);
    let mut filling = group(expected[0].clone(), 1, &["c.2"], &["c.1"]);
    filling.standing.insert(name("c.2"), Standing { filled: false, silent: 50 });
    assert_eq!(filling.next(), None);
}

/// Guards against learners that stay for ever: their disk was lost before they were filled, or
/// their machine was replaced.
#[test]
fn an_abandoned_learner_leaves() {
    let voters = ["a.1", "b.1", "c.1"];
    let lost = group(members(&voters, &["c.2", "d.1"]), 1, &["c.3"], &[]);
    assert_eq!(lost.next(), Some(members(&voters, &["d.1"])));
    let silent = group(members(&voters, &["d.1"]), 1, &[], &["d.1"]);
    assert_eq!(silent.next(), Some(members(&voters, &[])));
}

/// Guards against a group that shrinks while a voter is away: its disk may come back, and then
/// fewer others may be lost than the group has to bear.
#[test]
fn a_silent_voter_stays_until_another_has_its_place() {
    let five = ["a.1", "b.1", "c.1", "d.1", "e.1"];
    let away = group(members(&five, &[]), 2, &[], &["d.1", "e.1"]);
    assert_eq!(away.next(), None);
    let taken = steps(group(members(&five, &["f.1"]), 2, &[], &["d.1"]));
    let expected = [
        members(&["a.1", "b.1", "c.1", "d.1", "e.1", "f.1"], &[]),
        members(&["a.1", "b.1", "c.1", "e.1", "f.1"], &[]),
    ];
    assert_eq!(taken, expected);
}

/// Guards against an even number of voters, which a cut in halves leaves without a leader, and
/// against members that are not used although voters lack.
#[test]
fn the_group_keeps_as_many_voters_as_its_losses_require() {
    let founded = members(&["a.1", "b.1", "c.1"], &[]);
    for (losses, joining, voters) in [
        (0, vec!["d.1"], 3),
        (1, vec![], 3),
        (1, vec!["d.1", "e.1"], 3),
        (2, vec!["d.1", "e.1", "f.1"], 5),
        (2, vec!["d.1", "e.1", "f.1", "g.1", "h.1", "i.1"], 5),
        (3, vec!["d.1", "e.1", "f.1", "g.1", "h.1", "i.1"], 7),
    ] {
        let last = steps(group(founded.clone(), losses, &joining, &[])).pop();
        let last = last.unwrap_or_else(|| founded.clone());
        assert_eq!(last.voters.len(), voters, "{losses} losses, {joining:?} join");
        assert_eq!(last.all().count(), 3 + joining.len());
    }
}

fn voters(cluster: &Cluster) -> BTreeSet<Name> {
    let leader = cluster.leader().unwrap();
    cluster.nodes[leader].raft.members().voters.clone()
}

/// Proposes a change and returns it once it is committed.
fn commit(cluster: &mut Cluster) -> String {
    cluster.propose();
    let last = cluster.agreed.keys().last().copied().unwrap_or(0);
    for _ in 0..200 {
        cluster.run(10);
        let fresh = cluster.agreed.range(last + 1..).find_map(|(_, (entry, _))| {
            matches!(entry.payload, Payload::Command(_)).then(|| format!("{:?}", entry.payload))
        });
        if let Some(fresh) = fresh {
            return fresh;
        }
    }
    panic!("nothing is committed within 2 s");
}

/// Guards against the loss of the group in `trouble-2` of the large Sahil site: two voters are
/// without power for 7 s and come back with their disks, then two others lose theirs.
#[test]
fn a_short_absence_does_not_lower_what_may_be_lost() {
    for seed in 0..20 {
        let mut cluster = Cluster::group(6, 2, seed);
        cluster.run(4_000);
        let away: Vec<usize> = cluster.running().into_iter().rev().take(2).collect();
        cluster.faults.down.extend(away.iter().copied());
        cluster.run(7_000);
        for slot in away {
            cluster.restart(slot);
            cluster.faults.down.remove(&slot);
        }
        cluster.run(6_000);
        let kept = commit(&mut cluster);
        let leader = cluster.leader().unwrap();
        let voting = voters(&cluster);
        let others = (0..6).filter(|slot| *slot != leader);
        let lost: Vec<usize> =
            others.filter(|slot| voting.contains(&cluster.nodes[*slot].id)).take(1).collect();
        for slot in lost.into_iter().chain([leader]) {
            cluster.lose_disk(slot);
        }
        cluster.run(8_000);
        let again = commit(&mut cluster);
        assert_ne!(kept, again);
        assert_eq!(voters(&cluster).len(), 5, "seed {seed}");
    }
}

/// Guards against a control group without a leader while a cut in halves lasts.
#[test]
fn every_split_in_halves_leaves_a_side_with_a_leader() {
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

/// A trouble of a schedule; slots are taken modulo the size of the group.
#[derive(Debug, Clone)]
enum Trouble {
    Run(u64),
    PowerOff(usize),
    PowerOn,
    Freeze(usize),
    Wipe(usize),
    WipeLeader,
    Split(usize),
    Join,
}

fn troubles() -> impl Strategy<Value = Vec<Trouble>> {
    let trouble = prop_oneof![
        5 => (1..5_000u64).prop_map(Trouble::Run),
        2 => (0..6usize).prop_map(Trouble::PowerOff),
        3 => Just(Trouble::PowerOn),
        1 => (0..6usize).prop_map(Trouble::Freeze),
        2 => (0..6usize).prop_map(Trouble::Wipe),
        1 => Just(Trouble::WipeLeader),
        1 => (1..6usize).prop_map(Trouble::Split),
        2 => Just(Trouble::Join),
    ];
    prop::collection::vec(trouble, 5..25)
}

/// Time after its return in which a member without a disk counts as lost, in milliseconds.
const CATCH_UP: u64 = 6_000;

/// A group under losses that it has to bear: any of power, two of disks at once.
struct Story {
    cluster: Cluster,
    frozen: BTreeSet<usize>,
    /// Slots whose disks were lost, each until the time at which it counts again.
    wiped: Vec<(usize, u64)>,
}

impl Story {
    fn wipe(&mut self, slot: usize) {
        let now = self.cluster.now;
        self.wiped.retain(|(_, until)| now < *until);
        // The time to catch up counts while nothing else is lost or cut.
        let calm = self.cluster.faults.down.is_empty() && self.cluster.faults.cuts.is_empty();
        let known = self.wiped.iter().any(|(other, _)| *other == slot);
        if known || self.wiped.len() >= 2 || !calm {
            return;
        }
        self.wiped.push((slot, now + CATCH_UP));
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

    /// What lost its disk catches up only after the other faults.
    fn delay_wiped(&mut self) {
        let now = self.cluster.now;
        for (_, until) in &mut self.wiped {
            *until = (*until).max(now + CATCH_UP);
        }
    }

    fn perform(&mut self, trouble: &Trouble) {
        let size = self.cluster.nodes.len();
        match *trouble {
            Trouble::Run(span) => {
                self.cluster.propose();
                self.cluster.run(span);
            }
            Trouble::PowerOff(slot) => {
                self.cluster.faults.down.insert(slot % size);
            }
            Trouble::Freeze(slot) => {
                if self.cluster.faults.down.insert(slot % size) {
                    self.frozen.insert(slot % size);
                }
            }
            Trouble::PowerOn => self.power_on(),
            Trouble::Wipe(slot) => self.wipe(slot % size),
            Trouble::WipeLeader => {
                if let Some(slot) = self.cluster.leader() {
                    self.wipe(slot);
                }
            }
            Trouble::Split(from) => {
                self.cluster.split(&(0..from % size).collect());
            }
            Trouble::Join => {
                self.cluster.faults.cuts.clear();
                self.delay_wiped();
            }
        }
    }
}

/// Guards against a group that is lost for good, or loses what it acknowledged, by losses that it
/// has to bear. The cluster itself checks that no committed entry changes.
#[test]
fn no_schedule_within_the_losses_to_bear_stops_the_group() {
    let config = ProptestConfig {
        cases: 60,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        max_shrink_iters: 60,
        ..ProptestConfig::default()
    };
    let inputs = (5..7usize, any::<u64>(), troubles());
    let result = TestRunner::new(config).run(&inputs, |(size, seed, troubles)| {
        let mut cluster = Cluster::group(size, 2, seed);
        cluster.run(4_000);
        let mut story = Story { cluster, frozen: BTreeSet::new(), wiped: Vec::new() };
        for trouble in &troubles {
            story.perform(trouble);
        }
        story.cluster.faults.cuts.clear();
        story.power_on();
        story.cluster.run(15_000);
        commit(&mut story.cluster);
        prop_assert_eq!(voters(&story.cluster).len(), 5);
        Ok(())
    });
    result.unwrap();
}
