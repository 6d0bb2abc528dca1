//! Starts and stops the traffic runtime of an instance.

use std::{net::IpAddr, sync::Arc, time::Duration};

use auburnlug_protocol::{peer::TrafficMessage, settings::Policy};
use auburnlug_state::Millis;
use tokio::{
    net::TcpListener,
    sync::{mpsc, watch},
    task::{AbortHandle, JoinHandle},
    time::timeout,
};

use crate::{
    entry::{self, EntryContext},
    forwarder::Forwarder,
    id_replication::CopierContext,
    link::{Dial, Link},
    metrics::Metrics,
    owner::Owner,
    rate_limits::RateLimits,
    rate_owner::RateOwner,
    server::{Credentials, ServerConnector, TcpConnector},
    view::Control,
};

/// Default limit of the time that a request waits before it runs.
pub const DEFAULT_WAIT_LIMIT_MS: Millis = 5000;

/// Time for callers to end their transactions when the instance stops. Together with the release of
/// the shards it must stay below the 10 s after which a supervisor kills the process.
const CALLER_DRAIN_TIMEOUT: Duration = Duration::from_secs(4);

/// Bound of the queue of links from this instance to itself.
const MAX_QUEUED_LOCAL_LINKS: usize = 4;

/// Bound of the queue of messages from rate owners.
const MAX_QUEUED_RATE_MESSAGES: usize = 1024;

/// Settings of the traffic runtime.
#[derive(Debug)]
pub struct TrafficConfig {
    /// Listener for callers.
    pub callers: TcpListener,
    /// Credentials of the proxy on the database servers.
    pub credentials: Credentials,
    /// Source address of connections to database servers.
    pub source: Option<IpAddr>,
    /// Limit of the time that a request waits before it runs, in milliseconds; see
    /// [`DEFAULT_WAIT_LIMIT_MS`].
    pub wait: Millis,
    /// Scheduling policies to use.
    pub policy: Policy,
}

/// A running traffic runtime; dropping it aborts all of its tasks.
pub struct TrafficHandle {
    stopping: watch::Sender<bool>,
    entry: Option<JoinHandle<()>>,
    tasks: Vec<AbortHandle>,
    owner: Arc<Owner>,
}

/// Starts serving callers and the groups that this instance owns. Must be called in a tokio
/// runtime.
pub fn start(
    config: TrafficConfig,
    control: Arc<dyn Control>,
    dial: Arc<dyn Dial<TrafficMessage>>,
    inbound: mpsc::Receiver<Link<TrafficMessage>>,
    metrics: Arc<Metrics>,
) -> TrafficHandle {
    let servers = Arc::new(TcpConnector::new(config.credentials.clone(), config.source));
    start_with(config, control, dial, inbound, metrics, servers)
}

/// Like [`start`], with a custom connector for the database servers.
pub fn start_with(
    config: TrafficConfig,
    control: Arc<dyn Control>,
    dial: Arc<dyn Dial<TrafficMessage>>,
    inbound: mpsc::Receiver<Link<TrafficMessage>>,
    metrics: Arc<Metrics>,
    servers: Arc<dyn ServerConnector>,
) -> TrafficHandle {
    let (local, links) = mpsc::channel(MAX_QUEUED_LOCAL_LINKS);
    let stopping = watch::Sender::new(false);
    let (others, answers) = mpsc::channel(MAX_QUEUED_RATE_MESSAGES);
    let forwarder = Arc::new(Forwarder::new(control.clone(), dial, local, others, metrics.clone()));
    let rate_limits = Arc::new(RateLimits::new(control.clone(), forwarder.clone(), config.policy));
    let buckets = Arc::new(RateOwner::new(control.clone()));
    let context = CopierContext {
        control: control.clone(),
        forwarder: forwarder.clone(),
        metrics: metrics.clone(),
    };
    let owner = Owner::new(context, servers, rate_limits.clone(), buckets.clone(), config.policy);
    let owner = Arc::new(owner);
    let shared = EntryContext::new(control, forwarder, metrics, config.wait, stopping.subscribe());
    let tasks = vec![
        tokio::spawn(rate_limits.process_messages(answers, buckets)).abort_handle(),
        tokio::spawn(owner.clone().follow_view()).abort_handle(),
        tokio::spawn(owner.standby_ids().watch_lease()).abort_handle(),
        tokio::spawn(owner.clone().serve_links(inbound)).abort_handle(),
        tokio::spawn(owner.clone().serve_links(links)).abort_handle(),
    ];
    let entry = Some(tokio::spawn(entry::listen(config.callers, Arc::new(shared))));
    TrafficHandle { stopping, entry, tasks, owner }
}

impl TrafficHandle {
    /// Stops gracefully: accepts no more callers, closes idle ones, lets running transactions and
    /// statements end, also those of other entries, and releases all shards. Entries queue their
    /// requests for the next owner. Afterwards, release the lease and drop the handle.
    ///
    /// The time is bounded: a transaction that its caller leaves open is rolled back at the end.
    pub async fn stop(&mut self) {
        self.stopping.send_replace(true);
        if let Some(entry) = &mut self.entry
            && timeout(CALLER_DRAIN_TIMEOUT, entry).await.is_ok()
        {
            // The entry task has ended, also if it panicked, and so have its callers.
            self.entry = None;
        }
        self.owner.release_all().await;
    }
}

impl Drop for TrafficHandle {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
        if let Some(entry) = &self.entry {
            entry.abort();
        }
        self.owner.close();
    }
}
