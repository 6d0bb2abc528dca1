//! Tests of the failover steps of one owner, and of acknowledgements by a majority.

use auburnlug_coordination::{
    Position,
    acks::{AckTracker, WriteState},
    failover::{Failover, FailoverStep, SLOW_FAILOVER_DELAY_MS, Status},
};
use auburnlug_state::{GroupState, Millis, Name, Role, Term};

fn name(i: usize) -> Name {
    Name::try_from(format!("s{i}")).expect("valid name")
}

fn index(name: &Name) -> usize {
    name.as_str()[1..].parse().expect("made by name()")
}

fn at(term: Term, offset: u64) -> Position {
    Position { term, offset }
}

/// Steps of an owner of three servers in term 1, with primary s0 and fresh statuses of the others.
fn steps_of_three(
    primary: Option<Status>,
    upstream: [Millis; 2],
    refused: bool,
) -> Vec<FailoverStep> {
    let names: Vec<_> = (0..3).map(name).collect();
    let recorded = GroupState { term: 1, primary: Some(name(0)) };
    let mut owner = Failover::new(3, &names, recorded, 0);
    let mut steps = Vec::new();
    for now in (10..=800).step_by(10) {
        if let Some(status) = primary {
            owner.record_status(&name(0), status, now);
        }
        for (i, span) in [(1, upstream[0]), (2, upstream[1])] {
            let upstream = Some(span);
            let status =
                Status { term: 1, role: Role::Replica, received: at(1, 5), upstream_age: upstream };
            owner.record_status(&name(i), status, now);
        }
        if refused {
            owner.record_refusal(&name(0));
        }
        steps.extend(owner.tick(now).into_iter().filter(|s| !matches!(s, FailoverStep::Poll(_))));
    }
    steps
}

/// Guards against a promotion without sufficient evidence of a failure, and against a failure that
/// is not detected.
#[test]
fn promotion_requires_evidence_of_a_failure() {
    let status = |role| Some(Status { term: 1, role, received: at(1, 5), upstream_age: None });
    let table = [
        ("healthy", status(Role::Primary), [10, 10], false, false),
        (
            "answers, replicas without contact for a moment",
            status(Role::Primary),
            [400, 400],
            false,
            false,
        ),
        (
            "answers, but partitioned from its replicas",
            status(Role::Primary),
            [2000, 2000],
            false,
            true,
        ),
        ("unreachable for the owner only", None, [10, 10], false, false),
        ("unreachable, one replica still has contact", None, [400, 10], false, false),
        ("unreachable for all", None, [400, 400], false, true),
        ("refused, but the replicas still have contact", None, [10, 10], true, false),
        ("refused, and the replicas have no contact", None, [300, 300], true, true),
        ("restarted as a replica", status(Role::Replica), [10, 10], false, true),
    ];
    for (case, primary, upstream, refused, starts) in table {
        let steps = steps_of_three(primary, upstream, refused);
        assert_eq!(steps.contains(&FailoverStep::Term(2)), starts, "{case}: {steps:?}");
    }
}

/// Guards against the loss of data from before the group was managed, and against a term that
/// another system has already used.
#[test]
fn first_promotion_takes_the_highest_position_and_prefers_the_claimant() {
    let table = [
        ([at(3, 5), at(3, 5), at(3, 5)], 1),
        ([at(3, 6), at(3, 5), at(3, 5)], 0),
        ([at(3, 4), at(3, 6), at(3, 6)], 1),
        ([at(2, 9), at(2, 9), at(3, 5)], 2),
    ];
    for (positions, chosen) in table {
        let names: Vec<_> = (0..3).map(name).collect();
        let mut owner = Failover::new(3, &names, GroupState::default(), 0);
        let mut term = 0;
        let mut fenced = [3; 3];
        let mut promoted = None;
        for now in 1..400 {
            for step in owner.tick(now) {
                match step {
                    FailoverStep::Term(next) if next == term + 1 => {
                        term = next;
                        owner.record_agreed(term, now);
                    }
                    FailoverStep::Fence(name, at) => {
                        let i = index(&name);
                        fenced[i] = at.max(fenced[i]);
                    }
                    FailoverStep::Promote(name, at) => promoted = promoted.or(Some((name, at))),
                    _ => {}
                }
            }
            for i in 0..3 {
                let role = if i == 1 && fenced[i] == 3 { Role::Primary } else { Role::Replica };
                let received = positions[i];
                let status = Status { term: fenced[i], role, received, upstream_age: None };
                owner.record_status(&name(i), status, now);
            }
        }
        let (server, term) = promoted.expect("a server is promoted");
        assert_eq!(server, name(chosen), "{positions:?}");
        assert!(term > 3, "term {term} was already used");
    }
}

/// Guards against the use of a term that another owner may have recorded, and against an owner that
/// keeps a group that it cannot reach.
#[test]
fn term_without_an_answer_is_skipped() {
    let names: Vec<_> = (0..3).map(name).collect();
    let mut owner = Failover::new(3, &names, GroupState { term: 4, primary: None }, 0);
    assert!(owner.tick(1).contains(&FailoverStep::Term(5)));
    owner.update_recorded(&GroupState { term: 5, primary: None }, 10);
    let steps: Vec<_> = (11..600).flat_map(|now| owner.tick(now)).collect();
    assert!(!steps.iter().any(|s| matches!(s, FailoverStep::Fence(..))), "{steps:?}");
    assert!(steps.contains(&FailoverStep::Term(6)));
    assert!((600..2100).any(|now| owner.tick(now).contains(&FailoverStep::Resign)));
}

