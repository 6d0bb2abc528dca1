//! Tests of the durable state: one property test for both disks, and damaged files of a data
//! folder.

// clippy.toml allows `unwrap` only in test functions, not in their helpers.
#![allow(clippy::unwrap_used)]

use std::{
    fs,
    path::{Path, PathBuf},
};

use auburnlug_coordination::raft::{Entry, Members, Payload, Ready, Saved, Snapshot, Vote};
use auburnlug_state::{Change, Command, Edit, Name};
use auburnlug_transport::{
    disk::{Category, Disk, FileDisk},
    disk_memory::MemoryDisk,
};
use proptest::{
    prelude::*,
    test_runner::{RngSeed, TestRunner},
};

fn name(text: &str) -> Name {
    Name::try_from(text).unwrap()
}

fn runner(seed: u64) -> TestRunner {
    TestRunner::new(ProptestConfig {
        cases: 60,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..ProptestConfig::default()
    })
}

/// An empty folder for one test.
fn folder(test: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(test);
    let _ = fs::remove_dir_all(&path);
    path
}

/// Entries of `term` whose commands take `size` bytes each.
fn entries(first: u64, count: u64, term: u64, size: usize) -> Vec<Entry> {
    let text = "x".repeat(size);
    let edit = Edit::Publish(text);
    let change = Change { id: name("c"), operator: name("o"), base: 0, edit };
    let payload = Payload::Command(Command::Configure(change));
    (first..first + count).map(|index| Entry { index, term, payload: payload.clone() }).collect()
}

fn snapshot(index: u64, term: u64) -> Snapshot {
    Snapshot { index, term, members: Members::default(), data: vec![7; 300] }
}

fn vote(term: u64) -> Option<Vote> {
    Some(Vote { term, candidate: Some(name("m1")) })
}

fn append(entries: Vec<Entry>) -> Ready {
    Ready { append: entries, ..Ready::default() }
}

/// An operation on a disk.
#[derive(Debug, Clone)]
enum Op {
    Vote,
    Append(u64, usize),
    /// Replaces the last entries by one of a higher term.
    Rewrite(u64),
    /// Installs a snapshot that lies this far before or after the last entry.
    Install(i64),
    Compact(u64),
    Reopen,
}

fn ops() -> impl Strategy<Value = Vec<Op>> {
    let op = prop_oneof![
        1 => Just(Op::Vote),
        3 => (1..5u64, 0..100usize).prop_map(|(count, size)| Op::Append(count, size)),
        1 => (1..3u64).prop_map(|count| Op::Append(count, 3 << 20)),
        2 => (0..4u64).prop_map(Op::Rewrite),
        1 => (-4..6i64).prop_map(Op::Install),
        2 => (0..6u64).prop_map(Op::Compact),
        3 => Just(Op::Reopen),
    ];
    prop::collection::vec(op, 1..25)
}

/// Performs `op` on the disk and on `model`, which holds the state that the disk must return.
fn perform(disk: &mut dyn Disk, model: &mut Saved, term: u64, op: &Op) {
    let covered = model.snapshot.as_ref().map_or(0, |s| s.index);
    let last = covered + model.entries.len() as u64;
    let mut ready = Ready::default();
    match *op {
        Op::Vote => ready.vote = vote(term),
        Op::Append(count, size) => ready.append = entries(last + 1, count, term, size),
        Op::Rewrite(back) => {
            let index = last.saturating_sub(back).max(covered) + 1;
            ready.truncate = (index <= last).then_some(index);
            ready.append = entries(index, 1, term, 10);
        }
        Op::Install(distance) => {
            let index = last.saturating_add_signed(distance).max(covered + 1);
            ready.snapshot = Some(snapshot(index, term));
            ready.append = entries(index + 1, 1, term, 10);
        }
        Op::Compact(back) => {
            let index = last.saturating_sub(back);
            if index > covered {
                disk.compact(&snapshot(index, term)).unwrap();
                model.snapshot = Some(snapshot(index, term));
                model.entries.retain(|e| e.index > index);
            }
        }
        Op::Reopen => {}
    }
    disk.store(&ready).unwrap();
    disk.sync().unwrap();
    model.vote = ready.vote.unwrap_or(model.vote.clone());
    if let Some(snapshot) = ready.snapshot {
        model.entries.clear();
        model.snapshot = Some(snapshot);
    }
    model.entries.retain(|e| ready.truncate.is_none_or(|index| e.index < index));
    model.entries.extend(ready.append);
}

