//! Simulation of the rate shares of one account on many entries that each see few of its
//! operations: the leader is replaced, entries are cut off, or the demand is many times the rate.

// The setting for tests in clippy.toml does not reach helper functions in test files.
#![allow(clippy::unwrap_used)]

use std::{collections::VecDeque, sync::Arc};

use auburnlug_coordination::rate_share::{
    RateLimit, RateShares, ShareBucket, ShareGrant, ShareRequest,
};
use auburnlug_state::Name;
use rand_chacha::{
    ChaCha8Rng,
    rand_core::{RngCore, SeedableRng},
};

/// One-way latency between entries and the leader.
const LEADER_LATENCY_MS: u64 = 9;

/// Interval of renewals, and the minimum one while tokens are missing.
const RENEWAL_INTERVAL_MS: u64 = 500;
const MIN_RENEWAL_INTERVAL_MS: u64 = 30;

/// Maximum time that an operation waits for a token.
const MAX_TOKEN_WAIT_MS: u64 = 150;

struct Entry {
    name: Name,
    bucket: ShareBucket,
    renewed: u64,
    /// Arrival times of waiting operations.
    waiting: VecDeque<u64>,
    /// Number of long sessions.
    sessions: u32,
}

/// One account on several entries, in steps of a millisecond.
struct Simulation {
    random: ChaCha8Rng,
    limit: RateLimit,
    shares: RateShares,
    entries: Vec<Entry>,
    /// Renewals and grants in flight: time of arrival, entry, time of sending, content.
    asks: VecDeque<(u64, usize, u64, ShareRequest)>,
    grants: VecDeque<(u64, usize, u64, ShareGrant)>,
    /// First entry that is cut off from the leader; all later ones are too.
    first_disconnected: usize,
    now: u64,
    admitted: Vec<u64>,
    refused: u64,
}

impl Simulation {
    /// `sessions` long sessions, each on a random entry.
    fn new(seed: u64, entries: usize, sessions: u32, limit: RateLimit) -> Simulation {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut list: Vec<Entry> = (0..entries)
            .map(|n| Entry {
                name: Name::try_from(format!("e{n}")).unwrap(),
                bucket: ShareBucket::new(0),
                renewed: random.next_u64() % RENEWAL_INTERVAL_MS,
                waiting: VecDeque::new(),
                sessions: 0,
            })
            .collect();
        for _ in 0..sessions {
            let at = random.next_u64() as usize % entries;
            list[at].sessions += 1;
        }
        Simulation {
            random,
            limit,
            shares: RateShares::new(0, true),
            entries: list,
            asks: VecDeque::new(),
            grants: VecDeque::new(),
            first_disconnected: entries,
            now: 0,
            admitted: Vec::new(),
            refused: 0,
        }
    }

    fn chance(&mut self, probability: f64) -> bool {
        (self.random.next_u64() as f64 / u64::MAX as f64) < probability
    }

    /// Runs for `time` milliseconds; each session sends `rate` operations per second, and `single`
    /// operations per second arrive on connections of their own.
    fn run(&mut self, time: u64, rate: f64, single: f64) {
        for _ in 0..time {
            self.now += 1;
            for at in 0..self.entries.len() {
                let sessions = f64::from(self.entries[at].sessions);
                let all = sessions * rate + single / self.entries.len() as f64;
                if self.chance(all / 1e3) {
                    self.arrive(at);
                }
            }
            self.deliver();
            for at in 0..self.entries.len() {
                self.serve(at);
            }
        }
    }

    fn arrive(&mut self, at: usize) {
        let (now, entry) = (self.now, &mut self.entries[at]);
        entry.bucket.record_operation();
        if entry.waiting.is_empty() && entry.bucket.take(now) {
            self.admitted.push(now);
        } else {
            entry.bucket.record_shortage();
            entry.waiting.push_back(now);
        }
    }

    fn serve(&mut self, at: usize) {
        let now = self.now;
        let entry = &mut self.entries[at];
        while entry.waiting.front().is_some_and(|arrival| now >= arrival + MAX_TOKEN_WAIT_MS) {
            entry.waiting.pop_front();
            self.refused += 1;
        }
        while !entry.waiting.is_empty() && entry.bucket.take(now) {
            entry.waiting.pop_front();
            self.admitted.push(now);
        }
        let interval =
            if entry.waiting.is_empty() { RENEWAL_INTERVAL_MS } else { MIN_RENEWAL_INTERVAL_MS };
        if now >= entry.renewed + interval {
            entry.renewed = now;
            if !entry.waiting.is_empty() {
                entry.bucket.record_shortage();
            }
            if let Some(ask) = entry.bucket.renewal_request(now, true)
                && at < self.first_disconnected
            {
                self.asks.push_back((now + LEADER_LATENCY_MS, at, now, ask));
            }
        }
    }

    fn deliver(&mut self) {
        while self.asks.front().is_some_and(|ask| self.now >= ask.0) {
            let (_, at, sent, ask) = self.asks.pop_front().unwrap();
            let account: Arc<str> = "a".into();
            let name = self.entries[at].name.clone();
            let grant = self.shares.renew(&name, &account, self.limit, ask, self.now);
            self.grants.push_back((self.now + LEADER_LATENCY_MS, at, sent, grant));
        }
        while self.grants.front().is_some_and(|grant| self.now >= grant.0) {
            let (_, at, sent, grant) = self.grants.pop_front().unwrap();
            if at < self.first_disconnected {
                self.entries[at].bucket.apply_grant(grant, sent, self.now);
            }
        }
    }

