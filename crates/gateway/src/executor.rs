//! Runs jobs on servers: choice of the server, floors of reads, retries.

use std::{rc::Rc, sync::Arc, time::Duration};

use auburnlug_protocol::job::{Answer, Code, End, Job, Need, Step, Text};
use auburnlug_state::Millis;
use auburnlug_transport::event::{Event, log};
use tokio::{
    task::{JoinHandle, spawn_local},
    time::{Instant, timeout, timeout_at},
};

use crate::{
    conn::{Connection, Fault, not_run, reusable},
    local::Local,
    pool::{Pool, Seat, Want},
    wire::{Call, ServerReply, ServerWire},
};

/// Tries of one job.
const TRIES: u32 = 4;

/// Longest time for rolling back a transaction that its caller gave up, in milliseconds.
const ROLL_BACK: Duration = Duration::from_millis(1_000);

/// Part of a statement's time that is kept for its answer to travel, in milliseconds.
const MARGIN: Millis = 10;

/// Runs jobs on the connections of this instance.
pub struct Executor {
    local: Rc<Local>,
    pool: Rc<Pool>,
    wire: Arc<dyn ServerWire>,
}

/// Connection of an open transaction.
pub struct Pin {
    seat: Option<Seat>,
}

impl Drop for Pin {
    /// A transaction that nobody ended is rolled back by closing its connection.
    fn drop(&mut self) {
        if let Some(seat) = &mut self.seat {
            seat.close();
        }
    }
}

/// How a try ended.
enum Tried {
    /// The server answered.
    Answered(ServerReply),
    /// The statement was not sent.
    NotSent(Fault),
    /// The statement was not sent: the server is no longer known to lead.
    Stale,
    /// The time of the statement ended before it was sent.
    OutOfTime,
    /// The time of the statement ended while the connection was being opened.
    Opening(JoinHandle<Result<Connection, Fault>>),
    /// The connection broke after the statement was sent.
    Broken,
    /// The time of the statement ended after it was sent.
    Late,
}

impl Executor {
    /// An executor on the connections of `pool`.
    pub fn new(local: Rc<Local>, pool: Rc<Pool>, wire: Arc<dyn ServerWire>) -> Executor {
        Executor { local, pool, wire }
    }

    /// Runs a single statement, or the first one of a transaction; the transaction's connection is
    /// returned while it is open.
    pub async fn start(&self, job: &Job) -> (Answer, Option<Pin>) {
        let now = self.local.now();
        let arrival = now.saturating_sub(job.waited);
        let left = job.left.saturating_sub(MARGIN);
        let until = Instant::now() + Duration::from_millis(left);
        let mut exclude = None;
        let mut admitted = false;
        let mut last = Answer::error(Code::Busy, "no server was free in time");
        for _ in 0..TRIES {
            if let Some(answer) = self.hopeless(job, until) {
                return (answer, None);
            }
            let Some(mut seat) = self.seat(job, arrival, exclude.take(), until).await else {
                if let End::Error(_, reason) = &mut last.end {
                    *reason = format!("{reason}: {}", self.pool.describe(&job.group)).into();
                }
                return (last, None);
            };
            if !admitted && !job.account.is_empty() {
                if !self.local.admit(&job.account).await {
                    return (Answer::error(Code::Busy, "rate of the client account"), None);
                }
                admitted = true;
            }
            let sent = self.local.now();
            let floor = self.floor(job, arrival);
            let tried = self.attempt(&mut seat, job, floor, until).await;
            let answer = match tried {
                Tried::Answered(reply) => {
                    self.note(&seat, job, &reply, sent);
                    let answer = named(reply.answer.clone(), &seat);
                    if !not_run(&answer) && !(answer.code() == Some(Code::Failed) && !job.once) {
                        return (answer, keep(seat, job, &reply));
                    }
                    if !reusable(&reply) {
                        seat.close();
                    }
                    answer
                }
                Tried::NotSent(fault) => {
                    seat.close();
                    seat.failed(&fault);
                    Answer::error(Code::Busy, format!("{} cannot be reached", seat.target.server))
                }
                Tried::Stale => Answer::error(Code::ReadOnly, "no primary is known"),
                Tried::OutOfTime => {
                    seat.close();
                    return (Answer::error(Code::Busy, "the server was slow"), None);
                }
                Tried::Opening(opening) => {
                    keep_opening(seat, opening);
                    return (Answer::error(Code::Busy, "no connection in time"), None);
                }
                Tried::Broken => {
                    seat.close();
                    seat.failed(&Fault::Broken);
                    if job.once {
                        return (self.unknown(job, &seat, Code::Unknown), None);
                    }
                    Answer::error(Code::Aborted, "the server broke off")
                }
                Tried::Late => {
                    seat.close();
                    if job.once {
                        self.local.stalled(&job.group, &seat.target.server);
                    }
                    return (self.unknown(job, &seat, Code::Timeout), None);
                }
            };
            self.retried(job, &seat, &answer);
            if answer.code() == Some(Code::ReadOnly) {
                // The view is behind; the successor is known soon.
                self.wait_view(until).await;
            }
            exclude = Some(seat.target.server.clone());
            last = answer;
        }
        (last, None)
    }

