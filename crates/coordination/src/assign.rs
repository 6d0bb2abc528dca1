//! Assignment of shards to instances.
//!
//! The leader reassigns a shard on its own only if the lease of the owner has certainly expired. It
//! asks a live owner to release a shard, and only to balance the load after an instance has joined.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

use auburnlug_state::{Command, Index, Instance, Machine, Millis, Name, Shard};

use crate::lease::LeaseTable;

/// Interval between requests to release a shard. Each one interrupts a database group.
pub const RELEASE_INTERVAL_MS: Millis = 1000;

/// Time for which an instance must have been the standby of a shard before the shard is moved
/// there. A standby receives its copy within one second; a shard that moved 20 ms after its standby
/// had joined lost its request ids.
pub const STANDBY_SETTLE_MS: Millis = 5000;

/// Shards that one plan considers for a move. Finding the standby of a shard visits every instance.
const MAX_MOVE_CANDIDATES: usize = 256;

/// Standby of `shard`: the instance that keeps a copy of the state that must survive the owner, and
/// that becomes the next owner.
///
/// Every instance derives the same standby from the same state. It is in another failure domain
/// than the owner if there is one. The hash spreads the shards of one owner over all other
/// instances.
pub fn standby<'a>(machine: &'a Machine, shard: &Shard) -> Option<&'a Name> {
    let owner = machine.shards.get(shard)?.instance.as_ref()?;
    let domain = machine.instances.get(owner).map(|i| &i.domain);
    let others = machine.instances.values().filter(|i| i.entry && i.name != *owner);
    let rank = |i: &&Instance| {
        let hash = crc32fast::hash(format!("{shard}@{}", i.name).as_bytes());
        (Some(&i.domain) == domain, hash)
    };
    others.min_by_key(rank).map(|i| &i.name)
}

/// Actions for the leader.
#[derive(Debug, Default, PartialEq)]
pub struct AssignmentPlan {
    /// Commands to propose, in this order.
    pub commands: Vec<Command>,
    /// Request to send to the owner of a shard.
    pub release: Option<ReleaseRequest>,
}

/// A request to a live owner to release a shard. The owner proposes a [`Command::Assign`] without
/// an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReleaseRequest {
    /// Owner of the shard.
    pub instance: Name,
    /// Shard to release.
    pub shard: Shard,
    /// Epoch of the ownership.
    pub epoch: u64,
}

/// An owner of a shard and its standby at that time.
#[derive(Debug)]
struct LastOwner {
    name: Name,
    incarnation: u64,
    standby: Option<Name>,
    /// Incarnation of the standby; 0 without one.
    standby_incarnation: u64,
    /// Time since which this standby has been the one of this owner.
    since: Millis,
}

impl LastOwner {
    /// Whether owner and standby are the same incarnations.
    fn is_same(&self, other: &LastOwner) -> bool {
        let incarnations = |l: &LastOwner| (l.incarnation, l.standby_incarnation);
        self.name == other.name
            && self.standby == other.standby
            && incarnations(self) == incarnations(other)
    }
}

/// Plans the assignment of shards. A new leader starts with an empty one.
#[derive(Debug, Default)]
pub struct Assigner {
    /// Last known owner of each shard.
    last: BTreeMap<Shard, LastOwner>,
    /// Owner chosen for each shard, with the epoch that the choice was based on.
    chosen: BTreeMap<Shard, (u64, LastOwner)>,
    /// Index of the state from which `last` was updated.
    seen: Option<Index>,
    /// Time of the last request to release a shard.
    asked: Option<Millis>,
}

