//! Connection pools of this entry, one per server, with queues of waiting jobs.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc, sync::Arc, time::Duration};

use auburnlug_coordination::{
    server_pace::StatementPacer,
    slot_queue::{SlotPlace, SlotQueue},
};
use auburnlug_protocol::job::{ErrorCode, SessionVariables};
use auburnlug_state::{Millis, fleet::Incarnation};
use auburnlug_transport::event::{Event, log};
use tokio::{
    sync::oneshot,
    task::spawn_local,
    time::{Instant, sleep},
};

use crate::{
    connection::{Connection, Fault, Target},
    local_state::{LocalState, View},
    metrics::ServerLabel,
};

/// Weight of the newest duration in the moving average.
const DURATION_EWMA_WEIGHT: f64 = 0.1;

/// Assumed duration of a statement before the first answer.
const INITIAL_DURATION_MS: f64 = 20.0;

/// Backoff after a failed connect; it doubles up to [`MAX_RECONNECT_BACKOFF_MS`].
const MIN_RECONNECT_BACKOFF_MS: Millis = 50;

const MAX_RECONNECT_BACKOFF_MS: Millis = 800;

/// Time for which no further connections are opened after the server refused one over its limit.
/// Servers count connections of processes that lost power for some seconds.
const CONNECTION_REFUSAL_PAUSE_MS: Millis = 250;

/// Minimum time that a job must have left to get a slot. With less time left, it would only take
/// the slot from a job that can still succeed.
const MIN_TIME_LEFT_MS: Millis = 15;

/// Interval at which jobs for a cold server check for a share of its rate or a lease.
const GRANT_RETRY_MS: Millis = 50;

/// Request of a job for a slot and a connection.
#[derive(Debug, Clone)]
pub struct SlotRequest {
    /// Server.
    pub server: Arc<str>,
    /// Client account.
    pub account: Arc<str>,
    /// Session values that the connection should have.
    pub values: SessionVariables,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Deadline of the job.
    pub deadline: Millis,
    /// Longest expected wait with which the job may join the queue, in milliseconds.
    pub max_wait: Millis,
    /// Time at which its operation misses the latency objective.
    pub objective: Millis,
}

/// Reason why a job gets no slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NoSlot {
    /// This entry owns no connections to the server, or the server cannot be reached or is
    /// evacuated.
    Unreachable,
    /// The server may not be used as the primary.
    NotPrimary,
    /// The queue is too long: the expected wait in milliseconds, and a description of the queue.
    QueueFull(Millis, String),
    /// No slot became free in time; the text describes the queue.
    TimedOut(String),
}

/// Connection pools of all servers.
pub struct Pool {
    local: Rc<LocalState>,
    servers: RefCell<BTreeMap<Arc<str>, ServerPool>>,
}

/// A job that waits for a slot.
struct Waiter {
    request: SlotRequest,
    reply: oneshot::Sender<SlotPermit>,
}

/// Connections to one server and the jobs that wait for a slot.
struct ServerPool {
    target: Target,
    incarnation: Incarnation,
    slots: u32,
    /// Number of connections that this entry may open.
    connection_limit: u32,
    /// Connections that the server accepted when it refused a further one, and the time until which
    /// no more are opened.
    accepted: Option<(u32, Millis)>,
    draining: bool,
    /// Whether the failure domain is evacuated, so that no new jobs run.
    evacuated: bool,
    waiters: SlotQueue<Waiter>,
    /// Spaces the statements while the server is cold.
    pacer: StatementPacer,
    /// Time at which waiting jobs are given slots again, after a limit of the pacer.
    paced_until: Millis,
    /// Idle connections, the most recently used one last.
    idle_connections: Vec<Connection>,
    open_count: u32,
    running_count: u32,
    /// Moving average of statement durations, in milliseconds.
    average_duration: f64,
    paused_until: Millis,
    failures: u32,
}

