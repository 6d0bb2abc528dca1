//! Tables of the disk losses that a control group tolerates.

// The exemption for tests in clippy.toml does not cover helper functions in test files.
#![allow(clippy::unwrap_used)]

use std::collections::BTreeSet;

use auburnlug_coordination::{
    membership::{ControlGroup, MEMBER_REPLACEMENT_TIMEOUT_MS, Progress},
    raft::Members,
    redundancy::Redundancy,
};
use auburnlug_state::Name;

fn name(text: &str) -> Name {
    Name::try_from(text).unwrap()
}

fn members(voters: &[&str], learners: &[&str]) -> Members {
    let names = |list: &[&str]| list.iter().map(|text| name(text)).collect();
    Members::new(names(voters), names(learners))
}

/// A group led by `a.1`, with the progress of the members other than `silent` and `lagging`.
fn redundancy(members: Members, losses: usize, silent: &[&str], lagging: &[&str]) -> Redundancy {
    let progress = |id: &Name| {
        let silent = silent.contains(&id.as_str());
        let ack_age = if silent { MEMBER_REPLACEMENT_TIMEOUT_MS } else { 50 };
        Progress { caught_up: !lagging.contains(&id.as_str()), ack_age }
    };
    let leader = name("a.1");
    let others = members.all().filter(|id| **id != leader);
    let progress = others.map(|id| (id.clone(), progress(id))).collect();
    let (joining, lost) = (BTreeSet::new(), BTreeSet::new());
    Redundancy::of(&ControlGroup { members, leader, joining, lost, progress, losses })
}

/// Guards against a group that counts members which cannot contribute to a quorum.
#[test]
fn only_healthy_voters_count_towards_tolerated_losses() {
    let three = ["a.1", "b.1", "c.1"];
    let four = ["a.1", "b.1", "c.1", "d.1"];
    let five = ["a.1", "b.1", "c.1", "d.1", "e.1"];
    for (voters, learners, losses, silent, lagging, tolerated) in [
        (&three[..], &[][..], 1, &[][..], &[][..], 1),
        (&three, &[], 1, &["c.1"], &[], 0),
        (&three, &[], 1, &[], &["c.1"], 0),
        (&three, &["d.1"], 1, &["c.1"], &[], 0),
        (&three, &[], 1, &["b.1", "c.1"], &[], 0),
        (&four, &[], 1, &[], &[], 1),
        (&four, &[], 1, &["d.1"], &[], 0),
        (&five, &[], 2, &[], &[], 2),
        (&five, &[], 2, &["d.1"], &["e.1"], 0),
        (&five, &[], 2, &[], &["e.1"], 1),
        (&["a.1"], &["b.1"], 0, &[], &[], 0),
    ] {
        let found = redundancy(members(voters, learners), losses, silent, lagging);
        let case = format!("{voters:?} {learners:?}, silent {silent:?}, lagging {lagging:?}");
        assert_eq!(found, Redundancy { tolerated, configured: losses }, "{case}");
        assert_eq!(found.is_reduced(), tolerated < losses, "{case}");
    }
}

/// Guards against a leader that is not a voter, or a voter without known progress, being counted.
#[test]
fn unknown_voters_do_not_count_towards_tolerated_losses() {
    let group = ControlGroup {
        members: members(&["b.1", "c.1", "d.1"], &["a.1"]),
        leader: name("a.1"),
        joining: BTreeSet::new(),
        lost: BTreeSet::new(),
        progress: ["b.1", "c.1"]
            .into_iter()
            .map(|id| (name(id), Progress { caught_up: true, ack_age: 50 }))
            .collect(),
        losses: 1,
    };
    assert_eq!(Redundancy::of(&group).tolerated, 0);
}
