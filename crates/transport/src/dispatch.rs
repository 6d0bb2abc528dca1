//! Gives slots on database servers to waiting requests.

use std::{cell::Cell, collections::BTreeSet, sync::Arc, time::Duration};

use auburnlug_coordination::{
    queue::Place,
    route::{Candidate, Choice, Need},
};
use auburnlug_protocol::peer::Reason;
use auburnlug_state::{Millis, Name};
use tokio::{
    sync::oneshot,
    time::{Instant, sleep, timeout_at},
};

use crate::{
    forward::lock,
    group::{Core, Group},
    member::Member,
};

/// A request that waits for a slot.
pub(crate) struct Waiting {
    need: Need,
    /// Servers that failed for it.
    avoid: BTreeSet<Name>,
    grant: oneshot::Sender<Result<Grant, Reason>>,
    /// When it was first told to wait for a replica to catch up.
    paused: Cell<Option<Millis>>,
}

/// A slot on a server.
pub(crate) struct Grant {
    group: Arc<Group>,
    pub member: Arc<Member>,
}

impl Drop for Grant {
    fn drop(&mut self) {
        lock(&self.member.seen).running -= 1;
        self.group.pump();
    }
}

impl Group {
    /// Waits for a slot on a server that meets `need`, other than those in `avoid`.
    ///
    /// # Errors
    ///
    /// The reason why the request did not get one.
    pub(crate) async fn acquire(
        self: &Arc<Self>,
        need: Need,
        avoid: BTreeSet<Name>,
        place: Place,
        deadline: Instant,
    ) -> Result<Grant, Reason> {
        let (grant, waiting) = oneshot::channel();
        let (ticket, shed) = {
            let mut core = lock(&self.core);
            if *self.closed.borrow() {
                return Err(Reason::Owner);
            }
            let pushed =
                core.queue.push(Waiting { need, avoid, grant, paused: Cell::new(None) }, place);
            (pushed.ticket, pushed.shed)
        };
        if let Some(shed) = shed {
            // The request may have given up at the same moment.
            let _ = shed.grant.send(Err(Reason::Overload));
        }
        self.pump();
        match timeout_at(deadline, waiting).await {
            Ok(result) => result.unwrap_or(Err(Reason::Owner)),
            Err(_) => {
                let mut core = lock(&self.core);
                let removed = core.queue.remove(ticket);
                let reason = self.late(&core);
                drop(core);
                drop(removed);
                Err(reason)
            }
        }
    }

    /// Gives free slots to waiting requests.
    pub(crate) fn pump(self: &Arc<Self>) {
        let mut grants = Vec::new();
        let mut pause: Option<Millis> = None;
        let (expired, reason) = {
            let mut core = lock(&self.core);
            if core.queue.is_empty() {
                return;
            }
            let now = self.control.now();
            let expired = core.queue.expire(now);
            let reason = self.late(&core);
            let mut candidates = self.candidates(&core, now);
            loop {
                let mut chosen = None;
                let mut fits = |waiting: &Waiting| match self.choose(waiting, &candidates, now) {
                    Choice::Server(name) => {
                        chosen = Some(name);
                        true
                    }
                    Choice::Pause(span) => {
                        pause = Some(pause.map_or(span, |known| known.min(span)));
                        false
                    }
                    Choice::Wait => false,
                };
                let Some(waiting) = core.queue.pop(&mut fits) else { break };
                if waiting.grant.is_closed() {
                    continue;
                }
                let member = chosen.as_ref().and_then(|name| core.members.get(name)).cloned();
                let Some(member) = member else { break };
                lock(&member.seen).running += 1;
                if let Some(found) = candidates.iter_mut().find(|item| item.name == member.name) {
                    found.free -= 1;
                }
                grants.push((waiting.grant, Grant { group: self.clone(), member }));
            }
            (expired, reason)
        };
        // Outside the lock: a request that gave up drops its grant, which takes the lock again.
        for (sender, grant) in grants {
            let _ = sender.send(Ok(grant));
        }
        for waiting in expired {
            let _ = waiting.grant.send(Err(reason));
        }
        if let Some(span) = pause {
            let group = self.clone();
            tokio::spawn(async move {
                sleep(Duration::from_millis(span)).await;
                group.pump();
            });
        }
    }

    /// Keeps `member` from being chosen for `pause`, in milliseconds.
    pub(crate) fn suspend(self: &Arc<Self>, member: &Member, pause: Millis) {
        lock(&member.seen).closed = self.control.now() + pause;
        let group = self.clone();
        tokio::spawn(async move {
            sleep(Duration::from_millis(pause)).await;
            group.pump();
        });
    }

    /// Why a request whose wait is over got no slot.
    fn late(&self, core: &Core) -> Reason {
        let now = self.control.now();
        let primary = core.failover.primary().and_then(|name| core.members.get(name));
        let open = primary.is_some_and(|member| member.open(&lock(&member.seen), now));
        if open { Reason::Overload } else { Reason::Primary }
    }

    fn choose(&self, waiting: &Waiting, candidates: &[Candidate], now: Millis) -> Choice {
        let since = waiting.paused.get();
        let mut need = waiting.need.clone();
        need.paused = since.map_or(0, |since| now.saturating_sub(since));
        let others = candidates.iter().filter(|item| !waiting.avoid.contains(&item.name));
        let choice = match waiting.avoid.is_empty() {
            true => Choice::Wait,
            false => self.route.choose(&need, &others.cloned().collect::<Vec<_>>(), now),
        };
        // A server that failed is better than none: the group may have only this primary.
        let choice = match choice {
            Choice::Wait => self.route.choose(&need, candidates, now),
            choice => choice,
        };
        if matches!(choice, Choice::Pause(_)) && since.is_none() {
            waiting.paused.set(Some(now));
        }
        choice
    }

    fn candidates(&self, core: &Core, now: Millis) -> Vec<Candidate> {
        let primary = core.failover.primary();
        let reported = primary.map(|name| core.freshness.position(name)).unwrap_or_default();
        let describe = |member: &Arc<Member>| {
            let seen = lock(&member.seen);
            let slots = member.slots();
            Candidate {
                name: member.name.clone(),
                primary: primary == Some(&member.name),
                open: member.open(&seen, now),
                applied: seen.applied(),
                fresh: core.freshness.fresh(&member.name),
                free: slots.saturating_sub(seen.running),
                slots,
                latency: seen.latency,
                domain: member.domain.clone(),
                behind: core.freshness.behind(&member.name, reported, now),
            }
        };
        core.members.values().map(describe).collect()
    }
}
