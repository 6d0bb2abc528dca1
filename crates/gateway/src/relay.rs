//! Runs jobs on this entry's connections, or at another entry that holds some.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use auburnlug_protocol::{
    fleet::{Forward, HolderView},
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
    pool::Pool,
    wire::address_of,
};

/// Time for the answer of another entry to travel, in milliseconds.
const TRAVEL: Millis = 60;

/// Pause before a failed link is dialed again, in milliseconds.
const REDIAL: Duration = Duration::from_millis(200);

/// Holders of a group to which links are kept: the nearest and the one to turn to.
const LINKS: usize = 2;

/// Where the statements of a transaction run.
pub enum Place {
    /// On a connection of this entry.
    Here(Pin),
    /// At another entry, under a number.
    There(Name, u64),
}

/// Runs jobs here or at another entry.
pub struct Relay {
    local: Rc<Local>,
    executor: Rc<Executor>,
    pool: Rc<Pool>,
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
    opened: Notify,
    dialing: Cell<bool>,
}

impl Relay {
    /// A relay that reaches other entries at `port`.
    pub fn new(
        local: Rc<Local>,
        executor: Rc<Executor>,
        pool: Rc<Pool>,
        dial: Arc<dyn Dial<Forward>>,
        port: u16,
    ) -> Rc<Relay> {
        let (peers, next) = (RefCell::default(), Cell::new(1));
        Rc::new(Relay { local, executor, pool, dial, port, peers, next })
    }

    /// Runs a single statement, or the first one of a transaction.
    pub async fn start(self: &Rc<Self>, job: Job) -> (Answer, Option<Place>) {
        let here = self.pool.holds(&job.group);
        let holders = self.holders(&job.group);
        if (here && self.local.leased()) || holders.is_empty() {
            let (answer, pin) = self.executor.start(&job).await;
            return (answer, pin.map(Place::Here));
        }
        let started = self.local.now();
        let mut last = Answer::error(Code::Busy, "no entry with connections can be reached");
        for holder in holders {
            let passed = self.local.now().saturating_sub(started);
            if passed >= job.left {
                break;
            }
            let mut job = job.clone();
            job.waited += passed;
            job.left -= passed;
            let number = self.next.get();
            self.next.set(number + 1);
            let (transaction, once) = (job.step != Step::Single && !job.commits, job.once);
            match self.forward(&holder.entry, number, job).await {
                Ok(answer) => {
                    let place = transaction.then(|| Place::There(holder.entry.clone(), number));
                    return (answer, place);
                }
                Err(true) if once => {
                    let reason = format!("the link to {} broke", holder.entry.as_str());
                    return (Answer::error(Code::Unknown, reason), None);
                }
                Err(_) => last = Answer::error(Code::Busy, "the entry with connections is lost"),
            }
        }
        if here {
            let (answer, pin) = self.executor.start(&job).await;
            return (answer, pin.map(Place::Here));
        }
        (last, None)
    }

    /// Runs a later statement of a transaction.
    pub async fn next(self: &Rc<Self>, place: Place, job: Job) -> (Answer, Option<Place>) {
        match place {
            Place::Here(pin) => {
                let (answer, pin) = self.executor.next(pin, &job).await;
                (answer, pin.map(Place::Here))
            }
            Place::There(holder, number) => {
                let commits = job.commits;
                match self.forward(&holder, number, job).await {
                    Ok(answer) => (answer, (!commits).then_some(Place::There(holder, number))),
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
            Place::Here(pin) => self.executor.roll_back(pin),
            Place::There(holder, number) => {
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
        for group in view.holders.keys().filter(|group| !self.pool.holds(group)) {
            for holder in self.holders(group).into_iter().take(LINKS) {
                self.peer(&holder.entry);
            }
        }
    }

    /// Other entries with connections to the group, nearest first.
    fn holders(&self, group: &str) -> Vec<HolderView> {
        let view = self.local.view();
        let me = &self.local.me;
        let known = view.holders.get(group).into_iter().flatten();
        let mut holders: Vec<_> = known.filter(|holder| holder.entry != me.name).cloned().collect();
        holders.sort_by_key(|h| (h.domain != me.domain, h.region != me.region));
        holders
    }

    /// Sends a job; the error tells whether it may have run.
    async fn forward(self: &Rc<Self>, to: &Name, number: u64, job: Job) -> Result<Answer, bool> {
        let left = Duration::from_millis(job.left + TRAVEL);
        let peer = self.peer(to);
        let Some(out) = timeout(left, peer.link()).await.ok().flatten() else { return Err(false) };
        let (sender, receiver) = oneshot::channel();
        peer.pending.borrow_mut().insert(number, sender);
        if out.try_send(Forward::Job { number, job: Box::new(job) }).is_err() {
            peer.pending.borrow_mut().remove(&number);
            return Err(false);
        }
        match timeout(left, receiver).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(_)) => Err(true),
            Err(_) => {
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
                    if let Forward::Answer { number, answer } = message
                        && let Some(waiter) = peer.pending.borrow_mut().remove(&number)
                    {
                        // The caller may have given up.
                        let _ = waiter.send(*answer);
                    }
                }
                log(Event::HolderLost, format_args!("entry={}", name.as_str()));
                *peer.out.borrow_mut() = None;
                peer.pending.borrow_mut().clear();
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
                Forward::Answer { .. } => {}
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