/// Guards against synced state that is lost when the disk is reopened, and against a changed
/// identity.
fn check_reopen(seed: u64, fresh: impl Fn(), open: impl Fn() -> Box<dyn Disk>) {
    let result = runner(seed).run(&ops(), |ops| {
        fresh();
        let mut disk = open();
        let first = disk.load().unwrap();
        let mut model = first.saved.clone();
        prop_assert_eq!(&model, &Saved::default());
        for (term, op) in ops.iter().chain([&Op::Reopen]).enumerate() {
            perform(disk.as_mut(), &mut model, term as u64 + 1, op);
            if matches!(op, Op::Reopen) {
                drop(disk);
                disk = open();
                let loaded = disk.load().unwrap();
                prop_assert!(loaded.saved == model, "reopened disk differs");
                prop_assert_eq!((&loaded.identity, loaded.discarded), (&first.identity, 0));
            }
        }
        Ok(())
    });
    result.unwrap();
}

#[test]
fn file_disk_restores_synced_state() {
    let path = folder("contract");
    let fresh = || drop(fs::remove_dir_all(&path));
    check_reopen(1, fresh, || Box::new(FileDisk::open(&path).unwrap()));
}

#[test]
fn memory_disk_restores_synced_state() {
    let memory = std::cell::RefCell::new(MemoryDisk::new(name("m")));
    let fresh = || *memory.borrow_mut() = MemoryDisk::new(name("m"));
    check_reopen(2, fresh, || {
        memory.borrow().crash();
        Box::new(memory.borrow().clone())
    });
}

/// Asserts that the disk refuses every operation.
fn assert_refuses_all(disk: &mut dyn Disk) {
    let results = [disk.sync(), disk.store(&append(entries(1, 1, 1, 1))), disk.sync()];
    let compacted = disk.compact(&snapshot(1, 1));
    for result in results.into_iter().chain([compacted]) {
        assert_eq!(result.unwrap_err().category(), Category::Stopped);
    }
}

#[test]
fn failure_stops_the_disk() {
    // Guards against a sync that is retried after a failure and reports dropped data as durable.
    let path = folder("failure");
    let mut files = FileDisk::open(&path).unwrap();
    files.load().unwrap();
    fs::remove_dir_all(&path).unwrap();
    let ready = Ready { vote: vote(3), ..Ready::default() };
    assert_eq!(files.store(&ready).unwrap_err().category(), Category::File);
    assert_refuses_all(&mut files);
    for inject in [MemoryDisk::fail_store, MemoryDisk::fail_sync] {
        let mut memory = MemoryDisk::new(name("m"));
        inject(&memory);
        let result = memory.store(&ready).and_then(|()| memory.sync());
        assert_eq!(result.unwrap_err().category(), Category::File);
        assert_refuses_all(&mut memory);
        memory.crash();
        assert_eq!(memory.load().unwrap().saved, Saved::default());
    }
}

#[test]
fn memory_disk_loses_unsynced_entries() {
    // Guards against an in-memory disk that hides a missing sync in the code under test.
    let mut memory = MemoryDisk::new(name("m"));
    memory.store(&append(entries(1, 2, 1, 1))).unwrap();
    memory.sync().unwrap();
    memory.store(&append(entries(3, 1, 1, 1))).unwrap();
    memory.crash();
    assert_eq!(memory.load().unwrap().saved.entries.len(), 2);
}

/// A folder with a snapshot, two segments and entries 6 to 9, and the state that it contains.
fn filled_folder(test: &str) -> (PathBuf, Saved) {
    let path = folder(test);
    let mut disk = FileDisk::open(&path).unwrap();
    disk.load().unwrap();
    let ready = Ready { vote: vote(2), append: entries(1, 7, 1, 20), ..Ready::default() };
    disk.store(&ready).unwrap();
    disk.compact(&snapshot(5, 1)).unwrap();
    disk.store(&append(entries(8, 1, 1, 20))).unwrap();
    disk.store(&append(entries(9, 1, 1, 20))).unwrap();
    disk.sync().unwrap();
    drop(disk);
    let saved = FileDisk::open(&path).unwrap().load().unwrap().saved;
    assert_eq!(saved.entries.len(), 4);
    (path, saved)
}

