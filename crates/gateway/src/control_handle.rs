//! Requests of operators and servers to a control member.

use std::sync::Arc;

use auburnlug_state::{
    Name,
    fleet::{Backend, Plan, Run},
};
use tokio::sync::{mpsc, oneshot};

/// Answer of a control member to a request from outside.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome<T> {
    /// The request succeeded.
    Done(T),
    /// Another control member leads.
    Elsewhere(Name),
    /// No leader is known, or the effect is not known.
    Unavailable,
}

/// Heartbeat of a server.
#[derive(Debug, Clone, PartialEq)]
pub struct Heartbeat {
    /// Properties that the server reports.
    pub backend: Backend,
    /// Sequence number within the incarnation of the server.
    pub sequence: u64,
    /// Whether the server reports itself as primary of its group.
    pub leads: bool,
}

/// A request to the control thread.
#[derive(Debug)]
pub enum Ask {
    /// Puts a configuration in force.
    DeployConfig {
        /// Decoded configuration.
        plan: Arc<Plan>,
        /// Document as received.
        document: Arc<str>,
        /// Answer.
        reply: oneshot::Sender<Outcome<()>>,
    },
    /// Reads the configuration in force.
    ReadConfig {
        /// Receives the document; empty before the first configuration.
        reply: oneshot::Sender<Outcome<Arc<str>>>,
    },
    /// Handles a heartbeat of a server.
    Heartbeat {
        /// Heartbeat.
        beat: Box<Heartbeat>,
        /// Answer.
        reply: oneshot::Sender<Outcome<()>>,
    },
    /// Removes a server whose process has ended.
    RemoveServer {
        /// Server.
        id: Arc<str>,
        /// Incarnation that ended, if known.
        run: Option<Run>,
        /// Answer.
        reply: oneshot::Sender<Outcome<()>>,
    },
    /// Replaces the control members from the settings.
    Seeds(std::collections::BTreeSet<Name>),
    /// Stops the control thread.
    Stop,
}

/// Sends requests to the control thread.
#[derive(Debug, Clone)]
pub struct Handle {
    asks: mpsc::Sender<Ask>,
}

impl Handle {
    /// A handle that sends requests through `asks`.
    pub fn new(asks: mpsc::Sender<Ask>) -> Handle {
        Handle { asks }
    }

    /// Puts a configuration in force.
    pub async fn deploy(&self, plan: Arc<Plan>, document: Arc<str>) -> Outcome<()> {
        self.request(|reply| Ask::DeployConfig { plan, document, reply }).await
    }

    /// Reads the configuration in force.
    pub async fn read(&self) -> Outcome<Arc<str>> {
        self.request(|reply| Ask::ReadConfig { reply }).await
    }

    /// Handles a heartbeat of a server.
    pub async fn beat(&self, beat: Heartbeat) -> Outcome<()> {
        self.request(|reply| Ask::Heartbeat { beat: Box::new(beat), reply }).await
    }

    /// Removes a server whose process has ended.
    pub async fn gone(&self, id: Arc<str>, run: Option<Run>) -> Outcome<()> {
        self.request(|reply| Ask::RemoveServer { id, run, reply }).await
    }

    /// Sends a request that has no answer.
    pub async fn order(&self, ask: Ask) {
        // The send fails only after the control thread has ended; the request is obsolete then.
        let _ = self.asks.send(ask).await;
    }

    async fn request<T>(
        &self,
        build: impl FnOnce(oneshot::Sender<Outcome<T>>) -> Ask,
    ) -> Outcome<T> {
        let (reply, answer) = oneshot::channel();
        if self.asks.send(build(reply)).await.is_err() {
            return Outcome::Unavailable;
        }
        answer.await.unwrap_or(Outcome::Unavailable)
    }
}