/// Permission to run one statement at a server, with a connection if an idle one was available.
pub struct SlotPermit {
    pool: Rc<Pool>,
    /// Server that the permit is for.
    pub target: Target,
    incarnation: Incarnation,
    /// Connection; `None` until one is opened.
    pub connection: Option<Connection>,
    holds_slot: bool,
}

impl Pool {
    /// A pool without servers.
    pub fn new(local: Rc<LocalState>) -> Rc<Pool> {
        Rc::new(Pool { local, servers: RefCell::default() })
    }

    /// Applies the servers and connection limits of a new view.
    pub fn apply_view(self: &Rc<Self>, view: &View) {
        let (mut dropped, mut waiting) = (Vec::new(), Vec::new());
        {
            let mut servers = self.servers.borrow_mut();
            let removed: Vec<_> =
                servers.keys().filter(|id| !view.backends.contains_key(*id)).cloned().collect();
            dropped.extend(removed.iter().filter_map(|id| servers.remove(id)));
            dropped.iter().for_each(|server: &ServerPool| {
                self.publish_rate(&server.target.server, server.pacer.is_limited(), None);
            });
            for backend in view.backends.values() {
                let known = servers.get(&backend.id);
                if known.is_none_or(|s| {
                    s.incarnation != backend.run || s.target.address != backend.address
                }) {
                    let target = Target {
                        group: backend.group.clone(),
                        server: backend.id.clone(),
                        address: backend.address,
                    };
                    let server = ServerPool::new(target, backend.run, backend.slots);
                    dropped.extend(servers.insert(backend.id.clone(), server));
                }
                let Some(server) = servers.get_mut(&backend.id) else { continue };
                server.connection_limit = owned_connections(view, &backend.id, &self.local.me.name);
                server.draining = backend.draining;
                server.evacuated = view.is_evacuated(backend);
                let me = &self.local.me.name;
                let group = view.config.groups.get(&backend.group);
                let is_limited = backend.cold && group.is_some_and(|g| g.cold_rate.is_some());
                let rate =
                    is_limited.then(|| owned_cold_rate(view, &backend.id, me).unwrap_or(0.0));
                self.publish_rate(&backend.id, server.pacer.is_limited(), rate);
                server.pacer.set_rate(rate);
                if !server.accepts_jobs() {
                    // Other entries serve it now, or other servers must run the jobs.
                    waiting.push(std::mem::take(&mut server.waiters));
                }
                while server.open_count > server.connection_limit
                    && !server.idle_connections.is_empty()
                {
                    close_oldest_idle(server);
                }
            }
        }
        drop((dropped, waiting));
        let ids: Vec<_> = self.servers.borrow().keys().cloned().collect();
        for id in ids {
            self.dispatch(&id);
        }
    }

    /// Waits for a slot until the deadline of the job.
    ///
    /// # Errors
    ///
    /// No slot is available in time; returned as soon as this is known.
    pub async fn acquire(self: &Rc<Self>, request: SlotRequest) -> Result<SlotPermit, NoSlot> {
        let (sender, receiver) = oneshot::channel();
        let (id, now) = (request.server.clone(), self.local.now());
        {
            let mut servers = self.servers.borrow_mut();
            let Some(server) = servers.get_mut(&id).filter(|server| server.accepts_jobs()) else {
                return Err(NoSlot::Unreachable);
            };
            if now < server.paused_until && server.failures > 1 {
                return Err(NoSlot::Unreachable);
            }
            if server.pacer.is_closed() || (server.pacer.is_limited() && !self.local.holds_lease())
            {
                self.local.metrics.pace_refusals.inc();
                return Err(NoSlot::Unreachable);
            }
            let place = SlotPlace {
                priority: request.priority,
                objective: request.objective,
                deadline: request.deadline,
            };
            let duration = server.average_duration as Millis;
            let ahead = server.waiters.jobs_ahead(place, &request.account, duration, now);
            let slot_wait = ahead as f64 * server.average_duration / f64::from(server.slots);
            let pace_wait = server.pacer.ready_at().saturating_sub(now) as f64;
            let expected = slot_wait.max(pace_wait + server.pacer.duration(ahead)) as Millis;
            if expected > request.max_wait.min(request.deadline.saturating_sub(now)) {
                return Err(NoSlot::QueueFull(expected, server.describe(now)));
            }
            let account = request.account.clone();
            server.waiters.push(place, account, Waiter { request, reply: sender });
        }
        self.dispatch(&id);
        match receiver.await {
            Ok(permit) => Ok(permit),
            Err(_) if !self.accepts_jobs(&id) => Err(NoSlot::Unreachable),
            Err(_) => Err(NoSlot::TimedOut(self.describe(&id))),
        }
    }

