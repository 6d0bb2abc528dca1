//! Event loop of the control thread.
//!
//! Every instance renews its lease and applies committed commands. A control member also takes
//! part in the Raft group, and the leader grants leases, distributes commands and moves shards.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use auburnlug_coordination::{
    lease::{INSTANCE_LEASE_MS, LEASE_RENEWAL_INTERVAL_MS, Lease, LeaseHolder},
    raft::Timing,
};
use auburnlug_protocol::peer::{ControlMessage, LeaseGrant, LeaseRenewal};
use auburnlug_state::{Command, Index, Instance, Machine, Millis, Name, Shard};
use rand::Rng;
use tokio::{
    net::TcpListener,
    sync::{mpsc, oneshot},
    time::{MissedTickBehavior, interval},
};

use crate::{
    Result,
    byte_channel::{Receiver, Sender},
    clock::Clock,
    control::{Input, Options, Outputs, Status},
    control_leader::Leader,
    control_links::Links,
    control_member::{GroupOptions, Member, Work},
    control_metrics::ControlMetrics,
    control_propose::{ForwardedProposal, PendingProposal, Waiter},
    event::{Event, log},
    link::{Dial, dial_once_per},
    socket::{self, Identity},
    view::View,
};

/// Interval of the periodic work of a control member.
const MEMBER_TICK_INTERVAL: Duration = Duration::from_millis(10);

/// Interval of the periodic work of other instances. Their most frequent task is the lease renewal
/// every 300 ms.
const DEFAULT_TICK_INTERVAL: Duration = Duration::from_millis(25);

/// Minimum time between two dials of a member.
const REDIAL_INTERVAL: Duration = Duration::from_millis(100);

/// Interval at which a member outside the group looks for the group or asks to join it.
const SEARCH_INTERVAL_MS: Millis = 200;

/// Time after which renewals go to all members instead of the last granter only, counted from the
/// sending of the renewal that it answered last.
const GRANTER_TIMEOUT_MS: Millis = 2 * LEASE_RENEWAL_INTERVAL_MS;

/// Inputs handled before one sync makes the writes of all of them durable.
const MAX_INPUT_BATCH: usize = 256;

/// State of the control thread.
pub(crate) struct Core {
    pub(crate) instance: Instance,
    pub(crate) machine: Arc<Machine>,
    pub(crate) member: Option<Member>,
    pub(crate) links: Links,
    pub(crate) leader: Option<Leader>,
    pub(crate) recent_commands: VecDeque<(Index, Command)>,
    /// Bytes of these commands.
    pub(crate) recent_bytes: usize,
    pub(crate) trust_refused: bool,
    pub(crate) identity: Arc<Identity>,
    listener: Option<std::net::TcpListener>,
    traffic: mpsc::Sender<std::net::TcpStream>,
    members: BTreeMap<Name, SocketAddr>,
    clock: Arc<dyn Clock>,
    dial: Arc<dyn Dial<ControlMessage>>,
    pub(crate) input: Sender<Input>,
    pub(crate) outputs: Outputs,
    pub(crate) lease_holder: LeaseHolder,
    /// Whether the lease was in force at the last check that logged its start or end.
    lease_logged: bool,
    /// Recorded servers that announced themselves here since the last renewal.
    pub(crate) announced_servers: BTreeSet<Name>,
    /// Member that granted the last lease.
    pub(crate) granter: Option<Name>,
    /// Sending time of the last renewal that was granted.
    last_granted: Millis,
    /// Proposals in this member's log, by index.
    pub(crate) pending: BTreeMap<Index, PendingProposal>,
    /// Proposals forwarded to the leader, by id.
    pub(crate) forwarded: BTreeMap<u64, ForwardedProposal>,
    pub(crate) next_proposal: u64,
    last_search: Millis,
    metrics: ControlMetrics,
    stopping: Option<oneshot::Sender<()>>,
}

