//! Cold servers: the sum of what all connection owners send stays within the rate of the server.

// The setting for tests in clippy.toml does not reach helper functions in test files.
#![allow(clippy::unwrap_used)]

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use auburnlug_coordination::{
    Millis,
    entry_leases::{ENTRY_LEASE_MS, EntryLeases},
    server_pace::{ColdShares, ShareAssignment, StatementPacer},
};
use auburnlug_state::Name;
use proptest::prelude::*;

/// Rate of the cold server, in statements/s.
const COLD_RATE: f64 = 20.0;

/// Statements that the server may get in any second: the rate with an overage of 1.5, and a slack
/// of 5.
const MAX_PER_SECOND: usize = 35;

const ENTRIES: usize = 4;

const STEP_MS: Millis = 10;

fn entry(number: usize) -> Name {
    Name::try_from(format!("entry-{number}").as_str()).unwrap()
}

/// View of the server that an entry has.
#[derive(Clone, Default)]
struct ServerView {
    index: u64,
    is_cold: bool,
    /// Shares of the connection owners.
    shares: BTreeMap<Name, Option<f64>>,
}

#[derive(Default)]
struct Entry {
    view: ServerView,
    /// End of the lease, and the update that it requires.
    lease: (Millis, u64),
    pacer: StatementPacer,
    cut_until: Millis,
    frozen_until: Millis,
}

/// A control leader, and entries that send as many statements as they may.
struct Deployment {
    now: Millis,
    leases: EntryLeases,
    shares: ColdShares,
    /// Newest view.
    view: ServerView,
    owners: Vec<(Name, u32)>,
    is_announced: bool,
    entries: Vec<Entry>,
    /// Times at which the cold server got a statement.
    sent: Vec<Millis>,
}

impl Deployment {
    fn new() -> Deployment {
        Deployment {
            now: 1_000,
            leases: EntryLeases::new(1_000, BTreeSet::new()),
            shares: ColdShares::default(),
            view: ServerView::default(),
            owners: Vec::new(),
            is_announced: false,
            entries: (0..ENTRIES).map(|_| Entry::default()).collect(),
            sent: Vec::new(),
        }
    }

    /// Another control member leads; it knows no shares.
    fn replace_leader(&mut self) {
        let holders = (0..ENTRIES).map(entry).collect();
        self.leases = EntryLeases::new(self.now, holders);
        self.shares = ColdShares::default();
        self.owners.clear();
        self.is_announced = false;
        // Update numbers stand for those of the new term.
        self.view.index += 1;
    }

    fn assign(&mut self, owners: &[usize], is_cold: bool) {
        let server: Arc<str> = "s".into();
        let divided = |at: usize| if at == 0 { 6 } else { 4 };
        let owners: Vec<(Name, u32)> =
            owners.iter().enumerate().map(|(at, number)| (entry(*number), divided(at))).collect();
        let update = self.view.index + 1;
        let assignment = ShareAssignment {
            server: &server,
            owners: &owners,
            rate: is_cold.then_some(COLD_RATE),
            update,
            is_new: self.is_announced && self.owners.is_empty(),
        };
        self.shares.assign(assignment, &self.leases, self.now);
        let shares = owners
            .iter()
            .map(|(name, _)| (name.clone(), self.shares.share(&server, name.as_str())));
        self.view = ServerView { index: update, is_cold, shares: shares.collect() };
        self.owners = owners;
        self.is_announced = true;
    }

    /// Entries in touch renew their leases and apply the newest update.
    fn renew(&mut self) {
        for (number, entry_state) in self.entries.iter_mut().enumerate() {
            if self.now < entry_state.cut_until.max(entry_state.frozen_until) {
                continue;
            }
            let name = entry(number);
            self.leases.renew(&name, entry_state.view.index, self.now);
            entry_state.lease = (self.now + ENTRY_LEASE_MS, self.view.index);
            entry_state.view = self.view.clone();
            let share = entry_state.view.shares.get(&name);
            let rate = share.copied().flatten().unwrap_or(0.0);
            entry_state.pacer.set_rate(entry_state.view.is_cold.then_some(rate));
        }
    }

    /// Each owner sends as much as it may, while the server is cold in the newest view.
    fn run(&mut self, duration: Millis) {
        let end = self.now + duration;
        while self.now < end {
            self.now += STEP_MS;
            for (number, entry_state) in self.entries.iter_mut().enumerate() {
                let leased =
                    self.now < entry_state.lease.0 && entry_state.view.index >= entry_state.lease.1;
                let owns = entry_state.view.shares.contains_key(&entry(number));
                if self.now < entry_state.frozen_until || !leased || !owns {
                    continue;
                }
                let is_cold = entry_state.view.is_cold;
                while is_cold
                    && !entry_state.pacer.is_closed()
                    && entry_state.pacer.ready_at() <= self.now
                {
                    entry_state.pacer.record_sent(self.now);
                    self.sent.push(self.now);
                }
            }
            if self.now.is_multiple_of(500) {
                self.renew();
            }
            let number = |name: &Name| (0..ENTRIES).find(|number| *name == entry(*number)).unwrap();
            let owners: Vec<usize> = self.owners.iter().map(|(name, _)| number(name)).collect();
            if self.shares.has_released(&self.leases, self.now) && !owners.is_empty() {
                self.assign(&owners, self.view.is_cold);
            }
        }
    }

