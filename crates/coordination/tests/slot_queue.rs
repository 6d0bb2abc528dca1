//! A backlog of two seconds that returns after a restart of everything, at the slots of one group
//! of servers: by the rates, durations and objectives of a deployment with 292 sessions.

use std::{cell::RefCell, collections::VecDeque, sync::Arc};

use auburnlug_coordination::slot_queue::{SlotPlace, SlotQueue};
use auburnlug_state::Millis;

/// Jobs a millisecond: a third of 360 a second.
const JOBS_PER_MS: f64 = 0.12;

/// Slots of the three servers of a group.
const SLOTS: usize = 9;

/// Duration of a statement of 24 ms that opens a connection.
const DURATION_MS: Millis = 45;

const OBJECTIVE_MS: Millis = 800;
const DEADLINE_MS: Millis = 2_000;

/// Time for which nothing was served. Jobs that were asked in it arrive at its end.
const OUTAGE_MS: Millis = 1_900;

#[derive(Debug, Clone, Copy)]
struct Job {
    asked: Millis,
}

fn place(job: Job) -> SlotPlace {
    let (objective, deadline) = (job.asked + OBJECTIVE_MS, job.asked + DEADLINE_MS);
    SlotPlace { priority: 2, objective, deadline }
}

/// Operations that missed their objective or their deadline, of those asked after the outage, and
/// backlog that was served late.
#[derive(Debug, Default)]
struct Outcome {
    missed: usize,
    late: usize,
}

/// Plays the backlog and three seconds after it.
fn play(mut push: impl FnMut(Job), mut pop: impl FnMut(Millis) -> Option<Job>) -> Outcome {
    let mut running: VecDeque<Millis> = VecDeque::new();
    let (mut outcome, mut asked) = (Outcome::default(), 0.0);
    for now in 0..OUTAGE_MS + 3_000 {
        while asked <= now as f64 {
            push(Job { asked: asked as Millis });
            asked += 1.0 / JOBS_PER_MS;
        }
        if now < OUTAGE_MS {
            continue;
        }
        while running.front().is_some_and(|end| *end <= now) {
            running.pop_front();
        }
        while running.len() < SLOTS {
            let Some(job) = pop(now) else { break };
            let end = now + DURATION_MS;
            running.push_back(end);
            let late = end > job.asked + OBJECTIVE_MS;
            outcome.missed += usize::from(late && job.asked >= OUTAGE_MS);
            outcome.late += usize::from(late && job.asked < OUTAGE_MS);
        }
    }
    outcome
}

/// Guards against a restart after which the backlog makes all later operations miss their
/// objective, and against a backlog that is not served at all.
#[test]
fn a_backlog_does_not_make_later_operations_late() {
    let queue = RefCell::new(SlotQueue::new());
    let outcome = play(
        |job| queue.borrow_mut().push(place(job), "a".into(), job),
        |now| {
            let mut queue = queue.borrow_mut();
            queue.remove(|place, _| now + DURATION_MS > place.deadline);
            queue.pop(DURATION_MS, now)
        },
    );
    assert_eq!(outcome.missed, 0);
    assert!(outcome.late > 20, "{outcome:?}");
    assert!(queue.borrow().is_empty());

    // In order of arrival, the same load makes many of them late.
    let queue = RefCell::new(VecDeque::new());
    let pop = |now| {
        let mut queue = queue.borrow_mut();
        queue.retain(|job: &Job| now + DURATION_MS <= job.asked + DEADLINE_MS);
        queue.pop_front()
    };
    let outcome = play(|job| queue.borrow_mut().push_back(job), pop);
    assert!(outcome.missed > 20, "{outcome:?}");
}

/// Guards against a late operation that waits until its deadline while the load lasts.
#[test]
fn a_late_job_has_a_turn_under_lasting_load() {
    let mut queue = SlotQueue::new();
    queue.push(place(Job { asked: 0 }), "a".into(), "late");
    let mut turns = 0;
    loop {
        let now = 1_000 + turns;
        queue.push(place(Job { asked: now }), "a".into(), "punctual");
        turns += 1;
        if queue.pop(DURATION_MS, now) == Some("late") {
            break;
        }
    }
    assert!(turns <= 10, "after {turns} turns");
}

