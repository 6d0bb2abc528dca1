//! Random schedules of faults, as many at once as the group must tolerate.
//!
//! A member counts as lost while it is down, suspended, cut off or slow, and for
//! [`CATCH_UP_MS`] longer. All processes may be killed at any time, and a partition or a short pause
//! of any process may happen at any time; no other member is lost for [`CATCH_UP_MS`] after these.
//! A second loss of a disk may come before an earlier one has healed, once the leader knows of that.
//! The invariants on the membership are checked once all faults have ended for [`CATCH_UP_MS`].

use super::*;

mod second_loss;

/// Time after a fault within which the group tolerates the next one.
pub const CATCH_UP_MS: Millis = 4_000;

/// Longest pause of a process that does not count as a loss.
const MAX_PAUSE_MS: Millis = 700;

/// Time within which the instances bootstrap the group.
const BOOTSTRAP_LIMIT_MS: Millis = 5_000;

/// Proposals that make the leader replace its log by a snapshot.
const BURST_PROPOSALS: u64 = 2_100;

/// End of a fault.
#[derive(Debug, Clone)]
enum End {
    Start(Name),
    Resume(Name),
    Heal(Name),
    FastDisk(Name),
    Merge,
    HealPair(Name, Name),
}

impl End {
    fn instance(&self) -> Option<&Name> {
        match self {
            End::Start(name) | End::Resume(name) | End::Heal(name) | End::FastDisk(name) => {
                Some(name)
            }
            End::Merge | End::HealPair(..) => None,
        }
    }
}

/// A group under a random schedule.
pub struct Walk {
    pub group: Group,
    /// Checks of the membership and of the tolerated losses so far.
    pub checks: usize,
    /// Losses of disks before an earlier one had healed so far.
    pub second_losses: usize,
    rng: StdRng,
    ends: Vec<(Millis, End)>,
    /// End of the time for which each instance counts as lost.
    lost: BTreeMap<Name, Millis>,
    /// Time until which only members that are lost may have a new fault, as a fault of all or a
    /// pause was recent.
    unsettled: Millis,
    /// End of the last fault.
    last_end: Millis,
    catch_up: Millis,
    /// Instances that have replaced others.
    successors: BTreeSet<Name>,
    size: usize,
}

impl Walk {
    pub fn new(seed: u64, catch_up: Millis) -> Walk {
        let mut rng = StdRng::seed_from_u64(seed);
        let size = rng.random_range(3..=6);
        let mut names = ["a", "b", "c", "d", "e", "f"];
        rand::seq::SliceRandom::shuffle(&mut names[..], &mut rng);
        let mut settings = Settings::new(if size >= 5 && rng.random() { 2 } else { 1 });
        if rng.random_ratio(1, 3) {
            settings.timing = Timing::default();
        }
        settings.delay = *[2, 5, 20, 60].get(rng.random_range(0..4)).unwrap_or(&5);
        settings.queue = if rng.random_ratio(1, 4) { 64 } else { 1_024 };
        settings.holds = rng.random();
        let text = format!("{size} instances, {settings:?}");
        let mut group = Group::new(&names[..size], settings, rng.random());
        group.note(text);
        let (ends, lost) = (Vec::new(), BTreeMap::new());
        let (unsettled, last_end, successors) = (0, 0, BTreeSet::new());
        if rng.random_ratio(1, 3) {
            group.searches = Some(Vec::new());
        }
        let (checks, second_losses) = (0, 0);
        Walk {
            group,
            checks,
            second_losses,
            rng,
            ends,
            lost,
            unsettled,
            last_end,
            catch_up,
            successors,
            size,
        }
    }

    /// Runs the schedule for `span` milliseconds or until an invariant is violated.
    pub fn run(&mut self, span: Millis) {
        self.group.run(BOOTSTRAP_LIMIT_MS);
        if self.group.leader().is_none() {
            self.group.fail("leader: none after the bootstrap");
        }
        while self.group.now < span && self.group.violation.is_none() {
            let pause = if self.rng.random_ratio(1, 3) { 200 } else { 2_500 };
            let pause = self.rng.random_range(0..=pause);
            self.wait(pause);
            match self.rng.random_range(0..100) {
                0..6 => self.kill_all(),
                6..10 => self.split(),
                10..20 => self.pause_one(),
                20..24 => self.group.propose(BURST_PROPOSALS),
                24..30 => self.wait_until_calm(),
                30..38 => self.lose_twice(),
                38..44 => self.repeat_searches(),
                _ => self.start_fault(),
            }
            self.check_if_calm(2);
            self.check_during_losses();
        }
        self.wait_until_calm();
        self.check_if_calm(1);
    }

