//! Rates of client accounts, spread over the entries that admit their operations.
//!
//! The control leader grants each entry a rate share of an account according to its demand and
//! keeps the rest, with the burst, in a pool. An entry admits operations from its rate share and
//! requests tokens from the pool when that is used up. An entry that sees few operations of an
//! account forwards them to a regional limiter (see [`crate::regional_limiters`]), which sees those
//! of all entries near it.
//!
//! A grant counts until it has expired at the entry, even if the entry is unresponsive or cut off:
//! the sum of all rate shares never exceeds the rate, and the prefetch of all entries plus the pool
//! never exceeds the burst.

use std::{collections::BTreeMap, sync::Arc};

use auburnlug_state::{Millis, Name};

/// Fraction of a rate that is granted as rate shares. The rest fills the pool, which serves entries
/// whose demand rises faster than their rate share.
const RATE_SHARE_FRACTION: f64 = 0.85;

/// Time after which a rate share expires at its entry, counted from the sending of the last renewal
/// that was granted. Longer than an election and than the network partitions during which an entry
/// must go on serving.
pub const SHARE_LIFETIME_MS: Millis = 7_500;

/// Time after the last grant at which the leader grants the rate share to others, in milliseconds.
/// Exceeds [`SHARE_LIFETIME_MS`] by the drift of two clocks and the latency of the grant.
pub const SHARE_RECLAIM_DELAY_MS: Millis = SHARE_LIFETIME_MS + 1_000;

/// Capacity of a bucket, in seconds of its rate share.
const BUCKET_DEPTH_SECONDS: f64 = 0.5;

/// Ratio of the rate share to the demand for a dense demand; the excess covers its variation.
const DEMAND_HEADROOM: f64 = 1.3;

/// Demand of which half is served from the rate share, in operations per second: a bucket holds at
/// least one token, which is about as much as arrives in a second.
const HALF_SERVED_DEMAND: f64 = 0.35;

/// Lower bound of the prefetch, so that single operations need not wait for the leader and some are
/// served while there is none.
const MIN_PREFETCH_TOKENS: f64 = 2.0;

/// Fraction of the burst that entries may prefetch. The rest stays in the pool, at least one token.
const PREFETCH_BURST_FRACTION: f64 = 0.5;

/// Rate share below which the prefetch is refilled from the pool, in operations per second:
/// refilling from the rate share would take more than a second.
const POOL_REFILL_MAX_SHARE: f64 = 1.0;

/// Longest wait of an operation for a token of the entry's own rate share while no control leader
/// answers, in milliseconds: a typical latency objective, less some time for the statement.
pub const LOCAL_TOKEN_WAIT_LIMIT_MS: Millis = 700;

/// Limits of a client account.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateLimit {
    /// Operations per second.
    pub rate: f64,
    /// Operations at once.
    pub burst: f64,
}

/// Renewal request of an entry for one client account.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ShareRequest {
    /// Demand, in operations per second.
    pub demand: f64,
    /// Rate share that it holds, in operations per second.
    pub share: f64,
    /// Prefetch that it holds, in tokens.
    pub prefetch: f64,
    /// Tokens that it requests from the pool.
    pub wanted: f64,
    /// Sum of all entries' rate shares in the last grant.
    pub total_share: Option<f64>,
}

/// Grant of the control leader to an entry.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ShareGrant {
    /// Rate share, in operations per second.
    pub share: f64,
    /// Prefetch: tokens of the burst that the entry may hold ahead of use.
    pub prefetch: f64,
    /// Tokens from the pool.
    pub tokens: f64,
    /// Sum of all entries' rate shares.
    pub total_share: f64,
}

/// Rate shares of all client accounts at the control leader.
#[derive(Debug)]
pub struct RateShares {
    /// Start of the leadership.
    leader_since: Millis,
    /// Whether there was no earlier leader.
    first_leader: bool,
    /// Time from which no entry holds an unreported rate share of an earlier leader.
    reported_from: Millis,
    accounts: BTreeMap<Arc<str>, AccountShares>,
}

