//! Rates of client accounts.
//!
//! The rate owner keeps one [`Bucket`] a client account for the whole fleet. A group owner keeps an
//! [`Allotment`] that asks the bucket for tokens. Tokens that a holder may still use count against
//! the burst, so level and outstanding tokens together never exceed it, and any window of length T
//! admits at most `burst + rate * T` requests.
//!
//! An [`Ask`] settles everything before it: tokens granted earlier are used, come back with it, or
//! are void because the holder stopped waiting for that grant. Ids of asks grow, so the bucket
//! recognises doubled and late ones, and the holder accepts only the grant for its open ask.
//!
//! # Exactness over a change of owner
//!
//! Let V be the level of an ideal bucket that starts full, grows at `rate` up to `burst` and loses
//! one token at each admission. No window of length T admits more than `burst + rate * T` exactly
//! if V never sinks below 0. An owner ensures V >= level + O, where O is the number of live tokens
//! at holders: a grant moves tokens from level to O, an admission takes one from both V and O, an
//! expiry only lowers O, and growth keeps level + O <= burst, which is where V stops growing.
//!
//! A new owner starts from a pair (level, held) for which, at the moment at which the former owner
//! grants no more, V >= level + O and O <= held ([`Bucket::restore`]). It counts `held` as
//! outstanding for [`TOKEN_LIFE`], after which the tokens of the former owner have expired. So its
//! level is capped at `burst - held` until then, level + O stays within the burst, and the
//! argument above goes on. There are three sources of the pair:
//!
//! - After a graceful move it is the level and the outstanding tokens of the former owner, which
//!   grants nothing after it has sent them ([`Bucket::handover`]).
//! - After a crash it is a floor F that the standby keeps ([`crate::floor`]), with
//!   `held = burst - F`. It is valid while the former owner's level was never below F since it
//!   sent F: then V >= level + O >= F + O, and O <= burst - level <= burst - F. The owner cannot
//!   know which of its messages arrived, so it keeps the level above the greatest of the
//!   acknowledged floor and all floors sent later ([`Bucket::guard`]). To go below it, it sends a
//!   lower floor and waits for the acknowledgement; it sends it ahead of need.
//! - Without a valid pair it is (0, burst), which always holds ([`Bucket::empty`]).
//!
//! The pair also holds after a change of the burst: (level, held) limits O by `held` alone, and a
//! smaller burst b makes the new owner start from `min(level, b - held)`.
//!
//! # Rounding of time
//!
//! Times are rounded down to whole milliseconds, so the time between two readings may be nearly
//! 1 ms longer than it was. This does no harm while an ideal bucket is below the burst, because it
//! has grown during the part of a millisecond that was cut off. A full one has not. So a bucket
//! that may be full at its reading grows only from the end of that millisecond on.
//!
//! # Refusals after a change of owner
//!
//! A new owner may know less than V. It keeps the greatest possible difference, and while that may
//! cover a request, the grant asks the holder to let it wait instead of refusing it.

use std::collections::BTreeMap;

use auburnlug_state::{Millis, Name};

/// Time after which a holder drops a token, counted from the moment it sent the ask.
pub const TOKEN_LIFE: Millis = 500;

/// Time for which the rate owner counts a granted token as outstanding; longer than
/// [`TOKEN_LIFE`], so that a token is never counted as gone while a holder can use it.
pub const TOKEN_HOLD: Millis = 1000;

/// Time after a takeover in which requests wait that the bucket may lack tokens for only because it
/// started low. Equal to the usual longest wait of a request, after which it is refused anyway.
const SETTLE: Millis = 5000;

/// Longest time that a refusal names.
const RETRY_MAX: Millis = 60_000;

/// Part of a second's tokens, in tokens per millisecond at 1 token a second.
const PER_MILLI: f64 = 0.001;

