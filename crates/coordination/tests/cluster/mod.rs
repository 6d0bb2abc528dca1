//! Simulated cluster: control members with a simulated clock, network and disks that fail on
//! demand.
//!
//! Every millisecond the harness checks the invariants: one leader per term, at most one valid
//! leader lease, whose holder knows everything that earlier leaders committed, and the same
//! committed entry at the same index on all members.

use std::{
    collections::{BTreeMap, BTreeSet},
    hash::{DefaultHasher, Hash, Hasher},
};

use auburnlug_coordination::{
    Category,
    bootstrap::instance_of,
    membership::ControlGroup,
    raft::{Entry, Members, Message, Payload, Raft, Ready, Saved, Timing},
};
use auburnlug_state::{Command, Index, Millis, Name, Term};
use rand_chacha::{
    ChaCha8Rng,
    rand_core::{RngCore, SeedableRng},
};

pub fn name(text: &str) -> Name {
    Name::try_from(text).unwrap()
}

/// A running member and its disk.
pub struct Node {
    pub id: Name,
    pub raft: Raft,
    disk: Saved,
    /// Work that is being synced, and the time at which the sync ends.
    pending: Option<(Ready, Millis)>,
    pub applied: Index,
    digest: u64,
}

/// Faults of the network and the disks.
#[derive(Debug, Clone, Default)]
pub struct Faults {
    /// Lost messages in percent.
    pub loss: u64,
    /// Messages delivered twice, in percent.
    pub duplicates: u64,
    /// Longest delay of a message, in milliseconds. Messages may be reordered.
    pub delay: Millis,
    /// Longest duration of a sync, in milliseconds.
    pub sync: Millis,
    /// Links that drop all messages, as pairs of sender and receiver slot.
    pub cuts: BTreeSet<(usize, usize)>,
    /// Slots that are powered off or frozen.
    pub down: BTreeSet<usize>,
}

pub struct Cluster {
    pub nodes: Vec<Node>,
    pub now: Millis,
    pub faults: Faults,
    /// Committed entries with the digest of the log up to them.
    pub committed: BTreeMap<Index, (Entry, u64)>,
    leaders: BTreeMap<Term, Name>,
    queue: Vec<(Millis, Name, Name, Message)>,
    /// Identities that lost their disk.
    lost_ids: Vec<Name>,
    initial: Members,
    rng: ChaCha8Rng,
    /// Number of names generated so far.
    counter: u64,
    /// Simultaneous disk losses that the group must tolerate, if it chooses its voters by itself.
    losses: Option<usize>,
}

impl Cluster {
    /// Cluster of `size` voters whose operator replaces lost members.
    pub fn new(size: usize, seed: u64) -> Cluster {
        Cluster::with_voters((0..size).map(|i| name(&format!("m{i}"))).collect(), seed)
    }

    /// Cluster that is bootstrapped by the first three members and chooses its voters by itself.
    pub fn group(size: usize, losses: usize, seed: u64) -> Cluster {
        let voters = (0..3.min(size)).map(|slot| name(&format!("m{slot}.0"))).collect();
        let mut cluster = Cluster::with_voters(voters, seed);
        cluster.losses = Some(losses);
        for slot in cluster.nodes.len()..size {
            let id = name(&format!("m{slot}.0"));
            let node = cluster.start(slot, id, Saved::default());
            cluster.nodes.push(node);
        }
        cluster
    }

    fn with_voters(voters: BTreeSet<Name>, seed: u64) -> Cluster {
        let initial = Members::new(voters.clone(), BTreeSet::new());
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let mut cluster = Cluster {
            nodes: Vec::new(),
            now: 0,
            faults: Faults { delay: 5, ..Faults::default() },
            committed: BTreeMap::new(),
            leaders: BTreeMap::new(),
            queue: Vec::new(),
            lost_ids: Vec::new(),
            initial,
            rng,
            counter: 0,
            losses: None,
        };
        for id in voters {
            let node = cluster.start(cluster.nodes.len(), id, Saved::default());
            cluster.nodes.push(node);
        }
        cluster
    }

