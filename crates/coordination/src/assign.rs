//! Which instance owns which shard.
//!
//! The leader takes a shard only from an instance whose lease is surely over. From a live one it
//! asks for it, and only to even out the load after an instance has joined.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

use auburnlug_state::{Command, Index, Instance, Machine, Millis, Name, Shard};

use crate::lease::Ledger;

/// Interval between requests to release a shard, in milliseconds. Each one interrupts a group.
pub const RELEASE: Millis = 1000;

/// Time for which an instance must have been a shard's standby before the shard is moved there,
/// in milliseconds. It is filled within one; a shard that moved 20 ms after its standby had joined
/// lost its request ids.
pub const SETTLE: Millis = 5000;

/// Shards that one plan considers for a move. Finding a standby looks at every instance.
const MOVES: usize = 256;

/// Instance that keeps a copy of what the owner of `shard` must not lose, and its next owner.
///
/// Every instance derives the same one from the same state. It is in another failure domain than
/// the owner if there is one; the hash spreads the shards of one owner over all others.
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

/// What the leader has to do.
#[derive(Debug, Default, PartialEq)]
pub struct Plan {
    /// Propose these, in this order.
    pub commands: Vec<Command>,
    /// Ask the holder for this shard.
    pub release: Option<Release>,
}

/// A request to a live holder; it gives the shard up by [`Command::Assign`] to nobody.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Release {
    /// Holder.
    pub instance: Name,
    /// Shard.
    pub shard: Shard,
    /// Epoch of the holder.
    pub epoch: u64,
}

#[derive(Debug)]
struct Last {
    name: Name,
    incarnation: u64,
    standby: Option<Name>,
    /// Incarnation of the standby.
    copy: u64,
    /// Time since which this instance is the standby of this owner.
    since: Millis,
}

impl Last {
    /// Whether owner and standby are the same runs.
    fn same(&self, other: &Last) -> bool {
        let runs = |l: &Last| (l.incarnation, l.copy);
        self.name == other.name && self.standby == other.standby && runs(self) == runs(other)
    }
}

/// Plans ownership; a new leader starts with a new one.
#[derive(Debug, Default)]
pub struct Assigner {
    /// Last seen holder of each shard.
    last: BTreeMap<Shard, Last>,
    /// Chosen holder of each shard and the epoch that the choice was made from.
    chosen: BTreeMap<Shard, (u64, Last)>,
    /// Index of the state that `last` was taken from.
    seen: Option<Index>,
    asked: Option<Millis>,
}

impl Assigner {
    /// Plans at time `now`. The same plan comes again until its commands are applied; each
    /// command is conditional, so that repeating it has no effect.
    pub fn plan(&mut self, machine: &Machine, ledger: &mut Ledger, now: Millis) -> Plan {
        self.note(machine, now);
        if ledger.in_grace(now) {
            return Plan::default();
        }
        let ended = ledger.ended(machine, now);
        let takers = ledger.takers(machine, now);
        let gone: BTreeSet<&Name> = ended.iter().map(|(name, _)| name).collect();
        let mut load = Load::new(machine, &takers);
        let mut plan = Plan::default();
        for (shard, holder) in &machine.shards {
            let held = holder.instance.as_ref();
            if held.is_some_and(|name| !gone.contains(name)) {
                continue;
            }
            if let Some(taker) = load.taker(shard, self.last.get(shard)) {
                let instance = Some(taker.name.clone());
                let (shard, epoch) = (shard.clone(), holder.epoch);
                let name = taker.name.clone();
                let incarnation = taker.incarnation;
                let last = Last { name, incarnation, standby: None, copy: 0, since: now };
                self.chosen.insert(shard.clone(), (epoch, last));
                plan.commands.push(Command::Assign { shard, instance, epoch });
            }
        }
        let settled = plan.commands.is_empty();
        let remove = |(instance, incarnation)| Command::Remove { instance, incarnation };
        plan.commands.extend(ended.into_iter().map(remove));
        if settled && self.asked.is_none_or(|asked| now >= asked.saturating_add(RELEASE)) {
            plan.release = load.release(&self.last, now);
            self.asked = plan.release.as_ref().map(|_| now).or(self.asked);
        }
        plan
    }

