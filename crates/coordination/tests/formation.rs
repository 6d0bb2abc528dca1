//! Formation of the control group and replacement of a member, as tables of cases.

use std::collections::BTreeSet;

use auburnlug_coordination::{
    formation::{Decision, Formation, instance_of, join_step},
    raft::Members,
};
use auburnlug_state::Name;

fn name(text: &str) -> Name {
    Name::try_from(text).expect("valid name")
}

fn names(list: &[&str]) -> BTreeSet<Name> {
    list.iter().map(|text| name(text)).collect()
}

fn members(voters: &[&str], learners: &[&str]) -> Members {
    Members { voters: names(voters), learners: names(learners) }
}

fn formation(instance: &str, identity: &str) -> Formation {
    Formation::new(name(instance), name(identity), &names(&["c1", "c2", "c3"]))
}

/// Guards against a second group founded beside an existing one.
#[test]
fn founds_only_when_all_others_are_empty() {
    let mut first = formation("c1", "c1.a");
    assert_eq!(first.start(), Decision::Wait);
    assert_eq!(first.probed(&name("c2"), name("c2.b"), None), Decision::Wait);
    assert_eq!(first.probed(&name("c2"), name("c2.b"), None), Decision::Wait);
    assert_eq!(
        first.probed(&name("c3"), name("c3.c"), None),
        Decision::Found(members(&["c1.a", "c2.b", "c3.c"], &[]))
    );
}

/// Guards against two founders.
#[test]
fn others_than_the_first_never_found() {
    let mut second = formation("c2", "c2.b");
    assert_eq!(second.probed(&name("c1"), name("c1.a"), None), Decision::Wait);
    assert_eq!(second.probed(&name("c3"), name("c3.c"), None), Decision::Wait);
    let founded = members(&["c1.a", "c2.b", "c3.c"], &[]);
    assert_eq!(
        second.probed(&name("c1"), name("c1.a"), Some(founded.clone())),
        Decision::Adopt(founded)
    );
}

/// Guards against a member that lost its disk voting with an empty log, even if a second member
/// lost its disk too.
#[test]
fn lost_disk_joins() {
    let founded = members(&["c1.a", "c2.b", "c3.c"], &[]);
    let mut lost = formation("c1", "c1.x");
    assert_eq!(lost.probed(&name("c2"), name("c2.y"), None), Decision::Wait);
    assert_eq!(lost.probed(&name("c3"), name("c3.c"), Some(founded)), Decision::Join);
}

/// Guards against a voter that has not been filled and against two votes of one instance.
#[test]
fn join_fills_before_it_counts() {
    let joining = name("c1.x");
    let cases = [
        (
            members(&["c1.a", "c2.b", "c3.c"], &[]),
            true,
            members(&["c1.a", "c2.b", "c3.c"], &["c1.x"]),
        ),
        (
            members(&["c1.a", "c2.b", "c3.c"], &["c1.x"]),
            true,
            members(&["c2.b", "c3.c"], &["c1.x"]),
        ),
        (members(&["c2.b", "c3.c"], &["c1.x"]), true, members(&["c1.x", "c2.b", "c3.c"], &[])),
    ];
    for (before, filled, after) in cases {
        assert_eq!(join_step(&before, &joining, filled), Some(after), "from {before:?}");
    }
    let filling = members(&["c1.a", "c2.b", "c3.c"], &["c1.x"]);
    assert_eq!(join_step(&filling, &joining, false), None);
    assert_eq!(join_step(&members(&["c1.x", "c2.b"], &[]), &joining, true), None);
}

/// Guards against learners that stay for ever because their disk was lost before they were filled.
#[test]
fn an_abandoned_learner_leaves() {
    let joining = name("c1.y");
    let before = members(&["c1.a", "c2.b", "c3.c"], &["c1.x", "c3.z"]);
    let after = members(&["c1.a", "c2.b", "c3.c"], &["c3.z"]);
    assert_eq!(join_step(&before, &joining, false), Some(after));
}

#[test]
fn identity_names_its_instance() {
    assert_eq!(instance_of(&name("c1.oman.1f")), Some(name("c1.oman")));
    assert_eq!(instance_of(&name("c1")), None);
}
