//! Connections of this entry to servers, and the jobs that wait for one.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc, sync::Arc};

use auburnlug_protocol::job::Values;
use auburnlug_state::{Millis, fleet::Run};
use auburnlug_transport::event::{Event, log};
use tokio::sync::oneshot;

use crate::{
    conn::{Connection, Fault, Target},
    local::{Local, View},
};

/// Weight of the newest duration in the average.
const NEWEST: f64 = 0.1;

/// Duration of a statement before one was measured, in milliseconds.
const UNKNOWN_DURATION: f64 = 20.0;

/// Time for which a server is not tried after a failed connect, in milliseconds; it doubles up to
/// [`LONGEST_PAUSE`].
const PAUSE: Millis = 50;

/// Longest time for which a server is not tried, in milliseconds.
const LONGEST_PAUSE: Millis = 800;

/// Time that a job must have left to be sent, in milliseconds. With less it would only take a slot
/// from one that can still succeed.
const LEAST_TIME: Millis = 15;

/// What a job needs of a connection.
#[derive(Debug, Clone)]
pub struct Want {
    /// Server.
    pub server: Arc<str>,
    /// Client account.
    pub account: Arc<str>,
    /// Session values.
    pub values: Values,
    /// Priority; 0 goes first.
    pub priority: u32,
    /// End of the job's time.
    pub until: Millis,
    /// Longest expected wait with which it joins the queue, in milliseconds.
    pub patience: Millis,
}

/// Why a job gets no seat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NoSeat {
    /// This entry holds no connections to the server, or the server cannot be reached.
    Unreachable,
    /// Too many jobs wait: the expected wait, in milliseconds, and a description of the queue.
    Full(Millis, String),
    /// None came free in time; the text describes the queue.
    Late(String),
}

/// Servers to which this entry holds connections.
pub struct Pool {
    local: Rc<Local>,
    servers: RefCell<BTreeMap<Arc<str>, Server>>,
}

struct Waiter {
    order: (u32, u64),
    want: Want,
    seat: oneshot::Sender<Seat>,
}

struct Server {
    target: Target,
    run: Run,
    slots: u32,
    /// Connections that this entry may open.
    share: u32,
    draining: bool,
    waiters: Vec<Waiter>,
    next: u64,
    /// Connections that no job uses, the one used last at the end.
    idle: Vec<Connection>,
    open: u32,
    running: u32,
    /// Average duration of a statement, in milliseconds.
    duration: f64,
    paused: Millis,
    failures: u32,
}

/// Permission to run one statement at a server, with a connection if one was at hand.
pub struct Seat {
    pool: Rc<Pool>,
    /// Where it leads.
    pub target: Target,
    run: Run,
    /// Connection; `None` until one is opened.
    pub connection: Option<Connection>,
    running: bool,
}

impl Pool {
    /// A pool without servers.
    pub fn new(local: Rc<Local>) -> Rc<Pool> {
        Rc::new(Pool { local, servers: RefCell::default() })
    }

    /// Takes over servers and shares from a new view.
    pub fn refresh(self: &Rc<Self>, view: &View) {
        let (mut dropped, mut waiting) = (Vec::new(), Vec::new());
        {
            let mut servers = self.servers.borrow_mut();
            let gone: Vec<_> =
                servers.keys().filter(|id| !view.backends.contains_key(*id)).cloned().collect();
            dropped.extend(gone.iter().filter_map(|id| servers.remove(id)));
            for backend in view.backends.values() {
                let known = servers.get(&backend.id);
                if known.is_none_or(|s| s.run != backend.run || s.target.address != backend.address)
                {
                    let target = Target {
                        group: backend.group.clone(),
                        server: backend.id.clone(),
                        address: backend.address,
                    };
                    let server = Server::new(target, backend.run, backend.slots);
                    dropped.extend(servers.insert(backend.id.clone(), server));
                }
                let Some(server) = servers.get_mut(&backend.id) else { continue };
                server.share = share(view, &backend.id, &self.local.me.name);
                server.draining = backend.draining;
                if server.share == 0 {
                    // Other entries hold the server now: the jobs go there.
                    waiting.append(&mut server.waiters);
                }
                while server.open > server.share && !server.idle.is_empty() {
                    dropped_connection(server);
                }
            }
        }
        drop((dropped, waiting));
        let ids: Vec<_> = self.servers.borrow().keys().cloned().collect();
        for id in ids {
            self.dispatch(&id);
        }
    }

