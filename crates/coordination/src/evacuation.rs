//! Evacuation of failure domains: which servers an entry may still send to.
//!
//! The control leader acknowledges an evacuation once every entry that may own connections to the
//! servers there has applied it, or its lease has ended. An entry whose lease has ended may run on
//! with an older view: it was cut off or suspended, so it sends nothing more once its view is too
//! old, and gives open transactions no further time.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use auburnlug_state::Millis;

use crate::entry_leases::ENTRY_LEASE_MS;

/// Time for which statements of open transactions still go to an evacuated domain. It starts before
/// the evacuation is acknowledged and covers several statements of a caller that does not rest.
pub const TRANSACTION_GRACE_MS: Millis = 2_500;

/// Age of the last confirmation of the view up to which an entry sends statements. The leader
/// counts on the end of the lease, which is [`ENTRY_LEASE_MS`] old, so the entry sends nothing
/// later than this less the lease after an acknowledgement: within 5 s, with a second to arrive.
pub const VIEW_EXPIRY_MS: Millis = ENTRY_LEASE_MS + 4_000;

/// Returns whether a view that was confirmed at `confirmed` is recent enough to send statements.
pub fn is_view_recent(confirmed: Millis, now: Millis) -> bool {
    now < confirmed + VIEW_EXPIRY_MS
}

/// Evacuated failure domains as an entry knows them.
#[derive(Debug, Default)]
pub struct Evacuations {
    /// Time until which open transactions may go on, by domain.
    domains: BTreeMap<Arc<str>, Millis>,
}

impl Evacuations {
    /// Replaces the evacuated domains. `leased` tells whether the entry holds a lease, so that a
    /// newly evacuated domain is not acknowledged yet.
    pub fn replace(&mut self, evacuated: &BTreeSet<Arc<str>>, leased: bool, now: Millis) {
        let grace_end = if leased { now + TRANSACTION_GRACE_MS } else { now };
        self.domains.retain(|domain, _| evacuated.contains(domain));
        for domain in evacuated {
            self.domains.entry(domain.clone()).or_insert(grace_end);
        }
    }

    /// Returns whether a statement may be sent to a server; `domain` is `None` if the server is not
    /// known any more. `open` tells whether the statement belongs to an open transaction.
    pub fn may_send(&self, domain: Option<&str>, open: bool, now: Millis) -> bool {
        if self.domains.is_empty() {
            return true;
        }
        let Some(domain) = domain else { return false };
        self.domains.get(domain).is_none_or(|grace_end| open && now < *grace_end)
    }
}

/// Server of a database group, for [`is_group_evacuated`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Server<'a> {
    /// Failure domain.
    pub domain: &'a str,
    /// Whether it is draining.
    pub draining: bool,
}

/// Returns whether a group has servers in evacuated domains and no other that could serve or be
/// promoted, so that a statement for it is refused at once.
pub fn is_group_evacuated<'a>(
    servers: impl IntoIterator<Item = Server<'a>>,
    evacuated: &BTreeSet<Arc<str>>,
) -> bool {
    let mut any_evacuated = false;
    for server in servers {
        match evacuated.contains(server.domain) {
            true => any_evacuated = true,
            false if !server.draining => return false,
            false => {}
        }
    }
    any_evacuated
}
