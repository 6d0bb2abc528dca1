//! Finds out what replicas that have left their group may have received.
//!
//! A replica that deregisters ends soon afterwards, and until then it may receive further commits.
//! It is paused, which fixes the end of its log; or once its process has ended, the next status of
//! the primary covers everything that it can have received. A server that starts at the address of
//! another one after a crash has its log, which is compared in its place.

use std::sync::Arc;

use auburnlug_coordination::external_failover::Status;
use auburnlug_protocol::job::ErrorCode;
use auburnlug_state::{
    Millis, Position, Term,
    fleet::{FleetChange, GroupPrimary, Incarnation},
};

use crate::{
    connection::{Fault, Target},
    control::Control,
    control_failover::{FAILOVER_POLL_INTERVAL_MS, LEAD_COMMIT_TIMEOUT_MS},
    control_probe::{ProbeAction, ProbeOutcome},
};

/// Time without an answer after which the process of a deregistered server counts as ended. A
/// server whose deregistration is not acknowledged ends after some seconds.
const DEPARTED_TIMEOUT_MS: Millis = 10_000;

/// A departed replica, as the control leader observes it.
pub(crate) struct DepartureWatch {
    run: Incarnation,
    /// Observation time since which its process has not answered.
    silent_since: Millis,
    /// Time at which its process is known to have ended.
    ended_at: Option<Millis>,
    /// End of its log, once it is paused.
    paused_end: Option<Position>,
    /// Time of the last proposal to cover it.
    proposed_at: Option<Millis>,
}

impl Control {
    /// Drops observations of replicas that are covered or registered again.
    pub(crate) fn drop_covered_departures(&mut self) {
        let departures = &self.machine.fleet.departures;
        let Some(leader) = &mut self.leader else { return };
        let is_pending = |id: &Arc<str>| departures.values().any(|d| d.pending.contains_key(id));
        leader.departures.retain(|id, _| is_pending(id));
    }

    /// Proposes positions that cover the departed replicas of a group, and pauses those that may
    /// still run.
    pub(crate) fn cover_departures(&mut self, group: &Arc<str>, lead: &GroupPrimary, now: Millis) {
        let Some(departures) = self.machine.fleet.departures.get(group) else { return };
        if departures.pending.is_empty() {
            return;
        }
        let pending = departures.pending.clone();
        let primary = self.term_primary(group, lead);
        for (id, departed) in pending {
            let Some(leader) = &mut self.leader else { return };
            let observed = leader.observation.at(now);
            let paused_end = leader.monitors.get(&id).and_then(|m| m.fenced_end(lead.term));
            let new = || DepartureWatch {
                run: departed.run,
                silent_since: observed,
                ended_at: None,
                paused_end,
                proposed_at: None,
            };
            let watch = leader.departures.entry(id.clone()).or_insert_with(new);
            if watch.run != departed.run {
                *watch = new();
            }
            if departed.ended || observed >= watch.silent_since + DEPARTED_TIMEOUT_MS {
                watch.ended_at.get_or_insert(now);
            }
            let proposed = watch.proposed_at.is_some_and(|at| now < at + LEAD_COMMIT_TIMEOUT_MS);
            let (ended_at, paused_end) = (watch.ended_at, watch.paused_end);
            let end = paused_end
                .or_else(|| self.primary_end_since(primary.as_ref()?, lead.term, ended_at?))
                .or_else(|| self.successor_end(&id, departed.successor.as_ref()?, lead.term));
            if let Some(end) = end {
                if !proposed {
                    self.propose_cover(group, &id, departed.run, end, now);
                }
            } else if ended_at.is_none() {
                if self.is_probe_due(&id, FAILOVER_POLL_INTERVAL_MS, now) {
                    let target =
                        Target { group: group.clone(), server: id, address: departed.address };
                    self.probe_target(target, ProbeAction::Pause(lead.term + 1));
                }
            } else if let Some(primary) = &primary
                && self.is_probe_due(primary, FAILOVER_POLL_INTERVAL_MS, now)
            {
                self.probe(primary, ProbeAction::Status);
            }
        }
    }

    /// End of the log of a primary that leads `term`, reported at `since` or later or after the
    /// primary was demoted.
    fn primary_end_since(&self, primary: &str, term: Term, since: Millis) -> Option<Position> {
        let monitor = self.leader.as_ref()?.monitors.get(primary)?;
        monitor.fenced_end(term).or_else(|| monitor.leading_end(term, since))
    }

    /// End of the log of the server that was started at the address of a departed one, once it is
    /// fenced. It counts if it shows that the log was taken over: it includes all that the departed
    /// server has reported.
    fn successor_end(&self, departed: &str, successor: &str, term: Term) -> Option<Position> {
        let monitors = &self.leader.as_ref()?.monitors;
        let reported = monitors.get(departed).map_or(Position::default(), |m| m.reported);
        let end = monitors.get(successor)?.fenced_end(term)?;
        (end.offset > 0 && end >= reported).then_some(end)
    }

    fn propose_cover(
        &mut self,
        group: &Arc<str>,
        id: &Arc<str>,
        run: Incarnation,
        end: Position,
        now: Millis,
    ) {
        let Some(leader) = &mut self.leader else { return };
        if let Some(watch) = leader.departures.get_mut(id) {
            watch.proposed_at = Some(now);
        }
        let change = FleetChange::Cover { group: group.clone(), id: id.clone(), run, end };
        self.propose(change, None);
    }

    /// Takes from a probe of a departed replica whether it has ended or was paused.
    pub(crate) fn handle_departed_probe(&mut self, probed: &ProbeOutcome) {
        // The server runs again under the same name.
        if self.machine.fleet.backends.contains_key(&probed.server) {
            return;
        }
        let now = self.now();
        let Some(leader) = &mut self.leader else { return };
        let Some(watch) = leader.departures.get_mut(&probed.server) else { return };
        match (&probed.outcome, probed.refusal, probed.action) {
            (Err(Fault::Refused), ..) | (Ok(_), Some(ErrorCode::WrongServer), _) => {
                watch.ended_at.get_or_insert(now);
            }
            (Ok(Some(Status { received, .. })), None, ProbeAction::Pause(_)) => {
                watch.paused_end = Some(*received);
            }
            // It refuses to be paused, but it is running.
            (Ok(_), ..) => watch.silent_since = leader.observation.at(now),
            (Err(_), ..) => {}
        }
    }
}
