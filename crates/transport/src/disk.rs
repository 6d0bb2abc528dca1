//! Durable state of a control member: one data folder.
//!
//! | file | content |
//! |---|---|
//! | `format` | version of the layout; written last when the folder is created |
//! | `lock` | locked while a process uses the folder |
//! | `identity` | random name of the member |
//! | `vote` | term and vote |
//! | `snapshot` | last snapshot |
//! | `log-N` | segments of the log, numbered without gaps |
//!
//! Files other than segments are replaced atomically: written under a temporary name, synced and
//! renamed, and then the folder is synced. Segments are append-only, and the removal of entries is
//! a record of its own, so no crash leaves a mix of old and new bytes. A segment is synced before
//! the next one is created, so only the last one can end in an incomplete record.

use std::{
    fs::{self, File, OpenOptions, TryLockError},
    io::{ErrorKind, Write},
    path::{Path, PathBuf},
};

use auburnlug_coordination::raft::{Entry, Ready, Saved, Snapshot, Vote};
use auburnlug_state::{
    Index, Name,
    record::{self, DecodedRecord},
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::disk_error::{Kind, Result};

pub use crate::disk_error::{Category, Error};

/// Content of the `format` file.
const FORMAT_VERSION: &str = "auburnlug 1\n";

/// Size at which a new segment starts. Small, because compaction only frees whole segments.
const SEGMENT_SIZE_BYTES: u64 = 4 << 20;

/// Start of the file name of a segment.
const SEGMENT_PREFIX: &str = "log-";

const SNAPSHOT_FILE: &str = "snapshot";

/// Extension of a file that is being written before it is renamed.
const TEMPORARY_EXTENSION: &str = "tmp";

/// What a disk held when the process started.
#[derive(Debug, Clone, PartialEq)]
pub struct Loaded {
    /// Identity of the member.
    pub identity: Name,
    /// Durable state.
    pub saved: Saved,
    /// Bytes of an incomplete last record that were discarded.
    pub discarded: u64,
}

/// Durable state of a control member.
///
/// After any error the state is unknown: every later call fails, and the member must stop. A failed
/// sync is never retried, because the operating system may have dropped the unwritten data.
pub trait Disk: Send {
    /// Reads the stored state; called once, before any other method.
    ///
    /// # Errors
    /// If a file is missing or damaged.
    fn load(&mut self) -> Result<Loaded>;

    /// Stores vote, snapshot, truncation and entries of `ready`; durable after [`Disk::sync`].
    ///
    /// # Errors
    /// If it cannot be written.
    fn store(&mut self, ready: &Ready) -> Result<()>;

    /// Makes everything stored so far durable.
    ///
    /// # Errors
    /// If the data may not be durable.
    fn sync(&mut self) -> Result<()>;

    /// Starts to replace the entries that `snapshot` covers by the snapshot; false if there is no
    /// space for it, in which case nothing has changed.
    ///
    /// # Errors
    /// If it cannot be written for another reason.
    fn begin_compaction(&mut self, snapshot: &Snapshot) -> Result<bool>;

    /// Continues a compaction by one sync; returns whether it is complete. Entries may be stored in
    /// between.
    ///
    /// # Errors
    /// If it cannot be written.
    fn continue_compaction(&mut self) -> Result<bool>;

    /// Replaces the entries that `snapshot` covers by the snapshot; durable on return.
    ///
    /// # Errors
    /// If it cannot be written.
    fn compact(&mut self, snapshot: &Snapshot) -> Result<()>;

    /// Bytes of the stored log, with records that are no longer in effect.
    fn log_bytes(&self) -> u64;
}

/// A log record, borrowed for writing.
#[derive(Debug, Serialize)]
enum NewRecord<'a> {
    Entry(&'a Entry),
    Truncate(Index),
    /// A snapshot up to this index exists; shows on replay whether a snapshot file is missing.
    Covered(Index),
}

/// A log record, owned after reading.
#[derive(Debug, Deserialize)]
enum StoredRecord {
    Entry(Entry),
    Truncate(Index),
    Covered(Index),
}

/// A segment of the log.
#[derive(Debug)]
struct Segment {
    number: u64,
    /// Index of the highest entry in it that is in effect, or less; 0 without entries.
    last: Index,
    /// Bytes of its complete records.
    size: u64,
}

/// What is left to do of a compaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CompactionStage {
    /// The snapshot has its temporary name.
    Rename,
    /// The active segment may have covered entries.
    StartSegment,
    /// Covered segments are left.
    RemoveSegments,
}

