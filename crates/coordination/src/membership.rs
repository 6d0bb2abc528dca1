//! Choice of the voters in the control group.
//!
//! The group keeps an odd number of voters, enough to tolerate the configured number of disk
//! losses; all other members are learners. With an odd number, one side of any network partition in
//! two has a majority. An unresponsive voter may return with its disk, so it stays a voter until a
//! learner that has caught up has become a voter as well: an absence never lowers the number of
//! disk losses that the group tolerates.
//!
//! A voter that is known to have lost its disk adds nothing by staying. It is removed at once, so that
//! each of the others has all later changes if two are left, and the loss of one more disk leaves a
//! quorum; see [`crate::raft`].

use std::collections::{BTreeMap, BTreeSet};

use auburnlug_state::{Millis, Name};

use crate::{bootstrap::instance_of, raft::Members};

/// Time without an acknowledgement after which a learner becomes a voter in addition to a silent
/// one. Each leader measures it anew, so it is short enough for a change of the leader during a
/// replacement, and longer than a restart of a process.
pub const PROMOTION_TIMEOUT_MS: Millis = 1_500;

/// Time without an acknowledgement after which a member is removed. Longer than an election and a
/// restart of the member's process.
pub const MEMBER_REPLACEMENT_TIMEOUT_MS: Millis = 3_000;

/// With fewer voters, the group would stop as soon as one of them is absent.
const MIN_VOTERS: usize = 3;

/// Replication progress of a member as the leader knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Progress {
    /// Whether the member has all entries that the leader had when it started to track the member,
    /// and has acknowledged a message recently.
    pub caught_up: bool,
    /// Time since the last acknowledgement arrived, or since this leader tracks the member if none
    /// has, in milliseconds. For a learner, without the time that what was sent to it takes.
    pub ack_age: Millis,
}

impl Progress {
    fn unresponsive(&self) -> bool {
        self.ack_age >= MEMBER_REPLACEMENT_TIMEOUT_MS
    }
}

/// Control group as its leader sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ControlGroup {
    /// Current membership.
    pub members: Members,
    /// Identity of the leader.
    pub leader: Name,
    /// Members that ask to join, by the newest identity of each instance.
    pub joining: BTreeSet<Name>,
    /// Members that are known to have lost their disks.
    pub lost: BTreeSet<Name>,
    /// Progress of the other members, by identity.
    pub progress: BTreeMap<Name, Progress>,
    /// Number of simultaneous disk losses that the group must tolerate.
    pub losses: usize,
}

impl ControlGroup {
    /// Next membership, one step from the current one; `None` if no change is needed.
    ///
    /// Steps in order of priority: remove voters without their disks, remove learners that will not
    /// return, add joining members as learners, remove voters too many, promote learners to voters.
    pub fn next_members(&self) -> Option<Members> {
        let next = self.members.clone();
        if let Some(name) = self.surplus_voter(|name| self.lost.contains(name)) {
            return Some(without_voter(next, name));
        }
        if let Some(name) = self.members.learners.iter().find(|name| self.is_abandoned(name)) {
            return Some(without_learner(next, name));
        }
        let is_member = |name: &Name| self.members.all().any(|member| member == name);
        if let Some(name) = self.joining.iter().find(|name| !is_member(name)) {
            return Some(with_learner(next, name));
        }
        if let Some(name) = self.voter_to_remove() {
            return Some(without_voter(next, name));
        }
        let name = self.learner_to_promote()?;
        Some(with_voter(next, name))
    }

    /// Number of voters that the group should have.
    fn target_voters(&self) -> usize {
        MIN_VOTERS.max(2 * self.losses + 1)
    }

    fn progress(&self, name: &Name) -> Progress {
        let unknown = Progress { caught_up: false, ack_age: 0 };
        self.progress.get(name.as_str()).copied().unwrap_or(unknown)
    }

    /// Whether a learner has since lost its disk, or is unresponsive.
    fn is_abandoned(&self, name: &Name) -> bool {
        let newer = |other: &Name| is_other_identity(other, name);
        self.joining.iter().any(newer) || self.progress(name).unresponsive()
    }

    /// Voter without its disk, as `is_lost` tells, that can be removed.
    ///
    /// Of two voters, it stays until a learner has become a voter: a single voter would acknowledge
    /// what no other disk has.
    fn surplus_voter(&self, is_lost: impl Fn(&Name) -> bool) -> Option<&Name> {
        let voters = &self.members.voters;
        voters.iter().filter(|_| voters.len() > 2).find(|name| is_lost(name))
    }

    /// Voter to remove, if any.
    ///
    /// A voter whose instance takes part under another identity is removed first, so that an instance
    /// never has two votes. Otherwise, if there are too many voters, the one that has been
    /// unresponsive for longest is removed. If none has been for long enough, one is removed only if
    /// all that stay have caught up. Right after an election the ages are about equal, so that age
    /// alone must not decide.
    fn voter_to_remove(&self) -> Option<&Name> {
        if let Some(former) = self.surplus_voter(|name| self.is_replaced(name)) {
            return Some(former);
        }
        let voters = &self.members.voters;
        if voters.len() <= self.target_voters() {
            return None;
        }
        let others = voters.iter().filter(|name| **name != self.leader);
        let priority = |name: &&Name| {
            let progress = self.progress(name);
            (!progress.caught_up, progress.ack_age, (*name).clone())
        };
        let name = others.clone().max_by_key(priority)?;
        let stays = |other: &&Name| *other != name;
        let others_caught_up = others.filter(stays).all(|other| self.progress(other).caught_up);
        (self.progress(name).unresponsive() || others_caught_up).then_some(name)
    }

    /// Whether the instance of a voter takes part under another identity.
    fn is_replaced(&self, name: &Name) -> bool {
        let present = |other: &Name| *other == self.leader || self.progress(other).caught_up;
        self.members.all().any(|other| is_other_identity(other, name) && present(other))
    }

    /// Learner to promote, if the group has too few voters or a voter is silent.
    ///
    /// One whose instance has no voter goes first: an instance has two identities among the voters
    /// only if one of them has lost its disk, and then only for one step.
    fn learner_to_promote(&self) -> Option<&Name> {
        let voters = &self.members.voters;
        let is_silent = |name: &Name| {
            *name != self.leader && self.progress(name).ack_age >= PROMOTION_TIMEOUT_MS
        };
        let caught_up = |name: &&Name| self.progress(name).caught_up;
        let replaces = |name: &&Name| voters.iter().any(|voter| is_other_identity(name, voter));
        let learners = self.members.learners.iter().filter(caught_up);
        let learner = learners.min_by_key(replaces)?;
        let needs_voter = voters.len() < self.target_voters() || voters.iter().any(is_silent);
        needs_voter.then_some(learner)
    }
}

/// Whether two names are different identities of one instance.
fn is_other_identity(one: &Name, other: &Name) -> bool {
    one != other && instance_of(one).is_some_and(|instance| instance_of(other) == Some(instance))
}

fn with_learner(mut members: Members, name: &Name) -> Members {
    members.learners.insert(name.clone());
    members
}

fn without_learner(mut members: Members, name: &Name) -> Members {
    members.learners.remove(name.as_str());
    members
}

fn with_voter(mut members: Members, name: &Name) -> Members {
    members.learners.remove(name.as_str());
    members.voters.insert(name.clone());
    members
}

fn without_voter(mut members: Members, name: &Name) -> Members {
    members.voters.remove(name.as_str());
    members
}
