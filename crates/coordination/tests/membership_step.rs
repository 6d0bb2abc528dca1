//! Table of single steps between two memberships.

// The exemption for tests in clippy.toml does not cover helper functions in test files.
#![allow(clippy::unwrap_used)]

use auburnlug_coordination::{
    membership_step::{MembershipStep, StepKind},
    raft::Members,
};
use auburnlug_state::Name;

fn name(text: &str) -> Name {
    Name::try_from(text).unwrap()
}

fn members(voters: &[&str], learners: &[&str]) -> Members {
    let names = |list: &[&str]| list.iter().map(|text| name(text)).collect();
    Members::new(names(voters), names(learners))
}

/// Guards against a step that is logged and counted under the wrong kind or member.
#[test]
fn step_is_derived_from_the_two_memberships() {
    let old = members(&["a.1", "b.1"], &["c.1"]);
    for (voters, learners, expected) in [
        (&["a.1", "b.1"][..], &["c.1", "d.1"][..], Some((StepKind::LearnerAdded, "d.1"))),
        (&["a.1", "b.1"], &[], Some((StepKind::LearnerRemoved, "c.1"))),
        (&["a.1", "b.1", "c.1"], &[], Some((StepKind::LearnerPromoted, "c.1"))),
        (&["a.1"], &["c.1"], Some((StepKind::VoterRemoved, "b.1"))),
        (&["a.1", "b.1"], &["c.1"], None),
        (&["a.1", "b.1"], &["d.1"], None),
        (&["a.1", "b.1", "d.1"], &["c.1"], None),
        (&["a.1", "b.1", "d.1"], &[], None),
        (&["a.1"], &["b.1", "c.1"], None),
        (&["a.1"], &[], None),
        (&["b.1", "c.1"], &[], None),
    ] {
        let step = MembershipStep::between(&old, &members(voters, learners));
        let expected = expected.map(|(kind, id)| MembershipStep { kind, member: name(id) });
        assert_eq!(step, expected, "{voters:?} {learners:?}");
    }
}
