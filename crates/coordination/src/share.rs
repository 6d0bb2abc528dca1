//! Rates of client accounts, spread over the entries that admit their operations.
//!
//! The control leader gives each entry a share of an account's rate by its demand and keeps the
//! rest, with the burst, in a pool. An entry admits operations from its share and asks for tokens
//! of the pool when that is used up. An entry that sees few operations of an account leaves the
//! account to a delegate (see [`crate::delegates`]), which sees those of all entries near it.
//!
//! What an entry may still hold is counted until it ends at the entry, also when it is frozen or
//! cut off: all shares together never exceed the rate, and what may be kept at hand with what is
//! in the pool never exceeds the burst.

use std::{collections::BTreeMap, sync::Arc};

use auburnlug_state::{Millis, Name};

/// Part of a rate that is spread as shares. The rest fills the pool, from which an entry is served
/// whose demand rises faster than its share.
const SPREAD: f64 = 0.85;

/// Time after the last grant at which a share ends at its entry, in milliseconds. Longer than an
/// election and the cuts that an entry must serve through.
pub const SHARE_SPAN: Millis = 7_500;

/// Time after the last grant at which the leader gives the share to others, in milliseconds:
/// exceeds [`SHARE_SPAN`] by the drift of two clocks and the way of the grant.
pub const HELD: Millis = SHARE_SPAN + 1_000;

/// Time that a bucket's depth covers, in seconds of its share.
const DEPTH: f64 = 0.5;

/// Share of an entry with a dense demand, as a part of the demand: some room for its variation.
const COVER: f64 = 1.3;

/// Demand of which half is served from the share, in operations a second: a bucket holds one
/// operation at least, and about as many come in a second.
const SPARSE: f64 = 0.35;

/// Operations that an entry may keep at hand at least, so that single ones need not wait for the
/// leader, and some are served without one.
const STOCK: f64 = 2.0;

/// Part of the burst that entries may keep at hand. The rest stays in the pool, but one operation
/// at least.
const KEPT: f64 = 0.5;

/// Share up to which what is kept at hand is filled from the pool, in operations a second: it
/// would take the share more than a second.
const SLOW: f64 = 1.0;

/// Limits of a client account.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// Operations a second.
    pub rate: f64,
    /// Operations at once.
    pub burst: f64,
}

/// What an entry asks for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Ask {
    /// Demand, in operations a second.
    pub demand: f64,
    /// Share that it holds, in operations a second.
    pub share: f64,
    /// Operations that it may keep at hand.
    pub room: f64,
    /// Tokens that it lacks now.
    pub wanted: f64,
    /// Sum of all entries' shares, as the leader last told it.
    pub spread: Option<f64>,
}

/// What an entry gets.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Given {
    /// Share, in operations a second.
    pub share: f64,
    /// Operations that it may keep at hand.
    pub room: f64,
    /// Tokens.
    pub tokens: f64,
    /// Sum of all entries' shares.
    pub spread: f64,
}

/// Shares of all client accounts, as the control leader keeps them.
#[derive(Debug)]
pub struct Shares {
    /// Start of the leadership.
    since: Millis,
    /// Whether no leader was before.
    fresh: bool,
    /// Time from which on no share of an earlier leader is held that was not reported.
    settled: Millis,
    accounts: BTreeMap<Arc<str>, AccountShares>,
}

#[derive(Debug)]
struct AccountShares {
    pool: f64,
    filled: Millis,
    /// Sum of the shares that an earlier leader gave, as entries tell it.
    former: Option<f64>,
    entries: BTreeMap<Name, EntryShare>,
}

/// What an entry holds, or may hold if the last answer did not reach it.
#[derive(Debug)]
struct EntryShare {
    demand: f64,
    share: f64,
    room: f64,
    granted: (f64, f64),
    until: Millis,
}

impl EntryShare {
    /// The answer to an entry may be lost, and the one before may still be under way.
    fn new(ask: Ask, given: Given, former: Option<EntryShare>, now: Millis) -> EntryShare {
        let granted = former.map_or((0.0, 0.0), |former| former.granted);
        EntryShare {
            demand: ask.demand,
            share: given.share.max(ask.share).max(granted.0),
            room: given.room.max(ask.room).max(granted.1),
            granted: (given.share, given.room),
            until: now + HELD,
        }
    }
}