    /// Whether jobs may run at a server on connections of this entry.
    fn accepts_jobs(&self, server: &str) -> bool {
        self.servers.borrow().get(server).is_some_and(ServerPool::accepts_jobs)
    }

    /// State of a server's pool, for refusals.
    pub fn describe(&self, server: &str) -> String {
        let now = self.local.now();
        let servers = self.servers.borrow();
        servers.get(server).map_or("the server is gone".into(), |server| server.describe(now))
    }

    /// Gives free slots to waiting jobs.
    fn dispatch(self: &Rc<Self>, id: &str) {
        loop {
            let (sender, permit, expired) = {
                let mut servers = self.servers.borrow_mut();
                let Some(server) = servers.get_mut(id) else { return };
                let now = self.local.now();
                let expired = server.remove_expired(now);
                if now < server.paused_until || !server.has_capacity(now) {
                    return;
                }
                if let Some(wait) = self.pace_wait(server, now) {
                    let is_due = now >= server.paced_until || now + wait < server.paced_until;
                    if !server.waiters.is_empty() && is_due {
                        server.paced_until = now + wait;
                        self.dispatch_after(&server.target.server, wait);
                    }
                    return;
                }
                let duration = server.average_duration as Millis;
                let Some(waiter) = server.waiters.pop(duration, now) else { return };
                let connection = server.claim_slot(&waiter.request, now);
                server.pacer.record_sent(now);
                let permit = SlotPermit {
                    pool: self.clone(),
                    target: server.target.clone(),
                    incarnation: server.incarnation,
                    connection,
                    holds_slot: true,
                };
                (waiter.reply, permit, expired)
            };
            drop(expired);
            // If the receiver was dropped, the permit is dropped too, which returns the slot.
            let _ = sender.send(permit);
        }
    }

    /// Publishes the rate of a cold server, or removes it once the server is warm.
    fn publish_rate(&self, server: &str, was_limited: bool, rate: Option<f64>) {
        if !was_limited && rate.is_none() {
            return;
        }
        let label = ServerLabel { server: server.into() };
        match rate {
            Some(rate) => drop(self.local.metrics.pace_rate.get_or_create(&label).set(rate)),
            None => drop(self.local.metrics.pace_rate.remove(&label)),
        }
    }

    /// Time until a cold server may get a further statement, in milliseconds; `None` if it may now.
    /// Without a lease, other entries may have been granted the share of this one.
    fn pace_wait(&self, server: &ServerPool, now: Millis) -> Option<Millis> {
        if !server.pacer.is_limited() {
            return None;
        }
        if server.pacer.is_closed() || !self.local.holds_lease() {
            return Some(GRANT_RETRY_MS);
        }
        let wait = server.pacer.ready_at().saturating_sub(now);
        (wait > 0).then_some(wait)
    }

    /// Gives free slots to waiting jobs once a pause of `delay` milliseconds has ended.
    fn dispatch_after(self: &Rc<Self>, id: &Arc<str>, delay: Millis) {
        let (pool, id) = (self.clone(), id.clone());
        spawn_local(async move {
            sleep(Duration::from_millis(delay)).await;
            pool.dispatch(&id);
        });
    }

    /// Runs `act` on the pool that issued a permit, unless the server has restarted since.
    fn with_server<R>(
        &self,
        permit: &SlotPermit,
        act: impl FnOnce(&mut ServerPool) -> R,
    ) -> Option<R> {
        let mut servers = self.servers.borrow_mut();
        let server = servers.get_mut(&permit.target.server)?;
        (server.incarnation == permit.incarnation).then(|| act(server))
    }
}

