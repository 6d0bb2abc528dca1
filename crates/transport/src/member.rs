//! A database server as its group's owner sees it.

use std::sync::{
    Mutex,
    atomic::{AtomicBool, AtomicU32, Ordering},
};

use auburnlug_coordination::Position;
use auburnlug_state::{self as state, Millis, Name};
use tokio::sync::{mpsc, watch};

use crate::{
    forward::lock,
    group::Group,
    monitor::Order,
    pool::Pool,
    status::{Status, Terms},
};

/// Orders that may wait for a server's monitor; later ones are dropped and sent again.
const ORDERS: usize = 16;

/// Weight of a new sample in the smoothed time of a statement, as a divisor.
const SMOOTHING: u64 = 8;

/// A database server of a group.
pub(crate) struct Member {
    pub name: Name,
    pub domain: Name,
    incarnation: u64,
    pub pool: Pool,
    slots: AtomicU32,
    draining: AtomicBool,
    pub seen: Mutex<Seen>,
    /// Set when the server has left the group.
    pub removed: watch::Sender<bool>,
    /// Set while the server does not answer its monitor.
    pub silent: watch::Sender<bool>,
    pub orders: mpsc::Sender<Order>,
}

/// What is known of a server.
#[derive(Debug, Default)]
pub(crate) struct Seen {
    pub status: Option<Status>,
    pub terms: Terms,
    pub running: u32,
    /// Not chosen before this time, because a connection failed.
    pub closed: Millis,
    /// Smoothed time of a statement, in microseconds.
    pub latency: u64,
}

impl Member {
    /// A member and the orders for its monitor.
    pub(crate) fn new(record: &state::Server, group: &Group) -> (Member, mpsc::Receiver<Order>) {
        let database = group.config.database.as_str();
        let (servers, metrics) = (group.servers.clone(), group.metrics.clone());
        let (orders, receiver) = mpsc::channel(ORDERS);
        let member = Member {
            name: record.name.clone(),
            domain: record.domain.clone(),
            incarnation: record.incarnation,
            pool: Pool::new(servers, record.address, database, record.connections, metrics),
            slots: AtomicU32::new(record.slots),
            draining: AtomicBool::new(record.draining),
            seen: Mutex::default(),
            removed: watch::Sender::new(false),
            silent: watch::Sender::new(false),
            orders,
        };
        (member, receiver)
    }

    /// Whether `record` describes the same run of the server.
    pub(crate) fn is(&self, record: &state::Server) -> bool {
        self.incarnation == record.incarnation && self.pool.address == record.address
    }

    /// Takes over what may change while the server runs.
    pub(crate) fn update(&self, record: &state::Server) {
        self.slots.store(record.slots, Ordering::Relaxed);
        self.draining.store(record.draining, Ordering::Relaxed);
    }

    /// Statements that may run at once.
    pub(crate) fn slots(&self) -> u32 {
        self.slots.load(Ordering::Relaxed).min(self.pool.cap())
    }

    /// Whether the server takes new work.
    pub(crate) fn open(&self, seen: &Seen, now: Millis) -> bool {
        let draining = self.draining.load(Ordering::Relaxed);
        !draining && now >= seen.closed && seen.status.is_some() && !*self.silent.borrow()
    }

    /// Notes the time that a statement took, in microseconds.
    pub(crate) fn took(&self, micros: u64) {
        let mut seen = lock(&self.seen);
        seen.latency = match seen.latency {
            0 => micros,
            old => old - old / SMOOTHING + micros / SMOOTHING,
        };
    }
}

impl Seen {
    /// Position of the last entry applied, as far as its term is known.
    pub(crate) fn applied(&self) -> Position {
        let offset = self.status.as_ref().map_or(0, |status| status.applied);
        Position { term: self.terms.at(offset), offset }
    }
}
