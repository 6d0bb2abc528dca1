//! The log of one member as far as it is kept in memory, and what of it still has to be stored.

use auburnlug_state::{Index, Name, Term};

use crate::{
    Result,
    error::Kind,
    raft_message::{Entry, Members, Payload, Ready, Saved, Snapshot},
};

/// Entries kept behind a snapshot, so that a member slightly behind needs no snapshot.
const KEEP: Index = 128;

/// Log, last snapshot and the membership that they give.
#[derive(Debug)]
pub(crate) struct Log {
    initial: Members,
    snapshot: Option<Snapshot>,
    /// Entry before the first one kept.
    start: Index,
    start_term: Term,
    entries: Vec<Entry>,
    members: Members,
    /// Entry that set the membership; 0 if the log does not hold it.
    changed: Index,
    install: bool,
    truncate: Option<Index>,
    /// Last entry handed to the caller to be stored.
    handed: Index,
    /// Last entry known to be durable.
    stable: Index,
    /// Last entry of the work that the caller is storing.
    flight: Option<Index>,
}

impl Log {
    /// Log of a member that starts with `saved`.
    ///
    /// # Errors
    /// If entries are not consecutive or terms decrease.
    pub(crate) fn new(initial: Members, saved: Saved) -> Result<Log> {
        let start = saved.snapshot.as_ref().map_or(0, |s| s.index);
        let start_term = saved.snapshot.as_ref().map_or(0, |s| s.term);
        let (mut index, mut term) = (start, start_term);
        for entry in &saved.entries {
            if entry.index != index + 1 {
                return Err(Kind::Saved(entry.index, "entries are not consecutive").into());
            }
            if entry.term < term {
                return Err(
                    Kind::Saved(entry.index, "its term is lower than the one before").into()
                );
            }
            (index, term) = (entry.index, entry.term);
        }
        if saved.vote.term < term {
            return Err(Kind::Saved(index, "its term is higher than the saved term").into());
        }
        let mut log = Log {
            initial,
            snapshot: saved.snapshot,
            start,
            start_term,
            entries: saved.entries,
            members: Members::default(),
            changed: 0,
            install: false,
            truncate: None,
            handed: index,
            stable: index,
            flight: None,
        };
        log.refresh();
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

    pub(crate) fn changed(&self) -> Index {
        self.changed
    }

    pub(crate) fn snapshot(&self) -> Option<&Snapshot> {
        self.snapshot.as_ref()
    }

    pub(crate) fn last(&self) -> Index {
        self.start + self.entries.len() as Index
    }

    pub(crate) fn last_term(&self) -> Term {
        self.entries.last().map_or(self.start_term, |e| e.term)
    }

    /// Term of an entry; `None` if it is not kept.
    pub(crate) fn term(&self, index: Index) -> Option<Term> {
        if index == self.start { Some(self.start_term) } else { self.get(index).map(|e| e.term) }
    }

    /// Up to `limit` entries from `first` on.
    pub(crate) fn slice(&self, first: Index, limit: usize) -> &[Entry] {
        let at = self.offset(first).min(self.entries.len());
        &self.entries[at..self.entries.len().min(at.saturating_add(limit))]
    }

    /// Appends one entry of the leader itself.
    pub(crate) fn push(&mut self, term: Term, payload: Payload) -> Index {
        let index = self.last() + 1;
        self.add(Entry { index, term, payload });
        index
    }

    /// Adds a leader's entries after (`index`, `term`); conflicting entries are removed.
    ///
    /// Returns the last agreed entry, or `Err` with the entry after which the leader should try.
    pub(crate) fn merge(
        &mut self,
        index: Index,
        term: Term,
        entries: Vec<Entry>,
        commit: Index,
    ) -> std::result::Result<Index, Index> {
        // Everything up to the commit index agrees with every leader, kept or not.
        if index > commit && self.term(index) != Some(term) {
            return Err(self.hint(index, commit));
        }
        let end = index.saturating_add(entries.len() as Index);
        if !entries.iter().map(|e| e.index).eq(index.saturating_add(1)..=end) {
            return Err(commit);
        }
        for entry in entries {
            if entry.index <= commit || self.term(entry.index) == Some(entry.term) {
                continue;
            }
            self.cut(entry.index);
            self.add(entry);
        }
        Ok(end.max(commit.min(self.last())))
    }

    /// Replaces everything by `snapshot`.
    pub(crate) fn replace(&mut self, snapshot: Snapshot) {
        self.start = snapshot.index;
        self.start_term = snapshot.term;
        self.entries.clear();
        self.truncate = None;
        self.handed = snapshot.index;
        self.stable = snapshot.index;
        // What the caller is storing at the moment belongs to the log that is gone.
        self.flight = self.flight.map(|_| 0);
        self.snapshot = Some(snapshot);
        self.install = true;
        self.refresh();
    }

    /// Drops entries that `snapshot` covers, but for the last few.
    pub(crate) fn compact(&mut self, snapshot: Snapshot) {
        let start = snapshot.index.saturating_sub(KEEP).max(self.start);
        self.start_term = self.term(start).unwrap_or(self.start_term);
        self.entries.drain(..self.offset(start + 1).min(self.entries.len()));
        self.start = start;
        self.snapshot = Some(snapshot);
        self.refresh();
    }

    /// Membership in force at an entry not older than the last snapshot.
    pub(crate) fn members_at(&self, index: Index) -> (Index, &Members) {
        let covered = self.snapshot.as_ref().map_or(0, |s| s.index);
        let newest = self.entries.iter().rev().filter(|e| e.index <= index && e.index > covered);
        for entry in newest {
            if let Payload::Members(members) = &entry.payload {
                return (entry.index, members);
            }
        }
        (0, self.snapshot.as_ref().map_or(&self.initial, |s| &s.members))
    }

    /// Whether `name` votes.
    pub(crate) fn votes(&self, name: &Name) -> bool {
        self.members.voters.contains(name)
    }

    /// Whether the caller has not yet confirmed the last work.
    pub(crate) fn busy(&self) -> bool {
        self.flight.is_some()
    }

    /// Moves what has to be stored into `ready`.
    pub(crate) fn drain(&mut self, ready: &mut Ready) {
        if std::mem::take(&mut self.install) {
            ready.snapshot = self.snapshot.clone();
        }
        ready.truncate = self.truncate.take();
        ready.append = self.slice(self.handed + 1, usize::MAX).to_vec();
        self.handed = self.last();
        if ready.durable() {
            self.flight = Some(self.handed);
        }
    }

    /// Notes that the drained work is durable.
    pub(crate) fn persisted(&mut self) {
        if let Some(index) = self.flight.take() {
            self.stable = self.stable.max(index);
        }
    }

    fn offset(&self, index: Index) -> usize {
        usize::try_from(index.saturating_sub(self.start + 1)).unwrap_or(usize::MAX)
    }

    fn get(&self, index: Index) -> Option<&Entry> {
        if index <= self.start { None } else { self.entries.get(self.offset(index)) }
    }

    fn add(&mut self, entry: Entry) {
        if let Payload::Members(members) = &entry.payload {
            self.members = members.clone();
            self.changed = entry.index;
        }
        self.entries.push(entry);
    }

    fn cut(&mut self, index: Index) {
        if index > self.last() {
            return;
        }
        self.entries.truncate(self.offset(index));
        if index <= self.handed {
            self.truncate = Some(self.truncate.map_or(index, |t| t.min(index)));
            self.handed = index - 1;
        }
        self.stable = self.stable.min(index - 1);
        self.flight = self.flight.map(|f| f.min(index - 1));
        self.refresh();
    }

    /// Entry after which the leader should try: skips the whole conflicting term.
    fn hint(&self, index: Index, commit: Index) -> Index {
        let Some(term) = self.term(index) else { return self.last() };
        let mut at = index;
        while at > commit && self.term(at) == Some(term) {
            at -= 1;
        }
        at
    }

    fn refresh(&mut self) {
        let (index, members) = self.members_at(self.last());
        (self.changed, self.members) = (index, members.clone());
    }
}
