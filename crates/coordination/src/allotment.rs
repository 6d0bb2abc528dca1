//! Admission at a group owner: decides whether a request of a client account may run.

use auburnlug_state::Millis;

use crate::token_bucket::{TOKEN_LIFETIME_MS, TokenGrant, TokenRequest};

/// Time after which an unanswered token request is repeated. The tokens of a grant that arrives
/// later are lost, so this is far above the latency between regions.
const TOKEN_REQUEST_TIMEOUT_MS: Millis = 250;

/// Time after which a token request that did not reach the rate owner is repeated.
const NO_OWNER_RETRY_DELAY_MS: Millis = 20;

/// Time after which used tokens are reported. Tokens count against the burst until then.
const USAGE_REPORT_DELAY_MS: Millis = 10;

/// Time without a request after which unused tokens are returned.
const IDLE_RETURN_DELAY_MS: Millis = 50;

/// Time whose expected demand is requested ahead.
const PREFETCH_SPAN_MS: f64 = 50.0;

/// Time constant of the moving average of the demand.
const DEMAND_AVERAGING_MS: f64 = 200.0;

/// Decision for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admit {
    /// It may run.
    Now,
    /// It waits for a grant; send this token request to the rate owner.
    Request(TokenRequest),
    /// It waits for the grant of a token request in flight.
    Wait,
    /// It must not run.
    Refused {
        /// Delay before a retry, in milliseconds.
        retry_delay: Millis,
    },
}

/// What a grant means for the waiting requests, which the caller keeps in order of arrival.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Granted {
    /// This many of the first requests may run.
    pub admitted: u32,
    /// This many after them are refused.
    pub refused: u32,
    /// Delay before a retry of the refused ones, in milliseconds.
    pub retry_delay: Millis,
    /// Token request to send for the requests that still wait.
    pub request: Option<TokenRequest>,
}

/// Admission of one client account at one group owner.
pub trait Admission: Send {
    /// Decides for a request.
    fn admit(&mut self, now: Millis) -> Admit;

    /// Applies the grant for the token request `id`.
    fn apply_grant(&mut self, id: u64, grant: TokenGrant, now: Millis) -> Granted;

    /// Records that the token request `id` reached an instance that is not the rate owner; it is
    /// repeated soon.
    fn record_no_owner(&mut self, id: u64, now: Millis);

    /// Sets rate and burst of the client account, and the number of instances that admit.
    fn set_limit(&mut self, _rate: f64, _burst: f64, _instances: u32, _now: Millis) {}

    /// Removes a waiting request that was cancelled.
    fn remove_waiting(&mut self);

    /// Returns a token request that is due: a retry, or one that reports used and returns unused
    /// tokens. Call it every few milliseconds while requests arrive.
    fn tick(&mut self, now: Millis) -> Option<TokenRequest>;
}

#[derive(Debug)]
struct PendingRequest {
    id: u64,
    sent: Millis,
    /// Time at which it is repeated.
    retry_at: Millis,
    count: u32,
}

/// Tokens of one client account at one group owner.
#[derive(Debug)]
pub struct Allotment {
    id: u64,
    tokens: u32,
    /// When `tokens` expire.
    expires: Millis,
    /// Expired tokens that were not used.
    expired: u32,
    waiting: u32,
    pending: Option<PendingRequest>,
    /// First use of a token since the last request.
    first_use: Option<Millis>,
    /// Moving average of requests per millisecond, and the time of its last update.
    demand: (f64, Millis),
}

impl Allotment {
    /// An empty allotment. Ids of token requests start at `first`, which must be greater after a
    /// restart of the holder, for example the time of day in microseconds.
    pub fn new(first: u64) -> Allotment {
        Allotment {
            id: first,
            tokens: 0,
            expires: 0,
            expired: 0,
            waiting: 0,
            pending: None,
            first_use: None,
            demand: (0.0, 0),
        }
    }

    fn update_demand(&mut self, now: Millis) {
        let elapsed = now.saturating_sub(self.demand.1) as f64;
        self.demand = (
            self.demand.0 * (-elapsed / DEMAND_AVERAGING_MS).exp() + 1.0 / DEMAND_AVERAGING_MS,
            now,
        );
    }

    fn expire(&mut self, now: Millis) {
        if self.tokens > 0 && now >= self.expires {
            self.expired += std::mem::take(&mut self.tokens);
        }
    }

    /// Creates a request for `count` tokens that returns all remaining ones.
    fn create_request(&mut self, count: u32, now: Millis) -> TokenRequest {
        self.id += 1;
        self.first_use = None;
        let returned = std::mem::take(&mut self.expired) + std::mem::take(&mut self.tokens);
        let demand = if count > 0 { (self.demand.0 * PREFETCH_SPAN_MS) as u32 } else { 0 };
        if count > 0 {
            let retry_at = now + TOKEN_REQUEST_TIMEOUT_MS;
            self.pending = Some(PendingRequest { id: self.id, sent: now, retry_at, count });
        }
        TokenRequest { id: self.id, count, demand, returned }
    }
}

