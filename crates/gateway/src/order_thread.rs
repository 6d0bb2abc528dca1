//! Thread that sends the orders of a control leader.
//!
//! The control thread waits for the disk, for seconds if the disk stalls. The orders that are in
//! flight are given up at the end of the leader lease also then.

use std::{io, thread};

use tokio::{
    runtime::{Builder, Handle},
    sync::oneshot,
};

/// A thread with a runtime of its own; it ends when this is dropped.
pub(crate) struct OrderThread {
    runtime: Handle,
    _stop: oneshot::Sender<()>,
}

impl OrderThread {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// The runtime or the thread cannot be started.
    pub(crate) fn start() -> io::Result<OrderThread> {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let handle = runtime.handle().clone();
        let (stop, stopped) = oneshot::channel::<()>();
        thread::Builder::new().name("orders".into()).spawn(move || {
            let _ = runtime.block_on(stopped);
        })?;
        Ok(OrderThread { runtime: handle, _stop: stop })
    }

    /// Runs a task on the thread.
    pub(crate) fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        self.runtime.spawn(task);
    }
}
