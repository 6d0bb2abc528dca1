//! Monitors primaries and replaces them by external failover: probes servers, runs the steps of a
//! failover and orders the promotion from the authority.

use std::{
    collections::VecDeque,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use auburnlug_coordination::external_failover::{
    Cause, Facts, Member, Ordered, Status, Step, Watch, can_replace, next_step, replacement_cause,
};
use auburnlug_protocol::{fleet::PositionSample, job::ErrorCode};
use auburnlug_state::{
    Millis, Position, Term,
    departures::Departures,
    fleet::{Backend, FleetChange, GroupPrimary, OrderedPromotion},
};
use auburnlug_transport::event::{Event, log};
use tokio::time::timeout;

use crate::{
    connection::{Connection, Fault, Target},
    control::{Control, Input},
    wire::{PromotionOrder, PromotionOutcome, ServerCall},
};

/// Interval between two probes of a primary.
const STATUS_POLL_INTERVAL_MS: Millis = 250;

/// Interval between two probes of a server while its group is in failover.
pub(crate) const FAILOVER_POLL_INTERVAL_MS: Millis = 60;

/// Longest wait for the answer to a probe; a loaded server queues probes.
const PROBE_TIMEOUT: Duration = Duration::from_millis(450);

/// Statuses kept per server: as many as arrive between two renewals of an entry, with one late.
const MAX_STATUS_SAMPLES: usize = 4;

/// Time without an answer after which a server counts as unreachable.
const REACHABLE_TIMEOUT_MS: Millis = 1_000;

/// Time after which a promotion without effect is ordered again. A promoted server takes less time
/// to lead.
const PROMOTION_RETRY_DELAY_MS: Millis = 2_500;

/// Interval between two log lines about the same failover step.
const WAIT_LOG_INTERVAL_MS: Millis = 1_000;

/// Connection to a server and its last known state.
#[derive(Default)]
pub(crate) struct ServerMonitor {
    connection: Option<Connection>,
    probing: bool,
    probed_at: Millis,
    /// Time of the last answer; 0 if there was none.
    answered_at: Millis,
    refusals: u32,
    timeouts: u32,
    /// Last status, with the time of the probe.
    last_status: Option<(Status, Millis)>,
    /// Recent statuses, oldest first, each with the times of the probe and of its answer.
    recent_statuses: VecDeque<(Status, Millis, Millis)>,
    /// Term below which the server was fenced by a pause or demotion; 0 if it is not fenced.
    fenced_term: Term,
    /// Times of the probe that fenced it and of its answer.
    fenced_at: (Millis, Millis),
    /// Position that its log includes.
    holds: Position,
    /// Highest position that it has reported.
    pub(crate) reported: Position,
    /// Whether the server is paused and must be resumed once a new primary leads.
    paused: bool,
}

/// External failover of a database group that is in progress.
pub(crate) struct ExternalFailover {
    cause: Cause,
    started_at: Millis,
    /// Recorded promotion that the last proposal replaces, with the time of the proposal.
    proposal: Option<(Option<OrderedPromotion>, Millis)>,
    /// Time of the last order; 0 before the first.
    ordered_at: Millis,
    /// Whether an order is unanswered.
    order_pending: bool,
    /// Time until which an answered order, or one of an earlier control leader, may take effect.
    effective_until: Millis,
    /// Whether the recorded promotion is given up: its server is not running.
    withdrawn: bool,
    last_log: (String, Millis),
}

/// Request that a probe sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ProbeAction {
    Status,
    Pause(Term),
    Resume,
    Demote(Term),
}

/// Result of a probe.
pub(crate) struct ProbeOutcome {
    group: Arc<str>,
    pub(crate) server: Arc<str>,
    pub(crate) action: ProbeAction,
    connection: Option<Connection>,
    pub(crate) outcome: Result<Option<Status>, Fault>,
    /// Position that the answer tells; a server that refuses to report its status tells one too.
    position: Option<Position>,
    pub(crate) refusal: Option<ErrorCode>,
}

