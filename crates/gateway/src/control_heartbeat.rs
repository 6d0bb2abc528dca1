//! Heartbeats of servers at a control member.

use std::collections::BTreeSet;

use auburnlug_coordination::heartbeats::{changes_nothing, receiver};
use auburnlug_state::{Name, fleet::FleetChange};
use auburnlug_transport::event::{Event, log};
use tokio::sync::oneshot;

use crate::{
    control::Control,
    control_handle::{ControlReply, Heartbeat},
};

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
            self.handle_heartbeat(beat, reply);
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
    fn handle_heartbeat(&mut self, beat: Heartbeat, reply: oneshot::Sender<ControlReply<Name>>) {
        let backend = &beat.backend;
        let recorded = self.machine.fleet.backends.get(&backend.id);
        let unchanged = recorded == Some(backend);
        let outdated = recorded.is_some_and(|recorded| recorded.run > backend.run);
        let now = self.now();
        let receiver = self.heartbeat_receiver(&backend.id);
        let elsewhere = receiver != self.me.name;
        let leader = self.leader.as_mut();
        let fresh = leader.is_some_and(|leader| leader.record_heartbeat(&beat, elsewhere, now));
        if outdated || !fresh || unchanged {
            let _ = reply.send(ControlReply::Done(receiver));
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
                    beat.claims_primary
                ),
            );
            let recorded = answer_with(receiver, reply);
            self.propose(FleetChange::Record(backend.clone()), Some(recorded));
        }
        if fresh && beat.claims_primary {
            self.check_primary_claim(&beat.backend);
        }
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
