//! Bounded queues of waiting requests.
//!
//! [`Fair`] serves client accounts in proportion to their rates. It keeps the deficit of each
//! client account as a virtual start time instead of in rounds, because rounds would serve a large
//! client account in long runs when rates differ a thousandfold.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use auburnlug_state::{Class, Millis, Name};

/// Identity of a waiting request; later ones are greater.
pub type Ticket = u64;

/// One of this many served requests is a batch request while any waits: a floor of 10%.
const BATCH_EVERY: u32 = 10;

/// Virtual time of a request at a rate of 1 request a second.
const COST: f64 = 1e9;

/// How a request waits.
#[derive(Debug, Clone, PartialEq)]
pub struct Place {
    /// Client account.
    pub account: Name,
    /// Rate of the client account, in requests a second.
    pub rate: f64,
    /// Scheduling class.
    pub class: Class,
    /// Time at which it must have left the queue.
    pub deadline: Millis,
}

/// Effect of [`Queue::push`].
#[derive(Debug, PartialEq)]
pub struct Pushed<T> {
    /// Identity of the new request.
    pub ticket: Ticket,
    /// Request that had to go, possibly the new one.
    pub shed: Option<T>,
}

/// A bounded queue of requests.
pub trait Queue<T>: Send {
    /// Adds a request.
    fn push(&mut self, item: T, place: Place) -> Pushed<T>;

    /// Takes the next request that `fits`. It looks at the first request of each client account,
    /// so that one that must wait for a certain server does not block other client accounts.
    fn pop(&mut self, fits: &mut dyn FnMut(&T) -> bool) -> Option<T>;

    /// Removes a request whose caller is gone.
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
struct Line {
    tickets: BTreeSet<Ticket>,
    /// Virtual start time of the next request; kept while the line is empty, so that a client
    /// account that sends one request at a time gets no more than its share.
    start: u64,
}

/// One class of a fair queue.
#[derive(Debug, Default)]
struct Lane {
    lines: BTreeMap<Name, Line>,
    /// Client accounts with waiting requests, by virtual start time.
    active: BTreeSet<(u64, Name)>,
    /// Virtual start time of the request served last.
    clock: u64,
}

/// Waiting requests of a client account over both classes.
#[derive(Debug, Default)]
struct Load {
    count: u64,
    cost: u64,
}

/// Fair queue by client account, weighted by rate; interactive before batch.
#[derive(Debug)]
pub struct Fair<T> {
    bound: usize,
    next: Ticket,
    entries: BTreeMap<Ticket, Entry<T>>,
    deadlines: BTreeSet<(Millis, Ticket)>,
    interactive: Lane,
    batch: Lane,
    loads: BTreeMap<Name, Load>,
    /// Client accounts by waiting requests relative to their rate.
    ranks: BTreeSet<(u64, Name)>,
    /// Interactive requests served since the last batch request, while a batch request waited.
    passed: u32,
}

impl<T: Send> Fair<T> {
    /// A queue of at most `bound` requests.
    pub fn new(bound: usize) -> Fair<T> {
        Fair {
            bound,
            next: 0,
            entries: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            interactive: Lane::default(),
            batch: Lane::default(),
            loads: BTreeMap::new(),
            ranks: BTreeSet::new(),
            passed: 0,
        }
    }

    /// Drops what is kept of a client account that was withdrawn and has no waiting request.
    pub fn forget(&mut self, account: &Name) {
        if self.loads.get(account).is_none_or(|load| load.count == 0) {
            self.loads.remove(account);
            self.interactive.lines.remove(account);
            self.batch.lines.remove(account);
        }
    }

    fn lane(&mut self, class: Class) -> &mut Lane {
        match class {
            Class::Interactive => &mut self.interactive,
            Class::Batch => &mut self.batch,
        }
    }

    /// Changes the number of waiting requests of a client account; `cost` if its rate is known.
    fn load(&mut self, account: &Name, change: i64, cost: Option<u64>) {
        let load = self.loads.entry(account.clone()).or_default();
        self.ranks.remove(&(load.count.saturating_mul(load.cost), account.clone()));
        load.count = load.count.saturating_add_signed(change);
        load.cost = cost.unwrap_or(load.cost);
        if load.count > 0 {
            self.ranks.insert((load.count.saturating_mul(load.cost), account.clone()));
        }
    }

    /// Newest request of the client account with the most waiting relative to its rate.
    fn victim(&self) -> Option<Ticket> {
        let (_, account) = self.ranks.last()?;
        let newest = |lane: &Lane| lane.lines.get(account)?.tickets.last().copied();
        newest(&self.interactive).max(newest(&self.batch))
    }