#[derive(Debug)]
struct AccountShares {
    pool: f64,
    filled_at: Millis,
    /// Sum of the rate shares that an earlier leader granted, as reported by entries.
    former_total: Option<f64>,
    entries: BTreeMap<Name, EntryShare>,
}

/// Upper bound on what an entry holds: the last grant may not have reached it.
#[derive(Debug)]
struct EntryShare {
    demand: f64,
    share: f64,
    prefetch: f64,
    /// Rate share and prefetch of the last grant.
    last_grant: (f64, f64),
    expires: Millis,
}

impl EntryShare {
    /// Takes the maximum of this grant, the one before, which may still be in flight, and what the
    /// entry reports, as this grant may be lost.
    fn new(
        ask: ShareRequest,
        grant: ShareGrant,
        former: Option<EntryShare>,
        now: Millis,
    ) -> EntryShare {
        let granted = former.map_or((0.0, 0.0), |former| former.last_grant);
        EntryShare {
            demand: ask.demand,
            share: grant.share.max(ask.share).max(granted.0),
            prefetch: grant.prefetch.max(ask.prefetch).max(granted.1),
            last_grant: (grant.share, grant.prefetch),
            expires: now + SHARE_RECLAIM_DELAY_MS,
        }
    }
}

impl RateShares {
    /// State of a leader that took over at `now`; `first_leader` if there was no earlier leader.
    pub fn new(now: Millis, first_leader: bool) -> RateShares {
        let reported_from = if first_leader { now } else { now + SHARE_RECLAIM_DELAY_MS };
        RateShares { leader_since: now, first_leader, reported_from, accounts: BTreeMap::new() }
    }

    /// Records that all entries have reported the rate shares that they hold. If no entry has held
    /// any since `idle`, the pools have been refilling since then.
    pub fn mark_all_reported(&mut self, idle: Option<Millis>, now: Millis) {
        if now >= self.reported_from {
            return;
        }
        self.reported_from = now;
        let idle_time = idle.map_or(0, |idle| self.leader_since.saturating_sub(idle));
        self.leader_since -= idle_time;
        for account in self.accounts.values_mut() {
            account.filled_at = account.filled_at.saturating_sub(idle_time);
        }
    }

    /// Removes the rate shares of `entry` after its process has ended.
    pub fn remove_entry(&mut self, entry: &Name) {
        for account in self.accounts.values_mut() {
            account.entries.remove(entry.as_str());
        }
    }

    /// Computes the grant for a renewal request of `entry`.
    pub fn renew(
        &mut self,
        entry: &Name,
        account: &Arc<str>,
        limit: RateLimit,
        ask: ShareRequest,
        now: Millis,
    ) -> ShareGrant {
        let all_reported = now >= self.reported_from;
        let state = self.accounts.entry(account.clone()).or_insert_with(|| AccountShares {
            // An earlier leader may have granted the burst just before.
            pool: if self.first_leader { limit.burst } else { 0.0 },
            filled_at: self.leader_since,
            former_total: None,
            entries: BTreeMap::new(),
        });
        state.entries.retain(|_, held| now < held.expires);
        state.refill(limit, all_reported, now);
        state.former_total = match (state.former_total, ask.total_share) {
            (Some(known), Some(reported)) => Some(known.max(reported)),
            (known, reported) => known.or(reported),
        };
        let former = state.entries.remove(entry.as_str());
        let grant = state.allocate(limit, ask, all_reported);
        state.entries.insert(entry.clone(), EntryShare::new(ask, grant, former, now));
        state.pool = state.pool.min(state.pool_capacity(limit));
        let tokens = ask.wanted.min(state.pool.floor()).max(0.0);
        state.pool -= tokens;
        ShareGrant { tokens, total_share: state.total_share(), ..grant }
    }
}

/// Rate share that an entry with this demand can use, in operations per second. A bucket with a
/// sparse demand is mostly full and loses tokens, so sparse operations are served from the pool.
fn usable_share(demand: f64) -> f64 {
    let dense = demand * demand / (demand * demand + HALF_SERVED_DEMAND * HALF_SERVED_DEMAND);
    DEMAND_HEADROOM * demand * dense
}