fn reopen(path: &Path) -> Result<auburnlug_transport::disk::Loaded, Category> {
    FileDisk::open(path).and_then(|mut disk| disk.load()).map_err(|e| e.category())
}

#[test]
fn torn_tail_is_discarded_and_appends_continue() {
    // Guards against a member that cannot start after a crash during a write, and against a new
    // entry that is appended after the remains of an incomplete one.
    let (path, saved) = filled_folder("torn");
    let log = path.join("log-000000000002");
    let before = fs::read(&log).unwrap().len();
    let mut disk = FileDisk::open(&path).unwrap();
    disk.load().unwrap();
    disk.store(&append(entries(10, 1, 1, 20))).unwrap();
    drop(disk);
    let bytes = fs::read(&log).unwrap();
    for size in before + 1..bytes.len() {
        fs::write(&log, &bytes[..size]).unwrap();
        let mut disk = FileDisk::open(&path).unwrap();
        let loaded = disk.load().unwrap();
        assert_eq!(loaded.discarded, (size - before) as u64);
        assert_eq!(loaded.saved, saved);
        disk.store(&append(entries(10, 1, 5, 20))).unwrap();
        disk.sync().unwrap();
        drop(disk);
        assert_eq!(reopen(&path).unwrap().saved.entries[4].term, 5);
    }
}

#[test]
fn a_flipped_bit_in_any_file_stops_the_member() {
    // Guards against a member that votes or acknowledges entries with damaged state.
    let (path, _) = filled_folder("flipped");
    let files = ["identity", "vote", "snapshot", "format", "log-000000000001", "log-000000000002"];
    let flip = (0..files.len(), any::<prop::sample::Index>(), 0..8u32);
    let result = runner(3).run(&flip, |(file, at, bit)| {
        let file = path.join(files[file]);
        let bytes = fs::read(&file).unwrap();
        let mut damaged = bytes.clone();
        damaged[at.index(bytes.len())] ^= 1 << bit;
        fs::write(&file, damaged).unwrap();
        let category = reopen(&path).unwrap_err();
        prop_assert!(matches!(category, Category::Corrupt | Category::Format));
        fs::write(&file, bytes).unwrap();
        prop_assert!(reopen(&path).is_ok());
        Ok(())
    });
    result.unwrap();
}

#[test]
fn a_missing_or_short_file_stops_the_member() {
    // Guards against a member that starts with missing state or with a second identity.
    for file in ["identity", "vote", "format", "snapshot", "log-000000000001"] {
        let (path, saved) = filled_folder("missing");
        let bytes = fs::read(path.join(file)).unwrap();
        fs::remove_file(path.join(file)).unwrap();
        let log = file.starts_with("log");
        let category = if log { Category::Corrupt } else { Category::Missing };
        assert_eq!(reopen(&path).unwrap_err(), category, "{file}");
        fs::write(path.join(file), bytes).unwrap();
        assert_eq!(reopen(&path).unwrap().saved, saved);
    }
    for file in ["identity", "vote", "snapshot", "log-000000000001"] {
        let (path, _) = filled_folder("short");
        let bytes = fs::read(path.join(file)).unwrap();
        fs::write(path.join(file), &bytes[..bytes.len() - 1]).unwrap();
        assert_eq!(reopen(&path).unwrap_err(), Category::Corrupt, "{file}");
    }
    let (path, _) = filled_folder("surplus");
    let log = path.join("log-000000000001");
    let bytes = [fs::read(&log).unwrap(), vec![1]].concat();
    fs::write(&log, bytes).unwrap();
    assert_eq!(reopen(&path).unwrap_err(), Category::Corrupt);
}

#[test]
fn interrupted_install_leaves_no_old_entry() {
    // Guards against old entries that conflict with a snapshot and are replayed after it, if the
    // member crashes after the snapshot is written and before the old segments are removed.
    let path = folder("install");
    let mut disk = FileDisk::open(&path).unwrap();
    disk.load().unwrap();
    disk.store(&append(entries(1, 9, 1, 20))).unwrap();
    let (log, kept) = (path.join("log-000000000001"), path.join("kept"));
    fs::hard_link(&log, &kept).unwrap();
    disk.store(&Ready { snapshot: Some(snapshot(6, 2)), ..Ready::default() }).unwrap();
    disk.sync().unwrap();
    drop(disk);
    fs::rename(&kept, &log).unwrap();
    let saved = reopen(&path).unwrap().saved;
    assert_eq!((saved.snapshot, saved.entries), (Some(snapshot(6, 2)), Vec::new()));
}

