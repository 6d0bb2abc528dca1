//! Heartbeats of servers at a control member.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use auburnlug_coordination::{
    heartbeats::{changes_nothing, receiver},
    registration::{Conflict, Decision, Displaced, decide},
};
use auburnlug_state::{
    Name,
    fleet::{FleetChange, Incarnation},
};
use auburnlug_transport::event::{Event, log};
use tokio::sync::oneshot;

use crate::{
    control::Control,
    control_confirm::HandshakeOutcome,
    control_handle::{ControlReply, Heartbeat},
};

/// Names that are kept with the reason for which their last heartbeat was not used.
const MAX_UNUSED_SENDERS: usize = 1_024;

/// Why a heartbeat was not used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Unused {
    /// A later heartbeat of the server was used.
    Outdated,
    /// A later process of the server is recorded.
    EarlierRun(Incarnation),
    /// It takes the place of a recorded server, and the server at its address did not confirm it.
    Unconfirmed(Conflict, HandshakeOutcome),
}

impl Unused {
    /// Label for logs and metrics.
    fn label(&self) -> &'static str {
        match self {
            Unused::Outdated => "outdated",
            Unused::EarlierRun(_) => "earlier_run",
            Unused::Unconfirmed(conflict, _) => conflict.place.label(),
        }
    }
}

/// Names whose last heartbeat was not used, with the reason.
#[derive(Debug, Default)]
pub(crate) struct UnusedHeartbeats {
    reasons: BTreeMap<Arc<str>, &'static str>,
}

impl UnusedHeartbeats {
    /// Records the reason for a name; returns whether it is another one than before.
    fn insert(&mut self, name: &Arc<str>, reason: &'static str) -> bool {
        let changed = self.reasons.insert(name.clone(), reason) != Some(reason);
        if self.reasons.len() > MAX_UNUSED_SENDERS {
            self.reasons.pop_first();
        }
        changed
    }
}

impl Control {
    /// Answers a heartbeat that changes nothing; the leader handles the others.
    pub(crate) fn receive_heartbeat(
        &mut self,
        mut beat: Heartbeat,
        reply: oneshot::Sender<ControlReply<Name>>,
    ) {
        // Servers whose rate is not limited while they are cold need no record of it.
        beat.backend.cold &= self.fleet().limits_cold_servers(&beat.backend.group);
        let follows = self.leader.is_none() && self.member.leader().is_some();
        if follows && changes_nothing(self.fleet(), &beat.backend, beat.claims_primary) {
            let _ = reply.send(ControlReply::Done(self.me.name.clone()));
        } else if let Some(reply) = self.require_leadership(reply) {
            self.handle_heartbeat(beat, false, reply);
        }
    }

    /// Control member that is to receive the heartbeats of a server.
    fn heartbeat_receiver(&self, server: &str) -> Name {
        let members = self.member.instances();
        let reached = |name: &&Name| **name != self.me.name && self.has_member_link(name);
        let followers: BTreeSet<Name> = members.iter().filter(reached).cloned().collect();
        receiver(&self.me.name, &followers, server, self.fleet().backends.len()).clone()
    }

    /// Records a server if it has changed; the heartbeat is answered once the change is committed.
    /// `confirmed` tells that the server has confirmed the heartbeat.
    pub(crate) fn handle_heartbeat(
        &mut self,
        beat: Heartbeat,
        confirmed: bool,
        reply: oneshot::Sender<ControlReply<Name>>,
    ) {
        let Some(leader) = &self.leader else { return };
        let latest = leader.latest_heartbeat(&beat.backend.id);
        match decide(self.fleet(), &beat.backend, beat.sequence, latest, confirmed) {
            Decision::Unchanged => {
                let receiver = self.heartbeat_receiver(&beat.backend.id);
                if latest.is_none_or(|latest| latest < (beat.backend.run, beat.sequence)) {
                    self.use_heartbeat(&beat, &receiver);
                }
                let _ = reply.send(ControlReply::Done(receiver));
            }
            Decision::Record(displaced) => self.record_server(&beat, displaced, reply),
            Decision::Confirm(conflict) => self.confirm_heartbeat(beat, conflict, reply),
            Decision::EarlierRun(later) => self.handle_earlier_run(&beat, later, reply),
            Decision::Outdated => self.refuse_heartbeat(&beat, Unused::Outdated, reply),
        }
    }

