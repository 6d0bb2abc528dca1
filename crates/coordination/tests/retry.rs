//! Retries: which failures are retried on another server, and how often.

use auburnlug_coordination::retry::{Attempts, Failure, NextStep, RetryBudget};
use auburnlug_state::Name;

/// Guards against a second run of a non-idempotent statement and against false "not run" answers.
#[test]
fn next_step_after_each_failure() {
    use Failure::{Lost, Statement, Stopping, Unsent};
    use NextStep::{Refuse, Report, RetryElsewhere, Unknown};
    let table = [
        ("idempotent, unsent", true, Unsent, true, RetryElsewhere),
        ("idempotent, lost", true, Lost, true, RetryElsewhere),
        ("idempotent, stopping", true, Stopping, true, RetryElsewhere),
        ("idempotent, own error", true, Statement, true, Report),
        ("idempotent, lost, no budget", true, Lost, false, Unknown),
        ("idempotent, unsent, no budget", true, Unsent, false, Refuse),
        ("non-idempotent, unsent", false, Unsent, true, RetryElsewhere),
        ("non-idempotent, unsent, no budget", false, Unsent, false, Refuse),
        ("non-idempotent, lost", false, Lost, true, Unknown),
        ("non-idempotent, stopping", false, Stopping, true, Unknown),
        ("non-idempotent, own error", false, Statement, true, Report),
    ];
    let server = Name::try_from("s1").unwrap();
    for (case, idempotent, failure, budget, next) in table {
        let mut retries = RetryBudget::new(0);
        assert!(budget || retries.take(0));
        let mut attempts = Attempts { idempotent, ..Attempts::default() };
        assert_eq!(attempts.record_failure(&server, failure, &mut retries, 0), next, "{case}");
        assert!(attempts.servers.contains(&server), "{case}");
    }
}

/// Guards against reporting "not run" after an earlier attempt was sent.
#[test]
fn a_statement_that_was_sent_is_never_reported_as_not_run() {
    let mut budget = RetryBudget::new(0);
    let mut attempts = Attempts { idempotent: true, ..Attempts::default() };
    let [a, b] = ["a", "b"].map(|n| Name::try_from(n).unwrap());
    assert_eq!(
        attempts.record_failure(&a, Failure::Lost, &mut budget, 0),
        NextStep::RetryElsewhere
    );
    assert_eq!(attempts.record_failure(&b, Failure::Unsent, &mut budget, 0), NextStep::Unknown);
}

/// Guards against retries that multiply the load of a failing group.
#[test]
fn retries_stay_at_a_tenth_of_reads() {
    let mut budget = RetryBudget::new(0);
    let taken = (0..10_000).filter(|_| {
        budget.record_read();
        budget.take(0)
    });
    assert!(taken.count() <= 1001);
    let idle = (0..10u64).filter(|s| budget.take(s * 1000)).count();
    assert!((9..=10).contains(&idle), "{idle}");
}
