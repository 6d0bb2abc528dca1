//! Tests of Raft under network, process and disk faults.

// The exemption for tests in clippy.toml does not cover helper functions in test files.
#![allow(clippy::unwrap_used)]

// Each test file uses only a part of the module.
#[allow(dead_code)]
mod cluster;

use std::collections::BTreeSet;

use auburnlug_coordination::{
    Category,
    raft::{Entry, Members, Message, Payload, Raft, Ready, Saved, Snapshot, Timing, Vote},
};
use auburnlug_state::Command;
use cluster::{Cluster, Faults, name};
use proptest::{
    prelude::*,
    test_runner::{RngSeed, TestRunner},
};

/// A step of a schedule; slots are taken modulo the size of the cluster.
#[derive(Debug, Clone)]
enum Step {
    Run(u64),
    Propose(u8),
    Network {
        loss: u64,
        duplicates: u64,
        delay: u64,
        sync: u64,
    },
    Cut(usize, usize),
    Isolate(usize),
    /// Drops all messages to the current leader (`true`), or all messages from it (`false`).
    CutLeader(bool),
    Heal,
    /// Heals all partitions and isolates the current leader, so that the members partitioned so far
    /// start an election.
    IsolateLeader,
    Restart(usize),
    RestartLeader,
    LoseDisk(usize),
    RestartTwo(usize),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let network = (0..40u64, 0..40u64, 1..300u64, 0..60u64);
    let step = prop_oneof![
        6 => (1..900u64).prop_map(Step::Run),
        4 => (1..40u8).prop_map(Step::Propose),
        2 => network.prop_map(|(loss, duplicates, delay, sync)| Step::Network { loss, duplicates, delay, sync }),
        2 => (0..5usize, 0..5usize).prop_map(|(a, b)| Step::Cut(a, b)),
        1 => (0..5usize).prop_map(Step::Isolate),
        2 => any::<bool>().prop_map(Step::CutLeader),
        2 => Just(Step::Heal),
        2 => Just(Step::IsolateLeader),
        2 => (0..5usize).prop_map(Step::Restart),
        2 => Just(Step::RestartLeader),
        1 => (0..5usize).prop_map(Step::LoseDisk),
        1 => (0..5usize).prop_map(Step::RestartTwo),
    ];
    prop::collection::vec(step, 10..50)
}

fn perform(cluster: &mut Cluster, step: &Step) {
    let size = cluster.nodes.len();
    match *step {
        Step::Run(span) => cluster.run(span),
        Step::Propose(count) => {
            for _ in 0..count {
                cluster.propose();
            }
            cluster.run(20);
        }
        Step::Network { loss, duplicates, delay, sync } => {
            cluster.faults = Faults { loss, duplicates, delay, sync, ..cluster.faults.clone() };
        }
        Step::Cut(a, b) => {
            cluster.faults.cuts.insert((a % size, b % size));
        }
        Step::Isolate(slot) => cluster.isolate(slot % size),
        Step::CutLeader(inbound) => {
            let Some(slot) = cluster.leader() else { return };
            let pair = |other| if inbound { (other, slot) } else { (slot, other) };
            cluster.faults.cuts.extend((0..size).map(pair));
        }
        Step::Heal => cluster.faults.cuts.clear(),
        Step::IsolateLeader => {
            cluster.faults.cuts.clear();
            if let Some(slot) = cluster.leader() {
                cluster.isolate(slot);
            }
        }
        Step::Restart(slot) => cluster.restart(slot % size),
        Step::RestartLeader => {
            if let Some(slot) = cluster.leader() {
                cluster.restart(slot);
            }
        }
        // Losing a second disk before the first repair could lose a majority, which no group
        // survives.
        Step::LoseDisk(slot) if cluster.repaired() => cluster.lose_disk(slot % size),
        Step::LoseDisk(_) => {}
        Step::RestartTwo(slot) => {
            cluster.restart(slot % size);
            cluster.restart((slot + 1) % size);
        }
    }
}

