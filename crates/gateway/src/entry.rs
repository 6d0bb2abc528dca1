//! An entry: takes callers, holds connections to servers, follows the control leader.

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    net::TcpListener,
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use auburnlug_protocol::{
    auth::Purpose,
    fleet::{FleetMessage, Forward, Update},
};
use auburnlug_state::{Millis, Name, Term};
use auburnlug_transport::{
    clock::Clock,
    event::{Event, log},
    link::{Dial, Link},
    socket::{self, Dialer, Identity},
};
use tokio::{
    sync::mpsc,
    task::{spawn_local, yield_now},
    time::sleep,
};

use crate::{
    admission::Admission,
    executor::Executor,
    local::{Local, Me},
    metrics::GatewayMetrics,
    pool::Pool,
    relay::Relay,
    router::Router,
    session::{self, Sessions},
    stop::Stop,
    wire::{CallerWire, Ports, ServerWire, address_of},
};

/// Time between two renewals of the lease, in milliseconds: six fit into a lease.
const RENEWAL: Duration = Duration::from_millis(500);

/// Least time between two renewals, in milliseconds, also when tokens are needed.
const URGENT: Duration = Duration::from_millis(30);

/// Pause before a control member is dialed again, in milliseconds.
const REDIAL: Duration = Duration::from_millis(200);

/// Time after which a granter that did not answer is not relied on, in milliseconds.
pub(crate) const UNANSWERED: Millis = 1_200;

/// Time without an answer of the leader after which the entry reports that it is not ready, in
/// milliseconds. Its lease ends soon, and an election takes less.
const LOST: Millis = 4_000;

/// Connections waiting to be accepted or sorted.
const QUEUE: usize = 256;

/// Needs of an entry.
pub struct EntryOptions {
    /// This instance.
    pub me: Me,
    /// Ports of all instances.
    pub ports: Ports,
    /// Listener for callers.
    pub callers: TcpListener,
    /// Listener for links of other entries.
    pub traffic: TcpListener,
    /// Control members that are known at the start.
    pub seeds: BTreeSet<Name>,
    /// Time from the request to stop until the process is killed.
    pub grace: Duration,
    /// Credentials of links.
    pub identity: Arc<Identity>,
    /// Clock.
    pub clock: Arc<dyn Clock>,
    /// Wire protocol of callers.
    pub caller_wire: Arc<dyn CallerWire>,
    /// Wire protocol of servers.
    pub server_wire: Arc<dyn ServerWire>,
    /// Metrics.
    pub metrics: Arc<GatewayMetrics>,
}

/// What other threads and the adapter see of an entry.
#[derive(Debug, Default)]
pub struct EntryStatus {
    ready: AtomicBool,
}

impl EntryStatus {
    /// Whether the entry takes callers.
    pub fn ready(&self) -> bool {
        self.ready.load(Ordering::Acquire)
    }
}

/// A request to a running entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EntryOrder {
    /// Take these control members into account.
    Seeds(BTreeSet<Name>),
    /// Stop gracefully.
    Stop,
}

/// Runs an entry until it has stopped.
///
/// # Errors
///
/// A listener cannot be used.
pub async fn run(
    options: EntryOptions,
    status: Arc<EntryStatus>,
    mut orders: mpsc::Receiver<EntryOrder>,
) -> std::io::Result<()> {
    let local = Rc::new(Local::new(options.me, options.clock, options.metrics));
    let pool = Pool::new(local.clone());
    let executor = Rc::new(Executor::new(local.clone(), pool.clone(), options.server_wire));
    let dial: Arc<dyn Dial<Forward>> =
        Arc::new(Dialer::new(options.identity.clone(), Purpose::Traffic));
    let relay = Relay::new(local.clone(), executor, dial, options.ports.traffic);
    let router = Router::new(local.clone(), relay.clone());
    let stop = Rc::new(Stop::default());
    let sessions = Rc::new(Sessions {
        local: local.clone(),
        admission: Admission::new(local.clone(), relay.clone()),
        router: router.clone(),
        wire: options.caller_wire,
        stop: stop.clone(),
    });
    accept_links(options.traffic, options.identity.clone(), relay.clone())?;
    spawn_local(accept_callers(options.callers, sessions.clone()));
    let seeds = Rc::new(RefCell::new(options.seeds));
    let (input, inputs) = mpsc::channel(QUEUE);
    let follower = Follower {
        local: local.clone(),
        pool,
        relay,
        router,
        status: status.clone(),
        stop: stop.clone(),
        dial: Arc::new(Dialer::new(options.identity, Purpose::Control)),
        port: options.ports.control,
        seeds: seeds.clone(),
        known: BTreeSet::new(),
        links: BTreeMap::new(),
        input,
        granter: None,
        informed: None,
        told: 0,
        sent: 0,
    };
    spawn_local(follower.run(inputs));
    while let Some(order) = orders.recv().await {
        match order {
            EntryOrder::Seeds(names) => *seeds.borrow_mut() = names,
            EntryOrder::Stop => break,
        }
    }
    status.ready.store(false, Ordering::Release);
    stop.start(options.grace);
    local.renew.notify_one();
    tokio::select! {
        () = stop.end() => {}
        () = sessions_ended(&local, &stop) => {}
    }
    Ok(())
}

