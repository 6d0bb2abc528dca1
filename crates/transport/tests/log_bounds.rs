//! Tests of the bytes that a control member stores, with real files and configurations that take
//! hundreds of kilobytes each.

// The exemption for tests in clippy.toml does not cover helper functions in test files.
#![allow(clippy::unwrap_used)]

use std::{
    collections::BTreeSet,
    fs,
    path::{Path, PathBuf},
    sync::Arc,
};

use auburnlug_coordination::raft::{
    Entry, Members, Message, Payload, Ready, Snapshot, Timing, Vote,
};
use auburnlug_protocol::{encode, peer::ControlMessage};
use auburnlug_state::{
    Command, Machine, Name,
    byte_size::ByteSize,
    fleet::{FleetChange, FleetConfig},
    limits,
};
use auburnlug_transport::{
    control_member::{GroupOptions, Member},
    disk::{Disk, FileDisk},
};

/// Document of a configuration of some thousand databases.
const DOCUMENT_BYTES: usize = 600_000;

/// Segments are removed whole.
const SEGMENT_BYTES: u64 = 4 << 20;

fn name(text: &str) -> Name {
    Name::try_from(text).unwrap()
}

fn names<const N: usize>(list: [&str; N]) -> BTreeSet<Name> {
    list.map(name).into()
}

/// An empty folder for one test.
fn folder(test: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("log-bounds-{test}"));
    let _ = fs::remove_dir_all(&path);
    path
}

fn folder_bytes(folder: &Path) -> u64 {
    fs::read_dir(folder).unwrap().map(|item| item.unwrap().metadata().unwrap().len()).sum()
}

fn deploy(version: u64) -> Command {
    let plan = Arc::new(FleetConfig { version, ..FleetConfig::default() });
    let document = "d".repeat(DOCUMENT_BYTES).into();
    Command::Fleet(FleetChange::Deploy { plan, document })
}

/// Most bytes that a folder may take: the log up to its limit and the entry that exceeds it, the
/// snapshot and its successor, and the segments that are only partly covered.
fn most_bytes() -> u64 {
    let log = limits::log_limit(DOCUMENT_BYTES) as u64;
    log + 3 * (DOCUMENT_BYTES as u64 + 1_000) + 2 * SEGMENT_BYTES
}

/// A control member with its replicated state.
struct Process {
    folder: PathBuf,
    member: Member,
    machine: Machine,
    now: u64,
}

impl Process {
    fn open(folder: &Path, configured: BTreeSet<Name>) -> Process {
        spdlog::default_logger().set_level_filter(spdlog::LevelFilter::Off);
        let disk = Box::new(FileDisk::open(folder).unwrap());
        let options = GroupOptions { configured, may_bootstrap: true, disk_losses: 0 };
        let timing = Timing::default();
        let (member, machine) = Member::open(name("a"), options, disk, timing, 1, 1).unwrap();
        Process { folder: folder.into(), member, machine, now: 1 }
    }

    /// Member of a group of its own.
    fn open_alone(folder: &Path) -> Process {
        let mut process = Process::open(folder, names(["a"]));
        while !process.member.leads(process.now) {
            process.now += 10;
            process.step();
        }
        process
    }

    /// Follower in a group of three with an empty log.
    fn open_follower(folder: &Path) -> Process {
        let mut disk = FileDisk::open(folder).unwrap();
        let identity = format!("a.{}", disk.load().unwrap().identity);
        let members = Members::new(names([&identity, "b.1", "c.1"]), BTreeSet::new());
        let data = encode(&Machine::default()).unwrap();
        let snapshot = Some(Snapshot { index: 0, term: 0, members, data });
        let vote = Some(Vote { term: 1, candidate: None });
        disk.store(&Ready { vote, snapshot, ..Ready::default() }).unwrap();
        disk.sync().unwrap();
        drop(disk);
        Process::open(folder, names(["a", "b", "c"]))
    }

