//! Statements that arrive while no server can run them: the backlog after a restart of all instances,
//! before the control leader has assigned connection owners, and operations that need a lost primary.

// The setting for tests in clippy.toml does not reach helper functions in test files.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use auburnlug_coordination::{
    changes::Changes, external_failover::Status, home_regions::HomeRegions,
};
use auburnlug_gateway::{
    executor::Executor,
    local_state::{InstanceIdentity, LocalState},
    metrics::GatewayMetrics,
    pool::Pool,
    relay::Relay,
    router::{Router, StatementTask},
    wire::{DecodeError, ServerCall, ServerReply, ServerWire},
};
use auburnlug_protocol::{
    config_delta::EncodedConfigDelta,
    fleet::{ConnectionOwner, FleetGrant, FleetUpdate, Forward, PrimaryView, RateShare},
    job::{
        Answer, Completion, DataRequirement, ErrorCode, Job, SessionVariables, StatementText,
        TransactionStep,
    },
};
use auburnlug_state::{
    Millis, Name,
    fleet::{AccountConfig, Backend, FleetConfig, Incarnation},
};
use auburnlug_transport::{
    clock::{Clock, SystemClock},
    link::{Dial, Dialing, Link},
};
use bytes::BytesMut;
use tokio::{
    runtime::Builder,
    sync::mpsc::{UnboundedSender, unbounded_channel},
    task::{JoinHandle, LocalSet, spawn_local},
    time::{Instant, sleep, timeout},
};

/// Statements of the backlog; many times what a few attempts per server could use up.
const BACKLOG: usize = 200;

/// Time within which an entry answers what it knows: some checks for a new view, on a busy machine.
/// A request that waits is answered after 1,990 ms.
const AT_ONCE: Duration = Duration::from_millis(500);

fn name(text: &str) -> Name {
    Name::try_from(text).unwrap()
}

/// Wire protocol of servers that no connection uses.
struct UnusedWire;

impl ServerWire for UnusedWire {
    fn encode(&self, _: &ServerCall<'_>, _: &mut BytesMut) {}

    fn decode(&self, _: bool, _: &mut BytesMut) -> Result<Option<ServerReply>, DecodeError> {
        Ok(None)
    }

    fn status(&self, _: &Answer) -> Option<Status> {
        None
    }
}

/// A clock that a test sets.
#[derive(Debug)]
struct SetClock(AtomicU64);

impl Clock for SetClock {
    fn now(&self) -> Millis {
        self.0.load(Ordering::Relaxed)
    }
}

/// An entry under a clock that its test moves, with one server, whose connections nobody owns.
struct SilentEntry {
    clock: Arc<SetClock>,
    local: Rc<LocalState>,
    router: Rc<Router>,
}

impl SilentEntry {
    fn new() -> SilentEntry {
        let clock = Arc::new(SetClock(AtomicU64::new(1_000)));
        let (local, router) = create_entry_at(clock.clone());
        let entry = SilentEntry { clock, local, router };
        entry.apply(servers_update());
        entry.local.apply_grant(&grant(&entry.local, 0.0));
        entry
    }

    fn apply(&self, update: FleetUpdate) {
        assert!(self.local.apply_update(update));
        self.router.apply_view(&self.local.view());
    }

    /// Lets time pass in which the entry runs and hears no leader.
    fn pass(&self, silence: Millis) {
        for _ in 0..silence / 500 {
            self.clock.0.fetch_add(500, Ordering::Relaxed);
            self.local.record_run();
        }
    }

