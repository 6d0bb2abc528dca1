//! Runs a request at the group's owner.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use auburnlug_coordination::{Position, route::Need};
use auburnlug_protocol::{
    outcome::Fault,
    peer::{Answer, Block, Outcome, Reason, Request},
};
use bytes::{Bytes, BytesMut};
use tokio::{
    sync::{Mutex as AsyncMutex, watch},
    time::{Instant, timeout_at},
};

use crate::{
    forward::{lease_end, lock, refused},
    frame,
    group::{Grant, Group, Member},
    handshake::{PUBLIC, holds},
    pool::Pooled,
    server::{CancelKey, Reply, Servers},
};

/// Time for which a server is not chosen after a connection to it failed, in milliseconds.
const SUSPEND: u64 = 100;

/// A caller's connection as its owner sees it.
#[derive(Default)]
pub(crate) struct Stream {
    /// Connection that an open transaction holds.
    pinned: AsyncMutex<Option<Held>>,
    /// Where the running statement can be cancelled.
    running: Mutex<Option<(Arc<Member>, CancelKey)>>,
    closed: watch::Sender<bool>,
}

/// A connection in use, with its slot.
pub(crate) struct Held {
    grant: Grant,
    pooled: Pooled,
    changed: bool,
}

impl Stream {
    /// Cancels the running statement.
    pub(crate) fn cancel(&self, servers: &Arc<dyn Servers>) {
        if let Some((member, key)) = &*lock(&self.running) {
            let cancel = servers.cancel(member.record.address, key.clone());
            tokio::spawn(cancel);
        }
    }

    /// Rolls back what is open: the caller is gone.
    pub(crate) fn close(self: &Arc<Self>, servers: &Arc<dyn Servers>) {
        self.closed.send_replace(true);
        self.cancel(servers);
        let this = self.clone();
        tokio::spawn(async move {
            let held = this.pinned.lock().await.take();
            if let Some(held) = held {
                held.reset().await;
            }
        });
    }
}

impl Held {
    async fn reset(self) {
        self.grant.member.pool.reset(self.pooled, self.changed).await;
    }

    /// Makes the connection available to other callers.
    async fn release(self) {
        if self.changed {
            return self.reset().await;
        }
        self.grant.member.pool.put(self.pooled);
    }
}

/// How sending a request ended.
enum Sent {
    Reply(Box<Reply>),
    /// The connection, the primary, the lease or the group was lost while it ran.
    Lost,
}

impl Group {
    /// Runs `request` of the caller behind `stream`.
    pub(crate) async fn run(self: &Arc<Self>, stream: &Arc<Stream>, request: Request) -> Answer {
        let deadline = Instant::now() + Duration::from_millis(request.wait);
        let mut pinned = stream.pinned.lock().await;
        if let Err(reason) = self.admit(&request) {
            if let Some(held) = pinned.take() {
                held.reset().await;
            }
            return refused(reason);
        }
        let held = match pinned.take() {
            Some(held) => held,
            None if !matches!(request.block, Block::Single | Block::Begin) => {
                return refused(Reason::Owner);
            }
            None => match self.hold(&request, deadline).await {
                Ok(held) => held,
                Err(reason) => return refused(reason),
            },
        };
        let (answer, held) = self.execute(stream, request, held, deadline).await;
        if let Some(held) = held {
            if *stream.closed.borrow() {
                held.reset().await;
            } else if answer.messages.last() != Some(&b'I') {
                *pinned = Some(held);
            } else {
                held.release().await;
            }
        }
        answer
    }

    /// Checks lease and key again, with the configuration in force here.
    fn admit(&self, request: &Request) -> Result<(), Reason> {
        if *self.closed.borrow() {
            return Err(Reason::Owner);
        }
        if self.control.now() >= self.control.lease() {
            return Err(Reason::Lease);
        }
        let view = self.control.view().borrow().clone();
        if view.stopping && matches!(request.block, Block::Single | Block::Begin) {
            return Err(Reason::Stopping);
        }
        let account = view.machine.config.accounts.get(&request.account).ok_or(Reason::Key)?;
        let known = match &request.key {
            Some(key) => holds(account, key),
            None => request.account.as_str() == PUBLIC,
        };
        if known { Ok(()) } else { Err(Reason::Key) }
    }

    /// Waits for a slot and a connection.
    async fn hold(self: &Arc<Self>, request: &Request, deadline: Instant) -> Result<Held, Reason> {
        let primary = !request.read;
        let need = Need { floor: Position::default(), age: request.age, primary, paused: 0 };
        loop {
            let grant = self.acquire(need.clone(), deadline).await?;
            match timeout_at(deadline, grant.member.pool.get()).await {
                Ok(Ok(pooled)) => {
                    return Ok(Held { grant, pooled, changed: false });
                }
                Ok(Err(_)) => {
                    self.metrics.retried("connect");
                    self.suspend(&grant.member, SUSPEND);
                }
                Err(_) => return Err(Reason::Connection),
            }
        }
    }

    /// Sends the request and turns what comes back into an answer.
    ///
    /// The connection comes back only if its answer was complete.
    async fn execute(
        self: &Arc<Self>,
        stream: &Arc<Stream>,
        request: Request,
        mut held: Held,
        deadline: Instant,
    ) -> (Answer, Option<Held>) {
        // The lease may have ended while the request waited.
        if let Err(reason) = self.admit(&request) {
            held.reset().await;
            return (refused(reason), None);
        }
        let member = held.grant.member.clone();
        *lock(&stream.running) = Some((member.clone(), held.pooled.connection.key()));
        let sent = self.send(&mut held, &member, request.messages.into()).await;
        *lock(&stream.running) = None;
        let Sent::Reply(reply) = sent else { return (unknown(), None) };
        let replica = !self.is_primary(&member);
        held.changed |= reply.changed;
        if let Some(position) = reply.position {
            let held_by_majority = tokio::select! {
                acknowledged = timeout_at(deadline, self.acknowledged(position)) => acknowledged.unwrap_or(false),
                () = self.ended() => false,
            };
            if !held_by_majority || self.control.now() >= self.control.lease() {
                held.reset().await;
                return (unknown(), None);
            }
        }
        if request.read {
            let counter =
                if replica { &self.metrics.replica_reads } else { &self.metrics.primary_reads };
            counter.inc();
        }
        (answer(*reply, replica), Some(held))
    }

    async fn send(&self, held: &mut Held, member: &Member, messages: Bytes) -> Sent {
        let mut lost = member.lost.subscribe();
        tokio::select! {
            reply = held.pooled.connection.run(messages) => reply.map_or(Sent::Lost, |reply| Sent::Reply(Box::new(reply))),
            _ = lost.wait_for(|lost| *lost) => Sent::Lost,
            () = self.ended() => Sent::Lost,
        }
    }

    /// Ends when the group closes here or the lease is over.
    async fn ended(&self) {
        let mut closed = self.closed.subscribe();
        tokio::select! {
            // An error means that the group is gone.
            _ = closed.wait_for(|closed| *closed) => {}
            () = lease_end(self.control.as_ref()) => {}
        }
    }
}

fn unknown() -> Answer {
    Answer { outcome: Outcome::Unknown, messages: Vec::new(), replica: false, position: None }
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
