//! Simulated network partitions between a stand-in server and its peers.
//!
//! A cut delays bytes, as a network that drops packets does, and delivers them after it is healed.
//! It closes no connection.

use std::{collections::BTreeSet, net::IpAddr};

use tokio::sync::watch;

/// Direction of traffic, as seen by the server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Direction {
    /// From the peer.
    Inbound,
    /// To the peer.
    Outbound,
}

/// Active cuts; a rule without a peer applies to all peers.
#[derive(Debug, Default)]
pub struct Cuts {
    rules: watch::Sender<BTreeSet<(Option<IpAddr>, Direction)>>,
}

impl Cuts {
    /// Blocks a direction for one peer, or for all peers if `peer` is `None`.
    pub fn cut(&self, peer: Option<IpAddr>, direction: Direction) {
        self.rules.send_modify(|rules| {
            rules.insert((peer, direction));
        });
    }

    /// Removes the cuts of one peer, or all cuts if `peer` is `None`.
    pub fn heal(&self, peer: Option<IpAddr>) {
        self.rules.send_modify(|rules| match peer {
            Some(_) => rules.retain(|(p, _)| *p != peer),
            None => rules.clear(),
        });
    }

    /// Whether a direction is blocked for `peer`.
    pub fn is_blocked(&self, peer: IpAddr, direction: Direction) -> bool {
        is_blocked(&self.rules.borrow(), peer, direction)
    }

    /// Waits until a direction is not blocked for `peer`.
    pub async fn wait_unblocked(&self, peer: IpAddr, direction: Direction) {
        let mut rules = self.rules.subscribe();
        let _ = rules.wait_for(|r| !is_blocked(r, peer, direction)).await;
    }
}

fn is_blocked(
    rules: &BTreeSet<(Option<IpAddr>, Direction)>,
    peer: IpAddr,
    direction: Direction,
) -> bool {
    rules.contains(&(None, direction)) || rules.contains(&(Some(peer), direction))
}
