//! Which control member receives the heartbeats of a server, and which heartbeats it may answer.
//!
//! In a large fleet the heartbeats of all servers would use up the control leader. Most of them
//! change nothing, and any member knows this from the replicated state: it answers them, and only
//! changes reach the leader.

use std::{
    collections::BTreeSet,
    hash::{DefaultHasher, Hash, Hasher},
};

use auburnlug_state::{
    Name,
    fleet::{Backend, Fleet},
};

/// Number of servers up to which the leader receives all heartbeats. Their arrival tells it that a
/// server is alive, and so many cost it little.
const MAX_SERVERS_AT_LEADER: usize = 200;

/// Member to which a server of a fleet of `servers` is to send its heartbeats. `followers` are the
/// members other than the leader that are reached; without any, the leader receives them.
pub fn receiver<'a>(
    leader: &'a Name,
    followers: &'a BTreeSet<Name>,
    server: &str,
    servers: usize,
) -> &'a Name {
    if servers <= MAX_SERVERS_AT_LEADER {
        return leader;
    }
    followers.iter().max_by_key(|name| rank(name, server)).unwrap_or(leader)
}

/// Whether a heartbeat says nothing that the replicated state does not hold: the server's record,
/// and its role.
pub fn changes_nothing(fleet: &Fleet, backend: &Backend, claims_primary: bool) -> bool {
    let lead = fleet.leads.get(&backend.group);
    let is_primary = lead.is_some_and(|lead| lead.primary.as_ref() == Some(&backend.id));
    fleet.backends.get(&backend.id) == Some(backend) && claims_primary == is_primary
}

/// Rank of a member for a server; the servers of a lost member spread over all others.
fn rank(member: &Name, server: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    (member.as_str(), server).hash(&mut hasher);
    hasher.finish()
}
