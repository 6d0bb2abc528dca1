//! Detection of a failed primary and promotion of another server, for one database group.
//!
//! The caller passes in statuses, failures and the recorded state of the group, calls
//! [`Failover::tick`], and executes the returned [`FailoverStep`]s. A step is retried until a status
//! shows its effect, so a lost step is harmless. This owner promotes a server only in a term that it
//! has recorded itself, and only one server in each term.

use std::collections::{BTreeMap, BTreeSet};

use auburnlug_state::{GroupState, Millis, Name, Role, Term};

use crate::{Position, observation::ObservationClock};

pub use crate::failover_step::{FailoverStep, Gap, Status};

/// Time without an answer after which a server counts as failed.
const SERVER_TIMEOUT_MS: Millis = 500;

/// Time without contact to the primary after which a replica confirms that the primary has failed.
const UPSTREAM_TIMEOUT_MS: Millis = 300;

/// Age of the last answer below which a server counts as reachable.
const REACHABLE_WINDOW_MS: Millis = 300;

/// Time without a reachable majority after which the owner resigns.
const RESIGN_TIMEOUT_MS: Millis = 2000;

const POLL_INTERVAL_MS: Millis = 50;

/// Poll interval during a promotion, and after a refused connection.
const FAST_POLL_INTERVAL_MS: Millis = 10;

/// Time after which an unanswered poll is sent again.
const POLL_TIMEOUT_MS: Millis = 500;

/// Time after which a step without a visible effect is retried.
const STEP_RETRY_INTERVAL_MS: Millis = 200;

/// Time to wait for the answer to a proposal after the proposed term was recorded.
const PROPOSAL_ANSWER_TIMEOUT_MS: Millis = 500;

/// Time without contact between the replicas and a primary that the owner still reaches, after
/// which another server is promoted. No majority can acknowledge writes meanwhile.
const REPLICATION_STALL_TIMEOUT_MS: Millis = 2000;

/// Time without contact to any primary after which a replica is told to follow the current one,
/// unless this owner has told it before.
const REFOLLOW_TIMEOUT_MS: Millis = 1000;

/// Time for which the first promotion in a group waits for all its servers. Writes from before the
/// group was managed were not acknowledged by a majority, so a majority of servers may lack some.
const FIRST_PROMOTION_WAIT_MS: Millis = 1000;

/// Fixed time since the last answer of the primary after which the slow-failover baseline promotes
/// another server, in milliseconds.
pub const SLOW_FAILOVER_DELAY_MS: Millis = 5000;

#[derive(Debug, Default)]
struct Peer {
    status: Option<Status>,
    /// Time of the last status report.
    reported: Millis,
    /// Time of the last answer of any kind.
    answered: Option<Millis>,
    /// Whether the server refused the last connection attempt.
    refused: bool,
    /// Time of the last poll.
    polled: Option<Millis>,
    /// Whether the last poll is unanswered.
    polling: bool,
    /// Primary and term that the server was told to follow.
    follows: Option<(Name, Term)>,
    /// Set for a new server until it is recorded that it has caught up.
    filling: Option<Filling>,
}

