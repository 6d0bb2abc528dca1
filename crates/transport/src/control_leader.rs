//! Duties of the member that leads: leases, spreading of commands, moving of shards.

use std::collections::BTreeMap;

use auburnlug_coordination::{
    assign::{Assigner, Release},
    directory::Directory,
    lease::{Lease, Ledger, Renewal},
};
use auburnlug_protocol::peer::{Control, Grant, Renew};
use auburnlug_state::{Command, Index, Machine, Millis, Name, Server};

use crate::{
    control::{Announced, Input},
    control_core::Core,
    control_member::Member,
    control_propose::Waiter,
    event::{Event, log},
    socket,
};

/// Interval of the leader's planning, in milliseconds.
const PLAN: Millis = 50;

/// An instance that has not renewed for this long is checked for a refused connect, in
/// milliseconds. Longer than one renewal interval, so that a healthy instance is never checked.
const PROBE_AFTER: Millis = 450;

/// An instance that is not recorded and has not renewed for this long is forgotten, in
/// milliseconds. Instances are replaced under new names, so that the table would grow otherwise.
const FORGET_AFTER: Millis = 10_000;

/// What only a leader keeps.
pub(crate) struct Leader {
    pub(crate) ledger: Ledger,
    directory: Directory,
    assigner: Assigner,
    /// Link of the last renewal and the index sent there, by instance.
    known: BTreeMap<Name, Known>,
    planned: Millis,
    /// Plans are made only once the commands of the last one are applied.
    until: Index,
}

#[derive(Debug)]
struct Known {
    link: u64,
    index: Index,
    heard: Millis,
    probed: Millis,
}

