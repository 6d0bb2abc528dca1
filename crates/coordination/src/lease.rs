//! Leases of instances.
//!
//! The holder measures a lease from the time at which it sent the renewal, the granter from the
//! time at which it received the renewal, plus a margin for clock drift. So the lease expires at
//! the holder first.

use std::collections::BTreeMap;

use auburnlug_state::{Index, Instance, Machine, Millis, Name};

/// Length of a lease, in milliseconds.
pub const INSTANCE_LEASE_MS: Millis = 1500;

/// Interval between renewals, in milliseconds. Four renewals in a row may be lost before the lease
/// expires.
pub const LEASE_RENEWAL_INTERVAL_MS: Millis = 300;

/// Interval between renewals while none is answered. An election takes up to 1.2 s of a lease, so a
/// renewal must follow it closely to keep the lease from expiring.
pub const RENEWAL_RETRY_INTERVAL_MS: Millis = 100;

/// Time that the granter adds to a lease for clock drift: 10% of the lease.
pub const LEASE_DRIFT_MARGIN_MS: Millis = INSTANCE_LEASE_MS / 10;

/// Time for which renewals of an ended incarnation are refused. Covers renewals that were still in
/// flight when the process ended.
const ENDED_INCARNATION_TTL_MS: Millis = 60_000;

/// A lease as it is sent to the holder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Lease {
    /// Sending time of the renewal on the holder's clock.
    pub sent: Millis,
    /// Length from `sent`, in milliseconds.
    pub duration: Millis,
    /// Index that the holder must have applied before the lease takes effect.
    pub index: Index,
}

/// The holder's side of a lease.
#[derive(Debug, Default)]
pub struct LeaseHolder {
    /// Sending times of the renewals that a grant may still answer.
    sent: Vec<Millis>,
    /// End and index of granted leases whose index is not applied yet.
    pending: Vec<(Millis, Index)>,
    applied: Index,
    until: Millis,
    /// Sending time of the latest renewal that was answered.
    answered: Millis,
}

impl LeaseHolder {
    /// Whether a renewal is due: every [`LEASE_RENEWAL_INTERVAL_MS`], and every
    /// [`RENEWAL_RETRY_INTERVAL_MS`] once two renewals have not been answered.
    pub fn renewal_due(&self, now: Millis) -> bool {
        let overdue = now >= self.answered.saturating_add(2 * LEASE_RENEWAL_INTERVAL_MS);
        let interval = if overdue { RENEWAL_RETRY_INTERVAL_MS } else { LEASE_RENEWAL_INTERVAL_MS };
        self.sent.last().is_none_or(|last| now >= last.saturating_add(interval))
    }

    /// Records that a renewal is sent at `now`. Must be called before sending.
    pub fn record_renewal(&mut self, now: Millis) {
        self.sent.retain(|sent| sent.saturating_add(INSTANCE_LEASE_MS) > now);
        self.pending.retain(|(until, _)| *until > now);
        self.sent.push(now);
    }

    /// Accepts a granted lease; returns whether it was accepted. A lease that answers no renewal of
    /// this process is ignored: its `sent` may be from the clock of an earlier incarnation.
    pub fn accept(&mut self, lease: &Lease) -> bool {
        if !self.sent.contains(&lease.sent) {
            return false;
        }
        self.answered = self.answered.max(lease.sent);
        let until = lease.sent.saturating_add(lease.duration.min(INSTANCE_LEASE_MS));
        if until > self.until {
            self.pending.push((until, lease.index));
        }
        self.activate_pending();
        true
    }

    /// Records that the replicated state is applied up to `index`.
    pub fn record_applied(&mut self, index: Index) {
        self.applied = self.applied.max(index);
        self.activate_pending();
    }

    /// End of the current lease; 0 before the first one.
    pub fn until(&self) -> Millis {
        self.until
    }

    /// Whether the lease is valid.
    pub fn valid(&self, now: Millis) -> bool {
        now < self.until
    }

    /// Remaining time of the lease, in milliseconds.
    pub fn remaining(&self, now: Millis) -> Millis {
        self.until.saturating_sub(now)
    }

    /// Gives up the lease. Must be called before the last message to the granter.
    pub fn release(&mut self) {
        *self = LeaseHolder { applied: self.applied, ..LeaseHolder::default() };
    }

    fn activate_pending(&mut self) {
        let ready = self.pending.iter().filter(|(_, index)| *index <= self.applied);
        let ready = ready.map(|(until, _)| *until).max();
        self.until = self.until.max(ready.unwrap_or(0));
        let end = self.until;
        self.pending.retain(|(until, _)| *until > end);
    }
}

/// Answer to a renewal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RenewalReply {
    /// The lease is granted.
    Granted(Lease),
    /// No lease is granted: the instance is not recorded and must be registered first.
    Register,
    /// The lease is granted, and the record of the instance has changed and must be updated.
    Update(Lease),
    /// No lease is granted: the last one expired, so the instance must first be removed and
    /// registered again.
    Expired,
    /// No lease is granted: a later incarnation is recorded, or this one is known to have ended.
    Superseded,
}

/// State of the lease of an incarnation, as the granter knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LeaseState {
    /// The lease is valid until this time.
    Until(Millis),
    /// The lease expired. The instance may register again once it is removed.
    Expired,
    /// The process ended at this time.
    Ended(Millis),
}

/// A lease granted to an incarnation.
#[derive(Debug)]
struct LeaseRecord {
    state: LeaseState,
    /// Whether the instance accepts shards.
    entry: bool,
}

