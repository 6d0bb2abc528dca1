//! Decides where the statements of this entry's callers run, and whether they are tried again.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc, sync::Arc, time::Duration};

use auburnlug_coordination::{
    Position,
    pick::{Candidate, Records},
    samples::Samples,
};
use auburnlug_protocol::{
    fleet::PositionSample,
    job::{Answer, Code, End, Job, Need, Step},
};
use auburnlug_state::{Millis, fleet::Backend};
use auburnlug_transport::event::{Event, log};
use tokio::{
    sync::Notify,
    time::{Instant, sleep_until, timeout_at},
};

use crate::{
    local::{Local, View},
    relay::{Place, Relay},
};

/// Tries of one statement.
const TRIES: u32 = 5;

/// Part of a statement's time that is kept for its answer to travel, in milliseconds.
const MARGIN: Millis = 10;

/// Pause before a primary is asked again that refused as a replica, in milliseconds: the view needs
/// that long to follow.
const VIEW_WAIT: Duration = Duration::from_millis(50);

/// Time after which a primary that was announced as leaving gets no new work, in milliseconds. It
/// works on until its successor leads, but not longer.
const LEAVING: Millis = 4_000;

/// A statement of a caller.
#[derive(Debug, Clone)]
pub struct Task {
    /// Job without a server.
    pub job: Job,
    /// Data that it must see.
    pub need: Need,
    /// Arrival of the request, or of the first one of its transaction.
    pub arrival: Millis,
}

/// Where a statement may run now.
enum Choice {
    /// A server, with the position that its log must include.
    Server(Arc<str>, Option<Position>),
    /// The servers that may run it have full queues.
    Full,
    /// None, until the view or the samples change.
    None,
}

/// Chooses servers and learns from their answers.
pub struct Router {
    local: Rc<Local>,
    relay: Rc<Relay>,
    records: RefCell<Records>,
    samples: RefCell<BTreeMap<Arc<str>, Samples>>,
    /// Time since which servers are known to be leaving.
    leaving: RefCell<BTreeMap<Arc<str>, Millis>>,
    changed: Notify,
}

impl Router {
    /// A router that runs jobs through `relay`.
    pub fn new(local: Rc<Local>, relay: Rc<Relay>) -> Rc<Router> {
        Rc::new(Router {
            local,
            relay,
            records: RefCell::default(),
            samples: RefCell::default(),
            leaving: RefCell::default(),
            changed: Notify::new(),
        })
    }

    /// Takes note of a new view or lease.
    pub fn refresh(&self, view: &View) {
        let now = self.local.now();
        let mut leaving = self.leaving.borrow_mut();
        leaving.retain(|id, _| view.backends.get(id).is_some_and(|b| b.draining));
        for backend in view.backends.values().filter(|backend| backend.draining) {
            leaving.entry(backend.id.clone()).or_insert(now);
        }
        self.records.borrow_mut().retain(|id| view.backends.contains_key(id));
        self.changed.notify_waiters();
    }

    /// Takes the control leader's samples in the answer to a renewal sent at `sent`. The leader
    /// received the renewal later, so the questions were asked no earlier than counted here.
    pub fn learn(&self, positions: &[PositionSample], sent: Millis) {
        let mut samples = self.samples.borrow_mut();
        for sample in positions {
            let samples = samples.entry(sample.group.clone()).or_default();
            samples.add_aged(sent, sample.age, sample.position);
        }
        self.changed.notify_waiters();
    }

    /// Waits for the first configuration; false if none came in `limit`.
    pub async fn viewed(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while self.local.view().plan.version == 0 {
            if !self.wait(until).await {
                return false;
            }
        }
        true
    }

