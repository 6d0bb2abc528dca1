//! Monitors primaries and replaces them by external failover: detects failures and runs the steps of
//! a failover.

use std::sync::Arc;

use auburnlug_coordination::{
    external_failover::{
        Cause, Facts, Member, Ordered, Status, Step, Watch, can_replace, next_step,
        replacement_cause,
    },
    probe_pace::{look_interval, question_interval},
};
use auburnlug_protocol::fleet::PositionSample;
use auburnlug_state::{
    Millis, Position, Term,
    departures::Departures,
    fleet::{Backend, FleetChange, GroupPrimary, OrderedPromotion},
};
use auburnlug_transport::event::{Event, log};

use crate::{
    control::Control,
    control_probe::{ProbeAction, REACHABLE_TIMEOUT_MS},
    control_promotion::PROMOTION_RETRY_DELAY_MS,
};

/// Interval between two probes of a primary.
const STATUS_POLL_INTERVAL_MS: Millis = 250;

/// Interval between two probes of a server while its group is in failover.
pub(crate) const FAILOVER_POLL_INTERVAL_MS: Millis = 60;

/// Interval between two log lines about the same failover step.
const WAIT_LOG_INTERVAL_MS: Millis = 1_000;

/// Time within which a proposed change of a group's leader is expected to be committed.
pub(crate) const LEAD_COMMIT_TIMEOUT_MS: Millis = 400;

/// External failover of a database group that is in progress.
pub(crate) struct ExternalFailover {
    pub(crate) cause: Cause,
    pub(crate) started_at: Millis,
    /// Recorded promotion that the last proposal replaces, with the time of the proposal.
    pub(crate) proposal: Option<(Option<OrderedPromotion>, Millis)>,
    /// Time of the last order; 0 before the first.
    pub(crate) ordered_at: Millis,
    /// Whether an order is unanswered.
    pub(crate) order_pending: bool,
    /// Time until which an answered order, or one of an earlier control leader, may take effect.
    pub(crate) effective_until: Millis,
    /// Whether the recorded promotion is given up: its server is not running.
    pub(crate) withdrawn: bool,
    pub(crate) last_log: (String, Millis),
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
        for (group, lead) in self.groups_to_look_at(now) {
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
                None => {
                    self.inherit_pauses(&group);
                    self.start_failover(&group, &lead, Cause::Stalled, now);
                }
            }
        }
    }

    /// Groups whose primary is being replaced, and all groups from time to time.
    fn groups_to_look_at(&mut self, now: Millis) -> Vec<(Arc<str>, GroupPrimary)> {
        let leads = &self.machine.fleet.leads;
        let Some(leader) = &mut self.leader else { return Vec::new() };
        let all = now >= leader.looked_at + look_interval(leads.len());
        if all {
            leader.looked_at = now;
        }
        let failovers = &leader.failovers;
        let groups = leads.iter().filter(|(group, lead)| {
            all || failovers.contains_key(*group) || lead.primary.is_none()
        });
        groups.map(|(group, lead)| (group.clone(), lead.clone())).collect()
    }

    /// Interval between two probes of a primary.
    fn primary_probe_interval(&self, primary: &Arc<str>, now: Millis) -> Millis {
        let Some(leader) = &self.leader else { return STATUS_POLL_INTERVAL_MS };
        let reported = leader.reports.last_answer(primary);
        let age = (reported > 0).then(|| leader.observation.at(now).saturating_sub(reported));
        question_interval(self.fleet().leads.len(), age)
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
        if self.is_probe_due(primary, self.primary_probe_interval(primary, now), now) {
            self.probe(primary, ProbeAction::Status);
        }
        let watch = self.observe_primary(group, lead.term, primary, now);
        if watch.stalled > 0 || watch.draining || watch.evacuated || watch.demoted {
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
        let watch = self.observe_primary(group, lead.term, primary, now);
        if let Some(cause) = replacement_cause(&watch) {
            // Another server has its address, so its process has ended.
            let is_registered = self.fleet().backends.contains_key(primary);
            let cause = if is_registered { cause } else { Cause::Unreachable };
            let serves = !matches!(cause, Cause::Unreachable | Cause::Demoted);
            if serves && self.defers_failover(group, lead, cause, now) {
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
            leader.unreplicated_since.insert(group.clone(), leader.observation.at(now));
        }
    }

    /// Observations on a primary for the failure detector.
    fn observe_primary(
        &self,
        group: &Arc<str>,
        term: Term,
        primary: &Arc<str>,
        now: Millis,
    ) -> Watch {
        let draining = self.fleet().backends.get(primary).is_none_or(|b| b.draining);
        let Some(leader) = &self.leader else { return Watch::default() };
        let observed = leader.observation.at(now);
        let monitor = leader.monitors.get(primary);
        let heartbeat_at =
            leader.heartbeats.get(primary).map_or(0, |heartbeat| heartbeat.received_at);
        let reported_at = leader.reports.last_answer(primary);
        let last = heartbeat_at
            .max(reported_at)
            .max(monitor.map_or(0, |m| m.answered_at))
            .max(leader.leading_since);
        let is_replica = |(status, _): (Status, Millis)| !status.leads && status.term >= term;
        Watch {
            draining,
            evacuated: self.can_evacuate(group, primary),
            demoted: monitor.and_then(|m| m.last_status).is_some_and(is_replica),
            silent: observed.saturating_sub(last),
            refused: monitor.map_or(0, |m| m.refusals),
            stalled: leader.reports.stalled_commits(primary, observed),
            apart: leader
                .unreplicated_since
                .get(group)
                .map_or(0, |since| observed.saturating_sub(*since)),
            unanswered: monitor.map_or(0, |m| m.timeouts),
        }
    }

    /// Whether the failure domain of a primary is evacuated and another server that is not draining
    /// is elsewhere.
    fn can_evacuate(&self, group: &str, primary: &str) -> bool {
        let fleet = self.fleet();
        let is_evacuated = |backend: &Backend| fleet.is_evacuated(&backend.domain);
        fleet.backends.get(primary).is_some_and(is_evacuated)
            && fleet.backends_of(group).any(|b| !b.draining && !is_evacuated(b))
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

    /// Records that an earlier control leader may have paused any server of a group.
    fn inherit_pauses(&mut self, group: &Arc<str>) {
        let Some(leader) = &mut self.leader else { return };
        for backend in self.machine.fleet.backends_of(group) {
            leader.monitor(backend).paused = true;
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
        let observed = leader.observation.at(now);
        let member = |backend: &Backend| {
            let monitor = leader.monitors.get(&backend.id).filter(|m| m.run == backend.run);
            let member = monitor.map(|m| m.member(backend, lead.term, settled_at, observed));
            let evacuated = self.fleet().is_evacuated(&backend.domain);
            (backend.id.clone(), Member { evacuated, ..member.unwrap_or_default() })
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
            led_for: observed.saturating_sub(leader.leading_since),
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

    /// Proposes a server that leads a later term than the recorded one as primary.
    pub(crate) fn record_reported_primary(
        &mut self,
        group: &Arc<str>,
        server: &Arc<str>,
        status: Status,
    ) {
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
