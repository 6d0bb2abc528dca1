//! Single steps between two memberships of the control group.

use auburnlug_state::Name;

use crate::raft::Members;

/// Kind of a membership step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StepKind {
    /// A member that asked to join replicates the log.
    LearnerAdded,
    /// A learner leaves the group.
    LearnerRemoved,
    /// A learner becomes a voter.
    LearnerPromoted,
    /// A voter leaves the group.
    VoterRemoved,
}

/// A single step from one membership to the next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MembershipStep {
    /// What happens to the member.
    pub kind: StepKind,
    /// Identity of the member.
    pub member: Name,
}

impl StepKind {
    /// All kinds.
    pub const ALL: [StepKind; 4] = [
        StepKind::LearnerAdded,
        StepKind::LearnerRemoved,
        StepKind::LearnerPromoted,
        StepKind::VoterRemoved,
    ];

    /// Name of the kind in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            StepKind::LearnerAdded => "learner_added",
            StepKind::LearnerRemoved => "learner_removed",
            StepKind::LearnerPromoted => "learner_promoted",
            StepKind::VoterRemoved => "voter_removed",
        }
    }
}

impl MembershipStep {
    /// Step that leads from `old` to `new`; `None` if they are equal or differ by more than one
    /// step.
    pub fn between(old: &Members, new: &Members) -> Option<MembershipStep> {
        let added: Vec<&Name> = new.voters.difference(&old.voters).collect();
        let removed: Vec<&Name> = old.voters.difference(&new.voters).collect();
        let added_learners: Vec<&Name> = new.learners.difference(&old.learners).collect();
        let removed_learners: Vec<&Name> = old.learners.difference(&new.learners).collect();
        let (kind, member) = match (&added[..], &removed[..], &added_learners[..]) {
            ([], [], [learner]) if removed_learners.is_empty() => {
                (StepKind::LearnerAdded, *learner)
            }
            ([], [voter], []) if removed_learners.is_empty() => (StepKind::VoterRemoved, *voter),
            ([voter], [], []) if removed_learners == [*voter] => {
                (StepKind::LearnerPromoted, *voter)
            }
            ([], [], []) => match &removed_learners[..] {
                [learner] => (StepKind::LearnerRemoved, *learner),
                _ => return None,
            },
            _ => return None,
        };
        Some(MembershipStep { kind, member: member.clone() })
    }
}
