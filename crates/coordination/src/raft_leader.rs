//! The part of Raft that only the leader runs: replication, commit, lease and membership changes.

use std::collections::{BTreeMap, BTreeSet};

use auburnlug_state::{Index, Millis, Name, limits};

use crate::{
    Result,
    error::ErrorKind,
    membership::Progress,
    raft::{Raft, Role},
    raft_log::Log,
    raft_message::{Members, Message, Payload},
};

/// Entries in one message; large ones are bounded by [`limits::MESSAGE_BYTES`].
const MAX_ENTRIES_PER_MESSAGE: usize = 64;

/// Entries that are in flight to a member, sent but not yet acknowledged; large ones are bounded by
/// [`limits::IN_FLIGHT_BYTES`].
const MAX_IN_FLIGHT_ENTRIES: Index = 1024;

/// State that a member keeps while it leads.
#[derive(Debug)]
pub(crate) struct LeaderState {
    elected: Millis,
    /// Time at which heartbeats were last due.
    heartbeat: Millis,
    peers: BTreeMap<Name, Peer>,
}

/// Replication state of another member.
#[derive(Debug)]
struct Peer {
    /// Last entry that is known to be durable on the member.
    matched: Index,
    /// Next entry to send.
    next: Index,
    /// First entry that was sent and is not acknowledged; `next` if there is none.
    unacknowledged: Index,
    /// Last index of the leader when it started to track the member; a learner must reach it before
    /// it may vote. The commit index would not do: a leader that has just restarted knows none.
    target: Index,
    /// Commit index last sent to the member.
    sent_commit: Index,
    /// Time since which the member is tracked.
    since: Millis,
    /// Sending time of the latest message that the member acknowledged.
    acknowledged: Option<Millis>,
    /// Time at which the last acknowledgement arrived.
    heard: Option<Millis>,
    /// Time at which `next` was last moved back.
    rewound_at: Millis,
    /// Time at which a snapshot was sent, while it is not acknowledged.
    snapshot_sent: Option<Millis>,
    /// Whether a message must be sent even without entries.
    message_due: bool,
}

impl Raft {
    /// Whether the leader lease is valid: a quorum has acknowledged a heartbeat recently enough
    /// that no other member can have been elected.
    ///
    /// Requires a committed entry of the current term as well. Before that, the commit index may be
    /// lower than what an earlier leader has committed.
    pub fn lease_valid(&self, now: Millis) -> bool {
        let Role::Leader(leader) = &self.role else { return false };
        let acknowledged = self.quorum_acknowledged(leader, None, now);
        self.committed_in_term() && acknowledged.is_some_and(|sent| now < sent + self.timing.lease)
    }

    /// End of the leader lease by the acknowledgements so far; `None` if this member does not lead
    /// or has no lease yet.
    pub fn lease_end(&self) -> Option<Millis> {
        let Role::Leader(leader) = &self.role else { return None };
        let acknowledged =
            self.quorum_acknowledged(leader, None, self.clock).filter(|_| self.committed_in_term());
        acknowledged.map(|sent| sent + self.timing.lease)
    }

    /// Replication progress of the other members; empty unless this member leads.
    pub fn progress(&self, now: Millis) -> BTreeMap<Name, Progress> {
        let Role::Leader(leader) = &self.role else { return BTreeMap::new() };
        let learners = &self.log.members().learners;
        let progress = |(name, peer): (&Name, &Peer)| {
            let transfer = if learners.contains(name) { peer.transfer_time(&self.log) } else { 0 };
            let heard = peer.heard.unwrap_or(peer.since);
            let caught_up = peer.is_caught_up(now, self.timing.election_max);
            (name.clone(), Progress { caught_up, ack_age: now.saturating_sub(heard + transfer) })
        };
        leader.peers.iter().map(progress).collect()
    }

    /// Appends a membership change and returns its index. The new membership takes effect as soon
    /// as it is appended; after a change of the voters, the former ones count until it is committed.
    ///
    /// A change is one of these steps: add a learner, promote a learner that has caught up to
    /// voter, or remove a member.
    ///
    /// # Errors
    /// If this member is not the leader, the change is not exactly one step, an earlier change is
    /// not committed, or the learner has not caught up.
    pub fn propose_members(&mut self, members: Members, now: Millis) -> Result<Index> {
        self.clock = self.clock.max(now);
        self.require_leader()?;
        // Without a committed entry of this term, an uncommitted change of an earlier leader could
        // still be committed, and the majorities of the two memberships might not overlap.
        let current = self.log.members();
        let in_progress = self.log.members_index() > self.commit || !current.former.is_empty();
        if in_progress || !self.committed_in_term() {
            return Err(ErrorKind::Busy.into());
        }
        let former = current.voters.clone();
        if let Some(name) = check_membership_step(current, &members)? {
            self.check_caught_up(&name)?;
        }
        let former = if former == members.voters { BTreeSet::new() } else { former };
        let index = self.log.push(self.term, Payload::Members(Members { former, ..members }));
        self.refresh_peers();
        Ok(index)
    }

