//! One instance: its threads and listeners, and the order in which they start and stop.

use std::{
    fs,
    net::{SocketAddr, TcpListener},
    path::Path,
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use auburnlug_protocol::{
    Settings,
    auth::{Purpose, Secret},
    peer,
};
use auburnlug_state::Instance;
use tokio::{
    runtime::Builder,
    signal::unix::{SignalKind, signal},
    sync::{mpsc, oneshot},
};

use crate::{
    Category, Error, Result,
    clock::SystemClock,
    control::{self, Handle, Options},
    disk::{Disk, FileDisk},
    event::{Event, log},
    http::{self, Secrets},
    link::Link,
    metrics::Metrics,
    server::Credentials,
    socket::{self, Dialer, Identity},
    traffic::{self, TrafficConfig},
};

/// Bound of the queues of accepted sockets and of authenticated links.
const MAX_QUEUED_LINKS: usize = 1024;

/// Time for the load balancer to notice that the instance is not ready, before the instance stops
/// accepting connections.
const UNREADY_DELAY: Duration = Duration::from_millis(200);

/// Runs an instance until SIGTERM or SIGINT.
///
/// # Errors
///
/// A file cannot be read, a listener cannot be opened, or the data folder failed.
pub fn run(settings: &Settings) -> Result<()> {
    let runtime = Builder::new_multi_thread()
        .worker_threads(settings.traffic.threads)
        .enable_all()
        .build()?;
    let result = runtime.block_on(serve(settings));
    runtime.shutdown_timeout(Duration::from_millis(500));
    result
}

async fn serve(settings: &Settings) -> Result<()> {
    let files = Files::read(settings)?;
    let metrics = Arc::new(Metrics::default());
    let identity = Arc::new(Identity {
        name: settings.name.clone(),
        secret: files.cluster,
        source: settings.source,
        links: metrics.links.clone(),
        control_ping: socket::DEFAULT_PING_INTERVAL,
        traffic_ping: socket::DEFAULT_PING_INTERVAL,
    });
    let http = tokio::net::TcpListener::from_std(bind(settings.http.bind)?)?;
    let callers = settings.callers.map(bind).transpose()?;
    let (sockets_out, sockets) = mpsc::channel(MAX_QUEUED_LINKS);
    let (failed, failure) = oneshot::channel();
    let started = control_options(settings, &identity, &metrics, sockets_out)
        .and_then(|o| control::start(o, failed));
    let control = Arc::new(started.inspect_err(|e| {
        if e.category() == Category::Disk {
            log(Event::DiskFailed, format_args!("{e}"));
        }
    })?);
    let state = http::State::new(control.clone(), metrics.clone(), files.http);
    tokio::spawn(http::serve(http, state.clone()));
    let (links_out, links) = mpsc::channel(MAX_QUEUED_LINKS);
    tokio::spawn(accept_traffic(sockets, identity.clone(), links_out));
    let mut traffic = match callers {
        None => None,
        Some(listener) => {
            let config = TrafficConfig {
                callers: tokio::net::TcpListener::from_std(listener)?,
                credentials: files.database,
                source: settings.source,
                wait: settings.traffic.max_wait,
                policy: settings.traffic.policy,
            };
            let dial = Arc::new(Dialer::new(identity, Purpose::Traffic));
            Some(traffic::start(config, control.clone(), dial, links, metrics))
        }
    };
    log(Event::Started, format_args!("{} on {}", settings.name, settings.peer.bind));
    let result = wait_for_shutdown(failure).await;
    log(Event::Stopping, format_args!("{}", settings.name));
    state.set_stopping();
    if let Some(traffic) = &mut traffic {
        tokio::time::sleep(UNREADY_DELAY).await;
        traffic.stop().await;
    }
    // The traffic runtime stops after the lease has been released: requests still in flight to this
    // instance are refused as not run, while a closed link would leave their outcome unknown.
    stop_control(&control, &result).await;
    drop(traffic);
    log(Event::Stopped, format_args!("{}", settings.name));
    result
}

async fn stop_control(control: &Handle, result: &Result<()>) {
    if result.is_ok() {
        control.stop().await;
    }
}

/// Waits for a signal or for the failure of the control thread.
async fn wait_for_shutdown(failure: oneshot::Receiver<String>) -> Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => Ok(()),
        _ = interrupt.recv() => Ok(()),
        reason = failure => {
            // Without a reason, the thread ended unexpectedly, for example by a panic.
            let reason = reason.unwrap_or_else(|_| "the control thread ended".into());
            log(Event::DiskFailed, format_args!("{reason}"));
            Err(Error::stopped(reason))
        }
    }
}

async fn accept_traffic(
    mut sockets: mpsc::Receiver<std::net::TcpStream>,
    identity: Arc<Identity>,
    out: mpsc::Sender<Link<peer::TrafficMessage>>,
) {
    while let Some(socket) = sockets.recv().await {
        let (identity, out) = (identity.clone(), out.clone());
        tokio::spawn(async move {
            if let Ok(accepted) = socket::accept_traffic(socket, &identity).await {
                let _ = out.send(accepted.link()).await;
            }
        });
    }
}

fn control_options(
    settings: &Settings,
    identity: &Arc<Identity>,
    metrics: &Metrics,
    traffic: mpsc::Sender<std::net::TcpStream>,
) -> Result<Options> {
    let disk = match &settings.data {
        Some(folder) => Some(Box::new(FileDisk::open(folder)?) as Box<dyn Disk>),
        None => None,
    };
    Ok(Options {
        instance: instance_record(settings),
        members: settings.members.clone(),
        disk,
        trust_refused: settings.trust_refused,
        clock: Arc::new(SystemClock::start()),
        dial: Arc::new(Dialer::new(identity.clone(), Purpose::Control)),
        listener: bind(settings.peer.bind)?,
        traffic,
        identity: identity.clone(),
        metrics: metrics.control.clone(),
    })
}

/// Record of this instance. The incarnation is the wall clock at the start of the process, so that
/// a later process has a greater one.
fn instance_record(settings: &Settings) -> Instance {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Instance {
        name: settings.name.clone(),
        incarnation: since.as_millis() as u64,
        peer: settings.peer.advertised,
        http: settings.http.advertised,
        region: settings.region.clone(),
        domain: settings.domain.clone(),
        entry: settings.callers.is_some(),
    }
}

fn bind(address: SocketAddr) -> Result<TcpListener> {
    let listener = TcpListener::bind(address).map_err(|e| {
        log(Event::ListenFailed, format_args!("{address}: {e}"));
        e
    })?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

/// Secrets from the files that the settings name.
struct Files {
    cluster: Secret,
    http: Secrets,
    database: Credentials,
}

impl Files {
    fn read(settings: &Settings) -> Result<Files> {
        let secrets = &settings.secrets;
        Ok(Files {
            cluster: Secret::new(read_secret(&secrets.cluster)?),
            http: Secrets {
                operator: read_secret(&secrets.operator)?,
                announce: read_secret(&secrets.announce)?,
            },
            database: Credentials {
                user: secrets.user.clone(),
                password: Some(read_secret(&secrets.password)?),
            },
        })
    }
}

fn read_secret(file: &Path) -> Result<String> {
    let text = fs::read_to_string(file).map_err(|e| Error::file(file, &e))?;
    let text = text.trim();
    if text.is_empty() {
        return Err(Error::file(file, &"is empty"));
    }
    Ok(text.into())
}
