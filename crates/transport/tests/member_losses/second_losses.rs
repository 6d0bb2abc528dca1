//! A second loss while the first instance is absent, or shortly after its return.

use super::*;

/// A first loss, the absence of its instances, and a second loss.
#[derive(Debug, Clone, Copy)]
struct Course {
    losses: usize,
    /// Instances that lose their disks first.
    first: usize,
    /// Instances that lose their disks then.
    second: usize,
    first_leads: bool,
    absence: Absence,
    /// Time in touch after the request to join; without one, the instance is absent before it.
    told: Option<Millis>,
    apart: Millis,
    /// Time between the return and the second loss; without one, it is absent until that.
    back: Option<Millis>,
    /// Whether only the instances that lose their disks are killed at the second loss.
    alone: bool,
}

const COURSE: Course = Course {
    losses: 1,
    first: 1,
    second: 1,
    first_leads: false,
    absence: Absence::Suspended,
    told: Some(TOLD_MS),
    apart: 6_000,
    back: Some(1_000),
    alone: false,
};

impl Course {
    /// Instances of the first loss.
    fn firsts(self, group: &Group, seed: u64) -> Vec<Name> {
        let mut firsts = followers(group);
        firsts.rotate_left(seed as usize % 2);
        if self.first_leads {
            firsts.insert(0, group.leader().expect("a leader"));
        }
        firsts.truncate(self.first);
        firsts
    }

    /// Instances of the second loss; half of the time the leader is one of them.
    fn seconds(self, group: &Group, firsts: &[Name], seed: u64) -> Vec<Name> {
        let mut seconds = followers(group);
        let place = if seed.is_multiple_of(2) { 0 } else { seconds.len() };
        seconds.splice(place..place, group.leader());
        seconds.retain(|name| !firsts.contains(name));
        seconds.truncate(self.second);
        seconds
    }

    fn play(self, seed: u64) -> Group {
        let mut group = founded(self.losses, seed);
        let firsts = self.firsts(&group, seed);
        for first in &firsts {
            lose_disk(&mut group, first);
            if let Some(told) = self.told {
                wait_until_asked(&mut group, first);
                group.run(told);
            }
            set_absent(&mut group, first, self.absence, true);
        }
        group.run(self.apart);
        if let Some(back) = self.back {
            firsts.iter().for_each(|first| set_absent(&mut group, first, self.absence, false));
            group.run(back);
        }
        let seconds = self.seconds(&group, &firsts, seed);
        if self.alone {
            group.note(format_args!("lose the disks of {seconds:?}"));
            seconds.iter().for_each(|second| group.lose_disk(second));
        } else {
            end_all(&mut group, &seconds);
        }
        group.run(DOWN_MS);
        firsts.iter().for_each(|first| set_absent(&mut group, first, self.absence, false));
        start_all(&mut group);
        group
    }

    fn must_recover(self) {
        check_seeds(|seed| Some(format!("{self:?}: {}", check_led(&mut self.play(seed))?)));
    }

    fn must_stay_safe(self) {
        check_seeds(|seed| Some(format!("{self:?}: {}", check_safe(&mut self.play(seed))?)));
    }
}

/// Guards against a lost voter that keeps its vote while its instance is suspended.
#[test]
fn a_second_disk_is_lost_while_the_first_instance_is_suspended() {
    Course { back: None, ..COURSE }.must_recover();
}

/// Guards against a lost voter that keeps its vote until its instance, which was suspended, is back.
#[test]
fn a_second_disk_is_lost_shortly_after_the_first_instance_was_suspended() {
    for back in [0, 100, 400] {
        Course { back: Some(back), ..COURSE }.must_recover();
    }
}

/// Guards against a lost voter that keeps its vote while its instance cannot be reached.
#[test]
fn a_second_disk_is_lost_while_the_first_instance_is_cut_off() {
    for absence in [Absence::Cut, Absence::Deaf, Absence::Mute] {
        for back in [None, Some(400)] {
            Course { absence, back, ..COURSE }.must_recover();
        }
    }
}

/// Guards against a group that waits for the removal of the lost voter until it is silent for long.
#[test]
fn a_second_disk_is_lost_soon_after_the_first() {
    for apart in [200, 1_000, 2_500] {
        Course { apart, back: None, ..COURSE }.must_recover();
    }
}

/// Guards against a new leader that is not told of the loss of the former one.
#[test]
fn a_second_disk_is_lost_after_the_leader_lost_its_own() {
    for back in [None, Some(400)] {
        Course { first_leads: true, back, ..COURSE }.must_recover();
    }
}

/// Guards against a survivor that runs on and never leads alone.
#[test]
fn a_second_disk_is_lost_and_the_others_run_on() {
    for back in [None, Some(0), Some(400)] {
        Course { alone: true, back, ..COURSE }.must_recover();
    }
}

/// Guards against four voters of which two are lost, and three of which one is.
#[test]
fn more_disks_are_lost_in_a_group_that_tolerates_two() {
    for (first, second) in [(1, 2), (2, 1)] {
        Course { losses: 2, first, second, back: None, ..COURSE }.must_recover();
    }
}

/// Guards against a group that loses something when too many disks are lost in it.
#[test]
fn a_group_that_tolerates_two_losses_loses_four_disks() {
    Course { losses: 2, first: 2, second: 2, back: None, ..COURSE }.must_stay_safe();
}

/// Guards against a group that takes silence for the proof of a loss.
#[test]
fn a_second_disk_is_lost_before_anyone_is_told_of_the_first() {
    for absence in ABSENCES {
        for back in [None, Some(0)] {
            Course { absence, back, told: None, ..COURSE }.must_stay_safe();
        }
    }
}

/// Guards against a second loss while the first heals.
#[test]
fn a_second_disk_is_lost_while_the_first_heals() {
    for back in [60, 90, 150, 300, 600] {
        Course { told: Some(0), apart: 0, back: Some(back), ..COURSE }.must_recover();
    }
}

/// Guards against a membership step that is stored at some of the voters only.
#[test]
fn a_second_disk_is_lost_while_a_membership_step_is_under_way() {
    for back in [0, 1, 2, 3, 5, 8, 12, 20, 30, 45] {
        Course { told: Some(0), apart: 0, back: Some(back), ..COURSE }.must_stay_safe();
    }
}
