//! Detection of a failed primary and promotion of another, for one database group.
//!
//! The caller passes in statuses, failures and the recorded state of the group, calls
//! [`Failover::tick`], and carries out the [`Step`]s. Steps are repeated until a status shows
//! their effect, so a lost one does no harm. Only the term that this owner recorded itself leads
//! to a promotion, and only one server is promoted in a term.

use std::collections::{BTreeMap, BTreeSet};

use auburnlug_state::{GroupState, Millis, Name, Role, Term};

use crate::Position;

pub use crate::failover_step::{Gap, Status, Step};

/// Time without an answer after which the primary is suspected.
const SILENCE: Millis = 500;

/// Time for which replicas must not have heard from the primary.
const UPSTREAM_SILENCE: Millis = 300;

/// Age up to which an answer shows that a server is reachable.
const REACHABLE: Millis = 300;

/// Time without a majority after which the owner resigns.
const RESIGN_AFTER: Millis = 2000;

/// Time between polls of a server in steady state.
const POLL_EVERY: Millis = 50;

/// Time between polls during a promotion, and after a refused connection.
const POLL_FAST: Millis = 10;

/// Time after which a poll without an answer is sent again.
const POLL_TIMEOUT: Millis = 500;

/// Time after which a step without a visible effect is repeated.
const REPEAT: Millis = 200;

/// Time for which the answer to a proposal is awaited after the term was recorded.
const ANSWER_WAIT: Millis = 500;

/// Silence between replicas and a primary that the owner still reaches, after which another is
/// promoted: no write can be acknowledged by a majority meanwhile.
const STALLED: Millis = 2000;

/// Silence after which a replica that was not told to follow the primary is told so.
const ASTRAY: Millis = 1000;

/// Time for which the first promotion of a group waits for all its servers. Writes from before
/// the first use were not acknowledged by a majority, so a majority may lack some.
const FIRST_WAIT: Millis = 1000;

/// Baseline: fixed time since the last answer of the primary after which another is promoted.
pub const SLOW: Millis = 5000;

#[derive(Debug, Default)]
struct Peer {
    status: Option<Status>,
    /// Time of the last status.
    reported: Millis,
    /// Time of the last answer of any kind.
    heard: Option<Millis>,
    refused: bool,
    polled: Option<Millis>,
    polling: bool,
    /// Primary and term that it was told to follow.
    follows: Option<(Name, Term)>,
    /// Set until it is recorded that the server has caught up.
    filling: Option<Filling>,
}

/// A new server on its way to hold all that the group acknowledged.
#[derive(Debug)]
struct Filling {
    /// Reports from before this time don't count.
    since: Millis,
    /// Position that the primary reported first after that.
    target: Option<Position>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Phase {
    /// The recorded primary serves.
    Steady,
    /// The term was proposed.
    Recording(Term),
    /// Servers are being fenced with the recorded term.
    Fencing(Term),
    /// The server is being promoted.
    Promoting(Name, Term),
    /// The server is primary and was proposed as such.
    Confirming(Name, Term),
}

/// Failover of one group, as seen by its owner.
#[derive(Debug)]
pub struct Failover {
    size: usize,
    peers: BTreeMap<Name, Peer>,
    recorded: GroupState,
    phase: Phase,
    since: Millis,
    /// Whether the group never had a primary.
    first: bool,
    hurry: bool,
    /// Least time since the last answer of the primary before another is promoted.
    delay: Millis,
    /// Last time at which a majority was reachable.
    majority: Millis,
    /// Server that claimed to be primary before the group was first used.
    claim: Option<Name>,
    /// When the steps of this phase were sent last; `None` is the step of the phase itself.
    sent: BTreeMap<Option<Name>, Millis>,
    /// Times of the last answer, decision, agreement and promotion, as far as they have come.
    marks: Vec<Millis>,
}

impl Failover {
    /// The state of a new owner of a group of `size` servers.
    pub fn new(size: u32, servers: &[Name], recorded: GroupState, now: Millis) -> Failover {
        let peers = servers.iter().map(|s| (s.clone(), Peer::default())).collect();
        let first = recorded.term == 0;
        Failover {
            size: size.max(1) as usize,
            peers,
            recorded,
            phase: Phase::Steady,
            since: now,
            first,
            hurry: false,
            delay: 0,
            majority: now,
            claim: None,
            sent: BTreeMap::new(),
            marks: Vec::new(),
        }
    }

