//! Control groups for tests: members with in-memory disks over loopback links with fault injection,
//! and clocks that can suspend the control thread.

// clippy.toml allows panics only in test functions, not in their helpers.
#![allow(dead_code, clippy::panic)]

use std::{
    collections::{BTreeMap, BTreeSet},
    net::{SocketAddr, TcpListener},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use auburnlug_coordination::raft::{Members, Payload};
use auburnlug_protocol::{
    auth::{Purpose, Secret},
    peer,
};
use auburnlug_state::{Applied, Change, Command, Edit, Instance, Millis, Name};
use auburnlug_transport::{
    byte_channel::{Receiver, Sender},
    clock::{Clock, SystemClock},
    control::{self, Handle, Options},
    control_metrics::ControlMetrics,
    disk::{Disk, Loaded},
    disk_memory::MemoryDisk,
    link::{Dial, Dialing, Link},
    socket::{Dialer, Identity},
    view::Control,
};
use tokio::sync::{mpsc, oneshot};

pub const TEMPLATE: &str = "\
[template]
format = 1
name = test
[group loans]
size = 3
database = loans
[account desk]
rate = 10
burst = 5
age = 100
key = 2d3b9c09910e3044f1b7784ff884e12af626881fe605e91b30f95bb6602c589e
";

pub fn name(text: &str) -> Name {
    Name::try_from(text).expect("valid name")
}

/// A clock that can suspend the threads that read it.
pub struct SuspendableClock {
    inner: SystemClock,
    suspended: AtomicBool,
}

impl SuspendableClock {
    fn start() -> SuspendableClock {
        SuspendableClock { inner: SystemClock::start(), suspended: AtomicBool::new(false) }
    }

    /// Suspends each thread at its next read of the clock.
    pub fn suspend(&self) {
        self.suspended.store(true, Ordering::SeqCst);
    }

    /// Resumes the suspended threads.
    pub fn resume(&self) {
        self.suspended.store(false, Ordering::SeqCst);
    }

    /// Current time, also while threads are suspended.
    pub fn time(&self) -> Millis {
        self.inner.now()
    }
}

impl Clock for SuspendableClock {
    fn now(&self) -> Millis {
        while self.suspended.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(1));
        }
        self.inner.now()
    }
}

/// Faults of the network. Links stay open while messages on them are dropped or delayed.
#[derive(Default)]
pub struct Net {
    cuts: Mutex<BTreeSet<(Name, Name)>>,
    without_updates: Mutex<BTreeSet<Name>>,
    granters: Mutex<Vec<Name>>,
    delayed: Mutex<BTreeSet<Name>>,
}

impl Net {
    /// Drops all messages between `a` and the others, in both directions.
    pub fn cut(&self, a: &Name, others: &[Name]) {
        let mut cuts = self.cuts.lock().expect("not poisoned");
        for b in others.iter().filter(|b| *b != a) {
            cuts.extend([(a.clone(), b.clone()), (b.clone(), a.clone())]);
        }
    }

    pub fn heal(&self) {
        self.cuts.lock().expect("not poisoned").clear();
        self.without_updates.lock().expect("not poisoned").clear();
    }

    /// Drops the updates and snapshots that go to `name`.
    pub fn drop_updates(&self, name: &Name) {
        self.without_updates.lock().expect("not poisoned").insert(name.clone());
    }

    /// Delays each Raft message to `name`, so that its log grows in small steps.
    pub fn delay_raft(&self, name: &Name) {
        self.delayed.lock().expect("not poisoned").insert(name.clone());
    }

    fn delays(&self, to: &Name, message: &peer::ControlMessage) -> bool {
        let slow = self.delayed.lock().expect("not poisoned").contains(to.as_str());
        slow && matches!(message, peer::ControlMessage::Raft { .. })
    }

    /// Returns the members that sent grants since the last call, and clears the list.
    pub fn take_granters(&self) -> Vec<Name> {
        std::mem::take(&mut self.granters.lock().expect("not poisoned"))
    }

