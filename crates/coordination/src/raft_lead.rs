//! The part of the agreement that only a leader runs: replication, commit, lease and membership.

use std::collections::BTreeMap;

use auburnlug_state::{Index, Millis, Name};

use crate::{
    Result,
    error::Kind,
    membership::Standing,
    raft::{Raft, Role},
    raft_message::{Members, Message, Payload},
};

/// Entries in one message.
const BATCH: usize = 64;

/// Entries sent to a member beyond those it has acknowledged.
const WINDOW: Index = 1024;

/// What a leader knows.
#[derive(Debug)]
pub(crate) struct Lead {
    elected: Millis,
    beat: Millis,
    peers: BTreeMap<Name, Peer>,
}

/// What a leader knows of another member.
#[derive(Debug)]
struct Peer {
    /// Last entry that it holds durably.
    matched: Index,
    /// Next entry to send.
    next: Index,
    /// Commit index of the leader when this peer became known: a learner must reach it.
    joined: Index,
    /// Commit index last sent.
    told: Index,
    /// Time since which it is tracked.
    since: Millis,
    /// Latest time of sending that it has acknowledged.
    contact: Option<Millis>,
    /// Time at which `next` was last set back.
    rewound: Millis,
    /// Time at which a snapshot was sent that is not acknowledged yet.
    installing: Option<Millis>,
    /// Whether a message is due even without entries.
    due: bool,
}

impl Raft {
    /// Whether no other member can have been elected yet, by contact with a majority.
    ///
    /// It also requires a committed entry of the own term: before that, the commit index may lag
    /// behind what an earlier leader has committed.
    pub fn lease_valid(&self, now: Millis) -> bool {
        let Role::Leader(lead) = &self.role else { return false };
        let contact = self.contact(lead, None, now);
        self.settled() && contact.is_some_and(|sent| now < sent + self.timing.lease)
    }

    /// End of the lease by the contact so far; `None` unless this member leads.
    pub fn lease_end(&self) -> Option<Millis> {
        let Role::Leader(lead) = &self.role else { return None };
        let contact = self.contact(lead, None, self.clock).filter(|_| self.settled());
        contact.map(|sent| sent + self.timing.lease)
    }

    /// What this member, if it leads, knows of the others.
    pub fn standings(&self, now: Millis) -> BTreeMap<Name, Standing> {
        let Role::Leader(lead) = &self.role else { return BTreeMap::new() };
        let standing = |peer: &Peer| Standing {
            filled: peer.filled(now, self.timing.longest),
            silent: now.saturating_sub(peer.contact.unwrap_or(peer.since)),
        };
        lead.peers.iter().map(|(name, peer)| (name.clone(), standing(peer))).collect()
    }

    /// Appends a membership; returns its index. It is in force from the moment it is appended.
    ///
    /// One step is permitted at a time: add a learner, make a learner a voter once it has caught
    /// up, or remove a member.
    ///
    /// # Errors
    /// If this member does not lead, the change is no single permitted step, an earlier change is
    /// not committed, or the learner has not caught up.
    pub fn propose_members(&mut self, members: Members, now: Millis) -> Result<Index> {
        self.clock = self.clock.max(now);
        self.leading()?;
        // Without a committed entry of this term, an earlier leader's change could still surface
        // and the two memberships would have majorities that do not meet.
        if self.log.changed() > self.commit || !self.settled() {
            return Err(Kind::Busy.into());
        }
        if let Some(name) = step(self.log.members(), &members)? {
            self.caught_up(&name)?;
        }
        let index = self.log.push(self.term, Payload::Members(members));
        self.refresh_peers();
        Ok(index)
    }

    /// Starts to lead the current term.
    pub(crate) fn lead(&mut self) {
        let (elected, peers) = (self.clock, BTreeMap::new());
        self.role = Role::Leader(Lead { elected, beat: elected, peers });
        self.log.push(self.term, Payload::Noop);
        self.refresh_peers();
    }

    /// Sends heartbeats if they are due; steps down without a majority.
    pub(crate) fn beat(&mut self) {
        let clock = self.clock;
        let Role::Leader(lead) = &self.role else { return };
        let contact = self.contact(lead, Some(lead.elected), clock);
        if contact.is_none_or(|sent| clock >= sent + self.timing.longest) {
            return self.yield_role();
        }
        let pause = self.timing.heartbeat;
        let Role::Leader(lead) = &mut self.role else { return };
        if clock >= lead.beat + pause {
            lead.beat = clock;
            lead.peers.values_mut().for_each(|p| p.due = true);
        }
    }

    /// Queues messages for members that lack entries or are due a heartbeat.
    pub(crate) fn replicate(&mut self) {
        let Raft { log, role, outbox, term, commit, clock, .. } = self;
        let Role::Leader(lead) = role else { return };
        let (term, commit, sent) = (*term, *commit, *clock);
        for (name, peer) in &mut lead.peers {
            while peer.wants(log.last(), commit) {
                peer.due = false;
                peer.told = commit;
                let lost = peer.next <= log.start();
                if let (true, Some(snapshot)) = (lost, log.snapshot()) {
                    peer.next = snapshot.index + 1;
                    peer.installing = Some(sent);
                    let snapshot = snapshot.clone();
                    outbox.push((name.clone(), Message::Install { term, snapshot, sent }));
                    continue;
                }
                let index = peer.next - 1;
                let last = log.term(index).unwrap_or_default();
                let limit = if peer.installing.is_some() { 0 } else { BATCH };
                let entries = log.slice(peer.next, limit).to_vec();
                peer.next += entries.len() as Index;
                let message = Message::Append { term, index, last, entries, commit, sent };
                outbox.push((name.clone(), message));
            }
        }
    }

