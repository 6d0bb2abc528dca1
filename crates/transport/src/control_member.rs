//! A control member: its Raft core, its disk, and the discovery of the group at its first start.

use std::collections::{BTreeMap, BTreeSet};

use auburnlug_coordination::{
    bootstrap::{Bootstrap, BootstrapDecision, instance_of},
    membership::ControlGroup,
    raft::{Entry, Members, Message, Raft, Ready, Saved, Snapshot, Timing},
    redundancy::Redundancy,
};
use auburnlug_protocol::{decode, encode, peer::ControlMessage};
use auburnlug_state::{Command, Index, Machine, Millis, Name};

use crate::{
    Result,
    compaction::{Compactor, Progress},
    control_metrics::ControlMetrics,
    disk::Disk,
    event::{Event, log},
    loss_proof::{LossProofs, Proof, identities_of, replaced_voters},
    member_log::MemberLog,
};

/// Time after which a request to join expires unless it is repeated. A joining member repeats it
/// every 200 ms; one that lost its disk again returns under another identity, and the request of
/// the earlier identity is never repeated.
const JOIN_REQUEST_TIMEOUT_MS: Millis = 2_000;

/// Time for which a member that leads alone asks the others whether their group has gone on without
/// it, before it adds members. It asks every 200 ms.
const ALONE_DELAY_MS: Millis = 500;

/// Interval at which a member repeats what it knows about lost disks of voters.
const LOSS_REPORT_INTERVAL_MS: Millis = 200;

/// Control member of this instance.
pub struct Member {
    instance: Name,
    identity: Name,
    configured: BTreeSet<Name>,
    disk: Box<dyn Disk>,
    state: State,
    /// Members that ask to join, with the time at which they asked last.
    joining: BTreeMap<Name, Millis>,
    loss_proofs: LossProofs,
    /// Time since which this member leads alone.
    alone_since: Option<Millis>,
    /// Time at which lost disks were last reported to other members.
    reported_at: Millis,
    /// Disks that may be lost at once.
    losses: usize,
    compactor: Compactor,
    /// Whether the last step left committed entries.
    lags: bool,
    seed: u64,
    timing: Timing,
    /// Whether this member may bootstrap the group.
    founds: bool,
    member_log: MemberLog,
}

/// How a member finds or bootstraps its group.
#[derive(Debug, Clone)]
pub struct GroupOptions {
    /// Instances of the members, as far as they are known.
    pub configured: BTreeSet<Name>,
    /// Whether this member may bootstrap the group: it has had none before.
    pub may_bootstrap: bool,
    /// Disks that may be lost at once.
    pub disk_losses: usize,
}

enum State {
    /// Looks for the group.
    Searching(Bootstrap),
    /// Knows the group; the flag says whether the member asks to be added to it.
    Member(Box<Raft>, bool),
}

/// Work that a step of the member leaves to its caller.
#[derive(Debug, Default)]
pub struct Work {
    /// State that replaces the machine.
    pub machine: Option<Machine>,
    /// Entries to apply.
    pub committed: Vec<Entry>,
    /// Whether committed entries are left for another step; until then the member does not lead.
    pub more: bool,
    /// Messages to send, with the instance of the member that each goes to.
    pub messages: Vec<(Name, ControlMessage)>,
}

