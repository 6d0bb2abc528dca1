//! Registration of database servers: checks of their announcements, and removal of unresponsive
//! servers.

use std::{collections::BTreeMap, net::SocketAddr};

use auburnlug_state::{Command, Machine, Millis, Name, Role, Server};
use quick_error::quick_error;

/// Time after an announcement for which a server counts as live. A server announces itself every
/// second, so two announcements may be lost.
pub const SERVER_LIVENESS_TIMEOUT_MS: Millis = 3000;

/// Time without an announcement after which a server may be replaced.
pub const SERVER_REPLACEMENT_TIMEOUT_MS: Millis = 10_000;

quick_error! {
    /// Why an announcement was refused.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Refusal {
        /// The group is not in the configuration.
        Unknown {
            display("the group is not in the configuration")
        }
        /// A live server at another address has the same identity.
        Identity(other: SocketAddr) {
            display("the live server at {other} has the same identity")
        }
        /// Another recorded server has the same address.
        Address(other: Name) {
            display("server {other} has the same address")
        }
        /// The server is recorded in another group.
        Group(other: Name) {
            display("the server is recorded in group {other}")
        }
        /// The announced term is lower than the recorded one.
        Term(recorded: u64) {
            display("the claim is older than the recorded term {recorded}")
        }
        /// The group has as many servers as its size allows.
        Full(size: u32) {
            display("the group already has {size} servers")
        }
    }
}

impl Refusal {
    /// Label for the metrics.
    pub fn label(&self) -> &'static str {
        match self {
            Refusal::Unknown => "unknown_group",
            Refusal::Identity(_) => "identity",
            Refusal::Address(_) => "address",
            Refusal::Group(_) => "group",
            Refusal::Term(_) => "term",
            Refusal::Full(_) => "full",
        }
    }
}

/// Announcements that the control leader has received. A new leader starts with an empty one.
#[derive(Debug)]
pub struct Directory {
    /// Recorded servers count as announced at this time.
    start: Millis,
    /// Time of the last announcement of each server.
    announced: BTreeMap<Name, Millis>,
}

impl Directory {
    /// Starts with the election of the leader at `now`.
    pub fn new(now: Millis) -> Directory {
        Directory { start: now, announced: BTreeMap::new() }
    }

    /// Checks an announcement and returns the commands to propose; none if the record is up to
    /// date.
    ///
    /// # Errors
    ///
    /// The reason for which the announcement is refused.
    pub fn announce(
        &mut self,
        server: &Server,
        machine: &Machine,
        now: Millis,
    ) -> Result<Vec<Command>, Refusal> {
        let Some(group) = machine.config.groups.get(&server.group) else {
            return Err(Refusal::Unknown);
        };
        let recorded = machine.servers.get(&server.name);
        if let Some(old) = recorded {
            self.check_identity(server, old, now)?;
        }
        let term_check = check_term(server, recorded, machine);
        // A former primary that still claims the role is live and stays a member of the group.
        if term_check.is_ok() || recorded.is_some_and(|old| old.address == server.address) {
            self.announced.insert(server.name.clone(), now);
        }
        term_check?;
        if recorded == Some(server) {
            return Ok(Vec::new());
        }
        let mut commands = Vec::new();
        let same_address = machine.servers.values().find(|s| s.address == server.address);
        if let Some(other) = same_address.filter(|s| s.name != server.name) {
            if !self.is_replaceable(other, machine, now) {
                return Err(Refusal::Address(other.name.clone()));
            }
            commands.push(Command::Forget(other.name.clone()));
        }
        let freed = same_address.filter(|s| s.name != server.name && s.group == server.group);
        let count = machine.servers_of(&server.group).count() - usize::from(freed.is_some());
        if recorded.is_none() && count >= group.size as usize {
            let mut members = machine.servers_of(&server.group);
            let Some(unresponsive) = members.find(|s| self.is_replaceable(s, machine, now)) else {
                return Err(Refusal::Full(group.size));
            };
            commands.push(Command::Forget(unresponsive.name.clone()));
        }
        commands.push(Command::Announce(server.clone()));
        Ok(commands)
    }

    /// Proposes to remove unresponsive servers from groups that have more servers than their size.
    pub fn tick(&mut self, machine: &Machine, now: Millis) -> Vec<Command> {
        self.announced.retain(|name, _| machine.servers.contains_key(name));
        let mut counts: BTreeMap<&Name, usize> = BTreeMap::new();
        for server in machine.servers.values() {
            *counts.entry(&server.group).or_default() += 1;
        }
        let mut commands = Vec::new();
        for (name, count) in counts {
            let size = machine.config.groups.get(name).map_or(0, |g| g.size as usize);
            let excess = count.saturating_sub(size);
            if excess > 0 {
                let unresponsive =
                    machine.servers_of(name).filter(|s| self.is_replaceable(s, machine, now));
                commands.extend(unresponsive.take(excess).map(|s| Command::Forget(s.name.clone())));
            }
        }
        commands
    }

    /// Records an announcement that another instance received and that matches the record.
    pub fn record_announcement(&mut self, server: &Name, now: Millis) {
        self.announced.insert(server.clone(), now);
    }

    /// Time since the last announcement of a recorded server, in milliseconds.
    pub fn announcement_age(&self, server: &Name, now: Millis) -> Millis {
        now.saturating_sub(self.announced.get(server).copied().unwrap_or(self.start))
    }

    fn check_identity(&self, server: &Server, old: &Server, now: Millis) -> Result<(), Refusal> {
        if old.group != server.group {
            return Err(Refusal::Group(old.group.clone()));
        }
        if old.address != server.address
            && self.announcement_age(&old.name, now) < SERVER_LIVENESS_TIMEOUT_MS
        {
            return Err(Refusal::Identity(old.address));
        }
        Ok(())
    }

    /// Whether a server may be replaced. The recorded primary never is: failover must record
    /// another one first. Without a live primary, an unresponsive server may be the only one that
    /// has an acknowledged write.
    fn is_replaceable(&self, server: &Server, machine: &Machine, now: Millis) -> bool {
        let primary = machine.groups.get(&server.group).and_then(|g| g.primary.as_ref());
        let live =
            primary.is_some_and(|p| self.announcement_age(p, now) < SERVER_LIVENESS_TIMEOUT_MS);
        live && self.announcement_age(&server.name, now) >= SERVER_REPLACEMENT_TIMEOUT_MS
    }
}

/// Checks the announced term. A replica of an earlier term is accepted, since it has yet to be told
/// the new one. A primary of an earlier term has been replaced, and a lower term in the same
/// incarnation is a late message.
fn check_term(server: &Server, old: Option<&Server>, machine: &Machine) -> Result<(), Refusal> {
    let term = machine.groups.get(&server.group).map_or(0, |g| g.term);
    if server.role == Role::Primary && server.term < term {
        return Err(Refusal::Term(term));
    }
    match old.filter(|o| o.incarnation == server.incarnation && o.term > server.term) {
        Some(old) => Err(Refusal::Term(old.term)),
        None => Ok(()),
    }
}
