//! Runs jobs on this entry's connections.

use std::{pin::pin, rc::Rc, sync::Arc, time::Duration};

use auburnlug_coordination::slot_wait::{SlotWait, WaitingJob};
use auburnlug_protocol::job::{
    Answer, ErrorCode, Job, SessionState, StatementText, TransactionStep,
};
use auburnlug_state::{Millis, Position};
use auburnlug_transport::event::{Event, log};
use tokio::{
    task::{JoinHandle, spawn_local},
    time::{Instant, timeout, timeout_at},
};

use crate::{
    connection::{Connection, Fault, is_reusable},
    local_state::LocalState,
    pool::{NoSlot, Pool, SlotPermit, SlotRequest},
    wire::{ServerCall, ServerReply, ServerWire},
};

/// Longest wait for the rollback of an abandoned transaction.
const ROLLBACK_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Connections over a server's limit that are tried for one job.
const MAX_CONNECTION_REFUSALS: u32 = 3;

/// Runs jobs on the connections of this entry.
pub struct Executor {
    local: Rc<LocalState>,
    pool: Rc<Pool>,
    wire: Arc<dyn ServerWire>,
}

/// Connection that is pinned to an open transaction.
pub struct PinnedTransaction {
    permit: Option<SlotPermit>,
    kind: TransactionKind,
}

/// What an open transaction needs the lease on the primary for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum TransactionKind {
    /// It reads from a replica, up to a required position.
    Replica,
    /// It reads from the primary, so that its answers tell positions of the group.
    PrimaryRead,
    /// It may write, so that its commit must not reach a former primary.
    Write,
}

impl TransactionKind {
    /// Kind of the transaction that a job starts.
    fn of(job: &Job) -> TransactionKind {
        match (job.after, job.step) {
            (Some(_), _) => TransactionKind::Replica,
            (None, TransactionStep::First { read_only: true }) => TransactionKind::PrimaryRead,
            (None, _) => TransactionKind::Write,
        }
    }
}

impl Drop for PinnedTransaction {
    /// Rolls back a transaction that was not ended, by closing its connection.
    fn drop(&mut self) {
        if let Some(permit) = &mut self.permit {
            permit.close_connection();
        }
    }
}

/// Outcome of an attempt to run a statement.
enum Attempt {
    /// The server answered.
    Answered(ServerReply),
    /// The connection failed before the statement was sent.
    NotSent(Fault),
    /// The deadline passed before the statement was sent.
    TimedOutUnsent,
    /// The server may not be used as the primary any more; nothing was sent.
    NotPrimary,
    /// The failure domain of the server is evacuated, or may be; the statement was not sent.
    Evacuated,
    /// The deadline passed while the connection was being opened.
    ConnectPending(JoinHandle<Result<Connection, Fault>>),
    /// The connection broke after the statement was sent.
    ConnectionLost,
    /// The deadline passed after the statement was sent.
    AnswerTimedOut,
}

impl Executor {
    /// An executor on the connections of `pool`.
    pub fn new(local: Rc<LocalState>, pool: Rc<Pool>, wire: Arc<dyn ServerWire>) -> Executor {
        Executor { local, pool, wire }
    }

    /// Runs a single statement, or the first one of a transaction; returns the pinned connection
    /// while the transaction is open.
    pub async fn run_first(&self, job: &Job) -> (Answer, Option<PinnedTransaction>) {
        let started = self.local.now();
        let until = Instant::now() + Duration::from_millis(job.remaining);
        let (mut permit, sent, attempt) = match self.try_on_slot(job, started, until).await {
            Ok(tried) => tried,
            Err(reason) => return (refusal(job, reason), None),
        };
        match attempt {
            Attempt::Answered(reply) => {
                let ran = self.local.now().saturating_sub(sent);
                record_reply(&permit, &reply, ran);
                let commits = job.step == TransactionStep::Single && job.run_once;
                let mut answer = self.confirm(job, commits, reply.answer.clone());
                (answer.waited, answer.ran) = (sent.saturating_sub(started), ran);
                (answer, pin_transaction(permit, job, &reply, TransactionKind::of(job)))
            }
            Attempt::NotSent(fault) => {
                permit.close_connection();
                permit.record_failure(&fault);
                (unreachable_answer(job, &fault), None)
            }
            Attempt::TimedOutUnsent => {
                permit.close_connection();
                (with_server_name(Answer::error(ErrorCode::Busy, "the server was slow"), job), None)
            }
            Attempt::NotPrimary => (refusal(job, NoSlot::NotPrimary), None),
            Attempt::Evacuated => {
                if job.step != TransactionStep::Single {
                    permit.close_connection();
                }
                (evacuated_answer(ErrorCode::Unreachable, job), None)
            }
            Attempt::ConnectPending(opening) => {
                finish_connect(permit, opening);
                let answer = Answer::error(ErrorCode::Busy, "no connection in time");
                (with_server_name(answer, job), None)
            }
            Attempt::ConnectionLost => {
                permit.close_connection();
                permit.record_failure(&Fault::Broken);
                let answer = Answer::error(ErrorCode::Unknown, "the server broke off");
                (with_server_name(answer, job), None)
            }
            Attempt::AnswerTimedOut => {
                permit.close_connection();
                (
                    with_server_name(Answer::error(ErrorCode::Timeout, "no answer in time"), job),
                    None,
                )
            }
        }
    }