impl Shares {
    /// Shares of a leader that took over at `now`; `fresh` if no leader was before it.
    pub fn new(now: Millis, fresh: bool) -> Shares {
        let settled = if fresh { now } else { now + HELD };
        Shares { since: now, fresh, settled, accounts: BTreeMap::new() }
    }

    /// Notes that all entries have reported the shares that they hold. If none held any from
    /// `idle` on, the pools have filled up since then.
    pub fn settle(&mut self, idle: Option<Millis>, now: Millis) {
        if now >= self.settled {
            return;
        }
        self.settled = now;
        let gap = idle.map_or(0, |idle| self.since.saturating_sub(idle));
        self.since -= gap;
        for account in self.accounts.values_mut() {
            account.filled = account.filled.saturating_sub(gap);
        }
    }

    /// Forgets what a process of `entry` held that has ended.
    pub fn forget(&mut self, entry: &Name) {
        for account in self.accounts.values_mut() {
            account.entries.remove(entry.as_str());
        }
    }

    /// Answers what `entry` asked for at `now`.
    pub fn renew(
        &mut self,
        entry: &Name,
        account: &Arc<str>,
        limit: Limit,
        ask: Ask,
        now: Millis,
    ) -> Given {
        let settled = now >= self.settled;
        let state = self.accounts.entry(account.clone()).or_insert_with(|| AccountShares {
            // An earlier leader may have given the burst just before.
            pool: if self.fresh { limit.burst } else { 0.0 },
            filled: self.since,
            former: None,
            entries: BTreeMap::new(),
        });
        state.entries.retain(|_, held| now < held.until);
        state.fill(limit, settled, now);
        state.former = match (state.former, ask.spread) {
            (Some(known), Some(told)) => Some(known.max(told)),
            (known, told) => known.or(told),
        };
        let former = state.entries.remove(entry.as_str());
        let given = state.divide(limit, ask, settled);
        state.entries.insert(entry.clone(), EntryShare::new(ask, given, former, now));
        state.pool = state.pool.min(state.most(limit));
        let tokens = ask.wanted.min(state.pool.floor()).max(0.0);
        state.pool -= tokens;
        Given { tokens, spread: state.spread(), ..given }
    }
}

/// Share that an entry with this demand can make use of, in operations a second. Tokens that come
/// at a steady pace are wasted on operations that come now and then: those are better served from
/// the pool.
fn useful(demand: f64) -> f64 {
    let dense = demand * demand / (demand * demand + SPARSE * SPARSE);
    COVER * demand * dense
}

impl AccountShares {
    /// Share and room of an entry that asks, beside those that the others hold.
    fn divide(&self, limit: Limit, ask: Ask, settled: bool) -> Given {
        let own = useful(ask.demand);
        let total: f64 = own + self.entries.values().map(|held| useful(held.demand)).sum::<f64>();
        let spread = limit.rate * SPREAD;
        let fair = own * (spread / total.max(f64::MIN_POSITIVE)).min(1.0);
        let mut share = fair.min((spread - self.spread()).max(0.0));
        let mut room = if ask.demand > UNUSED { depth(share).max(STOCK) } else { 0.0 };
        let kept = (limit.burst * KEPT).min(limit.burst - 1.0);
        room = room.min((kept - self.room()).max(0.0));
        if !settled {
            // Entries that have not reported yet may hold the rest.
            share = share.min(ask.share);
            room = room.min(ask.room);
        }
        if room < 1.0 {
            (share, room) = (0.0, 0.0);
        }
        Given { share, room, ..Given::default() }
    }

    fn room(&self) -> f64 {
        self.entries.values().map(|held| held.room).sum()
    }

    /// Tokens that the pool may hold beside those that entries may have at hand.
    fn most(&self, limit: Limit) -> f64 {
        (limit.burst - self.room()).max(0.0)
    }

    fn spread(&self) -> f64 {
        self.entries.values().map(|held| held.share).sum()
    }

