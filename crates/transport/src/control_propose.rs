//! Proposals of this instance and of those that send theirs to this leader.

use std::{collections::BTreeMap, mem};

use auburnlug_protocol::peer::Control;
use auburnlug_state::{Applied, Command, Index, Millis, Name};
use tokio::sync::oneshot;

use crate::{control_core::Core, control_member::Member};

/// A proposal whose effect is not known after this long is answered as unknown, in milliseconds.
const PROPOSAL_LIMIT: Millis = 3_000;

/// Who waits for the effect of a proposal.
pub(crate) enum Waiter {
    Local(oneshot::Sender<Option<Applied>>),
    Remote { link: u64, id: u64 },
    Nobody,
}

/// Proposal in this member's log.
pub(crate) struct Pending {
    pub(crate) term: u64,
    pub(crate) waiter: Waiter,
    since: Millis,
}

/// Proposal sent to the leader.
pub(crate) struct Sent {
    leader: Name,
    pub(crate) reply: oneshot::Sender<Option<Applied>>,
    since: Millis,
}

impl Core {
    /// Index of the newest proposal that is not applied.
    pub(crate) fn last_pending(&self) -> Option<Index> {
        self.pending.last_key_value().map(|(index, _)| *index)
    }

    /// Proposes a command to the own log; false if this member does not lead.
    pub(crate) fn propose(&mut self, command: Command, waiter: Waiter) -> bool {
        let now = self.now();
        let leads = self.leader.is_some();
        let member = self.member.as_mut().filter(|_| leads);
        let Some((term, index)) = member.and_then(|member| member.propose(command, now)) else {
            self.answer(waiter, None);
            return false;
        };
        if let Some(old) = self.pending.insert(index, Pending { term, waiter, since: now }) {
            self.answer(old.waiter, None);
        }
        true
    }

    pub(crate) fn propose_anywhere(
        &mut self,
        command: Command,
        reply: oneshot::Sender<Option<Applied>>,
    ) {
        if self.leader.is_some() {
            self.propose(command, Waiter::Local(reply));
            return;
        }
        let leader = self.known_leader().filter(|leader| self.links.linked(leader));
        let Some(leader) = leader else {
            let _ = reply.send(None);
            return;
        };
        let id = self.next;
        self.next += 1;
        self.links.send_member(&leader, Control::Propose { id, command });
        self.remote.insert(id, Sent { leader, reply, since: self.now() });
    }

    /// Instance that leads, as far as known. A member outside the group hears of no election, so
    /// what it once knew doesn't count.
    pub(crate) fn known_leader(&self) -> Option<Name> {
        let member = self.member.as_ref().filter(|member| member.agrees());
        member.and_then(Member::leader).or_else(|| self.granter.clone())
    }

    /// Answers proposals that get no other answer any more: those that are too old, and those
    /// sent to a member that is not linked or no longer leads.
    pub(crate) fn expire_proposals(&mut self, now: Millis) {
        let leader = self.known_leader();
        let over = |sent: &Sent| {
            now >= sent.since + PROPOSAL_LIMIT
                || !self.links.linked(&sent.leader)
                || leader.as_ref().is_some_and(|leader| *leader != sent.leader)
        };
        let (lost, kept): (BTreeMap<_, _>, BTreeMap<_, _>) =
            mem::take(&mut self.remote).into_iter().partition(|(_, sent)| over(sent));
        self.remote = kept;
        for (_, sent) in lost {
            let _ = sent.reply.send(None);
        }
        self.forget_pending(|pending| now >= pending.since + PROPOSAL_LIMIT);
    }

    /// Answers all proposals as unknown; they may still be committed by the next leader.
    pub(crate) fn drop_proposals(&mut self) {
        self.forget_pending(|_| true);
    }

    fn forget_pending(&mut self, lost: impl Fn(&Pending) -> bool) {
        let (old, kept): (BTreeMap<_, _>, BTreeMap<_, _>) =
            mem::take(&mut self.pending).into_iter().partition(|(_, pending)| lost(pending));
        self.pending = kept;
        for (_, pending) in old {
            self.answer(pending.waiter, None);
        }
    }

    pub(crate) fn answer(&mut self, waiter: Waiter, applied: Option<Applied>) {
        match waiter {
            Waiter::Local(reply) => {
                let _ = reply.send(applied);
            }
            Waiter::Remote { link, id } => self.links.send(link, Control::Proposed { id, applied }),
            Waiter::Nobody => {}
        }
    }
}
