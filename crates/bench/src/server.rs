//! Stand-in server process: listeners, data file, background tasks and shared state.

use std::{
    net::{IpAddr, SocketAddr},
    path::PathBuf,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    sync::{Semaphore, watch},
    task::JoinSet,
};

use crate::{
    Error, LogRecord, Node, Result, Sink, announce, control_api,
    cut::{Cuts, Direction},
    record, replicate, session,
};

/// Polling interval for received entries that wait for their replication lag.
const APPLY_PERIOD: Duration = Duration::from_millis(1);

/// Options of a stand-in server.
#[derive(Debug, Clone)]
pub struct Options {
    /// Name.
    pub name: String,
    /// Database group.
    pub group: String,
    /// Failure domain.
    pub domain: String,
    /// Address for database connections and replicas.
    pub listen: SocketAddr,
    /// Address for control over HTTP.
    pub panel: SocketAddr,
    /// HTTP addresses of the instances to announce to.
    pub announce: Vec<SocketAddr>,
    /// File with the bearer secret of announcements.
    pub secret: Option<PathBuf>,
    /// File with the password that connections must give.
    pub password: Option<PathBuf>,
    /// File with callers' keys (client account and key per line), which must never reach a server.
    pub keys: Option<PathBuf>,
    /// File for the record of statements.
    pub record: Option<PathBuf>,
    /// File for the log; without it the server restarts without data.
    pub data: Option<PathBuf>,
    /// Whether to start as the primary of term 1.
    pub primary: bool,
    /// Primary to follow at the start.
    pub follow: Option<String>,
    /// Maximum number of concurrent statements.
    pub slots: u32,
    /// Maximum number of open connections.
    pub connections: u32,
    /// Number of servers in the group.
    pub size: u32,
    /// Time to open a connection, in ms.
    pub connect: u64,
    /// Time that a statement holds its slot, in ms.
    pub service: u64,
    /// Replication lag: delay before a replica applies received entries, in ms.
    pub lag: u64,
}

/// Shared state of the tasks of a server.
#[derive(Debug)]
pub struct Server {
    /// Options.
    pub options: Options,
    /// Random number of this process start.
    pub incarnation: u64,
    /// Password that connections must give.
    pub password: Option<String>,
    /// Bearer secret of announcements.
    pub secret: String,
    /// Callers' keys.
    pub keys: Vec<String>,
    /// Simulated network partitions.
    pub cuts: Cuts,
    /// Execution slots.
    pub slots: Semaphore,
    /// Number of open connections.
    pub open_connections: AtomicUsize,
    /// Number of the next connection.
    pub next_connection: AtomicU64,
    /// Number of statements that had to wait for a slot.
    pub slot_waits: AtomicU64,
    /// Number of connections refused because of the limit.
    pub refused_connections: AtomicU64,
    /// Service time of a statement, in ms.
    pub service_ms: AtomicU64,
    /// Whether announcements report the server as draining.
    pub draining: AtomicBool,
    /// Cancel keys of the connections.
    pub cancel_keys: session::CancelKeys,
    node: Mutex<Node>,
    record: Option<Sink>,
    data: Option<Sink>,
    /// Counter of node changes, which wakes the replication tasks.
    changed: watch::Sender<u64>,
}

impl Server {
    /// Reads the files named in the options and creates the state.
    ///
    /// # Errors
    /// A file cannot be read or opened.
    pub fn new(options: Options) -> Result<Arc<Server>> {
        let now = Instant::now();
        let mut node = match &options.data {
            Some(path) if path.exists() => Node::replay(&record::read::<LogRecord>(path)?, now),
            _ => Node::new(now),
        };
        node.lag = Duration::from_millis(options.lag);
        let keys = read_secret(options.keys.as_ref())?.unwrap_or_default();
        let server = Server {
            incarnation: rand::random::<u64>() >> 1,
            password: read_secret(options.password.as_ref())?,
            secret: read_secret(options.secret.as_ref())?.unwrap_or_default(),
            keys: keys
                .lines()
                .filter_map(|l| l.split(' ').next_back())
                .filter(|k| !k.is_empty())
                .map(str::to_owned)
                .collect(),
            cuts: Cuts::default(),
            slots: Semaphore::new(options.slots as usize),
            open_connections: AtomicUsize::new(0),
            next_connection: AtomicU64::new(1),
            slot_waits: AtomicU64::new(0),
            refused_connections: AtomicU64::new(0),
            service_ms: AtomicU64::new(options.service),
            draining: AtomicBool::new(false),
            cancel_keys: session::CancelKeys::default(),
            record: options.record.as_deref().map(Sink::open).transpose()?,
            data: options.data.as_deref().map(Sink::open).transpose()?,
            changed: watch::Sender::new(0),
            node: Mutex::new(node),
            options,
        };
        let fresh = server.node().term == 0;
        if fresh && server.options.primary {
            server.promote(1)?;
        } else if fresh && let Some(address) = &server.options.follow {
            let _ = server.update(|n| n.follow(1, address, now))?;
        }
        Ok(Arc::new(server))
    }

    /// Locks the node for reading.
    pub fn node(&self) -> MutexGuard<'_, Node> {
        self.node.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the node, persists the resulting records and wakes the tasks that wait for changes.
    ///
    /// # Errors
    /// The data file cannot be written.
    pub fn update<T>(&self, change: impl FnOnce(&mut Node) -> T) -> Result<T> {
        let result = {
            let mut node = self.node();
            let result = change(&mut node);
            let records = node.take_records();
            if let Some(data) = &self.data
                && !records.is_empty()
            {
                data.put(&records)?;
            }
            result
        };
        self.changed.send_modify(|n| *n += 1);
        Ok(result)
    }

