//! Token buckets of the client accounts whose rate this instance owns.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard},
};

use auburnlug_coordination::{
    assign,
    floor::{Floors, Keep},
    limit::{Ask, Bucket, Grant},
};
use auburnlug_protocol::peer::Traffic;
use auburnlug_state::{Index, Machine, Millis, Name, Shard};

use crate::{
    forward::lock,
    owner::first,
    rate_standby::Standby,
    view::{Control, View},
};

/// Numbers of messages to standbys that are set aside for a millisecond, as a power of two, so
/// that those of a later bucket of the same client account are greater.
const NUMBERS: u32 = 20;

/// Buckets owned by this instance, and copies of those for which it is the standby.
pub(crate) struct RateOwner {
    control: Arc<dyn Control>,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    buckets: BTreeMap<Name, Owned>,
    standby: Standby,
}

struct Owned {
    epoch: u64,
    limits: (f64, f64),
    bucket: Bucket,
    floors: Floors,
    /// Whether the shard is being given up.
    given: bool,
}

impl Owned {
    /// Messages to standbys that are due.
    fn due(&mut self, account: &Name, index: Index, now: Millis) -> Vec<(Name, Traffic)> {
        let level = self.bucket.level(now);
        let due = self.floors.due(level, self.limits.1, now);
        self.bucket.guard(self.floors.guard());
        let message = |Keep { id, level, held }| {
            let (account, epoch) = (account.clone(), self.epoch);
            Traffic::Keep { id, account, epoch, index, level, held }
        };
        due.into_iter().map(|(name, keep)| (name, message(keep))).collect()
    }
}

impl RateOwner {
    pub(crate) fn new(control: Arc<dyn Control>) -> RateOwner {
        RateOwner { control, state: Mutex::default() }
    }

    /// Takes over ownership, rates and bursts from the view.
    ///
    /// A bucket outlasts the lease, during whose absence it grants nothing: while the epoch is the
    /// same, nobody else has granted tokens.
    pub(crate) fn update(&self, view: &View, before: &Machine) {
        let now = self.control.now();
        let mut state = self.state();
        let State { buckets, standby } = &mut *state;
        let machine = &view.machine;
        let epoch = |name: &Name| {
            let holder = machine.shards.get(&Shard::Account(name.clone()))?;
            (holder.instance.as_ref() == Some(&view.me)).then_some(holder.epoch)
        };
        let accounts = &machine.config.accounts;
        buckets
            .retain(|name, owned| accounts.contains_key(name) && epoch(name) == Some(owned.epoch));
        for (name, account) in accounts {
            let Some(epoch) = epoch(name) else { continue };
            let shard = Shard::Account(name.clone());
            let limits @ (rate, burst) = (account.rate, account.burst);
            let owned = buckets.entry(name.clone()).or_insert_with(|| {
                let bucket = match standby.take(name, epoch, before) {
                    _ if first(before, view, &shard) => Bucket::new(rate, burst, now),
                    Some(keep) => Bucket::restore(rate, burst, keep.level, keep.held, now),
                    None => Bucket::empty(rate, burst, 0, now),
                };
                let floors = Floors::new(now << NUMBERS);
                Owned { epoch, limits, bucket, floors, given: false }
            });
            if owned.limits != limits {
                owned.limits = limits;
                owned.bucket.set(rate, burst, now);
            }
            let known = |name: &Name| machine.instances.contains_key(name);
            owned.floors.aim(assign::standby(machine, &shard), known);
        }
    }

    /// Grants nothing more for `account` under `epoch`, and hands the bucket to the standby, which
    /// is the next owner.
    pub(crate) fn give(&self, account: &Name, epoch: u64) {
        let now = self.control.now();
        let mut state = self.state();
        let owned = state.buckets.get_mut(account).filter(|owned| owned.epoch == epoch);
        if let Some(owned) = owned {
            owned.given = true;
            let (level, held) = owned.bucket.handover(now);
            owned.floors.give(level, held);
        }
    }

    /// Whether the standby has what [`RateOwner::give`] sent.
    pub(crate) fn given(&self, account: &Name, epoch: u64) -> bool {
        let state = self.state();
        let owned = state.buckets.get(account).filter(|owned| owned.epoch == epoch);
        owned.is_none_or(|owned| owned.floors.settled())
    }

    /// Answers an ask of the instance `holder`, unless it is doubled or late, and gives messages to
    /// standbys.
    pub(crate) fn take(
        &self,
        holder: &Name,
        account: Name,
        ask: Ask,
    ) -> (Option<Traffic>, Vec<(Name, Traffic)>) {
        let now = self.control.now();
        let valid = now < self.control.lease();
        let mut state = self.state();
        let owned = state.buckets.get_mut(&account).filter(|owned| valid && !owned.given);
        let Some(owned) = owned else {
            let none = Traffic::Tokens { id: ask.id, account, count: 0, retry: 0, owner: false };
            return (Some(none), Vec::new());
        };
        let Some(Grant { count, retry }) = owned.bucket.take(holder, ask, now) else {
            return (None, Vec::new());
        };
        let due = owned.due(&account, self.index(), now);
        (Some(Traffic::Tokens { id: ask.id, account, count, retry, owner: true }), due)
    }

    /// Messages to standbys that are due.
    pub(crate) fn tick(&self) -> Vec<(Name, Traffic)> {
        let now = self.control.now();
        let index = self.index();
        let mut state = self.state();
        let due = state.buckets.iter_mut().map(|(name, owned)| owned.due(name, index, now));
        due.flatten().collect()
    }

    /// Keeps a copy for the rate owner `epoch`; the answer, unless the copy is refused.
    pub(crate) fn keep(
        &self,
        account: Name,
        epoch: u64,
        index: Index,
        keep: Keep,
    ) -> Option<Traffic> {
        let id = keep.id;
        let now = self.control.now();
        if !self.state().standby.keep(&account, epoch, index, keep, now) {
            return None;
        }
        let instance = self.control.view().borrow().me.clone();
        Some(Traffic::Kept { id, account, epoch, instance })
    }

    /// Notes that `instance` keeps a copy.
    pub(crate) fn kept(&self, account: &Name, epoch: u64, instance: &Name, id: u64) {
        let mut state = self.state();
        let owned = state.buckets.get_mut(account).filter(|owned| owned.epoch == epoch);
        if let Some(owned) = owned {
            owned.floors.acked(instance, id);
            owned.bucket.guard(owned.floors.guard());
        }
    }

    fn index(&self) -> Index {
        self.control.view().borrow().machine.index
    }

    /// The state, with the lease checked.
    fn state(&self) -> MutexGuard<'_, State> {
        let mut state = lock(&self.state);
        let (now, lease) = (self.control.now(), self.control.lease());
        let index = self.index();
        state.standby.check(now, lease, index);
        state
    }
}
