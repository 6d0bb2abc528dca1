//! Probes of servers: requests for the status, pauses and demotions, and what is known of each
//! server from their answers.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use auburnlug_coordination::external_failover::{Member, Status};
use auburnlug_protocol::job::ErrorCode;
use auburnlug_state::{
    Millis, Position, Term,
    fleet::{Backend, Incarnation},
};
use tokio::time::timeout;

use crate::{
    connection::{Connection, Fault, Target},
    control::Control,
    control_input::Input,
    control_lead::Leader,
    leader_lease::{LeaderLease, Sending},
    wire::{ServerCall, ServerWire},
};

/// Longest wait for the answer to a probe; a loaded server queues probes.
const PROBE_TIMEOUT: Duration = Duration::from_millis(450);

/// Statuses kept per server: as many as arrive between two renewals of an entry, with one late.
const MAX_STATUS_SAMPLES: usize = 4;

/// Time without an answer after which a server counts as unreachable.
pub(crate) const REACHABLE_TIMEOUT_MS: Millis = 1_000;

/// Connection to a server and its last known state.
#[derive(Default)]
pub(crate) struct ServerMonitor {
    /// Incarnation of the process that is probed.
    pub(crate) run: Incarnation,
    pub(crate) connection: Option<Connection>,
    pub(crate) probing: bool,
    pub(crate) probed_at: Millis,
    /// Observation time of the last answer; 0 if there was none.
    pub(crate) answered_at: Millis,
    pub(crate) refusals: u32,
    pub(crate) timeouts: u32,
    /// Last status, with the time of the probe.
    pub(crate) last_status: Option<(Status, Millis)>,
    /// Recent statuses, oldest first, each with the times of the probe and of its answer.
    pub(crate) recent_statuses: VecDeque<(Status, Millis, Millis)>,
    /// Term below which the server was fenced by a pause or demotion; 0 if it is not fenced.
    pub(crate) fenced_term: Term,
    /// Times of the probe that fenced it and of its answer.
    pub(crate) fenced_at: (Millis, Millis),
    /// Position that its log includes.
    pub(crate) holds: Position,
    /// Highest position that it has reported.
    pub(crate) reported: Position,
    /// Whether the server may be paused and must be resumed once a new primary leads.
    pub(crate) paused: bool,
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
    /// Known facts about the server at an observation time, for a failover. A status counts as
    /// settled if it was asked for at `settled_at`, or after this server was fenced in `term`.
    pub(crate) fn member(
        &self,
        backend: &Backend,
        term: Term,
        settled_at: Option<Millis>,
        observed: Millis,
    ) -> Member {
        let answered = self.answered_at > 0 && observed < self.answered_at + REACHABLE_TIMEOUT_MS;
        let fenced_at = (self.fenced_term > term).then_some(self.fenced_at.0);
        let since = fenced_at.into_iter().chain(settled_at).min();
        let is_settled = |(_, asked): (Status, Millis)| since.is_some_and(|since| asked >= since);
        Member {
            draining: backend.draining,
            evacuated: false,
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
    pub(crate) fn fence(&mut self, term: Term, now: Millis) {
        if self.fenced_term != term {
            self.fenced_at = (self.probed_at, now);
        }
        self.fenced_term = term;
    }
}

impl Leader {
    /// Monitor of the present process of a server. What an earlier process answered does not hold
    /// for it.
    pub(crate) fn monitor(&mut self, backend: &Backend) -> &mut ServerMonitor {
        let monitor = self.monitors.entry(backend.id.clone()).or_default();
        if monitor.run != backend.run && !monitor.probing {
            *monitor = ServerMonitor { run: backend.run, ..ServerMonitor::default() };
        }
        monitor
    }
}

impl Control {
    /// Whether a server has no probe in flight and was last probed `interval` ago or earlier.
    pub(crate) fn is_probe_due(&self, server: &Arc<str>, interval: Millis, now: Millis) -> bool {
        let monitor = self.leader.as_ref().and_then(|leader| leader.monitors.get(server));
        monitor.is_none_or(|m| !m.probing && now >= m.probed_at + interval)
    }

    /// Probes a server unless a probe is in flight.
    pub(crate) fn probe(&mut self, server: &Arc<str>, action: ProbeAction) {
        let Some(backend) = self.machine.fleet.backends.get(server) else { return };
        let (group, address) = (backend.group.clone(), backend.address);
        if let Some(leader) = &mut self.leader {
            leader.monitor(backend);
        }
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
        let (lease, term) = (leader.lease.clone(), leader.term);
        let name: Arc<str> = self.me.label.as_str().into();
        let task = async move {
            let probed = send_probe(wire, target, name, connection, action, lease).await;
            let _ = input.send(Input::ProbeFinished(term, probed)).await;
        };
        match action {
            ProbeAction::Status => drop(tokio::spawn(task)),
            ProbeAction::Pause(_) | ProbeAction::Resume | ProbeAction::Demote(_) => {
                self.orders.spawn(task);
            }
        }
    }

    /// Handles the result of a probe that was sent as the leader of `term`.
    pub(crate) fn handle_probe(&mut self, term: Term, probed: ProbeOutcome) {
        // What an earlier leadership has asked says nothing of the time since.
        if self.leader.as_ref().is_none_or(|leader| leader.term != term) {
            return;
        }
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
        monitor.answered_at = leader.observation.at(now);
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
}

/// Sends one probe, on a new connection if there is none. Anything but a request for the status is
/// an order, which is sent under the leader lease only.
async fn send_probe(
    wire: Arc<dyn ServerWire>,
    target: Target,
    name: Arc<str>,
    connection: Option<Connection>,
    action: ProbeAction,
    lease: LeaderLease,
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
    let socket = match action {
        ProbeAction::Status => None,
        _ => match connection.order_socket() {
            Ok(socket) => Some(socket),
            Err(_) => return failed(Fault::Broken),
        },
    };
    let exchange = timeout(PROBE_TIMEOUT, connection.call(&call));
    let sending = match socket {
        Some(socket) => lease.send_order(socket, exchange).await,
        None => Sending::Ended(exchange.await),
    };
    match sending {
        Sending::Abandoned | Sending::NotSent => failed(Fault::Broken),
        Sending::Ended(Err(_)) => failed(Fault::Unanswered),
        Sending::Ended(Ok(Err(fault))) => failed(fault),
        Sending::Ended(Ok(Ok(reply))) => ProbeOutcome {
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