    /// Subscribes to changes of the node.
    pub fn subscribe_changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Becomes the primary of `term`; `false` if the node refuses the promotion.
    ///
    /// # Errors
    /// A file cannot be written.
    pub fn promote(&self, term: u64) -> Result<bool> {
        let before = self.node().primary;
        let done = self.update(|n| n.promote(term, Instant::now()))?.is_ok();
        if done && !before {
            let server = self.options.name.clone();
            self.record_events(&[record::Event::Promoted { time: record::now(), server, term }])?;
        }
        Ok(done)
    }

    /// Appends events to the record file, if there is one.
    ///
    /// # Errors
    /// The file cannot be written.
    pub fn record_events(&self, events: &[record::Event]) -> Result<()> {
        self.record.as_ref().map_or(Ok(()), |sink| sink.put(events))
    }

    /// Records an event if `text` contains a caller's key.
    ///
    /// # Errors
    /// The file cannot be written.
    pub fn record_key_sighting(&self, place: &str, text: &str) -> Result<()> {
        if !self.keys.iter().any(|k| text.contains(k.as_str())) {
            return Ok(());
        }
        let (server, place) = (self.options.name.clone(), place.to_owned());
        self.record_events(&[record::Event::Key { time: record::now(), server, place }])
    }
}

/// Runs a server until the process gets SIGTERM or Ctrl-C.
///
/// # Errors
/// An address is in use, or a file cannot be used.
pub async fn run(options: Options) -> Result<()> {
    let mut sigterm = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())?;
    let (_, mut tasks) = start(options).await?;
    let ended = async {
        match tasks.join_next().await {
            Some(Ok(done)) => done,
            _ => Err(Error::Input("a task of the server ended early".into())),
        }
    };
    tokio::select! {
        done = ended => done,
        _ = sigterm.recv() => Ok(()),
        _ = tokio::signal::ctrl_c() => Ok(()),
    }
}

/// Binds the addresses of a server and starts its tasks; dropping the tasks stops them.
///
/// # Errors
/// An address is in use, or a file cannot be used.
pub async fn start(mut options: Options) -> Result<(Arc<Server>, JoinSet<Result<()>>)> {
    let listener = TcpListener::bind(options.listen).await?;
    let control = TcpListener::bind(options.panel).await?;
    options.listen = listener.local_addr()?;
    options.panel = control.local_addr()?;
    let server = Server::new(options)?;
    let mut tasks = JoinSet::new();
    tasks.spawn(replicate::follow(server.clone()));
    tasks.spawn(apply_entries(server.clone()));
    for address in server.options.announce.clone() {
        tasks.spawn(announce::send_announcements(server.clone(), address));
    }
    tasks.spawn(control_api::serve(server.clone(), control));
    tasks.spawn(accept(server.clone(), listener));
    Ok((server, tasks))
}

/// Connects to `address` from the source address `from`, so that rules by source address apply.
///
/// # Errors
/// The connection fails.
pub async fn connect(from: IpAddr, address: SocketAddr) -> Result<TcpStream> {
    let socket = if from.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.bind(SocketAddr::new(from, 0))?;
    let stream = socket.connect(address).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

async fn accept(server: Arc<Server>, listener: TcpListener) -> Result<()> {
    loop {
        let (stream, peer) = listener.accept().await?;
        let server = server.clone();
        tokio::spawn(async move {
            let _ = serve(server, stream, peer.ip()).await;
        });
    }
}

/// Serves one connection. The first byte tells the protocol: a replica sends a JSON object, a
/// database client the length of its startup message, whose first byte is 0.
async fn serve(server: Arc<Server>, stream: TcpStream, peer: IpAddr) -> Result<()> {
    stream.set_nodelay(true)?;
    let mut first = [0];
    if stream.peek(&mut first).await? == 0 {
        return Ok(());
    }
    server.cuts.wait_unblocked(peer, Direction::Inbound).await;
    match first[0] {
        b'{' => replicate::serve_replica(server, stream, peer).await,
        _ => session::serve(server, stream, peer).await,
    }
}

async fn apply_entries(server: Arc<Server>) -> Result<()> {
    let mut changes = server.subscribe_changes();
    let mut recorded = (0, 0);
    loop {
        let (pending, visible, primary) = {
            let mut node = server.node();
            node.apply_due(Instant::now());
            (node.applied() < node.received(), node.visible(), node.primary)
        };
        if visible != recorded && !primary {
            let (time, (term, position)) = (record::now(), visible);
            let server_name = server.options.name.clone();
            server.record_events(&[record::Event::Applied {
                time,
                server: server_name,
                term,
                position,
            }])?;
        }
        recorded = visible;
        if pending {
            tokio::time::sleep(APPLY_PERIOD).await;
        } else {
            // Cannot fail: the sender is part of the server, which this task keeps alive.
            let _ = changes.changed().await;
        }
    }
}

fn read_secret(path: Option<&PathBuf>) -> Result<Option<String>> {
    let Some(path) = path else { return Ok(None) };
    match std::fs::read_to_string(path) {
        Ok(text) => Ok(Some(text.trim().to_owned())),
        Err(e) => Err(Error::Input(format!("{}: {e}", path.display()))),
    }
}

impl Server {
    /// Counts a new connection; `false` if the limit is reached.
    pub fn admit_connection(&self) -> bool {
        let limit = self.options.connections as usize;
        let admitted =
            self.open_connections
                .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |n| (n < limit).then_some(n + 1));
        if admitted.is_err() {
            self.refused_connections.fetch_add(1, Ordering::Relaxed);
        }
        admitted.is_ok()
    }
}
