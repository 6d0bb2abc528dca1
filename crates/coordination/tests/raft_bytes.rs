//! Tests of the bytes that a member keeps in memory and sends, with entries of different sizes.

// The exemption for tests in clippy.toml does not cover helper functions in test files.
#![allow(clippy::unwrap_used)]

use std::{collections::BTreeSet, sync::Arc};

use auburnlug_coordination::raft::{Entry, Members, Message, Raft, Ready, Saved, Timing};
use auburnlug_state::{
    Command, Name,
    fleet::{FleetChange, FleetConfig},
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

    /// Receives the answer of a follower that it has the log up to `index`, or only up to it.
    fn receive_reply(&mut self, from: &str, accepted: bool, index: u64) {
        let (term, sent) = (self.raft.term(), self.now);
        let reply = Message::AppendReply { term, accepted, index, sent };
        self.raft.receive(&name(from), reply, self.now);
    }

    /// Proposes, commits and applies a command.
    fn commit(&mut self, command: Command) -> u64 {
        let index = self.propose(command);
        self.step();
        self.receive_reply("m1", true, index);
        self.step();
        index
    }

    fn compact(&mut self, index: u64, bytes: usize) {
        let snapshot = self.raft.snapshot(index, vec![7; bytes]).unwrap();
        self.raft.compact(snapshot).unwrap();
    }

    /// Entries that are sent to the follower that lags once it says that it has the log up to `index`
    /// only; `None` if it is sent the snapshot.
    fn sent_after(&mut self, index: u64) -> Option<usize> {
        self.now += 1;
        self.receive_reply("m2", false, index);
        let messages = self.step().messages;
        if messages.iter().any(|(_, message)| matches!(message, Message::Install { .. })) {
            return None;
        }
        Some(messages.into_iter().filter_map(lagging_appends).map(|entries| entries.len()).sum())
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
        ("small entries", 100, 1 << 20, 60, Some(60)),
        ("large entries, small snapshot", 600_000, 600_000, 2, None),
        ("large entries, one within the bound", 600_000, 600_000, 1, Some(1)),
        ("large entries, large snapshot", 600_000, 3 << 20, 5, Some(5)),
        ("large entries, beyond the snapshot", 600_000, 3 << 20, 6, None),
    ];
    for (label, bytes, snapshot, missing, sent) in cases {
        let mut leader = Leader::new();
        let last = (0..100).map(|n| leader.commit(deploy(n, bytes))).last().unwrap();
        leader.compact(last, snapshot);
        assert_eq!(leader.sent_after(last - missing), sent, "{label}");
    }
}