    /// Replaces the leader; the entries find the new one at once.
    fn change_leader(&mut self) {
        self.shares = RateShares::new(self.now, false);
        self.asks.clear();
        self.grants.clear();
        for entry in &mut self.entries {
            entry.bucket.clear_report();
        }
    }

    /// Fraction of the operations that were refused since the last call; `before` had been admitted
    /// then.
    fn refused_fraction(&mut self, before: usize) -> f64 {
        let admitted = (self.admitted.len() - before) as f64;
        let refused = std::mem::take(&mut self.refused) as f64;
        refused / (admitted + refused)
    }

    /// Maximum number of operations admitted in a window of five seconds.
    fn max_in_window(&self) -> usize {
        let admitted = &self.admitted;
        (0..admitted.len())
            .map(|from| admitted[from..].partition_point(|at| *at < admitted[from] + 5_000))
            .max()
            .unwrap_or(0)
    }
}

/// Accounts of a small and a large deployment: entries, long sessions, rate.
const ACCOUNTS: [(usize, u32, f64); 4] =
    [(7, 36, 100.0), (78, 20, 10.0), (78, 46, 24.0), (78, 300, 156.0)];

/// Runs an account at five eighths of its rate, multiplied by `factor`; a fifth of the operations
/// arrive on connections of their own.
fn run_usual_load(simulation: &mut Simulation, sessions: u32, time: u64, factor: f64) {
    let rate = simulation.limit.rate / 1.6 * factor;
    simulation.run(time, rate * 0.8 / f64::from(sessions), rate * 0.2);
}

/// Checks, for each account, the mean of `measure` over several seeds after a warm-up of 8 s.
fn each_account(measure: impl Fn(&mut Simulation, u32) -> f64, check: impl Fn(f64, f64)) {
    for (entries, sessions, rate) in ACCOUNTS {
        let results = (0..5).map(|seed| {
            let mut simulation =
                Simulation::new(seed, entries, sessions, RateLimit { rate, burst: rate });
            run_usual_load(&mut simulation, sessions, 8_000, 1.0);
            simulation.refused = 0;
            measure(&mut simulation, sessions)
        });
        let mean = results.sum::<f64>() / 5.0;
        println!("entries {entries} rate {rate}: {mean:.3}");
        check(mean, rate);
    }
}

#[test]
fn sparse_operations_below_the_rate_are_admitted() {
    let measure = |simulation: &mut Simulation, sessions| {
        let before = simulation.admitted.len();
        run_usual_load(simulation, sessions, 12_000, 1.0);
        simulation.refused_fraction(before)
    };
    each_account(measure, |refused, _| assert!(refused < 0.01));
}

#[test]
fn a_change_of_the_leader_refuses_few_operations() {
    let measure = |simulation: &mut Simulation, sessions| {
        let before = simulation.admitted.len();
        simulation.change_leader();
        run_usual_load(simulation, sessions, 4_000, 1.0);
        simulation.refused_fraction(before)
    };
    each_account(measure, |refused, _| assert!(refused < 0.05));
}

#[test]
fn most_operations_are_admitted_while_most_entries_are_cut_off() {
    let measure = |simulation: &mut Simulation, sessions| {
        let before = simulation.admitted.len();
        simulation.first_disconnected = simulation.entries.len() * 35 / 100;
        run_usual_load(simulation, sessions, 3_000, 1.0);
        simulation.refused_fraction(before)
    };
    each_account(measure, |refused, _| assert!(refused < 0.5));
}

#[test]
fn an_account_that_asks_for_many_times_its_rate_stays_within_it() {
    let measure = |simulation: &mut Simulation, sessions| {
        run_usual_load(simulation, sessions, 7_000, 7.5);
        simulation.max_in_window() as f64
    };
    // The platform tolerates a tenth more and 20 operations in a window of 5 s.
    each_account(measure, |most, rate| assert!(most <= (rate * 5.0 + rate) * 1.1 + 20.0));
}

#[test]
fn a_new_leader_stays_within_the_rate_while_cut_off_entries_use_their_shares() {
    let measure = |simulation: &mut Simulation, sessions| {
        simulation.first_disconnected = simulation.entries.len() * 35 / 100;
        simulation.change_leader();
        run_usual_load(simulation, sessions, 7_000, 7.5);
        simulation.max_in_window() as f64
    };
    each_account(measure, |most, rate| assert!(most <= (rate * 5.0 + rate) * 1.1 + 20.0));
}

#[test]
fn the_pool_refills_while_all_entries_restart() {
    let limit = RateLimit { rate: 10.0, burst: 10.0 };
    let name = Name::try_from("e").unwrap();
    let ask =
        ShareRequest { demand: 0.0, share: 0.0, prefetch: 0.0, wanted: 20.0, total_share: None };
    let tokens = |idle| {
        let mut shares = RateShares::new(5_000, false);
        shares.mark_all_reported(idle, 5_100);
        shares.renew(&name, &"a".into(), limit, ask, 5_100).tokens
    };
    // One token per 100 ms since all entries have restarted.
    assert_eq!(tokens(Some(4_500)), 6.0);
    assert_eq!(tokens(Some(0)), 10.0);
    assert_eq!(tokens(None), 1.0);
}
