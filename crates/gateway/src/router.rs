//! Routes the statements of this entry's callers to servers and decides on retries.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc, sync::Arc, time::Duration};

use auburnlug_coordination::{
    Position,
    home_regions::{self, HomeRegions, ServerSite},
    leader_silence::is_waiting_hopeless,
    position_samples::PositionSamples,
    server_choice::{Candidate, ServerRecords},
};
use auburnlug_protocol::{
    fleet::PositionSample,
    job::{Answer, Completion, DataRequirement, ErrorCode, Job, TransactionStep},
};
use auburnlug_state::{Millis, fleet::Backend};
use auburnlug_transport::event::{Event, log};
use tokio::{
    sync::Notify,
    time::{Instant, sleep_until, timeout_at},
};

use crate::{
    admission::Admission,
    entry::RENEWAL_INTERVAL,
    local_state::{LocalState, View},
    relay::{Relay, TransactionRoute},
};

const MAX_ATTEMPTS: u32 = 5;

/// Part of a statement's time that is reserved for the way back of its answer.
const ANSWER_MARGIN_MS: Millis = 10;

/// Time in which a change of the primary reaches the view: the first delay before a statement that
/// the primary refused as a replica is retried, and the interval of checks for a new view.
const VIEW_UPDATE_DELAY: Duration = Duration::from_millis(50);

/// Time after which a draining primary gets no new statements. It serves until its successor leads,
/// but no longer than this.
const DRAINING_PRIMARY_GRACE_MS: Millis = 4_000;

/// A statement of a caller.
#[derive(Debug, Clone)]
pub struct StatementTask {
    /// Job; its server is chosen by the router.
    pub job: Job,
    /// Freshness that the data must have.
    pub need: DataRequirement,
    /// Arrival time of the request, or of the first request of its transaction.
    pub arrival: Millis,
    /// Regions that may run and carry it.
    pub homes: HomeRegions,
}

impl StatementTask {
    /// Whether only the primary may run it.
    fn needs_primary(&self) -> bool {
        self.need == DataRequirement::Primary
            || self.job.run_once
            || self.job.step == (TransactionStep::First { read_only: false })
    }
}

/// Server that may run a statement now.
enum ServerChoice {
    /// A server, with the position that a replica must have applied; `None` for the primary.
    Server(Arc<str>, Option<Position>),
    /// All servers that may run the statement have full queues.
    Full,
    /// No server in the home regions can run the statement, now or soon.
    NotAtHome,
    /// No server until the view or the position samples change.
    None,
}

/// Chooses servers for statements and keeps records of their answers.
pub struct Router {
    local: Rc<LocalState>,
    relay: Rc<Relay>,
    admission: Admission,
    server_records: RefCell<ServerRecords>,
    samples: RefCell<BTreeMap<Arc<str>, PositionSamples>>,
    /// Time since which servers are known to drain.
    draining_since: RefCell<BTreeMap<Arc<str>, Millis>>,
    view_changed: Notify,
}

impl Router {
    /// A router that runs jobs through `relay`.
    pub fn new(local: Rc<LocalState>, relay: Rc<Relay>) -> Rc<Router> {
        Rc::new(Router {
            admission: Admission::new(local.clone(), relay.clone()),
            local,
            relay,
            server_records: RefCell::default(),
            samples: RefCell::default(),
            draining_since: RefCell::default(),
            view_changed: Notify::new(),
        })
    }

    /// Applies a new view.
    pub fn apply_view(&self, view: &View) {
        let now = self.local.now();
        let mut draining = self.draining_since.borrow_mut();
        draining.retain(|id, _| view.backends.get(id).is_some_and(|b| b.draining));
        for backend in view.backends.values().filter(|backend| backend.draining) {
            draining.entry(backend.id.clone()).or_insert(now);
        }
        self.server_records.borrow_mut().retain(|id| view.backends.contains_key(id));
        self.view_changed.notify_waiters();
    }

    /// Adds the position samples in the answer to a renewal sent at `sent`. The leader received the
    /// renewal later than that, so the samples are no older than assumed here.
    pub fn add_samples(&self, positions: &[PositionSample], sent: Millis) {
        let mut samples = self.samples.borrow_mut();
        for sample in positions {
            let samples = samples.entry(sample.group.clone()).or_default();
            samples.add_aged(sent, sample.age, sample.position);
        }
        self.view_changed.notify_waiters();
    }

    /// Waits for the first configuration; false if none arrived within `limit`, or none is to be
    /// expected.
    pub async fn wait_for_config(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while self.local.view().config.version == 0 {
            if self.has_no_prospect() || !self.wait_for_change(until).await {
                return false;
            }
        }
        true
    }

