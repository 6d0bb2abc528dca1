//! Connections to servers and the jobs that wait for one.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    rc::Rc,
    sync::Arc,
};

use auburnlug_coordination::{Position, samples::Samples};
use auburnlug_protocol::job::Values;
use auburnlug_state::{Millis, fleet::Run};
use auburnlug_transport::event::{Event, log};
use tokio::sync::oneshot;

use crate::{
    conn::{Connection, Fault, Target},
    local::{Local, View},
};

/// Weight of the newest latency in the average.
const NEWEST: f64 = 0.2;

/// Factor on the expected latency of a primary for reads that replicas may serve: its slots are
/// needed by writes, which no other server takes.
const PRIMARY_WEIGHT: f64 = 1.5;

/// Time for which a server is passed over after a failed connect, in milliseconds; it doubles up
/// to [`LONGEST_PAUSE`].
const PAUSE: Millis = 100;

/// Longest time for which a server is passed over, in milliseconds.
const LONGEST_PAUSE: Millis = 1_000;

/// Time for which a replica is passed over that lacked a position, in milliseconds: half of the
/// usual lag. It doubles up to [`LONGEST_BEHIND`] while the replica stays behind.
const BEHIND: Millis = 30;

/// Longest time for which a replica is passed over that lacked a position, in milliseconds.
const LONGEST_BEHIND: Millis = 480;

/// Time that a job must have left to be sent, in milliseconds: the way to a server in another
/// region and back. With less it would only take a slot from one that can still succeed.
const LEAST_TIME: Millis = 30;

/// What a new connection adds to the expected latency, in milliseconds: it takes a slot and two
/// ways to the server.
const CONNECT_COST: f64 = 40.0;

/// Time after which a server that was announced as leaving gets no new work, in milliseconds. A
/// primary works on until its successor leads, but not longer.
const LEAVING: Millis = 4_000;

/// Expected latency of a server that has not answered yet, in milliseconds.
const UNKNOWN_LATENCY: f64 = 20.0;

/// Time after which the expected latency of an unused server is forgotten, in milliseconds.
const FORGET: Millis = 3_000;

/// What a job needs of a connection.
#[derive(Debug, Clone)]
pub struct Want {
    /// Database group.
    pub group: Arc<str>,
    /// Client account.
    pub account: Arc<str>,
    /// Session values.
    pub values: Values,
    /// Position that a replica must include; `None` if only the primary will do.
    pub floor: Option<Position>,
    /// Server that has just failed the job.
    pub exclude: Option<Arc<str>>,
    /// Priority; 0 goes first.
    pub priority: u32,
    /// End of the job's time.
    pub until: Millis,
}

/// Servers of all groups.
pub struct Pool {
    local: Rc<Local>,
    groups: RefCell<BTreeMap<Arc<str>, Group>>,
}

#[derive(Default)]
struct Group {
    servers: BTreeMap<Arc<str>, Server>,
    waiters: Vec<Waiter>,
    samples: Samples,
    next: u64,
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
    draining: Option<Millis>,
    /// Connections that this instance may open.
    share: u32,
    idle: Vec<Connection>,
    open: u32,
    running: u32,
    latency: Option<f64>,
    answered: Millis,
    behind: Millis,
    behinds: u32,
    paused: Millis,
    failures: u32,
}

/// Permission to run one statement at a server, with a connection if one was at hand.
pub struct Seat {
    pool: Rc<Pool>,
    /// Where it leads.
    pub target: Target,
    /// Whether the server led its group when the seat was given.
    pub primary: bool,
    run: Run,
    /// Connection; `None` until one is opened.
    pub connection: Option<Connection>,
    running: bool,
}

impl Pool {
    /// A pool without servers.
    pub fn new(local: Rc<Local>) -> Rc<Pool> {
        Rc::new(Pool { local, groups: RefCell::default() })
    }

    /// Takes over servers and shares from a new view.
    pub fn refresh(self: &Rc<Self>, view: &View) {
        let now = self.local.now();
        let mut dropped = Vec::new();
        {
            let mut groups = self.groups.borrow_mut();
            for backend in view.backends.values() {
                let group = groups.entry(backend.group.clone()).or_default();
                let share = self.share(view, &backend.group);
                let known = group.servers.get(&backend.id);
                if known.is_none_or(|s| s.run != backend.run || s.target.address != backend.address)
                {
                    let target = Target {
                        group: backend.group.clone(),
                        server: backend.id.clone(),
                        address: backend.address,
                    };
                    let server = Server::new(target, backend.run, backend.slots);
                    dropped.extend(group.servers.insert(backend.id.clone(), server));
                }
                let Some(server) = group.servers.get_mut(&backend.id) else { continue };
                server.share = share;
                server.draining = backend.draining.then(|| server.draining.unwrap_or(now));
            }
            for group in groups.values_mut() {
                let gone: Vec<_> = group
                    .servers
                    .keys()
                    .filter(|id| !view.backends.contains_key(*id))
                    .cloned()
                    .collect();
                dropped.extend(gone.iter().filter_map(|id| group.servers.remove(id)));
            }
        }
        drop(dropped);
        self.dispatch_all();
    }

