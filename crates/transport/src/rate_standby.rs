//! What this instance keeps as the standby of rate owners.
//!
//! A rate owner forgets a copy at an instance that was removed, which happens only after the end
//! of its lease. So a copy is dropped here as soon as the lease may have ended, and a message that
//! was sent from a state before the present lease is refused.

use std::collections::BTreeMap;

use auburnlug_coordination::floor::Keep;
use auburnlug_state::{Holder, Index, Machine, Millis, Name, Shard};

/// Copies of buckets, by client account.
#[derive(Debug, Default)]
pub(crate) struct Standby {
    copies: BTreeMap<Name, (u64, Keep)>,
    /// The lease is known to last, without a gap since `since` was applied, until this time.
    until: Millis,
    since: Index,
}

impl Standby {
    /// Notes the present lease and the state that was read after it; call it often.
    pub(crate) fn check(&mut self, now: Millis, lease: Millis, index: Index) {
        if now >= self.until {
            self.copies.clear();
            self.since = index;
        }
        self.until = lease;
    }

    /// Takes a copy from the owner under `epoch`, which had applied `index`; false if it must not
    /// be acknowledged.
    pub(crate) fn keep(
        &mut self,
        account: &Name,
        epoch: u64,
        index: Index,
        keep: Keep,
        now: Millis,
    ) -> bool {
        if now >= self.until || index < self.since {
            return false;
        }
        let known = self.copies.get(account).map(|(epoch, known)| (*epoch, known.id));
        if known.is_none_or(|known| known < (epoch, keep.id)) {
            self.copies.insert(account.clone(), (epoch, keep));
        }
        known.is_none_or(|known| known.0 <= epoch)
    }

    /// Copy for a takeover under `epoch`, if nobody can have granted tokens since its owner.
    pub(crate) fn take(&mut self, account: &Name, epoch: u64, before: &Machine) -> Option<Keep> {
        let (from, keep) = self.copies.remove(account)?;
        let free = Holder { instance: None, epoch: from + 1 };
        let shard = Shard::Account(account.clone());
        let moved = from + 2 == epoch && before.shards.get(&shard) == Some(&free);
        (from + 1 == epoch || moved).then_some(keep)
    }
}