impl Member {
    /// Opens the member's disk; also returns the machine of its snapshot.
    ///
    /// # Errors
    ///
    /// The disk cannot be read.
    pub fn open(
        instance: Name,
        founding: GroupOptions,
        mut disk: Box<dyn Disk>,
        timing: Timing,
        seed: u64,
        now: Millis,
    ) -> Result<(Member, Machine)> {
        let GroupOptions { configured, may_bootstrap: founds, disk_losses: losses } = founding;
        let loaded = disk.load()?;
        let identity = Name::try_from(format!("{instance}.{}", loaded.identity).as_str())
            .map_err(auburnlug_protocol::Error::from)?;
        let saved = loaded.saved;
        let count = saved.entries.len();
        let mut machine = Machine::default();
        let (mut snapshot_index, mut snapshot_bytes) = (0, 0);
        let state = match &saved.snapshot {
            None => {
                State::Searching(Bootstrap::new(instance.clone(), identity.clone(), &configured))
            }
            Some(snapshot) => {
                machine = decode(&snapshot.data)?;
                (snapshot_index, snapshot_bytes) = (snapshot.index, snapshot.data.len());
                let raft = raft(&identity, saved, timing, seed, now)?;
                let asks_to_join = !is_member(raft.members(), &identity);
                State::Member(Box::new(raft), asks_to_join)
            }
        };
        log(
            Event::DiskOpened,
            format_args!(
                "identity {identity}, {count} entries after index {snapshot_index}, \
                 log_bytes={} snapshot_bytes={snapshot_bytes}",
                disk.log_bytes()
            ),
        );
        let joining = BTreeMap::new();
        let searching = matches!(state, State::Searching(_));
        let member_log = MemberLog::new(identity.clone(), searching, now);
        let founds = founds && configured.contains(&instance);
        let mut member = Member {
            instance,
            identity,
            configured,
            disk,
            state,
            joining,
            loss_proofs: LossProofs::new(seed),
            alone_since: None,
            reported_at: 0,
            losses,
            compactor: Compactor::new(snapshot_index, snapshot_bytes),
            lags: false,
            seed,
            timing,
            founds,
            member_log,
        };
        if let State::Searching(bootstrap) = &member.state {
            let decision = bootstrap.start();
            member.apply_decision(decision, now)?;
        }
        Ok((member, machine))
    }

    /// Reports the state of the group to `metrics` from the next step on.
    pub fn set_metrics(&mut self, metrics: ControlMetrics) {
        self.member_log.set_metrics(metrics, self.losses);
    }

    /// Disk losses that the group tolerated at the last step; `None` unless this member leads.
    pub fn redundancy(&self) -> Option<Redundancy> {
        self.member_log.redundancy()
    }

    /// Whether this member leads and may act for the group at `now`.
    ///
    /// A leader that is the only one with the data may not: what it acknowledged would be on a single
    /// disk. One whose last step left committed entries may not either: its state is outdated.
    pub fn leads(&self, now: Millis) -> bool {
        !self.lags && self.raft().is_some_and(|raft| raft.lease_valid(now) && !raft.leads_alone())
    }

    /// End of the leader lease on the clock of the member; `None` unless this member may act for the
    /// group.
    pub fn lease_end(&self) -> Option<Millis> {
        self.raft().filter(|raft| !raft.leads_alone()).and_then(Raft::lease_end)
    }

    /// Whether this member leads as the only one with the data.
    pub fn leads_alone(&self) -> bool {
        self.raft().is_some_and(Raft::leads_alone)
    }

    /// Whether this member leads its term, with or without a valid lease.
    pub fn leads_term(&self) -> bool {
        self.raft().is_some_and(Raft::leads)
    }

    /// Whether the member is a voter or learner of the group, so that it applies its own log.
    pub fn is_in_group(&self) -> bool {
        self.raft().is_some_and(|raft| is_member(raft.members(), &self.identity))
    }

    /// Instance that leads, as far as known.
    pub fn leader(&self) -> Option<Name> {
        instance_of(self.raft()?.leader()?)
    }

    /// Index of the last entry of the member's log, committed or not.
    pub fn last_index(&self) -> Index {
        self.raft().map_or(0, Raft::last_index)
    }

    /// Raft term; 0 while the group is not known.
    pub fn term(&self) -> u64 {
        self.raft().map_or(0, Raft::term)
    }

    /// Whether a command of `bytes` may be proposed now, as far as its size is concerned.
    pub fn has_room(&self, bytes: usize) -> bool {
        self.raft().is_some_and(|raft| raft.has_room(bytes))
    }