/// A compaction in progress: the index that its snapshot covers, and what is left to do.
#[derive(Debug, Clone, Copy)]
struct Compaction {
    covered: Index,
    stage: CompactionStage,
}

/// Disk that stores its state in the files of one folder.
#[derive(Debug)]
pub struct FileDisk {
    folder: PathBuf,
    /// Open file whose lock keeps other processes out.
    _lock: File,
    /// Segment that is appended to; `None` before [`Disk::load`] and after an error.
    active: Option<File>,
    segments: Vec<Segment>,
    /// Whether the active segment has records that are not synced.
    unsynced: bool,
    compaction: Option<Compaction>,
}

impl FileDisk {
    /// Opens a data folder; creates one with a new identity if there is none.
    ///
    /// # Errors
    /// If another process uses the folder, its format is unknown, or the format file is missing
    /// while others exist.
    pub fn open(folder: &Path) -> Result<FileDisk> {
        fs::create_dir_all(folder).map_err(Error::file(folder))?;
        let path = folder.join("lock");
        let lock = OpenOptions::new().create(true).truncate(false).write(true).open(&path);
        let lock = lock.map_err(Error::file(&path))?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => return Err(Kind::Locked(folder.into()).into()),
            Err(TryLockError::Error(e)) => return Err(Error::file(&path)(e)),
        }
        let disk = FileDisk {
            folder: folder.into(),
            _lock: lock,
            active: None,
            segments: Vec::new(),
            unsynced: false,
            compaction: None,
        };
        match read_file(&folder.join("format"))? {
            Some(text) if text == FORMAT_VERSION.as_bytes() => {}
            Some(text) => {
                let text = String::from_utf8_lossy(&text).chars().take(80).collect();
                return Err(Kind::Format(folder.join("format"), text).into());
            }
            None => disk.create()?,
        }
        disk.remove_temporary_files()?;
        Ok(disk)
    }

    /// Removes what an interrupted write has left, which may be the last space of a full disk.
    fn remove_temporary_files(&self) -> Result<()> {
        for file in ["vote", SNAPSHOT_FILE] {
            let path = self.temporary_path(file);
            match fs::remove_file(&path) {
                Err(e) if e.kind() != ErrorKind::NotFound => return Err(Error::file(&path)(e)),
                _ => {}
            }
        }
        Ok(())
    }

    /// Creates the files of a new folder, or completes an interrupted creation.
    fn create(&self) -> Result<()> {
        let empty = record::encode_file(&Vote::default()).map_err(self.encode_error("vote"))?;
        let used = read_file(&self.folder.join("vote"))?.is_some_and(|vote| vote != empty)
            || self.folder.join("snapshot").exists()
            || self.segment_numbers()?.iter().any(|n| *n != 1);
        let first = read_file(&self.segment_path(1))?.is_some_and(|log| !log.is_empty());
        if used || first {
            return Err(Kind::Missing(self.folder.join("format")).into());
        }
        let identity = format!("member-{:016x}", rand::random::<u64>());
        let identity = record::encode_file(&identity).map_err(self.encode_error("identity"))?;
        self.replace_file("identity", &identity)?;
        self.replace_file("vote", &empty)?;
        let path = self.segment_path(1);
        File::create(&path).and_then(|f| f.sync_all()).map_err(Error::file(&path))?;
        self.replace_file("format", FORMAT_VERSION.as_bytes())?;
        let parent = self.folder.parent().filter(|p| !p.as_os_str().is_empty());
        sync_folder(parent.unwrap_or(Path::new(".")))
    }

    fn segment_path(&self, number: u64) -> PathBuf {
        self.folder.join(format!("{SEGMENT_PREFIX}{number:012}"))
    }

    /// Segment numbers in ascending order.
    fn segment_numbers(&self) -> Result<Vec<u64>> {
        let mut numbers = Vec::new();
        for item in fs::read_dir(&self.folder).map_err(Error::file(&self.folder))? {
            let name = item.map_err(Error::file(&self.folder))?.file_name();
            let number = name.to_str().and_then(|n| n.strip_prefix(SEGMENT_PREFIX));
            numbers.extend(number.and_then(|n| n.parse::<u64>().ok()));
        }
        numbers.sort_unstable();
        Ok(numbers)
    }

    /// Bytes of the segment that is appended to.
    fn active_size(&self) -> u64 {
        self.segments.last().map_or(0, |segment| segment.size)
    }

    fn encode_error(&self, file: &str) -> impl FnOnce(auburnlug_state::Error) -> Error {
        let path = self.folder.join(file);
        |e| Kind::Encode(path, e).into()
    }

    /// Replaces a file atomically; durable on return.
    fn replace_file(&self, file: &str, bytes: &[u8]) -> Result<()> {
        self.write_temporary(file, bytes).map_err(Error::file(&self.folder.join(file)))?;
        self.rename_temporary(file)
    }

    fn write_temporary(&self, file: &str, bytes: &[u8]) -> std::io::Result<()> {
        let mut out = File::create(self.temporary_path(file))?;
        out.write_all(bytes)?;
        out.sync_all()
    }

    fn rename_temporary(&self, file: &str) -> Result<()> {
        let path = self.folder.join(file);
        fs::rename(self.temporary_path(file), &path).map_err(Error::file(&path))?;
        sync_folder(&self.folder)
    }

    fn temporary_path(&self, file: &str) -> PathBuf {
        self.folder.join(file).with_extension(TEMPORARY_EXTENSION)
    }

    fn read_optional<T: DeserializeOwned>(&self, file: &str) -> Result<Option<T>> {
        let path = self.folder.join(file);
        let Some(bytes) = read_file(&path)? else { return Ok(None) };
        let value = record::decode_file(&bytes).map_err(|e| Kind::Corrupt(path, 0, e))?;
        Ok(Some(value))
    }

    fn read_required<T: DeserializeOwned>(&self, file: &str) -> Result<T> {
        let missing = || Kind::Missing(self.folder.join(file)).into();
        self.read_optional(file)?.ok_or_else(missing)
    }

    /// Reads all segments into `saved`; returns the number of bytes to discard at the end of the
    /// last one.
    fn replay(&mut self, saved: &mut Saved) -> Result<u64> {
        let numbers = self.segment_numbers()?;
        let Some((&first, &end)) = numbers.first().zip(numbers.last()) else {
            return Err(Kind::Missing(self.segment_path(1)).into());
        };
        let mut discarded = 0;
        for number in first..=end {
            let path = self.segment_path(number);
            let bytes = read_file(&path)?.ok_or_else(|| Kind::Missing(path.clone()))?;
            self.segments.push(Segment { number, last: 0, size: 0 });
            let complete = replay_segment(&path, &bytes, saved, &mut self.segments)?;
            if complete < bytes.len() {
                if number != end {
                    let text = "incomplete record before the last segment".to_owned();
                    return Err(Kind::Order(path, complete as u64, text).into());
                }
                discarded = (bytes.len() - complete) as u64;
            }
            if let Some(segment) = self.segments.last_mut() {
                segment.size = complete as u64;
            }
        }
        Ok(discarded)
    }

    fn try_store(&mut self, ready: &Ready) -> Result<()> {
        if let Some(vote) = &ready.vote {
            let bytes = record::encode_file(vote).map_err(self.encode_error("vote"))?;
            self.replace_file("vote", &bytes)?;
        }
        if let Some(snapshot) = &ready.snapshot {
            // Old entries after the snapshot's index conflict with it and must not be replayed.
            self.append_records(&[NewRecord::Truncate(snapshot.index)])?;
            self.try_compact(snapshot)?;
        }
        let mut records: Vec<NewRecord<'_>> =
            ready.truncate.map(NewRecord::Truncate).into_iter().collect();
        records.extend(ready.append.iter().map(NewRecord::Entry));
        self.append_records(&records)
    }

    /// Appends records to the log; starts a new segment when the active one is full.
    fn append_records(&mut self, records: &[NewRecord<'_>]) -> Result<()> {
        if records.is_empty() {
            return Ok(());
        }
        if self.active_size() >= SEGMENT_SIZE_BYTES {
            self.start_segment()?;
        }
        let number = self.segments.last().map_or(1, |segment| segment.number);
        let path = self.segment_path(number);
        let mut bytes = Vec::new();
        for record in records {
            record::encode(record, &mut bytes).map_err(|e| Kind::Encode(path.clone(), e))?;
            match record {
                NewRecord::Entry(entry) => record_entry(&mut self.segments, entry.index),
                NewRecord::Truncate(index) => record_truncation(&mut self.segments, *index),
                NewRecord::Covered(_) => {}
            }
        }
        let (Some(file), Some(segment)) = (&mut self.active, self.segments.last_mut()) else {
            return Err(Kind::Stopped.into());
        };
        file.write_all(&bytes).map_err(Error::file(&path))?;
        segment.size += bytes.len() as u64;
        self.unsynced = true;
        Ok(())
    }

    /// Syncs the active segment and starts the next one.
    fn start_segment(&mut self) -> Result<()> {
        self.try_sync()?;
        let number = self.segments.last().map_or(1, |s| s.number + 1);
        let path = self.segment_path(number);
        let file = OpenOptions::new().append(true).create_new(true).open(&path);
        self.active = Some(file.map_err(Error::file(&path))?);
        self.segments.push(Segment { number, last: 0, size: 0 });
        sync_folder(&self.folder)
    }

    fn try_sync(&mut self) -> Result<()> {
        let Some(file) = &self.active else { return Err(Kind::Stopped.into()) };
        if self.unsynced {
            file.sync_data().map_err(Error::file(&self.folder))?;
            self.unsynced = false;
        }
        Ok(())
    }

    fn try_begin(&mut self, snapshot: &Snapshot) -> Result<bool> {
        self.compaction = None;
        self.try_sync()?;
        let bytes = record::encode_file(snapshot).map_err(self.encode_error(SNAPSHOT_FILE))?;
        match self.write_temporary(SNAPSHOT_FILE, &bytes) {
            Ok(()) => {}
            Err(e) if e.kind() == ErrorKind::StorageFull => {
                let path = self.temporary_path(SNAPSHOT_FILE);
                fs::remove_file(&path).map_err(Error::file(&path))?;
                return Ok(false);
            }
            Err(e) => return Err(Error::file(&self.folder.join(SNAPSHOT_FILE))(e)),
        }
        let stage = CompactionStage::Rename;
        self.compaction = Some(Compaction { covered: snapshot.index, stage });
        Ok(true)
    }

    fn try_continue(&mut self) -> Result<bool> {
        let Some(Compaction { covered, stage }) = self.compaction else { return Ok(true) };
        let stage = match stage {
            CompactionStage::Rename => {
                self.rename_temporary(SNAPSHOT_FILE)?;
                CompactionStage::StartSegment
            }
            CompactionStage::StartSegment => {
                if self.active_size() > 0 {
                    self.start_segment()?;
                }
                self.append_records(&[NewRecord::Covered(covered)])?;
                CompactionStage::RemoveSegments
            }
            CompactionStage::RemoveSegments => {
                if !self.remove_covered_segment(covered)? {
                    self.compaction = None;
                    return Ok(true);
                }
                CompactionStage::RemoveSegments
            }
        };
        self.compaction = Some(Compaction { covered, stage });
        Ok(false)
    }

    /// Removes the oldest segment if a snapshot covers it; false if it does not. The oldest one goes
    /// first, so that a crash in between leaves no gap in the numbers.
    fn remove_covered_segment(&mut self, covered: Index) -> Result<bool> {
        let oldest = self.segments.first().filter(|s| self.segments.len() > 1 && s.last <= covered);
        let Some(number) = oldest.map(|segment| segment.number) else { return Ok(false) };
        let path = self.segment_path(number);
        fs::remove_file(&path).map_err(Error::file(&path))?;
        self.segments.remove(0);
        sync_folder(&self.folder)?;
        Ok(true)
    }

    fn try_compact(&mut self, snapshot: &Snapshot) -> Result<()> {
        if !self.try_begin(snapshot)? {
            let full = std::io::Error::from(ErrorKind::StorageFull);
            return Err(Error::file(&self.folder.join(SNAPSHOT_FILE))(full));
        }
        while !self.try_continue()? {}
        Ok(())
    }

    /// Runs an operation on the disk; after the first error, refuses all further operations.
    fn run_or_stop<T>(&mut self, work: impl FnOnce(&mut FileDisk) -> Result<T>) -> Result<T> {
        if self.active.is_none() {
            return Err(Kind::Stopped.into());
        }
        let result = work(self);
        if result.is_err() {
            self.active = None;
        }
        result
    }
}

