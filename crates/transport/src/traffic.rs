//! Starts and stops the traffic runtime of an instance.

use std::{net::IpAddr, sync::Arc, time::Duration};

use auburnlug_protocol::{peer::Traffic, settings::Policy};
use auburnlug_state::Millis;
use tokio::{
    net::TcpListener,
    sync::{mpsc, watch},
    task::{AbortHandle, JoinHandle},
    time::timeout,
};

use crate::{
    copier::Means,
    entry::{self, Shared},
    forward::Forwarder,
    link::{Dial, Link},
    metrics::Metrics,
    owner::Owner,
    rate::Rates,
    rate_owner::RateOwner,
    server::{Credentials, Servers, TcpServers},
    view::Control,
};

/// Longest wait of a request before it runs, in milliseconds, unless the settings say otherwise.
pub const WAIT: Millis = 5000;

/// Longest time that callers get to end their transactions when the instance stops. Together with
/// the release of the shards it must stay below the 10 s after which a supervisor kills a process.
const CALLERS: Duration = Duration::from_secs(4);

/// Links to and from this instance itself that may wait to be taken.
const LOCAL: usize = 4;

/// Messages of rate owners that may wait to be taken.
const OTHERS: usize = 1024;

/// Settings of the traffic runtime.
#[derive(Debug)]
pub struct TrafficConfig {
    /// Listener for callers.
    pub callers: TcpListener,
    /// Credentials of the system on the database servers.
    pub credentials: Credentials,
    /// Source address of connections to database servers.
    pub source: Option<IpAddr>,
    /// Longest wait of a request before it runs, in milliseconds; see [`WAIT`].
    pub wait: Millis,
    /// Policies to run.
    pub policy: Policy,
}

/// A running traffic runtime; dropping it stops everything at once.
pub struct TrafficHandle {
    stopping: watch::Sender<bool>,
    entry: Option<JoinHandle<()>>,
    tasks: Vec<AbortHandle>,
    owner: Arc<Owner>,
}

/// Starts serving callers, and the groups that this instance owns; call it in a tokio runtime.
pub fn start(
    config: TrafficConfig,
    control: Arc<dyn Control>,
    dial: Arc<dyn Dial<Traffic>>,
    inbound: mpsc::Receiver<Link<Traffic>>,
    metrics: Arc<Metrics>,
) -> TrafficHandle {
    let servers = Arc::new(TcpServers::new(config.credentials.clone(), config.source));
    start_with(config, control, dial, inbound, metrics, servers)
}

/// Like [`start`], with another way to reach the database servers.
pub fn start_with(
    config: TrafficConfig,
    control: Arc<dyn Control>,
    dial: Arc<dyn Dial<Traffic>>,
    inbound: mpsc::Receiver<Link<Traffic>>,
    metrics: Arc<Metrics>,
    servers: Arc<dyn Servers>,
) -> TrafficHandle {
    let (local, links) = mpsc::channel(LOCAL);
    let stopping = watch::Sender::new(false);
    let (others, answers) = mpsc::channel(OTHERS);
    let forwarder = Arc::new(Forwarder::new(control.clone(), dial, local, others, metrics.clone()));
    let rates = Arc::new(Rates::new(control.clone(), forwarder.clone(), config.policy));
    let buckets = Arc::new(RateOwner::new(control.clone()));
    let means =
        Means { control: control.clone(), forwarder: forwarder.clone(), metrics: metrics.clone() };
    let owner = Owner::new(means, servers, rates.clone(), buckets.clone(), config.policy);
    let owner = Arc::new(owner);
    let shared = Shared::new(control, forwarder, metrics, config.wait, stopping.subscribe());
    let tasks = vec![
        tokio::spawn(rates.follow(answers, buckets)).abort_handle(),
        tokio::spawn(owner.clone().follow()).abort_handle(),
        tokio::spawn(owner.copies().watch()).abort_handle(),
        tokio::spawn(owner.clone().listen(inbound)).abort_handle(),
        tokio::spawn(owner.clone().listen(links)).abort_handle(),
    ];
    let entry = Some(tokio::spawn(entry::listen(config.callers, Arc::new(shared))));
    TrafficHandle { stopping, entry, tasks, owner }
}

impl TrafficHandle {
    /// Stops gracefully: accepts no callers, closes idle ones, lets transactions and statements
    /// end, those of other entries too, and releases all shards; entries hold their requests for
    /// the next owner. Then give up the lease and drop the handle.
    ///
    /// The time is bounded: a transaction that its caller leaves open is rolled back at the end.
    pub async fn stop(&mut self) {
        self.stopping.send_replace(true);
        if let Some(entry) = &mut self.entry
            && timeout(CALLERS, entry).await.is_ok()
        {
            // A panic of the entry ends its callers too.
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
