//! Compares the operators' pages with the metrics that an instance reports.

use std::collections::BTreeSet;

use auburnlug_protocol::peer::{Outcome, Reason};
use auburnlug_transport::metrics::Metrics;

const ALERTS: &str = include_str!("../../../docs/operators/alerts.md");
const REFUSALS: &str = include_str!("../../../docs/operators/refusals.md");

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

/// Guards against alerts on a metric or label that no instance reports, and against metrics that
/// `alerts.md` does not list.
#[test]
fn alerts_page_lists_every_metric() {
    let metrics = Metrics::default();
    for reason in REASONS {
        metrics.count_answer(&Outcome::Refused { reason, retry: 0 });
    }
    for outcome in [Outcome::Done, Outcome::Failed, Outcome::Unknown] {
        metrics.count_answer(&outcome);
    }
    metrics.count_retry("no_owner");
    metrics.record_failover_gap("detection", 1);
    let text = metrics.text();
    let reported: BTreeSet<&str> = text
        .lines()
        .filter(|line| !line.starts_with('#'))
        .filter_map(|line| line.split(['{', ' ']).next())
        .map(|name| {
            ["_sum", "_count", "_bucket"].iter().fold(name, |n, end| n.trim_end_matches(end))
        })
        .collect();
    let listed: BTreeSet<&str> = ALERTS
        .lines()
        .filter_map(|line| line.strip_prefix("| `"))
        .filter_map(|line| line.split('`').next())
        .collect();
    assert_eq!(listed, reported);
    let labels = text.lines().filter(|line| line.starts_with("auburnlug_refusals_total"));
    for label in labels.filter_map(|line| line.split('"').nth(1)) {
        assert!(ALERTS.contains(&format!("`{label}`")), "alerts.md lacks {label}");
        assert!(REFUSALS.contains(&format!("| `{label}` |")), "refusals.md lacks {label}");
    }
    for row in ALERTS.lines().filter(|line| line.contains("{kind=\"")) {
        for kind in row.split("{kind=\"").skip(1).filter_map(|rest| rest.split('"').next()) {
            assert!(ALERTS.contains(&format!("`{kind}`")), "{kind} is not a label");
        }
    }
}
