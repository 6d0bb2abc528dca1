//! Choice of the server that runs a read.
//!
//! An entry tracks the latency, log position and reachability of each server from the answers to
//! its own statements. The latency includes the network and the queue, so a loaded or remote server
//! is chosen less often.

use std::{collections::BTreeMap, sync::Arc};

use auburnlug_state::Millis;

use crate::Position;

/// Weight of a new sample in the moving average of the latency.
const LATENCY_SAMPLE_WEIGHT: f64 = 0.2;

/// Expected latency of a server in the entry's region without a recent answer; low, so that it is
/// tried.
const UNKNOWN_LATENCY_MS: f64 = 2.0;

/// Expected latency of a server in another region without a recent answer, above the lowest known
/// one: a round trip between regions. It is tried once the known servers are loaded.
const REMOTE_LATENCY_MS: f64 = 20.0;

/// Time without an answer after which the latency of a server expires.
const LATENCY_EXPIRY_MS: Millis = 2_000;

/// Factor on the latency of a primary for reads that replicas may serve: its slots are needed for
/// writes, which no other server can run.
const PRIMARY_LATENCY_FACTOR: f64 = 1.5;

/// Initial backoff of a replica that lacked a required position: half of the usual lag. It doubles
/// up to [`MAX_BEHIND_BACKOFF_MS`] while the replica stays behind.
const BEHIND_BACKOFF_MS: Millis = 30;

/// Maximum backoff of a replica that lacked a required position.
const MAX_BEHIND_BACKOFF_MS: Millis = 480;

/// Consecutive attempts that may find a replica behind before reads no longer wait for it. With the
/// backoff they span 210 ms, more than the usual lag.
const MAX_CATCH_UP_ATTEMPTS: u32 = 3;

/// Initial backoff of a server that failed a statement. It doubles up to
/// [`MAX_FAILURE_BACKOFF_MS`].
const FAILURE_BACKOFF_MS: Millis = 100;

/// Maximum backoff of a server that failed a statement.
const MAX_FAILURE_BACKOFF_MS: Millis = 1_600;

/// Initial backoff of a server whose queue was full: within it, the entry's part of the slots
/// becomes free. It doubles up to [`MAX_FULL_QUEUE_BACKOFF_MS`].
const FULL_QUEUE_BACKOFF_MS: Millis = 40;

/// Maximum backoff of a server whose queue was full.
const MAX_FULL_QUEUE_BACKOFF_MS: Millis = 320;

/// Observations of an entry about the servers.
#[derive(Debug, Default)]
pub struct ServerRecords {
    servers: BTreeMap<Arc<str>, ServerRecord>,
}

#[derive(Debug, Default)]
struct ServerRecord {
    latency: Option<f64>,
    answered_at: Millis,
    running: u32,
    position: Option<Position>,
    behind_until: Millis,
    behind_attempts: u32,
    failed_until: Millis,
    failures: u32,
    /// Time until which its queue is treated as full, and the lowest priority number that this
    /// applies to; greater numbers are less urgent.
    full_until: (Millis, u32),
    full_attempts: u32,
}

/// A server that may run a read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Server.
    pub server: Arc<str>,
    /// Statements that it can run at once.
    pub slots: u32,
    /// Whether it is the primary of the group.
    pub primary: bool,
    /// Whether its connections are owned in other regions only.
    pub remote: bool,
}

impl ServerRecords {
    /// Chooses the server with the lowest expected latency for a read. A replica is chosen only if
    /// it may have applied the required position; without one, only a primary is chosen.
    pub fn choose(
        &self,
        candidates: &[Candidate],
        required: Option<Position>,
        exclude: Option<&str>,
        now: Millis,
    ) -> Option<Arc<str>> {
        let usable = |c: &&Candidate| {
            exclude != Some(&*c.server)
                && (c.primary
                    || required
                        .is_some_and(|required| self.may_have_applied(&c.server, required, now)))
        };
        let healthy =
            |c: &&Candidate| self.servers.get(&c.server).is_none_or(|r| now >= r.failed_until);
        let known = candidates.iter().filter_map(|c| self.known_latency(&c.server, now));
        let lowest = known.min_by(f64::total_cmp).unwrap_or(UNKNOWN_LATENCY_MS);
        let cost = |c: &Candidate| {
            let weight = if c.primary { PRIMARY_LATENCY_FACTOR } else { 1.0 };
            self.expected_latency(c, lowest, now) * weight
        };
        let best = |list: Vec<&Candidate>| {
            let best = list.into_iter().min_by(|a, b| cost(a).total_cmp(&cost(b)));
            best.map(|c| c.server.clone())
        };
        let usable: Vec<&Candidate> = candidates.iter().filter(usable).collect();
        let available: Vec<&Candidate> = usable.iter().copied().filter(healthy).collect();
        best(available).or_else(|| best(usable))
    }

