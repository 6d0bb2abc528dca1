//! Standby levels: what a standby of a rate owner starts a token bucket from.
//!
//! The rate owner sends the standby a [`StandbyLevel`]: a level that its bucket stays above, and
//! the maximum number of tokens that holders may have besides. [`StandbyLevels::max_level`] is the
//! greatest level that any standby may start from; [`crate::token_bucket`] explains why the bucket
//! must not fall below it.

use std::collections::BTreeMap;

use auburnlug_state::{Millis, Name};

/// Time after which an unacknowledged standby level is retransmitted.
const RETRANSMIT_INTERVAL_MS: Millis = 50;

/// Fraction of the level above which a standby level is lowered, ahead of need.
const LOWER_THRESHOLD: f64 = 0.75;

/// Fraction of the level below which a standby level is raised, so that a standby starts with more.
const RAISE_THRESHOLD: f64 = 0.25;

/// Fraction of the burst that the level must have for the standby level to be raised. The level of
/// an account above its rate stays near 0; raising its standby level would make its requests wait
/// for the next acknowledgement.
const MIN_LEVEL_TO_RAISE: f64 = 0.5;

/// Ratio of a new standby level to the level.
const STANDBY_LEVEL_RATIO: f64 = 0.5;

/// Level and outstanding tokens that a standby starts from if it takes over.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StandbyLevel {
    /// Number of the message; increases with each message.
    pub id: u64,
    /// Level.
    pub level: f64,
    /// Maximum number of tokens that holders may still use; the burst less the level.
    pub outstanding: f64,
}

/// Standby levels that one standby may have stored.
#[derive(Debug, Default)]
struct StandbyCopy {
    /// Levels by message id: the last acknowledged one, and all sent after it.
    levels: BTreeMap<u64, f64>,
    acked: bool,
    sent: Millis,
}

/// Standby levels of one client account, tracked by its rate owner.
#[derive(Debug)]
pub struct StandbyLevels {
    last_id: u64,
    standby: Option<Name>,
    copies: BTreeMap<Name, StandbyCopy>,
    /// Level and outstanding tokens for the next owner, once the bucket grants nothing any more.
    handover: Option<(f64, f64)>,
}

impl StandbyLevels {
    /// No standby level is stored yet. Message ids start at `first`, which must be greater for each
    /// later owner in the same process.
    pub fn new(first: u64) -> StandbyLevels {
        StandbyLevels { last_id: first, standby: None, copies: BTreeMap::new(), handover: None }
    }

    /// Sets the standby. Drops the instances that are not `known`: with its lease an instance has
    /// lost its copy.
    pub fn set_standby(&mut self, standby: Option<&Name>, known: impl Fn(&Name) -> bool) {
        self.copies.retain(|name, _| known(name));
        self.standby = standby.cloned();
    }

    /// Greatest level that a standby may start from.
    pub fn max_level(&self) -> f64 {
        let levels = self.copies.values().flat_map(|copy| copy.levels.values());
        levels.copied().fold(0.0, f64::max)
    }

    /// Hands the bucket over to the standby; [`StandbyLevels::is_acknowledged`] tells when it has
    /// stored it.
    pub fn hand_over(&mut self, level: f64, held: f64) {
        self.handover = Some((level, held));
        if let Some(copy) = self.standby.as_ref().and_then(|name| self.copies.get_mut(name)) {
            copy.acked = false;
            copy.sent = 0;
        }
    }

    /// Whether the standby has acknowledged the last message, or there is no standby.
    pub fn is_acknowledged(&self) -> bool {
        let Some(standby) = &self.standby else { return true };
        self.copies.get(standby).is_some_and(|copy| copy.acked)
    }

    /// Messages that are due while the bucket has `level` of `burst`.
    pub fn due_messages(
        &mut self,
        level: f64,
        burst: f64,
        now: Millis,
    ) -> Vec<(Name, StandbyLevel)> {
        let mut due = Vec::new();
        if let Some(name) = self.standby.clone()
            && let Some((level, held)) = self.due_update(&name, level, burst, now)
        {
            due.push((name.clone(), self.record_send(&name, level, held, now)));
        }
        // A former standby must not start from a level that the bucket may soon fall below.
        let former = self.copies.iter().filter(|(name, copy)| {
            let zeroed = copy.acked && copy.levels.values().all(|level| *level == 0.0);
            Some(*name) != self.standby.as_ref()
                && !zeroed
                && now >= copy.sent + RETRANSMIT_INTERVAL_MS
        });
        for name in former.map(|(name, _)| name.clone()).collect::<Vec<_>>() {
            due.push((name.clone(), self.record_send(&name, 0.0, burst, now)));
        }
        due
    }

    /// Records that `name` has stored the message `id` or a later one.
    pub fn record_acknowledgement(&mut self, name: &Name, id: u64) {
        let Some(copy) = self.copies.get_mut(name) else { return };
        if !copy.levels.contains_key(&id) {
            return;
        }
        copy.levels.retain(|other, _| *other >= id);
        copy.acked = copy.levels.len() == 1;
    }

    /// Level and outstanding tokens to send to the standby, if an update is due.
    fn due_update(
        &self,
        standby: &Name,
        level: f64,
        burst: f64,
        now: Millis,
    ) -> Option<(f64, f64)> {
        let Some(copy) = self.copies.get(standby) else {
            return Some(self.next_update(level, burst));
        };
        if !copy.acked {
            return (now >= copy.sent + RETRANSMIT_INTERVAL_MS)
                .then(|| self.next_update(level, burst));
        }
        let standby_level = copy.levels.values().copied().fold(0.0, f64::max);
        let lower = standby_level > 0.0 && standby_level > level * LOWER_THRESHOLD;
        let raise = level >= burst * MIN_LEVEL_TO_RAISE
            && standby_level < (level * STANDBY_LEVEL_RATIO).floor().min(level * RAISE_THRESHOLD);
        (self.handover.is_none() && (lower || raise)).then(|| self.next_update(level, burst))
    }

    fn next_update(&self, level: f64, burst: f64) -> (f64, f64) {
        self.handover.unwrap_or_else(|| {
            let standby_level = (level * STANDBY_LEVEL_RATIO).floor().min(burst).max(0.0);
            (standby_level, burst - standby_level)
        })
    }

    fn record_send(
        &mut self,
        name: &Name,
        level: f64,
        outstanding: f64,
        now: Millis,
    ) -> StandbyLevel {
        self.last_id += 1;
        let copy = self.copies.entry(name.clone()).or_default();
        copy.levels.insert(self.last_id, level);
        (copy.acked, copy.sent) = (false, now);
        StandbyLevel { id: self.last_id, level, outstanding }
    }
}