    /// Proposes a command; `None` if this member does not lead, leads alone, or has no room for it.
    pub fn propose(&mut self, command: Command, now: Millis) -> Option<(u64, Index)> {
        let State::Member(raft, _) = &mut self.state else { return None };
        if raft.leads_alone() {
            return None;
        }
        let index = raft.propose(command, now).ok()?;
        Some((raft.term(), index))
    }

    /// Handles a message from the instance `from`; returns an answer to be sent back to it.
    ///
    /// # Errors
    ///
    /// The disk failed.
    pub fn receive(
        &mut self,
        from: &Name,
        message: ControlMessage,
        now: Millis,
    ) -> Result<Option<ControlMessage>> {
        self.member_log.record_message(from, &message, now);
        match message {
            ControlMessage::Raft { from: sender, to, message }
                if to == self.identity && instance_of(&sender).as_ref() == Some(from) =>
            {
                self.receive_raft(&sender, message, now);
            }
            ControlMessage::Probe { identity } => {
                let question = self.question(from, &identity, false);
                return Ok(Some(question.unwrap_or_else(|| self.probe_answer())));
            }
            ControlMessage::Probed { identity, members, last } => match &mut self.state {
                State::Searching(bootstrap) => {
                    let decision = bootstrap.record_answer(from, identity, members);
                    self.apply_decision(decision, now)?;
                }
                State::Member(raft, asks_to_join) => {
                    // A member that lags may not know this one yet; an unneeded request to join has
                    // no effect. One that waits to be added knows no members.
                    let unknown = |members: &Members| {
                        !members.voters.is_empty() && !is_member(members, &self.identity)
                    };
                    *asks_to_join |=
                        raft.leader().is_none() && members.as_ref().is_some_and(unknown);
                    // A voter with a later log has gone on in a group without this member.
                    let is_later = |members: &Members| {
                        members.voters.contains(&identity) && !members.is_voter(&self.identity)
                    };
                    if last > raft.last_position() && members.as_ref().is_some_and(is_later) {
                        raft.disregard_losses();
                    }
                    return Ok(self.question(from, &identity, false));
                }
            },
            ControlMessage::Join { identity } => {
                if let Some(question) = self.question(from, &identity, true) {
                    return Ok(Some(question));
                }
                self.join(from, identity, now);
                // Names the leader among the members.
                if !self.leads_term() {
                    return Ok(Some(self.probe_answer()));
                }
            }
            ControlMessage::Identify { nonce } => {
                let identity = self.identity.clone();
                return Ok(Some(ControlMessage::Identified { identity, nonce }));
            }
            ControlMessage::Identified { identity, nonce } => {
                return Ok(self.handle_identity(from, identity, nonce, now));
            }
            ControlMessage::Lost(lost) => self.record_losses(&lost, from),
            _ => {}
        }
        Ok(None)
    }

    /// Question to an instance that names its identity, unless there is nothing to learn from the
    /// answer: the instance has answered so already, or `may_join` is not set and the membership
    /// lists no other identity of it.
    fn question(&mut self, from: &Name, identity: &Name, may_join: bool) -> Option<ControlMessage> {
        let State::Member(raft, _) = &self.state else { return None };
        if instance_of(identity).as_ref() != Some(from) || *from == self.instance {
            return None;
        }
        let members = raft.members();
        let listed = identities_of(from, members);
        let is_news = |name: &Name| {
            name != identity && !raft.lost().contains(name) && !raft.disregards_losses()
        };
        let joins = may_join && raft.leads() && !self.loss_proofs.is_present(from, identity);
        (joins || listed.iter().any(is_news)).then(|| self.loss_proofs.ask(from, members, may_join))
    }

    /// Handles the answer to a question; returns the membership as the answer to what the instance
    /// asked before.
    fn handle_identity(
        &mut self,
        from: &Name,
        identity: Name,
        nonce: u64,
        now: Millis,
    ) -> Option<ControlMessage> {
        let State::Member(raft, _) = &self.state else { return None };
        let members = raft.members();
        let Proof { lost, joins } =
            self.loss_proofs.record_answer(from, &identity, nonce, members)?;
        self.record_losses(&lost, from);
        if joins {
            self.join(from, identity, now);
        }
        Some(self.probe_answer())
    }

