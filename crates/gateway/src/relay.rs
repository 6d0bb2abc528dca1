//! Runs jobs on this entry's connections, or forwards them to an entry that owns connections.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use auburnlug_coordination::{
    home_regions::HomeRegions,
    owner_health::{OWNER_SILENCE_LIMIT_MS, OwnerRecords},
};
use auburnlug_protocol::{
    fleet::{ClaimOutcome, ConnectionOwner, Forward},
    job::{Answer, ErrorCode, Job, TransactionStep},
};
use auburnlug_state::{Millis, Name};
use auburnlug_transport::{
    byte_channel::Sender,
    event::{Event, log},
    link::{Dial, Link},
};
use tokio::{
    sync::{Notify, mpsc, oneshot},
    time::{sleep, timeout},
};

use crate::{
    executor::{Executor, PinnedTransaction},
    local_state::LocalState,
    wire::socket_address,
};

/// Time reserved for the transfer of a forwarded job and its answer between regions on loaded
/// links.
const TRAVEL_RESERVE_MS: Millis = 30;

/// Delay before an entry is dialed again after a failure.
const ENTRY_REDIAL_DELAY: Duration = Duration::from_millis(200);

/// Longest wait for a link that is being opened, after which the next connection owner is tried.
const LINK_OPEN_TIMEOUT: Duration = Duration::from_millis(150);

/// Maximum number of connection owners for which links are opened in advance. With more owners, an
/// entry uses only some of them.
const MAX_PREOPENED_LINKS: usize = 12;

/// Time for which no claims are sent to a regional limiter that did not answer one.
const UNRESPONSIVE_BACKOFF_MS: Millis = 1_000;

/// Time without any message from a connection owner after which an idempotent job is sent to the
/// next one. The control leader replaces an unresponsive owner only after 1.5 s.
const OWNER_RESPONSE_TIMEOUT: Duration = Duration::from_millis(OWNER_SILENCE_LIMIT_MS);

/// Longest wait for the first answer of a regional limiter to a claim: several times the latency
/// within a region on loaded links.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(100);

/// Longest wait for a regional limiter that waits for a token from the control leader; longer than
/// its own wait limit.
const CLAIM_DECISION_TIMEOUT: Duration = Duration::from_millis(1_200);

/// [`ClaimOutcome::Waits`] and the decision after it.
const MAX_CLAIM_ANSWERS: usize = 2;

/// Route to the connection on which the statements of a transaction run.
pub enum TransactionRoute {
    /// On a connection of this entry: the server and the pinned connection.
    Direct(Arc<str>, Box<PinnedTransaction>),
    /// At another entry: the server, the entry, and the number of the transaction on the link.
    Forwarded(Arc<str>, Name, u64),
}

impl TransactionRoute {
    /// Server of the connection.
    pub fn server(&self) -> &Arc<str> {
        match self {
            TransactionRoute::Direct(server, _) | TransactionRoute::Forwarded(server, ..) => server,
        }
    }
}

/// Runs jobs locally or at another entry.
pub struct Relay {
    local: Rc<LocalState>,
    executor: Rc<Executor>,
    dial: Arc<dyn Dial<Forward>>,
    port: u16,
    peers: RefCell<BTreeMap<Name, Rc<PeerEntry>>>,
    next_number: Cell<u64>,
    owners: RefCell<OwnerRecords>,
}

/// Link to another entry and the requests in flight on it.
#[derive(Default)]
struct PeerEntry {
    outbox: RefCell<Option<Sender<Forward>>>,
    pending_jobs: RefCell<BTreeMap<u64, oneshot::Sender<Answer>>>,
    pending_claims: RefCell<BTreeMap<u64, mpsc::Sender<ClaimOutcome>>>,
    link_opened: Notify,
    dialing: Cell<bool>,
    /// Time until which no claims are sent to it.
    avoided_until: Cell<Millis>,
    /// Time of the last message from the entry.
    last_received: Cell<Millis>,
}

impl Relay {
    /// A relay that reaches other entries at `port`.
    pub fn new(
        local: Rc<LocalState>,
        executor: Rc<Executor>,
        dial: Arc<dyn Dial<Forward>>,
        port: u16,
    ) -> Rc<Relay> {
        let (peers, next_number) = (RefCell::default(), Cell::new(1));
        let owners = RefCell::default();
        Rc::new(Relay { local, executor, dial, port, peers, next_number, owners })
    }

