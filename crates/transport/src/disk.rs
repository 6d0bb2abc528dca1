//! Durable state of a control member: one data folder.
//!
//! | file | content |
//! |---|---|
//! | `format` | version of the layout; written last when the folder is made |
//! | `lock` | locked while a process uses the folder |
//! | `identity` | random name of the member |
//! | `vote` | term and vote |
//! | `snapshot` | last snapshot |
//! | `log-N` | segments of the log, numbered without gaps |
//!
//! Files other than segments are replaced: written under another name, synced, renamed, and the
//! folder synced. Segments are only appended to; the removal of entries is a record of its own, so
//! no crash leaves a mix of old and new bytes. A segment is synced before the next one is made, so
//! only the last one can end in an incomplete record.

use std::{
    fs::{self, File, OpenOptions, TryLockError},
    io::{ErrorKind, Write},
    path::{Path, PathBuf},
};

use auburnlug_coordination::raft::{Entry, Ready, Saved, Snapshot, Vote};
use auburnlug_state::{
    Index, Name,
    record::{self, Read},
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::disk_error::{Kind, Result};

pub use crate::disk_error::{Category, Error};

/// Content of the `format` file.
const FORMAT: &str = "auburnlug 1\n";

/// Size at which a new segment starts, in bytes. Small enough that compaction frees space soon.
const SEGMENT: u64 = 4 << 20;

const PREFIX: &str = "log-";
const TEMPORARY: &str = "tmp";

/// What a disk held when the process started.
#[derive(Debug, Clone, PartialEq)]
pub struct Loaded {
    /// Identity of the member.
    pub identity: Name,
    /// Durable state.
    pub saved: Saved,
    /// Bytes of an incomplete last record that were cut.
    pub cut: u64,
}

/// Durable state of a control member.
///
/// After any error the state is unknown: every later call fails, and the member must stop. A failed
/// sync is never repeated, because the system may have dropped the data that it did not write.
pub trait Disk: Send {
    /// Reads what is stored; called once, before anything else.
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
    /// If that is not certain.
    fn sync(&mut self) -> Result<()>;

    /// Replaces the entries that `snapshot` covers by it; durable on return.
    ///
    /// # Errors
    /// If it cannot be written.
    fn compact(&mut self, snapshot: &Snapshot) -> Result<()>;
}

/// A record of the log as it is written.
#[derive(Debug, Serialize)]
enum Line<'a> {
    Entry(&'a Entry),
    Truncate(Index),
    /// A snapshot up to here exists; tells a removed snapshot from one never taken.
    Covered(Index),
}

/// A record of the log as it is read.
#[derive(Debug, Deserialize)]
enum Stored {
    Entry(Entry),
    Truncate(Index),
    Covered(Index),
}

/// A segment of the log.
#[derive(Debug)]
struct Segment {
    number: u64,
    /// Highest entry in it; 0 without entries.
    last: Index,
}

/// Disk on files in one folder.
#[derive(Debug)]
pub struct FileDisk {
    folder: PathBuf,
    /// Held for its lock.
    _lock: File,
    /// Segment that is appended to; `None` before [`Disk::load`] and after an error.
    active: Option<File>,
    size: u64,
    segments: Vec<Segment>,
}

impl FileDisk {
    /// Opens a data folder; makes one with a new identity if there is none.
    ///
    /// # Errors
    /// If another process uses the folder, or its format is unknown or missing beside other files.
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
        let segments = Vec::new();
        let disk = FileDisk { folder: folder.into(), _lock: lock, active: None, size: 0, segments };
        match read(&folder.join("format"))? {
            Some(text) if text == FORMAT.as_bytes() => {}
            Some(text) => {
                let text = String::from_utf8_lossy(&text).chars().take(80).collect();
                return Err(Kind::Format(folder.join("format"), text).into());
            }
            None => disk.create()?,
        }
        Ok(disk)
    }

    /// Makes the files of a new folder, or ends a creation that was interrupted.
    fn create(&self) -> Result<()> {
        let empty = record::encode_whole(&Vote::default()).map_err(self.encode("vote"))?;
        let used = read(&self.folder.join("vote"))?.is_some_and(|vote| vote != empty)
            || self.folder.join("snapshot").exists()
            || self.numbers()?.iter().any(|n| *n != 1);
        let first = read(&self.segment(1))?.is_some_and(|log| !log.is_empty());
        if used || first {
            return Err(Kind::Missing(self.folder.join("format")).into());
        }
        let identity = format!("member-{:016x}", rand::random::<u64>());
        let identity = record::encode_whole(&identity).map_err(self.encode("identity"))?;
        self.replace("identity", &identity)?;
        self.replace("vote", &empty)?;
        let path = self.segment(1);
        File::create(&path).and_then(|f| f.sync_all()).map_err(Error::file(&path))?;
        self.replace("format", FORMAT.as_bytes())?;
        let parent = self.folder.parent().filter(|p| !p.as_os_str().is_empty());
        sync_folder(parent.unwrap_or(Path::new(".")))
    }

    fn segment(&self, number: u64) -> PathBuf {
        self.folder.join(format!("{PREFIX}{number:012}"))
    }

    /// Numbers of the segments, in order.
    fn numbers(&self) -> Result<Vec<u64>> {
        let mut numbers = Vec::new();
        for item in fs::read_dir(&self.folder).map_err(Error::file(&self.folder))? {
            let name = item.map_err(Error::file(&self.folder))?.file_name();
            let number = name.to_str().and_then(|n| n.strip_prefix(PREFIX));
            numbers.extend(number.and_then(|n| n.parse::<u64>().ok()));
        }
        numbers.sort_unstable();
        Ok(numbers)
    }

    fn encode(&self, file: &str) -> impl FnOnce(auburnlug_state::Error) -> Error {
        let path = self.folder.join(file);
        |e| Kind::Encode(path, e).into()
    }

    /// Replaces a file as a whole; durable on return.
    fn replace(&self, file: &str, bytes: &[u8]) -> Result<()> {
        let path = self.folder.join(file);
        let temporary = path.with_extension(TEMPORARY);
        let write = || {
            let mut out = File::create(&temporary)?;
            out.write_all(bytes)?;
            out.sync_all()?;
            fs::rename(&temporary, &path)
        };
        write().map_err(Error::file(&path))?;
        sync_folder(&self.folder)
    }

    fn whole<T: DeserializeOwned>(&self, file: &str) -> Result<Option<T>> {
        let path = self.folder.join(file);
        let Some(bytes) = read(&path)? else { return Ok(None) };
        let value = record::decode_whole(&bytes).map_err(|e| Kind::Corrupt(path, 0, e))?;
        Ok(Some(value))
    }

    fn required<T: DeserializeOwned>(&self, file: &str) -> Result<T> {
        let missing = || Kind::Missing(self.folder.join(file)).into();
        self.whole(file)?.ok_or_else(missing)
    }

    /// Reads all segments into `saved`; returns the bytes cut from the last one.
    fn replay(&mut self, saved: &mut Saved) -> Result<u64> {
        let numbers = self.numbers()?;
        let Some((&first, &end)) = numbers.first().zip(numbers.last()) else {
            return Err(Kind::Missing(self.segment(1)).into());
        };
        let mut cut = 0;
        for number in first..=end {
            let path = self.segment(number);
            let bytes = read(&path)?.ok_or_else(|| Kind::Missing(path.clone()))?;
            let (last, whole) = replay_segment(&path, &bytes, saved)?;
            if whole < bytes.len() {
                if number != end {
                    let text = "incomplete record before the last segment".to_owned();
                    return Err(Kind::Order(path, whole as u64, text).into());
                }
                cut = (bytes.len() - whole) as u64;
            }
            self.size = whole as u64;
            self.segments.push(Segment { number, last });
        }
        Ok(cut)
    }

    fn try_store(&mut self, ready: &Ready) -> Result<()> {
        if let Some(vote) = &ready.vote {
            let bytes = record::encode_whole(vote).map_err(self.encode("vote"))?;
            self.replace("vote", &bytes)?;
        }
        if let Some(snapshot) = &ready.snapshot {
            // The old entries from here on contradict the snapshot and must not follow it.
            self.write(&[Line::Truncate(snapshot.index)])?;
            self.segments.iter_mut().for_each(|s| s.last = s.last.min(snapshot.index));
            self.try_compact(snapshot)?;
        }
        let mut lines: Vec<Line<'_>> = ready.truncate.map(Line::Truncate).into_iter().collect();
        lines.extend(ready.append.iter().map(Line::Entry));
        self.write(&lines)
    }

    /// Appends records to the log, starting a new segment when the present one is full.
    fn write(&mut self, lines: &[Line<'_>]) -> Result<()> {
        if lines.is_empty() {
            return Ok(());
        }
        if self.size >= SEGMENT {
            self.roll()?;
        }
        let (Some(file), Some(segment)) = (&mut self.active, self.segments.last_mut()) else {
            return Err(Kind::Stopped.into());
        };
        let path = self.folder.join(format!("{PREFIX}{:012}", segment.number));
        let mut bytes = Vec::new();
        for line in lines {
            record::encode(line, &mut bytes).map_err(|e| Kind::Encode(path.clone(), e))?;
            if let Line::Entry(entry) = line {
                segment.last = segment.last.max(entry.index);
            }
        }
        file.write_all(&bytes).map_err(Error::file(&path))?;
        self.size += bytes.len() as u64;
        Ok(())
    }

    /// Syncs the present segment and starts the next one.
    fn roll(&mut self) -> Result<()> {
        self.try_sync()?;
        let number = self.segments.last().map_or(1, |s| s.number + 1);
        let path = self.segment(number);
        let file = OpenOptions::new().append(true).create_new(true).open(&path);
        self.active = Some(file.map_err(Error::file(&path))?);
        self.size = 0;
        self.segments.push(Segment { number, last: 0 });
        sync_folder(&self.folder)
    }

    fn try_sync(&mut self) -> Result<()> {
        let Some(file) = &self.active else { return Err(Kind::Stopped.into()) };
        file.sync_data().map_err(Error::file(&self.folder))
    }

    fn try_compact(&mut self, snapshot: &Snapshot) -> Result<()> {
        self.try_sync()?;
        let bytes = record::encode_whole(snapshot).map_err(self.encode("snapshot"))?;
        self.replace("snapshot", &bytes)?;
        if self.size > 0 {
            self.roll()?;
        }
        self.write(&[Line::Covered(snapshot.index)])?;
        // From the oldest on, so that a crash in between leaves no gap.
        let last = self.segments.len() - 1;
        let covered = self.segments[..last].iter().take_while(|s| s.last <= snapshot.index).count();
        for segment in self.segments.drain(..covered).collect::<Vec<_>>() {
            let path = self.segment(segment.number);
            fs::remove_file(&path).map_err(Error::file(&path))?;
            sync_folder(&self.folder)?;
        }
        Ok(())
    }

    /// Refuses all further work after an error.
    fn guard(&mut self, work: impl FnOnce(&mut FileDisk) -> Result<()>) -> Result<()> {
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
        let identity = self.required("identity")?;
        let vote = self.required("vote")?;
        let mut saved = Saved { vote, snapshot: self.whole("snapshot")?, entries: Vec::new() };
        self.segments.clear();
        let cut = self.replay(&mut saved)?;
        let number = self.segments.last().map_or(1, |s| s.number);
        let path = self.segment(number);
        let file = OpenOptions::new().append(true).open(&path).map_err(Error::file(&path))?;
        // If the process before ended unexpectedly, what was read may not be durable yet.
        let trim = || if cut > 0 { file.set_len(self.size) } else { Ok(()) };
        trim().and_then(|()| file.sync_all()).map_err(Error::file(&path))?;
        sync_folder(&self.folder)?;
        self.active = Some(file);
        Ok(Loaded { identity, saved, cut })
    }

    fn store(&mut self, ready: &Ready) -> Result<()> {
        self.guard(|disk| disk.try_store(ready))
    }

    fn sync(&mut self) -> Result<()> {
        self.guard(FileDisk::try_sync)
    }

    fn compact(&mut self, snapshot: &Snapshot) -> Result<()> {
        self.guard(|disk| disk.try_compact(snapshot))
    }
}

/// Applies the records of one segment; returns its highest entry and the length of whole records.
fn replay_segment(path: &Path, bytes: &[u8], saved: &mut Saved) -> Result<(Index, usize)> {
    let covered = saved.snapshot.as_ref().map_or(0, |s| s.index);
    let (mut at, mut last) = (0, 0);
    loop {
        let found = record::decode(&bytes[at..]);
        match found.map_err(|e| Kind::Corrupt(path.into(), at as u64, e))? {
            Read::End | Read::Torn => return Ok((last, at)),
            Read::Record(Stored::Covered(index), _) if index > covered => {
                return Err(Kind::Missing(path.with_file_name("snapshot")).into());
            }
            Read::Record(Stored::Covered(_), length) => at += length,
            Read::Record(Stored::Truncate(index), length) => {
                saved.entries.retain(|e| e.index < index);
                at += length;
            }
            Read::Record(Stored::Entry(entry), length) => {
                last = last.max(entry.index);
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

/// Content of a file; `None` if there is none.
fn read(path: &Path) -> Result<Option<Vec<u8>>> {
    match fs::read(path) {
        Ok(bytes) => Ok(Some(bytes)),
        Err(e) if e.kind() == ErrorKind::NotFound => Ok(None),
        Err(e) => Err(Error::file(path)(e)),
    }
}

/// Makes new, renamed and removed names in a folder durable.
fn sync_folder(folder: &Path) -> Result<()> {
    File::open(folder).and_then(|f| f.sync_all()).map_err(Error::file(folder))
}
