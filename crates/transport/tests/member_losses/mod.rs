//! Losses of another disk before an earlier loss has healed.
//!
//! A leader is told of a loss once it has handled the request to join of the new identity and the
//! instance has run and been in touch for [`TOLD_MS`] after it. From then on the group must survive
//! the next loss: nothing acknowledged is lost, and a member leads within the recovery time after
//! all instances are back. Without that, it may wait, but must lose nothing.

use super::*;
use member_group::checks::RECOVERY_LIMIT_MS;

mod adversaries;
mod returns;
mod second_losses;

/// Time in touch after the request to join within which the leader knows of a loss.
const TOLD_MS: Millis = 50;

/// Longest sync of an instance that heals, so that it votes as late after its start as on the bench.
const HEALING_SYNC_MS: Millis = 400;

/// Time without a process at a loss.
const DOWN_MS: Millis = 400;

/// How an instance is absent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Absence {
    Suspended,
    Cut,
    /// Receives nothing.
    Deaf,
    /// Is heard by nobody.
    Mute,
}

const ABSENCES: [Absence; 4] = [Absence::Suspended, Absence::Cut, Absence::Deaf, Absence::Mute];

fn set_absent(group: &mut Group, instance: &Name, absence: Absence, absent: bool) {
    group.note(format_args!("{instance} {absence:?}: {absent}"));
    match (absence, absent) {
        (Absence::Suspended, true) => group.suspend(instance, false),
        (Absence::Suspended, false) => group.resume(instance),
        (Absence::Cut, true) => group.isolate(instance),
        (Absence::Cut, false) => group.heal(instance),
        (Absence::Deaf | Absence::Mute, _) => {
            for other in names(group).iter().filter(|other| *other != instance) {
                let deaf = absence == Absence::Deaf;
                let (from, to) = if deaf { (other, instance) } else { (instance, other) };
                group.set_way_cut(from, to, absent);
            }
        }
    }
}

/// Group of as many voters as a number of losses needs.
fn founded(losses: usize, seed: u64) -> Group {
    let voters = &["a", "b", "c", "d", "e"][..2 * losses + 1];
    let mut group = Group::new(voters, Settings::new(losses), seed);
    wait_until(&mut group, 3_000, |group| group.leader().is_some());
    group.run(300 + 90 * seed);
    group
}

fn names(group: &Group) -> Vec<Name> {
    group.instances.keys().cloned().collect()
}

/// Instances other than the leader.
fn followers(group: &Group) -> Vec<Name> {
    let leader = group.leader();
    names(group).into_iter().filter(|name| Some(name) != leader.as_ref()).collect()
}

/// Replaces the disk of an instance by an empty and slow one and starts it.
fn lose_disk(group: &mut Group, instance: &Name) {
    group.note(format_args!("lose the disk of {instance}"));
    group.lose_disk(instance);
    group.instance(instance).sync = HEALING_SYNC_MS;
    group.run(DOWN_MS);
    group.start(instance, false);
}

/// Runs until a leader has handled the request of an instance to join.
fn wait_until_asked(group: &mut Group, instance: &Name) {
    let identity = group.instance(instance).identity.clone();
    wait_until(group, 6_000, |group| group.asked.contains_key(&identity));
    group.note(format_args!("{identity} has asked to join"));
}

/// Kills all processes, of which some lose their disks.
fn end_all(group: &mut Group, lost: &[Name]) {
    group.note(format_args!("kill all, lose the disks of {lost:?}"));
    for instance in names(group) {
        group.kill(&instance);
    }
    lost.iter().for_each(|instance| group.lose_disk(instance));
}

fn start_all(group: &mut Group) {
    group.note("start all");
    for instance in names(group) {
        group.end_slow_syncs(&instance);
        group.start(&instance, false);
    }
}

/// Requires that a member leads within the recovery time, and then that the group heals.
fn check_led(group: &mut Group) -> Option<String> {
    let end = group.now + RECOVERY_LIMIT_MS;
    while group.now < end && group.violation.is_none() && group.leader().is_none() {
        group.run(25);
    }
    if group.violation.is_none() && group.leader().is_none() {
        group.fail("tolerance: none leads after the second loss");
    }
    check_recovered(group)
}

/// Requires only that nothing is lost, as the group cannot know what is.
fn check_safe(group: &mut Group) -> Option<String> {
    group.run(RECOVERY_LIMIT_MS);
    group.report(TRACE_LINES)
}
