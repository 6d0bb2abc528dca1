//! An entry: accepts callers, owns connections to servers, and follows the control leader.

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
    fleet::{FleetMessage, FleetUpdate, Forward},
};
use auburnlug_state::{Millis, Name, Term};
use auburnlug_transport::{
    byte_channel::Sender,
    client_room::ClientRoom,
    clock::Clock,
    event::{Event, log},
    link::{Dial, Link, dial_once_per},
    socket::{self, Dialer, Identity},
};
use tokio::{
    sync::mpsc,
    task::{spawn_local, yield_now},
    time::sleep,
};

use crate::{
    executor::Executor,
    local_state::{InstanceIdentity, LocalState},
    metrics::GatewayMetrics,
    pool::Pool,
    relay::Relay,
    router::Router,
    session::{self, SessionContext},
    shutdown::Shutdown,
    wire::{CallerWire, Ports, ServerWire, socket_address},
};

/// Interval between two renewals of the lease: nine fit into one lease.
pub(crate) const RENEWAL_INTERVAL: Duration = Duration::from_millis(500);

/// Minimum time between two renewals, also while operations wait for tokens.
const MIN_RENEWAL_INTERVAL: Duration = Duration::from_millis(30);

/// Minimum time between two dials of a control member.
const CONTROL_REDIAL_INTERVAL: Duration = Duration::from_millis(200);

/// Time without an answer after which the control leader is considered unresponsive.
pub(crate) const LEADER_ANSWER_TIMEOUT_MS: Millis = 1_200;

/// Time without an answer of the control leader after which the entry reports that it is not ready.
/// Its lease ends soon after, and an election takes less time.
const READINESS_TIMEOUT_MS: Millis = 4_000;

/// Capacity of the queues of incoming connections and of link events.
const ENTRY_QUEUE_CAPACITY: usize = 256;

/// Options of an entry.
pub struct EntryOptions {
    /// This instance.
    pub me: InstanceIdentity,
    /// Ports of all instances.
    pub ports: Ports,
    /// Listener for callers.
    pub callers: TcpListener,
    /// Places and bytes of the callers.
    pub caller_room: ClientRoom,
    /// Listener for links from other entries.
    pub traffic: TcpListener,
    /// Places of links before their handshake.
    pub opening_room: ClientRoom,
    /// Control members from the settings.
    pub seeds: BTreeSet<Name>,
    /// Regions of failure domains from the settings; may be empty.
    pub regions: BTreeMap<Arc<str>, Arc<str>>,
    /// Whether operators evacuate failure domains.
    pub evacuates: bool,
    /// Grace period from the request to stop until the process is killed.
    pub grace_period: Duration,
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

/// Status of an entry, shared with other threads.
#[derive(Debug, Default)]
pub struct EntryStatus {
    ready: AtomicBool,
}

impl EntryStatus {
    /// Whether the entry is ready for callers.
    pub fn ready(&self) -> bool {
        self.ready.load(Ordering::Acquire)
    }
}

/// A command to a running entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EntryCommand {
    /// Replaces the control members from the settings.
    Seeds(BTreeSet<Name>),
    /// Stops the entry gracefully.
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
    mut orders: mpsc::Receiver<EntryCommand>,
) -> std::io::Result<()> {
    let local = LocalState::new(options.me, options.clock, options.metrics);
    let local = local.with_regions(options.regions).with_view_expiry(options.evacuates);
    let local = Rc::new(local);
    let pool = Pool::new(local.clone());
    let executor = Rc::new(Executor::new(local.clone(), pool.clone(), options.server_wire));
    let dial: Arc<dyn Dial<Forward>> =
        Arc::new(Dialer::new(options.identity.clone(), Purpose::Traffic));
    let relay = Relay::new(local.clone(), executor, dial, options.ports.traffic);
    let router = Router::new(local.clone(), relay.clone());
    let shutdown = Rc::new(Shutdown::default());
    let sessions = Rc::new(SessionContext {
        local: local.clone(),
        router: router.clone(),
        wire: options.caller_wire,
        shutdown: shutdown.clone(),
    });
    accept_links(options.traffic, options.identity.clone(), relay.clone(), options.opening_room)?;
    spawn_local(accept_callers(options.callers, sessions.clone(), options.caller_room));
    let seeds = Rc::new(RefCell::new(options.seeds));
    let (events, inbox) = mpsc::channel(ENTRY_QUEUE_CAPACITY);
    let follower = LeaderFollower {
        local: local.clone(),
        pool,
        relay,
        router,
        status: status.clone(),
        shutdown: shutdown.clone(),
        dial: Arc::new(Dialer::new(options.identity, Purpose::Control)),
        port: options.ports.control,
        seeds: seeds.clone(),
        known_members: BTreeSet::new(),
        links: BTreeMap::new(),
        events,
        leader: None,
        informed_leader: None,
        announced_at: 0,
        renewed_at: 0,
    };
    spawn_local(follower.run(inbox));
    while let Some(order) = orders.recv().await {
        match order {
            EntryCommand::Seeds(names) => *seeds.borrow_mut() = names,
            EntryCommand::Stop => break,
        }
    }
    status.ready.store(false, Ordering::Release);
    shutdown.start(options.grace_period);
    local.renew.notify_one();
    tokio::select! {
        () = shutdown.wait_for_exit_deadline() => {}
        () = wait_for_sessions(&local, &shutdown) => {}
    }
    Ok(())
}