    /// Runs a later statement of a transaction.
    pub async fn run_next(
        &self,
        mut pin: PinnedTransaction,
        job: &Job,
    ) -> (Answer, Option<PinnedTransaction>) {
        let lost =
            || with_server_name(Answer::error(ErrorCode::Aborted, "the connection was lost"), job);
        let kind = pin.kind;
        let Some(mut permit) = pin.permit.take() else { return (lost(), None) };
        let until = Instant::now() + Duration::from_millis(job.remaining);
        if !permit.wait_for_pace(until).await {
            // The server rolls the transaction back.
            permit.close_connection();
            let late = Answer::error(ErrorCode::Aborted, "the server is cold and gets no more yet");
            return (with_server_name(late, job), None);
        }
        permit.reclaim_slot();
        let sent = self.local.now();
        let leased = self.local.is_leased_primary(&job.group, &job.server);
        let needs_lease = job.commits && kind == TransactionKind::Write;
        match self.try_statement(&mut permit, job, needs_lease, until).await {
            Attempt::Answered(reply) => {
                let ran = self.local.now().saturating_sub(sent);
                record_reply(&permit, &reply, ran);
                let mut answer = self.confirm(job, needs_lease, reply.answer.clone());
                answer.ran = ran;
                // A former primary goes on with its transactions, but its positions are not those
                // of the group.
                if kind != TransactionKind::Replica && !leased {
                    answer.position = None;
                }
                (answer, pin_transaction(permit, job, &reply, kind))
            }
            Attempt::NotSent(fault) => {
                permit.close_connection();
                permit.record_failure(&fault);
                (lost(), None)
            }
            Attempt::NotPrimary => {
                permit.close_connection();
                let reason = "this entry has no lease on the primary";
                (with_server_name(Answer::error(ErrorCode::Aborted, reason), job), None)
            }
            Attempt::Evacuated => {
                permit.close_connection();
                (evacuated_answer(ErrorCode::Aborted, job), None)
            }
            Attempt::TimedOutUnsent | Attempt::ConnectPending(_) => {
                permit.close_connection();
                (lost(), None)
            }
            Attempt::ConnectionLost => {
                permit.close_connection();
                permit.record_failure(&Fault::Broken);
                let code = if job.commits { ErrorCode::Unknown } else { ErrorCode::Aborted };
                (with_server_name(Answer::error(code, "the server broke off"), job), None)
            }
            Attempt::AnswerTimedOut => {
                permit.close_connection();
                (
                    with_server_name(Answer::error(ErrorCode::Timeout, "no answer in time"), job),
                    None,
                )
            }
        }
    }

    /// Answer to a job that a server ran. A commit that was acknowledged after the lease has an
    /// unknown outcome: another server may be promoted without it, as replicas are compared once no
    /// entry may use the former primary.
    fn confirm(&self, job: &Job, commits: bool, answer: Answer) -> Answer {
        let is_acknowledged = commits && answer.code().is_none();
        let answer = match is_acknowledged && !self.local.is_leased_primary(&job.group, &job.server)
        {
            true => Answer::error(ErrorCode::Unknown, "the primary may have been replaced"),
            false => answer,
        };
        with_server_name(answer, job)
    }

    /// Rolls back a transaction and returns its connection to the pool.
    pub fn roll_back(&self, mut pin: PinnedTransaction) {
        let Some(mut permit) = pin.permit.take() else { return };
        if !self.local.may_send(&permit.target.server, true) {
            // The server rolls the transaction back when its connection is closed.
            permit.close_connection();
            return;
        }
        spawn_local(async move {
            let Some(mut connection) = permit.connection.take() else { return };
            let reply = timeout(ROLLBACK_TIMEOUT, connection.call(&ServerCall::Rollback)).await;
            if matches!(reply, Ok(Ok(reply)) if is_reusable(&reply)) {
                permit.connection = Some(connection);
            }
            drop(permit);
        });
    }