    fn step(&mut self) {
        self.apply_steps(|_, _| {});
    }

    /// Takes steps until all is applied; calls `applied` after each of them.
    fn apply_steps(&mut self, mut applied: impl FnMut(&mut Member, &Machine)) {
        let mut more = true;
        while more {
            let work = self.member.step(self.now).unwrap();
            more = work.more;
            if let Some(machine) = work.machine {
                self.machine = machine;
            }
            for entry in work.committed {
                match &entry.payload {
                    Payload::Command(command) => drop(self.machine.apply(entry.index, command)),
                    _ => self.machine.index = entry.index,
                }
            }
            applied(&mut self.member, &self.machine);
        }
    }

    /// Takes a snapshot if it is due; one that has begun is completed within the time of an election.
    fn compact(&mut self) {
        self.member.compact(&self.machine).unwrap();
        for _ in 0..40 {
            self.now += 1;
            self.step();
        }
    }

    fn publish(&mut self, version: u64) {
        self.now += 10;
        self.member.propose(deploy(version), self.now).expect("this member leads");
        self.step();
        assert_eq!(self.machine.fleet.plan.version, version);
    }

    /// Receives a message of the leader `b`.
    fn receive(&mut self, message: Message) {
        self.now += 10;
        let (from, to) = (name("b.1"), self.identity());
        let message = ControlMessage::Raft { from, to, message };
        self.member.receive(&name("b"), message, self.now).unwrap();
        self.step();
    }

    fn identity(&mut self) -> Name {
        let question = ControlMessage::Identify { nonce: 1 };
        let answer = self.member.receive(&name("b"), question, self.now).unwrap();
        let Some(ControlMessage::Identified { identity, .. }) = answer else {
            unreachable!("a member answers with its identity")
        };
        identity
    }

    fn bytes(&self) -> u64 {
        folder_bytes(&self.folder)
    }
}

fn append(term: u64, index: u64, last: u64, entries: Vec<Entry>, commit: u64) -> Message {
    Message::Append { term, index, last, entries, commit, sent: 0 }
}

fn entry(index: u64, term: u64) -> Entry {
    Entry { index, term, payload: Payload::Command(deploy(index)) }
}

#[test]
fn large_changes_keep_the_folder_within_its_bound() {
    // Guards against a log that is compacted by the number of entries only, which fills the disk and
    // the memory of all members after some hundred changes of a large configuration.
    let folder = folder("changes");
    let mut process = Process::open_alone(&folder);
    for version in 1..=60 {
        process.publish(version);
        process.compact();
        let bytes = process.bytes();
        assert!(bytes <= most_bytes(), "{bytes} bytes after {version} changes");
    }
    drop(process);
    let process = Process::open_alone(&folder);
    assert_eq!(process.machine.fleet.plan.version, 60);
}

#[test]
fn small_changes_do_not_cause_snapshots() {
    // Guards against a bound so low that the control thread takes snapshots all the time.
    let mut process = Process::open_alone(&folder("small"));
    for n in 0..1_000 {
        let now = process.now;
        process.member.propose(Command::Forget(name(&format!("s{n}"))), now).unwrap();
        process.step();
        process.compact();
    }
    let loaded = reload(process);
    assert_eq!(loaded.saved.snapshot.unwrap().index, 0);
}

#[test]
fn log_of_an_earlier_version_shrinks_after_the_start() {
    // Guards against a large log that counts as empty after a start.
    let folder = folder("start");
    let mut process = Process::open_alone(&folder);
    (1..=40).for_each(|version| process.publish(version));
    assert!(process.bytes() > 40 * DOCUMENT_BYTES as u64);
    drop(process);
    let mut process = Process::open_alone(&folder);
    process.compact();
    assert!(process.bytes() <= most_bytes(), "{} bytes", process.bytes());
    assert_eq!(process.machine.fleet.plan.version, 40);
}

