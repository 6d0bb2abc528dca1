//! Runs a request at the group's owner.

use std::{
    io::ErrorKind,
    sync::{Arc, Mutex},
    time::Duration,
};

use auburnlug_coordination::{
    dedup::{Begin, Key},
    queue::Place,
    retry::{Attempts, Failure, Next},
    route::Need,
};
use auburnlug_protocol::{
    outcome::Fault,
    peer::{Answer, Block, Outcome, Reason, Request},
};
use auburnlug_state::{Millis, Shard};
use bytes::{Bytes, BytesMut};
use tokio::{
    sync::{Mutex as AsyncMutex, MutexGuard, Notify, oneshot, watch},
    time::{Instant, timeout_at},
};

use crate::{
    event::{Event, log},
    forward::{lease_end, lock, refused, unknown},
    frame,
    group::Group,
    handshake::{PUBLIC, holds},
    held::Held,
    member::Member,
    server::{CancelKey, Reply, Servers},
};

/// Time for which a server is not chosen after a connection to it failed, in milliseconds.
const SUSPEND: Millis = 100;

/// SQLSTATE class of servers that stop or start.
const STOPPING: &str = "57P";

/// A caller's connection as its owner sees it.
#[derive(Default)]
pub(crate) struct Stream {
    /// Connection that an open transaction holds.
    pinned: AsyncMutex<Option<Held>>,
    running: Mutex<Option<Running>>,
    closed: watch::Sender<bool>,
    /// Ends the wait of a request that has not been sent.
    cancels: Notify,
}

/// Where the running statement can be cancelled.
struct Running {
    member: Arc<Member>,
    key: CancelKey,
    /// Whether it is a write on its own, whose outcome should not depend on the caller's leaving.
    write: bool,
    cancelled: bool,
}

/// How an attempt to run a request ended.
enum Attempt {
    Answer(Answer, Option<Held>),
    /// It did not get an answer from this server.
    Failed(Arc<Member>, Failure),
}

impl Stream {
    /// Cancels the request that waits or runs.
    pub(crate) fn cancel(&self, servers: &Arc<dyn Servers>) {
        self.cancels.notify_waiters();
        if let Some(running) = &mut *lock(&self.running) {
            running.cancelled = true;
            tokio::spawn(servers.cancel(running.member.pool.address, running.key.clone()));
        }
    }

    /// Rolls back what is open: the caller is gone.
    pub(crate) fn close(self: &Arc<Self>, servers: &Arc<dyn Servers>) {
        self.closed.send_replace(true);
        if lock(&self.running).as_ref().is_some_and(|running| !running.write) {
            self.cancel(servers);
        }
        let this = self.clone();
        tokio::spawn(async move {
            let held = this.pinned.lock().await.take();
            if let Some(held) = held {
                held.release();
            }
        });
    }

    async fn gone(&self) {
        let mut closed = self.closed.subscribe();
        // The stream itself keeps the channel open.
        let _ = closed.wait_for(|closed| *closed).await;
    }
}

impl Group {
    /// Runs `request` of the caller behind `stream`.
    pub(crate) async fn run(self: &Arc<Self>, stream: &Arc<Stream>, request: Request) -> Answer {
        let deadline = Instant::now() + Duration::from_millis(request.wait);
        let mut pinned = stream.pinned.lock().await;
        if let Err(reason) = self.check(&request) {
            if let Some(held) = pinned.take() {
                held.release();
            }
            return refused(reason);
        }
        let Some(held) = pinned.take() else {
            if !matches!(request.block, Block::Single | Block::Begin) {
                return refused(Reason::Connection);
            }
            return self.first(stream, &mut pinned, &request, deadline).await;
        };
        match self.execute(stream, &request, held, deadline).await {
            Attempt::Answer(answer, held) => self.settled(stream, &mut pinned, answer, held),
            // Without its connection the transaction is rolled back.
            Attempt::Failed(_, Failure::Unsent) => refused(Reason::Connection),
            Attempt::Failed(..) => unknown(),
        }
    }

