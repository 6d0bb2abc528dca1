//! Model tests of the control group: random and directed schedules of faults.

use std::collections::{BTreeMap, BTreeSet};

use auburnlug_coordination::raft::Members;
use auburnlug_state::{Millis, Name};
use member_group::{
    Group, Settings, name,
    schedule::{CATCH_UP_MS, Walk},
};

mod member_group;
mod member_losses;

/// Simulated duration of a random schedule.
const WALK_MS: Millis = 60_000;

/// Seeds of the run in CI.
const CI_SEEDS: u64 = 8;

/// Seeds of each directed scenario.
const SCENARIO_SEEDS: u64 = 8;

/// Seeds of each order of names.
const ORDER_SEEDS: u64 = 2;

/// Delay of the answers of one voter, longer than an answer of the others takes.
const LATE_ANSWER_MS: Millis = 150;

/// Bytes that a control member with 0.15 of a core encodes in a millisecond.
const ENCODED_BYTES_PER_MS: usize = 40_000;

/// Time without an acknowledged change while a member other than the leader is replaced. An election
/// takes half of it.
const MAX_UNACKNOWLEDGED_MS: Millis = 1_000;

const TRACE_LINES: usize = 40;

fn env(key: &str) -> Option<u64> {
    std::env::var(key).ok()?.parse().ok()
}

fn walk(seed: u64) -> Walk {
    let mut walk = Walk::new(seed, env("CATCH_UP_MS").unwrap_or(CATCH_UP_MS));
    walk.run(env("WALK_MS").unwrap_or(WALK_MS));
    walk
}

/// Group of three voters that has a leader.
fn group_of_three(seed: u64) -> Group {
    let mut group = Group::new(&["a", "b", "c"], Settings::new(1), seed);
    wait_until(&mut group, 3_000, |group| group.leader().is_some());
    group.run(500);
    group
}

/// Group of three voters and a learner.
fn group_with_learner(seed: u64) -> (Group, Name) {
    let mut group = group_of_three(seed);
    let learner = name("d");
    group.add(learner.clone(), &["a", "b", "c"].map(name).into());
    group.start(&learner, false);
    wait_until(&mut group, 2_000, |group| is_learner(group, &learner));
    group.run(500);
    (group, learner)
}

/// Runs until the condition holds, for `limit` milliseconds at most.
fn wait_until(group: &mut Group, limit: Millis, mut done: impl FnMut(&mut Group) -> bool) {
    let end = group.now + limit;
    while !done(group) {
        assert!(group.now < end, "timeout at {}:\n  {}", group.now, group.trace.join("\n  "));
        group.run(1);
    }
}

/// Runs for as long as the group may take to tolerate another loss, and checks the invariants.
fn check_recovered(group: &mut Group) -> Option<String> {
    group.run(CATCH_UP_MS);
    if group.violation.is_none() {
        group.check_tolerance();
        group.check_membership();
    }
    group.report(TRACE_LINES)
}

/// Runs for `span` and requires that changes are acknowledged all the time.
fn run_acknowledging(group: &mut Group, span: Millis) {
    let (end, mut last) = (group.now + span, (group.now, group.acknowledged));
    while group.now < end && group.violation.is_none() {
        group.run(100);
        if group.acknowledged > last.1 {
            last = (group.now, group.acknowledged);
        } else if group.now > last.0 + MAX_UNACKNOWLEDGED_MS {
            let silent = group.now - last.0;
            group.fail(format_args!("service: no change is acknowledged for {silent} ms"));
        }
    }
}

/// Requires that a scenario, which returns a report if it fails, passes with each of some seeds.
fn check_seeds(scenario: impl Fn(u64) -> Option<String>) {
    let failing = |seed| Some(format!("seed {seed}: {}", scenario(seed)?));
    let reports: Vec<String> = (0..SCENARIO_SEEDS).filter_map(failing).collect();
    let first = reports.first().cloned().unwrap_or_default();
    assert!(reports.is_empty(), "{} of {SCENARIO_SEEDS} seeds fail; {first}", reports.len());
}

/// A voter other than the leader.
fn follower(group: &Group) -> Name {
    let leader = group.leader();
    let mut others = group.instances.keys().filter(|name| Some(*name) != leader.as_ref());
    others.next().expect("more than one instance").clone()
}

