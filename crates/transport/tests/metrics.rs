//! Tests of the link counters.

use auburnlug_protocol::auth::Purpose;
use auburnlug_transport::metrics::Metrics;

/// Guards against frames that are counted without their header or under the wrong labels.
#[test]
fn link_bytes_are_kept_by_purpose_and_direction() {
    let metrics = Metrics::default();
    metrics.links.meter(Purpose::Control, "out").count(100);
    metrics.links.meter(Purpose::Control, "out").count(1_000);
    metrics.links.meter(Purpose::Traffic, "in").count(70_000);
    let text = metrics.text();
    for line in [
        r#"auburnlug_link_bytes_total{purpose="control",direction="out"} 1106"#,
        r#"auburnlug_link_bytes_total{purpose="traffic",direction="in"} 70010"#,
        r#"auburnlug_link_messages_total{purpose="control",direction="out"} 2"#,
    ] {
        assert!(text.contains(line), "{text}");
    }
}
