//! Places and bytes of the clients of one listener, shared by the tasks that serve them.

use std::{
    collections::BTreeMap,
    net::IpAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use auburnlug_coordination::client_budget::{
    Admission, BudgetLimits, ClientBudget, ClientId, FREE_BYTES, Grant, Standing,
};
use auburnlug_state::Millis;
use tokio::{
    sync::Notify,
    time::{Instant, sleep_until},
};

use crate::event::{Event, log};

/// Time for which a client waits for room before another one is closed for it.
const ROOM_WAIT: Duration = Duration::from_millis(1_000);

/// Minimum time between two log lines about clients that are refused or closed.
const LOG_INTERVAL_MS: Millis = 1_000;

/// Log lines about bad messages and ends of sessions within [`LOG_INTERVAL_MS`].
const MAX_LOG_LINES: u32 = 50;

/// Why a client was refused or closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Refusal {
    /// All connections are in use.
    Connections,
    /// Its connection was given to another client.
    Replaced,
    /// There was no room for what it sent or did not read.
    Memory,
    /// It sent no complete message, or read no answer, for too long.
    Stalled,
}

impl Refusal {
    /// Value of the label in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Refusal::Connections => "connections",
            Refusal::Replaced => "replaced",
            Refusal::Memory => "memory",
            Refusal::Stalled => "stalled",
        }
    }
}

/// Budget of a listener.
#[derive(Clone)]
pub struct ClientRoom {
    shared: Arc<Shared>,
}

struct Shared {
    listener: &'static str,
    started: Instant,
    state: Mutex<State>,
    /// Wakes clients that wait for room.
    released: Notify,
    /// Counts refusals.
    count: Box<dyn Fn(Refusal) + Send + Sync>,
}

struct State {
    budget: ClientBudget,
    /// Wakes the task of a client that is closed.
    closing: BTreeMap<ClientId, Arc<Notify>>,
    logged_at: Option<Millis>,
    /// Refusals since the last log line.
    unlogged: u64,
    /// Start of the present interval of [`Client::may_log`], and its lines.
    lines: (Millis, u32),
}

/// Connection of a client; leaves the budget when it is dropped.
pub struct Client {
    room: ClientRoom,
    id: ClientId,
    closing: Arc<Notify>,
    /// Bytes that the client held last.
    held: usize,
}

impl ClientRoom {
    /// Room of the listener of this name; `count` counts refusals.
    pub fn new(
        listener: &'static str,
        limits: BudgetLimits,
        count: impl Fn(Refusal) + Send + Sync + 'static,
    ) -> ClientRoom {
        let state = State {
            budget: ClientBudget::new(limits),
            closing: BTreeMap::new(),
            logged_at: None,
            unlogged: 0,
            lines: (0, 0),
        };
        let shared = Shared {
            listener,
            started: Instant::now(),
            state: Mutex::new(state),
            released: Notify::new(),
            count: Box::new(count),
        };
        ClientRoom { shared: Arc::new(shared) }
    }

    /// Admits a connection; `None` if all are in use.
    pub fn admit(&self, peer: IpAddr) -> Option<Client> {
        let mut state = self.state();
        let (id, closed) = match state.budget.connect(peer, self.now()) {
            Admission::Admitted(id) => (id, None),
            Admission::Replaced { admitted, closed } => (admitted, Some(closed)),
            Admission::Refused => {
                self.record(&mut state, Refusal::Connections, Some(peer));
                return None;
            }
        };
        if let Some(closed) = closed {
            self.close(&mut state, closed, Refusal::Replaced);
        }
        let closing = Arc::new(Notify::new());
        state.closing.insert(id, closing.clone());
        Some(Client { room: self.clone(), id, closing, held: 0 })
    }

