//! What a heartbeat may change in the directory of servers.
//!
//! Whoever reaches a control member can send a heartbeat, so its fields prove nothing about its
//! sender. A server in the directory may receive commits for as long as its process runs, and a
//! failover that does not compare it loses them. So a recorded server keeps its name, its group and
//! its address until another server is shown to have them.
//!
//! The proof is the handshake of a connection: a server refuses one that names another group or
//! another server. A heartbeat that would take the place of a recorded server is used only once the
//! server at its address has accepted the name that it gives. Start times prove nothing, as anyone
//! can name one; nor do the configured groups, which are unknown before the first configuration and
//! change later. A heartbeat that takes nobody's place needs no proof.
//!
//! A handshake cannot tell a server that has started again in its place from the process before. So
//! such a start is believed, and taken back if the earlier process goes on reporting while the later
//! one does not ([`EarlierRuns`]).

use std::{collections::BTreeMap, sync::Arc};

use auburnlug_state::{
    Millis,
    fleet::{Backend, Fleet, Incarnation},
};

/// Time for which only the earlier process of a server must report until it is recorded again: two
/// heartbeats of the later one are missed.
pub const EARLIER_RUN_TIMEOUT_MS: Millis = 3_000;

/// What to do with a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// The record of the server says the same.
    Unchanged,
    /// Record the server, after the removal of these servers.
    Record(Vec<Displaced>),
    /// Ask the server at the address whether the heartbeat is its own.
    Confirm(Conflict),
    /// A later process of the server is recorded in its place.
    EarlierRun(Displaced),
    /// A later heartbeat of the server was used.
    Outdated,
}

/// A record whose place a heartbeat takes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Conflict {
    /// Identity of the recorded server.
    pub holder: Arc<str>,
    /// What the heartbeat takes from it.
    pub place: Place,
}

/// What two servers cannot have at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Place {
    /// The name, which is recorded in another group or at another address.
    Name,
    /// The address, which is recorded under another name.
    Address,
}

impl Place {
    /// Label for logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Place::Name => "name",
            Place::Address => "address",
        }
    }
}

/// A recorded server to remove before another one is recorded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Displaced {
    /// Identity.
    pub id: Arc<str>,
    /// Recorded incarnation.
    pub run: Incarnation,
}

/// Decides on a heartbeat with the record `reported` and the sequence number `sequence`.
///
/// `latest` is the incarnation and sequence number of the last heartbeat of the name that was used.
/// `confirmed` tells that the server at the address has accepted the name since the heartbeat
/// arrived.
pub fn decide(
    fleet: &Fleet,
    reported: &Backend,
    sequence: u64,
    latest: Option<(Incarnation, u64)>,
    confirmed: bool,
) -> Decision {
    let recorded = fleet.backends.get(&reported.id);
    if recorded == Some(reported) {
        return Decision::Unchanged;
    }
    let moved = recorded.filter(|known| !is_same_place(known, reported));
    let has_same_address =
        |known: &&Backend| known.address == reported.address && known.id != reported.id;
    let occupant = fleet.backends.values().find(has_same_address);
    let conflict = |known: &Backend, place| Conflict { holder: known.id.clone(), place };
    let name = moved.map(|known| conflict(known, Place::Name));
    let address = occupant.map(|known| conflict(known, Place::Address));
    if let Some(conflict) = address.or(name) {
        if !confirmed {
            return Decision::Confirm(conflict);
        }
        // A record replaces earlier ones by itself.
        let moved = moved.filter(|known| known.run >= reported.run);
        let occupant = occupant.filter(|known| known.run > reported.run);
        return Decision::Record(moved.into_iter().chain(occupant).map(displaced).collect());
    }
    if let Some(later) = recorded.filter(|known| known.run > reported.run) {
        return Decision::EarlierRun(displaced(later));
    }
    if latest.is_some_and(|latest| latest > (reported.run, sequence)) {
        return Decision::Outdated;
    }
    Decision::Record(Vec::new())
}

fn displaced(known: &Backend) -> Displaced {
    Displaced { id: known.id.clone(), run: known.run }
}

fn is_same_place(known: &Backend, reported: &Backend) -> bool {
    known.group == reported.group && known.address == reported.address
}

/// Earlier processes of recorded servers that still report.
#[derive(Debug, Default)]
pub struct EarlierRuns {
    runs: BTreeMap<Arc<str>, EarlierRun>,
}

/// First heartbeat of an earlier process since the recorded one was last heard.
#[derive(Debug)]
struct EarlierRun {
    run: Incarnation,
    sequence: u64,
    since: Millis,
}

impl EarlierRuns {
    /// Records a heartbeat of an earlier process than the recorded one; returns whether the earlier
    /// one is to be recorded again. A single late heartbeat is not enough for that.
    pub fn report(&mut self, id: &Arc<str>, run: Incarnation, sequence: u64, now: Millis) -> bool {
        let first = self.runs.entry(id.clone()).or_insert(EarlierRun { run, sequence, since: now });
        if first.run != run {
            *first = EarlierRun { run, sequence, since: now };
        }
        sequence > first.sequence && now >= first.since + EARLIER_RUN_TIMEOUT_MS
    }

    /// Records that the recorded process of a server has reported.
    pub fn clear(&mut self, id: &str) {
        self.runs.remove(id);
    }
}
