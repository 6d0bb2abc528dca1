//! Simulated control group: the real control members with simulated clocks, links and disks.
//!
//! A link keeps the order of its messages. The queue of a process that is suspended or waits for
//! its disk is bounded; when it is full, new messages are dropped. A link whose other end does not
//! answer for [`LINK_TIMEOUT_MS`] is closed.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use auburnlug_coordination::{
    bootstrap::instance_of,
    raft::{Entry, Members, Message, Ready, Timing},
};
use auburnlug_protocol::peer::ControlMessage;
use auburnlug_state::{
    Command, Index, Millis, Name,
    byte_size::ByteSize,
    fleet::{FleetChange, FleetConfig},
};
use auburnlug_transport::{control_member::Work, disk::Disk, disk_memory::MemoryDisk};
use rand::{Rng, SeedableRng, rngs::StdRng};

use process::{Envelope, Process, Start};

pub mod checks;
mod disks;
mod network;
pub mod process;
pub mod schedule;

/// Time after which a link to a silent peer is closed.
const LINK_TIMEOUT_MS: Millis = 4_000;

const PROPOSAL_INTERVAL_MS: Millis = 100;

/// Timing of the gateway.
pub const GATEWAY_TIMING: Timing =
    Timing { heartbeat: 80, lease: 250, vote_refusal: 280, election_min: 280, election_max: 500 };

pub fn name(text: &str) -> Name {
    Name::try_from(text).expect("valid name")
}

/// An instance: its disk and, unless it is down, its process.
pub struct Instance {
    /// Identity of the member on the disk.
    pub identity: Name,
    pub process: Option<Process>,
    /// Time since which the process is suspended, and whether its clock stands still.
    pub suspended: Option<(Millis, bool)>,
    /// Time since which the links to all others are cut.
    pub isolated: Option<Millis>,
    /// Side of a partition.
    pub side: bool,
    /// Longest duration of a sync.
    pub sync: Millis,
    /// Time since which the instance cannot serve; `None` while it can.
    pub lost_since: Option<Millis>,
    disk: MemoryDisk,
    seeds: BTreeSet<Name>,
    rate: u64,
}

/// Network and timing of a group.
#[derive(Debug, Clone)]
pub struct Settings {
    pub losses: usize,
    pub timing: Timing,
    /// Longest delay of a message.
    pub delay: Millis,
    /// Messages that wait for a process that reads none.
    pub queue: usize,
    /// Whether messages sent during a cut arrive after it.
    pub holds: bool,
    /// Bytes of the document of each proposed configuration; without one, proposals are small.
    pub document: Option<usize>,
    /// Bytes of messages that a process encodes in a millisecond, in which it does nothing else.
    pub encoding: Option<usize>,
}

impl Settings {
    pub fn new(losses: usize) -> Settings {
        Settings {
            losses,
            timing: GATEWAY_TIMING,
            delay: 5,
            queue: 1_024,
            holds: true,
            document: None,
            encoding: None,
        }
    }
}

pub struct Group {
    pub now: Millis,
    pub instances: BTreeMap<Name, Instance>,
    pub settings: Settings,
    /// Faults and membership changes, for the report of a failure.
    pub trace: Vec<String>,
    /// First violation of an invariant.
    pub violation: Option<String>,
    /// Last entry whose proposal was answered.
    pub acknowledged: Index,
    /// Delay of messages between two instances in place of the usual one.
    pub slow_links: BTreeMap<(Name, Name), Millis>,
    /// Pairs of instances whose links are cut in both directions, each in order.
    cut_pairs: BTreeSet<(Name, Name)>,
    /// Directions that are cut, by sender and receiver, with the time since which.
    cut_ways: BTreeMap<(Name, Name), Millis>,
    /// Messages of the search for the group, for a later repetition; `None` records none.
    pub searches: Option<Vec<Envelope>>,
    /// Identities whose request to join a leader has handled, with the time of the first one.
    pub asked: BTreeMap<Name, Millis>,
    rng: StdRng,
    committed: BTreeMap<Index, Entry>,
    queue: BTreeMap<(Millis, u64), Envelope>,
    /// Messages that a cut holds up, with their sending times.
    held: Vec<(Millis, Envelope)>,
    /// Time of the last answer of an identity to a leader.
    answered: BTreeMap<(Name, Name), Millis>,
    /// Identities whose disks are gone, with the time at which they stopped.
    gone: BTreeMap<Name, Millis>,
    /// Disks that were replaced by empty ones, by identity.
    former_disks: BTreeMap<Name, MemoryDisk>,
    counter: u64,
    next_proposal: Millis,
    document: Option<Arc<str>>,
}

impl Group {
    /// Group that the instances `names` bootstrap.
    pub fn new(names: &[&str], settings: Settings, seed: u64) -> Group {
        spdlog::default_logger().set_level_filter(spdlog::LevelFilter::Off);
        let seeds: BTreeSet<Name> = names.iter().copied().map(name).collect();
        let mut group = Group::empty(settings, seed);
        for instance in &seeds {
            group.add(instance.clone(), &seeds);
            group.start(instance, true);
        }
        group
    }