impl ServerMonitor {
    /// Known facts about the server, for a failover. A status counts as settled if it was asked for
    /// at `settled_at`, or after this server was fenced in `term`.
    fn member(
        &self,
        backend: &Backend,
        term: Term,
        settled_at: Option<Millis>,
        now: Millis,
    ) -> Member {
        let answered = self.answered_at > 0 && now < self.answered_at + REACHABLE_TIMEOUT_MS;
        let fenced_at = (self.fenced_term > term).then_some(self.fenced_at.0);
        let since = fenced_at.into_iter().chain(settled_at).min();
        let is_settled = |(_, asked): (Status, Millis)| since.is_some_and(|since| asked >= since);
        Member {
            draining: backend.draining,
            reachable: answered && self.refusals == 0,
            status: self.last_status.map(|(status, _)| status),
            settled: self.last_status.is_some_and(is_settled),
            holds: self.holds,
            fenced: self.fenced_term,
        }
    }

    /// End of the log of a server that was paused or demoted in `term`: it receives nothing more.
    pub(crate) fn fenced_end(&self, term: Term) -> Option<Position> {
        let status = self.last_status.filter(|_| self.fenced_term > term);
        status.map(|(status, _)| status.received)
    }

    /// End of the log of the primary of `term`, if it was asked at `since` or later.
    pub(crate) fn leading_end(&self, term: Term, since: Millis) -> Option<Position> {
        let (status, asked) = self.last_status?;
        (status.leads && status.term == term && asked >= since).then_some(status.received)
    }

    /// Records that the server accepted a pause or demotion.
    fn fence(&mut self, term: Term, now: Millis) {
        if self.fenced_term != term {
            self.fenced_at = (self.probed_at, now);
        }
        self.fenced_term = term;
    }
}

impl Control {
    /// Probes a server that reports itself as primary but is not recorded as such; its status tells
    /// the term.
    pub(crate) fn check_primary_claim(&mut self, backend: &Backend) {
        let lead = self.fleet().leads.get(&backend.group);
        if lead.is_none_or(|lead| lead.primary.as_ref() != Some(&backend.id)) {
            self.probe(&backend.id.clone(), ProbeAction::Status);
        }
    }

    /// Probes primaries, and starts and advances failovers.
    pub(crate) fn monitor_groups(&mut self, now: Millis) {
        if !self.member.leads(now) {
            return;
        }
        self.probe_unknown_primaries(now);
        self.drop_covered_departures();
        let groups: Vec<_> = self.fleet().leads.clone().into_iter().collect();
        for (group, lead) in groups {
            self.cover_departures(&group, &lead, now);
            let Some(leader) = &self.leader else { return };
            if leader.failovers.contains_key(&group) {
                self.advance_failover(&group, &lead, now);
                continue;
            }
            match lead.primary.clone() {
                Some(primary) => self.monitor_primary(&group, &lead, &primary, now),
                // An earlier control leader may have ordered a promotion that takes effect late, so
                // the former primary must not be kept.
                None => self.start_failover(&group, &lead, Cause::Stalled, now),
            }
        }
    }

    /// Probes servers that report themselves as primary of a group without a recorded leader.
    fn probe_unknown_primaries(&mut self, now: Millis) {
        let Some(leader) = &self.leader else { return };
        let fleet = &self.machine.fleet;
        let claims = |id: &Arc<str>| {
            leader.heartbeats.get(id).is_some_and(|heartbeat| heartbeat.claims_primary)
        };
        let unknown = |backend: &&Backend| !fleet.leads.contains_key(&backend.group);
        let backends = fleet.backends.values().filter(unknown);
        let ids: Vec<_> = backends.map(|b| b.id.clone()).filter(|id| claims(id)).collect();
        for id in ids {
            if self.is_probe_due(&id, STATUS_POLL_INTERVAL_MS, now) {
                self.probe(&id, ProbeAction::Status);
            }
        }
    }

