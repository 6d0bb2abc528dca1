//! Fakes around the traffic runtime: control state, links and database servers.
#![allow(dead_code, unused_imports, clippy::unwrap_used)]

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use auburnlug_protocol::{peer::TrafficMessage, settings::Policy};
use auburnlug_state::{
    Account, Applied, Class, Command, Group, GroupState, Index, Instance, Kind, Machine, Millis,
    Name, Role, Route, Server, Shard, ShardOwner,
};
use auburnlug_transport::{
    link::{Dial, Dialing, Link},
    metrics::Metrics,
    server::Credentials,
    traffic::{self, TrafficConfig, TrafficHandle},
    view::{Control, Proposal, View},
};
use sha2::{Digest, Sha256};
use tokio::{
    net::TcpListener,
    sync::{mpsc, watch},
};

pub mod backend;
pub use backend::{Backend, BackendState};

pub const KEY: &str = "sohar-key";

pub fn name(text: &str) -> Name {
    Name::try_from(text).unwrap()
}

pub fn hash(key: &str) -> String {
    hex::encode(Sha256::digest(key))
}

/// Fake control state that tests change directly.
pub struct FakeControl {
    pub view: watch::Sender<Arc<View>>,
    pub lease: AtomicU64,
    pub commands: Mutex<Vec<Command>>,
    start: Instant,
}

impl FakeControl {
    pub fn new(machine: Machine) -> Arc<FakeControl> {
        FakeControl::named("a", machine)
    }

    pub fn named(instance: &str, machine: Machine) -> Arc<FakeControl> {
        let view = View {
            instance: name(instance),
            machine: Arc::new(machine),
            stopping: false,
            releasing: Default::default(),
        };
        Arc::new(FakeControl {
            view: watch::Sender::new(Arc::new(view)),
            lease: AtomicU64::new(1 << 40),
            commands: Mutex::default(),
            start: Instant::now(),
        })
    }

    pub fn change(&self, edit: impl FnOnce(&mut Machine)) {
        self.view.send_modify(|view| {
            let mut machine = Machine::clone(&view.machine);
            machine.index += 1;
            edit(&mut machine);
            *view = Arc::new(View { machine: Arc::new(machine), ..View::clone(view) });
        });
    }
}

impl Control for FakeControl {
    fn view(&self) -> watch::Receiver<Arc<View>> {
        self.view.subscribe()
    }

    fn lease(&self) -> Millis {
        self.lease.load(Ordering::SeqCst)
    }

    fn now(&self) -> Millis {
        self.start.elapsed().as_millis() as Millis
    }

    fn propose(&self, command: Command) -> Proposal {
        self.commands.lock().unwrap().push(command.clone());
        self.change(|machine| match command {
            Command::Term { group, term, .. } => {
                machine.groups.insert(group, GroupState { term, primary: None });
            }
            Command::Primary { group, term, server, .. } => {
                machine.groups.insert(group, GroupState { term, primary: Some(server) });
            }
            Command::Assign { shard, instance, epoch } => {
                machine.shards.insert(shard, ShardOwner { instance, epoch: epoch + 1 });
            }
            _ => {}
        });
        Box::pin(async { Some(Applied::Done) })
    }
}

/// Fake links to another instance in this process, which tests can close.
#[derive(Default)]
pub struct FakeWire {
    /// Instance that opens the links; `b` unless set.
    pub from: Mutex<Option<Name>>,
    target: Mutex<Option<mpsc::Sender<Link<TrafficMessage>>>>,
    tasks: Mutex<Vec<tokio::task::JoinHandle<()>>>,
}

impl FakeWire {
    pub fn to(&self, target: mpsc::Sender<Link<TrafficMessage>>) {
        *self.target.lock().unwrap() = Some(target);
    }

    /// Closes all links; no link opens afterwards.
    pub fn disconnect(&self) {
        *self.target.lock().unwrap() = None;
        self.cut();
    }

