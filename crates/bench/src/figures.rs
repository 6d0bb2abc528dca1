//! The figures of a run (design, section 8).

use std::collections::{BTreeMap, BTreeSet};

use hdrhistogram::Histogram;

use crate::{
    Error, Result,
    evidence::{Evidence, Position},
    oracle::{self, Bucket, answered_before, is_read, own},
    record::{self, Kind, Outcome, Ran, Request},
};

/// Latencies above this are counted as this, in microseconds.
const MAX_LATENCY: u64 = 60_000_000;

/// Time in which a departing server still gets work, in microseconds; announcements come every
/// second, so it allows for one that is lost.
const DRAIN_TIME: u64 = 3_000_000;

/// Figures that must be 0 in every run.
pub const ZERO: [&str; 8] = [
    "lost_writes",
    "doubled",
    "stale_reads",
    "wrong_account",
    "not_run_but_ran",
    "over_rate",
    "keys_seen",
    "late_work",
];

/// All figures, in the order of output.
///
/// # Errors
/// The latencies cannot be counted.
pub fn all(evidence: &Evidence) -> Result<Vec<(String, f64)>> {
    let mut figures: Vec<(String, f64)> = Vec::new();
    let mut put = |name: &str, value: f64| figures.push((name.to_owned(), value));
    put("requests", evidence.requests.len() as f64);
    let done = evidence.requests.iter().filter(|r| r.outcome == Outcome::Done).count();
    put("done", done as f64);
    put("not_done", (evidence.requests.len() - done) as f64);
    let refused = evidence.requests.iter().filter(|r| r.outcome == Outcome::Limit).count();
    put("refused_limit", refused as f64);
    let refused = evidence.requests.iter().filter(|r| r.outcome == Outcome::Unavailable).count();
    put("refused_unavailable", refused as f64);
    let unknown = evidence.requests.iter().filter(|r| r.outcome == Outcome::Unknown).count();
    put("unknown", unknown as f64);
    put("lost_writes", lost_writes(evidence) as f64);
    put("doubled", doubled(evidence) as f64);
    put("stale_reads", stale_reads(evidence) as f64);
    put("wrong_account", wrong_account(evidence) as f64);
    put("not_run_but_ran", not_run_but_ran(evidence) as f64);
    let (count, early) = over_rate(evidence);
    put("over_rate", count as f64);
    put("over_rate_early_ms", early);
    put("keys_seen", evidence.groups.values().map(|g| g.keys).sum::<u64>() as f64);
    put("late_work", late_work(evidence) as f64);
    put("wrongful_refusals", wrongful_refusals(evidence) as f64);
    put("excess_refusals", excess_refusals(evidence) as f64);
    put("cut_requests", cut_requests(evidence) as f64);
    put("worst_account_share", worst_account_share(evidence));
    put("replica_share", replica_share(evidence));
    put("replica_share_oracle", oracle::replica_share(evidence));
    if let Some(gap) = failover_gap(evidence) {
        put("failover_gap_ms", gap);
    }
    if let Some(time) = key_withdrawal(evidence) {
        put("key_withdrawal_ms", time);
    }
    if let Some(time) = config_spread(evidence) {
        put("config_spread_ms", time);
    }
    for (name, quantile) in [("p50_ms", 0.5), ("p99_ms", 0.99)] {
        put(name, latency(evidence, quantile)?);
    }
    Ok(figures)
}

/// Acknowledged writes that the last primary's log does not hold.
pub fn lost_writes(evidence: &Evidence) -> usize {
    let mut held: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
    for (name, group) in &evidence.groups {
        let writes = group.log.iter().flat_map(|e| &e.writes);
        held.insert(name, writes.map(|w| record::request(&w.value)).collect());
    }
    let acknowledged = evidence.requests.iter().filter(|r| answered_before(r, u64::MAX));
    acknowledged
        .filter(|r| !held.get(r.group.as_str()).is_some_and(|ids| ids.contains(r.id.as_str())))
        .count()
}

/// Non-idempotent requests that took effect more than once, in a log or over all servers.
pub fn doubled(evidence: &Evidence) -> usize {
    let once = evidence.requests.iter().filter(|r| r.kind == Kind::Once);
    let once: BTreeSet<&str> = once.map(|r| r.id.as_str()).collect();
    let (mut logged, mut ran) = (BTreeMap::<&str, u64>::new(), BTreeMap::<&str, u64>::new());
    for group in evidence.groups.values() {
        for write in group.log.iter().flat_map(|e| &e.writes) {
            *logged.entry(record::request(&write.value)).or_default() += 1;
        }
        for run in group.ran.iter().filter(|r| r.write && r.committed) {
            *ran.entry(&run.request).or_default() += 1;
        }
    }
    let count = |counts: &BTreeMap<&str, u64>, id: &str| counts.get(id).copied().unwrap_or(0);
    once.into_iter().filter(|id| count(&logged, id).max(count(&ran, id)) > 1).count()
}

