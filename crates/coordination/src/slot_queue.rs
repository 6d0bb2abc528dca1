//! Queue of jobs that wait for a slot of a server.
//!
//! Jobs that can still meet their latency objective go first, by priority and then by arrival.
//! After an outage, a queue in order of arrival would serve the backlog first, and each later job
//! would miss its objective as well. Among jobs of one priority, the client accounts take turns: an
//! account that sends many times its usual waits for itself. Jobs that are late take free slots and
//! one turn of several, so that lasting load does not keep them waiting until their deadline.

use std::{collections::BTreeMap, sync::Arc};

use auburnlug_state::Millis;

/// One of this many turns goes to a late job while one waits.
const LATE_TURN: u32 = 8;

/// Position of a job in the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlotPlace {
    /// Priority; 0 goes first.
    pub priority: u32,
    /// Time at which its latency objective is missed.
    pub objective: Millis,
    /// Time from which it cannot succeed any more.
    pub deadline: Millis,
}

/// Jobs that wait for a slot of one server.
#[derive(Debug)]
pub struct SlotQueue<T> {
    /// By priority, then by round, then by arrival.
    waiting: Vec<Waiting<T>>,
    /// By priority.
    rounds: BTreeMap<u32, Rounds>,
    /// Turns since a late job had one, while one waited.
    since_late: u32,
}

impl SlotPlace {
    /// Whether a job of `duration` milliseconds that starts now misses its objective.
    fn is_late(&self, duration: Millis, now: Millis) -> bool {
        now + duration > self.objective
    }
}

#[derive(Debug)]
struct Waiting<T> {
    place: SlotPlace,
    account: Arc<str>,
    /// Round in which the account of the job has this turn.
    round: u64,
    job: T,
}

/// Turns of the client accounts: each has one in each round.
#[derive(Debug, Default)]
struct Rounds {
    current: u64,
    /// First round in which an account has a turn left.
    next: BTreeMap<Arc<str>, u64>,
}

impl Rounds {
    /// Round of the next job of an account.
    fn of_account(&self, account: &str) -> u64 {
        self.next.get(account).copied().unwrap_or(0).max(self.current)
    }
}

impl<T> SlotQueue<T> {
    /// An empty queue.
    pub fn new() -> SlotQueue<T> {
        SlotQueue { waiting: Vec::new(), rounds: BTreeMap::new(), since_late: 0 }
    }

    /// Number of waiting jobs.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no job waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Adds a job of a client account.
    pub fn push(&mut self, place: SlotPlace, account: Arc<str>, job: T) {
        if self.waiting.is_empty() {
            self.rounds.clear();
        }
        let rounds = self.rounds.entry(place.priority).or_default();
        let round = rounds.of_account(&account);
        rounds.next.insert(account.clone(), round + 1);
        let key = (place.priority, round);
        let at = self.waiting.partition_point(|other| (other.place.priority, other.round) <= key);
        self.waiting.insert(at, Waiting { place, account, round, job });
    }

    /// Number of waiting jobs that a new one of an account follows, if a job takes `duration`
    /// milliseconds.
    pub fn jobs_ahead(
        &self,
        place: SlotPlace,
        account: &str,
        duration: Millis,
        now: Millis,
    ) -> usize {
        let late = place.is_late(duration, now);
        let round = self.rounds.get(&place.priority).map_or(0, |r| r.of_account(account));
        let ahead = |other: &Waiting<T>| match (other.place.is_late(duration, now), late) {
            (false, true) => true,
            (true, false) => false,
            _ => (other.place.priority, other.round) <= (place.priority, round),
        };
        self.waiting.iter().filter(|other| ahead(other)).count()
    }

    /// Takes the next job, if a job takes `duration` milliseconds.
    pub fn pop(&mut self, duration: Millis, now: Millis) -> Option<T> {
        let first = |late: bool| {
            self.waiting.iter().position(|other| other.place.is_late(duration, now) == late)
        };
        let (punctual, late) = (first(false), first(true));
        let late_turn = late.is_some() && self.since_late + 1 >= LATE_TURN;
        let at = if late_turn { late } else { punctual.or(late) }?;
        let served_late = Some(at) == late;
        self.since_late = if served_late || late.is_none() { 0 } else { self.since_late + 1 };
        let taken = self.waiting.remove(at);
        // A late job may have been taken before others of earlier rounds.
        let waiting = self.waiting.iter().filter(|o| o.place.priority == taken.place.priority);
        let earliest = waiting.map(|other| other.round).min().unwrap_or(taken.round);
        if let Some(rounds) = self.rounds.get_mut(&taken.place.priority) {
            rounds.current = rounds.current.max(taken.round.min(earliest));
        }
        Some(taken.job)
    }

    /// Removes the jobs for which `ended` holds.
    pub fn remove(&mut self, mut ended: impl FnMut(&SlotPlace, &T) -> bool) -> Vec<T> {
        let removed = self.waiting.extract_if(.., |other| ended(&other.place, &other.job));
        let removed: Vec<Waiting<T>> = removed.collect();
        for other in &removed {
            self.return_turns(other.place.priority, &other.account);
        }
        removed.into_iter().map(|other| other.job).collect()
    }

    /// Returns the turns of jobs that have left without one.
    fn return_turns(&mut self, priority: u32, account: &Arc<str>) {
        let Some(rounds) = self.rounds.get_mut(&priority) else { return };
        let own = self
            .waiting
            .iter()
            .filter(|other| other.place.priority == priority && other.account == *account);
        match own.map(|other| other.round).max() {
            Some(last) => drop(rounds.next.insert(account.clone(), last + 1)),
            None => drop(rounds.next.remove(account)),
        }
    }
}

impl<T> Default for SlotQueue<T> {
    fn default() -> SlotQueue<T> {
        SlotQueue::new()
    }
}
