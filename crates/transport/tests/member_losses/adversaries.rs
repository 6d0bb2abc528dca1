//! What looks like the proof of a loss, or like the right to go on, and is neither.

use super::*;
use member_group::process::SEARCH_INTERVAL_MS;

/// Delay of a message that is delivered late.
const LATE_MS: Millis = 2_500;

/// Time for which an identity of an instance runs before it is lost as well.
const RUN_MS: Millis = 600;

/// Time for which a leader stands still, as in the record of the users.
const STALL_MS: Millis = 350;

/// Group whose first loss was told to the leader; also returns the instance, which is suspended.
fn group_without_one(losses: usize, seed: u64) -> (Group, Name) {
    let mut group = founded(losses, seed);
    let mut others = followers(&group);
    let first = others.remove(seed as usize % others.len());
    lose_disk(&mut group, &first);
    wait_until_asked(&mut group, &first);
    group.run(TOLD_MS);
    set_absent(&mut group, &first, Absence::Suspended, true);
    group.run(1_000);
    (group, first)
}

/// Requires that the group holds each of its instances and tolerates a loss.
fn check_healed(group: &mut Group) -> Option<String> {
    wait_until(group, RECOVERY_LIMIT_MS, |group| {
        group.violation.is_some() || group.leader().is_some()
    });
    check_recovered(group)
}

/// Guards against a request to join of an earlier identity that arrives, twice and out of order,
/// once a later identity votes: it proves nothing about the later one.
#[test]
fn requests_of_an_earlier_identity_arrive_after_a_later_one_votes() {
    check_seeds(|seed| {
        let mut group = founded(1, seed);
        group.searches = Some(Vec::new());
        let first = followers(&group).remove(seed as usize % 2);
        lose_disk(&mut group, &first);
        wait_until_asked(&mut group, &first);
        group.run(20 * seed);
        lose_disk(&mut group, &first);
        group.run(CATCH_UP_MS);
        group.end_slow_syncs(&first);
        for _ in 0..10 {
            group.repeat_searches(&first, usize::MAX, true);
            group.run(170);
        }
        group.repeat_searches(&first, usize::MAX, true);
        group.run(60);
        let second = followers(&group).into_iter().find(|name| *name != first);
        end_all(&mut group, second.as_slice());
        group.run(DOWN_MS);
        start_all(&mut group);
        for _ in 0..10 {
            group.repeat_searches(&first, usize::MAX, true);
            group.run(170);
        }
        check_healed(&mut group)
    });
}

/// Guards against a request that was sent by an earlier identity and is on its way for long.
#[test]
fn a_request_of_an_earlier_identity_is_late() {
    check_seeds(|seed| {
        let mut group = founded(1, seed);
        let first = followers(&group).remove(seed as usize % 2);
        let others: Vec<Name> = names(&group).into_iter().filter(|name| *name != first).collect();
        group.lose_disk(&first);
        group.run(DOWN_MS);
        for other in &others {
            group.slow_links.insert((first.clone(), other.clone()), LATE_MS + 100 * seed);
        }
        group.start(&first, false);
        group.run(RUN_MS);
        group.slow_links.clear();
        lose_disk(&mut group, &first);
        group.run(LATE_MS);
        group.end_slow_syncs(&first);
        check_healed(&mut group)
    });
}

/// Guards against an identity that is taken for lost after its instance runs under it again: the
/// disk could not be read for a while.
#[test]
fn a_disk_returns_that_could_not_be_read() {
    check_seeds(|seed| {
        let (mut group, first) = group_without_one(1, seed);
        let identity = group.former(&first).expect("a former identity");
        group.note(format_args!("{identity} returns"));
        group.restore_disk(&first, &identity);
        let second = if seed % 2 == 0 { group.leader() } else { followers(&group).pop() };
        let second = second.filter(|second| *second != first);
        end_all(&mut group, second.as_slice());
        group.run(DOWN_MS);
        start_all(&mut group);
        check_safe(&mut group)
    });
}

/// Guards against a member that shows an older state: its disk could not be read while the other of
/// two voters went on alone, and that one is lost later.
#[test]
fn a_disk_returns_after_the_group_went_on_without_it() {
    check_seeds(|seed| {
        let (mut group, first) = group_without_one(1, seed);
        let mut voters: Vec<Name> = names(&group);
        voters.retain(|name| *name != first);
        voters.rotate_left(seed as usize % 2);
        let [unread, survivor] = &voters[..] else { panic!("two voters") };
        let identity = group.instance(unread).identity.clone();
        end_all(&mut group, std::slice::from_ref(unread));
        group.run(DOWN_MS);
        start_all(&mut group);
        group.run(RECOVERY_LIMIT_MS);
        group.note(format_args!("{identity} returns, {survivor} is lost"));
        for instance in names(&group) {
            group.kill(&instance);
        }
        group.restore_disk(unread, &identity);
        group.lose_disk(survivor);
        group.run(DOWN_MS);
        start_all(&mut group);
        check_safe(&mut group)
    });
}