    /// Tries a statement on the next free slot; also returns the time of the attempt. If the server
    /// accepts no further connection, the job waits again, for one that is open.
    async fn try_on_slot(
        &self,
        job: &Job,
        arrival: Millis,
        until: Instant,
    ) -> Result<(SlotPermit, Millis, Attempt), NoSlot> {
        let mut refusals = 0;
        loop {
            let mut permit = self.acquire_slot(job, arrival, until).await?;
            let sent = self.local.now();
            match self.try_statement(&mut permit, job, job.after.is_none(), until).await {
                Attempt::NotSent(fault @ Fault::Opening(ErrorCode::ConnectionLimit))
                    if refusals < MAX_CONNECTION_REFUSALS =>
                {
                    refusals += 1;
                    permit.close_connection();
                    permit.record_failure(&fault);
                }
                attempt => return Ok((permit, sent, attempt)),
            }
        }
    }

    /// Waits for a slot of the server of a job that arrived at `arrival`.
    async fn acquire_slot(
        &self,
        job: &Job,
        arrival: Millis,
        until: Instant,
    ) -> Result<SlotPermit, NoSlot> {
        let started = Instant::now();
        let request = SlotRequest {
            server: job.server.clone(),
            account: job.account.clone(),
            values: job.values.clone(),
            priority: job.priority,
            deadline: arrival + job.remaining,
            max_wait: job.max_wait,
            objective: arrival + job.objective,
        };
        let permit = self.wait_for_permit(request, job, until).await;
        self.local.metrics.slot_wait.observe(started.elapsed().as_secs_f64());
        permit
    }

    /// Waits for the permit of a request until the job has no prospect of one.
    async fn wait_for_permit(
        &self,
        request: SlotRequest,
        job: &Job,
        until: Instant,
    ) -> Result<SlotPermit, NoSlot> {
        let waiting = WaitingJob {
            arrival: self.local.now(),
            max_wait: job.max_wait,
            needs_primary: job.after.is_none(),
        };
        let mut acquire = pin!(self.pool.acquire(request));
        loop {
            let is_leased = self.local.is_leased_primary(&job.group, &job.server);
            let (reason, ending) = match waiting.decide(is_leased, self.local.now()) {
                SlotWait::Continue(pause) => {
                    let check = until.min(Instant::now() + Duration::from_millis(pause));
                    match timeout_at(check, &mut acquire).await {
                        Ok(permit) => return permit,
                        Err(_) if Instant::now() < until => continue,
                        Err(_) => ("deadline", NoSlot::TimedOut(self.pool.describe(&job.server))),
                    }
                }
                SlotWait::PrimaryLost => ("primary_lost", NoSlot::NotPrimary),
                SlotWait::TooSlow => {
                    ("too_slow", NoSlot::TimedOut(self.pool.describe(&job.server)))
                }
            };
            self.local.metrics.count_ended_wait(reason);
            return Err(ending);
        }
    }

    /// Whether a job may be sent as far as evacuations are concerned; counts a refusal.
    fn may_send(&self, job: &Job, open: bool) -> bool {
        let may_send = self.local.may_send(&job.server, open);
        if !may_send {
            self.local.metrics.evacuation_refusals.inc();
        }
        may_send
    }

    /// Opens a connection if needed, prepares its session and sends the statement, if this entry
    /// may use the server as the primary or `needs_lease` is false.
    async fn try_statement(
        &self,
        permit: &mut SlotPermit,
        job: &Job,
        needs_lease: bool,
        until: Instant,
    ) -> Attempt {
        let open = job.step == TransactionStep::Next;
        if !self.may_send(job, open) {
            return Attempt::Evacuated;
        }
        let connection = match permit.connection.take() {
            Some(connection) => connection,
            None => {
                self.local.metrics.connections_opened.inc();
                let (target, account) = (permit.target.clone(), job.account.clone());
                let mut opening = spawn_local(Connection::open(self.wire.clone(), target, account));
                match timeout_at(until, &mut opening).await {
                    Ok(Ok(Ok(connection))) => connection,
                    Ok(Ok(Err(fault))) => return Attempt::NotSent(fault),
                    Ok(Err(_)) => return Attempt::NotSent(Fault::Broken),
                    Err(_) => return Attempt::ConnectPending(opening),
                }
            }
        };
        let connection = permit.connection.insert(connection);
        let shape = match &job.text {
            StatementText::Plain(_) => None,
            StatementText::Prepared { shape, .. } => Some(shape),
        };
        let name = match timeout_at(until, connection.apply_session(&job.values, shape, open)).await
        {
            Ok(Ok(name)) => name,
            Ok(Err(fault)) => return Attempt::NotSent(fault),
            Err(_) => return Attempt::TimedOutUnsent,
        };
        if !self.may_send(job, open) {
            return Attempt::Evacuated;
        }
        // The job may have waited since the server was chosen, and another primary may lead by now.
        if needs_lease && !self.local.is_leased_primary(&job.group, &job.server) {
            return Attempt::NotPrimary;
        }
        let mut after = job.after;
        if let TransactionStep::First { read_only } = job.step {
            let begin = ServerCall::Begin { after: after.take(), read_only };
            match timeout_at(until, connection.call(&begin)).await {
                Ok(Ok(reply)) if reply.answer.code().is_some() => return Attempt::Answered(reply),
                Ok(Ok(_)) => {}
                Ok(Err(fault)) => return Attempt::NotSent(fault),
                Err(_) => return Attempt::TimedOutUnsent,
            }
            if !self.may_send(job, true) {
                return Attempt::Evacuated;
            }
        }
        let call = statement_call(job, name.as_deref(), after);
        match timeout_at(until, connection.call(&call)).await {
            Ok(Ok(reply)) => Attempt::Answered(reply),
            Ok(Err(_)) => Attempt::ConnectionLost,
            Err(_) => Attempt::AnswerTimedOut,
        }
    }
}

