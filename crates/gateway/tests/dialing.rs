//! Attempts to dial other instances.

// The setting for tests in clippy.toml does not reach helper functions in test files.
#![allow(clippy::unwrap_used)]

use std::{
    future::pending,
    net::SocketAddr,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use auburnlug_gateway::dialing::{attempt, limit};
use auburnlug_state::Name;
use auburnlug_transport::link::{Dial, Link};

/// Loses what is sent to a machine that is not up yet, as long as `lost` attempts are left.
#[derive(Debug)]
struct Starting {
    lost: AtomicUsize,
}

impl Dial<u8> for Starting {
    fn dial(
        &self,
        name: Name,
        _: SocketAddr,
    ) -> Pin<Box<dyn Future<Output = Option<Link<u8>>> + Send>> {
        let left = self.lost.load(Ordering::Relaxed);
        self.lost.store(left.saturating_sub(1), Ordering::Relaxed);
        Box::pin(async move {
            if left > 0 {
                return pending().await;
            }
            Some(Link::pair(name.clone(), name).0)
        })
    }
}

/// Guards against a second without control links after a power loss of all machines: the first
/// packet to a machine that is not up yet is lost, and the system repeats it after a second.
#[tokio::test]
async fn a_machine_that_starts_is_dialed_again_within_a_second() {
    let dial: Arc<dyn Dial<u8>> = Arc::new(Starting { lost: AtomicUsize::new(2) });
    let name = Name::try_from("10.0.0.1").unwrap();
    let address = "10.0.0.1:7560".parse().unwrap();
    let start = Instant::now();
    let mut failed = 0;
    while attempt(&dial, name.clone(), address, failed).await.is_none() {
        failed += 1;
    }
    assert_eq!(failed, 2);
    assert!(start.elapsed() < Duration::from_secs(1));
}

/// Guards against links that never open because each attempt is too short for a loaded network.
#[test]
fn later_attempts_leave_more_time() {
    assert!((0..6).all(|failed| limit(failed) <= limit(failed + 1)));
    assert!(limit(9) >= Duration::from_secs(2));
}
