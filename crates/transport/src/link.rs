//! Links between instances.
//!
//! A link is a pair of bounded channels. The tasks that move messages between the channels and a
//! socket end when either side closes, and the receiver then yields `None`.

use std::{future::Future, net::SocketAddr, pin::Pin};

use auburnlug_state::Name;
use tokio::sync::mpsc;

/// Messages that may wait in each direction of a link.
const QUEUE: usize = 4096;

/// An authenticated link to another instance.
#[derive(Debug)]
pub struct Link<M> {
    /// Instance at the other end.
    pub peer: Name,
    /// Messages to it.
    pub out: mpsc::Sender<M>,
    /// Messages from it; `None` once the link is closed.
    pub inbox: mpsc::Receiver<M>,
}

impl<M> Link<M> {
    /// Two ends of a link inside one process: the end held by `a` leads to `b`, and back.
    pub fn pair(a: Name, b: Name) -> (Link<M>, Link<M>) {
        let (to_b, from_a) = mpsc::channel(QUEUE);
        let (to_a, from_b) = mpsc::channel(QUEUE);
        (Link { peer: b, out: to_b, inbox: from_b }, Link { peer: a, out: to_a, inbox: from_a })
    }
}

/// Future link; `None` if the peer cannot be reached or is not authentic.
pub type Dialing<M> = Pin<Box<dyn Future<Output = Option<Link<M>>> + Send>>;

/// Opens links to other instances.
pub trait Dial<M>: Send + Sync {
    /// Opens a link to the instance `name` at `address`.
    fn dial(&self, name: Name, address: SocketAddr) -> Dialing<M>;
}
