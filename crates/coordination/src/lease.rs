//! Instance leases.
//!
//! The holder measures a lease from the time it sent the renewal, the granter from the time it
//! received it and with a margin for clock rates, so a lease ends at the holder first.

use std::collections::BTreeMap;

use auburnlug_state::{Index, Instance, Machine, Millis, Name};

/// Length of a lease, in milliseconds.
pub const LEASE: Millis = 1500;

/// Interval of renewals, in milliseconds. Four may be lost in a row before the lease ends.
pub const RENEWAL: Millis = 300;

/// Interval of renewals while none is answered, in milliseconds. An election takes up to 1.2 s of
/// a lease, and a renewal that falls right after it keeps the lease from running out.
pub const RETRY: Millis = 100;

/// Added by the granter for clocks that run at different rates: 10% of a lease, in milliseconds.
pub const MARGIN: Millis = LEASE / 10;

/// Time for which a run of a process that is known to have ended stays refused, in milliseconds.
/// Covers renewals that it left in the network.
const MEMORY: Millis = 60_000;

/// A lease as it goes to the holder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Lease {
    /// Sending time of the renewal, on the holder's clock.
    pub sent: Millis,
    /// Length in milliseconds, from `sent`.
    pub span: Millis,
    /// Index that the holder must have applied before the lease takes effect.
    pub index: Index,
}

/// The holder's side of a lease.
#[derive(Debug, Default)]
pub struct Holder {
    /// Sending times that a grant may answer.
    sent: Vec<Millis>,
    /// End and index of leases whose index is not applied yet.
    pending: Vec<(Millis, Index)>,
    applied: Index,
    until: Millis,
    /// Sending time of the latest renewal that was answered.
    answered: Millis,
}

impl Holder {
    /// Whether it is time for a renewal: every [`RENEWAL`], and every [`RETRY`] once two have not
    /// been answered.
    pub fn due(&self, now: Millis) -> bool {
        let late = now >= self.answered.saturating_add(2 * RENEWAL);
        let pause = if late { RETRY } else { RENEWAL };
        self.sent.last().is_none_or(|last| now >= last.saturating_add(pause))
    }

    /// Notes that a renewal is sent at `now`; call it before sending.
    pub fn sent(&mut self, now: Millis) {
        self.sent.retain(|sent| sent.saturating_add(LEASE) > now);
        self.pending.retain(|(until, _)| *until > now);
        self.sent.push(now);
    }

    /// Takes a lease. One that answers no renewal of this run is ignored: its `sent` may come
    /// from the clock of an earlier run. Returns whether it was taken.
    pub fn grant(&mut self, lease: &Lease) -> bool {
        if !self.sent.contains(&lease.sent) {
            return false;
        }
        self.answered = self.answered.max(lease.sent);
        let until = lease.sent.saturating_add(lease.span.min(LEASE));
        if until > self.until {
            self.pending.push((until, lease.index));
        }
        self.settle();
        true
    }

    /// Notes that the replicated state is applied up to `index`.
    pub fn applied(&mut self, index: Index) {
        self.applied = self.applied.max(index);
        self.settle();
    }

    /// End of the lease in force; 0 before the first.
    pub fn until(&self) -> Millis {
        self.until
    }

    /// Whether the lease is in force.
    pub fn valid(&self, now: Millis) -> bool {
        now < self.until
    }

    /// Time left, in milliseconds.
    pub fn left(&self, now: Millis) -> Millis {
        self.until.saturating_sub(now)
    }

    /// Gives the lease up; call it before the last message to the granter.
    pub fn end(&mut self) {
        *self = Holder { applied: self.applied, ..Holder::default() };
    }

    fn settle(&mut self) {
        let ready = self.pending.iter().filter(|(_, index)| *index <= self.applied);
        let ready = ready.map(|(until, _)| *until).max();
        self.until = self.until.max(ready.unwrap_or(0));
        let end = self.until;
        self.pending.retain(|(until, _)| *until > end);
    }
}

/// Answer to a renewal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Renewal {
    /// The lease is granted.
    Granted(Lease),
    /// The record of the instance is missing: propose to register it and grant nothing yet.
    Register,
    /// The lease is granted, and the record of the instance has changed: propose to register it.
    Update(Lease),
    /// The lease ended before: nothing until the instance is removed and registered again.
    Ended,
    /// A later run of the instance is recorded, or this run is known to have ended.
    Old,
}

/// How a run of an instance stands with the granter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Standing {
    /// The lease lasts until then.
    Until(Millis),
    /// The lease ran out; the instance may come back once it is removed.
    Expired,
    /// The process ended at that time.
    Gone(Millis),
}

#[derive(Debug)]
struct Run {
    standing: Standing,
    entry: bool,
}

/// The granter's side of all leases; a new leader starts with a new one.
///
/// A run of an instance whose lease has been found to be over gets no further lease before the
/// machine no longer lists it. Otherwise a stalled instance could renew while its shards are
/// being moved.
#[derive(Debug)]
pub struct Ledger {
    /// Until then, leases of the former leader may be in force.
    grace: Millis,
    runs: BTreeMap<(Name, u64), Run>,
}

