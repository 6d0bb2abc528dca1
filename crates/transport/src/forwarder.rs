//! Forwards requests to the group owners.
//!
//! All callers share one link to each owner; a stream number identifies the caller. While a group
//! changes its owner, a request that is known not to have run is retried until its deadline.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use auburnlug_protocol::peer::{
    Answer, Outcome, Reason, Request, TableState, TrafficMessage, TransactionEffect,
};
use auburnlug_state::{Millis, Name, Shard, ShardOwner};
use tokio::{
    sync::{Mutex as AsyncMutex, mpsc, mpsc::error::TrySendError, oneshot},
    time::{Instant, sleep, timeout, timeout_at},
};

use crate::{
    byte_channel::Sender,
    link::{Dial, Link},
    metrics::Metrics,
    view::{Control, View},
};

/// Longest time until a waiting request looks up the owner again.
const OWNER_RETRY_INTERVAL: Duration = Duration::from_millis(20);

const DIAL_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after the end of the lease or of ownership for which an answer in flight is still accepted.
const ANSWER_GRACE_PERIOD: Duration = Duration::from_millis(200);

/// Forwards requests over shared links.
pub(crate) struct Forwarder {
    control: Arc<dyn Control>,
    dial: Arc<dyn Dial<TrafficMessage>>,
    local: mpsc::Sender<Link<TrafficMessage>>,
    peers: Mutex<BTreeMap<Name, Arc<PeerSlot>>>,
    streams: AtomicU64,
    /// Receives messages that are neither answers to callers nor about copies of request ids.
    other_messages: mpsc::Sender<TrafficMessage>,
    metrics: Arc<Metrics>,
}

#[derive(Default)]
struct PeerSlot {
    peer: Mutex<Option<Arc<Peer>>>,
    dialing: AsyncMutex<()>,
}

/// Link to another instance, shared by all callers.
pub(crate) struct Peer {
    incarnation: u64,
    out: Sender<TrafficMessage>,
    pending: Mutex<Option<HashMap<u64, oneshot::Sender<Answer>>>>,
    /// Copies of request ids that wait for [`TrafficMessage::Stored`].
    pending_copies: Mutex<HashMap<u64, oneshot::Sender<(u64, TableState)>>>,
}

/// Tracks the current request of a caller: its stream number and the link it was sent on.
#[derive(Default)]
pub(crate) struct RequestTracker {
    target: Mutex<(u64, Option<Arc<Peer>>)>,
    /// Whether the current request may have run: it was sent, and no answer ruled that out.
    sent: AtomicBool,
    /// Set when the caller's key is withdrawn: no further attempt is made.
    revoked: AtomicBool,
}

impl RequestTracker {
    /// Forbids further attempts, and returns whether the current request may have run.
    pub(crate) fn revoke(&self) -> bool {
        self.revoked.store(true, Ordering::SeqCst);
        self.sent.load(Ordering::SeqCst)
    }

    /// Asks the owner to cancel the running statement.
    pub(crate) fn cancel(&self) {
        if let (stream, Some(peer)) = &*lock(&self.target) {
            peer.send(TrafficMessage::Cancel { stream: *stream });
        }
    }

    /// Tells the owner that the caller has disconnected or abandons its transaction.
    pub(crate) fn close(&self) {
        if let (stream, Some(peer)) = &*lock(&self.target) {
            peer.unregister(*stream);
            peer.send(TrafficMessage::Close { stream: *stream });
        }
    }

    fn set_target(&self, peer: &Arc<Peer>) -> u64 {
        let mut state = lock(&self.target);
        if let Some(former) = state.1.replace(peer.clone())
            && !Arc::ptr_eq(&former, peer)
        {
            former.send(TrafficMessage::Close { stream: state.0 });
        }
        state.0
    }
}

/// An answer and the link that it came from.
pub(crate) struct Forwarded {
    pub answer: Answer,
    /// Link to the owner that runs the caller's transaction.
    pub peer: Option<Arc<Peer>>,
}

