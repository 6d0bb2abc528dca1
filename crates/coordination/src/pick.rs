//! Choice of the server that runs a read.
//!
//! An entry learns from the answers to its own statements how long each server takes, what its log
//! holds, and whether it can be reached. Times include the way and the queue, so a loaded or far
//! server is chosen less.

use std::{collections::BTreeMap, sync::Arc};

use auburnlug_state::Millis;

use crate::Position;

/// Weight of the newest latency in the average.
const NEWEST: f64 = 0.2;

/// Expected latency of a server that has not answered lately, in milliseconds; low, so that it is
/// tried.
const UNKNOWN_LATENCY: f64 = 2.0;

/// Time after which the latency of an unused server is forgotten, in milliseconds.
const FORGET: Millis = 2_000;

/// Factor on the latency of a primary for reads that replicas may serve: its slots are needed by
/// writes, which no other server takes.
const PRIMARY_WEIGHT: f64 = 1.5;

/// Time for which a replica is passed over that lacked a position, in milliseconds: half of the
/// usual lag. It doubles up to [`LONGEST_BEHIND`] while the replica stays behind.
const BEHIND: Millis = 30;

/// Longest time for which a replica is passed over that lacked a position, in milliseconds.
const LONGEST_BEHIND: Millis = 480;

/// Tries in a row that find a replica behind, up to which it is waited for: they span 210 ms, more
/// than the usual lag.
const BRIEF: u32 = 3;

/// Time for which a server is passed over that failed a statement, in milliseconds; it doubles up
/// to [`LONGEST_FAILED`].
const FAILED: Millis = 100;

/// Longest time for which a server is passed over that fails, in milliseconds.
const LONGEST_FAILED: Millis = 1_600;

/// Time for which a server is not used whose queue was full, in milliseconds: the entry's part of
/// what its slots free meanwhile. It doubles up to [`LONGEST_FULL`].
const FULL: Millis = 40;

/// Longest time for which a server is not used whose queue was full, in milliseconds.
const LONGEST_FULL: Millis = 320;

/// What an entry knows of the servers.
#[derive(Debug, Default)]
pub struct Records {
    servers: BTreeMap<Arc<str>, Record>,
}

#[derive(Debug, Default)]
struct Record {
    latency: Option<f64>,
    answered: Millis,
    running: u32,
    position: Option<Position>,
    behind: Millis,
    behinds: u32,
    failed: Millis,
    failures: u32,
    /// Time until which its queue is taken as full, for jobs of this priority and below.
    full: (Millis, u32),
    fulls: u32,
}

/// A server that may run a read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Server.
    pub server: Arc<str>,
    /// Statements that it runs at once.
    pub slots: u32,
    /// Whether it leads the group.
    pub primary: bool,
}

impl Records {
    /// Server on which a read is expected to end first. A replica is chosen only if it may hold
    /// `floor`; without a floor only a primary is.
    pub fn choose(
        &self,
        candidates: &[Candidate],
        floor: Option<Position>,
        exclude: Option<&str>,
        now: Millis,
    ) -> Option<Arc<str>> {
        let usable = |c: &&Candidate| {
            exclude != Some(&*c.server)
                && (c.primary || floor.is_some_and(|floor| self.may_hold(&c.server, floor, now)))
        };
        let well = |c: &&Candidate| self.servers.get(&c.server).is_none_or(|r| now >= r.failed);
        let cost = |c: &Candidate| {
            let weight = if c.primary { PRIMARY_WEIGHT } else { 1.0 };
            self.expected(c, now) * weight
        };
        let best = |list: Vec<&Candidate>| {
            let best = list.into_iter().min_by(|a, b| cost(a).total_cmp(&cost(b)));
            best.map(|c| c.server.clone())
        };
        let usable: Vec<&Candidate> = candidates.iter().filter(usable).collect();
        let healthy: Vec<&Candidate> = usable.iter().copied().filter(well).collect();
        best(healthy).or_else(|| best(usable))
    }

    fn may_hold(&self, server: &str, floor: Position, now: Millis) -> bool {
        let Some(record) = self.servers.get(server) else { return true };
        now >= record.behind || record.position.is_some_and(|position| position >= floor)
    }

    fn expected(&self, candidate: &Candidate, now: Millis) -> f64 {
        let record = self.servers.get(&candidate.server);
        let latency = record.filter(|r| now < r.answered + FORGET).and_then(|r| r.latency);
        let running = record.map_or(0, |record| record.running);
        let load = f64::from(running) / f64::from(candidate.slots.max(1));
        latency.unwrap_or(UNKNOWN_LATENCY) * (1.0 + load)
    }

    /// Notes that a statement was sent.
    pub fn sent(&mut self, server: &Arc<str>) {
        self.servers.entry(server.clone()).or_default().running += 1;
    }

    /// Notes the end of a statement, whatever it was.
    pub fn ended(&mut self, server: &str) {
        if let Some(record) = self.servers.get_mut(server) {
            record.running = record.running.saturating_sub(1);
        }
    }

    /// Notes that a server ran a statement in `latency` milliseconds.
    pub fn answered(&mut self, server: &str, latency: Millis, at: Option<Position>, now: Millis) {
        let Some(record) = self.servers.get_mut(server) else { return };
        let newest = latency as f64;
        let known = record.latency.filter(|_| now < record.answered + FORGET);
        record.latency = Some(known.map_or(newest, |known| known + (newest - known) * NEWEST));
        record.answered = now;
        record.position = at.max(record.position);
        record.behinds = 0;
        record.failures = 0;
        record.failed = 0;
        record.full.0 = 0;
        record.fulls = 0;
    }

    /// Whether a replica lacked a position only lately, so that it may hold it soon.
    pub fn follows(&self, server: &str) -> bool {
        self.servers.get(server).is_some_and(|r| (1..=BRIEF).contains(&r.behinds))
    }

    /// Notes that a job of `priority` found the queue of a server full.
    pub fn filled(&mut self, server: &str, priority: u32, now: Millis) {
        let Some(record) = self.servers.get_mut(server) else { return };
        record.full = (now + (FULL << record.fulls.min(4)).min(LONGEST_FULL), priority);
        record.fulls += 1;
    }

    /// Whether the queue of a server is taken as full for jobs of `priority`.
    pub fn full(&self, server: &str, priority: u32, now: Millis) -> bool {
        let full = self.servers.get(server).map(|record| record.full);
        full.is_some_and(|(until, from)| now < until && priority >= from)
    }

    /// Notes that a replica lacked a position.
    pub fn behind(&mut self, server: &str, at: Option<Position>, now: Millis) {
        let Some(record) = self.servers.get_mut(server) else { return };
        record.behind = now + (BEHIND << record.behinds.min(4)).min(LONGEST_BEHIND);
        record.behinds += 1;
        record.position = at;
    }

    /// Notes that a server did not run a statement that it should have.
    pub fn failed(&mut self, server: &str, now: Millis) {
        let Some(record) = self.servers.get_mut(server) else { return };
        record.failed = now + (FAILED << record.failures.min(4)).min(LONGEST_FAILED);
        record.failures += 1;
    }

    /// Drops what is known of servers other than these.
    pub fn retain(&mut self, known: impl Fn(&str) -> bool) {
        self.servers.retain(|id, _| known(id));
    }
}
