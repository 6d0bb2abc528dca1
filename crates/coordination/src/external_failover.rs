//! External failover: replacement of a primary by an authority outside the system.
//!
//! The authority promotes the server that it is ordered to, with whatever that server's log has
//! received. So before the order is sent, the former primary must be unable to acknowledge commits,
//! every entry must have stopped using it, and the chosen server must have all acknowledged
//! commits. A second order for another server would roll back what the first one committed, so one
//! server at a time is ordered. [`next_step`] derives the next action from the known facts and keeps
//! no state, so a new control leader continues where the previous one stopped.

use std::{collections::BTreeMap, sync::Arc};

use auburnlug_state::{Millis, Term};

use crate::Position;

/// Why a primary is to be replaced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// It cannot be reached.
    Unreachable,
    /// It has announced that it is shutting down.
    Leaving,
    /// It answers but no longer acknowledges commits.
    Stalled,
    /// It answers as a replica.
    Demoted,
    /// Its failure domain is evacuated.
    Evacuated,
}

/// Status reported by a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Status {
    /// Whether the server considers itself the primary.
    pub leads: bool,
    /// Term of the server's log.
    pub term: Term,
    /// End of the server's log.
    pub received: Position,
}

/// Known facts about a server.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Member {
    /// Whether the server is draining.
    pub draining: bool,
    /// Whether its failure domain is evacuated.
    pub evacuated: bool,
    /// Whether the server has answered recently.
    pub reachable: bool,
    /// Latest status.
    pub status: Option<Status>,
    /// Whether the status was reported after this server or the former primary was fenced, so that
    /// it includes every acknowledged commit that the server received.
    pub settled: bool,
    /// Position that the log includes, by the status or by a refusal to report one.
    pub holds: Position,
    /// Fencing term: the server refuses to receive commits or to lead up to this term.
    pub fenced: Term,
}

/// Known facts about a group whose primary is being replaced.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Facts {
    /// Recorded term.
    pub term: Term,
    /// Former primary, if it is known.
    pub former: Option<Arc<str>>,
    /// Why the primary is replaced.
    pub cause: Cause,
    /// Servers of the group, including the former primary.
    pub members: BTreeMap<Arc<str>, Member>,
    /// Number of replicas that must have received a commit before it is acknowledged.
    pub synchronous: u32,
    /// Highest position that a replica that has left the group may have received; `None` while it
    /// is unknown.
    pub departed: Option<Position>,
    /// Whether every entry has stopped using the former primary.
    pub released: bool,
    /// Time since the former primary was demoted, in milliseconds; 0 if it was not.
    pub demoted_for: Millis,
    /// Time for which this control leader has received heartbeats, in milliseconds.
    pub led_for: Millis,
    /// Promotion that was ordered, while its outcome is unknown.
    pub ordered: Option<Ordered>,
}

/// A promotion that was ordered by this control leader or an earlier one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ordered {
    /// Server to promote.
    pub server: Arc<str>,
    /// Whether the process that was chosen still runs, as far as known.
    pub running: bool,
    /// Whether an order sent so far may still take effect.
    pub pending: bool,
}

/// Next action in the replacement of a primary.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Record this server as the primary: it already leads this later term.
    Adopt(Arc<str>, Term),
    /// Make these servers refuse commits of the former primary.
    Pause(Vec<Arc<str>>),
    /// Demote the former primary to a replica.
    Demote(Arc<str>),
    /// Order the promotion of this server.
    Promote(Arc<str>),
    /// Give up the ordered promotion of this server, which can no longer take effect.
    Withdraw(Arc<str>),
    /// Keep the former primary.
    Keep(Arc<str>),
    /// Wait for the named condition.
    Wait(&'static str),
}

/// Decides the next step.
pub fn next_step(facts: &Facts) -> Step {
    if let Some((id, term)) = later_primary(facts) {
        // The other server, once it leads, would roll back what is committed until then.
        let is_superseded = |ordered: &Ordered| ordered.pending && ordered.server != id;
        if facts.ordered.as_ref().is_some_and(is_superseded) {
            return Step::Wait("the ordered promotion to take effect");
        }
        return Step::Adopt(id, term);
    }
    if let Some(ordered) = facts.ordered.as_ref().filter(|ordered| !ordered.running) {
        if ordered.pending {
            return Step::Wait("the ordered promotion to take effect");
        }
        return Step::Withdraw(ordered.server.clone());
    }
    if let Some(step) = next_fencing_step(facts) {
        return step;
    }
    if !facts.released {
        return Step::Wait("entries to release the former primary");
    }
    match choose_candidate(facts) {
        Ok(id) => Step::Promote(id),
        Err(reason) => Step::Wait(reason),
    }
}

