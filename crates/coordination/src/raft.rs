//! Agreement among the control members: a Raft core without I/O.
//!
//! The caller passes in time and messages and repeats this cycle: take [`Raft::ready`], store and
//! sync its durable part, call [`Raft::persisted`], send its messages and apply its committed
//! entries. Until `persisted` is called, `ready` yields nothing more and the member's own copy does
//! not count towards a majority, so nothing is acknowledged before it is durable.
//!
//! Leader lease: a voter that acknowledged a heartbeat refuses every vote for [`Timing::quiet`]
//! after it received the heartbeat, and a restarted voter for that long after its start. The leader
//! counts a shorter time ([`Timing::lease`]) from the sending of the heartbeat, so no other member
//! can be elected while its lease is valid.

use std::collections::BTreeSet;

use auburnlug_state::{Command, Index, Millis, Name, Term};
use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::{Result, error::Kind, raft_lead::Lead, raft_log::Log};

pub use crate::raft_message::{Entry, Members, Message, Payload, Ready, Saved, Snapshot, Vote};

/// Intervals of the agreement, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// Between two heartbeats of a leader.
    pub heartbeat: Millis,
    /// Leader lease, from the sending of a heartbeat that a majority acknowledged.
    pub lease: Millis,
    /// Time after a heartbeat in which a voter refuses votes; exceeds the lease by the drift of
    /// two clocks over that time.
    pub quiet: Millis,
    /// Shortest election timeout.
    pub shortest: Millis,
    /// Longest election timeout; a leader without a majority for this long steps down.
    pub longest: Millis,
}

impl Default for Timing {
    /// Three heartbeats fit into a lease, so that one lost message does not end it.
    fn default() -> Timing {
        Timing { heartbeat: 100, lease: 350, quiet: 400, shortest: 400, longest: 800 }
    }
}

/// One member of the agreement.
#[derive(Debug)]
pub struct Raft {
    pub(crate) me: Name,
    pub(crate) timing: Timing,
    pub(crate) log: Log,
    pub(crate) term: Term,
    pub(crate) commit: Index,
    pub(crate) role: Role,
    pub(crate) outbox: Vec<(Name, Message)>,
    /// Time of the last call.
    pub(crate) clock: Millis,
    candidate: Option<Name>,
    unsaved: bool,
    leader: Option<Name>,
    delivered: Index,
    /// Time of the last message from a leader.
    heard: Millis,
    deadline: Millis,
    random: StdRng,
}

/// Role of a member with what only that role keeps.
#[derive(Debug)]
pub(crate) enum Role {
    Follower,
    /// Asks for pre-votes; the names granted theirs.
    Asking(BTreeSet<Name>),
    /// Asks for votes; the names granted theirs.
    Candidate(BTreeSet<Name>),
    Leader(Lead),
}

impl Raft {
    /// Member `me` that starts with `saved`; `initial` holds if the log sets no membership.
    ///
    /// # Errors
    /// If the timings do not protect the leader lease or `saved` contradicts itself.
    pub fn new(
        me: Name,
        initial: Members,
        saved: Saved,
        timing: Timing,
        seed: u64,
        now: Millis,
    ) -> Result<Raft> {
        let Timing { heartbeat, lease, quiet, shortest, longest } = timing;
        if heartbeat == 0
            || heartbeat >= lease
            || lease >= quiet
            || quiet > shortest
            || shortest > longest
        {
            return Err(Kind::Timing(lease, quiet, shortest).into());
        }
        let vote = saved.vote.clone();
        let log = Log::new(initial, saved)?;
        let commit = log.start();
        let mut raft = Raft {
            me,
            timing,
            log,
            term: vote.term,
            commit,
            role: Role::Follower,
            outbox: Vec::new(),
            clock: now,
            candidate: vote.candidate,
            unsaved: false,
            leader: None,
            delivered: commit,
            // The member may have acknowledged a heartbeat just before it restarted.
            heard: now,
            deadline: 0,
            random: StdRng::seed_from_u64(seed),
        };
        raft.defer();
        Ok(raft)
    }

    /// Leader of the current term, if known.
    pub fn leader(&self) -> Option<&Name> {
        self.leader.as_ref()
    }

