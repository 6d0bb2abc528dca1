//! Runs requests at the group owner.

use std::{
    io::ErrorKind,
    sync::{Arc, Mutex},
    time::Duration,
};

use auburnlug_coordination::{
    dedup::{Begin, RequestKey},
    queue::QueueParams,
    retry::{Attempts, Failure, NextStep},
    route::Requirements,
};
use auburnlug_protocol::{
    outcome::SqlError,
    peer::{Answer, Outcome, Reason, Request, TransactionEffect},
};
use auburnlug_state::{Millis, Shard};
use bytes::{Bytes, BytesMut};
use tokio::{
    sync::{Mutex as AsyncMutex, MutexGuard, Notify, oneshot, watch},
    time::{Instant, timeout_at},
};

use crate::{
    connection_in_use::ConnectionInUse,
    event::{Event, log},
    forwarder::{lease_expired, lock, refused_answer, unknown_answer},
    frame,
    group::Group,
    handshake::{PUBLIC_ACCOUNT, is_valid_key},
    member::Member,
    server::{CancelKey, Reply, ServerConnector},
};

/// Time for which a server is not chosen after a connection to it failed.
const CONNECT_BACKOFF_MS: Millis = 100;

/// Start of the SQLSTATEs by which a server reports that it is shutting down or starting up.
const SHUTDOWN_SQLSTATE_PREFIX: &str = "57P";

/// State of one caller's connection at the group owner.
#[derive(Default)]
pub(crate) struct CallerStream {
    /// Server connection that the open transaction is bound to.
    pinned: AsyncMutex<Option<ConnectionInUse>>,
    running: Mutex<Option<Running>>,
    closed: watch::Sender<bool>,
    /// Wakes a request that waits for a slot or for its id to be copied.
    cancel_notify: Notify,
}

/// The running statement, and what is needed to cancel it.
struct Running {
    member: Arc<Member>,
    key: CancelKey,
    /// Whether it is a write outside a transaction, which is not cancelled when the caller
    /// disconnects, so that its outcome does not depend on that.
    write: bool,
    cancelled: bool,
}

/// Result of an attempt to run a request.
enum AttemptResult {
    Answer(Answer, Option<ConnectionInUse>),
    /// This server gave no answer to pass on.
    Failed(Arc<Member>, Failure),
}

impl CallerStream {
    /// Cancels the request that waits or runs.
    pub(crate) fn cancel(&self, servers: &Arc<dyn ServerConnector>) {
        self.cancel_notify.notify_waiters();
        if let Some(running) = &mut *lock(&self.running) {
            running.cancelled = true;
            tokio::spawn(servers.cancel(running.member.pool.address, running.key.clone()));
        }
    }

    /// Rolls back the open transaction after the caller has disconnected.
    pub(crate) fn close(self: &Arc<Self>, servers: &Arc<dyn ServerConnector>) {
        self.closed.send_replace(true);
        if lock(&self.running).as_ref().is_some_and(|running| !running.write) {
            self.cancel(servers);
        }
        let stream = self.clone();
        tokio::spawn(async move {
            let held = stream.pinned.lock().await.take();
            if let Some(held) = held {
                held.release();
            }
        });
    }

    async fn caller_closed(&self) {
        let mut closed = self.closed.subscribe();
        // The stream itself keeps the channel open.
        let _ = closed.wait_for(|closed| *closed).await;
    }
}

impl Group {
    /// Runs a request of the caller of `stream`.
    pub(crate) async fn run(
        self: &Arc<Self>,
        stream: &Arc<CallerStream>,
        request: Request,
    ) -> Answer {
        let deadline = Instant::now() + Duration::from_millis(request.wait);
        let mut pinned = stream.pinned.lock().await;
        if let Err(reason) = self.check_request(&request) {
            if let Some(held) = pinned.take() {
                held.release();
            }
            return refused_answer(reason);
        }
        let Some(held) = pinned.take() else {
            if !matches!(request.block, TransactionEffect::Single | TransactionEffect::Begin) {
                return refused_answer(Reason::Connection);
            }
            return self.run_outside_transaction(stream, &mut pinned, &request, deadline).await;
        };
        match self.execute(stream, &request, held, deadline).await {
            AttemptResult::Answer(answer, held) => {
                self.pin_or_release(stream, &mut pinned, answer, held)
            }
            // Dropping the connection rolls the transaction back.
            AttemptResult::Failed(_, Failure::Unsent) => refused_answer(Reason::Connection),
            AttemptResult::Failed(..) => unknown_answer(),
        }
    }