impl Forwarded {
    /// An unknown outcome.
    pub(crate) fn unknown() -> Forwarded {
        Forwarded { answer: unknown_answer(), peer: None }
    }
}

impl Forwarder {
    pub(crate) fn new(
        control: Arc<dyn Control>,
        dial: Arc<dyn Dial<TrafficMessage>>,
        local: mpsc::Sender<Link<TrafficMessage>>,
        other_messages: mpsc::Sender<TrafficMessage>,
        metrics: Arc<Metrics>,
    ) -> Forwarder {
        let (peers, streams) = (Mutex::default(), AtomicU64::new(1));
        Forwarder { control, dial, local, peers, streams, other_messages, metrics }
    }

    /// Assigns a new stream number to `tracker`.
    ///
    /// A number is not reused after an attempt was abandoned, because its answer may still arrive.
    pub(crate) fn renew_stream(&self, tracker: &RequestTracker) {
        *lock(&tracker.target) = (self.next_number(), None);
    }

    /// Returns a number that no other message of this instance has.
    pub(crate) fn next_number(&self) -> u64 {
        self.streams.fetch_add(1, Ordering::Relaxed)
    }

    /// Runs `request` at the owner of its group, or at `pin` inside a transaction.
    pub(crate) async fn run(
        &self,
        tracker: &RequestTracker,
        mut request: Request,
        pin: Option<Arc<Peer>>,
    ) -> Forwarded {
        let deadline = Instant::now() + Duration::from_millis(request.wait);
        let may_retry = pin.is_none()
            && matches!(request.block, TransactionEffect::Single | TransactionEffect::Begin);
        let mut last_answer = refused_answer(Reason::Owner);
        // Once an attempt may have run, a refusal no longer means that the request has not run.
        let mut sent = false;
        tracker.sent.store(false, Ordering::SeqCst);
        let final_answer = |answer: Answer, sent| match answer.outcome {
            Outcome::Refused { .. } if sent => unknown_answer(),
            _ => answer,
        };
        loop {
            if tracker.revoked.load(Ordering::SeqCst) {
                return Forwarded {
                    answer: final_answer(refused_answer(Reason::Key), sent),
                    peer: None,
                };
            }
            if self.control.now() >= self.control.lease() {
                return Forwarded {
                    answer: final_answer(refused_answer(Reason::Lease), sent),
                    peer: None,
                };
            }
            let (holder, peer) = match &pin {
                Some(peer) => (None, Some(peer.clone())),
                None => self.find_owner(&request.group).await,
            };
            request.wait = deadline.saturating_duration_since(Instant::now()).as_millis() as Millis;
            let mut retry_reason = "no_owner";
            if let Some(peer) = peer {
                tracker.sent.store(true, Ordering::SeqCst);
                let answer = self.attempt(&peer, tracker, &request, holder.as_ref()).await;
                if !may_retry || !retryable(&answer.outcome, &request) {
                    return Forwarded { answer: final_answer(answer, sent), peer: Some(peer) };
                }
                sent |= answer.outcome == Outcome::Unknown;
                tracker.sent.store(sent, Ordering::SeqCst);
                retry_reason =
                    if answer.outcome == Outcome::Unknown { "unknown_read" } else { "owner_moved" };
                last_answer = answer;
            } else if pin.is_some() {
                return Forwarded { answer: refused_answer(Reason::Owner), peer: None };
            }
            if Instant::now() + OWNER_RETRY_INTERVAL >= deadline {
                return Forwarded { answer: final_answer(last_answer, sent), peer: None };
            }
            self.metrics.count_retry(retry_reason);
            if matches!(last_answer.outcome, Outcome::Refused { reason: Reason::Stopping, .. }) {
                // The link to a stopping owner may close at any time, and the outcome of a request
                // in flight would become unknown.
                let _ =
                    timeout_at(deadline, self.owner_changed(&request.group, holder.as_ref())).await;
                continue;
            }
            let mut view = self.control.view();
            view.mark_unchanged();
            // The next attempt follows a change of the view or the end of the interval.
            let _ = timeout(OWNER_RETRY_INTERVAL, view.changed()).await;
        }
    }

