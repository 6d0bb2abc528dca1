//! Tests of the bootstrap of the control group and of the return of a member without its disk.

use std::collections::BTreeSet;

use auburnlug_coordination::{
    bootstrap::{Bootstrap, BootstrapDecision, instance_of},
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

fn formation(instance: &str, identity: &str) -> Bootstrap {
    Bootstrap::new(name(instance), name(identity), &names(&["c1", "c2", "c3"]))
}

/// Guards against a second group that is bootstrapped beside an existing one.
#[test]
fn group_is_bootstrapped_only_if_no_member_has_state() {
    let mut first = formation("c1", "c1.a");
    assert_eq!(first.start(), BootstrapDecision::Wait);
    assert_eq!(first.record_answer(&name("c2"), name("c2.b"), None), BootstrapDecision::Wait);
    assert_eq!(first.record_answer(&name("c2"), name("c2.b"), None), BootstrapDecision::Wait);
    assert_eq!(
        first.record_answer(&name("c3"), name("c3.c"), None),
        BootstrapDecision::Bootstrap(members(&["c1.a", "c2.b", "c3.c"], &[]))
    );
}

/// Guards against two members that both bootstrap a group.
#[test]
fn only_the_first_member_bootstraps() {
    let mut second = formation("c2", "c2.b");
    assert_eq!(second.record_answer(&name("c1"), name("c1.a"), None), BootstrapDecision::Wait);
    assert_eq!(second.record_answer(&name("c3"), name("c3.c"), None), BootstrapDecision::Wait);
    let founded = members(&["c1.a", "c2.b", "c3.c"], &[]);
    assert_eq!(
        second.record_answer(&name("c1"), name("c1.a"), Some(founded.clone())),
        BootstrapDecision::Adopt(founded)
    );
}

/// Guards against a member that lost its disk and votes with an empty log, even if a second member
/// lost its disk too.
#[test]
fn member_with_a_lost_disk_joins_the_group() {
    let founded = members(&["c1.a", "c2.b", "c3.c"], &[]);
    let mut lost = formation("c1", "c1.x");
    assert_eq!(lost.record_answer(&name("c2"), name("c2.y"), None), BootstrapDecision::Wait);
    assert_eq!(
        lost.record_answer(&name("c3"), name("c3.c"), Some(founded)),
        BootstrapDecision::Join
    );
}

#[test]
fn identity_names_its_instance() {
    assert_eq!(instance_of(&name("c1.oman.1f")), Some(name("c1.oman")));
    assert_eq!(instance_of(&name("c1")), None);
}
