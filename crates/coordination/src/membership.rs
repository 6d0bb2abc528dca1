//! Who votes in a control group.
//!
//! The group keeps an odd number of voters, as many as the losses that it has to bear require, and
//! every further member follows as a learner. An odd number leaves one side of any cut with a
//! majority. A voter that is silent may come back with its disk, so it keeps its place until
//! another member that holds everything has one too: an absence never lowers the number of disks
//! that may be lost.

use std::collections::{BTreeMap, BTreeSet};

use auburnlug_state::{Millis, Name};

use crate::{formation::instance_of, raft::Members};

/// Silence after which another member may take a voter's place, in milliseconds. Longer than an
/// election and a restart of its process.
pub const LOST: Millis = 3_000;

/// Voters that a group keeps at least: with fewer, the absence of one would stop it.
const LEAST_VOTERS: usize = 3;

/// What a leader knows of another member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Standing {
    /// Whether it holds all that was committed when it became known, and has answered lately.
    pub filled: bool,
    /// Time since the sending of the last message that it acknowledged, in milliseconds.
    pub silent: Millis,
}

impl Standing {
    fn lost(&self) -> bool {
        self.silent >= LOST
    }
}

/// What the leader of a group knows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Group {
    /// Membership in force.
    pub members: Members,
    /// Identity of the leader.
    pub leader: Name,
    /// Members that ask to join; the newest identity of each instance.
    pub joining: BTreeSet<Name>,
    /// Other members, by identity.
    pub standing: BTreeMap<Name, Standing>,
    /// Disks that may be lost at once.
    pub losses: usize,
}

impl Group {
    /// Next membership, one step from the present one; `None` if it should stay.
    ///
    /// The steps in their order: forget learners that will not come back, add members that ask as
    /// learners, remove voters that are replaced, make learners voters.
    pub fn next(&self) -> Option<Members> {
        let next = self.members.clone();
        if let Some(name) = self.members.learners.iter().find(|name| self.abandoned(name)) {
            return Some(without_learner(next, name));
        }
        let known = |name: &Name| self.members.all().any(|member| member == name);
        if let Some(name) = self.joining.iter().find(|name| !known(name)) {
            return Some(with_learner(next, name));
        }
        if let Some(name) = self.surplus() {
            return Some(without_voter(next, name));
        }
        let name = self.candidate()?;
        Some(with_voter(next, name))
    }

    /// Voters that the group keeps.
    fn wanted(&self) -> usize {
        LEAST_VOTERS.max(2 * self.losses + 1)
    }

    fn standing(&self, name: &Name) -> Standing {
        let unknown = Standing { filled: false, silent: 0 };
        self.standing.get(name.as_str()).copied().unwrap_or(unknown)
    }

    /// Whether a learner has lost its disk since, or is silent for long.
    fn abandoned(&self, name: &Name) -> bool {
        let instance = instance_of(name);
        let newer = |other: &Name| other != name && instance_of(other) == instance;
        self.joining.iter().any(newer) || self.standing(name).lost()
    }

    /// A voter to remove.
    ///
    /// One whose instance has lost its disk leaves once the instance's new identity is filled, and
    /// before that one votes, so that an instance never votes twice. Otherwise one voter too many
    /// leaves: one that is lost, or any but the leader.
    fn surplus(&self) -> Option<&Name> {
        let voters = &self.members.voters;
        if let Some(former) = voters.iter().find(|name| self.replaced(name)) {
            return Some(former);
        }
        if voters.len() <= self.wanted() {
            return None;
        }
        let silence = |name: &&Name| (self.standing(name).silent, (*name).clone());
        voters.iter().filter(|name| **name != self.leader).max_by_key(silence)
    }

    /// Whether the instance of a voter has come back without its disk and holds everything again.
    fn replaced(&self, name: &Name) -> bool {
        self.successor(name).is_some_and(|successor| self.standing(successor).filled)
    }

    /// Learner of the same instance.
    fn successor(&self, name: &Name) -> Option<&Name> {
        let instance = instance_of(name)?;
        let same = |learner: &&Name| instance_of(learner).as_ref() == Some(&instance);
        self.members.learners.iter().find(same)
    }

    /// A learner to make a voter, if the group lacks one or a voter is to be replaced.
    fn candidate(&self) -> Option<&Name> {
        let voters = &self.members.voters;
        let lost = |name: &Name| *name != self.leader && self.standing(name).lost();
        let filled = |name: &&Name| self.standing(name).filled;
        let learner = self.members.learners.iter().find(filled)?;
        let lacks = voters.len() < self.wanted() || voters.iter().any(lost);
        lacks.then_some(learner)
    }
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