    /// Keeps the connection for the open transaction, or makes it available.
    fn settled(
        &self,
        stream: &Stream,
        pinned: &mut MutexGuard<'_, Option<Held>>,
        answer: Answer,
        held: Option<Held>,
    ) -> Answer {
        match held {
            Some(held) if held.status != b'I' && !*stream.closed.borrow() => **pinned = Some(held),
            Some(held) => held.release(),
            None => {}
        }
        answer
    }

    /// Checks lease, ownership and key again, with the configuration in force here.
    fn check(&self, request: &Request) -> Result<(), Reason> {
        if *self.closed.borrow() {
            return Err(Reason::Owner);
        }
        if self.control.now() >= self.control.lease() {
            return Err(Reason::Lease);
        }
        let view = self.control.view().borrow().clone();
        let holder = view.machine.shards.get(&Shard::Group(self.name.clone()));
        let owned =
            holder.is_some_and(|h| h.epoch == self.epoch && h.instance.as_ref() == Some(&view.me));
        if !owned {
            return Err(Reason::Owner);
        }
        let account = view.machine.config.accounts.get(&request.account).ok_or(Reason::Key)?;
        let known = match &request.key {
            Some(key) => holds(account, key),
            None => {
                request.account.as_str() == PUBLIC
                    && crate::batch::open(&request.messages, &view.machine.config)
            }
        };
        if known { Ok(()) } else { Err(Reason::Key) }
    }

    /// Runs a request outside a transaction; one with an id runs once.
    async fn first(
        self: &Arc<Self>,
        stream: &Arc<Stream>,
        pinned: &mut MutexGuard<'_, Option<Held>>,
        request: &Request,
        deadline: Instant,
    ) -> Answer {
        let Some((account, id)) = once(request) else {
            return self.attempts(stream, pinned, request, deadline).await;
        };
        let id = &id;
        let (waiter, answer) = oneshot::channel();
        let now = self.control.now();
        let begin = lock(&self.requests).begin(&request.account, id, waiter, now);
        match begin {
            Begin::First(_) => {}
            Begin::Joined => {
                let answer = timeout_at(deadline, answer).await;
                return answer.ok().and_then(Result::ok).unwrap_or_else(unknown);
            }
            Begin::Answer(_, answer) => return answer,
            Begin::Unknown(_) => return unknown(),
            Begin::Full(_) => return refused(Reason::Overload),
        }
        let answer = self.attempts(stream, pinned, request, deadline).await;
        let now = self.control.now();
        let waiters = {
            let mut guard = lock(&self.requests);
            let requests = &mut *guard;
            match &answer.outcome {
                Outcome::Refused { .. } => requests.drop(&request.account, id),
                Outcome::Unknown => requests.lose(&request.account, id, now),
                Outcome::Done | Outcome::Failed => {
                    let size = answer.messages.len();
                    self.copier.ended((account, id.clone()), &answer);
                    requests.finish(&request.account, id, answer.clone(), size, now)
                }
            }
        };
        for waiter in waiters {
            // A repeated request may have given up.
            let _ = waiter.send(answer.clone());
        }
        answer
    }

