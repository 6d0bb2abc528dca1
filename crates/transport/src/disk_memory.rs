//! In-memory disk for tests, with fault injection.

use std::{
    path::PathBuf,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use auburnlug_coordination::raft::{Entry, Ready, Saved, Snapshot};
use auburnlug_state::{Name, byte_size::ByteSize};

use crate::{
    disk::{Disk, Loaded},
    disk_error::{Error, Kind, Result},
};

/// Disk in memory. Clones share its content, so a test can keep a clone to inject faults.
#[derive(Debug, Clone)]
pub struct MemoryDisk {
    state: Arc<Mutex<State>>,
}

#[derive(Debug)]
struct State {
    identity: Name,
    durable: Saved,
    /// Stored state, synced or not.
    stored: Saved,
    /// Bytes of the stored entries.
    log_bytes: usize,
    fail_store: bool,
    fail_sync: bool,
    stopped: bool,
}

impl MemoryDisk {
    /// Empty disk of the member `identity`.
    pub fn new(identity: Name) -> MemoryDisk {
        let (durable, stored) = (Saved::default(), Saved::default());
        let (fail_store, fail_sync, stopped) = (false, false, false);
        let log_bytes = 0;
        let state = State { identity, durable, stored, log_bytes, fail_store, fail_sync, stopped };
        MemoryDisk { state: Arc::new(Mutex::new(state)) }
    }

    /// Makes the next store fail, as on a full disk.
    pub fn fail_store(&self) {
        self.state().fail_store = true;
    }

    /// Makes the next sync fail and lose the unsynced state.
    pub fn fail_sync(&self) {
        self.state().fail_sync = true;
    }

    /// Resets the disk as after a power loss: unsynced state is lost, and operations work again.
    pub fn crash(&self) {
        let mut state = self.state();
        state.stored = state.durable.clone();
        state.log_bytes = total_size(&state.stored.entries);
        state.stopped = false;
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn running_state(&self) -> Result<MutexGuard<'_, State>> {
        let state = self.state();
        if state.stopped { Err(Kind::Stopped.into()) } else { Ok(state) }
    }
}

impl State {
    fn stop_with_error(&mut self, text: &str) -> Error {
        self.stopped = true;
        Error::file(&PathBuf::from("memory"))(std::io::Error::other(text))
    }
}

impl Disk for MemoryDisk {
    fn load(&mut self) -> Result<Loaded> {
        let state = self.running_state()?;
        let (identity, saved) = (state.identity.clone(), state.stored.clone());
        Ok(Loaded { identity, saved, discarded: 0 })
    }

    fn store(&mut self, ready: &Ready) -> Result<()> {
        let mut state = self.running_state()?;
        if std::mem::take(&mut state.fail_store) {
            return Err(state.stop_with_error("disk full"));
        }
        let stored = &mut state.stored;
        if let Some(vote) = &ready.vote {
            stored.vote = vote.clone();
        }
        if let Some(snapshot) = &ready.snapshot {
            stored.entries.clear();
            stored.snapshot = Some(snapshot.clone());
        }
        if let Some(index) = ready.truncate {
            stored.entries.retain(|e| e.index < index);
        }
        stored.entries.extend(ready.append.iter().cloned());
        // Entries that are no longer in effect count until the next snapshot, as in a file.
        state.log_bytes += total_size(&ready.append);
        Ok(())
    }

    fn sync(&mut self) -> Result<()> {
        let mut state = self.running_state()?;
        if std::mem::take(&mut state.fail_sync) {
            state.stored = state.durable.clone();
            return Err(state.stop_with_error("sync failed"));
        }
        state.durable = state.stored.clone();
        Ok(())
    }

    fn begin_compaction(&mut self, snapshot: &Snapshot) -> Result<bool> {
        self.compact(snapshot)?;
        Ok(true)
    }

    fn continue_compaction(&mut self) -> Result<bool> {
        self.running_state().map(|_| true)
    }

    fn compact(&mut self, snapshot: &Snapshot) -> Result<()> {
        self.sync()?;
        let mut state = self.running_state()?;
        state.stored.entries.retain(|e| e.index > snapshot.index);
        state.stored.snapshot = Some(snapshot.clone());
        state.log_bytes = total_size(&state.stored.entries);
        state.durable = state.stored.clone();
        Ok(())
    }

    fn log_bytes(&self) -> u64 {
        self.state().log_bytes as u64
    }
}

fn total_size(entries: &[Entry]) -> usize {
    entries.iter().map(ByteSize::byte_size).sum()
}
