//! One play: a control member loses its disk and is absent as it joins again; then a change is
//! acknowledged, the member that acknowledged it loses its disk, and all processes are killed.

use std::{
    io, thread,
    time::{Duration, Instant},
};

use auburnlug_bench::line_processes::LineProcesses;
use rustix::process::Signal;

/// Time within which the deployment serves once all processes are back.
const RECOVERY_TIME: Duration = Duration::from_secs(12);

const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Log event of the first start of the group.
const GROUP_FORMED: &str = "AL0202";

/// Log event of a request to join, at the leader.
const JOIN_RECEIVED: &str = "AL0209";

/// Version of the configuration at the end.
const VERSION: u64 = 2;

/// Member that loses its disk first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Loss {
    Leader,
    Follower,
}

/// What keeps the member that returns without its disk from the others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Absence {
    Suspended,
    /// Cut off from all.
    Cut,
    /// Cut off from the other members, but not from the entries.
    CutFromMembers,
    /// Cut off from the leader only.
    CutFromLeader,
    /// Hears nobody, but is heard.
    Deaf,
    /// Is heard by nobody, but hears.
    Mute,
}

impl Absence {
    fn begin(self, deployment: &LineProcesses, host: u8, leader: u8) -> io::Result<()> {
        match self {
            Absence::Suspended => deployment.signal(host, Signal::STOP)?,
            Absence::Cut => deployment.isolate(host),
            Absence::CutFromMembers => deployment.isolate_from_members(host),
            Absence::CutFromLeader => deployment.separate(host, leader),
            Absence::Deaf => deployment.hold_inbound(host),
            Absence::Mute => deployment.hold_outbound(host),
        }
        Ok(())
    }

    fn end(self, deployment: &LineProcesses, host: u8) -> io::Result<()> {
        if self == Absence::Suspended {
            return deployment.signal(host, Signal::CONT);
        }
        deployment.rejoin();
        Ok(())
    }
}

/// What is played.
#[derive(Debug, Clone, Copy)]
pub struct Play {
    /// Disks that may be lost at once, and are lost at the end.
    pub losses: u8,
    pub loss: Loss,
    /// Whether the leader knows that the disk is lost before the absence begins.
    pub told: bool,
    pub absence: Absence,
    pub absence_time: Duration,
    /// Time between the end of the absence and the change.
    pub gap: Duration,
    /// Time for which no process runs.
    pub restart_time: Duration,
}

/// How a play ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The change is read, and a write served.
    Served,
    /// The change is not read in time.
    NotRead,
    /// The change is read, but no write is served in time.
    NotServed,
    /// An older version is read.
    Stale,
    /// A second group was founded.
    FoundedAgain,
}

impl Play {
    /// Control members of the deployment that it needs.
    pub fn members(self) -> u8 {
        2 * self.losses + 1
    }

    /// Plays it on a deployment that serves.
    ///
    /// # Errors
    ///
    /// It did not come to the end: the group had no leader in time, or did not accept the change.
    pub fn run(self, deployment: &mut LineProcesses) -> io::Result<Outcome> {
        deployment.eventually("the foundation is logged", |d| count_founded(d) == 1)?;
        let first = self.lose_first(deployment)?;
        thread::sleep(self.absence_time);
        self.absence.end(deployment, first)?;
        thread::sleep(self.gap);
        let leader = deployment.publish(&deployment.config(VERSION))?;
        let hosts = deployment.kill_all()?;
        deployment.lose_disk(leader)?;
        let others = others(deployment, &[first, leader]);
        for host in others.into_iter().take(usize::from(self.losses) - 1) {
            deployment.lose_disk(host)?;
        }
        thread::sleep(self.restart_time);
        for host in hosts {
            deployment.spawn(host, false)?;
        }
        let outcome = observe_recovery(deployment);
        if count_founded(deployment) > 1 {
            return Ok(Outcome::FoundedAgain);
        }
        Ok(outcome)
    }

    /// A member loses its disk, starts again, and is absent; returns its host.
    fn lose_first(self, deployment: &mut LineProcesses) -> io::Result<u8> {
        let former = find(deployment, "a member leads", LineProcesses::leader)?;
        let host = match self.loss {
            Loss::Leader => former,
            Loss::Follower => others(deployment, &[former])[0],
        };
        deployment.lose_disk(host)?;
        if self.told {
            // On an idle machine, it would be a voter again within 20 ms.
            deployment.hold_updates(host);
            deployment.spawn(host, false)?;
            let leader = find(deployment, "the member asks to join", |d| told_member(d, host))?;
            self.absence.begin(deployment, host, leader)?;
            if self.absence != Absence::Deaf {
                deployment.pass_updates(host);
            }
        } else if self.absence == Absence::Suspended {
            deployment.spawn(host, false)?;
            self.absence.begin(deployment, host, former)?;
        } else {
            let leader = find(deployment, "a member leads", LineProcesses::leader)?;
            self.absence.begin(deployment, host, leader)?;
            deployment.spawn(host, false)?;
        }
        Ok(host)
    }
}

/// Waits for an answer of `check`.
fn find(
    deployment: &LineProcesses,
    what: &str,
    check: impl Fn(&LineProcesses) -> Option<u8>,
) -> io::Result<u8> {
    deployment.eventually(what, |d| check(d).is_some())?;
    check(deployment).ok_or_else(|| io::Error::other(format!("no longer: {what}")))
}

/// Members other than `excluded`, in order.
fn others(deployment: &LineProcesses, excluded: &[u8]) -> Vec<u8> {
    let members = deployment.seeds().iter().copied();
    members.filter(|host| !excluded.contains(host)).collect()
}

/// Member that has logged that `host` asks to join under a new identity.
fn told_member(deployment: &LineProcesses, host: u8) -> Option<u8> {
    let instance = format!("instance={} ", deployment.address(host, 0).ip());
    let has_logged = |member: &u8| {
        deployment.logged(*member, JOIN_RECEIVED).iter().any(|line| line.contains(&instance))
    };
    others(deployment, &[host]).into_iter().find(has_logged)
}

/// Number of times that a group was founded.
fn count_founded(deployment: &LineProcesses) -> usize {
    deployment.seeds().iter().map(|host| deployment.logged(*host, GROUP_FORMED).len()).sum()
}

fn observe_recovery(deployment: &LineProcesses) -> Outcome {
    let started = Instant::now();
    let mut outcome = Outcome::NotRead;
    while started.elapsed() < RECOVERY_TIME {
        match deployment.config_version() {
            Some(version) if version < VERSION => return Outcome::Stale,
            Some(_) => outcome = Outcome::NotServed,
            None => {}
        }
        if outcome == Outcome::NotServed && deployment.try_write(0, "later") {
            return Outcome::Served;
        }
        thread::sleep(POLL_INTERVAL);
    }
    outcome
}
