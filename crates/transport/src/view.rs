//! Access to the control state from traffic threads.

use std::{collections::BTreeMap, future::Future, pin::Pin, sync::Arc};

use auburnlug_state::{Applied, Command, Machine, Millis, Name, Shard};
use tokio::sync::watch;

/// The replicated state as this instance has applied it.
#[derive(Debug, Clone)]
pub struct View {
    /// Name of this instance.
    pub instance: Name,
    /// Replicated state.
    pub machine: Arc<Machine>,
    /// Whether the instance is stopping.
    pub stopping: bool,
    /// Shards to drain and release, with the epoch of the ownership to release.
    pub releasing: BTreeMap<Shard, u64>,
}

/// Future that resolves to the effect of a proposal; `None` if the effect is unknown.
pub type Proposal = Pin<Box<dyn Future<Output = Option<Applied>> + Send>>;

/// Access to the control thread from traffic threads.
pub trait Control: Send + Sync {
    /// Receiver of the current view and its changes.
    fn view(&self) -> watch::Receiver<Arc<View>>;

    /// End of the instance's lease on the clock of [`Control::now`]; 0 without a lease.
    fn lease(&self) -> Millis;

    /// Milliseconds since the process started, monotonic.
    fn now(&self) -> Millis;

    /// Proposes a command to the control leader.
    fn propose(&self, command: Command) -> Proposal;
}