impl Ledger {
    /// Starts at the election.
    pub fn new(now: Millis) -> Ledger {
        Ledger { grace: now.saturating_add(LEASE + MARGIN), runs: BTreeMap::new() }
    }

    /// Whether leases of the former leader may still be in force.
    pub fn in_grace(&self, now: Millis) -> bool {
        now < self.grace
    }

    /// Answers a renewal that was sent at `sent` by the holder's clock. `commit` is the committed
    /// index. Call it only while leading under a valid leader lease.
    pub fn renew(
        &mut self,
        instance: &Instance,
        sent: Millis,
        commit: Index,
        machine: &Machine,
        now: Millis,
    ) -> Renewal {
        let key = (instance.name.clone(), instance.incarnation);
        let recorded = machine.instances.get(&instance.name);
        let run = recorded.map(|r| r.incarnation);
        if self.gone(&key) || run.is_some_and(|run| run > key.1) {
            return Renewal::Old;
        }
        if let Some(run) = run.filter(|run| *run < key.1) {
            self.end((instance.name.clone(), run), now);
        }
        let known = recorded.filter(|_| run == Some(key.1));
        let expired = |run: &Run| run.standing == Standing::Expired;
        if known.is_some() && self.runs.get(&key).is_some_and(expired) {
            return Renewal::Ended;
        }
        // Counts for an instance that is still to be registered too, so that it isn't removed
        // again before its next renewal.
        let standing = Standing::Until(now.saturating_add(LEASE + MARGIN));
        self.runs.insert(key, Run { standing, entry: instance.entry });
        let Some(recorded) = known else {
            return Renewal::Register;
        };
        let lease = Lease { sent, span: LEASE, index: commit };
        if recorded == instance { Renewal::Granted(lease) } else { Renewal::Update(lease) }
    }

    /// Ends the lease of an instance that stopped.
    pub fn leave(&mut self, name: &Name, incarnation: u64, now: Millis) {
        self.end((name.clone(), incarnation), now);
    }

    /// Ends the lease of an instance whose peer address refused a connect. The connect must have
    /// been started after `incarnation` registered that address.
    pub fn refused(&mut self, name: &Name, incarnation: u64, now: Millis) {
        self.end((name.clone(), incarnation), now);
    }

    /// Instances that hold a lease and take shards.
    pub fn takers<'a>(&self, machine: &'a Machine, now: Millis) -> Vec<&'a Instance> {
        let takes = |i: &&Instance| {
            let run = self.runs.get(&(i.name.clone(), i.incarnation));
            i.entry && run.is_some_and(|run| run.entry && run.live(now))
        };
        machine.instances.values().filter(takes).collect()
    }

    /// Whether a recorded instance holds a lease, as far as this leader knows.
    pub fn live(&self, instance: &Instance, now: Millis) -> bool {
        let run = self.runs.get(&(instance.name.clone(), instance.incarnation));
        run.is_some_and(|run| run.live(now))
    }

    /// Recorded instances whose lease is surely over. They stay so until they are removed from
    /// the machine.
    pub fn ended(&mut self, machine: &Machine, now: Millis) -> Vec<(Name, u64)> {
        if self.in_grace(now) {
            return Vec::new();
        }
        self.runs.retain(|key, run| match run.standing {
            Standing::Gone(at) => now < at.saturating_add(MEMORY) || listed(machine, key),
            Standing::Until(end) => now < end || listed(machine, key),
            Standing::Expired => listed(machine, key),
        });
        let mut ended = Vec::new();
        for instance in machine.instances.values() {
            let key = (instance.name.clone(), instance.incarnation);
            if self.over(&key, now) {
                self.expire(key.clone());
                ended.push(key);
            }
        }
        ended
    }

    fn gone(&self, key: &(Name, u64)) -> bool {
        self.runs.get(key).is_some_and(|run| matches!(run.standing, Standing::Gone(_)))
    }

    fn over(&self, key: &(Name, u64), now: Millis) -> bool {
        match self.runs.get(key).map(|run| run.standing) {
            Some(Standing::Until(end)) => now >= end,
            Some(Standing::Expired | Standing::Gone(_)) => true,
            None => true,
        }
    }

    fn expire(&mut self, key: (Name, u64)) {
        if !self.gone(&key) {
            self.runs.insert(key, Run { standing: Standing::Expired, entry: false });
        }
    }

    fn end(&mut self, key: (Name, u64), now: Millis) {
        if !self.gone(&key) {
            self.runs.insert(key, Run { standing: Standing::Gone(now), entry: false });
        }
    }
}

impl Run {
    fn live(&self, now: Millis) -> bool {
        matches!(self.standing, Standing::Until(end) if now < end)
    }
}

fn listed(machine: &Machine, (name, incarnation): &(Name, u64)) -> bool {
    machine.instances.get(name).is_some_and(|i| i.incarnation == *incarnation)
}