    /// Runs a single statement, or the first one of a transaction. Its operation is admitted by
    /// rate once a server may run it, so that operations without a server take no tokens from
    /// others.
    pub async fn run_first(&self, task: StatementTask) -> (Answer, Option<TransactionRoute>) {
        let time_left = Duration::from_millis(task.job.remaining.saturating_sub(ANSWER_MARGIN_MS));
        let started = Instant::now();
        let until = started + time_left;
        let mut excluded: Option<Arc<str>> = None;
        let mut last = Answer::error(ErrorCode::Busy, "no server is known");
        let (mut attempts, mut admitted) = (0, false);
        while attempts < MAX_ATTEMPTS {
            let (server, after) = match self.choose_server(&task, excluded.as_deref()) {
                ServerChoice::Server(server, after) => (server, after),
                refusal @ (ServerChoice::Full | ServerChoice::NotAtHome) => {
                    if attempts == 0 {
                        last = self.refuse(&refusal, &task);
                    }
                    return (last, None);
                }
                ServerChoice::None => {
                    if !self.wait_for_server(&mut last, &task, until).await {
                        return (last, None);
                    }
                    excluded = None;
                    continue;
                }
            };
            if !admitted {
                if let Err(refusal) = self.admission.admit(&task.job.account).await {
                    return (refusal, None);
                }
                admitted = true;
                // The view may have changed meanwhile.
                continue;
            }
            attempts += 1;
            let mut job = task.job.clone();
            job.server = server.clone();
            job.after = after;
            job.remaining = until.saturating_duration_since(Instant::now()).as_millis() as Millis;
            let elapsed = started.elapsed().as_millis() as Millis;
            job.objective = job.objective.saturating_sub(elapsed);
            let primary = after.is_none();
            let (answer, route) = self.run_at(job, primary, &task.homes).await;
            let Some(code) = answer.code() else { return (answer, route) };
            if let Some(route) = route {
                self.relay.release(route);
            }
            if !is_retryable(code, &task.job) || Instant::now() >= until {
                return (answer, None);
            }
            self.log_retry(&task, &server, code, attempts);
            if primary && matches!(code, ErrorCode::ReadOnly | ErrorCode::Unreachable) {
                // Another primary may be promoted; waits until the view shows it.
                sleep_until(until.min(Instant::now() + VIEW_UPDATE_DELAY * (1 << (attempts - 1))))
                    .await;
                excluded = None;
            } else {
                excluded = Some(server);
            }
            last = answer;
        }
        (last, None)
    }

    /// Runs a later statement of a transaction.
    pub async fn run_next(
        &self,
        route: TransactionRoute,
        mut task: StatementTask,
    ) -> (Answer, Option<TransactionRoute>) {
        task.job.remaining = task.job.remaining.saturating_sub(ANSWER_MARGIN_MS);
        task.job.server = route.server().clone();
        let view = self.local.view();
        let lead = view.leads.get(&task.job.group);
        let primary = lead.and_then(|l| l.primary.as_ref()) == Some(&task.job.server);
        let sent = self.local.now();
        let leased = self.local.holds_lease();
        let job = task.job.clone();
        let (answer, route) = self.relay.run_next(route, job).await;
        if primary {
            self.record_primary_answer(&task.job, &answer, sent, leased);
        }
        (answer, route)
    }

    /// Releases the route of a transaction; an open transaction is rolled back.
    pub fn release(&self, route: TransactionRoute) {
        self.relay.release(route);
    }

    /// Runs a statement at the chosen server and records its answer.
    async fn run_at(
        &self,
        job: Job,
        primary: bool,
        homes: &HomeRegions,
    ) -> (Answer, Option<TransactionRoute>) {
        let (server, group, once) = (job.server.clone(), job.group.clone(), job.run_once);
        let sent = self.local.now();
        let leased = self.local.holds_lease();
        self.server_records.borrow_mut().record_sent(&server);
        let (answer, route) = self.relay.run_first(job.clone(), homes).await;
        let now = self.local.now();
        let mut records = self.server_records.borrow_mut();
        records.record_ended(&server);
        match answer.code() {
            None | Some(ErrorCode::Failed) => {
                records.record_answer(&server, now.saturating_sub(sent), answer.position, now);
                if !primary && answer.code().is_none() {
                    self.local.metrics.replica_reads.inc();
                }
            }
            Some(ErrorCode::Busy) if answer.expected_wait > 0 => {
                records.record_full_queue(&server, job.priority, now)
            }
            Some(ErrorCode::Behind) => records.record_behind(&server, answer.position, now),
            Some(
                ErrorCode::Unreachable
                | ErrorCode::WrongServer
                | ErrorCode::ConnectionLimit
                | ErrorCode::Unknown
                | ErrorCode::Timeout
                | ErrorCode::Busy,
            ) => records.record_failure(&server, now),
            Some(_) => {}
        }
        drop(records);
        if primary {
            self.record_primary_answer(&job, &answer, sent, leased);
            if once && answer.code() == Some(ErrorCode::Timeout) {
                self.local.record_stalled_commit(&group, &server);
            }
        }
        (answer, route)
    }

