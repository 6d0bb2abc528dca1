//! Decisions in fleets with external failover: required positions of reads, rate shares, connection
//! owners, leases of entries, and choice of servers.

// The setting for tests in clippy.toml does not reach helper functions in test files.
#![allow(clippy::unwrap_used)]

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use auburnlug_coordination::{
    Position,
    changes::ChangeTracker,
    connection_owners::{self, Location, ServerLimit},
    entry_leases::{ENTRY_LEASE_MS, EntryLeases, applied_update},
    pending_entries::PendingEntries,
    position_samples::PositionSamples,
    rate_share::{RateLimit, RateShares, SHARE_LIFETIME_MS, ShareBucket, ShareGrant},
    regional_limiters::{self, RegionalLimiters},
    server_choice::{Candidate, ServerRecords},
    server_reports::ServerReports,
};
use auburnlug_state::Name;
use proptest::{prelude::*, test_runner::RngSeed};

fn name(text: &str) -> Name {
    Name::try_from(text).unwrap()
}

fn at(term: u64, offset: u64) -> Position {
    Position { term, offset }
}

#[test]
fn required_position_is_the_oldest_sample_that_is_recent_enough() {
    let mut samples = PositionSamples::default();
    for time in 1..=40 {
        samples.add(time * 100, at(1, time));
    }
    assert_eq!(samples.required_position(1_950), Some(at(1, 20)));
    assert_eq!(samples.required_position(4_001), None);
}

#[test]
fn required_position_of_an_idle_group_is_its_newest_sample() {
    let mut samples = PositionSamples::default();
    samples.add(100, at(1, 5));
    samples.add(110, at(1, 6));
    assert_eq!(samples.required_position(105), Some(at(1, 6)));
}

#[test]
fn samples_of_an_earlier_term_are_dropped() {
    let mut samples = PositionSamples::default();
    samples.add(100, at(1, 50));
    samples.add(200, at(2, 40));
    assert_eq!(samples.required_position(0), Some(at(2, 40)));
    samples.add(300, at(1, 60));
    assert_eq!(samples.newest(), Some(at(2, 40)));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(64) })]

    /// Guards against a required position that misses a commit acknowledged before the given time.
    #[test]
    fn required_position_covers_acknowledged_commits(steps in prop::collection::vec((1_u64..80, 0_u64..4), 1..300), back in 0_u64..3_000) {
        let mut samples = PositionSamples::default();
        let mut log = Vec::new();
        let (mut now, mut offset) = (0, 0);
        for (pause, commits) in steps {
            now += pause;
            offset += commits;
            log.push((now, offset));
            samples.add(now, at(1, offset));
        }
        let time = now.saturating_sub(back);
        if let Some(required) = samples.required_position(time) {
            let acknowledged = log.iter().filter(|(t, _)| *t < time).map(|(_, o)| *o).max().unwrap_or(0);
            prop_assert!(required.offset >= acknowledged);
        }
    }

    /// Guards against rate shares and tokens above rate and burst when entries renew irregularly.
    #[test]
    fn shares_never_exceed_the_rate(
        renewals in prop::collection::vec((0_usize..5, 0.0_f64..200.0, 0.0_f64..20.0, 1_u64..900), 1..200),
    ) {
        let limit = RateLimit { rate: 50.0, burst: 50.0 };
        let account: Arc<str> = "fleet".into();
        let names: Vec<Name> = (0..5).map(|n| name(&format!("e{n}"))).collect();
        let mut shares = RateShares::new(0, true);
        let mut held: BTreeMap<usize, (f64, u64)> = BTreeMap::new();
        let (mut now, mut tokens) = (0, 0.0);
        for (entry, demand, wanted, pause) in renewals {
            now += pause;
            let share = held.get(&entry).filter(|(_, at)| now < at + SHARE_LIFETIME_MS).map_or(0.0, |h| h.0);
            let ask = auburnlug_coordination::rate_share::ShareRequest { demand, share, prefetch: share, wanted, total_share: None };
            let grant = shares.renew(&names[entry], &account, limit, ask, now);
            tokens += grant.tokens;
            held.insert(entry, (grant.share, now));
            let sum: f64 = held.values().filter(|(_, at)| now < at + SHARE_LIFETIME_MS).map(|h| h.0).sum();
            prop_assert!(sum <= limit.rate + 1e-6, "shares {sum}");
            prop_assert!(tokens <= limit.burst + limit.rate * now as f64 / 1e3 + 1e-6);
        }
    }
}