    /// Clock of a slot. The clocks start at different times and drift by up to 4%.
    pub fn clock(&self, slot: usize) -> Millis {
        1000 * slot as u64 + self.now * (96 + 4 * (slot as u64 % 3)) / 100
    }

    fn random_below(&mut self, limit: u64) -> u64 {
        self.rng.next_u64() % limit.max(1)
    }

    fn start(&mut self, slot: usize, id: Name, disk: Saved) -> Node {
        let seed = self.rng.next_u64();
        let outsider = !self.initial.voters.contains(&id);
        let initial = if outsider { Members::default() } else { self.initial.clone() };
        let now = self.clock(slot);
        let timing = Timing::default();
        let raft = Raft::new(id.clone(), initial, disk.clone(), timing, seed, now).unwrap();
        let applied = disk.snapshot.as_ref().map_or(0, |s| s.index);
        let digest = disk.snapshot.as_ref().map_or(0, |s| decode_digest(&s.data));
        Node { id, raft, disk, pending: None, applied, digest }
    }

    /// Restarts a member, which loses everything that was not synced.
    pub fn restart(&mut self, slot: usize) {
        let (id, disk) = (self.nodes[slot].id.clone(), self.nodes[slot].disk.clone());
        self.nodes[slot] = self.start(slot, id, disk);
    }

    /// Whether the voters of the committed membership are exactly the members in the slots.
    pub fn repaired(&self) -> bool {
        let ids: BTreeSet<Name> = self.nodes.iter().map(|n| n.id.clone()).collect();
        let last = self.committed.values().rev().find_map(|(e, _)| match &e.payload {
            Payload::Members(members) => Some(members),
            _ => None,
        });
        last.unwrap_or(&self.initial).voters == ids
    }

    /// Restarts a slot without its disk, under a new identity.
    pub fn lose_disk(&mut self, slot: usize) {
        self.counter += 1;
        let id = match self.losses {
            Some(_) => name(&format!("m{slot}.{}", self.counter)),
            None => name(&format!("n{}", self.counter)),
        };
        self.lost_ids.push(self.nodes[slot].id.clone());
        self.nodes[slot] = self.start(slot, id, Saved::default());
    }

    pub fn isolate(&mut self, slot: usize) {
        for other in 0..self.nodes.len() {
            self.faults.cuts.extend([(slot, other), (other, slot)]);
        }
    }

    /// Partitions the members in two, with the given slots on one side.
    pub fn split(&mut self, side: &BTreeSet<usize>) {
        for one in 0..self.nodes.len() {
            for other in 0..self.nodes.len() {
                if side.contains(&one) != side.contains(&other) {
                    self.faults.cuts.insert((one, other));
                }
            }
        }
    }

    /// Slots that are neither powered off nor frozen.
    pub fn running(&self) -> Vec<usize> {
        (0..self.nodes.len()).filter(|slot| !self.faults.down.contains(slot)).collect()
    }

    /// Slot of the running member that leads the highest term.
    pub fn leader(&self) -> Option<usize> {
        let leading = self.running().into_iter().filter(|&s| self.nodes[s].raft.leads());
        leading.max_by_key(|&s| self.nodes[s].raft.term())
    }

    /// Proposes a command at every member, which those that don't lead refuse.
    pub fn propose(&mut self) {
        self.counter += 1;
        let command = Command::Forget(name(&format!("c{}", self.counter)));
        for slot in 0..self.nodes.len() {
            let now = self.clock(slot);
            let _ = self.nodes[slot].raft.propose(command.clone(), now);
        }
    }

    pub fn run(&mut self, span: Millis) {
        for _ in 0..span {
            self.now += 1;
            self.deliver();
            for slot in self.running() {
                let now = self.clock(slot);
                self.nodes[slot].raft.tick(now);
                self.process_ready(slot);
            }
            if self.now.is_multiple_of(20) {
                match self.losses {
                    Some(losses) => self.update_voters(losses),
                    None => self.replace_lost(),
                }
            }
            self.check_invariants();
        }
    }