    /// Promotes another server only `delay` after the last answer of the primary; see [`SLOW`].
    pub fn delayed(self, delay: Millis) -> Failover {
        Failover { delay, ..self }
    }

    /// Replaces the servers of the group.
    pub fn servers(&mut self, servers: &[Name]) {
        self.peers.retain(|name, _| servers.contains(name));
        for name in servers {
            self.peers.entry(name.clone()).or_default();
        }
    }

    /// Takes over which servers are recorded as being filled. They count for acknowledgements but
    /// not for promotions.
    pub fn filling(&mut self, filling: &BTreeSet<Name>, now: Millis) {
        for (name, peer) in &mut self.peers {
            if !filling.contains(name) {
                peer.filling = None;
            } else if peer.filling.is_none() {
                peer.filling = Some(Filling { since: now, target: None });
            }
        }
    }

    /// Primary that writes may go to; `None` during a promotion.
    pub fn primary(&self) -> Option<&Name> {
        self.recorded.primary.as_ref().filter(|_| self.phase == Phase::Steady)
    }

    /// Recorded term.
    pub fn term(&self) -> Term {
        self.recorded.term
    }

    /// Polls go back to back while writes wait.
    pub fn hurry(&mut self, on: bool) {
        self.hurry = on;
    }

    /// A server answered a poll.
    pub fn status(&mut self, server: &Name, status: Status, now: Millis) {
        if let Some(peer) = self.peers.get_mut(server) {
            peer.status = Some(status);
            peer.reported = now;
            peer.polling = false;
            if self.first && status.role == Role::Primary {
                self.claim.get_or_insert(server.clone());
            }
        }
        self.answered(server, now);
    }

    /// A server answered on any connection.
    pub fn answered(&mut self, server: &Name, now: Millis) {
        if let Some(peer) = self.peers.get_mut(server) {
            peer.heard = Some(now);
            peer.refused = false;
        }
    }

    /// A poll failed without an answer.
    pub fn failed(&mut self, server: &Name) {
        if let Some(peer) = self.peers.get_mut(server) {
            peer.polling = false;
        }
    }

    /// The port of a server refused a connection.
    pub fn refused(&mut self, server: &Name) {
        if let Some(peer) = self.peers.get_mut(server) {
            (peer.refused, peer.polling, peer.follows) = (true, false, None);
        }
    }

    /// A server took the order to follow `primary` in `term`.
    pub fn followed(&mut self, server: &Name, primary: &Name, term: Term) {
        if let Some(peer) = self.peers.get_mut(server) {
            peer.follows = Some((primary.clone(), term));
        }
    }

    /// The own proposal of `term` took effect ([`auburnlug_state::Applied::Done`]). The recorded
    /// state alone does not tell whether this owner or another one recorded the term.
    pub fn agreed(&mut self, term: Term, now: Millis) {
        if self.phase == Phase::Recording(term) && self.recorded.term <= term {
            self.recorded = GroupState { term, primary: None };
            self.mark(2, now);
            self.enter(Phase::Fencing(term), now);
        }
    }

    /// The replicated machine holds this state of the group.
    pub fn recorded(&mut self, state: &GroupState, now: Millis) {
        // The answer to a proposal can be ahead of the copy of the machine.
        if *state == self.recorded || state.term < self.recorded.term {
            return;
        }
        self.recorded = state.clone();
        self.first &= state.primary.is_none();
        match &self.phase {
            Phase::Recording(term) if *term == state.term && state.primary.is_none() => {
                self.since = now;
            }
            Phase::Confirming(name, term)
                if *term == state.term && state.primary.as_ref() == Some(name) =>
            {
                self.mark(3, now);
                self.enter(Phase::Steady, now);
            }
            _ => self.enter(Phase::Steady, now),
        }
    }

