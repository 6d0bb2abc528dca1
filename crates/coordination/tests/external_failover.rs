//! Tests of external failover: order of the steps, choice of the new primary, failure detection.

use std::{collections::BTreeMap, sync::Arc};

use auburnlug_coordination::{
    Position,
    external_failover::{
        Cause, Facts, Member, Ordered, Status, Step, Watch, can_replace, next_step,
        replacement_cause,
    },
};

fn member(fenced: u64, received: u64) -> Member {
    let received = Position { term: 3, offset: received };
    let status = Some(Status { leads: false, term: 3, received });
    let (reachable, settled, holds) = (true, true, received);
    Member { reachable, status, settled, holds, fenced, ..Member::default() }
}

fn unreachable() -> Member {
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
        departed: Some(Position::default()),
        released: true,
        demoted_for: 0,
        led_for: 60_000,
        ordered: None,
    }
}

#[test]
fn replicas_are_paused_before_an_unreachable_primary_is_replaced() {
    let facts = facts(Cause::Unreachable, unreachable(), member(0, 10), member(0, 12));
    assert_eq!(next_step(&facts), Step::Pause(vec!["r1".into(), "r2".into()]));
}

#[test]
fn replica_with_the_longest_log_is_promoted() {
    let facts = facts(Cause::Unreachable, unreachable(), member(4, 10), member(4, 12));
    assert_eq!(next_step(&facts), Step::Promote("r2".into()));
}

#[test]
fn nothing_is_promoted_while_an_entry_may_use_the_former_primary() {
    let mut facts = facts(Cause::Unreachable, unreachable(), member(4, 10), member(4, 12));
    facts.released = false;
    assert!(matches!(next_step(&facts), Step::Wait(_)));
}

#[test]
fn unreachable_replica_may_have_the_last_commit() {
    let facts = facts(Cause::Unreachable, unreachable(), member(4, 10), unreachable());
    assert!(matches!(next_step(&facts), Step::Wait(_)));
}

#[test]
fn new_primary_needs_the_whole_log_of_the_demoted_one() {
    let complete = facts(Cause::Leaving, member(4, 12), member(0, 12), unreachable());
    assert_eq!(next_step(&complete), Step::Promote("r1".into()));
    let short = facts(Cause::Leaving, member(4, 12), member(0, 11), unreachable());
    assert!(matches!(next_step(&short), Step::Wait(_)));
}

fn position(offset: u64) -> Position {
    Position { term: 3, offset }
}

/// A replica that had the last commits left, and the other one was promoted without them.
#[test]
fn replica_that_left_may_have_the_last_commit() {
    for (departed, safe) in [(None, false), (Some(13), false), (Some(12), true)] {
        let facts = Facts {
            departed: departed.map(position),
            ..facts(Cause::Unreachable, unreachable(), member(4, 10), member(4, 12))
        };
        assert_eq!(next_step(&facts) == Step::Promote("r2".into()), safe, "{departed:?}");
    }
    // The demoted primary shows that the other replica has all of its commits.
    let facts = Facts {
        departed: None,
        ..facts(Cause::Stalled, member(4, 12), member(0, 10), member(0, 12))
    };
    assert_eq!(next_step(&facts), Step::Promote("r2".into()));
}

/// A primary whose replicas lag and that is the only server with all commits was demoted for good.
#[test]
fn demoted_primary_leads_again_if_no_replica_has_all_of_its_commits() {
    let mut facts = Facts {
        departed: None,
        ..facts(Cause::Stalled, member(4, 13), member(0, 10), member(0, 12))
    };
    assert!(matches!(next_step(&facts), Step::Wait(_)));
    facts.demoted_for = 1_000;
    assert_eq!(next_step(&facts), Step::Promote("p".into()));
}

