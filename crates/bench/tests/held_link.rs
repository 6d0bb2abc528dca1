//! Links whose bytes are held up one way.

// The setting for tests in clippy.toml does not reach helper functions in test files.
#![allow(clippy::unwrap_used)]

use std::{net::SocketAddr, time::Duration};

use auburnlug_bench::held_link::{HeldLink, Way};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::timeout,
};

/// Time in which nothing must arrive over a link that is held up.
const HELD_TIME: Duration = Duration::from_millis(100);

/// Time within which bytes that pass have arrived.
const PASS_TIME: Duration = Duration::from_secs(5);

async fn read(stream: &mut TcpStream) -> Option<u8> {
    timeout(PASS_TIME, stream.read_u8()).await.ok()?.ok()
}

async fn is_silent(stream: &mut TcpStream) -> bool {
    timeout(HELD_TIME, stream.read_u8()).await.is_err()
}

/// Checks a link that holds up one way: the other way passes, and what was held up arrives later.
async fn check(way: Way, listen: SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let link = HeldLink::open(listen, listener.local_addr().unwrap()).await.unwrap();
    let mut near = TcpStream::connect(listen).await.unwrap();
    near.write_u8(1).await.unwrap();
    let (mut far, _) = listener.accept().await.unwrap();
    assert_eq!(read(&mut far).await, Some(1));
    link.hold_way(way);
    near.write_u8(2).await.unwrap();
    far.write_u8(3).await.unwrap();
    let (held, passing) = match way {
        Way::Forth => ((&mut far, 2), (&mut near, 3)),
        Way::Back => ((&mut near, 3), (&mut far, 2)),
    };
    assert_eq!(read(passing.0).await, Some(passing.1));
    assert!(is_silent(held.0).await);
    link.pass_way(way);
    assert_eq!(read(held.0).await, Some(held.1));
}

#[tokio::test]
async fn bytes_one_way_are_held_up_and_the_others_pass() {
    check(Way::Forth, SocketAddr::from(([127, 99, 250, 1], 17_560))).await;
    check(Way::Back, SocketAddr::from(([127, 99, 250, 2], 17_560))).await;
}
