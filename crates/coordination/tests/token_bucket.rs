//! Rates: admissions stay within burst and rate in every window, and nothing is refused while the
//! rate owner has a token.

use std::collections::BTreeMap;

use auburnlug_coordination::{
    allotment::{Admission, Admit, Allotment, EvenSplit, Granted},
    standby_level::{StandbyLevel, StandbyLevels},
    token_bucket::{TOKEN_LIFETIME_MS, TokenBucket, TokenGrant, TokenRequest},
};
use auburnlug_state::{Millis, Name};
use proptest::{prelude::*, test_runner::RngSeed};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn config(cases: u32, seed: u64) -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(seed);
    ProptestConfig { cases, rng_seed, failure_persistence: None, ..ProptestConfig::default() }
}

fn name(text: &str) -> Name {
    Name::try_from(text).expect("valid name")
}

enum Message {
    Ask(usize, TokenRequest),
    Grant(usize, u64, TokenGrant),
    /// Standby, epoch of the rate owner, and the standby level.
    Keep(usize, u64, StandbyLevel),
    Kept(usize, u64, u64),
}

/// Rule by which standby levels are tracked; all but the first are unsound.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Rule {
    Sound,
    /// The owner falls below a standby level before the lower one is acknowledged.
    Unacknowledged,
    /// A former standby is removed although it still has its copy.
    Removed,
}

/// Fault probabilities of a run, in percent.
struct Faults {
    lost: u32,
    /// Loss of messages to and from standbys.
    standby_lost: u32,
    duplicated: u32,
    delayed: u32,
    restart: u32,
    takeover: u32,
}

impl Faults {
    const NONE: Faults =
        Faults { lost: 0, standby_lost: 0, duplicated: 0, delayed: 0, restart: 0, takeover: 0 };
}

/// Three group owners, one rate owner and two standbys, on one clock.
struct Fleet {
    rule: Rule,
    levels: StandbyLevels,
    epoch: u64,
    stored: [Option<(u64, StandbyLevel)>; 2],
    /// Requests of each holder that will be retried.
    retries: [u32; 3],
    now: Millis,
    rate: f64,
    burst: f64,
    rng: ChaCha8Rng,
    faults: Faults,
    bucket: TokenBucket,
    holders: Vec<Allotment>,
    network: BTreeMap<(Millis, u64), Message>,
    sent: u64,
    admitted: Vec<Millis>,
    refused: u32,
    /// Maximum level left in the bucket by a request that it did not grant in full.
    max_left: f64,
}

impl Fleet {
    fn new(seed: u64, rate: f64, burst: f64, faults: Faults) -> Fleet {
        let mut levels = StandbyLevels::new(0);
        levels.set_standby(Some(&name("standby-0")), |_| true);
        Fleet {
            rule: Rule::Sound,
            levels,
            epoch: 1,
            stored: [None; 2],
            retries: [0; 3],
            now: 0,
            rate,
            burst,
            rng: ChaCha8Rng::seed_from_u64(seed),
            faults,
            bucket: TokenBucket::new(rate, burst, 0),
            holders: (0..3).map(|_| Allotment::new(0)).collect(),
            network: BTreeMap::new(),
            sent: 0,
            admitted: Vec::new(),
            refused: 0,
            max_left: 0.0,
        }
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.rng.random_range(0..1000) < percent * 10
    }

    fn send(&mut self, now: Millis, make: impl Fn() -> Message) {
        let copies = 1 + u32::from(self.chance(self.faults.duplicated));
        for _ in 0..copies {
            let copy = matches!(make(), Message::Keep(..) | Message::Kept(..));
            if self.chance(if copy { self.faults.standby_lost } else { self.faults.lost }) {
                continue;
            }
            let span = if self.chance(self.faults.delayed) { 900 } else { 10 };
            let at = now + self.rng.random_range(1..=span);
            self.sent += 1;
            self.network.insert((at, self.sent), make());
        }
    }

    fn request(&mut self, i: usize, now: Millis) {
        match self.holders[i].admit(now) {
            Admit::Now => self.admitted.push(now),
            Admit::Request(ask) => self.send(now, || Message::Ask(i, ask)),
            Admit::Wait => {}
            Admit::Refused { .. } => self.refused += 1,
        }
    }

