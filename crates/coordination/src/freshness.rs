//! Bound on the age of replica data, from status polls.
//!
//! A replica that has applied the position that the primary reported in a poll sent at time t
//! holds everything acknowledged before t. The bound is exact; only the expected time to catch up
//! is an estimate.

use std::collections::{BTreeMap, VecDeque};

use auburnlug_state::{Millis, Name};

use crate::Position;

/// Reports of the primary that are kept; at 50 ms a poll they cover 25 s.
const REPORTS: usize = 512;

/// Reports closer together than this, in milliseconds, replace each other during back-to-back
/// polls; leaving reports out only makes the bound more careful.
const SPACING: Millis = 2;

/// An estimate of a time span, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Estimate {
    /// Expected value.
    pub mean: f64,
    /// Smoothed deviation from it.
    pub deviation: f64,
}

impl Estimate {
    /// Takes in a sample with the weights of the retransmission timer of TCP (RFC 6298).
    fn smooth(self, sample: f64) -> Estimate {
        let error = sample - self.mean;
        let deviation = self.deviation + (error.abs() - self.deviation) / 4.0;
        Estimate { mean: self.mean + error / 8.0, deviation }
    }
}

#[derive(Debug, Default)]
struct Replica {
    applied: Position,
    /// Time of the newest report of the primary that it has applied.
    fresh: Millis,
    delay: Option<Estimate>,
}

/// What status polls tell about the data of one group.
#[derive(Debug, Default)]
pub struct Freshness {
    reports: VecDeque<(Millis, Position)>,
    replicas: BTreeMap<Name, Replica>,
}

impl Freshness {
    /// Nothing is known.
    pub fn new() -> Freshness {
        Freshness::default()
    }

    /// The recorded primary answered a poll sent at `sent` with this position of its log.
    pub fn primary(&mut self, sent: Millis, position: Position) {
        let last = self.reports.back().copied().unwrap_or_default();
        if sent < last.0 || position < last.1 {
            return;
        }
        let before = self.reports.len().checked_sub(2).and_then(|i| self.reports.get(i));
        if before.is_some_and(|(at, _)| last.0 - at < SPACING) {
            self.reports.pop_back();
        }
        self.reports.push_back((sent, position));
        if self.reports.len() > REPORTS {
            self.reports.pop_front();
        }
    }

    /// A server answered a poll with this applied position.
    pub fn applied(&mut self, server: &Name, position: Position, now: Millis) {
        let covered = self.reports.partition_point(|(_, at)| *at <= position);
        let fresh = covered.checked_sub(1).and_then(|i| self.reports.get(i));
        let replica = self.replicas.entry(server.clone()).or_default();
        if position < replica.applied {
            // The server restarted with less data or moved to another branch of the log.
            replica.fresh = 0;
        }
        replica.applied = position;
        let Some(&(fresh, _)) = fresh.filter(|(at, _)| *at > replica.fresh) else {
            return;
        };
        replica.fresh = fresh;
        let sample = now.saturating_sub(fresh) as f64;
        replica.delay = Some(match replica.delay {
            Some(old) => old.smooth(sample),
            None => Estimate { mean: sample, deviation: sample / 2.0 },
        });
    }

    /// Position that a server has applied.
    pub fn position(&self, server: &Name) -> Position {
        self.replicas.get(server).map_or(Position::default(), |r| r.applied)
    }

    /// Time up to which the data of a server is complete; 0 if nothing is known.
    pub fn fresh(&self, server: &Name) -> Millis {
        self.replicas.get(server).map_or(0, |r| r.fresh)
    }

    /// Estimated time from a report of the primary until the server was seen to have applied it.
    pub fn delay(&self, server: &Name) -> Option<Estimate> {
        self.replicas.get(server)?.delay
    }

    /// Time until the server has probably applied `position` (mean and twice the deviation), in
    /// milliseconds; `None` without an estimate.
    pub fn behind(&self, server: &Name, position: Position, now: Millis) -> Option<Millis> {
        let replica = self.replicas.get(server)?;
        if replica.applied >= position {
            return Some(0);
        }
        let delay = replica.delay?;
        let first = self.reports.partition_point(|(_, at)| *at < position);
        let written = self.reports.get(first).map_or(now, |(at, _)| *at);
        let due = written as f64 + delay.mean + 2.0 * delay.deviation - now as f64;
        // An estimate that has passed says nothing about when the server will catch up.
        (due > 0.0).then_some(due.ceil() as Millis)
    }

    /// Forgets a server that left the group.
    pub fn forget(&mut self, server: &Name) {
        self.replicas.remove(server);
    }

    /// Position that all of `servers` have applied.
    pub fn common<'a>(&self, servers: impl IntoIterator<Item = &'a Name>) -> Position {
        servers.into_iter().map(|s| self.position(s)).min().unwrap_or_default()
    }
}
