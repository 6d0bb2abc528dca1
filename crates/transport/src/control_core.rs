//! Loop of the control thread.
//!
//! Every instance renews its lease and applies committed commands; a control member also takes
//! part in the agreement, and the leader grants leases, spreads commands and moves shards.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use auburnlug_coordination::{
    lease::{Holder, LEASE, Lease, RENEWAL},
    raft::Timing,
};
use auburnlug_protocol::peer::{Control, Grant, Renew};
use auburnlug_state::{Command, Index, Instance, Machine, Millis, Name, Shard};
use rand::Rng;
use tokio::{
    net::TcpListener,
    sync::{mpsc, oneshot},
    time::{MissedTickBehavior, interval},
};

use crate::{
    Result,
    clock::Clock,
    control::{Input, Options, Outputs, Status},
    control_leader::Leader,
    control_links::Links,
    control_member::{Founding, Member},
    control_propose::{Pending, Sent, Waiter},
    event::{Event, log},
    link::Dial,
    socket::{self, Identity},
    view::View,
};

/// Interval of a control member's periodic work.
const TICK: Duration = Duration::from_millis(10);

/// Interval of the periodic work without the control role, of which the renewals every 300 ms are
/// the most frequent.
const ENTRY_TICK: Duration = Duration::from_millis(25);

/// Interval at which a member without a place in the group asks for one, in milliseconds.
const SEARCH: Millis = 200;

/// A granter that has not answered for this long, counted from the renewal that it answered last,
/// is not relied on, in milliseconds.
const UNANSWERED: Millis = 2 * RENEWAL;

/// Inputs handled before the durable work of all of them is done with one sync.
const BATCH: usize = 256;

/// State of the control thread.
pub(crate) struct Core {
    pub(crate) instance: Instance,
    pub(crate) machine: Arc<Machine>,
    pub(crate) member: Option<Member>,
    pub(crate) links: Links,
    pub(crate) leader: Option<Leader>,
    pub(crate) recent: VecDeque<(Index, Command)>,
    pub(crate) trust: bool,
    pub(crate) identity: Arc<Identity>,
    listener: Option<std::net::TcpListener>,
    traffic: mpsc::Sender<std::net::TcpStream>,
    members: BTreeMap<Name, SocketAddr>,
    clock: Arc<dyn Clock>,
    dial: Arc<dyn Dial<Control>>,
    pub(crate) input: mpsc::Sender<Input>,
    pub(crate) outputs: Outputs,
    pub(crate) holder: Holder,
    /// Whether the log says that the lease is in force.
    held: bool,
    /// Recorded servers that announced themselves here since the last renewal.
    pub(crate) heard: BTreeSet<Name>,
    /// Member that granted the last lease.
    pub(crate) granter: Option<Name>,
    /// Sending time of the last renewal that was granted.
    answered: Millis,
    /// Proposals in this member's log, by index.
    pub(crate) pending: BTreeMap<Index, Pending>,
    /// Proposals sent to the leader, by number.
    pub(crate) remote: BTreeMap<u64, Sent>,
    pub(crate) next: u64,
    searched: Millis,
    stopping: Option<oneshot::Sender<()>>,
}

impl Core {
    pub(crate) fn new(
        options: Options,
        outputs: Outputs,
        input: mpsc::Sender<Input>,
    ) -> Result<Core> {
        let now = options.clock.now();
        let (mut member, mut machine) = (None, Machine::default());
        if let Some(disk) = options.disk {
            let configured: BTreeSet<Name> = options.members.keys().cloned().collect();
            let losses = configured.len().saturating_sub(1) / 2;
            let founding = Founding { configured, founds: true, losses };
            let seed = rand::rng().random();
            let opened = Member::open(
                options.instance.name.clone(),
                founding,
                disk,
                Timing::default(),
                seed,
                now,
            )?;
            member = Some(opened.0);
            machine = opened.1;
        }
        Ok(Core {
            instance: options.instance,
            machine: Arc::new(machine),
            member,
            links: Links::new(input.clone()),
            leader: None,
            recent: VecDeque::new(),
            trust: options.trust,
            identity: options.identity,
            listener: Some(options.listener),
            traffic: options.traffic,
            members: options.members,
            clock: options.clock,
            dial: options.dial,
            input,
            outputs,
            holder: Holder::default(),
            held: false,
            heard: BTreeSet::new(),
            granter: None,
            answered: 0,
            pending: BTreeMap::new(),
            remote: BTreeMap::new(),
            next: 1,
            searched: 0,
            stopping: None,
        })
    }

