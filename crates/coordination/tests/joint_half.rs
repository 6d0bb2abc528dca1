//! Tests of half of the former voters of a change that is counted by a member outside it.

// The exemption for tests in clippy.toml does not cover helper functions in test files.
#![allow(clippy::unwrap_used)]

use std::collections::BTreeSet;

use auburnlug_coordination::raft::{Entry, Members, Message, Payload, Raft, Saved, Timing, Vote};
use auburnlug_state::{Command, Name};

fn name(text: &str) -> Name {
    Name::try_from(text).unwrap()
}
fn set(names: &[&str]) -> BTreeSet<Name> {
    names.iter().map(|text| name(text)).collect()
}
fn sync(raft: &mut Raft) {
    raft.ready();
    raft.persisted();
}
fn initial() -> Members {
    Members::new(set(&["a", "b"]), set(&["n"]))
}
fn entry(index: u64, payload: Payload) -> Entry {
    Entry { index, term: 1, payload }
}
fn joint() -> Entry {
    let new = Members::new(set(&["a", "b", "n"]), BTreeSet::new());
    entry(2, Payload::Members(Members { former: set(&["a", "b"]), ..new }))
}
fn start(id: &str, entries: Vec<Entry>) -> Raft {
    let saved = Saved { vote: Vote { term: 1, candidate: None }, snapshot: None, entries };
    Raft::new(name(id), initial(), saved, Timing::default(), 1, 0).unwrap()
}

/// Guards against two leaders of one term while a learner is promoted: voters `a` and `b`, and the
/// promotion of `n` is stored at `a` and `n`, not yet at `b`.
#[test]
fn a_promotion_elects_no_two_leaders_in_one_term() {
    let noop = entry(1, Payload::Noop);
    let mut n = start("n", vec![noop.clone(), joint()]);
    let mut b = start("b", vec![noop]);
    n.tick(2_000);
    for other in ["a", "b"] {
        n.receive(&name(other), Message::PreVoteReply { term: 2, granted: true }, 2_000);
    }
    assert_eq!(n.term(), 2);
    sync(&mut n);
    // a votes for n and loses its disk while the vote is on the way; b hears of that and goes on alone.
    b.record_loss(&name("a"));
    b.tick(2_000);
    assert!(b.leads() && b.leads_alone() && b.term() == 2);
    sync(&mut b);
    let led = b.term();
    // b loses its disk too; n hears of that before the vote of a arrives, and not of the loss of a.
    n.record_loss(&name("b"));
    n.receive(&name("a"), Message::VoteReply { term: 2, granted: true }, 2_100);
    assert!(!(n.leads() && n.term() == led), "two leaders in term {led}");
}

/// Guards against two entries at one index while a learner is promoted: n leads with a and b. a acknowledges an entry and loses its disk; b, which has
/// not got the promotion, goes on alone in a later term and commits; then b loses its disk.
#[test]
fn a_promotion_commits_no_two_entries_at_one_index() {
    let noop = entry(1, Payload::Noop);
    let mut n = start("n", vec![noop.clone(), joint()]);
    let mut b = start("b", vec![noop]);
    n.tick(2_000);
    for other in ["a", "b"] {
        n.receive(&name(other), Message::PreVoteReply { term: 2, granted: true }, 2_000);
    }
    sync(&mut n);
    b.receive(&name("n"), Message::RequestVote { term: 2, index: 2, last: 1 }, 2_000);
    sync(&mut b);
    for other in ["a", "b"] {
        n.receive(&name(other), Message::VoteReply { term: 2, granted: true }, 2_010);
    }
    assert!(n.leads());
    n.propose(Command::Forget(name("x")), 2_010).unwrap();
    sync(&mut n);
    let reply = Message::AppendReply { term: 2, accepted: true, index: 4, sent: 2_010 };
    n.receive(&name("a"), reply, 2_020);
    assert_eq!(n.commit_index(), 0);
    // a loses its disk, b hears of it, not of the entries of n.
    b.record_loss(&name("a"));
    for now in (2_020..2_820).step_by(10) {
        b.tick(now);
        sync(&mut b);
        if b.leads() {
            break;
        }
    }
    assert!(b.leads() && b.term() == 3, "{} {}", b.leads(), b.term());
    let other = b.commit_index();
    // b loses its disk; n hears of it within its time to step down.
    n.record_loss(&name("b"));
    let own = n.commit_index();
    assert!(other.min(own) < 2, "b committed up to {other} in term 3, n up to {own} in term 2");
}