    /// Probes a primary and starts a failover if it is suspected of failure.
    fn monitor_primary(
        &mut self,
        group: &Arc<str>,
        lead: &GroupPrimary,
        primary: &Arc<str>,
        now: Millis,
    ) {
        if self.is_probe_due(primary, STATUS_POLL_INTERVAL_MS, now) {
            self.probe(primary, ProbeAction::Status);
        }
        let watch = self.observe_primary(group, primary, now);
        if watch.stalled > 0 || watch.draining {
            let ids: Vec<_> = self.fleet().backends_of(group).map(|b| b.id.clone()).collect();
            for id in ids {
                if self.is_probe_due(&id, STATUS_POLL_INTERVAL_MS, now) {
                    self.probe(&id, ProbeAction::Status);
                }
            }
        }
        self.update_replication_state(group, primary, now);
        self.resume_and_demote(group, lead, now);
        let others = self.fleet().backends_of(group).filter(|b| b.id != *primary && !b.draining);
        if others.count() == 0 {
            return;
        }
        let watch = self.observe_primary(group, primary, now);
        if let Some(cause) = replacement_cause(&watch) {
            // Another server has its address, so its process has ended.
            let is_registered = self.fleet().backends.contains_key(primary);
            let cause = if is_registered { cause } else { Cause::Unreachable };
            if cause != Cause::Unreachable && self.defers_failover(group, lead, cause, now) {
                return;
            }
            log(
                Event::ExternalFailoverStarted,
                format_args!(
                    "group={group} term={} primary={primary} cause={cause:?} watch={watch:?}",
                    lead.term
                ),
            );
            self.start_failover(group, lead, cause, now);
        }
    }

    /// Whether a primary that still answers stays, as no other server is known to have all of its
    /// commits.
    fn defers_failover(
        &mut self,
        group: &Arc<str>,
        lead: &GroupPrimary,
        cause: Cause,
        now: Millis,
    ) -> bool {
        let former = lead.primary.clone();
        let recent = now.saturating_sub(REACHABLE_TIMEOUT_MS);
        let replaced = GroupPrimary { term: lead.term, primary: None, former, ordered: None };
        let Some(facts) = self.collect_facts(group, &replaced, cause, Some(recent), now) else {
            return true;
        };
        let Some(leader) = &mut self.leader else { return true };
        if can_replace(&facts) {
            leader.deferrals.remove(group);
            return false;
        }
        let logged_at = leader.deferrals.get(group).copied();
        if logged_at.is_none_or(|at| now >= at + WAIT_LOG_INTERVAL_MS) {
            leader.deferrals.insert(group.clone(), now);
            log(
                Event::ExternalFailoverDeferred,
                format_args!("group={group} cause={cause:?} facts={facts:?}"),
            );
        }
        true
    }

    /// Updates the time since which no replica has received the primary's whole log.
    fn update_replication_state(&mut self, group: &Arc<str>, primary: &Arc<str>, now: Millis) {
        let fleet = &self.machine.fleet;
        let Some(leader) = &mut self.leader else { return };
        let status = |id: &Arc<str>| {
            let status = leader.monitors.get(id).and_then(|m| m.last_status);
            status.filter(|(_, asked)| now < asked + REACHABLE_TIMEOUT_MS)
        };
        let Some((head, _)) = status(primary) else { return };
        let replicas = fleet.backends_of(group).filter(|backend| backend.id != *primary);
        let mut known = replicas.filter_map(|backend| status(&backend.id)).peekable();
        // Without an answer of a replica nothing is known, and none could be promoted.
        let behind =
            known.peek().is_some() && known.all(|(replica, _)| replica.received < head.received);
        if !behind {
            leader.unreplicated_since.remove(group);
        } else if !leader.unreplicated_since.contains_key(group) {
            leader.unreplicated_since.insert(group.clone(), now);
        }
    }

    /// Observations on a primary for the failure detector.
    fn observe_primary(&self, group: &Arc<str>, primary: &Arc<str>, now: Millis) -> Watch {
        let draining = self.fleet().backends.get(primary).is_none_or(|b| b.draining);
        let Some(leader) = &self.leader else { return Watch::default() };
        let monitor = leader.monitors.get(primary);
        let heartbeat_at =
            leader.heartbeats.get(primary).map_or(0, |heartbeat| heartbeat.received_at);
        let reported_at = leader.reports.last_answer(primary);
        let last = heartbeat_at
            .max(reported_at)
            .max(monitor.map_or(0, |m| m.answered_at))
            .max(leader.leading_since);
        Watch {
            draining,
            silent: now.saturating_sub(last),
            refused: monitor.map_or(0, |m| m.refusals),
            stalled: leader.reports.stalled_commits(primary, now),
            apart: leader
                .unreplicated_since
                .get(group)
                .map_or(0, |since| now.saturating_sub(*since)),
            unanswered: monitor.map_or(0, |m| m.timeouts),
        }
    }

