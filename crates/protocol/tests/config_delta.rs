//! Fleet configurations as control members send them to entries.

// clippy.toml allows unwrap in test functions only; this covers their helpers.
#![allow(clippy::unwrap_used)]

use std::sync::Arc;

use auburnlug_protocol::{config_delta::EncodedConfigDelta, decode, encode};
use auburnlug_state::fleet::{Database, FleetConfig, Freshness};
use proptest::prelude::*;

fn database(timeout: u64) -> Database {
    Database {
        group: "group".into(),
        freshness: Freshness::Bounded(1_500),
        timeout,
        latency_objective: 800,
        priority: 1,
        anonymous: false,
        homes: Default::default(),
    }
}

fn plan(version: u64, databases: &[(u16, u64)]) -> Arc<FleetConfig> {
    let databases = databases.iter().map(|(n, t)| (format!("db{n}").into(), database(*t)));
    Arc::new(FleetConfig { version, databases: databases.collect(), ..FleetConfig::default() })
}

fn round_trip(part: &EncodedConfigDelta) -> EncodedConfigDelta {
    decode(&encode(part).unwrap()).unwrap()
}

#[test]
fn changes_apply_only_to_their_base_version() {
    let (four, six) = (plan(4, &[(1, 1)]), plan(6, &[(1, 1), (2, 2)]));
    let seven = plan(7, &[(2, 3)]);
    let part = round_trip(&EncodedConfigDelta::between(&four, &seven).unwrap());
    assert_eq!(part.apply(&four).unwrap(), Some(seven.clone()));
    assert_eq!(part.apply(&six).unwrap(), None);
    // A newer configuration is kept.
    assert_eq!(part.apply(&plan(8, &[])).unwrap(), Some(plan(8, &[])));
    let complete =
        round_trip(&EncodedConfigDelta::between(&FleetConfig::default(), &seven).unwrap());
    assert_eq!(complete.apply(&six).unwrap(), Some(seven));
}

#[test]
fn configuration_of_2000_databases_is_sent_in_100_ms() {
    let databases: Vec<(u16, u64)> = (0..2_000).map(|n| (n, 1_000)).collect();
    let part = EncodedConfigDelta::between(&FleetConfig::default(), &plan(1, &databases)).unwrap();
    // A link of 2 Mbit/s transmits 25 KB in 100 ms.
    assert!(encode(&part).unwrap().len() < 25_000);
}

#[test]
fn corrupted_changes_are_an_error() {
    let part = EncodedConfigDelta::between(&plan(1, &[]), &plan(2, &[(1, 1)])).unwrap();
    let mut bytes = encode(&part).unwrap();
    let last = bytes.len() - 1;
    bytes[last] ^= 0xff;
    bytes[last - 3] ^= 0xff;
    if let Ok(part) = decode::<EncodedConfigDelta>(&bytes) {
        assert!(part.apply(&plan(1, &[])).is_err());
    }
}

proptest! {
    #[test]
    fn changes_turn_one_configuration_into_the_other(
        before in prop::collection::btree_map(0u16..20, 1u64..4, 0..12),
        after in prop::collection::btree_map(0u16..20, 1u64..4, 0..12),
    ) {
        let before = plan(3, &before.into_iter().collect::<Vec<_>>());
        let after = plan(5, &after.into_iter().collect::<Vec<_>>());
        let part = round_trip(&EncodedConfigDelta::between(&before, &after).unwrap());
        prop_assert_eq!(part.apply(&before).unwrap(), Some(after));
    }
}
