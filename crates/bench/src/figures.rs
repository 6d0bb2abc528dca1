//! Computes the figures of a test run (design, section 8).

use std::collections::{BTreeMap, BTreeSet};

use hdrhistogram::Histogram;

use crate::{
    Error, Result,
    oracle::{self, TokenBucket, acknowledged_before, is_own_write, is_read},
    record::{self, ExecutedStatement, Kind, Outcome, Request},
    run_records::{Position, RunRecords},
};

/// Upper bound of the histogram; longer latencies count as this value.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Time after the start of a drain during which a server may still receive statements. Servers
/// announce every second, so the bound tolerates one lost announcement.
const DRAIN_GRACE_US: u64 = 3_000_000;

/// Names of the figures that must be 0 in every run.
pub const ZERO_FIGURES: [&str; 8] = [
    "lost_writes",
    "doubled",
    "stale_reads",
    "wrong_account",
    "not_run_but_ran",
    "over_rate",
    "keys_seen",
    "late_work",
];

/// Computes all figures, in output order.
///
/// # Errors
/// The latency histogram cannot be created.
pub fn compute_all(records: &RunRecords) -> Result<Vec<(String, f64)>> {
    let mut figures: Vec<(String, f64)> = Vec::new();
    let mut put = |name: &str, value: f64| figures.push((name.to_owned(), value));
    put("requests", records.requests.len() as f64);
    let done = records.requests.iter().filter(|r| r.outcome == Outcome::Done).count();
    put("done", done as f64);
    put("not_done", (records.requests.len() - done) as f64);
    let refused = records.requests.iter().filter(|r| r.outcome == Outcome::Limit).count();
    put("refused_limit", refused as f64);
    let refused = records.requests.iter().filter(|r| r.outcome == Outcome::Unavailable).count();
    put("refused_unavailable", refused as f64);
    let unknown = records.requests.iter().filter(|r| r.outcome == Outcome::Unknown).count();
    put("unknown", unknown as f64);
    put("lost_writes", lost_writes(records) as f64);
    put("doubled", doubled(records) as f64);
    put("stale_reads", stale_reads(records) as f64);
    put("wrong_account", wrong_account(records) as f64);
    put("not_run_but_ran", not_run_but_ran(records) as f64);
    let (count, early) = over_rate(records);
    put("over_rate", count as f64);
    put("over_rate_early_ms", early);
    put("keys_seen", records.groups.values().map(|g| g.key_sightings).sum::<u64>() as f64);
    put("late_work", late_work(records) as f64);
    put("wrongful_refusals", wrongful_refusals(records) as f64);
    put("excess_refusals", excess_refusals(records) as f64);
    put("cut_requests", cut_requests(records) as f64);
    put("worst_account_share", worst_account_share(records));
    put("replica_share", replica_share(records));
    put("replica_share_oracle", oracle::replica_share(records));
    if let Some(gap) = failover_gap(records) {
        put("failover_gap_ms", gap);
    }
    if let Some(time) = key_withdrawal(records) {
        put("key_withdrawal_ms", time);
    }
    if let Some(time) = config_spread(records) {
        put("config_spread_ms", time);
    }
    for (name, quantile) in [("p50_ms", 0.5), ("p99_ms", 0.99)] {
        put(name, latency(records, quantile)?);
    }
    Ok(figures)
}

/// Acknowledged writes that are missing from the last primary's log.
pub fn lost_writes(records: &RunRecords) -> usize {
    let mut logged_ids: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
    for (name, group) in &records.groups {
        let writes = group.log.iter().flat_map(|e| &e.writes);
        logged_ids.insert(name, writes.map(|w| record::request(&w.value)).collect());
    }
    let acknowledged = records.requests.iter().filter(|r| acknowledged_before(r, u64::MAX));
    acknowledged
        .filter(|r| {
            !logged_ids.get(r.group.as_str()).is_some_and(|ids| ids.contains(r.id.as_str()))
        })
        .count()
}

/// Non-idempotent requests that committed more than once, in a log or across all servers.
pub fn doubled(records: &RunRecords) -> usize {
    let once = records.requests.iter().filter(|r| r.kind == Kind::Once);
    let once: BTreeSet<&str> = once.map(|r| r.id.as_str()).collect();
    let (mut logged, mut ran) = (BTreeMap::<&str, u64>::new(), BTreeMap::<&str, u64>::new());
    for group in records.groups.values() {
        for write in group.log.iter().flat_map(|e| &e.writes) {
            *logged.entry(record::request(&write.value)).or_default() += 1;
        }
        for run in group.statements.iter().filter(|r| r.write && r.committed) {
            *ran.entry(&run.request).or_default() += 1;
        }
    }
    let count = |counts: &BTreeMap<&str, u64>, id: &str| counts.get(id).copied().unwrap_or(0);
    once.into_iter().filter(|id| count(&logged, id).max(count(&ran, id)) > 1).count()
}