    /// Positions that the present primaries reported after `since`, with their age. With all of
    /// them, an entry finds for each accepted age a position that replicas have probably applied.
    pub(crate) fn positions(&self, since: Millis, now: Millis) -> Vec<PositionSample> {
        let Some(leader) = &self.leader else { return Vec::new() };
        let leads = self.fleet().leads.iter();
        let samples = |(group, lead): (&Arc<str>, &GroupPrimary)| {
            let monitor = lead.primary.as_ref().and_then(|id| leader.monitors.get(id));
            let recent = monitor.into_iter().flat_map(|monitor| &monitor.recent_statuses);
            let (group, term) = (group.clone(), lead.term);
            let valid = recent.filter(move |(status, _, answered)| {
                status.leads && status.term == term && *answered > since
            });
            valid.map(move |(status, asked, _)| PositionSample {
                group: group.clone(),
                age: now.saturating_sub(*asked),
                position: status.received,
            })
        };
        leads.flat_map(samples).collect()
    }

    /// Resumes paused servers and demotes former primaries once a new primary leads.
    fn resume_and_demote(&mut self, group: &Arc<str>, lead: &GroupPrimary, now: Millis) {
        let ids: Vec<_> = self.fleet().backends_of(group).map(|b| b.id.clone()).collect();
        for id in ids {
            let Some(monitor) = self.leader.as_mut().and_then(|l| l.monitors.get_mut(&id)) else {
                continue;
            };
            let is_former = monitor.last_status.is_some_and(|(s, _)| s.leads && s.term < lead.term);
            let wanted = if lead.primary.as_ref() == Some(&id) {
                monitor.paused = false;
                None
            } else if is_former {
                Some(ProbeAction::Demote(lead.term))
            } else {
                monitor.paused.then_some(ProbeAction::Resume)
            };
            if let Some(action) = wanted
                && self.is_probe_due(&id, STATUS_POLL_INTERVAL_MS, now)
            {
                self.probe(&id, action);
            }
        }
    }

    /// Starts a failover and proposes to remove the recorded primary.
    fn start_failover(&mut self, group: &Arc<str>, lead: &GroupPrimary, cause: Cause, now: Millis) {
        let Some(leader) = &mut self.leader else { return };
        let failover = ExternalFailover {
            cause,
            started_at: now,
            proposal: None,
            ordered_at: 0,
            order_pending: false,
            effective_until: lead.ordered.as_ref().map_or(0, |_| now + PROMOTION_RETRY_DELAY_MS),
            withdrawn: false,
            last_log: (String::new(), 0),
        };
        leader.failovers.insert(group.clone(), failover);
        if lead.primary.is_some() {
            let former = lead.primary.clone();
            let lead = GroupPrimary { term: lead.term, primary: None, former, ordered: None };
            let after = lead.term;
            self.propose(FleetChange::Lead { group: group.clone(), after, lead }, None);
        }
    }

    /// Runs the next step of a failover.
    fn advance_failover(&mut self, group: &Arc<str>, lead: &GroupPrimary, now: Millis) {
        if lead.primary.is_some() {
            // The start or the end of the failover is not committed yet, or the failover is over.
            let Some(leader) = &mut self.leader else { return };
            let timed_out = leader
                .failovers
                .get(group)
                .is_some_and(|s| now >= s.started_at + LEAD_COMMIT_TIMEOUT_MS);
            if timed_out {
                leader.failovers.remove(group);
            }
            return;
        }
        let ids: Vec<_> = self.fleet().backends_of(group).map(|b| b.id.clone()).collect();
        for id in &ids {
            if self.is_probe_due(id, FAILOVER_POLL_INTERVAL_MS, now) {
                self.probe(id, ProbeAction::Status);
            }
        }
        let Some(leader) = &mut self.leader else { return };
        let Some(failover) = leader.failovers.get_mut(group) else { return };
        if lead.ordered.is_none() {
            failover.withdrawn = false;
            failover.ordered_at = 0;
        }
        let cause = failover.cause;
        let Some(facts) = self.collect_facts(group, lead, cause, None, now) else { return };
        let step = next_step(&facts);
        self.log_step(group, &facts, &step, now);
        match step {
            Step::Adopt(id, term) => self.propose_primary(group, lead, Some(id), term),
            Step::Keep(id) => self.propose_primary(group, lead, Some(id), lead.term),
            Step::Pause(ids) => {
                for id in ids {
                    self.probe(&id, ProbeAction::Pause(lead.term + 1));
                }
            }
            Step::Demote(id) => self.probe(&id, ProbeAction::Demote(lead.term + 1)),
            Step::Promote(id) if lead.ordered.is_some() => self.order_promotion(group, &id, now),
            Step::Promote(id) => self.propose_order(group, lead, Some(&id), now),
            Step::Withdraw(_) => self.propose_order(group, lead, None, now),
            Step::Wait(_) => {}
        }
    }

