//! State that a group owner keeps for each database server of the group.

use std::sync::{
    Mutex,
    atomic::{AtomicBool, AtomicU32, Ordering},
};

use auburnlug_coordination::Position;
use auburnlug_state::{self as state, Millis, Name};
use tokio::sync::{mpsc, watch};

use crate::{
    forwarder::lock,
    group::Group,
    monitor::Order,
    pool::Pool,
    status::{Status, Terms},
};

/// Orders beyond this limit are dropped; they are sent again later.
const MAX_QUEUED_ORDERS: usize = 16;

/// A new sample changes the smoothed latency by its difference divided by this.
const LATENCY_SMOOTHING_DIVISOR: u64 = 8;

/// A database server of a group.
pub(crate) struct Member {
    pub name: Name,
    pub domain: Name,
    incarnation: u64,
    pub pool: Pool,
    slots: AtomicU32,
    draining: AtomicBool,
    pub observed: Mutex<ObservedState>,
    /// Set when the server has left the group.
    pub removed: watch::Sender<bool>,
    /// Set while the server does not respond to its monitor.
    pub unresponsive: watch::Sender<bool>,
    pub orders: mpsc::Sender<Order>,
}

/// Observed state of a server.
#[derive(Debug, Default)]
pub(crate) struct ObservedState {
    pub status: Option<Status>,
    pub terms: Terms,
    pub running: u32,
    /// Time before which the server gets no work, because a connection to it failed.
    pub unavailable_until: Millis,
    /// Exponentially smoothed execution time of statements, in microseconds.
    pub latency: u64,
}

impl Member {
    /// Returns a member, and the receiver of the orders for its monitor.
    pub(crate) fn new(record: &state::Server, group: &Group) -> (Member, mpsc::Receiver<Order>) {
        let database = group.config.database.as_str();
        let (servers, metrics) = (group.servers.clone(), group.metrics.clone());
        let (orders, receiver) = mpsc::channel(MAX_QUEUED_ORDERS);
        let member = Member {
            name: record.name.clone(),
            domain: record.domain.clone(),
            incarnation: record.incarnation,
            pool: Pool::new(servers, record.address, database, record.connections, metrics),
            slots: AtomicU32::new(record.slots),
            draining: AtomicBool::new(record.draining),
            observed: Mutex::default(),
            removed: watch::Sender::new(false),
            unresponsive: watch::Sender::new(false),
            orders,
        };
        (member, receiver)
    }

    /// Whether `record` has the same incarnation and address as this server.
    pub(crate) fn matches_record(&self, record: &state::Server) -> bool {
        self.incarnation == record.incarnation && self.pool.address == record.address
    }

    /// Updates the values that may change while the server runs.
    pub(crate) fn update(&self, record: &state::Server) {
        self.slots.store(record.slots, Ordering::Relaxed);
        self.draining.store(record.draining, Ordering::Relaxed);
    }

    /// Number of statements that may run concurrently.
    pub(crate) fn slots(&self) -> u32 {
        self.slots.load(Ordering::Relaxed).min(self.pool.max_connections())
    }

    /// Whether the server accepts new work at `now`.
    pub(crate) fn accepts_work(&self, seen: &ObservedState, now: Millis) -> bool {
        let draining = self.draining.load(Ordering::Relaxed);
        !draining
            && now >= seen.unavailable_until
            && seen.status.is_some()
            && !*self.unresponsive.borrow()
    }

    /// Records the execution time of a statement, in microseconds.
    pub(crate) fn record_latency(&self, micros: u64) {
        let mut seen = lock(&self.observed);
        seen.latency = match seen.latency {
            0 => micros,
            old => old - old / LATENCY_SMOOTHING_DIVISOR + micros / LATENCY_SMOOTHING_DIVISOR,
        };
    }
}

impl ObservedState {
    /// Position of the last applied log entry; its term is a lower bound, 0 if not known.
    pub(crate) fn applied(&self) -> Position {
        let offset = self.status.as_ref().map_or(0, |status| status.applied);
        Position { term: self.terms.at(offset), offset }
    }
}
