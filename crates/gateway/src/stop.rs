//! Phases of a graceful stop.

use std::{cell::Cell, time::Duration};

use tokio::{
    sync::Notify,
    time::{Instant, sleep_until},
};

/// Time after which the balancer sends no new callers, in milliseconds: two questions a second
/// apart, and their way.
const UNREADY: Duration = Duration::from_millis(2_300);

/// Part of the grace after which the process ends, whatever is still open.
const LAST: f64 = 0.9;

/// Progress of a stop; sessions wait for its phases.
#[derive(Debug, Default)]
pub struct Stop {
    started: Cell<Option<(Instant, Duration)>>,
    begun: Notify,
}

impl Stop {
    /// Starts the stop with `grace` left until the process is killed.
    pub fn start(&self, grace: Duration) {
        if self.started.get().is_none() {
            self.started.set(Some((Instant::now(), grace)));
            self.begun.notify_waiters();
        }
    }

    /// Whether the stop has started.
    pub fn started(&self) -> bool {
        self.started.get().is_some()
    }

    /// Waits until sessions without a transaction are ended.
    pub async fn idle_sessions_end(&self) {
        self.phase(|_| UNREADY).await;
    }

    /// Waits until open transactions are ended: half of the grace is theirs.
    pub async fn transactions_end(&self) {
        self.phase(|grace| grace / 2).await;
    }

    /// Waits until the process ends.
    pub async fn end(&self) {
        self.phase(|grace| grace.mul_f64(LAST)).await;
    }

    async fn phase(&self, after: impl Fn(Duration) -> Duration) {
        loop {
            let begun = self.begun.notified();
            if let Some((at, grace)) = self.started.get() {
                return sleep_until(at + after(grace)).await;
            }
            begun.await;
        }
    }
}
