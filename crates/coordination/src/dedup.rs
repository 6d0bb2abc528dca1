//! Request ids of non-idempotent requests.
//!
//! The group owner remembers each id for a minute after its outcome, so that a repeated request
//! gets the first answer and never runs twice. The standby keeps [`Intents`]: the ids that the
//! owner was about to run. A new owner takes every id in that table for "may have run", and
//! without the table every id that it has not seen.

use std::collections::{BTreeMap, VecDeque};

use auburnlug_state::{Millis, Name};

/// Time for which an outcome is remembered, in milliseconds.
pub const RETENTION: Millis = 60_000;

/// Time for which a standby keeps an id: a request runs for at most [`RETENTION`], and its id
/// counts for as long again after its end.
pub const INTENT_RETENTION: Millis = 2 * RETENTION;

/// Client account and request id.
pub type Key = (Name, String);

/// What is known of a request id.
#[derive(Debug)]
enum State<A, W> {
    Running(Vec<W>),
    Done(A),
    Unknown,
}

/// Decision for a request with an id.
#[derive(Debug, PartialEq)]
pub enum Begin<A, W> {
    /// It is the first: run it, then call [`Requests::finish`], [`Requests::lose`] or
    /// [`Requests::drop`].
    First(W),
    /// The first one is running; the waiter is kept until it ends.
    Joined,
    /// The first one has ended with this answer.
    Answer(W, A),
    /// It may have run.
    Unknown(W),
    /// The table is full: refuse it, nothing was run.
    Full(W),
}

/// Request ids of one group; `A` is an answer and `W` a caller that waits for one.
#[derive(Debug)]
pub struct Requests<A, W> {
    bound: usize,
    bytes: usize,
    used: usize,
    states: BTreeMap<Key, State<A, W>>,
    /// Ended requests by time: when, id, size.
    ended: VecDeque<(Millis, Key, usize)>,
    /// Until then an id that was not seen may have run at the former owner.
    blind: Millis,
}

impl<A: Clone, W> Requests<A, W> {
    /// An empty table of at most `bound` ids and `bytes` of answers, for a group that had no
    /// owner before.
    pub fn new(bound: usize, bytes: usize) -> Requests<A, W> {
        let (states, ended) = (BTreeMap::new(), VecDeque::new());
        Requests { bound, bytes, used: 0, states, ended, blind: 0 }
    }

    /// The table after a takeover; `intents` is the standby's complete table, if there is one.
    pub fn resume(
        bound: usize,
        bytes: usize,
        intents: Option<Vec<Key>>,
        now: Millis,
    ) -> Requests<A, W> {
        let mut requests = Requests::new(bound, bytes);
        match intents {
            Some(keys) => keys.into_iter().for_each(|key| {
                requests.states.insert(key.clone(), State::Unknown);
                requests.ended.push_back((now, key, 0));
            }),
            None => requests.blind = now + RETENTION,
        }
        requests
    }

    /// Decides for a request; `waiter` is kept only if the first one is running.
    pub fn begin(&mut self, account: &Name, id: &str, waiter: W, now: Millis) -> Begin<A, W> {
        self.expire(now);
        let key = (account.clone(), id.to_owned());
        match self.states.get_mut(&key) {
            Some(State::Running(waiters)) => {
                waiters.push(waiter);
                return Begin::Joined;
            }
            Some(State::Done(answer)) => return Begin::Answer(waiter, answer.clone()),
            Some(State::Unknown) => return Begin::Unknown(waiter),
            None if now < self.blind => return Begin::Unknown(waiter),
            None => {}
        }
        if self.states.len() >= self.bound || self.used >= self.bytes {
            return Begin::Full(waiter);
        }
        self.states.insert(key, State::Running(Vec::new()));
        Begin::First(waiter)
    }

    /// Records the answer, of `size` bytes, and returns the callers that wait for it.
    pub fn finish(
        &mut self,
        account: &Name,
        id: &str,
        answer: A,
        size: usize,
        now: Millis,
    ) -> Vec<W> {
        self.end(account, id, State::Done(answer), size, now)
    }

