//! A backlog of two seconds that returns after a restart of everything, at the slots of one group
//! of servers: by the rates, durations and objectives of a deployment with 292 sessions.

use std::{cell::RefCell, collections::VecDeque};

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
        |job| queue.borrow_mut().push(place(job), job),
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
    queue.push(place(Job { asked: 0 }), "late");
    let mut turns = 0;
    loop {
        let now = 1_000 + turns;
        queue.push(place(Job { asked: now }), "punctual");
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
    queue.push(place(Job { asked: 0 }), ());
    queue.push(place(Job { asked: 1_000 }), ());
    let (punctual, late) = (place(Job { asked: 1_010 }), place(Job { asked: 10 }));
    assert_eq!(queue.jobs_ahead(punctual, DURATION_MS, 1_010), 1);
    assert_eq!(queue.jobs_ahead(late, DURATION_MS, 1_010), 2);
    let urgent = SlotPlace { priority: 1, ..punctual };
    assert_eq!(queue.jobs_ahead(urgent, DURATION_MS, 1_010), 0);
}