#[test]
fn a_new_leader_raises_no_share_until_earlier_ones_have_expired() {
    let limit = RateLimit { rate: 100.0, burst: 100.0 };
    let mut shares = RateShares::new(1_000, false);
    let ask = auburnlug_coordination::rate_share::ShareRequest {
        demand: 90.0,
        share: 10.0,
        prefetch: 4.0,
        wanted: 0.0,
        total_share: None,
    };
    let early = shares.renew(&name("a"), &"x".into(), limit, ask, 2_000);
    assert_eq!(early.share, 10.0);
    let late = shares.renew(&name("a"), &"x".into(), limit, ask, 1_000 + SHARE_LIFETIME_MS + 1_001);
    assert!(late.share > 60.0);
}

#[test]
fn the_first_leader_grants_shares_at_once() {
    let limit = RateLimit { rate: 100.0, burst: 100.0 };
    let mut shares = RateShares::new(400, true);
    let ask = auburnlug_coordination::rate_share::ShareRequest {
        demand: 90.0,
        share: 0.0,
        prefetch: 0.0,
        wanted: 3.0,
        total_share: None,
    };
    let grant = shares.renew(&name("a"), &"x".into(), limit, ask, 500);
    assert!(grant.share > 60.0);
    assert_eq!(grant.tokens, 3.0);
}

#[test]
fn a_bucket_is_empty_after_its_share_has_expired() {
    let mut bucket = ShareBucket::new(0);
    let grant = ShareGrant { share: 10.0, prefetch: 4.0, tokens: 0.0, total_share: 10.0 };
    bucket.apply_grant(grant, 0, 0);
    assert!(bucket.take(1_000));
    // Empties the bucket after the rate share has expired.
    while bucket.take(SHARE_LIFETIME_MS + 5_000) {}
    assert!(!bucket.take(SHARE_LIFETIME_MS + 60_000));
}

fn places(list: &[(&str, &str, &str)]) -> BTreeMap<Name, Location> {
    let place = |(entry, region, domain): &(&str, &str, &str)| {
        (name(entry), Location { region: (*region).into(), domain: (*domain).into() })
    };
    list.iter().map(place).collect()
}

fn server_limits(list: &[(&str, &str)]) -> BTreeMap<Arc<str>, ServerLimit> {
    let server = |(id, domain): &(&str, &str)| {
        (Arc::from(*id), ServerLimit { domain: (*domain).into(), limit: 22 })
    };
    list.iter().map(server).collect()
}

fn regions() -> BTreeMap<Arc<str>, Arc<str>> {
    [("d1", "r1"), ("d2", "r2")].map(|(d, r)| (Arc::from(d), Arc::from(r))).into()
}

#[test]
fn connection_owners_are_near_their_server_and_divide_its_connections() {
    let entries =
        places(&[("a", "r1", "d1"), ("b", "r1", "d1"), ("c", "r2", "d2"), ("d", "r2", "d2")]);
    let servers = server_limits(&[("s1", "d1"), ("s2", "d1"), ("s3", "d2")]);
    let chosen = connection_owners::choose(&entries, &servers, &regions(), &BTreeMap::new());
    let firsts: Vec<&str> = chosen.values().map(|owners| owners[0].0.as_str()).collect();
    assert_eq!(firsts, ["a", "b", "c"]);
    for owners in chosen.values() {
        let sum: u32 = owners.iter().map(|(_, count)| count).sum();
        assert_eq!((owners.len(), sum), (2, 20));
    }
}

#[test]
fn a_near_entry_replaces_a_remote_connection_owner() {
    let servers = server_limits(&[("s1", "d1")]);
    let far = places(&[("c", "r2", "d2")]);
    let before = connection_owners::choose(&far, &servers, &regions(), &BTreeMap::new());
    assert_eq!(before["s1"][0].0.as_str(), "c");
    let both = places(&[("a", "r1", "d1"), ("c", "r2", "d2")]);
    let after = connection_owners::choose(&both, &servers, &regions(), &before);
    assert_eq!(after["s1"][0].0.as_str(), "a");
}

