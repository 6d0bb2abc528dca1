//! Tests of dials that are repeated.

use std::time::{Duration, Instant};

use auburnlug_transport::link::{Dialing, dial_once_per};
use tokio::time::sleep;

const INTERVAL: Duration = Duration::from_millis(800);

/// A dial that fails after `time`.
fn failing(time: Duration) -> Dialing<()> {
    Box::pin(async move {
        sleep(time).await;
        None
    })
}

/// Guards against members that stay without a link for the whole delay between two dials after a cut
/// between them has healed, although the dial that failed has taken longer than the delay.
#[tokio::test]
async fn a_long_dial_is_followed_by_the_next_one_at_once() {
    let start = Instant::now();
    assert!(dial_once_per(INTERVAL, failing(INTERVAL)).await.is_none());
    assert!(start.elapsed() < INTERVAL + INTERVAL / 2);
}

/// Guards against an address that refuses connections and is dialed without a pause.
#[tokio::test]
async fn a_refused_dial_is_not_repeated_at_once() {
    let start = Instant::now();
    assert!(dial_once_per(INTERVAL, failing(Duration::ZERO)).await.is_none());
    assert!(start.elapsed() >= INTERVAL);
}