    /// Becomes the leader of the current term.
    pub(crate) fn become_leader(&mut self) {
        let (elected, peers) = (self.clock, BTreeMap::new());
        self.role = Role::Leader(LeaderState { elected, heartbeat: elected, peers });
        self.log.push(self.term, Payload::Noop);
        self.refresh_peers();
    }

    /// Schedules heartbeats that are due; steps down if no quorum has answered in time.
    pub(crate) fn tick_leader(&mut self) {
        let clock = self.clock;
        let Role::Leader(leader) = &self.role else { return };
        let acknowledged = self.quorum_acknowledged(leader, Some(leader.elected), clock);
        if acknowledged.is_none_or(|sent| clock >= sent + self.timing.election_max) {
            return self.step_down();
        }
        let interval = self.timing.heartbeat;
        let Role::Leader(leader) = &mut self.role else { return };
        if clock >= leader.heartbeat + interval {
            leader.heartbeat = clock;
            leader.peers.values_mut().for_each(|p| p.message_due = true);
        }
    }

    /// Queues messages for members that lack entries or to which a heartbeat is due.
    pub(crate) fn replicate(&mut self) {
        let Raft { log, role, outbox, term, commit, clock, .. } = self;
        let Role::Leader(leader) = role else { return };
        let (term, commit, sent) = (*term, *commit, *clock);
        for (name, peer) in &mut leader.peers {
            while peer.needs_message(log, commit) {
                peer.message_due = false;
                peer.sent_commit = commit;
                let compacted = peer.next <= log.start();
                if let (true, Some(snapshot)) = (compacted, log.snapshot()) {
                    peer.next = snapshot.index + 1;
                    peer.unacknowledged = peer.next;
                    peer.snapshot_sent = Some(sent);
                    let snapshot = snapshot.clone();
                    outbox.push((name.clone(), Message::Install { term, snapshot, sent }));
                    continue;
                }
                let index = peer.next - 1;
                let last = log.term(index).unwrap_or_default();
                let entries = if peer.window_open(log) {
                    log.batch(peer.next, MAX_ENTRIES_PER_MESSAGE, limits::MESSAGE_BYTES).to_vec()
                } else {
                    Vec::new()
                };
                peer.next += entries.len() as Index;
                let message = Message::Append { term, index, last, entries, commit, sent };
                outbox.push((name.clone(), message));
            }
        }
    }

    /// Handles the reply to an append or a snapshot in the current term.
    pub(crate) fn acknowledge(&mut self, from: &Name, accepted: bool, index: Index, sent: Millis) {
        let (clock, retry) = (self.clock, self.timing.election_max);
        let Role::Leader(leader) = &mut self.role else { return };
        let Some(peer) = leader.peers.get_mut(from) else { return };
        peer.acknowledged = peer.acknowledged.max(Some(sent));
        peer.heard = Some(clock);
        if accepted {
            peer.matched = peer.matched.max(index.min(self.log.last()));
            peer.next = peer.next.max(peer.matched + 1);
            peer.unacknowledged = peer.unacknowledged.max(peer.matched + 1);
            if peer.snapshot_sent.is_some() && peer.matched + 1 >= peer.next {
                peer.snapshot_sent = None;
            }
            return self.advance();
        }
        // Replies to messages sent before `next` was last moved back are outdated.
        let stale =
            sent < peer.rewound_at || index < peer.matched || index >= peer.next.saturating_sub(1);
        if stale || peer.snapshot_sent.is_some_and(|at| clock < at + retry) {
            return;
        }
        peer.next = index + 1;
        peer.unacknowledged = peer.next;
        peer.rewound_at = clock;
        peer.snapshot_sent = None;
        peer.message_due = true;
    }

    /// Advances the commit index to what is durable on a quorum of the voters.
    pub(crate) fn advance(&mut self) {
        let Role::Leader(leader) = &self.role else { return };
        let members = self.log.members();
        let durable = |name: &Name| match leader.peers.get(name) {
            Some(peer) => peer.matched,
            None if *name == self.id => self.log.stable(),
            None => 0,
        };
        let Some(index) = members.quorum_value(&self.lost, &self.id, durable) else { return };
        // An entry of an earlier term can still be overwritten even when a majority has it.
        if index <= self.commit || self.log.term(index) != Some(self.term) {
            return;
        }
        self.commit = index;
        if self.log.members_index() > index {
            return;
        }
        let members = self.log.members();
        if !members.former.is_empty() {
            // The change is committed, so the former voters need not agree any more.
            let complete = Members { former: BTreeSet::new(), ..members.clone() };
            self.log.push(self.term, Payload::Members(complete));
            self.refresh_peers();
        } else if !members.is_voter(&self.id) {
            self.replicate();
            self.step_down();
        }
    }

