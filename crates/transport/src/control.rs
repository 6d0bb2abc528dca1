//! The control thread: Raft consensus, leases and the replicated state.
//!
//! One thread owns all control state. Traffic threads use a [`Handle`] to watch the state,
//! to read the end of the lease and to propose commands.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
};

use auburnlug_coordination::redundancy::Redundancy;
use auburnlug_protocol::peer;
use auburnlug_state::{
    Applied, Command, Instance, Machine, Millis, Name, Server, byte_size::ByteSize, limits,
};
use tokio::sync::{mpsc, oneshot, watch};

use crate::{
    Result,
    byte_channel::{Sender, channel},
    clock::Clock,
    control_core::Core,
    control_metrics::ControlMetrics,
    disk::Disk,
    link::{Dial, Link},
    socket::{Accepted, Identity},
    view::{Control, Proposal, View},
};

/// Inputs that wait for the control thread; large ones are bounded by [`limits::INPUT_QUEUE_BYTES`].
const MAX_QUEUED_INPUTS: usize = 8192;

/// Size of an input without a message or a command.
const SMALL_INPUT_BYTES: usize = 256;

/// Options of the control thread.
pub struct Options {
    /// Record of this instance.
    pub instance: Instance,
    /// Control members: names and addresses of their peer listeners.
    pub members: BTreeMap<Name, SocketAddr>,
    /// Data folder; `None` without the control role.
    pub disk: Option<Box<dyn Disk>>,
    /// Whether a refused connect proves that a process has ended.
    pub trust_refused: bool,
    /// Monotonic clock of the process.
    pub clock: Arc<dyn Clock>,
    /// Opens links to control members.
    pub dial: Arc<dyn Dial<peer::ControlMessage>>,
    /// Listener for links.
    pub listener: std::net::TcpListener,
    /// Receives the sockets of accepted traffic links.
    pub traffic: mpsc::Sender<std::net::TcpStream>,
    /// Identity on links, and source address of outbound connections.
    pub identity: Arc<Identity>,
    /// Metrics of the control member.
    pub metrics: ControlMetrics,
}

/// An input of the control thread.
#[derive(Debug)]
pub(crate) enum Input {
    Accepted(Box<Accepted>),
    Dialed { member: Name, link: Option<Link<peer::ControlMessage>> },
    Message { link: u64, message: peer::ControlMessage },
    Closed { link: u64 },
    ConnectRefused { instance: Name, incarnation: u64 },
    Propose { command: Command, reply: oneshot::Sender<Option<Applied>> },
    Announce { server: Server, reply: oneshot::Sender<AnnouncementResult> },
    Stop { reply: oneshot::Sender<()> },
}

impl ByteSize for Input {
    fn byte_size(&self) -> usize {
        let value = match self {
            Input::Message { message, .. } => message.byte_size(),
            Input::Propose { command, .. } => command.byte_size(),
            _ => 0,
        };
        SMALL_INPUT_BYTES + value
    }
}

/// Result of a server's announcement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnnouncementResult {
    /// It is recorded, proposed, or forwarded to the leader.
    Accepted,
    /// It contradicts the recorded state, for this reason.
    Refused(&'static str),
}

/// Status of the control thread, for the status page.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Status {
    /// Whether this instance leads the control group.
    pub leads: bool,
    /// Member that leads, as far as known.
    pub leader: Option<Name>,
    /// Disk losses that the control group tolerates; `None` unless this instance leads it.
    pub redundancy: Option<Redundancy>,
    /// Raft term of this control member; 0 on other instances.
    pub term: u64,
    /// Time at which the version in force was last confirmed; 0 for never.
    pub confirmed: Millis,
}

/// Access to the control thread.
#[derive(Clone)]
pub struct Handle {
    input: Sender<Input>,
    view: watch::Receiver<Arc<View>>,
    status: watch::Receiver<Status>,
    lease: Arc<AtomicU64>,
    clock: Arc<dyn Clock>,
}

impl Handle {
    /// Reports a server's announcement.
    pub async fn announce(&self, server: Server) -> AnnouncementResult {
        let (reply, answer) = oneshot::channel();
        let _ = self.input.send(Input::Announce { server, reply }).await;
        answer.await.unwrap_or(AnnouncementResult::Refused("stopping"))
    }

    /// Current status of the control thread.
    pub fn status(&self) -> Status {
        self.status.borrow().clone()
    }

    /// Releases the lease and all shards, then ends the thread.
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

/// Channel ends and shared values that the control thread writes.
pub(crate) struct Outputs {
    pub(crate) view: watch::Sender<Arc<View>>,
    pub(crate) status: watch::Sender<Status>,
    pub(crate) lease: Arc<AtomicU64>,
}

/// Starts the control thread; `failed` receives the reason if its disk fails.
///
/// # Errors
///
/// The data folder cannot be read, or the thread cannot be started.
pub fn start(options: Options, failed: oneshot::Sender<String>) -> Result<Handle> {
    let (input, inputs) = channel(MAX_QUEUED_INPUTS, limits::INPUT_QUEUE_BYTES);
    let machine = Arc::new(Machine::default());
    let view = View {
        instance: options.instance.name.clone(),
        machine,
        stopping: false,
        releasing: BTreeMap::new(),
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