/// Reads that missed a write of their own session, or one older than the accepted age.
pub fn stale_reads(evidence: &Evidence) -> usize {
    let positions: BTreeMap<&str, BTreeMap<&str, Position>> =
        evidence.groups.iter().map(|(name, g)| (name.as_str(), g.positions())).collect();
    let mut writes: BTreeMap<(&str, &str, &str), Vec<&Request>> = BTreeMap::new();
    for write in evidence.requests.iter().filter(|r| answered_before(r, u64::MAX)) {
        writes.entry((&write.group, &write.table, &write.key)).or_default().push(write);
    }
    let served = evidence.requests.iter().filter(|r| is_read(r) && r.outcome == Outcome::Done);
    let stale = served.filter(|read| {
        let Some(positions) = positions.get(read.group.as_str()) else { return false };
        let account = evidence.template.accounts.get(&read.account);
        let age = account.map_or(0, |a| a.age * 1000);
        let key = (read.group.as_str(), read.table.as_str(), read.key.as_str());
        let due = writes.get(&key).into_iter().flatten();
        let due =
            due.filter(|w| own(w, read) || answered_before(w, read.sent - age.min(read.sent)));
        let floor = due.filter_map(|w| positions.get(w.id.as_str())).max();
        let seen = positions.get(record::request(&read.value)).copied().unwrap_or_default();
        floor.is_some_and(|floor| seen < *floor)
    });
    stale.count()
}

/// Statements that ran under another client account than the request's, and reads that got
/// another key's value.
pub fn wrong_account(evidence: &Evidence) -> usize {
    let accounts: BTreeMap<&str, &str> =
        evidence.requests.iter().map(|r| (r.id.as_str(), r.account.as_str())).collect();
    let ran = evidence.groups.values().flat_map(|g| &g.ran);
    let wrong = ran.filter(|r| accounts.get(r.request.as_str()).is_some_and(|a| *a != r.account));
    let crossed = evidence.requests.iter().filter(|r| {
        let key = r.value.split_once('|').map_or("", |(_, key)| key);
        is_read(r) && r.outcome == Outcome::Done && !r.value.is_empty() && key != r.key
    });
    wrong.count() + crossed.count()
}

/// Requests refused as "not run" that a server ran. A transaction counts only if it committed,
/// since its statements run before a refusal of the commit. A request that was sent twice is left
/// out, since the refusal speaks of the second time only.
pub fn not_run_but_ran(evidence: &Evidence) -> usize {
    let refused = evidence.requests.iter().filter(|r| r.outcome.not_run() && r.tries == 1);
    let refused: BTreeSet<&str> = refused.map(|r| r.id.as_str()).collect();
    let ran = evidence.groups.values().flat_map(|g| &g.ran);
    let ran = ran.filter(|r| r.transaction.is_none() || r.committed);
    ran.filter(|r| refused.contains(r.request.as_str()))
        .map(|r| &r.request)
        .collect::<BTreeSet<_>>()
        .len()
}

/// Requests at the servers beyond burst + rate * T in some window of length T, and the most that
/// one of them came too early, in milliseconds. A request that ran several times counts once, at
/// its first time. Nothing is allowed for the way from admission to the server, so a time of
/// microseconds points to requests that drew closer on that way.
pub fn over_rate(evidence: &Evidence) -> (usize, f64) {
    let mut ran: Vec<&Ran> = evidence.groups.values().flat_map(|g| &g.ran).collect();
    ran.sort_by_key(|r| r.time);
    let mut seen = BTreeSet::new();
    let mut buckets: BTreeMap<&str, Bucket> = BTreeMap::new();
    for (name, account) in &evidence.template.accounts {
        buckets.insert(name, Bucket::new(account));
    }
    let first = ran.into_iter().filter(|r| seen.insert(r.request.as_str()));
    let early = first.filter_map(|r| {
        let bucket = buckets.get_mut(r.account.as_str())?;
        (!bucket.take(r.time)).then(|| bucket.wait())
    });
    early.fold((0, 0.0), |(count, most), time| (count + 1, f64::max(most, time)))
}

/// Requests refused for their rate although an exact token bucket would have admitted them.
pub fn wrongful_refusals(evidence: &Evidence) -> usize {
    let admitted = oracle::admitted(evidence);
    let refused = evidence.requests.iter().filter(|r| r.outcome == Outcome::Limit);
    refused.filter(|r| admitted.contains(r.id.as_str())).count()
}

/// Refusals for the rate beyond the number that an exact token bucket makes, over all client
/// accounts. While a client account sends more than its rate, the order of arrivals that are
/// microseconds apart decides which request gets the next token, and `wrongful_refusals` counts
/// each one that differs; this figure does not.
pub fn excess_refusals(evidence: &Evidence) -> u64 {
    let admitted = oracle::admitted(evidence);
    let mut counts: BTreeMap<&str, (u64, u64)> = BTreeMap::new();
    for request in &evidence.requests {
        let (refused, due) = counts.entry(&request.account).or_default();
        *refused += u64::from(request.outcome == Outcome::Limit);
        *due += u64::from(!admitted.contains(request.id.as_str()));
    }
    counts.values().map(|(refused, due)| refused.saturating_sub(*due)).sum()
}

