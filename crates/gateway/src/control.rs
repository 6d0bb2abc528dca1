//! A control member: replicates configuration, servers and primaries by Raft.
//!
//! Every member takes part in consensus. The control leader answers operators and servers, grants
//! leases to entries, sends them updates, and replaces failed primaries.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::TcpListener,
    sync::Arc,
    time::Duration,
};

use auburnlug_coordination::{bootstrap::instance_of, raft::Timing};
use auburnlug_protocol::{auth::Purpose, fleet::FleetMessage, peer::ControlMessage as Agreement};
use auburnlug_state::{
    Command, Index, Machine, Millis, Name,
    byte_size::ByteSize,
    fleet::{Fleet, FleetChange},
    limits,
};
use auburnlug_transport::{
    byte_channel::{Receiver, Sender, channel},
    client_room::ClientRoom,
    clock::Clock,
    control_member::{GroupOptions, Member},
    disk::Disk,
    event::{Event, log},
    link::{Dial, dial_once_per},
    socket::{Dialer, Identity},
};
use rand::Rng;
use tokio::{
    sync::{mpsc, oneshot},
    time::{MissedTickBehavior, interval},
};

use crate::{
    control_configs::FleetConfigs,
    control_handle::{ControlReply, ControlRequest},
    control_input::Input,
    control_lead::Leader,
    control_links,
    local_state::InstanceIdentity,
    metrics::GatewayMetrics,
    order_thread::OrderThread,
    wire::{Ports, Promoter, ServerWire, socket_address},
};

/// Raft timing, in milliseconds. Without a control leader, requests that need a primary fail once
/// the leases of entries expire, so elections are short: the timeout covers three heartbeats and
/// the way to another region.
const RAFT_TIMING: Timing =
    Timing { heartbeat: 80, lease: 250, vote_refusal: 280, election_min: 280, election_max: 500 };

/// Interval of the periodic work: about a third of the Raft heartbeat interval.
const TICK_INTERVAL: Duration = Duration::from_millis(25);

/// Minimum time between two dials of a control member.
const CONTROL_REDIAL_INTERVAL: Duration = Duration::from_millis(200);

/// Interval at which a member that is not part of the control group asks to join.
const MEMBERSHIP_SEARCH_INTERVAL_MS: Millis = 200;

/// Time after which a proposal that is not committed is answered with
/// [`ControlReply::Unavailable`]. Callers wait for one second.
pub(crate) const PROPOSAL_TIMEOUT_MS: Millis = 1_500;

/// Inputs that wait for the control thread; large ones are bounded by [`limits::INPUT_QUEUE_BYTES`].
const MAX_QUEUED_INPUTS: usize = 1024;

/// Inputs handled before one sync makes the changes of all of them durable.
const MAX_INPUT_BATCH: usize = 128;

/// Options of a control member.
pub struct ControlOptions {
    /// This instance.
    pub me: InstanceIdentity,
    /// Ports of all instances.
    pub ports: Ports,
    /// Listener for links.
    pub links: TcpListener,
    /// Places of links before their handshake.
    pub opening_room: ClientRoom,
    /// Control members from the settings.
    pub seeds: BTreeSet<Name>,
    /// Whether the deployment starts for the first time, so that this member may bootstrap the
    /// control group.
    pub may_bootstrap: bool,
    /// Number of control members whose disks may be lost at the same time.
    pub disk_losses: usize,
    /// Disk for the durable state.
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

/// A proposal that is not committed yet.
pub(crate) struct PendingProposal {
    pub(crate) term: u64,
    proposed_at: Millis,
    pub(crate) reply: Option<oneshot::Sender<ControlReply<()>>>,
}

/// State of the control thread.
pub(crate) struct Control {
    pub(crate) me: InstanceIdentity,
    pub(crate) ports: Ports,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) metrics: Arc<GatewayMetrics>,
    pub(crate) wire: Arc<dyn ServerWire>,
    pub(crate) promoter: Arc<dyn Promoter>,
    pub(crate) machine: Machine,
    pub(crate) member: Member,
    pub(crate) leader: Option<Leader>,
    pub(crate) configs: FleetConfigs,
    pub(crate) orders: OrderThread,
    pub(crate) input: Sender<Input>,
    /// Links that other instances opened, by number.
    pub(crate) accepted_links: BTreeMap<u64, (Name, Sender<FleetMessage>)>,
    seeds: BTreeSet<Name>,
    /// Members named by other members.
    known_members: BTreeSet<Name>,
    /// Links that this member opened; `None` while dialing.
    member_links: BTreeMap<Name, Option<Sender<FleetMessage>>>,
    dial: Arc<dyn Dial<FleetMessage>>,
    pub(crate) proposals: BTreeMap<Index, PendingProposal>,
    searched_at: Millis,
    stopping: bool,
    may_bootstrap: bool,
    /// Last index of the log at the start; changes up to it are replayed without logging them.
    pub(crate) replayed_index: Index,
}

