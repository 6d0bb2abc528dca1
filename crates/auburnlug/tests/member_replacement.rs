//! Replacement of control members, and the loss of a disk afterwards: real processes.

// The setting for tests in clippy.toml does not reach helper functions in test files.
#![allow(clippy::unwrap_used, clippy::panic)]

use std::{path::Path, thread, time::Duration};

use auburnlug_bench::line_processes::{CONTROL_HOSTS, LineProcesses, SUCCESSOR_HOSTS};
use rustix::process::Signal;

/// Time for which a process is suspended: longer than an absence after which another member may
/// replace a voter.
const SUSPENSION_TIME: Duration = Duration::from_millis(3_300);

/// Time without trouble after which an instance that was absent counts as present.
const CALM_TIME: Duration = Duration::from_secs(5);

/// Time within which the deployment serves once all processes are back.
const RECOVERY_TIME: Duration = Duration::from_secs(12);

/// Log event of a change of the membership.
const MEMBERS_CHANGED: &str = "AL0204";

fn start(test: u8) -> LineProcesses {
    let id = std::process::id();
    let net = [100 + (id % 100) as u8, 240 + test];
    let folder = std::env::temp_dir().join(format!("auburnlug-replaced-{id}-{test}"));
    LineProcesses::start(Path::new(env!("CARGO_BIN_EXE_auburnlug")), &folder, net, 1).unwrap()
}

/// Hosts of the original members that do not lead and of the one that does.
fn roles(deployment: &LineProcesses) -> (Vec<u8>, u8) {
    let leader = deployment.leader().unwrap();
    (CONTROL_HOSTS.into_iter().filter(|host| *host != leader).collect(), leader)
}

/// Whether a member has logged a membership whose part `role` contains `host`.
fn has_logged(deployment: &LineProcesses, member: u8, role: &str, host: u8) -> bool {
    let name = format!("{}.", deployment.address(host, 0).ip());
    let lines = deployment.logged(member, MEMBERS_CHANGED);
    let part = |line: &String| line.split_once(role).is_some_and(|(_, part)| part.contains(&name));
    lines.iter().any(part)
}

/// Replaces an original member, and suspends the successor while it is a learner.
fn replace_with_suspension(deployment: &mut LineProcesses, former: u8, successor: u8) {
    deployment.remove(former).unwrap();
    deployment.spawn(successor, false).unwrap();
    deployment
        .eventually("the successor knows that it is a learner", |d| {
            has_logged(d, successor, "learners=", successor)
        })
        .unwrap();
    deployment.signal(successor, Signal::STOP).unwrap();
    thread::sleep(SUSPENSION_TIME);
    deployment.signal(successor, Signal::CONT).unwrap();
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
    let (followers, _) = roles(&deployment);
    replace_with_suspension(&mut deployment, followers[0], SUCCESSOR_HOSTS[0]);
    thread::sleep(CALM_TIME);
    check_loss(&mut deployment, followers[1], 2);
}
