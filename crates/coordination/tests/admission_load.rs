//! Simulation of rate shares in a fleet of hundreds of entries, with a long tail of client accounts
//! of which each entry sees few operations. The control leader fails, regional limiters are
//! unresponsive, regions are cut off from the leader, and one account exceeds its rate.

// The setting for tests in clippy.toml does not reach helper functions in test files.
#![allow(clippy::unwrap_used)]

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
};

use auburnlug_coordination::{
    connection_owners::Location,
    rate_share::{RateLimit, RateShares, ShareBucket, ShareGrant, ShareRequest},
    regional_limiters::{self, RegionalLimiters},
};
use auburnlug_state::Name;
use proptest::{
    prelude::*,
    test_runner::{RngSeed, TestRunner},
};
use rand_chacha::{
    ChaCha8Rng,
    rand_core::{RngCore, SeedableRng},
};

/// One-way latency between entries and the leader.
const LEADER_LATENCY_MS: u64 = 12;

/// Interval of renewals, and the minimum one while tokens are missing.
const RENEWAL_INTERVAL_MS: u64 = 500;
const MIN_RENEWAL_INTERVAL_MS: u64 = 30;

/// Maximum time that an operation waits for a token: with a leader that answers, and without one.
const MAX_TOKEN_WAIT_MS: u64 = 150;
const MAX_LEADER_WAIT_MS: u64 = 900;

/// Time without an answer after which an entry tries the next regional limiter.
const LIMITER_TIMEOUT_MS: u64 = 100;

/// Backoff of a regional limiter that did not answer.
const LIMITER_BACKOFF_MS: u64 = 1_000;

/// Time since the leader's last answer after which operations do not wait for it.
const LEADER_TIMEOUT_MS: u64 = 1_200;

#[derive(Default)]
struct Account {
    limit: f64,
    /// Operations per second.
    demand: f64,
    admitted: Vec<u64>,
    /// Level of a single bucket that sees all operations, and the time of its last update.
    reference: (f64, u64),
}

impl Account {
    /// Whether a single bucket that sees all operations admits this one.
    fn reference_admits(&mut self, now: u64) -> bool {
        let (level, at) = self.reference;
        let level = (level + self.limit * (now - at) as f64 / 1e3).min(self.limit);
        let admits = level >= 1.0;
        self.reference = (if admits { level - 1.0 } else { level }, now);
        admits
    }
}

struct Entry {
    name: Name,
    region: Arc<str>,
    buckets: BTreeMap<usize, ShareBucket>,
    renewed: u64,
    /// Send time of the last renewal that the leader answered.
    answered: u64,
    /// Whether the entry reaches the leader, and whether its process runs.
    reaches_leader: bool,
    running: bool,
    /// Whether the process is stopping, so that it releases its rate shares.
    stopping: bool,
    /// Side of a network partition between entries.
    partition: u8,
    /// Account and arrival time of waiting operations.
    waiting: VecDeque<(usize, u64)>,
}

/// Messages in flight: time of arrival, entry, time of sending, content by account.
type Messages<T> = VecDeque<(u64, usize, u64, Vec<(usize, T)>)>;

struct Fleet {
    random: ChaCha8Rng,
    now: u64,
    accounts: Vec<Account>,
    entries: Vec<Entry>,
    limiters: RegionalLimiters,
    leader: Option<RateShares>,
    asks: Messages<ShareRequest>,
    grants: Messages<ShareGrant>,
    /// Operations that are retried at the next regional limiter: time, entry, account, and the
    /// number of regional limiters tried.
    retries: VecDeque<(u64, usize, usize, usize)>,
    /// Time until which an entry does not try another one.
    backoffs: BTreeMap<(usize, usize), u64>,
    admitted: u64,
    refused: u64,
    /// Operations that a single bucket per account would have refused.
    expected_refusals: u64,
    /// Renewals that the leader answered.
    renewals: u64,
}

