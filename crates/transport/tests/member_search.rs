//! A control member outside its group, and the links on which it looks for the group.

// The setting for tests in clippy.toml does not reach helper functions in test files.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use auburnlug_coordination::raft::Members;
use auburnlug_protocol::{
    auth::{Purpose, Secret},
    peer::ControlMessage,
};
use auburnlug_state::{Instance, Millis, Name};
use auburnlug_transport::{
    clock::Clock,
    control::{self, Handle, Options},
    control_metrics::ControlMetrics,
    disk_memory::MemoryDisk,
    link::Link,
    socket::{self, Accepted, Dialer, Identity},
};
use tokio::{
    net::TcpListener,
    sync::{mpsc, oneshot},
    time::{sleep, timeout},
};

/// Time within which a message arrives, on a busy machine.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

fn name(text: &str) -> Name {
    Name::try_from(text).unwrap()
}

fn identity(text: &str) -> Arc<Identity> {
    Arc::new(Identity {
        name: name(text),
        secret: Secret::new("same"),
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

/// Starts the member "c1" without data, which knows the member "c2" at `other`.
fn start(other: SocketAddr) -> Handle {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    let address = listener.local_addr().unwrap();
    let instance = Instance {
        name: name("c1"),
        incarnation: 1,
        peer: address,
        http: address,
        region: name("r"),
        domain: name("d"),
        entry: false,
    };
    let identity = identity("c1");
    let options = Options {
        instance,
        members: BTreeMap::from([(name("c1"), address), (name("c2"), other)]),
        disk: Some(Box::new(MemoryDisk::new(name("disk")))),
        trust_refused: true,
        clock: Arc::new(StoppedClock),
        dial: Arc::new(Dialer::new(identity.clone(), Purpose::Control)),
        listener,
        traffic: mpsc::channel(1).0,
        identity,
        metrics: ControlMetrics::default(),
    };
    control::start(options, oneshot::channel().0).unwrap()
}

/// Next message of a member about its group.
async fn next(link: &mut Link<ControlMessage>) -> ControlMessage {
    loop {
        let message = timeout(WAIT_TIMEOUT, link.inbox.recv()).await.expect("a message in time");
        let message = message.expect("the link is open");
        if matches!(message, ControlMessage::Probe { .. } | ControlMessage::Join { .. }) {
            return message;
        }
    }
}

async fn accept(accepted: &mut mpsc::Receiver<Accepted>) -> Link<ControlMessage> {
    timeout(WAIT_TIMEOUT, accepted.recv()).await.expect("a link in time").unwrap().link()
}

/// Guards against a member that wakes or returns, opens its links again, and lets up to 200 ms pass
/// on each of them until it looks for its group, and as much again until it asks to join.
#[tokio::test(flavor = "multi_thread")]
async fn a_member_outside_its_group_asks_as_soon_as_a_link_opens() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let handle = start(listener.local_addr().unwrap());
    let (control, mut accepted) = mpsc::channel(4);
    tokio::spawn(socket::listen(listener, identity("c2"), control, mpsc::channel(1).0));
    let mut link = accept(&mut accepted).await;
    let ControlMessage::Probe { identity } = next(&mut link).await else { panic!("no probe") };
    drop(link);
    // It asks again on each link.
    let mut link = accept(&mut accepted).await;
    assert_eq!(next(&mut link).await, ControlMessage::Probe { identity: identity.clone() });
    let members = Members { voters: [name("c2.leader")].into(), ..Members::default() };
    let answer = ControlMessage::Probed {
        identity: name("c2.leader"),
        members: Some(members),
        last: (0, 0),
    };
    link.out.send(answer.clone()).await.unwrap();
    assert_eq!(next(&mut link).await, ControlMessage::Join { identity });
    // Another answer is no reason to ask again.
    link.out.send(answer).await.unwrap();
    sleep(Duration::from_millis(300)).await;
    while let Ok(message) = link.inbox.try_recv() {
        assert!(!matches!(message, ControlMessage::Join { .. }));
    }
    handle.stop().await;
}