    /// Keeps the connection for the open transaction, or returns it to the pool.
    fn pin_or_release(
        &self,
        stream: &CallerStream,
        pinned: &mut MutexGuard<'_, Option<ConnectionInUse>>,
        answer: Answer,
        held: Option<ConnectionInUse>,
    ) -> Answer {
        match held {
            Some(held) if held.status != b'I' && !*stream.closed.borrow() => **pinned = Some(held),
            Some(held) => held.release(),
            None => {}
        }
        answer
    }

    /// Checks lease, ownership and key against the state and configuration of this instance.
    fn check_request(&self, request: &Request) -> Result<(), Reason> {
        if *self.closed.borrow() {
            return Err(Reason::Owner);
        }
        if self.control.now() >= self.control.lease() {
            return Err(Reason::Lease);
        }
        let view = self.control.view().borrow().clone();
        let holder = view.machine.shards.get(&Shard::Group(self.name.clone()));
        let owned = holder
            .is_some_and(|h| h.epoch == self.epoch && h.instance.as_ref() == Some(&view.instance));
        if !owned {
            return Err(Reason::Owner);
        }
        let account = view.machine.config.accounts.get(&request.account).ok_or(Reason::Key)?;
        let authorized = match &request.key {
            Some(key) => is_valid_key(account, key),
            None => {
                request.account.as_str() == PUBLIC_ACCOUNT
                    && crate::batch::all_on_open_routes(&request.messages, &view.machine.config)
            }
        };
        if authorized { Ok(()) } else { Err(Reason::Key) }
    }

    /// Runs a request outside a transaction; one with an id runs at most once.
    async fn run_outside_transaction(
        self: &Arc<Self>,
        stream: &Arc<CallerStream>,
        pinned: &mut MutexGuard<'_, Option<ConnectionInUse>>,
        request: &Request,
        deadline: Instant,
    ) -> Answer {
        let Some((account, id)) = dedup_key(request) else {
            return self.run_with_retries(stream, pinned, request, deadline).await;
        };
        let id = &id;
        let (waiter, answer) = oneshot::channel();
        let now = self.control.now();
        let begin = lock(&self.requests).begin(&request.account, id, waiter, now);
        match begin {
            Begin::First(_) => {}
            Begin::Joined => {
                let answer = timeout_at(deadline, answer).await;
                return answer.ok().and_then(Result::ok).unwrap_or_else(unknown_answer);
            }
            Begin::Answer(_, answer) => return answer,
            Begin::Unknown(_) => return unknown_answer(),
            Begin::Full(_) => return refused_answer(Reason::Overload),
        }
        let answer = self.run_with_retries(stream, pinned, request, deadline).await;
        let now = self.control.now();
        let waiters = {
            let mut guard = lock(&self.requests);
            let requests = &mut *guard;
            match &answer.outcome {
                Outcome::Refused { .. } => requests.discard(&request.account, id),
                Outcome::Unknown => requests.record_unknown(&request.account, id, now),
                Outcome::Done | Outcome::Failed => {
                    let size = answer.messages.len();
                    self.copier.copy_answer((account, id.clone()), &answer);
                    requests.record_answer(&request.account, id, answer.clone(), size, now)
                }
            }
        };
        for waiter in waiters {
            // A duplicate request may have timed out.
            let _ = waiter.send(answer.clone());
        }
        answer
    }