/// The granter's side of all leases. A new leader starts with an empty one.
///
/// An incarnation whose lease was found to be expired gets no further lease until it is removed
/// from the replicated state. Otherwise a stalled instance could renew its lease while its shards
/// are being moved.
#[derive(Debug)]
pub struct LeaseTable {
    /// Time until which leases granted by the previous leader may be valid.
    grace: Millis,
    records: BTreeMap<(Name, u64), LeaseRecord>,
}

impl LeaseTable {
    /// Starts the grace period of a leader elected at `now`.
    pub fn new(now: Millis) -> LeaseTable {
        LeaseTable {
            grace: now.saturating_add(INSTANCE_LEASE_MS + LEASE_DRIFT_MARGIN_MS),
            records: BTreeMap::new(),
        }
    }

    /// Whether leases granted by the previous leader may still be valid.
    pub fn in_grace(&self, now: Millis) -> bool {
        now < self.grace
    }

    /// Answers a renewal that was sent at `sent` on the holder's clock. `commit` is the committed
    /// index. Must only be called under a valid leader lease.
    pub fn renew(
        &mut self,
        instance: &Instance,
        sent: Millis,
        commit: Index,
        machine: &Machine,
        now: Millis,
    ) -> RenewalReply {
        let key = (instance.name.clone(), instance.incarnation);
        let recorded = machine.instances.get(&instance.name);
        let incarnation = recorded.map(|r| r.incarnation);
        if self.has_ended(&key) || incarnation.is_some_and(|i| i > key.1) {
            return RenewalReply::Superseded;
        }
        if let Some(earlier) = incarnation.filter(|i| *i < key.1) {
            self.end((instance.name.clone(), earlier), now);
        }
        let known = recorded.filter(|_| incarnation == Some(key.1));
        let expired = |record: &LeaseRecord| record.state == LeaseState::Expired;
        if known.is_some() && self.records.get(&key).is_some_and(expired) {
            return RenewalReply::Expired;
        }
        // An instance that is not registered yet is tracked as well, so that it isn't removed again
        // before its next renewal.
        let state =
            LeaseState::Until(now.saturating_add(INSTANCE_LEASE_MS + LEASE_DRIFT_MARGIN_MS));
        self.records.insert(key, LeaseRecord { state, entry: instance.entry });
        let Some(recorded) = known else {
            return RenewalReply::Register;
        };
        let lease = Lease { sent, duration: INSTANCE_LEASE_MS, index: commit };
        if recorded == instance {
            RenewalReply::Granted(lease)
        } else {
            RenewalReply::Update(lease)
        }
    }

    /// Ends the lease of an instance that has stopped.
    pub fn record_stopped(&mut self, name: &Name, incarnation: u64, now: Millis) {
        self.end((name.clone(), incarnation), now);
    }

    /// Ends the lease of an instance whose peer address refused a connection. The attempt must have
    /// started after `incarnation` registered that address.
    pub fn record_refused(&mut self, name: &Name, incarnation: u64, now: Millis) {
        self.end((name.clone(), incarnation), now);
    }

    /// Instances that hold a lease and accept shards.
    pub fn assignable_instances<'a>(&self, machine: &'a Machine, now: Millis) -> Vec<&'a Instance> {
        let assignable = |i: &&Instance| {
            let record = self.records.get(&(i.name.clone(), i.incarnation));
            i.entry && record.is_some_and(|record| record.entry && record.live(now))
        };
        machine.instances.values().filter(assignable).collect()
    }

    /// Whether a recorded instance holds a lease granted by this leader.
    pub fn holds_lease(&self, instance: &Instance, now: Millis) -> bool {
        let record = self.records.get(&(instance.name.clone(), instance.incarnation));
        record.is_some_and(|record| record.live(now))
    }

    /// Recorded instances whose lease has certainly expired. They get no new lease until they are
    /// removed from the replicated state.
    pub fn take_expired(&mut self, machine: &Machine, now: Millis) -> Vec<(Name, u64)> {
        if self.in_grace(now) {
            return Vec::new();
        }
        self.records.retain(|key, record| match record.state {
            LeaseState::Ended(at) => {
                now < at.saturating_add(ENDED_INCARNATION_TTL_MS) || is_recorded(machine, key)
            }
            LeaseState::Until(end) => now < end || is_recorded(machine, key),
            LeaseState::Expired => is_recorded(machine, key),
        });
        let mut ended = Vec::new();
        for instance in machine.instances.values() {
            let key = (instance.name.clone(), instance.incarnation);
            if self.is_over(&key, now) {
                self.expire(key.clone());
                ended.push(key);
            }
        }
        ended
    }

    fn has_ended(&self, key: &(Name, u64)) -> bool {
        self.records.get(key).is_some_and(|record| matches!(record.state, LeaseState::Ended(_)))
    }

    fn is_over(&self, key: &(Name, u64), now: Millis) -> bool {
        match self.records.get(key).map(|record| record.state) {
            Some(LeaseState::Until(end)) => now >= end,
            Some(LeaseState::Expired | LeaseState::Ended(_)) => true,
            None => true,
        }
    }

    fn expire(&mut self, key: (Name, u64)) {
        if !self.has_ended(&key) {
            self.records.insert(key, LeaseRecord { state: LeaseState::Expired, entry: false });
        }
    }

    fn end(&mut self, key: (Name, u64), now: Millis) {
        if !self.has_ended(&key) {
            self.records.insert(key, LeaseRecord { state: LeaseState::Ended(now), entry: false });
        }
    }
}

impl LeaseRecord {
    fn live(&self, now: Millis) -> bool {
        matches!(self.state, LeaseState::Until(end) if now < end)
    }
}

fn is_recorded(machine: &Machine, (name, incarnation): &(Name, u64)) -> bool {
    machine.instances.get(name).is_some_and(|i| i.incarnation == *incarnation)
}