    fn share(&self, view: &View, group: &str) -> u32 {
        let holders = view.holders.get(group);
        let mine = |holders: &Vec<auburnlug_protocol::fleet::HolderView>| {
            holders.iter().find(|h| h.entry == self.local.me.name).map(|h| h.connections)
        };
        holders.and_then(mine).unwrap_or(0)
    }

    /// Whether this instance holds connections to the servers of a group.
    pub fn holds(&self, group: &str) -> bool {
        let groups = self.groups.borrow();
        groups.get(group).is_some_and(|group| group.servers.values().any(|s| s.share > 0))
    }

    /// Gives all waiting jobs another chance.
    pub fn dispatch_all(self: &Rc<Self>) {
        let names: Vec<_> = self.groups.borrow().keys().cloned().collect();
        for name in names {
            self.dispatch(&name);
        }
    }

    /// Waits for a seat. The caller bounds the time.
    pub async fn seat(self: &Rc<Self>, want: Want) -> Option<Seat> {
        let (sender, receiver) = oneshot::channel();
        let name = want.group.clone();
        {
            let mut groups = self.groups.borrow_mut();
            let group = groups.entry(name.clone()).or_default();
            group.next += 1;
            let order = (want.priority, group.next);
            let at = group.waiters.partition_point(|waiter| waiter.order < order);
            group.waiters.insert(at, Waiter { order, want, seat: sender });
        }
        self.dispatch(&name);
        receiver.await.ok()
    }

    /// Jobs that wait, and the statements that the group's servers run at once for this instance.
    pub fn load(&self, group: &str) -> (usize, u32) {
        let groups = self.groups.borrow();
        let Some(group) = groups.get(group) else { return (0, 0) };
        let slots = group.servers.values().map(|server| server.slots).sum();
        (group.waiters.len(), slots)
    }

    /// State of a group's servers, for the log line of a refusal.
    pub fn describe(&self, group: &str) -> String {
        let now = self.local.now();
        let groups = self.groups.borrow();
        let Some(group) = groups.get(group) else { return "no servers are known".into() };
        let mut text = format!("waiting {}", group.waiters.len());
        for (id, server) in &group.servers {
            let paused = server.paused.saturating_sub(now);
            let behind = server.behind.saturating_sub(now);
            text.push_str(&format!(
                "; {id} running {}/{} open {}/{} idle {} paused {paused} behind {behind}",
                server.running,
                server.slots,
                server.open,
                server.share,
                server.idle.len(),
            ));
        }
        text
    }

    /// Position that reads must include to see all that was acknowledged before `time`.
    pub fn floor(&self, group: &str, time: Millis) -> Option<Position> {
        self.groups.borrow().get(group)?.samples.floor(time)
    }

    /// Notes a position that the primary reported to a statement sent at `sent`.
    pub fn sample(&self, group: &str, sent: Millis, position: Position) {
        if let Some(group) = self.groups.borrow_mut().get_mut(group) {
            group.samples.add(sent, position);
        }
    }

    fn dispatch(self: &Rc<Self>, name: &str) {
        loop {
            let view = self.local.view();
            let leased = self.local.leased();
            let primary = view.leads.get(name).and_then(|lead| lead.primary.clone());
            let primary = primary.filter(|_| leased);
            let given = {
                let mut groups = self.groups.borrow_mut();
                let Some(group) = groups.get_mut(name) else { return };
                let now = self.local.now();
                group.waiters.retain(|w| !w.seat.is_closed() && now + LEAST_TIME < w.want.until);
                let Group { waiters, servers, .. } = group;
                let found = waiters.iter().enumerate().find_map(|(at, waiter)| {
                    let id = choose(servers, &waiter.want, primary.as_ref(), now)?;
                    Some((at, id))
                });
                let Some((at, id)) = found else { return };
                let waiter = waiters.remove(at);
                let Some(server) = servers.get_mut(&id) else { return };
                let connection = server.take(&waiter.want);
                let seat = Seat {
                    pool: self.clone(),
                    target: server.target.clone(),
                    primary: primary.as_ref() == Some(&id),
                    run: server.run,
                    connection,
                    running: true,
                };
                (waiter.seat, seat)
            };
            // A receiver that is gone drops the seat, which gives it back.
            let (sender, seat) = given;
            let _ = sender.send(seat);
        }
    }

    fn with<R>(&self, seat: &Seat, act: impl FnOnce(&mut Server) -> R) -> Option<R> {
        let mut groups = self.groups.borrow_mut();
        let server = groups.get_mut(&seat.target.group)?.servers.get_mut(&seat.target.server)?;
        (server.run == seat.run).then(|| act(server))
    }
}