impl Disk for FileDisk {
    fn load(&mut self) -> Result<Loaded> {
        let identity = self.read_required("identity")?;
        let vote = self.read_required("vote")?;
        let mut saved =
            Saved { vote, snapshot: self.read_optional(SNAPSHOT_FILE)?, entries: Vec::new() };
        self.segments.clear();
        let discarded = self.replay(&mut saved)?;
        let number = self.segments.last().map_or(1, |s| s.number);
        let path = self.segment_path(number);
        let file = OpenOptions::new().append(true).open(&path).map_err(Error::file(&path))?;
        // If the previous process crashed, the data just read may not be durable yet.
        let size = self.active_size();
        let trim = || if discarded > 0 { file.set_len(size) } else { Ok(()) };
        trim().and_then(|()| file.sync_all()).map_err(Error::file(&path))?;
        sync_folder(&self.folder)?;
        self.active = Some(file);
        Ok(Loaded { identity, saved, discarded })
    }

    fn store(&mut self, ready: &Ready) -> Result<()> {
        self.run_or_stop(|disk| disk.try_store(ready))
    }

    fn sync(&mut self) -> Result<()> {
        self.run_or_stop(FileDisk::try_sync)
    }

    fn begin_compaction(&mut self, snapshot: &Snapshot) -> Result<bool> {
        self.run_or_stop(|disk| disk.try_begin(snapshot))
    }