#[test]
fn invariants_hold_under_random_schedules() {
    // Guards against two leaders in a term, a committed entry that is lost or changed, two valid
    // leases, and a cluster that does not recover once the faults end.
    let config = ProptestConfig {
        cases: 120,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        max_shrink_iters: 40,
        ..ProptestConfig::default()
    };
    let inputs = (any::<bool>(), any::<u64>(), steps());
    let result = TestRunner::new(config).run(&inputs, |(five, seed, steps)| {
        let mut cluster = Cluster::new(if five { 5 } else { 3 }, seed);
        cluster.run(1500);
        for step in &steps {
            perform(&mut cluster, step);
        }
        cluster.recover();
        Ok(())
    });
    result.unwrap();
}

/// A named fault schedule for three members, which starts with a stable leader.
type Case = (&'static str, fn(&mut Cluster, usize));

const CASES: &[Case] = &[
    ("leader restarts twice", |c, leader| {
        c.propose();
        c.restart(leader);
        c.run(300);
        c.restart(leader);
    }),
    ("leader isolated while it proposes", |c, leader| {
        c.isolate(leader);
        c.propose();
        c.run(2000);
    }),
    ("leader receives nothing but can send", |c, leader| {
        c.faults.cuts.extend((0..3).map(|other| (other, leader)));
        c.run(4000);
        assert_ne!(c.leader(), Some(leader), "a leader without a majority did not step down");
    }),
    ("follower restarts during a sync, then the leader is isolated", |c, leader| {
        c.isolate((leader + 2) % 3);
        c.faults.sync = 100;
        c.propose();
        c.run(30);
        c.restart((leader + 1) % 3);
        c.faults.cuts.clear();
        c.isolate(leader);
        c.run(3000);
        c.propose();
        c.run(300);
    }),
    ("member that missed entries starts an election while the leader is isolated", |c, leader| {
        c.isolate((leader + 1) % 3);
        c.run(1500);
        c.propose();
        c.run(200);
        c.faults.cuts.clear();
        c.isolate(leader);
        c.run(3000);
    }),
    ("voter restarts next to a member that asks for votes", |c, leader| {
        c.isolate((leader + 1) % 3);
        c.run(1500);
        c.faults.cuts.clear();
        c.isolate(leader);
        c.restart((leader + 2) % 3);
        c.run(1000);
    }),
    ("leader isolated while slow replies are in flight", |c, leader| {
        c.faults.delay = 300;
        c.run(2000);
        c.faults.delay = 5;
        c.isolate(leader);
        c.run(2000);
    }),
    ("all restart at once with unsynced entries", |c, _| {
        c.faults.sync = 30;
        c.propose();
        c.run(20);
        (0..3).for_each(|slot| c.restart(slot));
    }),
    ("second disk lost right after the repair", |c, leader| {
        c.propose();
        c.lose_disk((leader + 1) % 3);
        while !c.repaired() {
            c.run(1);
        }
        c.lose_disk((leader + 2) % 3);
    }),
    ("disk of the leader lost while a follower restarts", |c, leader| {
        c.propose();
        c.run(50);
        c.lose_disk(leader);
        c.restart((leader + 1) % 3);
    }),
    ("follower far behind needs a snapshot", |c, leader| {
        c.isolate((leader + 1) % 3);
        for _ in 0..400 {
            c.propose();
            c.run(2);
        }
    }),
];

fn stable_cluster(seed: u64) -> (Cluster, usize) {
    let mut cluster = Cluster::new(3, seed);
    cluster.run(3000);
    let leader = cluster.leader().unwrap();
    (cluster, leader)
}

#[test]
fn named_fault_schedules_keep_the_log_consistent() {
    for (label, case) in CASES {
        for seed in 0..8 {
            println!("{label}, seed {seed}");
            let (mut cluster, leader) = stable_cluster(seed);
            case(&mut cluster, leader);
            cluster.recover();
        }
    }
}

#[test]
fn isolated_member_does_not_depose_the_leader_on_return() {
    // Guards against a member that raises its term while isolated and deposes the leader when it
    // returns.
    for seed in 0..10 {
        let (mut cluster, leader) = stable_cluster(seed);
        let term = cluster.nodes[leader].raft.term();
        cluster.isolate((leader + 1) % 3);
        cluster.run(20_000);
        cluster.recover();
        assert_eq!(cluster.leader(), Some(leader));
        assert_eq!(cluster.nodes[leader].raft.term(), term);
    }
}

#[test]
fn restart_of_all_members_ends_with_a_leader_after_one_election_timeout() {
    // Guards against a restart of everything after which voters refuse each other's pre-votes, as
    // each of them has just started, and wait for a whole election timeout before the next try.
    let timing = Timing::default();
    for seed in 0..50 {
        let mut cluster = Cluster::new(5, seed);
        cluster.run(3000);
        // Two members stay down, and the logs of the others differ in length.
        cluster.isolate(0);
        cluster.propose();
        cluster.run(50);
        cluster.faults.down = [3, 4].into();
        cluster.faults.cuts.clear();
        cluster.faults.delay = 20;
        for slot in 0..3 {
            cluster.restart(slot);
            cluster.run(40);
        }
        cluster.run(timing.election_max + 2 * timing.heartbeat);
        assert!(cluster.leader().is_some(), "seed {seed}");
    }
}

#[test]
fn lease_lasts_through_lost_heartbeats() {
    // Guards against a lease that expires in a healthy cluster or with one follower isolated.
    let (mut cluster, leader) = stable_cluster(3);
    cluster.isolate((leader + 1) % 3);
    for _ in 0..2000 {
        cluster.run(1);
        assert!(cluster.nodes[leader].raft.lease_valid(cluster.clock(leader)));
    }
    cluster.isolate(leader);
    cluster.run(380);
    assert!(!cluster.nodes[leader].raft.lease_valid(cluster.clock(leader)));
}

#[test]
fn learners_do_not_count_towards_a_majority() {
    // Guards against entries that are committed by acknowledgements of learners, and against votes
    // of learners.
    let (mut cluster, leader) = stable_cluster(5);
    let (a, b) = ((leader + 1) % 3, (leader + 2) % 3);
    cluster.lose_disk(a);
    while cluster.nodes[leader].raft.members().learners.is_empty() {
        cluster.run(1);
    }
    cluster.faults.cuts.extend([(b, leader), (b, a)]);
    cluster.run(5);
    let commit = cluster.nodes[leader].raft.commit_index();
    cluster.propose();
    cluster.run(700);
    assert_eq!(cluster.nodes[leader].raft.commit_index(), commit);
    cluster.run(2000);
    assert!(cluster.leader().is_none_or(|slot| slot == b));
    cluster.recover();
}

#[test]
fn membership_changes_by_one_permitted_step() {
    // Guards against two memberships whose majorities do not overlap.
    let (mut cluster, leader) = stable_cluster(6);
    let now = cluster.clock(leader);
    let old = cluster.nodes[leader].raft.members().clone();
    let set = |names: &[&str]| names.iter().map(|n| name(n)).collect::<BTreeSet<_>>();
    let table = [
        (set(&["m0"]), set(&[]), Category::Membership),
        (set(&[]), set(&[]), Category::Membership),
        (set(&["m0", "m1", "m2", "m3"]), set(&[]), Category::Membership),
        (set(&["m0", "m1", "m2"]), set(&["m2"]), Category::Membership),
        (set(&["m0", "m1", "m2"]), set(&["m3", "m4"]), Category::Membership),
        (set(&["m0", "m1"]), set(&["m2"]), Category::Membership),
    ];
    let raft = &mut cluster.nodes[leader].raft;
    for (voters, learners, category) in table {
        let error = raft.propose_members(Members::new(voters, learners), now).unwrap_err();
        assert_eq!(error.category(), category);
    }
    let one = Members { learners: set(&["m3"]), ..old.clone() };
    raft.propose_members(one, now).unwrap();
    let error = raft.propose_members(old, now).unwrap_err();
    assert_eq!(error.category(), Category::Busy);
    cluster.run(200);
    let voters = set(&["m0", "m1", "m2", "m3"]);
    let members = Members::new(voters, set(&[]));
    let now = cluster.clock(leader);
    let error = cluster.nodes[leader].raft.propose_members(members, now).unwrap_err();
    assert_eq!(error.category(), Category::Lagging);
}

/// One of three members, just started, with three entries of term 2.
fn follower() -> Raft {
    let voters = ["m0", "m1", "m2"].map(name).into();
    let initial = Members::new(voters, BTreeSet::new());
    let entries = (1..=3).map(|index| Entry { index, term: 2, payload: Payload::Noop }).collect();
    let saved = Saved { vote: Vote { term: 2, candidate: None }, snapshot: None, entries };
    Raft::new(name("m0"), initial, saved, Timing::default(), 1, 0).unwrap()
}

/// Makes `raft` the leader of `term` by the vote of m1. Votes of a non-member must not count.
fn elect(raft: &mut Raft, term: u64, now: u64) {
    raft.tick(now);
    for (from, is_candidate) in [("x", false), ("m1", true)] {
        raft.receive(&name(from), Message::PreVoteReply { term, granted: true }, now);
        assert_eq!(raft.term() == term, is_candidate);
    }
    for (from, leads) in [("x", false), ("m1", true)] {
        raft.receive(&name(from), Message::VoteReply { term, granted: true }, now);
        assert_eq!(raft.leads(), leads);
    }
}

/// Guards against a learner that never looks for the group again after the leader has removed it.
#[test]
fn learner_without_heartbeats_knows_no_leader() {
    let timing = Timing::default();
    let voters = ["m0", "m1", "m2"].map(name).into();
    let initial = Members::new(voters, [name("m3")].into());
    let mut raft = Raft::new(name("m3"), initial, Saved::default(), timing, 1, 0).unwrap();
    let append =
        Message::Append { term: 1, index: 0, last: 0, entries: vec![], commit: 0, sent: 0 };
    raft.receive(&name("m1"), append.clone(), 100);
    raft.tick(100 + timing.election_min - 1);
    assert_eq!(raft.leader(), Some(&name("m1")));
    raft.tick(100 + timing.election_max);
    assert_eq!((raft.leader(), raft.term()), (None, 1));
    raft.receive(&name("m1"), append, 1_000);
    assert_eq!(raft.leader(), Some(&name("m1")));
}

/// Guards against a member that counts as silent although it has just answered: the acknowledgements
/// that a suspended process sends first carry old sending times.
#[test]
fn late_acknowledgement_ends_the_silence_of_a_member() {
    let mut raft = follower();
    elect(&mut raft, 3, 900);
    for now in (900..5_000).step_by(100) {
        raft.tick(now);
        let reply = Message::AppendReply { term: 3, accepted: true, index: 4, sent: now };
        raft.receive(&name("m1"), reply, now);
    }
    assert_eq!(raft.progress(5_000)[&name("m2")].ack_age, 4_100);
    let late = Message::AppendReply { term: 3, accepted: true, index: 4, sent: 950 };
    raft.receive(&name("m2"), late, 5_000);
    let progress = raft.progress(5_010)[&name("m2")];
    assert_eq!((progress.ack_age, progress.caught_up), (10, false));
}

/// Guards against a learner without entries that becomes a voter, and holds up all commits if a voter
/// has gone: a leader that has just restarted does not know what was committed before.
#[test]
fn learner_without_entries_has_not_caught_up() {
    let voters = ["m0", "m1", "m2"].map(name).into();
    let initial = Members::new(voters, [name("m3")].into());
    let entries = (1..=900).map(|index| Entry { index, term: 2, payload: Payload::Noop }).collect();
    let saved = Saved { vote: Vote { term: 2, candidate: None }, snapshot: None, entries };
    let mut raft = Raft::new(name("m0"), initial, saved, Timing::default(), 1, 0).unwrap();
    elect(&mut raft, 3, 900);
    raft.ready();
    raft.persisted();
    let reply = |accepted, index| Message::AppendReply { term: 3, accepted, index, sent: 900 };
    raft.receive(&name("m1"), reply(true, 901), 930);
    assert_eq!(raft.commit_index(), 901);
    raft.receive(&name("m3"), reply(false, 0), 930);
    assert!(!raft.progress(940)[&name("m3")].caught_up);
    let voters = ["m0", "m1", "m2", "m3"].map(name).into();
    let next = Members::new(voters, BTreeSet::new());
    let error = raft.propose_members(next, 940).unwrap_err();
    assert_eq!(error.category(), Category::Lagging);
}

#[test]
fn overwritten_entries_lose_all_effects() {
    // Guards against an entry that counts as durable because the entry it overwrote was, and
    // against a membership that stays in effect although its entry was overwritten.
    let mut raft = follower();
    let (initial, from) = (raft.members().clone(), name("m1"));
    let payload = Payload::Members(Members { learners: [name("m3")].into(), ..initial.clone() });
    let entries = vec![Entry { index: 4, term: 2, payload }];
    let append = Message::Append { term: 2, index: 3, last: 2, entries, commit: 0, sent: 0 };
    raft.receive(&from, append, 1);
    assert_eq!((raft.ready().append.len(), raft.members() == &initial), (1, false));
    let entries = vec![Entry { index: 2, term: 3, payload: Payload::Noop }];
    let append = Message::Append { term: 3, index: 1, last: 2, entries, commit: 0, sent: 0 };
    raft.receive(&from, append, 1);
    assert_eq!(raft.members(), &initial);
    raft.persisted();
    elect(&mut raft, 4, 900);
    let reply = Message::AppendReply { term: 4, accepted: true, index: 3, sent: 900 };
    raft.receive(&from, reply, 900);
    assert_eq!(raft.commit_index(), 0);
    let ready = raft.ready();
    assert_eq!((ready.truncate, ready.append.len()), (Some(2), 2));
    raft.persisted();
    assert_eq!(raft.commit_index(), 3);
}

#[test]
fn voter_refuses_votes_after_a_heartbeat() {
    // Guards against a vote request that was delayed after its pre-vote and elects a second leader
    // during a valid lease. A voter that has just started may have acknowledged a heartbeat before.
    let mut raft = follower();
    for (term, now) in [(5, 100), (6, 399)] {
        raft.receive(&name("m1"), Message::RequestVote { term, index: 9, last: 4 }, now);
        raft.receive(&name("m1"), Message::PreVote { term, index: 9, last: 4 }, now);
    }
    let refusals = raft.ready().messages.into_iter().map(|m| m.1);
    let refused = |m| match m {
        Message::VoteReply { granted, .. } | Message::PreVoteReply { granted, .. } => !granted,
        _ => false,
    };
    assert!(refusals.map(refused).eq([true; 4]));
    assert_eq!(raft.term(), 2);
    let request = Message::RequestVote { term: 6, index: 9, last: 4 };
    raft.receive(&name("m1"), request, 400);
    let vote = Some(Vote { term: 6, candidate: Some(name("m1")) });
    assert_eq!(raft.ready().vote, vote);
}

#[test]
fn snapshot_keeps_the_entries_after_it() {
    // Guards against a late snapshot that removes entries that the member has acknowledged.
    let mut raft = follower();
    let members = raft.members().clone();
    let snapshot = Snapshot { index: 2, term: 2, members, data: Vec::new() };
    raft.receive(&name("m1"), Message::Install { term: 2, snapshot, sent: 0 }, 1);
    let ready = raft.ready();
    assert_eq!((ready.snapshot, ready.committed.len()), (None, 2));
    let (entries, commit) = (Vec::new(), 3);
    let append = Message::Append { term: 2, index: 3, last: 2, entries, commit, sent: 1 };
    raft.receive(&name("m1"), append, 2);
    assert_eq!(raft.ready().committed.len(), 1);
}

#[test]
fn nothing_is_committed_or_returned_before_the_sync() {
    // Guards against a leader that counts its own log towards the majority before it is durable.
    let voters = BTreeSet::from([name("m0")]);
    let initial = Members::new(voters, BTreeSet::new());
    let timing = Timing::default();
    let mut raft = Raft::new(name("m0"), initial, Saved::default(), timing, 1, 0).unwrap();
    raft.tick(timing.election_max);
    let ready = raft.ready();
    assert!(raft.leads() && ready.vote.is_some() && ready.append.len() == 1);
    assert_eq!((raft.commit_index(), raft.lease_valid(timing.election_max)), (0, false));
    raft.propose(Command::Forget(name("c")), timing.election_max).unwrap();
    assert_eq!(raft.ready(), Ready::default());
    raft.persisted();
    assert_eq!((raft.ready().committed.len(), raft.lease_valid(timing.election_max)), (1, true));
}

#[test]
fn leader_commits_earlier_entries_only_with_its_own() {
    // Guards against an entry of an earlier leader that counts as committed because a majority has
    // it, and is then overwritten by a member with a newer entry.
    let mut raft = follower();
    let (now, from, term) = (800, name("m1"), 3);
    elect(&mut raft, term, now);
    assert!(raft.ready().needs_sync());
    raft.persisted();
    let learners = BTreeSet::from([name("m3")]);
    let members = Members { learners, ..raft.members().clone() };
    let error = raft.propose_members(members, now).unwrap_err();
    assert_eq!(error.category(), Category::Busy);
    for (index, commit) in [(3, 0), (4, 4)] {
        let reply = Message::AppendReply { term, accepted: true, index, sent: now };
        raft.receive(&from, reply, now);
        assert_eq!((raft.commit_index(), raft.lease_valid(now)), (commit, commit > 0));
    }
}

#[test]
fn vote_is_granted_once_per_term_and_survives_a_restart() {
    // Guards against two candidates that both win a majority in one term.
    let mut raft = follower();
    raft.receive(&name("m2"), Message::PreVoteReply { term: 6, granted: false }, 400);
    assert_eq!(raft.ready().vote, Some(Vote { term: 6, candidate: None }));
    raft.persisted();
    let request = Message::RequestVote { term: 6, index: 9, last: 4 };
    raft.receive(&name("m1"), request.clone(), 400);
    let vote = raft.ready().vote.unwrap();
    raft.persisted();
    let saved = Saved { vote, ..Saved::default() };
    let members = raft.members().clone();
    let restarted = Raft::new(name("m0"), members, saved, Timing::default(), 1, 0).unwrap();
    for mut raft in [raft, restarted] {
        raft.ready();
        raft.receive(&name("m2"), request.clone(), 900);
        let refusal = Message::VoteReply { term: 6, granted: false };
        assert_eq!(raft.ready().messages, [(name("m2"), refusal)]);
    }
}

#[test]
fn start_rejects_unsafe_timing_and_inconsistent_logs() {
    // Guards against timing that breaks the lease, and against a log that is inconsistent.
    let start = |saved, timing| Raft::new(name("m0"), Members::default(), saved, timing, 1, 0);
    let timing = Timing { lease: 400, ..Timing::default() };
    assert_eq!(start(Saved::default(), timing).unwrap_err().category(), Category::Timing);
    let (mut cluster, leader) = stable_cluster(7);
    cluster.propose();
    let raft = &mut cluster.nodes[leader].raft;
    let entries = raft.ready().append;
    let saved = Saved { vote: Vote { term: 99, candidate: None }, entries, ..Saved::default() };
    assert_eq!(start(saved, Timing::default()).unwrap_err().category(), Category::Saved);
}
