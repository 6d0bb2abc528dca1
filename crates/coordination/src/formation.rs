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
