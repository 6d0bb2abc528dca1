//! Required positions of sessions: a read is never given less than its session wrote.

use std::collections::BTreeMap;

use auburnlug_coordination::{Position, session::SessionPositions};
use auburnlug_state::Name;
use proptest::{prelude::*, test_runner::RngSeed};

fn at(term: u64, offset: u64) -> Position {
    Position { term, offset }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 128, rng_seed: RngSeed::Fixed(13), failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a session that does not see its own write (P1) after entries were replaced by
    /// the minimum of the group or an acknowledgement arrived out of order.
    #[test]
    fn a_read_needs_what_its_session_wrote(
        bound in 2..12usize,
        writes in proptest::collection::vec((0..3usize, 0..8usize, 1..3u64, 1..500u64), 1..200),
    ) {
        let names = ["a", "b", "c"].map(|n| Name::try_from(n).unwrap());
        let sessions = [None, Some("0"), Some("1"), Some("2"), Some("3"), Some("4"), Some("5"), Some("6")];
        let mut table = SessionPositions::new(Position::default(), bound);
        let mut model = BTreeMap::<_, Position>::new();
        for (a, s, term, offset) in writes {
            table.acknowledge(&names[a], sessions[s], at(term, offset));
            for key in [(a, sessions[s]), (a, None)] {
                let known = model.entry(key).or_default();
                *known = at(term, offset).max(*known);
            }
            prop_assert!(table.len() <= bound);
            for (&(a, s), position) in &model {
                prop_assert!(table.required_position(&names[a], s) >= *position);
            }
        }
    }
}

/// Guards against a required position below what the former owner acknowledged, and against reads
/// that replicas can never serve because of the writes of other sessions.
#[test]
fn takeovers_and_scopes_of_required_positions() {
    let [a, b] = ["a", "b"].map(|n| Name::try_from(n).unwrap());
    let mut table = SessionPositions::new(at(3, 100), 100);
    assert_eq!(table.required_position(&a, Some("x")), at(3, 100));
    table.acknowledge(&a, Some("x"), at(3, 120));
    assert_eq!(table.required_position(&a, Some("x")), at(3, 120));
    assert_eq!(
        table.required_position(&a, None),
        at(3, 120),
        "the whole client account includes its sessions"
    );
    assert_eq!(table.required_position(&a, Some("y")), at(3, 100), "another session needs less");
    assert_eq!(
        table.required_position(&b, Some("x")),
        at(3, 100),
        "sessions belong to one client account"
    );
    table.raise_minimum(at(3, 120));
    assert!(table.is_empty());
    assert_eq!(table.required_position(&b, None), at(3, 120));
}