    fn delivers(&self, from: &Name, to: &Name, message: &peer::ControlMessage) -> bool {
        use peer::ControlMessage::{Grant, Snapshot, Update};
        if matches!(message, Grant(_)) {
            self.granters.lock().expect("not poisoned").push(from.clone());
        }
        let without_updates =
            self.without_updates.lock().expect("not poisoned").contains(to.as_str());
        let cut = self.cuts.lock().expect("not poisoned").contains(&(from.clone(), to.clone()));
        !(cut || without_updates && matches!(message, Update { .. } | Snapshot(_)))
    }
}

struct FaultyDialer {
    me: Name,
    net: Arc<Net>,
    inner: Dialer<peer::ControlMessage>,
}

impl Dial<peer::ControlMessage> for FaultyDialer {
    fn dial(&self, to: Name, address: SocketAddr) -> Dialing<peer::ControlMessage> {
        let (me, net) = (self.me.clone(), self.net.clone());
        let dialing = self.inner.dial(to.clone(), address);
        Box::pin(async move {
            let outer = dialing.await?;
            let (near, far) = Link::pair(me.clone(), to.clone());
            relay(net.clone(), (me.clone(), to.clone()), far.inbox, outer.out);
            relay(net, (to, me), outer.inbox, far.out);
            Some(near)
        })
    }
}

