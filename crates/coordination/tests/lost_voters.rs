//! Quorums of voters of which some are known to have lost their disks.

use std::collections::BTreeSet;

use auburnlug_coordination::raft::{Members, Message, Raft, Saved, Timing};
use auburnlug_state::{Command, Name};

fn name(text: &str) -> Name {
    Name::try_from(text).expect("valid name")
}

/// Voter of a group of four.
fn voter(id: &str) -> Raft {
    let voters: BTreeSet<Name> = ["a", "b", "c", "d"].map(name).into();
    let members = Members::new(voters, BTreeSet::new());
    Raft::new(name(id), members, Saved::default(), Timing::default(), 1, 0).expect("starts")
}

fn sync(raft: &mut Raft) {
    raft.ready();
    raft.persisted();
}

/// Makes a voter a candidate by the pre-votes of others.
fn run_for_election(raft: &mut Raft, now: u64, others: &[&str]) {
    raft.tick(now);
    let term = raft.term() + 1;
    for other in others {
        raft.receive(&name(other), Message::PreVoteReply { term, granted: true }, now);
    }
    assert_eq!(raft.term(), term, "the voter is a candidate");
    sync(raft);
}

fn receive_vote(raft: &mut Raft, from: &str, now: u64) {
    raft.receive(&name(from), Message::VoteReply { term: raft.term(), granted: true }, now);
}

/// Guards against halves of the voters that each take a voter of the other half for lost, although
/// it has voted before.
#[test]
fn two_halves_elect_no_leaders_in_one_term() {
    let (mut b, mut d) = (voter("b"), voter("d"));
    run_for_election(&mut b, 2_000, &["a", "d"]);
    run_for_election(&mut d, 2_000, &["b", "c"]);
    // Voters a and c vote, and lose their disks while their votes are on the way.
    b.record_loss(&name("c"));
    d.record_loss(&name("a"));
    receive_vote(&mut b, "a", 2_010);
    receive_vote(&mut d, "c", 2_010);
    assert!(!(b.leads() && d.leads()), "two leaders in term {} and {}", b.term(), d.term());
}

/// Guards against a leader that commits with a voter that has since lost its disk, while the other
/// half has elected another one.
#[test]
fn half_of_the_voters_commits_nothing_that_the_other_half_lacks() {
    let mut b = voter("b");
    run_for_election(&mut b, 2_000, &["a", "c"]);
    receive_vote(&mut b, "a", 2_010);
    receive_vote(&mut b, "c", 2_010);
    assert!(b.leads());
    sync(&mut b);
    let index = b.propose(Command::Forget(name("e")), 2_020).expect("leads");
    sync(&mut b);
    // Voter a stores the entry and loses its disk. Voters c and d hear of that, not of the entry.
    let mut d = voter("d");
    d.record_loss(&name("a"));
    d.receive(&name("b"), Message::RequestVote { term: b.term(), index: 0, last: 0 }, 1_000);
    d.tick(4_000);
    let term = d.term() + 1;
    d.receive(&name("c"), Message::PreVoteReply { term, granted: true }, 4_000);
    sync(&mut d);
    receive_vote(&mut d, "c", 4_010);
    // Voter c loses its disk as well, and b hears of that before it hears of the loss of a.
    let reply = Message::AppendReply { term: b.term(), accepted: true, index, sent: 2_020 };
    b.receive(&name("a"), reply, 2_040);
    b.record_loss(&name("c"));
    let committed = b.commit_index() >= index;
    assert!(!(d.leads() && d.term() > b.term() && committed), "{index} is committed, d lacks it");
}

/// Guards against survivors that cannot go on, although all others are known to be lost.
#[test]
fn half_of_the_voters_goes_on_if_all_others_are_lost() {
    let mut b = voter("b");
    b.record_loss(&name("c"));
    b.record_loss(&name("d"));
    run_for_election(&mut b, 2_000, &["a"]);
    receive_vote(&mut b, "a", 2_010);
    assert!(b.leads());
}
