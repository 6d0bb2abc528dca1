//! Positions that a primary's log had at known times, and the floor that they give to reads.
//!
//! A sample says that the primary answered with a position to a statement sent at a time. Every
//! commit that was acknowledged before that time is at or below the position, as long as no other
//! primary had been promoted by then; the caller only adds samples taken under a valid lease.

use std::collections::VecDeque;

use auburnlug_state::Millis;

use crate::Position;

/// Least time between two samples, in milliseconds: a finer grain would not let replicas serve
/// noticeably more reads, because they lag by tens of milliseconds.
const SPACING: Millis = 25;

/// Samples kept; with [`SPACING`] they cover 4 s, more than the ages that callers accept.
const KEPT: usize = 160;

/// Samples of one group, oldest first.
#[derive(Debug, Default)]
pub struct Samples {
    kept: VecDeque<(Millis, Position)>,
    /// Newest sample; kept apart until it is far enough from the one before.
    newest: Option<(Millis, Position)>,
}

impl Samples {
    /// Adds the position that the primary reported to a statement sent at `sent`.
    ///
    /// Samples of an earlier term are dropped: a promotion may have rolled back what they include.
    pub fn add(&mut self, sent: Millis, position: Position) {
        if let Some((at, known)) = self.newest {
            if position.term > known.term {
                self.kept.clear();
            } else if sent < at || position < known {
                return;
            }
        }
        self.newest = Some((sent, position));
        if self.kept.back().is_none_or(|(at, _)| sent >= at + SPACING) {
            self.kept.push_back((sent, position));
            if self.kept.len() > KEPT {
                self.kept.pop_front();
            }
        }
    }

    /// Adds a position that was `age` old when an answer to the request of the time `sent` was made.
    ///
    /// A position from before the start of this process has no time on its clock: it is not added,
    /// or it would count as younger than it is.
    pub fn add_aged(&mut self, sent: Millis, age: Millis, position: Position) {
        if let Some(asked) = sent.checked_sub(age) {
            self.add(asked, position);
        }
    }

    /// Position that includes every commit acknowledged before `time`; the oldest such position
    /// that is known, so that most replicas have it. `None` if no sample is recent enough.
    pub fn floor(&self, time: Millis) -> Option<Position> {
        let at = self.kept.partition_point(|(sent, _)| *sent < time);
        let kept = self.kept.get(at).copied();
        kept.or(self.newest.filter(|(sent, _)| *sent >= time)).map(|(_, position)| position)
    }

    /// Newest position known.
    pub fn newest(&self) -> Option<Position> {
        self.newest.map(|(_, position)| position)
    }
}
