//! Memory that the names of a session count for.

use auburnlug_gateway::session_names::SessionNames;
use auburnlug_protocol::job::PreparedStatement;

fn shape(text: &str) -> PreparedStatement {
    PreparedStatement { writes: false, text: text.into() }
}

/// Thousands of sessions with many short names ran an entry out of memory: their texts counted, and
/// the map entries and allocations, several times as large, did not.
#[test]
fn short_names_count_with_what_their_entries_take() {
    let mut names = SessionNames::default();
    for n in 0..256 {
        assert!(names.set_value(format!("v{n}").into(), "x".into()));
        assert!(names.prepare(format!("p{n}").into(), shape("READ q1")));
    }
    // Two fat pointers, and two allocations with their counters, for each name.
    let least = 512 * (2 * size_of::<&str>() + 2 * 2 * size_of::<usize>());
    assert!(names.bytes() >= least, "{} of {least} bytes", names.bytes());
    assert!(!names.set_value("one more".into(), "x".into()));
    assert!(!names.prepare("one more".into(), shape("READ q1")));
    assert!(names.set_value("v0".into(), "x".into()));
}

#[test]
fn replaced_and_dropped_names_count_no_more() {
    let mut names = SessionNames::default();
    names.set_value("v".into(), "short".into());
    let before = names.bytes();
    for _ in 0..10 {
        names.set_value("v".into(), "a longer value".into());
        names.prepare("p".into(), shape("READ q1"));
        names.prepare("p".into(), shape("WRITE q2"));
        assert_eq!(names.prepared("p"), Some(&shape("WRITE q2")));
        assert!(names.deallocate("p"));
        assert!(!names.deallocate("p"));
        names.set_value("v".into(), "short".into());
    }
    assert_eq!(names.bytes(), before);
    assert_eq!(names.values().len(), 1);
}
