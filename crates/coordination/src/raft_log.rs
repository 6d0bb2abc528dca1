//! The in-memory part of a member's log, and the changes to it that are not yet stored.

use auburnlug_state::{Index, Term, limits};

use crate::{
    Result,
    error::ErrorKind,
    raft_message::{Entry, Members, Payload, Ready, Saved, Snapshot},
    sized_entries::SizedEntries,
};

/// Entries kept in the log although the snapshot covers them, so that a member that is only
/// slightly behind does not need the snapshot. Fewer are kept if they are large.
const RETAINED_ENTRIES: Index = 128;

/// Log, last snapshot and the current membership.
#[derive(Debug)]
pub(crate) struct Log {
    initial: Members,
    snapshot: Option<Snapshot>,
    /// Index of the entry before the first one in `entries`.
    start: Index,
    start_term: Term,
    entries: SizedEntries,
    members: Members,
    /// Entry that set the membership; 0 if the log does not contain it.
    members_index: Index,
    /// Whether the caller still has to store the snapshot and restore the state from it.
    install: bool,
    /// First stored entry that the caller still has to remove.
    truncate: Option<Index>,
    /// Last entry passed to the caller to be stored.
    submitted: Index,
    /// Last entry known to be durable.
    stable: Index,
    /// Last entry of the work that the caller is storing at the moment.
    in_flight: Option<Index>,
}

impl Log {
    /// Restores the log of a member from `saved`.
    ///
    /// # Errors
    /// If entries are not consecutive, their terms decrease, or a term exceeds the saved one.
    pub(crate) fn new(initial: Members, saved: Saved) -> Result<Log> {
        let start = saved.snapshot.as_ref().map_or(0, |s| s.index);
        let start_term = saved.snapshot.as_ref().map_or(0, |s| s.term);
        let (mut index, mut term) = (start, start_term);
        for entry in &saved.entries {
            if entry.index != index + 1 {
                return Err(ErrorKind::Saved(entry.index, "entries are not consecutive").into());
            }
            if entry.term < term {
                return Err(ErrorKind::Saved(
                    entry.index,
                    "its term is lower than that of the previous entry",
                )
                .into());
            }
            (index, term) = (entry.index, entry.term);
        }
        if saved.vote.term < term {
            return Err(ErrorKind::Saved(index, "its term is higher than the saved term").into());
        }
        let mut log = Log {
            initial,
            snapshot: saved.snapshot,
            start,
            start_term,
            entries: saved.entries.into(),
            members: Members::default(),
            members_index: 0,
            install: false,
            truncate: None,
            submitted: index,
            stable: index,
            in_flight: None,
        };
        log.refresh_members();
        Ok(log)
    }

    pub(crate) fn start(&self) -> Index {
        self.start
    }

    pub(crate) fn stable(&self) -> Index {
        self.stable
    }

    pub(crate) fn members(&self) -> &Members {
        &self.members
    }

    pub(crate) fn members_index(&self) -> Index {
        self.members_index
    }

    pub(crate) fn snapshot(&self) -> Option<&Snapshot> {
        self.snapshot.as_ref()
    }

    pub(crate) fn last(&self) -> Index {
        self.start + self.entries().len() as Index
    }

    pub(crate) fn last_term(&self) -> Term {
        self.entries().last().map_or(self.start_term, |e| e.term)
    }

    /// Term of an entry; `None` if the entry is not in the log.
    pub(crate) fn term(&self, index: Index) -> Option<Term> {
        if index == self.start { Some(self.start_term) } else { self.get(index).map(|e| e.term) }
    }

    /// Up to `count` entries, starting at `first`, that have at most `limit` bytes together, but at
    /// least one if there is any.
    pub(crate) fn batch(&self, first: Index, count: usize, limit: usize) -> &[Entry] {
        self.entries.batch(self.offset(first), count, limit)
    }

    /// Appends an entry that this member proposes as the leader.
    pub(crate) fn push(&mut self, term: Term, payload: Payload) -> Index {
        let index = self.last() + 1;
        self.append(Entry { index, term, payload });
        index
    }

    /// Appends a leader's entries after (`index`, `term`) and removes entries that conflict with
    /// them.
    ///
    /// Returns the last entry that matches the leader's log, or `Err` with the entry after which
    /// the leader should retry.
    pub(crate) fn merge(
        &mut self,
        index: Index,
        term: Term,
        entries: Vec<Entry>,
        commit: Index,
    ) -> std::result::Result<Index, Index> {
        // Entries up to the commit index match the log of every leader, even if they are no longer
        // in memory.
        if index > commit && self.term(index) != Some(term) {
            return Err(self.conflict_hint(index, commit));
        }
        let end = index.saturating_add(entries.len() as Index);
        if !entries.iter().map(|e| e.index).eq(index.saturating_add(1)..=end) {
            return Err(commit);
        }
        for entry in entries {
            if entry.index <= commit || self.term(entry.index) == Some(entry.term) {
                continue;
            }
            self.truncate_from(entry.index);
            self.append(entry);
        }
        Ok(end.max(commit.min(self.last())))
    }

