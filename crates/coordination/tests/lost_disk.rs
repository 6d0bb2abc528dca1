//! Tests of quorums beside voters that have lost their disks.

// The exemption for tests in clippy.toml does not cover helper functions in test files.
#![allow(clippy::unwrap_used, clippy::panic)]
// Each test file uses only a part of the module.
#[allow(dead_code)]
mod cluster;

use std::collections::BTreeSet;

use auburnlug_coordination::raft::{Entry, Members, Message, Payload, Raft, Saved, Timing, Vote};
use auburnlug_state::Name;
use cluster::{Cluster, name};

const SEEDS: u64 = 20;

/// Time in which a loss becomes known to the leader, and the removal of the voter is committed.
const REMOVAL_MS: u64 = 400;

/// Time within which the group leads again after all its processes were restarted.
const RECOVERY_MS: u64 = 12_000;

fn set(names: &[&str]) -> BTreeSet<Name> {
    names.iter().map(|text| name(text)).collect()
}

fn subset(names: &[Name], bits: usize) -> BTreeSet<Name> {
    let chosen = names.iter().enumerate().filter(|(i, _)| bits >> i & 1 == 1);
    chosen.map(|(_, name)| name.clone()).collect()
}

/// Guards against two leaders of one term, and against an acknowledged entry that a later leader does
/// not have: any two quorums share a voter. Each is counted by one of its members, which has its disk
/// then and knows some of the losses so far; its other members may have lost theirs since they voted.
#[test]
fn quorums_of_the_same_voters_intersect() {
    for size in 1..=4 {
        let names: Vec<Name> = (0..size).map(|n| name(&format!("m{n}"))).collect();
        let members = Members::new(names.iter().cloned().collect(), BTreeSet::new());
        let all = 0..1_usize << size;
        let sets: Vec<BTreeSet<Name>> = all.clone().map(|bits| subset(&names, bits)).collect();
        // Quorums that can be counted when the disks in `lost` are lost.
        let quorums = |lost: usize| -> BTreeSet<usize> {
            let counted = |bits: usize, known: usize| {
                let mut counters = sets[bits].difference(&sets[lost]);
                let is_quorum = |name| members.is_quorum(&sets[bits], &sets[known], name);
                known & !lost == 0 && counters.any(is_quorum)
            };
            all.clone().filter(|bits| all.clone().any(|known| counted(*bits, known))).collect()
        };
        for (lost, more) in all.clone().flat_map(|a| all.clone().map(move |b| (a, a | b))) {
            for first in quorums(lost) {
                let apart = quorums(more).into_iter().find(|bits| bits & first == 0);
                assert_eq!(apart, None, "{size}: {first:b}, {lost:b}, {more:b}");
            }
        }
    }
}

/// Guards against a voter that counts although its disk is lost, and against a half that counts
/// although a voter of the other half may return.
#[test]
fn half_of_the_voters_is_a_quorum_only_if_all_others_lost_their_disks() {
    for (voters, present, lost, expected) in [
        (&["a", "b"][..], &["b"][..], &[][..], false),
        (&["a", "b"], &["b"], &["a"], true),
        (&["a", "b"], &["a"], &["a"], false),
        (&["a", "b"], &["b"], &["c"], false),
        (&["a", "b", "c"], &["c"], &["a", "b"], false),
        (&["a", "b", "c", "d"], &["c", "d"], &["a", "b"], true),
        (&["a", "b", "c", "d"], &["c", "d"], &["a"], false),
        (&["a", "b", "c", "d"], &["c", "d"], &[], false),
        (&["a", "b", "c", "d"], &["d"], &["a", "b", "c"], false),
        (&["a"], &[], &["a"], false),
        (&[], &[], &[], false),
    ] {
        let members = Members::new(set(voters), BTreeSet::new());
        let counter = name(present.first().unwrap_or(&"x"));
        let found = members.is_quorum(&set(present), &set(lost), &counter);
        assert_eq!(found, expected, "{voters:?}: {present:?} without {lost:?}");
        // Half does not suffice for a member outside it.
        let found = members.is_quorum(&set(present), &set(lost), &name("x"));
        assert_eq!(found, 2 * present.len() > voters.len(), "{voters:?}: {present:?}");
    }
}

/// Guards against a change of the voters after which a quorum of the former ones knows nothing of it:
/// both must agree until the change is complete.
#[test]
fn former_voters_count_until_a_change_is_complete() {
    let former = set(&["a", "b"]);
    let members = Members { former, ..Members::new(set(&["a", "b", "c"]), BTreeSet::new()) };
    for (present, lost, counter, expected) in [
        (&["a", "c"][..], &[][..], "a", false),
        (&["a", "b"], &[], "a", true),
        (&["a", "b"], &[], "c", true),
        (&["a", "c"], &["b"], "a", true),
        (&["a", "c"], &["b"], "c", false),
        (&["b"], &["a"], "b", false),
    ] {
        let found = members.is_quorum(&set(present), &set(lost), &name(counter));
        assert_eq!(found, expected, "{present:?} without {lost:?}, counted by {counter}");
    }
    assert!(members.is_voter(&name("c")));
    assert_eq!(members.all().count(), 3);
}