/// Stops other leaders until the given instance leads.
fn make_leader(group: &mut Group, instance: &Name) {
    wait_until(group, 60_000, |group| {
        let Some(leader) = group.leader() else { return false };
        if leader == *instance {
            return true;
        }
        group.kill(&leader);
        group.run(1_500);
        group.start(&leader, false);
        group.run(1_000);
        false
    });
}

/// Replaces an instance by a new one that starts at once.
fn replace(group: &mut Group, instance: &Name, successor: &str) -> Name {
    let successor = name(successor);
    group.note(format_args!("replace {instance} by {successor}"));
    group.replace(instance, &successor);
    group.start(&successor, false);
    successor
}

fn is_learner(group: &mut Group, instance: &Name) -> bool {
    let identity = group.instance(instance).identity.clone();
    group.members().learners.contains(identity.as_str())
}

fn is_member(group: &mut Group, instance: &Name) -> bool {
    let identity = group.instance(instance).identity.clone();
    group.members().all().any(|member| *member == identity)
}

/// Guards against a new member that is sent tens of megabytes at once, so that each leader is held up
/// and replaced before the member is filled, and against a log that grows without bound.
#[test]
fn two_members_are_replaced_after_many_large_changes() {
    check_seeds(|seed| {
        let (document, encoding) = (Some(600_000), Some(ENCODED_BYTES_PER_MS));
        let settings = Settings { document, encoding, ..Settings::new(1) };
        let mut group = Group::new(&["a", "b", "c"], settings, seed);
        wait_until(&mut group, 3_000, |group| group.leader().is_some());
        group.run(5_000);
        for successor in ["d", "e"] {
            let former = follower(&group);
            replace(&mut group, &former, successor);
            run_acknowledging(&mut group, CATCH_UP_MS + 3_000);
        }
        check_recovered(&mut group)
    });
}

/// Guards against a learner that follows a leader that has dropped it, and never asks to join.
#[test]
fn a_learner_that_was_dropped_while_suspended_joins_again() {
    check_seeds(|seed| {
        let mut group = group_of_three(seed);
        let former = follower(&group);
        let learner = replace(&mut group, &former, "d");
        wait_until(&mut group, 2_000, |group| is_learner(group, &learner));
        group.run(300);
        group.suspend(&learner, false);
        wait_until(&mut group, 5_000, |group| !is_member(group, &learner));
        group.run(500);
        group.resume(&learner);
        check_recovered(&mut group)
    });
}

/// Guards against a removed voter that forgets that it must ask to join, as its own log still
/// names it a voter.
#[test]
fn a_voter_that_was_removed_while_suspended_joins_again() {
    check_seeds(|seed| {
        let (mut group, learner) = group_with_learner(seed);
        let leader = group.leader();
        let voters = group.instances.keys().filter(|name| **name != learner);
        let mut followers = voters.filter(|name| Some(*name) != leader.as_ref());
        let voter = followers.next().expect("three voters").clone();
        group.suspend(&voter, false);
        wait_until(&mut group, 6_000, |group| !is_member(group, &voter));
        group.run(500);
        group.resume(&voter);
        check_recovered(&mut group)
    });
}

/// Guards against a group of four founders that removes one of them for good.
#[test]
fn a_founder_that_is_removed_joins_again() {
    check_seeds(|seed| {
        let mut group = Group::new(&["a", "b", "c", "d"], Settings::new(1), seed);
        wait_until(&mut group, 3_000, |group| group.leader().is_some());
        check_recovered(&mut group)
    });
}

/// Guards against a joining member that restarts and then asks only its seeds, none of which leads.
#[test]
fn a_joining_member_that_restarts_finds_a_leader_outside_its_seeds() {
    check_seeds(|seed| {
        let mut group = group_of_three(seed);
        let former = follower(&group);
        let successor = replace(&mut group, &former, "d");
        group.run(5_000);
        make_leader(&mut group, &successor);
        let joining = follower(&group);
        group.lose_disk(&joining);
        group.start(&joining, false);
        wait_until(&mut group, 1_000, |group| {
            let process = &mut group.instance(&joining).process;
            process.as_mut().is_some_and(|process| process.members().is_some())
        });
        group.kill(&joining);
        group.run(200);
        group.start(&joining, false);
        check_recovered(&mut group)
    });
}

/// Order in which the names of the leader, a follower, a vanished voter and its successor sort.
fn orders() -> Vec<[&'static str; 4]> {
    let names = ["a", "b", "c", "d"];
    let mut orders = Vec::new();
    for code in 0..256 {
        let order = [code & 3, code >> 2 & 3, code >> 4 & 3, code >> 6].map(|i| names[i]);
        if order.iter().collect::<BTreeSet<_>>().len() == 4 {
            orders.push(order);
        }
    }
    orders
}