/// Catch-up of a new server, which must replicate all writes that the group has acknowledged.
#[derive(Debug)]
struct Filling {
    /// Time from which status reports count.
    since: Millis,
    /// First position that the primary reported after that.
    target: Option<Position>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Phase {
    /// The recorded primary is in service.
    Steady,
    /// A new term was proposed and is not known to be recorded by this owner.
    Recording(Term),
    /// Servers are being fenced with the recorded term.
    Fencing(Term),
    /// The server is being promoted.
    Promoting(Name, Term),
    /// The server is primary, and its record as primary was proposed.
    Confirming(Name, Term),
}

/// Failover of one group, as seen by its owner.
#[derive(Debug)]
pub struct Failover {
    size: usize,
    peers: BTreeMap<Name, Peer>,
    recorded: GroupState,
    phase: Phase,
    /// Start of the phase.
    since: Millis,
    /// Whether the group has never had a primary.
    first: bool,
    /// Whether polls are sent back to back.
    poll_eagerly: bool,
    /// Minimum time since the last answer of the primary before another server is promoted.
    delay: Millis,
    /// Observation time of this owner.
    observation: ObservationClock,
    /// Last observation time at which a quorum was reachable.
    quorum_seen: Millis,
    /// Server that reported itself as primary before the group had a recorded one.
    claimant: Option<Name>,
    /// Time at which each step of this phase was last sent: by the server that it concerns, or
    /// `None` for the step of the phase itself.
    sent: BTreeMap<Option<Name>, Millis>,
    /// Times of the last answer, decision, agreement and promotion of a failover, as far as it has
    /// progressed.
    milestones: Vec<Millis>,
}

impl Failover {
    /// Starts the failover of a new owner of a group of `size` servers.
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
            poll_eagerly: false,
            delay: 0,
            observation: ObservationClock::new(now),
            quorum_seen: now,
            claimant: None,
            sent: BTreeMap::new(),
            milestones: Vec::new(),
        }
    }

    /// Delays a promotion until `delay` after the last answer of the primary; see
    /// [`SLOW_FAILOVER_DELAY_MS`].
    pub fn with_delay(self, delay: Millis) -> Failover {
        Failover { delay, ..self }
    }

    /// Replaces the servers of the group.
    pub fn set_servers(&mut self, servers: &[Name]) {
        self.peers.retain(|name, _| servers.contains(name));
        for name in servers {
            self.peers.entry(name.clone()).or_default();
        }
    }

    /// Updates which servers are recorded as still catching up. They count for acknowledgements but
    /// not for promotions.
    pub fn set_filling(&mut self, filling: &BTreeSet<Name>, now: Millis) {
        for (name, peer) in &mut self.peers {
            if !filling.contains(name) {
                peer.filling = None;
            } else if peer.filling.is_none() {
                peer.filling = Some(Filling { since: now, target: None });
            }
        }
    }

    /// Primary that accepts writes; `None` during a promotion.
    pub fn primary(&self) -> Option<&Name> {
        self.recorded.primary.as_ref().filter(|_| self.phase == Phase::Steady)
    }

    /// Recorded term.
    pub fn term(&self) -> Term {
        self.recorded.term
    }

    /// Sets whether servers are polled back to back, which is needed while writes wait.
    pub fn set_poll_eagerly(&mut self, on: bool) {
        self.poll_eagerly = on;
    }

    /// Handles the answer of a server to a poll.
    pub fn record_status(&mut self, server: &Name, status: Status, now: Millis) {
        if let Some(peer) = self.peers.get_mut(server) {
            peer.status = Some(status);
            peer.reported = now;
            peer.polling = false;
            if self.first && status.role == Role::Primary {
                self.claimant.get_or_insert(server.clone());
            }
        }
        self.record_answer(server, now);
    }

    /// Records that a server answered on any connection.
    pub fn record_answer(&mut self, server: &Name, now: Millis) {
        if let Some(peer) = self.peers.get_mut(server) {
            peer.answered = Some(now);
            peer.refused = false;
        }
    }

    /// Records that a poll failed without an answer.
    pub fn record_poll_failure(&mut self, server: &Name) {
        if let Some(peer) = self.peers.get_mut(server) {
            peer.polling = false;
        }
    }

    /// Records that a server refused a connection.
    pub fn record_refusal(&mut self, server: &Name) {
        if let Some(peer) = self.peers.get_mut(server) {
            (peer.refused, peer.polling, peer.follows) = (true, false, None);
        }
    }

    /// Records that a server accepted the command to follow `primary` in `term`.
    pub fn record_follower(&mut self, server: &Name, primary: &Name, term: Term) {
        if let Some(peer) = self.peers.get_mut(server) {
            peer.follows = Some((primary.clone(), term));
        }
    }

    /// Records that this owner's proposal of `term` took effect
    /// ([`auburnlug_state::Applied::Done`]). The recorded state alone does not show whether this
    /// owner or another one recorded the term.
    pub fn record_agreed(&mut self, term: Term, now: Millis) {
        if self.phase == Phase::Recording(term) && self.recorded.term <= term {
            self.recorded = GroupState { term, primary: None };
            self.record_milestone(2, now);
            self.enter(Phase::Fencing(term), now);
        }
    }

    /// Updates the state of the group to the one in the replicated state machine.
    pub fn update_recorded(&mut self, state: &GroupState, now: Millis) {
        // The answer to a proposal can be ahead of the local state machine.
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
                self.record_milestone(3, now);
                self.enter(Phase::Steady, now);
            }
            _ => self.enter(Phase::Steady, now),
        }
    }

    /// Records that a write was acknowledged; returns the parts of the service gap for the first
    /// one after a promotion.
    pub fn record_acknowledged(&mut self, now: Millis) -> Option<Gap> {
        let milestones = std::mem::take(&mut self.milestones);
        let &[answered, decided, agreed, promoted] = milestones.as_slice() else {
            self.milestones = milestones;
            return None;
        };
        Some(Gap {
            detection: decided.saturating_sub(answered),
            agreement: agreed.saturating_sub(decided),
            promotion: promoted.saturating_sub(agreed),
            first: now.saturating_sub(promoted),
        })
    }

    /// Returns the steps that are due. Must be called after each input and every few milliseconds.
    pub fn tick(&mut self, now: Millis) -> Vec<FailoverStep> {
        let mut steps = self.poll_servers(now);
        self.observation.record_run(now);
        let observed = self.observation.at(now);
        if self.reachable(now).count() >= self.quorum() {
            self.quorum_seen = observed;
        } else if observed.saturating_sub(self.quorum_seen) >= RESIGN_TIMEOUT_MS {
            steps.push(FailoverStep::Resign);
            return steps;
        }
        match self.phase.clone() {
            Phase::Steady => self.check_primary(now, &mut steps),
            Phase::Recording(term) => self.await_term(term, now, &mut steps),
            Phase::Fencing(term) => self.fence(term, now, &mut steps),
            Phase::Promoting(name, term) => self.promote(name, term, now, &mut steps),
            Phase::Confirming(name, term) => {
                self.follow(&name, term, now, &mut steps);
                self.push_step(None, FailoverStep::Primary(name, term), now, &mut steps);
            }
        }
        steps
    }

    /// Number of servers that share at least one with every majority that may acknowledge a write.
    /// With more servers than the size of the group, a majority of the size would not be enough.
    fn quorum(&self) -> usize {
        let half = self.size / 2;
        (half + 1).max(self.peers.len().saturating_sub(half))
    }

    /// Number of servers that a promotion needs, not counting those still catching up. While fewer
    /// are left, all of them together have every acknowledged write, since the recorded primary is
    /// never removed from the group.
    fn promotion_quorum(&self) -> usize {
        let caught_up = self.peers.values().filter(|p| p.filling.is_none()).count();
        self.quorum().min(caught_up).max(1)
    }

    /// Reachable servers that have caught up.
    fn caught_up(&self, now: Millis) -> impl Iterator<Item = (&Name, &Peer)> {
        self.reachable(now).filter(|(_, p)| p.filling.is_none())
    }

    fn reachable(&self, now: Millis) -> impl Iterator<Item = (&Name, &Peer)> {
        let alive = move |p: &Peer| {
            p.answered.is_some_and(|at| now.saturating_sub(at) < REACHABLE_WINDOW_MS)
        };
        self.peers.iter().filter(move |(_, p)| !p.refused && alive(p))
    }

    fn enter(&mut self, phase: Phase, now: Millis) {
        (self.phase, self.since) = (phase, now);
        self.sent.clear();
        // Another term has a different log, so new servers catch up from the start.
        for filling in self.peers.values_mut().filter_map(|p| p.filling.as_mut()) {
            *filling = Filling { since: now, target: None };
        }
    }

    /// Records the time of the n-th milestone, if the earlier ones are known.
    fn record_milestone(&mut self, n: usize, now: Millis) {
        if self.milestones.len() >= n {
            self.milestones.truncate(n);
            self.milestones.push(now);
        }
    }

    fn poll_servers(&mut self, now: Millis) -> Vec<FailoverStep> {
        let fast = self.phase != Phase::Steady || self.peers.values().any(|p| p.refused);
        let interval = match (self.poll_eagerly, fast) {
            (true, _) => 0,
            (false, true) => FAST_POLL_INTERVAL_MS,
            (false, false) => POLL_INTERVAL_MS,
        };
        let mut steps = Vec::new();
        for (name, peer) in &mut self.peers {
            let wait = match (peer.polling, peer.refused) {
                (true, _) => POLL_TIMEOUT_MS,
                (false, true) => interval.max(FAST_POLL_INTERVAL_MS),
                (false, false) => interval,
            };
            if peer.polled.is_none_or(|at| now.saturating_sub(at) >= wait) {
                (peer.polled, peer.polling) = (Some(now), true);
                steps.push(FailoverStep::Poll(name.clone()));
            }
        }
        steps
    }

    /// Adds a step unless it was sent less than [`STEP_RETRY_INTERVAL_MS`] ago; `key` distinguishes
    /// the steps of a phase.
    fn push_step(
        &mut self,
        key: Option<&Name>,
        step: FailoverStep,
        now: Millis,
        steps: &mut Vec<FailoverStep>,
    ) {
        let sent = self.sent.get(&key.cloned());
        if sent.is_none_or(|at| now.saturating_sub(*at) >= STEP_RETRY_INTERVAL_MS) {
            self.sent.insert(key.cloned(), now);
            steps.push(step);
        }
    }

    /// Starts a promotion in the next term. `answered` is the last answer of the former primary.
    fn start_promotion(&mut self, answered: Millis, now: Millis, steps: &mut Vec<FailoverStep>) {
        if self.milestones.len() < 2 || self.phase == Phase::Steady {
            self.milestones = vec![answered, now];
        }
        let term = self.recorded.term + 1;
        self.enter(Phase::Recording(term), now);
        self.push_step(None, FailoverStep::Term(term), now, steps);
    }

    fn check_primary(&mut self, now: Millis, steps: &mut Vec<FailoverStep>) {
        let Some(primary) = self.recorded.primary.clone() else {
            return self.start_promotion(self.since, now, steps);
        };
        let answered = self.peers.get(&primary).and_then(|p| p.answered);
        let delay_elapsed = now.saturating_sub(answered.unwrap_or(0).max(self.since)) >= self.delay;
        if delay_elapsed && self.must_replace(&primary, now) {
            self.start_promotion(answered.unwrap_or(self.since), now, steps);
        } else {
            self.follow(&primary, self.recorded.term, now, steps);
            self.record_filled(&primary, now, steps);
        }
    }

    /// Proposes to record new servers that have caught up with what the primary had after they were
    /// added.
    fn record_filled(&mut self, primary: &Name, now: Millis, steps: &mut Vec<FailoverStep>) {
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
                && includes(status.received, target, term)
            {
                filled.push(name.clone());
            }
        }
        for name in filled {
            self.push_step(Some(&name), FailoverStep::Filled(name.clone(), term), now, steps);
        }
    }

    /// Whether another server must be promoted in place of `primary`.
    fn must_replace(&self, primary: &Name, now: Millis) -> bool {
        let peer = self.peers.get(primary);
        let status = peer.filter(|p| p.reported > self.since).and_then(|p| p.status);
        if status.is_some_and(|s| s.role == Role::Replica) {
            // The primary restarted and lost its role. The replicas need not confirm a failure, as
            // they may not have lost contact at all.
            return self.caught_up(now).count() >= self.promotion_quorum();
        }
        let answered = peer.and_then(|p| p.answered).unwrap_or(0).max(self.since);
        let timed_out = now.saturating_sub(answered) >= SERVER_TIMEOUT_MS;
        let refused = peer.is_some_and(|p| p.refused);
        let limit =
            if timed_out || refused { UPSTREAM_TIMEOUT_MS } else { REPLICATION_STALL_TIMEOUT_MS };
        let lost_primary = |p: &Peer| {
            let fresh = now.saturating_sub(p.reported) < REACHABLE_WINDOW_MS;
            let status = p.status.filter(|_| fresh);
            status.is_some_and(|s| s.upstream_age.map_or(timed_out || refused, |age| age >= limit))
        };
        let others = self.caught_up(now).filter(|(name, _)| *name != primary);
        others.filter(|(_, p)| lost_primary(p)).count() >= self.promotion_quorum()
    }

    fn await_term(&mut self, term: Term, now: Millis, steps: &mut Vec<FailoverStep>) {
        if self.recorded.term < term {
            return self.push_step(None, FailoverStep::Term(term), now, steps);
        }
        // The term is recorded, but maybe by another owner. Without the answer to this owner's
        // proposal, only the next term is safe to use.
        if now.saturating_sub(self.since) >= PROPOSAL_ANSWER_TIMEOUT_MS {
            self.start_promotion(self.since, now, steps);
        }
    }

    fn fence(&mut self, term: Term, now: Millis, steps: &mut Vec<FailoverStep>) {
        let since = self.since;
        let fresh = |p: &Peer| p.status.filter(|_| p.reported > since);
        let superseded = |s: Status| s.term > term || (s.term == term && s.role == Role::Primary);
        if self.peers.values().filter_map(fresh).any(superseded) {
            return self.start_promotion(since, now, steps);
        }
        let fenced = |p: &Peer| fresh(p).filter(|s| s.term == term);
        let statuses: Vec<_> = self.peers.iter().map(|(n, p)| (n.clone(), fenced(p))).collect();
        for (name, _) in statuses.iter().filter(|(_, status)| status.is_none()) {
            self.push_step(Some(name), FailoverStep::Fence(name.clone(), term), now, steps);
        }
        let eligible =
            |n: &Name| self.peers.get(n).is_some_and(|p| !p.refused && p.filling.is_none());
        let ready =
            statuses.into_iter().filter_map(|(n, s)| s.filter(|_| eligible(&n)).map(|s| (n, s)));
        let ready: Vec<_> = ready.collect();
        let wait_for_all = self.first && now.saturating_sub(since) < FIRST_PROMOTION_WAIT_MS;
        if ready.len() < self.promotion_quorum() || (wait_for_all && ready.len() < self.peers.len())
        {
            return;
        }
        let claimed = |n: &Name| self.claimant.as_ref() == Some(n);
        let best = ready.into_iter().max_by_key(|(n, s)| (s.received, claimed(n)));
        if let Some((name, _)) = best {
            self.enter(Phase::Promoting(name.clone(), term), now);
            self.push_step(None, FailoverStep::Promote(name, term), now, steps);
        }
    }

    fn promote(&mut self, name: Name, term: Term, now: Millis, steps: &mut Vec<FailoverStep>) {
        let peer = self.peers.get(&name);
        let status = peer.filter(|p| p.reported > self.since).and_then(|p| p.status);
        if status.is_some_and(|s| s.term == term && s.role == Role::Primary) {
            self.enter(Phase::Confirming(name.clone(), term), now);
            self.follow(&name, term, now, steps);
            return self.push_step(None, FailoverStep::Primary(name, term), now, steps);
        }
        // The server may have been promoted although no answer arrived, so promoting another one
        // requires a new term.
        let answered = peer.and_then(|p| p.answered).unwrap_or(0).max(self.since);
        let unreachable =
            peer.is_none_or(|p| p.refused) || now.saturating_sub(answered) >= SERVER_TIMEOUT_MS;
        if unreachable || status.is_some_and(|s| s.term > term) {
            return self.start_promotion(self.since, now, steps);
        }
        self.push_step(None, FailoverStep::Promote(name, term), now, steps);
    }

    /// Tells the servers that do not follow `primary` to follow it.
    fn follow(&mut self, primary: &Name, term: Term, now: Millis, steps: &mut Vec<FailoverStep>) {
        let confirming = self.phase != Phase::Steady;
        let needs_follow = |p: &Peer| {
            let ordered = p.follows.as_ref() == Some(&(primary.clone(), term));
            p.status.is_some_and(|s| match s.upstream_age {
                _ if s.role == Role::Primary || s.term < term => true,
                None => true,
                Some(age) => !ordered && (confirming || age >= REFOLLOW_TIMEOUT_MS),
            })
        };
        let others = self.peers.iter().filter(|(name, p)| *name != primary && needs_follow(p));
        let others: Vec<_> = others.map(|(name, _)| name.clone()).collect();
        for server in others {
            let step =
                FailoverStep::Follow { server: server.clone(), primary: primary.clone(), term };
            self.push_step(Some(&server), step, now, steps);
        }
    }
}

/// Whether a log that ends at `end` in `term` has all records up to `target`. A last record of a
/// term between the two may come from a log that the primary has replaced.
fn includes(end: Position, target: Position, term: Term) -> bool {
    let same = end.term == target.term || end.term == term;
    same && end >= target && end.offset >= target.offset
}