    fn request(&self) -> JoinHandle<Answer> {
        let router = self.router.clone();
        spawn_local(async move { router.run_first(read_at_primary(0)).await.0 })
    }
}

/// Reason of a refusal of a request that did not run and is answered at once.
async fn refused_at_once(request: JoinHandle<Answer>) -> Arc<str> {
    let answer = timeout(AT_ONCE, request).await.expect("answered at once").unwrap();
    let Completion::Error(ErrorCode::Busy, reason) = answer.end else { panic!("{answer:?}") };
    reason
}

/// Opens links whose other ends go to a channel.
struct ChannelDialer(UnboundedSender<Link<Forward>>);

impl Dial<Forward> for ChannelDialer {
    fn dial(&self, peer: Name, _: SocketAddr) -> Dialing<Forward> {
        let (local_end, remote_end) = Link::pair(name("10.0.0.1"), peer);
        let sent = self.0.send(remote_end).is_ok();
        Box::pin(async move { sent.then_some(local_end) })
    }
}

/// Answers all jobs on a link.
async fn answer_jobs(link: Link<Forward>) {
    let Link { out, mut inbox, .. } = link;
    while let Some(message) = inbox.recv().await {
        if let Forward::Job { number, .. } = message {
            let answer = Box::new(Answer::without_server());
            out.send(Forward::Answer { number, answer }).await.unwrap();
        }
    }
}

/// Update of a new control leader: a group with its primary, without connection owners.
fn servers_update() -> FleetUpdate {
    let backend = Backend {
        id: "s1".into(),
        group: "g1".into(),
        address: ([10, 0, 1, 1], 1).into(),
        domain: "d".into(),
        slots: 3,
        draining: false,
        cold: false,
        run: Incarnation(1),
    };
    let lead = PrimaryView { term: 1, primary: Some("s1".into()) };
    FleetUpdate {
        index: 1,
        term: 1,
        backends: Some(Changes::from_all(BTreeMap::from([("s1".into(), backend)]))),
        leads: Some(Changes::from_all(BTreeMap::from([("g1".into(), lead)]))),
        ..FleetUpdate::default()
    }
}

/// Update that assigns the connections of the server to another entry.
fn owners_update() -> FleetUpdate {
    let owner = ConnectionOwner {
        entry: name("10.0.0.2"),
        domain: "d".into(),
        region: "r".into(),
        connections: 4,
        cold_rate: None,
    };
    FleetUpdate {
        index: 2,
        term: 1,
        holders: Some(Changes::from_all(BTreeMap::from([("s1".into(), vec![owner])]))),
        ..FleetUpdate::default()
    }
}

fn read_at_primary(number: usize) -> StatementTask {
    let job = Job {
        id: format!("read-{number}").as_str().into(),
        account: "a".into(),
        group: "g1".into(),
        server: "".into(),
        after: None,
        step: TransactionStep::Single,
        run_once: false,
        commits: false,
        text: StatementText::Plain("READ x".into()),
        values: SessionVariables::new(),
        remaining: 2_000,
        max_wait: 480,
        priority: 1,
        objective: 800,
    };
    StatementTask { job, need: DataRequirement::Primary, arrival: 0, homes: HomeRegions::default() }
}

/// An entry that can reach other entries.
fn create_entry() -> (Rc<LocalState>, Rc<Router>) {
    create_entry_at(Arc::new(SystemClock::start()))
}

fn create_entry_at(clock: Arc<dyn Clock>) -> (Rc<LocalState>, Rc<Router>) {
    let identity = InstanceIdentity {
        name: name("10.0.0.1"),
        label: "entry".into(),
        region: "r".into(),
        domain: "d".into(),
        incarnation: 1,
    };
    let local = LocalState::new(identity, clock, Arc::new(GatewayMetrics::default()));
    let local = Rc::new(local.with_regions(BTreeMap::new()));
    let executor =
        Rc::new(Executor::new(local.clone(), Pool::new(local.clone()), Arc::new(UnusedWire)));
    let (links, mut dialed) = unbounded_channel();
    let relay = Relay::new(local.clone(), executor, Arc::new(ChannelDialer(links)), 1);
    spawn_local(async move {
        while let Some(link) = dialed.recv().await {
            spawn_local(answer_jobs(link));
        }
    });
    (local.clone(), Router::new(local, relay))
}

/// A lease, with tokens of the account "a" and none for later.
fn grant(local: &LocalState, tokens: f64) -> FleetGrant {
    let share =
        RateShare { account: "a".into(), rate: 0.0, prefetch: 0.0, tokens, total_share: 0.0 };
    let (sent, shares, positions) = (local.now(), vec![share], Vec::new());
    FleetGrant { sent, duration: 4_500, index: 1, shares, positions }
}

/// Guards against a backlog that uses up its attempts in the milliseconds between the view and the
/// assignment of connections, and is refused although it could run right after that.
#[test]
fn a_backlog_waits_for_the_assignment_of_connection_owners() {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let (local, router) = create_entry();
        assert!(local.apply_update(servers_update()));
        local.apply_grant(&grant(&local, 0.0));
        router.apply_view(&local.view());
        let backlog: Vec<_> = (0..BACKLOG)
            .map(|number| {
                let router = router.clone();
                spawn_local(async move {
                    let (answer, _) = router.run_first(read_at_primary(number)).await;
                    (answer, Instant::now())
                })
            })
            .collect();
        sleep(Duration::from_millis(400)).await;
        let assigned = Instant::now();
        assert!(local.apply_update(owners_update()));
        router.apply_view(&local.view());
        for statement in backlog {
            let (answer, at) = timeout(Duration::from_secs(3), statement).await.unwrap().unwrap();
            assert!(matches!(answer.end, Completion::Done(_)), "{:?}", answer.end);
            assert!(at >= assigned && at < assigned + Duration::from_millis(100));
        }
    });
}

