//! Log positions of a primary at known times, and the required positions of reads.
//!
//! A sample is the position in the primary's answer to a statement, and the time at which the
//! statement was sent. Every commit that was acknowledged before that time is at or below the
//! position, unless another primary had been promoted by then; the caller only adds samples taken
//! under a valid lease.

use std::collections::VecDeque;

use auburnlug_state::Millis;

use crate::Position;

/// Minimum time between two retained samples: closer ones would hardly let replicas serve more
/// reads, because they lag by tens of milliseconds.
const MIN_SAMPLE_SPACING_MS: Millis = 25;

/// Number of retained samples; with [`MIN_SAMPLE_SPACING_MS`] they cover 4 s, more than the ages
/// that callers accept.
const MAX_SAMPLES: usize = 160;

/// Samples of one group, oldest first.
#[derive(Debug, Default)]
pub struct PositionSamples {
    retained: VecDeque<(Millis, Position)>,
    /// Newest sample; it may be too close to the one before to be retained.
    newest: Option<(Millis, Position)>,
}

impl PositionSamples {
    /// Adds the position that the primary reported to a statement sent at `sent`.
    ///
    /// Samples of an earlier term are dropped: a promotion may have rolled back what they include.
    pub fn add(&mut self, sent: Millis, position: Position) {
        if let Some((at, known)) = self.newest {
            if position.term > known.term {
                self.retained.clear();
            } else if sent < at || position < known {
                return;
            }
        }
        self.newest = Some((sent, position));
        if self.retained.back().is_none_or(|(at, _)| sent >= at + MIN_SAMPLE_SPACING_MS) {
            self.retained.push_back((sent, position));
            if self.retained.len() > MAX_SAMPLES {
                self.retained.pop_front();
            }
        }
    }

    /// Adds a position that was `age` old when the request sent at `sent` was answered.
    ///
    /// The clock starts with the process, so a position from before that has no valid time. It is
    /// not added, as it would otherwise count as newer than it is.
    pub fn add_aged(&mut self, sent: Millis, age: Millis, position: Position) {
        if let Some(sampled_at) = sent.checked_sub(age) {
            self.add(sampled_at, position);
        }
    }

    /// Required position of a read that must see every commit acknowledged before `time`: the
    /// oldest known one, as most replicas have applied it. `None` if no sample is recent enough.
    pub fn required_position(&self, time: Millis) -> Option<Position> {
        let at = self.retained.partition_point(|(sent, _)| *sent < time);
        let sample = self.retained.get(at).copied();
        sample.or(self.newest.filter(|(sent, _)| *sent >= time)).map(|(_, position)| position)
    }

    /// Newest known position.
    pub fn newest(&self) -> Option<Position> {
        self.newest.map(|(_, position)| position)
    }
}