    /// Records that members have lost their disks, as `source` says or has shown.
    fn record_losses(&mut self, lost: &BTreeSet<Name>, source: &Name) {
        let State::Member(raft, _) = &mut self.state else { return };
        for name in lost {
            if raft.record_loss(name) {
                self.member_log.record_loss(name, source, raft.members());
            }
        }
    }

    /// Messages that tell others which voters have lost their disks: the leader, which removes them,
    /// or the voters, one of which may lead.
    fn loss_reports(&mut self, now: Millis) -> Vec<(Name, ControlMessage)> {
        let State::Member(raft, _) = &self.state else { return Vec::new() };
        let members = raft.members();
        let lost = raft.lost().iter().filter(|name| members.is_voter(name));
        let lost: BTreeSet<Name> = lost.cloned().collect();
        let is_due = now >= self.reported_at + LOSS_REPORT_INTERVAL_MS;
        if lost.is_empty() || raft.leads() || !is_due {
            return Vec::new();
        }
        self.reported_at = now;
        let receivers = match raft.leader() {
            Some(leader) => vec![leader.clone()],
            None => members.all_voters().cloned().collect(),
        };
        let others = receivers.iter().filter(|name| !lost.contains(*name));
        let instances = others.filter_map(instance_of).filter(|name| *name != self.instance);
        instances.map(|instance| (instance, ControlMessage::Lost(lost.clone()))).collect()
    }

    /// Instances in the current membership.
    pub fn instances(&self) -> BTreeSet<Name> {
        let members = self.raft().map(|raft| raft.members().all().filter_map(instance_of));
        members.map(Iterator::collect).unwrap_or_default()
    }

    /// Instances that this member contacts: the leader, the members of the group, `seeds`, and those
    /// that other members have `named`.
    ///
    /// A member that hears from the leader knows the others, and names from elsewhere may be
    /// outdated. Without a leader, its own membership may be outdated.
    pub fn candidates(&self, seeds: &BTreeSet<Name>, named: &BTreeSet<Name>) -> BTreeSet<Name> {
        let leader = self.leader();
        let follows = self.is_in_group() && leader.is_some();
        let mut candidates = &self.instances() | seeds;
        // A log that lags may not list the leader, which needs the answers of this member.
        candidates.extend(leader);
        if !follows {
            candidates.extend(named.iter().cloned());
        }
        candidates
    }

    /// Replaces the set of configured members.
    pub fn set_configured(&mut self, configured: BTreeSet<Name>) {
        self.configured = configured;
    }

    /// Messages to the other members by which this one finds the group or asks to join it.
    pub fn discovery_messages(&self) -> Vec<(Name, ControlMessage)> {
        let message = match &self.state {
            State::Searching(_) => ControlMessage::Probe { identity: self.identity.clone() },
            State::Member(_, true) => ControlMessage::Join { identity: self.identity.clone() },
            // The others may have removed this member from the group.
            State::Member(raft, _) if raft.leader().is_none() || raft.leads_alone() => {
                ControlMessage::Probe { identity: self.identity.clone() }
            }
            State::Member(..) => return Vec::new(),
        };
        let others = self.configured.iter().filter(|name| **name != self.instance);
        others.map(|name| (name.clone(), message.clone())).collect()
    }

