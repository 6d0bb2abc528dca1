//! Deduplication of non-idempotent requests by request id.
//!
//! The group owner retains each id for a minute after its outcome, so that a retried request gets
//! the first answer and never runs twice. The standby stores [`IntentTable`]: the ids that the
//! owner was about to run, with the answers that it has received. A new owner treats every id in
//! that table without an answer as one that may have run, and without the table every id that it
//! has not seen.

use std::collections::{BTreeMap, VecDeque};

use auburnlug_state::{Millis, Name};

/// Time for which an outcome is retained.
pub const OUTCOME_RETENTION_MS: Millis = 60_000;

/// Time for which a standby retains an id: a request runs for at most [`OUTCOME_RETENTION_MS`], and
/// its outcome is retained for as long again.
pub const INTENT_RETENTION_MS: Millis = 2 * OUTCOME_RETENTION_MS;

/// Client account and request id.
pub type RequestKey = (Name, String);

/// A request id in a copy of the table, with its answer and the answer's size in bytes; `None` if
/// it may have run and the answer is unknown.
pub type RequestEntry<A> = (RequestKey, Option<(A, usize)>);

/// State of a request id.
#[derive(Debug)]
enum State<A, W> {
    Running(Vec<W>),
    Done(A, usize),
    Unknown,
}

/// Decision for a request with an id.
#[derive(Debug, PartialEq)]
pub enum Begin<A, W> {
    /// It is the first: run it, then call [`RequestTable::record_answer`],
    /// [`RequestTable::record_unknown`] or [`RequestTable::discard`].
    First(W),
    /// The first one is running; the waiter is stored until it ends.
    Joined,
    /// The first one has ended with this answer.
    Answer(W, A),
    /// It may have run.
    Unknown(W),
    /// The table is full: refuse it; it was not run.
    Full(W),
}

/// Table of the request ids of one group; `A` is an answer and `W` a caller that waits for one.
#[derive(Debug)]
pub struct RequestTable<A, W> {
    max_ids: usize,
    max_bytes: usize,
    used_bytes: usize,
    states: BTreeMap<RequestKey, State<A, W>>,
    /// Ended requests in order of time: time, id, and size of the answer in bytes.
    ended: VecDeque<(Millis, RequestKey, usize)>,
    /// Time until which an unseen id may have run at the former owner.
    incomplete_until: Millis,
}

impl<A: Clone, W> RequestTable<A, W> {
    /// An empty table of at most `max_ids` ids and `max_bytes` of answers, for a group that never
    /// had an owner.
    pub fn new(max_ids: usize, max_bytes: usize) -> RequestTable<A, W> {
        let (states, ended) = (BTreeMap::new(), VecDeque::new());
        RequestTable { max_ids, max_bytes, used_bytes: 0, states, ended, incomplete_until: 0 }
    }

    /// The table after a takeover; `intents` is the standby's complete table, if there is one.
    pub fn resume(
        max_ids: usize,
        max_bytes: usize,
        intents: Option<Vec<RequestEntry<A>>>,
        now: Millis,
    ) -> RequestTable<A, W> {
        let mut requests = RequestTable::new(max_ids, max_bytes);
        match intents {
            Some(entries) => entries.into_iter().for_each(|(key, answer)| {
                let size = answer.as_ref().map_or(0, |(_, size)| *size);
                let state =
                    answer.map_or(State::Unknown, |(answer, size)| State::Done(answer, size));
                requests.states.insert(key.clone(), state);
                requests.used_bytes += size;
                requests.ended.push_back((now, key, size));
            }),
            None => requests.incomplete_until = now + OUTCOME_RETENTION_MS,
        }
        requests
    }

    /// Decides for a request; `waiter` is stored only if the first one is running.
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
            None if now < self.incomplete_until => return Begin::Unknown(waiter),
            None => {}
        }
        if self.states.len() >= self.max_ids || self.used_bytes >= self.max_bytes {
            return Begin::Full(waiter);
        }
        self.states.insert(key, State::Running(Vec::new()));
        Begin::First(waiter)
    }

    /// Records the answer, of `size` bytes, and returns the callers that wait for it.
    pub fn record_answer(
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
    pub fn record_unknown(&mut self, account: &Name, id: &str, now: Millis) -> Vec<W> {
        self.end(account, id, State::Unknown, 0, now)
    }

    /// Removes a request of which nothing was sent to a server, so that it may be retried. The
    /// returned callers get the same refusal.
    pub fn discard(&mut self, account: &Name, id: &str) -> Vec<W> {
        let key = (account.clone(), id.to_owned());
        match self.states.get(&key) {
            Some(State::Running(_)) => match self.states.remove(&key) {
                Some(State::Running(waiters)) => waiters,
                _ => Vec::new(),
            },
            _ => Vec::new(),
        }
    }

    /// All retained ids, for [`IntentTable::fill`] at a new standby, with answers of up to `bytes`
    /// in total; `None` while unseen ids are answered with [`Begin::Unknown`], because the table is
    /// not complete then.
    pub fn export(&mut self, bytes: usize, now: Millis) -> Option<Vec<RequestEntry<A>>> {
        self.expire(now);
        let mut remaining = bytes;
        let mut copy = |state: &State<A, W>| match state {
            State::Done(answer, size) if *size <= remaining => {
                remaining -= size;
                Some((answer.clone(), *size))
            }
            _ => None,
        };
        let states = self.states.iter();
        (now >= self.incomplete_until)
            .then(|| states.map(|(key, state)| (key.clone(), copy(state))).collect())
    }

    /// Number of retained ids.
    pub fn len(&self) -> usize {
        self.states.len()
    }

    /// Whether no id is retained.
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
        self.used_bytes += size;
        self.ended.push_back((now, key, size));
        if let State::Running(waiters) = old { waiters } else { Vec::new() }
    }

    fn expire(&mut self, now: Millis) {
        while self.ended.front().is_some_and(|(at, _, _)| at + OUTCOME_RETENTION_MS <= now) {
            if let Some((_, key, size)) = self.ended.pop_front() {
                self.states.remove(&key);
                self.used_bytes = self.used_bytes.saturating_sub(size);
            }
        }
    }
}