    /// Records the answer of a primary; its position counts only if the lease was valid at `sent`.
    fn record_primary_answer(&self, job: &Job, answer: &Answer, sent: Millis, leased: bool) {
        let ran = matches!(answer.code(), None | Some(ErrorCode::Failed));
        if !ran {
            return;
        }
        self.local.record_answer(&job.group, &job.server, job.run_once);
        if let Some(position) = answer.position.filter(|_| leased) {
            let mut samples = self.samples.borrow_mut();
            samples.entry(job.group.clone()).or_default().add(sent, position);
        }
    }

    /// Chooses a server for a statement, among those with a connection owner. A server without one
    /// cannot be reached until the view names an owner.
    fn choose_server(&self, task: &StatementTask, excluded: Option<&str>) -> ServerChoice {
        let view = self.local.view();
        let (group, priority, now) = (&task.job.group, task.job.priority, self.local.now());
        let homes = &task.homes;
        if !homes.is_everywhere() && !self.has_home_prospect(&view, task) {
            return ServerChoice::NotAtHome;
        }
        let reachable = |backend: &Backend| {
            view.has_owner_at(&backend.id, homes, &self.local.me.name)
                && self.local.is_home(homes, &backend.domain)
        };
        let primary = self.usable_primary(&view, group).filter(|b| reachable(b));
        let records = self.server_records.borrow();
        let Some(required) = self.required_position(task) else {
            return match primary {
                None => ServerChoice::None,
                Some(backend) if records.has_full_queue(&backend.id, priority, now) => {
                    ServerChoice::Full
                }
                Some(backend) => ServerChoice::Server(backend.id.clone(), None),
            };
        };
        let leads = |backend: &Backend| primary.is_some_and(|p| p.id == backend.id);
        let usable = |b: &&Backend| {
            *b.group == **group
                && (leads(b) || !b.draining)
                && !view.is_evacuated(b)
                && reachable(b)
        };
        let (full, candidates): (Vec<Candidate>, Vec<Candidate>) = view
            .backends
            .values()
            .filter(usable)
            .filter(|backend| leads(backend) || !self.is_primary(&view, backend))
            .map(|b| Candidate {
                server: b.id.clone(),
                slots: b.slots,
                primary: leads(b),
                remote: !view.has_owner_in(&b.id, &self.local.me.region),
            })
            .partition(|candidate| records.has_full_queue(&candidate.server, priority, now));
        match records.choose(&candidates, Some(required), excluded, now) {
            Some(server) => {
                let after = (primary.map(|p| &p.id) != Some(&server)).then_some(required);
                ServerChoice::Server(server, after)
            }
            None if full.is_empty()
                || candidates.iter().any(|c| records.is_catching_up(&c.server)) =>
            {
                ServerChoice::None
            }
            None => ServerChoice::Full,
        }
    }

    /// Whether a server in the home regions can run a statement, now or once the view changes.
    fn has_home_prospect(&self, view: &View, task: &StatementTask) -> bool {
        let group = &task.job.group;
        let lead = view.leads.get(group).and_then(|lead| lead.primary.as_ref());
        let primary = lead.filter(|id| !self.is_overdue(id));
        let primary_only = task.needs_primary();
        let site = |backend: &Backend| ServerSite {
            at_home: self.local.is_home(&task.homes, &backend.domain)
                && !view.is_evacuated(backend),
            eligible: match primary {
                Some(primary) if *primary == backend.id => true,
                Some(_) if primary_only => false,
                _ => !backend.draining,
            },
            owned: view.has_connection_owner(&backend.id),
            reachable: view.has_owner_at(&backend.id, &task.homes, &self.local.me.name),
        };
        home_regions::have_prospect(view.backends.values().filter(|b| b.group == *group).map(site))
    }

    /// Refuses a statement for which no server was chosen.
    fn refuse(&self, choice: &ServerChoice, task: &StatementTask) -> Answer {
        if !matches!(choice, ServerChoice::NotAtHome) {
            return Answer::error(ErrorCode::Busy, "the queues of its servers are full");
        }
        self.local.metrics.home_refusals.inc();
        log(
            Event::HomeRefused,
            format_args!(
                "id={} group={} account={}",
                task.job.id, task.job.group, task.job.account
            ),
        );
        Answer::error(ErrorCode::Busy, "no server in the home regions can run the statement")
    }

