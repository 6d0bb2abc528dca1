//! A connection owner that freezes for three and a half seconds under 20 jobs a second from one
//! entry, while a second owner answers.

use std::sync::Arc;

use auburnlug_coordination::owner_health::{OWNER_SILENCE_LIMIT_MS, OwnerHealth, OwnerRecords};
use auburnlug_state::{Millis, Name};

const JOB_INTERVAL_MS: Millis = 50;
const FREEZE_MS: Millis = 3_500;

/// Jobs sent to the frozen owner, in all and those that may run only once.
#[derive(Debug, Default, PartialEq, Eq)]
struct Waiting {
    all: u32,
    once: u32,
}

/// Plays the freeze. `is_avoided` says whether a job that may run only once goes elsewhere, and
/// `tests` whether a job that may run twice is sent to the avoided owner.
fn play(
    mut is_avoided: impl FnMut(Millis) -> bool,
    mut tests: impl FnMut(Millis) -> bool,
    mut record_sent: impl FnMut(Millis),
    mut record_loss: impl FnMut(Millis),
) -> Waiting {
    let (mut waiting, mut given_up) = (Waiting::default(), Vec::new());
    for (job, now) in (0..FREEZE_MS).step_by(JOB_INTERVAL_MS as usize).enumerate() {
        given_up.retain(|at| {
            let due = *at <= now;
            if due {
                record_loss(now);
            }
            !due
        });
        let once = job % 4 == 0;
        if is_avoided(now) && (once || !tests(now)) {
            continue;
        }
        record_sent(now);
        waiting.all += 1;
        waiting.once += u32::from(once);
        if !once {
            given_up.push(now + OWNER_SILENCE_LIMIT_MS);
        }
    }
    waiting
}

/// Guards against statements that wait for a frozen owner again each time that an avoidance of a
/// fixed length has ended, among them some that may not be sent to the other owner afterwards.
#[test]
fn a_frozen_owner_is_tested_by_single_jobs() {
    let health = std::cell::RefCell::new(OwnerHealth::default());
    let waiting = play(
        |now| health.borrow().is_avoided(now),
        |now| health.borrow_mut().claim_test(now),
        |now| health.borrow_mut().record_sent(now),
        |now| {
            health.borrow_mut().record_loss(now);
        },
    );
    assert!(waiting.all <= 9 && waiting.once <= 2, "{waiting:?}");

    // An avoidance of one second.
    let avoided_until = std::cell::Cell::new(0);
    let fixed = play(
        |now| now < avoided_until.get(),
        |_| false,
        |_| {},
        |now| avoided_until.set(now + 1_000),
    );
    assert!(fixed.all >= 18 && fixed.once >= 4, "{fixed:?}");
}

/// Guards against an owner that gets no work although it answers again.
#[test]
fn an_owner_that_sends_something_is_used_at_once() {
    let mut health = OwnerHealth::default();
    assert!(health.record_loss(0));
    assert!(!health.record_loss(10));
    assert!(health.is_avoided(60_000));
    assert!(health.record_sign());
    assert!(!health.is_avoided(60_000));
    assert!(!health.claim_test(60_000));
}

/// Guards against an entry without further jobs that takes the silence after the last answer for a
/// loss.
#[test]
fn silence_counts_only_while_a_job_is_awaited() {
    let mut health = OwnerHealth::default();
    health.record_sent(0);
    health.record_sign();
    assert!(!health.is_avoided(10_000));
    health.record_sent(10_000);
    assert!(!health.is_avoided(10_000 + OWNER_SILENCE_LIMIT_MS - 1));
    assert!(health.is_avoided(10_000 + OWNER_SILENCE_LIMIT_MS));
    health.record_idle();
    assert!(!health.is_avoided(20_000));
}

fn name(text: &str) -> Name {
    Name::try_from(text).expect("a valid name")
}

/// Guards against statements that keep going to an owner which a partition separates from their
/// primary, while the second owner reaches it.
#[test]
fn an_owner_without_a_path_to_a_server_is_last_for_this_server_only() {
    let (first, second) = (name("10.0.0.1"), name("10.0.0.2"));
    let (cut, other): (Arc<str>, Arc<str>) = ("s1".into(), "s2".into());
    let owners = || vec![first.clone(), second.clone()];
    let mut records = OwnerRecords::default();
    assert!(records.record_path(&first, &cut, false, 0));
    let order = records.order(&cut, owners(), |_| true, false, 100);
    assert_eq!(order.names, [second.clone(), first.clone()]);
    assert!(!order.tests);
    assert_eq!(records.order(&other, owners(), |_| true, false, 100).names, owners());

    // A job that may run only once does not test the path; one job of the others does.
    assert_eq!(records.order(&cut, owners(), |_| true, true, 1_000).names[0], second);
    assert!(records.order(&cut, owners(), |_| true, false, 1_000).tests);
    assert!(!records.order(&cut, owners(), |_| true, false, 1_010).tests);
    records.record_path(&first, &cut, true, 1_020);
    assert_eq!(records.order(&cut, owners(), |_| true, true, 1_030).names, owners());
}

/// Guards against a job that waits for the link to an owner which has stopped, and against an owner
/// that is not dialed again.
#[test]
fn an_owner_without_a_link_is_dialed_while_another_one_runs_the_jobs() {
    let (stopped, second) = (name("10.0.0.1"), name("10.0.0.2"));
    let server: Arc<str> = "s1".into();
    let mut records = OwnerRecords::default();
    records.owner(&stopped).record_loss(0);
    let mut order = |now| {
        let owners = vec![stopped.clone(), second.clone()];
        records.order(&server, owners, |name| *name == second, true, now)
    };
    assert_eq!(order(100).dial, None);
    let due = order(600);
    assert_eq!(due.dial, Some(stopped.clone()));
    assert_eq!(due.names, [second.clone(), stopped.clone()]);
    assert_eq!(order(610).dial, None);
}

/// Guards against refusals while all owners are suspected: they are tried in their usual order.
#[test]
fn owners_that_are_all_avoided_keep_their_order() {
    let owners = vec![name("10.0.0.1"), name("10.0.0.2")];
    let mut records = OwnerRecords::default();
    for owner in &owners {
        records.owner(owner).record_loss(0);
    }
    let order = records.order(&"s1".into(), owners.clone(), |_| false, true, 100);
    assert_eq!(order.names, owners);
}