    fn now(&self) -> Millis {
        u64::try_from(self.shared.started.elapsed().as_millis()).unwrap_or(Millis::MAX)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.shared.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn close(&self, state: &mut State, id: ClientId, reason: Refusal) {
        if let Some(closing) = state.closing.remove(&id) {
            closing.notify_one();
        }
        self.record(state, reason, None);
        self.shared.released.notify_waiters();
    }

    /// Counts a refusal, and logs it unless another one was logged shortly before.
    fn record(&self, state: &mut State, reason: Refusal, peer: Option<IpAddr>) {
        (self.shared.count)(reason);
        let now = self.now();
        if state.logged_at.is_some_and(|at| now < at + LOG_INTERVAL_MS) {
            state.unlogged += 1;
            return;
        }
        state.logged_at = Some(now);
        let unlogged = std::mem::take(&mut state.unlogged);
        let (listener, held) = (self.shared.listener, state.budget.held());
        log(
            Event::ClientRefused,
            format_args!(
                "listener={listener} reason={} peer={peer:?} held_bytes={held} not_logged={unlogged}",
                reason.label()
            ),
        );
    }
}

impl Client {
    /// Notes the account of the session that was opened; empty without an account.
    pub fn open(&self, account: &Arc<str>) {
        self.room.state().budget.open(self.id, account);
    }

    /// Notes what the client does from now on.
    pub fn set_standing(&self, standing: Standing) {
        let now = self.room.now();
        self.room.state().budget.set_standing(self.id, standing, now);
    }

    /// Waits until the client may hold `bytes` altogether; `false` if it is to be closed. Cancel
    /// safe.
    pub async fn hold(&mut self, bytes: usize) -> bool {
        if bytes <= FREE_BYTES && self.held <= FREE_BYTES {
            return true;
        }
        let mut deadline = Instant::now() + ROOM_WAIT;
        loop {
            let room = self.room.clone();
            let released = room.shared.released.notified();
            match self.try_hold(bytes) {
                Grant::Granted => return true,
                Grant::Closed => return false,
                Grant::Wait => {}
            }
            tokio::select! {
                () = released => {}
                () = self.closing.notified() => return false,
                () = sleep_until(deadline) => {
                    if !self.make_room(bytes) {
                        return false;
                    }
                    deadline = Instant::now() + ROOM_WAIT;
                }
            }
        }
    }

    /// Waits until the client is to be closed. Cancel safe.
    pub async fn closed(&self) {
        self.closing.notified().await;
    }

    /// Counts and logs that the client is closed because it stalls.
    pub fn record_stalled(&self) {
        let mut state = self.room.state();
        self.room.record(&mut state, Refusal::Stalled, None);
    }

    /// Whether a line about a bad message or the end of a session may be logged; bounds their rate.
    pub fn may_log(&self) -> bool {
        let now = self.room.now();
        let mut state = self.room.state();
        if now >= state.lines.0 + LOG_INTERVAL_MS {
            state.lines = (now, 0);
        }
        state.lines.1 = state.lines.1.saturating_add(1);
        state.lines.1 <= MAX_LOG_LINES
    }

    fn try_hold(&mut self, bytes: usize) -> Grant {
        let grant = self.room.state().budget.hold(self.id, bytes);
        if grant == Grant::Granted {
            if bytes < self.held {
                self.room.shared.released.notify_waiters();
            }
            self.held = bytes;
        }
        grant
    }

    /// Closes the largest client of the share that is used up, if there is no room by now; `false` if
    /// that is this one, or none can be closed.
    fn make_room(&self, bytes: usize) -> bool {
        let mut state = self.room.state();
        if state.budget.hold(self.id, bytes) != Grant::Wait {
            return true;
        }
        let Some(closed) = state.budget.evict(self.id, bytes) else {
            self.room.record(&mut state, Refusal::Memory, None);
            return false;
        };
        self.room.close(&mut state, closed, Refusal::Memory);
        closed != self.id
    }
}

impl Drop for Client {
    fn drop(&mut self) {
        let mut state = self.room.state();
        state.budget.remove(self.id);
        state.closing.remove(&self.id);
        drop(state);
        if self.held > FREE_BYTES {
            self.room.shared.released.notify_waiters();
        }
    }
}
