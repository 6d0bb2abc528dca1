//! Orders of promotion: each is recorded in the agreed state before it is sent to the authority.

use std::sync::Arc;

use auburnlug_state::{
    Millis,
    fleet::{FleetChange, GroupPrimary, OrderedPromotion},
};
use auburnlug_transport::event::{Event, log};

use crate::{
    control::Control,
    control_failover::LEAD_COMMIT_TIMEOUT_MS,
    control_input::Input,
    wire::{PromotionOrder, PromotionOutcome},
};

/// Time after which a promotion without effect is ordered again. A promoted server takes less time
/// to lead.
pub(crate) const PROMOTION_RETRY_DELAY_MS: Millis = 2_500;

impl Control {
    /// Proposes to record the promotion of `server`, or that the recorded one has had no effect.
    pub(crate) fn propose_order(
        &mut self,
        group: &Arc<str>,
        lead: &GroupPrimary,
        server: Option<&Arc<str>>,
        now: Millis,
    ) {
        let backend = server.and_then(|server| self.machine.fleet.backends.get(server));
        let ordered = backend.map(|b| OrderedPromotion { server: b.id.clone(), run: b.run });
        let Some(leader) = &mut self.leader else { return };
        let Some(failover) = leader.failovers.get_mut(group) else { return };
        let is_waiting = |(before, at): &(Option<OrderedPromotion>, Millis)| {
            *before == lead.ordered && now < at + LEAD_COMMIT_TIMEOUT_MS
        };
        if failover.proposal.as_ref().is_some_and(is_waiting) {
            return;
        }
        failover.proposal = Some((lead.ordered.clone(), now));
        // Until the removal is committed, no order may be sent.
        failover.withdrawn = ordered.is_none();
        let (group, before) = (group.clone(), lead.ordered.clone());
        self.propose(FleetChange::Order { group, after: lead.term, before, ordered }, None);
    }

    /// Orders the recorded promotion unless an order is pending or was sent less than
    /// [`PROMOTION_RETRY_DELAY_MS`] ago.
    pub(crate) fn order_promotion(&mut self, group: &Arc<str>, server: &Arc<str>, now: Millis) {
        let Some(leader) = &mut self.leader else { return };
        let Some(failover) = leader.failovers.get_mut(group) else { return };
        let retries_early =
            failover.ordered_at > 0 && now < failover.ordered_at + PROMOTION_RETRY_DELAY_MS;
        if failover.order_pending || retries_early {
            return;
        }
        failover.order_pending = true;
        failover.ordered_at = now;
        let order = PromotionOrder {
            group: group.clone(),
            server: server.clone(),
            lease_holder: self.me.label.clone(),
            fencing_token: leader.term,
        };
        self.metrics.promotion_orders.inc();
        let ordering = self.promoter.promote(order, leader.lease.clone());
        let (input, group, server) = (self.input.clone(), group.clone(), server.clone());
        self.orders.spawn(async move {
            let outcome = ordering.await;
            let _ =
                input.send(Input::PromotionAnswered { group, server, sent: now, outcome }).await;
        });
    }

    /// Handles the answer to the order of promotion that was sent at `sent`.
    pub(crate) fn handle_promotion_answer(
        &mut self,
        group: &Arc<str>,
        server: &Arc<str>,
        sent: Millis,
        outcome: PromotionOutcome,
    ) {
        log(
            Event::PromotionAnswered,
            format_args!("group={group} server={server} outcome={outcome:?}"),
        );
        let Some(leader) = &mut self.leader else { return };
        let Some(failover) = leader.failovers.get_mut(group) else { return };
        // A late answer to an order of an earlier failover says nothing of the present one.
        if failover.ordered_at != sent {
            return;
        }
        failover.order_pending = false;
        let now = self.clock.now();
        match outcome {
            // An order without an answer may reach the authority late.
            PromotionOutcome::Accepted | PromotionOutcome::Unknown => {
                failover.effective_until = now + PROMOTION_RETRY_DELAY_MS;
            }
            PromotionOutcome::NotRunning => failover.withdrawn = true,
            PromotionOutcome::Limited => failover.ordered_at = 0,
        }
    }
}