impl Assigner {
    /// Plans at time `now`. The same commands are returned until they are applied. Each command is
    /// conditional and therefore idempotent.
    pub fn plan(
        &mut self,
        machine: &Machine,
        ledger: &mut LeaseTable,
        now: Millis,
    ) -> AssignmentPlan {
        self.record_owners(machine, now);
        if ledger.in_grace(now) {
            return AssignmentPlan::default();
        }
        let ended = ledger.take_expired(machine, now);
        let candidates = ledger.assignable_instances(machine, now);
        let expired: BTreeSet<&Name> = ended.iter().map(|(name, _)| name).collect();
        let mut load = Load::new(machine, &candidates);
        let mut plan = AssignmentPlan::default();
        for (shard, holder) in &machine.shards {
            let owner = holder.instance.as_ref();
            if owner.is_some_and(|name| !expired.contains(name)) {
                continue;
            }
            if let Some(chosen) = load.choose_owner(shard, self.last.get(shard)) {
                let instance = Some(chosen.name.clone());
                let (shard, epoch) = (shard.clone(), holder.epoch);
                let name = chosen.name.clone();
                let incarnation = chosen.incarnation;
                let last = LastOwner {
                    name,
                    incarnation,
                    standby: None,
                    standby_incarnation: 0,
                    since: now,
                };
                self.chosen.insert(shard.clone(), (epoch, last));
                plan.commands.push(Command::Assign { shard, instance, epoch });
            }
        }
        let unchanged = plan.commands.is_empty();
        let remove = |(instance, incarnation)| Command::Remove { instance, incarnation };
        plan.commands.extend(ended.into_iter().map(remove));
        if unchanged
            && self.asked.is_none_or(|asked| now >= asked.saturating_add(RELEASE_INTERVAL_MS))
        {
            plan.release = load.release(&self.last, now);
            self.asked = plan.release.as_ref().map(|_| now).or(self.asked);
        }
        plan
    }

    /// Records the owners, so that a released shard goes to another instance.
    fn record_owners(&mut self, machine: &Machine, now: Millis) {
        // Finding the standbys visits every instance for each shard, so skip a state seen before.
        if self.seen.replace(machine.index) == Some(machine.index) {
            return;
        }
        self.last.retain(|shard, _| machine.shards.contains_key(shard));
        self.chosen.retain(|shard, _| machine.shards.contains_key(shard));
        for (shard, holder) in &machine.shards {
            // An owner may have taken a shard and released it again since the last plan.
            if self.chosen.get(shard).is_some_and(|(epoch, _)| *epoch < holder.epoch)
                && let Some((_, last)) = self.chosen.remove(shard)
            {
                self.last.insert(shard.clone(), last);
            }
            let owner = holder.instance.as_ref().and_then(|name| machine.instances.get(name));
            if let Some(Instance { name, incarnation, .. }) = owner {
                let standby = standby(machine, shard).cloned();
                let instance = standby.as_ref().and_then(|name| machine.instances.get(name));
                let standby_incarnation = instance.map_or(0, |instance| instance.incarnation);
                let (name, incarnation) = (name.clone(), *incarnation);
                let mut last =
                    LastOwner { name, incarnation, standby, standby_incarnation, since: now };
                if let Some(old) = self.last.get(shard).filter(|old| old.is_same(&last)) {
                    last.since = old.since;
                }
                self.last.insert(shard.clone(), last);
            }
        }
    }
}

/// Number of shards of each instance that accepts shards.
struct Load<'a> {
    machine: &'a Machine,
    candidates: BTreeMap<&'a Name, &'a Instance>,
    /// Region of each failure domain; a server announces only its domain.
    regions: BTreeMap<&'a Name, &'a Name>,
    groups: BTreeMap<&'a Name, usize>,
    accounts: BTreeMap<&'a Name, usize>,
}

