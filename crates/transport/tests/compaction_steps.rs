//! Tests of how a control member spreads a compaction over its steps.

// The exemption for tests in clippy.toml does not cover helper functions in test files.
#![allow(clippy::unwrap_used)]

use std::{
    collections::BTreeSet,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
};

use auburnlug_coordination::raft::{Payload, Ready, Snapshot, Timing};
use auburnlug_state::{
    Command, Machine, Name,
    fleet::{FleetChange, FleetConfig},
    limits,
};
use auburnlug_transport::{
    control_member::{GroupOptions, Member},
    disk::{Disk, Error, Loaded},
    disk_memory::MemoryDisk,
};

type Result<T> = std::result::Result<T, Error>;

/// Parts of a compaction that take one sync each.
const PARTS: usize = 5;

/// Counts of what a disk was asked to do.
#[derive(Debug, Default)]
struct Counts {
    stores: AtomicUsize,
    parts: AtomicUsize,
    snapshots: AtomicUsize,
    full: AtomicBool,
}

impl Counts {
    /// Stores and parts of compactions since the last call.
    fn take(&self) -> (usize, usize) {
        (self.stores.swap(0, Ordering::Relaxed), self.parts.swap(0, Ordering::Relaxed))
    }
}

/// Disk that counts; its compactions take [`PARTS`].
struct CountingDisk {
    disk: MemoryDisk,
    counts: Arc<Counts>,
    /// Snapshot that is being written, and the parts that are left.
    pending: Option<(Snapshot, usize)>,
}

impl Disk for CountingDisk {
    fn load(&mut self) -> Result<Loaded> {
        self.disk.load()
    }

    fn store(&mut self, ready: &Ready) -> Result<()> {
        self.counts.stores.fetch_add(1, Ordering::Relaxed);
        self.disk.store(ready)
    }

    fn sync(&mut self) -> Result<()> {
        self.disk.sync()
    }

    fn begin_compaction(&mut self, snapshot: &Snapshot) -> Result<bool> {
        let has_space = !self.counts.full.load(Ordering::Relaxed);
        if has_space {
            self.counts.parts.fetch_add(1, Ordering::Relaxed);
            self.pending = Some((snapshot.clone(), PARTS - 1));
        }
        Ok(has_space)
    }

    fn continue_compaction(&mut self) -> Result<bool> {
        self.counts.parts.fetch_add(1, Ordering::Relaxed);
        let Some((snapshot, left)) = self.pending.take() else { return Ok(true) };
        if left > 1 {
            self.pending = Some((snapshot, left - 1));
            return Ok(false);
        }
        self.counts.snapshots.fetch_add(1, Ordering::Relaxed);
        self.disk.compact(&snapshot)?;
        Ok(true)
    }

    fn compact(&mut self, snapshot: &Snapshot) -> Result<()> {
        self.disk.compact(snapshot)
    }

    fn log_bytes(&self) -> u64 {
        self.disk.log_bytes()
    }
}

/// Member of a group of its own, on a disk that counts.
struct Process {
    member: Member,
    machine: Machine,
    disk: MemoryDisk,
    counts: Arc<Counts>,
    now: u64,
}

impl Process {
    fn open() -> Process {
        spdlog::default_logger().set_level_filter(spdlog::LevelFilter::Off);
        let counts = Arc::new(Counts::default());
        let disk = MemoryDisk::new(Name::try_from("first").unwrap());
        let counting = CountingDisk { disk: disk.clone(), counts: counts.clone(), pending: None };
        let name = Name::try_from("a").unwrap();
        let configured = BTreeSet::from([name.clone()]);
        let options = GroupOptions { configured, may_bootstrap: true, disk_losses: 0 };
        let timing = Timing::default();
        let (member, machine) =
            Member::open(name, options, Box::new(counting), timing, 1, 1).unwrap();
        let mut process = Process { member, machine, disk, counts, now: 1 };
        while !process.member.leads(process.now) {
            process.step();
        }
        process.counts.take();
        process
    }

    fn step(&mut self) {
        self.now += 10;
        let work = self.member.step(self.now).unwrap();
        for entry in work.committed {
            match &entry.payload {
                Payload::Command(command) => drop(self.machine.apply(entry.index, command)),
                _ => self.machine.index = entry.index,
            }
        }
        self.member.compact(&self.machine).unwrap();
    }

    fn log_bytes(&self) -> u64 {
        self.disk.log_bytes()
    }

    fn publish(&mut self, version: u64) {
        let plan = Arc::new(FleetConfig { version, ..FleetConfig::default() });
        let document = "d".repeat(1_000_000).into();
        let command = Command::Fleet(FleetChange::Deploy { plan, document });
        self.member.propose(command, self.now).unwrap();
        self.step();
    }
}

#[test]
fn a_compaction_takes_one_sync_of_a_step() {
    // Guards against a leader on a slow disk that loses its lease with each snapshot, as the syncs of
    // a whole compaction follow each other in one step.
    let mut process = Process::open();
    let mut version = 0;
    while process.counts.snapshots.load(Ordering::Relaxed) < 5 {
        version += 1;
        process.publish(version);
        assert_eq!(process.counts.take(), (1, 0), "the change waits for a compaction");
        process.step();
        let (stores, parts) = process.counts.take();
        assert!(stores + parts <= 1, "{stores} stores and {parts} parts in a step");
    }
}

#[test]
fn a_compaction_goes_on_while_every_step_stores_something() {
    // Guards against a log that grows without bound while changes follow each other closely.
    let mut process = Process::open();
    let mut largest = 0;
    for version in 1..=200 {
        process.publish(version);
        largest = largest.max(process.log_bytes());
    }
    let most = 3 * limits::MIN_LOG_BYTES;
    assert!(largest <= most as u64, "{largest} bytes");
}

#[test]
fn a_full_disk_postpones_the_snapshot_only() {
    // Guards against a member that ends, or stops serving, because a snapshot does not fit.
    let mut process = Process::open();
    process.counts.full.store(true, Ordering::Relaxed);
    (1..=40).for_each(|version| process.publish(version));
    assert_eq!(process.machine.fleet.plan.version, 40);
    assert_eq!(process.counts.snapshots.load(Ordering::Relaxed), 0);
    process.counts.full.store(false, Ordering::Relaxed);
    for version in 41..=42 {
        process.publish(version);
        (0..20).for_each(|_| process.step());
    }
    assert!(process.counts.snapshots.load(Ordering::Relaxed) > 0);
}
