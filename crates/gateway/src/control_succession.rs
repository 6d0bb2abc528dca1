//! Watches primaries and has them replaced: probes of servers, steps of a succession, the order.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use auburnlug_coordination::succession::{
    Cause, Facts, Member, Status, Step, Watch, next_step, suspect,
};
use auburnlug_protocol::{fleet::PositionSample, job::Code};
use auburnlug_state::{
    Millis, Term,
    fleet::{Backend, FleetChange, Lead},
};
use auburnlug_transport::event::{Event, log};
use tokio::time::timeout;

use crate::{
    conn::{Connection, Fault, Target},
    control::{Control, Input},
    wire::{Call, Order, Ordered},
};

/// Time between two questions to a primary, in milliseconds.
const POLL: Millis = 250;

/// Time between two questions to a server of a group whose primary is being replaced, in
/// milliseconds.
const POLL_FAST: Millis = 60;

/// Longest time for the answer to a question, in milliseconds. A loaded server queues it.
const ANSWER: Duration = Duration::from_millis(450);

/// Statuses of a server that are kept: those of one renewal of an entry that is late.
const SAMPLES: usize = 4;

/// A server that has answered in this time counts as reachable, in milliseconds.
const REACHABLE: Millis = 1_000;

/// Time after which an order without effect is given again, in milliseconds; longer than servers
/// take to lead.
const ORDER_AGAIN: Millis = 2_500;

/// Time between two log lines about a step that waits, in milliseconds.
const QUIET: Millis = 1_000;

/// Connection to a server and what is known of the server.
#[derive(Default)]
pub(crate) struct Monitor {
    connection: Option<Connection>,
    busy: bool,
    asked: Millis,
    /// Time of its last answer.
    answered: Millis,
    refused: u32,
    unanswered: u32,
    /// Last status with the time of the question.
    status: Option<(Status, Millis)>,
    /// Last statuses, oldest first, each with the times of the question and of the answer.
    recent: VecDeque<(Status, Millis, Millis)>,
    /// Term up to which it was paused or demoted.
    fenced: Term,
    /// Whether it is paused and has to be resumed once a successor leads.
    paused: bool,
}

/// Replacement of a primary.
pub(crate) struct Succession {
    cause: Cause,
    since: Millis,
    ordered: Option<Arc<str>>,
    order_at: Millis,
    ordering: bool,
    logged: (String, Millis),
}

/// What a probe asks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Action {
    Status,
    Pause(Term),
    Resume,
    Demote(Term),
}

/// Outcome of a probe.
pub(crate) struct Probed {
    group: Arc<str>,
    server: Arc<str>,
    action: Action,
    connection: Option<Connection>,
    outcome: Result<Option<Status>, Fault>,
    refused: Option<Code>,
}

impl Control {
    /// A server claims to be primary; its status tells the term.
    pub(crate) fn claimed(&mut self, backend: &Backend) {
        let lead = self.fleet().leads.get(&backend.group);
        if lead.is_none_or(|lead| lead.primary.as_ref() != Some(&backend.id)) {
            self.probe(&backend.id.clone(), Action::Status);
        }
    }

    /// Asks the primaries, starts and advances successions.
    pub(crate) fn watch_groups(&mut self, now: Millis) {
        if !self.member.leads(now) {
            return;
        }
        self.find_leaders(now);
        let groups: Vec<_> = self.fleet().leads.clone().into_iter().collect();
        for (group, lead) in groups {
            let Some(leader) = &self.leader else { return };
            if leader.successions.contains_key(&group) {
                self.advance(&group, &lead, now);
                continue;
            }
            match lead.primary.clone() {
                Some(primary) => self.watch_primary(&group, &lead, &primary, now),
                // An earlier leader may have ordered a promotion that takes effect late, so the
                // former primary must not lead on.
                None => self.begin(&group, &lead, Cause::Stalled, now),
            }
        }
    }

