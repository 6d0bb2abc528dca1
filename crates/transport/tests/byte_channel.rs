//! Tests of channels and links that are bounded by bytes.

// The exemption for tests in clippy.toml does not cover helper functions in test files.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use auburnlug_protocol::peer::ControlMessage;
use auburnlug_state::{Change, Command, Edit, Name, byte_size::ByteSize, limits};
use auburnlug_transport::{byte_channel::channel, link::Link};
use tokio::{
    sync::mpsc::error::{TryRecvError, TrySendError},
    time::timeout,
};

const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// A value of some bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Block(usize);

impl ByteSize for Block {
    fn byte_size(&self) -> usize {
        self.0
    }
}

fn name(text: &str) -> Name {
    Name::try_from(text).unwrap()
}

fn proposal(bytes: usize) -> ControlMessage {
    let edit = Edit::Publish("t".repeat(bytes));
    let change = Change { id: name("c"), operator: name("o"), base: 0, edit };
    ControlMessage::Propose { id: 1, command: Command::Configure(change) }
}

#[test]
fn a_link_that_nobody_reads_holds_few_bytes() {
    // Guards against the queue of an unresponsive instance that takes all memory, as 4,096 messages
    // may be gigabytes.
    let (near, _far) = Link::<ControlMessage>::pair(name("a"), name("b"));
    let message = proposal(100_000);
    let sent = (0..4_096).take_while(|_| near.out.try_send(message.clone()).is_ok()).count();
    assert_eq!(sent, limits::LINK_QUEUE_BYTES / message.byte_size());
}

#[test]
fn small_messages_are_bounded_by_their_number() {
    // Guards against a bound in bytes that takes the room for the bursts of small messages.
    let (near, _far) = Link::<ControlMessage>::pair(name("a"), name("b"));
    let message = ControlMessage::Leave { incarnation: 1 };
    let sent = (0..5_000).take_while(|_| near.out.try_send(message.clone()).is_ok()).count();
    assert_eq!(sent, 4_096);
}

#[test]
fn a_value_above_the_bound_passes_beside_small_ones() {
    // Guards against a configuration that is never sent because it is larger than the queue, or
    // because the queue is never empty.
    let (sender, mut receiver) = channel(100, 1_000);
    sender.try_send(Block(400)).unwrap();
    sender.try_send(Block(5_000)).unwrap();
    assert!(matches!(sender.try_send(Block(200)), Err(TrySendError::Full(Block(200)))));
    sender.try_send(Block(100)).unwrap();
    assert_eq!(receiver.try_recv(), Ok(Block(400)));
    assert_eq!(receiver.try_recv(), Ok(Block(5_000)));
    sender.try_send(Block(900)).unwrap();
    assert_eq!(receiver.try_recv(), Ok(Block(100)));
    assert_eq!(receiver.try_recv(), Ok(Block(900)));
    assert_eq!(receiver.try_recv(), Err(TryRecvError::Empty));
}

#[tokio::test]
async fn senders_wait_for_room_in_their_order() {
    // Guards against small messages that overtake a large one which waits.
    let (sender, mut receiver) = channel(100, 1_000);
    sender.send(Block(500)).await.unwrap();
    sender.send(Block(400)).await.unwrap();
    let waiting = sender.clone();
    let task = tokio::spawn(async move {
        waiting.send(Block(600)).await.unwrap();
        waiting.send(Block(1)).await.unwrap();
    });
    let mut received = Vec::new();
    for _ in 0..4 {
        received.push(timeout(WAIT_TIMEOUT, receiver.recv()).await.unwrap().unwrap().0);
    }
    assert_eq!(received, [500, 400, 600, 1]);
    task.await.unwrap();
}

#[tokio::test]
async fn a_waiting_sender_ends_with_the_receiver() {
    // Guards against tasks that wait for ever for room in the queue of a link that has ended.
    let (sender, receiver) = channel(100, 1_000);
    sender.send(Block(500)).await.unwrap();
    sender.send(Block(500)).await.unwrap();
    let waiting = sender.clone();
    let task = tokio::spawn(async move { waiting.send(Block(300)).await });
    tokio::task::yield_now().await;
    drop(receiver);
    assert!(timeout(WAIT_TIMEOUT, task).await.unwrap().unwrap().is_err());
    assert!(matches!(sender.try_send(Block(1)), Err(TrySendError::Closed(_))));
    timeout(WAIT_TIMEOUT, sender.closed()).await.unwrap();
}
