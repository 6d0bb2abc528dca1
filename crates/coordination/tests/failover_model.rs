//! Model tests of failover in a whole group: one primary per term, and no acknowledged write lost.

use std::collections::{BTreeMap, BTreeSet};

use auburnlug_coordination::{
    Position,
    acks::{AckTracker, WriteState},
    failover::{Failover, FailoverStep, Gap, Status},
};
use auburnlug_state::{GroupState, Millis, Name, Role, Term};
use proptest::{prelude::*, test_runner::RngSeed};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn name(i: usize) -> Name {
    Name::try_from(format!("s{i}")).expect("valid name")
}

fn index(name: &Name) -> usize {
    name.as_str()[1..].parse().expect("made by name()")
}

fn at(term: Term, offset: u64) -> Position {
    Position { term, offset }
}

/// A simulated database server with a durable log.
#[derive(Debug, Clone)]
struct Server {
    up: bool,
    term: Term,
    role: Role,
    log: Vec<(Term, u64)>,
    follows: Option<usize>,
    last_contact: Millis,
}

impl Server {
    fn received(&self) -> Position {
        at(self.log.last().map_or(0, |(term, _)| *term), self.log.len() as u64)
    }

    fn status(&self, now: Millis) -> Status {
        let upstream_age = self.follows.map(|_| now - self.last_contact);
        Status { term: self.term, role: self.role, received: self.received(), upstream_age }
    }
}

#[derive(Debug)]
enum Event {
    /// Step or write of an owner that arrives at a server.
    Server(u64, usize, Work),
    Status(u64, usize, Status),
    Refused(u64, usize),
    Written(u64, Position, u64),
    Followed(u64, usize, usize, Term),
    Propose(u64, GroupState),
    Filled(u64, usize, Term),
    Agreed(u64, Term),
    Recorded(GroupState),
}

#[derive(Debug)]
enum Work {
    Poll,
    Fence(Term),
    Promote(Term),
    Follow(usize, Term),
    Write(u64),
}

/// A simulated group with its owner and the replicated record, all on one clock.
struct World {
    rng: ChaCha8Rng,
    now: Millis,
    servers: Vec<Server>,
    size: usize,
    /// Recorded servers, and those of them that are still catching up.
    members: BTreeSet<usize>,
    filling: BTreeSet<Name>,
    /// Links that are down, each until a time.
    cuts: BTreeMap<(usize, usize), Millis>,
    queue: BTreeMap<(Millis, u64), Event>,
    serial: u64,
    group: GroupState,
    epoch: u64,
    owner: Failover,
    acks: AckTracker,
    /// Acknowledged writes, and the server that was promoted in each term.
    acknowledged: Vec<u64>,
    promoted: BTreeMap<Term, usize>,
    gaps: Vec<Gap>,
    faulty: bool,
}

impl World {
    fn new(seed: u64, size: usize) -> World {
        let server = Server {
            up: true,
            term: 0,
            role: Role::Replica,
            log: Vec::new(),
            follows: None,
            last_contact: 0,
        };
        let mut world = World {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: 0,
            servers: vec![server; size],
            size,
            members: (0..size).collect(),
            filling: BTreeSet::new(),
            cuts: BTreeMap::new(),
            queue: BTreeMap::new(),
            serial: 0,
            group: GroupState::default(),
            epoch: 0,
            owner: Failover::new(1, &[], GroupState::default(), 0),
            acks: AckTracker::new(1, 0),
            acknowledged: Vec::new(),
            promoted: BTreeMap::new(),
            gaps: Vec::new(),
            faulty: false,
        };
        world.replace_owner();
        world
    }

    /// Replaces the owner by a new one.
    fn replace_owner(&mut self) {
        let size = self.size as u32;
        self.epoch += 1;
        self.owner = Failover::new(size, &[], self.group.clone(), self.now);
        self.acks = AckTracker::new(size, self.group.term);
        self.update_owner();
    }

    /// Passes the recorded servers to the owner.
    fn update_owner(&mut self) {
        let names: Vec<_> = self.members.iter().copied().map(name).collect();
        self.owner.set_servers(&names);
        self.acks.retain_servers(&names);
        self.owner.set_filling(&self.filling, self.now);
    }

