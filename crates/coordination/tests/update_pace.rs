//! Updates of the control leader to hundreds of entries.

use auburnlug_coordination::update_pace::UpdatePace;

/// Counts the updates while a change comes every `gap` milliseconds for a time, and the longest
/// wait of a change.
fn play(entries: usize, gap: u64, millis: u64) -> (u32, u64) {
    let mut pace = UpdatePace::default();
    let (mut sent, mut waiting_since, mut longest) = (0, None, 0);
    for now in 0..millis + 1_000 {
        let changed = now < millis && now % gap == 0;
        if changed {
            waiting_since.get_or_insert(now);
        }
        let due =
            if changed { pace.request(entries, false, now) } else { pace.take_due(entries, now) };
        if due {
            sent += 1;
            longest = longest.max(now - waiting_since.take().unwrap_or(now));
        }
    }
    assert_eq!(waiting_since, None);
    (sent, longest)
}

/// A thousand servers register with 300 entries within four seconds.
#[test]
fn changes_of_a_mass_registration_are_sent_together() {
    let (sent, longest) = play(300, 4, 4_000);
    assert!(sent <= 15, "{sent} updates");
    assert!(longest <= 300, "a change waited {longest} ms");
}

/// A single change, and the changes of a small fleet, are not delayed.
#[test]
fn single_changes_are_sent_at_once() {
    assert_eq!(play(300, 4_000, 4_000), (1, 0));
    assert_eq!(play(7, 50, 1_000), (20, 0));
}

/// A primary is replaced while servers register.
#[test]
fn an_urgent_change_does_not_wait() {
    let mut pace = UpdatePace::default();
    assert!(pace.request(300, false, 1_000));
    assert!(!pace.request(300, false, 1_010));
    assert!(pace.request(300, true, 1_020));
    assert!(!pace.take_due(300, 1_021));
    assert!(!pace.request(300, false, 1_030));
    assert!(pace.take_due(300, 1_320));
}
