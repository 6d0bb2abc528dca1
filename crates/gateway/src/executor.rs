//! Runs jobs on this entry's connections.

use std::{rc::Rc, sync::Arc, time::Duration};

use auburnlug_protocol::job::{Answer, Code, Job, SessionState, Step, Text};
use auburnlug_state::Millis;
use auburnlug_transport::event::{Event, log};
use tokio::{
    task::{JoinHandle, spawn_local},
    time::{Instant, timeout, timeout_at},
};

use crate::{
    conn::{Connection, Fault, reusable},
    local::Local,
    pool::{NoSeat, Pool, Seat, Want},
    wire::{Call, ServerReply, ServerWire},
};

/// Longest time for rolling back a transaction that its caller gave up, in milliseconds.
const ROLL_BACK: Duration = Duration::from_millis(1_000);

/// Runs jobs on the connections of this entry.
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
    /// The time of the statement ended before it was sent.
    OutOfTime,
    /// This entry may not use the server as a primary any more; nothing was sent.
    NotLed,
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
        let started = self.local.now();
        let until = Instant::now() + Duration::from_millis(job.left);
        let mut seat = match self.seat(job, until).await {
            Ok(seat) => seat,
            Err(none) => return (refusal(job, none), None),
        };
        let sent = self.local.now();
        match self.attempt(&mut seat, job, until).await {
            Tried::Answered(reply) => {
                let ran = self.local.now().saturating_sub(sent);
                note(&seat, &reply, ran);
                let mut answer = named(reply.answer.clone(), job);
                (answer.waited, answer.ran) = (sent.saturating_sub(started), ran);
                (answer, keep(seat, job, &reply))
            }
            Tried::NotSent(fault) => {
                seat.close();
                seat.failed(&fault);
                (unreachable(job, &fault), None)
            }
            Tried::OutOfTime => {
                seat.close();
                (named(Answer::error(Code::Busy, "the server was slow"), job), None)
            }
            Tried::NotLed => {
                let reason = "this entry has no lease on the primary";
                (named(Answer::error(Code::ReadOnly, reason), job), None)
            }
            Tried::Opening(opening) => {
                keep_opening(seat, opening);
                (named(Answer::error(Code::Busy, "no connection in time"), job), None)
            }
            Tried::Broken => {
                seat.close();
                seat.failed(&Fault::Broken);
                (named(Answer::error(Code::Unknown, "the server broke off"), job), None)
            }
            Tried::Late => {
                seat.close();
                (named(Answer::error(Code::Timeout, "no answer in time"), job), None)
            }
        }
    }

    /// Runs a later statement of a transaction.
    pub async fn next(&self, mut pin: Pin, job: &Job) -> (Answer, Option<Pin>) {
        let lost = || named(Answer::error(Code::Aborted, "the connection was lost"), job);
        let Some(mut seat) = pin.seat.take() else { return (lost(), None) };
        let until = Instant::now() + Duration::from_millis(job.left);
        seat.resume();
        let sent = self.local.now();
        match self.attempt(&mut seat, job, until).await {
            Tried::Answered(reply) => {
                let ran = self.local.now().saturating_sub(sent);
                note(&seat, &reply, ran);
                let mut answer = named(reply.answer.clone(), job);
                answer.ran = ran;
                (answer, keep(seat, job, &reply))
            }
            Tried::NotSent(fault) => {
                seat.close();
                seat.failed(&fault);
                (lost(), None)
            }
            Tried::OutOfTime | Tried::NotLed | Tried::Opening(_) => {
                seat.close();
                (lost(), None)
            }
            Tried::Broken => {
                seat.close();
                seat.failed(&Fault::Broken);
                let code = if job.commits { Code::Unknown } else { Code::Aborted };
                (named(Answer::error(code, "the server broke off"), job), None)
            }
            Tried::Late => {
                seat.close();
                (named(Answer::error(Code::Timeout, "no answer in time"), job), None)
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

    async fn seat(&self, job: &Job, until: Instant) -> Result<Seat, NoSeat> {
        let started = Instant::now();
        let want = Want {
            server: job.server.clone(),
            account: job.account.clone(),
            values: job.values.clone(),
            priority: job.priority,
            until: self.local.now() + job.left,
            patience: job.patience,
        };
        let seat = timeout_at(until, self.pool.seat(want)).await;
        self.local.metrics.slot_wait.observe(started.elapsed().as_secs_f64());
        seat.unwrap_or_else(|_| Err(NoSeat::Late(self.pool.describe(&job.server))))
    }

    async fn attempt(&self, seat: &mut Seat, job: &Job, until: Instant) -> Tried {
        let connection = match seat.connection.take() {
            Some(connection) => connection,
            None => {
                self.local.metrics.connections_opened.inc();
                let (target, account) = (seat.target.clone(), job.account.clone());
                let mut opening = spawn_local(Connection::open(self.wire.clone(), target, account));
                match timeout_at(until, &mut opening).await {
                    Ok(Ok(Ok(connection))) => connection,
                    Ok(Ok(Err(fault))) => return Tried::NotSent(fault),
                    Ok(Err(_)) => return Tried::NotSent(Fault::Broken),
                    Err(_) => return Tried::Opening(opening),
                }
            }
        };
        let connection = seat.connection.insert(connection);
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
        // The job may have waited since its entry chose the server, and a successor may lead.
        if job.after.is_none() && !open && !self.local.leads(&job.group, &job.server) {
            return Tried::NotLed;
        }
        let mut after = job.after;
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
}

/// Learns from an answer that took `duration` milliseconds.
fn note(seat: &Seat, reply: &ServerReply, duration: Millis) {
    match reply.answer.code() {
        Some(code @ (Code::ConnectionLimit | Code::WrongServer)) => {
            seat.failed(&Fault::Opening(code));
        }
        Some(code) if code.not_run() => {}
        _ => seat.answered(duration),
    }
}

fn refusal(job: &Job, none: NoSeat) -> Answer {
    let wait = match &none {
        NoSeat::Unreachable => 0,
        NoSeat::Full(wait, _) => *wait,
        NoSeat::Late(_) => job.left.max(1),
    };
    let answer = match none {
        NoSeat::Unreachable => {
            Answer::error(Code::Unreachable, format!("{} cannot be reached", job.server))
        }
        NoSeat::Full(_, queue) => Answer::error(Code::Busy, format!("too many wait: {queue}")),
        NoSeat::Late(queue) => Answer::error(Code::Busy, format!("no slot in time: {queue}")),
    };
    named(Answer { queue: wait, ..answer }, job)
}

fn unreachable(job: &Job, fault: &Fault) -> Answer {
    log(
        Event::RequestRetried,
        format_args!("id={} server={} fault={fault:?} outcome=not_sent", job.id, job.server),
    );
    let code = match fault {
        Fault::Opening(code) if code.not_run() => *code,
        _ => Code::Unreachable,
    };
    named(Answer::error(code, format!("{} cannot be reached", job.server)), job)
}

fn named(mut answer: Answer, job: &Job) -> Answer {
    answer.server = Some(job.server.clone());
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
    if reply.state == SessionState::Idle {
        return None;
    }
    if job.step == Step::Single {
        seat.close();
        return None;
    }
    seat.rest();
    Some(Pin { seat: Some(seat) })
}