#[test]
fn folder_is_locked_and_keeps_its_identity() {
    // Guards against two processes that write to one log, and against a new folder that gets the
    // identity of a lost one.
    let path = folder("lock");
    let mut disk = FileDisk::open(&path).unwrap();
    assert_eq!(FileDisk::open(&path).unwrap_err().category(), Category::Locked);
    let identity = disk.load().unwrap().identity;
    drop(disk);
    assert_eq!(reopen(&path).unwrap().identity, identity);
    fs::write(path.join("format"), "auburnlug 2\n").unwrap();
    assert_eq!(reopen(&path).unwrap_err(), Category::Format);
    fs::remove_dir_all(&path).unwrap();
    assert_ne!(reopen(&path).unwrap().identity, identity);
}

#[test]
fn compaction_frees_covered_segments() {
    // Guards against a data folder that grows without bound.
    let path = folder("segments");
    let mut disk = FileDisk::open(&path).unwrap();
    disk.load().unwrap();
    for index in 1..=8 {
        disk.store(&append(entries(index, 1, 1, 3 << 20))).unwrap();
    }
    let logs = || {
        let names = fs::read_dir(&path).unwrap().map(|f| f.unwrap().file_name());
        names.filter(|n| n.to_string_lossy().starts_with("log-")).count()
    };
    assert_eq!(logs(), 4);
    disk.compact(&snapshot(5, 1)).unwrap();
    assert_eq!(logs(), 3);
    disk.compact(&snapshot(8, 1)).unwrap();
    assert_eq!(logs(), 1);
}

#[test]
fn entries_stored_during_a_compaction_survive_a_crash_at_each_stage() {
    // Guards against entries that are lost, or a folder that cannot be opened, if the process ends
    // while a snapshot is replacing the log.
    for stages in 0..8 {
        let path = folder("stages");
        let mut disk = FileDisk::open(&path).unwrap();
        disk.load().unwrap();
        for index in 1..=6 {
            disk.store(&append(entries(index, 1, 1, 3 << 20))).unwrap();
        }
        disk.sync().unwrap();
        assert!(disk.begin_compaction(&snapshot(5, 1)).unwrap());
        let mut complete = false;
        for stage in 0..stages {
            complete = disk.continue_compaction().unwrap();
            disk.store(&append(entries(7 + stage, 1, 1, 20))).unwrap();
            disk.sync().unwrap();
        }
        drop(disk);
        let saved = reopen(&path).unwrap().saved;
        let covered = saved.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        assert_eq!(covered, if stages > 0 { 5 } else { 0 });
        let indexes: Vec<u64> = saved.entries.iter().map(|entry| entry.index).collect();
        assert_eq!(indexes, (covered + 1..=6 + stages).collect::<Vec<u64>>());
        assert!(complete || stages < 6, "the compaction does not end");
    }
}

#[test]
fn a_snapshot_without_space_leaves_the_disk_usable() {
    // Guards against a member on a full disk that ends each time it tries to free space.
    let path = folder("no-space");
    let mut disk = FileDisk::open(&path).unwrap();
    disk.load().unwrap();
    disk.store(&append(entries(1, 5, 1, 20))).unwrap();
    disk.sync().unwrap();
    std::os::unix::fs::symlink("/dev/full", path.join("snapshot.tmp")).unwrap();
    assert!(!disk.begin_compaction(&snapshot(5, 1)).unwrap());
    disk.store(&append(entries(6, 1, 1, 20))).unwrap();
    disk.sync().unwrap();
    assert!(disk.begin_compaction(&snapshot(5, 1)).unwrap());
    while !disk.continue_compaction().unwrap() {}
    drop(disk);
    let saved = reopen(&path).unwrap().saved;
    assert_eq!((saved.snapshot, saved.entries.len()), (Some(snapshot(5, 1)), 1));
}

#[test]
fn an_interrupted_snapshot_takes_no_space_after_a_start() {
    // Guards against a full disk that stays full, as the remains of a snapshot that did not fit are
    // never removed.
    let (path, saved) = filled_folder("remains");
    fs::write(path.join("snapshot.tmp"), vec![7; 1 << 20]).unwrap();
    assert_eq!(reopen(&path).unwrap().saved, saved);
    assert!(!path.join("snapshot.tmp").exists());
}