impl Core {
    /// Starts or ends the leader's duties.
    pub(crate) fn check_leadership(&mut self, now: Millis) {
        let leads = self.member.as_ref().is_some_and(|member| member.leads(now));
        match (leads, self.leader.is_some()) {
            (true, false) => {
                let term = self.member.as_ref().map_or(0, Member::term);
                log(Event::LeaderElected, format_args!("term {term}"));
                self.leader = Some(Leader {
                    ledger: Ledger::new(now),
                    directory: Directory::new(now),
                    assigner: Assigner::default(),
                    known: BTreeMap::new(),
                    planned: now,
                    until: 0,
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
    pub(crate) fn renew(&mut self, link: u64, from: &Name, renew: Renew) {
        let now = self.now();
        let leads = self.member.as_ref().is_some_and(|member| member.leads(now));
        if !leads || *from != renew.instance.name {
            return;
        }
        let Some(leader) = &mut self.leader else { return };
        let known = Known { link, index: renew.index, heard: now, probed: now };
        leader.known.insert(from.clone(), known);
        for name in &renew.heard {
            leader.directory.hear(name, now);
        }
        let index = self.machine.index;
        let answer = leader.ledger.renew(&renew.instance, renew.sent, index, &self.machine, now);
        let lease = match answer {
            Renewal::Granted(lease) => Some(lease),
            Renewal::Register => {
                self.propose(Command::Register(renew.instance), Waiter::Nobody);
                None
            }
            Renewal::Update(lease) => {
                self.propose(Command::Register(renew.instance), Waiter::Nobody);
                Some(lease)
            }
            Renewal::Ended | Renewal::Old => None,
        };
        if link != 0 {
            self.catch_up(from);
        }
        let Some(Lease { sent, span, index }) = lease else { return };
        let grant = Grant { sent, span, index };
        if link == 0 {
            self.granted(from.clone(), &grant);
        } else {
            self.links.send(link, Control::Grant(grant));
        }
    }

    /// Sends new commands to all instances that renew here.
    pub(crate) fn push_updates(&mut self) {
        let Some(leader) = &self.leader else { return };
        let names: Vec<Name> =
            leader.known.iter().filter(|(_, k)| k.link != 0).map(|(n, _)| n.clone()).collect();
        for name in names {
            self.catch_up(&name);
        }
    }

    fn catch_up(&mut self, name: &Name) {
        let until = self.machine.index;
        let Some(known) = self.leader.as_mut().and_then(|l| l.known.get_mut(name.as_str())) else {
            return;
        };
        let (link, after) = (known.link, known.index);
        if after >= until {
            return;
        }
        known.index = until;
        let covered = self.recent.front().is_some_and(|(first, _)| *first <= after + 1);
        let message = if covered {
            // In the order of their indices, so that only the new ones are looked at.
            let start = self.recent.partition_point(|(i, _)| *i <= after);
            let commands = self.recent.range(start..).cloned().collect();
            Control::Update { after, until, commands }
        } else {
            Control::Snapshot(Box::new(Machine::clone(&self.machine)))
        };
        self.links.send(link, message);
    }

    /// Plans shard moves and checks silent instances.
    pub(crate) fn lead_periodic(&mut self, now: Millis) {
        let Some(leader) = &mut self.leader else { return };
        if now < leader.planned + PLAN || self.machine.index < leader.until {
            return;
        }
        leader.planned = now;
        let machine = &self.machine;
        leader.known.retain(|name, known| {
            machine.instances.contains_key(name) || now < known.heard + FORGET_AFTER
        });
        let plan = leader.assigner.plan(&self.machine, &mut leader.ledger, now);
        let mut commands = plan.commands;
        commands.extend(leader.directory.tick(&self.machine, now));
        if let Some(release) = plan.release {
            self.ask_release(release);
        }
        for command in commands {
            if !self.propose(command, Waiter::Nobody) {
                return;
            }
        }
        self.note_planned();
        self.probe_silent(now);
    }

    /// Ends the lease of an instance that says that it stops.
    pub(crate) fn left(&mut self, from: &Name, incarnation: u64) {
        let now = self.now();
        if let Some(leader) = &mut self.leader {
            leader.ledger.leave(from, incarnation, now);
            leader.known.remove(from.as_str());
        }
    }

    /// Ends the lease of an instance whose listener is gone.
    pub(crate) fn refused(&mut self, instance: &Name, incarnation: u64) {
        let now = self.now();
        if let Some(leader) = &mut self.leader {
            leader.ledger.refused(instance, incarnation, now);
        }
    }

    /// Checks an announcement; passes it to the leader if it changes the record.
    pub(crate) fn announced(&mut self, server: Server) -> Announced {
        let now = self.now();
        let Some(leader) = &mut self.leader else {
            if self.machine.servers.get(&server.name) == Some(&server) {
                self.heard.insert(server.name);
            } else {
                self.pass_on(server);
            }
            return Announced::Accepted;
        };
        match leader.directory.announce(&server, &self.machine, now) {
            Ok(commands) => {
                for command in commands {
                    self.propose(command, Waiter::Nobody);
                }
                Announced::Accepted
            }
            Err(refusal) => {
                log(Event::AnnouncementRefused, format_args!("server {}: {refusal}", server.name));
                Announced::Refused(refusal.label())
            }
        }
    }

    /// Asks an instance to give up a shard, or gives it up if it is this one.
    fn ask_release(&mut self, release: Release) {
        let Release { instance, shard, epoch } = release;
        if instance == self.instance.name {
            return self.release(shard, epoch);
        }
        let link =
            self.leader.as_ref().and_then(|l| l.known.get(instance.as_str())).map(|k| k.link);
        if let Some(link) = link {
            self.links.send(link, Control::Release { shard, epoch });
        }
    }

    /// Without a known leader the announcement is dropped; servers repeat it every second.
    fn pass_on(&mut self, server: Server) {
        if let Some(leader) = self.known_leader() {
            self.links.send_member(&leader, Control::Announce(server));
        }
    }

    fn note_planned(&mut self) {
        let last = self.last_pending().unwrap_or(0);
        if let Some(leader) = &mut self.leader {
            leader.until = last;
        }
    }

    /// Connects to instances that stopped renewing. A refused connect proves that the process is
    /// gone, so its shards move without waiting for the end of the lease.
    fn probe_silent(&mut self, now: Millis) {
        if !self.trust {
            return;
        }
        let source = self.identity.source;
        let Some(leader) = &mut self.leader else { return };
        for (name, known) in &mut leader.known {
            if known.link == 0 || now < known.heard.max(known.probed) + PROBE_AFTER {
                continue;
            }
            known.probed = now;
            let Some(instance) = self.machine.instances.get(name) else { continue };
            let (input, name, peer) = (self.input.clone(), name.clone(), instance.peer);
            let incarnation = instance.incarnation;
            tokio::spawn(async move {
                let Err(e) = socket::connect(source, peer).await else { return };
                if e.kind() == std::io::ErrorKind::ConnectionRefused {
                    let _ = input.send(Input::Refused { instance: name, incarnation }).await;
                }
            });
        }
    }
}
