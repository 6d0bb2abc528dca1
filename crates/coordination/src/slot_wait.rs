//! When a job stops to wait for a slot of its server.
//!
//! A job joins a queue if the expected wait is worthwhile, but the expectation may be wrong: a
//! server that hangs completes nothing, so its queue still looks short. A job that another server
//! can run leaves once it has waited for longer than it would have joined the queue for, while time
//! is left for another attempt. A job for a primary has no other server and waits until its
//! deadline, unless the server is no longer the primary: its successor may run the job at once.

use auburnlug_state::Millis;

/// Interval of the checks of the lease on a primary: the time in which a view arrives.
const CHECK_INTERVAL_MS: Millis = 50;

/// A job that waits for a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaitingJob {
    /// Time at which the wait began.
    pub arrival: Millis,
    /// Longest wait that is worthwhile, in milliseconds.
    pub max_wait: Millis,
    /// Whether only a leased primary can run it.
    pub needs_primary: bool,
}

/// What a waiting job does now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotWait {
    /// It waits; the next check is after this many milliseconds.
    Continue(Millis),
    /// It leaves: the server is not the primary any more.
    PrimaryLost,
    /// It leaves: the queue is slower than expected, and another server may be free.
    TooSlow,
}

impl WaitingJob {
    /// Decides whether the job waits on; `is_leased` tells whether the server may be used as the
    /// primary.
    pub fn decide(&self, is_leased: bool, now: Millis) -> SlotWait {
        if self.needs_primary {
            return if is_leased {
                SlotWait::Continue(CHECK_INTERVAL_MS)
            } else {
                SlotWait::PrimaryLost
            };
        }
        // Also a job that waits for nothing takes a slot that is free.
        match (self.arrival + self.max_wait + 1).saturating_sub(now) {
            0 => SlotWait::TooSlow,
            left => SlotWait::Continue(left),
        }
    }
}