    /// Runs until the instance stops.
    ///
    /// # Errors
    ///
    /// The disk failed: what was acknowledged is kept, and the member must not go on.
    pub(crate) async fn run(mut self, mut inputs: mpsc::Receiver<Input>) -> Result<()> {
        self.listen()?;
        let mut tick = interval(if self.member.is_some() { TICK } else { ENTRY_TICK });
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        while self.stopping.is_none() {
            tokio::select! {
                input = inputs.recv() => {
                    let Some(input) = input else { return Ok(()) };
                    self.handle(input)?;
                    for _ in 0..BATCH {
                        let Ok(input) = inputs.try_recv() else { break };
                        self.handle(input)?;
                    }
                }
                _ = tick.tick() => self.periodic(),
            }
            self.progress()?;
        }
        // Lets the link tasks send the last messages.
        tokio::time::sleep(Duration::from_millis(50)).await;
        if let Some(reply) = self.stopping.take() {
            let _ = reply.send(());
        }
        Ok(())
    }

    fn listen(&mut self) -> Result<()> {
        let Some(listener) = self.listener.take() else { return Ok(()) };
        let listener = TcpListener::from_std(listener)?;
        let (control, mut accepted) = mpsc::channel(BATCH);
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

    fn handle(&mut self, input: Input) -> Result<()> {
        match input {
            Input::Accepted(accepted) => self.links.accept(accepted.link()),
            Input::Dialed { member, link } => self.links.dialed(member, link),
            Input::Closed { link } => self.links.closed(link),
            Input::Message { link, message } => self.receive(link, message)?,
            Input::Refused { instance, incarnation } => self.refused(&instance, incarnation),
            Input::Propose { command, reply } => self.propose_anywhere(command, reply),
            Input::Announce { server, reply } => {
                let _ = reply.send(self.announced(server));
            }
            Input::Stop { reply } => self.stop(reply),
        }
        Ok(())
    }

    fn receive(&mut self, link: u64, message: Control) -> Result<()> {
        let now = self.now();
        let Some(from) = self.peer(link) else { return Ok(()) };
        match message {
            Control::Renew(renew) => self.renew(link, &from, renew),
            Control::Grant(grant) => self.granted(from, &grant),
            Control::Update { after, until, commands } => self.update(after, until, &commands),
            Control::Snapshot(machine) => self.copy(*machine),
            Control::Propose { id, command } => {
                self.propose(command, Waiter::Remote { link, id });
            }
            Control::Proposed { id, applied } => {
                if let Some(sent) = self.remote.remove(&id) {
                    let _ = sent.reply.send(applied);
                }
            }
            // Only the leader takes an announcement from a link. Members that passed it on again
            // while there was no leader filled each other's queues and kept one from being elected.
            Control::Announce(server) if self.leader.is_some() => {
                self.announced(server);
            }
            Control::Release { shard, epoch } => self.release(shard, epoch),
            Control::Leave { incarnation } => self.left(&from, incarnation),
            message => {
                let Some(member) = &mut self.member else { return Ok(()) };
                if let Some(answer) = member.receive(&from, message, now)? {
                    self.links.send(link, answer);
                }
            }
        }
        Ok(())
    }

    fn periodic(&mut self) {
        let now = self.now();
        self.dial_members();
        if now >= self.searched + SEARCH {
            self.searched = now;
            let messages = self.member.as_ref().map(Member::search).unwrap_or_default();
            for (to, message) in messages {
                self.links.send_member(&to, message);
            }
        }
        self.note_lease(now);
        if self.holder.due(now) {
            self.send_renewal(now);
        }
        self.expire_proposals(now);
        self.lead_periodic(now);
    }

    fn dial_members(&mut self) {
        for (name, address) in &self.members {
            if *name == self.instance.name || !self.links.begin_dial(name) {
                continue;
            }
            let dialing = self.dial.dial(name.clone(), *address);
            let (input, member) = (self.input.clone(), name.clone());
            tokio::spawn(async move {
                let link = dialing.await;
                if link.is_none() {
                    tokio::time::sleep(Duration::from_millis(100)).await;
                }
                let _ = input.send(Input::Dialed { member, link }).await;
            });
        }
    }

    /// Renews with the member that granted last; with all members once that one fails to answer.
    fn send_renewal(&mut self, now: Millis) {
        self.holder.sent(now);
        let heard = std::mem::take(&mut self.heard).into_iter().collect();
        let (instance, index) = (self.instance.clone(), self.machine.index);
        let renew = Renew { instance, sent: now, index, heard };
        if self.leader.is_some() {
            let name = self.instance.name.clone();
            return self.renew(0, &name, renew);
        }
        let answers = |name: &Name| self.links.linked(name) && now < self.answered + UNANSWERED;
        let granter = self.granter.clone().filter(answers);
        let targets = granter.map_or_else(|| self.links.members(), |name| vec![name]);
        for name in targets {
            self.links.send_member(&name, Control::Renew(renew.clone()));
        }
    }

    /// Takes a lease; also called for the lease that the leader grants itself. A late answer of
    /// an earlier granter does not replace a newer one.
    pub(crate) fn granted(&mut self, from: Name, grant: &Grant) {
        let lease = Lease { sent: grant.sent, span: grant.span, index: grant.index };
        if self.holder.grant(&lease) && grant.sent >= self.answered {
            self.answered = grant.sent;
            self.granter = Some(from);
        }
        self.publish_lease();
    }

    pub(crate) fn publish_lease(&mut self) {
        self.outputs.lease.store(self.holder.until(), Ordering::Release);
        self.note_lease(self.now());
    }

    /// Logs the start and the end of the lease.
    fn note_lease(&mut self, now: Millis) {
        let held = self.holder.valid(now);
        match (std::mem::replace(&mut self.held, held), held) {
            (false, true) => log(Event::LeaseGained, format_args!("from {:?}", self.granter)),
            (true, false) => log(
                Event::LeaseLost,
                format_args!("last granter {:?}, index {}", self.granter, self.machine.index),
            ),
            _ => {}
        }
    }

    /// Does the durable work and what follows from it.
    fn progress(&mut self) -> Result<()> {
        let now = self.now();
        let Some(member) = &mut self.member else {
            self.publish_status(now);
            return Ok(());
        };
        let work = member.step(now)?;
        for (to, message) in work.messages {
            self.links.send_member(&to, message);
        }
        if let Some(machine) = work.machine {
            self.replace(machine);
        }
        if !work.committed.is_empty() {
            self.commit(work.committed);
            if let Some(member) = &mut self.member {
                member.compact(&self.machine)?;
            }
        }
        self.check_leadership(now);
        self.publish_status(now);
        Ok(())
    }

    fn publish_status(&mut self, now: Millis) {
        let leader = self.known_leader().filter(|_| self.holder.valid(now));
        let term = self.member.as_ref().map_or(0, Member::term);
        // The lease takes effect once its index is applied, so the version in force is confirmed as
        // of the renewal that the lease counts from.
        let confirmed = self.holder.until().saturating_sub(LEASE);
        let status = Status { leads: self.leader.is_some(), leader, term, confirmed };
        self.outputs.status.send_if_modified(|old| {
            let changed = *old != status;
            *old = status;
            changed
        });
    }

    /// Asks the traffic threads to drain a shard; they give it up by a proposal.
    pub(crate) fn release(&mut self, shard: Shard, epoch: u64) {
        self.outputs.view.send_modify(|view| {
            let mut next = View::clone(view);
            next.release.insert(shard, epoch);
            *view = Arc::new(next);
        });
    }

    fn stop(&mut self, reply: oneshot::Sender<()>) {
        self.holder.end();
        self.held = false;
        self.outputs.lease.store(0, Ordering::Release);
        let incarnation = self.instance.incarnation;
        for name in self.links.members() {
            self.links.send_member(&name, Control::Leave { incarnation });
        }
        self.stopping = Some(reply);
    }
}