    fn continue_compaction(&mut self) -> Result<bool> {
        self.run_or_stop(FileDisk::try_continue)
    }

    fn compact(&mut self, snapshot: &Snapshot) -> Result<()> {
        self.run_or_stop(|disk| disk.try_compact(snapshot))
    }

    fn log_bytes(&self) -> u64 {
        self.segments.iter().map(|segment| segment.size).sum()
    }
}

/// Records that the last segment has an entry.
fn record_entry(segments: &mut [Segment], index: Index) {
    if let Some(segment) = segments.last_mut() {
        segment.last = segment.last.max(index);
    }
}

/// Records that the entries from `index` on are no longer in effect, whatever segment has them.
fn record_truncation(segments: &mut [Segment], index: Index) {
    segments
        .iter_mut()
        .for_each(|segment| segment.last = segment.last.min(index.saturating_sub(1)));
}

/// Applies the records of the last segment; returns the length of its complete records.
fn replay_segment(
    path: &Path,
    bytes: &[u8],
    saved: &mut Saved,
    segments: &mut [Segment],
) -> Result<usize> {
    let covered = saved.snapshot.as_ref().map_or(0, |s| s.index);
    let mut at = 0;
    loop {
        let found = record::decode(&bytes[at..]);
        match found.map_err(|e| Kind::Corrupt(path.into(), at as u64, e))? {
            DecodedRecord::End | DecodedRecord::Torn => return Ok(at),
            DecodedRecord::Record(StoredRecord::Covered(index), _) if index > covered => {
                return Err(Kind::Missing(path.with_file_name("snapshot")).into());
            }
            DecodedRecord::Record(StoredRecord::Covered(_), length) => at += length,
            DecodedRecord::Record(StoredRecord::Truncate(index), length) => {
                saved.entries.retain(|e| e.index < index);
                record_truncation(segments, index);
                at += length;
            }
            DecodedRecord::Record(StoredRecord::Entry(entry), length) => {
                record_entry(segments, entry.index);
                let next = covered + saved.entries.len() as Index + 1;
                if entry.index > covered && entry.index != next {
                    let text = format!("entry {} follows entry {}", entry.index, next - 1);
                    return Err(Kind::Order(path.into(), at as u64, text).into());
                }
                if entry.index > covered {
                    saved.entries.push(entry);
                }
                at += length;
            }
        }
    }
}

/// Content of a file; `None` if the file does not exist.
fn read_file(path: &Path) -> Result<Option<Vec<u8>>> {
    match fs::read(path) {
        Ok(bytes) => Ok(Some(bytes)),
        Err(e) if e.kind() == ErrorKind::NotFound => Ok(None),
        Err(e) => Err(Error::file(path)(e)),
    }
}

/// Makes created, renamed and removed file names in a folder durable.
fn sync_folder(folder: &Path) -> Result<()> {
    File::open(folder).and_then(|f| f.sync_all()).map_err(Error::file(folder))
}