    /// Runs a single statement, or the first one of a transaction.
    pub async fn start(&self, task: Task) -> (Answer, Option<Place>) {
        let left = Duration::from_millis(task.job.left.saturating_sub(MARGIN));
        let until = Instant::now() + left;
        let mut exclude: Option<Arc<str>> = None;
        let mut last = Answer::error(Code::Busy, "no server is known");
        let mut tries = 0;
        while tries < TRIES {
            let (server, after) = match self.choose(&task, exclude.as_deref()) {
                Choice::Server(server, after) => (server, after),
                Choice::Full => {
                    if tries == 0 {
                        last = Answer::error(Code::Busy, "the queues of its servers are full");
                    }
                    return (last, None);
                }
                Choice::None => {
                    if !self.wait(until).await {
                        self.explain(&mut last, &task);
                        return (last, None);
                    }
                    exclude = None;
                    continue;
                }
            };
            tries += 1;
            let mut job = task.job.clone();
            job.server = server.clone();
            job.after = after;
            job.left = until.saturating_duration_since(Instant::now()).as_millis() as Millis;
            let primary = after.is_none();
            let (answer, place) = self.run(job, primary).await;
            let Some(code) = answer.code() else { return (answer, place) };
            if let Some(place) = place {
                self.relay.end(place);
            }
            if !again(code, &task.job) || Instant::now() >= until {
                return (answer, None);
            }
            self.log_retry(&task, &server, code, tries);
            if primary && matches!(code, Code::ReadOnly | Code::Unreachable) {
                // Another primary may be promoted; the view follows.
                sleep_until(until.min(Instant::now() + VIEW_WAIT * (1 << (tries - 1)))).await;
                exclude = None;
            } else {
                exclude = Some(server);
            }
            last = answer;
        }
        (last, None)
    }

    /// Runs a later statement of a transaction.
    pub async fn next(&self, place: Place, mut task: Task) -> (Answer, Option<Place>) {
        task.job.left = task.job.left.saturating_sub(MARGIN);
        task.job.server = place.server().clone();
        let view = self.local.view();
        let lead = view.leads.get(&task.job.group);
        let primary = lead.and_then(|l| l.primary.as_ref()) == Some(&task.job.server);
        let sent = self.local.now();
        let leased = self.local.leased();
        let job = task.job.clone();
        let (answer, place) = self.relay.next(place, job).await;
        if primary {
            self.note_primary(&task.job, &answer, sent, leased);
        }
        (answer, place)
    }

    /// Gives a place back.
    pub fn end(&self, place: Place) {
        self.relay.end(place);
    }

    async fn run(&self, job: Job, primary: bool) -> (Answer, Option<Place>) {
        let (server, group, once) = (job.server.clone(), job.group.clone(), job.once);
        let sent = self.local.now();
        let leased = self.local.leased();
        self.records.borrow_mut().sent(&server);
        let (answer, place) = self.relay.start(job.clone()).await;
        let now = self.local.now();
        let mut records = self.records.borrow_mut();
        records.ended(&server);
        match answer.code() {
            None | Some(Code::Failed) => {
                records.answered(&server, now.saturating_sub(sent), answer.position, now);
                if !primary && answer.code().is_none() {
                    self.local.metrics.replica_reads.inc();
                }
            }
            Some(Code::Busy) if answer.queue > 0 => records.filled(&server, job.priority, now),
            Some(Code::Behind) => records.behind(&server, answer.position, now),
            Some(
                Code::Unreachable
                | Code::WrongServer
                | Code::ConnectionLimit
                | Code::Unknown
                | Code::Timeout
                | Code::Busy,
            ) => records.failed(&server, now),
            Some(_) => {}
        }
        drop(records);
        if primary {
            self.note_primary(&job, &answer, sent, leased);
            if once && answer.code() == Some(Code::Timeout) {
                self.local.stalled(&group, &server);
            }
        }
        (answer, place)
    }

    /// Learns from the answer of a primary. `leased` tells whether the lease held at `sent`.
    fn note_primary(&self, job: &Job, answer: &Answer, sent: Millis, leased: bool) {
        let ran = matches!(answer.code(), None | Some(Code::Failed));
        if !ran {
            return;
        }
        self.local.answered(&job.group, &job.server, job.once);
        if let Some(position) = answer.position.filter(|_| leased) {
            let mut samples = self.samples.borrow_mut();
            samples.entry(job.group.clone()).or_default().add(sent, position);
        }
    }