impl Core {
    pub(crate) fn new(options: Options, outputs: Outputs, input: Sender<Input>) -> Result<Core> {
        let now = options.clock.now();
        let (mut member, mut machine) = (None, Machine::default());
        if let Some(disk) = options.disk {
            let configured: BTreeSet<Name> = options.members.keys().cloned().collect();
            let disk_losses = configured.len().saturating_sub(1) / 2;
            let founding = GroupOptions { configured, may_bootstrap: true, disk_losses };
            let seed = rand::rng().random();
            let opened = Member::open(
                options.instance.name.clone(),
                founding,
                disk,
                Timing::default(),
                seed,
                now,
            )?;
            let member = member.insert(opened.0);
            member.set_metrics(options.metrics.clone());
            machine = opened.1;
        }
        Ok(Core {
            instance: options.instance,
            machine: Arc::new(machine),
            member,
            links: Links::new(input.clone()),
            leader: None,
            recent_commands: VecDeque::new(),
            recent_bytes: 0,
            trust_refused: options.trust_refused,
            identity: options.identity,
            listener: Some(options.listener),
            traffic: options.traffic,
            members: options.members,
            clock: options.clock,
            dial: options.dial,
            input,
            outputs,
            lease_holder: LeaseHolder::default(),
            lease_logged: false,
            announced_servers: BTreeSet::new(),
            granter: None,
            last_granted: 0,
            pending: BTreeMap::new(),
            forwarded: BTreeMap::new(),
            next_proposal: 1,
            last_search: 0,
            metrics: options.metrics,
            stopping: None,
        })
    }

    /// Runs until the instance stops.
    ///
    /// # Errors
    ///
    /// The disk failed. What was acknowledged is kept, and the member must stop.
    pub(crate) async fn run(mut self, mut inputs: Receiver<Input>) -> Result<()> {
        self.listen()?;
        let mut tick = interval(if self.member.is_some() {
            MEMBER_TICK_INTERVAL
        } else {
            DEFAULT_TICK_INTERVAL
        });
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut ran_at = self.now();
        while self.stopping.is_none() {
            tokio::select! {
                input = inputs.recv() => {
                    let Some(input) = input else { return Ok(()) };
                    self.handle_input(input)?;
                    for _ in 0..MAX_INPUT_BATCH {
                        let Ok(input) = inputs.try_recv() else { break };
                        self.handle_input(input)?;
                    }
                }
                _ = tick.tick() => self.run_periodic(),
            }
            self.advance()?;
            let last_run = std::mem::replace(&mut ran_at, self.now());
            self.metrics.record_step(ran_at.saturating_sub(last_run), Timing::default().lease);
        }
        // Gives the link tasks time to send the last messages.
        tokio::time::sleep(Duration::from_millis(50)).await;
        if let Some(reply) = self.stopping.take() {
            let _ = reply.send(());
        }
        Ok(())
    }

    fn listen(&mut self) -> Result<()> {
        let Some(listener) = self.listener.take() else { return Ok(()) };
        let listener = TcpListener::from_std(listener)?;
        let (control, mut accepted) = mpsc::channel(MAX_INPUT_BATCH);
        let input = self.input.clone();
        tokio::spawn(socket::listen(
            listener,
            self.identity.clone(),
            control,
            self.traffic.clone(),
        ));
        tokio::spawn(async move {
            while let Some(link) = accepted.recv().await {
                if input.send(Input::Accepted(Box::new(link))).await.is_err() {
                    return;
                }
            }
        });
        Ok(())
    }

    pub(crate) fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Name of the instance at the other end of a link.
    pub(crate) fn peer(&self, link: u64) -> Option<Name> {
        self.links.peer(link).cloned()
    }

