//! Tasks of the control leader: granting leases, distributing commands and moving shards.

use std::collections::BTreeMap;

use auburnlug_coordination::{
    assign::{Assigner, ReleaseRequest},
    directory::Directory,
    lease::{Lease, LeaseTable, RenewalReply},
    observation::ObservationClock,
};
use auburnlug_protocol::peer::{ControlMessage, LeaseGrant, LeaseRenewal};
use auburnlug_state::{Command, Index, Machine, Millis, Name, Server};

use crate::{
    control::{AnnouncementResult, Input},
    control_core::Core,
    control_member::Member,
    control_propose::Waiter,
    event::{Event, log},
    socket,
};

/// Interval at which the leader plans shard moves.
const PLANNING_INTERVAL_MS: Millis = 50;

/// Time without a renewal after which the leader tests whether an instance refuses connections.
/// Longer than one renewal interval, so that a healthy instance is never probed.
const PROBE_DELAY_MS: Millis = 450;

/// Time without a renewal after which an unrecorded instance is removed from the table. Instances
/// are replaced under new names, so the table would grow without bound otherwise.
const UNRECORDED_EXPIRY_MS: Millis = 10_000;

/// State that only the control leader keeps. All times are observation times.
pub(crate) struct Leader {
    observation: ObservationClock,
    pub(crate) ledger: LeaseTable,
    directory: Directory,
    assigner: Assigner,
    /// Instances that renew with this leader, by name.
    subscribers: BTreeMap<Name, Subscriber>,
    last_planning: Millis,
    /// Index of the last command of the previous plan; the next plan waits until it is applied.
    planned_index: Index,
}

/// An instance that renews its lease with this leader and receives its updates.
#[derive(Debug)]
struct Subscriber {
    /// Link of the last renewal; 0 for the leader itself.
    link: u64,
    /// Index up to which the instance has been sent the commands.
    sent_index: Index,
    last_renewal: Millis,
    last_probe: Millis,
}

impl Core {
    /// Starts or ends the leader's tasks when leadership changes.
    pub(crate) fn check_leadership(&mut self, now: Millis) {
        let leads = self.member.as_ref().is_some_and(|member| member.leads(now));
        match (leads, self.leader.is_some()) {
            (true, false) => {
                let term = self.member.as_ref().map_or(0, Member::term);
                log(Event::LeaderElected, format_args!("term {term}"));
                self.leader = Some(Leader {
                    observation: ObservationClock::new(now),
                    ledger: LeaseTable::new(now),
                    directory: Directory::new(now),
                    assigner: Assigner::default(),
                    subscribers: BTreeMap::new(),
                    last_planning: now,
                    planned_index: 0,
                });
            }
            (false, true) => {
                log(Event::LeaderLost, format_args!("at index {}", self.machine.index));
                self.leader = None;
                self.granter = None;
                self.drop_proposals();
            }
            _ => {}
        }
    }

    /// Answers a renewal; `link` is 0 for the leader's own.
    pub(crate) fn handle_renewal(&mut self, link: u64, from: &Name, renew: LeaseRenewal) {
        let now = self.now();
        let leads = self.member.as_ref().is_some_and(|member| member.leads(now));
        if !leads || *from != renew.instance.name {
            return;
        }
        let Some(leader) = &mut self.leader else { return };
        let observed = leader.observation.at(now);
        let subscriber = Subscriber {
            link,
            sent_index: renew.index,
            last_renewal: observed,
            last_probe: observed,
        };
        leader.subscribers.insert(from.clone(), subscriber);
        for name in &renew.heard {
            leader.directory.record_announcement(name, observed);
        }
        let index = self.machine.index;
        let answer =
            leader.ledger.renew(&renew.instance, renew.sent, index, &self.machine, observed);
        let lease = match answer {
            RenewalReply::Granted(lease) => Some(lease),
            RenewalReply::Register => {
                self.propose(Command::Register(renew.instance), Waiter::Nobody);
                None
            }
            RenewalReply::Update(lease) => {
                self.propose(Command::Register(renew.instance), Waiter::Nobody);
                Some(lease)
            }
            RenewalReply::Expired | RenewalReply::Superseded => None,
        };
        if link != 0 {
            self.catch_up(from);
        }
        let Some(Lease { sent, duration: span, index }) = lease else { return };
        let grant = LeaseGrant { sent, span, index };
        if link == 0 {
            self.accept_grant(from.clone(), &grant);
        } else {
            self.links.send(link, ControlMessage::Grant(grant));
        }
    }

    /// Sends new commands to all instances that renew here.
    pub(crate) fn push_updates(&mut self) {
        let Some(leader) = &self.leader else { return };
        let names: Vec<Name> = leader
            .subscribers
            .iter()
            .filter(|(_, k)| k.link != 0)
            .map(|(n, _)| n.clone())
            .collect();
        for name in names {
            self.catch_up(&name);
        }
    }

    fn catch_up(&mut self, name: &Name) {
        let until = self.machine.index;
        let Some(subscriber) =
            self.leader.as_mut().and_then(|l| l.subscribers.get_mut(name.as_str()))
        else {
            return;
        };
        let (link, after) = (subscriber.link, subscriber.sent_index);
        if after >= until {
            return;
        }
        subscriber.sent_index = until;
        let covered = self.recent_commands.front().is_some_and(|(first, _)| *first <= after + 1);
        let message = if covered {
            // The commands are sorted by index, so a binary search skips those already sent.
            let start = self.recent_commands.partition_point(|(i, _)| *i <= after);
            let commands = self.recent_commands.range(start..).cloned().collect();
            ControlMessage::Update { after, until, commands }
        } else {
            ControlMessage::Snapshot(Box::new(Machine::clone(&self.machine)))
        };
        self.links.send(link, message);
    }