/// Waits until the load balancer sends no new sessions and no session is open.
async fn wait_for_sessions(local: &LocalState, shutdown: &Shutdown) {
    shutdown.wait_for_idle_deadline().await;
    // The sessions need time to notice the deadline.
    sleep(Duration::from_millis(100)).await;
    while local.metrics.sessions.get() > 0 {
        sleep(Duration::from_millis(20)).await;
    }
}

fn accept_links(
    listener: TcpListener,
    identity: Arc<Identity>,
    relay: Rc<Relay>,
    openings: ClientRoom,
) -> std::io::Result<()> {
    let listener = tokio::net::TcpListener::from_std(listener)?;
    let (control, _control) = mpsc::channel(1);
    let (traffic, mut sockets) = mpsc::channel(ENTRY_QUEUE_CAPACITY);
    let listening =
        socket::listen_within(listener, identity.clone(), control, traffic, openings.clone());
    tokio::spawn(listening);
    spawn_local(async move {
        // Keeps the channel of control links open; an entry accepts none.
        let _unused = _control;
        while let Some(socket) = sockets.recv().await {
            let Ok(peer) = socket.peer_addr() else { continue };
            let Some(opening) = openings.admit(peer.ip()) else { continue };
            let (identity, relay) = (identity.clone(), relay.clone());
            spawn_local(async move {
                let accepted = tokio::select! {
                    accepted = socket::accept_traffic(socket, &identity) => accepted,
                    () = opening.closed() => return,
                };
                drop(opening);
                if let Ok(accepted) = accepted {
                    relay.serve_link(accepted.link()).await;
                }
            });
        }
    });
    Ok(())
}