    fn empty(settings: Settings, seed: u64) -> Group {
        let document = settings.document.map(|bytes| "d".repeat(bytes).into());
        Group {
            document,
            now: 0,
            instances: BTreeMap::new(),
            settings,
            trace: Vec::new(),
            violation: None,
            acknowledged: 0,
            slow_links: BTreeMap::new(),
            cut_pairs: BTreeSet::new(),
            cut_ways: BTreeMap::new(),
            searches: None,
            asked: BTreeMap::new(),
            rng: StdRng::seed_from_u64(seed),
            committed: BTreeMap::new(),
            queue: BTreeMap::new(),
            held: Vec::new(),
            answered: BTreeMap::new(),
            gone: BTreeMap::new(),
            former_disks: BTreeMap::new(),
            counter: 0,
            next_proposal: 0,
        }
    }

    /// Adds an instance with an empty disk that does not run yet.
    pub fn add(&mut self, instance: Name, seeds: &BTreeSet<Name>) {
        let (identity, disk) = self.new_disk(&instance);
        let added = Instance {
            identity,
            process: None,
            suspended: None,
            isolated: None,
            side: false,
            sync: 0,
            lost_since: Some(self.now),
            disk,
            seeds: seeds.clone(),
            rate: self.rng.random_range(990..=1_010),
        };
        self.instances.insert(instance, added);
    }

    pub fn instance(&mut self, instance: &Name) -> &mut Instance {
        self.instances.get_mut(instance.as_str()).expect("known instance")
    }

    pub fn note(&mut self, text: impl std::fmt::Display) {
        let now = self.now;
        self.trace.push(format!("{:>3}.{:03} {text}", now / 1_000, now % 1_000));
    }

    /// Starts the process of an instance; without effect if it runs.
    pub fn start(&mut self, instance: &Name, may_bootstrap: bool) {
        self.counter += 1;
        let (run, random, now) = (self.counter, self.rng.random(), self.now);
        let Settings { losses, timing, .. } = self.settings;
        let started = self.instance(instance);
        if started.process.is_some() {
            return;
        }
        let (seeds, rate) = (started.seeds.clone(), started.rate);
        let instance = instance.clone();
        let start =
            Start { instance, seeds, may_bootstrap, losses, timing, random, run, rate, now };
        started.disk.crash();
        started.process = Some(Process::open(start, started.disk.clone()));
        self.note_lost();
    }

    /// Ends the process of an instance; its disk stays.
    pub fn kill(&mut self, instance: &Name) {
        let killed = self.instance(instance);
        (killed.process, killed.suspended) = (None, None);
        self.note_lost();
    }

    /// Removes an instance for good; `successor` is added in its place, but not started.
    pub fn replace(&mut self, instance: &Name, successor: &Name) {
        let Some(former) = self.instances.remove(instance.as_str()) else { return };
        self.gone.insert(former.identity, self.now);
        self.add(successor.clone(), &former.seeds);
    }

    pub fn suspend(&mut self, instance: &Name, clock_stops: bool) {
        let now = self.now;
        self.instance(instance).suspended.get_or_insert((now, clock_stops));
        self.note_lost();
    }

    pub fn resume(&mut self, instance: &Name) {
        let now = self.now;
        let resumed = self.instance(instance);
        let Some((since, clock_stops)) = resumed.suspended.take() else { return };
        if let Some(process) = &mut resumed.process {
            process.next_tick = now;
            process.clock_stop += if clock_stops { now - since } else { 0 };
        }
        if now >= since + LINK_TIMEOUT_MS {
            self.close_links(instance);
        }
        self.note_lost();
    }

    /// Makes a disk fast again, and ends the sync that is in progress.
    pub fn end_slow_syncs(&mut self, instance: &Name) {
        let now = self.now;
        let state = self.instance(instance);
        state.sync = 0;
        if let Some((end, _)) = state.process.as_mut().and_then(|p| p.syncing.as_mut()) {
            *end = now;
        }
    }

    /// Updates the time since which each instance cannot serve.
    fn note_lost(&mut self) {
        for state in self.instances.values_mut() {
            let serves =
                state.process.is_some() && state.suspended.is_none() && state.isolated.is_none();
            state.lost_since = if serves { None } else { state.lost_since.or(Some(self.now)) };
        }
    }

    /// Runs the group for `span` milliseconds, or until an invariant is violated.
    pub fn run(&mut self, span: Millis) {
        let end = self.now + span;
        while self.now < end && self.violation.is_none() {
            self.now = self.next_event().clamp(self.now + 1, end);
            self.deliver();
            if self.now >= self.next_proposal {
                self.next_proposal = self.now + PROPOSAL_INTERVAL_MS;
                self.propose(1);
            }
            let names: Vec<Name> = self.instances.keys().cloned().collect();
            for instance in &names {
                self.run_process(instance);
            }
            self.check_leases();
        }
    }

