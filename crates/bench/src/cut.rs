//! Peers that a stand-in server does not talk to.
//!
//! A cut is silent: bytes wait, as they would while a network drops packets, and pass once the
//! cut is lifted. Nothing is closed.

use std::{collections::BTreeSet, net::IpAddr};

use tokio::sync::watch;

/// Direction, as seen by the server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Way {
    /// From the peer.
    In,
    /// To the peer.
    Out,
}

/// The cuts in force; no peer stands for all peers.
#[derive(Debug, Default)]
pub struct Cuts {
    rules: watch::Sender<BTreeSet<(Option<IpAddr>, Way)>>,
}

impl Cuts {
    /// Cuts a direction to one peer or to all.
    pub fn cut(&self, peer: Option<IpAddr>, way: Way) {
        self.rules.send_modify(|rules| {
            rules.insert((peer, way));
        });
    }

    /// Lifts the cuts of one peer, or all cuts.
    pub fn heal(&self, peer: Option<IpAddr>) {
        self.rules.send_modify(|rules| match peer {
            Some(_) => rules.retain(|(p, _)| *p != peer),
            None => rules.clear(),
        });
    }

    /// Whether a direction to `peer` is cut.
    pub fn blocked(&self, peer: IpAddr, way: Way) -> bool {
        blocked(&self.rules.borrow(), peer, way)
    }

    /// Waits until the direction is not cut.
    pub async fn pass(&self, peer: IpAddr, way: Way) {
        let mut rules = self.rules.subscribe();
        let _ = rules.wait_for(|r| !blocked(r, peer, way)).await;
    }
}

fn blocked(rules: &BTreeSet<(Option<IpAddr>, Way)>, peer: IpAddr, way: Way) -> bool {
    rules.contains(&(None, way)) || rules.contains(&(Some(peer), way))
}
