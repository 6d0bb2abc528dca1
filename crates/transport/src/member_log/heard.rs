//! Identities from which a member has heard, as a sign of life and of lost disks.
//!
//! A member that lost its disk returns under a new identity. Messages of the former identity may
//! arrive late, so an identity only replaces another one that was heard for the first time before.

use std::collections::{BTreeMap, BTreeSet};

use auburnlug_coordination::{bootstrap::instance_of, raft::Members};
use auburnlug_protocol::peer::ControlMessage;
use auburnlug_state::{Millis, Name};

/// Identities that are kept of each instance.
const MAX_IDENTITIES: usize = 4;

/// Identities from which a member has heard since its start, and its own.
#[derive(Debug)]
pub(super) struct HeardMembers {
    identities: BTreeMap<Name, Heard>,
}

#[derive(Debug)]
struct Heard {
    instance: Name,
    /// Time of the first message.
    first: Millis,
    /// Time of the last message.
    last: Millis,
    /// Whether its own log lists it as a voter, as far as it has said so.
    votes: bool,
}

impl HeardMembers {
    pub(super) fn new(own: &Name, now: Millis) -> HeardMembers {
        let mut heard = HeardMembers { identities: BTreeMap::new() };
        if let Some(instance) = instance_of(own) {
            heard.add(own, instance, now);
        }
        heard
    }

    /// Records the sender of a message from the instance `from`.
    pub(super) fn record(&mut self, from: &Name, message: &ControlMessage, now: Millis) {
        let (ControlMessage::Raft { from: identity, .. }
        | ControlMessage::Probe { identity }
        | ControlMessage::Join { identity }
        | ControlMessage::Probed { identity, .. }) = message
        else {
            return;
        };
        if !self.identities.contains_key(identity.as_str()) {
            if instance_of(identity).as_ref() != Some(from) {
                return;
            }
            self.add(identity, from.clone(), now);
        }
        let Some(heard) = self.identities.get_mut(identity.as_str()) else { return };
        if heard.instance != *from {
            return;
        }
        heard.last = now;
        if let ControlMessage::Probed { members: Some(members), .. } = message {
            heard.votes = members.voters.contains(identity.as_str());
        }
    }

    /// Time since the last message of an identity; `None` if there was none.
    pub(super) fn age(&self, identity: &Name, now: Millis) -> Option<Millis> {
        let heard = self.identities.get(identity.as_str())?;
        Some(now.saturating_sub(heard.last))
    }

    /// Identity under which the instance of a voter has returned, so that the voter has lost its
    /// disk.
    pub(super) fn successor(&self, voter: &Name) -> Option<&Name> {
        let (instance, _) = voter.as_str().rsplit_once('.')?;
        let former = self.identities.get(voter.as_str());
        let replaces = |heard: &Heard| {
            former.is_none_or(|former| heard.first > former.first && heard.last >= former.last)
        };
        let same = self.identities.iter().filter(|(identity, heard)| {
            *identity != voter && heard.instance.as_str() == instance && replaces(heard)
        });
        same.max_by_key(|(_, heard)| heard.first).map(|(identity, _)| identity)
    }

    /// Voters whose instance has returned under another identity.
    pub(super) fn lost_voters(&self, members: &Members) -> BTreeSet<Name> {
        let voters = members.all_voters();
        voters.filter(|voter| self.successor(voter).is_some()).cloned().collect()
    }

    /// Whether an identity that `members` does not list as a voter votes by its own log, so that
    /// `members` may be outdated.
    pub(super) fn outdates(&self, members: &Members) -> bool {
        let mut heard = self.identities.iter();
        heard.any(|(identity, heard)| heard.votes && !members.is_voter(identity))
    }

    fn add(&mut self, identity: &Name, instance: Name, now: Millis) {
        let earlier = self.identities.iter().filter(|(_, heard)| heard.instance == instance);
        if earlier.clone().count() >= MAX_IDENTITIES {
            let oldest = earlier.min_by_key(|(_, heard)| heard.last);
            if let Some(oldest) = oldest.map(|(identity, _)| identity.clone()) {
                self.identities.remove(oldest.as_str());
            }
        }
        let heard = Heard { instance, first: now, last: now, votes: false };
        self.identities.insert(identity.clone(), heard);
    }
}