    /// Waits for a seat until the job's time ends.
    ///
    /// # Errors
    ///
    /// No seat can be had in time; that is told as soon as it is known.
    pub async fn seat(self: &Rc<Self>, want: Want) -> Result<Seat, NoSeat> {
        let (sender, receiver) = oneshot::channel();
        let (id, now) = (want.server.clone(), self.local.now());
        {
            let mut servers = self.servers.borrow_mut();
            let Some(server) = servers.get_mut(&id).filter(|server| server.share > 0) else {
                return Err(NoSeat::Unreachable);
            };
            if now < server.paused && server.failures > 1 {
                return Err(NoSeat::Unreachable);
            }
            server.next += 1;
            let order = (want.priority, server.next);
            let at = server.waiters.partition_point(|waiter| waiter.order < order);
            let expected = (at as f64 * server.duration / f64::from(server.slots)) as Millis;
            if expected > want.patience.min(want.until.saturating_sub(now)) {
                return Err(NoSeat::Full(expected, server.describe(now)));
            }
            server.waiters.insert(at, Waiter { order, want, seat: sender });
        }
        self.dispatch(&id);
        match receiver.await {
            Ok(seat) => Ok(seat),
            Err(_) if !self.holds(&id) => Err(NoSeat::Unreachable),
            Err(_) => Err(NoSeat::Late(self.describe(&id))),
        }
    }

    /// Whether this entry holds connections to a server.
    fn holds(&self, server: &str) -> bool {
        self.servers.borrow().get(server).is_some_and(|server| server.share > 0)
    }

    /// State of a server, for the log line of a refusal.
    pub fn describe(&self, server: &str) -> String {
        let now = self.local.now();
        let servers = self.servers.borrow();
        servers.get(server).map_or("the server is gone".into(), |server| server.describe(now))
    }

    /// Gives seats to waiting jobs.
    fn dispatch(self: &Rc<Self>, id: &str) {
        loop {
            let (sender, seat, expired) = {
                let mut servers = self.servers.borrow_mut();
                let Some(server) = servers.get_mut(id) else { return };
                let now = self.local.now();
                let expired = server.expire(now);
                let paused = now < server.paused;
                let found = server
                    .waiters
                    .iter()
                    .position(|waiter| !paused && server.free(&waiter.want.account));
                let Some(at) = found else { return };
                let waiter = server.waiters.remove(at);
                let connection = server.take(&waiter.want);
                let seat = Seat {
                    pool: self.clone(),
                    target: server.target.clone(),
                    run: server.run,
                    connection,
                    running: true,
                };
                (waiter.seat, seat, expired)
            };
            drop(expired);
            // A receiver that is gone drops the seat, which gives it back.
            let _ = sender.send(seat);
        }
    }

    fn with<R>(&self, seat: &Seat, act: impl FnOnce(&mut Server) -> R) -> Option<R> {
        let mut servers = self.servers.borrow_mut();
        let server = servers.get_mut(&seat.target.server)?;
        (server.run == seat.run).then(|| act(server))
    }
}

fn share(view: &View, server: &str, me: &auburnlug_state::Name) -> u32 {
    let holders = view.holders.get(server).into_iter().flatten();
    holders.filter(|holder| holder.entry == *me).map(|holder| holder.connections).sum()
}

/// Closes the connection that was not used for the longest time.
fn dropped_connection(server: &mut Server) {
    if !server.idle.is_empty() {
        server.idle.remove(0);
        server.open -= 1;
    }
}

impl Server {
    fn new(target: Target, run: Run, slots: u32) -> Server {
        Server {
            target,
            run,
            slots: slots.max(1),
            share: 0,
            draining: false,
            waiters: Vec::new(),
            next: 0,
            idle: Vec::new(),
            open: 0,
            running: 0,
            duration: UNKNOWN_DURATION,
            paused: 0,
            failures: 0,
        }
    }