    /// Records that the outcome is unknown and returns the callers that wait for it.
    pub fn lose(&mut self, account: &Name, id: &str, now: Millis) -> Vec<W> {
        self.end(account, id, State::Unknown, 0, now)
    }

    /// Forgets a request of which nothing was sent to a server; it may come again. The returned
    /// callers get the same refusal.
    pub fn drop(&mut self, account: &Name, id: &str) -> Vec<W> {
        let key = (account.clone(), id.to_owned());
        match self.states.get(&key) {
            Some(State::Running(_)) => match self.states.remove(&key) {
                Some(State::Running(waiters)) => waiters,
                _ => Vec::new(),
            },
            _ => Vec::new(),
        }
    }

    /// All remembered ids, for [`Intents::fill`] at a new standby; `None` while ids that were not
    /// seen are answered with "unknown", because the table is not complete then.
    pub fn export(&mut self, now: Millis) -> Option<Vec<Key>> {
        self.expire(now);
        (now >= self.blind).then(|| self.states.keys().cloned().collect())
    }

    /// Number of remembered ids.
    pub fn len(&self) -> usize {
        self.states.len()
    }

    /// Whether no id is remembered.
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }

    fn end(
        &mut self,
        account: &Name,
        id: &str,
        state: State<A, W>,
        size: usize,
        now: Millis,
    ) -> Vec<W> {
        let key = (account.clone(), id.to_owned());
        let Some(old @ State::Running(_)) = self.states.get_mut(&key) else {
            return Vec::new();
        };
        let old = std::mem::replace(old, state);
        self.used += size;
        self.ended.push_back((now, key, size));
        if let State::Running(waiters) = old { waiters } else { Vec::new() }
    }

    fn expire(&mut self, now: Millis) {
        while self.ended.front().is_some_and(|(at, _, _)| at + RETENTION <= now) {
            if let Some((_, key, size)) = self.ended.pop_front() {
                self.states.remove(&key);
                self.used = self.used.saturating_sub(size);
            }
        }
    }
}

/// Request ids that the owner of a group was about to run, at its standby.
///
/// The table is complete once the owner has filled it, or has stored every id in it for
/// [`INTENT_RETENTION`]. An incomplete table must not be used: ids that are missing in it would
/// count as new.
#[derive(Debug)]
pub struct Intents {
    bound: usize,
    complete: Millis,
    keys: BTreeMap<Key, Millis>,
    order: VecDeque<(Millis, Key)>,
}

impl Intents {
    /// An empty table of at most `bound` ids, for an owner that uses this standby from `now` on.
    pub fn new(bound: usize, now: Millis) -> Intents {
        let complete = now + INTENT_RETENTION;
        Intents { bound, complete, keys: BTreeMap::new(), order: VecDeque::new() }
    }

    /// Adds all ids that the owner remembers; false if they do not fit, and the table then stays
    /// incomplete.
    pub fn fill(&mut self, keys: Vec<Key>, now: Millis) -> bool {
        let all = keys.iter().all(|(account, id)| self.store(account, id, now));
        if all {
            self.complete = now;
        }
        all
    }

    /// Stores an id; false if the table is full and the owner must not run the request.
    pub fn store(&mut self, account: &Name, id: &str, now: Millis) -> bool {
        self.expire(now);
        let key = (account.clone(), id.to_owned());
        // An id that was refused and came again is twice in `order`.
        let full = self.keys.len() >= self.bound && !self.keys.contains_key(&key);
        if full || self.order.len() >= 2 * self.bound {
            return false;
        }
        self.keys.insert(key.clone(), now);
        self.order.push_back((now, key));
        true
    }

    /// Ids for the new owner; `None` if the table is not complete.
    pub fn export(mut self, now: Millis) -> Option<Vec<Key>> {
        self.expire(now);
        (now >= self.complete).then(|| self.keys.into_keys().collect())
    }

    fn expire(&mut self, now: Millis) {
        while self.order.front().is_some_and(|(at, _)| at + INTENT_RETENTION <= now) {
            if let Some((at, key)) = self.order.pop_front()
                && self.keys.get(&key) == Some(&at)
            {
                self.keys.remove(&key);
            }
        }
    }
}
