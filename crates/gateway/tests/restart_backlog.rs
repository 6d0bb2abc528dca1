//! Statements that arrive while no server can run them: the backlog after a restart of all instances,
//! before the control leader has assigned connection owners, and operations that need a lost primary.

// The setting for tests in clippy.toml does not reach helper functions in test files.
#![allow(clippy::unwrap_used)]

use std::{collections::BTreeMap, net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use auburnlug_coordination::{changes::Changes, external_failover::Status};
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
    Name,
    fleet::{AccountConfig, Backend, FleetConfig, Incarnation},
};
use auburnlug_transport::{
    clock::SystemClock,
    link::{Dial, Dialing, Link},
};
use bytes::BytesMut;
use tokio::{
    runtime::Builder,
    sync::mpsc::{UnboundedSender, unbounded_channel},
    task::{LocalSet, spawn_local},
    time::{Instant, sleep, timeout},
};

/// Statements of the backlog; many times what a few attempts per server could use up.
const BACKLOG: usize = 200;

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
    StatementTask { job, need: DataRequirement::Primary, arrival: 0 }
}

/// An entry that can reach other entries.
fn create_entry() -> (Rc<LocalState>, Rc<Router>) {
    let identity = InstanceIdentity {
        name: name("10.0.0.1"),
        label: "entry".into(),
        region: "r".into(),
        domain: "d".into(),
        incarnation: 1,
    };
    let clock = Arc::new(SystemClock::start());
    let local = Rc::new(LocalState::new(identity, clock, Arc::new(GatewayMetrics::default())));
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
        let account =
            AccountConfig { keys: Default::default(), rate: Some(10.0), burst: 10.0, priority: 1 };
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