/// Request of a holder for tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ask {
    /// Number of the ask; grows at each holder.
    pub id: u64,
    /// Tokens needed now; 0 only settles earlier grants.
    pub count: u32,
    /// Tokens that the holder would use in the next 50 ms.
    pub demand: u32,
    /// Unused tokens that come back.
    pub returned: u32,
}

/// Answer to an [`Ask`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Grant {
    /// Tokens granted.
    pub count: u32,
    /// When to come again, in milliseconds; 0 if everything needed was granted, or if what was not
    /// may still be: those requests wait and are asked for again.
    pub retry: Millis,
}

/// Tokens that a holder may still use.
#[derive(Debug)]
struct Held {
    id: u64,
    count: f64,
    until: Millis,
}

/// Token bucket of one client account, kept by its rate owner.
#[derive(Debug)]
pub struct Bucket {
    rate: f64,
    burst: f64,
    level: f64,
    at: Millis,
    /// Time after `at` in which the level does not grow, in milliseconds; see the module's head.
    pause: f64,
    holders: BTreeMap<Name, Held>,
    outstanding: f64,
    /// Tokens granted by the owner before this one, and when the last of them expires.
    former: (f64, Millis),
    /// First expiry among `holders` and `former`.
    next: Millis,
    /// Level that a standby may start from; grants leave it untouched.
    guard: f64,
    /// How far the level may be below that of an ideal bucket, and until when this matters.
    doubt: (f64, Millis),
}

impl Bucket {
    /// A full bucket; only for a client account that was never owned.
    pub fn new(rate: f64, burst: f64, now: Millis) -> Bucket {
        Bucket::restore(rate, burst, burst, 0.0, now)
    }

    /// The bucket after a takeover. `quiet` is the time for which the former owner has certainly
    /// granted nothing; until [`TOKEN_LIFE`] has passed, its tokens may fill the whole burst.
    pub fn empty(rate: f64, burst: f64, quiet: Millis, now: Millis) -> Bucket {
        let mut bucket = Bucket::restore(rate, burst, 0.0, burst, now);
        bucket.former.1 = now + TOKEN_LIFE.saturating_sub(quiet);
        bucket.next = bucket.former.1;
        bucket
    }

    /// The bucket after a move, from what [`Bucket::handover`] gave or the standby kept: the level
    /// and the most tokens of the former owner that holders may still use.
    pub fn restore(rate: f64, burst: f64, level: f64, held: f64, now: Millis) -> Bucket {
        let former = (held.max(0.0), now + TOKEN_LIFE);
        let next = if held > 0.0 { former.1 } else { Millis::MAX };
        let level = level.min(burst - former.0).max(0.0);
        let holders = BTreeMap::new();
        let doubt = (burst - level, now + SETTLE);
        let (at, outstanding, guard) = (now, former.0, 0.0);
        Bucket {
            rate,
            burst,
            level,
            at,
            pause: 1.0,
            holders,
            outstanding,
            former,
            next,
            guard,
            doubt,
        }
    }

    /// Sets the level that a standby may start from.
    pub fn guard(&mut self, level: f64) {
        self.guard = level;
    }

    /// Level and outstanding tokens for the next owner; this bucket must grant nothing afterwards.
    pub fn handover(&mut self, now: Millis) -> (f64, f64) {
        self.refill(now);
        (self.level, self.outstanding)
    }

    /// Changes rate and burst. A greater burst fills at the rate.
    pub fn set(&mut self, rate: f64, burst: f64, now: Millis) {
        self.refill(now);
        (self.rate, self.burst) = (rate, burst);
        self.level = self.level.min(self.room());
        self.round();
    }