    fn wait(&mut self, span: Millis) {
        let until = self.group.now + span;
        while self.group.violation.is_none() {
            self.ends.sort_by_key(|(at, _)| *at);
            let next = self.ends.first().map_or(until, |(at, _)| until.min(*at));
            self.group.run(next.saturating_sub(self.group.now));
            match self.ends.first() {
                Some((at, _)) if *at <= self.group.now => {
                    let (_, end) = self.ends.remove(0);
                    self.end(end);
                }
                _ => return,
            }
        }
    }

    fn wait_until_calm(&mut self) {
        let last = self.ends.iter().map(|(at, _)| *at).max().unwrap_or(0);
        let calm = last.max(self.last_end) + self.catch_up;
        self.wait(calm.saturating_sub(self.group.now));
    }

    /// Checks the membership and the tolerated losses once in `ratio` times.
    fn check_if_calm(&mut self, ratio: u32) {
        let calm = self.ends.is_empty() && self.group.now >= self.last_end + self.catch_up;
        if calm && self.group.violation.is_none() && self.rng.random_ratio(1, ratio) {
            self.checks += 1;
            self.group.check_tolerance();
            self.group.check_membership();
        }
    }

    /// Checks that the group survives as many more losses of disks as are left to it, while some
    /// members are lost.
    fn check_during_losses(&mut self) {
        let now = self.group.now;
        self.lost.retain(|_, until| *until > now);
        let absent = self.lost.keys().any(|name| {
            // A successor and the machine that it replaces count as two while it is down.
            self.successors.contains(name.as_str()) && !self.healthy().contains(name)
        });
        let spare = self.group.settings.losses.checked_sub(self.lost.len());
        let Some(spare) = spare.filter(|_| now >= self.unsettled && !absent) else { return };
        if self.group.violation.is_none() && self.rng.random_ratio(1, 4) {
            self.checks += 1;
            let mut candidates = self.healthy();
            candidates.retain(|name| !self.lost.contains_key(name.as_str()));
            self.group.check_losses(&candidates, spare);
        }
    }

    fn end(&mut self, end: End) {
        self.last_end = self.group.now;
        self.group.note(format_args!("{end:?}"));
        match end {
            End::Start(name) => self.group.start(&name, false),
            End::Resume(name) => self.group.resume(&name),
            End::Heal(name) => self.group.heal(&name),
            End::FastDisk(name) => self.group.end_slow_syncs(&name),
            End::HealPair(one, other) => self.group.set_pair_cut(&one, &other, false),
            End::Merge => self.group.split(&BTreeSet::new()),
        }
    }

    /// Schedules the end of a fault that makes `name` count as lost.
    fn schedule(&mut self, name: &Name, span: Millis, end: End) {
        let at = self.group.now + span;
        self.ends.push((at, end));
        let until = at + self.catch_up;
        let entry = self.lost.entry(name.clone()).or_insert(until);
        *entry = (*entry).max(until);
    }

    fn unsettle(&mut self, end: Millis) {
        self.unsettled = self.unsettled.max(end + self.catch_up);
    }

    /// Instances without a fault at this moment.
    fn healthy(&self) -> Vec<Name> {
        let healthy = |state: &Instance| state.lost_since.is_none() && state.sync == 0;
        let instances = self.group.instances.iter().filter(|(_, state)| healthy(state));
        instances.map(|(name, _)| name.clone()).collect()
    }

    fn pick(&mut self, names: &[Name]) -> Option<Name> {
        let leader = self.group.leader().filter(|leader| names.contains(leader));
        if leader.is_some() && self.rng.random_ratio(1, 4) {
            return leader;
        }
        names.get(self.rng.random_range(0..names.len().max(1))).cloned()
    }

