//! Runs jobs on this entry's connections, or at another entry that holds some.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use auburnlug_protocol::{
    fleet::{Claimed, Forward},
    job::{Answer, Code, Job, Step},
};
use auburnlug_state::{Millis, Name};
use auburnlug_transport::{
    event::{Event, log},
    link::{Dial, Link},
};
use tokio::{
    sync::{Notify, mpsc, oneshot},
    time::{sleep, timeout},
};

use crate::{
    executor::{Executor, Pin},
    local::Local,
    wire::address_of,
};

/// Time for a job to reach another entry, and for its answer to come back, in milliseconds: a way
/// between regions on loaded links.
const TRAVEL: Millis = 30;

/// Pause before a failed link is dialed again, in milliseconds.
const REDIAL: Duration = Duration::from_millis(200);

/// Longest wait for a link that is being opened, in milliseconds; another holder is there.
const LINK_WAIT: Duration = Duration::from_millis(150);

/// Links that are opened ahead of need. With more holders, an entry uses some of them only.
const PREPARED: usize = 12;

/// Time for which an entry is passed over that did not answer, in milliseconds; a link without
/// answers ends after two seconds.
const AVOIDED: Millis = 1_000;

/// Time without any message from a holder after which a job that may run twice is sent to another
/// one, in milliseconds: most statements are answered by then, with the way between regions. The
/// control leader names other holders only after 1.5 s.
const SILENT: Duration = Duration::from_millis(300);

/// Longest wait for a delegate to answer a claim, in milliseconds: several times the way within a
/// region on loaded links.
const CLAIM: Duration = Duration::from_millis(100);

/// Longest wait for a delegate that asks the control leader, in milliseconds; longer than it waits.
const DECISION: Duration = Duration::from_millis(1_200);

/// Answers to one claim.
const CLAIM_ANSWERS: usize = 2;

/// Where the statements of a transaction run.
pub enum Place {
    /// On a connection of this entry to the server.
    Here(Arc<str>, Box<Pin>),
    /// At another entry, under a number, on a connection to the server.
    There(Arc<str>, Name, u64),
}

impl Place {
    /// Server of the connection.
    pub fn server(&self) -> &Arc<str> {
        match self {
            Place::Here(server, _) | Place::There(server, ..) => server,
        }
    }
}

/// Runs jobs here or at another entry.
pub struct Relay {
    local: Rc<Local>,
    executor: Rc<Executor>,
    dial: Arc<dyn Dial<Forward>>,
    port: u16,
    peers: RefCell<BTreeMap<Name, Rc<Peer>>>,
    next: Cell<u64>,
}

/// Another entry.
#[derive(Default)]
struct Peer {
    out: RefCell<Option<mpsc::Sender<Forward>>>,
    pending: RefCell<BTreeMap<u64, oneshot::Sender<Answer>>>,
    claims: RefCell<BTreeMap<u64, mpsc::Sender<Claimed>>>,
    opened: Notify,
    dialing: Cell<bool>,
    /// Time until which others are preferred.
    avoided: Cell<Millis>,
    /// Time of the last answer.
    heard: Cell<Millis>,
}

impl Relay {
    /// A relay that reaches other entries at `port`.
    pub fn new(
        local: Rc<Local>,
        executor: Rc<Executor>,
        dial: Arc<dyn Dial<Forward>>,
        port: u16,
    ) -> Rc<Relay> {
        let (peers, next) = (RefCell::default(), Cell::new(1));
        Rc::new(Relay { local, executor, dial, port, peers, next })
    }