    /// Runs a single statement, or the first one of a transaction, at its server. It is forwarded
    /// only to connection owners that the home regions allow.
    pub async fn run_first(
        self: &Rc<Self>,
        job: Job,
        homes: &HomeRegions,
    ) -> (Answer, Option<TransactionRoute>) {
        let started = self.local.now();
        let mut last =
            Answer::error(ErrorCode::Unreachable, "no entry holds connections to the server");
        let owners = self.connection_owners(&job, homes);
        let last_owner = owners.last().cloned();
        for owner in owners {
            let elapsed = self.local.now().saturating_sub(started);
            if elapsed >= job.remaining {
                break;
            }
            let mut job = job.clone();
            job.remaining -= elapsed;
            job.objective = job.objective.saturating_sub(elapsed);
            let server = job.server.clone();
            let is_last = last_owner.as_ref() == Some(&owner);
            if owner == self.local.me.name {
                let (answer, pinned) = self.executor.run_first(&job).await;
                self.record_path(&owner, &server, &answer);
                if is_last || answer.code() != Some(ErrorCode::Unreachable) {
                    let route = |pinned| TransactionRoute::Direct(server, Box::new(pinned));
                    return (answer, pinned.map(route));
                }
                last = answer;
                continue;
            }
            let number = self.next_number.get();
            self.next_number.set(number + 1);
            let (in_transaction, once) =
                (job.step != TransactionStep::Single && !job.commits, job.run_once);
            let has_alternative = !once && !is_last;
            match self.forward(&owner, number, job, has_alternative).await {
                Ok(answer) => {
                    self.record_path(&owner, &server, &answer);
                    if !is_last && answer.code() == Some(ErrorCode::Unreachable) {
                        last = answer;
                        continue;
                    }
                    let route = in_transaction
                        .then_some(TransactionRoute::Forwarded(server, owner, number));
                    return (answer, route);
                }
                Err(true) if once => {
                    let reason = format!("the link to {} broke", owner.as_str());
                    return (Answer::error(ErrorCode::Unknown, reason), None);
                }
                Err(_) => last = Answer::error(ErrorCode::Unreachable, "the holder is lost"),
            }
        }
        (last, None)
    }

    /// Runs a later statement of a transaction.
    pub async fn run_next(
        self: &Rc<Self>,
        route: TransactionRoute,
        job: Job,
    ) -> (Answer, Option<TransactionRoute>) {
        match route {
            TransactionRoute::Direct(server, pinned) => {
                let (answer, pinned) = self.executor.run_next(*pinned, &job).await;
                (answer, pinned.map(|pinned| TransactionRoute::Direct(server, Box::new(pinned))))
            }
            TransactionRoute::Forwarded(server, owner, number) => {
                let commits = job.commits;
                match self.forward(&owner, number, job, false).await {
                    Ok(answer) => (
                        answer,
                        (!commits).then_some(TransactionRoute::Forwarded(server, owner, number)),
                    ),
                    Err(true) if commits => {
                        (Answer::error(ErrorCode::Unknown, "the link to the holder broke"), None)
                    }
                    Err(_) => {
                        (Answer::error(ErrorCode::Aborted, "the link to the holder broke"), None)
                    }
                }
            }
        }
    }

    /// Releases a route; an open transaction is rolled back.
    pub fn release(&self, route: TransactionRoute) {
        match route {
            TransactionRoute::Direct(_, pinned) => self.executor.roll_back(*pinned),
            TransactionRoute::Forwarded(_, owner, number) => {
                let peer = self.peers.borrow().get(owner.as_str()).cloned();
                let out = peer.and_then(|peer| peer.outbox.borrow().clone());
                if let Some(out) = out {
                    // A link that is full or closed ends, and the transaction with it.
                    let _ = out.try_send(Forward::Drop { number });
                }
            }
        }
    }

