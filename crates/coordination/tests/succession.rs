//! Replacement of primaries: order of the steps, choice of the successor, suspicion.

use std::{collections::BTreeMap, sync::Arc};

use auburnlug_coordination::{
    Position,
    succession::{Cause, Facts, Member, Status, Step, Watch, next_step, suspect},
};

fn member(fenced: u64, received: u64) -> Member {
    let received = Position { term: 3, offset: received };
    let status = Some(Status { leads: false, term: 3, received });
    Member { draining: false, reachable: true, status, fenced }
}

fn dark() -> Member {
    Member::default()
}

/// Group of primary `p` with replicas `r1` and `r2` in term 3.
fn facts(cause: Cause, p: Member, r1: Member, r2: Member) -> Facts {
    let members: BTreeMap<Arc<str>, Member> =
        [("p", p), ("r1", r1), ("r2", r2)].map(|(id, m)| (id.into(), m)).into();
    Facts {
        term: 3,
        former: Some("p".into()),
        cause,
        members,
        synchronous: 1,
        released: true,
        ordered: None,
    }
}

#[test]
fn replicas_are_paused_before_a_successor_of_a_dark_primary_is_named() {
    let facts = facts(Cause::Unreachable, dark(), member(0, 10), member(0, 12));
    assert_eq!(next_step(&facts), Step::Pause(vec!["r1".into(), "r2".into()]));
}

#[test]
fn the_replica_with_the_longest_log_leads() {
    let facts = facts(Cause::Unreachable, dark(), member(4, 10), member(4, 12));
    assert_eq!(next_step(&facts), Step::Promote("r2".into()));
}

#[test]
fn nobody_leads_while_an_entry_may_use_the_former_primary() {
    let mut facts = facts(Cause::Unreachable, dark(), member(4, 10), member(4, 12));
    facts.released = false;
    assert!(matches!(next_step(&facts), Step::Wait(_)));
}

#[test]
fn a_replica_that_cannot_be_asked_may_hold_the_last_commit() {
    let facts = facts(Cause::Unreachable, dark(), member(4, 10), dark());
    assert!(matches!(next_step(&facts), Step::Wait(_)));
}

#[test]
fn a_demoted_primary_tells_what_the_successor_must_hold() {
    let one = facts(Cause::Leaving, member(4, 12), member(0, 12), dark());
    assert_eq!(next_step(&one), Step::Promote("r1".into()));
    let short = facts(Cause::Leaving, member(4, 12), member(0, 11), dark());
    assert!(matches!(next_step(&short), Step::Wait(_)));
}

#[test]
fn a_leaving_primary_is_demoted_first() {
    let facts = facts(Cause::Leaving, member(0, 12), member(0, 12), member(0, 12));
    assert_eq!(next_step(&facts), Step::Demote("p".into()));
}

#[test]
fn a_draining_replica_leads_only_if_no_other_can() {
    let mut draining = member(4, 12);
    draining.draining = true;
    let other = facts(Cause::Unreachable, dark(), draining.clone(), member(4, 12));
    assert_eq!(next_step(&other), Step::Promote("r2".into()));
    let ahead = facts(Cause::Unreachable, dark(), draining, member(4, 11));
    assert_eq!(next_step(&ahead), Step::Promote("r1".into()));
}

#[test]
fn a_primary_that_answers_again_leads_on_only_before_anything_was_done() {
    let back = facts(Cause::Unreachable, member(0, 12), member(0, 12), member(0, 12));
    assert_eq!(next_step(&back), Step::Keep("p".into()));
    let paused = facts(Cause::Unreachable, member(0, 12), member(4, 12), member(0, 12));
    assert_eq!(next_step(&paused), Step::Demote("p".into()));
}

#[test]
fn a_new_control_leader_never_keeps_a_primary_that_may_have_been_replaced() {
    let resumed = facts(Cause::Stalled, member(0, 12), member(0, 12), member(0, 12));
    assert_eq!(next_step(&resumed), Step::Demote("p".into()));
}

#[test]
fn an_open_order_is_repeated_for_the_same_server() {
    let mut facts = facts(Cause::Unreachable, dark(), member(4, 10), member(4, 12));
    facts.ordered = Some("r1".into());
    assert_eq!(next_step(&facts), Step::Promote("r1".into()));
}

#[test]
fn a_server_that_leads_a_later_term_is_adopted() {
    let mut facts = facts(Cause::Unreachable, dark(), member(4, 10), member(4, 12));
    let received = Position { term: 4, offset: 12 };
    let status = Some(Status { leads: true, term: 4, received });
    facts.members.insert("r2".into(), Member { status, ..member(4, 12) });
    assert_eq!(next_step(&facts), Step::Adopt("r2".into(), 4));
}

#[test]
fn suspicion() {
    let calm = Watch { silent: 300, ..Watch::default() };
    let cases = [
        (calm, None),
        (Watch { refused: 1, ..calm }, None),
        (Watch { refused: 2, ..calm }, Some(Cause::Unreachable)),
        (Watch { silent: 899, ..calm }, None),
        (Watch { silent: 900, ..calm }, Some(Cause::Unreachable)),
        (Watch { silent: 600, unanswered: 1, ..calm }, Some(Cause::Unreachable)),
        (Watch { draining: true, ..calm }, Some(Cause::Leaving)),
        // An overloaded primary leaves commits unanswered while its replicas receive others.
        (Watch { stalled: 9, ..calm }, None),
        (Watch { stalled: 2, apart: 800, ..calm }, Some(Cause::Stalled)),
    ];
    for (watch, expected) in cases {
        assert_eq!(suspect(&watch), expected, "{watch:?}");
    }
}
