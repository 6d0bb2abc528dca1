//! Size of the messages between entries and control members, which may use links of 2 Mbit/s.

// clippy.toml allows unwrap in test functions only; this covers their helpers.
#![allow(clippy::unwrap_used)]

use auburnlug_coordination::Position;
use auburnlug_protocol::{
    decode, encode,
    fleet::{FleetGrant, PositionSample},
};

/// Guards against grants that saturate the links between regions: hundreds of entries get two
/// positions of each group twice a second.
#[test]
fn position_sample_has_little_encoding_overhead() {
    let sample = |n: u64| PositionSample {
        group: format!("group{n:03}").into(),
        age: 200 + n,
        position: Position { term: 3, offset: 100_000 + n },
    };
    let positions: Vec<PositionSample> = (0..40).map(sample).collect();
    let grant = FleetGrant { sent: 1, duration: 2, index: 3, shares: Vec::new(), positions };
    let bytes = encode(&grant).unwrap();
    assert!(bytes.len() < 40 * 20 + 40, "{} bytes", bytes.len());
    assert_eq!(decode::<FleetGrant>(&bytes).unwrap(), grant);
}