    /// Opens links to the regional limiters, and to the connection owners if there are at most
    /// `MAX_PREOPENED_LINKS`.
    pub fn open_links(self: &Rc<Self>) {
        let view = self.local.view();
        let owners = view.connection_owners.values().flatten().map(|owner| owner.entry.clone());
        let mut names: BTreeSet<Name> = owners.collect();
        if names.len() > MAX_PREOPENED_LINKS {
            names.clear();
        }
        names.extend(
            view.regional_limiters.get(&self.local.me.region).into_iter().flatten().cloned(),
        );
        names.remove(self.local.me.name.as_str());
        for name in names {
            self.peer_link(&name);
        }
    }

    /// Asks a regional limiter to admit an operation; `None` if it does not answer or cannot
    /// decide.
    pub async fn claim_token(self: &Rc<Self>, limiter: &Name, account: &Arc<str>) -> Option<bool> {
        let sent = self.local.now();
        let peer = self.peer_link(limiter);
        if sent < peer.avoided_until.get() {
            return None;
        }
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let outcome = self.exchange_claim(&peer, number, account).await;
        peer.pending_claims.borrow_mut().remove(&number);
        if outcome.is_none() && peer.last_received.get() < sent {
            peer.avoided_until.set(self.local.now() + UNRESPONSIVE_BACKOFF_MS);
        }
        outcome
    }

    /// Sends a claim and waits for the decision.
    async fn exchange_claim(
        &self,
        peer: &PeerEntry,
        number: u64,
        account: &Arc<str>,
    ) -> Option<bool> {
        let out = timeout(CLAIM_TIMEOUT, peer.wait_for_link()).await.ok()??;
        let (sender, mut answers) = mpsc::channel(MAX_CLAIM_ANSWERS);
        peer.pending_claims.borrow_mut().insert(number, sender);
        out.try_send(Forward::Claim { number, account: account.clone() }).ok()?;
        let mut outcome = timeout(CLAIM_TIMEOUT, answers.recv()).await.ok()??;
        if outcome == ClaimOutcome::Waits {
            outcome = timeout(CLAIM_DECISION_TIMEOUT, answers.recv()).await.ok()??;
        }
        match outcome {
            ClaimOutcome::Admitted => Some(true),
            ClaimOutcome::Refused => Some(false),
            ClaimOutcome::Unable | ClaimOutcome::Waits => None,
        }
    }

    /// Answers the claim of another entry.
    async fn answer_claim(&self, number: u64, account: &str, out: Sender<Forward>) {
        let claim_answer = |outcome| Forward::Claimed { number, outcome };
        let answer = if self.local.take_token(account) {
            ClaimOutcome::Admitted
        } else if self.local.cannot_admit(account) {
            ClaimOutcome::Unable
        } else {
            // The sender asks another regional limiter if the link is lost.
            let _ = out.send(claim_answer(ClaimOutcome::Waits)).await;
            let admitted = self.local.wait_for_token(account).await;
            if admitted { ClaimOutcome::Admitted } else { ClaimOutcome::Refused }
        };
        let _ = out.send(claim_answer(answer)).await;
    }

    /// Connection owners of a job's server that may receive it, in the order in which they are tried.
    fn connection_owners(self: &Rc<Self>, job: &Job, homes: &HomeRegions) -> Vec<Name> {
        let view = self.local.view();
        let owners = view.connection_owners.get(&job.server).into_iter().flatten();
        let allowed =
            owners.filter(|o| homes.allows_owner(&o.entry, &o.region, &self.local.me.name));
        let allowed: Vec<&ConnectionOwner> = allowed.collect();
        let owners = allowed.iter().map(|owner| owner.entry.clone()).collect();
        let is_linked = |name: &Name| {
            *name == self.local.me.name
                || self.peers.borrow().get(name).is_some_and(|peer| peer.outbox.borrow().is_some())
        };
        let now = self.local.now();
        let order =
            self.owners.borrow_mut().order(&job.server, owners, is_linked, job.run_once, now);
        if order.tests || order.dial.is_some() {
            self.local.metrics.owner_tests.inc();
        }
        if let Some(name) = order.dial {
            self.peer_link(&name);
        }
        let mut names = order.names;
        // While a server is cold, an owner without a share of its rate can only refuse.
        if view.backends.get(&job.server).is_some_and(|backend| backend.cold) {
            names.sort_by_key(|name| {
                allowed
                    .iter()
                    .any(|o| o.entry == *name && o.cold_rate.is_none_or(|rate| rate <= 0.0))
            });
        }
        names
    }

