//! Tests of questions between members about lost disks.

// The exemption for tests in clippy.toml does not cover helper functions in test files.
#![allow(clippy::unwrap_used)]

use std::collections::BTreeSet;

use auburnlug_coordination::raft::{Members, Ready, Snapshot, Timing, Vote};
use auburnlug_protocol::{encode, peer::ControlMessage};
use auburnlug_state::{Machine, Name};
use auburnlug_transport::{
    control_member::{GroupOptions, Member},
    disk::Disk,
    disk_memory::MemoryDisk,
};

fn name(t: &str) -> Name {
    Name::try_from(t).unwrap()
}

fn member(instance: &str, voters: &[&str]) -> Member {
    let mut disk = MemoryDisk::new(name("1"));
    let members = Members::new(voters.iter().map(|v| name(v)).collect(), BTreeSet::new());
    let data = encode(&Machine::default()).unwrap();
    let snapshot = Snapshot { index: 5, term: 1, members, data };
    let vote = Some(Vote { term: 1, candidate: None });
    disk.store(&Ready { vote, snapshot: Some(snapshot), ..Ready::default() }).unwrap();
    disk.sync().unwrap();
    let options = GroupOptions {
        configured: ["a", "b", "c"].map(name).into(),
        may_bootstrap: false,
        disk_losses: 1,
    };
    Member::open(name(instance), options, Box::new(disk), Timing::default(), 1, 0).unwrap().0
}

/// Guards against two outdated members that ask each other without a pause.
#[test]
fn outdated_members_do_not_ask_each_other_without_end() {
    let mut a = member("a", &["a.1", "b.9", "c.1"]);
    let mut b = member("b", &["a.9", "b.1", "c.1"]);
    let later = Members::new(["a.5", "b.5", "c.5"].map(name).into(), BTreeSet::new());
    let probed =
        ControlMessage::Probed { identity: name("c.5"), members: Some(later), last: (9, 99) };
    a.receive(&name("c"), probed.clone(), 10).unwrap();
    b.receive(&name("c"), probed, 10).unwrap();
    let mut message = Some(ControlMessage::Probe { identity: name("a.1") });
    let (mut to_b, mut count) = (true, 0);
    while let Some(next) = message.take() {
        count += 1;
        if count > 1_000 {
            break;
        }
        let (receiver, from) = if to_b { (&mut b, "a") } else { (&mut a, "b") };
        message = receiver.receive(&name(from), next, 20).unwrap();
        to_b = !to_b;
    }
    assert!(count <= 20, "{count} messages after one probe");
}