impl Fleet {
    /// `count` entries in three regions, and `accounts` client accounts whose demands follow a long
    /// tail and are five eighths of their rates.
    fn new(seed: u64, count: usize, accounts: usize, total: f64, with_limiters: bool) -> Fleet {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let weight = |n: usize| 1.0 / (n as f64 + 1.5);
        let sum: f64 = (0..accounts).map(weight).sum();
        let account = |n| {
            let demand = total * weight(n) / sum;
            let limit = (demand * 1.6).ceil().max(3.0);
            Account { limit, demand, admitted: Vec::new(), reference: (limit, 0) }
        };
        let entry = |n: usize| Entry {
            name: Name::try_from(format!("e{n:03}")).unwrap(),
            region: format!("r{}", n % 3).into(),
            buckets: BTreeMap::new(),
            renewed: random.next_u64() % RENEWAL_INTERVAL_MS,
            answered: 0,
            reaches_leader: true,
            running: true,
            stopping: false,
            partition: 0,
            waiting: VecDeque::new(),
        };
        let entries: Vec<Entry> = (0..count).map(entry).collect();
        let mut fleet = Fleet {
            random,
            now: 0,
            accounts: (0..accounts).map(account).collect(),
            entries,
            limiters: RegionalLimiters::new(),
            leader: Some(RateShares::new(0, true)),
            asks: VecDeque::new(),
            grants: VecDeque::new(),
            retries: VecDeque::new(),
            backoffs: BTreeMap::new(),
            admitted: 0,
            refused: 0,
            expected_refusals: 0,
            renewals: 0,
        };
        if with_limiters {
            fleet.choose_limiters();
        }
        fleet
    }

    fn choose_limiters(&mut self) {
        let healthy = self.entries.iter().filter(|entry| entry.running && !entry.stopping);
        let place =
            |entry: &Entry| Location { region: entry.region.clone(), domain: entry.region.clone() };
        let places = healthy.map(|entry| (entry.name.clone(), place(entry))).collect();
        self.limiters = regional_limiters::choose(&places, &self.limiters);
    }

    fn random_below(&mut self, limit: f64) -> f64 {
        self.random.next_u64() as f64 / u64::MAX as f64 * limit
    }

    /// Runs for `time` milliseconds at the usual demand; that of account 0 is multiplied by
    /// `factor`.
    fn run(&mut self, time: u64, factor: f64) {
        for _ in 0..time {
            self.now += 1;
            for account in 0..self.accounts.len() {
                let demand =
                    self.accounts[account].demand * if account == 0 { factor } else { 1.0 };
                let mut left = demand / 1e3;
                while left > 0.0 {
                    if self.random_below(1.0) < left.min(1.0) {
                        let at = self.random_below(self.entries.len() as f64) as usize;
                        self.arrive(at.min(self.entries.len() - 1), account);
                    }
                    left -= 1.0;
                }
            }
            while self.retries.front().is_some_and(|retry| self.now >= retry.0) {
                let (_, at, account, attempt) = self.retries.pop_front().unwrap();
                self.route(at, account, attempt);
            }
            self.deliver();
            for at in 0..self.entries.len() {
                if self.entries[at].running {
                    self.serve(at);
                }
            }
        }
    }

    /// Handles an operation that arrives at an entry; those at a stopped entry are not counted.
    fn arrive(&mut self, at: usize, account: usize) {
        if !self.entries[at].running {
            return;
        }
        self.expected_refusals += u64::from(!self.accounts[account].reference_admits(self.now));
        self.route(at, account, 0);
    }

    /// Admits an operation at the first regional limiter that can, from attempt `attempt`, or else
    /// at the entry itself.
    fn route(&mut self, at: usize, account: usize, attempt: usize) {
        let now = self.now;
        let (ahead, answers) = (self.waiting(at, account), self.leader_answers(at));
        let entry = &self.entries[at];
        let bucket = entry.buckets.get(&account);
        let asks = bucket.is_none_or(|bucket| bucket.asks_limiter(ahead, answers, now));
        let (name, region) = (entry.name.clone(), entry.region.clone());
        let mut order = Vec::new();
        if asks {
            let burst = self.accounts[account].limit;
            let location = (&*region, &name);
            order = regional_limiters::preference_order(
                &self.limiters,
                location,
                &account.to_string(),
                burst,
            );
        }
        let order = order.into_iter().take_while(|other| **other != name).cloned();
        let order: Vec<Name> = order.collect();
        if !order.is_empty() && attempt == 0 {
            self.entries[at]
                .buckets
                .entry(account)
                .or_insert_with(|| ShareBucket::new(now))
                .record_forwarded(now);
        }
        for (attempt, limiter) in order.iter().enumerate().skip(attempt) {
            let to = self.entries.iter().position(|entry| entry.name == *limiter).unwrap();
            if self.backoffs.get(&(at, to)).is_some_and(|until| now < *until) {
                continue;
            }
            let answers = self.entries[to].running
                && self.entries[to].partition == self.entries[at].partition;
            if !answers {
                self.backoffs.insert((at, to), now + LIMITER_TIMEOUT_MS + LIMITER_BACKOFF_MS);
                return self.retries.push_back((
                    now + LIMITER_TIMEOUT_MS,
                    at,
                    account,
                    attempt + 1,
                ));
            }
            if !self.cannot_admit(to, account) {
                return self.admit(to, account);
            }
        }
        self.admit(at, account);
    }