    /// Records that a connection owner did not answer, or that no link to it is open.
    fn record_owner_loss(&self, name: &Name) {
        if self.owners.borrow_mut().owner(name).record_loss(self.local.now()) {
            self.local.metrics.owners_avoided.inc();
        }
    }

    /// Records whether a connection owner could use the server of a job; an unknown outcome tells
    /// neither.
    fn record_path(&self, name: &Name, server: &Arc<str>, answer: &Answer) {
        let usable = match answer.code() {
            Some(ErrorCode::Unreachable | ErrorCode::Timeout) => false,
            // It got a slot, and no connection.
            Some(ErrorCode::Busy) => answer.expected_wait > 0,
            Some(ErrorCode::Unknown) => return,
            _ => true,
        };
        let now = self.local.now();
        if self.owners.borrow_mut().record_path(name, server, usable, now) {
            self.local.metrics.paths_avoided.inc();
        }
    }

    /// Forgets a forwarded job that is not awaited any more.
    fn end_job(&self, name: &Name, peer: &PeerEntry, number: u64) {
        let mut jobs = peer.pending_jobs.borrow_mut();
        jobs.remove(&number);
        if jobs.is_empty() {
            self.owners.borrow_mut().owner(name).record_idle();
        }
    }

    /// Forwards a job to a connection owner; the error tells whether the job may have run. With
    /// `has_alternative`, the job is idempotent and another owner is left, so it is given up early
    /// if this owner sends nothing.
    async fn forward(
        self: &Rc<Self>,
        to: &Name,
        number: u64,
        job: Job,
        has_alternative: bool,
    ) -> Result<Answer, bool> {
        let left = Duration::from_millis(job.remaining + TRAVEL_RESERVE_MS);
        let job = Job { remaining: job.remaining.saturating_sub(TRAVEL_RESERVE_MS), ..job };
        let peer = self.peer_link(to);
        let sent = self.local.now();
        let link = timeout(left.min(LINK_OPEN_TIMEOUT), peer.wait_for_link()).await.ok().flatten();
        let Some(out) = link else {
            self.record_owner_loss(to);
            return Err(false);
        };
        let (sender, mut receiver) = oneshot::channel();
        peer.pending_jobs.borrow_mut().insert(number, sender);
        if out.try_send(Forward::Job { number, job: Box::new(job) }).is_err() {
            self.end_job(to, &peer, number);
            return Err(false);
        }
        self.owners.borrow_mut().owner(to).record_sent(sent);
        let first = if has_alternative { left.min(OWNER_RESPONSE_TIMEOUT) } else { left };
        let mut answered = timeout(first, &mut receiver).await;
        if answered.is_err() && has_alternative {
            if peer.last_received.get() < sent {
                self.record_owner_loss(to);
                self.end_job(to, &peer, number);
                let _ = out.try_send(Forward::Drop { number });
                return Err(false);
            }
            answered = timeout(left.saturating_sub(first), receiver).await;
        }
        match answered {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(_)) => Err(true),
            Err(_) => {
                if peer.last_received.get() < sent {
                    self.record_owner_loss(to);
                }
                self.end_job(to, &peer, number);
                let _ = out.try_send(Forward::Drop { number });
                Ok(Answer::error(ErrorCode::Timeout, "the holder did not answer in time"))
            }
        }
    }

    /// State of another entry; starts dialing if there is no link.
    fn peer_link(self: &Rc<Self>, name: &Name) -> Rc<PeerEntry> {
        let peer = self.peers.borrow_mut().entry(name.clone()).or_default().clone();
        if peer.outbox.borrow().is_none() && !peer.dialing.replace(true) {
            let (relay, name, peer) = (self.clone(), name.clone(), peer.clone());
            tokio::task::spawn_local(async move { relay.maintain_link(name, peer).await });
        }
        peer
    }

    /// Dials an entry and delivers its answers until the link ends.
    async fn maintain_link(self: Rc<Self>, name: Name, peer: Rc<PeerEntry>) {
        let Some(address) = socket_address(name.as_str(), self.port) else { return };
        match self.dial.dial(name.clone(), address).await {
            None => sleep(ENTRY_REDIAL_DELAY).await,
            Some(Link { out, mut inbox, .. }) => {
                log(Event::ConnectionOwnerRegained, format_args!("entry={}", name.as_str()));
                *peer.outbox.borrow_mut() = Some(out);
                self.owners.borrow_mut().owner(&name).record_sign();
                peer.link_opened.notify_waiters();
                while let Some(message) = inbox.recv().await {
                    peer.last_received.set(self.local.now());
                    self.owners.borrow_mut().owner(&name).record_sign();
                    peer.deliver_answer(message);
                }
                log(Event::ConnectionOwnerLost, format_args!("entry={}", name.as_str()));
                *peer.outbox.borrow_mut() = None;
                self.record_owner_loss(&name);
                peer.pending_jobs.borrow_mut().clear();
                peer.pending_claims.borrow_mut().clear();
            }
        }
        peer.dialing.set(false);
        peer.link_opened.notify_waiters();
    }

    /// Serves the jobs of another entry.
    pub async fn serve_link(self: Rc<Self>, link: Link<Forward>) {
        let Link { out, mut inbox, .. } = link;
        let pinned_by_number: Rc<RefCell<BTreeMap<u64, PinnedTransaction>>> = Rc::default();
        while let Some(message) = inbox.recv().await {
            match message {
                Forward::Job { number, job } => {
                    let pinned = pinned_by_number.borrow_mut().remove(&number);
                    let (relay, out, pinned_by_number) =
                        (self.clone(), out.clone(), pinned_by_number.clone());
                    tokio::task::spawn_local(async move {
                        let (answer, pinned) = relay.run_forwarded(pinned, &job).await;
                        if let Some(pinned) = pinned {
                            pinned_by_number.borrow_mut().insert(number, pinned);
                        }
                        let answer = Box::new(answer);
                        // If the link is lost, the other entry reports the outcome as unknown.
                        let _ = out.send(Forward::Answer { number, answer }).await;
                    });
                }
                Forward::Drop { number } => {
                    let pinned = pinned_by_number.borrow_mut().remove(&number);
                    if let Some(pinned) = pinned {
                        self.executor.roll_back(pinned);
                    }
                }
                Forward::Claim { number, account } => {
                    let (relay, out) = (self.clone(), out.clone());
                    tokio::task::spawn_local(async move {
                        relay.answer_claim(number, &account, out).await;
                    });
                }
                Forward::Answer { .. } | Forward::Claimed { .. } => {}
            }
        }
        let open = std::mem::take(&mut *pinned_by_number.borrow_mut());
        for pinned in open.into_values() {
            self.executor.roll_back(pinned);
        }
    }

    /// Runs a job that another entry forwarded.
    async fn run_forwarded(
        &self,
        pinned: Option<PinnedTransaction>,
        job: &Job,
    ) -> (Answer, Option<PinnedTransaction>) {
        match (pinned, job.step) {
            (Some(pinned), TransactionStep::Next) => self.executor.run_next(pinned, job).await,
            (None, TransactionStep::Next) => {
                (Answer::error(ErrorCode::Aborted, "the transaction is not known"), None)
            }
            (_, TransactionStep::Single | TransactionStep::First { .. }) => {
                self.executor.run_first(job).await
            }
        }
    }
}

impl PeerEntry {
    /// Delivers an answer to its waiter, which may have given up.
    fn deliver_answer(&self, message: Forward) {
        match message {
            Forward::Answer { number, answer } => {
                if let Some(waiter) = self.pending_jobs.borrow_mut().remove(&number) {
                    let _ = waiter.send(*answer);
                }
            }
            Forward::Claimed { number, outcome } => {
                if let Some(waiter) = self.pending_claims.borrow().get(&number) {
                    let _ = waiter.try_send(outcome);
                }
            }
            Forward::Job { .. } | Forward::Drop { .. } | Forward::Claim { .. } => {}
        }
    }

    /// Waits for the link; `None` if dialing failed.
    async fn wait_for_link(&self) -> Option<Sender<Forward>> {
        loop {
            let opened = self.link_opened.notified();
            if let Some(out) = self.outbox.borrow().clone() {
                return Some(out);
            }
            if !self.dialing.get() {
                return None;
            }
            opened.await;
        }
    }
}