#[test]
fn primary_that_answers_is_replaced_only_by_a_server_with_all_commits() {
    let cases = [
        // Both replicas are compared, and none has left.
        (member(0, 10), member(0, 12), Some(0), true),
        (member(0, 10), unreachable(), Some(0), false),
        (member(0, 13), unreachable(), Some(0), true),
        (member(0, 10), member(0, 12), None, false),
        (member(0, 10), member(0, 12), Some(13), false),
        (member(0, 10), member(0, 13), None, true),
    ];
    for (r1, r2, departed, expected) in cases {
        let facts = Facts {
            departed: departed.map(position),
            ..facts(Cause::Stalled, member(0, 13), r1, r2)
        };
        assert_eq!(can_replace(&facts), expected, "{facts:?}");
    }
}

/// A status from before the former primary was fenced misses its last commits. Such a status of a
/// server that answered `BUSY` since then let a shorter log win the comparison.
#[test]
fn old_status_is_not_compared() {
    let old = Member { settled: false, ..member(4, 11) };
    let waits = facts(Cause::Unreachable, unreachable(), member(4, 12), old.clone());
    assert!(matches!(next_step(&waits), Step::Wait(_)));
    let waits = facts(Cause::Leaving, member(4, 14), member(0, 12), old);
    assert!(matches!(next_step(&waits), Step::Wait(_)));
}

/// A loaded server refuses to report its status, but the refusal tells a position of its log.
#[test]
fn loaded_replica_is_promoted_by_the_position_in_its_refusal() {
    let loaded =
        |offset| Member { status: None, settled: false, holds: position(offset), ..member(0, 0) };
    let facts = |offset| facts(Cause::Leaving, member(4, 14), member(0, 12), loaded(offset));
    assert!(matches!(next_step(&facts(13)), Step::Wait(_)));
    assert_eq!(next_step(&facts(14)), Step::Promote("r2".into()));
    // Without the end of the former primary's log, the position alone shows nothing.
    let unknown = Facts { cause: Cause::Unreachable, ..facts(14) };
    let members = [("p", unreachable()), ("r1", member(4, 12)), ("r2", loaded(14))];
    let members = members.map(|(id, member)| (id.into(), Member { fenced: 4, ..member })).into();
    let unknown = Facts { former: None, members, ..unknown };
    assert!(matches!(next_step(&unknown), Step::Wait(_)));
}

#[test]
fn leaving_primary_is_demoted_first() {
    let facts = facts(Cause::Leaving, member(0, 12), member(0, 12), member(0, 12));
    assert_eq!(next_step(&facts), Step::Demote("p".into()));
}

#[test]
fn draining_replica_is_promoted_only_if_no_other_can_be() {
    let mut draining = member(4, 12);
    draining.draining = true;
    let other = facts(Cause::Unreachable, unreachable(), draining.clone(), member(4, 12));
    assert_eq!(next_step(&other), Step::Promote("r2".into()));
    let longer_log = facts(Cause::Unreachable, unreachable(), draining, member(4, 11));
    assert_eq!(next_step(&longer_log), Step::Promote("r1".into()));
}

#[test]
fn primary_that_answers_again_is_kept_only_if_no_replica_is_paused() {
    let recovered = facts(Cause::Unreachable, member(0, 12), member(0, 12), member(0, 12));
    assert_eq!(next_step(&recovered), Step::Keep("p".into()));
    let paused = facts(Cause::Unreachable, member(0, 12), member(4, 12), member(0, 12));
    assert_eq!(next_step(&paused), Step::Demote("p".into()));
}

#[test]
fn new_control_leader_never_keeps_a_primary_that_may_have_been_replaced() {
    let resumed = facts(Cause::Stalled, member(0, 12), member(0, 12), member(0, 12));
    assert_eq!(next_step(&resumed), Step::Demote("p".into()));
}

#[test]
fn pending_order_is_repeated_for_the_same_server() {
    let mut facts = facts(Cause::Unreachable, unreachable(), member(4, 10), member(4, 12));
    facts.ordered = ordered("r1", true, true);
    assert_eq!(next_step(&facts), Step::Promote("r1".into()));
}

fn ordered(server: &str, running: bool, pending: bool) -> Option<Ordered> {
    Some(Ordered { server: server.into(), running, pending })
}

fn leads(term: u64, offset: u64) -> Member {
    let received = Position { term, offset };
    Member { status: Some(Status { leads: true, term, received }), ..member(4, 0) }
}

