//! Dials other instances.
//!
//! The first packet to a machine that is just starting is lost, and the operating system sends the
//! next one only after a second. So early attempts are short, and later ones leave time for loaded
//! links.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use auburnlug_state::Name;
use auburnlug_transport::link::{Dial, Link};
use tokio::time::{sleep, timeout};

/// Limits of successive attempts, in milliseconds; the last one holds for all others. A link
/// between regions takes some 80 ms to open.
const LIMITS: [u64; 4] = [250, 400, 800, 2_000];

/// Pause after an attempt that was refused, in milliseconds.
const PAUSE: Duration = Duration::from_millis(200);

/// Limit of an attempt, by the number of those that failed before.
pub fn limit(failed: usize) -> Duration {
    let last = LIMITS.len() - 1;
    Duration::from_millis(LIMITS[failed.min(last)])
}

/// Dials an instance once; `failed` attempts came before. `None` after the pause that the next
/// attempt should leave.
pub async fn attempt<M>(
    dial: &Arc<dyn Dial<M>>,
    name: Name,
    address: SocketAddr,
    failed: usize,
) -> Option<Link<M>> {
    match timeout(limit(failed), dial.dial(name, address)).await {
        Ok(Some(link)) => Some(link),
        Ok(None) => {
            sleep(PAUSE).await;
            None
        }
        Err(_) => None,
    }
}