    /// Runs a single statement, or the first one of a transaction, at its server.
    pub async fn start(self: &Rc<Self>, job: Job) -> (Answer, Option<Place>) {
        let started = self.local.now();
        let mut last = Answer::error(Code::Unreachable, "no entry holds connections to the server");
        let holders = self.holders(&job.server);
        let last_holder = holders.last().cloned();
        for holder in holders {
            let passed = self.local.now().saturating_sub(started);
            if passed >= job.left {
                break;
            }
            let mut job = job.clone();
            job.left -= passed;
            let server = job.server.clone();
            if holder == self.local.me.name {
                let (answer, pin) = self.executor.start(&job).await;
                return (answer, pin.map(|pin| Place::Here(server, Box::new(pin))));
            }
            let number = self.next.get();
            self.next.set(number + 1);
            let (transaction, once) = (job.step != Step::Single && !job.commits, job.once);
            let spare = !once && last_holder.as_ref() != Some(&holder);
            match self.forward(&holder, number, job, spare).await {
                Ok(answer) => {
                    let place = transaction.then_some(Place::There(server, holder, number));
                    return (answer, place);
                }
                Err(true) if once => {
                    let reason = format!("the link to {} broke", holder.as_str());
                    return (Answer::error(Code::Unknown, reason), None);
                }
                Err(_) => last = Answer::error(Code::Unreachable, "the holder is lost"),
            }
        }
        (last, None)
    }

    /// Runs a later statement of a transaction.
    pub async fn next(self: &Rc<Self>, place: Place, job: Job) -> (Answer, Option<Place>) {
        match place {
            Place::Here(server, pin) => {
                let (answer, pin) = self.executor.next(*pin, &job).await;
                (answer, pin.map(|pin| Place::Here(server, Box::new(pin))))
            }
            Place::There(server, holder, number) => {
                let commits = job.commits;
                match self.forward(&holder, number, job, false).await {
                    Ok(answer) => {
                        (answer, (!commits).then_some(Place::There(server, holder, number)))
                    }
                    Err(true) if commits => {
                        (Answer::error(Code::Unknown, "the link to the holder broke"), None)
                    }
                    Err(_) => (Answer::error(Code::Aborted, "the link to the holder broke"), None),
                }
            }
        }
    }

    /// Gives a place back; an open transaction is rolled back.
    pub fn end(&self, place: Place) {
        match place {
            Place::Here(_, pin) => self.executor.roll_back(*pin),
            Place::There(_, holder, number) => {
                let peer = self.peers.borrow().get(holder.as_str()).cloned();
                let out = peer.and_then(|peer| peer.out.borrow().clone());
                if let Some(out) = out {
                    // A full or closed link ends, and with it the transaction.
                    let _ = out.try_send(Forward::Drop { number });
                }
            }
        }
    }

    /// Opens the links that jobs are likely to need.
    pub fn prepare(self: &Rc<Self>) {
        let view = self.local.view();
        let holders = view.holders.values().flatten().map(|holder| holder.entry.clone());
        let mut names: BTreeSet<Name> = holders.collect();
        if names.len() > PREPARED {
            names.clear();
        }
        names.extend(view.delegates.get(&self.local.me.region).into_iter().flatten().cloned());
        names.remove(self.local.me.name.as_str());
        for name in names {
            self.peer(&name);
        }
    }

    /// Asks a delegate to admit an operation; `None` if it does not answer, or cannot tell.
    pub async fn claim(self: &Rc<Self>, delegate: &Name, account: &Arc<str>) -> Option<bool> {
        let sent = self.local.now();
        let peer = self.peer(delegate);
        if sent < peer.avoided.get() {
            return None;
        }
        let number = self.next.get();
        self.next.set(number + 1);
        let outcome = self.claim_from(&peer, number, account).await;
        peer.claims.borrow_mut().remove(&number);
        if outcome.is_none() && peer.heard.get() < sent {
            peer.avoided.set(self.local.now() + AVOIDED);
        }
        outcome
    }

