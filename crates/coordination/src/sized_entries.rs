//! Consecutive log entries whose sizes add up in constant time.

use auburnlug_state::{byte_size::ByteSize, limits};

use crate::raft_message::Entry;

/// Entries with the total size up to each of them.
#[derive(Debug, Default)]
pub(crate) struct SizedEntries {
    entries: Vec<Entry>,
    /// Bytes of all entries up to each one, counted from an earlier entry than the first.
    totals: Vec<u64>,
    /// Bytes before the first entry in these totals.
    removed: u64,
}

impl From<Vec<Entry>> for SizedEntries {
    fn from(entries: Vec<Entry>) -> SizedEntries {
        let mut sized = SizedEntries::default();
        entries.into_iter().for_each(|entry| sized.push(entry));
        sized
    }
}

impl SizedEntries {
    pub(crate) fn as_slice(&self) -> &[Entry] {
        &self.entries
    }

    pub(crate) fn push(&mut self, entry: Entry) {
        self.totals.push(self.total(self.entries.len()) + entry.byte_size() as u64);
        self.entries.push(entry);
    }

    /// Keeps the first `count` entries.
    pub(crate) fn truncate(&mut self, count: usize) {
        self.entries.truncate(count);
        self.totals.truncate(count);
    }

    /// Removes the first `count` entries.
    pub(crate) fn remove_front(&mut self, count: usize) {
        let count = count.min(self.entries.len());
        self.removed = self.total(count);
        self.entries.drain(..count);
        self.totals.drain(..count);
    }

    /// Bytes of the entries from offset `first` up to, but not including, offset `end`.
    pub(crate) fn bytes(&self, first: usize, end: usize) -> usize {
        let size = self.total(end).saturating_sub(self.total(first));
        usize::try_from(size).unwrap_or(usize::MAX)
    }

    /// Up to `count` entries from offset `first` on that have at most `limit` bytes together, but at
    /// least one if there is any.
    pub(crate) fn batch(&self, first: usize, count: usize, limit: usize) -> &[Entry] {
        let first = first.min(self.entries.len());
        let count = count.min(self.entries.len() - first);
        let sizes = (first..first + count).map(|offset| self.bytes(offset, offset + 1));
        &self.entries[first..first + limits::count_within(sizes, limit)]
    }

    /// Bytes up to, but not including, an offset; those of all entries if it lies behind them.
    fn total(&self, offset: usize) -> u64 {
        let last = offset.min(self.totals.len()).checked_sub(1);
        last.map_or(self.removed, |last| self.totals[last])
    }
}