/// Server that leads the latest term after the recorded one.
fn later_primary(facts: &Facts) -> Option<(Arc<str>, Term)> {
    let leading = facts.members.iter().filter_map(|(id, member)| {
        let status = member.status.filter(|status| status.leads && status.term > facts.term)?;
        Some((id.clone(), status.term))
    });
    leading.max_by_key(|(_, term)| *term)
}

/// Next action that is needed to keep the former primary from acknowledging commits, if any.
fn next_fencing_step(facts: &Facts) -> Option<Step> {
    let fence_term = facts.term + 1;
    let former = facts.former.as_ref().and_then(|id| Some((id, facts.members.get(id)?)));
    if let Some((id, member)) = former {
        if member.fenced >= fence_term {
            return None;
        }
        let unreachable = facts.cause == Cause::Unreachable;
        if member.reachable && unreachable && facts.ordered.is_none() && !any_replica_paused(facts)
        {
            return Some(Step::Keep(id.clone()));
        }
        if member.reachable {
            return Some(Step::Demote(id.clone()));
        }
    }
    let unfenced: Vec<Arc<str>> = replicas(facts)
        .filter(|(_, member)| member.fenced < fence_term && member.reachable)
        .map(|(id, _)| id.clone())
        .collect();
    if !unfenced.is_empty() {
        return Some(Step::Pause(unfenced));
    }
    let all = replicas(facts).all(|(_, member)| member.fenced >= fence_term);
    (!all || facts.members.len() < 2).then_some(Step::Wait("replicas to be fenced"))
}

fn any_replica_paused(facts: &Facts) -> bool {
    replicas(facts).any(|(_, member)| member.fenced > facts.term)
}

/// All servers except the former primary.
fn replicas(facts: &Facts) -> impl Iterator<Item = (&Arc<str>, &Member)> {
    facts.members.iter().filter(|(id, _)| Some(*id) != facts.former.as_ref())
}

/// Server whose log is certain to include every acknowledged commit.
///
/// An acknowledged commit is on the former primary and on at least one replica, which may have left
/// meanwhile. So the chosen server must have everything that the former primary has, or everything
/// that any replica can have received. If the only server of that kind is the former primary itself,
/// it leads again.
fn choose_candidate(facts: &Facts) -> Result<Arc<str>, &'static str> {
    if let Some(ordered) = &facts.ordered {
        return Ok(ordered.server.clone());
    }
    let demoted = facts.former.as_ref().and_then(|id| Some((id, facts.members.get(id)?)));
    let demoted = demoted.filter(|(_, member)| member.fenced > facts.term);
    let end = demoted.and_then(|(_, member)| member.status).map(|status| status.received);
    if let Some(position) = sufficient_position(facts, end) {
        let candidates = || replicas(facts).filter(|(_, m)| m.reachable && m.holds >= position);
        let chosen = candidates().min_by_key(|(_, member)| (member.evacuated, member.draining));
        let (id, member) = chosen.ok_or("a reachable replica")?;
        // A replica elsewhere receives what the demoted primary still sends.
        let may_catch_up = demoted.is_some() && facts.demoted_for < FORMER_REINSTATE_DELAY_MS;
        if member.evacuated && may_catch_up && replicas(facts).any(|(_, m)| is_elsewhere(m)) {
            return Err("a replica outside the evacuated domains");
        }
        return Ok(id.clone());
    }
    match demoted {
        Some((id, member))
            if member.reachable && facts.demoted_for >= FORMER_REINSTATE_DELAY_MS =>
        {
            Ok(id.clone())
        }
        _ => Err("a server that has every acknowledged commit"),
    }
}

/// Whether a server can take over from one in an evacuated domain.
fn is_elsewhere(member: &Member) -> bool {
    member.reachable && !member.evacuated && !member.draining
}