    /// Runs a later statement of a transaction.
    pub async fn next(&self, mut pin: Pin, job: &Job) -> (Answer, Option<Pin>) {
        let lost = || Answer::error(Code::Aborted, "the transaction's connection was lost");
        let Some(mut seat) = pin.seat.take() else { return (lost(), None) };
        let left = job.left.saturating_sub(MARGIN);
        let until = Instant::now() + Duration::from_millis(left);
        seat.resume();
        let sent = self.local.now();
        match self.attempt(&mut seat, job, None, until).await {
            Tried::Answered(reply) => {
                self.note(&seat, job, &reply, sent);
                let answer = named(reply.answer.clone(), &seat);
                (answer, keep(seat, job, &reply))
            }
            Tried::NotSent(fault) => {
                seat.close();
                seat.failed(&fault);
                (lost(), None)
            }
            Tried::Stale | Tried::OutOfTime | Tried::Opening(_) => {
                seat.close();
                (lost(), None)
            }
            Tried::Broken => {
                seat.close();
                seat.failed(&Fault::Broken);
                if job.commits {
                    return (self.unknown(job, &seat, Code::Unknown), None);
                }
                (lost(), None)
            }
            Tried::Late => {
                seat.close();
                if job.commits {
                    self.local.stalled(&job.group, &seat.target.server);
                }
                (self.unknown(job, &seat, Code::Timeout), None)
            }
        }
    }

    /// Rolls a transaction back and gives its connection back.
    pub fn roll_back(&self, mut pin: Pin) {
        let Some(mut seat) = pin.seat.take() else { return };
        spawn_local(async move {
            let Some(mut connection) = seat.connection.take() else { return };
            let reply = timeout(ROLL_BACK, connection.call(&Call::Rollback)).await;
            if matches!(reply, Ok(Ok(reply)) if reusable(&reply)) {
                seat.connection = Some(connection);
            }
            drop(seat);
        });
    }

    /// A refusal, if so many jobs wait that this one cannot be reached in time.
    fn hopeless(&self, job: &Job, until: Instant) -> Option<Answer> {
        let (waiting, slots) = self.pool.load(&job.group);
        let left = until.saturating_duration_since(Instant::now()).as_millis() as Millis;
        // Each slot ends a statement in this time or less on an average day.
        let expected = waiting as u64 * SERVICE / u64::from(slots.max(1));
        if expected <= left {
            return None;
        }
        Some(Answer::error(Code::Busy, format!("{waiting} requests wait")))
    }

    async fn seat(
        &self,
        job: &Job,
        arrival: Millis,
        exclude: Option<Arc<str>>,
        until: Instant,
    ) -> Option<Seat> {
        let started = Instant::now();
        let want = Want {
            group: job.group.clone(),
            account: job.account.clone(),
            values: job.values.clone(),
            floor: self.floor(job, arrival),
            exclude,
            priority: job.priority,
            until: arrival + job.waited + job.left,
        };
        let seat = timeout_at(until, self.pool.seat(want)).await.ok().flatten();
        self.local.metrics.waited.observe(started.elapsed().as_secs_f64());
        seat
    }

    /// Position that a replica must include; `None` if only the primary will do.
    fn floor(&self, job: &Job, arrival: Millis) -> Option<auburnlug_coordination::Position> {
        let Need::Recent { age, after } = job.need else { return None };
        if matches!(job.step, Step::First { read_only: false }) || job.once {
            return None;
        }
        let floor = self.pool.floor(&job.group, arrival.saturating_sub(age))?;
        Some(after.map_or(floor, |after| after.max(floor)))
    }

