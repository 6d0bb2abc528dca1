//! A server connection in use.

use auburnlug_state::Term;

use crate::{dispatch::Grant, pool::Pooled};

/// A connection in use, with its slot.
pub(crate) struct Held {
    pub grant: Grant,
    pub pooled: Pooled,
    /// Term under which it was taken.
    pub term: Term,
    /// Transaction status after the last answer.
    pub status: u8,
    /// Whether a setting of the connection changed.
    pub changed: bool,
    /// Whether a cancel request was sent; it may arrive late and hit the next statement.
    pub cancelled: bool,
}

impl Held {
    pub(crate) fn new(grant: Grant, pooled: Pooled, term: Term) -> Held {
        Held { grant, pooled, term, status: b'I', changed: false, cancelled: false }
    }

    /// Makes the connection available to other callers once it holds nothing of this one, or
    /// closes it.
    pub(crate) fn release(self) {
        if self.cancelled {
            return;
        }
        if self.status == b'I' && !self.changed {
            return self.grant.member.pool.put(self.pooled);
        }
        // The caller's answer does not wait for it; the slot does.
        tokio::spawn(async move {
            let Held { grant, pooled, changed, .. } = self;
            grant.member.pool.reset(pooled, changed).await;
        });
    }
}