    async fn claim_from(&self, peer: &Peer, number: u64, account: &Arc<str>) -> Option<bool> {
        let out = timeout(CLAIM, peer.link()).await.ok()??;
        let (sender, mut answers) = mpsc::channel(CLAIM_ANSWERS);
        peer.claims.borrow_mut().insert(number, sender);
        out.try_send(Forward::Claim { number, account: account.clone() }).ok()?;
        let mut outcome = timeout(CLAIM, answers.recv()).await.ok()??;
        if outcome == Claimed::Waits {
            outcome = timeout(DECISION, answers.recv()).await.ok()??;
        }
        match outcome {
            Claimed::Admitted => Some(true),
            Claimed::Refused => Some(false),
            Claimed::Unable | Claimed::Waits => None,
        }
    }

    /// Decides on the claim of another entry.
    async fn decide(&self, number: u64, account: &str, out: mpsc::Sender<Forward>) {
        let claimed = |outcome| Forward::Claimed { number, outcome };
        let answer = if self.local.take(account) {
            Claimed::Admitted
        } else if self.local.unable(account) {
            Claimed::Unable
        } else {
            // The entry asks another delegate if the link is lost.
            let _ = out.send(claimed(Claimed::Waits)).await;
            let admitted = self.local.wait(account).await;
            if admitted { Claimed::Admitted } else { Claimed::Refused }
        };
        let _ = out.send(claimed(answer)).await;
    }

    /// Entries with connections to the server, the preferred one first.
    fn holders(&self, server: &str) -> Vec<Name> {
        let view = self.local.view();
        let now = self.local.now();
        let names = view.holders.get(server).into_iter().flatten().map(|h| h.entry.clone());
        let mut names: Vec<Name> = names.collect();
        let peers = self.peers.borrow();
        names.sort_by_key(|name| {
            peers.get(name.as_str()).is_some_and(|peer| now < peer.avoided.get())
        });
        names
    }