    /// Handles a reply of the current term.
    pub(crate) fn acknowledge(&mut self, from: &Name, accepted: bool, index: Index, sent: Millis) {
        let (clock, retry) = (self.clock, self.timing.longest);
        let Role::Leader(lead) = &mut self.role else { return };
        let Some(peer) = lead.peers.get_mut(from) else { return };
        peer.contact = peer.contact.max(Some(sent));
        if accepted {
            peer.matched = peer.matched.max(index.min(self.log.last()));
            peer.next = peer.next.max(peer.matched + 1);
            if peer.installing.is_some() && peer.matched + 1 >= peer.next {
                peer.installing = None;
            }
            return self.advance();
        }
        // Replies to messages sent before the last correction tell nothing new.
        let stale =
            sent < peer.rewound || index < peer.matched || index >= peer.next.saturating_sub(1);
        if stale || peer.installing.is_some_and(|at| clock < at + retry) {
            return;
        }
        peer.next = index + 1;
        peer.rewound = clock;
        peer.installing = None;
        peer.due = true;
    }

    /// Commits what a majority of the voters holds durably; learners do not count.
    pub(crate) fn advance(&mut self) {
        let Role::Leader(lead) = &self.role else { return };
        let members = self.log.members();
        let held = |name: &Name| match lead.peers.get(name) {
            Some(peer) => peer.matched,
            None if *name == self.me => self.log.stable(),
            None => 0,
        };
        let mut indexes: Vec<Index> = members.voters.iter().map(held).collect();
        indexes.sort_unstable_by(|a, b| b.cmp(a));
        let Some(&index) = indexes.get(members.quorum() - 1) else { return };
        // An entry of an earlier term can be replaced even when a majority holds it.
        if index <= self.commit || self.log.term(index) != Some(self.term) {
            return;
        }
        self.commit = index;
        if !self.log.votes(&self.me) && self.log.changed() <= index {
            self.replicate();
            self.yield_role();
        }
    }

    /// Whether an entry of the own term is committed.
    fn settled(&self) -> bool {
        self.log.term(self.commit) == Some(self.term)
    }

    /// Latest time of sending that a majority of the voters has acknowledged.
    fn contact(&self, lead: &Lead, unknown: Option<Millis>, now: Millis) -> Option<Millis> {
        let members = self.log.members();
        let heard = |name: &Name| match lead.peers.get(name) {
            Some(peer) => peer.contact.or(unknown),
            None => Some(now),
        };
        let mut times: Vec<Option<Millis>> = members.voters.iter().map(heard).collect();
        times.sort_unstable_by(|a, b| b.cmp(a));
        times.get(members.quorum() - 1).copied().flatten()
    }

    fn caught_up(&mut self, name: &Name) -> Result<()> {
        let (clock, longest) = (self.clock, self.timing.longest);
        let lead = self.leading()?;
        let Some(peer) = lead.peers.get(name) else {
            return Err(Kind::Membership("the new voter is no learner").into());
        };
        if peer.filled(clock, longest) {
            return Ok(());
        }
        Err(Kind::Lagging(name.clone(), peer.matched, peer.joined).into())
    }

    /// Starts and stops to track members as the membership says.
    fn refresh_peers(&mut self) {
        let (last, commit, since) = (self.log.last(), self.commit, self.clock);
        let Role::Leader(lead) = &mut self.role else { return };
        let members = self.log.members();
        lead.peers.retain(|name, _| members.all().any(|m| m == name));
        for name in members.all().filter(|name| **name != self.me) {
            lead.peers.entry(name.clone()).or_insert(Peer {
                matched: 0,
                next: last,
                joined: commit,
                told: 0,
                since,
                contact: None,
                rewound: 0,
                installing: None,
                due: true,
            });
        }
    }
}

impl Peer {
    /// Whether it holds what was committed when it became known, and has answered within `span`.
    fn filled(&self, now: Millis, span: Millis) -> bool {
        let live = self.contact.is_some_and(|sent| now < sent + span);
        live && self.matched >= self.joined
    }

    fn wants(&self, last: Index, commit: Index) -> bool {
        let open = self.next <= last && self.next <= self.matched.saturating_add(WINDOW);
        let fill = open && self.installing.is_none();
        self.due || fill || self.told < commit
    }
}

/// The learner that becomes a voter, if the step is one.
fn step(old: &Members, new: &Members) -> Result<Option<Name>> {
    let refused = |text| Err(Kind::Membership(text).into());
    if new.voters.is_empty() {
        return refused("no voter would be left");
    }
    if !new.voters.is_disjoint(&new.learners) {
        return refused("a member is both voter and learner");
    }
    let added: Vec<&Name> = new.voters.difference(&old.voters).collect();
    let removed = old.voters.difference(&new.voters).count();
    let joined = new.learners.difference(&old.learners).count();
    let left: Vec<&Name> = old.learners.difference(&new.learners).collect();
    match (added.as_slice(), removed, joined, left.as_slice()) {
        ([voter], 0, 0, [learner]) if voter == learner => Ok(Some((*voter).clone())),
        ([], 1, 0, []) | ([], 0, 1, []) | ([], 0, 0, [_]) => Ok(None),
        ([_], 0, 0, []) => refused("a new voter must be a learner first"),
        _ => refused("it is not exactly one step from the membership in force"),
    }
}
