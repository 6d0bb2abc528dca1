//! Reference model: the decisions of an ideal system for the recorded requests.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    deployment::Account,
    record::{Kind, Outcome, Request},
    run_records::{GroupRecords, Position, RunRecords},
};

/// Tolerance for rounding errors of token levels; a request costs one token.
const TOKEN_ROUNDING: f64 = 1e-6;

/// An exact token bucket that starts full.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    rate: f64,
    burst: f64,
    level: f64,
    time: Option<u64>,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub fn new(account: &Account) -> TokenBucket {
        TokenBucket { rate: account.rate, burst: account.burst, level: account.burst, time: None }
    }

    /// Takes a token at `time`, in microseconds; `false` if there is none.
    pub fn take(&mut self, time: u64) -> bool {
        let passed = time.saturating_sub(self.time.unwrap_or(time)) as f64 / 1e6;
        self.time = Some(time);
        self.level = (self.level + passed * self.rate).min(self.burst);
        let enough = self.level + TOKEN_ROUNDING >= 1.0;
        if enough {
            self.level -= 1.0;
        }
        enough
    }

    /// Time until a token is available, in milliseconds.
    pub fn refill_wait_ms(&self) -> f64 {
        ((1.0 - self.level) / self.rate * 1000.0).max(0.0)
    }
}

/// Requests that an exact token bucket over the intended arrivals admits.
pub fn admitted_requests(records: &RunRecords) -> BTreeSet<&str> {
    let mut requests: Vec<&Request> = records.requests.iter().collect();
    requests.sort_by_key(|r| r.intended);
    let mut buckets: BTreeMap<&str, TokenBucket> = BTreeMap::new();
    for (name, account) in &records.template.accounts {
        buckets.insert(name, TokenBucket::new(account));
    }
    let take = |r: &&Request| {
        buckets.get_mut(r.account.as_str()).is_some_and(|bucket| bucket.take(r.intended))
    };
    requests.into_iter().filter(take).map(|r| r.id.as_str()).collect()
}

/// Whether `read` must see `write` because of its session. A client without a session must see all
/// writes of its client account.
pub fn is_own_write(write: &Request, read: &Request) -> bool {
    let session = read.session.is_empty() || read.session == write.session;
    session && read.account == write.account && acknowledged_before(write, read.sent)
}

/// Whether `write` was acknowledged before `time`.
pub fn acknowledged_before(write: &Request, time: u64) -> bool {
    let write_kind = matches!(write.kind, Kind::Write | Kind::Once);
    write_kind && write.outcome == Outcome::Done && write.answered <= time
}

/// Fraction of the served reads that some replica could have served: one that had applied the
/// required position of the session and all commits older than the maximum staleness.
pub fn replica_share(records: &RunRecords) -> f64 {
    let (mut servable, mut total) = (0, 0);
    for (name, group) in &records.groups {
        let oracle = ReplicaTimeline::new(group);
        let positions = group.positions();
        let requests: Vec<&Request> =
            records.requests.iter().filter(|r| r.group == *name).collect();
        let writes: Vec<&Request> =
            requests.iter().copied().filter(|r| acknowledged_before(r, u64::MAX)).collect();
        let times: BTreeMap<&str, u64> =
            group.statements.iter().rev().map(|r| (r.request.as_str(), r.time)).collect();
        for read in requests {
            let served = read.outcome == Outcome::Done;
            let Some(time) = times.get(read.id.as_str()).filter(|_| served && is_read(read)) else {
                continue;
            };
            let account = records.template.accounts.get(&read.account);
            let age = account.map_or(0, |a| a.age * 1000);
            let own = writes.iter().filter(|w| is_own_write(w, read));
            let required = own.filter_map(|w| positions.get(w.id.as_str())).max().copied();
            total += 1;
            servable += u64::from(oracle.can_serve(*time, age, required.unwrap_or_default()));
        }
    }
    if total == 0 { 1.0 } else { servable as f64 / f64::from(total) }
}

/// Whether a request only reads.
pub fn is_read(request: &Request) -> bool {
    matches!(request.kind, Kind::Read | Kind::Batch)
}

/// Applied positions of the replicas of a group and commits of its primaries, sorted by time.
struct ReplicaTimeline<'a> {
    applied: BTreeMap<&'a str, Vec<(u64, Position)>>,
    commits: Vec<(u64, Position)>,
}

impl ReplicaTimeline<'_> {
    fn new(group: &GroupRecords) -> ReplicaTimeline<'_> {
        let mut applied: BTreeMap<&str, Vec<(u64, Position)>> = BTreeMap::new();
        for (server, time, position) in &group.applied {
            applied.entry(server).or_default().push((*time, *position));
        }
        let commits = group.statements.iter().filter(|r| r.write && r.committed);
        ReplicaTimeline {
            applied,
            commits: commits.map(|r| (r.time, (r.term, r.position))).collect(),
        }
    }

    fn can_serve(&self, time: u64, age: u64, required: Position) -> bool {
        let old = position_at(&self.commits, time.saturating_sub(age));
        let required = required.max(old);
        self.applied.values().any(|positions| position_at(positions, time) >= required)
    }
}

/// Latest position at `time`, from positions sorted by time.
fn position_at(positions: &[(u64, Position)], time: u64) -> Position {
    let end = positions.partition_point(|(t, _)| *t <= time);
    end.checked_sub(1).map_or((0, 0), |at| positions[at].1)
}
