//! A control member: agreement on configuration, servers and primaries.
//!
//! Every member takes part in the agreement. The one that leads answers operators and servers,
//! grants leases to entries, sends them what changes, and has primaries replaced.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::TcpListener,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use auburnlug_coordination::{
    formation::instance_of,
    raft::{Entry, Payload, Timing},
};
use auburnlug_protocol::{auth::Purpose, fleet::FleetMessage, peer::Control as Agreement};
use auburnlug_state::{
    Command, Index, Machine, Millis, Name,
    fleet::{Fleet, FleetChange},
};
use auburnlug_transport::{
    clock::Clock,
    control_member::{Founding, Member},
    disk::Disk,
    event::{Event, log},
    link::Dial,
    socket::{Dialer, Identity},
};
use rand::Rng;
use tokio::{
    sync::{mpsc, oneshot},
    time::{MissedTickBehavior, interval, sleep},
};

use crate::{
    control_handle::{Ask, Heartbeat, Outcome},
    control_lead::Leader,
    control_links,
    control_log::{changes_entries, log_applied},
    control_plans::Plans,
    control_succession::Probed,
    local::Me,
    metrics::GatewayMetrics,
    wire::{Ordered, Ports, Promoter, ServerWire, address_of},
};

/// Intervals of the agreement, in milliseconds. Without a leader nothing is served that needs a
/// primary once the leases have ended, so an election is short: the time-out holds three
/// heartbeats and the way to another region.
const TIMING: Timing =
    Timing { heartbeat: 80, lease: 250, quiet: 280, shortest: 280, longest: 500 };

/// Interval of the periodic work, in milliseconds: a third of the agreement's heartbeat.
const TICK: Duration = Duration::from_millis(25);

/// Pause before a member is dialed again, in milliseconds.
const REDIAL: Duration = Duration::from_millis(200);

/// Interval at which a member without a place in the group asks for one, in milliseconds.
const SEARCH: Millis = 200;

/// A proposal whose effect is not known after this long is answered as unknown, in milliseconds:
/// callers wait for a second.
const PROPOSAL: Millis = 1_500;

/// Inputs that may wait.
const QUEUE: usize = 1024;

/// Inputs handled before the durable work of all of them is done with one sync.
const BATCH: usize = 128;

/// Needs of a control member.
pub struct ControlOptions {
    /// This instance.
    pub me: Me,
    /// Ports of all instances.
    pub ports: Ports,
    /// Listener for links.
    pub links: TcpListener,
    /// Members that are known at the start.
    pub seeds: BTreeSet<Name>,
    /// Whether the deployment starts for the first time, so that the group may be founded.
    pub founds: bool,
    /// Disks of control members that may be lost at once.
    pub losses: usize,
    /// Durable state.
    pub disk: Box<dyn Disk>,
    /// Credentials of links.
    pub identity: Arc<Identity>,
    /// Clock.
    pub clock: Arc<dyn Clock>,
    /// Wire protocol of servers.
    pub server_wire: Arc<dyn ServerWire>,
    /// Authority that promotes servers.
    pub promoter: Arc<dyn Promoter>,
    /// Metrics.
    pub metrics: Arc<GatewayMetrics>,
}

/// An input of the control thread.
pub(crate) enum Input {
    /// A request from outside.
    Ask(Ask),
    /// A link to a member was opened from here.
    Dialed(Name, mpsc::Sender<FleetMessage>),
    /// A link to a member ended or could not be opened.
    Undialed(Name),
    /// Another instance opened a link.
    Accepted(u64, Name, mpsc::Sender<FleetMessage>),
    /// A link from another instance ended.
    Closed(u64),
    /// A message; the number is that of an accepted link.
    Message(Option<u64>, Name, FleetMessage),
    /// A server answered a probe.
    Probed(Probed),
    /// The promoting authority answered.
    Ordered { group: Arc<str>, server: Arc<str>, outcome: Ordered },
}

/// Who waits for a proposal.
pub(crate) struct Waiting {
    term: u64,
    since: Millis,
    reply: Option<oneshot::Sender<Outcome<()>>>,
}