async fn accept_callers(listener: TcpListener, sessions: Rc<SessionContext>, room: ClientRoom) {
    let Ok(listener) = tokio::net::TcpListener::from_std(listener) else { return };
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                if let Some(client) = room.admit(peer.ip()) {
                    spawn_local(session::serve(sessions.clone(), stream, client));
                }
            }
            Err(e) => {
                log(Event::ListenFailed, format_args!("accept: {e}"));
                sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

/// Follows the control leader: renews the lease and rate shares, and applies updates to the view.
struct LeaderFollower {
    local: Rc<LocalState>,
    pool: Rc<Pool>,
    relay: Rc<Relay>,
    router: Rc<Router>,
    status: Arc<EntryStatus>,
    shutdown: Rc<Shutdown>,
    dial: Arc<dyn Dial<FleetMessage>>,
    port: u16,
    seeds: Rc<RefCell<BTreeSet<Name>>>,
    /// Control members named by others; used until the view lists them.
    known_members: BTreeSet<Name>,
    /// Links to control members; `None` while dialing.
    links: BTreeMap<Name, Option<Sender<FleetMessage>>>,
    /// Sends link events to [`LeaderFollower::run`].
    events: mpsc::Sender<LinkEvent>,
    leader: Option<Name>,
    /// Leader that received a full renewal, and the term of the view at that time.
    informed_leader: Option<(Name, Term)>,
    /// Time at which a member last announced itself as leader.
    announced_at: Millis,
    /// Sending time of the last renewal.
    renewed_at: Millis,
}

/// Event on a link to a control member.
enum LinkEvent {
    Opened(Name, Sender<FleetMessage>),
    Message(Name, FleetMessage),
    Closed(Name),
}

impl LeaderFollower {
    async fn run(mut self, mut inbox: mpsc::Receiver<LinkEvent>) {
        loop {
            self.dial_members();
            self.send_renewal();
            let renewed = self.renewed_at;
            // Handles link events until the next renewal is due.
            loop {
                let passed = Duration::from_millis(self.local.now().saturating_sub(renewed));
                let left = RENEWAL_INTERVAL.saturating_sub(passed);
                let urgent = MIN_RENEWAL_INTERVAL.saturating_sub(passed);
                let local = self.local.clone();
                // Early renewals wait for the answer to the last one, so as not to fill a slow
                // link.
                let answered = self.local.last_granted_at() >= renewed;
                tokio::select! {
                    biased;
                    event = inbox.recv() => match event {
                        Some(event) => {
                            let at_once = self.handle_event(event);
                            if at_once {
                                break;
                            }
                        }
                        None => return,
                    },
                    () = sleep(left) => break,
                    () = async { local.renew.notified().await; sleep(urgent).await }, if answered => break,
                }
                self.local.record_run();
                yield_now().await;
            }
        }
    }

    /// Handles a link event; true if a renewal is due at once.
    fn handle_event(&mut self, event: LinkEvent) -> bool {
        match event {
            LinkEvent::Opened(name, out) => {
                log(Event::MemberLinkOpen, format_args!("member={}", name.as_str()));
                if !self.local.holds_lease() {
                    // The other members have been sent a request already.
                    let message = self.local.build_lease_request(self.shutdown.started());
                    let _ = out.try_send(FleetMessage::Renew(Box::new(message)));
                }
                self.links.insert(name, Some(out));
                false
            }
            LinkEvent::Closed(name) => {
                if let Some(Some(_)) = self.links.remove(name.as_str()) {
                    log(Event::MemberLinkLost, format_args!("member={}", name.as_str()));
                }
                if self.leader.as_ref() == Some(&name) {
                    self.leader = None;
                    log(Event::LeaderMissing, format_args!("member={}", name.as_str()));
                    return true;
                }
                // Without a lease, this member may be the one that leads.
                if !self.local.holds_lease() {
                    self.dial_members();
                }
                false
            }
            LinkEvent::Message(name, message) => self.handle_message(name, message),
        }
    }

    /// Handles a message; true if a renewal is due at once.
    fn handle_message(&mut self, name: Name, message: FleetMessage) -> bool {
        match message {
            FleetMessage::Grant(grant) => {
                if self.leader.as_ref() != Some(&name) {
                    log(Event::LeaderFound, format_args!("member={}", name.as_str()));
                }
                let informed =
                    self.informed_leader.as_ref().is_some_and(|(leader, _)| *leader == name);
                self.leader = Some(name);
                self.local.apply_grant(&grant);
                self.router.add_samples(&grant.positions, grant.sent);
                self.update_readiness();
                return !informed;
            }
            FleetMessage::Update(update) => {
                let update: FleetUpdate = match update.unpack() {
                    Ok(update) => update,
                    Err(e) => {
                        log(Event::UpdateMismatched, format_args!("member={}: {e}", name.as_str()));
                        self.local.reject_update();
                        return true;
                    }
                };
                // The control leader waits for the entries that apply these changes.
                let awaited = update.leads.is_some() || update.evacuated.is_some();
                if self.local.apply_update(update) {
                    let view = self.local.view();
                    self.local.metrics.config_version.set(view.config.version);
                    self.pool.apply_view(&view);
                    self.relay.open_links();
                    self.router.apply_view(&view);
                    self.update_readiness();
                    return awaited;
                }
                return self.local.needs_full_update();
            }
            FleetMessage::Leading => {
                self.leader = Some(name);
                self.informed_leader = None;
                self.announced_at = self.local.now();
                self.local.record_leader_sign();
                return true;
            }
            FleetMessage::NotLeader(members) => {
                self.known_members.extend(members);
                if self.leader.as_ref() == Some(&name) {
                    self.leader = None;
                    return true;
                }
                // The leader may be a member without a link yet.
                if !self.local.holds_lease() {
                    self.dial_members();
                }
            }
            FleetMessage::Member(_) | FleetMessage::Renew(_) => {}
        }
        false
    }

    /// Updates whether the entry is ready for callers.
    fn update_readiness(&self) {
        let now = self.local.now();
        let ready = self.local.view().config.version > 0
            && now < self.local.last_granted_at() + READINESS_TIMEOUT_MS
            && !self.shutdown.started();
        self.status.ready.store(ready, Ordering::Release);
    }

    /// Sends a renewal to the control leader. While it does not answer, all members get a request
    /// for a lease only; the leader gets the full renewal once it has answered.
    fn send_renewal(&mut self) {
        self.local.record_run();
        self.update_readiness();
        self.renewed_at = self.local.now();
        let leaving = self.shutdown.started();
        let recent = self.renewed_at
            < self.local.last_granted_at().max(self.announced_at) + LEADER_ANSWER_TIMEOUT_MS;
        let leader = self.leader.as_ref().filter(|_| recent);
        let leader = leader.and_then(|name| self.links.get(name.as_str())).cloned().flatten();
        // Send errors are ignored: a link that does not drain ends by itself.
        match leader {
            Some(out) => {
                let term = self.local.view().term;
                let informed = self.leader.clone().map(|name| (name, term));
                let first = self.informed_leader != informed;
                self.informed_leader = informed;
                let renewal = self.local.build_renewal(leaving, first);
                let _ = out.try_send(FleetMessage::Renew(Box::new(renewal)));
            }
            None => {
                self.informed_leader = None;
                let message =
                    FleetMessage::Renew(Box::new(self.local.build_lease_request(leaving)));
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
            names.extend(self.known_members.iter().cloned());
        }
        for name in names {
            if self.links.contains_key(name.as_str()) {
                continue;
            }
            let Some(address) = socket_address(name.as_str(), self.port) else { continue };
            self.links.insert(name.clone(), None);
            let (dialing, events) = (self.dial.dial(name.clone(), address), self.events.clone());
            tokio::spawn(async move {
                match dial_once_per(CONTROL_REDIAL_INTERVAL, dialing).await {
                    Some(link) => forward_messages(name, link, events).await,
                    None => drop(events.send(LinkEvent::Closed(name)).await),
                }
            });
        }
    }
}

/// Forwards the events of a link until it ends.
async fn forward_messages(name: Name, link: Link<FleetMessage>, events: mpsc::Sender<LinkEvent>) {
    let Link { out, mut inbox, .. } = link;
    let _ = events.send(LinkEvent::Opened(name.clone(), out)).await;
    while let Some(message) = inbox.recv().await {
        if events.send(LinkEvent::Message(name.clone(), message)).await.is_err() {
            return;
        }
    }
    let _ = events.send(LinkEvent::Closed(name)).await;
}