/// Table at the standby of the request ids that the group owner was about to run.
///
/// The table is complete once the owner has filled it, or has stored every id in it for
/// [`INTENT_RETENTION_MS`]. An incomplete table must not be used: ids that are missing from it
/// would count as new.
#[derive(Debug)]
pub struct IntentTable<A> {
    max_ids: usize,
    /// Bytes of answers that can still be stored.
    free_bytes: usize,
    complete_from: Millis,
    keys: BTreeMap<RequestKey, StoredIntent<A>>,
    order: VecDeque<(Millis, RequestKey)>,
}

/// Time at which an id was last stored, and its answer with the size in bytes.
#[derive(Debug)]
struct StoredIntent<A> {
    stored_at: Millis,
    answer: Option<(A, usize)>,
}

impl<A> IntentTable<A> {
    /// An empty table of at most `max_ids` ids and `max_bytes` of answers, for an owner that uses
    /// this standby from `now` on.
    pub fn new(max_ids: usize, max_bytes: usize, now: Millis) -> IntentTable<A> {
        let complete_from = now + INTENT_RETENTION_MS;
        IntentTable {
            max_ids,
            free_bytes: max_bytes,
            complete_from,
            keys: BTreeMap::new(),
            order: VecDeque::new(),
        }
    }

    /// Whether a new owner may use the table.
    pub fn is_complete(&self, now: Millis) -> bool {
        now >= self.complete_from
    }

    /// Adds all ids that the owner retains; false if they do not fit, and the table then stays
    /// incomplete.
    pub fn fill(&mut self, entries: Vec<RequestEntry<A>>, now: Millis) -> bool {
        for ((account, id), answer) in entries {
            if !self.store(&account, &id, now) {
                return false;
            }
            if let Some((answer, size)) = answer {
                self.record_answer(account, id, answer, size);
            }
        }
        self.complete_from = self.complete_from.min(now);
        true
    }

    /// Stores an id; false if the table is full and the owner must not run the request.
    pub fn store(&mut self, account: &Name, id: &str, now: Millis) -> bool {
        self.expire(now);
        let key = (account.clone(), id.to_owned());
        // An id that was refused and then retried is twice in `order`.
        let full = self.keys.len() >= self.max_ids && !self.keys.contains_key(&key);
        if full || self.order.len() >= 2 * self.max_ids {
            return false;
        }
        // An id that the owner runs again, after it removed the first run, has no answer yet.
        let old = self.keys.insert(key.clone(), StoredIntent { stored_at: now, answer: None });
        self.free_bytes += old.map_or(0, |old| old.size());
        self.order.push_back((now, key));
        true
    }

    /// Adds the answer to a stored id, of `size` bytes, if it fits.
    pub fn record_answer(&mut self, account: Name, id: String, answer: A, size: usize) {
        if let Some(intent) = self.keys.get_mut(&(account, id))
            && intent.answer.is_none()
            && size <= self.free_bytes
        {
            self.free_bytes -= size;
            intent.answer = Some((answer, size));
        }
    }

    /// Ids for the new owner; `None` if the table is not complete.
    pub fn export(mut self, now: Millis) -> Option<Vec<RequestEntry<A>>> {
        self.expire(now);
        let entries = self.keys.into_iter().map(|(key, intent)| (key, intent.answer));
        (now >= self.complete_from).then(|| entries.collect())
    }

    fn expire(&mut self, now: Millis) {
        while self.order.front().is_some_and(|(at, _)| at + INTENT_RETENTION_MS <= now) {
            if let Some((at, key)) = self.order.pop_front()
                && self.keys.get(&key).is_some_and(|intent| intent.stored_at == at)
            {
                let old = self.keys.remove(&key);
                self.free_bytes += old.map_or(0, |old| old.size());
            }
        }
    }
}

impl<A> StoredIntent<A> {
    fn size(&self) -> usize {
        self.answer.as_ref().map_or(0, |(_, size)| *size)
    }
}