/// Guards against a copy of a folder that votes or leads at another instance.
#[test]
fn the_folder_of_a_voter_is_copied_to_an_instance_that_lost_its_own() {
    check_seeds(|seed| {
        let (mut group, first) = group_without_one(1, seed);
        let mut voters: Vec<Name> = names(&group);
        voters.retain(|name| *name != first);
        voters.rotate_left(seed as usize % 2);
        group.note(format_args!("copy the folder of {} to {first}", voters[0]));
        group.clone_disk(&voters[0], &first);
        group.start(&first, false);
        group.run(100 * seed);
        end_all(&mut group, &voters[..1]);
        group.run(DOWN_MS);
        start_all(&mut group);
        check_safe(&mut group)
    });
}

/// Guards against a survivor that has not heard of a new voter and takes itself for enough, although
/// the others have acknowledged entries without it.
#[test]
fn a_survivor_lags_behind_the_promotion_of_a_voter() {
    check_seeds(|seed| {
        let (mut group, first) = group_without_one(1, seed);
        let Some(leader) = group.leader() else { return check_safe(&mut group) };
        let lagging = names(&group).into_iter().find(|name| *name != first && *name != leader);
        let lagging = lagging.expect("a second voter");
        group.end_slow_syncs(&first);
        set_absent(&mut group, &first, Absence::Suspended, false);
        // The promotion is on its way to the other voter when that one is cut off.
        let identity = group.instance(&first).identity.clone();
        group.slow_links.insert((leader.clone(), lagging.clone()), 120);
        wait_until(&mut group, 6_000, |group| {
            let process = group.instance(&leader).process.as_mut();
            let members = process.and_then(|process| process.members());
            members.is_some_and(|members| members.voters.contains(identity.as_str()))
        });
        set_absent(&mut group, &lagging, Absence::Cut, true);
        group.drop_messages(&lagging);
        group.run(200 + 100 * seed);
        end_all(&mut group, &[leader]);
        group.run(DOWN_MS);
        // The lagging survivor may go on alone before it meets the new voter.
        let (alone, last) = if seed % 2 == 0 { (&lagging, &first) } else { (&first, &lagging) };
        set_absent(&mut group, &lagging, Absence::Cut, false);
        for instance in names(&group).iter().filter(|name| *name != last) {
            group.start(instance, false);
        }
        group.note(format_args!("{alone} without {last}"));
        group.run(2_000);
        start_all(&mut group);
        check_led(&mut group)
    });
}

/// Guards against a step that removes a lost voter and is stored at the leader only.
#[test]
fn a_removal_is_stored_at_the_leader_only() {
    for loses_leader in [false, true] {
        check_seeds(|seed| {
            let mut group = founded(1, seed);
            let leader = group.leader().expect("a leader");
            let first = followers(&group).remove(seed as usize % 2);
            let other = followers(&group).into_iter().find(|name| *name != first);
            let other = other.expect("three voters");
            group.slow_links.insert((leader.clone(), other.clone()), 120);
            lose_disk(&mut group, &first);
            wait_until_asked(&mut group, &first);
            group.run(TOLD_MS);
            set_absent(&mut group, &first, Absence::Suspended, true);
            set_absent(&mut group, &other, Absence::Cut, true);
            group.drop_messages(&other);
            group.run(100 * seed);
            let (lost, survivor) = if loses_leader { (&leader, &other) } else { (&other, &leader) };
            end_all(&mut group, std::slice::from_ref(lost));
            group.run(DOWN_MS);
            set_absent(&mut group, &other, Absence::Cut, false);
            group.note(format_args!("{survivor} survives"));
            start_all(&mut group);
            check_safe(&mut group)
        });
    }
}

/// Guards against a second group, and against an older state, when too many disks are lost at once.
#[test]
fn more_disks_are_lost_at_once_than_the_group_bears() {
    for (losses, lost) in [(1, 2), (1, 3), (2, 3), (2, 4), (2, 5)] {
        check_seeds(|seed| {
            let mut group = founded(losses, seed);
            let mut lost_ones = names(&group);
            lost_ones.rotate_left(seed as usize % (2 * losses + 1));
            lost_ones.truncate(lost);
            end_all(&mut group, &lost_ones);
            group.run(DOWN_MS);
            start_all(&mut group);
            check_safe(&mut group)
        });
    }
}