    fn describe(&self, now: Millis) -> String {
        format!(
            "waiting {} running {}/{} open {}/{} idle {} duration {:.0} paused {}",
            self.waiters.len(),
            self.running,
            self.slots,
            self.open,
            self.share,
            self.idle.len(),
            self.duration,
            self.paused.saturating_sub(now)
        )
    }

    /// Takes out the jobs that cannot be served any more.
    fn expire(&mut self, now: Millis) -> Vec<Waiter> {
        let over = |w: &Waiter| w.seat.is_closed() || now + LEAST_TIME >= w.want.until;
        self.waiters.extract_if(.., |waiter| over(waiter)).collect()
    }

    /// Whether a job of `account` can run now.
    fn free(&self, account: &str) -> bool {
        self.running < self.slots
            && (self.open < self.share
                || !self.idle.is_empty()
                || self.idle.iter().any(|c| &*c.account == account))
    }

    /// Takes an idle connection of the account, or makes room for a new one.
    fn take(&mut self, want: &Want) -> Option<Connection> {
        self.running += 1;
        let before = self.idle.len();
        self.idle.retain_mut(|connection| !connection.ended());
        self.open -= u32::try_from(before - self.idle.len()).unwrap_or(0);
        let of = |c: &Connection| c.account == want.account;
        let fits = self.idle.iter().rposition(|c| of(c) && c.values == want.values);
        let at = fits.or_else(|| self.idle.iter().rposition(|c| of(c) && c.values.is_empty()));
        if let Some(at) = at.or_else(|| self.idle.iter().rposition(of)) {
            return Some(self.idle.remove(at));
        }
        if self.open >= self.share {
            dropped_connection(self);
        }
        self.open += 1;
        None
    }
}

impl Seat {
    /// Notes an answer that took `duration` milliseconds.
    pub fn answered(&self, duration: Millis) {
        let failures = self.pool.with(self, |server| {
            server.duration += (duration as f64 - server.duration) * NEWEST;
            server.paused = 0;
            std::mem::take(&mut server.failures)
        });
        if failures.unwrap_or(0) > 0 {
            log(Event::ServerRegained, format_args!("server={}", self.target.server));
        }
    }

    /// Notes that the server cannot be used for a while.
    pub fn failed(&self, fault: &Fault) {
        let now = self.pool.local.now();
        let failures = self.pool.with(self, |server| {
            let doubled = PAUSE << server.failures.min(5);
            server.paused = now + doubled.min(LONGEST_PAUSE);
            server.failures += 1;
            // What is idle belongs to the same process.
            if matches!(fault, Fault::Refused | Fault::Unanswered) {
                server.open -= u32::try_from(server.idle.len()).unwrap_or(0);
                server.idle.clear();
            }
            server.failures
        });
        if failures == Some(1) {
            log(
                Event::ServerLost,
                format_args!(
                    "server={} group={} address={} fault={fault:?}",
                    self.target.server, self.target.group, self.target.address
                ),
            );
        }
    }

    /// Closes the connection; a new one may be opened in its place.
    pub fn close(&mut self) {
        self.connection = None;
    }

    /// Keeps the connection but lets others use the slot.
    pub fn rest(&mut self) {
        if std::mem::take(&mut self.running) {
            self.pool.with(self, |server| server.running -= 1);
            let pool = self.pool.clone();
            pool.dispatch(&self.target.server);
        }
    }

    /// Uses a slot again, for the next statement of a transaction. It does not wait for one: the
    /// transaction holds locks and a connection.
    pub fn resume(&mut self) {
        if !std::mem::replace(&mut self.running, true) {
            self.pool.with(self, |server| server.running += 1);
        }
    }
}

impl Drop for Seat {
    /// Gives the slot and the connection back.
    fn drop(&mut self) {
        let connection = self.connection.take();
        let running = self.running;
        self.pool.with(self, |server| {
            server.running -= u32::from(running);
            match connection {
                Some(connection) if server.open <= server.share => server.idle.push(connection),
                _ => server.open -= 1,
            }
        });
        let pool = self.pool.clone();
        pool.dispatch(&self.target.server);
    }
}