#[test]
fn only_jobs_that_go_first_count_as_ahead() {
    let mut queue = SlotQueue::new();
    queue.push(place(Job { asked: 0 }), "a".into(), ());
    queue.push(place(Job { asked: 1_000 }), "a".into(), ());
    let (punctual, late) = (place(Job { asked: 1_010 }), place(Job { asked: 10 }));
    assert_eq!(queue.jobs_ahead(punctual, "a", DURATION_MS, 1_010), 1);
    assert_eq!(queue.jobs_ahead(late, "a", DURATION_MS, 1_010), 2);
    let urgent = SlotPlace { priority: 1, ..punctual };
    assert_eq!(queue.jobs_ahead(urgent, "a", DURATION_MS, 1_010), 0);
}

/// Longest wait of an account that asks once in 20 ms, at a server that runs one job in 5 ms, while
/// another account asks `hot` times in 5 ms for half a second.
fn longest_wait(hot: u32, account: impl Fn(&'static str) -> Arc<str>) -> Millis {
    let mut queue = SlotQueue::new();
    let mut longest = 0;
    for now in (0..500).step_by(5) {
        let asked = place(Job { asked: now });
        for _ in 0..hot {
            queue.push(asked, account("hot"), ("hot", now));
        }
        if now % 20 == 0 {
            queue.push(asked, account("usual"), ("usual", now));
        }
        if let Some(("usual", asked)) = queue.pop(5, now) {
            longest = longest.max(now - asked);
        }
    }
    let left = queue.remove(|_, (name, _)| *name == "usual");
    left.iter().map(|(_, asked)| 500 - asked).fold(longest, Millis::max)
}

/// Guards against an account that sends many times its usual and makes another one wait, or that
/// has this one refused because of the length of its own backlog.
#[test]
fn an_account_does_not_wait_for_the_backlog_of_another() {
    assert!(longest_wait(4, |name| name.into()) <= 10);
    // In order of arrival.
    assert!(longest_wait(4, |_| "same".into()) > 200);

    let mut queue = SlotQueue::new();
    let job = place(Job { asked: 0 });
    for _ in 0..50 {
        queue.push(job, "hot".into(), ());
    }
    assert_eq!(queue.jobs_ahead(job, "usual", DURATION_MS, 0), 1);
    assert_eq!(queue.jobs_ahead(job, "hot", DURATION_MS, 0), 50);
}

/// Guards against an account with a backlog that has no turn while others keep the slots busy.
#[test]
fn an_account_with_a_backlog_keeps_its_turns() {
    let mut queue = SlotQueue::new();
    let job = place(Job { asked: 0 });
    for _ in 0..20 {
        queue.push(job, "hot".into(), "hot");
    }
    let mut turns = 0;
    for _ in 0..30 {
        for other in ["b", "c"] {
            queue.push(job, other.into(), other);
        }
        turns += u32::from(queue.pop(DURATION_MS, 0) == Some("hot"));
    }
    assert!((9..=11).contains(&turns), "{turns} of 30 turns");
}

/// A server hangs: jobs of one account expire in the queue of others, and the account is served
/// again like the others.
#[test]
fn jobs_that_leave_without_a_turn_return_it() {
    let mut queue = SlotQueue::new();
    let place = SlotPlace { priority: 1, objective: 10_000, deadline: 10_000 };
    for number in 0..50 {
        queue.push(place, "expired".into(), ("expired", number));
    }
    for number in 0..5 {
        queue.push(place, "other".into(), ("other", number));
    }
    assert_eq!(queue.remove(|_, job| job.0 == "expired").len(), 50);
    assert_eq!(queue.jobs_ahead(place, "expired", 10, 0), 1);
}

/// A late job of a long backlog has a turn: others still go before the rest of the backlog.
#[test]
fn a_late_turn_does_not_end_the_rounds_before_it() {
    let mut queue = SlotQueue::new();
    let punctual = SlotPlace { priority: 1, objective: 10_000, deadline: 10_000 };
    let late = SlotPlace { objective: 0, ..punctual };
    for number in 0..50 {
        queue.push(punctual, "backlog".into(), number);
    }
    queue.push(late, "backlog".into(), 50);
    // The late job has the eighth turn.
    let taken: Vec<_> = (0..8).filter_map(|_| queue.pop(10, 100)).collect();
    assert_eq!(taken.last(), Some(&50));
    assert!(queue.jobs_ahead(punctual, "light", 10, 100) <= 1);
}
