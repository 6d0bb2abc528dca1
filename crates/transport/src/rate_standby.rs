//! Copies of token buckets that this instance keeps as the standby of rate owners.
//!
//! A rate owner discards its record of a copy when the instance that has it is removed, which
//! happens only after that instance's lease has ended. So all copies are dropped as soon as the
//! lease may have ended, and a message that was sent from a state before the current lease is
//! refused.

use std::collections::BTreeMap;

use auburnlug_coordination::standby_level::StandbyLevel;
use auburnlug_state::{Index, Machine, Millis, Name, Shard, ShardOwner};

/// Copies of buckets, by client account.
#[derive(Debug, Default)]
pub(crate) struct StandbyBuckets {
    copies: BTreeMap<Name, (u64, StandbyLevel)>,
    /// Time until which the lease is known to hold, without a gap since `since_index` was applied.
    lease_end: Millis,
    since_index: Index,
}

impl StandbyBuckets {
    /// Updates the lease and the index of the state that was read after it; call it often.
    pub(crate) fn check_lease(&mut self, now: Millis, lease: Millis, index: Index) {
        if now >= self.lease_end {
            self.copies.clear();
            self.since_index = index;
        }
        self.lease_end = lease;
    }

    /// Stores a copy of the owner under `epoch`, which had applied `index`; false if it must not be
    /// acknowledged.
    pub(crate) fn store(
        &mut self,
        account: &Name,
        epoch: u64,
        index: Index,
        keep: StandbyLevel,
        now: Millis,
    ) -> bool {
        if now >= self.lease_end || index < self.since_index {
            return false;
        }
        let known = self.copies.get(account).map(|(epoch, known)| (*epoch, known.id));
        if known.is_none_or(|known| known < (epoch, keep.id)) {
            self.copies.insert(account.clone(), (epoch, keep));
        }
        known.is_none_or(|known| known.0 <= epoch)
    }

    /// Removes and returns the copy for a takeover under `epoch`, if no other instance can have
    /// granted tokens since.
    pub(crate) fn take(
        &mut self,
        account: &Name,
        epoch: u64,
        previous: &Machine,
    ) -> Option<StandbyLevel> {
        let (from, keep) = self.copies.remove(account)?;
        let unowned = ShardOwner { instance: None, epoch: from + 1 };
        let shard = Shard::Account(account.clone());
        let released = from + 2 == epoch && previous.shards.get(&shard) == Some(&unowned);
        (from + 1 == epoch || released).then_some(keep)
    }
}