    /// Runs a request, on another server if one fails and running it again does no harm.
    async fn attempts(
        self: &Arc<Self>,
        stream: &Arc<Stream>,
        pinned: &mut MutexGuard<'_, Option<Held>>,
        request: &Request,
        deadline: Instant,
    ) -> Answer {
        if executes(&request.messages)
            && let Err((reason, retry)) = self.rates.admit(&request.account, deadline).await
        {
            return Answer { outcome: Outcome::Refused { reason, retry }, ..unknown() };
        }
        if let Some(key) = once(request) {
            let copied = tokio::select! {
                copied = self.copier.intent(key, deadline) => copied,
                () = stream.gone() => Err(Reason::Connection),
                () = stream.cancels.notified() => Err(Reason::Cancelled),
            };
            if let Err(reason) = copied {
                return refused(reason);
            }
        }
        if request.read {
            lock(&self.core).budget.read();
        }
        let mut attempts = Attempts { idempotent: request.idempotent, ..Attempts::default() };
        loop {
            let held = match self.hold(stream, request, &attempts, deadline).await {
                Ok(held) => held,
                Err(_) if attempts.sent => return unknown(),
                Err(reason) => return refused(reason),
            };
            let (member, failure) = match self.execute(stream, request, held, deadline).await {
                Attempt::Answer(answer, _) if attempts.sent && refusal(&answer) => {
                    return unknown();
                }
                Attempt::Answer(answer, held) => {
                    return self.settled(stream, pinned, answer, held);
                }
                Attempt::Failed(member, failure) => (member, failure),
            };
            if failure == Failure::Unsent {
                self.metrics.retried("term");
                continue;
            }
            let now = self.control.now();
            let next = attempts.failed(&member.name, failure, &mut lock(&self.core).budget, now);
            match next {
                Next::Elsewhere => self.metrics.retried(if failure == Failure::Stopping {
                    "stopping"
                } else {
                    "lost"
                }),
                Next::Refuse => return refused(Reason::Connection),
                Next::Report | Next::Unknown => return unknown(),
            }
        }
    }

    /// Waits for a slot and a connection.
    async fn hold(
        self: &Arc<Self>,
        stream: &Stream,
        request: &Request,
        attempts: &Attempts,
        deadline: Instant,
    ) -> Result<Held, Reason> {
        loop {
            let (need, place) = self.need(request, deadline);
            let grant = tokio::select! {
                grant = self.acquire(need, attempts.servers.clone(), place, deadline) => grant?,
                () = stream.gone() => return Err(Reason::Connection),
                () = stream.cancels.notified() => return Err(Reason::Cancelled),
            };
            match timeout_at(deadline, grant.member.pool.get()).await {
                Ok(Ok(pooled)) => return Ok(Held::new(grant, pooled, self.primary.borrow().0)),
                Ok(Err(error)) => {
                    self.metrics.retried("connect");
                    self.suspend(&grant.member, SUSPEND);
                    if error.kind() == ErrorKind::ConnectionRefused {
                        self.failed(&grant.member, true);
                    }
                }
                Err(_) => return Err(Reason::Connection),
            }
        }
    }

    fn need(&self, request: &Request, deadline: Instant) -> (Need, Place) {
        let view = self.control.view().borrow().clone();
        let account = view.machine.config.accounts.get(&request.account);
        let core = lock(&self.core);
        let floor = core
            .positions
            .as_ref()
            .map(|table| table.need(&request.account, request.session.as_deref()));
        let need = Need {
            // Until the primary has reported its position, no replica is known to be fresh enough.
            primary: !request.read || floor.is_none(),
            floor: floor.unwrap_or_default(),
            age: request.age,
            paused: 0,
        };
        let left = deadline.saturating_duration_since(Instant::now()).as_millis() as Millis;
        let place = Place {
            account: request.account.clone(),
            rate: account.map_or(1.0, |account| account.rate),
            class: request.class,
            deadline: self.control.now() + left,
        };
        (need, place)
    }

    /// Sends the request and turns what comes back into an answer.
    ///
    /// The connection comes back only if its answer was complete.
    async fn execute(
        self: &Arc<Self>,
        stream: &Arc<Stream>,
        request: &Request,
        mut held: Held,
        deadline: Instant,
    ) -> Attempt {
        let member = held.grant.member.clone();
        // Lease, key and term may have changed while the request or the transaction waited.
        if let Err(reason) = self.check(request) {
            held.release();
            return Attempt::Answer(refused(reason), None);
        }
        if !request.read && held.term != self.primary.borrow().0 {
            return Attempt::Failed(member, Failure::Unsent);
        }
        let write = !request.read && request.block == Block::Single;
        let key = held.pooled.connection.key();
        *lock(&stream.running) =
            Some(Running { member: member.clone(), key, write, cancelled: false });
        let begun = Instant::now();
        let reply = self.send(&mut held, &member, request).await;
        let running = lock(&stream.running).take();
        held.cancelled |= running.is_some_and(|running| running.cancelled);
        let Some(reply) = reply else { return Attempt::Failed(member, Failure::Lost) };
        self.answered(&member);
        held.changed |= reply.changed;
        held.status = reply.status;
        if reply.error.as_ref().is_some_and(|code| code.starts_with(STOPPING)) {
            return Attempt::Failed(member, Failure::Stopping);
        }
        if request.read {
            member.took(begun.elapsed().as_micros() as u64);
        }
        if !self.confirmed(request, &reply, deadline).await {
            held.release();
            return Attempt::Answer(unknown(), None);
        }
        let replica = self.primary.borrow().1.as_ref() != Some(&member.name);
        if request.read {
            let counter =
                if replica { &self.metrics.replica_reads } else { &self.metrics.primary_reads };
            counter.inc();
        }
        Attempt::Answer(answer(reply, replica), Some(held))
    }

