//! Bounded queues of waiting requests.
//!
//! [`FairQueue`] serves client accounts in proportion to their rates (start-time fair queueing). It
//! tracks a virtual start time per client account instead of serving in rounds, because with rates
//! that differ a thousandfold a round would serve a large client account many times in a row.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use auburnlug_state::{Class, Millis, Name};

/// Identity of a waiting request; increases with each request.
pub type Ticket = u64;

/// One of this many served requests is a batch request while any waits, a minimum of 10%.
const BATCH_EVERY: u32 = 10;

/// Virtual time of a request at a rate of 1 request per second.
const UNIT_COST: f64 = 1e9;

/// Scheduling parameters of a request.
#[derive(Debug, Clone, PartialEq)]
pub struct QueueParams {
    /// Client account.
    pub account: Name,
    /// Rate of the client account, in requests per second.
    pub rate: f64,
    /// Scheduling class.
    pub class: Class,
    /// Time by which it must have left the queue.
    pub deadline: Millis,
}

/// Effect of [`Queue::push`].
#[derive(Debug, PartialEq)]
pub struct Pushed<T> {
    /// Identity of the new request.
    pub ticket: Ticket,
    /// Request that was dropped because the queue was full, possibly the new one.
    pub shed: Option<T>,
}

/// A bounded queue of requests.
pub trait Queue<T>: Send {
    /// Adds a request.
    fn push(&mut self, item: T, place: QueueParams) -> Pushed<T>;

    /// Takes the next request that `fits`. It considers the first request of each client account,
    /// so that one that must wait for a certain server does not block other client accounts.
    fn pop(&mut self, fits: &mut dyn FnMut(&T) -> bool) -> Option<T>;

    /// Removes a request whose caller has disconnected.
    fn remove(&mut self, ticket: Ticket) -> Option<T>;

    /// Removes the requests whose deadline has passed; call it before [`Queue::pop`].
    fn expire(&mut self, now: Millis) -> Vec<T>;

    /// Number of waiting requests.
    fn len(&self) -> usize;

    /// Whether no request waits.
    fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

#[derive(Debug)]
struct Entry<T> {
    item: T,
    account: Name,
    class: Class,
    deadline: Millis,
}

/// Waiting requests of one client account in one class.
#[derive(Debug, Default)]
struct AccountQueue {
    tickets: BTreeSet<Ticket>,
    /// Virtual start time of the next request. Retained while the queue is empty, so that a client
    /// account that sends one request at a time gets no more than its share.
    next_start: u64,
}

/// Waiting requests of one class.
#[derive(Debug, Default)]
struct ClassQueue {
    accounts: BTreeMap<Name, AccountQueue>,
    /// Client accounts with waiting requests, by virtual start time.
    active: BTreeSet<(u64, Name)>,
    /// Virtual time: the virtual start time of the last served request.
    virtual_time: u64,
}

/// Number of waiting requests of a client account in both classes, and the virtual time of one.
#[derive(Debug, Default)]
struct AccountLoad {
    count: u64,
    cost: u64,
}

/// Fair queue over client accounts, weighted by rate; interactive requests go before batch ones.
#[derive(Debug)]
pub struct FairQueue<T> {
    capacity: usize,
    next: Ticket,
    entries: BTreeMap<Ticket, Entry<T>>,
    deadlines: BTreeSet<(Millis, Ticket)>,
    interactive: ClassQueue,
    batch: ClassQueue,
    loads: BTreeMap<Name, AccountLoad>,
    /// Client accounts in order of waiting requests relative to their rate.
    ranks: BTreeSet<(u64, Name)>,
    /// Interactive requests served since the last batch request, while a batch request waited.
    since_batch: u32,
}

impl<T: Send> FairQueue<T> {
    /// A queue of at most `capacity` requests.
    pub fn new(capacity: usize) -> FairQueue<T> {
        FairQueue {
            capacity,
            next: 0,
            entries: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            interactive: ClassQueue::default(),
            batch: ClassQueue::default(),
            loads: BTreeMap::new(),
            ranks: BTreeSet::new(),
            since_batch: 0,
        }
    }

    /// Removes the state of a withdrawn client account without waiting requests.
    pub fn remove_account(&mut self, account: &Name) {
        if self.loads.get(account).is_none_or(|load| load.count == 0) {
            self.loads.remove(account);
            self.interactive.accounts.remove(account);
            self.batch.accounts.remove(account);
        }
    }

    fn class_queue(&mut self, class: Class) -> &mut ClassQueue {
        match class {
            Class::Interactive => &mut self.interactive,
            Class::Batch => &mut self.batch,
        }
    }

    /// Changes the number of waiting requests of a client account, and its `cost` if given.
    fn change_load(&mut self, account: &Name, change: i64, cost: Option<u64>) {
        let load = self.loads.entry(account.clone()).or_default();
        self.ranks.remove(&(load.count.saturating_mul(load.cost), account.clone()));
        load.count = load.count.saturating_add_signed(change);
        load.cost = cost.unwrap_or(load.cost);
        if load.count > 0 {
            self.ranks.insert((load.count.saturating_mul(load.cost), account.clone()));
        }
    }

    /// Newest request of the client account with the most waiting requests relative to its rate.
    fn shed_candidate(&self) -> Option<Ticket> {
        let (_, account) = self.ranks.last()?;
        let newest = |queue: &ClassQueue| queue.accounts.get(account)?.tickets.last().copied();
        newest(&self.interactive).max(newest(&self.batch))
    }