    /// The first write after a promotion was acknowledged; returns the parts of the gap once.
    pub fn acknowledged(&mut self, now: Millis) -> Option<Gap> {
        let marks = std::mem::take(&mut self.marks);
        let &[heard, decided, agreed, promoted] = marks.as_slice() else {
            self.marks = marks;
            return None;
        };
        Some(Gap {
            detection: decided.saturating_sub(heard),
            agreement: agreed.saturating_sub(decided),
            promotion: promoted.saturating_sub(agreed),
            first: now.saturating_sub(promoted),
        })
    }

    /// Steps that are due; call it after each input and every few milliseconds.
    pub fn tick(&mut self, now: Millis) -> Vec<Step> {
        let mut steps = self.polls(now);
        if self.reachable(now).count() >= self.quorum() {
            self.majority = now;
        } else if now.saturating_sub(self.majority) >= RESIGN_AFTER {
            steps.push(Step::Resign);
            return steps;
        }
        match self.phase.clone() {
            Phase::Steady => self.steady(now, &mut steps),
            Phase::Recording(term) => self.record(term, now, &mut steps),
            Phase::Fencing(term) => self.fence(term, now, &mut steps),
            Phase::Promoting(name, term) => self.promote(name, term, now, &mut steps),
            Phase::Confirming(name, term) => {
                self.follow(&name, term, now, &mut steps);
                self.once(None, Step::Primary(name, term), now, &mut steps);
            }
        }
        steps
    }

    /// Servers that each majority which may acknowledge a write has one in common with. With more
    /// servers than the size of the group, a majority of the size would not be enough.
    fn quorum(&self) -> usize {
        let half = self.size / 2;
        (half + 1).max(self.peers.len().saturating_sub(half))
    }

    /// Full servers that a promotion needs. While fewer are left, all of them together hold every
    /// acknowledged write, since the recorded primary is never removed from the group.
    fn needed(&self) -> usize {
        let full = self.peers.values().filter(|p| p.filling.is_none()).count();
        self.quorum().min(full).max(1)
    }

    fn full(&self, now: Millis) -> impl Iterator<Item = (&Name, &Peer)> {
        self.reachable(now).filter(|(_, p)| p.filling.is_none())
    }

    fn reachable(&self, now: Millis) -> impl Iterator<Item = (&Name, &Peer)> {
        let alive = move |p: &Peer| p.heard.is_some_and(|at| now.saturating_sub(at) < REACHABLE);
        self.peers.iter().filter(move |(_, p)| !p.refused && alive(p))
    }

    fn enter(&mut self, phase: Phase, now: Millis) {
        (self.phase, self.since) = (phase, now);
        self.sent.clear();
        // Another term has another log, so the way starts again.
        for filling in self.peers.values_mut().filter_map(|p| p.filling.as_mut()) {
            *filling = Filling { since: now, target: None };
        }
    }

    /// Notes the time of the n-th event of a gap, if the ones before are known.
    fn mark(&mut self, n: usize, now: Millis) {
        if self.marks.len() >= n {
            self.marks.truncate(n);
            self.marks.push(now);
        }
    }

    fn polls(&mut self, now: Millis) -> Vec<Step> {
        let fast = self.phase != Phase::Steady || self.peers.values().any(|p| p.refused);
        let every = match (self.hurry, fast) {
            (true, _) => 0,
            (false, true) => POLL_FAST,
            (false, false) => POLL_EVERY,
        };
        let mut steps = Vec::new();
        for (name, peer) in &mut self.peers {
            let wait = match (peer.polling, peer.refused) {
                (true, _) => POLL_TIMEOUT,
                (false, true) => every.max(POLL_FAST),
                (false, false) => every,
            };
            if peer.polled.is_none_or(|at| now.saturating_sub(at) >= wait) {
                (peer.polled, peer.polling) = (Some(now), true);
                steps.push(Step::Poll(name.clone()));
            }
        }
        steps
    }

