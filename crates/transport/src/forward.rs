//! Forwards requests to the owners of their groups.
//!
//! One link leads to each owner and is shared by all callers; a stream number tells them apart.
//! While ownership moves, a request that surely has not run is sent again until its wait is over.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use auburnlug_protocol::peer::{Answer, Block, Copied, Outcome, Reason, Request, Traffic};
use auburnlug_state::{Holder, Millis, Name, Shard};
use tokio::{
    sync::{Mutex as AsyncMutex, mpsc, mpsc::error::TrySendError, oneshot},
    time::{Instant, sleep, timeout, timeout_at},
};

use crate::{
    link::{Dial, Link},
    metrics::Metrics,
    view::{Control, View},
};

/// Longest time until a held request looks again for the owner.
const RETRY: Duration = Duration::from_millis(20);

/// Longest time that opening a link may take.
const DIAL: Duration = Duration::from_secs(1);

/// Time after the end of the lease or of ownership in which an answer on its way is still passed on.
const GRACE: Duration = Duration::from_millis(200);

/// Forwards requests over shared links.
pub(crate) struct Forwarder {
    control: Arc<dyn Control>,
    dial: Arc<dyn Dial<Traffic>>,
    local: mpsc::Sender<Link<Traffic>>,
    peers: Mutex<BTreeMap<Name, Arc<Slot>>>,
    streams: AtomicU64,
    /// Messages of owners that answer no caller.
    others: mpsc::Sender<Traffic>,
    metrics: Arc<Metrics>,
}

#[derive(Default)]
struct Slot {
    peer: Mutex<Option<Arc<Peer>>>,
    dialing: AsyncMutex<()>,
}

/// Link to an owner.
pub(crate) struct Peer {
    incarnation: u64,
    out: mpsc::Sender<Traffic>,
    pending: Mutex<Option<HashMap<u64, oneshot::Sender<Answer>>>>,
    /// Copies of request ids that wait for [`Traffic::Stored`].
    copies: Mutex<HashMap<u64, oneshot::Sender<(u64, Copied)>>>,
}

/// Stream number of a caller and the link that its last request went to.
#[derive(Default)]
pub(crate) struct Track {
    aim: Mutex<(u64, Option<Arc<Peer>>)>,
    /// Whether the current request may have run: it was sent and no answer denied it.
    sent: AtomicBool,
    /// Set when the caller's key is withdrawn: no further attempt is made.
    revoked: AtomicBool,
}

impl Track {
    /// Forbids further attempts; tells whether the current request may have run.
    pub(crate) fn revoke(&self) -> bool {
        self.revoked.store(true, Ordering::SeqCst);
        self.sent.load(Ordering::SeqCst)
    }

    /// Asks the owner to cancel the running statement.
    pub(crate) fn cancel(&self) {
        if let (stream, Some(peer)) = &*lock(&self.aim) {
            peer.tell(Traffic::Cancel { stream: *stream });
        }
    }

    /// Tells the owner that the caller is gone or gives up its transaction.
    pub(crate) fn close(&self) {
        if let (stream, Some(peer)) = &*lock(&self.aim) {
            peer.forget(*stream);
            peer.tell(Traffic::Close { stream: *stream });
        }
    }

    fn aim(&self, peer: &Arc<Peer>) -> u64 {
        let mut state = lock(&self.aim);
        if let Some(former) = state.1.replace(peer.clone())
            && !Arc::ptr_eq(&former, peer)
        {
            former.tell(Traffic::Close { stream: state.0 });
        }
        state.0
    }
}

/// An answer and the link that it came from.
pub(crate) struct Forwarded {
    /// Answer.
    pub answer: Answer,
    /// Link to the owner that runs the caller's transaction.
    pub peer: Option<Arc<Peer>>,
}

impl Forwarded {
    /// An unknown outcome.
    pub(crate) fn unknown() -> Forwarded {
        Forwarded { answer: unknown(), peer: None }
    }
}

impl Forwarder {
    pub(crate) fn new(
        control: Arc<dyn Control>,
        dial: Arc<dyn Dial<Traffic>>,
        local: mpsc::Sender<Link<Traffic>>,
        others: mpsc::Sender<Traffic>,
        metrics: Arc<Metrics>,
    ) -> Forwarder {
        let (peers, streams) = (Mutex::default(), AtomicU64::new(1));
        Forwarder { control, dial, local, peers, streams, others, metrics }
    }

    /// Gives `track` a new stream number.
    ///
    /// A number is not used again after an attempt was given up, because its answer may still come.
    pub(crate) fn renew(&self, track: &Track) {
        *lock(&track.aim) = (self.number(), None);
    }

    /// A number that no other message of this instance has.
    pub(crate) fn number(&self) -> u64 {
        self.streams.fetch_add(1, Ordering::Relaxed)
    }

