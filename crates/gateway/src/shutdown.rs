//! Phases of a graceful shutdown.

use std::{cell::Cell, time::Duration};

use tokio::{
    sync::Notify,
    time::{Instant, sleep_until},
};

/// Time after which the load balancer sends no new callers: two health checks one second apart, and
/// their latency.
const BALANCER_NOTICE_DELAY: Duration = Duration::from_millis(2_300);

/// Part of the grace period after which the process exits, even with open sessions.
const EXIT_GRACE_FRACTION: f64 = 0.9;

/// Progress of a shutdown; sessions wait for its phases.
#[derive(Debug, Default)]
pub struct Shutdown {
    started: Cell<Option<(Instant, Duration)>>,
    start_notify: Notify,
}

impl Shutdown {
    /// Starts the shutdown; the process is killed after `grace`.
    pub fn start(&self, grace: Duration) {
        if self.started.get().is_none() {
            self.started.set(Some((Instant::now(), grace)));
            self.start_notify.notify_waiters();
        }
    }

    /// Whether the shutdown has started.
    pub fn started(&self) -> bool {
        self.started.get().is_some()
    }

    /// Waits until sessions without a transaction must end.
    pub async fn wait_for_idle_deadline(&self) {
        self.wait_for_phase(|_| BALANCER_NOTICE_DELAY).await;
    }

    /// Waits until open transactions must end, at half of the grace period.
    pub async fn wait_for_transaction_deadline(&self) {
        self.wait_for_phase(|grace| grace / 2).await;
    }

    /// Waits until the process must exit.
    pub async fn wait_for_exit_deadline(&self) {
        self.wait_for_phase(|grace| grace.mul_f64(EXIT_GRACE_FRACTION)).await;
    }

    async fn wait_for_phase(&self, after: impl Fn(Duration) -> Duration) {
        loop {
            let begun = self.start_notify.notified();
            if let Some((at, grace)) = self.started.get() {
                return sleep_until(at + after(grace)).await;
            }
            begun.await;
        }
    }
}