#[test]
fn an_entry_that_joins_replaces_no_near_connection_owner() {
    let servers = server_limits(&[("s1", "d1"), ("s2", "d1")]);
    let before = connection_owners::choose(
        &places(&[("b", "r1", "d1"), ("c", "r1", "d1")]),
        &servers,
        &regions(),
        &BTreeMap::new(),
    );
    let more = places(&[("a", "r1", "d1"), ("b", "r1", "d1"), ("c", "r1", "d1")]);
    let after = connection_owners::choose(&more, &servers, &regions(), &before);
    assert_eq!(after["s1"][0], before["s1"][0]);
    assert_eq!(after["s2"][0], before["s2"][0]);
}

#[test]
fn a_change_is_in_force_when_each_entry_has_it_or_holds_no_lease() {
    let mut leases = EntryLeases::new(0, BTreeSet::new());
    leases.renew(&name("a"), 7, 1_000);
    leases.renew(&name("b"), 4, 1_200);
    assert!(!leases.is_applied(7, 1_300));
    assert!(leases.is_applied(7, 1_200 + ENTRY_LEASE_MS + 200));
    leases.renew(&name("b"), 7, 1_400);
    assert!(leases.is_applied(7, 1_500));
}

#[test]
fn leases_of_an_earlier_leader_are_waited_for() {
    let leases = EntryLeases::new(5_000, BTreeSet::from([name("a")]));
    assert!(!leases.is_applied(1, 5_000 + ENTRY_LEASE_MS));
    assert!(leases.is_applied(1, 5_000 + ENTRY_LEASE_MS + 200));
}

#[test]
fn a_new_leader_waits_no_longer_than_for_the_entries_that_may_hold_leases() {
    let mut leases = EntryLeases::new(5_000, BTreeSet::from([name("a"), name("b")]));
    leases.renew(&name("a"), 1, 5_100);
    assert!(!leases.is_applied(1, 5_200));
    leases.renew(&name("b"), 1, 5_300);
    assert!(leases.is_applied(1, 5_300));
}

#[test]
fn entries_that_start_together_are_recorded_with_two_changes() {
    let mut pending = PendingEntries::new();
    let mut recorded = BTreeMap::new();
    pending.wait(name("e0"), 1, 0);
    let first = pending.incarnations();
    pending.record_proposed(100);
    (1..78).for_each(|n| pending.wait(name(&format!("e{n}")), 1, n));
    assert!(!pending.can_propose(130));
    recorded.extend(first);
    assert_eq!(pending.take_recorded(&recorded), [(name("e0"), 0)]);
    assert!(pending.can_propose(140));
    let second = pending.incarnations();
    assert_eq!(second.len(), 77);
    recorded.extend(second);
    assert_eq!(pending.take_recorded(&recorded).len(), 77);
    // A lost change is proposed again.
    pending.wait(name("e0"), 2, 0);
    pending.record_proposed(200);
    assert!(!pending.can_propose(1_199) && pending.can_propose(1_200));
}

#[test]
fn an_entry_without_a_link_still_holds_its_lease() {
    let mut leases = EntryLeases::new(0, BTreeSet::new());
    leases.renew(&name("a"), 9, 1_000);
    leases.reset_applied(&name("a"));
    assert!(!leases.is_applied(9, 2_000));
}

fn candidates() -> Vec<Candidate> {
    [("p", true), ("r1", false), ("r2", false)]
        .map(|(id, primary)| Candidate { server: id.into(), slots: 3, primary, remote: false })
        .into()
}

#[test]
fn reads_avoid_a_replica_that_is_behind_and_the_primary_while_replicas_serve() {
    let mut records = ServerRecords::default();
    for id in ["p", "r1", "r2"] {
        records.record_sent(&id.into());
        records.record_answer(id, 20, Some(at(1, 10)), 1_000);
        records.record_ended(id);
    }
    let first = records.choose(&candidates(), Some(at(1, 10)), None, 1_010).unwrap();
    assert_ne!(&*first, "p");
    records.record_behind("r1", Some(at(1, 9)), 1_010);
    let choice =
        |records: &ServerRecords, now| records.choose(&candidates(), Some(at(1, 11)), None, now);
    assert_eq!(choice(&records, 1_020).as_deref(), Some("r2"));
    records.record_behind("r2", Some(at(1, 9)), 1_020);
    assert_eq!(choice(&records, 1_025).as_deref(), Some("p"));
}

