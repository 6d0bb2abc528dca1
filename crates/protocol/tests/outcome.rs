//! SQLSTATE, message and hint of outcomes.
#![allow(clippy::unwrap_used)]

use auburnlug_protocol::{
    outcome::{outcome_error, refusal_error},
    peer::{Outcome, Reason},
};
use proptest::{
    prelude::*,
    test_runner::{RngSeed, TestRunner},
};

const REASONS: [(Reason, &str); 12] = [
    (Reason::Rate, "53400"),
    (Reason::Overload, "53400"),
    (Reason::Primary, "57P03"),
    (Reason::Owner, "57P03"),
    (Reason::Lease, "57P03"),
    (Reason::Key, "28000"),
    (Reason::Stopping, "57P03"),
    (Reason::State, "0A000"),
    (Reason::Connection, "57P03"),
    (Reason::Size, "54000"),
    (Reason::Cancelled, "57014"),
    (Reason::Standby, "57P03"),
];

/// Guards against a refusal that does not say "not run", and against an unknown outcome that does
/// (property P9).
#[test]
fn only_refusals_say_not_run() {
    for (reason, code) in REASONS {
        let error = refusal_error(reason, 0);
        assert_eq!(error.code, code, "{reason:?}");
        assert!(error.message.starts_with("not run: "), "{reason:?}");
        assert_eq!(error.hint, None);
    }
    let unknown = outcome_error(&Outcome::Unknown).unwrap();
    assert_eq!(unknown.code, "08007");
    assert!(!unknown.message.contains("not run"));
    assert_eq!(outcome_error(&Outcome::Done), None);
    assert_eq!(outcome_error(&Outcome::Failed), None);
}

/// Guards against a hint whose time differs from the retry delay of the refusal.
#[test]
fn hint_gives_the_retry_delay() {
    let mut runner = TestRunner::new(ProptestConfig {
        rng_seed: RngSeed::Fixed(3),
        failure_persistence: None,
        ..ProptestConfig::default()
    });
    let result = runner.run(&(0..REASONS.len(), 1..100_000u64), |(index, retry)| {
        let outcome = Outcome::Refused { reason: REASONS[index].0, retry };
        let hint = outcome_error(&outcome).and_then(|error| error.hint);
        prop_assert_eq!(hint, Some(format!("retry after {retry} ms")));
        Ok(())
    });
    result.unwrap();
}
