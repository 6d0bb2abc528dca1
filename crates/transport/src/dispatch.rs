//! Assigns free slots on database servers to queued requests.

use std::{cell::Cell, collections::BTreeSet, sync::Arc, time::Duration};

use auburnlug_coordination::{
    queue::QueueParams,
    route::{Candidate, Choice, Requirements},
};
use auburnlug_protocol::peer::Reason;
use auburnlug_state::{Millis, Name};
use tokio::{
    sync::oneshot,
    time::{Instant, sleep, timeout_at},
};

use crate::{
    forwarder::lock,
    group::{Core, Group},
    member::Member,
};

/// A request that waits for a slot.
pub(crate) struct QueuedRequest {
    need: Requirements,
    /// Servers on which an attempt of the request failed.
    avoid: BTreeSet<Name>,
    grant: oneshot::Sender<Result<SlotGrant, Reason>>,
    /// When it began to wait for a replica to catch up.
    paused_since: Cell<Option<Millis>>,
}

/// A slot on a server; dropping it frees the slot.
pub(crate) struct SlotGrant {
    group: Arc<Group>,
    pub member: Arc<Member>,
}

impl Drop for SlotGrant {
    fn drop(&mut self) {
        lock(&self.member.observed).running -= 1;
        self.group.dispatch_queued();
    }
}

impl Group {
    /// Waits for a slot on a server that meets `need`, preferably one not in `avoid`.
    ///
    /// # Errors
    ///
    /// The reason why the request got no slot.
    pub(crate) async fn acquire(
        self: &Arc<Self>,
        need: Requirements,
        avoid: BTreeSet<Name>,
        place: QueueParams,
        deadline: Instant,
    ) -> Result<SlotGrant, Reason> {
        let (grant, granted) = oneshot::channel();
        let (ticket, shed) = {
            let mut core = lock(&self.core);
            if *self.closed.borrow() {
                return Err(Reason::Owner);
            }
            let pushed = core
                .queue
                .push(QueuedRequest { need, avoid, grant, paused_since: Cell::new(None) }, place);
            (pushed.ticket, pushed.shed)
        };
        if let Some(shed) = shed {
            // The request may have timed out at the same moment.
            let _ = shed.grant.send(Err(Reason::Overload));
        }
        self.dispatch_queued();
        match timeout_at(deadline, granted).await {
            Ok(result) => result.unwrap_or(Err(Reason::Owner)),
            Err(_) => {
                let mut core = lock(&self.core);
                let removed = core.queue.remove(ticket);
                let reason = self.timeout_reason(&core);
                drop(core);
                drop(removed);
                Err(reason)
            }
        }
    }

    /// Assigns free slots to queued requests.
    pub(crate) fn dispatch_queued(self: &Arc<Self>) {
        let mut grants = Vec::new();
        let mut retry_delay: Option<Millis> = None;
        let (expired, reason) = {
            let mut core = lock(&self.core);
            if core.queue.is_empty() {
                return;
            }
            let now = self.control.now();
            let expired = core.queue.expire(now);
            let reason = self.timeout_reason(&core);
            let mut candidates = self.list_candidates(&core, now);
            loop {
                let mut chosen = None;
                let mut fits =
                    |request: &QueuedRequest| match self.choose_server(request, &candidates, now) {
                        Choice::Server(name) => {
                            chosen = Some(name);
                            true
                        }
                        Choice::Pause(delay) => {
                            retry_delay = Some(retry_delay.map_or(delay, |known| known.min(delay)));
                            false
                        }
                        Choice::Wait => false,
                    };
                let Some(request) = core.queue.pop(&mut fits) else { break };
                if request.grant.is_closed() {
                    continue;
                }
                let member = chosen.as_ref().and_then(|name| core.members.get(name)).cloned();
                let Some(member) = member else { break };
                lock(&member.observed).running += 1;
                if let Some(found) = candidates.iter_mut().find(|item| item.name == member.name) {
                    found.free_slots -= 1;
                }
                grants.push((request.grant, SlotGrant { group: self.clone(), member }));
            }
            (expired, reason)
        };
        // Sent outside the lock: if the request has timed out, its grant is dropped, which takes
        // the lock again.
        for (sender, grant) in grants {
            let _ = sender.send(Ok(grant));
        }
        for request in expired {
            let _ = request.grant.send(Err(reason));
        }
        if let Some(delay) = retry_delay {
            let group = self.clone();
            tokio::spawn(async move {
                sleep(Duration::from_millis(delay)).await;
                group.dispatch_queued();
            });
        }
    }

    /// Excludes `member` from selection for `backoff` milliseconds.
    pub(crate) fn suspend(self: &Arc<Self>, member: &Member, backoff: Millis) {
        lock(&member.observed).unavailable_until = self.control.now() + backoff;
        let group = self.clone();
        tokio::spawn(async move {
            sleep(Duration::from_millis(backoff)).await;
            group.dispatch_queued();
        });
    }

    /// Reason why a request that reached its deadline got no slot.
    fn timeout_reason(&self, core: &Core) -> Reason {
        let now = self.control.now();
        let primary = core.failover.primary().and_then(|name| core.members.get(name));
        let open = primary.is_some_and(|member| member.accepts_work(&lock(&member.observed), now));
        if open { Reason::Overload } else { Reason::Primary }
    }

    fn choose_server(
        &self,
        request: &QueuedRequest,
        candidates: &[Candidate],
        now: Millis,
    ) -> Choice {
        let since = request.paused_since.get();
        let mut need = request.need.clone();
        need.waited = since.map_or(0, |since| now.saturating_sub(since));
        let others = candidates.iter().filter(|item| !request.avoid.contains(&item.name));
        let choice = match request.avoid.is_empty() {
            true => Choice::Wait,
            false => self.route.choose(&need, &others.cloned().collect::<Vec<_>>(), now),
        };
        // Falls back to a server that failed before: it may be the only primary.
        let choice = match choice {
            Choice::Wait => self.route.choose(&need, candidates, now),
            choice => choice,
        };
        if matches!(choice, Choice::Pause(_)) && since.is_none() {
            request.paused_since.set(Some(now));
        }
        choice
    }

    fn list_candidates(&self, core: &Core, now: Millis) -> Vec<Candidate> {
        let primary = core.failover.primary();
        let reported = primary.map(|name| core.freshness.position(name)).unwrap_or_default();
        let describe = |member: &Arc<Member>| {
            let seen = lock(&member.observed);
            let slots = member.slots();
            Candidate {
                name: member.name.clone(),
                primary: primary == Some(&member.name),
                accepting: member.accepts_work(&seen, now),
                applied: seen.applied(),
                fresh_until: core.freshness.fresh_until(&member.name),
                free_slots: slots.saturating_sub(seen.running),
                slots,
                latency: seen.latency,
                domain: member.domain.clone(),
                catch_up_time: core.freshness.catch_up_time(&member.name, reported, now),
            }
        };
        core.members.values().map(describe).collect()
    }
}
