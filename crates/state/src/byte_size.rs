//! Sizes of values in bytes, without encoding them.
//!
//! Logs, queues and messages are bounded by the sum of these sizes; see [`crate::limits`].

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use crate::{
    Change, Command, Config, Edit, Machine, Name,
    fleet::{Fleet, FleetChange, FleetConfig},
};

/// Names and numbers of a value whose fields have a bounded length.
pub(crate) const FIELDS_BYTES: usize = 256;

/// Fields of a database without its name and group, encoded.
const DATABASE_BYTES: usize = 64;

/// Fields of a group without its name, encoded.
const GROUP_BYTES: usize = 36;

/// Fields of a client account without its name and keys, encoded.
const ACCOUNT_BYTES: usize = 48;

/// SHA-256 of a key, encoded as a list of numbers.
const KEY_BYTES: usize = 66;

/// SHA-256 of a key, encoded in hexadecimal.
pub(crate) const HEX_KEY_BYTES: usize = 66;

/// A value whose size in bytes is known without encoding it.
///
/// ```
/// use auburnlug_state::byte_size::ByteSize;
/// assert!("enrolment".byte_size() >= 9);
/// ```
pub trait ByteSize {
    /// Size of the encoded value; an estimate that is not below the actual one.
    fn byte_size(&self) -> usize;
}

impl ByteSize for str {
    fn byte_size(&self) -> usize {
        self.len() + 5
    }
}

impl ByteSize for Name {
    fn byte_size(&self) -> usize {
        self.as_str().byte_size()
    }
}

impl<T: ByteSize + ?Sized> ByteSize for Arc<T> {
    fn byte_size(&self) -> usize {
        (**self).byte_size()
    }
}

impl ByteSize for Command {
    fn byte_size(&self) -> usize {
        match self {
            Command::Configure(change) => change.byte_size(),
            Command::Fleet(change) => change.byte_size(),
            Command::Register(_)
            | Command::Remove { .. }
            | Command::Assign { .. }
            | Command::Announce(_)
            | Command::Forget(_)
            | Command::Term { .. }
            | Command::Primary { .. }
            | Command::Filled { .. } => 2 * FIELDS_BYTES,
        }
    }
}

impl ByteSize for Change {
    fn byte_size(&self) -> usize {
        let edit = match &self.edit {
            Edit::Publish(text) => text.len(),
            Edit::Grant { key, .. } | Edit::Revoke { key, .. } => key.len(),
            Edit::Account { .. } | Edit::Withdraw(_) => 0,
        };
        2 * FIELDS_BYTES + edit
    }
}

impl ByteSize for FleetChange {
    fn byte_size(&self) -> usize {
        match self {
            FleetChange::Deploy { plan, document } => {
                FIELDS_BYTES + plan.byte_size() + document.len()
            }
            FleetChange::Entries { joined, left } => {
                FIELDS_BYTES + incarnations_size(joined) + incarnations_size(left)
            }
            FleetChange::Record(backend) => {
                FIELDS_BYTES + backend.id.len() + backend.group.len() + backend.domain.len()
            }
            FleetChange::Forget { id, .. } => FIELDS_BYTES + id.len(),
            FleetChange::Evacuate { domain, .. } => FIELDS_BYTES + domain.len(),
            FleetChange::Cover { group, id, .. } => FIELDS_BYTES + group.len() + id.len(),
            FleetChange::Lead { group, lead, .. } => {
                let names = lead.primary.iter().chain(&lead.former);
                let ordered = lead.ordered.iter().map(|ordered| &ordered.server);
                2 * FIELDS_BYTES
                    + group.len()
                    + names.chain(ordered).map(|n| n.len()).sum::<usize>()
            }
            FleetChange::Order { group, before, ordered, .. } => {
                let servers = before.iter().chain(ordered).map(|order| order.server.len());
                2 * FIELDS_BYTES + group.len() + servers.sum::<usize>()
            }
        }
    }
}

impl ByteSize for FleetConfig {
    fn byte_size(&self) -> usize {
        let databases = self.databases.iter();
        let databases = databases.map(|(name, db)| {
            name.len() + db.group.len() + DATABASE_BYTES + regions_size(&db.homes)
        });
        let groups = self.groups.keys().map(|name| name.len() + GROUP_BYTES);
        let accounts = self.accounts.iter();
        let accounts = accounts.map(|(name, account)| {
            let keys = account.keys.len() * KEY_BYTES;
            name.len() + ACCOUNT_BYTES + keys + regions_size(&account.homes)
        });
        FIELDS_BYTES + databases.chain(groups).chain(accounts).sum::<usize>()
    }
}

impl ByteSize for Fleet {
    fn byte_size(&self) -> usize {
        let departed = self.departures.values().map(|left| 1 + left.pending.len()).sum::<usize>();
        let records = self.backends.len() + self.leads.len() + departed;
        let entries = incarnations_size(&self.entries);
        let evacuations = self.evacuations.keys().map(|domain| domain.len() + FIELDS_BYTES);
        let evacuations = evacuations.sum::<usize>();
        self.plan.byte_size() + self.document.len() + records * FIELDS_BYTES + entries + evacuations
    }
}

impl ByteSize for Config {
    fn byte_size(&self) -> usize {
        let routes = self.routes.values().map(|route| route.statement.len() + FIELDS_BYTES);
        let accounts = self.accounts.values();
        let accounts = accounts.map(|account| FIELDS_BYTES + account.keys.len() * HEX_KEY_BYTES);
        self.groups.len() * FIELDS_BYTES + routes.chain(accounts).sum::<usize>()
    }
}

impl ByteSize for Machine {
    fn byte_size(&self) -> usize {
        let records = self.instances.len() + self.shards.len() + self.groups.len();
        let records = records + self.servers.len() + self.filling.len();
        let config = self.config.byte_size() + self.history.byte_size();
        FIELDS_BYTES + records * FIELDS_BYTES + config + self.fleet.byte_size()
    }
}

fn incarnations_size(entries: &BTreeMap<Name, u64>) -> usize {
    entries.keys().map(|name| name.byte_size() + 9).sum()
}

/// Size of home regions, with the name of their field.
fn regions_size(regions: &BTreeSet<Arc<str>>) -> usize {
    regions.iter().map(|region| region.byte_size() + 5).sum()
}
