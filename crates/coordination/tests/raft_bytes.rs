//! Tests of the bytes that a member keeps in memory and sends, with entries of different sizes.

// The exemption for tests in clippy.toml does not cover helper functions in test files.
#![allow(clippy::unwrap_used)]

use std::{collections::BTreeSet, sync::Arc};

use auburnlug_coordination::{
    Category,
    raft::{Entry, Members, Message, Payload, Raft, Ready, Saved, Timing, Vote},
};
use auburnlug_state::{
    Command, Name,
    byte_size::ByteSize,
    fleet::{FleetChange, FleetConfig},
    limits,
};

fn name(text: &str) -> Name {
    Name::try_from(text).unwrap()
}

/// Change of a configuration whose document has `bytes`.
fn deploy(version: u64, bytes: usize) -> Command {
    let plan = Arc::new(FleetConfig { version, ..FleetConfig::default() });
    Command::Fleet(FleetChange::Deploy { plan, document: "d".repeat(bytes).into() })
}

/// Leader of a group with the followers `m1`, which acknowledges entries, and `m2`, which lags.
struct Leader {
    raft: Raft,
    now: u64,
}

impl Leader {
    fn new() -> Leader {
        Leader::restored(Saved::default())
    }

    /// Leader with a log, elected by `m1`.
    fn restored(saved: Saved) -> Leader {
        let voters = ["m0", "m1", "m2"].map(name).into();
        let initial = Members::new(voters, BTreeSet::new());
        let timing = Timing::default();
        let raft = Raft::new(name("m0"), initial, saved, timing, 1, 0).unwrap();
        let mut leader = Leader { raft, now: timing.election_max };
        let (now, term) = (leader.now, leader.raft.term() + 1);
        leader.raft.tick(now);
        leader.raft.receive(&name("m1"), Message::PreVoteReply { term, granted: true }, now);
        leader.raft.receive(&name("m1"), Message::VoteReply { term, granted: true }, now);
        assert!(leader.raft.leads());
        leader
    }

    fn propose(&mut self, command: Command) -> u64 {
        self.raft.propose(command, self.now).unwrap()
    }

    /// Makes the pending work durable; returns it.
    fn step(&mut self) -> Ready {
        self.raft.tick(self.now);
        let ready = self.raft.ready();
        self.raft.persisted();
        ready
    }

    /// Entries of the messages to the follower that lags, until nothing more is sent.
    fn appends(&mut self) -> Vec<Vec<Entry>> {
        let mut appends = Vec::new();
        loop {
            let ready = self.step();
            if ready == Ready::default() {
                return appends;
            }
            assert!(appends.len() < 10_000, "messages without end");
            appends.extend(ready.messages.into_iter().filter_map(lagging_appends));
        }
    }

    /// Receives the answer of a follower that it has the log up to `index`, or only up to it.
    fn receive_reply(&mut self, from: &str, accepted: bool, index: u64) {
        let (term, sent) = (self.raft.term(), self.now);
        let reply = Message::AppendReply { term, accepted, index, sent };
        self.raft.receive(&name(from), reply, self.now);
    }

    /// Proposes, commits and applies a command; the follower that lags acknowledges it if `reaches`.
    fn commit(&mut self, command: Command, reaches: bool) -> u64 {
        let index = self.propose(command);
        self.step();
        self.receive_reply("m1", true, index);
        if reaches {
            self.receive_reply("m2", true, index);
        }
        self.step();
        index
    }

    fn compact(&mut self, index: u64, bytes: usize) {
        let snapshot = self.raft.snapshot(index, vec![7; bytes]).unwrap();
        self.raft.compact(snapshot).unwrap();
    }

    /// Whether the follower that lags is sent entries, not the snapshot, once it says that it has the
    /// log up to `index` only.
    fn sends_entries_after(&mut self, index: u64) -> bool {
        self.now += 1;
        self.receive_reply("m2", false, index);
        let messages = self.step().messages;
        let installs = messages.iter().any(|(_, m)| matches!(m, Message::Install { .. }));
        let entries = messages.into_iter().filter_map(lagging_appends).flatten().count();
        assert!(installs != (entries > 0), "{entries} entries");
        entries > 0
    }
}