/// State of the control thread.
pub(crate) struct Control {
    pub(crate) me: Me,
    pub(crate) ports: Ports,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) metrics: Arc<GatewayMetrics>,
    pub(crate) wire: Arc<dyn ServerWire>,
    pub(crate) promoter: Arc<dyn Promoter>,
    pub(crate) machine: Machine,
    pub(crate) member: Member,
    pub(crate) leader: Option<Leader>,
    pub(crate) plans: Plans,
    /// End of the leader lease; 0 without one.
    pub(crate) lease: Arc<AtomicU64>,
    pub(crate) input: mpsc::Sender<Input>,
    /// Links that other instances opened, by number.
    pub(crate) accepted: BTreeMap<u64, (Name, mpsc::Sender<FleetMessage>)>,
    seeds: BTreeSet<Name>,
    /// Members that others have named.
    known: BTreeSet<Name>,
    /// Links to members; `None` while one is dialed.
    dialed: BTreeMap<Name, Option<mpsc::Sender<FleetMessage>>>,
    dial: Arc<dyn Dial<FleetMessage>>,
    waiting: BTreeMap<Index, Waiting>,
    searched: Millis,
    stopping: bool,
    founds: bool,
    /// Last entry that was in the log at the start; applying those again is not logged.
    replayed: Index,
}

/// Runs a control member until it is told to stop.
///
/// # Errors
///
/// The listener or the data folder cannot be used.
pub async fn run(
    options: ControlOptions,
    mut asks: mpsc::Receiver<Ask>,
) -> auburnlug_transport::Result<()> {
    let (input, mut inputs) = mpsc::channel(QUEUE);
    control_links::accept(options.links, options.identity.clone(), input.clone())?;
    let now = options.clock.now();
    let mut configured = options.seeds.clone();
    configured.retain(|name| *name != options.me.name || options.founds);
    let seed = rand::rng().random();
    let (founds, losses) = (options.founds, options.losses);
    let founding = Founding { configured, founds, losses };
    let name = options.me.name.clone();
    let (member, machine) = Member::open(name, founding, options.disk, TIMING, seed, now)?;
    let replayed = member.last();
    let mut control = Control {
        me: options.me,
        ports: options.ports,
        clock: options.clock,
        metrics: options.metrics,
        wire: options.server_wire,
        promoter: options.promoter,
        plans: Plans::new(&machine.fleet.plan),
        machine,
        member,
        leader: None,
        lease: Arc::default(),
        input,
        accepted: BTreeMap::new(),
        seeds: options.seeds,
        known: BTreeSet::new(),
        dialed: BTreeMap::new(),
        dial: Arc::new(Dialer::new(options.identity, Purpose::Control)),
        waiting: BTreeMap::new(),
        searched: 0,
        stopping: false,
        founds,
        replayed,
    };
    let mut tick = interval(TICK);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    while !control.stopping {
        tokio::select! {
            input = inputs.recv() => {
                let Some(input) = input else { break };
                control.handle(input)?;
                for _ in 0..BATCH {
                    let Ok(input) = inputs.try_recv() else { break };
                    control.handle(input)?;
                }
            }
            ask = asks.recv() => {
                let Some(ask) = ask else { break };
                control.handle(Input::Ask(ask))?;
            }
            _ = tick.tick() => control.periodic(),
        }
        control.progress()?;
    }
    Ok(())
}

impl Control {
    pub(crate) fn now(&self) -> Millis {
        self.clock.now()
    }

    pub(crate) fn fleet(&self) -> &Fleet {
        &self.machine.fleet
    }

    fn handle(&mut self, input: Input) -> auburnlug_transport::Result<()> {
        match input {
            Input::Ask(ask) => self.ask(ask),
            Input::Dialed(name, out) => {
                log(Event::MemberLinkOpen, format_args!("member={}", name.as_str()));
                self.dialed.insert(name, Some(out));
            }
            Input::Undialed(name) => {
                if let Some(Some(_)) = self.dialed.remove(name.as_str()) {
                    log(Event::MemberLinkLost, format_args!("member={}", name.as_str()));
                }
            }
            Input::Accepted(number, name, out) => {
                if self.leader.is_some() {
                    let _ = out.try_send(FleetMessage::Leading);
                }
                self.accepted.insert(number, (name, out));
            }
            Input::Closed(number) => {
                self.accepted.remove(&number);
                self.entry_unlinked(number);
            }
            Input::Message(link, from, message) => self.receive(link, from, message)?,
            Input::Probed(probed) => self.probed(probed),
            Input::Ordered { group, server, outcome } => self.ordered(&group, &server, outcome),
        }
        Ok(())
    }