/// Guards against a second primary in a term in which a promotion got no answer.
#[test]
fn promotion_after_an_unanswered_one_needs_a_new_term() {
    let names: Vec<_> = (0..3).map(name).collect();
    let mut owner = Failover::new(3, &names, GroupState { term: 4, primary: None }, 0);
    owner.tick(1);
    owner.record_agreed(5, 2);
    let (mut steps, mut lost) = (Vec::new(), None);
    for now in 3..400 {
        for i in (0..3).filter(|i| lost != Some(*i)) {
            let received = at(4, i as u64);
            let status = Status { term: 5, role: Role::Replica, received, upstream_age: None };
            owner.record_status(&name(i), status, now);
        }
        for step in owner.tick(now) {
            if let FailoverStep::Promote(server, 5) = &step {
                lost = Some(index(server));
                owner.record_refusal(server);
            }
            steps.push(step);
        }
    }
    let promoted = |s: &&FailoverStep| matches!(s, FailoverStep::Promote(_, 5));
    assert_eq!(steps.iter().filter(promoted).count(), 1);
    assert!(steps.contains(&FailoverStep::Term(6)), "{lost:?}");
}

/// Guards against a promotion by servers that may all lack an acknowledged write, because the group
/// has one server more than its size.
#[test]
fn excess_server_raises_the_quorum() {
    let names: Vec<_> = (0..4).map(name).collect();
    for (fenced, promotes) in [(2, false), (3, true)] {
        let mut owner = Failover::new(3, &names, GroupState { term: 4, primary: None }, 0);
        owner.tick(1);
        owner.record_agreed(5, 2);
        let steps = (3..300).flat_map(|now| {
            for i in 0..fenced {
                let received = at(4, 7);
                let status = Status { term: 5, role: Role::Replica, received, upstream_age: None };
                owner.record_status(&name(i), status, now);
            }
            owner.tick(now)
        });
        let steps: Vec<_> = steps.collect();
        assert_eq!(
            steps.iter().any(|s| matches!(s, FailoverStep::Promote(..))),
            promotes,
            "{fenced}"
        );
    }
}

/// Guards against an acknowledgement without a majority of the current term.
#[test]
fn only_a_majority_of_the_term_acknowledges() {
    let mut acks = AckTracker::new(3, 2);
    assert_eq!(acks.wait(at(1, 9), 1), WriteState::Unknown);
    assert_eq!(acks.wait(at(2, 10), 2), WriteState::Pending);
    assert_eq!(acks.wait(at(2, 12), 3), WriteState::Pending);
    assert!(acks.record_status(&name(0), 2, at(2, 12)).is_empty(), "one server of three");
    assert!(acks.record_status(&name(0), 2, at(2, 12)).is_empty(), "the same server twice");
    assert!(acks.record_status(&name(1), 3, at(2, 12)).is_empty(), "fenced with a higher term");
    assert!(acks.record_status(&name(1), 2, at(1, 99)).is_empty(), "records of an earlier term");
    assert_eq!(acks.record_status(&name(2), 2, at(2, 11)), [2]);
    assert_eq!(acks.wait(at(2, 11), 4), WriteState::Acknowledged);
    assert_eq!(acks.reset(3), [3]);
    assert!(!acks.has_waiting());
}

/// Guards against a slow-failover baseline that promotes too early or never.
#[test]
fn delayed_baseline_waits() {
    let names: Vec<_> = (0..3).map(name).collect();
    let recorded = GroupState { term: 1, primary: Some(name(0)) };
    let mut owner = Failover::new(3, &names, recorded, 0).with_delay(SLOW_FAILOVER_DELAY_MS);
    let started = (10..=SLOW_FAILOVER_DELAY_MS + 100).step_by(10).find(|&now| {
        let upstream_age = Some(now);
        for i in [1, 2] {
            let status = Status { term: 1, role: Role::Replica, received: at(1, 5), upstream_age };
            owner.record_status(&name(i), status, now);
        }
        owner.record_refusal(&name(0));
        owner.tick(now).iter().any(|step| matches!(step, FailoverStep::Term(_)))
    });
    assert_eq!(started, Some(SLOW_FAILOVER_DELAY_MS));
}

/// Guards against an owner that resigns right after an interruption, before it can have heard its
/// servers, and against one that does not resign without a majority.
#[test]
fn an_interrupted_owner_does_not_resign() {
    let names: Vec<_> = (0..3).map(name).collect();
    let recorded = GroupState { term: 1, primary: Some(name(0)) };
    let mut owner = Failover::new(3, &names, recorded, 0);
    let mut resigned_at = None;
    let runs = (10..=1_000).chain(4_000..=8_000).step_by(10);
    for now in runs {
        for (i, role) in [(0, Role::Primary), (1, Role::Replica), (2, Role::Replica)] {
            if now < 1_000 || (4_050..5_000).contains(&now) {
                let status = Status { term: 1, role, received: at(1, 5), upstream_age: Some(10) };
                owner.record_status(&name(i), status, now);
            }
        }
        if owner.tick(now).contains(&FailoverStep::Resign) {
            resigned_at.get_or_insert(now);
        }
    }
    assert!(resigned_at.is_some_and(|at| (7_000..7_500).contains(&at)), "{resigned_at:?}");
}