    /// Sends the request and waits for its answer.
    async fn attempt(
        &self,
        peer: &Arc<Peer>,
        tracker: &RequestTracker,
        request: &Request,
        holder: Option<&ShardOwner>,
    ) -> Answer {
        let stream = tracker.set_target(peer);
        let Some(answer) = peer.register(stream) else { return refused_answer(Reason::Owner) };
        let run = TrafficMessage::Run { stream, request: Box::new(request.clone()) };
        let exchange = async {
            if peer.out.send(run).await.is_err() {
                return Some(refused_answer(Reason::Owner));
            }
            answer.await.ok()
        };
        let result = tokio::select! {
            answer = exchange => answer,
            () = self.owner_change_grace(&request.group, holder) => None,
            () = self.lease_grace() => None,
        };
        result.unwrap_or_else(|| {
            peer.unregister(stream);
            peer.send(TrafficMessage::Close { stream });
            self.renew_stream(tracker);
            unknown_answer()
        })
    }

    /// Current owner of the group, and a link to it.
    async fn find_owner(&self, group: &Name) -> (Option<ShardOwner>, Option<Arc<Peer>>) {
        let view = self.control.view().borrow().clone();
        let holder = view.machine.shards.get(&Shard::Group(group.clone())).cloned();
        let Some(name) = holder.as_ref().and_then(|holder| holder.instance.clone()) else {
            return (holder, None);
        };
        (holder, self.connect_peer(&name).await)
    }

    /// Open link to the instance `name`, if there is one.
    pub(crate) fn open_peer(&self, name: &Name) -> Option<Arc<Peer>> {
        let view = self.control.view().borrow().clone();
        let incarnation = view.machine.instances.get(name).map_or(0, |record| record.incarnation);
        let slot = lock(&self.peers).get(name).cloned()?;
        slot.current(incarnation)
    }

    /// Returns the link to the instance `name`, and opens it if necessary.
    pub(crate) async fn connect_peer(&self, name: &Name) -> Option<Arc<Peer>> {
        let view = self.control.view().borrow().clone();
        let record = view.machine.instances.get(name);
        let incarnation = record.map_or(0, |record| record.incarnation);
        let slot = lock(&self.peers).entry(name.clone()).or_default().clone();
        if let Some(peer) = slot.current(incarnation) {
            return Some(peer);
        }
        let _guard = slot.dialing.lock().await;
        if let Some(peer) = slot.current(incarnation) {
            return Some(peer);
        }
        let link = if *name == view.instance {
            let (ours, theirs) = Link::pair(view.instance.clone(), view.instance.clone());
            self.local.send(theirs).await.ok()?;
            ours
        } else {
            timeout(DIAL_TIMEOUT, self.dial.dial(name.clone(), record?.peer)).await.ok()??
        };
        let peer = Peer::start(incarnation, link, self.other_messages.clone());
        *lock(&slot.peer) = Some(peer.clone());
        Some(peer)
    }

    /// Completes [`ANSWER_GRACE_PERIOD`] after the group's owner is no longer `holder`, so that the
    /// former owner can still report the outcome of what it ran.
    async fn owner_change_grace(&self, group: &Name, holder: Option<&ShardOwner>) {
        self.owner_changed(group, holder).await;
        sleep(ANSWER_GRACE_PERIOD).await;
    }

    /// Completes when the group's owner is no longer `holder`.
    async fn owner_changed(&self, group: &Name, holder: Option<&ShardOwner>) {
        let Some(holder) = holder else { return std::future::pending().await };
        let shard = Shard::Group(group.clone());
        let mut view = self.control.view();
        let other = |view: &Arc<View>| view.machine.shards.get(&shard) != Some(holder);
        if view.wait_for(other).await.is_err() {
            std::future::pending().await
        }
    }

    async fn lease_grace(&self) {
        lease_expired(self.control.as_ref()).await;
        sleep(ANSWER_GRACE_PERIOD).await;
    }
}