    /// Asks servers that claim to lead a group whose leader is not known.
    fn find_leaders(&mut self, now: Millis) {
        let Some(leader) = &self.leader else { return };
        let fleet = &self.machine.fleet;
        let claims = |id: &Arc<str>| leader.heard.get(id).is_some_and(|heard| heard.leads);
        let unknown = |backend: &&Backend| !fleet.leads.contains_key(&backend.group);
        let backends = fleet.backends.values().filter(unknown);
        let ids: Vec<_> = backends.map(|b| b.id.clone()).filter(|id| claims(id)).collect();
        for id in ids {
            if self.due(&id, POLL, now) {
                self.probe(&id, Action::Status);
            }
        }
    }

    fn watch_primary(&mut self, group: &Arc<str>, lead: &Lead, primary: &Arc<str>, now: Millis) {
        if self.due(primary, POLL, now) {
            self.probe(primary, Action::Status);
        }
        if self.watch(group, primary, now).stalled > 0 {
            let ids: Vec<_> = self.fleet().backends_of(group).map(|b| b.id.clone()).collect();
            for id in ids {
                if self.due(&id, POLL, now) {
                    self.probe(&id, Action::Status);
                }
            }
        }
        self.note_apart(group, primary, now);
        self.tidy(group, lead, now);
        let others = self.fleet().backends_of(group).filter(|b| b.id != *primary && !b.draining);
        if others.count() == 0 {
            return;
        }
        let watch = self.watch(group, primary, now);
        if let Some(cause) = suspect(&watch) {
            log(
                Event::SuccessionStarted,
                format_args!(
                    "group={group} term={} primary={primary} cause={cause:?} watch={watch:?}",
                    lead.term
                ),
            );
            self.begin(group, lead, cause, now);
        }
    }

    /// Notes since when no replica has received all that the primary has.
    fn note_apart(&mut self, group: &Arc<str>, primary: &Arc<str>, now: Millis) {
        let fleet = &self.machine.fleet;
        let Some(leader) = &mut self.leader else { return };
        let status = |id: &Arc<str>| {
            let status = leader.monitors.get(id).and_then(|m| m.status);
            status.filter(|(_, asked)| now < asked + REACHABLE)
        };
        let Some((head, _)) = status(primary) else { return };
        let replicas = fleet.backends_of(group).filter(|backend| backend.id != *primary);
        let mut known = replicas.filter_map(|backend| status(&backend.id)).peekable();
        // Without an answer of a replica nothing is known, and none could take over.
        let apart =
            known.peek().is_some() && known.all(|(replica, _)| replica.received < head.received);
        if !apart {
            leader.apart.remove(group);
        } else if !leader.apart.contains_key(group) {
            leader.apart.insert(group.clone(), now);
        }
    }

    fn watch(&self, group: &Arc<str>, primary: &Arc<str>, now: Millis) -> Watch {
        let draining = self.fleet().backends.get(primary).is_none_or(|b| b.draining);
        let Some(leader) = &self.leader else { return Watch::default() };
        let monitor = leader.monitors.get(primary);
        let beat = leader.heard.get(primary).map_or(0, |heard| heard.at);
        let seen = leader.reports.answered(primary);
        let last = beat.max(seen).max(monitor.map_or(0, |m| m.answered)).max(leader.since);
        Watch {
            draining,
            silent: now.saturating_sub(last),
            refused: monitor.map_or(0, |m| m.refused),
            stalled: leader.reports.stalled(primary, now),
            apart: leader.apart.get(group).map_or(0, |since| now.saturating_sub(*since)),
            unanswered: monitor.map_or(0, |m| m.unanswered),
        }
    }