/// Guards against operations that need a lost primary and use up the tokens of their account, so
/// that those that other servers could run are refused.
#[test]
fn operations_without_a_server_take_no_tokens() {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let (local, router) = create_entry();
        let account = AccountConfig {
            keys: Default::default(),
            rate: Some(10.0),
            burst: 10.0,
            priority: 1,
            homes: Default::default(),
        };
        let config = FleetConfig {
            version: 1,
            accounts: [("a".into(), account)].into(),
            ..FleetConfig::default()
        };
        let delta = EncodedConfigDelta::between(&FleetConfig::default(), &config).unwrap();
        assert!(
            local.apply_update(FleetUpdate { plan: Some(Arc::new(delta)), ..servers_update() })
        );
        assert!(local.apply_update(owners_update()));
        // The bucket starts with the first operation.
        assert!(!local.take_token("a"));
        local.apply_grant(&grant(&local, 3.0));
        router.apply_view(&local.view());
        let lost: Vec<_> = (0..10)
            .map(|number| {
                let mut task = read_at_primary(number);
                (task.job.group, task.job.remaining) = ("lost".into(), 300);
                let router = router.clone();
                spawn_local(async move { router.run_first(task).await.0 })
            })
            .collect();
        sleep(Duration::from_millis(100)).await;
        let (answer, _) = router.run_first(read_at_primary(10)).await;
        assert!(matches!(answer.end, Completion::Done(_)), "{:?}", answer.end);
        for operation in lost {
            assert_eq!(operation.await.unwrap().code(), Some(ErrorCode::Busy));
        }
        // The operation that ran has taken one of the three tokens.
        assert_eq!([(); 3].map(|()| local.take_token("a")), [true, true, false]);
    });
}

/// Guards against requests that are held until their deadline although no control leader has been
/// heard for far longer than an election and a recovery take.
#[test]
fn a_request_without_a_prospect_is_refused_at_once() {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let entry = SilentEntry::new();
        entry.pass(20_000);
        let reason = refused_at_once(entry.request()).await;
        assert!(reason.contains("no control leader for 20000 ms"), "{reason}");
        assert!(reason.contains("retry after 500 ms"), "{reason}");
        // A leader is heard again, and assigns the connections.
        entry.local.apply_grant(&grant(&entry.local, 0.0));
        let request = entry.request();
        sleep(AT_ONCE).await;
        assert!(!request.is_finished(), "a request is refused although a leader answers");
        entry.apply(owners_update());
        let answer = timeout(AT_ONCE, request).await.unwrap().unwrap();
        assert!(matches!(answer.end, Completion::Done(_)), "{:?}", answer.end);
    });
}

