//! The group owner's side of the rates: decides whether a request of a client account may run.

use auburnlug_state::Millis;

use crate::limit::{Ask, Grant, TOKEN_LIFE};

/// Time after which an unanswered ask is repeated. Tokens of a grant that comes later are lost, so
/// this is far above the time of a message between regions.
const ASK_TIMEOUT: Millis = 250;

/// Time after which an ask that found no rate owner is repeated.
const LOST_AGAIN: Millis = 20;

/// Time after which used tokens are reported. Tokens count against the burst until then.
const REPORT_AFTER: Millis = 10;

/// Time without a request after which held tokens go back.
const RETURN_AFTER: Millis = 50;

/// Time that an allotment should last, in milliseconds.
const AHEAD: f64 = 50.0;

/// Time over which the demand is averaged, in milliseconds.
const AVERAGE: f64 = 200.0;

/// Decision for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admit {
    /// It may run.
    Now,
    /// Send this to the rate owner; the request waits for the grant.
    Ask(Ask),
    /// It waits for the grant of an ask that is under way.
    Wait,
    /// It must not run.
    Refused {
        /// When to come again, in milliseconds.
        retry: Millis,
    },
}

/// What a grant means for the waiting requests, which the caller keeps in order of arrival.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Granted {
    /// This many of the first requests may run.
    pub admitted: u32,
    /// This many after them are refused.
    pub refused: u32,
    /// When the refused come again, in milliseconds.
    pub retry: Millis,
    /// Send this for the requests that still wait.
    pub ask: Option<Ask>,
}

/// Admission of one client account at one group owner.
pub trait Limit: Send {
    /// Decides for a request.
    fn admit(&mut self, now: Millis) -> Admit;

    /// Takes the grant for the ask `id`.
    fn granted(&mut self, id: u64, grant: Grant, now: Millis) -> Granted;

    /// The ask `id` reached an instance that does not own the rate; it is repeated soon.
    fn lost(&mut self, id: u64, now: Millis);

    /// Learns rate and burst of the client account, and the number of instances that admit.
    fn share(&mut self, _rate: f64, _burst: f64, _instances: u32, _now: Millis) {}

    /// A waiting request gave up.
    fn leave(&mut self);

    /// An ask that is due: repeated, or reporting used and returning unused tokens. Call it every
    /// few milliseconds while requests come.
    fn tick(&mut self, now: Millis) -> Option<Ask>;
}

#[derive(Debug)]
struct Open {
    id: u64,
    sent: Millis,
    /// When it is repeated.
    again: Millis,
    count: u32,
}

/// Tokens of one client account at one group owner.
#[derive(Debug)]
pub struct Allotment {
    id: u64,
    tokens: u32,
    /// When `tokens` expire.
    until: Millis,
    /// Expired tokens that were not used.
    unused: u32,
    waiting: u32,
    open: Option<Open>,
    /// First use since the last ask.
    used: Option<Millis>,
    /// Smoothed requests per millisecond, and when it was updated.
    demand: (f64, Millis),
}

impl Allotment {
    /// An empty allotment. Ids of asks start at `first` and must be greater after a restart of the
    /// holder, for example the time of day in microseconds.
    pub fn new(first: u64) -> Allotment {
        Allotment {
            id: first,
            tokens: 0,
            until: 0,
            unused: 0,
            waiting: 0,
            open: None,
            used: None,
            demand: (0.0, 0),
        }
    }

    fn note(&mut self, now: Millis) {
        let gap = now.saturating_sub(self.demand.1) as f64;
        self.demand = (self.demand.0 * (-gap / AVERAGE).exp() + 1.0 / AVERAGE, now);
    }

    fn expire(&mut self, now: Millis) {
        if self.tokens > 0 && now >= self.until {
            self.unused += std::mem::take(&mut self.tokens);
        }
    }

    /// An ask for `count` tokens; the allotment must hold none.
    fn ask(&mut self, count: u32, now: Millis) -> Ask {
        self.id += 1;
        self.used = None;
        let returned = std::mem::take(&mut self.unused) + std::mem::take(&mut self.tokens);
        let demand = if count > 0 { (self.demand.0 * AHEAD) as u32 } else { 0 };
        if count > 0 {
            let again = now + ASK_TIMEOUT;
            self.open = Some(Open { id: self.id, sent: now, again, count });
        }
        Ask { id: self.id, count, demand, returned }
    }
}

