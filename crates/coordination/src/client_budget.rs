//! Budget of what the clients of one listener make a process hold: connections and bytes.
//!
//! Bytes are taken before the memory is. Each connection may hold [`FREE_BYTES`] of its own, which
//! the number of connections bounds; what goes beyond comes out of a common room. A client account
//! and a peer address have at most half of the room, sessions without an account a quarter of it
//! together. Without room a client waits, and does not read meanwhile; then [`ClientBudget::evict`]
//! names the client to close: the one that holds the most, one with an open transaction last. A
//! client whose request runs is not closed.
//!
//! If all connections are in use, a new one replaces a connection that has not said yet who it is,
//! the oldest first, or else the one that has been idle for longest.

use std::{collections::BTreeMap, net::IpAddr, sync::Arc};

use auburnlug_state::Millis;

/// Bytes that each connection may hold without room: some ordinary requests.
pub const FREE_BYTES: usize = 8 << 10;

/// Longest message of a client.
const MESSAGE_BYTES: usize = 1 << 20;

/// Copies of a message that a process holds while it is read and passed on: a buffer that grows by
/// doubling, the decoded text, and the text that is sent to a server.
pub const MESSAGE_COPIES: usize = 4;

/// Time for which a connection is not replaced after its last use; an opening takes some round trips.
const REPLACEABLE_AFTER_MS: Millis = 500;

/// Connection of a client.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClientId(u64);

/// What a client is doing, in the order in which clients are closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// It has not said who it is.
    Unopened,
    /// It has an open session.
    Open,
    /// It has an open transaction.
    Transaction,
    /// A request of it runs.
    Running,
}

/// Limits of a budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BudgetLimits {
    /// Connections.
    pub connections: usize,
    /// Common room, in bytes.
    pub bytes: usize,
}

/// Answer to a new connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// There is a place.
    Admitted(ClientId),
    /// The new connection takes the place of another one, which is to be closed.
    Replaced {
        /// The new one.
        admitted: ClientId,
        /// The one to close.
        closed: ClientId,
    },
    /// All connections are in use.
    Refused,
}

/// Answer to a client that needs bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Grant {
    /// The client may hold them.
    Granted,
    /// There is no room at present.
    Wait,
    /// The client has been closed.
    Closed,
}

#[derive(Debug)]
struct Client {
    peer: IpAddr,
    account: Arc<str>,
    standing: Standing,
    /// Bytes out of the common room.
    held: usize,
    used_at: Millis,
}

/// Budget of a listener.
#[derive(Debug)]
pub struct ClientBudget {
    limits: BudgetLimits,
    clients: BTreeMap<ClientId, Client>,
    /// Bytes out of the common room, of all clients.
    held: usize,
    held_by_peer: BTreeMap<IpAddr, usize>,
    held_by_account: BTreeMap<Arc<str>, usize>,
    next: u64,
}

impl ClientBudget {
    /// An empty budget. The room holds two messages at least.
    pub fn new(limits: BudgetLimits) -> ClientBudget {
        let bytes = limits.bytes.max(2 * MESSAGE_COPIES * MESSAGE_BYTES);
        ClientBudget {
            limits: BudgetLimits { bytes, ..limits },
            clients: BTreeMap::new(),
            held: 0,
            held_by_peer: BTreeMap::new(),
            held_by_account: BTreeMap::new(),
            next: 0,
        }
    }

    /// Bytes that all clients hold out of the common room.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Adds a connection from `peer`.
    pub fn connect(&mut self, peer: IpAddr, now: Millis) -> Admission {
        let closed = if self.clients.len() >= self.limits.connections {
            let Some(closed) = self.replaceable(now) else { return Admission::Refused };
            self.remove(closed);
            Some(closed)
        } else {
            None
        };
        let admitted = ClientId(self.next);
        self.next += 1;
        let standing = Standing::Unopened;
        let client = Client { peer, account: "".into(), standing, held: 0, used_at: now };
        self.clients.insert(admitted, client);
        match closed {
            Some(closed) => Admission::Replaced { admitted, closed },
            None => Admission::Admitted(admitted),
        }
    }

    /// Notes the account of a client whose session is open; empty without an account.
    pub fn open(&mut self, id: ClientId, account: &Arc<str>) {
        let held = self.clients.get(&id).map_or(0, |client| client.held);
        self.set_held(id, 0);
        if let Some(client) = self.clients.get_mut(&id) {
            client.account = account.clone();
            client.standing = Standing::Open;
        }
        self.set_held(id, held);
    }

    /// Notes what a client does from now on.
    pub fn set_standing(&mut self, id: ClientId, standing: Standing, now: Millis) {
        if let Some(client) = self.clients.get_mut(&id) {
            client.standing = standing;
            client.used_at = now;
        }
    }

    /// Makes `bytes` the number of bytes that a client holds.
    pub fn hold(&mut self, id: ClientId, bytes: usize) -> Grant {
        let Some(client) = self.clients.get(&id) else { return Grant::Closed };
        if self.lacking(client, bytes).is_some() {
            return Grant::Wait;
        }
        self.set_held(id, bytes.saturating_sub(FREE_BYTES));
        Grant::Granted
    }