    /// Closes all links; messages in flight are lost.
    pub fn cut(&self) {
        self.tasks.lock().unwrap().drain(..).for_each(|task| task.abort());
    }
}

impl Dial<TrafficMessage> for FakeWire {
    fn dial(&self, to: Name, _: SocketAddr) -> Dialing<TrafficMessage> {
        let from = self.from.lock().unwrap().clone().unwrap_or_else(|| name("b"));
        let (near, near_relay) = Link::pair(from.clone(), to.clone());
        let (far_relay, far) = Link::pair(from, to.clone());
        let Some(target) = self.target.lock().unwrap().clone().filter(|_| to != name("c")) else {
            return Box::pin(async { None });
        };
        let relay = async move {
            let (mut a, mut b) = (near_relay, far_relay);
            loop {
                tokio::select! {
                    Some(message) = a.inbox.recv() => { let _ = b.out.send(message).await; }
                    Some(message) = b.inbox.recv() => { let _ = a.out.send(message).await; }
                    else => return,
                }
            }
        };
        self.tasks.lock().unwrap().push(tokio::spawn(relay));
        Box::pin(async move {
            target.send(far).await.ok()?;
            Some(near)
        })
    }
}

struct NoDial;

impl Dial<TrafficMessage> for NoDial {
    fn dial(&self, _: Name, _: SocketAddr) -> Dialing<TrafficMessage> {
        Box::pin(async { None })
    }
}

/// An instance with fake servers, of which the first one is the primary.
pub struct TestInstance {
    pub control: Arc<FakeControl>,
    pub handle: TrafficHandle,
    pub port: u16,
    pub metrics: Arc<Metrics>,
    pub backends: Vec<Backend>,
    pub inbound: mpsc::Sender<Link<TrafficMessage>>,
}

impl TestInstance {
    pub async fn start(servers: usize) -> TestInstance {
        let mut backends = Vec::new();
        for index in 0..servers {
            backends.push(Backend::start(index == 0).await);
        }
        let control = FakeControl::new(machine(&backends));
        TestInstance::with(control, backends).await
    }

    pub async fn with(control: Arc<FakeControl>, backends: Vec<Backend>) -> TestInstance {
        TestInstance::start_with(control, backends, Arc::new(NoDial), 1000).await
    }

    /// Starts two instances: `a` owns the group, and `b` forwards to `a` over the returned wire.
    pub async fn owner_and_entry() -> (TestInstance, TestInstance, Arc<FakeWire>) {
        let a = TestInstance::start(1).await;
        let mut machine = machine(&a.backends);
        let record = Instance { name: name("b"), ..machine.instances[&name("a")].clone() };
        machine.instances.insert(name("b"), record);
        let wire = Arc::new(FakeWire::default());
        wire.to(a.inbound.clone());
        let b = TestInstance::start_with(
            FakeControl::named("b", machine),
            Vec::new(),
            wire.clone(),
            5000,
        )
        .await;
        (a, b, wire)
    }

    /// Starts two instances that reach each other: `a` owns the group, and `b` is its standby. The
    /// returned wire leads from `a` to `b`.
    pub async fn owner_and_standby() -> (TestInstance, TestInstance, Arc<FakeWire>) {
        let backends = vec![Backend::start(true).await];
        let mut machine = machine(&backends);
        let record = Instance { name: name("b"), ..machine.instances[&name("a")].clone() };
        machine.instances.insert(name("b"), record);
        let (out, back) = (Arc::new(FakeWire::default()), Arc::new(FakeWire::default()));
        *out.from.lock().unwrap() = Some(name("a"));
        let control = FakeControl::named("a", machine.clone());
        let a = TestInstance::start_with(control, backends, out.clone(), 1000).await;
        let b = TestInstance::start_with(
            FakeControl::named("b", machine),
            Vec::new(),
            back.clone(),
            5000,
        )
        .await;
        out.to(b.inbound.clone());
        back.to(a.inbound.clone());
        (a, b, out)
    }

