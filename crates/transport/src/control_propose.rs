//! Proposals of this instance, and those that other instances forward to this leader.

use std::{collections::BTreeMap, mem};

use auburnlug_protocol::peer::ControlMessage;
use auburnlug_state::{Applied, Command, Index, Millis, Name, byte_size::ByteSize};
use tokio::sync::oneshot;

use crate::{
    control_core::Core,
    control_member::Member,
    event::{Event, log},
};

/// Time after which a proposal without a known effect is answered as unknown.
const PROPOSAL_TIMEOUT_MS: Millis = 3_000;

/// Recipient of the effect of a proposal.
pub(crate) enum Waiter {
    Local(oneshot::Sender<Option<Applied>>),
    Remote { link: u64, id: u64 },
    Nobody,
}

/// A proposal in this member's log that is not applied yet.
pub(crate) struct PendingProposal {
    pub(crate) term: u64,
    pub(crate) waiter: Waiter,
    since: Millis,
}

/// A proposal forwarded to the leader.
pub(crate) struct ForwardedProposal {
    leader: Name,
    pub(crate) reply: oneshot::Sender<Option<Applied>>,
    since: Millis,
}

impl Core {
    /// Index of the newest proposal that is not applied.
    pub(crate) fn last_pending(&self) -> Option<Index> {
        self.pending.last_key_value().map(|(index, _)| *index)
    }

    /// Appends a command to this member's log; false if this member does not lead or has no room.
    pub(crate) fn propose(&mut self, command: Command, waiter: Waiter) -> bool {
        let now = self.now();
        let leads = self.leader.is_some();
        let member = self.member.as_mut().filter(|_| leads);
        let bytes = command.byte_size();
        if member.as_ref().is_some_and(|member| !member.has_room(bytes)) {
            log(Event::ChangeRefused, format_args!("reason=changes_in_flight bytes={bytes}"));
        }
        let Some((term, index)) = member.and_then(|member| member.propose(command, now)) else {
            self.answer(waiter, None);
            return false;
        };
        if let Some(old) = self.pending.insert(index, PendingProposal { term, waiter, since: now })
        {
            self.answer(old.waiter, None);
        }
        true
    }

    /// Proposes a command here if this member leads, and forwards it to the leader otherwise.
    pub(crate) fn propose_or_forward(
        &mut self,
        command: Command,
        reply: oneshot::Sender<Option<Applied>>,
    ) {
        if self.leader.is_some() {
            self.propose(command, Waiter::Local(reply));
            return;
        }
        let leader = self.known_leader().filter(|leader| self.links.is_linked(leader));
        let Some(leader) = leader else {
            let _ = reply.send(None);
            return;
        };
        let id = self.next_proposal;
        self.next_proposal += 1;
        self.links.send_member(&leader, ControlMessage::Propose { id, command });
        self.forwarded.insert(id, ForwardedProposal { leader, reply, since: self.now() });
    }

    /// Instance that leads, as far as known. A member outside the group is not told of elections,
    /// so the leader that it last knew is ignored.
    pub(crate) fn known_leader(&self) -> Option<Name> {
        let member = self.member.as_ref().filter(|member| member.is_in_group());
        member.and_then(Member::leader).or_else(|| self.granter.clone())
    }

    /// Answers the proposals that cannot get another answer as unknown: those that timed out, and
    /// those forwarded to a member that is not linked or no longer leads.
    pub(crate) fn expire_proposals(&mut self, now: Millis) {
        let leader = self.known_leader();
        let expired = |sent: &ForwardedProposal| {
            now >= sent.since + PROPOSAL_TIMEOUT_MS
                || !self.links.is_linked(&sent.leader)
                || leader.as_ref().is_some_and(|leader| *leader != sent.leader)
        };
        let (unanswered, kept): (BTreeMap<_, _>, BTreeMap<_, _>) =
            mem::take(&mut self.forwarded).into_iter().partition(|(_, sent)| expired(sent));
        self.forwarded = kept;
        for (_, sent) in unanswered {
            let _ = sent.reply.send(None);
        }
        self.answer_unknown(|pending| now >= pending.since + PROPOSAL_TIMEOUT_MS);
    }

    /// Answers all proposals as unknown; they may still be committed by the next leader.
    pub(crate) fn drop_proposals(&mut self) {
        self.answer_unknown(|_| true);
    }

    fn answer_unknown(&mut self, selected: impl Fn(&PendingProposal) -> bool) {
        let (unknown, kept): (BTreeMap<_, _>, BTreeMap<_, _>) =
            mem::take(&mut self.pending).into_iter().partition(|(_, pending)| selected(pending));
        self.pending = kept;
        for (_, pending) in unknown {
            self.answer(pending.waiter, None);
        }
    }

    pub(crate) fn answer(&mut self, waiter: Waiter, applied: Option<Applied>) {
        match waiter {
            Waiter::Local(reply) => {
                let _ = reply.send(applied);
            }
            Waiter::Remote { link, id } => {
                self.links.send(link, ControlMessage::Proposed { id, applied })
            }
            Waiter::Nobody => {}
        }
    }
}
