//! Messages between entries and control members: what they take on links of 2 Mbit/s.

// The setting for tests in clippy.toml does not reach helper functions in test files.
#![allow(clippy::unwrap_used)]

use auburnlug_coordination::Position;
use auburnlug_protocol::{
    decode, encode,
    fleet::{FleetGrant, PositionSample},
};

/// Guards against grants whose bytes fill the links between regions: hundreds of entries get two
/// positions of each group twice a second.
#[test]
fn a_position_takes_little_more_than_its_values() {
    let sample = |n: u64| PositionSample {
        group: format!("group{n:03}").into(),
        age: 200 + n,
        position: Position { term: 3, offset: 100_000 + n },
    };
    let positions: Vec<PositionSample> = (0..40).map(sample).collect();
    let grant = FleetGrant { sent: 1, span: 2, index: 3, shares: Vec::new(), positions };
    let bytes = encode(&grant).unwrap();
    assert!(bytes.len() < 40 * 20 + 40, "{} bytes", bytes.len());
    assert_eq!(decode::<FleetGrant>(&bytes).unwrap(), grant);
}