    /// Runs `request` at the owner of its group, or at `pin` inside a transaction.
    pub(crate) async fn run(
        &self,
        track: &Track,
        mut request: Request,
        pin: Option<Arc<Peer>>,
    ) -> Forwarded {
        let deadline = Instant::now() + Duration::from_millis(request.wait);
        let again = pin.is_none() && matches!(request.block, Block::Single | Block::Begin);
        let mut last = refused(Reason::Owner);
        // An attempt that may have run rules out "not run" for the whole request.
        let mut sent = false;
        track.sent.store(false, Ordering::SeqCst);
        let honest = |answer: Answer, sent| match answer.outcome {
            Outcome::Refused { .. } if sent => unknown(),
            _ => answer,
        };
        loop {
            if track.revoked.load(Ordering::SeqCst) {
                return Forwarded { answer: honest(refused(Reason::Key), sent), peer: None };
            }
            if self.control.now() >= self.control.lease() {
                return Forwarded { answer: honest(refused(Reason::Lease), sent), peer: None };
            }
            let (holder, peer) = match &pin {
                Some(peer) => (None, Some(peer.clone())),
                None => self.owner(&request.group).await,
            };
            request.wait = deadline.saturating_duration_since(Instant::now()).as_millis() as Millis;
            let mut kind = "no_owner";
            if let Some(peer) = peer {
                track.sent.store(true, Ordering::SeqCst);
                let answer = self.attempt(&peer, track, &request, holder.as_ref()).await;
                if !again || !retryable(&answer.outcome, &request) {
                    return Forwarded { answer: honest(answer, sent), peer: Some(peer) };
                }
                sent |= answer.outcome == Outcome::Unknown;
                track.sent.store(sent, Ordering::SeqCst);
                kind =
                    if answer.outcome == Outcome::Unknown { "unknown_read" } else { "owner_moved" };
                last = answer;
            } else if pin.is_some() {
                return Forwarded { answer: refused(Reason::Owner), peer: None };
            }
            if Instant::now() + RETRY >= deadline {
                return Forwarded { answer: honest(last, sent), peer: None };
            }
            self.metrics.retried(kind);
            if matches!(last.outcome, Outcome::Refused { reason: Reason::Stopping, .. }) {
                // Its link may close at any time, and a request on its way would become unknown.
                let _ = timeout_at(deadline, self.replaced(&request.group, holder.as_ref())).await;
                continue;
            }
            let mut view = self.control.view();
            view.mark_unchanged();
            // Either a change of the view or the end of the pause leads to the next attempt.
            let _ = timeout(RETRY, view.changed()).await;
        }
    }

    /// Sends the request and waits for its answer.
    async fn attempt(
        &self,
        peer: &Arc<Peer>,
        track: &Track,
        request: &Request,
        holder: Option<&Holder>,
    ) -> Answer {
        let stream = track.aim(peer);
        let Some(answer) = peer.expect(stream) else { return refused(Reason::Owner) };
        let run = Traffic::Run { stream, request: Box::new(request.clone()) };
        let exchange = async {
            if peer.out.send(run).await.is_err() {
                return Some(refused(Reason::Owner));
            }
            answer.await.ok()
        };
        let result = tokio::select! {
            answer = exchange => answer,
            () = self.moved(&request.group, holder) => None,
            () = self.lapsed() => None,
        };
        result.unwrap_or_else(|| {
            peer.forget(stream);
            peer.tell(Traffic::Close { stream });
            self.renew(track);
            unknown()
        })
    }

    /// Current owner of the group, and a link to it.
    async fn owner(&self, group: &Name) -> (Option<Holder>, Option<Arc<Peer>>) {
        let view = self.control.view().borrow().clone();
        let holder = view.machine.shards.get(&Shard::Group(group.clone())).cloned();
        let Some(name) = holder.as_ref().and_then(|holder| holder.instance.clone()) else {
            return (holder, None);
        };
        (holder, self.peer(&name).await)
    }

    /// Open link to the instance `name`, if there is one.
    pub(crate) fn current(&self, name: &Name) -> Option<Arc<Peer>> {
        let view = self.control.view().borrow().clone();
        let incarnation = view.machine.instances.get(name).map_or(0, |record| record.incarnation);
        let slot = lock(&self.peers).get(name).cloned()?;
        slot.current(incarnation)
    }

    /// Link to the instance `name`.
    pub(crate) async fn peer(&self, name: &Name) -> Option<Arc<Peer>> {
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
        let link = if *name == view.me {
            let (ours, theirs) = Link::pair(view.me.clone(), view.me.clone());
            self.local.send(theirs).await.ok()?;
            ours
        } else {
            timeout(DIAL, self.dial.dial(name.clone(), record?.peer)).await.ok()??
        };
        let peer = Peer::start(incarnation, link, self.others.clone());
        *lock(&slot.peer) = Some(peer.clone());
        Some(peer)
    }

