//! Copies of a token bucket at standbys.
//!
//! The rate owner sends each standby a [`Keep`]: a level that its bucket stays above, and the most
//! tokens that holders may have besides. [`Floors::guard`] is the greatest level that any standby
//! may start from; [`crate::limit`] says why the bucket must not sink below it.

use std::collections::BTreeMap;

use auburnlug_state::{Millis, Name};

/// Time after which a copy without an acknowledgement is sent again, in milliseconds.
const RESEND: Millis = 50;

/// A floor above this part of the level is lowered ahead of need.
const HIGH: f64 = 0.75;

/// A floor below this part of the level is raised, so that a standby starts with more.
const LOW: f64 = 0.25;

/// Part of the burst from which on a floor is raised. An account above its rate keeps its level
/// near 0; raising its floor would make its requests wait for the next acknowledgement.
const AMPLE: f64 = 0.5;

/// Part of the level that a new floor takes.
const PART: f64 = 0.5;

/// What a standby starts from if it takes over.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Keep {
    /// Number of the message; later ones are greater.
    pub id: u64,
    /// Level.
    pub level: f64,
    /// Most tokens of the owner that holders may have; level and held together are the burst.
    pub held: f64,
}

/// What one standby may hold.
#[derive(Debug, Default)]
struct Copy {
    /// Levels by message: the one acknowledged last, and all that were sent after it.
    levels: BTreeMap<u64, f64>,
    acked: bool,
    sent: Millis,
}

/// Copies of the bucket of one client account, as its rate owner knows them.
#[derive(Debug)]
pub struct Floors {
    next: u64,
    standby: Option<Name>,
    copies: BTreeMap<Name, Copy>,
    /// Level and held tokens that go to the next owner; the bucket grants nothing any more.
    last: Option<(f64, f64)>,
}

impl Floors {
    /// No copies yet. Numbers start at `first`, which must be greater for each later owner in the
    /// same process.
    pub fn new(first: u64) -> Floors {
        Floors { next: first, standby: None, copies: BTreeMap::new(), last: None }
    }

    /// Sets the standby. An instance that is not `known` has lost its lease, and with it its copy.
    pub fn aim(&mut self, standby: Option<&Name>, known: impl Fn(&Name) -> bool) {
        self.copies.retain(|name, _| known(name));
        self.standby = standby.cloned();
    }

    /// Greatest level that a standby may start from.
    pub fn guard(&self) -> f64 {
        let levels = self.copies.values().flat_map(|copy| copy.levels.values());
        levels.copied().fold(0.0, f64::max)
    }

    /// Hands the bucket over; [`Floors::settled`] tells when the standby has it.
    pub fn give(&mut self, level: f64, held: f64) {
        self.last = Some((level, held));
        if let Some(copy) = self.standby.as_ref().and_then(|name| self.copies.get_mut(name)) {
            copy.acked = false;
            copy.sent = 0;
        }
    }

    /// Whether the standby has acknowledged what was sent last, or there is none.
    pub fn settled(&self) -> bool {
        let Some(standby) = &self.standby else { return true };
        self.copies.get(standby).is_some_and(|copy| copy.acked)
    }

    /// Messages that are due while the bucket has `level` of `burst`.
    pub fn due(&mut self, level: f64, burst: f64, now: Millis) -> Vec<(Name, Keep)> {
        let mut due = Vec::new();
        if let Some(name) = self.standby.clone()
            && let Some((level, held)) = self.copy(&name, level, burst, now)
        {
            due.push((name.clone(), self.send(&name, level, held, now)));
        }
        // A former standby must not start from a level that the bucket is about to leave.
        let former = self.copies.iter().filter(|(name, copy)| {
            let void = copy.acked && copy.levels.values().all(|level| *level == 0.0);
            Some(*name) != self.standby.as_ref() && !void && now >= copy.sent + RESEND
        });
        for name in former.map(|(name, _)| name.clone()).collect::<Vec<_>>() {
            due.push((name.clone(), self.send(&name, 0.0, burst, now)));
        }
        due
    }

    /// Notes that `name` keeps the message `id` or a later one.
    pub fn acked(&mut self, name: &Name, id: u64) {
        let Some(copy) = self.copies.get_mut(name) else { return };
        if !copy.levels.contains_key(&id) {
            return;
        }
        copy.levels.retain(|other, _| *other >= id);
        copy.acked = copy.levels.len() == 1;
    }

    /// Level and held tokens for the standby, if it needs others than it has.
    fn copy(&self, standby: &Name, level: f64, burst: f64, now: Millis) -> Option<(f64, f64)> {
        let Some(copy) = self.copies.get(standby) else { return Some(self.target(level, burst)) };
        if !copy.acked {
            return (now >= copy.sent + RESEND).then(|| self.target(level, burst));
        }
        let floor = copy.levels.values().copied().fold(0.0, f64::max);
        let high = floor > 0.0 && floor > level * HIGH;
        let low = level >= burst * AMPLE && floor < (level * PART).floor().min(level * LOW);
        (self.last.is_none() && (high || low)).then(|| self.target(level, burst))
    }

    fn target(&self, level: f64, burst: f64) -> (f64, f64) {
        self.last.unwrap_or_else(|| {
            let floor = (level * PART).floor().min(burst).max(0.0);
            (floor, burst - floor)
        })
    }

    fn send(&mut self, name: &Name, level: f64, held: f64, now: Millis) -> Keep {
        self.next += 1;
        let copy = self.copies.entry(name.clone()).or_default();
        copy.levels.insert(self.next, level);
        (copy.acked, copy.sent) = (false, now);
        Keep { id: self.next, level, held }
    }
}
