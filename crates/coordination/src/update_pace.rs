//! Pace at which the control leader sends changes of its view to all entries.
//!
//! An update costs the leader one message for each entry. While hundreds of servers register, an
//! update for each of them would keep it from answering their heartbeats. So the first change is
//! sent at once, and changes that follow soon after are sent together. Changes that callers wait
//! for, such as another primary, are sent at once.

use auburnlug_state::Millis;

/// Minimum time between two updates for each entry, in milliseconds.
const INTERVAL_PER_ENTRY_MS: Millis = 1;

/// Longest time that a change waits. With the interval it is far below the time within which a
/// configuration has to be in force everywhere.
const MAX_INTERVAL_MS: Millis = 300;

/// When the next update to all entries is due.
///
/// ```
/// use auburnlug_coordination::update_pace::UpdatePace;
/// let mut pace = UpdatePace::default();
/// assert!(pace.request(100, false, 1_000));
/// assert!(!pace.request(100, false, 1_010));
/// assert!(!pace.take_due(100, 1_050));
/// assert!(pace.take_due(100, 1_100));
/// ```
#[derive(Debug, Default)]
pub struct UpdatePace {
    /// Time from which another update may be sent.
    next_at: Millis,
    waiting: bool,
}

/// Minimum time between two updates to this number of entries.
pub fn interval(entries: usize) -> Millis {
    (entries as Millis * INTERVAL_PER_ENTRY_MS).min(MAX_INTERVAL_MS)
}

impl UpdatePace {
    /// Records a change of the view; returns whether it is sent now.
    pub fn request(&mut self, entries: usize, urgent: bool, now: Millis) -> bool {
        self.waiting = true;
        if urgent {
            self.next_at = self.next_at.min(now);
        }
        self.take_due(entries, now)
    }

    /// Whether changes that waited are due now; they count as sent.
    pub fn take_due(&mut self, entries: usize, now: Millis) -> bool {
        let due = self.waiting && now >= self.next_at;
        if due {
            self.waiting = false;
            self.next_at = now + interval(entries);
        }
        due
    }
}
