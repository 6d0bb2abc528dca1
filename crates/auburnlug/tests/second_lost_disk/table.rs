//! A table of plays, by hand: how often each kind recovers.
//!
//! `LOSS_PROGRAM` is another build of the program. `LOSS_KINDS` are the kinds, separated by commas,
//! each as the table prints it, with `*` for any part; `LOSS_GAPS` are the gaps in seconds,
//! `LOSS_PLAYS` the plays of a cell, and `LOSS_PARALLEL` those that run at once. Logs of plays that
//! did not come to the end, or read what is wrong, are kept; with `LOSS_LOGS=all`, all logs.

use std::{
    collections::BTreeMap,
    env, io,
    path::PathBuf,
    sync::{
        Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use auburnlug_bench::line_processes::{LineProcesses, Size};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::play::{Absence, Loss, Outcome, Play};

const ABSENCES: [(&str, Absence); 6] = [
    ("suspended", Absence::Suspended),
    ("cut", Absence::Cut),
    ("cut_from_members", Absence::CutFromMembers),
    ("cut_from_leader", Absence::CutFromLeader),
    ("deaf", Absence::Deaf),
    ("mute", Absence::Mute),
];

const DEFAULT_GAPS: &str = "0,0.15,0.3,0.6,1.5";

const DEFAULT_PLAYS: usize = 16;

/// More are short of processor time.
const DEFAULT_PARALLEL: usize = 4;

/// A kind of plays with one gap.
#[derive(Debug, Clone)]
struct Cell {
    /// Voters, `told` or `untold`, the absence, and the member that loses its disk first.
    kind: String,
    gap: f64,
    play: Play,
}

/// All kinds, with their names.
fn kinds() -> Vec<(String, Play)> {
    let mut kinds = Vec::new();
    for losses in [1, 2] {
        for (told_name, told) in [("told", true), ("untold", false)] {
            for (absence_name, absence) in ABSENCES {
                for (loss_name, loss) in [("follower", Loss::Follower), ("leader", Loss::Leader)] {
                    let voters = 2 * losses + 1;
                    let name = format!("{voters}/{told_name}/{absence_name}/{loss_name}");
                    let play = Play { losses, loss, told, absence, ..crate::TOLD };
                    kinds.push((name, play));
                }
            }
        }
    }
    kinds
}

fn matches(pattern: &str, kind: &str) -> bool {
    pattern.split('/').zip(kind.split('/')).all(|(pattern, part)| ["*", part].contains(&pattern))
}

fn number(variable: &str, default: usize) -> usize {
    env::var(variable).map_or(default, |text| text.parse().unwrap())
}

/// Cells that the environment asks for, in its order.
fn chosen_cells() -> Vec<Cell> {
    let patterns = env::var("LOSS_KINDS").unwrap_or_else(|_| "*/*/*/*".into());
    let gaps = env::var("LOSS_GAPS").unwrap_or_else(|_| DEFAULT_GAPS.into());
    let mut cells = Vec::new();
    for pattern in patterns.split(',') {
        let chosen: Vec<_> =
            kinds().into_iter().filter(|(kind, _)| matches(pattern, kind)).collect();
        assert!(!chosen.is_empty(), "no kind is {pattern}");
        for (kind, play) in chosen {
            for gap in gaps.split(',').map(|gap| gap.parse().unwrap()) {
                cells.push(Cell { kind: kind.clone(), gap, play });
            }
        }
    }
    cells
}

/// Plays a cell once; `number` differs between all plays of a process.
fn play_once(cell: &Cell, number: usize) -> io::Result<Outcome> {
    let mut rng = ChaCha8Rng::seed_from_u64(number as u64);
    let play = Play {
        absence_time: Duration::from_millis(rng.random_range(5_000..7_000)),
        restart_time: Duration::from_millis(rng.random_range(1_000..1_500)),
        gap: Duration::from_secs_f64(cell.gap),
        ..cell.play
    };
    let id = std::process::id();
    let net = [200 + (id % 50) as u8, (number % 250) as u8];
    let folder = env::temp_dir().join(format!("auburnlug-loss-table-{id}-{number}"));
    let program = env::var_os("LOSS_PROGRAM").map(PathBuf::from);
    let program = program.unwrap_or_else(|| env!("CARGO_BIN_EXE_auburnlug").into());
    let size = Size { members: play.members(), losses: play.losses, entries: 1 };
    let mut deployment = LineProcesses::start_sized(&program, &folder, net, size)?;
    let outcome = play.run(&mut deployment);
    let is_usual = matches!(outcome, Ok(Outcome::Served | Outcome::NotRead | Outcome::NotServed));
    if !is_usual || env::var("LOSS_LOGS").is_ok_and(|logs| logs == "all") {
        println!("logs of {} {}, {outcome:?}: {}", cell.kind, cell.gap, folder.display());
        deployment.keep_logs();
    }
    outcome
}

/// Prints how often a cell recovered, and how else it ended.
fn print(cell: &Cell, results: &[String]) {
    let served = format!("{:?}", Outcome::Served);
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for result in results.iter().filter(|result| **result != served) {
        *counts.entry(result).or_default() += 1;
    }
    let ok = results.len() - counts.values().sum::<usize>();
    let others: String =
        counts.iter().map(|(result, count)| format!(" {result}={count}")).collect();
    println!("{} {} {ok}/{}{others}", cell.kind, cell.gap, results.len());
}

/// Figures about the present code and others, not a check.
#[test]
#[ignore = "run by hand: plays a table for minutes to hours"]
fn table_of_second_losses() {
    let cells = chosen_cells();
    let plays = number("LOSS_PLAYS", DEFAULT_PLAYS);
    let next = AtomicUsize::new(0);
    let results = Mutex::new(vec![Vec::new(); cells.len()]);
    thread::scope(|scope| {
        for _ in 0..number("LOSS_PARALLEL", DEFAULT_PARALLEL) {
            scope.spawn(|| {
                loop {
                    let number = next.fetch_add(1, Ordering::AcqRel);
                    let Some(cell) = cells.get(number / plays) else { return };
                    let result = match play_once(cell, number) {
                        Ok(outcome) => format!("{outcome:?}"),
                        Err(error) => {
                            println!("{} {} not played: {error}", cell.kind, cell.gap);
                            "NotPlayed".into()
                        }
                    };
                    let mut results = results.lock().unwrap();
                    let of_cell: &mut Vec<String> = &mut results[number / plays];
                    of_cell.push(result);
                    if of_cell.len() == plays {
                        print(cell, of_cell);
                    }
                }
            });
        }
    });
}
