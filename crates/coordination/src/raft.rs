//! Raft consensus among the control members, without I/O.
//!
//! The caller passes in time and messages and repeats this cycle: take [`Raft::ready`], store and
//! sync its durable part, call [`Raft::persisted`], send its messages and apply its committed
//! entries. Until `persisted` is called, `ready` returns nothing more and the member's own log does
//! not count towards the quorum, so nothing is acknowledged before it is durable.
//!
//! Leader lease: a voter that acknowledged a heartbeat refuses every vote for
//! [`Timing::vote_refusal`] after it received the heartbeat, and a restarted voter for that long
//! after its start. The leader measures a shorter time ([`Timing::lease`]) from the sending of the
//! heartbeat, so no other member can be elected while the lease is valid.
//!
//! Lost disks: a member that is known to have lost its disk ([`Raft::record_loss`]) never votes again.
//! If all other voters of two have, the one that is left is a quorum, as are two of four. It holds all
//! that was committed, since a change of the voters is committed by a quorum of the former ones, too
//! (see [`Members`]).

use std::collections::BTreeSet;

use auburnlug_state::{Command, Index, Millis, Name, Term, byte_size::ByteSize, limits};
use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::{Result, error::ErrorKind, raft_leader::LeaderState, raft_log::Log};

pub use crate::raft_message::{Entry, Members, Message, Payload, Ready, Saved, Snapshot, Vote};

/// Intervals and timeouts of the protocol, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// Interval between two heartbeats of a leader.
    pub heartbeat: Millis,
    /// Length of the leader lease, measured from the sending of a heartbeat that a majority
    /// acknowledged.
    pub lease: Millis,
    /// Time after a heartbeat for which a voter refuses votes. It exceeds the lease by the drift
    /// between two clocks over that time.
    pub vote_refusal: Millis,
    /// Shortest election timeout.
    pub election_min: Millis,
    /// Longest election timeout. A leader that reaches no majority for this long steps down.
    pub election_max: Millis,
}

impl Default for Timing {
    /// Three heartbeats fit into a lease, so that one lost message does not end it.
    fn default() -> Timing {
        Timing {
            heartbeat: 100,
            lease: 350,
            vote_refusal: 400,
            election_min: 400,
            election_max: 800,
        }
    }
}

/// One member of the Raft group.
#[derive(Debug)]
pub struct Raft {
    pub(crate) id: Name,
    pub(crate) timing: Timing,
    pub(crate) log: Log,
    pub(crate) term: Term,
    pub(crate) commit: Index,
    pub(crate) role: Role,
    pub(crate) outbox: Vec<(Name, Message)>,
    /// Latest time passed in by the caller.
    pub(crate) clock: Millis,
    /// Members that are known to have lost their disks.
    pub(crate) lost: BTreeSet<Name>,
    /// Whether lost disks are disregarded until a leader is heard from.
    disregards: bool,
    candidate: Option<Name>,
    vote_changed: bool,
    leader: Option<Name>,
    delivered: Index,
    /// Time at which the last message from a leader was received.
    last_heartbeat: Millis,
    election_deadline: Millis,
    /// Whether the next pre-vote of this member was deferred for another one.
    deferred: bool,
    rng: StdRng,
}

/// Role of a member, with the state that only this role needs.
#[derive(Debug)]
pub(crate) enum Role {
    Follower,
    /// Collects pre-votes; the set names the members that granted one.
    PreCandidate(BTreeSet<Name>),
    /// Collects votes; the set names the members that granted one.
    Candidate(BTreeSet<Name>),
    Leader(LeaderState),
}

impl Raft {
    /// Starts member `id` from `saved`. `initial` is the membership as long as the log sets none.
    ///
    /// # Errors
    /// If the timing does not protect the leader lease or `saved` is inconsistent.
    pub fn new(
        id: Name,
        initial: Members,
        saved: Saved,
        timing: Timing,
        seed: u64,
        now: Millis,
    ) -> Result<Raft> {
        let Timing { heartbeat, lease, vote_refusal, election_min, election_max } = timing;
        if heartbeat == 0
            || heartbeat >= lease
            || lease >= vote_refusal
            || vote_refusal > election_min
            || election_min > election_max
        {
            return Err(ErrorKind::Timing(lease, vote_refusal, election_min).into());
        }
        let vote = saved.vote.clone();
        let log = Log::new(initial, saved)?;
        let commit = log.start();
        let mut raft = Raft {
            id,
            timing,
            log,
            term: vote.term,
            commit,
            role: Role::Follower,
            outbox: Vec::new(),
            clock: now,
            lost: BTreeSet::new(),
            disregards: false,
            candidate: vote.candidate,
            vote_changed: false,
            leader: None,
            delivered: commit,
            // The member may have acknowledged a heartbeat just before it restarted.
            last_heartbeat: now,
            election_deadline: 0,
            deferred: false,
            rng: StdRng::seed_from_u64(seed),
        };
        raft.reset_election_deadline();
        Ok(raft)
    }