    /// Adds what the shares leave of the rate. Until the shares of an earlier leader have ended,
    /// those of entries that have not reported here count too.
    fn fill(&mut self, limit: Limit, settled: bool, now: Millis) {
        let most = limit.rate * SPREAD;
        let former = if settled { 0.0 } else { self.former.unwrap_or(most).min(most) };
        let rest = (limit.rate - self.spread().max(former)).max(0.0);
        let seconds = now.saturating_sub(self.filled) as f64 / 1e3;
        self.pool = (self.pool + rest * seconds).min(self.most(limit));
        self.filled = now;
    }
}

/// Operations that a bucket with this share holds.
fn depth(share: f64) -> f64 {
    share * DEPTH
}

/// Share of one client account at an entry.
#[derive(Debug)]
pub struct Bucket {
    share: f64,
    room: f64,
    level: f64,
    at: Millis,
    until: Millis,
    /// Operations that asked here since the demand was last measured, and those that were left to
    /// a delegate.
    asked: u32,
    passed: u32,
    lacking: u32,
    demand: f64,
    /// Demand that is left to a delegate.
    elsewhere: f64,
    measured: Millis,
    /// What the leader was told last; `None` if it was not told yet.
    reported: Option<Report>,
    /// Whether operations come so often that this entry admits them by a share of its own.
    dense: bool,
    spread: Option<f64>,
}

/// What a leader was told of a bucket.
#[derive(Debug, Clone, Copy)]
struct Report {
    demand: f64,
    share: f64,
    room: f64,
    at: Millis,
}

/// Demand from which on an entry admits an account's operations by a share of its own, and below
/// which it leaves them to a delegate again, in operations a second.
const DENSE: (f64, f64) = (3.0, 1.5);

/// Time after which a share is asked for again although nothing changed, in milliseconds.
const REPORT: Millis = 1_500;

/// Part of the demand, and operations a second, by which it must change to be reported at once.
const CHANGE: (f64, f64) = (0.25, 0.2);

/// Demand that counts as none, in operations a second.
const UNUSED: f64 = 0.001;

/// Time over which demand is averaged, in milliseconds. A session of a large fleet asks a few
/// times in ten seconds.
const MEMORY: f64 = 4_000.0;

/// Least time between two measures of demand, in milliseconds.
const MEASURE: Millis = 250;

impl Bucket {
    /// An empty bucket.
    pub fn new(now: Millis) -> Bucket {
        Bucket {
            share: 0.0,
            room: 0.0,
            level: 0.0,
            at: now,
            until: now,
            asked: 0,
            passed: 0,
            lacking: 0,
            demand: 0.0,
            elsewhere: 0.0,
            measured: now,
            reported: None,
            dense: false,
            spread: None,
        }
    }

    /// Takes a token for one operation; false if there is none.
    pub fn take(&mut self, now: Millis) -> bool {
        self.fill(now);
        if self.level < 1.0 {
            return false;
        }
        self.level -= 1.0;
        true
    }

    /// Whether nothing asked for a token for a while and no share is held.
    pub fn unused(&self, now: Millis) -> bool {
        let seen = self.asked + self.passed;
        self.demand + self.elsewhere < UNUSED && seen == 0 && now >= self.measured + REPORT
    }

    /// Share, in operations a second, and tokens at hand.
    pub fn held(&self) -> (f64, f64) {
        (self.share, self.level)
    }

    /// Notes that an operation asked for a token.
    pub fn note(&mut self) {
        self.asked += 1;
    }

    /// Notes that an operation was left to a delegate.
    pub fn pass(&mut self, now: Millis) {
        self.passed += 1;
        self.measure(now);
    }

    /// Notes that an operation found no token.
    pub fn lack(&mut self) {
        self.lacking += 1;
    }

    /// Whether an operation found no token since the last renewal.
    pub fn lacks(&self) -> bool {
        self.lacking > 0
    }

    /// Whether operations come so often that this entry admits them by a share of its own.
    pub fn dense(&self) -> bool {
        self.dense
    }

    /// Whether this entry admits an account's operations itself: they come often, and the leader
    /// has given it a share.
    pub fn alone(&self, now: Millis) -> bool {
        self.dense && self.share > 0.0 && now < self.until
    }

