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
    Members::new(names(voters), names(learners))
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

/// Guards against a founded voter that joins with an empty membership instead of adopting its group,
/// because a member that waits to be added has answered first.
#[test]
fn member_without_a_group_does_not_end_the_search() {
    let founded = members(&["c1.a", "c2.b", "c3.c"], &[]);
    let mut second = formation("c2", "c2.b");
    assert_eq!(
        second.record_answer(&name("c4"), name("c4.d"), Some(Members::default())),
        BootstrapDecision::Wait
    );
    assert_eq!(
        second.record_answer(&name("c1"), name("c1.a"), Some(founded.clone())),
        BootstrapDecision::Adopt(founded)
    );
}

/// Guards against a second group founded among members that lost their disks, one of which has
/// heard of the group.
#[test]
fn member_that_waits_to_be_added_rules_out_a_bootstrap() {
    let mut first = formation("c1", "c1.x");
    let (second, third) = (name("c2"), name("c3"));
    assert_eq!(first.record_answer(&third, name("c3.z"), None), BootstrapDecision::Wait);
    assert_eq!(
        first.record_answer(&third, name("c3.z"), Some(Members::default())),
        BootstrapDecision::Wait
    );
    assert_eq!(first.record_answer(&second, name("c2.y"), None), BootstrapDecision::Wait);
    assert_eq!(first.record_answer(&third, name("c3.w"), None), BootstrapDecision::Wait);
}

#[test]
fn identity_names_its_instance() {
    assert_eq!(instance_of(&name("c1.oman.1f")), Some(name("c1.oman")));
    assert_eq!(instance_of(&name("c1")), None);
}
