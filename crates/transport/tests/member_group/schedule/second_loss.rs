//! Second losses of disks before the first loss has healed.
//!
//! The first instance asks to join, is in touch for as long as the leader needs to know of the loss,
//! and is then absent. While it is, or shortly after, as many disks are lost as the group permits,
//! alone or with all processes killed. A member must lead within the recovery time after all are
//! back.

use super::{checks::RECOVERY_LIMIT_MS, *};

/// Time in touch after the request to join within which the leader knows of a loss, without the
/// delays of messages.
const TOLD_MS: Millis = 50;

/// Messages after the request until the leader knows of the loss and all voters have stored that.
const TOLD_MESSAGES: Millis = 6;

/// Time within which a new identity asks a leader to join.
const REQUEST_LIMIT_MS: Millis = 6_000;

/// Longest sync of an instance that heals.
const HEALING_SYNC_MS: Millis = 400;

const MAX_REPEATED_MESSAGES: usize = 20;

impl Walk {
    /// Loses a disk and, before that has healed, as many more as the group permits.
    pub(super) fn lose_twice(&mut self) {
        self.wait_until_calm();
        let Some(first) = self.pick(&self.healthy()) else { return };
        if self.group.violation.is_some() || !self.tell_loss(&first) {
            return;
        }
        self.leave(&first);
        let apart = if self.rng.random_ratio(1, 4) { 600 } else { 7_000 };
        let apart = self.rng.random_range(0..=apart);
        self.wait(apart);
        let mut lost = self.group.instances.keys().cloned().collect::<Vec<_>>();
        lost.retain(|name| *name != first);
        while lost.len() > self.group.settings.losses {
            let kept = self.pick(&lost);
            lost.retain(|name| Some(name) != kept.as_ref());
        }
        self.second_losses += 1;
        self.group.note(format_args!("lose the disks of {lost:?} as well"));
        if self.rng.random_ratio(3, 4) {
            self.kill_all();
        }
        for name in lost {
            let span = self.rng.random_range(20..=1_000);
            self.ends.retain(|(_, end)| end.instance() != Some(&name));
            self.lose_disk(name, span);
        }
        if self.rng.random_ratio(1, 3) {
            self.split();
        }
        self.recover();
    }

    /// Loses a disk and runs until the leader knows; returns whether it does.
    fn tell_loss(&mut self, first: &Name) -> bool {
        let down = self.rng.random_range(20..=1_500);
        self.group.note(format_args!("lose the disk of {first}, and more later"));
        self.group.lose_disk(first);
        self.group.instance(first).sync = self.rng.random_range(0..=HEALING_SYNC_MS);
        self.schedule(first, down, End::Start(first.clone()));
        self.wait(down);
        let identity = self.group.instance(first).identity.clone();
        let end = self.group.now + REQUEST_LIMIT_MS;
        while !self.group.asked.contains_key(&identity) && self.group.now < end {
            self.wait(5);
        }
        if !self.group.asked.contains_key(&identity) {
            self.group.fail(format_args!("join: {identity} has not asked a leader"));
        }
        self.wait(TOLD_MS + TOLD_MESSAGES * self.group.settings.delay);
        self.group.violation.is_none()
    }

    /// Makes an instance absent for some seconds.
    fn leave(&mut self, first: &Name) {
        let span = self.rng.random_range(0..=8_000);
        self.group.note(format_args!("{first} leaves"));
        let end = match self.rng.random_range(0..4) {
            0 | 1 => {
                self.group.suspend(first, false);
                End::Resume(first.clone())
            }
            2 => {
                self.group.isolate(first);
                End::Heal(first.clone())
            }
            _ => {
                self.group.kill(first);
                End::Start(first.clone())
            }
        };
        self.schedule(first, span, end);
        let slow_until = self.rng.random_range(0..=span + 2_000);
        self.schedule(first, slow_until, End::FastDisk(first.clone()));
    }

    /// Requires that a member leads within the recovery time after the last fault.
    fn recover(&mut self) {
        let last = self.ends.iter().map(|(at, _)| *at).max().unwrap_or(0);
        self.wait(last.saturating_sub(self.group.now));
        let end = self.group.now + RECOVERY_LIMIT_MS;
        while self.group.now < end && self.group.leader().is_none() {
            self.wait(25);
            if self.group.violation.is_some() {
                return;
            }
        }
        if self.group.leader().is_none() {
            self.group.fail("tolerance: none leads after a second loss");
        }
        self.last_end = self.group.now;
        self.unsettle(self.group.now);
    }

    /// Repeats messages that processes of an instance have sent while they searched for the group.
    pub(super) fn repeat_searches(&mut self) {
        let names: Vec<Name> = self.group.instances.keys().cloned().collect();
        if let Some(name) = self.pick(&names) {
            self.group.repeat_searches(&name, MAX_REPEATED_MESSAGES, false);
        }
    }
}