    /// Logs a failover step when it changes, and at intervals while it stays the same.
    fn log_step(&mut self, group: &Arc<str>, facts: &Facts, step: &Step, now: Millis) {
        let Some(leader) = &mut self.leader else { return };
        let Some(failover) = leader.failovers.get_mut(group) else { return };
        let text = format!("{step:?}");
        if failover.last_log.0 == text && now < failover.last_log.1 + WAIT_LOG_INTERVAL_MS {
            return;
        }
        log(
            Event::ExternalFailoverStep,
            format_args!(
                "group={group} step={text} ms={} facts={facts:?}",
                now.saturating_sub(failover.started_at)
            ),
        );
        failover.last_log = (text, now);
    }

    /// Primary of the recorded term, present or former. After a crash it comes back with its log, and
    /// as a server of another name that leads the same term.
    pub(crate) fn term_primary(&self, group: &str, lead: &GroupPrimary) -> Option<Arc<str>> {
        let recorded = lead.primary.as_ref().or(lead.former.as_ref());
        let is_registered = |id: &&Arc<str>| self.fleet().backends.contains_key(*id);
        if let Some(recorded) = recorded.filter(is_registered) {
            return Some(recorded.clone());
        }
        let monitors = &self.leader.as_ref()?.monitors;
        let leads_term = |id: &Arc<str>| {
            monitors.get(id).is_some_and(|monitor| monitor.leading_end(lead.term, 0).is_some())
        };
        let mut ids = self.fleet().backends_of(group).map(|backend| &backend.id);
        ids.find(|id| leads_term(id)).or(recorded).cloned()
    }

    /// Input for the choice of the next failover step. Until the former primary is fenced, statuses
    /// asked for at `recent` or later count as settled, if it is given.
    fn collect_facts(
        &self,
        group: &Arc<str>,
        lead: &GroupPrimary,
        cause: Cause,
        recent: Option<Millis>,
        now: Millis,
    ) -> Option<Facts> {
        let former = self.term_primary(group, lead);
        let leader = self.leader.as_ref()?;
        let monitor = former.as_ref().and_then(|former| leader.monitors.get(former));
        let demoted_at = monitor.filter(|m| m.fenced_term > lead.term).map(|m| m.fenced_at.1);
        let settled_at = demoted_at.or(recent);
        let member = |backend: &Backend| {
            let monitor = leader.monitors.get(&backend.id);
            let member = monitor.map(|m| m.member(backend, lead.term, settled_at, now));
            (backend.id.clone(), member.unwrap_or_default())
        };
        let members = self.fleet().backends_of(group).map(member).collect();
        let published = leader.lead_index.get(group).copied().unwrap_or(leader.index);
        let departures = self.fleet().departures.get(group);
        Some(Facts {
            term: lead.term,
            former,
            cause,
            members,
            synchronous: self.fleet().plan.groups.get(group).map_or(1, |g| g.synchronous_replicas),
            departed: departures.map_or(Some(Position::default()), Departures::end),
            released: match &lead.former {
                Some(former) => leader.leases.is_released(former, published, now),
                None => leader.leases.is_applied(published, now),
            },
            demoted_for: demoted_at.map_or(0, |at| now.saturating_sub(at)),
            ordered: lead.ordered.as_ref().map(|ordered| {
                let failover = leader.failovers.get(group);
                let running = self.fleet().backends.get(&ordered.server);
                let running = running.is_some_and(|backend| backend.run == ordered.run);
                Ordered {
                    server: ordered.server.clone(),
                    running: running && failover.is_none_or(|f| !f.withdrawn),
                    pending: failover.is_none_or(|f| f.order_pending || now < f.effective_until),
                }
            }),
        })
    }

