//! The process of a stand-in server: listener, data file, announcements and shared state.

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
    Error, Node, Result, Sink, Step, announce,
    cut::{Cuts, Way},
    panel, record, replicate, session,
};

/// Period in which received entries become visible when replication lags.
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
    /// File with callers' keys, one a line, which must never be seen here.
    pub keys: Option<PathBuf>,
    /// File for the record of statements.
    pub record: Option<PathBuf>,
    /// File for the log; without one a restart starts empty.
    pub data: Option<PathBuf>,
    /// Whether to start as the primary of term 1.
    pub primary: bool,
    /// Primary to follow at the start.
    pub follow: Option<String>,
    /// Statements that run at once.
    pub slots: u32,
    /// Connections that may be open.
    pub connections: u32,
    /// Number of servers in the group.
    pub size: u32,
    /// Time to open a connection, in ms.
    pub connect: u64,
    /// Time that a statement holds its slot, in ms.
    pub service: u64,
    /// Delay before a replica shows received entries, in ms.
    pub lag: u64,
}

/// State that all tasks of a server share.
#[derive(Debug)]
pub struct Server {
    /// Options.
    pub options: Options,
    /// Random number of this run.
    pub incarnation: u64,
    /// Password that connections must give.
    pub password: Option<String>,
    /// Bearer secret of announcements.
    pub secret: String,
    /// Callers' keys.
    pub keys: Vec<String>,
    /// Peers that it does not talk to.
    pub cuts: Cuts,
    /// Statements that may run.
    pub slots: Semaphore,
    /// Open connections.
    pub open: AtomicUsize,
    /// Numbers for connections.
    pub numbers: AtomicU64,
    /// Statements that had to wait for a slot.
    pub excess: AtomicU64,
    /// Connections refused by the limit.
    pub refused: AtomicU64,
    /// Time of a statement, in ms.
    pub service: AtomicU64,
    /// Whether it announces that it is leaving.
    pub draining: AtomicBool,
    /// Cancel keys of the connections.
    pub cancels: session::Cancels,
    node: Mutex<Node>,
    record: Option<Sink>,
    data: Option<Sink>,
    /// Counts the changes of the node; replication waits on it.
    changed: watch::Sender<u64>,
}