    /// Leader of the current term, if one is known and was heard from within the election timeout.
    pub fn leader(&self) -> Option<&Name> {
        self.leader.as_ref()
    }

    /// Whether this member leads its term. Another member may already lead a later term.
    pub fn leads(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Index of the last committed entry.
    pub fn commit_index(&self) -> Index {
        self.commit
    }

    /// Index of the last entry in the log, committed or not.
    pub fn last_index(&self) -> Index {
        self.log.last()
    }

    /// Term and index of the last entry in the log, committed or not.
    pub fn last_position(&self) -> (Term, Index) {
        (self.log.last_term(), self.log.last())
    }

    /// Current term.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Current membership: the newest in the log, committed or not.
    pub fn members(&self) -> &Members {
        self.log.members()
    }

    /// Time at which the last message from a leader was received; the start of this member before
    /// the first one.
    pub fn last_heartbeat(&self) -> Millis {
        self.last_heartbeat
    }

    /// Whether lost disks are disregarded at present; see [`Raft::disregard_losses`].
    pub fn disregards_losses(&self) -> bool {
        self.disregards
    }

    /// Members that are known to have lost their disks.
    pub fn lost(&self) -> &BTreeSet<Name> {
        &self.lost
    }

    /// Records that a member has lost its disk for good, so that it never votes or acknowledges
    /// again; returns whether this is new. Names outside the membership are not kept.
    pub fn record_loss(&mut self, name: &Name) -> bool {
        self.forget_removed();
        let members = self.log.members();
        let is_other = *name != self.id && members.all().any(|member| member == name);
        let is_new = is_other && !self.disregards && self.lost.insert(name.clone());
        if is_new {
            self.advance();
        }
        is_new
    }

    /// Forgets losses of members that have been removed: one that returns with its disk after all joins
    /// as any other.
    fn forget_removed(&mut self) {
        let members = self.log.members();
        self.lost.retain(|lost| members.all().any(|member| member == lost));
    }

    /// Disregards lost disks until a leader is heard from, and steps down if this member leads by
    /// them alone: the group has gone on without this member, whose membership is outdated.
    pub fn disregard_losses(&mut self) {
        if self.leads_alone() {
            self.step_down();
        }
        self.disregards = true;
        self.lost.clear();
    }

    /// Whether this member leads and is a quorum without any other voter of its group.
    pub fn leads_alone(&self) -> bool {
        let members = self.log.members();
        let alone = BTreeSet::from([self.id.clone()]);
        self.leads() && members.voters.len() > 1 && members.is_quorum(&alone, &self.lost, &self.id)
    }

    /// Advances the clock to `now` and handles the timeouts that have elapsed.
    pub fn tick(&mut self, now: Millis) {
        self.clock = self.clock.max(now);
        self.forget_removed();
        if self.leads() {
            self.tick_leader();
        } else if self.clock >= self.election_deadline {
            if self.log.members().is_voter(&self.id) {
                self.start_pre_vote();
            } else {
                // A leader that removes a learner stops sending to it without notice.
                self.leader = None;
            }
        }
    }

    /// Handles a message of member `from`.
    pub fn receive(&mut self, from: &Name, message: Message, now: Millis) {
        self.clock = self.clock.max(now);
        match message {
            Message::PreVote { term, index, last } => {
                let granted =
                    term > self.term && !self.refuses_votes() && self.is_up_to_date(index, last);
                if granted {
                    self.defer_pre_vote(from);
                }
                let term = if granted { term } else { self.term };
                self.send(from, Message::PreVoteReply { term, granted });
            }
            Message::PreVoteReply { term, granted: true } => {
                if term == self.term + 1 && matches!(self.role, Role::PreCandidate(_)) {
                    self.count_vote(from);
                }
            }
            Message::PreVoteReply { term, granted: false } => self.adopt_term(term),
            Message::RequestVote { term, index, last } => {
                self.handle_vote_request(from, term, index, last);
            }
            Message::VoteReply { term, granted } => {
                self.adopt_term(term);
                if granted && term == self.term && matches!(self.role, Role::Candidate(_)) {
                    self.count_vote(from);
                }
            }
            Message::Append { term, index, last, entries, commit, sent } => {
                if self.accept_leader(from, term, sent) {
                    let result = self.log.merge(index, last, entries, self.commit);
                    self.reply_to_append(from, result, commit, sent);
                }
            }
            Message::Install { term, snapshot, sent } => {
                if self.accept_leader(from, term, sent) {
                    self.install_snapshot(from, snapshot, sent);
                }
            }
            Message::AppendReply { term, accepted, index, sent } => {
                self.adopt_term(term);
                if term == self.term {
                    self.acknowledge(from, accepted, index, sent);
                }
            }
        }
    }

    /// Appends a command and returns its index. The command takes effect once that index is
    /// committed in this term.
    ///
    /// # Errors
    /// If this member is not the leader, in which case the error names the leader if it is known, or
    /// if there is no room for the command.
    pub fn propose(&mut self, command: Command, now: Millis) -> Result<Index> {
        self.clock = self.clock.max(now);
        self.require_leader()?;
        if !self.has_room(command.byte_size()) {
            return Err(ErrorKind::Full(self.uncommitted_bytes()).into());
        }
        Ok(self.log.push(self.term, Payload::Command(command)))
    }

    /// Whether a command of `bytes` may be appended to what is not committed yet. Small commands
    /// always may, as may a command of any size that is the only large one.
    pub fn has_room(&self, bytes: usize) -> bool {
        let uncommitted = self.uncommitted_bytes();
        bytes <= limits::SMALL_COMMAND_BYTES
            || uncommitted <= limits::SMALL_COMMAND_BYTES
            || uncommitted + bytes <= limits::UNCOMMITTED_BYTES
    }

    fn uncommitted_bytes(&self) -> usize {
        self.log.bytes(self.commit + 1, self.log.last())
    }

    /// Takes the pending work; empty while the sync of earlier work is not confirmed.
    pub fn ready(&mut self) -> Ready {
        let mut ready = Ready::default();
        if self.log.sync_pending() {
            return ready;
        }
        self.replicate();
        if std::mem::take(&mut self.vote_changed) {
            ready.vote = Some(Vote { term: self.term, candidate: self.candidate.clone() });
        }
        self.log.take_unstored(&mut ready);
        ready.messages = std::mem::take(&mut self.outbox);
        let count = usize::try_from(self.commit - self.delivered).unwrap_or(usize::MAX);
        let committed = self.log.batch(self.delivered + 1, count, limits::APPLY_BATCH_BYTES);
        ready.committed = committed.to_vec();
        self.delivered += ready.committed.len() as Index;
        ready
    }

    /// Whether committed entries are left that [`Raft::ready`] has not returned.
    pub fn has_undelivered(&self) -> bool {
        self.delivered < self.commit
    }

    /// Confirms that the durable part of the last [`Raft::ready`] is synced to disk.
    pub fn persisted(&mut self) {
        self.log.persisted();
        self.advance();
    }

    /// Creates a snapshot from the encoded state machine `data`, which has applied the entries up
    /// to `index`.
    ///
    /// # Errors
    /// If `index` was not returned as committed or the last snapshot covers it.
    pub fn snapshot(&self, index: Index, data: Vec<u8>) -> Result<Snapshot> {
        let covered = self.log.snapshot().map_or(0, |s| s.index);
        match self.log.term(index) {
            Some(term) if index > covered && index <= self.delivered => {
                let members = self.log.members_at(index).1.clone();
                Ok(Snapshot { index, term, members, data })
            }
            _ => Err(ErrorKind::Snapshot(index).into()),
        }
    }

    /// Removes log entries that a durable snapshot covers; see [`Raft::snapshot`].
    ///
    /// # Errors
    /// If the snapshot does not match the log.
    pub fn compact(&mut self, snapshot: Snapshot) -> Result<()> {
        let covered = self.log.snapshot().map_or(0, |s| s.index);
        let known = self.log.term(snapshot.index) == Some(snapshot.term);
        if !known || snapshot.index <= covered || snapshot.index > self.delivered {
            return Err(ErrorKind::Snapshot(snapshot.index).into());
        }
        self.log.compact(snapshot);
        Ok(())
    }

    pub(crate) fn send(&mut self, to: &Name, message: Message) {
        self.outbox.push((to.clone(), message));
    }

    pub(crate) fn require_leader(&mut self) -> Result<&mut LeaderState> {
        match &mut self.role {
            Role::Leader(leader) => Ok(leader),
            _ => Err(ErrorKind::NotLeader(self.leader.clone()).into()),
        }
    }

    /// Becomes a follower without a known leader.
    pub(crate) fn step_down(&mut self) {
        self.role = Role::Follower;
        self.leader = None;
        self.reset_election_deadline();
    }

    /// Adopts `term` if it is higher than the current one.
    fn adopt_term(&mut self, term: Term) {
        if term > self.term {
            self.term = term;
            self.candidate = None;
            self.vote_changed = true;
            self.step_down();
        }
    }

    fn reset_election_deadline(&mut self) {
        let Timing { election_min, election_max, .. } = self.timing;
        self.election_deadline = self.clock + self.rng.random_range(election_min..=election_max);
    }

    /// Whether votes are refused because a leader has been active, or may have been.
    fn refuses_votes(&self) -> bool {
        self.leads() || self.clock < self.last_heartbeat + self.timing.vote_refusal
    }

    /// Whether a log that ends at (`index`, `last`) is at least as up to date as this one.
    fn is_up_to_date(&self, index: Index, last: Term) -> bool {
        (last, index) >= (self.log.last_term(), self.log.last())
    }

    /// Asks for pre-votes. These do not raise the term, so a member that was partitioned for long
    /// returns with its old term and does not depose the leader. As they change nothing at other
    /// members, they are repeated sooner than an election: voters refuse them for a while after
    /// their start, and members whose log is behind never win.
    fn start_pre_vote(&mut self) {
        self.leader = None;
        self.deferred = false;
        self.role = Role::PreCandidate(BTreeSet::new());
        let heartbeat = self.timing.heartbeat;
        let retry_delay = self.rng.random_range(heartbeat..=2 * heartbeat);
        self.election_deadline = self.clock + retry_delay;
        let (index, last) = (self.log.last(), self.log.last_term());
        self.send_to_voters(&Message::PreVote { term: self.term + 1, index, last });
        self.count_vote(&self.id.clone());
    }

    /// Leaves the election to a member that was granted a pre-vote, so that the two do not split the
    /// votes. Happens once for each pre-vote of this member, as the other one may never win.
    fn defer_pre_vote(&mut self, other: &Name) {
        if matches!(self.role, Role::PreCandidate(_)) && *other < self.id {
            self.role = Role::Follower;
        }
        if !std::mem::replace(&mut self.deferred, true) {
            let pause = 2 * self.timing.heartbeat;
            self.election_deadline = self.election_deadline.max(self.clock + pause);
        }
    }

    fn start_election(&mut self) {
        self.adopt_term(self.term + 1);
        self.candidate = Some(self.id.clone());
        self.role = Role::Candidate(BTreeSet::new());
        let (index, last) = (self.log.last(), self.log.last_term());
        self.send_to_voters(&Message::RequestVote { term: self.term, index, last });
        self.count_vote(&self.id.clone());
    }

    fn send_to_voters(&mut self, message: &Message) {
        let members = self.log.members().clone();
        for voter in members.all_voters().cloned() {
            if voter != self.id {
                self.send(&voter, message.clone());
            }
        }
    }

    /// Counts a vote or pre-vote. Only those of voters count towards the quorum.
    fn count_vote(&mut self, from: &Name) {
        let members = self.log.members();
        match &mut self.role {
            Role::PreCandidate(granted) => {
                granted.insert(from.clone());
                if members.is_quorum(granted, &self.lost, &self.id) {
                    self.start_election();
                }
            }
            Role::Candidate(granted) => {
                granted.insert(from.clone());
                if members.is_quorum(granted, &self.lost, &self.id) {
                    self.leader = Some(self.id.clone());
                    self.become_leader();
                }
            }
            Role::Follower | Role::Leader(_) => {}
        }
    }

    fn handle_vote_request(&mut self, from: &Name, term: Term, index: Index, last: Term) {
        // Real votes are refused too: a request that was delayed after its pre-vote could
        // otherwise elect a second leader within the lease of the first.
        if term > self.term && !self.refuses_votes() {
            self.adopt_term(term);
        }
        let available = self.candidate.as_ref().is_none_or(|c| c == from);
        let granted = term == self.term
            && !self.refuses_votes()
            && available
            && matches!(self.role, Role::Follower | Role::PreCandidate(_))
            && self.is_up_to_date(index, last);
        if granted {
            self.vote_changed |= self.candidate.is_none();
            self.candidate = Some(from.clone());
            self.role = Role::Follower;
            self.reset_election_deadline();
        }
        self.send(from, Message::VoteReply { term: self.term, granted });
    }

    /// Accepts `from` as the leader of `term`, or rejects its message if the term is outdated.
    fn accept_leader(&mut self, from: &Name, term: Term, sent: Millis) -> bool {
        if term < self.term || (self.leads() && term == self.term) {
            let index = self.commit;
            let term = self.term;
            self.send(from, Message::AppendReply { term, accepted: false, index, sent });
            return false;
        }
        self.adopt_term(term);
        self.role = Role::Follower;
        self.disregards = false;
        self.leader = Some(from.clone());
        self.last_heartbeat = self.clock;
        self.reset_election_deadline();
        true
    }

    fn reply_to_append(
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

    fn install_snapshot(&mut self, from: &Name, snapshot: Snapshot, sent: Millis) {
        let index = snapshot.index;
        if index > self.commit {
            // This member may have acknowledged entries after a matching one, so they stay.
            if self.log.term(index) != Some(snapshot.term) {
                self.log.replace(snapshot);
                self.delivered = index;
            }
            self.commit = index;
        }
        self.reply_to_append(from, Ok(index), index, sent);
    }
}
