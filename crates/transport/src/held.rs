//! A server connection in use.

use auburnlug_state::Term;

use crate::{dispatch::Grant, pool::Pooled};

/// A connection in use, with its slot.
pub(crate) struct Held {
    pub grant: Grant,
    pub pooled: Pooled,
    /// Term under which it was taken.
    pub term: Term,
    /// Whether a setting of the connection changed.
    pub changed: bool,
}

impl Held {
    pub(crate) fn new(grant: Grant, pooled: Pooled, term: Term) -> Held {
        Held { grant, pooled, term, changed: false }
    }

    /// Rolls back what is open and makes the connection available once that is confirmed.
    pub(crate) async fn reset(self) {
        self.grant.member.pool.reset(self.pooled, self.changed).await;
    }

    /// Makes the connection available to other callers.
    pub(crate) async fn release(self) {
        if self.changed {
            return self.reset().await;
        }
        self.grant.member.pool.put(self.pooled);
    }
}
