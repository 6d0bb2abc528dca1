//! Compares the log events with their list in `docs/events.md`.

use std::collections::BTreeSet;

use auburnlug_transport::event::Event;

const CATALOGUE: &str = include_str!("../../../docs/events.md");

/// Guards against events that are missing from the list, and against two events with the same
/// number.
#[test]
fn catalogue_lists_every_event_once() {
    let mut codes = BTreeSet::new();
    for event in Event::ALL {
        assert!(codes.insert(event.code()), "number {} is used twice", event.code());
        let row = format!("| AL{:04} | {} |", event.code(), event.text());
        assert_eq!(CATALOGUE.matches(&row).count(), 1, "docs/events.md lacks: {row}");
    }
    let rows = CATALOGUE.lines().filter(|line| line.starts_with("| AL")).count();
    assert_eq!(rows, Event::ALL.len());
}