    /// Starts a fault of one member, if the others are enough.
    fn start_fault(&mut self) {
        let now = self.group.now;
        self.lost.retain(|_, until| *until > now);
        let losses = self.group.settings.losses;
        let mut victims = self.healthy();
        if self.lost.len() > losses {
            return;
        }
        if self.lost.len() == losses || now < self.unsettled {
            victims.retain(|name| self.lost.contains_key(name.as_str()));
        }
        let Some(name) = self.pick(&victims) else { return };
        // A machine that was removed counts as lost until its successor has caught up.
        let keeps_disk = self.successors.contains(&name) && self.lost.contains_key(name.as_str());
        let replaceable = !self.lost.contains_key(name.as_str());
        let short = self.rng.random_range(20..=3_000);
        let long = self.rng.random_range(200..=8_000);
        match self.rng.random_range(0..8) {
            1 if !keeps_disk => self.lose_disk(name, short),
            6 if replaceable => self.replace(&name, long),
            0 | 1 | 6 => {
                self.group.note(format_args!("kill {name}"));
                self.group.kill(&name);
                self.schedule(&name.clone(), long, End::Start(name));
            }
            2 | 3 => {
                self.group.note(format_args!("suspend {name}"));
                self.group.suspend(&name, false);
                self.schedule(&name.clone(), long, End::Resume(name));
            }
            4 => {
                self.group.note(format_args!("cut off {name}"));
                self.group.isolate(&name);
                self.schedule(&name.clone(), long, End::Heal(name));
            }
            5 => self.cut_pair(name, long),
            _ => {
                self.group.note(format_args!("slow disk of {name}"));
                self.group.instance(&name).sync = short;
                self.schedule(&name.clone(), long, End::FastDisk(name));
            }
        }
    }

    /// Cuts the links of a member, which counts as lost, to one other.
    fn cut_pair(&mut self, name: Name, span: Millis) {
        let others = self.group.instances.keys().filter(|other| **other != name);
        let others: Vec<Name> = others.cloned().collect();
        let Some(other) = self.pick(&others) else { return };
        self.group.note(format_args!("cut {name} from {other}"));
        self.group.set_pair_cut(&name, &other, true);
        self.schedule(&name.clone(), span, End::HealPair(name, other));
    }

    fn lose_disk(&mut self, name: Name, span: Millis) {
        self.group.note(format_args!("lose the disk of {name}"));
        self.group.lose_disk(&name);
        self.schedule(&name.clone(), span, End::Start(name));
    }

    /// Replaces a machine; a new one needs a seed that is still there.
    fn replace(&mut self, name: &Name, span: Millis) {
        if self.successors.len() + 2 >= self.size {
            return;
        }
        let number = self.successors.len() + 1;
        let letter = ["0", "m", "z"][self.rng.random_range(0..3)];
        let successor = super::name(&format!("{letter}{number}"));
        self.successors.insert(successor.clone());
        self.group.note(format_args!("replace {name} by {successor}"));
        self.group.replace(name, &successor);
        self.lost.remove(name.as_str());
        self.ends.retain(|(_, end)| end.instance() != Some(name));
        self.schedule(&successor.clone(), span.saturating_sub(200), End::Start(successor));
    }

    fn kill_all(&mut self) {
        self.group.note("kill all");
        let running = self.group.instances.iter().filter(|(_, state)| state.process.is_some());
        let running: Vec<Name> = running.map(|(name, _)| name.clone()).collect();
        for name in running {
            self.group.kill(&name);
            let span = self.rng.random_range(0..=1_000);
            self.schedule(&name.clone(), span, End::Start(name));
        }
    }

    fn split(&mut self) {
        let all = self.group.instances.keys().cloned();
        let side = all.filter(|_| self.rng.random()).collect();
        self.group.note(format_args!("split off {}", checks::list(&side)));
        self.group.split(&side);
        let end = self.group.now + self.rng.random_range(200..=6_000);
        self.unsettle(end);
        self.ends.push((end, End::Merge));
    }

    /// Suspends a process for less than a loss, such as while its machine is busy.
    fn pause_one(&mut self) {
        let Some(name) = self.pick(&self.healthy()) else { return };
        self.group.note(format_args!("pause {name}"));
        self.group.suspend(&name, false);
        let end = self.group.now + self.rng.random_range(50..=MAX_PAUSE_MS);
        self.unsettle(end);
        self.ends.push((end, End::Resume(name)));
    }
}