    /// Answers an ask of `holder`; `None` if it is doubled or came after a later one.
    pub fn take(&mut self, holder: &Name, ask: Ask, now: Millis) -> Option<Grant> {
        self.refill(now);
        let now = self.at;
        if !self.settle(holder, ask) {
            return None;
        }
        let free = self.level - self.guard;
        let count = ask.count.min(whole(free));
        let mut given = count;
        let spare = free.min(self.level - self.burst / 2.0) - f64::from(count);
        if ask.count > 0 && count == ask.count && spare > 0.0 {
            given += ask.demand.min(whole(spare));
        }
        let retry = if count < ask.count { self.retry(count, ask.count - count) } else { 0 };
        self.level -= f64::from(given);
        self.outstanding += f64::from(given);
        let until = now + TOKEN_HOLD;
        self.next = self.next.min(until);
        self.holders.insert(holder.clone(), Held { id: ask.id, count: given.into(), until });
        Some(Grant { count: given, retry })
    }

    /// Tokens that can be granted at `now`.
    pub fn level(&mut self, now: Millis) -> f64 {
        self.refill(now);
        self.level
    }

    /// Closes the earlier grants of `holder`; false if the ask is not its newest.
    fn settle(&mut self, holder: &Name, ask: Ask) -> bool {
        let Some(held) = self.holders.get_mut(holder) else {
            return true;
        };
        if ask.id <= held.id {
            return false;
        }
        let back = f64::from(ask.returned).min(held.count);
        self.outstanding = (self.outstanding - held.count).max(0.0);
        self.level = (self.level + back).min(self.room());
        true
    }

    /// Time until `missing` tokens are there besides the `count` that are granted now; 0 if an
    /// ideal bucket might have some of them.
    fn retry(&self, count: u32, missing: u32) -> Millis {
        let doubt = if self.at < self.doubt.1 { self.doubt.0 } else { 0.0 };
        if whole(self.level + doubt) > count {
            return 0;
        }
        let spare = self.level - self.level.floor();
        let wait = (f64::from(missing) - spare) / (self.rate * PER_MILLI) + self.pause;
        let frozen = if self.former.0 > 0.0 { self.former.1.saturating_sub(self.at) } else { 0 };
        if wait.is_finite() {
            (wait.ceil() as Millis + frozen).clamp(1, RETRY_MAX)
        } else {
            RETRY_MAX
        }
    }

    /// Level that the outstanding tokens leave room for.
    fn room(&self) -> f64 {
        (self.burst - self.outstanding).max(0.0)
    }

    fn refill(&mut self, now: Millis) {
        while self.next <= now {
            self.grow(self.next);
            self.expire();
        }
        self.grow(now);
    }

    /// Adds the tokens of the time up to `to`, with a constant number outstanding.
    fn grow(&mut self, to: Millis) {
        let span = to.saturating_sub(self.at) as f64;
        let grown = (span - self.pause).max(0.0) * self.rate * PER_MILLI;
        self.pause = (self.pause - span).max(0.0);
        self.level = (self.level + grown).min(self.room());
        self.round();
        self.doubt.0 = self.doubt.0.min(self.burst - self.level).max(0.0);
        self.at = self.at.max(to);
    }

    /// Leaves out the growth of the rest of this millisecond that a full bucket would lose.
    fn round(&mut self) {
        let gap = self.room() - self.level;
        self.pause = self.pause.max(1.0 - gap / (self.rate * PER_MILLI));
    }

    /// Drops the outstanding tokens whose time is over at `self.at`.
    fn expire(&mut self) {
        let at = self.at;
        if self.former.1 <= at {
            self.former.0 = 0.0;
        }
        self.holders.retain(|_, h| h.until > at);
        let left = self.holders.values().map(|h| h.until).min().unwrap_or(Millis::MAX);
        self.next = if self.former.0 > 0.0 { left.min(self.former.1) } else { left };
        self.outstanding = self.former.0 + self.holders.values().map(|h| h.count).sum::<f64>();
    }
}

/// Whole tokens in a level. The margin absorbs rounding of sums such as 0.1 added ten times.
fn whole(level: f64) -> u32 {
    (level + 1e-9).max(0.0) as u32
}