    fn next_event(&self) -> Millis {
        let mut next = self.next_proposal;
        next = self.queue.keys().next().map_or(next, |(due, _)| next.min(*due));
        for state in self.instances.values().filter(|state| state.suspended.is_none()) {
            let Some(process) = &state.process else { continue };
            next = next.min(match &process.syncing {
                Some((end, _)) => *end,
                None if !process.inbox.is_empty() => self.now + 1,
                None => process.next_tick,
            });
        }
        next
    }

    /// Proposes commands at each process that leads.
    pub fn propose(&mut self, count: u64) {
        let now = self.now;
        for _ in 0..count {
            self.counter += 1;
            let command = match &self.document {
                Some(document) => deploy(self.counter, document),
                None => Command::Forget(name(&format!("c{}", self.counter))),
            };
            for state in self.instances.values_mut().filter(|state| state.suspended.is_none()) {
                if let Some(process) = &mut state.process
                    && process.syncing.is_none()
                {
                    process.propose(command.clone(), now);
                }
            }
        }
    }

    /// Runs what is due on a process: the end of a sync, messages, periodic work.
    fn run_process(&mut self, instance: &Name) {
        let now = self.now;
        let state = self.instance(instance);
        if state.suspended.is_some() {
            return;
        }
        let Some(process) = &mut state.process else { return };
        if let Some((_, work)) = process.syncing.take_if(|(end, _)| *end <= now) {
            self.finish_step(instance, work);
        }
        self.handle_inputs(instance);
        let dial = self.rng.random_range(1..=1 + 3 * self.settings.delay);
        let Some(process) = &mut self.instance(instance).process else { return };
        if process.syncing.is_none() && process.next_tick <= now {
            let messages = process.do_periodic_work(now, dial);
            self.open_links(instance);
            self.send(instance, messages);
            self.step(instance);
        }
    }

    fn handle_inputs(&mut self, instance: &Name) {
        let now = self.now;
        let Some(process) = &mut self.instance(instance).process else { return };
        if process.syncing.is_some() || process.inbox.is_empty() {
            return;
        }
        let senders: Vec<Name> = process.inbox.iter().filter_map(answering).collect();
        if process.leads(now) {
            let asking: Vec<Name> = process.inbox.iter().filter_map(joining).collect();
            asking.into_iter().for_each(|identity| {
                self.asked.entry(identity).or_insert(now);
            });
        }
        let Some(process) = &mut self.instance(instance).process else { return };
        let answers = process.handle_inputs(now);
        for sender in senders {
            self.answered.insert((instance.clone(), sender), now);
        }
        for (request, message) in answers {
            let Envelope { from: to, from_run: to_run, to: from, to_run: from_run, .. } = request;
            self.transmit(now, Envelope { from, from_run, to, to_run, message });
        }
        self.step(instance);
    }

    /// Does the work of a member that is due; a slow disk delays its messages and entries.
    fn step(&mut self, instance: &Name) {
        let now = self.now;
        let sync = self.instance(instance).sync;
        let sync = if sync > 0 { self.rng.random_range(0..=sync) } else { 0 };
        let encoding = self.settings.encoding;
        let Some(process) = &mut self.instance(instance).process else { return };
        let leads = process.member.leads_term();
        let before = if leads { process.members() } else { None };
        let clock = process.clock(now);
        let work = process.member.step(clock).expect("the disk works");
        let after = if leads { process.members() } else { None };
        let bytes: usize = work.messages.iter().map(|(_, message)| message.byte_size()).sum();
        let sync = sync + encoding.map_or(0, |rate| (bytes / rate) as Millis);
        if sync > 0 && !(work.messages.is_empty() && work.committed.is_empty()) {
            process.syncing = Some((now + sync, work));
        } else {
            self.finish_step(instance, work);
        }
        if let (Some(before), Some(after)) = (before, after)
            && before != after
        {
            self.check_change(instance, &before, &after);
        }
    }

    fn finish_step(&mut self, instance: &Name, work: Work) {
        self.check_bytes(&work.messages);
        self.send(instance, work.messages);
        let Some(process) = &mut self.instance(instance).process else { return };
        if let Some(machine) = work.machine
            && machine.index >= process.machine.index
        {
            process.machine = machine;
        }
        let applied = !work.committed.is_empty();
        for entry in work.committed {
            self.apply(instance, entry);
        }
        if applied && let Some(process) = &mut self.instance(instance).process {
            process.member.compact(&process.machine).expect("the disk works");
        }
    }
}

fn deploy(version: u64, document: &Arc<str>) -> Command {
    let plan = Arc::new(FleetConfig { version, ..FleetConfig::default() });
    Command::Fleet(FleetChange::Deploy { plan, document: document.clone() })
}

/// Identity of the member that answers a leader with a message.
fn answering(envelope: &Envelope) -> Option<Name> {
    match &envelope.message {
        ControlMessage::Raft { from, message: Message::AppendReply { .. }, .. } => {
            Some(from.clone())
        }
        _ => None,
    }
}

/// Identity that asks to join with a message.
fn joining(envelope: &Envelope) -> Option<Name> {
    match &envelope.message {
        ControlMessage::Join { identity } => Some(identity.clone()),
        _ => None,
    }
}
