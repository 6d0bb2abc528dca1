//! Tests of the metrics that an instance serves.

use auburnlug_gateway::metrics::GatewayMetrics;

/// Guards against an instance that does not serve the metrics of its control member, and against a
/// member that reports tolerated disk losses before it leads.
#[test]
fn metrics_of_the_control_member_are_served() {
    let text = GatewayMetrics::default().encode_text();
    for line in [
        "auburnlug_control_voters 0",
        "auburnlug_control_learners 0",
        "auburnlug_control_leads 0",
        "auburnlug_control_voters_lost 0",
        "auburnlug_control_leaderless_ms 0",
        "auburnlug_control_losses_tolerated -1",
        "auburnlug_control_losses_configured 0",
        "auburnlug_control_membership_steps_total{kind=\"learner_removed\"} 0",
    ] {
        assert!(text.lines().any(|found| found == line), "{line} is missing: {text}");
    }
}