/// Position that a reachable replica has reached and that covers every acknowledged commit. `end`
/// is the end of the former primary's log, if it is known.
fn sufficient_position(facts: &Facts, end: Option<Position>) -> Option<Position> {
    let reached = |end: &Position| replicas(facts).any(|(_, m)| m.reachable && m.holds >= *end);
    if let Some(end) = end.filter(reached) {
        return Some(end);
    }
    // What the former primary has beyond all known replicas may be on one that is not known yet.
    if end.is_some() && facts.led_for < REGISTRATION_TIMEOUT_MS {
        return None;
    }
    let received = |member: &Member| {
        let status = member.status.filter(|_| member.reachable && member.settled)?;
        Some(status.received)
    };
    let compared: Option<Vec<_>> = replicas(facts).map(|(_, member)| received(member)).collect();
    let longest = compared?.into_iter().max()?;
    let acknowledges_alone = facts.synchronous == 0;
    (acknowledges_alone || facts.departed.is_some_and(|end| longest >= end)).then_some(longest)
}

/// Whether a promotion can follow once the present primary, which still answers, is demoted: the
/// choice of [`next_step`] by the statuses known so far, where recent ones count as settled.
///
/// Without one, the group would only lose its primary.
pub fn can_replace(facts: &Facts) -> bool {
    let present = facts.former.as_ref().and_then(|id| facts.members.get(id));
    let end = present.and_then(|member| member.status).map(|status| status.received);
    let position = sufficient_position(facts, end);
    if facts.cause == Cause::Evacuated {
        let can_lead =
            |end: Position| replicas(facts).any(|(_, m)| is_elsewhere(m) && m.holds >= end);
        return position.is_some_and(can_lead);
    }
    end.is_none() || position.is_some()
}

/// Observations of the current primary.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Watch {
    /// Whether the primary has announced that it is shutting down.
    pub draining: bool,
    /// Whether its failure domain is evacuated and a server elsewhere could lead.
    pub evacuated: bool,
    /// Whether the primary reports that it is a replica, in its term or a later one.
    pub demoted: bool,
    /// Time since the primary last answered anyone, in milliseconds.
    pub silent: Millis,
    /// Connection attempts in a row that were refused.
    pub refused: u32,
    /// Commits in a row, as reported by entries, that the primary left unanswered.
    pub stalled: u32,
    /// Time for which no replica has had everything that the primary has received, in milliseconds;
    /// 0 if one of them has.
    pub apart: Millis,
    /// Connection attempts in a row that timed out.
    pub unanswered: u32,
}

/// Time after which a demoted primary is promoted again if no replica is known to have all of its
/// commits. Replicas that can be reached report their positions sooner.
const FORMER_REINSTATE_DELAY_MS: Millis = 1_000;

/// Time after the election of a control leader within which a server may receive commits that the
/// leader has not heard of: a heartbeat that the former leader has not answered within a second is
/// sent again, and the first one after that may be lost as well.
const REGISTRATION_TIMEOUT_MS: Millis = 2_500;

/// Time without an answer after which a primary counts as unreachable. Two lost packets in a row on
/// a link between regions delay an answer by 600 ms.
const UNREACHABLE_TIMEOUT_MS: Millis = 900;

/// Time without an answer after which an unanswered connection attempt confirms that a primary is
/// unreachable.
const CONFIRMABLE_TIMEOUT_MS: Millis = 600;

/// Refused connection attempts that show that the server process has ended.
const MIN_REFUSED_CONNECTS: u32 = 2;

/// Unanswered connection attempts that confirm that a primary is unreachable.
const MIN_UNANSWERED_CONNECTS: u32 = 1;

/// Unanswered commits from which on the replicas' progress is considered. An overloaded primary
/// leaves commits unanswered too, but its replicas receive what it commits.
const MIN_STALLED_COMMITS: u32 = 2;

/// Time without a replica that receives commits after which a primary counts as stalled: several
/// times the latency between regions plus a lost packet.
const REPLICATION_LAG_TIMEOUT_MS: Millis = 800;

/// Cause to replace a primary, if any.
pub fn replacement_cause(watch: &Watch) -> Option<Cause> {
    if watch.refused >= MIN_REFUSED_CONNECTS {
        return Some(Cause::Unreachable);
    }
    if watch.silent >= UNREACHABLE_TIMEOUT_MS
        || (watch.unanswered >= MIN_UNANSWERED_CONNECTS && watch.silent >= CONFIRMABLE_TIMEOUT_MS)
    {
        return Some(Cause::Unreachable);
    }
    if watch.demoted {
        return Some(Cause::Demoted);
    }
    if watch.draining {
        return Some(Cause::Leaving);
    }
    if watch.evacuated {
        return Some(Cause::Evacuated);
    }
    (watch.stalled >= MIN_STALLED_COMMITS && watch.apart >= REPLICATION_LAG_TIMEOUT_MS)
        .then_some(Cause::Stalled)
}
