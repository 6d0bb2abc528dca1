//! Deduplication by request id: a request never runs twice.

use std::collections::BTreeMap;

use auburnlug_coordination::dedup::{Begin, IntentTable, OUTCOME_RETENTION_MS, RequestTable};
use auburnlug_state::Name;
use proptest::{prelude::*, test_runner::RngSeed};

fn account() -> Name {
    Name::try_from("a").expect("valid name")
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256, rng_seed: RngSeed::Fixed(14), failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a second run (P10) across retries, lost answers and takeovers with or without
    /// the standby's table.
    #[test]
    fn no_id_runs_twice(ops in proptest::collection::vec((0..8u8, 0..10usize, 0..4000u64), 1..150)) {
        let mut table = RequestTable::<u32, ()>::new(6, 1000);
        let mut standby = IntentTable::new(100, 50, 0);
        let mut runs = BTreeMap::<String, u64>::new();
        let mut now = 0;
        for (op, id, span) in ops {
            now += span;
            let id = id.to_string();
            match op {
                0..=3 => match table.begin(&account(), &id, (), now) {
                    Begin::First(()) => {
                        let last = runs.insert(id.clone(), now);
                        prop_assert!(last.is_none_or(|at| now - at >= OUTCOME_RETENTION_MS), "{id} ran twice");
                        prop_assert!(standby.store(&account(), &id, now));
                    }
                    Begin::Answer((), answer) => prop_assert_eq!(answer.to_string(), id),
                    _ => {}
                },
                4 | 5 => {
                    table.record_answer(&account(), &id, id.parse().unwrap(), 10, now);
                    // The copy of an answer may be lost.
                    if op == 5 && runs.contains_key(&id) {
                        standby.record_answer(account(), id.clone(), id.parse().unwrap(), 10);
                    }
                }
                6 => { table.record_unknown(&account(), &id, now); }
                _ => {
                    let has_table = span % 2 == 0;
                    let old = std::mem::replace(&mut standby, IntentTable::new(100, 50, now));
                    let keys = if has_table { old.export(now) } else { None };
                    table = RequestTable::resume(6, 1000, keys, now);
                    if let Some(keys) = table.export(30, now) {
                        prop_assert!(standby.fill(keys, now));
                    }
                }
            }
        }
    }
}

/// Guards against dropping ids under load: a full table refuses new ids and retains the old ones.
#[test]
fn a_full_table_refuses() {
    let mut table = RequestTable::<&str, u32>::new(2, 100);
    assert_eq!(table.begin(&account(), "1", 10, 0), Begin::First(10));
    assert_eq!(table.begin(&account(), "2", 20, 0), Begin::First(20));
    assert_eq!(table.begin(&account(), "3", 30, 0), Begin::Full(30));
    assert_eq!(table.begin(&account(), "1", 11, 0), Begin::Joined);
    assert_eq!(table.record_answer(&account(), "1", "first", 200, 5), [11]);
    assert_eq!(table.record_answer(&account(), "1", "second", 200, 5), [0u32; 0]);
    assert_eq!(table.begin(&account(), "1", 12, 6), Begin::Answer(12, "first"));
    assert_eq!(table.discard(&account(), "2"), [0u32; 0]);
    assert_eq!(table.begin(&account(), "2", 21, 6), Begin::Full(21), "too many bytes of answers");
    let later = 5 + OUTCOME_RETENTION_MS;
    assert_eq!(table.begin(&account(), "2", 22, later), Begin::First(22));
    assert_eq!(table.begin(&account(), "1", 13, later), Begin::First(13));
}

/// Guards against a new owner without a table that treats an unseen id as new.
#[test]
fn a_new_owner_without_the_table_treats_unseen_ids_as_unknown() {
    let mut table = RequestTable::<(), ()>::resume(9, 9, None, 1000);
    assert_eq!(table.export(0, 1000), None, "an incomplete table must not be sent to a standby");
    assert_eq!(IntentTable::<()>::new(9, 9, 1000).export(1000), None);
    assert_eq!(table.begin(&account(), "1", (), 999 + OUTCOME_RETENTION_MS), Begin::Unknown(()));
    assert_eq!(table.begin(&account(), "1", (), 1000 + OUTCOME_RETENTION_MS), Begin::First(()));
    let keys =
        vec![((account(), "1".to_owned()), None), ((account(), "3".to_owned()), Some(((), 1)))];
    let mut table = RequestTable::<(), ()>::resume(9, 9, Some(keys), 1000);
    assert_eq!(table.begin(&account(), "1", (), 1001), Begin::Unknown(()));
    assert_eq!(table.begin(&account(), "2", (), 1001), Begin::First(()));
    assert_eq!(table.begin(&account(), "3", (), 1001), Begin::Answer((), ()));
}