    /// Positions that the primaries in force reported after `since`, with their age. An entry that
    /// is told all of them finds one for each accepted age that replicas are likely to have.
    pub(crate) fn positions(&self, since: Millis, now: Millis) -> Vec<PositionSample> {
        let Some(leader) = &self.leader else { return Vec::new() };
        let leads = self.fleet().leads.iter();
        let samples = |(group, lead): (&Arc<str>, &Lead)| {
            let monitor = lead.primary.as_ref().and_then(|id| leader.monitors.get(id));
            let recent = monitor.into_iter().flat_map(|monitor| &monitor.recent);
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

    /// Resumes paused servers and demotes former primaries once a successor leads.
    fn tidy(&mut self, group: &Arc<str>, lead: &Lead, now: Millis) {
        let ids: Vec<_> = self.fleet().backends_of(group).map(|b| b.id.clone()).collect();
        for id in ids {
            let Some(monitor) = self.leader.as_mut().and_then(|l| l.monitors.get_mut(&id)) else {
                continue;
            };
            let old = monitor.status.is_some_and(|(s, _)| s.leads && s.term < lead.term);
            let wanted = if lead.primary.as_ref() == Some(&id) {
                monitor.paused = false;
                None
            } else if old {
                Some(Action::Demote(lead.term))
            } else {
                monitor.paused.then_some(Action::Resume)
            };
            if let Some(action) = wanted
                && self.due(&id, POLL, now)
            {
                self.probe(&id, action);
            }
        }
    }

    fn begin(&mut self, group: &Arc<str>, lead: &Lead, cause: Cause, now: Millis) {
        let Some(leader) = &mut self.leader else { return };
        let succession = Succession {
            cause,
            since: now,
            ordered: None,
            order_at: 0,
            ordering: false,
            logged: (String::new(), 0),
        };
        leader.successions.insert(group.clone(), succession);
        if lead.primary.is_some() {
            let former = lead.primary.clone();
            let lead = Lead { term: lead.term, primary: None, former };
            let after = lead.term;
            self.propose(FleetChange::Lead { group: group.clone(), after, lead }, None);
        }
    }

    fn advance(&mut self, group: &Arc<str>, lead: &Lead, now: Millis) {
        if lead.primary.is_some() {
            // The start or the end of the succession is not agreed yet, or it is over.
            let Some(leader) = &mut self.leader else { return };
            let over = leader.successions.get(group).is_some_and(|s| now >= s.since + PROPOSED);
            if over {
                leader.successions.remove(group);
            }
            return;
        }
        let ids: Vec<_> = self.fleet().backends_of(group).map(|b| b.id.clone()).collect();
        for id in &ids {
            if self.due(id, POLL_FAST, now) {
                self.probe(id, Action::Status);
            }
        }
        let Some(facts) = self.facts(group, lead, now) else { return };
        let step = next_step(&facts);
        self.log_step(group, &facts, &step, now);
        match step {
            Step::Adopt(id, term) => self.finish(group, lead, Some(id), term),
            Step::Keep(id) => self.finish(group, lead, Some(id), lead.term),
            Step::Pause(ids) => {
                for id in ids {
                    self.probe(&id, Action::Pause(lead.term + 1));
                }
            }
            Step::Demote(id) => self.probe(&id, Action::Demote(lead.term + 1)),
            Step::Promote(id) => self.order(group, &id, now),
            Step::Wait(_) => {}
        }
    }

    fn log_step(&mut self, group: &Arc<str>, facts: &Facts, step: &Step, now: Millis) {
        let Some(leader) = &mut self.leader else { return };
        let Some(succession) = leader.successions.get_mut(group) else { return };
        let text = format!("{step:?}");
        if succession.logged.0 == text && now < succession.logged.1 + QUIET {
            return;
        }
        log(
            Event::SuccessionStep,
            format_args!(
                "group={group} step={text} ms={} facts={facts:?}",
                now.saturating_sub(succession.since)
            ),
        );
        succession.logged = (text, now);
    }

    fn facts(&self, group: &Arc<str>, lead: &Lead, now: Millis) -> Option<Facts> {
        let leader = self.leader.as_ref()?;
        let succession = leader.successions.get(group)?;
        let mut members = BTreeMap::new();
        for backend in self.fleet().backends_of(group) {
            let monitor = leader.monitors.get(&backend.id);
            let reachable = monitor.is_some_and(|m| m.answered > 0 && now < m.answered + REACHABLE);
            let member = Member {
                draining: backend.draining,
                reachable,
                status: monitor.and_then(|m| m.status).map(|(status, _)| status),
                fenced: monitor.map_or(0, |m| m.fenced),
            };
            members.insert(backend.id.clone(), member);
        }
        let published = leader.published.get(group).copied().unwrap_or(leader.index);
        Some(Facts {
            term: lead.term,
            former: lead.former.clone(),
            cause: succession.cause,
            members,
            synchronous: self.fleet().plan.groups.get(group).map_or(1, |g| g.synchronous),
            released: match &lead.former {
                Some(former) => leader.leases.released(former, published, now),
                None => leader.leases.in_force(published, now),
            },
            ordered: succession.ordered.clone(),
        })
    }

    fn finish(&mut self, group: &Arc<str>, lead: &Lead, primary: Option<Arc<str>>, term: Term) {
        let Some(leader) = &mut self.leader else { return };
        if let Some(succession) = leader.successions.get_mut(group) {
            succession.since = leader.since.max(self.clock.now());
        }
        let after = lead.term;
        let lead = Lead { term, primary, former: None };
        self.propose(FleetChange::Lead { group: group.clone(), after, lead }, None);
    }

    /// Orders the promotion, unless an order is open.
    fn order(&mut self, group: &Arc<str>, server: &Arc<str>, now: Millis) {
        let Some(leader) = &mut self.leader else { return };
        let Some(succession) = leader.successions.get_mut(group) else { return };
        let early = succession.order_at > 0 && now < succession.order_at + ORDER_AGAIN;
        if succession.ordering || early {
            return;
        }
        succession.ordering = true;
        succession.order_at = now;
        // From here on the order may take effect.
        succession.ordered = Some(server.clone());
        let order = Order {
            group: group.clone(),
            server: server.clone(),
            holder: self.me.label.clone(),
            token: leader.term,
        };
        self.metrics.promotions.inc();
        let (lease, clock) = (self.lease.clone(), self.clock.clone());
        let permit = Box::new(move || clock.now() < lease.load(Ordering::Acquire));
        let ordering = self.promoter.promote(order, permit);
        let (input, group, server) = (self.input.clone(), group.clone(), server.clone());
        tokio::spawn(async move {
            let outcome = ordering.await;
            let _ = input.send(Input::Ordered { group, server, outcome }).await;
        });
    }

    pub(crate) fn ordered(&mut self, group: &Arc<str>, server: &Arc<str>, outcome: Ordered) {
        log(
            Event::PromotionAnswered,
            format_args!("group={group} server={server} outcome={outcome:?}"),
        );
        let Some(leader) = &mut self.leader else { return };
        let Some(succession) = leader.successions.get_mut(group) else { return };
        succession.ordering = false;
        match outcome {
            Ordered::Accepted => {}
            Ordered::NotRunning => {
                succession.ordered = None;
                succession.order_at = 0;
            }
            Ordered::Limited => succession.order_at = 0,
            Ordered::Unknown => succession.order_at = succession.order_at.min(self.clock.now()),
        }
    }

    fn due(&self, server: &Arc<str>, pause: Millis, now: Millis) -> bool {
        let monitor = self.leader.as_ref().and_then(|leader| leader.monitors.get(server));
        monitor.is_none_or(|m| !m.busy && now >= m.asked + pause)
    }

    /// Asks a server, unless a question is open.
    fn probe(&mut self, server: &Arc<str>, action: Action) {
        let now = self.now();
        let Some(backend) = self.machine.fleet.backends.get(server) else { return };
        let target = Target {
            group: backend.group.clone(),
            server: server.clone(),
            address: backend.address,
        };
        let Some(leader) = &mut self.leader else { return };
        let monitor = leader.monitors.entry(server.clone()).or_default();
        if monitor.busy {
            return;
        }
        monitor.busy = true;
        monitor.asked = now;
        let connection = monitor.connection.take();
        let (wire, input) = (self.wire.clone(), self.input.clone());
        let name: Arc<str> = self.me.label.as_str().into();
        tokio::spawn(async move {
            let probed = ask(wire, target, name, connection, action).await;
            let _ = input.send(Input::Probed(probed)).await;
        });
    }

    /// Takes the outcome of a probe.
    pub(crate) fn probed(&mut self, probed: Probed) {
        let now = self.now();
        let Probed { group, server, action, connection, outcome, refused } = probed;
        let Some(leader) = &mut self.leader else { return };
        let monitor = leader.monitors.entry(server.clone()).or_default();
        monitor.busy = false;
        monitor.connection = connection;
        let status = match outcome {
            Err(fault) => {
                match fault {
                    Fault::Refused => monitor.refused += 1,
                    Fault::Unanswered => monitor.unanswered += 1,
                    // The process may have ended; the next question tells.
                    Fault::Broken | Fault::Opening(_) => monitor.asked = 0,
                }
                // A process that starts again is neither paused nor demoted.
                monitor.fenced = 0;
                if fault == Fault::Refused {
                    monitor.asked = 0;
                }
                return;
            }
            Ok(status) => status,
        };
        monitor.answered = now;
        monitor.refused = 0;
        monitor.unanswered = 0;
        if let Some(status) = status {
            monitor.status = Some((status, monitor.asked));
            monitor.recent.push_back((status, monitor.asked, now));
            if monitor.recent.len() > SAMPLES {
                monitor.recent.pop_front();
            }
        }
        if refused.is_none() {
            match action {
                Action::Pause(term) => {
                    monitor.fenced = term;
                    monitor.paused = true;
                }
                Action::Demote(term) => monitor.fenced = term,
                Action::Resume => monitor.paused = false,
                Action::Status => {}
            }
        }
        if let Some(status) = status.filter(|status| status.leads) {
            self.led(&group, &server, status);
        }
    }

    /// A server leads a term: records it if it is later than the recorded one.
    fn led(&mut self, group: &Arc<str>, server: &Arc<str>, status: Status) {
        let lead = self.fleet().leads.get(group).cloned().unwrap_or_default();
        let unknown = lead.term == 0 && lead.primary.is_none();
        if status.term > lead.term && (unknown || lead.primary.is_some()) {
            let next = Lead { term: status.term, primary: Some(server.clone()), former: None };
            let after = lead.term;
            self.propose(FleetChange::Lead { group: group.clone(), after, lead: next }, None);
        }
    }
}

/// Time after which an agreed change of a group's leader is expected, in milliseconds.
const PROPOSED: Millis = 400;

async fn ask(
    wire: Arc<dyn crate::wire::ServerWire>,
    target: Target,
    name: Arc<str>,
    connection: Option<Connection>,
    action: Action,
) -> Probed {
    let (group, server) = (target.group.clone(), target.server.clone());
    let failed = |fault| Probed {
        group: group.clone(),
        server: server.clone(),
        action,
        connection: None,
        outcome: Err(fault),
        refused: None,
    };
    let mut connection = match connection {
        Some(connection) => connection,
        None => match Connection::open(wire.clone(), target.clone(), name).await {
            Ok(connection) => connection,
            // The process answered, so it runs.
            Err(Fault::Opening(code)) => {
                return Probed { outcome: Ok(None), refused: Some(code), ..failed(Fault::Broken) };
            }
            Err(fault) => return failed(fault),
        },
    };
    let call = match action {
        Action::Status => Call::Status,
        Action::Pause(term) => Call::Pause(term),
        Action::Resume => Call::Resume,
        Action::Demote(term) => Call::Demote(term),
    };
    match timeout(ANSWER, connection.call(&call)).await {
        Err(_) => failed(Fault::Unanswered),
        Ok(Err(fault)) => failed(fault),
        Ok(Ok(reply)) => Probed {
            group: target.group,
            server: target.server,
            action,
            outcome: Ok(wire.status(&reply.answer)),
            refused: reply.answer.code(),
            connection: Some(connection),
        },
    }
}