    /// Adds a step unless it was sent a moment ago; `key` tells the steps of one phase apart.
    fn once(&mut self, key: Option<&Name>, step: Step, now: Millis, steps: &mut Vec<Step>) {
        let sent = self.sent.get(&key.cloned());
        if sent.is_none_or(|at| now.saturating_sub(*at) >= REPEAT) {
            self.sent.insert(key.cloned(), now);
            steps.push(step);
        }
    }

    /// Starts a promotion under the next term.
    fn begin(&mut self, heard: Millis, now: Millis, steps: &mut Vec<Step>) {
        if self.marks.len() < 2 || self.phase == Phase::Steady {
            self.marks = vec![heard, now];
        }
        let term = self.recorded.term + 1;
        self.enter(Phase::Recording(term), now);
        self.once(None, Step::Term(term), now, steps);
    }

    fn steady(&mut self, now: Millis, steps: &mut Vec<Step>) {
        let Some(primary) = self.recorded.primary.clone() else {
            return self.begin(self.since, now, steps);
        };
        let heard = self.peers.get(&primary).and_then(|p| p.heard);
        let waited = now.saturating_sub(heard.unwrap_or(0).max(self.since)) >= self.delay;
        if waited && self.lost(&primary, now) {
            self.begin(heard.unwrap_or(self.since), now, steps);
        } else {
            self.follow(&primary, self.recorded.term, now, steps);
            self.fill(&primary, now, steps);
        }
    }

    /// Proposes new servers that hold what the primary held after they came.
    fn fill(&mut self, primary: &Name, now: Millis, steps: &mut Vec<Step>) {
        let term = self.recorded.term;
        let Some(source) = self.peers.get(primary) else { return };
        let reported = source.reported;
        let leads = |s: &Status| s.role == Role::Primary && s.term == term;
        let Some(Status { received, .. }) = source.status.filter(leads) else { return };
        let mut filled = Vec::new();
        for (name, peer) in &mut self.peers {
            let Some(filling) = &mut peer.filling else { continue };
            if reported > filling.since {
                filling.target.get_or_insert(received);
            }
            let fresh = peer.status.filter(|s| peer.reported > filling.since && s.term == term);
            if let (Some(status), Some(target)) = (fresh, filling.target)
                && holds(status.received, target, term)
            {
                filled.push(name.clone());
            }
        }
        for name in filled {
            self.once(Some(&name), Step::Filled(name.clone(), term), now, steps);
        }
    }

    /// Whether another server must be promoted.
    fn lost(&self, primary: &Name, now: Millis) -> bool {
        let peer = self.peers.get(primary);
        let status = peer.filter(|p| p.reported > self.since).and_then(|p| p.status);
        if status.is_some_and(|s| s.role == Role::Replica) {
            // It restarted and gave up its role; the others may have lost nothing at all.
            return self.full(now).count() >= self.needed();
        }
        let heard = peer.and_then(|p| p.heard).unwrap_or(0).max(self.since);
        let silent = now.saturating_sub(heard) >= SILENCE;
        let refused = peer.is_some_and(|p| p.refused);
        let limit = if silent || refused { UPSTREAM_SILENCE } else { STALLED };
        let quiet = |p: &Peer| {
            let fresh = now.saturating_sub(p.reported) < REACHABLE;
            let status = p.status.filter(|_| fresh);
            status.is_some_and(|s| s.upstream.map_or(silent || refused, |span| span >= limit))
        };
        let others = self.full(now).filter(|(name, _)| *name != primary);
        others.filter(|(_, p)| quiet(p)).count() >= self.needed()
    }

