//! Checks of the announcements of database servers.

use std::{collections::BTreeMap, net::SocketAddr};

use auburnlug_state::{Command, Machine, Millis, Name, Role, Server};
use quick_error::quick_error;

/// A server counts as live for this long after an announcement, in milliseconds. It announces
/// itself every second, so two may be lost.
pub const LIVE: Millis = 3000;

/// A server that has been silent for this long may be replaced, in milliseconds.
pub const SILENT: Millis = 10_000;

quick_error! {
    /// Why an announcement was refused.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Refusal {
        /// The group is not in the configuration.
        Unknown {
            display("the group is not in the configuration")
        }
        /// Another live address has the same identity.
        Identity(other: SocketAddr) {
            display("the live server at {other} has the same identity")
        }
        /// Another recorded server has the same address.
        Address(other: Name) {
            display("server {other} has the same address")
        }
        /// The server was recorded in another group.
        Group(other: Name) {
            display("the server is recorded in group {other}")
        }
        /// The claim is of an earlier term than the recorded one.
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
    /// Short name for the counters.
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

/// What the leader has heard from servers; a new leader starts with a new one.
#[derive(Debug)]
pub struct Directory {
    /// Recorded servers count as heard at this time.
    start: Millis,
    heard: BTreeMap<Name, Millis>,
}

impl Directory {
    /// Starts at the election.
    pub fn new(now: Millis) -> Directory {
        Directory { start: now, heard: BTreeMap::new() }
    }

    /// Checks an announcement and returns what to propose: nothing if the record stays as it is.
    ///
    /// # Errors
    ///
    /// The reason for a refusal, for the counters.
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
        let claim = check_term(server, recorded, machine);
        // A former primary that still claims the role is alive: it keeps its place.
        if claim.is_ok() || recorded.is_some_and(|old| old.address == server.address) {
            self.heard.insert(server.name.clone(), now);
        }
        claim?;
        if recorded == Some(server) {
            return Ok(Vec::new());
        }
        let mut commands = Vec::new();
        let same = machine.servers.values().find(|s| s.address == server.address);
        if let Some(other) = same.filter(|s| s.name != server.name) {
            if !self.replaceable(other, machine, now) {
                return Err(Refusal::Address(other.name.clone()));
            }
            commands.push(Command::Forget(other.name.clone()));
        }
        let freed = same.filter(|s| s.name != server.name && s.group == server.group);
        let count = machine.servers_of(&server.group).count() - usize::from(freed.is_some());
        if recorded.is_none() && count >= group.size as usize {
            let mut members = machine.servers_of(&server.group);
            let Some(silent) = members.find(|s| self.replaceable(s, machine, now)) else {
                return Err(Refusal::Full(group.size));
            };
            commands.push(Command::Forget(silent.name.clone()));
        }
        commands.push(Command::Announce(server.clone()));
        Ok(commands)
    }

    /// Proposes to remove silent servers that their group doesn't need to keep its size.
    pub fn tick(&mut self, machine: &Machine, now: Millis) -> Vec<Command> {
        self.heard.retain(|name, _| machine.servers.contains_key(name));
        let mut counts: BTreeMap<&Name, usize> = BTreeMap::new();
        for server in machine.servers.values() {
            *counts.entry(&server.group).or_default() += 1;
        }
        let mut commands = Vec::new();
        for (name, count) in counts {
            let size = machine.config.groups.get(name).map_or(0, |g| g.size as usize);
            let spare = count.saturating_sub(size);
            if spare > 0 {
                let silent = machine.servers_of(name).filter(|s| self.replaceable(s, machine, now));
                commands.extend(silent.take(spare).map(|s| Command::Forget(s.name.clone())));
            }
        }
        commands
    }

    /// Notes an announcement that repeats the record of a server, heard by another instance.
    pub fn hear(&mut self, server: &Name, now: Millis) {
        self.heard.insert(server.clone(), now);
    }

    /// Time since the last announcement of a recorded server, in milliseconds.
    pub fn silence(&self, server: &Name, now: Millis) -> Millis {
        now.saturating_sub(self.heard.get(server).copied().unwrap_or(self.start))
    }

    fn check_identity(&self, server: &Server, old: &Server, now: Millis) -> Result<(), Refusal> {
        if old.group != server.group {
            return Err(Refusal::Group(old.group.clone()));
        }
        if old.address != server.address && self.silence(&old.name, now) < LIVE {
            return Err(Refusal::Identity(old.address));
        }
        Ok(())
    }

    /// The recorded primary is never replaced here: failover names another one first. Without a
    /// live primary the silent server may be the only one with an acknowledged write.
    fn replaceable(&self, server: &Server, machine: &Machine, now: Millis) -> bool {
        let primary = machine.groups.get(&server.group).and_then(|g| g.primary.as_ref());
        let live = primary.is_some_and(|p| self.silence(p, now) < LIVE);
        live && self.silence(&server.name, now) >= SILENT
    }
}

/// A replica of an older term is welcome, since it has to be told the new one. A primary of an
/// older term has been replaced, and a lower term in the same run is a late message.
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
