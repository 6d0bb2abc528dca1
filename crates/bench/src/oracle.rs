//! What an ideal system would have done with the recorded requests.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    deployment::Account,
    evidence::{Evidence, Group, Position},
    record::{Kind, Outcome, Request},
};

/// Rounding of token levels; a request costs one token.
const ROUNDING: f64 = 1e-6;

/// An exact token bucket, full at the start.
#[derive(Debug, Clone)]
pub struct Bucket {
    rate: f64,
    burst: f64,
    level: f64,
    time: Option<u64>,
}

impl Bucket {
    /// A full bucket.
    pub fn new(account: &Account) -> Bucket {
        Bucket { rate: account.rate, burst: account.burst, level: account.burst, time: None }
    }

    /// Takes a token at `time`, in microseconds; `false` if there is none.
    pub fn take(&mut self, time: u64) -> bool {
        let passed = time.saturating_sub(self.time.unwrap_or(time)) as f64 / 1e6;
        self.time = Some(time);
        self.level = (self.level + passed * self.rate).min(self.burst);
        let enough = self.level + ROUNDING >= 1.0;
        if enough {
            self.level -= 1.0;
        }
        enough
    }

    /// Time until there is a token again, in milliseconds.
    pub fn wait(&self) -> f64 {
        ((1.0 - self.level) / self.rate * 1000.0).max(0.0)
    }
}

/// Requests that an exact token bucket over the intended arrivals admits.
pub fn admitted(evidence: &Evidence) -> BTreeSet<&str> {
    let mut requests: Vec<&Request> = evidence.requests.iter().collect();
    requests.sort_by_key(|r| r.intended);
    let mut buckets: BTreeMap<&str, Bucket> = BTreeMap::new();
    for (name, account) in &evidence.template.accounts {
        buckets.insert(name, Bucket::new(account));
    }
    let take = |r: &&Request| {
        buckets.get_mut(r.account.as_str()).is_some_and(|bucket| bucket.take(r.intended))
    };
    requests.into_iter().filter(take).map(|r| r.id.as_str()).collect()
}

/// Whether `write` is one that `read` must see by its session: a client without a session has the
/// position of its whole client account.
pub fn own(write: &Request, read: &Request) -> bool {
    let session = read.session.is_empty() || read.session == write.session;
    session && read.account == write.account && answered_before(write, read.sent)
}

/// Whether `write` was acknowledged before `time`.
pub fn answered_before(write: &Request, time: u64) -> bool {
    let write_kind = matches!(write.kind, Kind::Write | Kind::Once);
    write_kind && write.outcome == Outcome::Done && write.answered <= time
}

/// Share of the served reads that some replica could have served: it had applied the position of
/// the session, and all that was committed until the accepted age before the read.
pub fn replica_share(evidence: &Evidence) -> f64 {
    let (mut able, mut total) = (0, 0);
    for (name, group) in &evidence.groups {
        let oracle = Replicas::new(group);
        let positions = group.positions();
        let requests: Vec<&Request> =
            evidence.requests.iter().filter(|r| r.group == *name).collect();
        let writes: Vec<&Request> =
            requests.iter().copied().filter(|r| answered_before(r, u64::MAX)).collect();
        let times: BTreeMap<&str, u64> =
            group.ran.iter().rev().map(|r| (r.request.as_str(), r.time)).collect();
        for read in requests {
            let served = read.outcome == Outcome::Done;
            let Some(time) = times.get(read.id.as_str()).filter(|_| served && is_read(read)) else {
                continue;
            };
            let account = evidence.template.accounts.get(&read.account);
            let age = account.map_or(0, |a| a.age * 1000);
            let own = writes.iter().filter(|w| own(w, read));
            let floor = own.filter_map(|w| positions.get(w.id.as_str())).max().copied();
            total += 1;
            able += u64::from(oracle.able(*time, age, floor.unwrap_or_default()));
        }
    }
    if total == 0 { 1.0 } else { able as f64 / f64::from(total) }
}

/// Whether a request only reads.
pub fn is_read(request: &Request) -> bool {
    matches!(request.kind, Kind::Read | Kind::Batch)
}

/// Visible positions of the replicas of a group and the commits of its primaries, by time.
struct Replicas<'a> {
    applied: BTreeMap<&'a str, Vec<(u64, Position)>>,
    commits: Vec<(u64, Position)>,
}

impl Replicas<'_> {
    fn new(group: &Group) -> Replicas<'_> {
        let mut applied: BTreeMap<&str, Vec<(u64, Position)>> = BTreeMap::new();
        for (server, time, position) in &group.applied {
            applied.entry(server).or_default().push((*time, *position));
        }
        let commits = group.ran.iter().filter(|r| r.write && r.committed);
        Replicas { applied, commits: commits.map(|r| (r.time, (r.term, r.position))).collect() }
    }

    fn able(&self, time: u64, age: u64, floor: Position) -> bool {
        let old = last(&self.commits, time.saturating_sub(age));
        let floor = floor.max(old);
        self.applied.values().any(|positions| last(positions, time) >= floor)
    }
}

/// The position in force at `time`, of positions that are sorted by time.
fn last(positions: &[(u64, Position)], time: u64) -> Position {
    let end = positions.partition_point(|(t, _)| *t <= time);
    end.checked_sub(1).map_or((0, 0), |at| positions[at].1)
}