    /// Replaces server `i`, which never returns, by a new one with an empty log; returns the new
    /// server. The recorded primary is never replaced.
    fn replace_server(&mut self, i: usize) -> Option<usize> {
        let primary = self.group.primary.as_ref().map(index)?;
        if primary == i {
            return None;
        }
        self.servers[i].up = false;
        let new = self.servers.len();
        let (up, term, role, log) = (true, 0, Role::Replica, Vec::new());
        self.servers.push(Server { up, term, role, log, follows: None, last_contact: 0 });
        self.members.remove(&i);
        self.members.insert(new);
        self.filling.remove(&name(i));
        self.filling.insert(name(new));
        self.update_owner();
        Some(new)
    }

    /// Recorded servers other than `i`.
    fn others(&self, i: usize) -> Vec<usize> {
        self.members.iter().copied().filter(|j| *j != i).collect()
    }

    fn send(&mut self, event: Event) {
        let max_delay = if self.faulty && self.rng.random_ratio(1, 30) { 700 } else { 4 };
        self.serial += 1;
        self.queue.insert((self.now + self.rng.random_range(1..=max_delay), self.serial), event);
    }

    /// Whether the link between two servers is up; `usize::MAX` stands for the owner.
    fn linked(&self, a: usize, b: usize) -> bool {
        self.cuts.get(&(a.min(b), a.max(b))).is_none_or(|until| *until <= self.now)
    }

    fn serve(&mut self, owner: u64, i: usize, work: Work) {
        let now = self.now;
        if !self.linked(i, usize::MAX) {
            return;
        }
        let server = &mut self.servers[i];
        if !server.up {
            return self.send(Event::Refused(owner, i));
        }
        match work {
            Work::Poll => {}
            Work::Fence(term) if term > server.term => {
                (server.term, server.role, server.follows) = (term, Role::Replica, None);
            }
            Work::Promote(term) if term == server.term => {
                server.role = Role::Primary;
                let other = self.promoted.insert(term, i);
                assert!(other.is_none_or(|j| j == i), "two primaries in term {term}");
            }
            Work::Follow(primary, term) if term >= server.term => {
                (server.term, server.role) = (term, Role::Replica);
                (server.follows, server.last_contact) = (Some(primary), now);
                return self.send(Event::Followed(owner, i, primary, term));
            }
            Work::Write(id) if server.role == Role::Primary => {
                server.log.push((server.term, id));
                let position = server.received();
                return self.send(Event::Written(owner, position, id));
            }
            _ => {}
        }
        let status = self.servers[i].status(now);
        self.send(Event::Status(owner, i, status));
    }

    fn handle(&mut self, event: Event) {
        let (now, epoch) = (self.now, self.epoch);
        match event {
            Event::Server(owner, i, work) => self.serve(owner, i, work),
            Event::Status(owner, i, status) if owner == epoch && self.linked(i, usize::MAX) => {
                self.owner.record_status(&name(i), status, now);
                let done = self.acks.record_status(&name(i), status.term, status.received);
                self.record_acknowledged(done);
            }
            Event::Refused(owner, i) if owner == epoch => self.owner.record_refusal(&name(i)),
            Event::Written(owner, position, id) if owner == epoch => {
                let done = self.acks.wait(position, id) == WriteState::Acknowledged;
                self.record_acknowledged(done.then_some(id).into_iter().collect());
            }
            Event::Followed(owner, i, primary, term) if owner == epoch => {
                self.owner.record_follower(&name(i), &name(primary), term);
            }
            Event::Propose(owner, state) => {
                let next = state.primary.is_none() && state.term == self.group.term + 1;
                let primary = state.primary.is_some() && state.term == self.group.term;
                if owner == epoch && (next || primary) {
                    self.group = state.clone();
                    if let Some(primary) = &state.primary {
                        self.filling.remove(primary);
                        self.update_owner();
                    }
                    if next && !(self.faulty && self.rng.random_ratio(1, 5)) {
                        self.send(Event::Agreed(owner, state.term));
                    }
                    self.send(Event::Recorded(state));
                }
            }
            Event::Filled(owner, i, term) => {
                let current = self.group.term == term && self.group.primary.is_some();
                if owner == epoch && current {
                    self.filling.remove(&name(i));
                    self.update_owner();
                }
            }
            Event::Agreed(owner, term) if owner == epoch => self.owner.record_agreed(term, now),
            Event::Recorded(state) => self.owner.update_recorded(&state, now),
            _ => {}
        }
    }