/// Guards against a new leader that has heard nobody yet and removes the voter with the last name.
#[test]
fn a_leader_elected_during_a_replacement_removes_the_voter_that_has_gone() {
    let mut reports = Vec::new();
    for order in orders() {
        for seed in 0..ORDER_SEEDS {
            let report = elect_during_replacement(order, seed);
            reports.extend(report.map(|report| (order, seed, report)));
        }
    }
    let orders: BTreeSet<_> = reports.iter().map(|(order, ..)| order).collect();
    if let Some((order, seed, report)) = reports.first() {
        panic!("{} orders fail, first {order:?} seed {seed}: {report}", orders.len());
    }
}

/// Guards against a member that hears a leader that its log does not list, and never answers it.
#[test]
fn a_member_that_was_away_follows_a_leader_that_joined_meanwhile() {
    check_seeds(|seed| {
        let mut group = Group::new(&["a", "b", "c", "d", "e"], Settings::new(2), seed);
        wait_until(&mut group, 3_000, |group| group.leader().is_some());
        group.run(1_000);
        group.isolate(&name("a"));
        let successor = replace(&mut group, &name("b"), "f");
        group.run(5_000);
        make_leader(&mut group, &successor);
        group.heal(&name("a"));
        check_recovered(&mut group)
    });
}

/// Guards against a new leader that removes a voter from which it has not heard yet, although it has
/// the lease.
#[test]
fn a_new_leader_keeps_a_voter_whose_first_answer_is_late() {
    for late in ["a", "z"] {
        check_seeds(|seed| {
            let names = ["b", "c", "d", "e", late];
            let mut group = Group::new(&names, Settings::new(2), seed);
            wait_until(&mut group, 3_000, |group| group.leader().is_some());
            let leader = if seed % 2 == 0 { "b" } else { "e" };
            make_leader(&mut group, &name(leader));
            group.run(1_000);
            replace(&mut group, &name("d"), "f");
            wait_until(&mut group, 5_000, |group| group.members().voters.len() == 6);
            for other in ["b", "c", "e", "f"] {
                group.slow_links.insert((name(late), name(other)), LATE_ANSWER_MS);
            }
            group.kill(&name(leader));
            group.run(50);
            group.start(&name(leader), false);
            wait_until(&mut group, 8_000, |group| group.members().voters.len() == 5);
            let identity = group.instance(&name(late)).identity.clone();
            if !group.members().voters.contains(identity.as_str()) {
                group.fail(format_args!("removal: {identity} is no voter"));
            }
            group.report(TRACE_LINES)
        });
    }
}

/// Restarts the leader between the promotion of a successor and the removal of the former voter.
fn elect_during_replacement(order: [&str; 4], seed: u64) -> Option<String> {
    let [leader, other, gone, successor] = order;
    let mut group = Group::new(&[leader, other, gone], Settings::new(1), seed);
    group.run(3_000);
    make_leader(&mut group, &name(leader));
    replace(&mut group, &name(gone), successor);
    wait_until(&mut group, 5_000, |group| group.members().voters.len() == 4);
    group.kill(&name(leader));
    group.run(50);
    group.start(&name(leader), false);
    wait_until(&mut group, 5_000, |group| {
        group.violation.is_some() || group.members().voters.len() == 3
    });
    group.report(TRACE_LINES)
}

/// Guards against a replacement that takes longer than the catch-up time after all processes have
/// restarted, as the next leader has to observe the silence of the vanished voter anew.
#[test]
fn a_restart_of_all_members_does_not_delay_a_replacement() {
    check_seeds(|seed| {
        let mut group = group_of_three(seed);
        let former = follower(&group);
        replace(&mut group, &former, "d");
        group.run(100 + 400 * seed);
        let running: Vec<Name> = group.instances.keys().cloned().collect();
        running.iter().for_each(|instance| group.kill(instance));
        group.run(300);
        running.iter().for_each(|instance| group.start(instance, false));
        check_recovered(&mut group)
    });
}

