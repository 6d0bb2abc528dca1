//! Token buckets of the client accounts whose rate this instance owns.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard},
};

use auburnlug_coordination::{
    assign,
    standby_level::{StandbyLevel, StandbyLevels},
    token_bucket::{TokenBucket, TokenGrant, TokenRequest},
};
use auburnlug_protocol::peer::TrafficMessage;
use auburnlug_state::{Index, Machine, Millis, Name, Shard};

use crate::{
    forwarder::lock,
    owner::is_first_owner,
    rate_standby::StandbyBuckets,
    view::{Control, View},
};

/// Low bits of a message number, below the time in milliseconds at which its bucket was created.
/// So the numbers of a later bucket of the same client account are greater.
const MESSAGE_NUMBER_BITS: u32 = 20;

/// Buckets that this instance owns, and its copies of those for which it is the standby.
pub(crate) struct RateOwner {
    control: Arc<dyn Control>,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    buckets: BTreeMap<Name, OwnedBucket>,
    standby: StandbyBuckets,
}

struct OwnedBucket {
    epoch: u64,
    limits: (f64, f64),
    bucket: TokenBucket,
    standby_levels: StandbyLevels,
    /// Whether the bucket was handed over to the standby and must grant nothing.
    handed_over: bool,
}

impl OwnedBucket {
    /// Messages to standbys of this bucket that are due.
    fn due_messages(
        &mut self,
        account: &Name,
        index: Index,
        now: Millis,
    ) -> Vec<(Name, TrafficMessage)> {
        let level = self.bucket.level(now);
        let due = self.standby_levels.due_messages(level, self.limits.1, now);
        self.bucket.set_standby_level(self.standby_levels.max_level());
        let message = |StandbyLevel { id, level, outstanding: held }| {
            let (account, epoch) = (account.clone(), self.epoch);
            TrafficMessage::Keep { id, account, epoch, index, level, held }
        };
        due.into_iter().map(|(name, keep)| (name, message(keep))).collect()
    }
}

impl RateOwner {
    pub(crate) fn new(control: Arc<dyn Control>) -> RateOwner {
        RateOwner { control, state: Mutex::default() }
    }

    /// Applies ownership, rates and bursts of the view.
    ///
    /// A bucket is kept when the lease expires, and grants nothing until a new one: while the epoch
    /// is the same, no other instance has granted tokens.
    pub(crate) fn update(&self, view: &View, previous: &Machine) {
        let now = self.control.now();
        let mut state = self.checked_state();
        let State { buckets, standby } = &mut *state;
        let machine = &view.machine;
        let epoch = |name: &Name| {
            let holder = machine.shards.get(&Shard::Account(name.clone()))?;
            (holder.instance.as_ref() == Some(&view.instance)).then_some(holder.epoch)
        };
        let accounts = &machine.config.accounts;
        buckets
            .retain(|name, owned| accounts.contains_key(name) && epoch(name) == Some(owned.epoch));
        for (name, account) in accounts {
            let Some(epoch) = epoch(name) else { continue };
            let shard = Shard::Account(name.clone());
            let limits @ (rate, burst) = (account.rate, account.burst);
            let owned = buckets.entry(name.clone()).or_insert_with(|| {
                let bucket = match standby.take(name, epoch, previous) {
                    _ if is_first_owner(previous, view, &shard) => {
                        TokenBucket::new(rate, burst, now)
                    }
                    Some(keep) => {
                        TokenBucket::restore(rate, burst, keep.level, keep.outstanding, now)
                    }
                    None => TokenBucket::empty(rate, burst, 0, now),
                };
                let standby_levels = StandbyLevels::new(now << MESSAGE_NUMBER_BITS);
                OwnedBucket { epoch, limits, bucket, standby_levels, handed_over: false }
            });
            if owned.limits != limits {
                owned.limits = limits;
                owned.bucket.set_limit(rate, burst, now);
            }
            let known = |name: &Name| machine.instances.contains_key(name);
            owned.standby_levels.set_standby(assign::standby(machine, &shard), known);
        }
    }

