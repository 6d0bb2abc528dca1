//! Admission by rate at a group owner: takes tokens from the rate owners of client accounts.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::{Arc, Mutex},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use auburnlug_coordination::{
    allotment::{Admit, Allotment, EvenSplit, Limit},
    limit::{Ask, Grant},
};
use auburnlug_protocol::{
    peer::{Reason, Traffic},
    settings::Policy,
};
use auburnlug_state::{Millis, Name, Shard};
use tokio::{
    sync::{mpsc, oneshot},
    time::{Instant, interval, timeout_at},
};

use crate::{
    forward::{Forwarder, lock},
    rate_owner::RateOwner,
    view::Control,
};

/// Time between two looks at asks that are due.
const TICK: Duration = Duration::from_millis(5);

/// Time after which requests that wait on are asked for again, in milliseconds.
const AGAIN: Millis = 20;

/// Result of a wait for a token; the error says when to come again.
type Verdict = Result<(), Millis>;

/// Allotments of this instance, one a client account.
pub(crate) struct Rates {
    control: Arc<dyn Control>,
    forwarder: Arc<Forwarder>,
    accounts: Mutex<BTreeMap<Name, Account>>,
    /// First id of asks; greater than those of the run before.
    first: u64,
    policy: Policy,
}

struct Account {
    limit: Box<dyn Limit>,
    waiting: VecDeque<Waiter>,
    /// Requests that wait on although the bucket lacks a token, and when they are asked for again.
    later: VecDeque<Waiter>,
    again: Millis,
    next: u64,
}

type Waiter = (u64, oneshot::Sender<Verdict>);

impl Account {
    /// Asks for tokens for the requests that wait on.
    fn resume(&mut self, now: Millis) -> Option<Ask> {
        let mut due = None;
        for (id, waiting) in std::mem::take(&mut self.later) {
            let verdict = match self.limit.admit(now) {
                Admit::Now => Ok(()),
                Admit::Refused { retry } => Err(retry),
                Admit::Ask(ask) => {
                    due = Some(ask);
                    self.waiting.push_back((id, waiting));
                    continue;
                }
                Admit::Wait => {
                    self.waiting.push_back((id, waiting));
                    continue;
                }
            };
            // The request may have given up at the same moment.
            let _ = waiting.send(verdict);
        }
        due
    }
}

impl Rates {
    pub(crate) fn new(
        control: Arc<dyn Control>,
        forwarder: Arc<Forwarder>,
        policy: Policy,
    ) -> Rates {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let first = since.as_micros() as u64;
        Rates { control, forwarder, accounts: Mutex::default(), first, policy }
    }

    fn limit(&self, account: &Name, now: Millis) -> Box<dyn Limit> {
        if self.policy != Policy::EvenSplit {
            return Box::new(Allotment::new(self.first));
        }
        let (rate, burst, instances) = self.shares(account);
        Box::new(EvenSplit::new(rate, burst, instances, now))
    }

    /// Rate and burst of the client account, and the number of entries.
    fn shares(&self, account: &Name) -> (f64, f64, u32) {
        let view = self.control.view().borrow().clone();
        let entries = view.machine.instances.values().filter(|instance| instance.entry);
        let limits = view.machine.config.accounts.get(account);
        let (rate, burst) = limits.map_or((0.0, 0.0), |limits| (limits.rate, limits.burst));
        (rate, burst, entries.count() as u32)
    }

    /// Waits for a token of `account`.
    ///
    /// # Errors
    ///
    /// Why the request must not run, and when to come again.
    pub(crate) async fn admit(
        self: &Arc<Self>,
        account: &Name,
        deadline: Instant,
    ) -> Result<(), (Reason, Millis)> {
        let (id, verdict) = match self.ask(account) {
            Ok(Some(waiting)) => waiting,
            Ok(None) => return Ok(()),
            Err(retry) => return Err((Reason::Rate, retry)),
        };
        match timeout_at(deadline, verdict).await {
            Ok(Ok(verdict)) => verdict.map_err(|retry| (Reason::Rate, retry)),
            Ok(Err(_)) => Err((Reason::Owner, 0)),
            Err(_) => {
                self.leave(account, id);
                Err((Reason::Owner, 0))
            }
        }
    }