    /// Whether an entry has no leader and will have no token soon.
    fn cannot_admit(&self, at: usize, account: usize) -> bool {
        let bucket = self.entries[at].buckets.get(&account);
        let ahead = self.waiting(at, account);
        let soon = bucket.is_some_and(|bucket| bucket.admits_soon(ahead, self.now));
        !soon && !self.leader_answers(at)
    }

    fn leader_answers(&self, at: usize) -> bool {
        self.now < self.entries[at].answered + LEADER_TIMEOUT_MS
    }

    /// Number of waiting operations of an account.
    fn waiting(&self, at: usize, account: usize) -> u32 {
        let waiting = &self.entries[at].waiting;
        waiting.iter().filter(|(other, _)| *other == account).count() as u32
    }

    fn admit(&mut self, at: usize, account: usize) {
        let now = self.now;
        let entry = &mut self.entries[at];
        let bucket = entry.buckets.entry(account).or_insert_with(|| ShareBucket::new(now));
        bucket.record_operation();
        if bucket.take(now) {
            self.accounts[account].admitted.push(now);
            self.admitted += 1;
        } else if self.cannot_admit(at, account) {
            self.refused += 1;
        } else {
            let entry = &mut self.entries[at];
            entry.buckets.get_mut(&account).unwrap().record_shortage();
            entry.waiting.push_back((account, now));
        }
    }

    fn serve(&mut self, at: usize) {
        let now = self.now;
        let entry = &mut self.entries[at];
        let answered = entry.answered;
        for (account, arrival) in std::mem::take(&mut entry.waiting) {
            let wait = if answered >= arrival { MAX_TOKEN_WAIT_MS } else { MAX_LEADER_WAIT_MS };
            let bucket = entry.buckets.get_mut(&account).unwrap();
            if bucket.take(now) {
                self.accounts[account].admitted.push(now);
                self.admitted += 1;
            } else if now >= arrival + wait {
                self.refused += 1;
            } else {
                entry.waiting.push_back((account, arrival));
            }
        }
        let low = entry.buckets.values().any(ShareBucket::needs_refill);
        let open = entry.answered < entry.renewed && now < entry.renewed + RENEWAL_INTERVAL_MS;
        let urgent = !open && (low || !entry.waiting.is_empty());
        if now < entry.renewed + if urgent { MIN_RENEWAL_INTERVAL_MS } else { RENEWAL_INTERVAL_MS }
        {
            return;
        }
        entry.renewed = now;
        for (account, _) in &entry.waiting {
            entry.buckets.get_mut(account).unwrap().record_shortage();
        }
        let names = self.limiters.get(&entry.region);
        let stopping = entry.stopping;
        let serves = names.is_none_or(|names| names.contains(entry.name.as_str()));
        let asks = entry.buckets.iter_mut().filter_map(|(account, bucket)| {
            let dense = bucket.is_dense();
            Some((*account, bucket.renewal_request(now, !stopping && (serves || dense))?))
        });
        let asks = asks.collect();
        if entry.reaches_leader {
            self.asks.push_back((now + LEADER_LATENCY_MS, at, now, asks));
        }
    }

    fn deliver(&mut self) {
        while self.asks.front().is_some_and(|ask| self.now >= ask.0) {
            let (_, at, sent, asks) = self.asks.pop_front().unwrap();
            let Some(shares) = &mut self.leader else { continue };
            self.renewals += 1;
            let answer = asks.into_iter().map(|(account, ask)| {
                let limit = self.accounts[account].limit;
                let limit = RateLimit { rate: limit, burst: limit };
                let key: Arc<str> = account.to_string().into();
                (account, shares.renew(&self.entries[at].name, &key, limit, ask, self.now))
            });
            let answer = answer.collect();
            self.grants.push_back((self.now + LEADER_LATENCY_MS, at, sent, answer));
        }
        while self.grants.front().is_some_and(|grant| self.now >= grant.0) {
            let (_, at, sent, grant) = self.grants.pop_front().unwrap();
            let entry = &mut self.entries[at];
            if !entry.reaches_leader || !entry.running {
                continue;
            }
            entry.answered = entry.answered.max(sent);
            for (account, grant) in grant {
                entry.buckets.get_mut(&account).unwrap().apply_grant(grant, sent, self.now);
            }
        }
    }

