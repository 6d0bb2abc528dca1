//! What operators and servers ask of a control member.

use std::sync::Arc;

use auburnlug_state::{
    Name,
    fleet::{Backend, Plan, Run},
};
use tokio::sync::{mpsc, oneshot};

/// Answer of a control member to a request from outside.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome<T> {
    /// Done.
    Done(T),
    /// Another member leads.
    Elsewhere(Name),
    /// No leader is known, or the effect is not known.
    Unavailable,
}

/// Heartbeat of a server.
#[derive(Debug, Clone, PartialEq)]
pub struct Heartbeat {
    /// What the server says of itself.
    pub backend: Backend,
    /// Number of the heartbeat within the run.
    pub sequence: u64,
    /// Whether the server takes itself for the primary of its group.
    pub leads: bool,
}

/// A request to the control thread.
#[derive(Debug)]
pub enum Ask {
    /// Put a configuration in force.
    Deploy {
        /// Decoded configuration.
        plan: Arc<Plan>,
        /// Document as received.
        document: Arc<str>,
        /// Answer.
        reply: oneshot::Sender<Outcome<()>>,
    },
    /// Read the configuration in force.
    Read {
        /// Answer: the document, empty before the first.
        reply: oneshot::Sender<Outcome<Arc<str>>>,
    },
    /// Take a heartbeat.
    Beat {
        /// Heartbeat.
        beat: Box<Heartbeat>,
        /// Answer.
        reply: oneshot::Sender<Outcome<()>>,
    },
    /// Remove a server that has ended.
    Gone {
        /// Server.
        id: Arc<str>,
        /// Run that ended, if it is known.
        run: Option<Run>,
        /// Answer.
        reply: oneshot::Sender<Outcome<()>>,
    },
    /// Take these control members into account.
    Seeds(std::collections::BTreeSet<Name>),
    /// Stop.
    Stop,
}

/// Access to the control thread.
#[derive(Debug, Clone)]
pub struct Handle {
    asks: mpsc::Sender<Ask>,
}

impl Handle {
    /// Access through a channel.
    pub fn new(asks: mpsc::Sender<Ask>) -> Handle {
        Handle { asks }
    }

    /// Puts a configuration in force.
    pub async fn deploy(&self, plan: Arc<Plan>, document: Arc<str>) -> Outcome<()> {
        self.ask(|reply| Ask::Deploy { plan, document, reply }).await
    }

    /// Reads the configuration in force.
    pub async fn read(&self) -> Outcome<Arc<str>> {
        self.ask(|reply| Ask::Read { reply }).await
    }

    /// Takes a heartbeat.
    pub async fn beat(&self, beat: Heartbeat) -> Outcome<()> {
        self.ask(|reply| Ask::Beat { beat: Box::new(beat), reply }).await
    }

    /// Removes a server.
    pub async fn gone(&self, id: Arc<str>, run: Option<Run>) -> Outcome<()> {
        self.ask(|reply| Ask::Gone { id, run, reply }).await
    }

    /// Passes an order without an answer.
    pub async fn order(&self, ask: Ask) {
        // The control thread that has ended needs no order.
        let _ = self.asks.send(ask).await;
    }

    async fn ask<T>(&self, make: impl FnOnce(oneshot::Sender<Outcome<T>>) -> Ask) -> Outcome<T> {
        let (reply, answer) = oneshot::channel();
        if self.asks.send(make(reply)).await.is_err() {
            return Outcome::Unavailable;
        }
        answer.await.unwrap_or(Outcome::Unavailable)
    }
}
