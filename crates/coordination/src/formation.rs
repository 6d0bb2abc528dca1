//! How control members without state find or found their group.
//!
//! A member that finds no data folder cannot tell a first start from a lost disk, so it asks the
//! others. It founds the group only if it is the first in the settings and every other member
//! answers that it has no state either; one member with state is enough to rule that out.

use std::collections::{BTreeMap, BTreeSet};

use auburnlug_state::Name;

use crate::raft::Members;

/// What a member without state does next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// Keep asking.
    Wait,
    /// Found the group with these members.
    Found(Members),
    /// The group was founded with this member: start with an empty log.
    Adopt(Members),
    /// The group exists without this identity: ask the leader to be added.
    Join,
}

/// Search of a member without state.
#[derive(Debug)]
pub struct Formation {
    instance: Name,
    identity: Name,
    others: BTreeMap<Name, Option<Name>>,
}

impl Formation {
    /// Search of `instance` with its new `identity` among the configured members.
    pub fn new(instance: Name, identity: Name, configured: &BTreeSet<Name>) -> Formation {
        let others = configured.iter().filter(|name| **name != instance);
        let others = others.map(|name| (name.clone(), None)).collect();
        Formation { instance, identity, others }
    }

    /// First decision, before any answer.
    pub fn start(&self) -> Decision {
        self.decide()
    }

    /// Takes the answer of the member `from`.
    pub fn probed(&mut self, from: &Name, identity: Name, members: Option<Members>) -> Decision {
        match members {
            Some(members) if members.voters.contains(self.identity.as_str()) => {
                return Decision::Adopt(members);
            }
            Some(_) => return Decision::Join,
            None => {}
        }
        if let Some(answer) = self.others.get_mut(from.as_str()) {
            *answer = Some(identity);
        }
        self.decide()
    }

    fn decide(&self) -> Decision {
        let first = self.others.keys().all(|other| self.instance < *other);
        let answers: Option<BTreeSet<Name>> = self.others.values().cloned().collect();
        match answers {
            Some(mut voters) if first => {
                voters.insert(self.identity.clone());
                Decision::Found(Members { voters, learners: BTreeSet::new() })
            }
            _ => Decision::Wait,
        }
    }
}

/// Instance to which a member identity of the form `instance.random` belongs.
pub fn instance_of(identity: &Name) -> Option<Name> {
    let (instance, _) = identity.as_str().rsplit_once('.')?;
    Name::try_from(instance).ok()
}

/// Voters that a group keeps: with fewer, the loss of one would stop it.
const LEAST_VOTERS: usize = 3;

/// Next membership, if it should change.
///
/// `joining` asks to join, and tells whether it holds all that was committed when it asked; `lost`
/// is a voter that has been silent for long; `present` tells whether all voters have answered
/// lately. A lost voter leaves as soon as enough others are there, and before its successor votes:
/// counted in, it would only make majorities harder to reach. While it is not known whether a
/// silent voter is lost, no other is added.
pub fn membership_step(
    members: &Members,
    joining: Option<&(Name, bool)>,
    lost: Option<&Name>,
    present: bool,
) -> Option<Members> {
    let without = |lost: &Name| {
        let mut next = members.clone();
        next.voters.remove(lost.as_str()).then_some(next)
    };
    if let Some(lost) = lost.filter(|_| members.voters.len() > LEAST_VOTERS) {
        return without(lost);
    }
    let (name, filled) = joining?;
    let instance = instance_of(name);
    let former = members.voters.iter().any(|id| instance.is_some() && instance_of(id) == instance);
    let learns = members.learners.contains(name.as_str());
    if *filled && learns && !former && !present {
        return lost.filter(|_| members.voters.len() == LEAST_VOTERS).and_then(without);
    }
    join_step(members, name, *filled)
}

/// Next membership on the way of `joining` into the group; `None` while there is nothing to do.
///
/// The member is filled as a learner first. Its instance's former identity leaves before it
/// becomes a voter, so that an instance never votes twice. `filled` tells whether it holds all
/// that was committed when it asked.
pub fn join_step(members: &Members, joining: &Name, filled: bool) -> Option<Members> {
    if members.voters.contains(joining.as_str()) {
        return None;
    }
    let instance = instance_of(joining)?;
    let of = |id: &&Name| *id != joining && instance_of(id).as_ref() == Some(&instance);
    let mut next = members.clone();
    // A former run that lost its disk before it was filled never comes back.
    if let Some(former) = members.learners.iter().find(of) {
        next.learners.remove(former.as_str());
        return Some(next);
    }
    if next.learners.insert(joining.clone()) {
        return Some(next);
    }
    if !filled {
        return None;
    }
    if let Some(former) = members.voters.iter().find(of) {
        next.voters.remove(former.as_str());
        return Some(next);
    }
    next.learners.remove(joining.as_str());
    next.voters.insert(joining.clone());
    Some(next)
}
