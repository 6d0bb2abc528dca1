//! Request ids of non-idempotent requests.
//!
//! The group owner remembers each id for a minute after its outcome, so that a repeated request
//! gets the first answer and never runs twice. The standby keeps [`Intents`]: the ids that the
//! owner was about to run, with their answers as far as it got them. A new owner takes every id in
//! that table without an answer for "may have run", and without the table every id that it has not
//! seen.

use std::collections::{BTreeMap, VecDeque};

use auburnlug_state::{Millis, Name};

/// Time for which an outcome is remembered, in milliseconds.
pub const RETENTION: Millis = 60_000;

/// Time for which a standby keeps an id: a request runs for at most [`RETENTION`], and its id
/// counts for as long again after its end.
pub const INTENT_RETENTION: Millis = 2 * RETENTION;

/// Client account and request id.
pub type Key = (Name, String);

/// A request id in a copy of the table: its answer with the size in bytes, unless it may have run
/// without one.
pub type Entry<A> = (Key, Option<(A, usize)>);

/// What is known of a request id.
#[derive(Debug)]
enum State<A, W> {
    Running(Vec<W>),
    Done(A, usize),
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
        intents: Option<Vec<Entry<A>>>,
        now: Millis,
    ) -> Requests<A, W> {
        let mut requests = Requests::new(bound, bytes);
        match intents {
            Some(entries) => entries.into_iter().for_each(|(key, answer)| {
                let size = answer.as_ref().map_or(0, |(_, size)| *size);
                let state =
                    answer.map_or(State::Unknown, |(answer, size)| State::Done(answer, size));
                requests.states.insert(key.clone(), state);
                requests.used += size;
                requests.ended.push_back((now, key, size));
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
            Some(State::Done(answer, _)) => return Begin::Answer(waiter, answer.clone()),
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
        self.end(account, id, State::Done(answer, size), size, now)
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

    /// All remembered ids, for [`Intents::fill`] at a new standby, with answers of up to `bytes`
    /// together; `None` while ids that were not seen are answered with "unknown", because the
    /// table is not complete then.
    pub fn export(&mut self, bytes: usize, now: Millis) -> Option<Vec<Entry<A>>> {
        self.expire(now);
        let mut left = bytes;
        let mut copy = |state: &State<A, W>| match state {
            State::Done(answer, size) if *size <= left => {
                left -= size;
                Some((answer.clone(), *size))
            }
            _ => None,
        };
        let states = self.states.iter();
        (now >= self.blind).then(|| states.map(|(key, state)| (key.clone(), copy(state))).collect())
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
pub struct Intents<A> {
    bound: usize,
    /// Bytes of answers that may still be kept.
    left: usize,
    complete: Millis,
    keys: BTreeMap<Key, Intent<A>>,
    order: VecDeque<(Millis, Key)>,
}

/// When an id was stored last, and its answer with the size in bytes.
#[derive(Debug)]
struct Intent<A> {
    at: Millis,
    answer: Option<(A, usize)>,
}

impl<A> Intents<A> {
    /// An empty table of at most `bound` ids and `bytes` of answers, for an owner that uses this
    /// standby from `now` on.
    pub fn new(bound: usize, bytes: usize, now: Millis) -> Intents<A> {
        let complete = now + INTENT_RETENTION;
        Intents { bound, left: bytes, complete, keys: BTreeMap::new(), order: VecDeque::new() }
    }

    /// Whether a new owner may use the table.
    pub fn is_complete(&self, now: Millis) -> bool {
        now >= self.complete
    }

    /// Adds all ids that the owner remembers; false if they do not fit, and the table then stays
    /// incomplete.
    pub fn fill(&mut self, entries: Vec<Entry<A>>, now: Millis) -> bool {
        for ((account, id), answer) in entries {
            if !self.store(&account, &id, now) {
                return false;
            }
            if let Some((answer, size)) = answer {
                self.finish(account, id, answer, size);
            }
        }
        self.complete = self.complete.min(now);
        true
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
        // An id that the owner runs again, because it forgot the first run, has no answer yet.
        let old = self.keys.insert(key.clone(), Intent { at: now, answer: None });
        self.left += old.map_or(0, |old| old.size());
        self.order.push_back((now, key));
        true
    }

    /// Adds the answer to a stored id, of `size` bytes, if there is room for it.
    pub fn finish(&mut self, account: Name, id: String, answer: A, size: usize) {
        if let Some(intent) = self.keys.get_mut(&(account, id))
            && intent.answer.is_none()
            && size <= self.left
        {
            self.left -= size;
            intent.answer = Some((answer, size));
        }
    }

    /// Ids for the new owner; `None` if the table is not complete.
    pub fn export(mut self, now: Millis) -> Option<Vec<Entry<A>>> {
        self.expire(now);
        let entries = self.keys.into_iter().map(|(key, intent)| (key, intent.answer));
        (now >= self.complete).then(|| entries.collect())
    }

    fn expire(&mut self, now: Millis) {
        while self.order.front().is_some_and(|(at, _)| at + INTENT_RETENTION <= now) {
            if let Some((at, key)) = self.order.pop_front()
                && self.keys.get(&key).is_some_and(|intent| intent.at == at)
            {
                let old = self.keys.remove(&key);
                self.left += old.map_or(0, |old| old.size());
            }
        }
    }
}

impl<A> Intent<A> {
    fn size(&self) -> usize {
        self.answer.as_ref().map_or(0, |(_, size)| *size)
    }
}
