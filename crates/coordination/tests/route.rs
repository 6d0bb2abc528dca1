//! Choice of server: required position and maximum age are never violated.

use auburnlug_coordination::{
    Position,
    freshness::Freshness,
    route::{Balanced, Candidate, Choice, MAX_CATCH_UP_WAIT_MS, PrimaryOnly, Requirements, Route},
};
use auburnlug_state::Name;
use proptest::{prelude::*, test_runner::RngSeed};

fn name(text: &str) -> Name {
    Name::try_from(text).expect("valid name")
}

fn at(offset: u64) -> Position {
    Position { term: 1, offset }
}

fn candidate(text: &str, primary: bool, free_slots: u32) -> Candidate {
    let (name, domain) = (name(text), name("d"));
    let (applied, fresh_until) = (at(100), 1000);
    Candidate {
        name,
        primary,
        accepting: true,
        applied,
        fresh_until,
        free_slots,
        slots: 3,
        latency: 500,
        domain,
        catch_up_time: None,
    }
}

fn read() -> Requirements {
    Requirements { required_position: at(100), max_age: 50, primary: false, waited: 0 }
}

/// Guards against stale reads, statements on a draining server and unbounded waits.
#[test]
fn server_chosen_in_each_case() {
    type Case = (&'static str, fn(&mut Requirements, &mut [Candidate; 3]), Choice);
    let server = |text| Choice::Server(name(text));
    let table: [Case; 12] = [
        ("replica first, most free slots", |_, c| c[1].free_slots = 1, server("r2")),
        ("then failure domain", |_, c| c[1].domain = name("other"), server("r2")),
        ("then latency", |_, c| c[1].latency = 900, server("r2")),
        ("a write", |n, _| n.primary = true, server("p")),
        ("draining", |_, c| c[1].accepting = false, server("r2")),
        ("behind the required position", |n, _| n.required_position = at(101), server("p")),
        ("too old", |n, _| n.max_age = 9, server("p")),
        ("no slot anywhere", |_, c| c.iter_mut().for_each(|c| c.free_slots = 0), Choice::Wait),
        ("primary draining", |n, c| (n.primary, c[0].accepting) = (true, false), Choice::Wait),
        (
            "busy primary, replica soon",
            |n, c| {
                (n.required_position, c[0].free_slots, c[1].catch_up_time) = (at(101), 1, Some(3));
            },
            Choice::Pause(3),
        ),
        (
            "free primary, replica soon",
            |n, c| {
                (n.required_position, c[1].catch_up_time) = (at(101), Some(3));
            },
            server("p"),
        ),
        (
            "waited before",
            |n, c| {
                (n.required_position, n.waited, c[0].free_slots, c[1].catch_up_time) =
                    (at(101), 3, 1, Some(3));
            },
            server("p"),
        ),
    ];
    for (case, edit, choice) in table {
        let mut need = read();
        let mut all =
            [candidate("p", true, 3), candidate("r1", false, 3), candidate("r2", false, 3)];
        edit(&mut need, &mut all);
        assert_eq!(Balanced::new(name("d")).choose(&need, &all, 1010), choice, "{case}");
    }
    let all = [candidate("p", true, 1), candidate("r1", false, 3)];
    assert_eq!(PrimaryOnly.choose(&read(), &all, 1010), server("p"));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256, rng_seed: RngSeed::Fixed(15), failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a read from a replica that lacks the session's write or is older than the
    /// maximum age. The model has the exact age: a replica that has applied `n` writes holds all
    /// data up to the time of write `n + 1`.
    #[test]
    fn required_position_and_maximum_age_hold(
        steps in proptest::collection::vec((1..20u64, 0..3u8, 0..8u64, 0..2usize), 1..200),
        max_age in 0..100u64, back in 0..10u64, term in 1..3u64,
    ) {
        let names = [name("r1"), name("r2")];
        let (mut writes, mut applied) = (Vec::new(), [0u64; 2]);
        let mut fresh = Freshness::new();
        let mut now = 0;
        for (span, op, count, i) in steps {
            now += span;
            let at = |offset| Position { term, offset };
            match op {
                0 => (0..count).for_each(|_| writes.push(now)),
                1 => applied[i] = (applied[i] + count).min(writes.len() as u64),
                // The poll was sent `count` ms ago; the answer has the current position.
                _ => fresh.record_primary(now.saturating_sub(count), at(writes.len() as u64)),
            }
            fresh.record_applied(&names[i], at(applied[i]), now);
            let required_position = at((writes.len() as u64).saturating_sub(back));
            let need = Requirements { required_position, max_age, primary: false, waited: 0 };
            let all = [0, 1].map(|i| Candidate {
                applied: fresh.position(&names[i]), fresh_until: fresh.fresh_until(&names[i]),
                catch_up_time: fresh.catch_up_time(&names[i], required_position, now), ..candidate(names[i].as_str(), false, 2)
            });
            match Balanced::new(name("d")).choose(&need, &all, now) {
                Choice::Server(server) => {
                    let i = usize::from(server == names[1]);
                    prop_assert!(at(applied[i]) >= required_position);
                    let missing = writes.get(applied[i] as usize).copied().unwrap_or(now);
                    prop_assert!(now - missing <= max_age, "{} ms old", now - missing);
                }
                Choice::Pause(span) => prop_assert!(span <= MAX_CATCH_UP_WAIT_MS),
                Choice::Wait => {}
            }
        }
    }
}

/// Guards against an age bound that relies on data of a diverged log.
#[test]
fn a_replica_that_lost_data_is_not_fresh() {
    let (r, mut fresh) = (name("r"), Freshness::new());
    fresh.record_primary(100, at(10));
    fresh.record_applied(&r, at(10), 110);
    assert_eq!(fresh.fresh_until(&r), 100);
    assert_eq!(fresh.delay(&r).unwrap().mean, 10.0);
    fresh.record_primary(150, at(20));
    assert_eq!(
        fresh.catch_up_time(&r, at(20), 155),
        Some(15),
        "150 + 10 + 2 * 5 - 155, rounded up"
    );
    fresh.record_applied(&r, at(5), 160);
    assert_eq!(fresh.fresh_until(&r), 0);
    assert_eq!(fresh.common_position([&r]), at(5));
}