    fn may_have_applied(&self, server: &str, required: Position, now: Millis) -> bool {
        let Some(record) = self.servers.get(server) else { return true };
        now >= record.behind_until || record.position.is_some_and(|position| position >= required)
    }

    /// Average latency of a server that answered recently.
    fn known_latency(&self, server: &str, now: Millis) -> Option<f64> {
        let record = self.servers.get(server)?;
        record.latency.filter(|_| now < record.answered_at + LATENCY_EXPIRY_MS)
    }

    /// Expected latency of a candidate, if the lowest known one is `lowest`.
    fn expected_latency(&self, candidate: &Candidate, lowest: f64, now: Millis) -> f64 {
        let unknown =
            if candidate.remote { lowest + REMOTE_LATENCY_MS } else { UNKNOWN_LATENCY_MS };
        let latency = self.known_latency(&candidate.server, now).unwrap_or(unknown);
        let running = self.servers.get(&candidate.server).map_or(0, |record| record.running);
        latency * (1.0 + f64::from(running) / f64::from(candidate.slots.max(1)))
    }

    /// Records that a statement was sent.
    pub fn record_sent(&mut self, server: &Arc<str>) {
        self.servers.entry(server.clone()).or_default().running += 1;
    }

    /// Records the end of a statement, whatever its outcome.
    pub fn record_ended(&mut self, server: &str) {
        if let Some(record) = self.servers.get_mut(server) {
            record.running = record.running.saturating_sub(1);
        }
    }

    /// Records that a server ran a statement in `latency` milliseconds, with its log position `at`.
    pub fn record_answer(
        &mut self,
        server: &str,
        latency: Millis,
        at: Option<Position>,
        now: Millis,
    ) {
        let Some(record) = self.servers.get_mut(server) else { return };
        let sample = latency as f64;
        let known = record.latency.filter(|_| now < record.answered_at + LATENCY_EXPIRY_MS);
        record.latency =
            Some(known.map_or(sample, |known| known + (sample - known) * LATENCY_SAMPLE_WEIGHT));
        record.answered_at = now;
        record.position = at.max(record.position);
        record.behind_attempts = 0;
        record.failures = 0;
        record.failed_until = 0;
        record.full_until.0 = 0;
        record.full_attempts = 0;
    }

    /// Whether a replica is behind only briefly, so that waiting for it is worthwhile.
    pub fn is_catching_up(&self, server: &str) -> bool {
        self.servers
            .get(server)
            .is_some_and(|r| (1..=MAX_CATCH_UP_ATTEMPTS).contains(&r.behind_attempts))
    }

    /// Records that a job of `priority` found the queue of a server full.
    pub fn record_full_queue(&mut self, server: &str, priority: u32, now: Millis) {
        let Some(record) = self.servers.get_mut(server) else { return };
        record.full_until = (
            now + (FULL_QUEUE_BACKOFF_MS << record.full_attempts.min(4))
                .min(MAX_FULL_QUEUE_BACKOFF_MS),
            priority,
        );
        record.full_attempts += 1;
    }

    /// Whether the queue of a server is treated as full for jobs of `priority`.
    pub fn has_full_queue(&self, server: &str, priority: u32, now: Millis) -> bool {
        let full = self.servers.get(server).map(|record| record.full_until);
        full.is_some_and(|(until, from)| now < until && priority >= from)
    }

    /// Records that a replica with the log position `at` lacked the required one.
    pub fn record_behind(&mut self, server: &str, at: Option<Position>, now: Millis) {
        let Some(record) = self.servers.get_mut(server) else { return };
        record.behind_until =
            now + (BEHIND_BACKOFF_MS << record.behind_attempts.min(4)).min(MAX_BEHIND_BACKOFF_MS);
        record.behind_attempts += 1;
        record.position = at;
    }

    /// Records that a server did not run a statement that it should have run.
    pub fn record_failure(&mut self, server: &str, now: Millis) {
        let Some(record) = self.servers.get_mut(server) else { return };
        record.failed_until =
            now + (FAILURE_BACKOFF_MS << record.failures.min(4)).min(MAX_FAILURE_BACKOFF_MS);
        record.failures += 1;
    }

    /// Removes the records of servers that are not `known`.
    pub fn retain(&mut self, known: impl Fn(&str) -> bool) {
        self.servers.retain(|id, _| known(id));
    }
}