    fn most_in_a_second(&self) -> usize {
        let within = |start: Millis| {
            self.sent.iter().filter(|at| (start..start + 1_000).contains(*at)).count()
        };
        self.sent.iter().map(|start| within(*start)).max().unwrap_or(0)
    }
}

#[derive(Debug, Clone)]
enum Step {
    Assign(usize, usize),
    Cut(usize, Millis),
    Freeze(usize, Millis),
    ReplaceLeader,
    Run(Millis),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0..ENTRIES, 0..ENTRIES).prop_map(|(first, second)| Step::Assign(first, second)),
        1 => (0..ENTRIES, 100u64..9_000).prop_map(|(number, time)| Step::Cut(number, time)),
        1 => (0..ENTRIES, 100u64..9_000).prop_map(|(number, time)| Step::Freeze(number, time)),
        1 => Just(Step::ReplaceLeader),
        4 => (1u64..300).prop_map(|time| Step::Run(time * STEP_MS)),
    ]
}

fn owners(first: usize, second: usize) -> Vec<usize> {
    if first == second { vec![first] } else { vec![first, second] }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(128))]

    /// Guards against sums above the rate while owners are replaced, cut off or frozen, or another
    /// control member leads.
    #[test]
    fn sum_of_all_owners_stays_within_the_rate(steps in prop::collection::vec(step(), 1..40)) {
        let mut deployment = Deployment::new();
        deployment.assign(&[0, 1], true);
        deployment.renew();
        for step in steps {
            match step {
                Step::Assign(first, second) => deployment.assign(&owners(first, second), true),
                Step::Cut(number, time) => {
                    deployment.entries[number].cut_until = deployment.now + time;
                }
                Step::Freeze(number, time) => {
                    deployment.entries[number].frozen_until = deployment.now + time;
                }
                Step::ReplaceLeader => deployment.replace_leader(),
                Step::Run(time) => deployment.run(time),
            }
        }
        deployment.run(6_000);
        prop_assert!(deployment.most_in_a_second() <= MAX_PER_SECOND);
    }
}

/// Guards against a cold server that stays idle although its owners are in touch.
#[test]
fn owners_in_touch_use_the_whole_rate() {
    let mut deployment = Deployment::new();
    deployment.assign(&[0, 1], true);
    deployment.renew();
    deployment.run(5_000);
    let expected = COLD_RATE as usize * 5;
    assert!(deployment.sent.len().abs_diff(expected) <= 10, "{}", deployment.sent.len());
    assert!(deployment.most_in_a_second() <= COLD_RATE as usize + 2);
}

/// Guards against an owner that is replaced while it is cut off: until its lease ends, its share is
/// granted to no other; then the new owner has it.
#[test]
fn share_of_an_owner_that_is_cut_off_moves_when_its_lease_ends() {
    let mut deployment = Deployment::new();
    deployment.assign(&[0, 1], true);
    deployment.renew();
    deployment.run(2_000);
    deployment.entries[0].cut_until = 60_000;
    deployment.assign(&[2, 1], true);
    deployment.run(1_000);
    let share = |deployment: &Deployment| deployment.shares.share("s", entry(2).as_str()).unwrap();
    assert_eq!(share(&deployment), 0.0);
    deployment.run(5_000);
    assert_eq!(share(&deployment), COLD_RATE * 0.6);
}

/// Guards against statements at full rate by owners that do not know yet that the server is cold.
#[test]
fn server_that_turns_cold_gets_shares_once_all_owners_know() {
    let mut deployment = Deployment::new();
    deployment.assign(&[0, 1], false);
    deployment.renew();
    deployment.entries[1].cut_until = 3_000;
    deployment.assign(&[0, 1], true);
    assert_eq!(deployment.shares.share("s", entry(0).as_str()), Some(0.0));
    deployment.run(1_000);
    assert_eq!(deployment.shares.share("s", entry(0).as_str()), Some(0.0));
    deployment.run(5_000);
    assert_eq!(deployment.shares.share("s", entry(0).as_str()), Some(COLD_RATE * 0.6));
}

/// Guards against a burst of the time in which nothing was sent, after an owner was frozen.
#[test]
fn elapsed_time_is_not_credited() {
    let mut pacer = StatementPacer::default();
    pacer.set_rate(Some(10.0));
    pacer.record_sent(1_000);
    assert_eq!(pacer.ready_at(), 1_100);
    pacer.record_sent(9_000);
    assert_eq!(pacer.ready_at(), 9_100);
    pacer.set_rate(Some(0.0));
    assert!(pacer.is_closed());
    pacer.set_rate(None);
    assert_eq!(pacer.ready_at(), 0);
}
