//! Rate limiting at a group owner, with tokens from the rate owners of the client accounts.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::{Arc, Mutex},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use auburnlug_coordination::{
    allotment::{Admission, Admit, Allotment, EvenSplit},
    token_bucket::{TokenGrant, TokenRequest},
};
use auburnlug_protocol::{
    peer::{Reason, TrafficMessage},
    settings::Policy,
};
use auburnlug_state::{Millis, Name, Shard};
use tokio::{
    sync::{mpsc, oneshot},
    time::{Instant, interval, timeout_at},
};

use crate::{
    forwarder::{Forwarder, lock},
    rate_owner::RateOwner,
    view::Control,
};

/// Interval between checks for asks that are due.
const ASK_TICK_INTERVAL: Duration = Duration::from_millis(5);

/// Time after which tokens are asked for again for deferred requests.
const TOKEN_RETRY_DELAY_MS: Millis = 20;

/// Result of a wait for a token; the error is the retry delay in milliseconds.
type TokenResult = Result<(), Millis>;

/// Rate limits of this instance, one per client account.
pub(crate) struct RateLimits {
    control: Arc<dyn Control>,
    forwarder: Arc<Forwarder>,
    accounts: Mutex<BTreeMap<Name, AccountLimit>>,
    /// First id of asks; greater than all ids of earlier incarnations of this instance.
    first_ask: u64,
    policy: Policy,
}

struct AccountLimit {
    limit: Box<dyn Admission>,
    waiting: VecDeque<Waiter>,
    /// Requests without a token that keep waiting, and when tokens are asked for again.
    deferred: VecDeque<Waiter>,
    retry_at: Millis,
    next_id: u64,
}

type Waiter = (u64, oneshot::Sender<TokenResult>);

impl AccountLimit {
    /// Asks for tokens for the deferred requests.
    fn retry_deferred(&mut self, now: Millis) -> Option<TokenRequest> {
        let mut due = None;
        for (id, waiting) in std::mem::take(&mut self.deferred) {
            let result = match self.limit.admit(now) {
                Admit::Now => Ok(()),
                Admit::Refused { retry_delay } => Err(retry_delay),
                Admit::Request(ask) => {
                    due = Some(ask);
                    self.waiting.push_back((id, waiting));
                    continue;
                }
                Admit::Wait => {
                    self.waiting.push_back((id, waiting));
                    continue;
                }
            };
            // The request may have timed out at the same moment.
            let _ = waiting.send(result);
        }
        due
    }
}

impl RateLimits {
    pub(crate) fn new(
        control: Arc<dyn Control>,
        forwarder: Arc<Forwarder>,
        policy: Policy,
    ) -> RateLimits {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let first_ask = since.as_micros() as u64;
        RateLimits { control, forwarder, accounts: Mutex::default(), first_ask, policy }
    }

    fn new_limit(&self, account: &Name, now: Millis) -> Box<dyn Admission> {
        if self.policy != Policy::EvenSplit {
            return Box::new(Allotment::new(self.first_ask));
        }
        let (rate, burst, instances) = self.account_limits(account);
        Box::new(EvenSplit::new(rate, burst, instances, now))
    }