    /// Whether an entry of the current term is committed.
    fn committed_in_term(&self) -> bool {
        self.log.term(self.commit) == Some(self.term)
    }

    /// Sending time of the latest message that a quorum of the voters has acknowledged. `unknown`
    /// stands for members that have acknowledged nothing yet.
    fn quorum_acknowledged(
        &self,
        leader: &LeaderState,
        unknown: Option<Millis>,
        now: Millis,
    ) -> Option<Millis> {
        let sent = |name: &Name| match leader.peers.get(name) {
            Some(peer) => peer.acknowledged.or(unknown),
            None => Some(now),
        };
        self.log.members().quorum_value(&self.lost, &self.id, sent).flatten()
    }

    fn check_caught_up(&mut self, name: &Name) -> Result<()> {
        let (clock, longest) = (self.clock, self.timing.election_max);
        let leader = self.require_leader()?;
        let Some(peer) = leader.peers.get(name) else {
            return Err(ErrorKind::Membership("the new voter is not a learner").into());
        };
        if peer.is_caught_up(clock, longest) {
            return Ok(());
        }
        Err(ErrorKind::Lagging(name.clone(), peer.matched, peer.target).into())
    }

    /// Tracks exactly the other members of the current membership.
    fn refresh_peers(&mut self) {
        let (last, since) = (self.log.last(), self.clock);
        let Role::Leader(leader) = &mut self.role else { return };
        let members = self.log.members();
        leader.peers.retain(|name, _| members.all().any(|m| m == name));
        for name in members.all().filter(|name| **name != self.id) {
            leader.peers.entry(name.clone()).or_insert(Peer {
                matched: 0,
                next: last,
                unacknowledged: last,
                target: last,
                sent_commit: 0,
                since,
                acknowledged: None,
                heard: None,
                rewound_at: 0,
                snapshot_sent: None,
                message_due: true,
            });
        }
    }
}

impl Peer {
    /// Whether the member has all that the leader had when tracking began, and has acknowledged a
    /// message sent within the last `span`.
    fn is_caught_up(&self, now: Millis, span: Millis) -> bool {
        let responsive = self.acknowledged.is_some_and(|sent| now < sent + span);
        responsive && self.matched >= self.target
    }

    /// Time that what is on its way to the member takes on the slowest link.
    fn transfer_time(&self, log: &Log) -> Millis {
        let snapshot = log.snapshot().filter(|_| self.snapshot_sent.is_some());
        let entries = log.bytes(self.unacknowledged, self.next - 1);
        let bytes = snapshot.map_or(entries, |snapshot| snapshot.data.len());
        (bytes / limits::SLOWEST_LINK_BYTES_PER_MS) as Millis
    }

    fn needs_message(&self, log: &Log, commit: Index) -> bool {
        let sends_entries = self.next <= log.last() && self.window_open(log);
        self.message_due || sends_entries || self.sent_commit < commit
    }

    /// Whether more entries may be sent before the member acknowledges the earlier ones.
    fn window_open(&self, log: &Log) -> bool {
        self.snapshot_sent.is_none()
            && self.next < self.unacknowledged + MAX_IN_FLIGHT_ENTRIES
            && log.bytes(self.unacknowledged, self.next - 1) < limits::IN_FLIGHT_BYTES
    }
}

/// Checks that a membership change is one permitted step; returns the learner that it promotes.
fn check_membership_step(old: &Members, new: &Members) -> Result<Option<Name>> {
    let refused = |text| Err(ErrorKind::Membership(text).into());
    if new.voters.is_empty() {
        return refused("no voter would be left");
    }
    if !new.voters.is_disjoint(&new.learners) {
        return refused("a member is both voter and learner");
    }
    let added: Vec<&Name> = new.voters.difference(&old.voters).collect();
    let removed = old.voters.difference(&new.voters).count();
    let added_learners = new.learners.difference(&old.learners).count();
    let removed_learners: Vec<&Name> = old.learners.difference(&new.learners).collect();
    match (added.as_slice(), removed, added_learners, removed_learners.as_slice()) {
        ([voter], 0, 0, [learner]) if voter == learner => Ok(Some((*voter).clone())),
        ([], 1, 0, []) | ([], 0, 1, []) | ([], 0, 0, [_]) => Ok(None),
        ([_], 0, 0, []) => refused("a new voter must be a learner first"),
        _ => refused("it is not exactly one step from the current membership"),
    }
}
