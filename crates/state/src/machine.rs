//! The replicated state machine.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{Command, Config, Holder, Index, Instance, Name, Server, Shard, Term};

/// State that every instance derives from the agreed log.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Machine {
    /// Index of the last applied entry.
    pub index: Index,
    /// Index of the entry that made the configuration in force.
    pub version: Index,
    /// Configuration in force.
    pub config: Config,
    /// Known instances.
    pub instances: BTreeMap<Name, Instance>,
    /// Owners of shards.
    pub shards: BTreeMap<Shard, Holder>,
    /// Terms and primaries of groups.
    pub groups: BTreeMap<Name, GroupState>,
    /// Announced servers.
    pub servers: BTreeMap<Name, Server>,
}

/// Term and primary of a database group.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupState {
    /// Recorded term.
    pub term: Term,
    /// Primary of that term, once promoted.
    pub primary: Option<Name>,
}

/// What applying a command did; the proposer's answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Applied {
    /// The command took effect.
    Done,
    /// The configuration changed; this is its version.
    Changed(Index),
    /// The change was made from another version than the one in force.
    Conflict {
        /// Version in force.
        version: Index,
        /// Operator who made it.
        operator: Name,
        /// Change that made it.
        id: Name,
    },
    /// The change is not valid; the text says why.
    Invalid(String),
    /// The command no longer fits the state.
    Stale,
}

impl Machine {
    /// Applies the committed `command` at `index`.
    pub fn apply(&mut self, index: Index, command: &Command) -> Applied {
        let _ = command;
        self.index = index;
        Applied::Stale
    }
}