/// Guards against an entry that opens links to the owners of all servers after a restart of
/// everything, although a replica in its region answers.
#[test]
fn replicas_of_other_regions_are_tried_once_the_near_one_is_loaded() {
    let replica =
        |id: &str, remote| Candidate { server: id.into(), slots: 3, primary: false, remote };
    let candidates = [replica("far", true), replica("near", false)];
    let mut records = ServerRecords::default();
    let choice = |records: &ServerRecords| records.choose(&candidates, Some(at(1, 1)), None, 1_000);
    assert_eq!(choice(&records).as_deref(), Some("near"));
    records.record_sent(&"near".into());
    records.record_answer("near", 40, Some(at(1, 1)), 990);
    records.record_ended("near");
    assert_eq!(choice(&records).as_deref(), Some("near"));
    for _ in 0..3 {
        records.record_sent(&"near".into());
    }
    assert_eq!(choice(&records).as_deref(), Some("far"));
}

#[test]
fn a_replica_that_stays_behind_is_tried_with_backoff() {
    let mut records = ServerRecords::default();
    records.record_sent(&"r1".into());
    let only = [Candidate { server: "r1".into(), slots: 3, primary: false, remote: false }];
    let (mut now, mut tried) = (0, 0);
    while now < 3_000 {
        if records.choose(&only, Some(at(1, 5)), None, now).is_some() {
            tried += 1;
            records.record_behind("r1", Some(at(1, 1)), now);
        }
        now += 5;
    }
    assert!(tried <= 11, "tried {tried} times in 3 s");
}

#[test]
fn a_full_queue_is_tried_with_backoff_and_by_priority() {
    let mut records = ServerRecords::default();
    records.record_sent(&"p".into());
    let (mut tried, mut now) = (0, 0);
    while now < 3_000 {
        if !records.has_full_queue("p", 2, now) {
            tried += 1;
            records.record_full_queue("p", 2, now);
        }
        now += 5;
    }
    assert!(tried <= 13, "tried {tried} times in 3 s");
    assert!(!records.has_full_queue("p", 1, now));
    records.record_answer("p", 20, None, now);
    assert!(!records.has_full_queue("p", 2, now));
}

#[test]
fn without_a_required_position_only_the_primary_is_chosen() {
    let records = ServerRecords::default();
    assert_eq!(records.choose(&candidates(), None, None, 0).as_deref(), Some("p"));
}

/// Guards against refusals, while there is no leader, of operations that the rate share admits a
/// moment later.
#[test]
fn a_bucket_tells_when_its_share_admits_an_operation() {
    let mut bucket = ShareBucket::new(0);
    assert_eq!(bucket.ready_in(0, 0), None);
    let share = ShareGrant { share: 10.0, prefetch: 4.0, tokens: 0.0, total_share: 10.0 };
    bucket.apply_grant(share, 0, 0);
    assert_eq!(bucket.ready_in(0, 0), Some(100));
    assert_eq!(bucket.ready_in(2, 0), Some(300));
    assert_eq!(bucket.ready_in(0, 60), Some(40));
    assert_eq!(bucket.ready_in(0, SHARE_LIFETIME_MS), None);
}

/// Guards against rate shares that move between entries without a failure, and against a region
/// whose regional limiters are all in one failure domain.
#[test]
fn regional_limiters_stay_and_are_spread_over_domains() {
    let list: Vec<(String, &str)> =
        (0..26).map(|n| (format!("e{n:02}"), if n < 13 { "a" } else { "b" })).collect();
    let place = |domain: &str| Location { region: "r".into(), domain: domain.into() };
    let mut entries: BTreeMap<Name, Location> =
        list.iter().map(|(entry, domain)| (name(entry), place(domain))).collect();
    let chosen = regional_limiters::choose(&entries, &RegionalLimiters::new());
    let first = &chosen["r"];
    assert_eq!(first.len(), 3);
    let domains: BTreeSet<_> = first.iter().map(|name| entries[name].domain.clone()).collect();
    assert_eq!(domains.len(), 2);
    entries.insert(name("e"), place("a"));
    assert_eq!(regional_limiters::choose(&entries, &chosen), chosen);
    let lost = first.first().unwrap();
    entries.remove(lost.as_str());
    let next = regional_limiters::choose(&entries, &chosen);
    assert_eq!(next["r"].intersection(first).count(), 2);
    assert_eq!(next["r"].len(), 3);
}