    /// Server for a task.
    fn choose(&self, task: &Task, exclude: Option<&str>) -> Choice {
        let view = self.local.view();
        let (group, priority, now) = (&task.job.group, task.job.priority, self.local.now());
        let primary = self.primary(&view, group);
        let records = self.records.borrow();
        let Some(floor) = self.floor(task) else {
            return match primary {
                None => Choice::None,
                Some(backend) if records.full(&backend.id, priority, now) => Choice::Full,
                Some(backend) => Choice::Server(backend.id.clone(), None),
            };
        };
        let leads = |backend: &Backend| primary.is_some_and(|p| p.id == backend.id);
        let usable = |b: &&Backend| *b.group == **group && (leads(b) || !b.draining);
        let (full, candidates): (Vec<Candidate>, Vec<Candidate>) = view
            .backends
            .values()
            .filter(usable)
            .filter(|backend| leads(backend) || !self.is_primary(&view, backend))
            .map(|b| Candidate { server: b.id.clone(), slots: b.slots, primary: leads(b) })
            .partition(|candidate| records.full(&candidate.server, priority, now));
        match records.choose(&candidates, Some(floor), exclude, now) {
            Some(server) => {
                let after = (primary.map(|p| &p.id) != Some(&server)).then_some(floor);
                Choice::Server(server, after)
            }
            None if full.is_empty() || candidates.iter().any(|c| records.follows(&c.server)) => {
                Choice::None
            }
            None => Choice::Full,
        }
    }

    /// Primary that may be used.
    fn primary<'a>(&self, view: &'a View, group: &str) -> Option<&'a Backend> {
        let id = view.leads.get(group)?.primary.as_ref().filter(|_| self.local.leased())?;
        let now = self.local.now();
        let late = self.leaving.borrow().get(id).is_some_and(|since| now >= since + LEAVING);
        view.backends.get(id).filter(|_| !late)
    }

    fn is_primary(&self, view: &View, backend: &Backend) -> bool {
        view.leads.get(&backend.group).and_then(|l| l.primary.as_ref()) == Some(&backend.id)
    }

    /// Position that a replica must include; `None` if only the primary will do.
    fn floor(&self, task: &Task) -> Option<Position> {
        let Need::Recent { age, after } = task.need else { return None };
        if task.job.once || task.job.step == (Step::First { read_only: false }) {
            return None;
        }
        let samples = self.samples.borrow();
        let floor = samples.get(&task.job.group)?.floor(task.arrival.saturating_sub(age))?;
        Some(after.map_or(floor, |after| after.max(floor)))
    }

    /// Waits for another view, or for a while; false if the time is over.
    async fn wait(&self, until: Instant) -> bool {
        let pause = until.min(Instant::now() + VIEW_WAIT);
        // What changed while nobody waited is seen after the pause.
        let _ = timeout_at(pause, self.changed.notified()).await;
        Instant::now() < until
    }

    fn explain(&self, answer: &mut Answer, task: &Task) {
        let view = self.local.view();
        let lead = view.leads.get(&task.job.group);
        if let End::Error(_, reason) = &mut answer.end {
            *reason = format!(
                "{reason}; term {} primary {} leased {} update {}",
                lead.map_or(0, |lead| lead.term),
                lead.and_then(|lead| lead.primary.as_deref()).unwrap_or("none"),
                self.local.leased(),
                view.index
            )
            .into();
        }
    }

    fn log_retry(&self, task: &Task, server: &str, code: Code, tries: u32) {
        self.local.metrics.count_retry(code.label());
        log(
            Event::RequestRetried,
            format_args!(
                "id={} group={} server={server} try={tries} code={code} again=yes",
                task.job.id, task.job.group
            ),
        );
    }
}

/// Whether a statement may be tried again after an error.
fn again(code: Code, job: &Job) -> bool {
    let ran = matches!(code, Code::Failed | Code::Unknown | Code::Aborted);
    code.not_run() || (ran && !job.once)
}
