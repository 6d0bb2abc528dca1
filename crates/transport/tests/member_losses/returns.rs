//! Disks that return, and answers of identities that have gone.

use std::cell::Cell;

use auburnlug_protocol::peer::ControlMessage;

use super::*;

fn sent(group: &Group, from: &Name, to: &Name, is: fn(&ControlMessage) -> bool) -> bool {
    let mut sent = group.searches.iter().flatten();
    sent.any(|e| e.from == *from && e.to == *to && is(&e.message))
}

/// A group whose leader was apart while its question to a member was open, and what it asked.
struct OpenQuestion {
    group: Group,
    asker: Name,
    asked: Name,
    /// Identity that the question met.
    early: Name,
    /// Present identity, which votes.
    late: Name,
}

/// A member loses its disk and asks the leader to join. The leader is cut off before it gets the
/// answer to its question, and meanwhile the member loses its disk again and joins another leader.
/// `None` if the member does not vote in time.
fn leave_question_open(seed: u64) -> Option<OpenQuestion> {
    let settings = Settings { holds: false, ..Settings::new(2) };
    let mut group = Group::new(&["a", "b", "c", "d", "e"], settings, seed);
    wait_until(&mut group, 3_000, |group| group.leader().is_some());
    group.run(1_000);
    let asker = group.leader().expect("a leader");
    let asked = followers(&group).remove(seed as usize % 4);
    group.searches = Some(Vec::new());
    // The link to the leader opens last, so that its first message is a request to join.
    group.set_way_cut(&asked, &asker, true);
    group.lose_disk(&asked);
    group.run(DOWN_MS);
    group.start(&asked, false);
    let early = group.instance(&asked).identity.clone();
    wait_until(&mut group, 3_000, |group| {
        let mut sent = group.searches.iter().flatten();
        sent.any(|e| e.from == asked && matches!(e.message, ControlMessage::Join { .. }))
    });
    group.set_way_cut(&asked, &asker, false);
    wait_until(&mut group, 3_000, |group| {
        sent(group, &asker, &asked, |m| matches!(m, ControlMessage::Identify { .. }))
    });
    group.set_way_cut(&asked, &asker, true);
    group.run(10);
    group.isolate(&asker);
    group.run(1_000);
    group.lose_disk(&asked);
    group.run(DOWN_MS);
    group.start(&asked, false);
    let late = group.instance(&asked).identity.clone();
    group.run(2_000);
    group.heal(&asker);
    group.run(1_500);
    let votes = group.members().voters.contains(late.as_str());
    group.set_way_cut(&asked, &asker, false);
    votes.then_some(OpenQuestion { group, asker, asked, early, late })
}

/// Suspends other leaders until `asker` leads; returns whether it does.
fn lead_again(group: &mut Group, asker: &Name) -> bool {
    for _ in 0..12 {
        match group.leader() {
            Some(leader) if leader == *asker => return true,
            Some(leader) => {
                group.suspend(&leader, false);
                group.run(1_000);
                group.resume(&leader);
                group.run(300);
            }
            None => group.run(300),
        }
    }
    false
}

/// Guards against a voter that is removed with its disk: the answer of an earlier identity arrives once
/// the present one votes and the member that asked leads again.
#[test]
fn an_answer_of_an_earlier_identity_is_late() {
    let played = Cell::new(0);
    check_seeds(|seed| {
        let OpenQuestion { mut group, asker, asked, early, late } = leave_question_open(seed)?;
        if !lead_again(&mut group, &asker) || group.violation.is_some() {
            return group.report(TRACE_LINES);
        }
        let mut answers = group.searches.take().expect("they are kept");
        answers.retain(|e| {
            let is_early = |identity: &Name| *identity == early;
            let answers = matches!(&e.message, ControlMessage::Identified { identity, .. } if is_early(identity));
            e.from == asked && e.to == asker && answers
        });
        answers.truncate(1);
        played.set(played.get() + answers.len());
        group.searches = Some(answers);
        group.repeat_searches(&asked, 1, true);
        group.run(300);
        if !group.members().voters.contains(late.as_str()) {
            group.fail("a voter with its disk was removed as lost");
        }
        group.report(TRACE_LINES)
    });
    assert!(played.get() > 0, "no late answer was played");
}

/// Guards against a voter that is removed for a loss of the past: its disk could not be read for a
/// while, and returns once its successor was removed as a silent learner.
#[test]
fn a_disk_returns_while_the_others_run_on() {
    check_seeds(|seed| {
        let mut group = founded(1, seed);
        let mut others = followers(&group);
        let first = others.remove(seed as usize % others.len());
        lose_disk(&mut group, &first);
        wait_until_asked(&mut group, &first);
        group.run(TOLD_MS);
        set_absent(&mut group, &first, Absence::Suspended, true);
        group.run(5_000);
        let identity = group.former(&first).expect("a former identity");
        group.kill(&first);
        group.restore_disk(&first, &identity);
        group.end_slow_syncs(&first);
        group.start(&first, false);
        group.note(format_args!("{identity} returns"));
        group.run(RECOVERY_LIMIT_MS);
        check_recovered(&mut group)
    });
}
