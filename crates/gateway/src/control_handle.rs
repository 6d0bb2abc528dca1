//! Requests of operators and servers to a control member.

use std::{collections::BTreeSet, sync::Arc};

use auburnlug_state::{
    Name,
    fleet::{Backend, FleetConfig, Incarnation},
    limits,
};
use auburnlug_transport::event::{Event, log};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc, oneshot};

/// Answer of a control member to a request from outside.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ControlReply<T> {
    /// The request succeeded.
    Done(T),
    /// Another control member leads.
    NotLeader(Name),
    /// No leader is known, or the effect is not known.
    Unavailable,
    /// The request was not carried out, as earlier ones take all the room.
    Busy,
    /// The request was not carried out: it names a failure domain that is not known.
    UnknownDomain,
    /// The heartbeat was not used.
    Unused,
}

impl<T> ControlReply<T> {
    /// The reply with another value.
    pub fn map<U>(self, change: impl FnOnce(T) -> U) -> ControlReply<U> {
        match self {
            ControlReply::Done(value) => ControlReply::Done(change(value)),
            ControlReply::NotLeader(leader) => ControlReply::NotLeader(leader),
            ControlReply::Unavailable => ControlReply::Unavailable,
            ControlReply::Busy => ControlReply::Busy,
            ControlReply::UnknownDomain => ControlReply::UnknownDomain,
            ControlReply::Unused => ControlReply::Unused,
        }
    }
}

/// Heartbeat of a server.
#[derive(Debug, Clone, PartialEq)]
pub struct Heartbeat {
    /// Properties that the server reports.
    pub backend: Backend,
    /// Sequence number within the incarnation of the server.
    pub sequence: u64,
    /// Whether the server reports itself as primary of its group.
    pub claims_primary: bool,
}

/// A request to the control thread.
#[derive(Debug)]
pub enum ControlRequest {
    /// Puts a configuration in force.
    DeployConfig {
        /// Decoded configuration.
        plan: Arc<FleetConfig>,
        /// Document as received.
        document: Arc<str>,
        /// Answer.
        reply: oneshot::Sender<ControlReply<()>>,
    },
    /// Reads the configuration in force.
    ReadConfig {
        /// Receives the document; empty before the first configuration.
        reply: oneshot::Sender<ControlReply<Arc<str>>>,
    },
    /// Handles a heartbeat of a server.
    Heartbeat {
        /// Heartbeat.
        beat: Box<Heartbeat>,
        /// Receives the control member that is to receive the server's next heartbeats.
        reply: oneshot::Sender<ControlReply<Name>>,
    },
    /// Removes a server whose process has ended.
    RemoveServer {
        /// Server.
        id: Arc<str>,
        /// Incarnation that ended, if known.
        run: Option<Incarnation>,
        /// Answer.
        reply: oneshot::Sender<ControlReply<()>>,
    },
    /// Starts or ends the evacuation of a failure domain.
    Evacuate {
        /// Failure domain.
        domain: Arc<str>,
        /// Whether the evacuation starts.
        begin: bool,
        /// Answer.
        reply: oneshot::Sender<ControlReply<()>>,
    },
    /// Lists the evacuated failure domains.
    ListEvacuations {
        /// Receives the domains.
        reply: oneshot::Sender<ControlReply<BTreeSet<Arc<str>>>>,
    },
    /// Replaces the control members from the settings.
    Seeds(BTreeSet<Name>),
    /// Stops the control thread.
    Stop,
}

/// Sends requests to the control thread.
#[derive(Debug, Clone)]
pub struct ControlHandle {
    asks: mpsc::Sender<ControlRequest>,
    /// Bytes of documents that may still be received.
    documents: Arc<Semaphore>,
}

/// Room for a document, to be held until its change is answered.
#[derive(Debug)]
pub struct DocumentRoom {
    _permit: OwnedSemaphorePermit,
}

impl ControlHandle {
    /// A handle that sends requests through `asks`.
    pub fn new(asks: mpsc::Sender<ControlRequest>) -> ControlHandle {
        ControlHandle { asks, documents: Arc::new(Semaphore::new(limits::DOCUMENTS_BYTES)) }
    }

    /// Takes room for a document of `bytes` before it is received; `None` if earlier ones take too
    /// much.
    pub fn reserve_document(&self, bytes: usize) -> Option<DocumentRoom> {
        let permits = u32::try_from(bytes.min(limits::DOCUMENT_BYTES)).ok()?;
        match self.documents.clone().try_acquire_many_owned(permits) {
            Ok(permit) => Some(DocumentRoom { _permit: permit }),
            Err(_) => {
                let reason = "reason=documents_in_progress";
                log(Event::DeploymentRefused, format_args!("{reason} bytes={bytes}"));
                None
            }
        }
    }

    /// Puts a configuration in force.
    pub async fn deploy_config(
        &self,
        plan: Arc<FleetConfig>,
        document: Arc<str>,
    ) -> ControlReply<()> {
        self.request(|reply| ControlRequest::DeployConfig { plan, document, reply }).await
    }

    /// Reads the configuration in force.
    pub async fn read_config(&self) -> ControlReply<Arc<str>> {
        self.request(|reply| ControlRequest::ReadConfig { reply }).await
    }

    /// Handles a heartbeat of a server; returns the control member that is to receive the next ones.
    pub async fn send_heartbeat(&self, beat: Heartbeat) -> ControlReply<Name> {
        self.request(|reply| ControlRequest::Heartbeat { beat: Box::new(beat), reply }).await
    }

    /// Removes a server whose process has ended.
    pub async fn remove_server(&self, id: Arc<str>, run: Option<Incarnation>) -> ControlReply<()> {
        self.request(|reply| ControlRequest::RemoveServer { id, run, reply }).await
    }

    /// Starts or ends the evacuation of a failure domain.
    pub async fn evacuate(&self, domain: Arc<str>, begin: bool) -> ControlReply<()> {
        self.request(|reply| ControlRequest::Evacuate { domain, begin, reply }).await
    }

    /// Lists the evacuated failure domains.
    pub async fn list_evacuations(&self) -> ControlReply<BTreeSet<Arc<str>>> {
        self.request(|reply| ControlRequest::ListEvacuations { reply }).await
    }

    /// Sends a request that has no answer.
    pub async fn send(&self, ask: ControlRequest) {
        // The send fails only after the control thread has ended; the request is obsolete then.
        let _ = self.asks.send(ask).await;
    }

    async fn request<T>(
        &self,
        build: impl FnOnce(oneshot::Sender<ControlReply<T>>) -> ControlRequest,
    ) -> ControlReply<T> {
        let (reply, answer) = oneshot::channel();
        if self.asks.send(build(reply)).await.is_err() {
            return ControlReply::Unavailable;
        }
        answer.await.unwrap_or(ControlReply::Unavailable)
    }
}