    /// Stops grants for `account` under `epoch`, and hands the bucket over to the standby, which is
    /// the next owner.
    pub(crate) fn hand_over(&self, account: &Name, epoch: u64) {
        let now = self.control.now();
        let mut state = self.checked_state();
        let owned = state.buckets.get_mut(account).filter(|owned| owned.epoch == epoch);
        if let Some(owned) = owned {
            owned.handed_over = true;
            let (level, held) = owned.bucket.handover(now);
            owned.standby_levels.hand_over(level, held);
        }
    }

    /// Whether the standby has acknowledged what [`RateOwner::hand_over`] sent.
    pub(crate) fn is_handed_over(&self, account: &Name, epoch: u64) -> bool {
        let state = self.checked_state();
        let owned = state.buckets.get(account).filter(|owned| owned.epoch == epoch);
        owned.is_none_or(|owned| owned.standby_levels.is_acknowledged())
    }

    /// Answers an ask of `instance`, unless it is a duplicate or out of order. Also returns the
    /// messages to standbys that are due.
    pub(crate) fn answer_ask(
        &self,
        instance: &Name,
        account: Name,
        ask: TokenRequest,
    ) -> (Option<TrafficMessage>, Vec<(Name, TrafficMessage)>) {
        let now = self.control.now();
        let valid = now < self.control.lease();
        let mut state = self.checked_state();
        let owned = state.buckets.get_mut(&account).filter(|owned| valid && !owned.handed_over);
        let Some(owned) = owned else {
            let none =
                TrafficMessage::Tokens { id: ask.id, account, count: 0, retry: 0, owner: false };
            return (Some(none), Vec::new());
        };
        let Some(TokenGrant { count, retry_delay: retry }) = owned.bucket.take(instance, ask, now)
        else {
            return (None, Vec::new());
        };
        let due = owned.due_messages(&account, self.applied_index(), now);
        (Some(TrafficMessage::Tokens { id: ask.id, account, count, retry, owner: true }), due)
    }

    /// Messages to standbys that are due.
    pub(crate) fn due_messages(&self) -> Vec<(Name, TrafficMessage)> {
        let now = self.control.now();
        let index = self.applied_index();
        let mut state = self.checked_state();
        let due =
            state.buckets.iter_mut().map(|(name, owned)| owned.due_messages(name, index, now));
        due.flatten().collect()
    }

    /// Stores a copy for the rate owner under `epoch`; `None` if the copy is refused.
    pub(crate) fn store_copy(
        &self,
        account: Name,
        epoch: u64,
        index: Index,
        keep: StandbyLevel,
    ) -> Option<TrafficMessage> {
        let id = keep.id;
        let now = self.control.now();
        if !self.checked_state().standby.store(&account, epoch, index, keep, now) {
            return None;
        }
        let instance = self.control.view().borrow().instance.clone();
        Some(TrafficMessage::Kept { id, account, epoch, instance })
    }

    /// Records that `instance` has stored the copy `id`.
    pub(crate) fn record_ack(&self, account: &Name, epoch: u64, instance: &Name, id: u64) {
        let mut state = self.checked_state();
        let owned = state.buckets.get_mut(account).filter(|owned| owned.epoch == epoch);
        if let Some(owned) = owned {
            owned.standby_levels.record_acknowledgement(instance, id);
            owned.bucket.set_standby_level(owned.standby_levels.max_level());
        }
    }

    fn applied_index(&self) -> Index {
        self.control.view().borrow().machine.index
    }

    /// Locks the state after dropping copies that the lease no longer covers.
    fn checked_state(&self) -> MutexGuard<'_, State> {
        let mut state = lock(&self.state);
        let (now, lease) = (self.control.now(), self.control.lease());
        let index = self.applied_index();
        state.standby.check_lease(now, lease, index);
        state
    }
}