/// Reads that missed a write of their own session, or a write older than the maximum staleness.
pub fn stale_reads(records: &RunRecords) -> usize {
    let positions: BTreeMap<&str, BTreeMap<&str, Position>> =
        records.groups.iter().map(|(name, g)| (name.as_str(), g.positions())).collect();
    let mut writes: BTreeMap<(&str, &str, &str), Vec<&Request>> = BTreeMap::new();
    for write in records.requests.iter().filter(|r| acknowledged_before(r, u64::MAX)) {
        writes.entry((&write.group, &write.table, &write.key)).or_default().push(write);
    }
    let served = records.requests.iter().filter(|r| is_read(r) && r.outcome == Outcome::Done);
    let stale = served.filter(|read| {
        let Some(positions) = positions.get(read.group.as_str()) else { return false };
        let account = records.template.accounts.get(&read.account);
        let age = account.map_or(0, |a| a.age * 1000);
        let key = (read.group.as_str(), read.table.as_str(), read.key.as_str());
        let due = writes.get(&key).into_iter().flatten();
        let due = due.filter(|w| {
            is_own_write(w, read) || acknowledged_before(w, read.sent - age.min(read.sent))
        });
        let required = due.filter_map(|w| positions.get(w.id.as_str())).max();
        let seen = positions.get(record::request(&read.value)).copied().unwrap_or_default();
        required.is_some_and(|required| seen < *required)
    });
    stale.count()
}

/// Statements that ran under a client account other than the request's, and reads that returned
/// the value of another key.
pub fn wrong_account(records: &RunRecords) -> usize {
    let accounts: BTreeMap<&str, &str> =
        records.requests.iter().map(|r| (r.id.as_str(), r.account.as_str())).collect();
    let ran = records.groups.values().flat_map(|g| &g.statements);
    let wrong = ran.filter(|r| accounts.get(r.request.as_str()).is_some_and(|a| *a != r.account));
    let crossed = records.requests.iter().filter(|r| {
        let key = r.value.split_once('|').map_or("", |(_, key)| key);
        is_read(r) && r.outcome == Outcome::Done && !r.value.is_empty() && key != r.key
    });
    wrong.count() + crossed.count()
}

/// Requests refused as "not run" that a server ran. A transaction counts only if it committed,
/// because its statements run before the commit can be refused. Retransmitted requests are
/// excluded, because the refusal covers only the last attempt.
pub fn not_run_but_ran(records: &RunRecords) -> usize {
    let refused = records.requests.iter().filter(|r| r.outcome.not_run() && r.tries == 1);
    let refused: BTreeSet<&str> = refused.map(|r| r.id.as_str()).collect();
    let ran = records.groups.values().flat_map(|g| &g.statements);
    let ran = ran.filter(|r| r.transaction.is_none() || r.committed);
    ran.filter(|r| refused.contains(r.request.as_str()))
        .map(|r| &r.request)
        .collect::<BTreeSet<_>>()
        .len()
}

/// Requests at the servers that exceed burst + rate * T in some window of length T, and the
/// largest time by which one came too early, in milliseconds. A request that ran several times
/// counts once, at its first execution. There is no allowance for jitter between admission and
/// server, so an early arrival of microseconds indicates such jitter.
pub fn over_rate(records: &RunRecords) -> (usize, f64) {
    let mut ran: Vec<&ExecutedStatement> =
        records.groups.values().flat_map(|g| &g.statements).collect();
    ran.sort_by_key(|r| r.time);
    let mut seen = BTreeSet::new();
    let mut buckets: BTreeMap<&str, TokenBucket> = BTreeMap::new();
    for (name, account) in &records.template.accounts {
        buckets.insert(name, TokenBucket::new(account));
    }
    let first = ran.into_iter().filter(|r| seen.insert(r.request.as_str()));
    let early = first.filter_map(|r| {
        let bucket = buckets.get_mut(r.account.as_str())?;
        (!bucket.take(r.time)).then(|| bucket.refill_wait_ms())
    });
    early.fold((0, 0.0), |(count, most), time| (count + 1, f64::max(most, time)))
}

/// Requests refused by the rate limit that an exact token bucket would have admitted.
pub fn wrongful_refusals(records: &RunRecords) -> usize {
    let admitted = oracle::admitted_requests(records);
    let refused = records.requests.iter().filter(|r| r.outcome == Outcome::Limit);
    refused.filter(|r| admitted.contains(r.id.as_str())).count()
}

/// Rate limit refusals in excess of those of an exact token bucket, summed over all client
/// accounts. While a client account exceeds its rate, the order of arrivals that are microseconds
/// apart decides which request gets the next token; `wrongful_refusals` counts each request for
/// which the decision differs, this figure does not.
pub fn excess_refusals(records: &RunRecords) -> u64 {
    let admitted = oracle::admitted_requests(records);
    let mut counts: BTreeMap<&str, (u64, u64)> = BTreeMap::new();
    for request in &records.requests {
        let (refused, due) = counts.entry(&request.account).or_default();
        *refused += u64::from(request.outcome == Outcome::Limit);
        *due += u64::from(!admitted.contains(request.id.as_str()));
    }
    counts.values().map(|(refused, due)| refused.saturating_sub(*due)).sum()
}