fn relay(
    net: Arc<Net>,
    (from, to): (Name, Name),
    mut inbox: Receiver<peer::ControlMessage>,
    out: Sender<peer::ControlMessage>,
) {
    tokio::spawn(async move {
        while let Some(message) = inbox.recv().await {
            if net.delays(&to, &message) {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            if net.delivers(&from, &to, &message) && out.send(message).await.is_err() {
                return;
            }
        }
    });
}

/// A running instance.
pub struct Node {
    pub name: Name,
    pub handle: Handle,
    pub clock: Arc<SuspendableClock>,
    pub disk: Option<MemoryDisk>,
    pub failed: oneshot::Receiver<String>,
}

impl Node {
    pub fn lease_valid(&self) -> bool {
        self.handle.lease() > self.clock.time()
    }

    pub async fn wait_for_lease(&self) {
        while !self.lease_valid() {
            poll_delay().await;
        }
    }

    pub async fn wait_for_version(&self, version: u64) {
        let mut view = self.handle.view();
        view.wait_for(|view| view.machine.version == version).await.expect("runs");
    }

    /// Identity of the member.
    pub fn identity(&self) -> Name {
        name(&format!("{}.{}", self.name, self.load().identity))
    }

    /// Membership according to the member's own log.
    pub fn members(&self) -> Members {
        let saved = self.load().saved;
        let first = saved.snapshot.map(|snapshot| snapshot.members);
        let logged = saved.entries.into_iter().filter_map(|entry| match entry.payload {
            Payload::Members(members) => Some(members),
            _ => None,
        });
        first.into_iter().chain(logged).last().unwrap_or_default()
    }

    /// Whether the member is a voter according to its own log.
    pub fn is_voter(&self) -> bool {
        self.members().voters.contains(self.identity().as_str())
    }

    fn load(&self) -> Loaded {
        let mut disk = self.disk.clone().expect("control member");
        disk.load().expect("works")
    }
}

/// Members and network of a control group.
pub struct Cluster {
    pub names: Vec<Name>,
    pub members: BTreeMap<Name, SocketAddr>,
    pub net: Arc<Net>,
    listeners: BTreeMap<Name, TcpListener>,
}

impl Cluster {
    pub fn new(count: usize) -> Cluster {
        let names: Vec<Name> = (1..=count).map(|n| name(&format!("c{n}"))).collect();
        let listeners: BTreeMap<Name, TcpListener> = names
            .iter()
            .map(|name| (name.clone(), TcpListener::bind("127.0.63.1:0").expect("binds")))
            .collect();
        let members =
            listeners.iter().map(|(n, l)| (n.clone(), l.local_addr().expect("bound"))).collect();
        Cluster { names, members, net: Arc::default(), listeners }
    }

    /// Opens a link as the instance `from`.
    pub async fn dial(&self, from: &str, to: &Name) -> Link<peer::ControlMessage> {
        let secret = Secret::new("same");
        let identity = Arc::new(Identity {
            name: name(from),
            secret,
            source: None,
            links: Default::default(),
            control_ping: auburnlug_transport::socket::DEFAULT_PING_INTERVAL,
            traffic_ping: auburnlug_transport::socket::DEFAULT_PING_INTERVAL,
        });
        let dialer = Dialer::new(identity, Purpose::Control);
        dialer.dial(to.clone(), self.members[to.as_str()]).await.expect("accepted")
    }

    /// Starts all members with empty disks.
    pub fn start_all(&mut self) -> Vec<Node> {
        let disk = |n: &Name| MemoryDisk::new(name(&format!("first-{n}")));
        self.names.clone().iter().map(|n| self.start(n, 1, Some(disk(n)))).collect()
    }

    /// Starts an instance; one that is not a control member gets a new address.
    pub fn start(&mut self, me: &Name, incarnation: u64, disk: Option<MemoryDisk>) -> Node {
        let listener = self.listeners.remove(me.as_str()).unwrap_or_else(|| {
            let address = self.members.get(me.as_str()).copied();
            let address = address.unwrap_or("127.0.63.1:0".parse().expect("address"));
            // The previous incarnation may still have its listener open.
            loop {
                match TcpListener::bind(address) {
                    Ok(listener) => return listener,
                    Err(_) => std::thread::sleep(Duration::from_millis(5)),
                }
            }
        });
        listener.set_nonblocking(true).expect("sets the mode");
        let address = listener.local_addr().expect("bound");
        let identity = Arc::new(Identity {
            name: me.clone(),
            secret: Secret::new("same"),
            source: None,
            links: Default::default(),
            control_ping: auburnlug_transport::socket::DEFAULT_PING_INTERVAL,
            traffic_ping: auburnlug_transport::socket::DEFAULT_PING_INTERVAL,
        });
        let instance = Instance {
            name: me.clone(),
            incarnation,
            peer: address,
            http: address,
            region: name("r"),
            domain: name("d"),
            entry: false,
        };
        let clock = Arc::new(SuspendableClock::start());
        let inner = Dialer::new(identity.clone(), Purpose::Control);
        let options = Options {
            instance,
            members: self.members.clone(),
            disk: disk.clone().map(|disk| Box::new(disk) as Box<dyn Disk>),
            trust_refused: true,
            clock: clock.clone(),
            dial: Arc::new(FaultyDialer { me: me.clone(), net: self.net.clone(), inner }),
            listener,
            traffic: mpsc::channel(1).0,
            identity,
            metrics: ControlMetrics::default(),
        };
        let (failed_out, failed) = oneshot::channel();
        let handle = control::start(options, failed_out).expect("starts");
        Node { name: me.clone(), handle, clock, disk, failed }
    }
}

pub async fn poll_delay() {
    tokio::time::sleep(Duration::from_millis(5)).await;
}

pub fn edit(id: &str, operator: &str, base: u64) -> Change {
    let edit = Edit::Publish(TEMPLATE.into());
    Change { id: name(id), operator: name(operator), base, edit }
}

/// Proposes a change until its effect is known; the change id makes retries idempotent.
pub async fn propose(handle: &Handle, change: Change) -> Applied {
    loop {
        if let Some(applied) = handle.propose(Command::Configure(change.clone())).await {
            return applied;
        }
        poll_delay().await;
    }
}

pub async fn publish(handle: &Handle, id: &str, base: u64) -> u64 {
    match propose(handle, edit(id, "ana", base)).await {
        Applied::Changed(version) => version,
        other => panic!("unexpected {other:?}"),
    }
}

pub async fn leader(nodes: &[Node]) -> usize {
    loop {
        if let Some(at) = nodes.iter().position(|node| node.handle.status().leads) {
            return at;
        }
        poll_delay().await;
    }
}