    /// Waits until a majority holds what the request wrote; false if that cannot be shown.
    async fn confirmed(&self, request: &Request, reply: &Reply, deadline: Instant) -> bool {
        if let Some(position) = reply.position {
            let held = tokio::select! {
                held = self.acknowledged(position, deadline) => held,
                () = self.ended() => false,
            };
            if !held {
                return false;
            }
            let now = self.control.now();
            let mut core = lock(&self.core);
            if let Some(positions) = &mut core.positions {
                positions.acknowledge(&request.account, request.session.as_deref(), position);
            }
            if let Some(gap) = core.failover.acknowledged(now) {
                self.metrics.gap("detection", gap.detection);
                self.metrics.gap("agreement", gap.agreement);
                self.metrics.gap("promotion", gap.promotion);
                self.metrics.gap("first_write", gap.first);
                log(Event::FailoverEnded, format_args!("{}: {gap:?} (ms)", self.name));
            }
        }
        self.control.now() < self.control.lease()
    }

    /// Sends the request; `None` if the connection, the server, the term or the lease was lost.
    async fn send(&self, held: &mut Held, member: &Member, request: &Request) -> Option<Reply> {
        let mut removed = member.removed.subscribe();
        let mut silent = member.silent.subscribe();
        let mut primary = self.primary.subscribe();
        let term = held.term;
        let messages = Bytes::copy_from_slice(&request.messages);
        tokio::select! {
            reply = held.pooled.connection.run(messages) => reply.ok(),
            _ = removed.wait_for(|removed| *removed) => None,
            _ = silent.wait_for(|silent| *silent), if request.read => None,
            _ = primary.wait_for(|primary| primary.0 != term), if !request.read => None,
            () = self.ended() => None,
        }
    }

    /// Ends when the group closes here or the lease is over.
    async fn ended(&self) {
        let mut closed = self.closed.subscribe();
        tokio::select! {
            // The group itself keeps the channel open.
            _ = closed.wait_for(|closed| *closed) => {}
            () = lease_end(self.control.as_ref()) => {}
        }
    }
}

/// Client account and id of a request that must run once.
fn once(request: &Request) -> Option<Key> {
    let once = request.block == Block::Single && !request.idempotent;
    let id = request.id.as_ref().filter(|_| once)?;
    Some((request.account.clone(), id.clone()))
}

fn refusal(answer: &Answer) -> bool {
    matches!(answer.outcome, Outcome::Refused { .. })
}

/// Whether the messages run a statement; preparing one costs no token.
fn executes(messages: &[u8]) -> bool {
    frame::frames(messages).iter().any(|frame| matches!(frame.tag, b'Q' | b'E'))
}

fn answer(reply: Reply, replica: bool) -> Answer {
    let failed = reply.error.is_some() || reply.oversize;
    let outcome = if failed { Outcome::Failed } else { Outcome::Done };
    let messages = if reply.oversize { oversize(reply.status) } else { reply.messages.into() };
    Answer { outcome, messages, replica, position: reply.position }
}

/// Answer in place of one that is too large; the request did run.
fn oversize(status: u8) -> Vec<u8> {
    let mut out = BytesMut::new();
    frame::put_fault(&mut out, "ERROR", &Fault::new("54000", "the answer is larger than 16 MB"));
    frame::put_ready(&mut out, status);
    out.into()
}