/// Guards against a small rate that is divided until no part admits anything, and against entries
/// that prefer different regional limiters for it.
#[test]
fn a_small_account_has_one_regional_limiter_for_all_regions() {
    let names = |list: &[&str]| list.iter().map(|text| name(text)).collect();
    let limiters: RegionalLimiters =
        [("r".into(), names(&["a", "b"])), ("s".into(), names(&["c", "d"]))].into();
    let (one, other) = (name("e"), name("f"));
    let here = regional_limiters::preference_order(&limiters, ("r", &one), "x", 3.0);
    assert_eq!(here, regional_limiters::preference_order(&limiters, ("s", &other), "x", 3.0));
}

/// Guards against an account whose tokens are all on one side of a network partition: the entries
/// of a region use several regional limiters, and try those of other regions before they give up.
#[test]
fn a_large_account_is_spread_over_the_regional_limiters_of_each_region() {
    let names = |list: &[&str]| list.iter().map(|text| name(text)).collect();
    let limiters: RegionalLimiters =
        [("r".into(), names(&["a", "b", "c"])), ("s".into(), names(&["d", "e", "f"]))].into();
    let mut first = BTreeSet::new();
    for n in 0..20 {
        let entry = name(&format!("n{n}"));
        let order = regional_limiters::preference_order(&limiters, ("s", &entry), "x", 100.0);
        assert!(["d", "e", "f"].contains(&order[0].as_str()));
        assert!(order.iter().any(|name| ["a", "b", "c"].contains(&name.as_str())));
        first.insert(order[0].clone());
    }
    assert_eq!(first.len(), 3);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, rng_seed: RngSeed::Fixed(9), failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against a follower whose values differ from the leader's after updates with only the
    /// changes, also if it missed some of them.
    #[test]
    fn a_follower_that_is_sent_changes_has_all_values(
        steps in prop::collection::vec((0_usize..700, 0_u8..4, any::<bool>()), 1..300),
    ) {
        let mut tracked = ChangeTracker::new();
        let mut values: BTreeMap<Arc<str>, u8> = BTreeMap::new();
        let mut follower: BTreeMap<Arc<str>, u8> = BTreeMap::new();
        let (mut sent, mut index) = (0, 0);
        for (key, value, sends) in steps {
            index += 1;
            let key: Arc<str> = key.to_string().into();
            match value {
                0 => drop(values.remove(&key)),
                _ => drop(values.insert(key, value)),
            }
            tracked.replace(values.clone(), index);
            if sends {
                if let Some(changes) = tracked.since(sent) {
                    changes.apply(&mut follower);
                }
                sent = index;
                prop_assert_eq!(&follower, &values);
            }
        }
    }
}

/// Guards against updates whose size grows with the fleet: a change of one of 2,460 servers is sent
/// to each of 700 entries.
#[test]
fn a_follower_is_sent_only_what_changed() {
    let mut values: BTreeMap<Arc<str>, u32> =
        (0..2_460).map(|n| (format!("s{n}").into(), n)).collect();
    let mut tracked = ChangeTracker::new();
    tracked.replace(values.clone(), 1);
    values.insert("s7".into(), 0);
    values.remove("s9");
    tracked.replace(values, 2);
    let changes = tracked.since(1).unwrap();
    assert!(!changes.snapshot);
    assert_eq!((changes.set.len(), changes.removed.len()), (1, 1));
    assert_eq!(tracked.since(2), None);
    assert!(tracked.since(0).unwrap().snapshot);
}

/// Guards against a primary that is declared failed because expired reports count, or is retained
/// because newer ones do not.
#[test]
fn reports_on_a_primary_are_summed_and_expire() {
    let mut reports = ServerReports::default();
    reports.add(&"s".into(), &name("a"), Some(900), 0, 1_000);
    reports.add(&"s".into(), &name("b"), Some(700), 2, 1_100);
    reports.add(&"s".into(), &name("c"), None, 1, 1_500);
    assert_eq!(reports.last_answer("s"), 900);
    assert_eq!(reports.stalled_commits("s", 1_600), 3);
    assert_eq!(reports.stalled_commits("s", 2_200), 1);
    reports.add(&"s".into(), &name("c"), Some(1_700), 0, 1_800);
    assert_eq!((reports.last_answer("s"), reports.stalled_commits("s", 1_800)), (1_700, 2));
    reports.retain(|server| server != "s");
    assert_eq!(reports.last_answer("s"), 0);
}