/// Waits until no session is open, and the balancer sends no new ones.
async fn sessions_ended(local: &Local, stop: &Stop) {
    stop.idle_sessions_end().await;
    // The tasks of the sessions take notice first.
    sleep(Duration::from_millis(100)).await;
    while local.metrics.sessions.get() > 0 {
        sleep(Duration::from_millis(20)).await;
    }
}

fn accept_links(
    listener: TcpListener,
    identity: Arc<Identity>,
    relay: Rc<Relay>,
) -> std::io::Result<()> {
    let listener = tokio::net::TcpListener::from_std(listener)?;
    let (control, _control) = mpsc::channel(1);
    let (traffic, mut sockets) = mpsc::channel(QUEUE);
    tokio::spawn(socket::listen(listener, identity.clone(), control, traffic));
    spawn_local(async move {
        // Keeps the channel of control links open; an entry takes none.
        let _unused = _control;
        while let Some(socket) = sockets.recv().await {
            let (identity, relay) = (identity.clone(), relay.clone());
            spawn_local(async move {
                if let Ok(accepted) = socket::accept_traffic(socket, &identity).await {
                    relay.serve(accepted.link()).await;
                }
            });
        }
    });
    Ok(())
}

async fn accept_callers(listener: TcpListener, sessions: Rc<Sessions>) {
    let Ok(listener) = tokio::net::TcpListener::from_std(listener) else { return };
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                spawn_local(session::serve(sessions.clone(), stream));
            }
            Err(e) => {
                log(Event::ListenFailed, format_args!("accept: {e}"));
                sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

/// Follows the control leader: lease, view, shares.
struct Follower {
    local: Rc<Local>,
    pool: Rc<Pool>,
    relay: Rc<Relay>,
    router: Rc<Router>,
    status: Arc<EntryStatus>,
    stop: Rc<Stop>,
    dial: Arc<dyn Dial<FleetMessage>>,
    port: u16,
    seeds: Rc<RefCell<BTreeSet<Name>>>,
    /// Control members that others have named, until the view tells them.
    known: BTreeSet<Name>,
    /// Links to control members; `None` while one is dialed.
    links: BTreeMap<Name, Option<mpsc::Sender<FleetMessage>>>,
    /// Passes on what links yield.
    input: mpsc::Sender<Input>,
    granter: Option<Name>,
    /// Leader that was sent what this entry holds, and the term of the view that it was told by.
    informed: Option<(Name, Term)>,
    /// Time at which a member last said that it leads.
    told: Millis,
    /// Sending time of the last renewal.
    sent: Millis,
}

/// What a link yields.
enum Input {
    Open(Name, mpsc::Sender<FleetMessage>),
    Message(Name, FleetMessage),
    Closed(Name),
}

impl Follower {
    async fn run(mut self, mut inputs: mpsc::Receiver<Input>) {
        loop {
            self.dial_members();
            self.renew();
            let renewed = self.sent;
            // Serves inputs until the next renewal is due.
            loop {
                let passed = Duration::from_millis(self.local.now().saturating_sub(renewed));
                let left = RENEWAL.saturating_sub(passed);
                let urgent = URGENT.saturating_sub(passed);
                let local = self.local.clone();
                // One renewal is under way at a time, or a slow link would only fill up.
                let answered = self.local.answered_at() >= renewed;
                tokio::select! {
                    biased;
                    next = inputs.recv() => match next {
                        Some(next) => {
                            let at_once = self.handle(next);
                            if at_once {
                                break;
                            }
                        }
                        None => return,
                    },
                    () = sleep(left) => break,
                    () = async { local.renew.notified().await; sleep(urgent).await }, if answered => break,
                }
                yield_now().await;
            }
        }
    }

    /// Handles an input; true if a renewal is due at once.
    fn handle(&mut self, input: Input) -> bool {
        match input {
            Input::Open(name, out) => {
                log(Event::MemberLinkOpen, format_args!("member={}", name.as_str()));
                if !self.local.leased() {
                    // The others were asked already.
                    let message = self.local.search(self.stop.started());
                    let _ = out.try_send(FleetMessage::Renew(Box::new(message)));
                }
                self.links.insert(name, Some(out));
                false
            }
            Input::Closed(name) => {
                if let Some(Some(_)) = self.links.remove(name.as_str()) {
                    log(Event::MemberLinkLost, format_args!("member={}", name.as_str()));
                }
                if self.granter.as_ref() == Some(&name) {
                    self.granter = None;
                    log(Event::LeaderMissing, format_args!("member={}", name.as_str()));
                    return true;
                }
                // Without a lease this member may be the one that is needed.
                if !self.local.leased() {
                    self.dial_members();
                }
                false
            }
            Input::Message(name, message) => self.receive(name, message),
        }
    }

    fn receive(&mut self, name: Name, message: FleetMessage) -> bool {
        match message {
            FleetMessage::Grant(grant) => {
                if self.granter.as_ref() != Some(&name) {
                    log(Event::LeaderFound, format_args!("member={}", name.as_str()));
                }
                let told = self.informed.as_ref().is_some_and(|(leader, _)| *leader == name);
                self.granter = Some(name);
                self.local.grant(&grant);
                self.router.learn(&grant.positions, grant.sent);
                self.publish();
                return !told;
            }
            FleetMessage::Update(update) => {
                let update: Update = match update.open() {
                    Ok(update) => update,
                    Err(e) => {
                        log(Event::UpdateUnfit, format_args!("member={}: {e}", name.as_str()));
                        self.local.misfit();
                        return true;
                    }
                };
                let leads = update.leads.is_some();
                if self.local.update(update) {
                    let view = self.local.view();
                    self.local.metrics.config_version.set(view.plan.version);
                    self.pool.refresh(&view);
                    self.relay.prepare();
                    self.router.refresh(&view);
                    self.publish();
                    return leads;
                }
            }
            FleetMessage::Leading => {
                self.granter = Some(name);
                self.informed = None;
                self.told = self.local.now();
                return true;
            }
            FleetMessage::NotLeader(members) => {
                self.known.extend(members);
                if self.granter.as_ref() == Some(&name) {
                    self.granter = None;
                    return true;
                }
                // The one that leads may be a member that is not linked yet.
                if !self.local.leased() {
                    self.dial_members();
                }
            }
            FleetMessage::Member(_) | FleetMessage::Renew(_) => {}
        }
        false
    }

    fn publish(&self) {
        let now = self.local.now();
        let ready = self.local.view().plan.version > 0
            && now < self.local.answered_at() + LOST
            && !self.stop.started();
        self.status.ready.store(ready, Ordering::Release);
    }

    /// Renews with the member that leads. Once that one fails to answer, all are asked for a lease
    /// only: the one that leads is told the rest when it has answered.
    fn renew(&mut self) {
        self.publish();
        self.sent = self.local.now();
        let leaving = self.stop.started();
        let recent = self.sent < self.local.answered_at().max(self.told) + UNANSWERED;
        let granter = self.granter.as_ref().filter(|_| recent);
        let granter = granter.and_then(|name| self.links.get(name.as_str())).cloned().flatten();
        // A link that does not drain ends by itself.
        match granter {
            Some(out) => {
                let term = self.local.view().term;
                let informed = self.granter.clone().map(|name| (name, term));
                let first = self.informed != informed;
                self.informed = informed;
                let renewal = self.local.renewal(leaving, first);
                let _ = out.try_send(FleetMessage::Renew(Box::new(renewal)));
            }
            None => {
                self.informed = None;
                let message = FleetMessage::Renew(Box::new(self.local.search(leaving)));
                for out in self.links.values().flatten() {
                    let _ = out.try_send(message.clone());
                }
            }
        }
    }

    fn dial_members(&mut self) {
        let mut names = self.seeds.borrow().clone();
        let members = &self.local.view().members;
        names.extend(members.iter().cloned());
        if members.is_empty() {
            names.extend(self.known.iter().cloned());
        }
        for name in names {
            if self.links.contains_key(name.as_str()) {
                continue;
            }
            let Some(address) = address_of(name.as_str(), self.port) else { continue };
            self.links.insert(name.clone(), None);
            let (dialing, input) = (self.dial.dial(name.clone(), address), self.input.clone());
            tokio::spawn(async move {
                match dialing.await {
                    Some(link) => pump(name, link, input).await,
                    None => {
                        sleep(REDIAL).await;
                        let _ = input.send(Input::Closed(name)).await;
                    }
                }
            });
        }
    }
}

async fn pump(name: Name, link: Link<FleetMessage>, input: mpsc::Sender<Input>) {
    let Link { out, mut inbox, .. } = link;
    let _ = input.send(Input::Open(name.clone(), out)).await;
    while let Some(message) = inbox.recv().await {
        if input.send(Input::Message(name.clone(), message)).await.is_err() {
            return;
        }
    }
    let _ = input.send(Input::Closed(name)).await;
}