    fn receive(
        &mut self,
        link: Option<u64>,
        from: Name,
        message: FleetMessage,
    ) -> auburnlug_transport::Result<()> {
        let now = self.now();
        match message {
            FleetMessage::Member(message) => {
                if let Agreement::Probed { members: Some(members), .. } = &message {
                    self.known.extend(members.all().filter_map(instance_of));
                }
                if let Some(answer) = self.member.receive(&from, message, now)? {
                    self.answer_member(link, &from, answer);
                }
            }
            FleetMessage::Renew(renewal) => {
                let Some(link) = link else { return Ok(()) };
                if self.leader.is_some() && self.member.leads(now) {
                    self.renewed(link, &from, *renewal);
                } else {
                    let members = self.member.instances().into_iter().collect();
                    self.send(link, FleetMessage::NotLeader(members));
                }
            }
            FleetMessage::Grant(_)
            | FleetMessage::NotLeader(_)
            | FleetMessage::Leading
            | FleetMessage::Update(_) => {}
        }
        Ok(())
    }

    /// Sends on a link that another instance opened.
    pub(crate) fn send(&mut self, link: u64, message: FleetMessage) {
        let full = self.accepted.get(&link).is_some_and(|(_, out)| out.try_send(message).is_err());
        if full {
            self.accepted.remove(&link);
            self.entry_unlinked(link);
        }
    }

    fn answer_member(&mut self, link: Option<u64>, to: &Name, answer: Agreement) {
        match link {
            Some(link) => self.send(link, FleetMessage::Member(answer)),
            None => self.send_member(to, answer),
        }
    }

    fn send_member(&mut self, to: &Name, message: Agreement) {
        if let Some(Some(out)) = self.dialed.get(to.as_str()) {
            // The agreement sends again what a full link loses.
            let _ = out.try_send(FleetMessage::Member(message));
        }
    }

    fn ask(&mut self, ask: Ask) {
        match ask {
            Ask::Deploy { plan, document, reply } => {
                let Some(reply) = self.leading(reply) else { return };
                if plan.version <= self.fleet().plan.version {
                    let _ = reply.send(Outcome::Done(()));
                    return;
                }
                let change = FleetChange::Deploy { plan, document };
                self.propose(change, Some(reply));
            }
            Ask::Read { reply } => {
                let Some(reply) = self.leading(reply) else { return };
                let _ = reply.send(Outcome::Done(self.fleet().document.clone()));
            }
            Ask::Beat { beat, reply } => {
                let Some(reply) = self.leading(reply) else { return };
                self.beat(*beat, reply);
            }
            Ask::Gone { id, run, reply } => {
                let Some(reply) = self.leading(reply) else { return };
                let known = self.fleet().backends.get(&id).map(|backend| backend.run);
                match known {
                    Some(known) if run.is_none_or(|run| run >= known) => {
                        log(Event::BackendForgotten, format_args!("server={id}"));
                        self.propose(FleetChange::Forget { id, run: known }, Some(reply));
                    }
                    _ => drop(reply.send(Outcome::Done(()))),
                }
            }
            Ask::Seeds(names) => self.seeds = names,
            Ask::Stop => self.stopping = true,
        }
    }

    /// Passes the reply on if this member may answer for the group.
    fn leading<T>(
        &self,
        reply: oneshot::Sender<Outcome<T>>,
    ) -> Option<oneshot::Sender<Outcome<T>>> {
        if self.leader.is_some() && self.member.leads(self.now()) {
            return Some(reply);
        }
        let leader = self.member.leader().filter(|leader| *leader != self.me.name);
        let _ = reply.send(leader.map_or(Outcome::Unavailable, Outcome::Elsewhere));
        None
    }

    /// Records a server if it has changed; the heartbeat is answered once that is agreed.
    fn beat(&mut self, beat: Heartbeat, reply: oneshot::Sender<Outcome<()>>) {
        let backend = &beat.backend;
        let known = self.machine.fleet.backends.get(&backend.id);
        let same = known == Some(backend);
        let late = known.is_some_and(|known| known.run > backend.run);
        let now = self.now();
        let fresh = self.leader.as_mut().is_some_and(|leader| leader.heard(&beat, now));
        if late || !fresh || same {
            let _ = reply.send(Outcome::Done(()));
        } else {
            log(
                Event::BackendChanged,
                format_args!(
                    "server={} group={} address={} domain={} draining={} run={} seq={} leads={}",
                    backend.id,
                    backend.group,
                    backend.address,
                    backend.domain,
                    backend.draining,
                    backend.run.0,
                    beat.sequence,
                    beat.leads
                ),
            );
            self.propose(FleetChange::Record(backend.clone()), Some(reply));
        }
        if fresh && beat.leads {
            self.claimed(&beat.backend);
        }
    }

    /// Proposes a change; the reply is sent once it is applied here.
    pub(crate) fn propose(
        &mut self,
        change: FleetChange,
        reply: Option<oneshot::Sender<Outcome<()>>>,
    ) {
        let now = self.now();
        match self.member.propose(Command::Fleet(change), now) {
            Some((term, index)) => {
                self.waiting.insert(index, Waiting { term, since: now, reply });
            }
            None => {
                if let Some(reply) = reply {
                    let _ = reply.send(Outcome::Unavailable);
                }
            }
        }
    }