impl AccountShares {
    /// Rate share and prefetch of the requesting entry, within what the others leave.
    fn allocate(&self, limit: RateLimit, ask: ShareRequest, all_reported: bool) -> ShareGrant {
        let own = usable_share(ask.demand);
        let total: f64 =
            own + self.entries.values().map(|held| usable_share(held.demand)).sum::<f64>();
        let share_limit = limit.rate * RATE_SHARE_FRACTION;
        let fair = own * (share_limit / total.max(f64::MIN_POSITIVE)).min(1.0);
        let mut share = fair.min((share_limit - self.total_share()).max(0.0));
        let mut prefetch = if ask.demand > IDLE_DEMAND {
            bucket_depth(share).max(MIN_PREFETCH_TOKENS)
        } else {
            0.0
        };
        let prefetch_limit = (limit.burst * PREFETCH_BURST_FRACTION).min(limit.burst - 1.0);
        prefetch = prefetch.min((prefetch_limit - self.total_prefetch()).max(0.0));
        if !all_reported {
            // Entries that have not yet reported may hold the rest.
            share = share.min(ask.share);
            prefetch = prefetch.min(ask.prefetch);
        }
        if prefetch < 1.0 {
            (share, prefetch) = (0.0, 0.0);
        }
        ShareGrant { share, prefetch, ..ShareGrant::default() }
    }

    fn total_prefetch(&self) -> f64 {
        self.entries.values().map(|held| held.prefetch).sum()
    }

    /// Capacity of the pool: the burst less the prefetch of all entries.
    fn pool_capacity(&self, limit: RateLimit) -> f64 {
        (limit.burst - self.total_prefetch()).max(0.0)
    }

    fn total_share(&self) -> f64 {
        self.entries.values().map(|held| held.share).sum()
    }

    /// Adds to the pool what the rate shares leave of the rate. Until those of an earlier leader
    /// have expired, the ones of entries that have not yet reported here count too.
    fn refill(&mut self, limit: RateLimit, all_reported: bool, now: Millis) {
        let share_limit = limit.rate * RATE_SHARE_FRACTION;
        let former_total = if all_reported {
            0.0
        } else {
            self.former_total.unwrap_or(share_limit).min(share_limit)
        };
        let rest = (limit.rate - self.total_share().max(former_total)).max(0.0);
        let seconds = now.saturating_sub(self.filled_at) as f64 / 1e3;
        self.pool = (self.pool + rest * seconds).min(self.pool_capacity(limit));
        self.filled_at = now;
    }
}

/// Capacity of a bucket with this rate share, in tokens.
fn bucket_depth(share: f64) -> f64 {
    share * BUCKET_DEPTH_SECONDS
}

/// Token bucket of one client account at an entry.
#[derive(Debug)]
pub struct ShareBucket {
    share: f64,
    prefetch: f64,
    level: f64,
    updated_at: Millis,
    expires: Millis,
    /// Operations since the last measurement of the demand: those that requested a token here, and
    /// those forwarded to a regional limiter.
    received: u32,
    forwarded: u32,
    shortages: u32,
    demand: f64,
    /// Demand that is forwarded to a regional limiter.
    forwarded_demand: f64,
    created_at: Millis,
    measured_at: Millis,
    /// Last report to the current leader.
    last_report: Option<Report>,
    /// Whether the demand is high enough for a rate share of its own.
    dense: bool,
    total_share: Option<f64>,
}

/// State of a bucket as last reported to the leader.
#[derive(Debug, Clone, Copy)]
struct Report {
    demand: f64,
    share: f64,
    prefetch: f64,
    at: Millis,
}

/// Hysteresis of the demand, in operations per second: from the first value an entry admits the
/// operations from a rate share of its own, and below the second it forwards them to a regional
/// limiter.
const DENSE_DEMAND: (f64, f64) = (3.0, 1.5);

/// Time after which an unchanged state is reported again.
const REPORT_INTERVAL_MS: Millis = 1_500;

/// Change of the demand that is reported at once: relative part, plus operations per second.
const REPORT_THRESHOLD: (f64, f64) = (0.25, 0.2);

/// Demand below which a bucket is idle, in operations per second.
const IDLE_DEMAND: f64 = 0.001;

