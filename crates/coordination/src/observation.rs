//! Time for which an observer, such as the control leader, was able to hear others.
//!
//! An observer that is suspended or waits for its disk hears nobody, and answers that arrived
//! meanwhile wait in its queue. So silence counts in observation time, which stands still while the
//! observer is interrupted.

use auburnlug_state::Millis;

/// Longest time between two runs that counts as observed. Shorter than every silence timeout; it
/// counts so that an observer which always runs late still detects failures.
const MAX_RUN_GAP_MS: Millis = 250;

/// Clock that stands still while its observer is interrupted.
#[derive(Debug)]
pub struct ObservationClock {
    ran_at: Millis,
    /// Total time that was not observed.
    interrupted: Millis,
    /// Longest time between two runs that counts as observed.
    max_gap: Millis,
}

impl ObservationClock {
    /// Starts at `now`, which is the observation time, too.
    pub fn new(now: Millis) -> ObservationClock {
        ObservationClock::with_max_gap(now, MAX_RUN_GAP_MS)
    }

    /// Starts at `now`, for an observer that runs at least once in `max_gap`.
    pub fn with_max_gap(now: Millis, max_gap: Millis) -> ObservationClock {
        ObservationClock { ran_at: now, interrupted: 0, max_gap }
    }

    /// Records that the observer runs.
    pub fn record_run(&mut self, now: Millis) {
        self.interrupted += self.interruption(now);
        self.ran_at = self.ran_at.max(now);
    }

    /// Observation time at `now`.
    pub fn at(&self, now: Millis) -> Millis {
        now.saturating_sub(self.interrupted + self.interruption(now))
    }

    /// Length of the interruption since the last run.
    fn interruption(&self, now: Millis) -> Millis {
        now.saturating_sub(self.ran_at + self.max_gap)
    }
}