/// Entries of a message to the follower that lags.
fn lagging_appends((to, message): (Name, Message)) -> Option<Vec<Entry>> {
    match message {
        Message::Append { entries, .. } if to == name("m2") => Some(entries),
        _ => None,
    }
}

#[test]
fn compaction_retains_entries_up_to_the_size_of_the_snapshot() {
    // Guards against 128 large entries that stay in memory after each snapshot, and against a
    // snapshot that is sent although the missing entries are smaller.
    let cases = [
        ("small entries", 100, 1 << 20, 60, true),
        ("large entries, small snapshot", 600_000, 600_000, 2, false),
        ("large entries, one within the bound", 600_000, 600_000, 1, true),
        ("large entries, large snapshot", 600_000, 3 << 20, 5, true),
        ("large entries, beyond the snapshot", 600_000, 3 << 20, 6, false),
    ];
    for (label, bytes, snapshot, missing, entries) in cases {
        let mut leader = Leader::new();
        let last = (1..=100).map(|n| leader.commit(deploy(n, bytes), n + missing <= 100)).last();
        let last = last.unwrap();
        leader.compact(last, snapshot);
        assert_eq!(leader.sends_entries_after(last - missing), entries, "{label}");
    }
}

/// Bytes of entries.
fn bytes(entries: &[Entry]) -> usize {
    entries.iter().map(ByteSize::byte_size).sum()
}

/// Log of `count` changes of a configuration whose document has `bytes`.
fn saved_log(count: u64, bytes: usize) -> Saved {
    let payload = |index| Payload::Command(deploy(index, bytes));
    let entries = (1..=count).map(|index| Entry { index, term: 1, payload: payload(index) });
    let vote = Vote { term: 1, candidate: None };
    Saved { vote, snapshot: None, entries: entries.collect() }
}

#[test]
fn messages_to_a_member_that_lags_are_bounded_by_bytes() {
    // Guards against a new member that is sent tens of megabytes at once: the leader encodes them on
    // the thread that keeps its lease and loses the leadership, and so does the next one.
    for size in [2_000, 60_000, 600_000, 3_000_000] {
        let mut leader = Leader::restored(saved_log(100, size));
        leader.appends();
        let largest = size + 1_000;
        let (mut index, mut received) = (0, 0);
        leader.now += 1;
        leader.receive_reply("m2", false, 0);
        while received < 101 {
            let appends = leader.appends();
            let entries: usize = appends.iter().map(Vec::len).sum();
            assert!(entries > 0, "nothing is sent after {received} entries of {size} bytes");
            for entries in &appends {
                let message = bytes(entries);
                assert!(
                    message <= limits::MESSAGE_BYTES.max(largest),
                    "message of {message} bytes"
                );
            }
            let in_flight: usize = appends.iter().map(|entries| bytes(entries)).sum();
            let most = limits::IN_FLIGHT_BYTES + limits::MESSAGE_BYTES.max(largest);
            assert!(in_flight <= most, "{in_flight} bytes in flight");
            (index, received) = (index + entries as u64, received + entries);
            leader.receive_reply("m2", true, index);
        }
    }
}

#[test]
fn a_closed_window_sends_heartbeats_only_when_they_are_due() {
    // Guards against a leader that sends empty messages without end to a member that acknowledges
    // nothing, until its memory runs out.
    let mut leader = Leader::restored(saved_log(20, 600_000));
    leader.appends();
    leader.now += 1;
    leader.receive_reply("m2", false, 0);
    assert!(leader.appends().iter().any(|entries| !entries.is_empty()));
    for _ in 0..3 {
        leader.now += Timing::default().heartbeat;
        leader.receive_reply("m1", true, 0);
        let appends = leader.appends();
        assert_eq!((appends.len(), appends[0].len()), (1, 0));
    }
}

#[test]
fn a_new_leader_sends_its_entry_with_the_first_message() {
    // Guards against an election that takes one more round trip because the window counts entries
    // that nobody has sent.
    let mut leader = Leader::restored(saved_log(20, 600_000));
    let appends = leader.appends();
    assert_eq!(bytes(&appends.concat()), bytes(&appends[0]));
    assert!(matches!(appends[0].last().map(|entry| &entry.payload), Some(Payload::Noop)));
}