#[test]
fn a_log_that_is_applied_in_batches_shrinks_as_a_whole() {
    // Guards against a snapshot of the first batch after a start, which frees one segment of a large
    // log and makes the rest of it count as if it could not be freed.
    let folder = folder("batch");
    let mut process = Process::open_alone(&folder);
    (1..=60).for_each(|version| process.publish(version));
    drop(process);
    let mut process = Process::open(&folder, names(["a"]));
    for _ in 0..200 {
        process.now += 10;
        process.apply_steps(|member, machine| member.compact(machine).unwrap());
    }
    assert!(process.bytes() <= most_bytes(), "{} bytes", process.bytes());
    assert_eq!(process.machine.fleet.plan.version, 60);
}

#[test]
fn overwritten_entries_count_until_they_are_removed() {
    // Guards against a disk that fills with entries that changing leaders overwrite.
    let mut process = Process::open_follower(&folder("overwritten"));
    process.receive(append(1, 0, 0, vec![entry(1, 1)], 1));
    for term in 2..=30 {
        process.receive(append(term, 1, 1, vec![entry(2, term)], 1));
    }
    assert!(process.bytes() > 30 * DOCUMENT_BYTES as u64);
    process.compact();
    assert!(process.bytes() <= most_bytes(), "{} bytes", process.bytes());
    process.receive(append(31, 2, 30, vec![], 2));
    assert_eq!(process.machine.fleet.plan.version, 2);
}

#[test]
fn a_step_returns_committed_entries_in_batches() {
    // Guards against a start that copies the whole log of an earlier version at once.
    let folder = folder("batches");
    let mut process = Process::open_alone(&folder);
    (1..=40).for_each(|version| process.publish(version));
    drop(process);
    let mut process = Process::open(&folder, names(["a"]));
    let (mut batches, mut indexes) = (Vec::new(), Vec::new());
    while indexes.len() < 42 {
        process.now += 10;
        let work = process.member.step(process.now).unwrap();
        assert!(!work.more || !process.member.leads(process.now), "leads with an outdated state");
        indexes.extend(work.committed.iter().map(|entry| entry.index));
        if !work.committed.is_empty() {
            let bytes: usize = work.committed.iter().map(ByteSize::byte_size).sum();
            batches.push((bytes, work.more));
        }
    }
    let most = limits::APPLY_BATCH_BYTES;
    assert!(batches.iter().all(|(bytes, _)| *bytes <= most), "{batches:?}");
    assert!(batches.iter().rev().skip(1).all(|(_, more)| *more), "{batches:?}");
    assert_eq!(indexes, (1..=42).collect::<Vec<u64>>());
}

#[test]
fn log_after_an_installed_snapshot_is_counted_anew() {
    // Guards against a member that takes a snapshot for each change after it received one.
    let mut process = Process::open_follower(&folder("installed"));
    for index in 1..=10 {
        process.receive(append(1, index - 1, (index > 1).into(), vec![entry(index, 1)], index));
    }
    let mut machine = process.machine.clone();
    machine.apply(100, &deploy(100));
    let members = Members::new(names(["b.1", "c.1"]), BTreeSet::new());
    let data = encode(&machine).unwrap();
    let snapshot = Snapshot { index: 100, term: 1, members, data };
    process.receive(Message::Install { term: 1, snapshot, sent: 0 });
    for index in 101..=105 {
        process.receive(append(1, index - 1, 1, vec![entry(index, 1)], index));
        process.compact();
    }
    assert_eq!(process.machine.fleet.plan.version, 105);
    let loaded = reload(process);
    assert_eq!(loaded.saved.snapshot.unwrap().index, 100);
}

fn reload(process: Process) -> auburnlug_transport::disk::Loaded {
    let folder = process.folder.clone();
    drop(process);
    FileDisk::open(&folder).unwrap().load().unwrap()
}
