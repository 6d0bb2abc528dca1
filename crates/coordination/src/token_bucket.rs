//! Rates of client accounts.
//!
//! The rate owner keeps one [`TokenBucket`] per client account for the whole fleet. A group owner
//! keeps an [`Allotment`](crate::allotment::Allotment) that requests tokens from the bucket. Tokens
//! that a holder may still use count against the burst, so level and outstanding tokens together
//! never exceed it, and any window of length T admits at most `burst + rate * T` requests.
//!
//! A [`TokenRequest`] settles everything before it: tokens granted earlier are used, are returned
//! with it, or are void because the holder stopped waiting for that grant. Request ids increase, so
//! the bucket detects duplicate and late requests, and the holder accepts only the grant for its
//! pending request.
//!
//! # Exactness over a change of owner
//!
//! Let V be the level of an ideal bucket that starts full, grows at `rate` up to `burst` and loses
//! one token at each admission. No window of length T admits more than `burst + rate * T` exactly
//! if V never falls below 0. An owner ensures V >= level + O, where O is the number of unexpired
//! tokens at holders: a grant moves tokens from level to O, an admission takes one from both V and
//! O, an expiry only lowers O, and growth keeps level + O <= burst, which is where V stops growing.
//!
//! A new owner starts from a pair (level, held) for which, at the moment at which the former owner
//! stops granting, V >= level + O and O <= held ([`TokenBucket::restore`]). It counts `held` as
//! outstanding for [`TOKEN_LIFETIME_MS`], after which the tokens of the former owner have expired.
//! So its level is capped at `burst - held` until then, level + O stays within the burst, and the
//! argument above continues to hold. There are three sources of the pair:
//!
//! - After a graceful move it is the level and the outstanding tokens of the former owner, which
//!   grants nothing after it has sent them ([`TokenBucket::handover`]).
//! - After a crash it is a level F that the standby stores ([`crate::standby_level`]), with
//!   `held = burst - F`. It is valid if the former owner's level was never below F since it
//!   sent F: then V >= level + O >= F + O, and O <= burst - level <= burst - F. The owner cannot
//!   know which of its messages arrived, so it keeps its level above the greatest of the
//!   acknowledged standby level and all those sent later ([`TokenBucket::set_standby_level`]). To
//!   go below it, it sends a lower standby level, ahead of need, and waits for the acknowledgement.
//! - Without a valid pair it is (0, burst), which always holds ([`TokenBucket::empty`]).
//!
//! The pair also holds after a change of the burst: (level, held) limits O by `held` alone, and a
//! smaller burst b makes the new owner start from `min(level, b - held)`.
//!
//! # Rounding of time
//!
//! Times are rounded down to whole milliseconds, so the difference of two readings may exceed the
//! elapsed time by nearly 1 ms. This is harmless while an ideal bucket is below the burst, because
//! it has grown during the part of a millisecond that was cut off. A full one has not. So a bucket
//! that may be full at a reading grows only from the end of that millisecond.
//!
//! # Refusals after a change of owner
//!
//! The level of a new owner may be below V. The owner tracks the maximum difference, and while that
//! may cover a request, the grant tells the holder to let it wait instead of refusing it.

use std::collections::BTreeMap;

use auburnlug_state::{Millis, Name};

/// Time after which a holder drops a token, counted from the sending of the request.
pub const TOKEN_LIFETIME_MS: Millis = 500;

/// Time for which the rate owner counts a granted token as outstanding; longer than
/// [`TOKEN_LIFETIME_MS`], so that a token is never counted as expired while a holder can use it.
pub const TOKEN_RECLAIM_DELAY_MS: Millis = 1000;

/// Time after a takeover during which a request waits instead of being refused, if the bucket may
/// lack the token only because it started low. Equals the usual maximum wait of a request, after
/// which it is refused anyway.
const TAKEOVER_GRACE_MS: Millis = 5000;

/// Upper bound of the retry delay in a refusal.
const MAX_RETRY_DELAY_MS: Millis = 60_000;

/// Factor from tokens per second to tokens per millisecond.
const SECONDS_PER_MS: f64 = 0.001;

/// Request of a holder for tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TokenRequest {
    /// Number of the request; increases at each holder.
    pub id: u64,
    /// Tokens needed now; 0 only settles earlier grants.
    pub count: u32,
    /// Tokens that the holder expects to use in the next 50 ms.
    pub demand: u32,
    /// Unused tokens that are returned.
    pub returned: u32,
}

