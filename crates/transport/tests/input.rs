//! Random input from callers.

#![allow(clippy::unwrap_used)]

mod common;

use common::{KEY, TestInstance, wait_until};
use proptest::{
    collection::vec,
    prelude::*,
    strategy::ValueTree,
    test_runner::{Config, RngSeed, TestRunner},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

const CASES: usize = 300;

fn frame(tag: u8, body: &[u8]) -> Vec<u8> {
    let mut out = Vec::new();
    if tag != 0 {
        out.push(tag);
    }
    out.extend((body.len() as u32 + 4).to_be_bytes());
    out.extend(body);
    out
}

/// Guards against messages that stop the proxy or leave a caller's transaction open. The codec
/// panics on some of them, and the proxy must catch the panic.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn random_messages_leave_no_open_transaction() {
    let instance = TestInstance::start(1).await;
    let mut runner = TestRunner::new(Config {
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..Config::default()
    });
    let tags = prop::sample::select(b"QPBDECSHXpdfcF\0\xff".to_vec());
    let message = (tags, vec(prop_oneof![Just(0u8), Just(1), Just(b'S'), any::<u8>()], 0..24));
    let session = (any::<bool>(), vec(message, 1..6), vec(any::<u8>(), 0..12));
    let mut begun = 0;
    for _ in 0..CASES {
        let (started, messages, tail) = session.new_tree(&mut runner).unwrap().current();
        let mut bytes = Vec::new();
        if started {
            bytes.extend(frame(0, b"\0\x03\0\0user\0sohar\0database\0loans\0\0"));
            bytes.extend(frame(b'p', format!("{KEY}\0").as_bytes()));
            bytes.extend(frame(b'Q', b"begin\0"));
            begun += 1;
        }
        for (tag, body) in messages {
            bytes.extend(frame(tag, &body));
        }
        bytes.extend(tail);
        let mut stream = TcpStream::connect(("127.0.0.1", instance.port)).await.unwrap();
        // The proxy may close the connection before it has read everything.
        let _ = stream.write_all(&bytes).await;
        let _ = stream.shutdown().await;
        let _ = stream.read_to_end(&mut Vec::new()).await;
    }
    assert!(begun > 0);
    wait_until(|| instance.metrics.text().contains("auburnlug_callers 0\n")).await;
    // Without free slots the next request would be refused.
    instance.connect().await.simple_query("select status").await.unwrap();
}