/// Requests that were sent and got no answer.
pub fn cut_requests(evidence: &Evidence) -> usize {
    evidence.requests.iter().filter(|r| r.outcome == Outcome::None && r.sent > 0).count()
}

/// Served share of the worst-served client account's due: the requests within its rate.
pub fn worst_account_share(evidence: &Evidence) -> f64 {
    let admitted = oracle::admitted(evidence);
    let mut counts: BTreeMap<&str, (f64, f64)> = BTreeMap::new();
    for request in &evidence.requests {
        let (done, due) = counts.entry(&request.account).or_default();
        *done += f64::from(u8::from(request.outcome == Outcome::Done));
        *due += f64::from(u8::from(admitted.contains(request.id.as_str())));
    }
    let shares = counts.values().filter(|c| c.1 > 0.0).map(|(done, due)| done / due);
    shares.fold(1.0, f64::min)
}

/// Share of the load's reads outside of transactions that replicas served, by the servers' record.
pub fn replica_share(evidence: &Evidence) -> f64 {
    let sent = evidence.requests.iter().filter(|r| is_read(r));
    let sent: BTreeSet<&str> = sent.map(|r| r.id.as_str()).collect();
    let ran = evidence.groups.values().flat_map(|g| &g.ran);
    let ran = ran.filter(|r| !r.write && r.committed && r.transaction.is_none());
    let reads: Vec<&Ran> = ran.filter(|r| sent.contains(r.request.as_str())).collect();
    let replica = reads.iter().filter(|r| !r.primary).count();
    if reads.is_empty() { 1.0 } else { replica as f64 / reads.len() as f64 }
}

/// Longest time without an acknowledged write in a group, from its first `failover GROUP` mark
/// on, in milliseconds.
pub fn failover_gap(evidence: &Evidence) -> Option<f64> {
    let marks = evidence.marks.iter().filter_map(|m| Some((m.name.strip_prefix("failover ")?, m)));
    let gaps = marks.map(|(group, mark)| {
        let writes = evidence.requests.iter().filter(|r| r.group == group);
        let mut times: Vec<u64> =
            writes.filter(|r| answered_before(r, u64::MAX)).map(|r| r.answered).collect();
        times.sort_unstable();
        let last = times.partition_point(|t| *t < mark.time).saturating_sub(1);
        let after = times.get(last..).unwrap_or_default();
        let gap = after.windows(2).map(|pair| pair[1] - pair[0]).max();
        gap.map_or(f64::INFINITY, |gap| gap as f64 / 1000.0)
    });
    gaps.reduce(f64::max)
}

/// Time from a `withdrawn ACCOUNT` mark to the last statement that ran for it, in milliseconds.
pub fn key_withdrawal(evidence: &Evidence) -> Option<f64> {
    let marks = evidence.marks.iter().filter_map(|m| Some((m.name.strip_prefix("withdrawn ")?, m)));
    let times = marks.map(|(account, mark)| {
        let ran = evidence.groups.values().flat_map(|g| &g.ran);
        let last = ran.filter(|r| r.account == account).map(|r| r.time).max().unwrap_or(0);
        last.saturating_sub(mark.time) as f64 / 1000.0
    });
    times.reduce(f64::max)
}

/// Statements that a server got later than [`DRAIN_TIME`] after its `drained SERVER` mark (P11).
pub fn late_work(evidence: &Evidence) -> usize {
    let marks = evidence.marks.iter().filter_map(|m| Some((m.name.strip_prefix("drained ")?, m)));
    let late = marks.map(|(server, mark)| {
        let ran = evidence.groups.values().flat_map(|g| &g.ran);
        ran.filter(|r| r.server == server && r.time > mark.time + DRAIN_TIME).count()
    });
    late.sum()
}

/// Time from a `change ID` mark to its last `in force ID` mark, in milliseconds.
pub fn config_spread(evidence: &Evidence) -> Option<f64> {
    let changes = evidence.marks.iter().filter_map(|m| Some((m.name.strip_prefix("change ")?, m)));
    let times = changes.map(|(id, change)| {
        let all = evidence.marks.iter().filter(|m| m.name.strip_prefix("in force ") == Some(id));
        let last = all.map(|m| m.time).max();
        last.map_or(f64::INFINITY, |t| t.saturating_sub(change.time) as f64 / 1000.0)
    });
    times.reduce(f64::max)
}

/// Quantile of the time from the intended time to the answer of served requests that somebody
/// waits for, in milliseconds.
fn latency(evidence: &Evidence, quantile: f64) -> Result<f64> {
    let histogram = Histogram::<u64>::new_with_bounds(1, MAX_LATENCY, 3);
    let mut histogram = histogram.map_err(|e| Error::Input(e.to_string()))?;
    let served = evidence.requests.iter().filter(|r| r.outcome == Outcome::Done);
    for request in served.filter(|r| r.kind != Kind::Batch) {
        histogram.saturating_record(request.answered.saturating_sub(request.intended));
    }
    Ok(histogram.value_at_quantile(quantile) as f64 / 1000.0)
}
