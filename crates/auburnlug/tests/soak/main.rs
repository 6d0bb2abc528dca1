//! A randomized soak of real processes: links are held up, processes are killed, suspended and
//! restarted, control members lose their disks or are replaced, and servers fail, in series and
//! overlapping, and heartbeats arrive that no server has sent, while callers and an operator check
//! what they are promised. Half of the callers' sessions are used until their connection is gone. At
//! the end all processes are killed, and a control member loses its disk, sometimes shortly after
//! another one has lost its own.
//!
//! `SOAK_SEEDS=FIRST-LAST` and `SOAK_SECONDS` choose a longer run, and `SOAK_PROGRAM` another build;
//! see `scripts/soak`.

// The setting for tests in clippy.toml does not reach helper functions in test files.
#![allow(clippy::unwrap_used, clippy::panic)]

mod clients;
mod losses;
mod record;
mod trouble;

use std::{
    collections::BTreeMap,
    path::PathBuf,
    sync::{Arc, atomic::Ordering},
    thread::{self, JoinHandle},
    time::Duration,
};

use auburnlug_bench::{
    line_group::LineGroup,
    line_processes::{
        CALLER_PORT, ENTRY_HOST, LineProcesses, OPERATOR_PORT, SERVER_PORT, control_hosts,
    },
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{
    clients::{
        check_entry, check_member, run_caller, run_foreign_writer, run_heartbeats, run_operator,
    },
    record::Record,
    trouble::Disturber,
};

const ENTRIES: u8 = 2;
const SERVERS: [u8; 3] = [1, 2, 3];
const CALLERS_PER_ENTRY: u64 = 3;

/// Share of the runs whose final fault comes shortly after the loss of another disk.
const SECOND_LOSS_RATIO: f64 = 0.5;

/// Starts the clients, the operator and the heartbeats of a run.
fn start_clients(
    deployment: &LineProcesses,
    record: &Arc<Record>,
    seed: u64,
) -> Vec<JoinHandle<()>> {
    let group = deployment.group.clone();
    let members: Vec<_> =
        control_hosts().map(|host| deployment.address(host, OPERATOR_PORT)).collect();
    let mut tasks = Vec::new();
    let mut start = |task: Box<dyn FnOnce(&Record) + Send>| {
        let record = record.clone();
        tasks.push(thread::spawn(move || task(&record)));
    };
    for index in 0..ENTRIES {
        let entry = deployment.address(ENTRY_HOST + index, CALLER_PORT);
        for caller in 0..CALLERS_PER_ENTRY {
            let seed = seed * 100 + u64::from(index) * 10 + caller;
            start(Box::new(move |record| run_caller(record, entry, seed)));
        }
        start(Box::new(move |record| check_entry(record, entry)));
    }
    for member in members.clone() {
        start(Box::new(move |record| check_member(record, member)));
    }
    for server in SERVERS {
        let (group, address) = (group.clone(), deployment.address(20 + server, SERVER_PORT));
        let members = members.clone();
        start(Box::new(move |record| run_heartbeats(record, &group, server, address, &members)));
    }
    let servers: Vec<_> =
        SERVERS.iter().map(|n| (*n, deployment.address(20 + n, SERVER_PORT))).collect();
    let control = members.clone();
    start(Box::new(move |record| run_foreign_writer(record, &servers, &control, seed)));
    let template = deployment.config(1);
    start(Box::new(move |record| run_operator(record, &template, &members, seed)));
    tasks
}

/// Plays one seed and returns the promises that were broken.
fn run_seed(seed: u64, length: Duration) -> Vec<String> {
    let id = std::process::id();
    let folder = std::env::temp_dir().join(format!("auburnlug-soak-{id}-{seed}"));
    let net = [100 + (id % 100) as u8, 30 + (seed % 200) as u8];
    let program = std::env::var_os("SOAK_PROGRAM").map(PathBuf::from);
    let program = program.unwrap_or_else(|| env!("CARGO_BIN_EXE_auburnlug").into());
    let deployment = LineProcesses::start(&program, &folder, net, ENTRIES).unwrap();
    let record = Arc::new(Record::default());
    let group = deployment.group.clone();
    let tasks = start_clients(&deployment, &record, seed);
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut disturber = Disturber::new(deployment, record.clone());
    disturber.play(&mut rng, length);
    let version = match rng.random_bool(SECOND_LOSS_RATIO) {
        true => disturber.lose_two(&mut rng),
        false => disturber.end_all(&mut rng),
    };
    disturber.await_recovery(version);
    record.stop.store(true, Ordering::Release);
    tasks.into_iter().for_each(|task| task.join().unwrap());
    check_writes(&record, &group);
    let broken = record.seen().broken.clone();
    println!(
        "seed {seed}: served {} versions {} orders {} broken {}",
        record.served.load(Ordering::Acquire),
        record.seen().versions.len(),
        group.orders().len(),
        broken.len()
    );
    if !broken.is_empty() {
        broken.iter().for_each(|text| println!("broken: {text}"));
        println!("logs in {}", folder.display());
        disturber.deployment.keep_logs();
    }
    broken
}

/// Checks the committed writes and the orders of promotion.
fn check_writes(record: &Record, group: &LineGroup) {
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for (_, data) in group.committed_writes() {
        *counts.entry(data).or_default() += 1;
    }
    let seen = record.seen();
    let (acknowledged, promised) = (seen.acknowledged.clone(), seen.promised.clone());
    drop(seen);
    let lost: Vec<_> = acknowledged.iter().filter(|key| !counts.contains_key(*key)).collect();
    if !lost.is_empty() {
        record.report(format!("LOST {} writes, e.g. {:?}", lost.len(), lost[0]));
    }
    let kept: Vec<_> = promised.iter().filter(|key| counts.contains_key(*key)).collect();
    if !kept.is_empty() {
        record.report(format!("REFUSED {} writes were kept, e.g. {:?}", kept.len(), kept[0]));
    }
    let twice: Vec<_> = counts.iter().filter(|(key, n)| key.starts_with('w') && **n > 1).collect();
    if !twice.is_empty() {
        record.report(format!("TWICE {twice:?}"));
    }
    let unanswered = record.seen().unanswered.clone();
    for ran in group.executed_statements() {
        if unanswered.iter().any(|id| ran.id == *id || ran.id == format!("{id}-c")) {
            record.report(format!("LOST a request that ran has no answer: {ran:?}"));
        }
    }
    let orders = group.orders();
    let mut holders = BTreeMap::new();
    for order in &orders {
        if *holders.entry(order.token).or_insert(&order.holder) != &order.holder {
            record.report(format!("ONE two holders of a token: {orders:?}"));
        }
    }
    if !orders.is_sorted_by_key(|order| order.token) {
        record.report(format!("ONE a lower token after a higher one: {orders:?}"));
    }
}

#[test]
fn promises_hold_under_random_trouble() {
    let seeds = std::env::var("SOAK_SEEDS").unwrap_or_else(|_| "1-2".into());
    let (first, last) = seeds.split_once('-').unwrap_or((&seeds, &seeds));
    let seconds = std::env::var("SOAK_SECONDS").ok().and_then(|text| text.parse().ok());
    let length = Duration::from_secs(seconds.unwrap_or(20));
    let seeds = first.parse::<u64>().unwrap()..=last.parse().unwrap();
    let broken: Vec<_> =
        seeds.map(|seed| (seed, run_seed(seed, length))).filter(|(_, b)| !b.is_empty()).collect();
    assert!(broken.is_empty(), "{broken:#?}");
}
