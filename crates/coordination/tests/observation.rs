//! Tests of the observation time of a leader.

use auburnlug_coordination::observation::ObservationClock;

/// Interval between two runs of a leader.
const RUN_INTERVAL_MS: u64 = 25;

/// Guards against silence that is counted while the leader was unable to hear.
#[test]
fn an_interruption_does_not_count_as_silence() {
    let mut clock = ObservationClock::new(1_000);
    let heard = clock.at(1_000);
    clock.record_run(1_200);
    assert_eq!(clock.at(1_200) - heard, 200);
    // What was received during the interruption is handled before the next run is recorded.
    assert_eq!(clock.at(9_000) - heard, 450);
    clock.record_run(9_000);
    assert_eq!(clock.at(9_000) - heard, 450);
    clock.record_run(9_100);
    assert_eq!(clock.at(9_100) - heard, 550);
    clock.record_run(99_100);
    assert_eq!(clock.at(99_150) - heard, 850);
}

/// Guards against a leader that always runs late and never detects a failure.
#[test]
fn observation_time_passes_while_all_runs_are_late() {
    let mut clock = ObservationClock::new(0);
    let mut before = clock.at(0);
    for now in 1..=30_000 {
        assert!(clock.at(now) >= before, "observation time went back at {now}");
        before = clock.at(now);
        if now % 300 == 0 {
            clock.record_run(now);
        }
    }
    assert_eq!(clock.at(30_000), 25_000);
}

/// Guards against a longer detection of failures by a leader that is not interrupted.
#[test]
fn without_an_interruption_all_time_counts() {
    let mut clock = ObservationClock::new(500);
    for now in (500..60_000).step_by(RUN_INTERVAL_MS as usize) {
        clock.record_run(now);
        assert_eq!(clock.at(now + RUN_INTERVAL_MS), now + RUN_INTERVAL_MS);
    }
}
