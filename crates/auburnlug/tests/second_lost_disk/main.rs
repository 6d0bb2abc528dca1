//! Loss of a second disk before the first one has healed: real processes.

// The setting for tests in clippy.toml does not reach helper functions in test files.
#![allow(clippy::unwrap_used, clippy::panic)]

mod play;
mod table;

use std::{path::Path, time::Duration};

use auburnlug_bench::line_processes::{LineProcesses, Size};

use crate::play::{Absence, Loss, Outcome, Play};

/// The group has proof that the first disk is lost, but not the time to replace it.
const TOLD: Play = Play {
    losses: 1,
    loss: Loss::Follower,
    told: true,
    absence: Absence::Suspended,
    absence_time: Duration::from_secs(6),
    gap: Duration::ZERO,
    restart_time: Duration::from_millis(1_200),
};

fn check(test: u8, play: Play) {
    let id = std::process::id();
    let net = [100 + (id % 100) as u8, 250 + test];
    let folder = std::env::temp_dir().join(format!("auburnlug-second-loss-{id}-{test}"));
    let program = Path::new(env!("CARGO_BIN_EXE_auburnlug"));
    let size = Size { members: play.members(), losses: play.losses, entries: 1 };
    let mut deployment = LineProcesses::start_sized(program, &folder, net, size).unwrap();
    let outcome = play.run(&mut deployment).unwrap();
    assert_eq!(outcome, Outcome::Served, "logs in {}", folder.display());
}

/// A member that had lost its disk kept its vote while its process was suspended: the group had lost
/// its quorum with the loss of one more disk.
#[test]
#[ignore = "known to fail: see KNOWN-RED.txt"]
fn a_second_disk_may_be_lost_while_the_first_heals() {
    check(1, TOLD);
}

/// As above, with the disk of the leader as the first one: the next leader has the proof.
#[test]
#[ignore = "known to fail: see KNOWN-RED.txt"]
fn a_second_disk_may_be_lost_after_that_of_the_leader() {
    check(2, Play { loss: Loss::Leader, ..TOLD });
}

/// A member that had lost its disk kept its vote while the leader could not reach it.
#[test]
#[ignore = "known to fail: see KNOWN-RED.txt"]
fn a_second_disk_may_be_lost_while_the_leader_cannot_reach_the_first() {
    check(3, Play { absence: Absence::CutFromLeader, ..TOLD });
}