    /// Whether a primary has been draining for too long.
    fn is_overdue(&self, primary: &str) -> bool {
        let draining = self.draining_since.borrow();
        let since = draining.get(primary);
        since.is_some_and(|since| self.local.now() >= since + DRAINING_PRIMARY_GRACE_MS)
    }

    /// Primary of a group, if the lease is valid, it has not been draining for too long, and its
    /// failure domain is not evacuated.
    fn usable_primary<'a>(&self, view: &'a View, group: &str) -> Option<&'a Backend> {
        let id = view.leads.get(group)?.primary.as_ref().filter(|_| self.local.holds_lease())?;
        view.backends.get(id).filter(|b| !self.is_overdue(id) && !view.is_evacuated(b))
    }

    fn is_primary(&self, view: &View, backend: &Backend) -> bool {
        view.leads.get(&backend.group).and_then(|l| l.primary.as_ref()) == Some(&backend.id)
    }

    /// Position that a replica must have applied; `None` if only the primary may run the statement.
    fn required_position(&self, task: &StatementTask) -> Option<Position> {
        let DataRequirement::Recent { age, after } = task.need else { return None };
        if task.needs_primary() {
            return None;
        }
        let samples = self.samples.borrow();
        let required =
            samples.get(&task.job.group)?.required_position(task.arrival.saturating_sub(age))?;
        Some(after.map_or(required, |after| after.max(required)))
    }

    /// Waits for a change after which a server may run a statement; false, with the reason in
    /// `last`, if none is to be expected in time.
    async fn wait_for_server(
        &self,
        last: &mut Answer,
        task: &StatementTask,
        until: Instant,
    ) -> bool {
        if self.local.view().is_group_evacuated(&task.job.group) {
            self.local.metrics.evacuation_refusals.inc();
            *last = Answer::error(ErrorCode::Busy, "its servers are evacuated");
            return false;
        }
        let waited = !self.has_no_prospect() && self.wait_for_change(until).await;
        if !waited {
            self.add_refusal_details(last, task);
        }
        waited
    }

    /// Waits for a new view, at most [`VIEW_UPDATE_DELAY`]; false if `until` has passed.
    async fn wait_for_change(&self, until: Instant) -> bool {
        let pause = until.min(Instant::now() + VIEW_UPDATE_DELAY);
        // A change while no task waited is noticed after the pause.
        let _ = timeout_at(pause, self.view_changed.notified()).await;
        Instant::now() < until
    }

    /// Whether a request without a server has no prospect of one.
    fn has_no_prospect(&self) -> bool {
        is_waiting_hopeless(self.local.leader_silence())
    }

    /// Adds the silence of the control leader, if it was the cause, and the known leader of the group
    /// to the reason of a refusal.
    fn add_refusal_details(&self, answer: &mut Answer, task: &StatementTask) {
        let view = self.local.view();
        let lead = view.leads.get(&task.job.group);
        let cause = self.describe_silence();
        if let Completion::Error(_, reason) = &mut answer.end {
            *reason = format!(
                "{reason}{cause}; term {} primary {} leased {} update {}",
                lead.map_or(0, |lead| lead.term),
                lead.and_then(|lead| lead.primary.as_deref()).unwrap_or("none"),
                self.local.holds_lease(),
                view.index
            )
            .into();
        }
    }

    /// Silence of the control leader if it leaves a request without a prospect, and when the caller
    /// may ask again: by then the entry has asked for a lease once more.
    pub fn describe_silence(&self) -> String {
        if !self.has_no_prospect() {
            return String::new();
        }
        let (silence, retry) = (self.local.leader_silence(), RENEWAL_INTERVAL.as_millis());
        format!("; no control leader for {silence} ms; retry after {retry} ms")
    }

    fn log_retry(&self, task: &StatementTask, server: &str, code: ErrorCode, attempts: u32) {
        self.local.metrics.count_retry(code.label());
        log(
            Event::RequestRetried,
            format_args!(
                "id={} group={} server={server} try={attempts} code={code} again=yes",
                task.job.id, task.job.group
            ),
        );
    }
}

/// Whether a statement may be retried after an error.
fn is_retryable(code: ErrorCode, job: &Job) -> bool {
    let ran = matches!(code, ErrorCode::Failed | ErrorCode::Unknown | ErrorCode::Aborted);
    code.not_run() || (ran && !job.run_once)
}
