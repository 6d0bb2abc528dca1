//! Silence of the control leader, as an entry observes it, and what the entry concludes from it.
//!
//! While a leader or a primary is replaced, a request is better held for a moment than refused. Once
//! the leader has been silent for longer than a replacement takes, nothing tells the entry that the
//! request will ever run, so its caller is told at once.

use auburnlug_state::Millis;

use crate::observation::ObservationClock;

/// Silence of the control leader after which a request that no server can run is refused at once.
/// By then the lease of the entry has ended, and control members that all lost power for three
/// seconds have started, elected a leader and assigned connections.
pub const LEADER_RECOVERY_LIMIT_MS: Millis = 6_000;

/// Longest time between two runs of the entry that counts as silence of the leader: an interval
/// between two renewals, and half of one more.
const MAX_ENTRY_RUN_GAP_MS: Millis = 750;

/// Whether a request that no server can run has no prospect of one: the control leader has been
/// silent for `silence`.
pub fn is_waiting_hopeless(silence: Millis) -> bool {
    silence >= LEADER_RECOVERY_LIMIT_MS
}

/// Time for which an entry has not heard a control leader, without the time for which the entry was
/// itself suspended.
#[derive(Debug)]
pub struct LeaderSilence {
    clock: ObservationClock,
    /// Observation time of the last sign of a leader.
    heard_at: Millis,
}

impl LeaderSilence {
    /// Silence of an entry that starts at `now`.
    pub fn new(now: Millis) -> LeaderSilence {
        LeaderSilence {
            clock: ObservationClock::with_max_gap(now, MAX_ENTRY_RUN_GAP_MS),
            heard_at: now,
        }
    }

    /// Records that the entry runs.
    pub fn record_run(&mut self, now: Millis) {
        self.clock.record_run(now);
    }

    /// Records a grant, an update or an announcement of a leader.
    pub fn record_sign(&mut self, now: Millis) {
        self.clock.record_run(now);
        self.heard_at = self.clock.at(now);
    }

    /// Time since the last sign of a leader, or since the start.
    pub fn duration(&self, now: Millis) -> Millis {
        self.clock.at(now).saturating_sub(self.heard_at)
    }
}