    fn lose_leader(&mut self) {
        self.leader = None;
        self.asks.clear();
        self.grants.clear();
    }

    fn elect_leader(&mut self) {
        self.leader = Some(RateShares::new(self.now, false));
        for entry in &mut self.entries {
            entry.buckets.values_mut().for_each(ShareBucket::clear_report);
        }
    }

    /// Cuts some tenths of the entries off from the leader and the other entries.
    fn cut_off(&mut self, tenths: u8) {
        for (at, entry) in self.entries.iter_mut().enumerate() {
            let far = (at * 7 + 3) % 10 < usize::from(tenths);
            (entry.partition, entry.reaches_leader) = (u8::from(far), !far);
        }
    }

    /// Starts the process of an entry again. Its new incarnation is recorded before it renews, which
    /// ends the grants of the earlier one; messages to and from that one are lost.
    fn restart(&mut self, at: usize) {
        let entry = &mut self.entries[at];
        entry.buckets.clear();
        entry.waiting.clear();
        (entry.stopping, entry.running, entry.answered) = (false, true, 0);
        if let Some(leader) = &mut self.leader {
            leader.remove_entry(&entry.name);
        }
        self.asks.retain(|ask| ask.1 != at);
        self.grants.retain(|grant| grant.1 != at);
        self.retries.retain(|retry| retry.1 != at);
    }

    /// Fraction of the operations since the last call that were refused although the rate covers
    /// them.
    fn refused_fraction(&mut self) -> f64 {
        let admitted = std::mem::take(&mut self.admitted);
        let refused = std::mem::take(&mut self.refused);
        let expected_refusals = std::mem::take(&mut self.expected_refusals);
        refused.saturating_sub(expected_refusals) as f64 / (admitted + refused) as f64
    }

    /// Maximum excess of an account over its rate and burst in any window.
    fn max_excess(&self) -> f64 {
        let over = |account: &Account| {
            // A granted token may be used later, up to the maximum wait of its operation.
            let slack = account.limit * MAX_TOKEN_WAIT_MS as f64 / 1e3 + 1.0;
            let mut level = 0.0_f64;
            let mut most = 0.0_f64;
            let mut last = 0;
            for at in &account.admitted {
                let drained = account.limit * (at - last) as f64 / 1e3;
                level = (level - drained).max(0.0) + 1.0;
                most = most.max(level);
                last = *at;
            }
            most - account.limit - slack
        };
        self.accounts.iter().map(over).fold(0.0, f64::max)
    }
}

/// Sizes of deployments: entries, client accounts, operations per second.
const SIZES: [(usize, usize, f64); 4] =
    [(6, 8, 360.0), (57, 73, 1_198.0), (78, 83, 1_200.0), (191, 140, 1_174.0)];

fn each_size(label: &str, max_refused: f64, measure: impl Fn(&mut Fleet) -> f64) {
    for (entries, accounts, total) in SIZES {
        let simulate = |with_limiters| {
            let mut fleet = Fleet::new(3, entries, accounts, total, with_limiters);
            fleet.run(8_000, 1.0);
            fleet.refused_fraction();
            let refused = measure(&mut fleet);
            assert!(fleet.max_excess() <= 0.0, "{label}: {} over the rate", fleet.max_excess());
            (refused, fleet.renewals * 1_000 / fleet.now)
        };
        let (refused_without, renewals_without) = simulate(false);
        let (refused, renewals) = simulate(true);
        println!(
            "{label}, {entries} entries: refused {refused:.4}, {renewals} renewals a second; \
             without regional limiters {refused_without:.4}, {renewals_without}"
        );
        assert!(refused < max_refused, "{label}, {entries} entries: refused {refused}");
    }
}

#[test]
fn a_long_tail_of_accounts_is_admitted() {
    each_size("no fault", 0.01, |fleet| {
        fleet.run(10_000, 1.0);
        fleet.refused_fraction()
    });
}

#[test]
fn a_lost_leader_causes_few_refusals() {
    each_size("leader lost for 6 s", 0.05, |fleet| {
        fleet.lose_leader();
        fleet.run(6_000, 1.0);
        fleet.refused_fraction()
    });
}