    /// Whether this member leads its term; another member may lead a later term already.
    pub fn leads(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Last committed entry.
    pub fn commit(&self) -> Index {
        self.commit
    }

    /// Last entry of the log, committed or not.
    pub fn last(&self) -> Index {
        self.log.last()
    }

    /// Current term.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Membership in force: the newest in the log, committed or not.
    pub fn members(&self) -> &Members {
        self.log.members()
    }

    /// Does what is due at `now`.
    pub fn tick(&mut self, now: Millis) {
        self.clock = self.clock.max(now);
        if self.leads() {
            self.beat();
        } else if self.clock >= self.deadline && self.log.votes(&self.me) {
            self.ask();
        }
    }

    /// Handles a message of member `from`.
    pub fn receive(&mut self, from: &Name, message: Message, now: Millis) {
        self.clock = self.clock.max(now);
        match message {
            Message::PreVote { term, index, last } => {
                let granted = term > self.term && !self.quiet() && self.newer(index, last);
                let term = if granted { term } else { self.term };
                self.send(from, Message::PreVoteReply { term, granted });
            }
            Message::PreVoteReply { term, granted: true } => {
                if term == self.term + 1 && matches!(self.role, Role::Asking(_)) {
                    self.count(from);
                }
            }
            Message::PreVoteReply { term, granted: false } => self.observe(term),
            Message::RequestVote { term, index, last } => {
                self.vote(from, term, index, last);
            }
            Message::VoteReply { term, granted } => {
                self.observe(term);
                if granted && term == self.term && matches!(self.role, Role::Candidate(_)) {
                    self.count(from);
                }
            }
            Message::Append { term, index, last, entries, commit, sent } => {
                if self.follow(from, term, sent) {
                    let result = self.log.merge(index, last, entries, self.commit);
                    self.answer(from, result, commit, sent);
                }
            }
            Message::Install { term, snapshot, sent } => {
                if self.follow(from, term, sent) {
                    self.install(from, snapshot, sent);
                }
            }
            Message::AppendReply { term, accepted, index, sent } => {
                self.observe(term);
                if term == self.term {
                    self.acknowledge(from, accepted, index, sent);
                }
            }
        }
    }

    /// Appends a command; returns its index. It holds once that index is committed in this term.
    ///
    /// # Errors
    /// If this member does not lead; the error names the leader if it is known.
    pub fn propose(&mut self, command: Command, now: Millis) -> Result<Index> {
        self.clock = self.clock.max(now);
        self.leading()?;
        Ok(self.log.push(self.term, Payload::Command(command)))
    }

    /// Work to do; empty until the last one that needed a sync was confirmed.
    pub fn ready(&mut self) -> Ready {
        let mut ready = Ready::default();
        if self.log.busy() {
            return ready;
        }
        self.replicate();
        if std::mem::take(&mut self.unsaved) {
            ready.vote = Some(Vote { term: self.term, candidate: self.candidate.clone() });
        }
        self.log.drain(&mut ready);
        ready.messages = std::mem::take(&mut self.outbox);
        let count = usize::try_from(self.commit - self.delivered).unwrap_or(usize::MAX);
        ready.committed = self.log.slice(self.delivered + 1, count).to_vec();
        self.delivered = self.commit;
        ready
    }

    /// Confirms that the durable part of the last [`Raft::ready`] is synced.
    pub fn persisted(&mut self) {
        self.log.persisted();
        self.advance();
    }

    /// Snapshot of the machine `data` that has applied the entries up to `index`.
    ///
    /// # Errors
    /// If `index` was not handed out as committed or is older than the last snapshot.
    pub fn snapshot(&self, index: Index, data: Vec<u8>) -> Result<Snapshot> {
        let covered = self.log.snapshot().map_or(0, |s| s.index);
        match self.log.term(index) {
            Some(term) if index > covered && index <= self.delivered => {
                let members = self.log.members_at(index).1.clone();
                Ok(Snapshot { index, term, members, data })
            }
            _ => Err(Kind::Snapshot(index).into()),
        }
    }

    /// Drops entries that a durable snapshot covers; see [`Raft::snapshot`].
    ///
    /// # Errors
    /// If the snapshot does not match the log.
    pub fn compact(&mut self, snapshot: Snapshot) -> Result<()> {
        let covered = self.log.snapshot().map_or(0, |s| s.index);
        let known = self.log.term(snapshot.index) == Some(snapshot.term);
        if !known || snapshot.index <= covered || snapshot.index > self.delivered {
            return Err(Kind::Snapshot(snapshot.index).into());
        }
        self.log.compact(snapshot);
        Ok(())
    }

    pub(crate) fn send(&mut self, to: &Name, message: Message) {
        self.outbox.push((to.clone(), message));
    }

    pub(crate) fn leading(&mut self) -> Result<&mut Lead> {
        match &mut self.role {
            Role::Leader(lead) => Ok(lead),
            _ => Err(Kind::NotLeader(self.leader.clone()).into()),
        }
    }

    /// Gives up any other role, without a known leader.
    pub(crate) fn yield_role(&mut self) {
        self.role = Role::Follower;
        self.leader = None;
        self.defer();
    }

    /// Adopts a higher term.
    fn observe(&mut self, term: Term) {
        if term > self.term {
            self.term = term;
            self.candidate = None;
            self.unsaved = true;
            self.yield_role();
        }
    }

    fn defer(&mut self) {
        let Timing { shortest, longest, .. } = self.timing;
        self.deadline = self.clock + self.random.random_range(shortest..=longest);
    }

    /// Whether votes are refused because a leader is, or may be, in contact.
    fn quiet(&self) -> bool {
        self.leads() || self.clock < self.heard + self.timing.quiet
    }

    /// Whether a log that ends at (`index`, `last`) has all that this one has.
    fn newer(&self, index: Index, last: Term) -> bool {
        (last, index) >= (self.log.last_term(), self.log.last())
    }

    /// Asks for pre-votes, which leave the term as it is: a member that was cut off for long
    /// returns with the term it had and does not depose the leader.
    fn ask(&mut self) {
        self.leader = None;
        self.role = Role::Asking(BTreeSet::new());
        self.defer();
        let (index, last) = (self.log.last(), self.log.last_term());
        self.poll(&Message::PreVote { term: self.term + 1, index, last });
        self.count(&self.me.clone());
    }

    fn stand(&mut self) {
        self.observe(self.term + 1);
        self.candidate = Some(self.me.clone());
        self.role = Role::Candidate(BTreeSet::new());
        let (index, last) = (self.log.last(), self.log.last_term());
        self.poll(&Message::RequestVote { term: self.term, index, last });
        self.count(&self.me.clone());
    }

    fn poll(&mut self, message: &Message) {
        for voter in self.log.members().voters.clone() {
            if voter != self.me {
                self.send(&voter, message.clone());
            }
        }
    }

    /// Counts a vote or pre-vote; only those of voters make a majority.
    fn count(&mut self, from: &Name) {
        let members = self.log.members();
        match &mut self.role {
            Role::Asking(granted) => {
                granted.insert(from.clone());
                if members.majority(granted) {
                    self.stand();
                }
            }
            Role::Candidate(granted) => {
                granted.insert(from.clone());
                if members.majority(granted) {
                    self.leader = Some(self.me.clone());
                    self.lead();
                }
            }
            Role::Follower | Role::Leader(_) => {}
        }
    }

    fn vote(&mut self, from: &Name, term: Term, index: Index, last: Term) {
        // Also real votes are refused: a request that was delayed since its pre-vote would
        // otherwise elect a second leader within the lease of the first.
        if term > self.term && !self.quiet() {
            self.observe(term);
        }
        let free = self.candidate.as_ref().is_none_or(|c| c == from);
        let granted = term == self.term
            && !self.quiet()
            && free
            && matches!(self.role, Role::Follower | Role::Asking(_))
            && self.newer(index, last);
        if granted {
            self.unsaved |= self.candidate.is_none();
            self.candidate = Some(from.clone());
            self.role = Role::Follower;
            self.defer();
        }
        self.send(from, Message::VoteReply { term: self.term, granted });
    }

    /// Accepts `from` as leader of `term`, or tells it that the term is over.
    fn follow(&mut self, from: &Name, term: Term, sent: Millis) -> bool {
        if term < self.term || (self.leads() && term == self.term) {
            let index = self.commit;
            let term = self.term;
            self.send(from, Message::AppendReply { term, accepted: false, index, sent });
            return false;
        }
        self.observe(term);
        self.role = Role::Follower;
        self.leader = Some(from.clone());
        self.heard = self.clock;
        self.defer();
        true
    }

    fn answer(
        &mut self,
        from: &Name,
        result: std::result::Result<Index, Index>,
        commit: Index,
        sent: Millis,
    ) {
        let accepted = result.is_ok();
        let (Ok(index) | Err(index)) = result;
        if accepted {
            self.commit = self.commit.max(commit.min(index));
        }
        self.send(from, Message::AppendReply { term: self.term, accepted, index, sent });
    }

    fn install(&mut self, from: &Name, snapshot: Snapshot, sent: Millis) {
        let index = snapshot.index;
        if index > self.commit {
            // Entries after a matching one may be acknowledged, so they stay.
            if self.log.term(index) != Some(snapshot.term) {
                self.log.replace(snapshot);
                self.delivered = index;
            }
            self.commit = index;
        }
        self.answer(from, Ok(index), index, sent);
    }
}
