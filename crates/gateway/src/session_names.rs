//! Session values and prepared statements of a caller's session, and the memory that they take.

use std::{collections::BTreeMap, sync::Arc};

use auburnlug_protocol::job::{PreparedStatement, SessionVariables};

/// Limit on prepared statements, and on session values, of one session.
const MAX_NAMES: usize = 256;

/// Memory that a name takes besides its texts: its place in the map, and two allocations with their
/// headers.
const NAME_OVERHEAD_BYTES: usize = 192;

/// Names that a session has set.
#[derive(Debug, Default)]
pub struct SessionNames {
    values: SessionVariables,
    prepared: BTreeMap<Arc<str>, PreparedStatement>,
    bytes: usize,
}

impl SessionNames {
    /// Sets a session value; `false` if there are too many.
    pub fn set_value(&mut self, name: Arc<str>, value: Arc<str>) -> bool {
        if self.values.len() >= MAX_NAMES && !self.values.contains_key(&name) {
            return false;
        }
        let name_bytes = name.len();
        self.bytes += entry_bytes(name_bytes, value.len());
        if let Some(former) = self.values.insert(name, value) {
            self.bytes -= entry_bytes(name_bytes, former.len());
        }
        true
    }

    /// Prepares a statement; `false` if there are too many.
    pub fn prepare(&mut self, name: Arc<str>, shape: PreparedStatement) -> bool {
        if self.prepared.len() >= MAX_NAMES && !self.prepared.contains_key(&name) {
            return false;
        }
        let name_bytes = name.len();
        self.bytes += entry_bytes(name_bytes, shape.text.len());
        if let Some(former) = self.prepared.insert(name, shape) {
            self.bytes -= entry_bytes(name_bytes, former.text.len());
        }
        true
    }

    /// Drops a prepared statement; `false` if there is none of this name.
    pub fn deallocate(&mut self, name: &str) -> bool {
        let Some(shape) = self.prepared.remove(name) else { return false };
        self.bytes -= entry_bytes(name.len(), shape.text.len());
        true
    }

    /// A prepared statement.
    pub fn prepared(&self, name: &str) -> Option<&PreparedStatement> {
        self.prepared.get(name)
    }

    /// Session values.
    pub fn values(&self) -> &SessionVariables {
        &self.values
    }

    /// Memory that all names take, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

fn entry_bytes(name: usize, text: usize) -> usize {
    NAME_OVERHEAD_BYTES + name + text
}