    /// Sends a job; the error tells whether it may have run. With a `spare` holder, the job may run
    /// again there, so it is given up if nothing is heard from this one.
    async fn forward(
        self: &Rc<Self>,
        to: &Name,
        number: u64,
        job: Job,
        spare: bool,
    ) -> Result<Answer, bool> {
        let left = Duration::from_millis(job.left + TRAVEL);
        let job = Job { left: job.left.saturating_sub(TRAVEL), ..job };
        let peer = self.peer(to);
        let sent = self.local.now();
        let link = timeout(left.min(LINK_WAIT), peer.link()).await.ok().flatten();
        let Some(out) = link else {
            peer.avoided.set(sent + AVOIDED);
            return Err(false);
        };
        let (sender, mut receiver) = oneshot::channel();
        peer.pending.borrow_mut().insert(number, sender);
        if out.try_send(Forward::Job { number, job: Box::new(job) }).is_err() {
            peer.pending.borrow_mut().remove(&number);
            return Err(false);
        }
        let first = if spare { left.min(SILENT) } else { left };
        let mut answered = timeout(first, &mut receiver).await;
        if answered.is_err() && spare {
            if peer.heard.get() < sent {
                peer.avoided.set(self.local.now() + AVOIDED);
                peer.pending.borrow_mut().remove(&number);
                let _ = out.try_send(Forward::Drop { number });
                return Err(false);
            }
            answered = timeout(left.saturating_sub(first), receiver).await;
        }
        match answered {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(_)) => Err(true),
            Err(_) => {
                if peer.heard.get() < sent {
                    peer.avoided.set(self.local.now() + AVOIDED);
                }
                peer.pending.borrow_mut().remove(&number);
                let _ = out.try_send(Forward::Drop { number });
                Ok(Answer::error(Code::Timeout, "the holder did not answer in time"))
            }
        }
    }

    fn peer(self: &Rc<Self>, name: &Name) -> Rc<Peer> {
        let peer = self.peers.borrow_mut().entry(name.clone()).or_default().clone();
        if peer.out.borrow().is_none() && !peer.dialing.replace(true) {
            let (relay, name, peer) = (self.clone(), name.clone(), peer.clone());
            tokio::task::spawn_local(async move { relay.keep(name, peer).await });
        }
        peer
    }

    /// Dials an entry and takes its answers until the link ends.
    async fn keep(self: Rc<Self>, name: Name, peer: Rc<Peer>) {
        let Some(address) = address_of(name.as_str(), self.port) else { return };
        match self.dial.dial(name.clone(), address).await {
            None => sleep(REDIAL).await,
            Some(Link { out, mut inbox, .. }) => {
                log(Event::HolderRegained, format_args!("entry={}", name.as_str()));
                *peer.out.borrow_mut() = Some(out);
                peer.opened.notify_waiters();
                while let Some(message) = inbox.recv().await {
                    peer.heard.set(self.local.now());
                    peer.answered(message);
                }
                log(Event::HolderLost, format_args!("entry={}", name.as_str()));
                *peer.out.borrow_mut() = None;
                peer.pending.borrow_mut().clear();
                peer.claims.borrow_mut().clear();
            }
        }
        peer.dialing.set(false);
        peer.opened.notify_waiters();
    }

    /// Serves the jobs of another entry.
    pub async fn serve(self: Rc<Self>, link: Link<Forward>) {
        let Link { out, mut inbox, .. } = link;
        let pins: Rc<RefCell<BTreeMap<u64, Pin>>> = Rc::default();
        while let Some(message) = inbox.recv().await {
            match message {
                Forward::Job { number, job } => {
                    let pin = pins.borrow_mut().remove(&number);
                    let (relay, out, pins) = (self.clone(), out.clone(), pins.clone());
                    tokio::task::spawn_local(async move {
                        let (answer, pin) = relay.run_for(pin, &job).await;
                        if let Some(pin) = pin {
                            pins.borrow_mut().insert(number, pin);
                        }
                        let answer = Box::new(answer);
                        // Without the link the entry reports the outcome as unknown.
                        let _ = out.send(Forward::Answer { number, answer }).await;
                    });
                }
                Forward::Drop { number } => {
                    let pin = pins.borrow_mut().remove(&number);
                    if let Some(pin) = pin {
                        self.executor.roll_back(pin);
                    }
                }
                Forward::Claim { number, account } => {
                    let (relay, out) = (self.clone(), out.clone());
                    tokio::task::spawn_local(async move {
                        relay.decide(number, &account, out).await;
                    });
                }
                Forward::Answer { .. } | Forward::Claimed { .. } => {}
            }
        }
        let open = std::mem::take(&mut *pins.borrow_mut());
        for pin in open.into_values() {
            self.executor.roll_back(pin);
        }
    }

    async fn run_for(&self, pin: Option<Pin>, job: &Job) -> (Answer, Option<Pin>) {
        match (pin, job.step) {
            (Some(pin), Step::Next) => self.executor.next(pin, job).await,
            (None, Step::Next) => {
                (Answer::error(Code::Aborted, "the transaction is not known"), None)
            }
            (_, Step::Single | Step::First { .. }) => self.executor.start(job).await,
        }
    }
}

impl Peer {
    /// Passes an answer on; the one who waits for it may have given up.
    fn answered(&self, message: Forward) {
        match message {
            Forward::Answer { number, answer } => {
                if let Some(waiter) = self.pending.borrow_mut().remove(&number) {
                    let _ = waiter.send(*answer);
                }
            }
            Forward::Claimed { number, outcome } => {
                if let Some(waiter) = self.claims.borrow().get(&number) {
                    let _ = waiter.try_send(outcome);
                }
            }
            Forward::Job { .. } | Forward::Drop { .. } | Forward::Claim { .. } => {}
        }
    }

    /// Waits for the link; `None` if dialing failed.
    async fn link(&self) -> Option<mpsc::Sender<Forward>> {
        loop {
            let opened = self.opened.notified();
            if let Some(out) = self.out.borrow().clone() {
                return Some(out);
            }
            if !self.dialing.get() {
                return None;
            }
            opened.await;
        }
    }
}
