//! The replicated state machine.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::{
    Command, Config, History, Index, Instance, Name, Role, Server, Shard, ShardOwner, Term,
    fleet::Fleet,
};

/// State that every instance derives from the replicated log.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Machine {
    /// Index of the last applied entry.
    pub index: Index,
    /// Index of the entry that produced the configuration in force.
    pub version: Index,
    /// Configuration in force.
    pub config: Config,
    /// Known instances.
    pub instances: BTreeMap<Name, Instance>,
    /// Owners of shards.
    pub shards: BTreeMap<Shard, ShardOwner>,
    /// Terms and primaries of groups.
    pub groups: BTreeMap<Name, GroupState>,
    /// Announced servers.
    pub servers: BTreeMap<Name, Server>,
    /// Servers that joined a group after its first primary was recorded and are not known to have
    /// all commits acknowledged before they joined. They don't count for promotions: the server
    /// that such a server replaces may have had the only other copy of a write. Only groups that
    /// have had a primary are listed.
    #[serde(default)]
    pub filling: BTreeMap<Name, BTreeSet<Name>>,
    /// State that is kept when the configuration changes.
    pub history: History,
    /// State of a fleet whose primaries are promoted by an external authority.
    #[serde(default)]
    pub fleet: Fleet,
}

/// Term and primary of a database group.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupState {
    /// Recorded term.
    pub term: Term,
    /// Primary of that term; `None` until one is promoted.
    pub primary: Option<Name>,
}

/// Result of applying a command; the answer to its proposer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Applied {
    /// The command took effect.
    Done,
    /// The configuration changed and has this version.
    Changed(Index),
    /// The change is not based on the version in force.
    Conflict {
        /// Version in force.
        version: Index,
        /// Operator who made that version.
        operator: Name,
        /// Id of the change that made that version.
        id: Name,
    },
    /// The change is not valid; the text is the reason.
    Invalid(String),
    /// The command no longer matches the state.
    Stale,
}

impl Machine {
    /// Applies the command committed at `index`. An index that was already applied has no effect.
    pub fn apply(&mut self, index: Index, command: &Command) -> Applied {
        if index <= self.index {
            return Applied::Stale;
        }
        self.index = index;
        match command {
            Command::Configure(change) => return self.configure(index, change),
            Command::Fleet(change) => return self.fleet.apply(change),
            Command::Register(instance) => self.register_instance(instance),
            Command::Remove { instance, incarnation } => {
                self.remove_instance(instance, *incarnation)
            }
            Command::Assign { shard, instance, epoch } => {
                self.assign_shard(shard, instance, *epoch)
            }
            Command::Announce(server) => self.record_server(server),
            Command::Forget(server) => self.remove_server(server),
            Command::Term { group, term, epoch } => self.start_term(group, *term, *epoch),
            Command::Primary { group, term, server, epoch } => {
                self.set_primary(group, *term, server, *epoch)
            }
            Command::Filled { group, term, server, epoch } => {
                self.mark_server_filled(group, *term, server, *epoch)
            }
        }
        .map_or(Applied::Stale, |()| Applied::Done)
    }

    /// Adds or replaces an instance. A lower incarnation than the recorded one is refused: the
    /// recorded process may be alive, and a late message of an earlier one must not release its
    /// shards.
    fn register_instance(&mut self, instance: &Instance) -> Option<()> {
        if let Some(old) = self.instances.get(&instance.name) {
            if old.incarnation > instance.incarnation {
                return None;
            }
            if old.incarnation < instance.incarnation {
                self.release_shards(&instance.name);
            }
        }
        self.instances.insert(instance.name.clone(), instance.clone());
        Some(())
    }

    fn remove_instance(&mut self, instance: &Name, incarnation: u64) -> Option<()> {
        if self.instances.get(instance)?.incarnation != incarnation {
            return None;
        }
        self.instances.remove(instance);
        self.release_shards(instance);
        Some(())
    }

    /// Releases all shards of an instance and increments their epochs, so that commands of the
    /// previous owner become stale.
    fn release_shards(&mut self, instance: &Name) {
        for holder in self.shards.values_mut() {
            if holder.instance.as_ref() == Some(instance) {
                *holder = ShardOwner { instance: None, epoch: holder.epoch + 1 };
            }
        }
    }

    fn assign_shard(&mut self, shard: &Shard, instance: &Option<Name>, epoch: u64) -> Option<()> {
        let known = instance.as_ref().is_none_or(|name| self.instances.contains_key(name));
        let holder = self.shards.get_mut(shard).filter(|h| known && h.epoch == epoch)?;
        *holder = ShardOwner { instance: instance.clone(), epoch: epoch + 1 };
        Some(())
    }

    fn record_server(&mut self, server: &Server) -> Option<()> {
        let size = self.config.groups.get(&server.group)?.size;
        match self.servers.get(&server.name) {
            Some(old) if old.group != server.group => return None,
            Some(_) => {}
            None if self.servers_of(&server.group).count() >= size as usize => return None,
            None => {}
        }
        let group = self.groups.entry(server.group.clone()).or_default();
        // A group that another system managed before continues from the term that its first
        // primary claims, so that no term is used twice.
        if group.term == 0 && server.role == Role::Primary {
            group.term = server.term;
        }
        let old = self.servers.insert(server.name.clone(), server.clone());
        if let Some(filling) = self.filling.get_mut(&server.group).filter(|_| old.is_none()) {
            filling.insert(server.name.clone());
        }
        Some(())
    }

    fn remove_server(&mut self, server: &Name) -> Option<()> {
        let group = self.groups.get(&self.servers.get(server)?.group);
        if group.is_some_and(|g| g.primary.as_ref() == Some(server)) {
            return None;
        }
        let removed = self.servers.remove(server)?;
        if let Some(filling) = self.filling.get_mut(&removed.group) {
            filling.remove(server);
        }
        Some(())
    }

    fn start_term(&mut self, group: &Name, term: Term, epoch: u64) -> Option<()> {
        self.check_group_owner(group, epoch)?;
        let state = self.groups.get_mut(group).filter(|s| s.term.checked_add(1) == Some(term))?;
        *state = GroupState { term, primary: None };
        Some(())
    }

    fn set_primary(&mut self, group: &Name, term: Term, server: &Name, epoch: u64) -> Option<()> {
        self.check_group_owner(group, epoch)?;
        self.servers.get(server).filter(|s| s.group == *group)?;
        let state = self.groups.get_mut(group).filter(|s| s.term == term)?;
        if state.primary.as_ref().is_some_and(|old| old != server) {
            return None;
        }
        state.primary = Some(server.clone());
        self.filling.entry(group.clone()).or_default().remove(server);
        Some(())
    }

    fn mark_server_filled(
        &mut self,
        group: &Name,
        term: Term,
        server: &Name,
        epoch: u64,
    ) -> Option<()> {
        self.check_group_owner(group, epoch)?;
        self.groups.get(group).filter(|s| s.term == term && s.primary.is_some())?;
        self.filling.get_mut(group)?.remove(server).then_some(())
    }

    fn check_group_owner(&self, group: &Name, epoch: u64) -> Option<()> {
        let holder = self.shards.get(&Shard::Group(group.clone()))?;
        (holder.epoch == epoch && holder.instance.is_some()).then_some(())
    }

    /// Returns the recorded servers of a group.
    pub fn servers_of<'a>(&'a self, group: &'a Name) -> impl Iterator<Item = &'a Server> {
        self.servers.values().filter(move |s| s.group == *group)
    }
}