    fn periodic(&mut self) {
        let now = self.now();
        self.dial_members();
        if now >= self.searched + SEARCH {
            self.searched = now;
            let mut others = self.others();
            if self.founds {
                others.insert(self.me.name.clone());
            }
            self.member.configure(others);
            for (to, message) in self.member.search() {
                self.send_member(&to, message);
            }
        }
        let old: Vec<_> = self
            .waiting
            .iter()
            .filter(|(_, waiting)| now >= waiting.since + PROPOSAL)
            .map(|(index, _)| *index)
            .collect();
        for index in old {
            if let Some(Waiting { reply: Some(reply), .. }) = self.waiting.remove(&index) {
                let _ = reply.send(Outcome::Unavailable);
            }
        }
        self.lead_periodic(now);
    }

    /// Members, as far as they are known: of the group, from the settings, or named by others.
    fn others(&self) -> BTreeSet<Name> {
        let members = self.member.instances();
        // A member of the group knows the others; the rest may be gone.
        if self.member.agrees() {
            return &members | &self.seeds;
        }
        &(&members | &self.seeds) | &self.known
    }

    fn dial_members(&mut self) {
        let mut names = self.others();
        names.remove(self.me.name.as_str());
        for name in names {
            if self.dialed.contains_key(name.as_str()) {
                continue;
            }
            let Some(address) = address_of(name.as_str(), self.ports.control) else { continue };
            self.dialed.insert(name.clone(), None);
            let (dialing, input) = (self.dial.dial(name.clone(), address), self.input.clone());
            tokio::spawn(async move {
                match dialing.await {
                    Some(link) => control_links::pump_dialed(name, link, input).await,
                    None => {
                        sleep(REDIAL).await;
                        let _ = input.send(Input::Undialed(name)).await;
                    }
                }
            });
        }
    }

    /// Does the durable work and what follows from it.
    fn progress(&mut self) -> auburnlug_transport::Result<()> {
        let now = self.now();
        let work = self.member.step(now)?;
        for (to, message) in work.messages {
            self.send_member(&to, message);
        }
        let entries = work.committed.iter().any(changes_entries);
        let before = self.fleet().plan.version;
        if let Some(machine) = work.machine
            && machine.index >= self.machine.index
        {
            self.machine = machine;
            self.plans.keep(&self.machine.fleet.plan);
        }
        let committed = !work.committed.is_empty();
        for entry in work.committed {
            self.apply(entry);
        }
        if committed {
            self.member.compact(&self.machine)?;
            self.metrics.version.set(self.fleet().plan.version);
        }
        self.check_leadership();
        if committed {
            self.fleet_changed(before);
        }
        if entries {
            self.entries_recorded();
        }
        Ok(())
    }

    fn apply(&mut self, entry: Entry) {
        let fresh = entry.index > self.replayed;
        if let Payload::Members(members) = &entry.payload
            && fresh
        {
            log(
                Event::MembersChanged,
                format_args!("voters={:?} learners={:?}", members.voters, members.learners),
            );
        }
        let applied = match &entry.payload {
            Payload::Command(command) => Some(self.machine.apply(entry.index, command)),
            _ => {
                self.machine.index = self.machine.index.max(entry.index);
                None
            }
        };
        self.plans.keep(&self.machine.fleet.plan);
        if let Payload::Command(Command::Fleet(change)) = &entry.payload
            && fresh
        {
            log_applied(change, applied.as_ref());
        }
        if let Some(Waiting { term, reply: Some(reply), .. }) = self.waiting.remove(&entry.index) {
            // Another leader's entry at this index says nothing about the proposal.
            let outcome = if term == entry.term { Outcome::Done(()) } else { Outcome::Unavailable };
            let _ = reply.send(outcome);
        }
    }

    fn check_leadership(&mut self) {
        let leads = self.member.leads(self.now());
        self.lease.store(self.member.lease().unwrap_or(0), Ordering::Release);
        if leads && self.leader.is_none() {
            self.take_over();
        } else if self
            .leader
            .as_ref()
            .is_some_and(|leader| !self.member.leading() || leader.term != self.member.term())
        {
            log(Event::LeaderLost, format_args!("term={}", self.member.term()));
            self.leader = None;
            for (_, waiting) in std::mem::take(&mut self.waiting) {
                if let Some(reply) = waiting.reply {
                    let _ = reply.send(Outcome::Unavailable);
                }
            }
        }
    }
}