impl Limit for Allotment {
    fn admit(&mut self, now: Millis) -> Admit {
        self.note(now);
        self.expire(now);
        if self.waiting == 0 && self.tokens > 0 {
            self.tokens -= 1;
            self.used.get_or_insert(now);
            return Admit::Now;
        }
        self.waiting += 1;
        match &self.open {
            Some(open) if now < open.again => Admit::Wait,
            _ => Admit::Ask(self.ask(self.waiting, now)),
        }
    }

    fn granted(&mut self, id: u64, grant: Grant, now: Millis) -> Granted {
        let Some(open) = self.open.take_if(|open| open.id == id) else {
            return Granted::default();
        };
        let until = open.sent + TOKEN_LIFE;
        if now >= until {
            self.unused += grant.count;
            let ask = (self.waiting > 0).then(|| self.ask(self.waiting, now));
            return Granted { ask, ..Granted::default() };
        }
        let admitted = grant.count.min(self.waiting);
        self.waiting -= admitted;
        if admitted > 0 {
            self.used.get_or_insert(now);
        }
        (self.tokens, self.until) = (grant.count - admitted, until);
        let refused = open.count.saturating_sub(grant.count).min(self.waiting);
        self.waiting -= refused;
        let ask = (self.waiting > 0).then(|| self.ask(self.waiting, now));
        Granted { admitted, refused, retry: grant.retry, ask }
    }

    fn lost(&mut self, id: u64, now: Millis) {
        if let Some(open) = self.open.as_mut().filter(|open| open.id == id) {
            open.again = open.again.min(now + LOST_AGAIN);
        }
    }

    fn leave(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    fn tick(&mut self, now: Millis) -> Option<Ask> {
        self.expire(now);
        if let Some(open) = &self.open {
            if now < open.again {
                return None;
            }
            self.open = None;
            if self.waiting > 0 {
                return Some(self.ask(self.waiting, now));
            }
        }
        let idle = now.saturating_sub(self.demand.1) >= RETURN_AFTER;
        let back = self.unused > 0 || (self.tokens > 0 && idle);
        let report = self.tokens == 0 && self.used.is_some_and(|at| now >= at + REPORT_AFTER);
        (back || report).then(|| self.ask(0, now))
    }
}

/// Baseline: each of `n` instances admits an n-th of rate and burst and asks nobody.
#[derive(Debug)]
pub struct EvenSplit {
    rate: f64,
    burst: f64,
    level: f64,
    at: Millis,
}

impl EvenSplit {
    /// The share of one of `instances`, full.
    pub fn new(rate: f64, burst: f64, instances: u32, now: Millis) -> EvenSplit {
        let n = f64::from(instances.max(1));
        EvenSplit { rate: rate / n, burst: burst / n, level: burst / n, at: now }
    }
}

impl EvenSplit {
    fn refill(&mut self, now: Millis) {
        let span = now.saturating_sub(self.at) as f64;
        self.level = (self.level + span * self.rate / 1000.0).min(self.burst);
        self.at = self.at.max(now);
    }
}

impl Limit for EvenSplit {
    fn admit(&mut self, now: Millis) -> Admit {
        self.refill(now);
        if self.level >= 1.0 {
            self.level -= 1.0;
            return Admit::Now;
        }
        let wait = ((1.0 - self.level) * 1000.0 / self.rate).ceil();
        Admit::Refused { retry: if wait.is_finite() { wait as Millis } else { 60_000 } }
    }

    fn granted(&mut self, _id: u64, _grant: Grant, _now: Millis) -> Granted {
        Granted::default()
    }

    fn lost(&mut self, _id: u64, _now: Millis) {}

    fn share(&mut self, rate: f64, burst: f64, instances: u32, now: Millis) {
        self.refill(now);
        let n = f64::from(instances.max(1));
        (self.rate, self.burst) = (rate / n, burst / n);
        self.level = self.level.min(self.burst);
    }

    fn leave(&mut self) {}

    fn tick(&mut self, _now: Millis) -> Option<Ask> {
        None
    }
}