    /// Records an earlier process of a server again if the later one has stayed silent.
    fn handle_earlier_run(
        &mut self,
        beat: &Heartbeat,
        later: Displaced,
        reply: oneshot::Sender<ControlReply<Name>>,
    ) {
        let now = self.now();
        let Some(leader) = &mut self.leader else { return };
        let (observed, run) = (leader.observation.at(now), beat.backend.run);
        if leader.earlier_runs.report(&beat.backend.id, run, beat.sequence, observed) {
            self.record_server(beat, vec![later], reply);
        } else {
            self.refuse_heartbeat(beat, Unused::EarlierRun(later.run), reply);
        }
    }

    /// Proposes the record of a server, and before it the removal of those whose place it takes.
    fn record_server(
        &mut self,
        beat: &Heartbeat,
        displaced: Vec<Displaced>,
        reply: oneshot::Sender<ControlReply<Name>>,
    ) {
        let backend = &beat.backend;
        let receiver = self.heartbeat_receiver(&backend.id);
        log(
            Event::BackendChanged,
            format_args!(
                "server={} group={} address={} domain={} draining={} run={} seq={} leads={} \
                 displaced={displaced:?}",
                backend.id,
                backend.group,
                backend.address,
                backend.domain,
                backend.draining,
                backend.run.0,
                beat.sequence,
                beat.claims_primary
            ),
        );
        for Displaced { id, run } in displaced {
            self.propose(FleetChange::Forget { id, run }, None);
        }
        let recorded = answer_with(receiver.clone(), reply);
        self.propose(FleetChange::Record(backend.clone()), Some(recorded));
        self.use_heartbeat(beat, &receiver);
    }

    /// Takes from a heartbeat that its server is alive, and whether it reports itself as primary.
    fn use_heartbeat(&mut self, beat: &Heartbeat, receiver: &Name) {
        let (now, elsewhere) = (self.now(), *receiver != self.me.name);
        let Some(leader) = &mut self.leader else { return };
        leader.record_heartbeat(beat, elsewhere, now);
        leader.unused.reasons.remove(&beat.backend.id);
        leader.earlier_runs.clear(&beat.backend.id);
        self.metrics.unused_senders.set(leader.unused.reasons.len() as i64);
        if beat.claims_primary {
            self.check_primary_claim(&beat.backend);
        }
    }

    /// Answers a heartbeat that is not used. Its sender must not take it for acknowledged: the
    /// system does not know what it says.
    pub(crate) fn refuse_heartbeat(
        &mut self,
        beat: &Heartbeat,
        unused: Unused,
        reply: oneshot::Sender<ControlReply<Name>>,
    ) {
        let _ = reply.send(ControlReply::Unused);
        let backend = &beat.backend;
        let is_known = self.fleet().backends.contains_key(&backend.id);
        let Some(leader) = &mut self.leader else { return };
        if !leader.unused.insert(&backend.id, unused.label()) {
            return;
        }
        self.metrics.unused_senders.set(leader.unused.reasons.len() as i64);
        self.metrics.count_unused_heartbeat(unused.label());
        log(
            Event::HeartbeatUnused,
            format_args!(
                "reason={} server={} known={is_known} group={} address={} draining={} run={} seq={} \
                 latest={:?} cause={unused:?}",
                unused.label(),
                backend.id,
                backend.group,
                backend.address,
                backend.draining,
                backend.run.0,
                beat.sequence,
                leader.latest_heartbeat(&backend.id),
            ),
        );
    }
}

/// Answers a heartbeat with its receiver once the change that it made is committed.
fn answer_with(
    receiver: Name,
    reply: oneshot::Sender<ControlReply<Name>>,
) -> oneshot::Sender<ControlReply<()>> {
    let (recorded, outcome) = oneshot::channel::<ControlReply<()>>();
    tokio::spawn(async move {
        let outcome = outcome.await.unwrap_or(ControlReply::Unavailable);
        let _ = reply.send(outcome.map(|()| receiver));
    });
    recorded
}
