//! Tests of the sizes by which logs, queues and messages are bounded.

// The exemption for tests in clippy.toml does not cover helper functions in test files.
#![allow(clippy::unwrap_used)]

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use auburnlug_state::{
    Change, Command, Edit, Machine, Name,
    byte_size::ByteSize,
    fleet::{
        AccountConfig, Backend, Database, Fleet, FleetChange, FleetConfig, Freshness, GroupConfig,
        GroupPrimary, Incarnation, OrderedPromotion,
    },
    limits::count_within,
    record,
};
use proptest::prelude::*;

fn name(text: &str) -> Name {
    Name::try_from(text).unwrap()
}

/// Configuration with `count` databases whose numbers take the most bytes.
fn config(count: usize, name_length: usize, keys: usize) -> FleetConfig {
    let group: Arc<str> = "g".repeat(name_length).into();
    let homes: BTreeSet<Arc<str>> = (0..keys).map(|n| format!("region-{n}").into()).collect();
    let database = Database {
        group: group.clone(),
        freshness: Freshness::Session(u64::MAX),
        timeout: u64::MAX,
        latency_objective: u64::MAX,
        priority: u32::MAX,
        anonymous: true,
        homes: homes.clone(),
    };
    let databases = (0..count).map(|n| (format!("{n:0name_length$}").into(), database.clone()));
    let hashes = (0..keys).map(|n| n.to_string().as_str().into());
    let account = AccountConfig {
        keys: hashes.collect(),
        rate: Some(f64::MAX),
        burst: 0.1,
        priority: u32::MAX,
        homes,
    };
    FleetConfig {
        version: u64::MAX,
        databases: databases.collect(),
        groups: BTreeMap::from([(
            group,
            GroupConfig {
                max_connections: u32::MAX,
                synchronous_replicas: u32::MAX,
                cold_rate: Some(f64::MAX),
            },
        )]),
        accounts: BTreeMap::from([("account".into(), account)]),
        idle: u64::MAX,
    }
}

fn deploy(count: usize, name_length: usize, keys: usize, document: usize) -> Command {
    let plan = Arc::new(config(count, name_length, keys));
    Command::Fleet(FleetChange::Deploy { plan, document: "d".repeat(document).into() })
}

fn encoded_size(value: &impl serde::Serialize) -> usize {
    record::encode_file(value).unwrap().len()
}

#[test]
fn size_of_a_configuration_covers_document_and_decoded_form() {
    // Guards against a log whose bytes exceed what is counted for them.
    let parameters = (0..300usize, 1..80usize, 0..20usize, 0..20_000usize);
    proptest!(|((count, length, keys, document) in parameters)| {
        let command = deploy(count, length, keys, document);
        let (size, encoded) = (command.byte_size(), encoded_size(&command));
        prop_assert!(size >= encoded, "{size} counted, {encoded} stored");
        prop_assert!(size <= 2 * encoded + 512, "{size} counted, {encoded} stored");
    });
}

#[test]
fn sizes_of_other_commands_are_not_below_the_encoded_ones() {
    let long: Arc<str> = "n".repeat(256).into();
    let backend = Backend {
        id: long.clone(),
        group: long.clone(),
        address: "[2001:db8:1111:2222:3333:4444:5555:6666]:65535".parse().unwrap(),
        domain: long.clone(),
        slots: u32::MAX,
        draining: true,
        cold: true,
        run: Incarnation(u64::MAX),
    };
    let order = Some(OrderedPromotion { server: long.clone(), run: Incarnation(u64::MAX) });
    let lead = GroupPrimary {
        term: u64::MAX,
        primary: Some(long.clone()),
        former: Some(long.clone()),
        ordered: order.clone(),
    };
    let entries: BTreeMap<Name, u64> =
        (0..700).map(|n| (name(&format!("{n:063}")), u64::MAX)).collect();
    let group = long.clone();
    let edit = Edit::Publish("t".repeat(1 << 20));
    let change = Change { id: name("c"), operator: name(&"o".repeat(63)), base: u64::MAX, edit };
    let commands = [
        Command::Configure(change),
        Command::Forget(name(&"f".repeat(63))),
        Command::Fleet(FleetChange::Record(backend.clone())),
        Command::Fleet(FleetChange::Forget { id: long.clone(), run: Incarnation(u64::MAX) }),
        Command::Fleet(FleetChange::Lead { group: group.clone(), after: u64::MAX, lead }),
        Command::Fleet(FleetChange::Order {
            group,
            after: u64::MAX,
            before: order.clone(),
            ordered: order,
        }),
        Command::Fleet(FleetChange::Evacuate { domain: long, begin: true }),
        Command::Fleet(FleetChange::Entries { joined: entries.clone(), left: entries }),
    ];
    for command in commands {
        let (size, encoded) = (command.byte_size(), encoded_size(&command));
        assert!(size >= encoded, "{size} counted, {encoded} stored: {command:.40?}");
    }
}

#[test]
fn size_of_the_state_covers_its_snapshot() {
    let plan = Arc::new(config(2_800, 12, 10));
    let fleet = Fleet { plan, document: "d".repeat(600_000).into(), ..Fleet::default() };
    let machine = Machine { fleet, ..Machine::default() };
    assert!(machine.byte_size() >= encoded_size(&machine));
}

#[test]
fn a_value_above_the_limit_is_taken_alone() {
    // Guards against a configuration that is larger than a message and is never sent.
    assert_eq!(count_within([], 10), 0);
    assert_eq!(count_within([11, 1], 10), 1);
    assert_eq!(count_within([4, 6, 1], 10), 2);
    assert_eq!(count_within([usize::MAX, usize::MAX], 10), 1);
}