/// Guards against a request that waits on until its deadline once its prospect has gone.
#[test]
fn a_waiting_request_is_refused_once_it_has_no_prospect() {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let entry = SilentEntry::new();
        entry.pass(5_500);
        let request = entry.request();
        sleep(AT_ONCE).await;
        assert!(!request.is_finished(), "a request is refused during an election");
        entry.pass(500);
        let reason = refused_at_once(request).await;
        assert!(reason.contains("no control leader for 6000 ms"), "{reason}");
    });
}

/// Guards against requests that are refused during a fail-over of the control leader and of the
/// primary of usual length.
#[test]
fn a_fail_over_of_usual_length_is_waited_for() {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let entry = SilentEntry::new();
        entry.pass(1_000);
        let request = entry.request();
        for _ in 0..3 {
            entry.pass(500);
            sleep(Duration::from_millis(300)).await;
            assert!(!request.is_finished(), "a request is refused during a fail-over");
        }
        // A new leader is elected; it has no server for the request yet.
        entry.local.apply_grant(&grant(&entry.local, 0.0));
        sleep(Duration::from_millis(300)).await;
        entry.apply(owners_update());
        let answer = timeout(AT_ONCE, request).await.unwrap().unwrap();
        assert!(matches!(answer.end, Completion::Done(_)), "{:?}", answer.end);
    });
}

/// Guards against an entry that was suspended, heard nobody meanwhile, and refuses requests although
/// the leader answers its first renewal.
#[test]
fn a_resumed_entry_waits_for_its_leader() {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let entry = SilentEntry::new();
        entry.clock.0.fetch_add(20_000, Ordering::Relaxed);
        let request = entry.request();
        sleep(Duration::from_millis(200)).await;
        entry.local.record_run();
        sleep(Duration::from_millis(200)).await;
        assert!(!request.is_finished(), "a request is refused after a suspension");
        entry.local.apply_grant(&grant(&entry.local, 0.0));
        entry.apply(owners_update());
        let answer = timeout(AT_ONCE, request).await.unwrap().unwrap();
        assert!(matches!(answer.end, Completion::Done(_)), "{:?}", answer.end);
    });
}

/// Guards against a body that is forwarded to an entry away from the home regions, and against a
/// refusal that is delayed although no server at home can run the statement.
#[test]
fn statements_with_homes_stay_at_home() {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let regions = |names: &[&str]| names.iter().map(|name| Arc::from(*name)).collect();
        let ask = async |owner: &str, route: &[&str], account: &[&str]| {
            let (local, router) = create_entry();
            assert!(local.apply_update(servers_update()));
            let mut update = owners_update();
            let owner = ConnectionOwner {
                entry: name("10.0.0.2"),
                domain: format!("{owner}-a").as_str().into(),
                region: owner.into(),
                connections: 4,
                cold_rate: None,
            };
            let owners = BTreeMap::from([("s1".into(), vec![owner])]);
            update.holders = Some(Changes::from_all(owners));
            assert!(local.apply_update(update));
            local.apply_grant(&grant(&local, 0.0));
            router.apply_view(&local.view());
            let homes = HomeRegions::new(&regions(route), Some(&regions(account)));
            let started = Instant::now();
            let (answer, _) = router.run_first(StatementTask { homes, ..read_at_primary(1) }).await;
            (answer.code(), started.elapsed() < Duration::from_millis(300))
        };
        // The server and the entry are in "r".
        assert_eq!(ask("r", &["r"], &["r", "other"]).await, (None, true));
        assert_eq!(ask("away", &[], &[]).await, (None, true));
        assert_eq!(ask("away", &["r"], &[]).await, (Some(ErrorCode::Busy), true));
        assert_eq!(ask("r", &["other"], &[]).await, (Some(ErrorCode::Busy), true));
        assert_eq!(ask("r", &["r"], &["other"]).await, (Some(ErrorCode::Busy), true));
    });
}
