//! A control member outside its group, and the links on which it looks for the group.

// The setting for tests in clippy.toml does not reach helper functions in test files.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::{collections::BTreeSet, net::SocketAddr, sync::Arc, thread, time::Duration};

use auburnlug_coordination::client_budget::ProcessLimits;
use auburnlug_coordination::{external_failover::Status, raft::Members};
use auburnlug_gateway::{
    control::{self, ControlOptions},
    leader_lease::LeaderLease,
    local_state::InstanceIdentity,
    metrics::GatewayMetrics,
    wire::{
        DecodeError, Ports, Promoter, PromotionFuture, PromotionOrder, ServerCall, ServerReply,
        ServerWire,
    },
};
use auburnlug_protocol::{auth::Secret, fleet::FleetMessage, job::Answer, peer::ControlMessage};
use auburnlug_state::{Millis, Name};
use auburnlug_transport::{
    clock::Clock,
    disk_memory::MemoryDisk,
    link::Link,
    socket::{self, Accepted, Identity},
};
use bytes::BytesMut;
use tokio::{
    net::TcpListener,
    runtime::Builder,
    sync::mpsc,
    task::LocalSet,
    time::{sleep, timeout},
};

/// Time within which a message arrives, on a busy machine.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

const PORT: u16 = 7561;

fn address(host: u8) -> SocketAddr {
    ([127, 81, 1, host], PORT).into()
}

fn name(host: u8) -> Name {
    Name::try_from(address(host).ip().to_string()).unwrap()
}

fn identity(host: u8) -> Arc<Identity> {
    Arc::new(Identity {
        name: name(host),
        secret: Secret::new("test"),
        source: None,
        links: Default::default(),
        control_ping: socket::DEFAULT_PING_INTERVAL,
        traffic_ping: socket::DEFAULT_PING_INTERVAL,
    })
}

/// A clock that stands still, so that nothing is due after the start.
#[derive(Debug)]
struct StoppedClock;

impl Clock for StoppedClock {
    fn now(&self) -> Millis {
        0
    }
}

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

struct UnusedPromoter;

impl Promoter for UnusedPromoter {
    fn promote(&self, _: PromotionOrder, _: LeaderLease) -> PromotionFuture {
        panic!("a member without a group promotes nothing")
    }
}

/// Runs a control member without data, which knows another member.
fn run_member(host: u8, other: u8) {
    thread::spawn(move || {
        let runtime = Builder::new_current_thread().enable_all().build().unwrap();
        let links = std::net::TcpListener::bind(address(host)).unwrap();
        links.set_nonblocking(true).unwrap();
        let options = ControlOptions {
            me: InstanceIdentity {
                name: name(host),
                label: "member".into(),
                region: "r".into(),
                domain: "d".into(),
                incarnation: 1,
            },
            ports: Ports { control: PORT, traffic: PORT, operator: PORT },
            links,
            opening_room: socket::opening_room(ProcessLimits::default().link_openings()),
            seeds: BTreeSet::from([name(other)]),
            may_bootstrap: false,
            disk_losses: 0,
            disk: Box::new(MemoryDisk::new(Name::try_from("disk").unwrap())),
            identity: identity(host),
            clock: Arc::new(StoppedClock),
            server_wire: Arc::new(UnusedWire),
            promoter: Arc::new(UnusedPromoter),
            metrics: Arc::new(GatewayMetrics::default()),
        };
        let (_requests, receiver) = mpsc::channel(1);
        LocalSet::new().block_on(&runtime, control::run(options, receiver)).unwrap();
    });
}

/// Next message of a member about its group.
async fn next(link: &mut Link<FleetMessage>) -> ControlMessage {
    loop {
        let message = timeout(WAIT_TIMEOUT, link.inbox.recv()).await.expect("a message in time");
        if let FleetMessage::Member(message) = message.expect("the link is open") {
            return message;
        }
    }
}

async fn accept(accepted: &mut mpsc::Receiver<Accepted>) -> Link<FleetMessage> {
    timeout(WAIT_TIMEOUT, accepted.recv()).await.expect("a link in time").unwrap().link()
}

/// Guards against a member that wakes or returns, opens its links again, and lets up to 200 ms pass
/// on each of them until it looks for its group, and as much again until it asks to join.
#[test]
fn a_member_outside_its_group_asks_as_soon_as_a_link_opens() {
    let (host, other) = (1, 2);
    let runtime = Builder::new_multi_thread().worker_threads(1).enable_all().build().unwrap();
    runtime.block_on(async {
        let listener = TcpListener::bind(address(other)).await.unwrap();
        let (control, mut accepted) = mpsc::channel(4);
        tokio::spawn(socket::listen(listener, identity(other), control, mpsc::channel(1).0));
        run_member(host, other);
        let mut link = accept(&mut accepted).await;
        let ControlMessage::Probe { identity } = next(&mut link).await else { panic!("no probe") };
        drop(link);
        // It asks again on each link.
        let mut link = accept(&mut accepted).await;
        assert_eq!(next(&mut link).await, ControlMessage::Probe { identity: identity.clone() });
        let leader = Name::try_from(format!("{}.leader", name(other))).unwrap();
        let members = Members { voters: [leader.clone()].into(), ..Members::default() };
        let answer =
            ControlMessage::Probed { identity: leader, members: Some(members), last: (0, 0) };
        link.out.send(FleetMessage::Member(answer.clone())).await.unwrap();
        assert_eq!(next(&mut link).await, ControlMessage::Join { identity });
        // Another answer is no reason to ask again.
        link.out.send(FleetMessage::Member(answer)).await.unwrap();
        sleep(Duration::from_millis(300)).await;
        assert!(link.inbox.try_recv().is_err());
    });
}