    fn record(&mut self, term: Term, now: Millis, steps: &mut Vec<Step>) {
        if self.recorded.term < term {
            return self.once(None, Step::Term(term), now, steps);
        }
        // The term is taken, perhaps by another owner; without the answer to the own proposal
        // only the next one is safe to use.
        if now.saturating_sub(self.since) >= ANSWER_WAIT {
            self.begin(self.since, now, steps);
        }
    }

    fn fence(&mut self, term: Term, now: Millis, steps: &mut Vec<Step>) {
        let since = self.since;
        let fresh = |p: &Peer| p.status.filter(|_| p.reported > since);
        let above = |s: Status| s.term > term || (s.term == term && s.role == Role::Primary);
        if self.peers.values().filter_map(fresh).any(above) {
            return self.begin(since, now, steps);
        }
        let fenced = |p: &Peer| fresh(p).filter(|s| s.term == term);
        let known: Vec<_> = self.peers.iter().map(|(n, p)| (n.clone(), fenced(p))).collect();
        for (name, _) in known.iter().filter(|(_, status)| status.is_none()) {
            self.once(Some(name), Step::Fence(name.clone(), term), now, steps);
        }
        let alive = |n: &Name| self.peers.get(n).is_some_and(|p| !p.refused && p.filling.is_none());
        let ready = known.into_iter().filter_map(|(n, s)| s.filter(|_| alive(&n)).map(|s| (n, s)));
        let ready: Vec<_> = ready.collect();
        let patient = self.first && now.saturating_sub(since) < FIRST_WAIT;
        if ready.len() < self.needed() || (patient && ready.len() < self.peers.len()) {
            return;
        }
        let claims = |n: &Name| self.claim.as_ref() == Some(n);
        let best = ready.into_iter().max_by_key(|(n, s)| (s.received, claims(n)));
        if let Some((name, _)) = best {
            self.enter(Phase::Promoting(name.clone(), term), now);
            self.once(None, Step::Promote(name, term), now, steps);
        }
    }

    fn promote(&mut self, name: Name, term: Term, now: Millis, steps: &mut Vec<Step>) {
        let peer = self.peers.get(&name);
        let status = peer.filter(|p| p.reported > self.since).and_then(|p| p.status);
        if status.is_some_and(|s| s.term == term && s.role == Role::Primary) {
            self.enter(Phase::Confirming(name.clone(), term), now);
            self.follow(&name, term, now, steps);
            return self.once(None, Step::Primary(name, term), now, steps);
        }
        // The server may have been promoted without an answer, so another one needs a new term.
        let heard = peer.and_then(|p| p.heard).unwrap_or(0).max(self.since);
        let gone = peer.is_none_or(|p| p.refused) || now.saturating_sub(heard) >= SILENCE;
        if gone || status.is_some_and(|s| s.term > term) {
            return self.begin(self.since, now, steps);
        }
        self.once(None, Step::Promote(name, term), now, steps);
    }

    /// Lets the servers that do not follow `primary` follow it.
    fn follow(&mut self, primary: &Name, term: Term, now: Millis, steps: &mut Vec<Step>) {
        let confirming = self.phase != Phase::Steady;
        let astray = |p: &Peer| {
            let told = p.follows.as_ref() == Some(&(primary.clone(), term));
            p.status.is_some_and(|s| match s.upstream {
                _ if s.role == Role::Primary || s.term < term => true,
                None => true,
                Some(span) => !told && (confirming || span >= ASTRAY),
            })
        };
        let others = self.peers.iter().filter(|(name, p)| *name != primary && astray(p));
        let others: Vec<_> = others.map(|(name, _)| name.clone()).collect();
        for server in others {
            let step = Step::Follow { server: server.clone(), primary: primary.clone(), term };
            self.once(Some(&server), step, now, steps);
        }
    }
}

/// Whether a log that ends at `end` under `term` has all up to `target`. A record of a term in
/// between may stem from a log that the primary has replaced.
fn holds(end: Position, target: Position, term: Term) -> bool {
    let same = end.term == target.term || end.term == term;
    same && end >= target && end.offset >= target.offset
}