    fn record_acknowledged(&mut self, ids: Vec<u64>) {
        for id in ids {
            self.gaps.extend(self.owner.record_acknowledged(self.now));
            self.acknowledged.push(id);
        }
    }

    fn act(&mut self, step: FailoverStep) {
        let epoch = self.epoch;
        let to = |name: &Name, work| Event::Server(epoch, index(name), work);
        let event = match step {
            FailoverStep::Poll(name) => to(&name, Work::Poll),
            FailoverStep::Fence(name, term) => to(&name, Work::Fence(term)),
            FailoverStep::Promote(name, term) => to(&name, Work::Promote(term)),
            FailoverStep::Follow { server, primary, term } => {
                to(&server, Work::Follow(index(&primary), term))
            }
            FailoverStep::Term(term) => Event::Propose(epoch, GroupState { term, primary: None }),
            FailoverStep::Primary(name, term) => {
                Event::Propose(epoch, GroupState { term, primary: Some(name) })
            }
            FailoverStep::Filled(name, term) => Event::Filled(epoch, index(&name), term),
            FailoverStep::Resign => return self.replace_owner(),
        };
        self.send(event);
    }

    /// Replicates missing records in small batches, so that replicas fall behind.
    fn replicate(&mut self) {
        for i in 0..self.servers.len() {
            let Some(p) = self.servers[i].follows.filter(|p| self.linked(i, *p)) else { continue };
            let [server, source] = self.servers.get_disjoint_mut([i, p]).expect("two servers");
            let leads = source.up && source.role == Role::Primary && source.term == server.term;
            if !server.up || !leads {
                continue;
            }
            server.last_contact = self.now;
            // Ids are unique, so logs with the same record at a position are equal up to it.
            while server.log.last().is_some_and(|x| source.log.get(server.log.len() - 1) != Some(x))
            {
                server.log.pop();
            }
            let from = server.log.len();
            server.log.extend(source.log.iter().skip(from).take(self.rng.random_range(0..3)));
        }
    }

    fn inject_fault(&mut self) {
        let size = self.servers.len();
        let members: Vec<_> = self.members.iter().copied().collect();
        let i = members[self.rng.random_range(0..members.len())];
        match self.rng.random_range(0..7) {
            6 if !self.servers[i].up => _ = self.replace_server(i),
            0 => self.servers[i].up = false,
            1 | 2 => {
                let server = &mut self.servers[i];
                if !server.up && self.rng.random_bool(0.5) {
                    server.role = Role::Replica;
                }
                server.up = true;
            }
            3 => {
                let until = self.now + self.rng.random_range(50..2500);
                (0..size).for_each(|j| _ = self.cuts.insert((i.min(j), i.max(j)), until));
                self.cuts.insert((i, usize::MAX), until);
            }
            4 => {
                let j = if self.rng.random_bool(0.4) {
                    usize::MAX
                } else {
                    self.rng.random_range(0..size)
                };
                let until = self.now + self.rng.random_range(50..2500);
                self.cuts.insert((i.min(j), i.max(j)), until);
            }
            _ if self.rng.random_bool(0.3) => self.replace_owner(),
            _ => {}
        }
    }

    fn run(&mut self, span: Millis, faults: bool) {
        self.faulty = faults;
        for _ in 0..span {
            self.now += 1;
            while let Some(entry) = self.queue.first_entry().filter(|e| e.key().0 <= self.now) {
                let event = entry.remove();
                self.handle(event);
            }
            if faults && self.now.is_multiple_of(150) {
                self.inject_fault();
            }
            self.acks.reset(self.owner.term());
            if let Some(primary) = self.owner.primary().filter(|_| self.now.is_multiple_of(5)) {
                let i = index(primary);
                self.send(Event::Server(self.epoch, i, Work::Write(self.now)));
            }
            self.replicate();
            let busy = self.acks.has_waiting();
            self.owner.set_poll_eagerly(busy);
            for step in self.owner.tick(self.now) {
                self.act(step);
            }
        }
    }

