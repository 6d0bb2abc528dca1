//! How often the control leader looks at the groups and asks their primaries for their status.
//!
//! With hundreds of groups the leader cannot ask each primary four times a second. A primary that
//! answers entries is alive, so it is asked less often; one of which entries say nothing is asked
//! as often as in a small fleet.

use auburnlug_state::Millis;

/// Interval between two questions to a primary, in milliseconds.
const MIN_INTERVAL_MS: Millis = 250;

/// Longest interval, in milliseconds. With it, entries have a position of each primary that is recent
/// enough for reads that accept an age of a second.
const MAX_INTERVAL_MS: Millis = 700;

/// Interval for each group: 400 questions a second.
const INTERVAL_PER_GROUP_US: Millis = 2_500;

/// Age up to which an answer of a primary to entries counts, in milliseconds. Two lost packets delay
/// the answer to the next question by 600 ms, and a primary that is silent for 900 ms is replaced.
const MAX_REPORT_AGE_MS: Millis = 250;

/// Interval between two looks at a group for each group.
const LOOK_PER_GROUP_US: Millis = 200;

/// Interval between two questions to a primary in a fleet of this many groups, if entries had its
/// last answer `report_age` ago.
///
/// ```
/// use auburnlug_coordination::probe_pace::question_interval;
/// assert_eq!(question_interval(8, Some(100)), 250);
/// assert_eq!(question_interval(350, Some(100)), 700);
/// assert_eq!(question_interval(350, None), 250);
/// ```
pub fn question_interval(groups: usize, report_age: Option<Millis>) -> Millis {
    if report_age.is_none_or(|age| age > MAX_REPORT_AGE_MS) {
        return MIN_INTERVAL_MS;
    }
    (groups as Millis * INTERVAL_PER_GROUP_US / 1_000).clamp(MIN_INTERVAL_MS, MAX_INTERVAL_MS)
}

/// Interval between two looks at the groups that need no replacement.
pub fn look_interval(groups: usize) -> Millis {
    groups as Millis * LOOK_PER_GROUP_US / 1_000
}