    /// Rate and burst of the client account, and the number of entries.
    fn account_limits(&self, account: &Name) -> (f64, f64, u32) {
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
    /// Reason of the refusal, and the retry delay in milliseconds.
    pub(crate) async fn admit(
        self: &Arc<Self>,
        account: &Name,
        deadline: Instant,
    ) -> Result<(), (Reason, Millis)> {
        let (id, result) = match self.request_token(account) {
            Ok(Some(waiting)) => waiting,
            Ok(None) => return Ok(()),
            Err(retry) => return Err((Reason::Rate, retry)),
        };
        match timeout_at(deadline, result).await {
            Ok(Ok(result)) => result.map_err(|retry| (Reason::Rate, retry)),
            Ok(Err(_)) => Err((Reason::Owner, 0)),
            Err(_) => {
                self.cancel_wait(account, id);
                Err((Reason::Owner, 0))
            }
        }
    }

    /// Takes a token, or queues the request to wait for one; the error is the retry delay.
    fn request_token(
        self: &Arc<Self>,
        account: &Name,
    ) -> Result<Option<(u64, oneshot::Receiver<TokenResult>)>, Millis> {
        let now = self.control.now();
        let mut accounts = lock(&self.accounts);
        let state = accounts.entry(account.clone()).or_insert_with(|| AccountLimit {
            limit: self.new_limit(account, now),
            waiting: VecDeque::new(),
            deferred: VecDeque::new(),
            retry_at: 0,
            next_id: 0,
        });
        let ask = match state.limit.admit(now) {
            Admit::Now => return Ok(None),
            Admit::Refused { retry_delay } => return Err(retry_delay),
            Admit::Request(ask) => Some(ask),
            Admit::Wait => None,
        };
        let (sender, receiver) = oneshot::channel();
        state.next_id += 1;
        let id = state.next_id;
        state.waiting.push_back((id, sender));
        drop(accounts);
        if let Some(ask) = ask {
            self.send_ask(account.clone(), ask);
        }
        Ok(Some((id, receiver)))
    }

    fn cancel_wait(&self, account: &Name, id: u64) {
        let mut accounts = lock(&self.accounts);
        let Some(state) = accounts.get_mut(account) else { return };
        state.deferred.retain(|(other, _)| *other != id);
        let before = state.waiting.len();
        state.waiting.retain(|(other, _)| *other != id);
        if state.waiting.len() < before {
            state.limit.remove_waiting();
        }
    }

    /// Handles the answers of rate owners and standbys, and sends the messages that are due.
    pub(crate) async fn process_messages(
        self: Arc<Self>,
        mut answers: mpsc::Receiver<TrafficMessage>,
        rate_owner: Arc<RateOwner>,
    ) {
        let mut tick = interval(ASK_TICK_INTERVAL);
        loop {
            tokio::select! {
                answer = answers.recv() => match answer {
                    Some(TrafficMessage::Tokens { id, account, count, retry, owner: true }) => {
                        self.apply_grant(&account, id, TokenGrant { count, retry_delay: retry });
                    }
                    Some(TrafficMessage::Tokens { id, account, .. }) => {
                        if let Some(state) = lock(&self.accounts).get_mut(&account) {
                            state.limit.record_no_owner(id, self.control.now());
                        }
                    }
                    Some(TrafficMessage::Kept { id, account, epoch, instance }) => {
                        rate_owner.record_ack(&account, epoch, &instance, id);
                    }
                    Some(_) => {}
                    None => return,
                },
                _ = tick.tick() => {
                    self.send_due();
                    for (name, message) in rate_owner.due_messages() {
                        self.send_to(name, message);
                    }
                }
            }
        }
    }

    fn apply_grant(self: &Arc<Self>, account: &Name, id: u64, grant: TokenGrant) {
        let now = self.control.now();
        let mut accounts = lock(&self.accounts);
        let Some(state) = accounts.get_mut(account) else { return };
        let granted = state.limit.apply_grant(id, grant, now);
        for _ in 0..granted.admitted {
            if let Some((_, waiting)) = state.waiting.pop_front() {
                // The token is lost if the request timed out at the same moment.
                let _ = waiting.send(Ok(()));
            }
        }
        for _ in 0..granted.refused {
            let Some((id, waiting)) = state.waiting.pop_front() else { break };
            if granted.retry_delay == 0 {
                state.retry_at = now + TOKEN_RETRY_DELAY_MS;
                state.deferred.push_back((id, waiting));
                continue;
            }
            // The request may have timed out at the same moment.
            let _ = waiting.send(Err(granted.retry_delay));
        }
        drop(accounts);
        if let Some(ask) = granted.request {
            self.send_ask(account.clone(), ask);
        }
    }

    fn send_due(self: &Arc<Self>) {
        let now = self.control.now();
        let mut due = Vec::new();
        for (account, state) in lock(&self.accounts).iter_mut() {
            if self.policy == Policy::EvenSplit {
                let (rate, burst, instances) = self.account_limits(account);
                state.limit.set_limit(rate, burst, instances, now);
            }
            due.extend(state.limit.tick(now).map(|ask| (account.clone(), ask)));
            if now >= state.retry_at {
                due.extend(state.retry_deferred(now).map(|ask| (account.clone(), ask)));
            }
        }
        for (account, ask) in due {
            self.send_ask(account, ask);
        }
    }

    /// Sends an ask to the rate owner; a lost one is retransmitted after a timeout.
    fn send_ask(self: &Arc<Self>, account: Name, ask: TokenRequest) {
        let view = self.control.view().borrow().clone();
        let holder = view.machine.shards.get(&Shard::Account(account.clone()));
        let Some(owner) = holder.and_then(|holder| holder.instance.clone()) else { return };
        let TokenRequest { id, count, demand, returned } = ask;
        self.send_to(owner, TrafficMessage::Take { id, account, count, demand, returned });
    }

    /// Sends a message to the instance `name`, without waiting; it is lost if no link opens.
    pub(crate) fn send_to(&self, name: Name, message: TrafficMessage) {
        if let Some(peer) = self.forwarder.open_peer(&name) {
            return peer.send(message);
        }
        let forwarder = self.forwarder.clone();
        tokio::spawn(async move {
            if let Some(peer) = forwarder.connect_peer(&name).await {
                peer.send(message);
            }
        });
    }
}
