//! The callers' side: accepts connections, starts them up and routes cancel requests.

use std::{
    collections::HashMap,
    io::ErrorKind,
    sync::{
        Arc, Mutex,
        atomic::{AtomicI32, Ordering},
    },
    time::Duration,
};

use auburnlug_state::Millis;
use bytes::BytesMut;
use pgwire::messages::{
    cancel::CancelRequest,
    startup::{Authentication, BackendKeyData, ParameterStatus, SecretKey},
};
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
    sync::watch,
    task::JoinSet,
    time::{sleep, timeout},
};

use crate::{
    caller::Caller,
    forward::{Forwarder, Track, lock},
    frame,
    handshake::{self, Opening},
    metrics::Metrics,
    view::Control,
};

/// Longest time for the start-up of a connection.
const STARTUP: Duration = Duration::from_secs(5);

/// Pause after a failed accept, which is usually a lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Parameters reported to each caller; drivers depend on them.
const PARAMETERS: [(&str, &str); 6] = [
    ("server_version", "16.0 (auburnlug)"),
    ("server_encoding", "UTF8"),
    ("client_encoding", "UTF8"),
    ("DateStyle", "ISO, MDY"),
    ("integer_datetimes", "on"),
    ("standard_conforming_strings", "on"),
];

/// What the connections of all callers share.
pub(crate) struct Shared {
    pub control: Arc<dyn Control>,
    pub forwarder: Arc<Forwarder>,
    pub metrics: Arc<Metrics>,
    /// Longest wait of a request before it runs, in milliseconds.
    pub wait: Millis,
    pub stopping: watch::Receiver<bool>,
    cancels: Mutex<HashMap<i32, Cancel>>,
    next: AtomicI32,
}

struct Cancel {
    secret: i32,
    track: Arc<Track>,
}

impl Shared {
    pub(crate) fn new(
        control: Arc<dyn Control>,
        forwarder: Arc<Forwarder>,
        metrics: Arc<Metrics>,
        wait: Millis,
        stopping: watch::Receiver<bool>,
    ) -> Shared {
        let (cancels, next) = (Mutex::default(), AtomicI32::new(1));
        Shared { control, forwarder, metrics, wait, stopping, cancels, next }
    }

    fn cancel(&self, request: &CancelRequest) {
        let cancels = lock(&self.cancels);
        if let Some(cancel) = cancels.get(&request.pid)
            && request.secret_key.eq_value(&SecretKey::I32(cancel.secret))
        {
            cancel.track.cancel();
        }
    }
}

/// A caller that can be cancelled; dropping it ends what the caller left open.
struct Registered {
    shared: Arc<Shared>,
    pid: i32,
    secret: i32,
    track: Arc<Track>,
}

impl Registered {
    fn new(shared: &Arc<Shared>) -> Registered {
        let (secret, track) = (rand::random(), Arc::new(Track::default()));
        shared.forwarder.renew(&track);
        shared.metrics.callers.inc();
        let mut cancels = lock(&shared.cancels);
        loop {
            let pid = shared.next.fetch_add(1, Ordering::Relaxed) & i32::MAX;
            if pid != 0 && !cancels.contains_key(&pid) {
                cancels.insert(pid, Cancel { secret, track: track.clone() });
                return Registered { shared: shared.clone(), pid, secret, track };
            }
        }
    }
}

impl Drop for Registered {
    fn drop(&mut self) {
        self.track.close();
        self.shared.metrics.callers.dec();
        lock(&self.shared.cancels).remove(&self.pid);
    }
}

/// Accepts callers until the instance stops; returns when the last one is gone.
pub(crate) async fn listen(listener: TcpListener, shared: Arc<Shared>) {
    let mut tasks = JoinSet::new();
    let mut stopping = shared.stopping.clone();
    loop {
        tokio::select! {
            () = stop(&mut stopping) => break,
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    tasks.spawn(caller(stream, shared.clone()));
                }
                Err(_) => sleep(ACCEPT_PAUSE).await,
            },
            Some(_) = tasks.join_next() => {}
        }
    }
    drop(listener);
    while tasks.join_next().await.is_some() {}
}

/// Ends when the instance stops or its handle is gone.
async fn stop(stopping: &mut watch::Receiver<bool>) {
    // An error means that the handle is gone.
    let _ = stopping.wait_for(|stopping| *stopping).await;
}

async fn caller(mut stream: TcpStream, shared: Arc<Shared>) {
    // Without it, answers wait for the caller's delayed acknowledgement.
    let _ = stream.set_nodelay(true);
    let mut buf = BytesMut::with_capacity(4096);
    let opening = timeout(STARTUP, handshake::open(&mut stream, &mut buf, &shared.control)).await;
    match opening {
        Ok(Ok(Opening::Cancel(request))) => shared.cancel(&request),
        Ok(Ok(Opening::Caller(who))) => {
            let registered = Registered::new(&shared);
            if greet(&mut stream, registered.pid, registered.secret).await.is_ok() {
                let track = registered.track.clone();
                Caller::new(shared.clone(), stream, buf, who, track).serve().await;
            }
        }
        Ok(Err(error)) if error.kind() == ErrorKind::PermissionDenied => {
            shared.metrics.refused("startup")
        }
        Ok(Err(_)) | Err(_) => {}
    }
}

async fn greet(stream: &mut TcpStream, pid: i32, secret: i32) -> std::io::Result<()> {
    let mut out = BytesMut::new();
    frame::put(&mut out, &Authentication::Ok);
    for (name, value) in PARAMETERS {
        frame::put(&mut out, &ParameterStatus::new(name.into(), value.into()));
    }
    frame::put(&mut out, &BackendKeyData::new(pid, SecretKey::I32(secret)));
    frame::put_ready(&mut out, b'I');
    stream.write_all(&out).await
}