impl Server {
    /// Reads the files of the options and sets up the state.
    ///
    /// # Errors
    /// A file cannot be read or opened.
    pub fn new(options: Options) -> Result<Arc<Server>> {
        let now = Instant::now();
        let mut node = match &options.data {
            Some(path) if path.exists() => Node::replay(&record::read::<Step>(path)?, now),
            _ => Node::new(now),
        };
        node.lag = Duration::from_millis(options.lag);
        let keys = secret(options.keys.as_ref())?.unwrap_or_default();
        let server = Server {
            incarnation: rand::random::<u64>() >> 1,
            password: secret(options.password.as_ref())?,
            secret: secret(options.secret.as_ref())?.unwrap_or_default(),
            keys: keys.split_whitespace().map(str::to_owned).collect(),
            cuts: Cuts::default(),
            slots: Semaphore::new(options.slots as usize),
            open: AtomicUsize::new(0),
            numbers: AtomicU64::new(1),
            excess: AtomicU64::new(0),
            refused: AtomicU64::new(0),
            service: AtomicU64::new(options.service),
            draining: AtomicBool::new(false),
            cancels: session::Cancels::default(),
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

    /// The node, for reading.
    pub fn node(&self) -> MutexGuard<'_, Node> {
        self.node.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the node, saves the steps and wakes the tasks that wait for changes.
    ///
    /// # Errors
    /// The data file cannot be written.
    pub fn update<T>(&self, change: impl FnOnce(&mut Node) -> T) -> Result<T> {
        let result = {
            let mut node = self.node();
            let result = change(&mut node);
            let steps = node.take_steps();
            if let Some(data) = &self.data
                && !steps.is_empty()
            {
                data.put(&steps)?;
            }
            result
        };
        self.changed.send_modify(|n| *n += 1);
        Ok(result)
    }

    /// Changes of the node.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Becomes the primary of `term`; `false` if that is refused.
    ///
    /// # Errors
    /// A file cannot be written.
    pub fn promote(&self, term: u64) -> Result<bool> {
        let before = self.node().primary;
        let done = self.update(|n| n.promote(term, Instant::now()))?.is_ok();
        if done && !before {
            let server = self.options.name.clone();
            self.note(&[record::Event::Promoted { time: record::now(), server, term }])?;
        }
        Ok(done)
    }

    /// Writes to the record of statements.
    ///
    /// # Errors
    /// The file cannot be written.
    pub fn note(&self, events: &[record::Event]) -> Result<()> {
        self.record.as_ref().map_or(Ok(()), |sink| sink.put(events))
    }

    /// Records if `text` contains a caller's key.
    ///
    /// # Errors
    /// The file cannot be written.
    pub fn inspect(&self, place: &str, text: &str) -> Result<()> {
        if !self.keys.iter().any(|k| text.contains(k.as_str())) {
            return Ok(());
        }
        let (server, place) = (self.options.name.clone(), place.to_owned());
        self.note(&[record::Event::Key { time: record::now(), server, place }])
    }
}

/// Runs a server until the process gets SIGTERM or Ctrl-C.
///
/// # Errors
/// An address is in use, or a file cannot be used.
pub async fn run(options: Options) -> Result<()> {
    let mut term = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())?;
    let (_, mut tasks) = start(options).await?;
    let ended = async {
        match tasks.join_next().await {
            Some(Ok(done)) => done,
            _ => Err(Error::Input("a task of the server ended early".into())),
        }
    };
    tokio::select! {
        done = ended => done,
        _ = term.recv() => Ok(()),
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
    tasks.spawn(apply(server.clone()));
    for address in server.options.announce.clone() {
        tasks.spawn(announce::run(server.clone(), address));
    }
    tasks.spawn(panel::serve(server.clone(), control));
    tasks.spawn(accept(server.clone(), listener));
    Ok((server, tasks))
}

/// Connects to `address` from the address that the server listens on, so that rules by source
/// address apply.
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

/// Serves one connection. A replica starts with a JSON object, a database client with the length
/// of its start-up message, whose first byte is 0.
async fn serve(server: Arc<Server>, stream: TcpStream, peer: IpAddr) -> Result<()> {
    stream.set_nodelay(true)?;
    let mut first = [0];
    if stream.peek(&mut first).await? == 0 {
        return Ok(());
    }
    server.cuts.pass(peer, Way::In).await;
    match first[0] {
        b'{' => replicate::serve(server, stream, peer).await,
        _ => session::serve(server, stream, peer).await,
    }
}

async fn apply(server: Arc<Server>) -> Result<()> {
    let mut changes = server.changes();
    loop {
        let lagging = {
            let mut node = server.node();
            node.apply_due(Instant::now());
            node.applied() < node.received()
        };
        if lagging {
            tokio::time::sleep(APPLY_PERIOD).await;
        } else {
            // The sender lives in the server, which this task holds.
            let _ = changes.changed().await;
        }
    }
}

fn secret(path: Option<&PathBuf>) -> Result<Option<String>> {
    let Some(path) = path else { return Ok(None) };
    match std::fs::read_to_string(path) {
        Ok(text) => Ok(Some(text.trim().to_owned())),
        Err(e) => Err(Error::Input(format!("{}: {e}", path.display()))),
    }
}

impl Server {
    /// Counts a connection in, unless the limit is reached.
    pub fn admit(&self) -> bool {
        let limit = self.options.connections as usize;
        let admitted = self
            .open
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |n| (n < limit).then_some(n + 1));
        if admitted.is_err() {
            self.refused.fetch_add(1, Ordering::Relaxed);
        }
        admitted.is_ok()
    }
}