    fn deliver(&mut self, message: Message, now: Millis) {
        match message {
            Message::Ask(i, request) => {
                let holder = name(&format!("holder-{i}"));
                let Some(grant) = self.bucket.take(&holder, request, now) else { return };
                self.send_standby_levels(now);
                if grant.retry_delay > 0 {
                    assert!(grant.count < request.count, "only a refusal has a retry delay");
                    self.max_left = self.max_left.max(self.bucket.level(now));
                }
                self.send(now, || Message::Grant(i, request.id, grant));
            }
            Message::Grant(i, id, grant) => {
                let Granted { admitted, refused, retry_delay, request } =
                    self.holders[i].apply_grant(id, grant, now);
                self.admitted.extend((0..admitted).map(|_| now));
                if retry_delay > 0 {
                    self.refused += refused;
                } else {
                    self.retries[i] += refused;
                }
                if let Some(request) = request {
                    self.send(now, || Message::Ask(i, request));
                }
            }
            Message::Keep(i, epoch, keep) => {
                let known = self.stored[i].map(|(epoch, keep)| (epoch, keep.id));
                if known.is_none_or(|known| known < (epoch, keep.id)) {
                    self.stored[i] = Some((epoch, keep));
                }
                self.send(now, || Message::Kept(i, epoch, keep.id));
            }
            Message::Kept(i, epoch, id) if epoch == self.epoch => {
                self.levels.record_acknowledgement(&name(&format!("standby-{i}")), id);
                self.bucket.set_standby_level(self.levels.max_level());
            }
            Message::Kept(..) => {}
        }
    }

    /// Sends standby levels to the standbys.
    fn send_standby_levels(&mut self, now: Millis) {
        let level = self.bucket.level(now);
        for (to, keep) in self.levels.due_messages(level, self.burst, now) {
            let i = usize::from(to == name("standby-1"));
            let epoch = self.epoch;
            self.send(now, || Message::Keep(i, epoch, keep));
            if self.rule == Rule::Unacknowledged {
                self.levels.record_acknowledgement(&to, keep.id);
            }
        }
        self.bucket.set_standby_level(self.levels.max_level());
    }

    /// One of the standbys takes over from an owner that crashed or, if `graceful`, handed over.
    fn take_over(&mut self, graceful: bool, now: Millis) {
        let i = usize::from(self.rng.random_bool(0.2));
        let kept = self.stored[i].take();
        let kept = kept.filter(|(epoch, _)| *epoch == self.epoch);
        let (rate, burst) = (self.rate, self.burst);
        self.bucket = match kept {
            _ if graceful => {
                let (level, held) = self.bucket.handover(now);
                TokenBucket::restore(rate, burst, level, held, now)
            }
            Some((_, keep)) => TokenBucket::restore(rate, burst, keep.level, keep.outstanding, now),
            None => TokenBucket::empty(rate, burst, 0, now),
        };
        self.epoch += 1;
        self.levels = StandbyLevels::new(now << 20);
        self.levels.set_standby(Some(&name("standby-0")), |_| true);
    }

    fn inject_faults(&mut self, now: Millis) {
        if now.is_multiple_of(100) && self.chance(self.faults.restart) {
            let i = self.rng.random_range(0..3);
            self.holders[i] = Allotment::new(now << 20);
        }
        if now.is_multiple_of(100) && self.chance(self.faults.takeover) {
            let graceful = self.rng.random_bool(0.2);
            self.take_over(graceful, now);
        }
        if now.is_multiple_of(100) && self.chance(self.faults.takeover) {
            let standby = name(["standby-0", "standby-1"][self.rng.random_range(0..2)]);
            let removes = self.rule == Rule::Removed;
            self.levels.set_standby(Some(&standby), |name| !removes || *name == standby);
        }
        if now.is_multiple_of(20) {
            for i in 0..3 {
                for _ in 0..std::mem::take(&mut self.retries[i]) {
                    self.request(i, now);
                }
            }
        }
        self.send_standby_levels(now);
    }