    /// Replaces the whole log by `snapshot`.
    pub(crate) fn replace(&mut self, snapshot: Snapshot) {
        self.start = snapshot.index;
        self.start_term = snapshot.term;
        self.entries = SizedEntries::default();
        self.truncate = None;
        self.submitted = snapshot.index;
        self.stable = snapshot.index;
        // The work that the caller is storing at the moment belongs to the discarded log.
        self.in_flight = self.in_flight.map(|_| 0);
        self.snapshot = Some(snapshot);
        self.install = true;
        self.refresh_members();
    }

    /// Removes entries that `snapshot` covers, except for the last [`RETAINED_ENTRIES`], as far as
    /// they are no larger than [`limits::retained_limit`].
    pub(crate) fn compact(&mut self, snapshot: Snapshot) {
        let limit = limits::retained_limit(snapshot.data.len());
        let mut start = snapshot.index.saturating_sub(RETAINED_ENTRIES).max(self.start);
        while start < snapshot.index && self.bytes(start + 1, snapshot.index) > limit {
            start += 1;
        }
        self.start_term = self.term(start).unwrap_or(self.start_term);
        self.entries.remove_front(self.offset(start + 1));
        self.start = start;
        self.snapshot = Some(snapshot);
        self.refresh_members();
    }

    /// Membership in effect at an entry that is not older than the last snapshot, and the index of
    /// the entry that set it.
    pub(crate) fn members_at(&self, index: Index) -> (Index, &Members) {
        let covered = self.snapshot.as_ref().map_or(0, |s| s.index);
        let newest = self.entries().iter().rev().filter(|e| e.index <= index && e.index > covered);
        for entry in newest {
            if let Payload::Members(members) = &entry.payload {
                return (entry.index, members);
            }
        }
        (0, self.snapshot.as_ref().map_or(&self.initial, |s| &s.members))
    }

    /// Whether the caller has not yet confirmed that the last work is durable.
    pub(crate) fn sync_pending(&self) -> bool {
        self.in_flight.is_some()
    }

    /// Moves all changes that must be stored into `ready`.
    pub(crate) fn take_unstored(&mut self, ready: &mut Ready) {
        if std::mem::take(&mut self.install) {
            ready.snapshot = self.snapshot.clone();
        }
        ready.truncate = self.truncate.take();
        ready.append = self.batch(self.submitted + 1, usize::MAX, usize::MAX).to_vec();
        self.submitted = self.last();
        if ready.needs_sync() {
            self.in_flight = Some(self.submitted);
        }
    }

    /// Records that the work taken last is durable.
    pub(crate) fn persisted(&mut self) {
        if let Some(index) = self.in_flight.take() {
            self.stable = self.stable.max(index);
        }
    }

    /// Bytes of the entries from `first` to `last` that are in the log.
    pub(crate) fn bytes(&self, first: Index, last: Index) -> usize {
        self.entries.bytes(self.offset(first), self.offset(last.saturating_add(1)))
    }

    fn entries(&self) -> &[Entry] {
        self.entries.as_slice()
    }

    fn offset(&self, index: Index) -> usize {
        usize::try_from(index.saturating_sub(self.start + 1)).unwrap_or(usize::MAX)
    }

    fn get(&self, index: Index) -> Option<&Entry> {
        if index <= self.start { None } else { self.entries().get(self.offset(index)) }
    }

    fn append(&mut self, entry: Entry) {
        if let Payload::Members(members) = &entry.payload {
            self.members = members.clone();
            self.members_index = entry.index;
        }
        self.entries.push(entry);
    }

    fn truncate_from(&mut self, index: Index) {
        if index > self.last() {
            return;
        }
        self.entries.truncate(self.offset(index));
        if index <= self.submitted {
            self.truncate = Some(self.truncate.map_or(index, |t| t.min(index)));
            self.submitted = index - 1;
        }
        self.stable = self.stable.min(index - 1);
        self.in_flight = self.in_flight.map(|f| f.min(index - 1));
        self.refresh_members();
    }

    /// Entry after which the leader should retry. Skips the whole conflicting term.
    fn conflict_hint(&self, index: Index, commit: Index) -> Index {
        let Some(term) = self.term(index) else { return self.last() };
        let mut at = index;
        while at > commit && self.term(at) == Some(term) {
            at -= 1;
        }
        at
    }

    fn refresh_members(&mut self) {
        let (index, members) = self.members_at(self.last());
        (self.members_index, self.members) = (index, members.clone());
    }
}