    fn first(&self, class: Class, fits: &mut dyn FnMut(&T) -> bool) -> Option<Ticket> {
        let queue = if class == Class::Batch { &self.batch } else { &self.interactive };
        let heads = queue.active.iter().filter_map(|(_, name)| queue.accounts.get(name));
        let mut tickets = heads.filter_map(|account_queue| account_queue.tickets.first());
        tickets.find(|t| self.entries.get(t).is_some_and(|e| fits(&e.item))).copied()
    }

    /// Removes `ticket`; if it is served, its client account is charged for it.
    fn take(&mut self, ticket: Ticket, served: bool) -> Option<T> {
        let entry = self.entries.remove(&ticket)?;
        self.deadlines.remove(&(entry.deadline, ticket));
        self.change_load(&entry.account, -1, None);
        let cost = self.loads.get(&entry.account).map_or(1, |load| load.cost);
        self.class_queue(entry.class).take(&entry.account, ticket, served.then_some(cost));
        Some(entry.item)
    }
}

impl ClassQueue {
    fn push(&mut self, account: &Name, ticket: Ticket) {
        let account_queue = self.accounts.entry(account.clone()).or_default();
        if account_queue.tickets.is_empty() {
            account_queue.next_start = account_queue.next_start.max(self.virtual_time);
            self.active.insert((account_queue.next_start, account.clone()));
        }
        account_queue.tickets.insert(ticket);
    }

    /// Removes a request; a served one advances the virtual start time by `cost`.
    fn take(&mut self, account: &Name, ticket: Ticket, cost: Option<u64>) {
        let Some(account_queue) = self.accounts.get_mut(account) else {
            return;
        };
        self.active.remove(&(account_queue.next_start, account.clone()));
        account_queue.tickets.remove(&ticket);
        if let Some(cost) = cost {
            self.virtual_time = self.virtual_time.max(account_queue.next_start);
            account_queue.next_start = account_queue.next_start.saturating_add(cost);
        }
        if !account_queue.tickets.is_empty() {
            self.active.insert((account_queue.next_start, account.clone()));
        }
    }
}

impl<T: Send> Queue<T> for FairQueue<T> {
    fn push(&mut self, item: T, place: QueueParams) -> Pushed<T> {
        let QueueParams { account, rate, class, deadline } = place;
        let ticket = self.next;
        self.next += 1;
        let cost = (UNIT_COST / rate.max(f64::MIN_POSITIVE)).clamp(1.0, 1e15) as u64;
        self.change_load(&account, 1, Some(cost));
        self.class_queue(class).push(&account, ticket);
        self.deadlines.insert((deadline, ticket));
        self.entries.insert(ticket, Entry { item, account, class, deadline });
        let over = self.entries.len() > self.capacity;
        let shed_candidate = if over { self.shed_candidate() } else { None };
        Pushed { ticket, shed: shed_candidate.and_then(|v| self.take(v, false)) }
    }

    fn pop(&mut self, fits: &mut dyn FnMut(&T) -> bool) -> Option<T> {
        let due = self.since_batch + 1 >= BATCH_EVERY;
        let order = if due {
            [Class::Batch, Class::Interactive]
        } else {
            [Class::Interactive, Class::Batch]
        };
        let found = order.into_iter().find_map(|c| self.first(c, fits).map(|t| (c, t)));
        let (class, ticket) = found?;
        self.since_batch = match class {
            Class::Interactive if !self.batch.active.is_empty() => {
                self.since_batch.saturating_add(1)
            }
            _ => 0,
        };
        self.take(ticket, true)
    }

    fn remove(&mut self, ticket: Ticket) -> Option<T> {
        self.take(ticket, false)
    }

    fn expire(&mut self, now: Millis) -> Vec<T> {
        let mut expired = Vec::new();
        while let Some(&(deadline, ticket)) = self.deadlines.first() {
            if deadline > now {
                break;
            }
            expired.extend(self.take(ticket, false));
        }
        expired
    }

    fn len(&self) -> usize {
        self.entries.len()
    }
}

/// Baseline for comparison: serves in order of arrival and drops the newest.
#[derive(Debug)]
pub struct FifoQueue<T> {
    capacity: usize,
    next: Ticket,
    entries: VecDeque<(Ticket, Millis, T)>,
}

impl<T: Send> FifoQueue<T> {
    /// A queue of at most `capacity` requests.
    pub fn new(capacity: usize) -> FifoQueue<T> {
        FifoQueue { capacity, next: 0, entries: VecDeque::new() }
    }
}

impl<T: Send> Queue<T> for FifoQueue<T> {
    fn push(&mut self, item: T, place: QueueParams) -> Pushed<T> {
        let ticket = self.next;
        self.next += 1;
        if self.entries.len() >= self.capacity {
            return Pushed { ticket, shed: Some(item) };
        }
        self.entries.push_back((ticket, place.deadline, item));
        Pushed { ticket, shed: None }
    }

    fn pop(&mut self, fits: &mut dyn FnMut(&T) -> bool) -> Option<T> {
        let at = self.entries.iter().position(|(_, _, item)| fits(item))?;
        self.entries.remove(at).map(|(_, _, item)| item)
    }

    fn remove(&mut self, ticket: Ticket) -> Option<T> {
        let at = self.entries.binary_search_by_key(&ticket, |(t, _, _)| *t).ok()?;
        self.entries.remove(at).map(|(_, _, item)| item)
    }

    fn expire(&mut self, now: Millis) -> Vec<T> {
        let entries = std::mem::take(&mut self.entries);
        let (expired, kept) = entries.into_iter().partition(|(_, deadline, _)| *deadline <= now);
        self.entries = kept;
        let expired: VecDeque<_> = expired;
        expired.into_iter().map(|(_, _, item)| item).collect()
    }

    fn len(&self) -> usize {
        self.entries.len()
    }
}