    /// Proposes the primary and term that end a failover.
    fn propose_primary(
        &mut self,
        group: &Arc<str>,
        lead: &GroupPrimary,
        primary: Option<Arc<str>>,
        term: Term,
    ) {
        let Some(leader) = &mut self.leader else { return };
        if let Some(failover) = leader.failovers.get_mut(group) {
            failover.started_at = leader.leading_since.max(self.clock.now());
        }
        let after = lead.term;
        let lead = GroupPrimary { term, primary, ..GroupPrimary::default() };
        self.propose(FleetChange::Lead { group: group.clone(), after, lead }, None);
    }

    /// Proposes to record the promotion of `server`, or that the recorded one has had no effect.
    fn propose_order(
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
    fn order_promotion(&mut self, group: &Arc<str>, server: &Arc<str>, now: Millis) {
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
        let (lease, clock) = (self.lease_end.clone(), self.clock.clone());
        let permit = Box::new(move || clock.now() < lease.load(Ordering::Acquire));
        let ordering = self.promoter.promote(order, permit);
        let (input, group, server) = (self.input.clone(), group.clone(), server.clone());
        tokio::spawn(async move {
            let outcome = ordering.await;
            let _ = input.send(Input::PromotionAnswered { group, server, outcome }).await;
        });
    }

    /// Handles the answer to an order of promotion.
    pub(crate) fn handle_promotion_answer(
        &mut self,
        group: &Arc<str>,
        server: &Arc<str>,
        outcome: PromotionOutcome,
    ) {
        log(
            Event::PromotionAnswered,
            format_args!("group={group} server={server} outcome={outcome:?}"),
        );
        let Some(leader) = &mut self.leader else { return };
        let Some(failover) = leader.failovers.get_mut(group) else { return };
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

    /// Whether a server has no probe in flight and was last probed `interval` ago or earlier.
    pub(crate) fn is_probe_due(&self, server: &Arc<str>, interval: Millis, now: Millis) -> bool {
        let monitor = self.leader.as_ref().and_then(|leader| leader.monitors.get(server));
        monitor.is_none_or(|m| !m.probing && now >= m.probed_at + interval)
    }

    /// Probes a server unless a probe is in flight.
    pub(crate) fn probe(&mut self, server: &Arc<str>, action: ProbeAction) {
        let Some(backend) = self.machine.fleet.backends.get(server) else { return };
        let (group, address) = (backend.group.clone(), backend.address);
        self.probe_target(Target { group, server: server.clone(), address }, action);
    }

    /// Probes a server at its address unless a probe is in flight.
    pub(crate) fn probe_target(&mut self, target: Target, action: ProbeAction) {
        let now = self.now();
        let Some(leader) = &mut self.leader else { return };
        let monitor = leader.monitors.entry(target.server.clone()).or_default();
        if monitor.probing {
            return;
        }
        monitor.probing = true;
        monitor.probed_at = now;
        let connection = monitor.connection.take();
        let (wire, input) = (self.wire.clone(), self.input.clone());
        let name: Arc<str> = self.me.label.as_str().into();
        tokio::spawn(async move {
            let probed = send_probe(wire, target, name, connection, action).await;
            let _ = input.send(Input::ProbeFinished(probed)).await;
        });
    }

    /// Handles the result of a probe.
    pub(crate) fn handle_probe(&mut self, probed: ProbeOutcome) {
        let now = self.now();
        self.handle_departed_probe(&probed);
        let ProbeOutcome { group, server, action, connection, outcome, position, refusal } = probed;
        let Some(leader) = &mut self.leader else { return };
        let monitor = leader.monitors.entry(server.clone()).or_default();
        monitor.probing = false;
        monitor.connection = connection;
        let status = match outcome {
            Err(fault) => {
                match fault {
                    Fault::Refused => monitor.refusals += 1,
                    Fault::Unanswered => monitor.timeouts += 1,
                    // The process may have ended, so the server is probed again at once.
                    Fault::Broken | Fault::Opening(_) => monitor.probed_at = 0,
                }
                // A restarted process is neither paused nor demoted, and may have lost its log.
                monitor.fenced_term = 0;
                monitor.last_status = None;
                monitor.holds = Position::default();
                if fault == Fault::Refused {
                    monitor.probed_at = 0;
                }
                return;
            }
            Ok(status) => status,
        };
        monitor.answered_at = now;
        monitor.refusals = 0;
        monitor.timeouts = 0;
        let received = status.map(|status| status.received);
        monitor.holds = position.into_iter().chain(received).fold(monitor.holds, Position::max);
        monitor.reported = monitor.reported.max(monitor.holds);
        if let Some(status) = status {
            monitor.last_status = Some((status, monitor.probed_at));
            monitor.recent_statuses.push_back((status, monitor.probed_at, now));
            if monitor.recent_statuses.len() > MAX_STATUS_SAMPLES {
                monitor.recent_statuses.pop_front();
            }
        }
        if refusal.is_none() {
            match action {
                ProbeAction::Pause(term) => {
                    monitor.fence(term, now);
                    monitor.paused = true;
                }
                ProbeAction::Demote(term) => monitor.fence(term, now),
                ProbeAction::Resume => {
                    monitor.fenced_term = 0;
                    monitor.paused = false;
                }
                ProbeAction::Status => {}
            }
        }
        if let Some(status) = status.filter(|status| status.leads) {
            self.record_reported_primary(&group, &server, status);
        }
    }

    /// Proposes a server that leads a later term than the recorded one as primary.
    fn record_reported_primary(&mut self, group: &Arc<str>, server: &Arc<str>, status: Status) {
        let lead = self.fleet().leads.get(group).cloned().unwrap_or_default();
        let unknown = lead.term == 0 && lead.primary.is_none();
        if status.term > lead.term && (unknown || lead.primary.is_some()) {
            let primary = Some(server.clone());
            let next = GroupPrimary { term: status.term, primary, ..GroupPrimary::default() };
            let after = lead.term;
            self.propose(FleetChange::Lead { group: group.clone(), after, lead: next }, None);
        }
    }
}

/// Time within which a proposed change of a group's leader is expected to be committed.
pub(crate) const LEAD_COMMIT_TIMEOUT_MS: Millis = 400;

/// Sends one probe, on a new connection if there is none.
async fn send_probe(
    wire: Arc<dyn crate::wire::ServerWire>,
    target: Target,
    name: Arc<str>,
    connection: Option<Connection>,
    action: ProbeAction,
) -> ProbeOutcome {
    let (group, server) = (target.group.clone(), target.server.clone());
    let failed = |fault| ProbeOutcome {
        group: group.clone(),
        server: server.clone(),
        action,
        connection: None,
        outcome: Err(fault),
        position: None,
        refusal: None,
    };
    let mut connection = match connection {
        Some(connection) => connection,
        None => match Connection::open(wire.clone(), target.clone(), name).await {
            Ok(connection) => connection,
            // The process answered, so it is running.
            Err(Fault::Opening(code)) => {
                return ProbeOutcome {
                    outcome: Ok(None),
                    refusal: Some(code),
                    ..failed(Fault::Broken)
                };
            }
            Err(fault) => return failed(fault),
        },
    };
    let call = match action {
        ProbeAction::Status => ServerCall::Status,
        ProbeAction::Pause(term) => ServerCall::Pause(term),
        ProbeAction::Resume => ServerCall::Resume,
        ProbeAction::Demote(term) => ServerCall::Demote(term),
    };
    match timeout(PROBE_TIMEOUT, connection.call(&call)).await {
        Err(_) => failed(Fault::Unanswered),
        Ok(Err(fault)) => failed(fault),
        Ok(Ok(reply)) => ProbeOutcome {
            group: target.group,
            server: target.server,
            action,
            outcome: Ok(wire.status(&reply.answer)),
            position: reply.answer.position,
            refusal: reply.answer.code(),
            connection: Some(connection),
        },
    }
}
