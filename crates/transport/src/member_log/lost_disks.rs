//! Log line about more lost disks than the group tolerates, as far as one member knows.

use std::{collections::BTreeSet, fmt::Write};

use auburnlug_coordination::raft::{Members, Raft};
use auburnlug_state::{Millis, Name};

use super::{
    heard::HeardMembers,
    leaderless::{LEADERLESS_LOG_DELAY_MS, LEADERLESS_LOG_INTERVAL_MS},
    role,
};
use crate::event::{Event, log};

/// What a member has logged about lost disks.
#[derive(Debug, Default)]
pub(super) struct LostDisksLog {
    /// Time of the last line.
    logged: Option<Millis>,
    /// Voters without their disks at the last line; empty if the group could lead since.
    lost: BTreeSet<Name>,
}

impl LostDisksLog {
    /// Forgets the last line, as a leader is known.
    pub(super) fn end(&mut self) {
        self.lost.clear();
    }

    /// Logs that the voters with their disks cannot elect a leader, if the member `identity` knows
    /// no leader since `since`. Logged again once other voters have lost their disks.
    pub(super) fn observe(
        &mut self,
        identity: &Name,
        raft: &Raft,
        heard: &HeardMembers,
        since: Millis,
        now: Millis,
    ) {
        let waits = self.logged.is_some_and(|logged| now < logged + LEADERLESS_LOG_INTERVAL_MS);
        let members = raft.members();
        // A member that was away may know voters only that have been replaced since.
        if waits || now < since + LEADERLESS_LOG_DELAY_MS || heard.outdates(members) {
            return;
        }
        let lost = heard.lost_voters(members);
        if lost.is_empty()
            || members.is_quorum(&members.all_voters().cloned().collect(), &lost, identity)
        {
            return self.end();
        }
        if lost == self.lost {
            return;
        }
        let (role, index, term) = (role(members, identity), raft.last_index(), raft.term());
        let (needed, left) = (members.needed(&lost, identity), describe_left(members, &lost));
        let described = describe_lost(&lost, heard);
        log(
            Event::DisksLost,
            format_args!(
                "identity={identity} role={role} last_index={index} term={term} needed={needed} \
                 left=[{left}] lost=[{described}]"
            ),
        );
        self.logged = Some(now);
        self.lost = lost;
    }
}

fn describe_left(members: &Members, lost: &BTreeSet<Name>) -> String {
    let left = members.all_voters().filter(|name| !lost.contains(*name));
    let left: Vec<&str> = left.map(Name::as_str).collect();
    left.join(", ")
}

/// Lost voters, each with the identity under which its instance has returned.
fn describe_lost(lost: &BTreeSet<Name>, heard: &HeardMembers) -> String {
    let mut text = String::new();
    for name in lost {
        let separator = if text.is_empty() { "" } else { ", " };
        let successor = heard.successor(name).map_or("none", Name::as_str);
        // Writing to a string does not fail.
        let _ = write!(text, "{separator}{name} now={successor}");
    }
    text
}
