//! Servers of a fleet, by name and by database group.
//!
//! The control leader looks at the servers of each group many times a second. With an index it does
//! so in time that grows with the servers of a group, not with those of the fleet.

use std::{
    collections::{BTreeMap, BTreeSet},
    ops::Deref,
    sync::Arc,
};

use serde::{Deserialize, Serialize};

use crate::fleet::Backend;

/// Servers by name, with an index by group; serialized as a map without the index.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "BTreeMap<Arc<str>, Backend>", into = "BTreeMap<Arc<str>, Backend>")]
pub struct Backends {
    servers: BTreeMap<Arc<str>, Backend>,
    groups: BTreeMap<Arc<str>, BTreeSet<Arc<str>>>,
}

impl Backends {
    /// Adds or replaces a server.
    pub(crate) fn insert(&mut self, backend: Backend) {
        self.remove(&backend.id);
        self.groups.entry(backend.group.clone()).or_default().insert(backend.id.clone());
        self.servers.insert(backend.id.clone(), backend);
    }

    /// Removes a server.
    pub(crate) fn remove(&mut self, id: &str) -> Option<Backend> {
        let backend = self.servers.remove(id)?;
        if let Some(ids) = self.groups.get_mut(&backend.group) {
            ids.remove(id);
            if ids.is_empty() {
                self.groups.remove(&backend.group);
            }
        }
        Some(backend)
    }

    /// Servers of a group, by name.
    pub fn of_group(&self, group: &str) -> impl Iterator<Item = &Backend> {
        let ids = self.groups.get(group).into_iter().flatten();
        ids.filter_map(|id| self.servers.get(id))
    }
}

impl Deref for Backends {
    type Target = BTreeMap<Arc<str>, Backend>;

    fn deref(&self) -> &BTreeMap<Arc<str>, Backend> {
        &self.servers
    }
}

impl From<BTreeMap<Arc<str>, Backend>> for Backends {
    fn from(servers: BTreeMap<Arc<str>, Backend>) -> Backends {
        let mut backends = Backends::default();
        servers.into_values().for_each(|backend| backends.insert(backend));
        backends
    }
}

impl From<Backends> for BTreeMap<Arc<str>, Backend> {
    fn from(backends: Backends) -> BTreeMap<Arc<str>, Backend> {
        backends.servers
    }
}
