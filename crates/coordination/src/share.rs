//! Rates of client accounts, spread over the entries that admit their operations.
//!
//! The control leader gives each entry a share of an account's rate by its demand and keeps the
//! rest, with the burst, in a pool. An entry admits operations from its share and asks for tokens
//! of the pool when that is used up. Shares that an entry may still hold are counted until they
//! end at the entry, also when it is frozen or cut off, so all shares together never exceed the
//! rate.

use std::{collections::BTreeMap, sync::Arc};

use auburnlug_state::{Millis, Name};

/// Part of a rate that is spread as shares. The rest fills the pool, from which an entry is served
/// whose demand rises faster than its share.
const SPREAD: f64 = 0.7;

/// Time after the last grant at which a share ends at its entry, in milliseconds. Longer than an
/// election and the cuts that an entry must serve through.
pub const SHARE_SPAN: Millis = 6_000;

/// Time after the last grant at which the leader gives the share to others, in milliseconds:
/// exceeds [`SHARE_SPAN`] by the drift of two clocks and the way of the grant.
pub const HELD: Millis = SHARE_SPAN + 1_000;

/// Time that a bucket's depth covers, in seconds of its share.
const DEPTH: f64 = 0.4;

/// Share of an entry with a dense demand, as a part of the demand: some room for its variation.
const COVER: f64 = 1.1;

/// Demand of which half is served from the share, in operations a second: a bucket holds one
/// operation at least, and about as many come in a second.
const SPARSE: f64 = 0.7;

/// Operations that a bucket holds at least, so that a small share admits single operations.
const LEAST: f64 = 1.0;

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

#[derive(Debug)]
struct EntryShare {
    demand: f64,
    share: f64,
    until: Millis,
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
        let known = state.entries.get(entry).map_or(ask.share, |held| held.share);
        state.entries.insert(
            entry.clone(),
            EntryShare { demand: ask.demand, share: known.max(ask.share), until: now + HELD },
        );
        let total: f64 = state.entries.values().map(|held| useful(held.demand)).sum();
        let others: f64 =
            state.entries.iter().filter(|(name, _)| *name != entry).map(|(_, e)| e.share).sum();
        let spread = limit.rate * SPREAD;
        let own = useful(ask.demand);
        let fair = own * (spread / total.max(f64::MIN_POSITIVE)).min(1.0);
        let mut share = fair.min((spread - others).max(0.0));
        if !settled {
            // Entries that have not reported yet may hold the rest.
            share = share.min(ask.share);
        }
        if let Some(held) = state.entries.get_mut(entry) {
            held.share = share;
        }
        let tokens = ask.wanted.min(state.pool.floor()).max(0.0);
        state.pool -= tokens;
        Given { share, tokens, spread: state.spread() }
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
        self.pool = (self.pool + rest * seconds).min(limit.burst);
        self.filled = now;
    }
}

/// Share of one client account at an entry.
#[derive(Debug)]
pub struct Bucket {
    share: f64,
    level: f64,
    at: Millis,
    until: Millis,
    /// Operations admitted or refused since the demand was last measured.
    asked: u32,
    lacking: u32,
    demand: f64,
    measured: Millis,
    /// Demand of the last request, and its time; `None` if the leader was not told yet.
    reported: Option<(f64, Millis)>,
    spread: Option<f64>,
}

/// Time after which a share is asked for again although nothing changed, in milliseconds.
const REPORT: Millis = 3_000;

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
            level: 0.0,
            at: now,
            until: now,
            asked: 0,
            lacking: 0,
            demand: 0.0,
            measured: now,
            reported: None,
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
        self.demand < UNUSED && self.asked == 0 && now >= self.measured + REPORT
    }

    /// Share, in operations a second, and tokens at hand.
    pub fn held(&self) -> (f64, f64) {
        (self.share, self.level)
    }

    /// Notes that an operation asked for a token.
    pub fn note(&mut self) {
        self.asked += 1;
    }

    /// Notes that an operation found no token.
    pub fn lack(&mut self) {
        self.lacking += 1;
    }

    /// Whether an operation found no token since the last renewal.
    pub fn lacks(&self) -> bool {
        self.lacking > 0
    }

    /// What to ask the leader for; `None` while what it last said still holds.
    pub fn ask(&mut self, now: Millis) -> Option<Ask> {
        self.fill(now);
        let passed = now.saturating_sub(self.measured);
        if passed >= MEASURE {
            let rate = f64::from(self.asked) * 1e3 / passed as f64;
            let weight = 1.0 - (-(passed as f64) / MEMORY).exp();
            self.demand += (rate - self.demand) * weight;
            self.asked = 0;
            self.measured = now;
        }
        let changed = |known: f64| (self.demand - known).abs() > known * CHANGE.0 + CHANGE.1;
        let told = self.reported.is_some_and(|(known, at)| !changed(known) && now < at + REPORT);
        if self.lacking == 0 && told {
            return None;
        }
        self.reported = Some((self.demand, now));
        let wanted = f64::from(std::mem::take(&mut self.lacking)) - self.level.floor();
        let (demand, share, spread) = (self.demand, self.share, self.spread);
        Some(Ask { demand, share, wanted: wanted.max(0.0), spread })
    }

    /// Notes that the leader knows nothing of this bucket.
    pub fn unreport(&mut self) {
        self.reported = None;
    }

    /// Takes the leader's answer to a renewal sent at `sent`.
    pub fn give(&mut self, given: Given, sent: Millis, now: Millis) {
        self.fill(now);
        self.share = given.share;
        self.spread = Some(given.spread);
        self.until = sent + SHARE_SPAN;
        self.level += given.tokens;
    }

    /// Reduces the share to a lower rate.
    pub fn scale(&mut self, before: f64, after: f64) {
        if after < before {
            self.share *= after / before;
            self.level = self.level.min(self.depth());
        }
    }

    fn depth(&self) -> f64 {
        (self.share * DEPTH).max(LEAST)
    }

    /// Tokens of the pool stay above the depth until they are used.
    fn fill(&mut self, now: Millis) {
        let end = now.min(self.until);
        let seconds = end.saturating_sub(self.at) as f64 / 1e3;
        let depth = self.depth();
        if self.level < depth {
            self.level = (self.level + self.share * seconds).min(depth);
        }
        self.at = self.at.max(now);
    }
}
