//! A second lost disk before the first one has healed, on control members of the PostgreSQL side as
//! real processes.
//!
//! `plays` prints a table, by hand only:
//!
//!     LOSS_KINDS=3/told/suspended/follower LOSS_GAPS=0,0.3 LOSS_PLAYS=16 \
//!         cargo test -p auburnlug --test second_lost_disk_sql plays -- --ignored --nocapture
//!
//! `LOSS_PROGRAM` names another build, `LOSS_AT_ONCE` the number of groups at a time, `LOSS_SEED`
//! the seed, and `LOSS_KEEP=yes` keeps the logs of broken plays.

// The setting for tests in clippy.toml does not reach helper functions in test files.
#![allow(clippy::unwrap_used, clippy::panic)]

mod play;

use std::{
    env,
    path::PathBuf,
    str::FromStr,
    sync::{
        Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use play::{Build, Kind, Outcome, play};

/// Plays of a cell, over the wanted ones, that may be void.
const MAX_VOID_PLAYS: u64 = 16;

fn program() -> PathBuf {
    let program = env::var_os("LOSS_PROGRAM").map(PathBuf::from);
    program.unwrap_or_else(|| env!("CARGO_BIN_EXE_auburnlug").into())
}

fn check(kind: &str) {
    let kind = Kind::from_str(kind).unwrap();
    let build = Build { program: program(), keeps_logs: true };
    let outcome = play(&build, kind, Duration::ZERO, 1);
    assert_eq!(outcome, Outcome::Held);
}

/// A disk lost just after another member, which had lost its disk before, woke: the group had lost
/// its quorum, as the former identity of that member was still a voter.
#[test]
fn a_disk_lost_after_a_follower_returned_empty() {
    check("3/told/suspended/follower");
}

/// The same after the leader had lost its disk first.
#[test]
fn a_disk_lost_after_a_leader_returned_empty() {
    check("3/told/suspended/leader");
}

fn setting<T: FromStr>(name: &str, default: T) -> T {
    let parse = |text: String| text.parse().unwrap_or_else(|_| panic!("{name}: {text:?}"));
    env::var(name).map_or(default, parse)
}

fn list<T: FromStr>(name: &str, default: &str) -> Vec<T> {
    let text = env::var(name).unwrap_or_else(|_| default.into());
    let parse = |part: &str| part.parse().unwrap_or_else(|_| panic!("{name}: {part:?}"));
    text.split(',').map(parse).collect()
}

/// Counts of the plays of a cell.
#[derive(Default)]
struct Counts {
    held: u64,
    broken: u64,
    void: u64,
}

/// Plays a cell of the table: one kind and gap.
fn play_cell(kind: Kind, gap: f64, wanted: u64) -> Counts {
    let counts = Mutex::new(Counts::default());
    let next = AtomicU64::new(0);
    let seed: u64 = setting("LOSS_SEED", 1);
    let work = || {
        let keeps_logs = env::var("LOSS_KEEP").is_ok_and(|text| text == "yes");
        let build = Build { program: program(), keeps_logs };
        loop {
            let number = next.fetch_add(1, Ordering::Relaxed);
            let void = counts.lock().unwrap().void;
            if number >= wanted + void || void > MAX_VOID_PLAYS {
                return;
            }
            let seed = seed * 1_000 + number;
            let outcome = play(&build, kind, Duration::from_secs_f64(gap), seed);
            let mut counts = counts.lock().unwrap();
            match outcome {
                Outcome::Held => counts.held += 1,
                Outcome::Broken(_) => counts.broken += 1,
                Outcome::Void(_) => counts.void += 1,
            }
            if outcome != Outcome::Held {
                eprintln!("{kind} {gap} seed {seed}: {outcome:?}");
            }
        }
    };
    let at_once = setting("LOSS_AT_ONCE", 4_u8);
    thread::scope(|scope| (0..at_once).for_each(|_| drop(scope.spawn(work))));
    counts.into_inner().unwrap()
}

/// Prints one line for each kind and gap: how many of the plays held.
#[test]
#[ignore = "a table, by hand only"]
fn plays() {
    let kinds: Vec<Kind> = list("LOSS_KINDS", "3/told/suspended/follower");
    let gaps: Vec<f64> = list("LOSS_GAPS", "0");
    for kind in kinds {
        for gap in &gaps {
            let Counts { held, broken, void } = play_cell(kind, *gap, setting("LOSS_PLAYS", 16));
            let note = if void > 0 { format!(" (void {void})") } else { String::new() };
            println!("{kind} {gap} {held}/{}{note}", held + broken);
        }
    }
}