    /// Runs `span` ms with `load` requests per second, most of them at the first holder.
    fn run(&mut self, span: Millis, load: f64) {
        let start = self.now;
        self.now += span;
        for now in start..start + span {
            self.inject_faults(now);
            while let Some(entry) = self.network.first_entry().filter(|e| e.key().0 <= now) {
                let message = entry.remove();
                self.deliver(message, now);
            }
            let mut due = load / 1000.0;
            while self.rng.random_bool(due.min(1.0)) {
                let i = [0, 0, 0, 0, 1, 2][self.rng.random_range(0..6)];
                self.request(i, now);
                due -= 1.0;
                if due <= 0.0 {
                    break;
                }
            }
            for i in 0..3 {
                if let Some(ask) = self.holders[i].tick(now) {
                    self.send(now, || Message::Ask(i, ask));
                }
            }
        }
    }
}

/// Whether no window of length T has more than burst + rate * T admissions.
fn is_within_limit(admitted: &[Millis], rate: f64, burst: f64) -> bool {
    let (mut level, mut at) = (burst, 0);
    admitted.iter().all(|&now| {
        level = (level + (now - at) as f64 * rate / 1000.0).min(burst) - 1.0;
        at = now;
        level > -1e-6
    })
}

proptest! {
    #![proptest_config(config(96, 11))]

    /// Guards against admission above the rate through tokens counted twice or used too late.
    #[test]
    fn no_window_exceeds_burst_and_rate(
        seed: u64, rate in 5.0..400.0f64, burst in 1.0..60.0f64, flood in 0.5..5.0f64,
        lost in 0..30u32, duplicated in 0..30u32, delayed in 0..30u32,
        restart in 0..30u32, takeover in 0..20u32,
    ) {
        let faults = Faults { lost, standby_lost: lost, duplicated, delayed, restart, takeover };
        let mut fleet = Fleet::new(seed, rate, burst, faults);
        fleet.run(4000, rate * flood);
        prop_assert!(is_within_limit(&fleet.admitted, rate, burst), "{} admitted", fleet.admitted.len());
    }

    /// Guards against refusals while the fleet-wide bucket has a token.
    #[test]
    fn nothing_is_refused_while_a_token_is_left(
        seed: u64, rate in 20.0..400.0f64, burst in 5.0..60.0f64, flood in 0.5..5.0f64,
    ) {
        let mut fleet = Fleet::new(seed, rate, burst, Faults::NONE);
        fleet.run(4000, rate * flood);
        prop_assert!(fleet.max_left < 1.0, "{} tokens left at a refusal", fleet.max_left);
        prop_assert!(fleet.refused > 0 || flood < 2.0);
    }
}

/// Number of schedules of crashes, loss and reordering in which some window exceeds the limit.
fn violations(rule: Rule) -> usize {
    let schedule = |seed: u64| {
        let rate = [50.0, 100.0, 200.0, 400.0][seed as usize % 4];
        let burst = 8.0 + (seed % 7) as f64 * 4.0;
        let faults = Faults { standby_lost: 40, takeover: 10, duplicated: 5, ..Faults::NONE };
        let mut fleet = Fleet::new(seed, rate, burst, faults);
        fleet.rule = rule;
        // A moderate load on a full bucket leaves holders unused tokens, and a burst takes the
        // level below standby levels.
        for _ in 0..10 {
            let spans: [Millis; 5] =
                [300, 200, 45, 12, 12].map(|span| fleet.rng.random_range(1..=span));
            for (span, load) in spans.into_iter().zip([10.0, rate, 0.0, 4000.0, 4000.0]) {
                fleet.run(span, load);
                if fleet.chance(20) {
                    fleet.take_over(false, fleet.now);
                }
            }
        }
        !is_within_limit(&fleet.admitted, rate, burst)
    };
    (0..200).filter(|seed| schedule(*seed)).count()
}

/// Guards against schedules that do not reach the faults that the rule of standby levels prevents:
/// leaving out any part of the rule must lead to a violation.
#[test]
fn standby_levels_are_exact_and_every_part_of_the_rule_is_needed() {
    assert_eq!(violations(Rule::Sound), 0);
    for rule in [Rule::Unacknowledged, Rule::Removed] {
        assert!(violations(rule) > 0, "{rule:?}");
    }
}

