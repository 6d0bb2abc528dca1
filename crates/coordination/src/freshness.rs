//! Bound on the age of replica data, from status polls.
//!
//! A replica that has applied the position that the primary reported in a poll sent at time t
//! holds everything acknowledged before t. The bound is exact; only the expected time to catch up
//! is an estimate.

use std::collections::{BTreeMap, VecDeque};

use auburnlug_state::{Millis, Name};

use crate::Position;

/// Retained reports of the primary; with a poll every 50 ms they cover 25 s.
const MAX_REPORTS: usize = 512;

/// Minimum time between retained reports; of closer ones, during back-to-back polls, only the
/// newest is retained. Leaving reports out only makes the bound more conservative.
const MIN_REPORT_SPACING_MS: Millis = 2;

/// Estimate of a duration, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Estimate {
    /// Expected value.
    pub mean: f64,
    /// Moving average of the deviation from it.
    pub deviation: f64,
}

impl Estimate {
    /// Adds a sample with the weights of the retransmission timer of TCP (RFC 6298).
    fn add_sample(self, sample: f64) -> Estimate {
        let error = sample - self.mean;
        let deviation = self.deviation + (error.abs() - self.deviation) / 4.0;
        Estimate { mean: self.mean + error / 8.0, deviation }
    }
}

#[derive(Debug, Default)]
struct Replica {
    applied: Position,
    /// Send time of the poll with the newest primary position that it has applied.
    fresh_until: Millis,
    delay: Option<Estimate>,
}

/// Freshness of the data of one group, from status polls.
#[derive(Debug, Default)]
pub struct Freshness {
    reports: VecDeque<(Millis, Position)>,
    replicas: BTreeMap<Name, Replica>,
}

impl Freshness {
    /// A group without reports.
    pub fn new() -> Freshness {
        Freshness::default()
    }

    /// Records the log position that the recorded primary reported to a poll sent at `sent`.
    pub fn record_primary(&mut self, sent: Millis, position: Position) {
        let last = self.reports.back().copied().unwrap_or_default();
        if sent < last.0 || position < last.1 {
            return;
        }
        let before = self.reports.len().checked_sub(2).and_then(|i| self.reports.get(i));
        if before.is_some_and(|(at, _)| last.0 - at < MIN_REPORT_SPACING_MS) {
            self.reports.pop_back();
        }
        self.reports.push_back((sent, position));
        if self.reports.len() > MAX_REPORTS {
            self.reports.pop_front();
        }
    }

    /// Records the applied position that a server reported.
    pub fn record_applied(&mut self, server: &Name, position: Position, now: Millis) {
        let covered = self.reports.partition_point(|(_, at)| *at <= position);
        let fresh = covered.checked_sub(1).and_then(|i| self.reports.get(i));
        let replica = self.replicas.entry(server.clone()).or_default();
        if position < replica.applied {
            // The server restarted with less data, or follows a diverged log.
            replica.fresh_until = 0;
        }
        replica.applied = position;
        let Some(&(fresh, _)) = fresh.filter(|(at, _)| *at > replica.fresh_until) else {
            return;
        };
        replica.fresh_until = fresh;
        let sample = now.saturating_sub(fresh) as f64;
        replica.delay = Some(match replica.delay {
            Some(old) => old.add_sample(sample),
            None => Estimate { mean: sample, deviation: sample / 2.0 },
        });
    }

    /// Position that a server has applied.
    pub fn position(&self, server: &Name) -> Position {
        self.replicas.get(server).map_or(Position::default(), |r| r.applied)
    }

    /// Time up to which the data of a server is complete; 0 if unknown.
    pub fn fresh_until(&self, server: &Name) -> Millis {
        self.replicas.get(server).map_or(0, |r| r.fresh_until)
    }

    /// Estimated time from a poll of the primary until the server reports that position as applied.
    pub fn delay(&self, server: &Name) -> Option<Estimate> {
        self.replicas.get(server)?.delay
    }

    /// Expected time until the server has applied `position` (mean plus twice the deviation), in
    /// milliseconds; `None` without an estimate.
    pub fn catch_up_time(&self, server: &Name, position: Position, now: Millis) -> Option<Millis> {
        let replica = self.replicas.get(server)?;
        if replica.applied >= position {
            return Some(0);
        }
        let delay = replica.delay?;
        let first = self.reports.partition_point(|(_, at)| *at < position);
        let written = self.reports.get(first).map_or(now, |(at, _)| *at);
        let due = written as f64 + delay.mean + 2.0 * delay.deviation - now as f64;
        // After the estimated time has passed, it does not tell when the server will catch up.
        (due > 0.0).then_some(due.ceil() as Millis)
    }

    /// Removes a server that left the group.
    pub fn remove_server(&mut self, server: &Name) {
        self.replicas.remove(server);
    }

    /// Position that all of `servers` have applied.
    pub fn common_position<'a>(&self, servers: impl IntoIterator<Item = &'a Name>) -> Position {
        servers.into_iter().map(|s| self.position(s)).min().unwrap_or_default()
    }
}
