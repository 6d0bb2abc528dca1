//! Fair queue: shares under overload, classes, capacity and removal.

use std::collections::BTreeMap;

use auburnlug_coordination::queue::{FairQueue, FifoQueue, Queue, QueueParams};
use auburnlug_state::{Class, Millis, Name};
use proptest::{prelude::*, test_runner::RngSeed};

fn place(account: &str, rate: f64, class: Class, deadline: Millis) -> QueueParams {
    QueueParams { account: Name::try_from(account).expect("valid name"), rate, class, deadline }
}

/// Serves 1000 requests per second for 10 s; account `flood` sends five times its rate, the others
/// their rate. Returns the minimum over the others of requests served in relation to the rate.
fn min_served_fraction(queue: &mut dyn Queue<&'static str>) -> f64 {
    let accounts = [("flood", 400.0, 5.0), ("a", 300.0, 1.0), ("b", 200.0, 1.0), ("c", 100.0, 1.0)];
    let mut served = BTreeMap::<_, f64>::new();
    for now in 0..10_000u64 {
        queue.expire(now);
        for (name, rate, factor) in accounts {
            let due = |t: u64| (t as f64 * rate * factor / 1000.0) as u64;
            for _ in due(now)..due(now + 1) {
                queue.push(name, place(name, rate, Class::Interactive, now + 500));
            }
        }
        if let Some(name) = queue.pop(&mut |_| true) {
            *served.entry(name).or_default() += 1.0;
        }
    }
    let share = |(name, rate, _): &(&str, f64, f64)| {
        served.get(name).copied().unwrap_or_default() / (rate * 10.0)
    };
    accounts[1..].iter().map(share).fold(f64::MAX, f64::min)
}

/// Guards against a client account that starves the others (P14); the baseline does starve them.
#[test]
fn a_five_fold_flood_takes_nothing_from_the_others() {
    let fair = min_served_fraction(&mut FairQueue::new(200));
    assert!(fair >= 0.99, "{fair}");
    let fifo = min_served_fraction(&mut FifoQueue::new(200));
    assert!(fifo < 0.9, "{fifo}");
}

/// Guards against a client account that gets more by sending one request at a time.
#[test]
fn one_request_at_a_time_gets_no_more_than_its_share() {
    let mut queue = FairQueue::new(1000);
    for _ in 0..900 {
        queue.push("big", place("big", 90.0, Class::Interactive, 1));
    }
    let mut small = 0;
    queue.push("small", place("small", 10.0, Class::Interactive, 1));
    for _ in 0..100 {
        if queue.pop(&mut |_| true) == Some("small") {
            small += 1;
            queue.push("small", place("small", 10.0, Class::Interactive, 1));
        }
    }
    assert!((9..=11).contains(&small), "{small}");
}

/// Guards against batch requests that starve, and against batch requests that displace interactive
/// ones.
#[test]
fn batch_gets_a_tenth_while_interactive_waits() {
    let mut queue = FairQueue::new(1000);
    for _ in 0..300 {
        queue.push("i", place("a", 10.0, Class::Interactive, 1));
        queue.push("b", place("b", 10.0, Class::Batch, 1));
    }
    let served: Vec<_> = (0..200).filter_map(|_| queue.pop(&mut |_| true)).collect();
    assert_eq!(served.iter().filter(|s| **s == "b").count(), 20);
}

/// Guards against a request that waits for a busy server and blocks other client accounts.
#[test]
fn a_request_that_does_not_fit_is_skipped() {
    let mut queue = FairQueue::new(10);
    queue.push(1, place("a", 10.0, Class::Interactive, 1));
    queue.push(2, place("b", 10.0, Class::Interactive, 1));
    assert_eq!(queue.pop(&mut |n| *n == 2), Some(2));
    assert_eq!(queue.pop(&mut |n| *n == 2), None);
    assert_eq!(queue.len(), 1);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 128, rng_seed: RngSeed::Fixed(12), failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against lost, duplicated or expired requests, and against shedding the wrong one.
    #[test]
    fn each_request_leaves_once(ops in proptest::collection::vec((0..6u8, 0..4usize, 1..50u64), 1..300)) {
        let accounts = [("a", 1.0), ("b", 10.0), ("c", 100.0), ("d", 0.0)];
        let mut queue = FairQueue::new(6);
        let mut model = BTreeMap::<u64, (usize, u64)>::new();
        let (mut now, mut serial) = (0, 0);
        for (op, i, span) in ops {
            match op {
                0..=2 => {
                    let (name, rate) = accounts[i];
                    let class = if op == 0 { Class::Batch } else { Class::Interactive };
                    let next = queue.push(serial, place(name, rate, class, now + span));
                    prop_assert_eq!(next.ticket, serial);
                    model.insert(serial, (i, now + span));
                    serial += 1;
                    if let Some(shed) = next.shed {
                        let load = |j: usize| model.values().filter(|(k, _)| *k == j).count() as f64
                            / accounts[j].1.max(1e-6);
                        let shed_account = model[&shed].0;
                        prop_assert!((0..4).all(|j| load(j) <= load(shed_account)), "wrong client account");
                        let newest = model.iter().rev().find(|(_, (j, _))| *j == shed_account);
                        prop_assert_eq!(newest.map(|(t, _)| *t), Some(shed));
                        model.remove(&shed);
                    }
                }
                3 => if let Some(item) = queue.pop(&mut |_| true) {
                    prop_assert!(model.remove(&item).is_some());
                },
                4 => if let Some(ticket) = model.keys().nth(span as usize % 7).copied() {
                    prop_assert_eq!(queue.remove(ticket), Some(ticket));
                    prop_assert_eq!(queue.remove(ticket), None);
                    model.remove(&ticket);
                },
                _ => {
                    now += span;
                    for item in queue.expire(now) {
                        prop_assert!(model.remove(&item).is_some_and(|(_, at)| at <= now));
                    }
                    prop_assert!(model.values().all(|(_, at)| *at > now));
                }
            }
            prop_assert_eq!(queue.len(), model.len());
            prop_assert!(queue.len() <= 6);
        }
    }
}