/// Guards against tokens from the part of a millisecond that rounding of the clock cuts off: with
/// requests at microseconds, windows exceeded the limit by nearly a millisecond's tokens.
#[test]
fn rounded_time_admits_nothing_early() {
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    for rate in [20.0, 200.0, 900.0, 3000.0] {
        let mut bucket = TokenBucket::new(rate, 10.0, 0);
        let (mut micros, mut level, mut at) = (0u64, 10.0f64, 0u64);
        for id in 1..20_000 {
            // Pauses fill the bucket, and bursts empty it.
            micros += rng.random_range(1..=if id % 100 == 0 { 400_000 } else { 700 });
            let ask = TokenRequest { id, count: 1, demand: 0, returned: 0 };
            if bucket.take(&name("a"), ask, micros / 1000).unwrap().count == 0 {
                continue;
            }
            level = (level + (micros - at) as f64 * rate / 1e6).min(10.0) - 1.0;
            at = micros;
            assert!(level > -1e-6, "{level} after a request at {micros} µs, rate {rate}");
        }
    }
}

/// Guards against a second burst when a standby takes over while tokens that the former owner
/// granted are unused: its level must not grow into their part of the burst.
#[test]
fn a_restored_level_is_capped_until_old_tokens_expire() {
    let mut bucket = TokenBucket::new(100.0, 10.0, 0);
    let mut levels = StandbyLevels::new(0);
    levels.set_standby(Some(&name("b")), |_| true);
    let first = levels.due_messages(bucket.level(0), 10.0, 0);
    let [(_, keep)] = first[..] else { panic!("one standby") };
    assert_eq!((keep.level, keep.outstanding), (5.0, 5.0));
    levels.record_acknowledgement(&name("b"), keep.id);
    bucket.set_standby_level(levels.max_level());
    // The holder uses one of the tokens and still has four when the owner crashes.
    let ask = TokenRequest { id: 1, count: 1, demand: 4, returned: 0 };
    let granted = bucket.take(&name("a"), ask, 0).unwrap().count;
    assert_eq!(granted, 5);
    let mut next = TokenBucket::restore(100.0, 10.0, keep.level, keep.outstanding, 10);
    let left = f64::from(granted - 1);
    assert!(next.level(9 + TOKEN_LIFETIME_MS) + left <= 10.0);
    assert_eq!(next.level(61 + TOKEN_LIFETIME_MS), 10.0);
}

/// Guards against a grant that takes the level below a standby level before a lower one is
/// acknowledged, and against a refusal in place of that wait.
#[test]
fn a_standby_level_holds_until_a_lower_one_is_acknowledged() {
    let mut bucket = TokenBucket::new(0.001, 8.0, 0);
    let mut levels = StandbyLevels::new(0);
    levels.set_standby(Some(&name("b")), |_| true);
    let first = levels.due_messages(8.0, 8.0, 0)[0].1;
    bucket.set_standby_level(levels.max_level());
    let ask = |id, count| TokenRequest { id, count, demand: 0, returned: 0 };
    let early = bucket.take(&name("a"), ask(1, 7), 1).unwrap();
    assert_eq!(early, TokenGrant { count: 4, retry_delay: 0 });
    levels.record_acknowledgement(&name("b"), first.id);
    let lower = levels.due_messages(bucket.level(1), 8.0, 1)[0].1;
    assert!(lower.level < first.level);
    assert_eq!(levels.max_level(), first.level);
    levels.record_acknowledgement(&name("b"), lower.id);
    bucket.set_standby_level(levels.max_level());
    assert_eq!(bucket.take(&name("a"), ask(2, 2), 2).unwrap().count, 2);
}

/// Guards against wrongful refusals after a crash: traffic within the rate waits instead.
#[test]
fn a_crash_refuses_no_traffic_within_the_rate() {
    let mut fleet = Fleet::new(3, 100.0, 40.0, Faults { takeover: 5, ..Faults::NONE });
    fleet.run(20_000, 70.0);
    assert!(fleet.epoch > 3);
    assert_eq!(fleet.refused, 0);
}

/// Guards against wrongful refusals when traffic within the rate is uneven: the fleet-wide bucket
/// admits all of it, the even split does not.
#[test]
fn uneven_traffic_within_the_rate_is_admitted() {
    let mut fleet = Fleet::new(7, 100.0, 30.0, Faults::NONE);
    fleet.run(10_000, 70.0);
    assert_eq!(fleet.refused, 0);
    let mut split = EvenSplit::new(100.0, 30.0, 3, 0);
    let refused = (0..10_000).step_by(15).filter(|&t| split.admit(t) != Admit::Now).count();
    assert!(refused > 100, "{refused}");
}