/// Requests that were sent and received no response.
pub fn cut_requests(records: &RunRecords) -> usize {
    records.requests.iter().filter(|r| r.outcome == Outcome::None && r.sent > 0).count()
}

/// Lowest ratio, over all client accounts, of served requests to requests within the rate.
pub fn worst_account_share(records: &RunRecords) -> f64 {
    let admitted = oracle::admitted_requests(records);
    let mut counts: BTreeMap<&str, (f64, f64)> = BTreeMap::new();
    for request in &records.requests {
        let (done, due) = counts.entry(&request.account).or_default();
        *done += f64::from(u8::from(request.outcome == Outcome::Done));
        *due += f64::from(u8::from(admitted.contains(request.id.as_str())));
    }
    let shares = counts.values().filter(|c| c.1 > 0.0).map(|(done, due)| done / due);
    shares.fold(1.0, f64::min)
}

/// Fraction of the load's reads outside of transactions that replicas served, according to the
/// records of the servers.
pub fn replica_share(records: &RunRecords) -> f64 {
    let sent = records.requests.iter().filter(|r| is_read(r));
    let sent: BTreeSet<&str> = sent.map(|r| r.id.as_str()).collect();
    let ran = records.groups.values().flat_map(|g| &g.statements);
    let ran = ran.filter(|r| !r.write && r.committed && r.transaction.is_none());
    let reads: Vec<&ExecutedStatement> =
        ran.filter(|r| sent.contains(r.request.as_str())).collect();
    let replica = reads.iter().filter(|r| !r.primary).count();
    if reads.is_empty() { 1.0 } else { replica as f64 / reads.len() as f64 }
}

/// Longest time without an acknowledged write in a database group after its `failover GROUP`
/// mark, in milliseconds.
pub fn failover_gap(records: &RunRecords) -> Option<f64> {
    let marks = records.marks.iter().filter_map(|m| Some((m.name.strip_prefix("failover ")?, m)));
    let gaps = marks.map(|(group, mark)| {
        let writes = records.requests.iter().filter(|r| r.group == group);
        let mut times: Vec<u64> =
            writes.filter(|r| acknowledged_before(r, u64::MAX)).map(|r| r.answered).collect();
        times.sort_unstable();
        let last = times.partition_point(|t| *t < mark.time).saturating_sub(1);
        let after = times.get(last..).unwrap_or_default();
        let gap = after.windows(2).map(|pair| pair[1] - pair[0]).max();
        gap.map_or(f64::INFINITY, |gap| gap as f64 / 1000.0)
    });
    gaps.reduce(f64::max)
}

/// Time from a `withdrawn ACCOUNT` mark to the last statement that ran for it, in milliseconds.
pub fn key_withdrawal(records: &RunRecords) -> Option<f64> {
    let marks = records.marks.iter().filter_map(|m| Some((m.name.strip_prefix("withdrawn ")?, m)));
    let times = marks.map(|(account, mark)| {
        let ran = records.groups.values().flat_map(|g| &g.statements);
        let last = ran.filter(|r| r.account == account).map(|r| r.time).max().unwrap_or(0);
        last.saturating_sub(mark.time) as f64 / 1000.0
    });
    times.reduce(f64::max)
}

/// Statements that a server received more than `DRAIN_GRACE_US` after its `drained SERVER` mark
/// (P11).
pub fn late_work(records: &RunRecords) -> usize {
    let marks = records.marks.iter().filter_map(|m| Some((m.name.strip_prefix("drained ")?, m)));
    let late = marks.map(|(server, mark)| {
        let ran = records.groups.values().flat_map(|g| &g.statements);
        ran.filter(|r| r.server == server && r.time > mark.time + DRAIN_GRACE_US).count()
    });
    late.sum()
}

/// Time from a `change ID` mark to its last `in force ID` mark, in milliseconds.
pub fn config_spread(records: &RunRecords) -> Option<f64> {
    let changes = records.marks.iter().filter_map(|m| Some((m.name.strip_prefix("change ")?, m)));
    let times = changes.map(|(id, change)| {
        let all = records.marks.iter().filter(|m| m.name.strip_prefix("in force ") == Some(id));
        let last = all.map(|m| m.time).max();
        last.map_or(f64::INFINITY, |t| t.saturating_sub(change.time) as f64 / 1000.0)
    });
    times.reduce(f64::max)
}

/// Latency quantile of served requests from intended time to answer, in milliseconds. Batch reads
/// are excluded, because no caller waits for them.
fn latency(records: &RunRecords, quantile: f64) -> Result<f64> {
    let histogram = Histogram::<u64>::new_with_bounds(1, MAX_LATENCY_US, 3);
    let mut histogram = histogram.map_err(|e| Error::Input(e.to_string()))?;
    let served = records.requests.iter().filter(|r| r.outcome == Outcome::Done);
    for request in served.filter(|r| r.kind != Kind::Batch) {
        histogram.saturating_record(request.answered.saturating_sub(request.intended));
    }
    Ok(histogram.value_at_quantile(quantile) as f64 / 1000.0)
}
