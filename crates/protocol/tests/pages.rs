//! The documentation page for operators that lists refusals.

use auburnlug_protocol::{
    outcome::{SqlError, outcome_error, refusal_error},
    peer::{Outcome, Reason},
};

const PAGE: &str = include_str!("../../../docs/operators/refusals.md");

const REASONS: [Reason; 10] = [
    Reason::Rate,
    Reason::Overload,
    Reason::Primary,
    Reason::Owner,
    Reason::Lease,
    Reason::Key,
    Reason::Stopping,
    Reason::State,
    Reason::Connection,
    Reason::Size,
];

/// Guards against a refusal that the page lacks, and against a page that is wrong on whether the
/// request ran, which its fourth column says.
#[test]
fn page_lists_every_refusal() {
    let unknown = (outcome_error(&Outcome::Unknown), "unknown");
    let refusals = REASONS.iter().map(|reason| (Some(refusal_error(*reason, 0)), "no"));
    for (error, ran) in refusals.chain([unknown]) {
        let Some(SqlError { code, message, .. }) = error else { continue };
        let start = format!("| {code} | {message} | ");
        let rows: Vec<&str> = PAGE.lines().filter(|line| line.starts_with(&start)).collect();
        let ran = format!(" | {ran} | ");
        assert!(!rows.is_empty(), "docs/operators/refusals.md lacks: {start}");
        assert!(rows.iter().all(|row| row.contains(&ran)), "{rows:?} must say {ran}");
    }
    let rows = PAGE.lines().filter(|line| line.contains("| not run: "));
    assert!(
        rows.clone().all(|row| row.contains(" | no | ")),
        "a request reported as not run must not have run (property P9)"
    );
    assert!(rows.count() >= REASONS.len());
}
