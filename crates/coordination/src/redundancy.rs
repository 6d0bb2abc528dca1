//! Number of simultaneous disk losses that the control group tolerates at a moment, whatever becomes of
//! the instances that lose them.
//!
//! A member that loses its disk loses its vote. The group keeps its quorum as long as enough of the
//! other voters are responsive and up to date. Learners do not count, as the quorum is one of voters. A
//! loss that its instance proves is tolerated besides, see [`crate::raft`]; it does not count, as the
//! instance may not return.

use auburnlug_state::Name;

use crate::membership::{ControlGroup, MEMBER_REPLACEMENT_TIMEOUT_MS};

/// Disk losses that a control group tolerates.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Redundancy {
    /// Number of simultaneous losses that the group tolerates now.
    pub tolerated: usize,
    /// Number of simultaneous losses that the group must tolerate.
    pub configured: usize,
}

impl Redundancy {
    /// Redundancy of a group as its leader sees it.
    pub fn of(group: &ControlGroup) -> Redundancy {
        let healthy = group.members.voters.iter().filter(|name| is_healthy(group, name)).count();
        let tolerated = healthy.saturating_sub(group.members.majority());
        Redundancy { tolerated, configured: group.losses }
    }

    /// Whether the group tolerates fewer losses than it must.
    pub fn is_reduced(&self) -> bool {
        self.tolerated < self.configured
    }
}

/// Whether a voter is the leader, or has caught up and is responsive.
fn is_healthy(group: &ControlGroup, name: &Name) -> bool {
    let up_to_date = group.progress.get(name.as_str()).is_some_and(|progress| {
        progress.caught_up && progress.ack_age < MEMBER_REPLACEMENT_TIMEOUT_MS
    });
    *name == group.leader || up_to_date
}