/// Answer to a [`TokenRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TokenGrant {
    /// Tokens granted.
    pub count: u32,
    /// Retry delay of the refused requests, in milliseconds; 0 if everything needed was granted, or
    /// if the rest may still be granted: those requests wait, and the holder requests again.
    pub retry_delay: Millis,
}

/// Tokens that a holder may still use.
#[derive(Debug)]
struct OutstandingGrant {
    id: u64,
    count: f64,
    expires: Millis,
}

/// Token bucket of one client account, kept by its rate owner.
#[derive(Debug)]
pub struct TokenBucket {
    rate: f64,
    burst: f64,
    level: f64,
    updated_at: Millis,
    /// Time after `updated_at` during which the level does not grow, in milliseconds; see "Rounding
    /// of time" in the module documentation.
    growth_delay: f64,
    holders: BTreeMap<Name, OutstandingGrant>,
    outstanding: f64,
    /// Unexpired tokens that the former owner granted, and when the last of them expires.
    former_tokens: (f64, Millis),
    /// First expiry among `holders` and `former_tokens`.
    next_expiry: Millis,
    /// Level that a standby may start from; grants do not reduce the level below it.
    standby_level: f64,
    /// Maximum difference to the level of an ideal bucket, and until when it is considered.
    shortfall: (f64, Millis),
}

impl TokenBucket {
    /// A full bucket; only for a client account that never had a rate owner.
    pub fn new(rate: f64, burst: f64, now: Millis) -> TokenBucket {
        TokenBucket::restore(rate, burst, burst, 0.0, now)
    }

    /// The bucket after a takeover without a known level. `quiet` is the time, in milliseconds, for
    /// which the former owner has certainly granted nothing; until it reaches
    /// [`TOKEN_LIFETIME_MS`], the former owner's tokens may fill the whole burst.
    pub fn empty(rate: f64, burst: f64, quiet: Millis, now: Millis) -> TokenBucket {
        let mut bucket = TokenBucket::restore(rate, burst, 0.0, burst, now);
        bucket.former_tokens.1 = now + TOKEN_LIFETIME_MS.saturating_sub(quiet);
        bucket.next_expiry = bucket.former_tokens.1;
        bucket
    }

    /// The bucket after a takeover from the pair that [`TokenBucket::handover`] returned or the
    /// standby stored: the level, and the maximum of the former owner's tokens that holders may
    /// still use.
    pub fn restore(rate: f64, burst: f64, level: f64, held: f64, now: Millis) -> TokenBucket {
        let former_tokens = (held.max(0.0), now + TOKEN_LIFETIME_MS);
        let next_expiry = if held > 0.0 { former_tokens.1 } else { Millis::MAX };
        let level = level.min(burst - former_tokens.0).max(0.0);
        let holders = BTreeMap::new();
        let shortfall = (burst - level, now + TAKEOVER_GRACE_MS);
        let (updated_at, outstanding, standby_level) = (now, former_tokens.0, 0.0);
        TokenBucket {
            rate,
            burst,
            level,
            updated_at,
            growth_delay: 1.0,
            holders,
            outstanding,
            former_tokens,
            next_expiry,
            standby_level,
            shortfall,
        }
    }

    /// Sets the level that a standby may start from.
    pub fn set_standby_level(&mut self, level: f64) {
        self.standby_level = level;
    }

    /// Returns level and outstanding tokens for the next owner. The bucket must not grant anything
    /// afterwards.
    pub fn handover(&mut self, now: Millis) -> (f64, f64) {
        self.refill(now);
        (self.level, self.outstanding)
    }

    /// Changes rate and burst. A bucket whose burst is raised fills up at the rate.
    pub fn set_limit(&mut self, rate: f64, burst: f64, now: Millis) {
        self.refill(now);
        (self.rate, self.burst) = (rate, burst);
        self.level = self.level.min(self.max_level());
        self.delay_growth();
    }