impl<'a> Load<'a> {
    fn new(machine: &'a Machine, candidates: &[&'a Instance]) -> Load<'a> {
        let none: BTreeMap<&Name, usize> = candidates.iter().map(|i| (&i.name, 0)).collect();
        let candidates = candidates.iter().map(|i| (&i.name, *i)).collect();
        let regions = machine.instances.values().map(|i| (&i.domain, &i.region)).collect();
        let mut load = Load { machine, candidates, regions, groups: none.clone(), accounts: none };
        for (shard, holder) in &machine.shards {
            if let Some(name) = &holder.instance {
                load.add(shard, name);
            }
        }
        load
    }

    fn add(&mut self, shard: &Shard, name: &Name) {
        let counts = match shard {
            Shard::Group(_) => &mut self.groups,
            Shard::Account(_) => &mut self.accounts,
        };
        if let Some(count) = counts.get_mut(name) {
            *count += 1;
        }
    }

    /// Chooses the next owner of a shard and counts the shard for it. Preference, in this order:
    /// not the instance that released it, the standby, fewest shards of this kind, nearest to the
    /// primary, fewest shards of the other kind.
    fn choose_owner(&mut self, shard: &Shard, last: Option<&LastOwner>) -> Option<&'a Instance> {
        let chosen = self.candidates.values().copied().min_by_key(|i| {
            let released = last.is_some_and(|l| l.name == i.name && l.incarnation == i.incarnation);
            let is_standby = last.is_some_and(|l| l.standby.as_ref() == Some(&i.name));
            let (count, other) = self.counts(shard, &i.name);
            (released, !is_standby, count, self.distance(shard, i), other, &i.name)
        })?;
        self.add(shard, &chosen.name);
        Some(chosen)
    }

    fn counts(&self, shard: &Shard, name: &Name) -> (usize, usize) {
        let groups = self.groups.get(name).copied().unwrap_or(0);
        let accounts = self.accounts.get(name).copied().unwrap_or(0);
        match shard {
            Shard::Group(_) => (groups, accounts),
            Shard::Account(_) => (accounts, groups),
        }
    }

    /// Distance to the primary of the group: 0 in its failure domain, 1 in its region, 2 elsewhere.
    fn distance(&self, shard: &Shard, instance: &Instance) -> u32 {
        let Shard::Group(group) = shard else {
            return 0;
        };
        let primary = self.machine.groups.get(group).and_then(|g| g.primary.as_ref());
        let Some(server) = primary.and_then(|name| self.machine.servers.get(name)) else {
            return 0;
        };
        if instance.domain == server.domain {
            return 0;
        }
        let same_region = self.regions.get(&server.domain).is_some_and(|r| **r == instance.region);
        if same_region { 1 } else { 2 }
    }

    /// Shard to move to its standby, from the owner with the most shards. The standby must have at
    /// least two shards less than the owner.
    ///
    /// A shard moves only to its standby, as no other instance has a copy of the state that must
    /// survive the owner. Each move balances the counts further, so the moves terminate.
    fn release(&self, last: &BTreeMap<Shard, LastOwner>, now: Millis) -> Option<ReleaseRequest> {
        let settled = |shard: &Shard| {
            last.get(shard).is_some_and(|last| now >= last.since.saturating_add(STANDBY_SETTLE_MS))
        };
        let is_group = |shard: &Shard| matches!(shard, Shard::Group(_)) && settled(shard);
        let is_account = |shard: &Shard| matches!(shard, Shard::Account(_)) && settled(shard);
        self.balancing_move(&self.groups, is_group)
            .or_else(|| self.balancing_move(&self.accounts, is_account))
    }

    fn balancing_move(
        &self,
        counts: &BTreeMap<&'a Name, usize>,
        kind: impl Fn(&Shard) -> bool,
    ) -> Option<ReleaseRequest> {
        let lowest = counts.values().min()?;
        let owned = self.machine.shards.iter().filter(|(shard, _)| kind(shard));
        let mut moves: Vec<_> = owned
            .filter_map(|(shard, holder)| {
                let owner = holder.instance.as_ref()?;
                let count = counts.get(owner).filter(|count| **count > lowest + 1)?;
                Some((Reverse(*count), shard, owner, holder.epoch))
            })
            .collect();
        moves.sort();
        moves.into_iter().take(MAX_MOVE_CANDIDATES).find_map(
            |(Reverse(count), shard, owner, epoch)| {
                let standby_count = counts.get(standby(self.machine, shard)?)?;
                let (instance, shard) = (owner.clone(), shard.clone());
                (count > standby_count + 1).then_some(ReleaseRequest { instance, shard, epoch })
            },
        )
    }
}
