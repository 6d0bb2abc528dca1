//! Tests of the silence of the control leader at an entry.

use auburnlug_coordination::leader_silence::{
    LEADER_RECOVERY_LIMIT_MS, LeaderSilence, is_waiting_hopeless,
};
use proptest::prelude::*;

/// Guards against an entry that gives up while a leader is elected, or never gives up.
#[test]
fn waiting_is_hopeless_after_the_recovery_limit() {
    assert!(!is_waiting_hopeless(0));
    assert!(!is_waiting_hopeless(LEADER_RECOVERY_LIMIT_MS - 1));
    assert!(is_waiting_hopeless(LEADER_RECOVERY_LIMIT_MS));
}

/// Guards against an entry that gives up before its lease has ended.
#[test]
fn the_recovery_limit_outlasts_the_lease_and_an_election() {
    let election = 1_000;
    assert!(
        LEADER_RECOVERY_LIMIT_MS >= auburnlug_coordination::entry_leases::ENTRY_LEASE_MS + election
    );
}

/// Guards against an entry that takes its own suspension for silence of the leader.
#[test]
fn a_suspension_of_the_entry_is_not_silence() {
    let mut silence = LeaderSilence::new(1_000);
    silence.record_sign(1_100);
    silence.record_run(1_600);
    assert_eq!(silence.duration(1_700), 600);
    assert!(!is_waiting_hopeless(silence.duration(31_600)));
    silence.record_run(31_600);
    assert_eq!(silence.duration(31_700), 1_350);
    silence.record_sign(31_800);
    assert_eq!(silence.duration(31_800), 0);
}

proptest! {
    /// Guards against silence that an entry which runs as usual counts wrongly.
    #[test]
    fn silence_of_a_running_entry_is_the_time_since_the_last_sign(
        gaps in prop::collection::vec((1u64..=750, any::<bool>()), 1..200),
    ) {
        let (mut now, mut heard) = (0, 0);
        let mut silence = LeaderSilence::new(now);
        for (gap, sign) in gaps {
            now += gap;
            prop_assert_eq!(silence.duration(now), now - heard);
            if sign {
                silence.record_sign(now);
                heard = now;
            } else {
                silence.record_run(now);
            }
            prop_assert_eq!(silence.duration(now), now - heard);
        }
    }
}