    /// Runs a request, and retries it on another server if that is safe.
    async fn run_with_retries(
        self: &Arc<Self>,
        stream: &Arc<CallerStream>,
        pinned: &mut MutexGuard<'_, Option<ConnectionInUse>>,
        request: &Request,
        deadline: Instant,
    ) -> Answer {
        if runs_statement(&request.messages)
            && let Err((reason, retry)) = self.rates.admit(&request.account, deadline).await
        {
            return Answer { outcome: Outcome::Refused { reason, retry }, ..unknown_answer() };
        }
        if let Some(key) = dedup_key(request) {
            let copied = tokio::select! {
                copied = self.copier.store_intent(key, deadline) => copied,
                () = stream.caller_closed() => Err(Reason::Connection),
                () = stream.cancel_notify.notified() => Err(Reason::Cancelled),
            };
            if let Err(reason) = copied {
                return refused_answer(reason);
            }
        }
        if request.read {
            lock(&self.core).budget.record_read();
        }
        let mut attempts = Attempts { idempotent: request.idempotent, ..Attempts::default() };
        loop {
            let held = match self.acquire_connection(stream, request, &attempts, deadline).await {
                Ok(held) => held,
                Err(_) if attempts.sent => return unknown_answer(),
                Err(reason) => return refused_answer(reason),
            };
            let (member, failure) = match self.execute(stream, request, held, deadline).await {
                AttemptResult::Answer(answer, _) if attempts.sent && is_refusal(&answer) => {
                    return unknown_answer();
                }
                AttemptResult::Answer(answer, held) => {
                    return self.pin_or_release(stream, pinned, answer, held);
                }
                AttemptResult::Failed(member, failure) => (member, failure),
            };
            if failure == Failure::Unsent {
                self.metrics.count_retry("term");
                continue;
            }
            let now = self.control.now();
            let next =
                attempts.record_failure(&member.name, failure, &mut lock(&self.core).budget, now);
            match next {
                NextStep::RetryElsewhere => self
                    .metrics
                    .count_retry(if failure == Failure::Stopping { "stopping" } else { "lost" }),
                NextStep::Refuse => return refused_answer(Reason::Connection),
                NextStep::Report | NextStep::Unknown => return unknown_answer(),
            }
        }
    }

    /// Waits for a slot and a connection.
    async fn acquire_connection(
        self: &Arc<Self>,
        stream: &CallerStream,
        request: &Request,
        attempts: &Attempts,
        deadline: Instant,
    ) -> Result<ConnectionInUse, Reason> {
        loop {
            let (need, place) = self.describe_need(request, deadline);
            let grant = tokio::select! {
                grant = self.acquire(need, attempts.servers.clone(), place, deadline) => grant?,
                () = stream.caller_closed() => return Err(Reason::Connection),
                () = stream.cancel_notify.notified() => return Err(Reason::Cancelled),
            };
            match timeout_at(deadline, grant.member.pool.get()).await {
                Ok(Ok(pooled)) => {
                    return Ok(ConnectionInUse::new(grant, pooled, self.primary.borrow().0));
                }
                Ok(Err(error)) => {
                    self.metrics.count_retry("connect");
                    self.suspend(&grant.member, CONNECT_BACKOFF_MS);
                    if error.kind() == ErrorKind::ConnectionRefused {
                        self.record_failure(&grant.member, true);
                    }
                }
                Err(_) => return Err(Reason::Connection),
            }
        }
    }

    fn describe_need(&self, request: &Request, deadline: Instant) -> (Requirements, QueueParams) {
        let view = self.control.view().borrow().clone();
        let account = view.machine.config.accounts.get(&request.account);
        let core = lock(&self.core);
        let required = core
            .positions
            .as_ref()
            .map(|table| table.required_position(&request.account, request.session.as_deref()));
        let need = Requirements {
            // Until the primary has reported its position, no replica is known to be fresh enough.
            primary: !request.read || required.is_none(),
            required_position: required.unwrap_or_default(),
            max_age: request.age,
            waited: 0,
        };
        let left = deadline.saturating_duration_since(Instant::now()).as_millis() as Millis;
        let place = QueueParams {
            account: request.account.clone(),
            rate: account.map_or(1.0, |account| account.rate),
            class: request.class,
            deadline: self.control.now() + left,
        };
        (need, place)
    }

    /// Sends the request and builds the answer from the server's reply.
    ///
    /// The connection is returned only if its reply was complete.
    async fn execute(
        self: &Arc<Self>,
        stream: &Arc<CallerStream>,
        request: &Request,
        mut held: ConnectionInUse,
        deadline: Instant,
    ) -> AttemptResult {
        let member = held.grant.member.clone();
        // Lease, key and term may have changed while the request or the transaction waited.
        if let Err(reason) = self.check_request(request) {
            held.release();
            return AttemptResult::Answer(refused_answer(reason), None);
        }
        if !request.read && held.term != self.primary.borrow().0 {
            return AttemptResult::Failed(member, Failure::Unsent);
        }
        let write = !request.read && request.block == TransactionEffect::Single;
        let key = held.pooled.connection.key();
        *lock(&stream.running) =
            Some(Running { member: member.clone(), key, write, cancelled: false });
        let started = Instant::now();
        let reply = self.send_request(&mut held, &member, request).await;
        let running = lock(&stream.running).take();
        held.cancelled |= running.is_some_and(|running| running.cancelled);
        let Some(reply) = reply else { return AttemptResult::Failed(member, Failure::Lost) };
        self.record_answer(&member);
        held.settings_changed |= reply.settings_changed;
        held.status = reply.status;
        if reply.error.as_ref().is_some_and(|code| code.starts_with(SHUTDOWN_SQLSTATE_PREFIX)) {
            return AttemptResult::Failed(member, Failure::Stopping);
        }
        if request.read {
            member.record_latency(started.elapsed().as_micros() as u64);
        }
        if !self.wait_confirmed(request, &reply, deadline).await {
            held.release();
            return AttemptResult::Answer(unknown_answer(), None);
        }
        let replica = self.primary.borrow().1.as_ref() != Some(&member.name);
        if request.read {
            let counter =
                if replica { &self.metrics.replica_reads } else { &self.metrics.primary_reads };
            counter.inc();
        }
        AttemptResult::Answer(build_answer(reply, replica), Some(held))
    }