    /// Removes the client that is to be closed so that `id` may hold `bytes`, and returns it. If
    /// there is room, or no client can be closed, returns `None`.
    pub fn evict(&mut self, id: ClientId, bytes: usize) -> Option<ClientId> {
        let asking = self.clients.get(&id)?;
        let lacking = self.lacking(asking, bytes)?;
        let closable = |client: &Client| {
            let shares = match lacking {
                Share::Room => true,
                Share::Peer => client.peer == asking.peer,
                Share::Account => client.account == asking.account,
            };
            shares && client.held > 0 && client.standing < Standing::Running
        };
        let rank = |client: &Client| (client.standing < Standing::Transaction, client.held);
        let clients = self.clients.iter().filter(|(_, client)| closable(client));
        let (id, _) = clients.max_by_key(|(_, client)| rank(client))?;
        let id = *id;
        self.remove(id);
        Some(id)
    }

    /// The share in which a client lacks room for `bytes`.
    fn lacking(&self, client: &Client, bytes: usize) -> Option<Share> {
        let more = bytes.saturating_sub(FREE_BYTES).saturating_sub(client.held);
        let by_peer = self.held_by_peer.get(&client.peer).copied().unwrap_or(0);
        let by_account = self.held_by_account.get(&client.account).copied().unwrap_or(0);
        let share = |parts: usize| (self.limits.bytes / parts).max(MESSAGE_COPIES * MESSAGE_BYTES);
        let account_share = share(if client.account.is_empty() { 4 } else { 2 });
        if more == 0 {
            None
        } else if by_account + more > account_share {
            Some(Share::Account)
        } else if by_peer + more > share(2) {
            Some(Share::Peer)
        } else {
            (self.held + more > self.limits.bytes).then_some(Share::Room)
        }
    }

    /// Removes a client that has left.
    pub fn remove(&mut self, id: ClientId) {
        self.set_held(id, 0);
        self.clients.remove(&id);
    }

    /// The connection that a new one replaces. Open sessions make way only if all are open.
    fn replaceable(&self, now: Millis) -> Option<ClientId> {
        let unopened = self.clients.values().any(|client| client.standing == Standing::Unopened);
        let highest = if unopened { Standing::Unopened } else { Standing::Open };
        let is_idle = |client: &Client| {
            client.standing <= highest && now >= client.used_at.saturating_add(REPLACEABLE_AFTER_MS)
        };
        let clients = self.clients.iter().filter(|(_, client)| is_idle(client));
        clients.min_by_key(|(_, client)| (client.standing, client.used_at)).map(|(id, _)| *id)
    }

    fn set_held(&mut self, id: ClientId, bytes: usize) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        let before = client.held;
        if before == bytes {
            return;
        }
        client.held = bytes;
        self.held = self.held - before + bytes;
        update_sum(&mut self.held_by_peer, &client.peer, before, bytes);
        update_sum(&mut self.held_by_account, &client.account, before, bytes);
    }
}

/// Share of the room that can be used up.
#[derive(Debug, Clone, Copy)]
enum Share {
    Room,
    Peer,
    Account,
}

/// Replaces a part of a sum; a sum of zero is not kept.
fn update_sum<K: Ord + Clone>(sums: &mut BTreeMap<K, usize>, key: &K, before: usize, after: usize) {
    let sum = sums.get(key).copied().unwrap_or(0) - before + after;
    if sum == 0 {
        sums.remove(key);
    } else {
        sums.insert(key.clone(), sum);
    }
}

/// Memory and descriptors of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProcessLimits {
    /// Memory of the machine, in bytes.
    pub memory: usize,
    /// Descriptors that the process may have open.
    pub descriptors: usize,
}

impl Default for ProcessLimits {
    /// The smallest machine that instances are deployed on.
    fn default() -> ProcessLimits {
        ProcessLimits { memory: 112 << 20, descriptors: 3_080 }
    }
}

impl ProcessLimits {
    /// Part of the memory that the clients of a listener may hold.
    const MEMORY_PARTS: usize = 4;

    /// Descriptors that are kept for peers, servers and files, at least.
    const MIN_KEPT_DESCRIPTORS: usize = 64;

    /// Bytes that an HTTP connection holds at most: its header and the body of a heartbeat.
    const HTTP_CONNECTION_BYTES: usize = 32 << 10;

    /// Limits of the listener for callers.
    pub fn callers(&self) -> BudgetLimits {
        let kept = (self.descriptors / 3).max(ProcessLimits::MIN_KEPT_DESCRIPTORS);
        BudgetLimits {
            connections: self.descriptors.saturating_sub(kept).max(1),
            bytes: self.memory / ProcessLimits::MEMORY_PARTS,
        }
    }

    /// Limits of the HTTP listener of a control member.
    pub fn http(&self) -> BudgetLimits {
        let callers = self.callers();
        let connections = callers.bytes / ProcessLimits::HTTP_CONNECTION_BYTES;
        BudgetLimits { connections: callers.connections.min(connections).max(1), ..callers }
    }

    /// Limits of connections of other instances before they have proven themselves.
    pub fn link_openings(&self) -> BudgetLimits {
        BudgetLimits { connections: (self.descriptors / 8).max(1), bytes: 0 }
    }

    /// Limits of the listener for readiness probes, which has few clients.
    pub fn readiness(&self) -> BudgetLimits {
        BudgetLimits { connections: (self.descriptors / 16).max(1), bytes: 0 }
    }
}
