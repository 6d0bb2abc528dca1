//! Asks the server at the address of a heartbeat whether it has the name that the heartbeat gives.
//!
//! [`auburnlug_coordination::registration`] says which heartbeats need this. The answer to the
//! heartbeat waits for it, so a server that starts at the address of a former one is recorded by its
//! first heartbeat.

use std::{sync::Arc, time::Duration};

use auburnlug_coordination::registration::Conflict;
use auburnlug_protocol::job::ErrorCode;
use auburnlug_state::{Name, Term};
use tokio::{sync::oneshot, time::timeout};

use crate::{
    connection::{Connection, Fault, Target},
    control::Control,
    control_handle::{ControlReply, Heartbeat},
    control_heartbeat::Unused,
    control_input::Input,
};

/// Longest wait for the answer of the server. Senders of heartbeats wait for one second.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(700);

/// Names that may be asked for at the same time.
const MAX_CONFIRMATIONS: usize = 64;

/// Answer of the server at the address of a heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HandshakeOutcome {
    /// It has the name.
    Accepted,
    /// It has another name, or no process listens there.
    Denied,
    /// It has not told.
    Unanswered,
}

/// A heartbeat whose sender was asked for.
pub(crate) struct Confirmation {
    /// Raft term in which the heartbeat arrived.
    term: Term,
    beat: Heartbeat,
    conflict: Conflict,
    outcome: HandshakeOutcome,
    reply: oneshot::Sender<ControlReply<Name>>,
}

impl Control {
    /// Asks the server at the address of a heartbeat for its name.
    pub(crate) fn confirm_heartbeat(
        &mut self,
        beat: Heartbeat,
        conflict: Conflict,
        reply: oneshot::Sender<ControlReply<Name>>,
    ) {
        let Some(leader) = &mut self.leader else { return };
        let id = beat.backend.id.clone();
        if leader.confirming.len() >= MAX_CONFIRMATIONS || !leader.confirming.insert(id) {
            let _ = reply.send(ControlReply::Busy);
            return;
        }
        let backend = &beat.backend;
        let target = Target {
            group: backend.group.clone(),
            server: backend.id.clone(),
            address: backend.address,
        };
        let name: Arc<str> = self.me.label.as_str().into();
        let (wire, input, term) = (self.wire.clone(), self.input.clone(), leader.term);
        tokio::spawn(async move {
            let opened = timeout(CONFIRMATION_TIMEOUT, Connection::open(wire, target, name)).await;
            let outcome = match opened {
                Ok(Ok(_)) => HandshakeOutcome::Accepted,
                Ok(Err(Fault::Refused | Fault::Opening(ErrorCode::WrongServer))) => {
                    HandshakeOutcome::Denied
                }
                Ok(Err(Fault::Unanswered | Fault::Opening(_) | Fault::Broken)) | Err(_) => {
                    HandshakeOutcome::Unanswered
                }
            };
            let confirmation = Confirmation { term, beat, conflict, outcome, reply };
            // The control thread has ended if the send fails; so has the wait for the reply.
            let _ = input.send(Input::HeartbeatConfirmed(Box::new(confirmation))).await;
        });
    }

    /// Uses a heartbeat that its server has confirmed, and refuses the others.
    pub(crate) fn handle_confirmation(&mut self, confirmation: Confirmation) {
        let Confirmation { term, beat, conflict, outcome, reply } = confirmation;
        let Some(leader) = self.leader.as_mut().filter(|leader| leader.term == term) else {
            let _ = reply.send(ControlReply::Unavailable);
            return;
        };
        leader.confirming.remove(&beat.backend.id);
        let Some(reply) = self.require_leadership(reply) else { return };
        if outcome == HandshakeOutcome::Accepted {
            self.handle_heartbeat(beat, true, reply);
        } else {
            self.refuse_heartbeat(&beat, Unused::Unconfirmed(conflict, outcome), reply);
        }
    }
}