#[test]
fn a_new_leader_causes_few_refusals() {
    each_size("leader replaced after 2 s", 0.05, |fleet| {
        fleet.lose_leader();
        fleet.run(2_000, 1.0);
        fleet.elect_leader();
        fleet.run(150, 1.0);
        // All entries have reported their rate shares.
        fleet.leader.as_mut().unwrap().mark_all_reported(None, fleet.now);
        fleet.run(5_850, 1.0);
        fleet.refused_fraction()
    });
}

#[test]
fn an_unresponsive_regional_limiter_causes_few_refusals() {
    each_size("regional limiter unresponsive", 0.05, |fleet| {
        let region: Arc<str> = "r0".into();
        let first = fleet.limiters.get(&region).and_then(|names| names.first()).cloned();
        let first = first.unwrap_or_else(|| fleet.entries[0].name.clone());
        let at = fleet.entries.iter().position(|entry| entry.name == first).unwrap();
        fleet.entries[at].running = false;
        fleet.run(1_500, 1.0);
        if !fleet.limiters.is_empty() {
            fleet.choose_limiters();
        }
        fleet.run(4_500, 1.0);
        let refused = fleet.refused_fraction();
        fleet.entries[at].running = true;
        fleet.run(2_000, 1.0);
        refused
    });
}

#[test]
fn a_region_cut_off_from_the_leader_admits_operations() {
    each_size("a region cut off from the leader for 5 s", 0.05, |fleet| {
        for entry in fleet.entries.iter_mut().filter(|entry| &*entry.region == "r1") {
            entry.reaches_leader = false;
        }
        fleet.run(5_000, 1.0);
        let refused = fleet.refused_fraction();
        for entry in &mut fleet.entries {
            entry.reaches_leader = true;
        }
        fleet.run(2_000, 1.0);
        refused
    });
}

/// Guards against rate shares that are lost with each regional limiter that stops. A tenth of the
/// entries stops for half a second every 1.2 s, as in the large Sahil deployment.
#[test]
fn a_rolling_restart_causes_few_refusals() {
    each_size("half of the entries stopped in turn", 0.02, |fleet| {
        let count = fleet.entries.len();
        for turn in 0..5 {
            let stopped = (0..count).filter(|at| at % 10 == turn * 2 % 10 && *at < count / 2 * 2);
            let stopped: Vec<usize> = stopped.collect();
            for at in &stopped {
                fleet.entries[*at].stopping = true;
            }
            let with_limiters = !fleet.limiters.is_empty();
            if with_limiters {
                fleet.choose_limiters();
            }
            fleet.run(700, 1.0);
            for at in &stopped {
                fleet.entries[*at].running = false;
            }
            fleet.run(500, 1.0);
            for at in stopped {
                let name = fleet.entries[at].name.clone();
                fleet.leader.as_mut().unwrap().remove_entry(&name);
                let entry = &mut fleet.entries[at];
                entry.buckets.clear();
                entry.waiting.clear();
                (entry.stopping, entry.running) = (false, true);
            }
        }
        fleet.run(2_000, 1.0);
        fleet.refused_fraction()
    });
}

/// Guards against refusals while two thirds of the entries are cut off from the leader and the
/// rest, as in the schedule `trouble-3` of the large Sahil deployment.
#[test]
fn most_entries_cut_off_from_the_leader_admit_operations() {
    each_size("two thirds cut off for 6 s", 0.15, |fleet| {
        for (at, entry) in fleet.entries.iter_mut().enumerate() {
            let far = (at * 7 + 3) % 20 < 13;
            (entry.partition, entry.reaches_leader) = (u8::from(far), !far);
        }
        fleet.run(6_000, 1.0);
        let refused = fleet.refused_fraction();
        for entry in &mut fleet.entries {
            (entry.partition, entry.reaches_leader) = (0, true);
        }
        fleet.run(2_000, 1.0);
        refused
    });
}

/// Guards against entries that hold little of the rate because their load has only just begun: most
/// entries are cut off from the leader and the rest two seconds after their first operation.
#[test]
fn entries_cut_off_soon_after_their_start_admit_operations() {
    for (entries, accounts, total) in [(65, 70, 860.0), (191, 140, 1_174.0)] {
        let mut fleet = Fleet::new(3, entries, accounts, total, true);
        fleet.run(2_000, 1.0);
        fleet.refused_fraction();
        for (at, entry) in fleet.entries.iter_mut().enumerate() {
            let far = (at * 7 + 3) % 20 < 13;
            (entry.partition, entry.reaches_leader) = (u8::from(far), !far);
        }
        fleet.run(5_000, 1.0);
        let refused = fleet.refused_fraction();
        println!("cut off after 2 s, {entries} entries: refused {refused:.4}");
        assert!(fleet.max_excess() <= 0.0, "{} over the rate", fleet.max_excess());
        assert!(refused < 0.15, "{entries} entries: refused {refused}");
    }
}

