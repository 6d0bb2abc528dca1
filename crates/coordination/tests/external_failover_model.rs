//! Model test of external failover: random walks in which commits, crashes, delayed answers, changes
//! of the control leader and orders in flight interleave, and no acknowledged commit may be missing
//! in the log of a server that is promoted.
//!
//! The steps are those of [`next_step`] and the agreed state is a [`Fleet`]. What a control leader
//! knows of each server follows `gateway::control_probe`, which does I/O. `MODEL_WALKS` chooses a
//! longer run.

use std::{collections::BTreeMap, sync::Arc};

use auburnlug_coordination::{
    Position,
    external_failover::{Cause, Facts, Member, Ordered, Status, Step, can_replace, next_step},
};
use auburnlug_state::{
    Millis, Term,
    departures::Departures,
    fleet::{Backend, Fleet, FleetChange, GroupPrimary, Incarnation, OrderedPromotion},
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SERVERS: usize = 3;

/// Events of a random walk.
const EVENTS: usize = 6_000;

/// Constants of the control leader, in milliseconds.
const REACHABLE_TIMEOUT_MS: Millis = 1_000;
const PROMOTION_RETRY_DELAY_MS: Millis = 2_500;
const PROBE_TIMEOUT_MS: Millis = 450;
const LEASE_MS: Millis = 4_500;

/// Longest time for which a partition holds up a message.
const MAX_PARTITION_MS: Millis = 15_000;

/// Longest time from an order that was received to its effect.
const PROMOTION_TIME_MS: Millis = 1_000;

fn id(server: usize) -> Arc<str> {
    format!("s{server}").into()
}

fn index(id: &str) -> usize {
    id[1..].parse().expect("made by id()")
}

/// A database server.
#[derive(Debug, Clone)]
struct Server {
    alive: bool,
    leads: bool,
    term: Term,
    /// Commits, each with the term in which it was made.
    log: Vec<(Term, u64)>,
    /// Term up to which it refuses to receive; 0 if it is not paused.
    paused: Term,
}

impl Server {
    /// Becomes a replica of `primary` and rolls back what that one does not have.
    fn follow(&mut self, primary: &Server) {
        let common =
            self.log.iter().zip(&primary.log).take_while(|(own, other)| own == other).count();
        self.log.truncate(common);
        (self.leads, self.term, self.paused) = (false, primary.term, 0);
    }

    fn status(&self) -> Status {
        let term = self.log.last().map_or(0, |(term, _)| *term);
        let received = Position { term, offset: self.log.len() as u64 };
        Status { leads: self.leads, term: self.term, received }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Action {
    Status,
    Pause(Term),
    Resume,
    Demote(Term),
}

/// A probe in flight. `answer` is set once the server has handled it.
#[derive(Debug, Clone)]
struct Probe {
    leadership: u64,
    server: usize,
    action: Action,
    asked: Millis,
    /// Time until which a partition holds it up.
    held: Millis,
    answer: Option<Status>,
}

/// What a control leader knows of a server.
#[derive(Debug, Clone, Default)]
struct Monitor {
    probing: bool,
    probed: Millis,
    answered: Millis,
    status: Option<(Status, Millis)>,
    fenced: Term,
    /// Times of the probe that fenced it and of its answer.
    fenced_at: (Millis, Millis),
    holds: Position,
    paused: bool,
}

/// A failover in progress at the control leader.
#[derive(Debug, Clone, Default)]
struct Failover {
    ordered_at: Millis,
    pending: bool,
    effective_until: Millis,
}

/// An order of promotion on its way to the authority, or being carried out.
#[derive(Debug, Clone)]
struct Order {
    leadership: u64,
    server: usize,
    sent: Millis,
    /// Time until which a partition holds it up.
    held: Millis,
    /// Time of its effect, once it was received.
    effect: Option<Millis>,
}

struct Model {
    rng: ChaCha8Rng,
    now: Millis,
    servers: Vec<Server>,
    fleet: Fleet,
    leadership: u64,
    monitors: BTreeMap<usize, Monitor>,
    failover: Option<(Cause, Failover)>,
    probes: Vec<Probe>,
    orders: Vec<Order>,
    /// Primary that entries use, and the time until which they may.
    used: Option<(usize, Millis)>,
    acknowledged: Vec<u64>,
    next_commit: u64,
    /// Commits that wait for a replica, with the primary's term.
    waiting: Vec<(u64, usize)>,
    /// Whether orders in flight are lost with their leadership.
    loses_orders: bool,
    /// Whether entries check their lease when a commit is answered.
    confirms: bool,
    promotions: usize,
    trace: Vec<String>,
}

impl Model {
    fn new(seed: u64, loses_orders: bool, confirms: bool) -> Model {
        let server = |leads| Server { alive: true, leads, term: 1, log: Vec::new(), paused: 0 };
        let mut fleet = Fleet::default();
        for number in 0..SERVERS {
            fleet.apply(&FleetChange::Record(Backend {
                id: id(number),
                group: "g".into(),
                address: ([10, 0, 0, number as u8], 1).into(),
                domain: "d".into(),
                slots: 3,
                draining: false,
                cold: false,
                run: Incarnation(1),
            }));
        }
        let lead = GroupPrimary { term: 1, primary: Some(id(0)), ..GroupPrimary::default() };
        fleet.apply(&FleetChange::Lead { group: "g".into(), after: 0, lead });
        Model {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: 1_000,
            servers: (0..SERVERS).map(|number| server(number == 0)).collect(),
            fleet,
            leadership: 1,
            monitors: BTreeMap::new(),
            failover: None,
            probes: Vec::new(),
            orders: Vec::new(),
            used: Some((0, Millis::MAX)),
            acknowledged: Vec::new(),
            next_commit: 1,
            waiting: Vec::new(),
            loses_orders,
            confirms,
            promotions: 0,
            trace: Vec::new(),
        }
    }

    fn lead(&self) -> GroupPrimary {
        self.fleet.leads["g"].clone()
    }

    fn log(&mut self, text: String) {
        self.trace.push(format!("{} {text}", self.now));
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.rng.random_range(0..100) < percent
    }

    /// Time until which a message that is sent now is held up.
    fn held_until(&mut self) -> Millis {
        if self.chance(15) { self.now + self.rng.random_range(0..MAX_PARTITION_MS) } else { 0 }
    }

    fn pick(&mut self) -> usize {
        self.rng.random_range(0..SERVERS)
    }

    /// One random event; an error names the broken invariant.
    fn run_event(&mut self) -> Result<(), String> {
        self.now += self.rng.random_range(1..15);
        self.expire();
        match self.rng.random_range(0..1_000) {
            0..150 => self.commit(),
            150..350 => self.replicate(),
            350..550 => self.handle_probe(),
            550..750 => self.answer_probe(),
            750..950 => self.run_leader(),
            950..980 => self.deliver_order(),
            980..986 => self.crash_or_restart(),
            986..990 => self.change_leader(),
            _ => self.suspect(),
        }
        self.carry_out_orders()
    }

    /// Ends leases, and probes and orders without an answer.
    fn expire(&mut self) {
        let primary = self.lead().primary;
        match (&primary, self.used) {
            (Some(primary), used) if used.is_none_or(|(server, _)| server != index(primary)) => {
                self.used = Some((index(primary), Millis::MAX));
            }
            (None, Some((server, Millis::MAX))) => {
                let end = self.now + self.rng.random_range(10..LEASE_MS);
                self.used = Some((server, end));
            }
            _ => {}
        }
        let (now, leadership) = (self.now, self.leadership);
        let late = |probe: &Probe| now > probe.asked + PROBE_TIMEOUT_MS;
        let expired: Vec<_> =
            self.probes.iter().filter(|p| p.leadership == leadership && late(p)).cloned().collect();
        // A probe that timed out is answered no more; it may still arrive unless it was reset.
        for probe in expired {
            if let Some(monitor) = self.monitors.get_mut(&probe.server) {
                monitor.probing = false;
                monitor.fenced = 0;
                monitor.status = None;
                monitor.holds = Position::default();
            }
        }
        let resets = self.loses_orders;
        self.probes.retain(|probe| !late(probe) || (!resets && probe.answer.is_none()));
        if resets {
            self.orders.retain(|order| order.effect.is_some() || now < order.sent + 2_000);
        }
        if let Some((_, failover)) = &mut self.failover
            && failover.pending
            && now >= failover.ordered_at + 2_000
        {
            failover.pending = false;
            failover.effective_until = now + PROMOTION_RETRY_DELAY_MS;
        }
    }

    /// An entry commits at the primary that it may use.
    fn commit(&mut self) {
        let Some((server, until)) = self.used else { return };
        let primary = &mut self.servers[server];
        if self.now >= until || !primary.alive || !primary.leads {
            return;
        }
        let commit = self.next_commit;
        self.next_commit += 1;
        primary.log.push((primary.term, commit));
        self.waiting.push((commit, server));
    }

    /// A replica receives the log of a primary of its term or a later one, and the primary
    /// acknowledges what a replica has.
    fn replicate(&mut self) {
        let (from, to) = (self.pick(), self.pick());
        let (source, target) = (self.servers[from].clone(), &mut self.servers[to]);
        let refuses = target.paused > source.term || target.leads || target.term > source.term;
        if from == to || !source.alive || !source.leads || !target.alive || refuses {
            return;
        }
        let received = if target.log.len() <= source.log.len()
            && target.log[..] == source.log[..target.log.len()]
        {
            let more = source.log.len() - target.log.len();
            target.log.len() + self.rng.random_range(0..=more)
        } else {
            // It has commits that the primary rolled back.
            source.log.len()
        };
        target.log = source.log[..received].to_vec();
        target.term = source.term;
        let has: Vec<u64> = target.log.iter().map(|(_, commit)| *commit).collect();
        let (done, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|(commit, server)| *server == from && has.contains(commit));
        self.waiting = waiting;
        // An entry passes on what is acknowledged under its lease only.
        let leased = self.used.is_some_and(|(server, until)| server == from && self.now < until);
        if leased || !self.confirms {
            self.acknowledged.extend(done.into_iter().map(|(commit, _)| commit));
        }
    }

    /// A server handles a probe.
    fn handle_probe(&mut self) {
        if self.probes.is_empty() {
            return;
        }
        let number = self.rng.random_range(0..self.probes.len());
        let newest = self.servers.iter().map(|s| s.term).max().unwrap_or(0);
        let (server, action) = (self.probes[number].server, self.probes[number].action);
        let probe = &self.probes[number];
        if probe.answer.is_some() || probe.held > self.now || !self.servers[server].alive {
            return;
        }
        let target = &mut self.servers[server];
        match action {
            Action::Pause(term) if term > newest && !target.leads => target.paused = term,
            Action::Resume => target.paused = 0,
            Action::Demote(term) if target.term < term => target.leads = false,
            _ => {}
        }
        let status = target.status();
        self.probes[number].answer = Some(status);
        self.log(format!("s{server} handles {action:?}: {status:?}"));
    }

    /// An answer reaches the leader that asked.
    fn answer_probe(&mut self) {
        let Some(number) = self.probes.iter().position(|probe| probe.answer.is_some()) else {
            return;
        };
        let probe = self.probes.remove(number);
        let Some(status) = probe.answer.filter(|_| probe.leadership == self.leadership) else {
            return;
        };
        let (now, term) = (self.now, self.lead().term);
        let monitor = self.monitors.entry(probe.server).or_default();
        monitor.probing = false;
        monitor.answered = now;
        monitor.status = Some((status, monitor.probed));
        monitor.holds = monitor.holds.max(status.received);
        match probe.action {
            Action::Pause(fence) => {
                if monitor.fenced != fence {
                    monitor.fenced_at = (monitor.probed, now);
                }
                (monitor.fenced, monitor.paused) = (fence, true);
            }
            Action::Demote(fence) => {
                if monitor.fenced != fence {
                    monitor.fenced_at = (monitor.probed, now);
                }
                monitor.fenced = fence;
            }
            Action::Resume => (monitor.fenced, monitor.paused) = (0, false),
            Action::Status => {}
        }
        let lead = self.lead();
        if status.leads && status.term > term && lead.primary.is_some() {
            self.record_primary(probe.server, status.term);
        }
    }

    fn probe(&mut self, server: usize, action: Action) {
        let (leadership, asked) = (self.leadership, self.now);
        let monitor = self.monitors.entry(server).or_default();
        if monitor.probing {
            return;
        }
        (monitor.probing, monitor.probed) = (true, asked);
        let held = self.held_until();
        self.probes.push(Probe { leadership, server, action, asked, held, answer: None });
    }

    fn record_primary(&mut self, server: usize, term: Term) {
        let after = self.lead().term;
        let lead = GroupPrimary { term, primary: Some(id(server)), ..GroupPrimary::default() };
        let applied = self.fleet.apply(&FleetChange::Lead { group: "g".into(), after, lead });
        self.log(format!("record primary s{server} term {term}: {applied:?}"));
    }

    /// The failure detector suspects the primary, with or without a reason.
    fn suspect(&mut self) {
        let lead = self.lead();
        let Some(primary) = lead.primary.clone().filter(|_| self.failover.is_none()) else {
            return;
        };
        let server = &self.servers[index(&primary)];
        let cause = match self.rng.random_range(0..3) {
            _ if !server.alive => Cause::Unreachable,
            0 => Cause::Unreachable,
            1 => Cause::Leaving,
            _ => Cause::Stalled,
        };
        let replaced = GroupPrimary { primary: None, former: Some(primary), ..lead.clone() };
        if cause != Cause::Unreachable {
            let recent = self.now.saturating_sub(REACHABLE_TIMEOUT_MS);
            if !can_replace(&self.facts(&replaced, cause, Some(recent))) {
                return;
            }
        }
        self.failover = Some((cause, Failover::default()));
        let (after, group) = (lead.term, "g".into());
        self.fleet.apply(&FleetChange::Lead { group, after, lead: replaced });
        self.log(format!("start failover {cause:?}"));
    }

    fn facts(&self, lead: &GroupPrimary, cause: Cause, recent: Option<Millis>) -> Facts {
        let former = lead.former.clone();
        let monitor = |id: &str| self.monitors.get(&index(id)).cloned().unwrap_or_default();
        let demoted_at = former
            .as_ref()
            .map(|former| monitor(former))
            .filter(|m| m.fenced > lead.term)
            .map(|m| m.fenced_at.1);
        let settled_at = demoted_at.or(recent);
        let member = |backend: &Backend| {
            let m = monitor(&backend.id);
            let fenced_at = (m.fenced > lead.term).then_some(m.fenced_at.0);
            let since = fenced_at.into_iter().chain(settled_at).min();
            let member = Member {
                draining: backend.draining,
                evacuated: false,
                reachable: m.answered > 0 && self.now < m.answered + REACHABLE_TIMEOUT_MS,
                status: m.status.map(|(status, _)| status),
                settled: m
                    .status
                    .is_some_and(|(_, asked)| since.is_some_and(|since| asked >= since)),
                holds: m.holds,
                fenced: m.fenced,
            };
            (backend.id.clone(), member)
        };
        let failover = self.failover.as_ref().map(|(_, failover)| failover);
        Facts {
            term: lead.term,
            former,
            cause,
            members: self.fleet.backends_of("g").map(member).collect(),
            synchronous: 1,
            departed: Some(
                self.fleet
                    .departures
                    .get("g")
                    .map_or(Position::default(), |d| Departures::end(d).unwrap_or_default()),
            ),
            released: self.used.is_none_or(|(_, until)| self.now >= until),
            demoted_for: demoted_at.map_or(0, |at| self.now.saturating_sub(at)),
            led_for: 60_000,
            ordered: lead.ordered.as_ref().map(|ordered| Ordered {
                server: ordered.server.clone(),
                running: true,
                pending: failover.is_none_or(|f| f.pending || self.now < f.effective_until),
            }),
        }
    }

    /// The control leader probes servers and runs the next step.
    fn run_leader(&mut self) {
        let lead = self.lead();
        if lead.primary.is_some() {
            self.failover = None;
            let server = self.pick();
            let monitor = self.monitors.get(&server).cloned().unwrap_or_default();
            let is_former = monitor.status.is_some_and(|(s, _)| s.leads && s.term < lead.term);
            let action = if lead.primary == Some(id(server)) {
                Action::Status
            } else if is_former {
                Action::Demote(lead.term)
            } else if monitor.paused {
                Action::Resume
            } else {
                Action::Status
            };
            return self.probe(server, action);
        }
        if self.failover.is_none() {
            let until =
                if lead.ordered.is_some() { self.now + PROMOTION_RETRY_DELAY_MS } else { 0 };
            let failover = Failover { effective_until: until, ..Failover::default() };
            self.failover = Some((Cause::Stalled, failover));
        }
        if self.chance(50) {
            let server = self.pick();
            return self.probe(server, Action::Status);
        }
        let Some((cause, _)) = self.failover.clone() else { return };
        let facts = self.facts(&lead, cause, None);
        let step = next_step(&facts);
        match step {
            Step::Adopt(server, term) => self.record_primary(index(&server), term),
            Step::Keep(server) => self.record_primary(index(&server), lead.term),
            Step::Pause(servers) => {
                servers.iter().for_each(|s| self.probe(index(s), Action::Pause(lead.term + 1)));
            }
            Step::Demote(server) => self.probe(index(&server), Action::Demote(lead.term + 1)),
            Step::Promote(server) if lead.ordered.is_some() => self.send_order(index(&server)),
            Step::Promote(server) => {
                let ordered = Some(OrderedPromotion { server, run: Incarnation(1) });
                self.log(format!("order {ordered:?} by {facts:?}"));
                let (group, before) = ("g".into(), None);
                self.fleet.apply(&FleetChange::Order { group, after: lead.term, before, ordered });
            }
            Step::Withdraw(_) => {
                let (group, before) = ("g".into(), lead.ordered);
                let change = FleetChange::Order { group, after: lead.term, before, ordered: None };
                self.fleet.apply(&change);
            }
            Step::Wait(_) => {}
        }
    }

    fn send_order(&mut self, server: usize) {
        let (leadership, sent) = (self.leadership, self.now);
        let Some((_, failover)) = &mut self.failover else { return };
        let early =
            failover.ordered_at > 0 && sent < failover.ordered_at + PROMOTION_RETRY_DELAY_MS;
        if failover.pending || early {
            return;
        }
        (failover.pending, failover.ordered_at) = (true, sent);
        let held = self.held_until();
        self.orders.push(Order { leadership, server, sent, held, effect: None });
        self.log(format!("leader {leadership} sends the order for s{server}"));
    }

    /// The authority receives an order.
    fn deliver_order(&mut self) {
        let effect = self.now + self.rng.random_range(1..PROMOTION_TIME_MS);
        let now = self.now;
        let arrives = |order: &&mut Order| order.effect.is_none() && order.held <= now;
        let Some(order) = self.orders.iter_mut().find(arrives) else { return };
        order.effect = Some(effect);
        if order.leadership == self.leadership
            && let Some((_, failover)) = &mut self.failover
            && failover.ordered_at == order.sent
        {
            failover.pending = false;
            failover.effective_until = self.now + PROMOTION_RETRY_DELAY_MS;
        }
    }

    fn carry_out_orders(&mut self) -> Result<(), String> {
        while let Some(number) =
            self.orders.iter().position(|o| o.effect.is_some_and(|at| at <= self.now))
        {
            let order = self.orders.remove(number);
            let newest = self.servers.iter().map(|s| s.term).max().unwrap_or(0);
            let server = &mut self.servers[order.server];
            // For the present primary, nothing changes.
            if !server.alive || (server.leads && server.term == newest) {
                continue;
            }
            (server.leads, server.term) = (true, newest + 1);
            self.promotions += 1;
            let promoted = server.clone();
            let log: Vec<u64> = promoted.log.iter().map(|(_, commit)| *commit).collect();
            // Replicas follow the new primary at once; the former one goes on until it is demoted.
            for server in self.servers.iter_mut().filter(|server| server.alive && !server.leads) {
                server.follow(&promoted);
            }
            self.log(format!("s{} is promoted by {order:?}: {log:?}", order.server));
            if let Some(lost) = self.acknowledged.iter().find(|commit| !log.contains(commit)) {
                return Err(format!("commit {lost} is not in the log of s{}", order.server));
            }
        }
        Ok(())
    }

    /// A server crashes, or starts again with its log.
    fn crash_or_restart(&mut self) {
        let number = self.pick();
        let newest = self.servers.iter().filter(|s| s.leads).max_by_key(|s| s.term).cloned();
        let server = &mut self.servers[number];
        server.alive = !server.alive;
        server.paused = 0;
        if let Some(newest) = newest.filter(|newest| server.alive && server.term < newest.term) {
            server.follow(&newest);
        }
        let alive = server.alive;
        self.waiting.retain(|(_, primary)| *primary != number);
        // A probe of a process that has ended fails.
        let failed: Vec<_> = self
            .probes
            .iter()
            .filter(|p| p.server == number && p.leadership == self.leadership)
            .map(|p| p.server)
            .collect();
        self.probes.retain(|probe| probe.server != number);
        for server in failed {
            self.monitors.insert(server, Monitor::default());
        }
        if let Some(monitor) = self.monitors.get_mut(&number) {
            // The connection breaks, so what was known of the process is dropped.
            let answered = monitor.answered;
            *monitor = Monitor { answered, ..Monitor::default() };
        }
        self.log(format!("s{number} alive {alive}"));
    }

    fn change_leader(&mut self) {
        self.leadership += 1;
        self.monitors.clear();
        self.failover = None;
        if self.loses_orders {
            self.probes.clear();
            self.orders.retain(|order| order.effect.is_some());
        }
        self.log(format!("leader {}", self.leadership));
    }
}

/// Runs random walks until one breaks the invariant; returns its seed and trace.
fn find_violation(seeds: u64, loses_orders: bool, confirms: bool) -> Option<String> {
    let mut promotions = 0;
    for seed in 0..seeds {
        let mut model = Model::new(seed, loses_orders, confirms);
        for _ in 0..EVENTS {
            if let Err(reason) = model.run_event() {
                return Some(format!("seed {seed}: {reason}\n{}", model.trace.join("\n")));
            }
        }
        promotions += model.promotions;
    }
    println!("{promotions} promotions");
    None
}

#[test]
fn no_acknowledged_commit_is_lost_in_random_failovers() {
    let walks = std::env::var("MODEL_WALKS").ok().and_then(|text| text.parse().ok());
    assert_eq!(find_violation(walks.unwrap_or(2_000), true, true), None);
}

/// Orders that outlast their leadership lose commits, so the model can tell.
#[test]
fn orders_that_arrive_after_their_leadership_lose_commits() {
    assert!(find_violation(10_000, false, true).is_some());
}

/// A commit that a replica received after the comparison was acknowledged, so the model can tell.
#[test]
fn commits_that_are_acknowledged_beyond_the_lease_are_lost() {
    assert!(find_violation(10_000, true, false).is_some());
}
