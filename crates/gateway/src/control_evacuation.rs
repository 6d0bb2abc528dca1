//! Evacuation of failure domains at the control leader: requests of operators, and when an
//! evacuation is acknowledged.

use std::sync::Arc;

use auburnlug_state::{Millis, fleet::FleetChange};
use auburnlug_transport::event::{Event, log};
use tokio::sync::oneshot;

use crate::{
    control::{Control, PROPOSAL_TIMEOUT_MS},
    control_handle::ControlReply,
    control_lead::{ENTRY_EXPIRY_MS, Leader},
};

/// Number of requests that may wait for their acknowledgement; operators send few.
const MAX_WAITS: usize = 256;

/// Request for an evacuation that is recorded but not acknowledged.
pub(crate) struct EvacuationWait {
    domain: Arc<str>,
    recorded_at: Millis,
    reply: oneshot::Sender<ControlReply<()>>,
}

impl Leader {
    /// Keeps the reply to a request whose evacuation was recorded until entries obey it.
    pub(crate) fn wait_for_evacuation(
        &mut self,
        domain: &Arc<str>,
        reply: oneshot::Sender<ControlReply<()>>,
        now: Millis,
    ) {
        if self.evacuation_waits.len() >= MAX_WAITS {
            let _ = reply.send(ControlReply::Busy);
            return;
        }
        let domain = domain.clone();
        self.evacuation_waits.push(EvacuationWait { domain, recorded_at: now, reply });
    }
}

impl Control {
    /// Handles a request to start or end an evacuation. A repeated one is recorded again, so that
    /// its answer follows all earlier requests.
    pub(crate) fn handle_evacuation(
        &mut self,
        domain: Arc<str>,
        begin: bool,
        reply: oneshot::Sender<ControlReply<()>>,
    ) {
        let now = self.now();
        if !self.is_known_domain(&domain) {
            let Some(leader) = &self.leader else { return };
            // Entries that have not renewed with this leader yet may be the only ones there.
            let is_new = now < leader.leading_since + ENTRY_EXPIRY_MS;
            let detail = format_args!("domain={:?} leader_is_new={is_new}", &*domain);
            log(Event::EvacuationRefused, detail);
            let unknown = ControlReply::UnknownDomain;
            let _ = reply.send(if is_new { ControlReply::Unavailable } else { unknown });
            return;
        }
        self.propose(FleetChange::Evacuate { domain, begin }, Some(reply));
    }

    /// Whether a server, an entry, this member or an earlier request names a failure domain.
    fn is_known_domain(&self, domain: &str) -> bool {
        let fleet = self.fleet();
        *self.me.domain == *domain
            || fleet.evacuations.contains_key(domain)
            || fleet.backends.values().any(|backend| *backend.domain == *domain)
            || self.leader.as_ref().is_some_and(|leader| leader.has_seen_domain(domain))
    }

    /// Acknowledges evacuations that every entry obeys: no entry with a lease may own connections
    /// to a server there without having applied the evacuation.
    pub(crate) fn answer_evacuations(&mut self, now: Millis) {
        let is_durable = !self.member.leads_alone();
        let fleet = &self.machine.fleet;
        let Some(leader) = &mut self.leader else { return };
        for wait in std::mem::take(&mut leader.evacuation_waits) {
            let servers = fleet.backends.values().filter(|b| b.domain == wait.domain);
            let index = leader.evacuated_index();
            let mut released = servers.map(|b| leader.leases.is_released(&b.id, index, now));
            if !fleet.is_evacuated(&wait.domain) {
                // It was taken back meanwhile.
                let _ = wait.reply.send(ControlReply::Unavailable);
            } else if is_durable && released.all(|released| released) {
                let waited = now.saturating_sub(wait.recorded_at);
                log(
                    Event::EvacuationAcknowledged,
                    format_args!("domain={} waited={waited}", wait.domain),
                );
                let _ = wait.reply.send(ControlReply::Done(()));
            } else if now >= wait.recorded_at + PROPOSAL_TIMEOUT_MS {
                let _ = wait.reply.send(ControlReply::Unavailable);
            } else {
                leader.evacuation_waits.push(wait);
            }
        }
    }
}