/// Runs a control member until it is told to stop.
///
/// # Errors
///
/// The listener or the data folder cannot be used.
pub async fn run(
    options: ControlOptions,
    asks: mpsc::Receiver<ControlRequest>,
) -> auburnlug_transport::Result<()> {
    let (input, inputs) = channel(MAX_QUEUED_INPUTS, limits::INPUT_QUEUE_BYTES);
    let openings = options.opening_room;
    control_links::accept_links(options.links, options.identity.clone(), input.clone(), openings)?;
    let now = options.clock.now();
    let mut configured = options.seeds.clone();
    configured.retain(|name| *name != options.me.name || options.may_bootstrap);
    let seed = rand::rng().random();
    let (may_bootstrap, disk_losses) = (options.may_bootstrap, options.disk_losses);
    let group_options = GroupOptions { configured, may_bootstrap, disk_losses };
    let name = options.me.name.clone();
    let (mut member, machine) =
        Member::open(name, group_options, options.disk, RAFT_TIMING, seed, now)?;
    member.set_metrics(options.metrics.control.clone());
    let replayed_index = member.last_index();
    let control = Control {
        orders: OrderThread::start()?,
        me: options.me,
        ports: options.ports,
        clock: options.clock,
        metrics: options.metrics,
        wire: options.server_wire,
        promoter: options.promoter,
        configs: FleetConfigs::new(&machine.fleet.plan),
        machine,
        member,
        leader: None,
        input,
        accepted_links: BTreeMap::new(),
        seeds: options.seeds,
        known_members: BTreeSet::new(),
        member_links: BTreeMap::new(),
        dial: Arc::new(Dialer::new(options.identity, Purpose::Control)),
        proposals: BTreeMap::new(),
        searched_at: 0,
        stopping: false,
        may_bootstrap,
        replayed_index,
    };
    control.serve(inputs, asks).await
}

impl Control {
    /// Handles inputs until the member is told to stop.
    async fn serve(
        mut self,
        mut inputs: Receiver<Input>,
        mut asks: mpsc::Receiver<ControlRequest>,
    ) -> auburnlug_transport::Result<()> {
        let mut tick = interval(TICK_INTERVAL);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut ran_at = self.now();
        while !self.stopping {
            tokio::select! {
                input = inputs.recv() => {
                    let Some(input) = input else { break };
                    self.handle_input(input)?;
                    for _ in 0..MAX_INPUT_BATCH {
                        let Ok(input) = inputs.try_recv() else { break };
                        self.handle_input(input)?;
                    }
                }
                ask = asks.recv() => {
                    let Some(ask) = ask else { break };
                    self.handle_input(Input::Request(ask))?;
                }
                _ = tick.tick() => self.run_periodic_work(),
            }
            self.persist_and_apply()?;
            let last_run = std::mem::replace(&mut ran_at, self.now());
            self.metrics.control.record_step(ran_at.saturating_sub(last_run), RAFT_TIMING.lease);
        }
        Ok(())
    }

    pub(crate) fn now(&self) -> Millis {
        self.clock.now()
    }

    pub(crate) fn fleet(&self) -> &Fleet {
        &self.machine.fleet
    }