/// Adds a learner to the group, which has the log up to `index` only.
fn add_learner(leader: &mut Leader, index: u64) {
    let learners = BTreeSet::from([name("m3")]);
    let members = Members { learners, ..leader.raft.members().clone() };
    leader.step();
    leader.receive_reply("m1", true, leader.raft.last_index());
    leader.step();
    leader.raft.propose_members(members, leader.now).unwrap();
    leader.step();
    leader.now += 1;
    leader.receive_reply("m3", false, index);
    leader.appends();
}

#[test]
fn a_learner_is_not_silent_while_a_snapshot_is_on_its_way() {
    // Guards against a learner on a link of 2 Mbit/s that is removed while it receives the snapshot,
    // asks to join again, and is never filled.
    let mut leader = Leader::new();
    let last = (1..=5).map(|n| leader.commit(deploy(n, 600_000), true)).last().unwrap();
    let snapshot = 2_000_000;
    leader.compact(last, snapshot);
    add_learner(&mut leader, 0);
    let transfer = (snapshot / limits::SLOWEST_LINK_BYTES_PER_MS) as u64;
    let learner =
        |leader: &Leader, time: u64| leader.raft.progress(leader.now + time)["m3"].ack_age;
    assert_eq!(learner(&leader, transfer), 0);
    assert_eq!(learner(&leader, transfer + 3_000), 3_000);
    leader.receive_reply("m3", true, leader.raft.last_index());
    assert_eq!(learner(&leader, 3_000), 3_000);
}

#[test]
fn a_voter_is_silent_whatever_is_on_its_way() {
    // Guards against the replacement of a voter that is delayed because it was sent a large entry.
    let mut leader = Leader::restored(saved_log(5, 600_000));
    leader.appends();
    leader.now += 1;
    leader.receive_reply("m2", false, 0);
    leader.appends();
    assert_eq!(leader.raft.progress(leader.now + 3_000)["m2"].ack_age, 3_000);
}

#[test]
fn committed_entries_are_returned_in_batches_without_a_gap() {
    // Guards against committed entries that are skipped in silence because only a part of them fits
    // into a batch, and against a copy of the whole log after a start.
    let mut leader = Leader::restored(saved_log(40, 600_000));
    leader.step();
    leader.receive_reply("m1", true, 41);
    let mut returned = Vec::new();
    loop {
        let ready = leader.step();
        assert!(bytes(&ready.committed) <= limits::APPLY_BATCH_BYTES);
        assert_eq!(leader.raft.has_undelivered(), returned.len() + ready.committed.len() < 41);
        if ready.committed.is_empty() {
            break;
        }
        returned.extend(ready.committed.into_iter().map(|entry| entry.index));
    }
    assert_eq!(returned, (1..=41).collect::<Vec<u64>>());
}

#[test]
fn a_committed_entry_above_the_batch_is_returned_alone() {
    // Guards against an entry that is larger than a batch and is never applied.
    let mut leader = Leader::restored(saved_log(3, 2 * limits::APPLY_BATCH_BYTES));
    leader.step();
    leader.receive_reply("m1", true, 4);
    let counts: Vec<usize> = (0..4).map(|_| leader.step().committed.len()).collect();
    assert_eq!(counts, [1, 1, 1, 1]);
}

#[test]
fn commands_in_flight_are_bounded_by_bytes() {
    // Guards against an operator's changes that fill the memory of a leader without a majority, as
    // entries that are not committed cannot be compacted, and against small commands that wait for
    // them.
    let mut leader = Leader::new();
    leader.step();
    let refused = |leader: &mut Leader, bytes| {
        let result = leader.raft.propose(deploy(1, bytes), leader.now);
        result.is_err_and(|e| e.category() == Category::Full)
    };
    assert!(!refused(&mut leader, 2 * limits::UNCOMMITTED_BYTES), "a large command alone");
    assert!(refused(&mut leader, 600_000));
    assert!(!refused(&mut leader, 1_000), "a small command");
    leader.step();
    leader.receive_reply("m1", true, leader.raft.last_index());
    let accepted = (0..100).take_while(|_| !refused(&mut leader, 600_000)).count();
    assert_eq!(accepted, limits::UNCOMMITTED_BYTES / 600_500);
    assert!(!refused(&mut leader, limits::SMALL_COMMAND_BYTES - 1_000));
    leader.step();
    leader.receive_reply("m1", true, leader.raft.last_index());
    assert!(!refused(&mut leader, 600_000), "the earlier ones are committed");
}
