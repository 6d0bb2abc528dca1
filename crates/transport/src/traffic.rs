//! Starts and stops the traffic runtime of an instance.

use std::{net::IpAddr, sync::Arc};

use auburnlug_protocol::peer::Traffic;
use auburnlug_state::Millis;
use tokio::{
    net::TcpListener,
    sync::{mpsc, watch},
    task::{AbortHandle, JoinHandle},
};

use crate::{
    copier::Means,
    entry::{self, Shared},
    forward::Forwarder,
    link::{Dial, Link},
    metrics::Metrics,
    owner::Owner,
    rate::Rates,
    server::{Credentials, Servers, TcpServers},
    view::Control,
};

/// Longest wait of a request before it runs, in milliseconds, unless the settings say otherwise.
pub const WAIT: Millis = 5000;

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
    let rates = Arc::new(Rates::new(control.clone(), forwarder.clone()));
    let means =
        Means { control: control.clone(), forwarder: forwarder.clone(), metrics: metrics.clone() };
    let owner = Arc::new(Owner::new(means, servers, rates.clone()));
    let shared = Shared::new(control, forwarder, metrics, config.wait, stopping.subscribe());
    let tasks = vec![
        tokio::spawn(rates.follow(answers)).abort_handle(),
        tokio::spawn(owner.clone().follow()).abort_handle(),
        tokio::spawn(owner.copies().watch()).abort_handle(),
        tokio::spawn(owner.clone().listen(inbound)).abort_handle(),
        tokio::spawn(owner.clone().listen(links)).abort_handle(),
    ];
    let entry = Some(tokio::spawn(entry::listen(config.callers, Arc::new(shared))));
    TrafficHandle { stopping, entry, tasks, owner }
}

impl TrafficHandle {
    /// Stops gracefully: accepts no callers, closes idle ones, and returns when all transactions
    /// and statements have ended, those of other entries too. Release the shards afterwards and
    /// then drop the handle, once other instances have had time to see it; until then, other
    /// entries hold their requests for the next owner. Bound the time of this call: a transaction
    /// that its caller leaves open ends only with the caller.
    pub async fn stop(&mut self) {
        self.stopping.send_replace(true);
        if let Some(entry) = &mut self.entry {
            // A panic of the entry ends its callers too.
            let _ = entry.await;
            self.entry = None;
        }
        self.owner.drain().await;
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