    fn handle_input(&mut self, input: Input) -> auburnlug_transport::Result<()> {
        match input {
            Input::Request(ask) => self.handle_request(ask),
            Input::MemberLinkOpened(name, out) => {
                log(Event::MemberLinkOpen, format_args!("member={}", name.as_str()));
                self.member_links.insert(name.clone(), Some(out));
                self.search_at(Some(&name));
            }
            Input::MemberLinkClosed(name) => {
                if let Some(Some(_)) = self.member_links.remove(name.as_str()) {
                    log(Event::MemberLinkLost, format_args!("member={}", name.as_str()));
                }
            }
            Input::LinkAccepted(number, name, out) => {
                if self.leader.is_some() {
                    let _ = out.try_send(FleetMessage::Leading);
                }
                self.accepted_links.insert(number, (name, out));
            }
            Input::LinkClosed(number) => {
                self.accepted_links.remove(&number);
                self.handle_link_loss(number);
            }
            Input::Message(link, from, message) => self.handle_message(link, from, message)?,
            Input::ProbeFinished(term, probed) => self.handle_probe(term, probed),
            Input::HeartbeatConfirmed(confirmation) => self.handle_confirmation(*confirmation),
            Input::PromotionAnswered { group, server, sent, outcome } => {
                self.handle_promotion_answer(&group, &server, sent, outcome)
            }
        }
        Ok(())
    }