fn owners(list: &[(&str, &[&str])]) -> BTreeMap<Arc<str>, BTreeSet<Name>> {
    let names = |entries: &[&str]| entries.iter().map(|entry| name(entry)).collect();
    list.iter().map(|(server, entries)| ((*server).into(), names(entries))).collect()
}

/// Guards against a promotion that waits for the leases of all entries that are unresponsive at
/// that moment: with hundreds of entries there is often one.
#[test]
fn a_promotion_waits_only_for_entries_that_may_use_the_primary() {
    let mut leases = EntryLeases::new(0, BTreeSet::new());
    for entry in ["a", "b", "c"] {
        leases.renew(&name(entry), 1, 1_000);
    }
    leases.assign_servers(owners(&[("p", &["a"]), ("q", &["b"])]), 2);
    // No entry has yet reported the servers that it owns connections to by earlier updates.
    assert!(!leases.is_released("p", 3, 1_100));
    leases.report_servers(&name("a"), ["p".into()]);
    leases.report_servers(&name("b"), ["q".into()]);
    leases.report_servers(&name("c"), []);
    assert!(!leases.is_released("p", 3, 1_200));
    leases.renew(&name("a"), 3, 1_300);
    assert!(leases.is_released("p", 3, 1_300));
    assert!(!leases.is_applied(3, 1_300));
    assert!(!leases.is_released("q", 3, 1_300));
    assert!(leases.is_released("q", 3, 1_000 + ENTRY_LEASE_MS + 200));
}

/// Guards against statements on a replaced primary by a former connection owner: it uses the server
/// until it has the update that names other owners.
#[test]
fn a_former_connection_owner_is_waited_for_until_it_has_the_update() {
    let mut leases = EntryLeases::new(0, BTreeSet::new());
    for entry in ["a", "b"] {
        leases.renew(&name(entry), 1, 1_000);
        leases.report_servers(&name(entry), []);
    }
    leases.assign_servers(owners(&[("p", &["a"])]), 2);
    leases.assign_servers(owners(&[("p", &["b"])]), 4);
    leases.renew(&name("b"), 5, 1_100);
    assert!(!leases.is_released("p", 5, 1_100));
    leases.renew(&name("a"), 3, 1_200);
    assert!(!leases.is_released("p", 5, 1_200));
    leases.renew(&name("a"), 4, 1_300);
    assert!(leases.is_released("p", 5, 1_300));
}

/// Guards against missing an owner assigned by an earlier leader, if this leader has assigned other
/// owners before that entry reports.
#[test]
fn a_connection_owner_that_reports_late_is_waited_for_until_it_has_the_update() {
    let mut leases = EntryLeases::new(0, BTreeSet::new());
    leases.renew(&name("a"), 1, 1_000);
    leases.assign_servers(owners(&[("p", &["b"])]), 3);
    leases.report_servers(&name("a"), ["p".into()]);
    assert!(!leases.is_released("p", 9, 1_000));
    leases.renew(&name("a"), 3, 1_100);
    assert!(leases.is_released("p", 9, 1_100));
}

/// Guards against a renewal that crosses the first update of a new leader: its update number is
/// that of the former leader and may be higher.
#[test]
fn updates_of_a_former_leader_do_not_count() {
    assert_eq!(applied_update(2, (1, 127), 5), 0);
    assert_eq!(applied_update(2, (2, 4), 5), 4);
    assert_eq!(applied_update(2, (2, 9), 5), 5);
}

/// Guards against stale reads (lifeguard deployment, `mix --seed 200273997454`): an entry that had
/// started 0.6 s before treated a position older than its process as one from its start.
#[test]
fn a_position_from_before_the_start_is_not_used() {
    let mut samples = PositionSamples::default();
    samples.add_aged(300, 1_200, at(1, 84));
    assert_eq!(samples.required_position(0), None);
    samples.add_aged(300, 250, at(1, 91));
    assert_eq!(samples.required_position(0), Some(at(1, 91)));
}