/// Time constant of the moving average of the demand. A session of a large fleet sends a few
/// operations in ten seconds.
const DEMAND_AVERAGING_MS: f64 = 4_000.0;

/// Time added to the age of a bucket whose demand is averaged since its creation, so that a single
/// operation does not pass for a dense demand.
const DEMAND_WARMUP_MS: f64 = 500.0;

/// Minimum time between two measurements of the demand.
const MIN_MEASURE_INTERVAL_MS: Millis = 250;

impl ShareBucket {
    /// An empty bucket.
    pub fn new(now: Millis) -> ShareBucket {
        ShareBucket {
            share: 0.0,
            prefetch: 0.0,
            level: 0.0,
            updated_at: now,
            expires: now,
            received: 0,
            forwarded: 0,
            shortages: 0,
            demand: 0.0,
            forwarded_demand: 0.0,
            created_at: now,
            measured_at: now,
            last_report: None,
            dense: false,
            total_share: None,
        }
    }

    /// Takes a token for one operation; false if there is none.
    pub fn take(&mut self, now: Millis) -> bool {
        self.refill(now);
        if self.level < 1.0 {
            return false;
        }
        self.level -= 1.0;
        true
    }

    /// Whether the bucket can be dropped: no operation was seen for a while.
    pub fn is_idle(&self, now: Millis) -> bool {
        let operations = self.received + self.forwarded;
        self.demand + self.forwarded_demand < IDLE_DEMAND
            && operations == 0
            && now >= self.measured_at + REPORT_INTERVAL_MS
    }

    /// Rate share, in operations per second, and tokens in the bucket.
    pub fn held(&self) -> (f64, f64) {
        (self.share, self.level)
    }

    /// Counts an operation that requests a token here.
    pub fn record_operation(&mut self) {
        self.received += 1;
    }

    /// Counts an operation that was forwarded to a regional limiter.
    pub fn record_forwarded(&mut self, now: Millis) {
        self.forwarded += 1;
        self.measure_demand(now);
    }

    /// Counts an operation that found no token.
    pub fn record_shortage(&mut self) {
        self.shortages += 1;
    }

    /// Whether an operation found no token since the last renewal.
    pub fn has_shortage(&self) -> bool {
        self.shortages > 0
    }

    /// Whether the demand is high enough for a rate share of its own.
    pub fn is_dense(&self) -> bool {
        self.dense
    }

    /// Whether this entry admits the operations itself: the demand is dense and a rate share is
    /// held.
    pub fn admits_locally(&self, now: Millis) -> bool {
        self.dense && self.share > 0.0 && now < self.expires
    }

    /// Time until the rate share alone admits an operation with `ahead` others queued before it, in
    /// milliseconds; `None` if the rate share expires first.
    pub fn ready_in(&self, ahead: u32, now: Millis) -> Option<Millis> {
        let missing = 1.0 + f64::from(ahead) - self.level;
        let elapsed = now.saturating_sub(self.updated_at) as f64;
        let wait = (missing * 1e3 / self.share - elapsed).max(0.0);
        (wait.is_finite() && now as f64 + wait < self.expires as f64).then_some(wait as Millis)
    }

    /// Whether the rate share alone admits an operation with `ahead` others queued before it within
    /// [`LOCAL_TOKEN_WAIT_LIMIT_MS`].
    pub fn admits_soon(&self, ahead: u32, now: Millis) -> bool {
        self.ready_in(ahead, now).is_some_and(|wait| wait <= LOCAL_TOKEN_WAIT_LIMIT_MS)
    }

    /// Whether this entry asks a regional limiter to admit an operation with `ahead` others queued
    /// before it: it admits none itself, or its rate share is used up while no leader answers, and
    /// a limiter may have more.
    pub fn asks_limiter(&self, ahead: u32, leader_answers: bool, now: Millis) -> bool {
        !self.admits_locally(now) || (!leader_answers && !self.admits_soon(ahead, now))
    }

    /// Whether the prefetch is used up, so that more tokens should be requested before they are
    /// needed.
    pub fn needs_refill(&self) -> bool {
        self.level < 1.0 && self.prefetch >= 1.0 && self.share < POOL_REFILL_MAX_SHARE
    }