/// Guards against a replacement that takes longer than the catch-up time of the successor if the
/// leader changes meanwhile.
#[test]
fn a_change_of_the_leader_does_not_delay_a_replacement() {
    check_seeds(|seed| {
        let mut group = group_of_three(seed);
        let former = follower(&group);
        let successor = replace(&mut group, &former, "d");
        group.kill(&successor);
        group.run(1_000);
        group.start(&successor, false);
        let started = group.now;
        group.run(100 * seed);
        let leader = group.leader().expect("a leader");
        group.suspend(&leader, false);
        group.run(600);
        group.resume(&leader);
        group.run((started + CATCH_UP_MS).saturating_sub(group.now));
        group.check_tolerance();
        group.report(TRACE_LINES)
    });
}

/// Guards against a learner that is dropped for good, or never replaces the vanished voter, as its
/// answers to queued messages arrive late.
#[test]
fn a_learner_that_answers_late_replaces_the_voter_that_has_gone() {
    check_seeds(|seed| {
        let mut group = group_of_three(seed);
        let former = follower(&group);
        let learner = replace(&mut group, &former, "d");
        wait_until(&mut group, 2_000, |group| is_learner(group, &learner));
        // Resumes with a queue of messages, whose handling takes until after the timeout.
        group.suspend(&learner, false);
        group.run(2_700);
        group.resume(&learner);
        group.instance(&learner).sync = 800;
        group.run(2_000);
        group.end_slow_syncs(&learner);
        check_recovered(&mut group)
    });
}

/// Guards against a learner that is dropped although its answers arrive all the time, as the leader
/// sent the messages that they answer long ago.
#[test]
fn a_learner_whose_answers_are_slow_stays_in_the_group() {
    check_seeds(|seed| {
        let (mut group, learner) = group_with_learner(seed);
        let changes = group.trace.len();
        for delay in (400..=3_600).step_by(400) {
            for other in ["a", "b", "c"] {
                group.slow_links.insert((learner.clone(), name(other)), delay);
            }
            group.run(1_000);
        }
        group.run(4_000);
        if let Some(change) = group.trace[changes..].first().cloned() {
            group.fail(format_args!("evidence: membership changed: {change}"));
        }
        group.report(TRACE_LINES)
    });
}

/// Guards against a leader that takes its own absence for one of the others.
#[test]
fn a_leader_that_was_suspended_removes_no_running_member() {
    check_seeds(|seed| {
        let (mut group, learner) = group_with_learner(seed);
        let leader = group.leader().expect("a leader");
        let former = group.instance(&leader).identity.clone();
        let before = group.members();
        group.suspend(&leader, false);
        group.run(3_000);
        // The learner votes in place of the suspended leader, and nobody else is affected.
        let learner = group.instance(&learner).identity.clone();
        let voters = before.voters.iter().filter(|voter| **voter != former).cloned();
        let mut expected = Members::new(voters.chain([learner]).collect(), BTreeSet::new());
        let meanwhile = group.members();
        group.resume(&leader);
        group.run(1_000);
        expected.learners.insert(former);
        let after = group.members();
        if meanwhile.voters != expected.voters || after != expected {
            group.fail(format_args!("evidence: {meanwhile:?}, then {after:?}"));
        }
        check_recovered(&mut group)
    });
}

/// Guards against a membership that does not recover from the permitted faults.
#[test]
fn membership_recovers_from_random_faults() {
    let first = env("SEED").unwrap_or(0);
    let count = if env("SEED").is_some() { 1 } else { CI_SEEDS };
    for seed in first..first + count {
        let lines = env("TRACE_LINES").map_or(TRACE_LINES, |lines| lines as usize);
        if let Some(report) = walk(seed).group.report(lines) {
            panic!("seed {seed}: {report}");
        }
    }
}

/// Long run by hand: SEEDS seeds from FIRST_SEED on. Counts the violations by invariant.
#[test]
#[ignore = "long run"]
fn membership_recovers_from_random_faults_long() {
    let first = env("FIRST_SEED").unwrap_or(1_000);
    let mut found: BTreeMap<String, Vec<u64>> = BTreeMap::new();
    let (mut checks, mut second_losses) = (0, 0);
    for seed in first..first + env("SEEDS").unwrap_or(100) {
        let walk = walk(seed);
        checks += walk.checks;
        second_losses += walk.second_losses;
        if let Some(text) = &walk.group.violation {
            println!("seed {seed}: {text}");
            let kind = text.split(':').next().unwrap_or_default();
            found.entry(kind.to_owned()).or_default().push(seed);
        }
    }
    println!("{checks} checks, {second_losses} second losses; violations: {found:#?}");
    assert!(found.is_empty(), "invariants were violated");
}