    /// Plans shard moves and probes unresponsive instances.
    pub(crate) fn run_leader_periodic(&mut self, now: Millis) {
        // The end of the leadership is not noticed until the member's next step.
        let leads = self.member.as_ref().is_some_and(|member| member.leads(now));
        let Some(leader) = self.leader.as_mut().filter(|_| leads) else { return };
        leader.observation.record_run(now);
        let observed = leader.observation.at(now);
        if observed < leader.last_planning + PLANNING_INTERVAL_MS
            || self.machine.index < leader.planned_index
        {
            return;
        }
        leader.last_planning = observed;
        let machine = &self.machine;
        leader.subscribers.retain(|name, subscriber| {
            machine.instances.contains_key(name)
                || observed < subscriber.last_renewal + UNRECORDED_EXPIRY_MS
        });
        let plan = leader.assigner.plan(&self.machine, &mut leader.ledger, observed);
        let mut commands = plan.commands;
        commands.extend(leader.directory.tick(&self.machine, observed));
        if let Some(release) = plan.release {
            self.request_release(release);
        }
        for command in commands {
            if !self.propose(command, Waiter::Nobody) {
                return;
            }
        }
        self.record_planned_index();
        self.probe_unresponsive(observed);
    }

    /// Ends the lease of an instance that reports that it stops.
    pub(crate) fn handle_leave(&mut self, from: &Name, incarnation: u64) {
        let now = self.now();
        if let Some(leader) = &mut self.leader {
            leader.ledger.record_stopped(from, incarnation, leader.observation.at(now));
            leader.subscribers.remove(from.as_str());
        }
    }

    /// Ends the lease of an instance that refused a connection, so its process has ended.
    pub(crate) fn handle_connect_refused(&mut self, instance: &Name, incarnation: u64) {
        let now = self.now();
        if let Some(leader) = &mut self.leader {
            leader.ledger.record_refused(instance, incarnation, leader.observation.at(now));
        }
    }

    /// Checks an announcement; on other members, forwards it to the leader if it changes the
    /// record.
    pub(crate) fn handle_announcement(&mut self, server: Server) -> AnnouncementResult {
        let now = self.now();
        let Some(leader) = &mut self.leader else {
            if self.machine.servers.get(&server.name) == Some(&server) {
                self.announced_servers.insert(server.name);
            } else {
                self.forward_announcement(server);
            }
            return AnnouncementResult::Accepted;
        };
        let observed = leader.observation.at(now);
        match leader.directory.announce(&server, &self.machine, observed) {
            Ok(commands) => {
                for command in commands {
                    self.propose(command, Waiter::Nobody);
                }
                AnnouncementResult::Accepted
            }
            Err(refusal) => {
                log(Event::AnnouncementRefused, format_args!("server {}: {refusal}", server.name));
                AnnouncementResult::Refused(refusal.label())
            }
        }
    }

    /// Asks an instance, which may be this one, to release a shard.
    fn request_release(&mut self, release: ReleaseRequest) {
        let ReleaseRequest { instance, shard, epoch } = release;
        if instance == self.instance.name {
            return self.drain_shard(shard, epoch);
        }
        let link =
            self.leader.as_ref().and_then(|l| l.subscribers.get(instance.as_str())).map(|k| k.link);
        if let Some(link) = link {
            self.links.send(link, ControlMessage::Release { shard, epoch });
        }
    }

    /// Forwards an announcement to the leader. Without a known leader it is dropped; servers repeat
    /// it every second.
    fn forward_announcement(&mut self, server: Server) {
        if let Some(leader) = self.known_leader() {
            self.links.send_member(&leader, ControlMessage::Announce(server));
        }
    }

    fn record_planned_index(&mut self) {
        let last = self.last_pending().unwrap_or(0);
        if let Some(leader) = &mut self.leader {
            leader.planned_index = last;
        }
    }

    /// Connects to instances that have stopped renewing by an observation time. A refused connection
    /// proves that the process has ended, so its shards move without waiting for the end of the lease.
    fn probe_unresponsive(&mut self, observed: Millis) {
        if !self.trust_refused {
            return;
        }
        let source = self.identity.source;
        let Some(leader) = &mut self.leader else { return };
        for (name, subscriber) in &mut leader.subscribers {
            if subscriber.link == 0
                || observed < subscriber.last_renewal.max(subscriber.last_probe) + PROBE_DELAY_MS
            {
                continue;
            }
            subscriber.last_probe = observed;
            let Some(instance) = self.machine.instances.get(name) else { continue };
            let (input, name, peer) = (self.input.clone(), name.clone(), instance.peer);
            let incarnation = instance.incarnation;
            tokio::spawn(async move {
                let Err(e) = socket::connect(source, peer).await else { return };
                if e.kind() == std::io::ErrorKind::ConnectionRefused {
                    let _ = input.send(Input::ConnectRefused { instance: name, incarnation }).await;
                }
            });
        }
    }
}
