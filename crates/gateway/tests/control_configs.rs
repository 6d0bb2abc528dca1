//! Tests of the configurations that a control member keeps for entries that lag.

use std::{collections::BTreeMap, sync::Arc};

use auburnlug_gateway::control_configs::FleetConfigs;
use auburnlug_state::{
    byte_size::ByteSize,
    fleet::{Database, FleetConfig, Freshness},
    limits,
};

/// Configuration with `count` databases.
fn config(version: u64, count: usize) -> Arc<FleetConfig> {
    let database = Database {
        group: "g1".into(),
        freshness: Freshness::Newest,
        timeout: version,
        latency_objective: 100,
        priority: 1,
        anonymous: false,
        homes: Default::default(),
    };
    let databases = (0..count).map(|n| (format!("database-{n:06}").into(), database.clone()));
    let databases: BTreeMap<Arc<str>, Database> = databases.collect();
    Arc::new(FleetConfig { version, databases, ..FleetConfig::default() })
}

/// Stores 30 versions of a configuration with `count` databases; returns how many of them are kept.
fn kept(count: usize) -> usize {
    let mut configs = FleetConfigs::new(&config(1, count));
    (2..=30).for_each(|version| configs.store(&config(version, count)));
    let mut is_kept = |base| configs.delta_from(base).is_none_or(|delta| delta.base == base);
    (1..=30).filter(|base| is_kept(*base)).count()
}

#[test]
fn kept_configurations_are_bounded_by_bytes() {
    // Guards against 16 configurations of some megabytes each in the memory of a control member.
    assert_eq!(kept(100), 16);
    for count in [10_000, 30_000] {
        let size = config(1, count).byte_size();
        assert_eq!(kept(count), limits::KEPT_BYTES / size, "{size} bytes each");
    }
}

#[test]
fn the_configuration_in_force_is_kept_whatever_its_size() {
    // Guards against entries that are never sent a configuration above the bound.
    let count = 2 * limits::KEPT_BYTES / 64;
    let mut configs = FleetConfigs::new(&config(1, 10));
    configs.store(&config(2, count));
    let delta = configs.delta_from(1).expect("an update to version 2");
    assert_eq!((delta.base, delta.version), (0, 2));
}
