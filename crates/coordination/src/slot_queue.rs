//! Queue of jobs that wait for a slot of a server.
//!
//! Jobs that can still meet their latency objective go first, by priority and then by arrival.
//! After an outage, a queue in order of arrival would serve the backlog first, and each later job
//! would miss its objective as well. Jobs that are late take free slots and one turn of several, so
//! that lasting load does not keep them waiting until their deadline.

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
    /// By priority, then by arrival.
    waiting: Vec<(SlotPlace, T)>,
    /// Turns since a late job had one, while one waited.
    since_late: u32,
}

impl SlotPlace {
    /// Whether a job of `duration` milliseconds that starts now misses its objective.
    fn is_late(&self, duration: Millis, now: Millis) -> bool {
        now + duration > self.objective
    }
}

impl<T> SlotQueue<T> {
    /// An empty queue.
    pub fn new() -> SlotQueue<T> {
        SlotQueue { waiting: Vec::new(), since_late: 0 }
    }

    /// Number of waiting jobs.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no job waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Adds a job.
    pub fn push(&mut self, place: SlotPlace, job: T) {
        let at = self.waiting.partition_point(|(other, _)| other.priority <= place.priority);
        self.waiting.insert(at, (place, job));
    }

    /// Number of waiting jobs that a new one follows, if a job takes `duration` milliseconds.
    pub fn jobs_ahead(&self, place: SlotPlace, duration: Millis, now: Millis) -> usize {
        let late = place.is_late(duration, now);
        let ahead = |other: &SlotPlace| match (other.is_late(duration, now), late) {
            (false, true) => true,
            (true, false) => false,
            _ => other.priority <= place.priority,
        };
        self.waiting.iter().filter(|(other, _)| ahead(other)).count()
    }

    /// Takes the next job, if a job takes `duration` milliseconds.
    pub fn pop(&mut self, duration: Millis, now: Millis) -> Option<T> {
        let first = |late: bool| {
            self.waiting.iter().position(|(place, _)| place.is_late(duration, now) == late)
        };
        let (punctual, late) = (first(false), first(true));
        let late_turn = late.is_some() && self.since_late + 1 >= LATE_TURN;
        let at = if late_turn { late } else { punctual.or(late) }?;
        let served_late = Some(at) == late;
        self.since_late = if served_late || late.is_none() { 0 } else { self.since_late + 1 };
        Some(self.waiting.remove(at).1)
    }

    /// Removes the jobs for which `ended` holds.
    pub fn remove(&mut self, mut ended: impl FnMut(&SlotPlace, &T) -> bool) -> Vec<T> {
        let removed = self.waiting.extract_if(.., |(place, job)| ended(place, job));
        removed.map(|(_, job)| job).collect()
    }
}

impl<T> Default for SlotQueue<T> {
    fn default() -> SlotQueue<T> {
        SlotQueue::new()
    }
}