    /// Does the work due at `now`: Raft timers, membership changes and durable writes. Many
    /// committed entries, as after a start, take several steps.
    ///
    /// # Errors
    ///
    /// The disk failed.
    pub fn step(&mut self, now: Millis) -> Result<Work> {
        self.observe(now);
        if let Some(raft) = self.raft() {
            let replaced = replaced_voters(raft.members());
            let instance = self.instance.clone();
            self.record_losses(&replaced, &instance);
        }
        self.propose_membership(now);
        let mut work = Work { messages: self.loss_reports(now), ..Work::default() };
        let mut stored = false;
        loop {
            let State::Member(raft, _) = &mut self.state else { return Ok(work) };
            raft.tick(now);
            let ready = raft.ready();
            if ready == Ready::default() {
                break;
            }
            stored |= ready.needs_sync();
            work.more = raft.has_undelivered();
            self.persist(ready, &mut work)?;
            if work.more {
                break;
            }
        }
        self.lags = work.more;
        self.continue_compaction(stored)?;
        Ok(work)
    }

    /// Starts to replace old entries by a snapshot of `machine` once they are enough, by number or by
    /// size. Later steps write it to the disk.
    ///
    /// # Errors
    ///
    /// The state cannot be encoded.
    pub fn compact(&mut self, machine: &Machine) -> Result<()> {
        let State::Member(raft, _) = &self.state else { return Ok(()) };
        let log_bytes = self.disk.log_bytes();
        // A snapshot of a part of what is committed would free a part of the log only.
        if !self.lags
            && self.compactor.is_due(machine.index, log_bytes)
            && let Ok(snapshot) = raft.snapshot(machine.index, encode(machine)?)
        {
            self.compactor.begin(snapshot, log_bytes);
        }
        Ok(())
    }

    /// Does the next part of a compaction in a step that may have `stored` something.
    fn continue_compaction(&mut self, stored: bool) -> Result<()> {
        match self.compactor.advance(self.disk.as_mut(), stored)? {
            Progress::Pending => {}
            Progress::NoSpace => self.member_log.record_full_disk(self.disk.log_bytes()),
            Progress::Complete(snapshot) => self.forget_covered(snapshot),
        }
        Ok(())
    }

    /// Forgets the entries that a durable snapshot covers.
    fn forget_covered(&mut self, snapshot: Snapshot) {
        let State::Member(raft, _) = &mut self.state else { return };
        let (index, bytes) = (snapshot.index, snapshot.data.len());
        // Refused if a snapshot of the leader has replaced the log meanwhile.
        if raft.compact(snapshot).is_ok() {
            let log_bytes = self.disk.log_bytes();
            self.compactor.record_snapshot(index, bytes, log_bytes);
            self.member_log.record_compaction(index, log_bytes, bytes);
        }
    }

    fn raft(&self) -> Option<&Raft> {
        match &self.state {
            State::Member(raft, _) => Some(raft),
            State::Searching(_) => None,
        }
    }

    /// Logs changes of what this member knows about the group.
    fn observe(&mut self, now: Millis) {
        match &self.state {
            State::Searching(_) => self.member_log.observe(None, false, now),
            State::Member(raft, asks_to_join) => {
                self.member_log.observe(Some(raft), *asks_to_join, now)
            }
        }
    }

    fn probe_answer(&self) -> ControlMessage {
        let members = self.raft().map(|raft| raft.members().clone());
        let last = self.raft().map(Raft::last_position).unwrap_or_default();
        ControlMessage::Probed { identity: self.identity.clone(), members, last }
    }

    fn receive_raft(&mut self, sender: &Name, message: Message, now: Millis) {
        let State::Member(raft, asks_to_join) = &mut self.state else { return };
        raft.receive(sender, message, now);
        // Without a leader, the membership in the log may be outdated.
        let listed = raft.leader().is_some() && is_member(raft.members(), &self.identity);
        *asks_to_join = *asks_to_join && !listed;
    }