/// Guards against a second burst from tokens that the former owner granted.
#[test]
fn a_takeover_grants_nothing_until_old_tokens_expire() {
    let mut bucket = TokenBucket::empty(100.0, 10.0, 0, 1000);
    let ask = |id| TokenRequest { id, count: 5, demand: 0, returned: 0 };
    let early = bucket.take(&name("a"), ask(1), 1000 + TOKEN_LIFETIME_MS).unwrap();
    assert_eq!(early.count, 0);
    let later = bucket.take(&name("a"), ask(2), 1000 + TOKEN_LIFETIME_MS + 50).unwrap();
    assert_eq!(later, TokenGrant { count: 4, retry_delay: 0 });
    let later = bucket.take(&name("a"), ask(3), 1000 + TOKEN_LIFETIME_MS + 91).unwrap();
    assert_eq!(later, TokenGrant { count: 5, retry_delay: 0 });
    let mut quiet = TokenBucket::empty(100.0, 10.0, TOKEN_LIFETIME_MS, 1000);
    assert_eq!(quiet.take(&name("a"), ask(1), 1050).unwrap().count, 4);
    let mut quiet = TokenBucket::empty(100.0, 10.0, TOKEN_LIFETIME_MS, 1000);
    assert_eq!(quiet.take(&name("a"), ask(1), 1051).unwrap().count, 5);
}

/// Guards against a new burst through a change of the configuration.
#[test]
fn a_changed_rate_applies_at_once() {
    let mut bucket = TokenBucket::new(10.0, 10.0, 0);
    bucket.set_limit(10.0, 3.0, 0);
    let all = TokenRequest { id: 1, count: 9, demand: 9, returned: 0 };
    assert_eq!(bucket.take(&name("a"), all, 0).unwrap(), TokenGrant { count: 3, retry_delay: 601 });
    bucket.set_limit(1000.0, 9.0, 0);
    let again = TokenRequest { id: 2, count: 9, demand: 9, returned: 0 };
    assert_eq!(bucket.take(&name("a"), again, 4).unwrap(), TokenGrant { count: 3, retry_delay: 6 });
}

/// Guards against tokens that are returned twice, and against a duplicate request.
#[test]
fn no_more_tokens_are_returned_than_were_granted() {
    let mut bucket = TokenBucket::new(0.001, 10.0, 0);
    let ask = |id, count, returned| TokenRequest { id, count, demand: 0, returned };
    assert_eq!(bucket.take(&name("a"), ask(1, 6, 0), 0).unwrap().count, 6);
    assert_eq!(bucket.take(&name("a"), ask(2, 1, 2), 0).unwrap().count, 1);
    assert_eq!(bucket.take(&name("a"), ask(2, 1, 2), 0), None);
    assert_eq!(bucket.take(&name("a"), ask(3, 9, 9), 0).unwrap().count, 6);
}

/// Guards against tokens that a holder uses after the rate owner has ceased to count them, also
/// when the holder was suspended and did not call `tick`.
#[test]
fn a_holder_drops_tokens_by_the_time_of_its_request() {
    let mut holder = Allotment::new(0);
    let Admit::Request(ask) = holder.admit(100) else { panic!("an empty allotment asks") };
    let granted = holder.apply_grant(ask.id, TokenGrant { count: 3, retry_delay: 0 }, 590);
    assert_eq!((granted.admitted, granted.refused), (1, 0));
    assert_eq!(holder.admit(99 + TOKEN_LIFETIME_MS), Admit::Now);
    let Admit::Request(ask) = holder.admit(100 + TOKEN_LIFETIME_MS) else {
        panic!("the last one expired")
    };
    assert_eq!((ask.count, ask.returned), (1, 1));
    let late = holder.apply_grant(
        ask.id,
        TokenGrant { count: 2, retry_delay: 0 },
        100 + 2 * TOKEN_LIFETIME_MS,
    );
    assert_eq!((late.admitted, late.refused), (0, 0));
    assert_eq!(late.request.map(|a| (a.count, a.returned)), Some((1, 2)));
}
