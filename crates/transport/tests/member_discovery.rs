//! Tests of how a control member finds its group again.

use std::collections::BTreeSet;

use auburnlug_coordination::raft::{Members, Message, Ready, Snapshot, Timing};
use auburnlug_protocol::{encode, peer::ControlMessage};
use auburnlug_state::{Machine, Name};
use auburnlug_transport::{
    control_member::{GroupOptions, Member},
    disk::Disk,
    disk_memory::MemoryDisk,
};

fn name(text: &str) -> Name {
    Name::try_from(text).expect("valid name")
}

fn names<const N: usize>(list: [&str; N]) -> BTreeSet<Name> {
    list.map(name).into()
}

/// Learner `d.1` of a group, with the seeds `a` and `b`.
fn open_learner(timing: Timing) -> Member {
    let mut disk = MemoryDisk::new(name("1"));
    let members = Members::new(names(["a.1", "b.1", "c.1"]), names(["d.1"]));
    let data = encode(&Machine::default()).expect("encodes");
    let snapshot = Some(Snapshot { index: 0, term: 0, members, data });
    disk.store(&Ready { snapshot, ..Ready::default() }).expect("works");
    disk.sync().expect("works");
    let configured = names(["a", "b"]);
    let options = GroupOptions { configured, may_bootstrap: false, disk_losses: 1 };
    Member::open(name("d"), options, Box::new(disk), timing, 1, 0).expect("opens").0
}

/// Heartbeat of a leader to the learner `d.1`.
fn heartbeat(leader: &str) -> ControlMessage {
    let message =
        Message::Append { term: 1, index: 0, last: 0, entries: vec![], commit: 0, sent: 0 };
    ControlMessage::Raft { from: name(leader), to: name("d.1"), message }
}

/// Guards against a member that looks for its group only at the members that it knew, although all
/// of them have been replaced meanwhile.
#[test]
fn member_without_a_leader_looks_at_named_members() {
    let timing = Timing::default();
    let mut member = open_learner(timing);
    let (seeds, named) = (names(["a", "b"]), names(["e", "f"]));
    let all = names(["a", "b", "c", "d", "e", "f"]);
    assert_eq!(member.candidates(&seeds, &named), all);
    member.receive(&name("a"), heartbeat("a.1"), 100).expect("works");
    assert_eq!(member.candidates(&seeds, &named), names(["a", "b", "c", "d"]));
    member.step(100 + timing.election_max).expect("works");
    assert_eq!(member.candidates(&seeds, &named), all);
}

/// Guards against a member that never answers a leader which joined while it was away, so that its
/// log never lists that leader.
#[test]
fn member_contacts_a_leader_that_its_log_does_not_list() {
    let mut member = open_learner(Timing::default());
    let seeds = names(["a", "b"]);
    member.receive(&name("m"), heartbeat("m.1"), 100).expect("works");
    assert_eq!(member.candidates(&seeds, &seeds), names(["a", "b", "c", "d", "m"]));
}

/// Guards against a listed member that asks to join, and logs that its group does not list it,
/// because a member without any group has answered its probe.
#[test]
fn member_without_a_group_does_not_make_others_ask_to_join() {
    let mut member = open_learner(Timing::default());
    let answer = |members| ControlMessage::Probed { identity: name("a.2"), members, last: (0, 0) };
    for members in [None, Some(Members::default())] {
        member.receive(&name("a"), answer(members), 100).expect("works");
        let probe = ControlMessage::Probe { identity: name("d.1") };
        assert_eq!(member.discovery_messages()[0].1, probe);
    }
    let others = Members::new(names(["a.2", "b.1", "c.1"]), BTreeSet::new());
    member.receive(&name("a"), answer(Some(others)), 100).expect("works");
    let join = ControlMessage::Join { identity: name("d.1") };
    assert_eq!(member.discovery_messages()[0].1, join);
}