    /// Ends some time after the group's owner is no longer `holder`, in which the former owner
    /// says what became of what it ran.
    async fn moved(&self, group: &Name, holder: Option<&Holder>) {
        self.replaced(group, holder).await;
        sleep(GRACE).await;
    }

    /// Ends when the group's owner is no longer `holder`.
    async fn replaced(&self, group: &Name, holder: Option<&Holder>) {
        let Some(holder) = holder else { return std::future::pending().await };
        let shard = Shard::Group(group.clone());
        let mut view = self.control.view();
        let other = |view: &Arc<View>| view.machine.shards.get(&shard) != Some(holder);
        if view.wait_for(other).await.is_err() {
            std::future::pending().await
        }
    }

    async fn lapsed(&self) {
        lease_end(self.control.as_ref()).await;
        sleep(GRACE).await;
    }
}

impl Slot {
    fn current(&self, incarnation: u64) -> Option<Arc<Peer>> {
        let peer = lock(&self.peer).clone()?;
        (peer.incarnation == incarnation && peer.is_open()).then_some(peer)
    }
}

impl Peer {
    fn start(incarnation: u64, link: Link<Traffic>, others: mpsc::Sender<Traffic>) -> Arc<Peer> {
        let pending = Mutex::new(Some(HashMap::new()));
        let Link { out, mut inbox, .. } = link;
        let peer = Arc::new(Peer { incarnation, out, pending, copies: Mutex::default() });
        let reader = peer.clone();
        tokio::spawn(async move {
            while let Some(message) = inbox.recv().await {
                if let Traffic::Stored { id, table, copy } = message {
                    let waiting = lock(&reader.copies).remove(&id);
                    let _ = waiting.map(|waiting| waiting.send((table, copy)));
                    continue;
                }
                let Traffic::Answer { stream, answer } = message else {
                    // Only an instance that stops takes no more of them.
                    let _ = others.send(message).await;
                    continue;
                };
                let waiting = lock(&reader.pending).as_mut().and_then(|map| map.remove(&stream));
                // A caller that is gone waits for nothing.
                let _ = waiting.map(|waiting| waiting.send(answer));
            }
            *lock(&reader.pending) = None;
            lock(&reader.copies).clear();
        });
        peer
    }

    /// Sends a message that needs no answer; a closed link drops it.
    pub(crate) fn tell(&self, message: Traffic) {
        if let Err(TrySendError::Full(message)) = self.out.try_send(message) {
            let out = self.out.clone();
            tokio::spawn(async move { out.send(message).await });
        }
    }

    /// Sends a message about copies of request ids and waits for the answer.
    pub(crate) async fn copy(&self, id: u64, message: Traffic) -> Option<(u64, Copied)> {
        let (sender, answer) = oneshot::channel();
        {
            let mut copies = lock(&self.copies);
            // Those that were given up have no receiver any more.
            copies.retain(|_, waiting| !waiting.is_closed());
            copies.insert(id, sender);
        }
        self.out.send(message).await.ok()?;
        answer.await.ok()
    }

    fn is_open(&self) -> bool {
        !self.out.is_closed() && lock(&self.pending).is_some()
    }

    fn expect(&self, stream: u64) -> Option<oneshot::Receiver<Answer>> {
        let (sender, receiver) = oneshot::channel();
        lock(&self.pending).as_mut()?.insert(stream, sender);
        Some(receiver)
    }

    fn forget(&self, stream: u64) {
        lock(&self.pending).as_mut().and_then(|map| map.remove(&stream));
    }
}

/// Whether an answer allows another attempt.
fn retryable(outcome: &Outcome, request: &Request) -> bool {
    match outcome {
        Outcome::Refused { reason, .. } => {
            matches!(reason, Reason::Owner | Reason::Lease | Reason::Stopping)
        }
        Outcome::Unknown => request.idempotent && request.block == Block::Single,
        Outcome::Done | Outcome::Failed => false,
    }
}

/// An unknown outcome as an answer.
pub(crate) fn unknown() -> Answer {
    Answer { outcome: Outcome::Unknown, messages: Vec::new(), replica: false, position: None }
}

/// A refusal as an answer.
pub(crate) fn refused(reason: Reason) -> Answer {
    let outcome = Outcome::Refused { reason, retry: 0 };
    Answer { outcome, messages: Vec::new(), replica: false, position: None }
}

/// Ends when the instance holds no valid lease.
pub(crate) async fn lease_end(control: &dyn Control) {
    loop {
        let (now, lease) = (control.now(), control.lease());
        if now >= lease {
            return;
        }
        let end = Instant::now() + Duration::from_millis(lease - now);
        let _ = timeout_at(end, std::future::pending::<()>()).await;
    }
}

/// Locks a mutex; a panic of another holder does not make the data invalid.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