/// Member `b` of two voters, with one entry; `former` are the voters before an incomplete change.
fn survivor(former: &[&str]) -> Raft {
    let initial = Members::new(set(&["a", "b", "c"]), BTreeSet::new());
    let members =
        Members { former: set(former), ..Members::new(set(&["a", "b"]), BTreeSet::new()) };
    let entries = vec![Entry { index: 1, term: 2, payload: Payload::Members(members) }];
    let saved = Saved { vote: Vote { term: 2, candidate: None }, snapshot: None, entries };
    Raft::new(name("b"), initial, saved, Timing::default(), 1, 0).unwrap()
}

/// Guards against a survivor that never leads, and against one that leads although the removal of the
/// third voter may not be committed, so that the two others may have acknowledged more.
#[test]
fn the_survivor_of_two_voters_leads_once_the_loss_of_the_other_is_known() {
    for (former, leads) in [(&[][..], true), (&["a", "b", "c"][..], false)] {
        let mut raft = survivor(former);
        raft.tick(2_000);
        assert!(!raft.leads(), "leads without evidence");
        assert!(raft.record_loss(&name("a")) && !raft.record_loss(&name("a")));
        assert!(!raft.record_loss(&name("b")) && !raft.record_loss(&name("x")));
        raft.tick(4_000);
        assert_eq!((raft.leads(), raft.leads_alone()), (leads, leads), "former {former:?}");
    }
}

/// Guards against a leader that counts what a member acknowledged before it lost its disk.
#[test]
fn acknowledgements_of_a_lost_member_do_not_count() {
    let mut raft = survivor(&[]);
    raft.record_loss(&name("a"));
    raft.tick(2_000);
    let now = 2_010;
    assert!(raft.leads_alone());
    raft.ready();
    let reply = Message::AppendReply { term: raft.term(), accepted: true, index: 2, sent: now };
    raft.receive(&name("a"), reply, now);
    assert_eq!(raft.commit_index(), 0, "committed before it was durable here");
    raft.persisted();
    assert_eq!(raft.commit_index(), 2);
}

/// Proposes until a command is committed, at most for `limit`; returns its index.
fn commit(cluster: &mut Cluster, limit: u64) -> u64 {
    let last = cluster.committed.keys().last().copied().unwrap_or(0);
    for _ in 0..limit / 10 {
        cluster.propose();
        cluster.run(10);
        let mut new = cluster.committed.range(last + 1..);
        let found = new.find(|(_, (entry, _))| matches!(entry.payload, Payload::Command(_)));
        if let Some((index, _)) = found {
            return *index;
        }
    }
    panic!("nothing was committed within {limit} ms");
}

/// Group in which the disk of a member is lost, and the leader knows of it; the instance is then cut
/// off. Returns its slot.
fn group_beside_a_lost_disk(losses: usize, leader_first: bool, seed: u64) -> (Cluster, usize) {
    let mut cluster = Cluster::group(2 * losses + 1, losses, seed);
    cluster.run(4_000);
    let leader = cluster.leader().unwrap();
    let first = if leader_first { leader } else { (leader + 1) % cluster.nodes.len() };
    cluster.lose_disk(first);
    while cluster.leader().is_none_or(|slot| slot == first) {
        cluster.run(10);
    }
    cluster.run(REMOVAL_MS);
    cluster.isolate(first);
    (cluster, first)
}

/// Guards against a group that is lost with a second disk while the instance that lost the first one
/// is away, although the leader knew of the first loss.
#[test]
fn the_group_survives_a_second_lost_disk_before_the_first_has_healed() {
    for (losses, leader_first) in [(1, false), (1, true), (2, false), (2, true)] {
        for seed in 0..SEEDS {
            let (mut cluster, first) = group_beside_a_lost_disk(losses, leader_first, seed);
            commit(&mut cluster, 3_000);
            let leader = cluster.leader().unwrap();
            let others = (0..cluster.nodes.len()).filter(|slot| ![first, leader].contains(slot));
            let others: Vec<usize> = others.collect();
            cluster.lose_disk(leader);
            let (lost, kept) = others.split_at(losses - 1);
            lost.iter().for_each(|slot| cluster.lose_disk(*slot));
            kept.iter().for_each(|slot| cluster.restart(*slot));
            cluster.faults.cuts.clear();
            commit(&mut cluster, RECOVERY_MS);
            cluster.recover();
        }
    }
}
