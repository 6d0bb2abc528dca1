//! Jobs in the queue of a server that hangs, and of a primary that is replaced meanwhile.

use auburnlug_coordination::slot_wait::{SlotWait, WaitingJob};
use auburnlug_state::Millis;

const OBJECTIVE_MS: Millis = 800;
const MAX_WAIT_MS: Millis = OBJECTIVE_MS * 6 / 10;

/// Time at which a job leaves a queue in which nothing moves.
fn leaves_at(job: WaitingJob, primary_until: Millis, deadline: Millis) -> Option<Millis> {
    let mut now = job.arrival;
    while now < deadline {
        match job.decide(now < primary_until, now) {
            SlotWait::Continue(pause) => now += pause,
            SlotWait::PrimaryLost | SlotWait::TooSlow => return Some(now),
        }
    }
    None
}

/// Guards against a read that waits until its deadline for a server that hangs, although a replica
/// beside it has free slots.
#[test]
fn a_read_leaves_a_hanging_server_in_time_for_another_one() {
    let job = WaitingJob { arrival: 100, max_wait: MAX_WAIT_MS, needs_primary: false };
    let left = leaves_at(job, 0, 100 + OBJECTIVE_MS);
    assert_eq!(left, Some(100 + MAX_WAIT_MS + 1));
}

/// Guards against a write that is refused only when it gets a slot of the former primary, when its
/// successor has had free slots for long.
#[test]
fn a_write_leaves_a_former_primary_at_once() {
    let job = WaitingJob { arrival: 100, max_wait: MAX_WAIT_MS, needs_primary: true };
    let left = leaves_at(job, 320, 900).expect("the job waits until its deadline");
    assert!((320..=370).contains(&left), "{left}");
}

/// Guards against a write that is refused although its primary may still run it.
#[test]
fn a_write_waits_for_its_primary() {
    let job = WaitingJob { arrival: 100, max_wait: MAX_WAIT_MS, needs_primary: true };
    assert_eq!(leaves_at(job, Millis::MAX, 900), None);
}