    /// Renewal request that is due; `None` while the last report is current. `serves` tells whether
    /// this entry admits the account's operations.
    pub fn renewal_request(&mut self, now: Millis, serves: bool) -> Option<ShareRequest> {
        self.refill(now);
        self.measure_demand(now);
        let demand = if serves { self.demand } else { 0.0 };
        let changed = |known: Report| {
            (demand - known.demand).abs() > known.demand * REPORT_THRESHOLD.0 + REPORT_THRESHOLD.1
                // Reporting a reduced rate share or prefetch frees the rest for other entries.
                || self.share < known.share * (1.0 - REPORT_THRESHOLD.0)
                || self.prefetch < known.prefetch * (1.0 - REPORT_THRESHOLD.0)
        };
        let current = |known: Report| !changed(known) && now < known.at + REPORT_INTERVAL_MS;
        let up_to_date = self.last_report.is_some_and(current);
        let held = |known: Report| known.share > 0.0 || known.prefetch > 0.0;
        let idle = !serves && self.share == 0.0 && self.prefetch == 0.0;
        let idle = idle && !self.last_report.is_some_and(held);
        if self.shortages == 0 && !self.needs_refill() && (up_to_date || idle) {
            return None;
        }
        let (share, prefetch, total_share) = (self.share, self.prefetch, self.total_share);
        self.last_report = Some(Report { demand, share, prefetch, at: now });
        let shortages = f64::from(std::mem::take(&mut self.shortages));
        let spare = if self.needs_refill() { prefetch.floor() } else { 0.0 };
        let wanted = (shortages + spare - self.level.floor()).max(0.0);
        Some(ShareRequest { demand, share, prefetch, wanted, total_share })
    }

    fn measure_demand(&mut self, now: Millis) {
        let elapsed = now.saturating_sub(self.measured_at);
        if elapsed < MIN_MEASURE_INTERVAL_MS {
            return;
        }
        let rate = |count: u32| f64::from(count) * 1e3 / elapsed as f64;
        // A new bucket takes the mean since its creation: the moving average alone would report
        // less than half of the demand for the first two seconds.
        let age = now.saturating_sub(self.created_at) as f64 + DEMAND_WARMUP_MS;
        let weight = 1.0 - (-(elapsed as f64) / DEMAND_AVERAGING_MS).exp();
        let weight = weight.max(elapsed as f64 / age);
        self.demand += (rate(self.received) - self.demand) * weight;
        self.forwarded_demand += (rate(self.forwarded) - self.forwarded_demand) * weight;
        (self.received, self.forwarded, self.measured_at) = (0, 0, now);
        let dense = self.demand + self.forwarded_demand
            >= if self.dense { DENSE_DEMAND.1 } else { DENSE_DEMAND.0 };
        if dense && !self.dense {
            self.demand += std::mem::take(&mut self.forwarded_demand);
        }
        self.dense = dense;
    }

    /// Discards the last report, as a new leader does not have it.
    pub fn clear_report(&mut self) {
        self.last_report = None;
    }

    /// Applies the grant for a request sent at `sent`.
    pub fn apply_grant(&mut self, grant: ShareGrant, sent: Millis, now: Millis) {
        self.refill(now);
        self.share = grant.share;
        self.prefetch = grant.prefetch;
        self.total_share = Some(grant.total_share);
        self.expires = sent + SHARE_LIFETIME_MS;
        self.level += grant.tokens;
    }

    /// Reduces the rate share in proportion after the account's rate was lowered.
    pub fn reduce_share(&mut self, before: f64, after: f64) {
        if after < before {
            self.share *= after / before;
            self.level = self.level.min(self.prefetch);
        }
    }

    /// Refills from the rate share up to the prefetch. Tokens from the pool may exceed the prefetch
    /// and remain until they are used or the rate share expires.
    fn refill(&mut self, now: Millis) {
        let end = now.min(self.expires);
        let seconds = end.saturating_sub(self.updated_at) as f64 / 1e3;
        if self.level < self.prefetch {
            self.level = (self.level + self.share * seconds).min(self.prefetch);
        }
        if now >= self.expires {
            self.level = 0.0;
        }
        self.updated_at = self.updated_at.max(now);
    }
}
