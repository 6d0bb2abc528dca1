//! Tests of links over loopback sockets.

use std::{
    net::SocketAddr,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use auburnlug_protocol::{
    auth::{Purpose, Secret},
    peer::{ControlMessage, TrafficMessage},
};
use auburnlug_state::Name;
use auburnlug_transport::{
    link::Dial,
    socket::{self, Accepted, CONNECT_INTERVALS_MS, Dialer, Identity},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    runtime::{Builder, Runtime},
    sync::{mpsc, oneshot},
    time::{sleep, timeout},
};

fn name(text: &str) -> Name {
    Name::try_from(text).expect("valid name")
}

fn identity(text: &str, secret: &str) -> Arc<Identity> {
    pinging_identity(text, secret, auburnlug_transport::socket::DEFAULT_PING_INTERVAL)
}

fn pinging_identity(text: &str, secret: &str, ping_interval: Duration) -> Arc<Identity> {
    Arc::new(Identity {
        name: name(text),
        secret: Secret::new(secret),
        source: None,
        links: Default::default(),
        control_ping: ping_interval,
        traffic_ping: ping_interval,
    })
}

fn single_thread() -> Runtime {
    Builder::new_current_thread().enable_all().build().expect("starts")
}

struct LinkListener {
    address: SocketAddr,
    control: mpsc::Receiver<Accepted>,
    traffic: mpsc::Receiver<std::net::TcpStream>,
}

async fn listen(me: Arc<Identity>) -> LinkListener {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let address = listener.local_addr().expect("bound");
    let (control_out, control) = mpsc::channel(4);
    let (traffic_out, traffic) = mpsc::channel(4);
    tokio::spawn(socket::listen(listener, me, control_out, traffic_out));
    LinkListener { address, control, traffic }
}

#[tokio::test]
async fn control_link_carries_messages_both_ways() {
    let mut listening = listen(identity("c1", "same")).await;
    let dialer = Dialer::<ControlMessage>::new(identity("e4", "same"), Purpose::Control);
    let mut near = dialer.dial(name("c1"), listening.address).await.expect("link");
    let accepted = listening.control.recv().await.expect("accepted");
    assert_eq!(accepted.peer, name("e4"));
    let mut far = accepted.link::<ControlMessage>();
    let messages =
        [ControlMessage::Leave { incarnation: 1 }, ControlMessage::Leave { incarnation: 2 }];
    for message in &messages {
        near.out.send(message.clone()).await.expect("open");
    }
    for message in &messages {
        assert_eq!(far.inbox.recv().await.as_ref(), Some(message));
    }
    far.out.send(messages[0].clone()).await.expect("open");
    assert_eq!(near.inbox.recv().await.as_ref(), Some(&messages[0]));
    drop(near);
    assert_eq!(far.inbox.recv().await, None);
}

#[tokio::test]
async fn traffic_sockets_go_to_the_traffic_threads() {
    let me = identity("e5", "same");
    let mut listening = listen(me.clone()).await;
    let dialer = Dialer::<TrafficMessage>::new(identity("e4", "same"), Purpose::Traffic);
    let dialing = tokio::spawn(dialer.dial(name("e5"), listening.address));
    let socket = listening.traffic.recv().await.expect("sorted by its first bytes");
    let accepted = socket::accept_traffic(socket, &me).await.expect("authentic");
    let near = dialing.await.expect("not cancelled").expect("link");
    let mut far = accepted.link::<TrafficMessage>();
    near.out.send(TrafficMessage::Cancel { stream: 9 }).await.expect("open");
    assert_eq!(far.inbox.recv().await, Some(TrafficMessage::Cancel { stream: 9 }));
}

/// Guards against links to an instance that does not have the cluster secret, and to an instance
/// that now uses the address of another.
#[tokio::test]
async fn unauthenticated_links_are_refused() {
    for (me, secret, meant) in [("c1", "other", "c1"), ("c1", "same", "c2")] {
        let mut listening = listen(identity(me, secret)).await;
        let dialer = Dialer::<ControlMessage>::new(identity("e4", "same"), Purpose::Control);
        assert!(dialer.dial(name(meant), listening.address).await.is_none(), "{me} {secret}");
        assert!(listening.control.try_recv().is_err());
    }
}

/// Guards against a connection that its sender has given up, as a dial does with attempts that it
/// no longer needs, and that keeps the listener busy until the timeout of the handshake.
#[tokio::test]
async fn an_abandoned_connection_is_closed_at_once() {
    let listening = listen(identity("c1", "same")).await;
    let mut connection = TcpStream::connect(listening.address).await.expect("connects");
    connection.shutdown().await.expect("is open");
    // The timeout of the handshake is two seconds.
    let closed = timeout(Duration::from_secs(1), connection.read(&mut [0])).await;
    assert!(matches!(closed, Ok(Ok(0))), "{closed:?}");
}

/// Guards against members that stay without a link for up to 800 ms after a cut between them has
/// healed, as the attempt in progress was lost in it.
#[tokio::test]
async fn a_connect_follows_the_end_of_a_cut_at_once() {
    for healed in [200, 450, 700, 950] {
        let start = Instant::now();
        let lost_until = start + Duration::from_millis(healed);
        let attempt = || async move {
            if Instant::now() < lost_until {
                std::future::pending::<()>().await;
            }
            Ok(())
        };
        let connected = socket::repeat_attempts(&CONNECT_INTERVALS_MS, attempt).await;
        assert!(connected.is_ok(), "healed after {healed} ms");
        // A quarter of a second until the next attempt, and as much again on a busy machine.
        assert!(lost_until.elapsed() < Duration::from_millis(500), "healed after {healed} ms");
    }
}

/// Guards against machines that answer a connect too slowly for each single attempt, and that are
/// never reached.
#[tokio::test]
async fn a_slow_connect_completes() {
    let attempt = || async {
        sleep(Duration::from_millis(1_000)).await;
        Ok(())
    };
    assert!(socket::repeat_attempts(&CONNECT_INTERVALS_MS, attempt).await.is_ok());
}

/// Guards against a dead address that is sent more and more connects: a dial makes at most four a
/// second.
#[tokio::test]
async fn attempts_at_a_dead_address_are_bounded() {
    let (attempt_count, start) = (std::cell::Cell::new(0), Instant::now());
    let attempt = || {
        attempt_count.set(attempt_count.get() + 1);
        std::future::pending::<std::io::Result<()>>()
    };
    assert!(socket::repeat_attempts(&CONNECT_INTERVALS_MS, attempt).await.is_err());
    assert!(start.elapsed() * 4 >= Duration::from_secs(attempt_count.get()));
}

/// Guards against a second without links after a power loss of all machines: the first packet to a
/// machine that is not up yet is lost, and the operating system retransmits it only after a second.
#[tokio::test]
async fn lost_connects_are_retried_within_a_second() {
    let lost = std::cell::Cell::new(2);
    let start = std::time::Instant::now();
    let attempt = || async {
        if lost.get() > 0 {
            lost.set(lost.get() - 1);
            std::future::pending::<()>().await;
        }
        Ok(7)
    };
    let connected = auburnlug_transport::socket::repeat_attempts(&[250, 400, 800], attempt).await;
    assert_eq!(connected.unwrap(), 7);
    assert!(start.elapsed() < std::time::Duration::from_secs(1));
}

/// Guards against further attempts after the machine has refused the connection.
#[tokio::test]
async fn refused_connection_ends_the_attempts() {
    let attempt_count = std::cell::Cell::new(0);
    let attempt = || async {
        attempt_count.set(attempt_count.get() + 1);
        Err::<(), _>(std::io::ErrorKind::ConnectionRefused.into())
    };
    assert!(auburnlug_transport::socket::repeat_attempts(&[250, 400], attempt).await.is_err());
    assert_eq!(attempt_count.get(), 1);
}

/// Guards against an end of a link that closes it after its own thread has been blocked, although
/// messages have arrived meanwhile.
#[test]
fn a_blocked_thread_does_not_close_its_links() {
    let ping_interval = Duration::from_millis(200);
    let (address_out, address) = oneshot::channel();
    thread::spawn(move || {
        single_thread().block_on(async move {
            let mut listening =
                listen(pinging_identity("c1", "same", Duration::from_secs(10))).await;
            address_out.send(listening.address).expect("is awaited");
            let far = listening.control.recv().await.expect("accepted").link::<ControlMessage>();
            while far.out.send(ControlMessage::Leave { incarnation: 1 }).await.is_ok() {
                sleep(Duration::from_millis(5)).await;
            }
        });
    });
    single_thread().block_on(async move {
        let identity = pinging_identity("e4", "same", ping_interval);
        let dialer = Dialer::<ControlMessage>::new(identity, Purpose::Control);
        let dialing = dialer.dial(name("c1"), address.await.expect("listens"));
        let mut near = dialing.await.expect("link");
        for round in 0..5 {
            thread::sleep(6 * ping_interval);
            for _ in 0..50 {
                assert!(near.inbox.recv().await.is_some(), "the link is closed in round {round}");
            }
        }
    });
}
