//! Replacement of control members, and the loss of a disk afterwards: real processes.

// The setting for tests in clippy.toml does not reach helper functions in test files.
#![allow(clippy::unwrap_used, clippy::panic)]

use std::{
    collections::BTreeSet,
    path::Path,
    thread,
    time::{Duration, Instant},
};

use auburnlug_bench::line_processes::{CONTROL_HOSTS, LineProcesses, SUCCESSOR_HOSTS};
use rustix::process::Signal;

const SUCCESSOR: u8 = SUCCESSOR_HOSTS[0];

/// Time for which a process is suspended: longer than an absence after which another member may
/// replace a voter.
const SUSPENSION_TIME: Duration = Duration::from_millis(3_300);

/// Time just before the promotion of a successor, counted from the last sign of the former member.
const BEFORE_PROMOTION_TIME: Duration = Duration::from_millis(1_300);

/// Time without trouble after which an instance that was absent counts as present.
const CALM_TIME: Duration = Duration::from_secs(5);

/// Time within which the deployment serves once all processes are back.
const RECOVERY_TIME: Duration = Duration::from_secs(12);

/// Log event of a change of the membership.
const MEMBERS_CHANGED: &str = "AL0204";

/// Log event of a step of the membership that the leader proposes.
const STEP_PROPOSED: &str = "AL0207";

fn start(test: u8) -> LineProcesses {
    let id = std::process::id();
    let net = [100 + (id % 100) as u8, 240 + test];
    let folder = std::env::temp_dir().join(format!("auburnlug-replaced-{id}-{test}"));
    LineProcesses::start(Path::new(env!("CARGO_BIN_EXE_auburnlug")), &folder, net, 1).unwrap()
}

fn leader(deployment: &LineProcesses) -> u8 {
    deployment.eventually("a member leads", |d| d.leader().is_some()).unwrap();
    deployment.leader().unwrap()
}

/// Original members that do not lead.
fn followers(deployment: &LineProcesses) -> Vec<u8> {
    let leader = leader(deployment);
    CONTROL_HOSTS.into_iter().filter(|host| *host != leader).collect()
}

/// Hosts in a part of the membership that a member logged last.
fn members(deployment: &LineProcesses, member: u8, part: &str) -> BTreeSet<u8> {
    let lines = deployment.logged(member, MEMBERS_CHANGED);
    let part = lines.last().and_then(|line| line.split_once(part));
    let names = part.and_then(|(_, rest)| rest.split('}').next()).unwrap_or_default();
    let is_named = |host: &u8| names.contains(&format!("{}.", deployment.address(*host, 0).ip()));
    CONTROL_HOSTS.into_iter().chain(SUCCESSOR_HOSTS).filter(is_named).collect()
}

fn voters(deployment: &LineProcesses, member: u8) -> BTreeSet<u8> {
    members(deployment, member, "voters=")
}

fn learners(deployment: &LineProcesses, member: u8) -> BTreeSet<u8> {
    members(deployment, member, "learners=")
}

/// Starts another member, and waits until its own log names it as a learner.
fn join(deployment: &mut LineProcesses, host: u8) {
    deployment.spawn(host, false).unwrap();
    deployment
        .eventually("the member is a learner", |d| learners(d, host).contains(&host))
        .unwrap();
}

/// Publishes a configuration; at once a member loses its disk and all processes end and are started
/// again. Checks that the configuration is read and a write served.
fn check_loss(deployment: &mut LineProcesses, host: u8, version: u64) {
    deployment.publish(&deployment.config(version)).unwrap();
    let hosts = deployment.kill_all().unwrap();
    deployment.lose_disk(host).unwrap();
    for host in hosts {
        deployment.spawn(host, false).unwrap();
    }
    let check = |d: &LineProcesses| d.config_version() == Some(version);
    deployment.within(RECOVERY_TIME, "the configuration is read", check).unwrap();
    deployment.within(RECOVERY_TIME, "a write is served", |d| d.try_write(0, "later")).unwrap();
}

/// A successor that was suspended while it was a learner was dropped from the group and never asked
/// to join it again: the group had lost its quorum with the loss of one more disk.
#[test]
fn a_suspended_successor_joins_the_group() {
    let mut deployment = start(1);
    let followers = followers(&deployment);
    deployment.remove(followers[0]).unwrap();
    join(&mut deployment, SUCCESSOR);
    deployment.signal(SUCCESSOR, Signal::STOP).unwrap();
    thread::sleep(SUSPENSION_TIME);
    deployment.signal(SUCCESSOR, Signal::CONT).unwrap();
    thread::sleep(CALM_TIME);
    check_loss(&mut deployment, followers[1], 2);
}

/// A leader that was elected while a promotion was in progress removed a voter that runs in place of
/// the one that had vanished, if the name of the latter came first.
#[test]
fn a_new_leader_removes_the_voter_that_vanished() {
    let mut deployment = start(2);
    let [vanished, others @ ..] = CONTROL_HOSTS;
    deployment.remove(vanished).unwrap();
    let former = leader(&deployment);
    let missed_since = Instant::now();
    join(&mut deployment, SUCCESSOR);
    thread::sleep(BEFORE_PROMOTION_TIME.saturating_sub(missed_since.elapsed()));
    // The promotion makes four voters, but cannot be committed.
    let link = deployment.members[&(former, SUCCESSOR)].clone();
    link.hold("");
    deployment
        .eventually("another member leads", |d| d.leader().is_some_and(|l| l != former))
        .unwrap();
    link.heal();
    thread::sleep(CALM_TIME);
    let present = leader(&deployment);
    let running: BTreeSet<u8> = others.into_iter().chain([SUCCESSOR]).collect();
    assert_eq!(voters(&deployment, present), running);
    let name = format!("member={}.", deployment.address(vanished, 0).ip());
    let removals = running.iter().flat_map(|member| deployment.logged(*member, STEP_PROPOSED));
    for line in removals.filter(|line| line.contains("step=voter_removed")) {
        assert!(line.contains(&name), "a voter that runs was removed: {line}");
    }
    check_loss(&mut deployment, present, 2);
}

/// A voter that was replaced while it was cut off never asked to join the group again.
#[test]
fn a_removed_voter_joins_the_group_again() {
    let mut deployment = start(3);
    let (leader, followers) = (leader(&deployment), followers(&deployment));
    join(&mut deployment, SUCCESSOR);
    deployment.isolate(followers[0]);
    deployment
        .eventually("the voter is replaced", |d| {
            voters(d, leader) == BTreeSet::from([leader, followers[1], SUCCESSOR])
        })
        .unwrap();
    deployment.rejoin();
    deployment
        .within(CALM_TIME, "the voter is a learner", |d| {
            learners(d, leader).contains(&followers[0])
        })
        .unwrap();
}