impl Admission for Allotment {
    fn admit(&mut self, now: Millis) -> Admit {
        self.update_demand(now);
        self.expire(now);
        if self.waiting == 0 && self.tokens > 0 {
            self.tokens -= 1;
            self.first_use.get_or_insert(now);
            return Admit::Now;
        }
        self.waiting += 1;
        match &self.pending {
            Some(pending) if now < pending.retry_at => Admit::Wait,
            _ => Admit::Request(self.create_request(self.waiting, now)),
        }
    }

    fn apply_grant(&mut self, id: u64, grant: TokenGrant, now: Millis) -> Granted {
        let Some(pending) = self.pending.take_if(|pending| pending.id == id) else {
            return Granted::default();
        };
        let expires = pending.sent + TOKEN_LIFETIME_MS;
        if now >= expires {
            self.expired += grant.count;
            let request = (self.waiting > 0).then(|| self.create_request(self.waiting, now));
            return Granted { request, ..Granted::default() };
        }
        let admitted = grant.count.min(self.waiting);
        self.waiting -= admitted;
        if admitted > 0 {
            self.first_use.get_or_insert(now);
        }
        (self.tokens, self.expires) = (grant.count - admitted, expires);
        let refused = pending.count.saturating_sub(grant.count).min(self.waiting);
        self.waiting -= refused;
        let request = (self.waiting > 0).then(|| self.create_request(self.waiting, now));
        Granted { admitted, refused, retry_delay: grant.retry_delay, request }
    }

    fn record_no_owner(&mut self, id: u64, now: Millis) {
        if let Some(pending) = self.pending.as_mut().filter(|pending| pending.id == id) {
            pending.retry_at = pending.retry_at.min(now + NO_OWNER_RETRY_DELAY_MS);
        }
    }

    fn remove_waiting(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    fn tick(&mut self, now: Millis) -> Option<TokenRequest> {
        self.expire(now);
        if let Some(pending) = &self.pending {
            if now < pending.retry_at {
                return None;
            }
            self.pending = None;
            if self.waiting > 0 {
                return Some(self.create_request(self.waiting, now));
            }
        }
        let idle = now.saturating_sub(self.demand.1) >= IDLE_RETURN_DELAY_MS;
        let returns = self.expired > 0 || (self.tokens > 0 && idle);
        let reports =
            self.tokens == 0 && self.first_use.is_some_and(|at| now >= at + USAGE_REPORT_DELAY_MS);
        (returns || reports).then(|| self.create_request(0, now))
    }
}

/// Baseline for comparison: each of `n` instances admits an n-th of rate and burst on its own.
#[derive(Debug)]
pub struct EvenSplit {
    rate: f64,
    burst: f64,
    level: f64,
    updated_at: Millis,
}

impl EvenSplit {
    /// The full bucket of one of `instances`.
    pub fn new(rate: f64, burst: f64, instances: u32, now: Millis) -> EvenSplit {
        let n = f64::from(instances.max(1));
        EvenSplit { rate: rate / n, burst: burst / n, level: burst / n, updated_at: now }
    }
}

impl EvenSplit {
    fn refill(&mut self, now: Millis) {
        let elapsed = now.saturating_sub(self.updated_at) as f64;
        self.level = (self.level + elapsed * self.rate / 1000.0).min(self.burst);
        self.updated_at = self.updated_at.max(now);
    }
}

impl Admission for EvenSplit {
    fn admit(&mut self, now: Millis) -> Admit {
        self.refill(now);
        if self.level >= 1.0 {
            self.level -= 1.0;
            return Admit::Now;
        }
        let wait = ((1.0 - self.level) * 1000.0 / self.rate).ceil();
        Admit::Refused { retry_delay: if wait.is_finite() { wait as Millis } else { 60_000 } }
    }

    fn apply_grant(&mut self, _id: u64, _grant: TokenGrant, _now: Millis) -> Granted {
        Granted::default()
    }

    fn record_no_owner(&mut self, _id: u64, _now: Millis) {}

    fn set_limit(&mut self, rate: f64, burst: f64, instances: u32, now: Millis) {
        self.refill(now);
        let n = f64::from(instances.max(1));
        (self.rate, self.burst) = (rate / n, burst / n);
        self.level = self.level.min(self.burst);
    }

    fn remove_waiting(&mut self) {}

    fn tick(&mut self, _now: Millis) -> Option<TokenRequest> {
        None
    }
}
