//! Bootstrap of the control group, and discovery of an existing group by a member without state.
//!
//! A member without a data directory cannot tell its first start from the loss of its disk, so it
//! probes the other configured members. It bootstraps the group only if its name is the first in
//! order and every other member answers that it has no state either. One member with state is
//! enough to rule that out, even if it only waits to be added and cannot tell who is in the group.

use std::collections::{BTreeMap, BTreeSet};

use auburnlug_state::Name;

use crate::raft::Members;

/// What a member without state must do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BootstrapDecision {
    /// Keep probing.
    Wait,
    /// Bootstrap the group with these members.
    Bootstrap(Members),
    /// The group was bootstrapped with this member as a voter: start with an empty log.
    Adopt(Members),
    /// The group exists without this identity: ask the leader to add it.
    Join,
}

/// Bootstrap state of a member without state on disk.
#[derive(Debug)]
pub struct Bootstrap {
    instance: Name,
    identity: Name,
    /// Other configured instances, each with its identity once it has answered without state.
    others: BTreeMap<Name, Option<Name>>,
    /// Whether a member has answered that has heard of the group.
    group_exists: bool,
}

impl Bootstrap {
    /// Starts the bootstrap of `instance`, which has the new `identity`, among the configured
    /// members.
    pub fn new(instance: Name, identity: Name, configured: &BTreeSet<Name>) -> Bootstrap {
        let others = configured.iter().filter(|name| **name != instance);
        let others = others.map(|name| (name.clone(), None)).collect();
        Bootstrap { instance, identity, others, group_exists: false }
    }

    /// Decision before any answer was received; a single configured member needs none.
    pub fn start(&self) -> BootstrapDecision {
        self.decide()
    }

    /// Handles the answer of the member `from`; `members` is its group, if it has state.
    pub fn record_answer(
        &mut self,
        from: &Name,
        identity: Name,
        members: Option<Members>,
    ) -> BootstrapDecision {
        match members {
            Some(members) if members.voters.contains(self.identity.as_str()) => {
                return BootstrapDecision::Adopt(members);
            }
            // It waits to be added: the group may list this member nevertheless.
            Some(members) if members.voters.is_empty() => {
                self.group_exists = true;
                return BootstrapDecision::Wait;
            }
            Some(_) => return BootstrapDecision::Join,
            None => {}
        }
        if let Some(answer) = self.others.get_mut(from.as_str()) {
            *answer = Some(identity);
        }
        self.decide()
    }

    fn decide(&self) -> BootstrapDecision {
        let first = self.others.keys().all(|other| self.instance < *other);
        let answers: Option<BTreeSet<Name>> = self.others.values().cloned().collect();
        match answers {
            Some(mut voters) if first && !self.group_exists => {
                voters.insert(self.identity.clone());
                BootstrapDecision::Bootstrap(Members::new(voters, BTreeSet::new()))
            }
            _ => BootstrapDecision::Wait,
        }
    }
}

/// Instance to which a member identity of the form `instance.random` belongs.
pub fn instance_of(identity: &Name) -> Option<Name> {
    let (instance, _) = identity.as_str().rsplit_once('.')?;
    Name::try_from(instance).ok()
}
