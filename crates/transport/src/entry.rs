//! Entry of an instance: accepts callers, starts up their connections and routes cancel requests.

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
    forwarder::{Forwarder, RequestTracker, lock},
    frame,
    handshake::{self, Opening},
    metrics::Metrics,
    view::Control,
};

const STARTUP_TIMEOUT: Duration = Duration::from_secs(5);

/// `accept` fails mostly because the process has no free file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Parameters that are reported to each caller, as client drivers expect them.
const PARAMETERS: [(&str, &str); 6] = [
    ("server_version", "16.0 (auburnlug)"),
    ("server_encoding", "UTF8"),
    ("client_encoding", "UTF8"),
    ("DateStyle", "ISO, MDY"),
    ("integer_datetimes", "on"),
    ("standard_conforming_strings", "on"),
];

/// State that the connections of all callers share.
pub(crate) struct EntryContext {
    pub control: Arc<dyn Control>,
    pub forwarder: Arc<Forwarder>,
    pub metrics: Arc<Metrics>,
    /// Longest wait of a request before it runs, in milliseconds.
    pub wait_limit: Millis,
    pub stopping: watch::Receiver<bool>,
    cancels: Mutex<HashMap<i32, CancelTarget>>,
    next_pid: AtomicI32,
}

struct CancelTarget {
    secret: i32,
    tracker: Arc<RequestTracker>,
}

impl EntryContext {
    pub(crate) fn new(
        control: Arc<dyn Control>,
        forwarder: Arc<Forwarder>,
        metrics: Arc<Metrics>,
        wait_limit: Millis,
        stopping: watch::Receiver<bool>,
    ) -> EntryContext {
        let (cancels, next_pid) = (Mutex::default(), AtomicI32::new(1));
        EntryContext { control, forwarder, metrics, wait_limit, stopping, cancels, next_pid }
    }

    fn cancel(&self, request: &CancelRequest) {
        let cancels = lock(&self.cancels);
        if let Some(cancel) = cancels.get(&request.pid)
            && request.secret_key.eq_value(&SecretKey::I32(cancel.secret))
        {
            cancel.tracker.cancel();
        }
    }
}

/// Registers a caller for cancel requests; dropping it ends the caller's open transaction.
struct CallerRegistration {
    shared: Arc<EntryContext>,
    pid: i32,
    secret: i32,
    tracker: Arc<RequestTracker>,
}

impl CallerRegistration {
    fn new(shared: &Arc<EntryContext>) -> CallerRegistration {
        let (secret, tracker) = (rand::random(), Arc::new(RequestTracker::default()));
        shared.forwarder.renew_stream(&tracker);
        shared.metrics.callers.inc();
        let mut cancels = lock(&shared.cancels);
        loop {
            let pid = shared.next_pid.fetch_add(1, Ordering::Relaxed) & i32::MAX;
            if pid != 0 && !cancels.contains_key(&pid) {
                cancels.insert(pid, CancelTarget { secret, tracker: tracker.clone() });
                return CallerRegistration { shared: shared.clone(), pid, secret, tracker };
            }
        }
    }
}

impl Drop for CallerRegistration {
    fn drop(&mut self) {
        self.tracker.close();
        self.shared.metrics.callers.dec();
        lock(&self.shared.cancels).remove(&self.pid);
    }
}

/// Accepts callers until the instance stops, and returns when all connections have closed.
pub(crate) async fn listen(listener: TcpListener, shared: Arc<EntryContext>) {
    let mut tasks = JoinSet::new();
    let mut stopping = shared.stopping.clone();
    loop {
        tokio::select! {
            () = stop_requested(&mut stopping) => break,
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    tasks.spawn(serve_caller(stream, shared.clone()));
                }
                Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
            },
            Some(_) = tasks.join_next() => {}
        }
    }
    drop(listener);
    while tasks.join_next().await.is_some() {}
}

/// Completes when the instance stops or its handle is dropped.
async fn stop_requested(stopping: &mut watch::Receiver<bool>) {
    // An error means that the handle was dropped.
    let _ = stopping.wait_for(|stopping| *stopping).await;
}

async fn serve_caller(mut stream: TcpStream, shared: Arc<EntryContext>) {
    // With Nagle's algorithm, answers would wait for the caller's delayed acknowledgement.
    let _ = stream.set_nodelay(true);
    let mut buf = BytesMut::with_capacity(4096);
    let opening =
        timeout(STARTUP_TIMEOUT, handshake::open(&mut stream, &mut buf, &shared.control)).await;
    match opening {
        Ok(Ok(Opening::Cancel(request))) => shared.cancel(&request),
        Ok(Ok(Opening::Caller(identity))) => {
            let registration = CallerRegistration::new(&shared);
            if send_greeting(&mut stream, registration.pid, registration.secret).await.is_ok() {
                let tracker = registration.tracker.clone();
                Caller::new(shared.clone(), stream, buf, identity, tracker).serve().await;
            }
        }
        Ok(Err(error)) if error.kind() == ErrorKind::PermissionDenied => {
            shared.metrics.count_refusal("startup")
        }
        Ok(Err(_)) | Err(_) => {}
    }
}

async fn send_greeting(stream: &mut TcpStream, pid: i32, secret: i32) -> std::io::Result<()> {
    let mut out = BytesMut::new();
    frame::put(&mut out, &Authentication::Ok);
    for (name, value) in PARAMETERS {
        frame::put(&mut out, &ParameterStatus::new(name.into(), value.into()));
    }
    frame::put(&mut out, &BackendKeyData::new(pid, SecretKey::I32(secret)));
    frame::put_ready(&mut out, b'I');
    stream.write_all(&out).await
}