/// Guards against a second group when the last two voters lose their disks as well.
#[test]
fn all_disks_are_lost_one_after_the_other() {
    check_seeds(|seed| {
        let (mut group, first) = group_without_one(1, seed);
        let mut voters: Vec<Name> = names(&group);
        voters.retain(|name| *name != first);
        end_all(&mut group, &voters);
        group.run(DOWN_MS);
        start_all(&mut group);
        check_safe(&mut group)
    });
}

/// Guards against a machine that is gone for good and is taken for proven gone, as its successor at
/// another address cannot tell.
#[test]
fn a_second_disk_is_lost_before_a_planned_replacement_has_healed() {
    check_seeds(|seed| {
        let mut group = founded(1, seed);
        let first = followers(&group).remove(seed as usize % 2);
        let successor = name("x");
        group.note(format_args!("replace {first} by {successor}"));
        group.replace(&first, &successor);
        group.start(&successor, false);
        wait_until_asked(&mut group, &successor);
        set_absent(&mut group, &successor, Absence::Suspended, true);
        group.run(1_000 * seed);
        let second = followers(&group).into_iter().find(|name| *name != successor);
        end_all(&mut group, second.as_slice());
        group.run(DOWN_MS);
        start_all(&mut group);
        check_safe(&mut group)
    });
}

/// Guards against the same instance that loses its disk again before it votes, and then another one.
#[test]
fn an_instance_loses_its_disk_twice_and_then_another_one() {
    check_seeds(|seed| {
        let (mut group, first) = group_without_one(1, seed);
        set_absent(&mut group, &first, Absence::Suspended, false);
        group.run(30 * seed);
        lose_disk(&mut group, &first);
        wait_until_asked(&mut group, &first);
        group.run(TOLD_MS);
        set_absent(&mut group, &first, Absence::Suspended, true);
        group.run(4_000);
        let second = followers(&group).into_iter().find(|name| *name != first);
        end_all(&mut group, second.as_slice());
        group.run(DOWN_MS);
        start_all(&mut group);
        check_led(&mut group)
    });
}

/// Guards against a learner that is lost while it becomes a voter, and then another disk.
#[test]
fn a_learner_is_lost_while_it_is_promoted() {
    check_seeds(|seed| {
        let (mut group, first) = group_without_one(1, seed);
        set_absent(&mut group, &first, Absence::Suspended, false);
        let identity = group.instance(&first).identity.clone();
        wait_until(&mut group, 8_000, |group| group.members().voters.contains(identity.as_str()));
        group.run(seed);
        lose_disk(&mut group, &first);
        wait_until_asked(&mut group, &first);
        group.run(TOLD_MS);
        set_absent(&mut group, &first, Absence::Suspended, true);
        group.run(2_000);
        let second = followers(&group).into_iter().find(|name| *name != first);
        end_all(&mut group, second.as_slice());
        group.run(DOWN_MS);
        start_all(&mut group);
        check_led(&mut group)
    });
}

/// Trouble of the leader during a first loss.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LeaderTrouble {
    StallAtRequest,
    RestartAtRequest,
    StallDuringAbsence,
}

/// Guards against a leader that stands still or restarts as the request to join arrives, or stands
/// still while the instance is absent.
#[test]
fn the_leader_has_trouble_during_the_first_loss() {
    use LeaderTrouble::{RestartAtRequest, StallAtRequest, StallDuringAbsence};
    for trouble in [StallAtRequest, RestartAtRequest, StallDuringAbsence] {
        check_seeds(|seed| {
            let mut group = founded(1, seed);
            let first = followers(&group).remove(seed as usize % 2);
            lose_disk(&mut group, &first);
            wait_until_asked(&mut group, &first);
            if trouble != StallDuringAbsence {
                disturb_leader(&mut group, trouble);
                // Another leader has to be told anew.
                wait_until(&mut group, 3_000, |group| group.leader().is_some());
                group.run(SEARCH_INTERVAL_MS);
            }
            group.run(TOLD_MS);
            set_absent(&mut group, &first, Absence::Suspended, true);
            group.run(1_000);
            if trouble == StallDuringAbsence {
                disturb_leader(&mut group, trouble);
                group.run(1_500);
            }
            let second = followers(&group).into_iter().find(|name| *name != first);
            end_all(&mut group, second.as_slice());
            group.run(DOWN_MS);
            start_all(&mut group);
            Some(format!("{trouble:?}: {}", check_led(&mut group)?))
        });
    }
}

fn disturb_leader(group: &mut Group, trouble: LeaderTrouble) {
    let Some(leader) = group.leader() else { return };
    group.note(format_args!("{leader}: {trouble:?}"));
    if trouble == LeaderTrouble::RestartAtRequest {
        group.kill(&leader);
        group.run(STALL_MS);
        group.start(&leader, false);
    } else {
        group.suspend(&leader, false);
        group.run(STALL_MS);
        group.resume(&leader);
    }
}