    fn handle_input(&mut self, input: Input) -> Result<()> {
        match input {
            Input::Accepted(accepted) => self.links.accept(accepted.link()),
            Input::Dialed { member, link } => {
                let opened = link.is_some();
                self.links.finish_dial(member.clone(), link);
                if opened {
                    self.search_at(Some(&member));
                }
            }
            Input::Closed { link } => self.links.close_link(link),
            Input::Message { link, message } => self.handle_message(link, message)?,
            Input::ConnectRefused { instance, incarnation } => {
                self.handle_connect_refused(&instance, incarnation)
            }
            Input::Propose { command, reply } => self.propose_or_forward(command, reply),
            Input::Announce { server, reply } => {
                let _ = reply.send(self.handle_announcement(server));
            }
            Input::Stop { reply } => self.stop(reply),
        }
        Ok(())
    }

    fn handle_message(&mut self, link: u64, message: ControlMessage) -> Result<()> {
        let now = self.now();
        let Some(from) = self.peer(link) else { return Ok(()) };
        match message {
            ControlMessage::Renew(renew) => self.handle_renewal(link, &from, renew),
            ControlMessage::Grant(grant) => self.accept_grant(from, &grant),
            ControlMessage::Update { after, until, commands } => {
                self.apply_update(after, until, &commands)
            }
            ControlMessage::Snapshot(machine) => self.apply_snapshot(*machine),
            ControlMessage::Propose { id, command } => {
                self.propose(command, Waiter::Remote { link, id });
            }
            ControlMessage::Proposed { id, applied } => {
                if let Some(sent) = self.forwarded.remove(&id) {
                    let _ = sent.reply.send(applied);
                }
            }
            // Only the leader accepts announcements from links. If other members forwarded them
            // while there is no leader, they would fill each other's queues and block the election.
            ControlMessage::Announce(server) if self.leader.is_some() => {
                self.handle_announcement(server);
            }
            ControlMessage::Release { shard, epoch } => self.drain_shard(shard, epoch),
            ControlMessage::Leave { incarnation } => self.handle_leave(&from, incarnation),
            message => {
                let asked = self.asks_to_join();
                let Some(member) = &mut self.member else { return Ok(()) };
                if let Some(answer) = member.receive(&from, message, now)? {
                    self.links.send(link, answer);
                }
                if self.asks_to_join() && !asked {
                    self.search_at(None);
                }
            }
        }
        Ok(())
    }

    fn run_periodic(&mut self) {
        let now = self.now();
        self.dial_members();
        if now >= self.last_search + SEARCH_INTERVAL_MS {
            self.last_search = now;
            self.search_at(None);
        }
        self.log_lease_change(now);
        if self.lease_holder.renewal_due(now) {
            self.send_renewal(now);
        }
        self.expire_proposals(now);
        self.run_leader_periodic(now);
    }

    fn discovery_messages(&self) -> Vec<(Name, ControlMessage)> {
        self.member.as_ref().map(Member::discovery_messages).unwrap_or_default()
    }

    /// Looks for the group, or asks to join it, at one member or at all of them.
    fn search_at(&mut self, target: Option<&Name>) {
        for (to, message) in self.discovery_messages() {
            if target.is_none_or(|target| *target == to) {
                self.links.send_member(&to, message);
            }
        }
    }

    /// Whether the member asks to be added to its group.
    fn asks_to_join(&self) -> bool {
        matches!(self.discovery_messages().first(), Some((_, ControlMessage::Join { .. })))
    }

    fn dial_members(&mut self) {
        for (name, address) in &self.members {
            if *name == self.instance.name || !self.links.begin_dial(name) {
                continue;
            }
            let dialing = self.dial.dial(name.clone(), *address);
            let (input, member) = (self.input.clone(), name.clone());
            tokio::spawn(async move {
                let link = dial_once_per(REDIAL_INTERVAL, dialing).await;
                let _ = input.send(Input::Dialed { member, link }).await;
            });
        }
    }

