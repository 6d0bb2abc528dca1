//! Replacement of a primary by an authority outside the system.
//!
//! The authority promotes the server that it is told to, with what that server's log has received.
//! So before the order goes out, the former primary must be unable to acknowledge commits, every
//! entry must have stopped to use it, and the chosen server must hold all that was acknowledged.
//! [`next_step`] derives the next action from what is known; it keeps no state of its own, so a new
//! control leader continues where the last one ended.

use std::{collections::BTreeMap, sync::Arc};

use auburnlug_state::{Millis, Term};

use crate::Position;

/// Why a primary is to be replaced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// Nobody reaches it.
    Unreachable,
    /// It announced that it leaves.
    Leaving,
    /// It answers but no longer acknowledges commits.
    Stalled,
}

/// Status that a server reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Status {
    /// Whether it takes itself for the primary.
    pub leads: bool,
    /// Term of its log.
    pub term: Term,
    /// End of its log.
    pub received: Position,
}

/// What is known of a server.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Member {
    /// Whether it is leaving.
    pub draining: bool,
    /// Whether it answered lately.
    pub reachable: bool,
    /// Status that it reported after it was fenced, or the newest one.
    pub status: Option<Status>,
    /// Term up to which it refuses to receive commits or to lead.
    pub fenced: Term,
}

/// What is known of a group whose primary is being replaced.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Facts {
    /// Recorded term.
    pub term: Term,
    /// Former primary; `None` if it is not known.
    pub former: Option<Arc<str>>,
    /// Why it is replaced.
    pub cause: Cause,
    /// Servers.
    pub members: BTreeMap<Arc<str>, Member>,
    /// Replicas that hold a commit before it is acknowledged.
    pub synchronous: u32,
    /// Whether every entry has stopped to use the former primary.
    pub released: bool,
    /// Server named in an order whose outcome is not known.
    pub ordered: Option<Arc<str>>,
}

/// Next action.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// A server leads a later term already.
    Adopt(Arc<str>, Term),
    /// Make these servers refuse commits of the former primary.
    Pause(Vec<Arc<str>>),
    /// Make the former primary a replica.
    Demote(Arc<str>),
    /// Order the promotion of this server.
    Promote(Arc<str>),
    /// The former primary leads on.
    Keep(Arc<str>),
    /// Wait for what is named.
    Wait(&'static str),
}

/// Decides the next step.
pub fn next_step(facts: &Facts) -> Step {
    let leads = |member: &Member| member.status.filter(|status| status.leads);
    let later = facts.members.iter().find_map(|(id, member)| {
        leads(member).filter(|status| status.term > facts.term).map(|s| (id.clone(), s.term))
    });
    if let Some((id, term)) = later {
        return Step::Adopt(id, term);
    }
    if let Some(step) = fence(facts) {
        return step;
    }
    if !facts.released {
        return Step::Wait("entries to release the former primary");
    }
    match candidate(facts) {
        Ok(id) => Step::Promote(id),
        Err(reason) => Step::Wait(reason),
    }
}

/// Action that is still needed before the former primary can acknowledge nothing more.
fn fence(facts: &Facts) -> Option<Step> {
    let fence = facts.term + 1;
    let former = facts.former.as_ref().and_then(|id| Some((id, facts.members.get(id)?)));
    if let Some((id, member)) = former {
        if member.fenced >= fence {
            return None;
        }
        let gone = facts.cause == Cause::Unreachable;
        if member.reachable && gone && facts.ordered.is_none() && !any_paused(facts) {
            return Some(Step::Keep(id.clone()));
        }
        if member.reachable {
            return Some(Step::Demote(id.clone()));
        }
    }
    let open: Vec<Arc<str>> = others(facts)
        .filter(|(_, member)| member.fenced < fence && member.reachable)
        .map(|(id, _)| id.clone())
        .collect();
    if !open.is_empty() {
        return Some(Step::Pause(open));
    }
    let all = others(facts).all(|(_, member)| member.fenced >= fence);
    (!all || facts.members.len() < 2).then_some(Step::Wait("replicas to be fenced"))
}

fn any_paused(facts: &Facts) -> bool {
    others(facts).any(|(_, member)| member.fenced > facts.term)
}

fn others(facts: &Facts) -> impl Iterator<Item = (&Arc<str>, &Member)> {
    facts.members.iter().filter(|(id, _)| Some(*id) != facts.former.as_ref())
}

/// Server with the longest log that is sure to hold every acknowledged commit.
///
/// A commit that was acknowledged is on one replica at least, but not on each. So either all
/// replicas are compared, or the chosen one has all that the former primary has.
fn candidate(facts: &Facts) -> Result<Arc<str>, &'static str> {
    if let Some(id) = &facts.ordered {
        return Ok(id.clone());
    }
    let complete = others(facts).all(|(_, member)| member.status.is_some() && member.reachable);
    let former = facts.former.as_ref().and_then(|id| facts.members.get(id));
    let end = former.filter(|m| m.fenced > facts.term).and_then(|m| m.status).map(|s| s.received);
    let known = || others(facts).filter(|(_, member)| member.reachable);
    let best = known().filter_map(|(_, m)| m.status).map(|s| s.received).max();
    let Some(best) = best else { return Err("a reachable replica") };
    let safe = end.is_some_and(|end| best >= end) || (complete && facts.synchronous > 0);
    let lossy = facts.synchronous == 0 && complete;
    if !safe && !lossy {
        return Err("a replica that may hold acknowledged commits");
    }
    let full = |member: &Member| member.status.is_some_and(|status| status.received == best);
    let stays = known().filter(|(_, m)| full(m)).find(|(_, m)| !m.draining);
    stays
        .or_else(|| known().find(|(_, member)| full(member)))
        .map(|(id, _)| id.clone())
        .ok_or("a reachable replica")
}

/// What is known of a primary in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Watch {
    /// Whether it announced that it leaves.
    pub draining: bool,
    /// Time since anyone heard from it, in milliseconds.
    pub silent: Millis,
    /// Connects refused in a row.
    pub refused: u32,
    /// Commits in a row that entries saw unanswered.
    pub stalled: u32,
    /// Time since the replicas fell behind what the primary has received, in milliseconds; 0 if
    /// one of them has it all.
    pub apart: Millis,
    /// Connects in a row that nothing answered.
    pub unanswered: u32,
}

/// Silence after which a primary is given up, in milliseconds. Two lost packets in a row on a link
/// between regions delay an answer by 600 ms.
const SILENT: Millis = 900;

/// Silence with which unanswered connects count, in milliseconds.
const QUIET: Millis = 600;

/// Refused connects that show that the process is gone.
const REFUSED: u32 = 2;

/// Unanswered connects that confirm a silence.
const UNANSWERED: u32 = 1;

/// Unanswered commits that raise the question whether replicas receive them. An overloaded primary
/// leaves commits unanswered too, but its replicas receive what it commits.
const STALLED: u32 = 2;

/// Time without a replica that receives commits after which a primary is given up, in milliseconds:
/// several times the way between regions and a lost packet.
const APART: Millis = 800;

/// Whether a primary is to be replaced.
pub fn suspect(watch: &Watch) -> Option<Cause> {
    if watch.refused >= REFUSED {
        return Some(Cause::Unreachable);
    }
    if watch.silent >= SILENT || (watch.unanswered >= UNANSWERED && watch.silent >= QUIET) {
        return Some(Cause::Unreachable);
    }
    if watch.draining {
        return Some(Cause::Leaving);
    }
    (watch.stalled >= STALLED && watch.apart >= APART).then_some(Cause::Stalled)
}
