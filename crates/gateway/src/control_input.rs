//! Inputs of the control thread.

use std::sync::Arc;

use auburnlug_protocol::fleet::FleetMessage;
use auburnlug_state::{Millis, Name, Term, byte_size::ByteSize};
use auburnlug_transport::byte_channel::Sender;

use crate::{
    control_confirm::Confirmation, control_handle::ControlRequest, control_probe::ProbeOutcome,
    wire::PromotionOutcome,
};

/// Size of an input without a message.
const SMALL_INPUT_BYTES: usize = 256;

/// An input of the control thread.
pub(crate) enum Input {
    /// A request from outside.
    Request(ControlRequest),
    /// This member opened a link to another member.
    MemberLinkOpened(Name, Sender<FleetMessage>),
    /// A link that this member opened has ended, or dialing failed.
    MemberLinkClosed(Name),
    /// Another instance opened a link.
    LinkAccepted(u64, Name, Sender<FleetMessage>),
    /// A link from another instance ended.
    LinkClosed(u64),
    /// A message, with the number of the link if another instance opened it.
    Message(Option<u64>, Name, FleetMessage),
    /// A probe of a server that was sent in this Raft term has finished.
    ProbeFinished(Term, ProbeOutcome),
    /// The server at the address of a heartbeat was asked for its name.
    HeartbeatConfirmed(Box<Confirmation>),
    /// The promoting authority answered the order that was sent at this time.
    PromotionAnswered { group: Arc<str>, server: Arc<str>, sent: Millis, outcome: PromotionOutcome },
}

impl ByteSize for Input {
    fn byte_size(&self) -> usize {
        let message = match self {
            Input::Message(_, _, message) => message.byte_size(),
            _ => 0,
        };
        SMALL_INPUT_BYTES + message
    }
}