    /// Sends a renewal to the member that granted the last lease, or to all members if that one
    /// does not answer in time.
    fn send_renewal(&mut self, now: Millis) {
        self.lease_holder.record_renewal(now);
        let heard = std::mem::take(&mut self.announced_servers).into_iter().collect();
        let (instance, index) = (self.instance.clone(), self.machine.index);
        let renew = LeaseRenewal { instance, sent: now, index, heard };
        if self.leader.is_some() {
            let name = self.instance.name.clone();
            return self.handle_renewal(0, &name, renew);
        }
        let answers = |name: &Name| {
            self.links.is_linked(name) && now < self.last_granted + GRANTER_TIMEOUT_MS
        };
        let granter = self.granter.clone().filter(answers);
        let targets = granter.map_or_else(|| self.links.members(), |name| vec![name]);
        for name in targets {
            self.links.send_member(&name, ControlMessage::Renew(renew.clone()));
        }
    }

    /// Accepts a lease, also one that the leader grants to itself. A late answer of an earlier
    /// granter does not replace a newer granter.
    pub(crate) fn accept_grant(&mut self, from: Name, grant: &LeaseGrant) {
        let lease = Lease { sent: grant.sent, duration: grant.span, index: grant.index };
        if self.lease_holder.accept(&lease) && grant.sent >= self.last_granted {
            self.last_granted = grant.sent;
            self.granter = Some(from);
        }
        self.publish_lease();
    }

    pub(crate) fn publish_lease(&mut self) {
        self.outputs.lease.store(self.lease_holder.until(), Ordering::Release);
        self.log_lease_change(self.now());
    }

    /// Logs when the lease starts or ends.
    fn log_lease_change(&mut self, now: Millis) {
        let held = self.lease_holder.valid(now);
        match (std::mem::replace(&mut self.lease_logged, held), held) {
            (false, true) => log(Event::LeaseGained, format_args!("from {:?}", self.granter)),
            (true, false) => log(
                Event::LeaseLost,
                format_args!("last granter {:?}, index {}", self.granter, self.machine.index),
            ),
            _ => {}
        }
    }

    /// Stores new entries durably, sends the messages that depend on them, applies what was
    /// committed and publishes the status.
    fn advance(&mut self) -> Result<()> {
        let now = self.now();
        while let Some(member) = &mut self.member {
            let work = member.step(now)?;
            let more = work.more;
            self.apply_work(work)?;
            if !more {
                self.check_leadership(now);
                break;
            }
        }
        self.publish_status(now);
        Ok(())
    }

    fn apply_work(&mut self, work: Work) -> Result<()> {
        for (to, message) in work.messages {
            self.links.send_member(&to, message);
        }
        if let Some(machine) = work.machine {
            self.replace_machine(machine);
        }
        if !work.committed.is_empty() {
            self.apply_committed(work.committed);
            if let Some(member) = &mut self.member {
                member.compact(&self.machine)?;
            }
        }
        Ok(())
    }

    fn publish_status(&mut self, now: Millis) {
        let leader = self.known_leader().filter(|_| self.lease_holder.valid(now));
        let term = self.member.as_ref().map_or(0, Member::term);
        let redundancy = self.member.as_ref().and_then(Member::redundancy);
        // The lease takes effect once its index is applied, so the version in force was current
        // when the renewal that started the lease was sent.
        let confirmed = self.lease_holder.until().saturating_sub(INSTANCE_LEASE_MS);
        let status = Status { leads: self.leader.is_some(), leader, redundancy, term, confirmed };
        self.outputs.status.send_if_modified(|old| {
            let changed = *old != status;
            *old = status;
            changed
        });
    }

    /// Asks the traffic threads to drain a shard; they release it with a proposal.
    pub(crate) fn drain_shard(&mut self, shard: Shard, epoch: u64) {
        self.outputs.view.send_modify(|view| {
            let mut next = View::clone(view);
            next.releasing.insert(shard, epoch);
            *view = Arc::new(next);
        });
    }

    fn stop(&mut self, reply: oneshot::Sender<()>) {
        self.lease_holder.release();
        self.lease_logged = false;
        self.outputs.lease.store(0, Ordering::Release);
        let incarnation = self.instance.incarnation;
        for name in self.links.members() {
            self.links.send_member(&name, ControlMessage::Leave { incarnation });
        }
        self.stopping = Some(reply);
    }
}