    /// Takes a token, or joins the requests that wait for one.
    fn ask(
        self: &Arc<Self>,
        account: &Name,
    ) -> Result<Option<(u64, oneshot::Receiver<Verdict>)>, Millis> {
        let now = self.control.now();
        let mut accounts = lock(&self.accounts);
        let state = accounts.entry(account.clone()).or_insert_with(|| Account {
            limit: self.limit(account, now),
            waiting: VecDeque::new(),
            later: VecDeque::new(),
            again: 0,
            next: 0,
        });
        let ask = match state.limit.admit(now) {
            Admit::Now => return Ok(None),
            Admit::Refused { retry } => return Err(retry),
            Admit::Ask(ask) => Some(ask),
            Admit::Wait => None,
        };
        let (sender, receiver) = oneshot::channel();
        state.next += 1;
        let id = state.next;
        state.waiting.push_back((id, sender));
        drop(accounts);
        if let Some(ask) = ask {
            self.send(account.clone(), ask);
        }
        Ok(Some((id, receiver)))
    }

    fn leave(&self, account: &Name, id: u64) {
        let mut accounts = lock(&self.accounts);
        let Some(state) = accounts.get_mut(account) else { return };
        state.later.retain(|(other, _)| *other != id);
        let before = state.waiting.len();
        state.waiting.retain(|(other, _)| *other != id);
        if state.waiting.len() < before {
            state.limit.leave();
        }
    }

    /// Follows the answers of rate owners and standbys, and sends again what is due.
    pub(crate) async fn follow(
        self: Arc<Self>,
        mut answers: mpsc::Receiver<Traffic>,
        buckets: Arc<RateOwner>,
    ) {
        let mut tick = interval(TICK);
        loop {
            tokio::select! {
                answer = answers.recv() => match answer {
                    Some(Traffic::Tokens { id, account, count, retry, owner: true }) => {
                        self.granted(&account, id, Grant { count, retry });
                    }
                    Some(Traffic::Tokens { id, account, .. }) => {
                        if let Some(state) = lock(&self.accounts).get_mut(&account) {
                            state.limit.lost(id, self.control.now());
                        }
                    }
                    Some(Traffic::Kept { id, account, epoch, instance }) => {
                        buckets.kept(&account, epoch, &instance, id);
                    }
                    Some(_) => {}
                    None => return,
                },
                _ = tick.tick() => {
                    self.tick();
                    for (name, message) in buckets.tick() {
                        self.tell(name, message);
                    }
                }
            }
        }
    }

    fn granted(self: &Arc<Self>, account: &Name, id: u64, grant: Grant) {
        let now = self.control.now();
        let mut accounts = lock(&self.accounts);
        let Some(state) = accounts.get_mut(account) else { return };
        let granted = state.limit.granted(id, grant, now);
        for _ in 0..granted.admitted {
            if let Some((_, waiting)) = state.waiting.pop_front() {
                // A request that gave up at the same moment loses the token.
                let _ = waiting.send(Ok(()));
            }
        }
        for _ in 0..granted.refused {
            let Some((id, waiting)) = state.waiting.pop_front() else { break };
            if granted.retry == 0 {
                state.again = now + AGAIN;
                state.later.push_back((id, waiting));
                continue;
            }
            // The request may have given up at the same moment.
            let _ = waiting.send(Err(granted.retry));
        }
        drop(accounts);
        if let Some(ask) = granted.ask {
            self.send(account.clone(), ask);
        }
    }

    fn tick(self: &Arc<Self>) {
        let now = self.control.now();
        let mut due = Vec::new();
        for (account, state) in lock(&self.accounts).iter_mut() {
            if self.policy == Policy::EvenSplit {
                let (rate, burst, instances) = self.shares(account);
                state.limit.share(rate, burst, instances, now);
            }
            due.extend(state.limit.tick(now).map(|ask| (account.clone(), ask)));
            if now >= state.again {
                due.extend(state.resume(now).map(|ask| (account.clone(), ask)));
            }
        }
        for (account, ask) in due {
            self.send(account, ask);
        }
    }

    /// Sends an ask to the rate owner; a lost one is repeated when it is overdue.
    fn send(self: &Arc<Self>, account: Name, ask: Ask) {
        let view = self.control.view().borrow().clone();
        let holder = view.machine.shards.get(&Shard::Account(account.clone()));
        let Some(owner) = holder.and_then(|holder| holder.instance.clone()) else { return };
        let Ask { id, count, demand, returned } = ask;
        self.tell(owner, Traffic::Take { id, account, count, demand, returned });
    }

    /// Sends a message to an instance; without a link it may be lost.
    pub(crate) fn tell(&self, name: Name, message: Traffic) {
        if let Some(peer) = self.forwarder.current(&name) {
            return peer.tell(message);
        }
        let forwarder = self.forwarder.clone();
        tokio::spawn(async move {
            if let Some(peer) = forwarder.peer(&name).await {
                peer.tell(message);
            }
        });
    }
}