    /// Ends all faults and requires that every member recovers and applies the same log.
    pub fn recover(&mut self) {
        self.faults = Faults { delay: 5, ..Faults::default() };
        self.run(8000);
        assert!(self.repaired(), "the membership was not repaired");
        self.propose();
        self.run(500);
        let text = format!("c{}", self.counter);
        let found = self.committed.values().any(|(e, _)| {
            matches!(&e.payload, Payload::Command(Command::Forget(n)) if n.as_str() == text)
        });
        assert!(found, "a proposal after the end of all faults was not committed");
        let last = self.committed.keys().last().copied().unwrap();
        for node in &self.nodes {
            assert_eq!(node.applied, last, "{} has not applied everything", node.id);
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (mut due, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.queue).into_iter().partition(|m| m.0 <= now);
        self.queue = rest;
        due.sort_by_key(|m| m.0);
        for (_, from, to, message) in due {
            if let Some(slot) = self.nodes.iter().position(|n| n.id == to)
                && !self.faults.down.contains(&slot)
            {
                let now = self.clock(slot);
                self.nodes[slot].raft.receive(&from, message, now);
            }
        }
    }

    fn send(&mut self, slot: usize, to: &Name, message: &Message) {
        let Some(target) = self.nodes.iter().position(|n| n.id == *to) else { return };
        let lost = self.random_below(100) < self.faults.loss;
        if lost || self.faults.cuts.contains(&(slot, target)) {
            return;
        }
        let copies = if self.random_below(100) < self.faults.duplicates { 2 } else { 1 };
        for _ in 0..copies {
            let at = self.now + 1 + self.random_below(self.faults.delay);
            let from = self.nodes[slot].id.clone();
            self.queue.push((at, from, to.clone(), message.clone()));
        }
    }

    /// Starts and ends syncs. Messages are sent and entries applied only after the sync.
    fn process_ready(&mut self, slot: usize) {
        if self.nodes[slot].pending.is_none() {
            let at = self.now + self.random_below(self.faults.sync);
            let ready = self.nodes[slot].raft.ready();
            self.nodes[slot].pending = (ready != Ready::default()).then_some((ready, at));
        }
        let Some((_, at)) = &self.nodes[slot].pending else { return };
        if *at > self.now {
            return;
        }
        let Some((ready, _)) = self.nodes[slot].pending.take() else { return };
        let node = &mut self.nodes[slot];
        store(&mut node.disk, &ready);
        if let Some(snapshot) = &ready.snapshot {
            let expected = self.committed.get(&snapshot.index).map(|a| a.1);
            assert_eq!(
                Some(decode_digest(&snapshot.data)),
                expected,
                "snapshot does not match the committed log"
            );
            (node.applied, node.digest) = (snapshot.index, decode_digest(&snapshot.data));
        }
        if ready.needs_sync() {
            node.raft.persisted();
        }
        for (to, message) in &ready.messages {
            self.send(slot, to, message);
        }
        for entry in ready.committed {
            self.apply(slot, entry);
        }
        self.compact(slot);
    }

    fn apply(&mut self, slot: usize, entry: Entry) {
        let node = &mut self.nodes[slot];
        assert_eq!(entry.index, node.applied + 1, "{} skipped an entry", node.id);
        let mut hasher = DefaultHasher::new();
        (node.digest, format!("{entry:?}")).hash(&mut hasher);
        (node.applied, node.digest) = (entry.index, hasher.finish());
        let record = (entry, node.digest);
        let first = self.committed.entry(node.applied).or_insert_with(|| record.clone());
        assert_eq!(*first, record, "{} committed a different entry", node.id);
    }

    fn compact(&mut self, slot: usize) {
        let node = &mut self.nodes[slot];
        let covered = node.disk.snapshot.as_ref().map_or(0, |s| s.index);
        if node.applied < covered + 50 {
            return;
        }
        let data = node.digest.to_be_bytes().to_vec();
        let snapshot = node.raft.snapshot(node.applied, data).unwrap();
        node.disk.snapshot = Some(snapshot.clone());
        node.disk.entries.retain(|e| e.index > snapshot.index);
        node.raft.compact(snapshot).unwrap();
    }

    /// Every running member learns which identities were lost from the instances that reach it.
    fn tell_losses(&mut self) {
        for slot in self.running() {
            let reaching = |other: &usize| !self.faults.cuts.contains(&(*other, slot));
            let reaching: Vec<usize> = self.running().into_iter().filter(reaching).collect();
            let instances: BTreeSet<Option<Name>> =
                reaching.iter().map(|other| instance_of(&self.nodes[*other].id)).collect();
            let lost = self.lost_ids.iter().filter(|id| instances.contains(&instance_of(id)));
            for id in lost.cloned().collect::<Vec<_>>() {
                self.nodes[slot].raft.record_loss(&id);
            }
        }
    }

    /// Simulates a group that chooses its voters: the leader proposes changes, and members outside
    /// the group ask it to join.
    fn update_voters(&mut self, losses: usize) {
        self.tell_losses();
        let Some(slot) = self.leader() else { return };
        let now = self.clock(slot);
        let members = self.nodes[slot].raft.members().clone();
        let reaches = |other: &usize| !self.faults.cuts.contains(&(*other, slot));
        let asking = self.running().into_iter().filter(reaches).map(|other| &self.nodes[other].id);
        let joining = asking.filter(|id| !members.all().any(|member| member == *id));
        let raft = &self.nodes[slot].raft;
        let group = ControlGroup {
            leader: self.nodes[slot].id.clone(),
            joining: joining.cloned().collect(),
            lost: raft.lost().clone(),
            progress: raft.progress(now),
            members,
            losses,
        };
        if raft.lease_valid(now)
            && let Some(next) = group.next_members()
            && let Err(e) = self.nodes[slot].raft.propose_members(next, now)
        {
            assert!(matches!(e.category(), Category::Busy | Category::Lagging), "{e}");
        }
    }

    /// Simulates an operator who replaces lost identities one step at a time.
    fn replace_lost(&mut self) {
        let Some(slot) = self.leader() else { return };
        let now = self.clock(slot);
        let mut members = self.nodes[slot].raft.members().clone();
        let ids: Vec<Name> = self.nodes.iter().map(|n| n.id.clone()).collect();
        let voter = |id: &&Name| members.voters.contains(*id);
        if let Some(id) = self.lost_ids.iter().find(|id| members.all().any(|m| m == *id)).cloned() {
            members.voters.remove(&id);
            members.learners.remove(&id);
        } else if let Some(id) = ids.iter().find(|id| !voter(id)) {
            let learner = members.learners.remove(id);
            let set = if learner { &mut members.voters } else { &mut members.learners };
            set.insert(id.clone());
        } else {
            return;
        }
        if let Err(e) = self.nodes[slot].raft.propose_members(members, now) {
            assert!(matches!(e.category(), Category::Busy | Category::Lagging), "{e}");
        }
    }

    fn check_invariants(&mut self) {
        let mut holders = Vec::new();
        for slot in self.running() {
            let node = &self.nodes[slot];
            if node.raft.lease_valid(self.clock(slot)) {
                holders.push(node.id.clone());
                let earlier = self.committed.values().rev().find(|a| a.0.term < node.raft.term());
                let known = earlier.is_none_or(|a| a.0.index <= node.raft.commit_index());
                assert!(known, "{} has a lease but does not know all committed entries", node.id);
            }
            if node.raft.leads() {
                let leader = self.leaders.entry(node.raft.term()).or_insert(node.id.clone());
                assert_eq!(*leader, node.id, "two leaders in term {}", node.raft.term());
            }
        }
        assert!(holders.len() < 2, "valid leases at {holders:?}");
    }
}

fn decode_digest(data: &[u8]) -> u64 {
    data.try_into().map(u64::from_be_bytes).unwrap()
}

fn store(disk: &mut Saved, ready: &Ready) {
    if let Some(vote) = &ready.vote {
        disk.vote = vote.clone();
    }
    if let Some(snapshot) = &ready.snapshot {
        disk.entries.clear();
        disk.snapshot = Some(snapshot.clone());
    }
    if let Some(index) = ready.truncate {
        disk.entries.retain(|e| e.index < index);
    }
    disk.entries.extend(ready.append.iter().cloned());
}