    fn first(&self, class: Class, fits: &mut dyn FnMut(&T) -> bool) -> Option<Ticket> {
        let lane = if class == Class::Batch { &self.batch } else { &self.interactive };
        let heads = lane.active.iter().filter_map(|(_, name)| lane.lines.get(name));
        let mut tickets = heads.filter_map(|line| line.tickets.first());
        tickets.find(|t| self.entries.get(t).is_some_and(|e| fits(&e.item))).copied()
    }

    /// Takes `ticket` out; a served one moves its client account on.
    fn take(&mut self, ticket: Ticket, served: bool) -> Option<T> {
        let entry = self.entries.remove(&ticket)?;
        self.deadlines.remove(&(entry.deadline, ticket));
        self.load(&entry.account, -1, None);
        let cost = self.loads.get(&entry.account).map_or(1, |load| load.cost);
        self.lane(entry.class).take(&entry.account, ticket, served.then_some(cost));
        Some(entry.item)
    }
}

impl Lane {
    fn push(&mut self, account: &Name, ticket: Ticket) {
        let line = self.lines.entry(account.clone()).or_default();
        if line.tickets.is_empty() {
            line.start = line.start.max(self.clock);
            self.active.insert((line.start, account.clone()));
        }
        line.tickets.insert(ticket);
    }

    /// Removes a request; `cost` is the virtual time of a served one.
    fn take(&mut self, account: &Name, ticket: Ticket, cost: Option<u64>) {
        let Some(line) = self.lines.get_mut(account) else {
            return;
        };
        self.active.remove(&(line.start, account.clone()));
        line.tickets.remove(&ticket);
        if let Some(cost) = cost {
            self.clock = self.clock.max(line.start);
            line.start = line.start.saturating_add(cost);
        }
        if !line.tickets.is_empty() {
            self.active.insert((line.start, account.clone()));
        }
    }
}

impl<T: Send> Queue<T> for Fair<T> {
    fn push(&mut self, item: T, place: Place) -> Pushed<T> {
        let Place { account, rate, class, deadline } = place;
        let ticket = self.next;
        self.next += 1;
        let cost = (COST / rate.max(f64::MIN_POSITIVE)).clamp(1.0, 1e15) as u64;
        self.load(&account, 1, Some(cost));
        self.lane(class).push(&account, ticket);
        self.deadlines.insert((deadline, ticket));
        self.entries.insert(ticket, Entry { item, account, class, deadline });
        let over = self.entries.len() > self.bound;
        let victim = if over { self.victim() } else { None };
        Pushed { ticket, shed: victim.and_then(|v| self.take(v, false)) }
    }

    fn pop(&mut self, fits: &mut dyn FnMut(&T) -> bool) -> Option<T> {
        let due = self.passed + 1 >= BATCH_EVERY;
        let order = if due {
            [Class::Batch, Class::Interactive]
        } else {
            [Class::Interactive, Class::Batch]
        };
        let found = order.into_iter().find_map(|c| self.first(c, fits).map(|t| (c, t)));
        let (class, ticket) = found?;
        self.passed = match class {
            Class::Interactive if !self.batch.active.is_empty() => self.passed.saturating_add(1),
            _ => 0,
        };
        self.take(ticket, true)
    }

    fn remove(&mut self, ticket: Ticket) -> Option<T> {
        self.take(ticket, false)
    }

    fn expire(&mut self, now: Millis) -> Vec<T> {
        let mut gone = Vec::new();
        while let Some(&(deadline, ticket)) = self.deadlines.first() {
            if deadline > now {
                break;
            }
            gone.extend(self.take(ticket, false));
        }
        gone
    }

    fn len(&self) -> usize {
        self.entries.len()
    }
}

/// Baseline: serves in order of arrival and sheds the newest.
#[derive(Debug)]
pub struct Fifo<T> {
    bound: usize,
    next: Ticket,
    entries: VecDeque<(Ticket, Millis, T)>,
}

impl<T: Send> Fifo<T> {
    /// A queue of at most `bound` requests.
    pub fn new(bound: usize) -> Fifo<T> {
        Fifo { bound, next: 0, entries: VecDeque::new() }
    }
}

impl<T: Send> Queue<T> for Fifo<T> {
    fn push(&mut self, item: T, place: Place) -> Pushed<T> {
        let ticket = self.next;
        self.next += 1;
        if self.entries.len() >= self.bound {
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
        let (gone, kept) = entries.into_iter().partition(|(_, deadline, _)| *deadline <= now);
        self.entries = kept;
        let gone: VecDeque<_> = gone;
        gone.into_iter().map(|(_, _, item)| item).collect()
    }

    fn len(&self) -> usize {
        self.entries.len()
    }
}