/// A server that led a later term was recorded while another one was still being promoted, which
/// then rolled back its commits.
#[test]
fn no_other_server_is_adopted_while_an_order_may_take_effect() {
    let mut facts = facts(Cause::Unreachable, unreachable(), member(4, 10), leads(4, 12));
    facts.ordered = ordered("r1", true, true);
    assert!(matches!(next_step(&facts), Step::Wait(_)));
    facts.ordered = ordered("r1", true, false);
    assert_eq!(next_step(&facts), Step::Adopt("r2".into(), 4));
    facts.ordered = ordered("r2", true, true);
    assert_eq!(next_step(&facts), Step::Adopt("r2".into(), 4));
}

#[test]
fn latest_of_two_later_primaries_is_adopted() {
    let facts = facts(Cause::Unreachable, unreachable(), leads(4, 10), leads(5, 12));
    assert_eq!(next_step(&facts), Step::Adopt("r2".into(), 5));
}

#[test]
fn another_server_is_chosen_only_after_the_ordered_one_cannot_be_promoted() {
    let mut facts = facts(Cause::Unreachable, unreachable(), member(4, 12), member(4, 12));
    facts.ordered = ordered("r1", false, true);
    assert!(matches!(next_step(&facts), Step::Wait(_)));
    facts.ordered = ordered("r1", false, false);
    assert_eq!(next_step(&facts), Step::Withdraw("r1".into()));
}

#[test]
fn server_that_leads_a_later_term_is_adopted() {
    let mut facts = facts(Cause::Unreachable, unreachable(), member(4, 10), member(4, 12));
    let received = Position { term: 4, offset: 12 };
    let status = Some(Status { leads: true, term: 4, received });
    facts.members.insert("r2".into(), Member { status, ..member(4, 12) });
    assert_eq!(next_step(&facts), Step::Adopt("r2".into(), 4));
}

#[test]
fn failure_detection() {
    let healthy = Watch { silent: 300, ..Watch::default() };
    let cases = [
        (healthy, None),
        (Watch { refused: 1, ..healthy }, None),
        (Watch { refused: 2, ..healthy }, Some(Cause::Unreachable)),
        (Watch { silent: 899, ..healthy }, None),
        (Watch { silent: 900, ..healthy }, Some(Cause::Unreachable)),
        (Watch { silent: 600, unanswered: 1, ..healthy }, Some(Cause::Unreachable)),
        (Watch { demoted: true, ..healthy }, Some(Cause::Demoted)),
        (Watch { draining: true, ..healthy }, Some(Cause::Leaving)),
        // An overloaded primary leaves commits unanswered while its replicas receive others.
        (Watch { stalled: 9, ..healthy }, None),
        (Watch { stalled: 2, apart: 800, ..healthy }, Some(Cause::Stalled)),
    ];
    for (watch, expected) in cases {
        assert_eq!(replacement_cause(&watch), expected, "{watch:?}");
    }
}

/// A server that has just started receives commits before its first heartbeat reaches the control
/// leader, and a new leader may lead before that. It compared the replicas that it knew and had one
/// without the commits promoted.
#[test]
fn a_new_control_leader_waits_for_servers_that_it_has_not_heard_of() {
    let mut facts = facts(Cause::Stalled, member(0, 12), member(0, 10), member(0, 11));
    facts.led_for = 500;
    assert!(!can_replace(&facts));
    facts.led_for = 2_500;
    assert!(can_replace(&facts));
    facts.members.insert("p".into(), member(4, 12));
    facts.led_for = 500;
    assert!(matches!(next_step(&facts), Step::Wait(_)));
    // The new server has registered meanwhile, with everything.
    facts.members.insert("new".into(), member(0, 12));
    assert_eq!(next_step(&facts), Step::Promote("new".into()));
    // Nothing is known of the end of a primary that has crashed, so nothing is waited for.
    facts.members.remove("new");
    facts.members.insert("p".into(), unreachable());
    for replica in ["r1", "r2"] {
        facts.members.insert(replica.into(), member(4, 11));
    }
    assert!(matches!(next_step(&facts), Step::Promote(_)));
}