    /// Remembers holders, so that a shard that one gave up goes to another.
    fn note(&mut self, machine: &Machine, now: Millis) {
        // Finding the standbys of all shards looks at every instance for each of them.
        if self.seen.replace(machine.index) == Some(machine.index) {
            return;
        }
        self.last.retain(|shard, _| machine.shards.contains_key(shard));
        self.chosen.retain(|shard, _| machine.shards.contains_key(shard));
        for (shard, holder) in &machine.shards {
            // A holder may take a shard and give it up again between two plans.
            if self.chosen.get(shard).is_some_and(|(epoch, _)| *epoch < holder.epoch)
                && let Some((_, last)) = self.chosen.remove(shard)
            {
                self.last.insert(shard.clone(), last);
            }
            let holder = holder.instance.as_ref().and_then(|name| machine.instances.get(name));
            if let Some(Instance { name, incarnation, .. }) = holder {
                let standby = standby(machine, shard).cloned();
                let copy = standby.as_ref().and_then(|name| machine.instances.get(name));
                let copy = copy.map_or(0, |copy| copy.incarnation);
                let (name, incarnation) = (name.clone(), *incarnation);
                let mut last = Last { name, incarnation, standby, copy, since: now };
                if let Some(old) = self.last.get(shard).filter(|old| old.same(&last)) {
                    last.since = old.since;
                }
                self.last.insert(shard.clone(), last);
            }
        }
    }
}

/// Shards of each instance that may take more.
struct Load<'a> {
    machine: &'a Machine,
    takers: BTreeMap<&'a Name, &'a Instance>,
    /// Region of each failure domain; a server announces only its domain.
    regions: BTreeMap<&'a Name, &'a Name>,
    groups: BTreeMap<&'a Name, usize>,
    accounts: BTreeMap<&'a Name, usize>,
}

impl<'a> Load<'a> {
    fn new(machine: &'a Machine, takers: &[&'a Instance]) -> Load<'a> {
        let none: BTreeMap<&Name, usize> = takers.iter().map(|i| (&i.name, 0)).collect();
        let takers = takers.iter().map(|i| (&i.name, *i)).collect();
        let regions = machine.instances.values().map(|i| (&i.domain, &i.region)).collect();
        let mut load = Load { machine, takers, regions, groups: none.clone(), accounts: none };
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

    /// Chooses and counts the next holder of a shard: not the one that gave it up, then its
    /// standby, then the one with the fewest shards of this kind, then the nearest, then the one
    /// with the fewest of the other kind.
    fn taker(&mut self, shard: &Shard, last: Option<&Last>) -> Option<&'a Instance> {
        let taker = self.takers.values().copied().min_by_key(|i| {
            let gave = last.is_some_and(|l| l.name == i.name && l.incarnation == i.incarnation);
            let copy = last.is_some_and(|l| l.standby.as_ref() == Some(&i.name));
            let (count, other) = self.counts(shard, &i.name);
            (gave, !copy, count, self.distance(shard, i), other, &i.name)
        })?;
        self.add(shard, &taker.name);
        Some(taker)
    }

    fn counts(&self, shard: &Shard, name: &Name) -> (usize, usize) {
        let groups = self.groups.get(name).copied().unwrap_or(0);
        let accounts = self.accounts.get(name).copied().unwrap_or(0);
        match shard {
            Shard::Group(_) => (groups, accounts),
            Shard::Account(_) => (accounts, groups),
        }
    }

    /// 0 in the failure domain of the group's primary, 1 in its region, 2 elsewhere.
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
        let near = self.regions.get(&server.domain).is_some_and(|r| **r == instance.region);
        if near { 1 } else { 2 }
    }

    /// A shard whose standby has at least two less than the owner, of the owner with the most.
    ///
    /// Only the standby holds what the owner must not lose, and it is the next owner, so a shard
    /// moves nowhere else. Each move evens out the counts, so moves come to an end.
    fn release(&self, last: &BTreeMap<Shard, Last>, now: Millis) -> Option<Release> {
        let settled = |shard: &Shard| {
            last.get(shard).is_some_and(|last| now >= last.since.saturating_add(SETTLE))
        };
        let group = |shard: &Shard| matches!(shard, Shard::Group(_)) && settled(shard);
        let account = |shard: &Shard| matches!(shard, Shard::Account(_)) && settled(shard);
        self.uneven(&self.groups, group).or_else(|| self.uneven(&self.accounts, account))
    }

    fn uneven(
        &self,
        counts: &BTreeMap<&'a Name, usize>,
        kind: impl Fn(&Shard) -> bool,
    ) -> Option<Release> {
        let low = counts.values().min()?;
        let owned = self.machine.shards.iter().filter(|(shard, _)| kind(shard));
        let mut moves: Vec<_> = owned
            .filter_map(|(shard, holder)| {
                let owner = holder.instance.as_ref()?;
                let count = counts.get(owner).filter(|count| **count > low + 1)?;
                Some((Reverse(*count), shard, owner, holder.epoch))
            })
            .collect();
        moves.sort();
        moves.into_iter().take(MOVES).find_map(|(Reverse(count), shard, owner, epoch)| {
            let copy = counts.get(standby(self.machine, shard)?)?;
            let (instance, shard) = (owner.clone(), shard.clone());
            (count > copy + 1).then_some(Release { instance, shard, epoch })
        })
    }
}