    /// Ends all faults and checks that the group serves and has every acknowledged write.
    fn recover(&mut self) {
        self.cuts.clear();
        self.members.iter().for_each(|i| self.servers[*i].up = true);
        let before = self.acknowledged.len();
        self.run(8000, false);
        assert!(self.acknowledged.len() > before + 100, "no service: {:?}", self.owner);
        let i = index(self.owner.primary().expect("a primary serves"));
        let log: BTreeSet<_> = self.servers[i].log.iter().map(|(_, id)| *id).collect();
        for id in &self.acknowledged {
            assert!(log.contains(id), "write {id} is lost");
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64, rng_seed: RngSeed::Fixed(16), failure_persistence: None, max_shrink_iters: 0,
        ..ProptestConfig::default()
    })]

    /// Guards against a lost acknowledged write, two primaries in one term and a group that never
    /// recovers (P2), under crashes, partitions, replication lag, late messages and changes of
    /// owner.
    #[test]
    fn acknowledged_writes_survive(seed: u64, size in prop::sample::select(vec![1usize, 3, 5])) {
        let mut world = World::new(seed, size);
        world.run(2000, false);
        prop_assert!(world.acknowledged.len() > 50, "no service at the start");
        world.run(12_000, true);
        world.recover();
    }
}

/// Guards against a failover that takes longer than the sum of its timeouts in simulated time, and
/// against service gaps that are not reported.
#[test]
fn crashed_or_isolated_primary_is_replaced_in_time() {
    for isolated in [false, true] {
        let mut world = World::new(1, 3);
        world.run(2000, false);
        world.gaps.clear();
        let i = index(world.owner.primary().expect("a primary serves"));
        world.servers[i].up = isolated;
        for j in [0, 1, 2, usize::MAX] {
            world.cuts.insert((i.min(j), i.max(j)), if isolated { 9000 } else { 0 });
        }
        world.run(2000, false);
        let [gap] = world.gaps[..] else { panic!("{:?}", world.gaps) };
        let sum = gap.detection + gap.agreement + gap.promotion + gap.first;
        let timeout = if isolated { 500 } else { 300 };
        assert!(gap.detection >= timeout && sum <= timeout + 100, "{gap:?}");
        world.recover();
    }
}

/// Guards against a promotion by a lagging replica and a new, empty server, which loses a write
/// that was acknowledged by the primary and by the server that the new one replaced.
#[test]
fn new_server_counts_for_promotions_only_once_it_has_caught_up() {
    let pair = |a: usize, b: usize| (a.min(b), a.max(b));
    let mut world = World::new(1, 3);
    world.run(2000, false);
    let primary = index(world.owner.primary().expect("a primary serves"));
    let [lagging, replaced] = world.others(primary)[..] else { panic!("three servers") };
    world.cuts.insert(pair(primary, lagging), Millis::MAX);
    world.run(500, false);
    let new = world.replace_server(replaced).expect("the replaced server is not the primary");
    world.cuts.insert(pair(primary, new), Millis::MAX);
    world.servers[primary].up = false;
    world.run(5000, false);
    assert!(world.owner.primary().is_none_or(|p| index(p) == primary), "{:?}", world.owner);
    world.recover();
    assert!(world.filling.is_empty(), "the new server never caught up: {:?}", world.owner);
    let next = index(world.owner.primary().expect("a primary serves"));
    world.servers[next].up = false;
    let before = world.acknowledged.len();
    world.run(3000, false);
    assert!(world.acknowledged.len() > before + 100, "a server that has caught up does not count");
    world.recover();
}

/// Guards against an acknowledgement for which both a replaced server and its replacement count.
#[test]
fn replaced_server_no_longer_acknowledges() {
    let mut acks = AckTracker::new(5, 1);
    assert_eq!(acks.wait(at(1, 5), 1), WriteState::Pending);
    for i in 0..2 {
        assert!(acks.record_status(&name(i), 1, at(1, 5)).is_empty());
    }
    acks.retain_servers(&[0, 2, 3, 4, 5].map(name));
    assert!(acks.record_status(&name(5), 1, at(1, 5)).is_empty(), "only two of the group have it");
    assert_eq!(acks.record_status(&name(2), 1, at(1, 5)), [1]);
}
