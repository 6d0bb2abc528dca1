//! Compaction of the log of a control member: when a snapshot replaces it, and in which steps.
//!
//! A compaction takes several syncs. In a row they may exceed the leader lease on a slow disk, so
//! each step of the member does one of them, and one that has stored something leaves it to a later
//! step, as long as the log does not grow much meanwhile.

use auburnlug_coordination::raft::Snapshot;
use auburnlug_state::{Index, limits};

use crate::{Result, disk::Disk};

/// Number of log entries after which a snapshot replaces them, if they are small: their number counts
/// for the time of a start.
const SNAPSHOT_INTERVAL_ENTRIES: u64 = 2_000;

/// Part of the limit of the log that may be written before a compaction no longer waits for a step
/// that stores nothing.
const POSTPONED_LOG_DIVISOR: u64 = 8;

/// Last snapshot of a member, and the compaction in progress.
#[derive(Debug)]
pub(crate) struct Compactor {
    /// Index of the last snapshot.
    index: Index,
    /// Bytes of the last snapshot.
    snapshot_bytes: usize,
    /// Bytes of the stored log that the last snapshot left, as far as entries that are not committed
    /// may take them.
    uncovered_bytes: u64,
    pending: Option<Compaction>,
}

/// A snapshot that is replacing the log.
#[derive(Debug)]
struct Compaction {
    snapshot: Snapshot,
    /// Whether the disk has started to write it.
    begun: bool,
    /// Bytes written since the former snapshot when the last part was done.
    written: u64,
}

/// Result of a step of a compaction.
#[derive(Debug)]
pub(crate) enum Progress {
    /// Nothing is left to do in this step.
    Pending,
    /// The disk has no space for the snapshot, which is given up.
    NoSpace,
    /// The snapshot is durable and the log that it covers is removed.
    Complete(Snapshot),
}

impl Compactor {
    /// Starts with the last snapshot: its index and its size in bytes.
    pub(crate) fn new(index: Index, snapshot_bytes: usize) -> Compactor {
        Compactor { index, snapshot_bytes, uncovered_bytes: 0, pending: None }
    }

    /// Bytes of the last snapshot.
    pub(crate) fn snapshot_bytes(&self) -> usize {
        self.snapshot_bytes
    }

    /// Whether a snapshot should replace the log, which takes `log_bytes` and is applied up to
    /// `applied`.
    pub(crate) fn is_due(&self, applied: Index, log_bytes: u64) -> bool {
        let entries = applied.saturating_sub(self.index);
        let is_large = self.written(log_bytes) > self.log_limit();
        let is_enough = entries > 0 && (is_large || entries >= SNAPSHOT_INTERVAL_ENTRIES);
        is_enough && self.pending.is_none()
    }

    /// Starts to replace the log by a snapshot.
    pub(crate) fn begin(&mut self, snapshot: Snapshot, log_bytes: u64) {
        let written = self.written(log_bytes);
        self.pending = Some(Compaction { snapshot, begun: false, written });
    }

    /// Does the next part of the compaction, unless it can wait because the step has `stored`
    /// something.
    ///
    /// # Errors
    ///
    /// The disk failed.
    pub(crate) fn advance(&mut self, disk: &mut dyn Disk, stored: bool) -> Result<Progress> {
        let (written, limit) = (self.written(disk.log_bytes()), self.log_limit());
        let Some(compaction) = &mut self.pending else { return Ok(Progress::Pending) };
        if stored && written < compaction.written + limit / POSTPONED_LOG_DIVISOR {
            return Ok(Progress::Pending);
        }
        compaction.written = written;
        let mut is_complete = false;
        if compaction.begun {
            is_complete = disk.continue_compaction()?;
        } else if disk.begin_compaction(&compaction.snapshot)? {
            compaction.begun = true;
        } else {
            self.pending = None;
            return Ok(Progress::NoSpace);
        }
        while !is_complete && written > 2 * limit {
            is_complete = disk.continue_compaction()?;
        }
        let complete = self.pending.take_if(|_| is_complete);
        Ok(complete.map_or(Progress::Pending, |done| Progress::Complete(done.snapshot)))
    }

    /// Records the last snapshot, after which the log takes `log_bytes`. A compaction in progress
    /// ends: the disk has given up an older snapshot that it was writing.
    pub(crate) fn record_snapshot(&mut self, index: Index, bytes: usize, log_bytes: u64) {
        let uncovered_bytes = log_bytes.min(limits::UNCOMMITTED_BYTES as u64);
        *self = Compactor { index, snapshot_bytes: bytes, uncovered_bytes, pending: None };
    }

    /// Bytes of the log that were written since the last snapshot.
    fn written(&self, log_bytes: u64) -> u64 {
        log_bytes.saturating_sub(self.uncovered_bytes)
    }

    fn log_limit(&self) -> u64 {
        limits::log_limit(self.snapshot_bytes) as u64
    }
}
