//! A pooled server connection in use by one caller.

use auburnlug_state::Term;

use crate::{dispatch::SlotGrant, pool::Pooled};

/// A connection in use, with the server slot that it occupies.
pub(crate) struct ConnectionInUse {
    pub grant: SlotGrant,
    pub pooled: Pooled,
    /// Term of the group's primary when the connection was taken.
    pub term: Term,
    /// Transaction status after the last answer.
    pub status: u8,
    /// Whether the caller changed a setting of the connection.
    pub settings_changed: bool,
    /// Whether a cancel request was sent; it may arrive late and cancel the next statement.
    pub cancelled: bool,
}

impl ConnectionInUse {
    pub(crate) fn new(grant: SlotGrant, pooled: Pooled, term: Term) -> ConnectionInUse {
        ConnectionInUse {
            grant,
            pooled,
            term,
            status: b'I',
            settings_changed: false,
            cancelled: false,
        }
    }

    /// Returns the connection to the pool once it has no state of this caller left, or closes it.
    pub(crate) fn release(self) {
        if self.cancelled {
            return;
        }
        if self.status == b'I' && !self.settings_changed {
            return self.grant.member.pool.put_idle(self.pooled);
        }
        // The caller gets its answer without waiting for the reset; the slot stays occupied.
        tokio::spawn(async move {
            let ConnectionInUse { grant, pooled, settings_changed, .. } = self;
            grant.member.pool.reset(pooled, settings_changed).await;
        });
    }
}