    /// Waits until a majority has stored what the request wrote; false if that is not known.
    async fn wait_confirmed(&self, request: &Request, reply: &Reply, deadline: Instant) -> bool {
        if let Some(position) = reply.position {
            let acknowledged = tokio::select! {
                result = self.wait_for_majority(position, deadline) => result,
                () = self.ownership_ended() => false,
            };
            if !acknowledged {
                return false;
            }
            let now = self.control.now();
            let mut core = lock(&self.core);
            if let Some(positions) = &mut core.positions {
                positions.acknowledge(&request.account, request.session.as_deref(), position);
            }
            if let Some(gap) = core.failover.record_acknowledged(now) {
                self.metrics.record_failover_gap("detection", gap.detection);
                self.metrics.record_failover_gap("agreement", gap.agreement);
                self.metrics.record_failover_gap("promotion", gap.promotion);
                self.metrics.record_failover_gap("first_write", gap.first);
                log(Event::FailoverEnded, format_args!("{}: {gap:?} (ms)", self.name));
            }
        }
        self.control.now() < self.control.lease()
    }

    /// Sends the request; `None` if the connection, the server, the term or the lease was lost.
    async fn send_request(
        &self,
        held: &mut ConnectionInUse,
        member: &Member,
        request: &Request,
    ) -> Option<Reply> {
        let mut removed = member.removed.subscribe();
        let mut silent = member.unresponsive.subscribe();
        let mut primary = self.primary.subscribe();
        let term = held.term;
        let messages = Bytes::copy_from_slice(&request.messages);
        tokio::select! {
            reply = held.pooled.connection.run(messages) => reply.ok(),
            _ = removed.wait_for(|removed| *removed) => None,
            _ = silent.wait_for(|silent| *silent), if request.read => None,
            _ = primary.wait_for(|primary| primary.0 != term), if !request.read => None,
            () = self.ownership_ended() => None,
        }
    }

    /// Completes when the group closes on this instance or the lease expires.
    async fn ownership_ended(&self) {
        let mut closed = self.closed.subscribe();
        tokio::select! {
            // The group itself keeps the channel open.
            _ = closed.wait_for(|closed| *closed) => {}
            () = lease_expired(self.control.as_ref()) => {}
        }
    }
}

/// Client account and id of a request that must run at most once; `None` for any other.
fn dedup_key(request: &Request) -> Option<RequestKey> {
    let runs_once = request.block == TransactionEffect::Single && !request.idempotent;
    let id = request.id.as_ref().filter(|_| runs_once)?;
    Some((request.account.clone(), id.clone()))
}

fn is_refusal(answer: &Answer) -> bool {
    matches!(answer.outcome, Outcome::Refused { .. })
}

/// Whether the messages execute a statement; preparing one costs no token.
fn runs_statement(messages: &[u8]) -> bool {
    frame::split_frames(messages).iter().any(|frame| matches!(frame.tag, b'Q' | b'E'))
}

fn build_answer(reply: Reply, replica: bool) -> Answer {
    let failed = reply.error.is_some() || reply.oversize;
    let outcome = if failed { Outcome::Failed } else { Outcome::Done };
    let messages =
        if reply.oversize { oversize_answer(reply.status) } else { reply.messages.into() };
    Answer { outcome, messages, replica, position: reply.position }
}

/// Answer that replaces one above the size limit; the request did run.
fn oversize_answer(status: u8) -> Vec<u8> {
    let mut out = BytesMut::new();
    frame::put_error(&mut out, "ERROR", &SqlError::new("54000", "the answer is larger than 16 MB"));
    frame::put_ready(&mut out, status);
    out.into()
}
