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
    lease::{Holder, Lease},
    raft::{Entry, Payload},
};
use auburnlug_protocol::peer::{Control, Grant, Renew};
use auburnlug_state::{Applied, Command, Index, Instance, Machine, Millis, Name, Shard};
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
    control_member::Member,
    event::{Event, log},
    link::Dial,
    socket::{self, Identity},
    view::View,
};

/// Interval of the loop's periodic work.
const TICK: Duration = Duration::from_millis(10);

/// A proposal whose effect is not known after this long is answered as unknown, in milliseconds.
const PROPOSAL_LIMIT: Millis = 3_000;

/// Interval at which a member without a place in the group asks for one, in milliseconds.
const SEARCH: Millis = 200;

/// Committed commands kept for instances that lag behind; others get the whole state.
const RECENT: usize = 4_096;

/// Inputs handled before the durable work of all of them is done with one sync.
const BATCH: usize = 256;

/// Who waits for the effect of a proposal.
pub(crate) enum Waiter {
    Local(oneshot::Sender<Option<Applied>>),
    Remote { link: u64, id: u64 },
    Nobody,
}

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
    outputs: Outputs,
    holder: Holder,
    /// Recorded servers that announced themselves here since the last renewal.
    pub(crate) heard: BTreeSet<Name>,
    /// Member that granted the last lease.
    granter: Option<Name>,
    confirmed: Millis,
    /// Proposals in this member's log: term, waiter and time, by index.
    pending: BTreeMap<Index, (u64, Waiter, Millis)>,
    /// Proposals sent to the leader, by number.
    remote: BTreeMap<u64, (oneshot::Sender<Option<Applied>>, Millis)>,
    next: u64,
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
            let configured = options.members.keys().cloned().collect();
            let seed = rand::rng().random();
            let opened = Member::open(options.instance.name.clone(), configured, disk, seed, now)?;
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
            heard: BTreeSet::new(),
            granter: None,
            confirmed: 0,
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
        let mut tick = interval(TICK);
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

    /// Index of the newest proposal that is not applied.
    pub(crate) fn last_pending(&self) -> Option<Index> {
        self.pending.last_key_value().map(|(index, _)| *index)
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
                if input.send(Input::Accepted(link)).await.is_err() {
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

    /// Proposes a command to the own log; false if this member does not lead.
    pub(crate) fn propose(&mut self, command: Command, waiter: Waiter) -> bool {
        let now = self.now();
        let proposed = self.member.as_mut().and_then(|member| member.propose(command, now));
        match proposed {
            Some((term, index)) => {
                self.pending.insert(index, (term, waiter, now));
                true
            }
            None => {
                self.answer(waiter, None);
                false
            }
        }
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
            Control::Redirect { .. } => {}
            Control::Update { after, until, commands } => self.update(after, until, &commands),
            Control::Snapshot(machine) => self.replace(*machine),
            Control::Propose { id, command } => {
                self.propose(command, Waiter::Remote { link, id });
            }
            Control::Proposed { id, applied } => {
                if let Some((reply, _)) = self.remote.remove(&id) {
                    let _ = reply.send(applied);
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
        let answered = now < self.confirmed + 2 * auburnlug_coordination::lease::RENEWAL;
        let granter = self.granter.clone().filter(|_| answered && self.confirmed > 0);
        self.holder.sent(now);
        let heard = std::mem::take(&mut self.heard).into_iter().collect();
        let (instance, index) = (self.instance.clone(), self.machine.index);
        let renew = Renew { instance, sent: now, index, heard };
        if self.leader.is_some() {
            let name = self.instance.name.clone();
            return self.renew(0, &name, renew);
        }
        let targets = granter.map_or_else(|| self.links.members(), |name| vec![name]);
        for name in targets {
            self.links.send_member(&name, Control::Renew(renew.clone()));
        }
    }

    /// Takes a lease; also called for the lease that the leader grants itself.
    pub(crate) fn granted(&mut self, from: Name, grant: &Grant) {
        let lease = Lease { sent: grant.sent, span: grant.span, index: grant.index };
        self.holder.grant(&lease);
        self.confirmed = self.now();
        self.granter = Some(from);
        self.publish_lease();
    }

    fn publish_lease(&mut self) {
        let (before, until) = (self.outputs.lease.load(Ordering::Acquire), self.holder.until());
        if before == 0 && until > 0 {
            log(Event::LeaseGained, format_args!("from {:?}", self.granter));
        }
        self.outputs.lease.store(until, Ordering::Release);
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

    fn commit(&mut self, entries: Vec<Entry>) {
        let mut answers = Vec::new();
        for entry in entries {
            let applied = self.apply_entry(&entry);
            if let Some((term, waiter, _)) = self.pending.remove(&entry.index) {
                answers.push((waiter, applied.filter(|_| term == entry.term)));
            }
        }
        self.publish_view();
        self.push_updates();
        for (waiter, applied) in answers {
            self.answer(waiter, applied);
        }
    }

    fn apply_entry(&mut self, entry: &Entry) -> Option<Applied> {
        let machine = Arc::make_mut(&mut self.machine);
        let Payload::Command(command) = &entry.payload else {
            machine.index = entry.index;
            return None;
        };
        let applied = machine.apply(entry.index, command);
        self.note(entry.index, command.clone(), &applied);
        Some(applied)
    }

    fn note(&mut self, index: Index, command: Command, applied: &Applied) {
        match (&command, applied) {
            (Command::Configure(change), Applied::Changed(version)) => log(
                Event::ConfigApplied,
                format_args!("version {version}, change {} by {}", change.id, change.operator),
            ),
            (Command::Configure(change), refused) => {
                log(Event::ChangeRefused, format_args!("change {}: {refused:?}", change.id));
            }
            (Command::Assign { shard, instance, epoch }, Applied::Done) => {
                log(
                    Event::ShardAssigned,
                    format_args!("{shard} to {instance:?} after epoch {epoch}"),
                );
            }
            (Command::Register(instance), Applied::Done) => {
                log(Event::InstanceRegistered, format_args!("{}", instance.name));
            }
            (Command::Remove { instance, .. }, Applied::Done) => {
                log(Event::InstanceRemoved, format_args!("{instance}"));
            }
            _ => {}
        }
        self.recent.push_back((index, command));
        if self.recent.len() > RECENT {
            self.recent.pop_front();
        }
    }

    /// Applies committed commands that the leader sent. Those that are already applied are left
    /// out, so that repeated and overlapping updates have no effect.
    fn update(&mut self, after: Index, until: Index, commands: &[(Index, Command)]) {
        if self.member.as_ref().is_some_and(Member::agrees) || after > self.machine.index {
            return;
        }
        let start = self.machine.index;
        for (index, command) in commands.iter().filter(|(index, _)| *index > start) {
            let applied = Arc::make_mut(&mut self.machine).apply(*index, command);
            self.note(*index, command.clone(), &applied);
        }
        if until > self.machine.index {
            Arc::make_mut(&mut self.machine).index = until;
        }
        self.publish_view();
    }

    fn replace(&mut self, machine: Machine) {
        if machine.index > self.machine.index {
            self.machine = Arc::new(machine);
            self.recent.clear();
            self.publish_view();
        }
    }

    fn publish_view(&mut self) {
        let machine = self.machine.clone();
        self.outputs.view.send_modify(|view| {
            let mut next = View::clone(view);
            next.release.retain(|shard, epoch| {
                machine.shards.get(shard).is_some_and(|holder| holder.epoch == *epoch)
            });
            next.machine = machine;
            *view = Arc::new(next);
        });
        // The lease comes second: who sees it valid also sees the state that it depends on.
        self.holder.applied(self.machine.index);
        self.publish_lease();
    }

    fn publish_status(&mut self, now: Millis) {
        let leader = self.known_leader().filter(|_| self.holder.valid(now));
        let term = self.member.as_ref().map_or(0, Member::term);
        let status =
            Status { leads: self.leader.is_some(), leader, term, confirmed: self.confirmed };
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

    fn propose_anywhere(&mut self, command: Command, reply: oneshot::Sender<Option<Applied>>) {
        if self.leader.is_some() {
            self.propose(command, Waiter::Local(reply));
            return;
        }
        let Some(leader) = self.known_leader() else {
            let _ = reply.send(None);
            return;
        };
        let id = self.next;
        self.next += 1;
        self.remote.insert(id, (reply, self.now()));
        self.links.send_member(&leader, Control::Propose { id, command });
    }

    /// Instance that leads, as far as known.
    pub(crate) fn known_leader(&self) -> Option<Name> {
        let leader = self.member.as_ref().and_then(Member::leader);
        leader.or_else(|| self.granter.clone())
    }

    fn expire_proposals(&mut self, now: Millis) {
        self.remote.retain(|_, (_, since)| now < *since + PROPOSAL_LIMIT);
        let old: Vec<Index> = self
            .pending
            .iter()
            .filter(|(_, (_, _, since))| now >= since + PROPOSAL_LIMIT)
            .map(|(index, _)| *index)
            .collect();
        for index in old {
            if let Some((_, waiter, _)) = self.pending.remove(&index) {
                self.answer(waiter, None);
            }
        }
    }

    fn answer(&mut self, waiter: Waiter, applied: Option<Applied>) {
        match waiter {
            Waiter::Local(reply) => {
                let _ = reply.send(applied);
            }
            Waiter::Remote { link, id } => self.links.send(link, Control::Proposed { id, applied }),
            Waiter::Nobody => {}
        }
    }

    fn stop(&mut self, reply: oneshot::Sender<()>) {
        self.holder.end();
        self.outputs.lease.store(0, Ordering::Release);
        let incarnation = self.instance.incarnation;
        for name in self.links.members() {
            self.links.send_member(&name, Control::Leave { incarnation });
        }
        self.stopping = Some(reply);
    }
}