impl PeerSlot {
    fn current(&self, incarnation: u64) -> Option<Arc<Peer>> {
        let peer = lock(&self.peer).clone()?;
        (peer.incarnation == incarnation && peer.is_open()).then_some(peer)
    }
}

impl Peer {
    fn start(
        incarnation: u64,
        link: Link<TrafficMessage>,
        other_messages: mpsc::Sender<TrafficMessage>,
    ) -> Arc<Peer> {
        let pending = Mutex::new(Some(HashMap::new()));
        let Link { out, mut inbox, .. } = link;
        let peer = Arc::new(Peer { incarnation, out, pending, pending_copies: Mutex::default() });
        let reader = peer.clone();
        tokio::spawn(async move {
            while let Some(message) = inbox.recv().await {
                if let TrafficMessage::Stored { id, table, copy } = message {
                    let waiting = lock(&reader.pending_copies).remove(&id);
                    let _ = waiting.map(|waiting| waiting.send((table, copy)));
                    continue;
                }
                let TrafficMessage::Answer { stream, answer } = message else {
                    // The receiver is dropped only when the instance stops.
                    let _ = other_messages.send(message).await;
                    continue;
                };
                let waiting = lock(&reader.pending).as_mut().and_then(|map| map.remove(&stream));
                // The receiver is dropped if the caller has disconnected.
                let _ = waiting.map(|waiting| waiting.send(answer));
            }
            *lock(&reader.pending) = None;
            lock(&reader.pending_copies).clear();
        });
        peer
    }

    /// Sends a message without waiting; a closed link drops it.
    pub(crate) fn send(&self, message: TrafficMessage) {
        if let Err(TrySendError::Full(message)) = self.out.try_send(message) {
            let out = self.out.clone();
            tokio::spawn(async move { out.send(message).await });
        }
    }

    /// Sends a message about copies of request ids and waits for the answer.
    pub(crate) async fn exchange_copy(
        &self,
        id: u64,
        message: TrafficMessage,
    ) -> Option<(u64, TableState)> {
        let (sender, answer) = oneshot::channel();
        {
            let mut copies = lock(&self.pending_copies);
            // Removes exchanges that timed out.
            copies.retain(|_, waiting| !waiting.is_closed());
            copies.insert(id, sender);
        }
        self.out.send(message).await.ok()?;
        answer.await.ok()
    }

    fn is_open(&self) -> bool {
        !self.out.is_closed() && lock(&self.pending).is_some()
    }

    fn register(&self, stream: u64) -> Option<oneshot::Receiver<Answer>> {
        let (sender, receiver) = oneshot::channel();
        lock(&self.pending).as_mut()?.insert(stream, sender);
        Some(receiver)
    }

    fn unregister(&self, stream: u64) {
        lock(&self.pending).as_mut().and_then(|map| map.remove(&stream));
    }
}

/// Whether the outcome allows another attempt.
fn retryable(outcome: &Outcome, request: &Request) -> bool {
    match outcome {
        Outcome::Refused { reason, .. } => {
            matches!(reason, Reason::Owner | Reason::Lease | Reason::Stopping)
        }
        Outcome::Unknown => request.idempotent && request.block == TransactionEffect::Single,
        Outcome::Done | Outcome::Failed => false,
    }
}

/// Answer of unknown outcome.
pub(crate) fn unknown_answer() -> Answer {
    Answer { outcome: Outcome::Unknown, messages: Vec::new(), replica: false, position: None }
}

/// Answer that refuses the request for `reason`.
pub(crate) fn refused_answer(reason: Reason) -> Answer {
    let outcome = Outcome::Refused { reason, retry: 0 };
    Answer { outcome, messages: Vec::new(), replica: false, position: None }
}

/// Completes when the instance has no valid lease.
pub(crate) async fn lease_expired(control: &dyn Control) {
    loop {
        let (now, lease) = (control.now(), control.lease());
        if now >= lease {
            return;
        }
        let end = Instant::now() + Duration::from_millis(lease - now);
        let _ = timeout_at(end, std::future::pending::<()>()).await;
    }
}

/// Locks a mutex and ignores poisoning: a panic of another task does not make the data invalid.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