/// Call that runs the statement of a job; `name` is that of its prepared statement at the server.
fn statement_call<'a>(
    job: &'a Job,
    name: Option<&'a str>,
    after: Option<Position>,
) -> ServerCall<'a> {
    match (&job.text, name) {
        (StatementText::Prepared { arguments, .. }, Some(name)) => {
            ServerCall::Execute { id: &job.id, after, name, arguments }
        }
        (StatementText::Plain(text) | StatementText::Prepared { arguments: text, .. }, _) => {
            ServerCall::Plain { id: &job.id, after, text }
        }
    }
}

/// Answer to a job whose server is evacuated, or may be.
fn evacuated_answer(code: ErrorCode, job: &Job) -> Answer {
    with_server_name(Answer::error(code, "the server may be evacuated"), job)
}

/// Records an answer that took `duration` milliseconds in the server's pool.
fn record_reply(permit: &SlotPermit, reply: &ServerReply, duration: Millis) {
    match reply.answer.code() {
        Some(code @ (ErrorCode::ConnectionLimit | ErrorCode::WrongServer)) => {
            permit.record_failure(&Fault::Opening(code));
        }
        Some(code) if code.not_run() => {}
        _ => permit.record_answer(duration),
    }
}

/// Answer to a job that got no slot.
fn refusal(job: &Job, reason: NoSlot) -> Answer {
    let wait = match &reason {
        NoSlot::Unreachable | NoSlot::NotPrimary => 0,
        NoSlot::QueueFull(wait, _) => *wait,
        NoSlot::TimedOut(_) => job.remaining.max(1),
    };
    let answer = match reason {
        NoSlot::Unreachable => {
            Answer::error(ErrorCode::Unreachable, format!("{} cannot be reached", job.server))
        }
        NoSlot::NotPrimary => {
            Answer::error(ErrorCode::ReadOnly, "this entry has no lease on the primary")
        }
        NoSlot::QueueFull(_, queue) => {
            Answer::error(ErrorCode::Busy, format!("too many wait: {queue}"))
        }
        NoSlot::TimedOut(queue) => {
            Answer::error(ErrorCode::Busy, format!("no slot in time: {queue}"))
        }
    };
    with_server_name(Answer { expected_wait: wait, ..answer }, job)
}

/// Answer to a job that was not sent because of a connection fault.
fn unreachable_answer(job: &Job, fault: &Fault) -> Answer {
    log(
        Event::RequestRetried,
        format_args!("id={} server={} fault={fault:?} outcome=not_sent", job.id, job.server),
    );
    let code = match fault {
        Fault::Opening(code) if code.not_run() => *code,
        _ => ErrorCode::Unreachable,
    };
    with_server_name(Answer::error(code, format!("{} cannot be reached", job.server)), job)
}

/// Adds the job's server to an answer.
fn with_server_name(mut answer: Answer, job: &Job) -> Answer {
    answer.server = Some(job.server.clone());
    answer
}

/// Finishes opening a connection and returns it to the pool for the next job.
fn finish_connect(mut permit: SlotPermit, opening: JoinHandle<Result<Connection, Fault>>) {
    spawn_local(async move {
        match opening.await {
            Ok(Ok(connection)) => permit.connection = Some(connection),
            Ok(Err(fault)) => permit.record_failure(&fault),
            Err(_) => {}
        }
        drop(permit);
    });
}

/// Pins the connection to an open transaction, or returns it to the pool.
fn pin_transaction(
    mut permit: SlotPermit,
    job: &Job,
    reply: &ServerReply,
    kind: TransactionKind,
) -> Option<PinnedTransaction> {
    if reply.state == SessionState::Idle {
        return None;
    }
    if job.step == TransactionStep::Single {
        permit.close_connection();
        return None;
    }
    permit.release_slot();
    Some(PinnedTransaction { permit: Some(permit), kind })
}
