//! Token buckets of the client accounts whose rate this instance owns.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
};

use auburnlug_coordination::limit::{Ask, Bucket, Grant, TOKEN_LIFE};
use auburnlug_protocol::peer::Traffic;
use auburnlug_state::{Machine, Millis, Name, Shard};

use crate::{
    forward::lock,
    owner::first,
    view::{Control, View},
};

/// Time after a takeover in which requests wait instead of being refused. The bucket starts empty
/// although the client account may have been within its rate.
const SETTLE: Millis = 1500;

/// Buckets owned by this instance.
pub(crate) struct RateOwner {
    control: Arc<dyn Control>,
    buckets: Mutex<BTreeMap<Name, Owned>>,
}

struct Owned {
    epoch: u64,
    limits: (f64, f64),
    bucket: Bucket,
    /// Until then tokens of a former owner may be in use, and requests wait.
    frozen: Millis,
}

impl RateOwner {
    pub(crate) fn new(control: Arc<dyn Control>) -> RateOwner {
        RateOwner { control, buckets: Mutex::default() }
    }

    /// Takes over ownership, rates and bursts from the view.
    ///
    /// A bucket outlasts the lease, during whose absence it grants nothing: while the epoch is the
    /// same, nobody else has granted tokens.
    pub(crate) fn update(&self, view: &View, before: &Machine) {
        let now = self.control.now();
        let mut buckets = lock(&self.buckets);
        let epoch = |name: &Name| {
            let holder = view.machine.shards.get(&Shard::Account(name.clone()))?;
            (holder.instance.as_ref() == Some(&view.me)).then_some(holder.epoch)
        };
        let accounts = &view.machine.config.accounts;
        buckets
            .retain(|name, owned| accounts.contains_key(name) && epoch(name) == Some(owned.epoch));
        for (name, account) in accounts {
            let Some(epoch) = epoch(name) else { continue };
            let limits = (account.rate, account.burst);
            let owned = buckets.entry(name.clone()).or_insert_with(|| {
                let (bucket, frozen) = if first(before, view, &Shard::Account(name.clone())) {
                    (Bucket::new(account.rate, account.burst, now), 0)
                } else {
                    (Bucket::empty(account.rate, account.burst, 0, now), now + TOKEN_LIFE)
                };
                Owned { epoch, limits, bucket, frozen }
            });
            if owned.limits != limits {
                owned.limits = limits;
                owned.bucket.set(account.rate, account.burst, now);
            }
        }
    }

    /// Answers an ask of the instance `holder`; `None` if it is doubled or late.
    pub(crate) fn take(&self, holder: &Name, account: Name, ask: Ask) -> Option<Traffic> {
        let now = self.control.now();
        let mut buckets = lock(&self.buckets);
        let valid = now < self.control.lease();
        let owned = buckets.get_mut(&account).filter(|owned| valid && now >= owned.frozen);
        let Some(owned) = owned else {
            return Some(Traffic::Tokens { id: ask.id, account, count: 0, retry: 0, owner: false });
        };
        let Grant { count, retry } = owned.bucket.take(holder, ask, now)?;
        let settling = owned.frozen > 0 && now < owned.frozen + SETTLE;
        let retry = if settling { 0 } else { retry };
        Some(Traffic::Tokens { id: ask.id, account, count, retry, owner: true })
    }
}