impl Server {
    fn new(target: Target, run: Run, slots: u32) -> Server {
        Server {
            target,
            run,
            slots: slots.max(1),
            draining: None,
            share: 0,
            idle: Vec::new(),
            open: 0,
            running: 0,
            latency: None,
            answered: 0,
            behind: 0,
            behinds: 0,
            paused: 0,
            failures: 0,
        }
    }

    /// Whether a job of `account` can run now.
    fn free(&self, account: &str, now: Millis) -> bool {
        now >= self.paused
            && self.running < self.slots
            && (self.open < self.share
                || self.idle.iter().any(|c| &*c.account == account)
                || (!self.idle.is_empty() && self.open <= self.share))
    }

    /// Expected latency of a job of `account`, in milliseconds.
    fn expected(&self, account: &str, now: Millis) -> f64 {
        let recent = now < self.answered + FORGET;
        let latency = self.latency.filter(|_| recent).unwrap_or(UNKNOWN_LATENCY);
        let warm = self.idle.iter().any(|c| &*c.account == account);
        let connect = if warm { 0.0 } else { CONNECT_COST };
        connect + latency * (1.0 + f64::from(self.running) / f64::from(self.slots))
    }

    /// Takes an idle connection of the account, or makes room for a new one.
    fn take(&mut self, want: &Want) -> Option<Connection> {
        self.running += 1;
        self.drop_ended();
        let of = |c: &Connection| c.account == want.account;
        let fits = self.idle.iter().rposition(|c| of(c) && c.values == want.values);
        let at = fits.or_else(|| self.idle.iter().rposition(|c| of(c) && c.values.is_empty()));
        let at = at.or_else(|| self.idle.iter().rposition(of));
        if let Some(at) = at {
            return Some(self.idle.remove(at));
        }
        if self.open >= self.share && !self.idle.is_empty() {
            // The one that was not used for the longest time.
            self.idle.remove(0);
            self.open -= 1;
        }
        self.open += 1;
        None
    }

    fn drop_ended(&mut self) {
        let before = self.idle.len();
        self.idle.retain_mut(|connection| !connection.ended());
        self.open -= u32::try_from(before - self.idle.len()).unwrap_or(0);
    }
}

/// Server on which a job can run now.
fn choose(
    servers: &BTreeMap<Arc<str>, Server>,
    want: &Want,
    primary: Option<&Arc<str>>,
    now: Millis,
) -> Option<Arc<str>> {
    let leaves = |server: &Server| server.draining.is_some();
    if want.floor.is_none() {
        let server = servers.get(primary?)?;
        let late = server.draining.is_some_and(|since| now >= since + LEAVING);
        return (!late && server.free(&want.account, now)).then(|| server.target.server.clone());
    }
    let weight = |id: &Arc<str>| if primary == Some(id) { PRIMARY_WEIGHT } else { 1.0 };
    let excluded = |id: &Arc<str>| want.exclude.as_ref() == Some(id);
    servers
        .iter()
        .filter(|(id, s)| !leaves(s) && !excluded(id) && s.free(&want.account, now))
        .filter(|(id, s)| now >= s.behind || primary == Some(*id))
        .min_by(|(a, x), (b, y)| {
            let cost = |id, server: &Server| server.expected(&want.account, now) * weight(id);
            cost(a, x).total_cmp(&cost(b, y))
        })
        .map(|(id, _)| id.clone())
}

impl Seat {
    /// Notes an answer that took `latency` milliseconds.
    pub fn answered(&self, latency: Millis) {
        let now = self.pool.local.now();
        let failures = self.pool.with(self, |server| {
            let newest = latency as f64;
            let old = server.latency.filter(|_| now < server.answered + FORGET);
            server.latency = Some(old.map_or(newest, |old| old + (newest - old) * NEWEST));
            server.answered = now;
            server.paused = 0;
            server.behinds = 0;
            std::mem::take(&mut server.failures)
        });
        if failures.unwrap_or(0) > 0 {
            log(Event::ServerRegained, format_args!("server={}", self.target.server));
        }
    }

    /// Notes that the server lacked a position.
    pub fn behind(&self) {
        let now = self.pool.local.now();
        self.pool.with(self, |server| {
            server.behind = now + (BEHIND << server.behinds.min(4)).min(LONGEST_BEHIND);
            server.behinds += 1;
        });
    }

    /// Notes that the server cannot be used for a while.
    pub fn failed(&self, fault: &Fault) {
        let now = self.pool.local.now();
        let failures = self.pool.with(self, |server| {
            let doubled = PAUSE << server.failures.min(5);
            server.paused = now + doubled.min(LONGEST_PAUSE);
            server.failures += 1;
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
            pool.dispatch(&self.target.group);
        }
    }

    /// Uses a slot again, for the next statement of a transaction.
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
                Some(connection) if server.open <= server.share && server.draining.is_none() => {
                    server.idle.push(connection);
                }
                _ => server.open -= 1,
            }
        });
        let pool = self.pool.clone();
        pool.dispatch(&self.target.group);
    }
}