/// Number of connections to a server that the view assigns to this entry.
fn owned_connections(view: &View, server: &str, me: &auburnlug_state::Name) -> u32 {
    let owners = view.connection_owners.get(server).into_iter().flatten();
    owners.filter(|owner| owner.entry == *me).map(|owner| owner.connections).sum()
}

/// Rate that the view grants this entry for a cold server, in statements/s.
fn owned_cold_rate(view: &View, server: &str, me: &auburnlug_state::Name) -> Option<f64> {
    let mut owners = view.connection_owners.get(server).into_iter().flatten();
    owners.find(|owner| owner.entry == *me)?.cold_rate
}

/// Closes the idle connection that was unused for the longest time.
fn close_oldest_idle(server: &mut ServerPool) {
    if !server.idle_connections.is_empty() {
        server.idle_connections.remove(0);
        server.open_count -= 1;
    }
}

impl ServerPool {
    fn new(target: Target, incarnation: Incarnation, slots: u32) -> ServerPool {
        ServerPool {
            target,
            incarnation,
            slots: slots.max(1),
            connection_limit: 0,
            accepted: None,
            draining: false,
            evacuated: false,
            waiters: SlotQueue::new(),
            pacer: StatementPacer::default(),
            paced_until: 0,
            idle_connections: Vec::new(),
            open_count: 0,
            running_count: 0,
            average_duration: INITIAL_DURATION_MS,
            paused_until: 0,
            failures: 0,
        }
    }

    /// Whether jobs may run: this entry owns connections and the server is not evacuated.
    fn accepts_jobs(&self) -> bool {
        self.connection_limit > 0 && !self.evacuated && !self.pacer.is_closed()
    }

    fn describe(&self, now: Millis) -> String {
        format!(
            "waiting {} running {}/{} open {}/{} idle {} duration {:.0} paused {}",
            self.waiters.len(),
            self.running_count,
            self.slots,
            self.open_count,
            self.connection_limit,
            self.idle_connections.len(),
            self.average_duration,
            self.paused_until.saturating_sub(now)
        )
    }

    /// Removes the jobs that cannot be served any more.
    fn remove_expired(&mut self, now: Millis) -> Vec<Waiter> {
        self.waiters.remove(|place, waiter| {
            waiter.reply.is_closed() || now + MIN_TIME_LEFT_MS >= place.deadline
        })
    }

    /// Number of connections that may be open now.
    fn current_limit(&self, now: Millis) -> u32 {
        let accepted = self.accepted.filter(|(_, until)| now < *until);
        accepted.map_or(self.connection_limit, |(count, _)| count.min(self.connection_limit))
    }

    /// Whether another job can run now.
    fn has_capacity(&self, now: Millis) -> bool {
        self.running_count < self.slots
            && (self.open_count < self.current_limit(now) || !self.idle_connections.is_empty())
    }

    /// Claims a slot. Returns an idle connection of the account, preferably one with the same
    /// session values; otherwise counts a new one, closing an idle one at the limit.
    fn claim_slot(&mut self, request: &SlotRequest, now: Millis) -> Option<Connection> {
        self.running_count += 1;
        let before = self.idle_connections.len();
        self.idle_connections.retain_mut(|connection| !connection.is_closed());
        self.open_count -= u32::try_from(before - self.idle_connections.len()).unwrap_or(0);
        let same_account = |c: &Connection| c.account == request.account;
        let same_values = self
            .idle_connections
            .iter()
            .rposition(|c| same_account(c) && c.values == request.values);
        let at = same_values.or_else(|| {
            self.idle_connections.iter().rposition(|c| same_account(c) && c.values.is_empty())
        });
        if let Some(at) = at.or_else(|| self.idle_connections.iter().rposition(same_account)) {
            return Some(self.idle_connections.remove(at));
        }
        if self.open_count >= self.current_limit(now) {
            close_oldest_idle(self);
        }
        self.open_count += 1;
        None
    }
}