    /// Time after which the share alone admits an operation with `ahead` others before it, in
    /// milliseconds; `None` if it ends before.
    pub fn ready_in(&self, ahead: u32, now: Millis) -> Option<Millis> {
        let lacking = 1.0 + f64::from(ahead) - self.level;
        let passed = now.saturating_sub(self.at) as f64;
        let wait = (lacking * 1e3 / self.share - passed).max(0.0);
        (wait.is_finite() && now as f64 + wait < self.until as f64).then_some(wait as Millis)
    }

    /// Whether tokens kept at hand are used up, so that the leader should be asked for others
    /// before they are needed.
    pub fn low(&self) -> bool {
        self.level < 1.0 && self.room >= 1.0 && self.share < SLOW
    }

    /// What to ask the leader for; `None` while what it last said still holds. `serves` tells
    /// whether this entry admits the account's operations.
    pub fn ask(&mut self, now: Millis, serves: bool) -> Option<Ask> {
        self.fill(now);
        self.measure(now);
        let demand = if serves { self.demand } else { 0.0 };
        let changed = |known: Report| {
            (demand - known.demand).abs() > known.demand * CHANGE.0 + CHANGE.1
                // What this entry holds no more is free for others once it has told so.
                || self.share < known.share * (1.0 - CHANGE.0)
                || self.room < known.room * (1.0 - CHANGE.0)
        };
        let current = |known: Report| !changed(known) && now < known.at + REPORT;
        let told = self.reported.is_some_and(current);
        let held = |known: Report| known.share > 0.0 || known.room > 0.0;
        let idle = !serves && self.share == 0.0 && self.room == 0.0;
        let idle = idle && !self.reported.is_some_and(held);
        if self.lacking == 0 && !self.low() && (told || idle) {
            return None;
        }
        let (share, room, spread) = (self.share, self.room, self.spread);
        self.reported = Some(Report { demand, share, room, at: now });
        let lacking = f64::from(std::mem::take(&mut self.lacking));
        let spare = if self.low() { room.floor() } else { 0.0 };
        let wanted = (lacking + spare - self.level.floor()).max(0.0);
        Some(Ask { demand, share, room, wanted, spread })
    }

    fn measure(&mut self, now: Millis) {
        let passed = now.saturating_sub(self.measured);
        if passed < MEASURE {
            return;
        }
        let rate = |count: u32| f64::from(count) * 1e3 / passed as f64;
        let weight = 1.0 - (-(passed as f64) / MEMORY).exp();
        self.demand += (rate(self.asked) - self.demand) * weight;
        self.elsewhere += (rate(self.passed) - self.elsewhere) * weight;
        (self.asked, self.passed, self.measured) = (0, 0, now);
        let dense = self.demand + self.elsewhere >= if self.dense { DENSE.1 } else { DENSE.0 };
        if dense && !self.dense {
            self.demand += std::mem::take(&mut self.elsewhere);
        }
        self.dense = dense;
    }

    /// Notes that the leader knows nothing of this bucket.
    pub fn unreport(&mut self) {
        self.reported = None;
    }

    /// Takes the leader's answer to a renewal sent at `sent`.
    pub fn give(&mut self, given: Given, sent: Millis, now: Millis) {
        self.fill(now);
        self.share = given.share;
        self.room = given.room;
        self.spread = Some(given.spread);
        self.until = sent + SHARE_SPAN;
        self.level += given.tokens;
    }

    /// Reduces the share to a lower rate.
    pub fn scale(&mut self, before: f64, after: f64) {
        if after < before {
            self.share *= after / before;
            self.level = self.level.min(self.room);
        }
    }

    /// Tokens of the pool stay above the room until they are used, or end with the share.
    fn fill(&mut self, now: Millis) {
        let end = now.min(self.until);
        let seconds = end.saturating_sub(self.at) as f64 / 1e3;
        if self.level < self.room {
            self.level = (self.level + self.share * seconds).min(self.room);
        }
        if now >= self.until {
            self.level = 0.0;
        }
        self.at = self.at.max(now);
    }
}
