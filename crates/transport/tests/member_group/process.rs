//! Process of a control member, driven as the control thread of the gateway drives it.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use auburnlug_coordination::{
    bootstrap::instance_of,
    raft::{Members, Timing},
};
use auburnlug_protocol::peer::ControlMessage;
use auburnlug_state::{Command, Index, Machine, Millis, Name, Term};
use auburnlug_transport::{
    control_member::{GroupOptions, Member, Work},
    disk_memory::MemoryDisk,
};

/// Inputs handled before one sync, as in the gateway.
const MAX_INPUT_BATCH: usize = 129;

/// Interval of the search for the group, as in the gateway.
pub const SEARCH_INTERVAL_MS: Millis = 200;

/// Interval of the periodic work, as in the gateway.
pub const TICK_INTERVAL_MS: Millis = 25;

/// A message on its way or in the queue of its receiver.
#[derive(Debug, Clone)]
pub struct Envelope {
    pub from: Name,
    /// Process that sent the message.
    pub from_run: u64,
    pub to: Name,
    /// Process that the message is sent to.
    pub to_run: u64,
    pub message: ControlMessage,
}

/// A link that a process opened to another instance.
#[derive(Debug)]
pub struct Link {
    /// Process at the other end; `None` while dialing.
    pub run: Option<u64>,
    /// Time at which the next attempt to dial ends.
    pub ready: Millis,
    /// Arrival of the last message, as a link keeps the order of messages.
    pub arrival: Millis,
}

/// What opens a process.
pub struct Start {
    pub instance: Name,
    pub seeds: BTreeSet<Name>,
    pub may_bootstrap: bool,
    pub losses: usize,
    pub timing: Timing,
    pub random: u64,
    pub run: u64,
    /// Speed of the clock in thousandths.
    pub rate: u64,
    pub now: Millis,
}

pub struct Process {
    pub member: Member,
    pub machine: Machine,
    pub run: u64,
    pub links: BTreeMap<Name, Link>,
    pub inbox: VecDeque<Envelope>,
    /// Work whose sync is not finished, with the time at which it ends.
    pub syncing: Option<(Millis, Work)>,
    pub next_tick: Millis,
    /// Time for which the clock stood still.
    pub clock_stop: Millis,
    instance: Name,
    seeds: BTreeSet<Name>,
    may_bootstrap: bool,
    known: BTreeSet<Name>,
    searched: Millis,
    start: Millis,
    rate: u64,
    proposals: BTreeMap<Index, Term>,
}

impl Process {
    pub fn open(start: Start, disk: MemoryDisk) -> Process {
        let Start { instance, seeds, may_bootstrap, losses, timing, random, run, rate, now } =
            start;
        let mut configured = seeds.clone();
        configured.retain(|name| *name != instance || may_bootstrap);
        let options = GroupOptions { configured, may_bootstrap, disk_losses: losses };
        let (member, machine) =
            Member::open(instance.clone(), options, Box::new(disk), timing, random, 1)
                .expect("the disk works");
        Process {
            member,
            machine,
            run,
            links: BTreeMap::new(),
            inbox: VecDeque::new(),
            syncing: None,
            next_tick: now,
            clock_stop: 0,
            instance,
            seeds,
            may_bootstrap,
            known: BTreeSet::new(),
            searched: 0,
            start: now,
            rate,
            proposals: BTreeMap::new(),
        }
    }

    /// Clock of the process; like that of the operating system, it starts at 1.
    pub fn clock(&self, now: Millis) -> Millis {
        1 + (now - self.start - self.clock_stop) * self.rate / 1_000
    }

    pub fn leads(&self, now: Millis) -> bool {
        self.member.leads(self.clock(now))
    }

    /// Membership as the process knows it.
    pub fn members(&mut self) -> Option<Members> {
        let probe = ControlMessage::Probe { identity: self.instance.clone() };
        match self.member.receive(&self.instance, probe, 0) {
            Ok(Some(ControlMessage::Probed { members, .. })) => members,
            _ => None,
        }
    }

    /// Handles a batch of queued messages; returns the answers, each with the message it answers.
    pub fn handle_inputs(&mut self, now: Millis) -> Vec<(Envelope, ControlMessage)> {
        let clock = self.clock(now);
        let count = self.inbox.len().min(MAX_INPUT_BATCH);
        let mut answers = Vec::new();
        for input in self.inbox.drain(..count) {
            if let ControlMessage::Probed { members: Some(members), .. } = &input.message {
                self.known.extend(members.all().filter_map(instance_of));
            }
            let message = input.message.clone();
            let answer = self.member.receive(&input.from, message, clock).expect("the disk works");
            answers.extend(answer.map(|answer| (input, answer)));
        }
        answers
    }

    /// Starts links that are missing and returns the messages of the search for the group.
    pub fn do_periodic_work(&mut self, now: Millis, dial: Millis) -> Vec<(Name, ControlMessage)> {
        let clock = self.clock(now);
        self.next_tick = now + TICK_INTERVAL_MS;
        let mut candidates = self.member.candidates(&self.seeds, &self.known);
        for name in candidates.iter().filter(|name| **name != self.instance) {
            let link = Link { run: None, ready: now + dial, arrival: 0 };
            self.links.entry(name.clone()).or_insert(link);
        }
        if clock < self.searched + SEARCH_INTERVAL_MS {
            return Vec::new();
        }
        self.searched = clock;
        if self.may_bootstrap {
            candidates.insert(self.instance.clone());
        }
        self.member.set_configured(candidates);
        self.member.discovery_messages()
    }

    /// Proposes a command, if the process leads.
    pub fn propose(&mut self, command: Command, now: Millis) {
        let clock = self.clock(now);
        if self.member.leads(clock)
            && let Some((term, index)) = self.member.propose(command, clock)
        {
            self.proposals.insert(index, term);
        }
    }

    /// Whether the entry at `index` was proposed by this process, so that its commit answers a
    /// client.
    pub fn takes_proposal(&mut self, index: Index, term: Term) -> bool {
        self.proposals.remove(&index) == Some(term)
    }
}