/// Guards against refusals by an entry whose own rate share is used up while regional limiters have
/// tokens left: the leader is lost, and the operations of an account are spread unevenly over time.
#[test]
fn regional_limiters_complete_the_used_up_shares_of_entries() {
    for (entries, accounts, total) in [(57, 73, 1_198.0), (78, 83, 1_200.0)] {
        let mut fleet = Fleet::new(3, entries, accounts, total, true);
        fleet.run(8_000, 1.0);
        fleet.refused_fraction();
        fleet.lose_leader();
        fleet.run(6_000, 1.0);
        let refused = fleet.refused_fraction();
        println!("used-up shares, {entries} entries: refused {refused:.4}");
        assert!(fleet.max_excess() <= 0.0, "{} over the rate", fleet.max_excess());
        assert!(refused < 0.01, "{entries} entries: refused {refused}");
    }
}

#[derive(Debug, Clone)]
enum Fault {
    Run(u64, bool),
    LoseLeader,
    ElectLeader,
    Freeze(usize),
    Resume,
    Disconnect(usize),
    Reconnect,
    Partition(u8),
    Restart(usize),
    ChooseLimiters,
}

/// Number of entries in the random schedules; `SCHEDULE_ENTRIES` overrides it, up to 700.
fn schedule_entries() -> usize {
    let count = std::env::var("SCHEDULE_ENTRIES").ok().map(|count| count.parse().unwrap());
    count.unwrap_or(12)
}

/// Guards against a rate that is exceeded while entries hold rate shares of several leaders.
#[test]
fn a_window_never_exceeds_burst_and_rate() {
    let count = schedule_entries();
    let config = ProptestConfig {
        cases: 60,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        max_shrink_iters: 60,
        ..ProptestConfig::default()
    };
    let inputs = (any::<u64>(), prop::collection::vec(any_fault(count), 5..25));
    let result =
        TestRunner::new(config).run(&inputs, |(seed, faults)| play_schedule(seed, count, faults));
    result.unwrap();
}

fn any_fault(count: usize) -> impl Strategy<Value = Fault> {
    prop_oneof![
        6 => (100..3_000u64, any::<bool>()).prop_map(|(time, flood)| Fault::Run(time, flood)),
        1 => Just(Fault::LoseLeader),
        2 => Just(Fault::ElectLeader),
        2 => (0..count).prop_map(Fault::Freeze),
        2 => Just(Fault::Resume),
        2 => (0..count).prop_map(Fault::Disconnect),
        2 => Just(Fault::Reconnect),
        2 => (1..10u8).prop_map(Fault::Partition),
        2 => (0..count).prop_map(Fault::Restart),
        1 => Just(Fault::ChooseLimiters),
    ]
}

/// Plays faults one after the other and checks the rate in each window.
fn play_schedule(seed: u64, count: usize, faults: Vec<Fault>) -> Result<(), TestCaseError> {
    let mut fleet = Fleet::new(seed, count, 6, 10.0 * count as f64, true);
    let mut frozen = BTreeSet::new();
    for fault in faults {
        match fault {
            Fault::Run(time, flood) => fleet.run(time, if flood { 7.5 } else { 1.0 }),
            Fault::LoseLeader => fleet.lose_leader(),
            Fault::ElectLeader => {
                fleet.lose_leader();
                fleet.elect_leader();
            }
            Fault::Freeze(at) => {
                frozen.insert(at);
                fleet.entries[at].running = false;
            }
            Fault::Resume => {
                for at in std::mem::take(&mut frozen) {
                    fleet.entries[at].running = true;
                }
            }
            Fault::Disconnect(at) => fleet.entries[at].reaches_leader = false,
            Fault::Reconnect => fleet.entries.iter_mut().for_each(|entry| {
                (entry.partition, entry.reaches_leader) = (0, true);
            }),
            Fault::Partition(tenths) => fleet.cut_off(tenths),
            Fault::Restart(at) => {
                frozen.remove(&at);
                fleet.restart(at);
            }
            Fault::ChooseLimiters => fleet.choose_limiters(),
        }
    }
    prop_assert!(fleet.max_excess() <= 0.0, "{} over the rate", fleet.max_excess());
    Ok(())
}
