//! The control thread: agreement, leases and the replicated state.
//!
//! One thread owns all control state. Traffic threads see it through [`Handle`]: a watched view, the
//! end of the lease, and proposals.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
};

use auburnlug_protocol::peer;
use auburnlug_state::{Applied, Command, Instance, Machine, Millis, Name, Server};
use tokio::sync::{mpsc, oneshot, watch};

use crate::{
    Result,
    clock::Clock,
    control_core::Core,
    disk::Disk,
    link::{Dial, Link},
    socket::{Accepted, Identity},
    view::{Control, Proposal, View},
};

/// Inputs that may wait for the control thread.
const QUEUE: usize = 8192;

/// What the control thread needs.
pub struct Options {
    /// Record of this instance.
    pub instance: Instance,
    /// Control members: names and addresses of their peer listeners.
    pub members: BTreeMap<Name, SocketAddr>,
    /// Data folder; `None` without the control role.
    pub disk: Option<Box<dyn Disk>>,
    /// Whether a refused connect proves that a process has ended.
    pub trust: bool,
    /// Time.
    pub clock: Arc<dyn Clock>,
    /// Opens links to control members.
    pub dial: Arc<dyn Dial<peer::Control>>,
    /// Listener for links.
    pub listener: std::net::TcpListener,
    /// Takes the sockets of traffic links.
    pub traffic: mpsc::Sender<std::net::TcpStream>,
    /// Identity on links, and source address of outbound connections.
    pub identity: Arc<Identity>,
}

/// An input of the control thread.
#[derive(Debug)]
pub(crate) enum Input {
    Accepted(Box<Accepted>),
    Dialed { member: Name, link: Option<Link<peer::Control>> },
    Message { link: u64, message: peer::Control },
    Closed { link: u64 },
    Refused { instance: Name, incarnation: u64 },
    Propose { command: Command, reply: oneshot::Sender<Option<Applied>> },
    Announce { server: Server, reply: oneshot::Sender<Announced> },
    Stop { reply: oneshot::Sender<()> },
}

/// What became of a server's announcement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Announced {
    /// It is known or has been passed on.
    Accepted,
    /// It contradicts the recorded state.
    Refused(&'static str),
}

/// What the status page shows of the control thread.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Status {
    /// Whether this instance leads the control group.
    pub leads: bool,
    /// Member that leads, as far as known.
    pub leader: Option<Name>,
    /// Term of the agreement, on control members.
    pub term: u64,
    /// Time at which the version in force was last confirmed; 0 for never.
    pub confirmed: Millis,
}

/// Access to the control thread.
#[derive(Clone)]
pub struct Handle {
    input: mpsc::Sender<Input>,
    view: watch::Receiver<Arc<View>>,
    status: watch::Receiver<Status>,
    lease: Arc<AtomicU64>,
    clock: Arc<dyn Clock>,
}

impl Handle {
    /// Reports a server's announcement.
    pub async fn announce(&self, server: Server) -> Announced {
        let (reply, answer) = oneshot::channel();
        let _ = self.input.send(Input::Announce { server, reply }).await;
        answer.await.unwrap_or(Announced::Refused("stopping"))
    }

    /// State of the control thread.
    pub fn status(&self) -> Status {
        self.status.borrow().clone()
    }

    /// Gives up the lease and all shards, then ends the thread.
    pub async fn stop(&self) {
        let (reply, answer) = oneshot::channel();
        if self.input.send(Input::Stop { reply }).await.is_ok() {
            let _ = answer.await;
        }
    }
}

impl Control for Handle {
    fn view(&self) -> watch::Receiver<Arc<View>> {
        self.view.clone()
    }

    fn lease(&self) -> Millis {
        self.lease.load(Ordering::Acquire)
    }

    fn now(&self) -> Millis {
        self.clock.now()
    }

    fn propose(&self, command: Command) -> Proposal {
        let input = self.input.clone();
        Box::pin(async move {
            let (reply, answer) = oneshot::channel();
            input.send(Input::Propose { command, reply }).await.ok()?;
            answer.await.ok()?
        })
    }
}

/// Ends of the channels that belong to the control thread.
pub(crate) struct Outputs {
    pub(crate) view: watch::Sender<Arc<View>>,
    pub(crate) status: watch::Sender<Status>,
    pub(crate) lease: Arc<AtomicU64>,
}

/// Starts the control thread; `failed` fires if its disk fails.
///
/// # Errors
///
/// The data folder cannot be read, or the thread cannot be started.
pub fn start(options: Options, failed: oneshot::Sender<String>) -> Result<Handle> {
    let (input, inputs) = mpsc::channel(QUEUE);
    let machine = Arc::new(Machine::default());
    let view = View {
        me: options.instance.name.clone(),
        machine,
        stopping: false,
        release: BTreeMap::new(),
    };
    let (view_out, view) = watch::channel(Arc::new(view));
    let (status_out, status) = watch::channel(Status::default());
    let lease = Arc::new(AtomicU64::new(0));
    let outputs = Outputs { view: view_out, status: status_out, lease: lease.clone() };
    let handle = Handle { input: input.clone(), view, status, lease, clock: options.clock.clone() };
    let core = Core::new(options, outputs, input)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    thread::Builder::new().name("control".into()).spawn(move || {
        if let Err(e) = runtime.block_on(core.run(inputs)) {
            let _ = failed.send(e.to_string());
        }
    })?;
    Ok(handle)
}