    async fn start_with(
        control: Arc<FakeControl>,
        backends: Vec<Backend>,
        dial: Arc<dyn Dial<TrafficMessage>>,
        wait: Millis,
    ) -> TestInstance {
        let callers = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let port = callers.local_addr().unwrap().port();
        let metrics = Arc::new(Metrics::default());
        let credentials = Credentials { user: "auburnlug".into(), password: Some("secret".into()) };
        let config =
            TrafficConfig { callers, credentials, source: None, wait, policy: Policy::Default };
        let (inbound, links) = mpsc::channel(4);
        // Shards are assigned after the start, as for an instance that joins.
        let shards = control.view.subscribe().borrow().machine.shards.clone();
        control.change(|machine| machine.shards.clear());
        let handle = traffic::start(config, control.clone(), dial, links, metrics.clone());
        control.change(|machine| machine.shards = shards);
        TestInstance { control, handle, port, metrics, backends, inbound }
    }

    pub fn url(&self) -> String {
        format!("host=127.0.0.1 port={} user=sohar password={KEY} dbname=loans", self.port)
    }

    pub async fn connect(&self) -> tokio_postgres::Client {
        let (client, connection) =
            tokio_postgres::connect(&self.url(), tokio_postgres::NoTls).await.unwrap();
        tokio::spawn(connection);
        client
    }
}

/// Replicated state of one instance that owns one group.
pub fn machine(backends: &[Backend]) -> Machine {
    let mut machine = Machine { index: 5, version: 5 as Index, ..Machine::default() };
    let group = Group { size: backends.len() as u32, database: name("loans") };
    machine.config.groups.insert(name("loans"), group);
    let account = |keys: BTreeSet<String>| Account { rate: 1000.0, burst: 1000.0, age: 500, keys };
    machine.config.accounts.insert(name("sohar"), account([hash(KEY)].into()));
    machine.config.accounts.insert(name("public"), account(BTreeSet::new()));
    let route = |statement: &str, kind, open| Route {
        statement: statement.into(),
        kind,
        idempotent: kind == Kind::Read,
        open,
        class: Class::Interactive,
    };
    machine.config.routes = BTreeMap::from([
        (name("lookup"), route("select status", Kind::Read, false)),
        (name("hours"), route("select hours", Kind::Read, true)),
        (name("post"), route("insert into loans", Kind::Write, false)),
    ]);
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let record = |text: &str| Instance {
        name: name(text),
        incarnation: 1,
        peer: address,
        http: address,
        region: name("muscat"),
        domain: name("d1"),
        entry: true,
    };
    machine.instances.insert(name("a"), record("a"));
    let owned = ShardOwner { instance: Some(name("a")), epoch: 1 };
    for account in ["sohar", "public"] {
        machine.shards.insert(Shard::Account(name(account)), owned.clone());
    }
    machine.shards.insert(Shard::Group(name("loans")), owned);
    machine.groups.insert(name("loans"), GroupState { term: 1, primary: Some(name("s0")) });
    for (index, backend) in backends.iter().enumerate() {
        let id = name(&format!("s{index}"));
        machine.servers.insert(id.clone(), server_record(id, backend));
    }
    machine
}

fn server_record(id: Name, backend: &Backend) -> Server {
    Server {
        name: id,
        group: name("loans"),
        incarnation: 1,
        address: backend.address,
        domain: name("d1"),
        slots: 3,
        connections: 20,
        draining: false,
        role: if backend.shared.lock().unwrap().primary { Role::Primary } else { Role::Replica },
        term: 1,
    }
}

/// Waits until `done` returns true; the test runner's timeout ends a test that never gets there.
pub async fn wait_until(mut done: impl FnMut() -> bool) {
    while !done() {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}