    fn handle_message(
        &mut self,
        link: Option<u64>,
        from: Name,
        message: FleetMessage,
    ) -> auburnlug_transport::Result<()> {
        let now = self.now();
        match message {
            FleetMessage::Member(message) => {
                if let Agreement::Probed { members: Some(members), .. } = &message {
                    self.known_members.extend(members.all().filter_map(instance_of));
                }
                let asked = self.asks_to_join();
                if let Some(answer) = self.member.receive(&from, message, now)? {
                    self.answer_member(link, &from, answer);
                }
                if self.asks_to_join() && !asked {
                    self.search_at(None);
                }
            }
            FleetMessage::Renew(renewal) => {
                let Some(link) = link else { return Ok(()) };
                if self.leader.is_some() && self.member.leads(now) {
                    self.handle_renewal(link, &from, *renewal);
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
        let full =
            self.accepted_links.get(&link).is_some_and(|(_, out)| out.try_send(message).is_err());
        if full {
            self.accepted_links.remove(&link);
            self.handle_link_loss(link);
        }
    }

    fn answer_member(&mut self, link: Option<u64>, to: &Name, answer: Agreement) {
        match link {
            Some(link) => self.send(link, FleetMessage::Member(answer)),
            None => self.send_member(to, answer),
        }
    }

    /// Whether a link to a control member is open.
    pub(crate) fn has_member_link(&self, name: &Name) -> bool {
        matches!(self.member_links.get(name.as_str()), Some(Some(_)))
    }

    pub(crate) fn send_member(&mut self, to: &Name, message: Agreement) {
        if let Some(Some(out)) = self.member_links.get(to.as_str()) {
            // Raft retransmits messages that a full link drops.
            let _ = out.try_send(FleetMessage::Member(message));
        }
    }

    fn handle_request(&mut self, ask: ControlRequest) {
        match ask {
            ControlRequest::DeployConfig { plan, document, reply } => {
                let Some(reply) = self.require_leadership(reply) else { return };
                if plan.version <= self.fleet().plan.version {
                    let _ = reply.send(ControlReply::Done(()));
                    return;
                }
                self.deploy(FleetChange::Deploy { plan, document }, reply);
            }
            ControlRequest::ReadConfig { reply } => {
                self.log_config_read();
                let Some(reply) = self.require_leadership(reply) else { return };
                let _ = reply.send(ControlReply::Done(self.fleet().document.clone()));
            }
            ControlRequest::Heartbeat { beat, reply } => self.receive_heartbeat(*beat, reply),
            ControlRequest::RemoveServer { id, run, reply } => {
                let Some(reply) = self.require_leadership(reply) else { return };
                let recorded = self.fleet().backends.get(&id).map(|backend| backend.run);
                match recorded {
                    Some(recorded) if run.is_none_or(|run| run >= recorded) => {
                        log(Event::BackendRemoved, format_args!("server={id}"));
                        self.propose(FleetChange::Forget { id, run: recorded }, Some(reply));
                    }
                    _ => drop(reply.send(ControlReply::Done(()))),
                }
            }
            ControlRequest::Evacuate { domain, begin, reply } => {
                let Some(reply) = self.require_leadership(reply) else { return };
                self.handle_evacuation(domain, begin, reply);
            }
            ControlRequest::ListEvacuations { reply } => {
                let Some(reply) = self.require_leadership(reply) else { return };
                let _ = reply.send(ControlReply::Done(self.fleet().evacuated_domains()));
            }
            ControlRequest::Seeds(names) => self.seeds = names,
            ControlRequest::Stop => self.stopping = true,
        }
    }

    /// Returns `reply` if this member leads; otherwise answers it with the leader, if known.
    pub(crate) fn require_leadership<T>(
        &self,
        reply: oneshot::Sender<ControlReply<T>>,
    ) -> Option<oneshot::Sender<ControlReply<T>>> {
        if self.leader.is_some() && self.member.leads(self.now()) {
            return Some(reply);
        }
        let leader = self.member.leader().filter(|leader| *leader != self.me.name);
        let _ = reply.send(leader.map_or(ControlReply::Unavailable, ControlReply::NotLeader));
        None
    }

    /// Proposes a configuration, unless too many bytes of earlier changes are not committed yet.
    fn deploy(&mut self, change: FleetChange, reply: oneshot::Sender<ControlReply<()>>) {
        let bytes = change.byte_size();
        if self.member.has_room(bytes) {
            return self.propose(change, Some(reply));
        }
        log(Event::DeploymentRefused, format_args!("reason=changes_in_flight bytes={bytes}"));
        let _ = reply.send(ControlReply::Busy);
    }

    /// Logs on what the answer to a read of the configuration is based.
    fn log_config_read(&self) {
        let now = self.now();
        let answered = self.leader.is_some() && self.member.leads(now);
        let lease = self.member.lease_end().map_or(0, |end| end.saturating_sub(now));
        log(
            Event::ConfigRead,
            format_args!(
                "version={} answered={answered} term={} applied={} last={} lease_ms={lease}",
                self.fleet().plan.version,
                self.member.term(),
                self.machine.index,
                self.member.last_index()
            ),
        );
    }

    /// Proposes a change; `reply` is answered once the change is applied.
    pub(crate) fn propose(
        &mut self,
        change: FleetChange,
        reply: Option<oneshot::Sender<ControlReply<()>>>,
    ) {
        let now = self.now();
        match self.member.propose(Command::Fleet(change), now) {
            Some((term, index)) => {
                self.proposals.insert(index, PendingProposal { term, proposed_at: now, reply });
            }
            None => {
                if let Some(reply) = reply {
                    let _ = reply.send(ControlReply::Unavailable);
                }
            }
        }
    }

    fn run_periodic_work(&mut self) {
        let now = self.now();
        self.dial_members();
        if now >= self.searched_at + MEMBERSHIP_SEARCH_INTERVAL_MS {
            self.searched_at = now;
            self.search_at(None);
        }
        let expired: Vec<_> = self
            .proposals
            .iter()
            .filter(|(_, proposal)| now >= proposal.proposed_at + PROPOSAL_TIMEOUT_MS)
            .map(|(index, _)| *index)
            .collect();
        for index in expired {
            if let Some(PendingProposal { reply: Some(reply), .. }) = self.proposals.remove(&index)
            {
                let _ = reply.send(ControlReply::Unavailable);
            }
        }
        self.run_leader_tasks(now);
    }

    /// Looks for the group, or asks to join it, at one member or at all of them.
    fn search_at(&mut self, target: Option<&Name>) {
        let mut candidates = self.candidate_members();
        if self.may_bootstrap {
            candidates.insert(self.me.name.clone());
        }
        self.member.set_configured(candidates);
        for (to, message) in self.member.discovery_messages() {
            if target.is_none_or(|target| *target == to) {
                self.send_member(&to, message);
            }
        }
    }

    /// Whether the member asks to be added to its group.
    fn asks_to_join(&self) -> bool {
        let messages = self.member.discovery_messages();
        matches!(messages.first(), Some((_, Agreement::Join { .. })))
    }

    /// All control members at which this one may find the group.
    fn candidate_members(&self) -> BTreeSet<Name> {
        self.member.candidates(&self.seeds, &self.known_members)
    }

    fn dial_members(&mut self) {
        let mut names = self.candidate_members();
        names.remove(self.me.name.as_str());
        for name in names {
            if self.member_links.contains_key(name.as_str()) {
                continue;
            }
            let Some(address) = socket_address(name.as_str(), self.ports.control) else { continue };
            self.member_links.insert(name.clone(), None);
            let (dialing, input) = (self.dial.dial(name.clone(), address), self.input.clone());
            tokio::spawn(async move {
                match dial_once_per(CONTROL_REDIAL_INTERVAL, dialing).await {
                    Some(link) => control_links::forward_dialed(name, link, input).await,
                    None => drop(input.send(Input::MemberLinkClosed(name)).await),
                }
            });
        }
    }
}
