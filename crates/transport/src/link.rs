//! Links between instances.
//!
//! A link is a pair of bounded channels. Tasks copy messages between the channels and a socket;
//! they end when either side closes, and the receiver then yields `None`.

use std::{future::Future, net::SocketAddr, pin::Pin, time::Duration};

use auburnlug_state::{Name, limits};
use tokio::time::{Instant, sleep_until};

use crate::byte_channel::{Receiver, Sender, channel};

/// Bound of each direction of a link; large messages are bounded by [`limits::LINK_QUEUE_BYTES`].
const MAX_QUEUED_MESSAGES: usize = 4096;

/// An authenticated link to another instance.
#[derive(Debug)]
pub struct Link<M> {
    /// Instance at the other end.
    pub peer: Name,
    /// Messages to the peer.
    pub out: Sender<M>,
    /// Messages from the peer; yields `None` once the link is closed.
    pub inbox: Receiver<M>,
}

impl<M> Link<M> {
    /// The two ends of a link inside one process: first the end that `a` uses to reach `b`, then
    /// the end that `b` uses to reach `a`.
    pub fn pair(a: Name, b: Name) -> (Link<M>, Link<M>) {
        let (to_b, from_a) = channel(MAX_QUEUED_MESSAGES, limits::LINK_QUEUE_BYTES);
        let (to_a, from_b) = channel(MAX_QUEUED_MESSAGES, limits::LINK_QUEUE_BYTES);
        (Link { peer: b, out: to_b, inbox: from_b }, Link { peer: a, out: to_a, inbox: from_a })
    }
}

/// Future that opens a link; `None` if the peer is unreachable or fails authentication.
pub type Dialing<M> = Pin<Box<dyn Future<Output = Option<Link<M>>> + Send>>;

/// Opens links to other instances.
pub trait Dial<M>: Send + Sync {
    /// Opens a link to the instance `name` at `address`.
    fn dial(&self, name: Name, address: SocketAddr) -> Dialing<M>;
}

/// Opens a link. A dial that fails ends no sooner than `interval` after its start, so that it may be
/// repeated at once.
pub async fn dial_once_per<M>(interval: Duration, dialing: Dialing<M>) -> Option<Link<M>> {
    let next = Instant::now() + interval;
    let link = dialing.await;
    if link.is_none() {
        sleep_until(next).await;
    }
    link
}