impl SlotPermit {
    /// Records an answer that took `duration` milliseconds.
    pub fn record_answer(&self, duration: Millis) {
        let failures = self.pool.with_server(self, |server| {
            server.average_duration +=
                (duration as f64 - server.average_duration) * DURATION_EWMA_WEIGHT;
            server.paused_until = 0;
            std::mem::take(&mut server.failures)
        });
        if failures.unwrap_or(0) > 0 {
            log(Event::ServerRegained, format_args!("server={}", self.target.server));
        }
    }

    /// Records a failure; the server gets no new jobs until the backoff has passed. If it refused
    /// this connection over its limit and others are open, jobs go on with those.
    pub fn record_failure(&self, fault: &Fault) {
        let now = self.pool.local.now();
        let outcome = self.pool.with_server(self, |server| {
            if *fault == Fault::Opening(ErrorCode::ConnectionLimit) && server.open_count > 1 {
                server.accepted = Some((server.open_count - 1, now + CONNECTION_REFUSAL_PAUSE_MS));
                return (0, CONNECTION_REFUSAL_PAUSE_MS);
            }
            let backoff = MIN_RECONNECT_BACKOFF_MS << server.failures.min(5);
            let pause = backoff.min(MAX_RECONNECT_BACKOFF_MS);
            server.paused_until = now + pause;
            server.failures += 1;
            // The idle connections lead to the same failed process.
            if matches!(fault, Fault::Refused | Fault::Unanswered) {
                server.open_count -= u32::try_from(server.idle_connections.len()).unwrap_or(0);
                server.idle_connections.clear();
            }
            (server.failures, pause)
        });
        let Some((failures, pause)) = outcome else { return };
        self.pool.dispatch_after(&self.target.server, pause);
        if failures == 1 {
            log(
                Event::ServerLost,
                format_args!(
                    "server={} group={} address={} fault={fault:?}",
                    self.target.server, self.target.group, self.target.address
                ),
            );
        }
    }

    /// Closes the connection; a new one may replace it.
    pub fn close_connection(&mut self) {
        self.connection = None;
    }

    /// Releases the slot but keeps the connection, between two statements of a transaction.
    pub fn release_slot(&mut self) {
        if std::mem::take(&mut self.holds_slot) {
            self.pool.with_server(self, |server| server.running_count -= 1);
            let pool = self.pool.clone();
            pool.dispatch(&self.target.server);
        }
    }

    /// Waits until the server may get the next statement of a transaction; false if that is after
    /// `until`. Only a cold server makes it wait.
    pub async fn wait_for_pace(&self, until: Instant) -> bool {
        loop {
            let now = self.pool.local.now();
            let wait = self.pool.with_server(self, |server| {
                let wait = self.pool.pace_wait(server, now);
                if wait.is_none() {
                    server.pacer.record_sent(now);
                }
                wait
            });
            let Some(wait) = wait.flatten().map(Duration::from_millis) else { return true };
            if Instant::now() + wait > until {
                return false;
            }
            sleep(wait).await;
        }
    }

    /// Claims a slot again for the next statement of a transaction, without waiting for a free one:
    /// the transaction holds locks and a connection.
    pub fn reclaim_slot(&mut self) {
        if !std::mem::replace(&mut self.holds_slot, true) {
            self.pool.with_server(self, |server| server.running_count += 1);
        }
    }
}

impl Drop for SlotPermit {
    /// Returns the slot and the connection.
    fn drop(&mut self) {
        let connection = self.connection.take();
        let running = self.holds_slot;
        self.pool.with_server(self, |server| {
            server.running_count -= u32::from(running);
            let has_place = server.open_count <= server.connection_limit;
            match connection.filter(|connection| has_place && connection.is_keepable()) {
                Some(connection) => server.idle_connections.push(connection),
                None => server.open_count -= 1,
            }
        });
        let pool = self.pool.clone();
        pool.dispatch(&self.target.server);
    }
}