    /// Answers a request of `holder`; `None` if it is a duplicate or older than the last one.
    pub fn take(&mut self, holder: &Name, ask: TokenRequest, now: Millis) -> Option<TokenGrant> {
        self.refill(now);
        let now = self.updated_at;
        if !self.settle_grants(holder, ask) {
            return None;
        }
        let free = self.level - self.standby_level;
        let count = ask.count.min(whole_tokens(free));
        let mut granted = count;
        let spare = free.min(self.level - self.burst / 2.0) - f64::from(count);
        if ask.count > 0 && count == ask.count && spare > 0.0 {
            granted += ask.demand.min(whole_tokens(spare));
        }
        let retry_delay =
            if count < ask.count { self.retry_delay(count, ask.count - count) } else { 0 };
        self.level -= f64::from(granted);
        self.outstanding += f64::from(granted);
        let expires = now + TOKEN_RECLAIM_DELAY_MS;
        self.next_expiry = self.next_expiry.min(expires);
        self.holders.insert(
            holder.clone(),
            OutstandingGrant { id: ask.id, count: granted.into(), expires },
        );
        Some(TokenGrant { count: granted, retry_delay })
    }

    /// Tokens that can be granted at `now`.
    pub fn level(&mut self, now: Millis) -> f64 {
        self.refill(now);
        self.level
    }

    /// Settles the earlier grants of `holder`; false if the request is not newer than the last one.
    fn settle_grants(&mut self, holder: &Name, ask: TokenRequest) -> bool {
        let Some(held) = self.holders.get_mut(holder) else {
            return true;
        };
        if ask.id <= held.id {
            return false;
        }
        let returned = f64::from(ask.returned).min(held.count);
        self.outstanding = (self.outstanding - held.count).max(0.0);
        self.level = (self.level + returned).min(self.max_level());
        true
    }

    /// Time until `missing` tokens are available besides the `count` that are granted now, in
    /// milliseconds; 0 if an ideal bucket might have some of them.
    fn retry_delay(&self, count: u32, missing: u32) -> Millis {
        let shortfall = if self.updated_at < self.shortfall.1 { self.shortfall.0 } else { 0.0 };
        if whole_tokens(self.level + shortfall) > count {
            return 0;
        }
        let spare = self.level - self.level.floor();
        let wait = (f64::from(missing) - spare) / (self.rate * SECONDS_PER_MS) + self.growth_delay;
        let cap_time = if self.former_tokens.0 > 0.0 {
            self.former_tokens.1.saturating_sub(self.updated_at)
        } else {
            0
        };
        if wait.is_finite() {
            (wait.ceil() as Millis + cap_time).clamp(1, MAX_RETRY_DELAY_MS)
        } else {
            MAX_RETRY_DELAY_MS
        }
    }

    /// Maximum level: the burst less the outstanding tokens.
    fn max_level(&self) -> f64 {
        (self.burst - self.outstanding).max(0.0)
    }

    fn refill(&mut self, now: Millis) {
        while self.next_expiry <= now {
            self.grow(self.next_expiry);
            self.expire();
        }
        self.grow(now);
    }

    /// Adds the tokens of the time up to `to`; the number of outstanding tokens does not change.
    fn grow(&mut self, to: Millis) {
        let elapsed = to.saturating_sub(self.updated_at) as f64;
        let grown = (elapsed - self.growth_delay).max(0.0) * self.rate * SECONDS_PER_MS;
        self.growth_delay = (self.growth_delay - elapsed).max(0.0);
        self.level = (self.level + grown).min(self.max_level());
        self.delay_growth();
        self.shortfall.0 = self.shortfall.0.min(self.burst - self.level).max(0.0);
        self.updated_at = self.updated_at.max(to);
    }

    /// Delays growth by the part of this millisecond in which the bucket may have been full.
    fn delay_growth(&mut self) {
        let missing = self.max_level() - self.level;
        self.growth_delay = self.growth_delay.max(1.0 - missing / (self.rate * SECONDS_PER_MS));
    }

    /// Removes the outstanding tokens that have expired at `self.updated_at`.
    fn expire(&mut self) {
        let at = self.updated_at;
        if self.former_tokens.1 <= at {
            self.former_tokens.0 = 0.0;
        }
        self.holders.retain(|_, h| h.expires > at);
        let next_holder = self.holders.values().map(|h| h.expires).min().unwrap_or(Millis::MAX);
        self.next_expiry = if self.former_tokens.0 > 0.0 {
            next_holder.min(self.former_tokens.1)
        } else {
            next_holder
        };
        self.outstanding =
            self.former_tokens.0 + self.holders.values().map(|h| h.count).sum::<f64>();
    }
}

/// Whole tokens in a level. The margin absorbs rounding of sums such as 0.1 added ten times.
fn whole_tokens(level: f64) -> u32 {
    (level + 1e-9).max(0.0) as u32
}