    async fn attempt(
        &self,
        seat: &mut Seat,
        job: &Job,
        floor: Option<auburnlug_coordination::Position>,
        until: Instant,
    ) -> Tried {
        let connection = match seat.connection.take() {
            Some(connection) => connection,
            None => {
                self.local.metrics.connects.inc();
                let opening =
                    Connection::open(self.wire.clone(), seat.target.clone(), job.account.clone());
                let mut opening = spawn_local(opening);
                match timeout_at(until, &mut opening).await {
                    Ok(Ok(Ok(connection))) => connection,
                    Ok(Ok(Err(fault))) => return Tried::NotSent(fault),
                    Ok(Err(_)) => return Tried::NotSent(Fault::Broken),
                    Err(_) => return Tried::Opening(opening),
                }
            }
        };
        seat.connection = Some(connection);
        let leads = !seat.primary || job.step == Step::Next || self.leads(seat);
        let Some(connection) = seat.connection.as_mut().filter(|_| leads) else {
            return Tried::Stale;
        };
        let shape = match &job.text {
            Text::Plain(_) => None,
            Text::Prepared { shape, .. } => Some(shape),
        };
        let open = job.step == Step::Next;
        let name = match timeout_at(until, connection.adopt(&job.values, shape, open)).await {
            Ok(Ok(name)) => name,
            Ok(Err(fault)) => return Tried::NotSent(fault),
            Err(_) => return Tried::OutOfTime,
        };
        // A primary under the lease has all that was acknowledged.
        let mut after = floor.filter(|_| !seat.primary);
        if let Step::First { read_only } = job.step {
            let begin = Call::Begin { after: after.take(), read_only };
            match timeout_at(until, connection.call(&begin)).await {
                Ok(Ok(reply)) if reply.answer.code().is_some() => return Tried::Answered(reply),
                Ok(Ok(_)) => {}
                Ok(Err(fault)) => return Tried::NotSent(fault),
                Err(_) => return Tried::OutOfTime,
            }
        }
        let call = match (&job.text, &name) {
            (Text::Prepared { arguments, .. }, Some(name)) => {
                Call::Execute { id: &job.id, after, name, arguments }
            }
            (Text::Plain(text) | Text::Prepared { arguments: text, .. }, _) => {
                Call::Plain { id: &job.id, after, text }
            }
        };
        match timeout_at(until, connection.call(&call)).await {
            Ok(Ok(reply)) => Tried::Answered(reply),
            Ok(Err(_)) => Tried::Broken,
            Err(_) => Tried::Late,
        }
    }

    /// Whether the server of the seat still leads its group.
    fn leads(&self, seat: &Seat) -> bool {
        let view = self.local.view();
        let primary = view.leads.get(&seat.target.group).and_then(|lead| lead.primary.as_ref());
        self.local.leased() && primary == Some(&seat.target.server)
    }

    /// Learns from an answer.
    fn note(&self, seat: &Seat, job: &Job, reply: &ServerReply, sent: Millis) {
        let now = self.local.now();
        match reply.answer.code() {
            Some(Code::Behind) => seat.behind(),
            Some(Code::ConnectionLimit | Code::WrongServer) => {
                seat.failed(&Fault::Opening(reply.answer.code().unwrap_or(Code::Busy)));
            }
            _ => seat.answered(now.saturating_sub(sent)),
        }
        if !seat.primary {
            return;
        }
        let commit = job.once && reply.answer.code().is_none();
        self.local.answered(&job.group, &seat.target.server, commit);
        // The lease must still hold: otherwise another primary may have been promoted meanwhile.
        let leads = reply.answer.code() != Some(Code::ReadOnly);
        if let Some(position) = reply.answer.position.filter(|_| leads && self.local.leased()) {
            self.pool.sample(&job.group, sent, position);
        }
    }

    fn unknown(&self, job: &Job, seat: &Seat, code: Code) -> Answer {
        let reason = if code == Code::Timeout { "no answer in time" } else { "the server broke off" };
        log(
            Event::RequestRetried,
            format_args!(
                "id={} group={} server={} outcome={code} again=no",
                job.id, job.group, seat.target.server
            ),
        );
        named(Answer::error(code, reason), seat)
    }

    fn retried(&self, job: &Job, seat: &Seat, answer: &Answer) {
        let code = answer.code().unwrap_or(Code::Busy);
        self.local.metrics.retry(code.label());
        log(
            Event::RequestRetried,
            format_args!(
                "id={} group={} server={} primary={} reason={code}",
                job.id, job.group, seat.target.server, seat.primary
            ),
        );
    }

    /// Waits for a short time for another view.
    async fn wait_view(&self, until: Instant) {
        let pause = Instant::now() + VIEW_WAIT;
        tokio::time::sleep_until(until.min(pause)).await;
    }
}

/// Time that a statement takes a slot at most on average, in milliseconds; deliberately high, as a
/// refusal is final while a wait is not.
const SERVICE: u64 = 40;

/// Time that a new primary takes to be known everywhere, in milliseconds.
const VIEW_WAIT: Duration = Duration::from_millis(100);

fn named(mut answer: Answer, seat: &Seat) -> Answer {
    answer.server = Some(seat.target.server.clone());
    answer
}

/// Lets a connection be opened for the next job.
fn keep_opening(mut seat: Seat, opening: JoinHandle<Result<Connection, Fault>>) {
    spawn_local(async move {
        match opening.await {
            Ok(Ok(connection)) => seat.connection = Some(connection),
            Ok(Err(fault)) => seat.failed(&fault),
            Err(_) => {}
        }
        drop(seat);
    });
}

/// Keeps the connection for the transaction, or gives it back.
fn keep(mut seat: Seat, job: &Job, reply: &ServerReply) -> Option<Pin> {
    use auburnlug_protocol::job::SessionState;
    match reply.state {
        SessionState::Idle => None,
        SessionState::Open if job.step != Step::Single => {
            seat.rest();
            Some(Pin { seat: Some(seat) })
        }
        SessionState::Failed if job.step != Step::Single => {
            seat.rest();
            Some(Pin { seat: Some(seat) })
        }
        _ => {
            seat.close();
            None
        }
    }
}