    fn apply_decision(&mut self, decision: BootstrapDecision, now: Millis) -> Result<()> {
        let members = match decision {
            BootstrapDecision::Wait => return Ok(()),
            BootstrapDecision::Bootstrap(_) if !self.founds => return Ok(()),
            BootstrapDecision::Bootstrap(members) => {
                log(Event::ControlGroupFormed, format_args!("{} members", members.voters.len()));
                members
            }
            BootstrapDecision::Adopt(members) => members,
            BootstrapDecision::Join => {
                log(Event::JoinRequested, format_args!("identity {}", self.identity));
                Members::default()
            }
        };
        let asks_to_join = !is_member(&members, &self.identity);
        let data = encode(&Machine::default())?;
        let snapshot = Snapshot { index: 0, term: 0, members, data };
        let ready = Ready { snapshot: Some(snapshot.clone()), ..Ready::default() };
        self.disk.store(&ready)?;
        self.disk.sync()?;
        let saved = Saved { snapshot: Some(snapshot), ..Saved::default() };
        let raft = raft(&self.identity, saved, self.timing, self.seed, now)?;
        self.state = State::Member(Box::new(raft), asks_to_join);
        Ok(())
    }

    fn join(&mut self, from: &Name, identity: Name, now: Millis) {
        let State::Member(raft, _) = &self.state else { return };
        if instance_of(&identity).as_ref() != Some(from) || !raft.lease_valid(now) {
            return;
        }
        self.member_log.record_join(from, &identity, raft.members());
        // An instance joins under one identity at a time; the disk of an earlier one is lost.
        self.joining.retain(|name, _| instance_of(name).as_ref() != Some(from));
        self.joining.insert(identity, now);
    }

    /// Proposes the next membership, if it should change.
    fn propose_membership(&mut self, now: Millis) {
        let State::Member(raft, _) = &mut self.state else { return };
        if !raft.lease_valid(now) {
            self.joining.clear();
            self.alone_since = None;
            return;
        }
        let asks_since = self.alone_since.filter(|_| raft.leads_alone());
        self.alone_since = raft.leads_alone().then(|| asks_since.unwrap_or(now));
        if self.alone_since.is_some_and(|since| now < since + ALONE_DELAY_MS) {
            return;
        }
        self.joining.retain(|_, last_request| now < *last_request + JOIN_REQUEST_TIMEOUT_MS);
        let group = ControlGroup {
            members: raft.members().clone(),
            leader: self.identity.clone(),
            joining: self.joining.keys().cloned().collect(),
            lost: raft.lost().clone(),
            progress: raft.progress(now),
            losses: self.losses,
        };
        self.member_log.observe_group(&group, now);
        if let Some(next) = group.next_members() {
            // Refused while an earlier membership change is in progress; the next step retries.
            let proposed = raft.propose_members(next.clone(), now);
            self.member_log.record_proposal(&group, &next, proposed, now);
        }
    }

    fn persist(&mut self, ready: Ready, work: &mut Work) -> Result<()> {
        if ready.needs_sync() {
            self.disk.store(&ready)?;
            self.disk.sync()?;
            let snapshot_bytes = self.compactor.snapshot_bytes();
            self.member_log.record_stored(self.disk.log_bytes(), snapshot_bytes);
        }
        let State::Member(raft, _) = &mut self.state else { return Ok(()) };
        raft.persisted();
        if let Some(snapshot) = &ready.snapshot {
            let (bytes, log_bytes) = (snapshot.data.len(), self.disk.log_bytes());
            self.compactor.record_snapshot(snapshot.index, bytes, log_bytes);
            work.machine = Some(decode(&snapshot.data)?);
            work.committed.clear();
        }
        work.committed.extend(ready.committed);
        for (to, message) in ready.messages {
            if let Some(instance) = instance_of(&to) {
                let from = self.identity.clone();
                work.messages.push((instance, ControlMessage::Raft { from, to, message }));
            }
        }
        Ok(())
    }
}

fn raft(identity: &Name, saved: Saved, timing: Timing, seed: u64, now: Millis) -> Result<Raft> {
    let members = saved.snapshot.as_ref().map(|s| s.members.clone()).unwrap_or_default();
    Ok(Raft::new(identity.clone(), members, saved, timing, seed, now)?)
}

/// Whether `identity` is a voter or learner.
fn is_member(members: &Members, identity: &Name) -> bool {
    members.all().any(|member| member == identity)
}
