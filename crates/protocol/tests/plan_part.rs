//! Configurations as entries are sent them.

// The setting for tests in clippy.toml does not reach helper functions in test files.
#![allow(clippy::unwrap_used)]

use std::sync::Arc;

use auburnlug_protocol::{decode, encode, plan_part::PlanPart};
use auburnlug_state::fleet::{Database, Freshness, Plan};
use proptest::prelude::*;

fn database(timeout: u64) -> Database {
    Database {
        group: "group".into(),
        freshness: Freshness::Bounded(1_500),
        timeout,
        objective: 800,
        priority: 1,
        open: false,
    }
}

fn plan(version: u64, databases: &[(u16, u64)]) -> Arc<Plan> {
    let databases = databases.iter().map(|(n, t)| (format!("db{n}").into(), database(*t)));
    Arc::new(Plan { version, databases: databases.collect(), ..Plan::default() })
}

fn sent(part: &PlanPart) -> PlanPart {
    decode(&encode(part).unwrap()).unwrap()
}

#[test]
fn a_part_fits_only_what_it_starts_from() {
    let (four, six) = (plan(4, &[(1, 1)]), plan(6, &[(1, 1), (2, 2)]));
    let seven = plan(7, &[(2, 3)]);
    let part = sent(&PlanPart::between(&four, &seven).unwrap());
    assert_eq!(part.apply(&four).unwrap(), Some(seven.clone()));
    assert_eq!(part.apply(&six).unwrap(), None);
    // What is newer stays.
    assert_eq!(part.apply(&plan(8, &[])).unwrap(), Some(plan(8, &[])));
    let whole = sent(&PlanPart::between(&Plan::default(), &seven).unwrap());
    assert_eq!(whole.apply(&six).unwrap(), Some(seven));
}

#[test]
fn two_thousand_databases_take_a_tenth_of_a_second_on_a_slow_link() {
    let databases: Vec<(u16, u64)> = (0..2_000).map(|n| (n, 1_000)).collect();
    let part = PlanPart::between(&Plan::default(), &plan(1, &databases)).unwrap();
    // 2 Mbit/s are 25 KB in a tenth of a second.
    assert!(encode(&part).unwrap().len() < 25_000);
}

#[test]
fn a_cut_part_is_an_error() {
    let part = PlanPart::between(&plan(1, &[]), &plan(2, &[(1, 1)])).unwrap();
    let mut bytes = encode(&part).unwrap();
    let last = bytes.len() - 1;
    bytes[last] ^= 0xff;
    bytes[last - 3] ^= 0xff;
    if let Ok(part) = decode::<PlanPart>(&bytes) {
        assert!(part.apply(&plan(1, &[])).is_err());
    }
}

proptest! {
    #[test]
    fn a_part_leads_from_one_configuration_to_the_other(
        before in prop::collection::btree_map(0u16..20, 1u64..4, 0..12),
        after in prop::collection::btree_map(0u16..20, 1u64..4, 0..12),
    ) {
        let before = plan(3, &before.into_iter().collect::<Vec<_>>());
        let after = plan(5, &after.into_iter().collect::<Vec<_>>());
        let part = sent(&PlanPart::between(&before, &after).unwrap());
        prop_assert_eq!(part.apply(&before).unwrap(), Some(after));
    }
}
