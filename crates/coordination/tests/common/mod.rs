//! Fixtures for the tests of leases, assignment and announcements.

// Each test file uses some of these; clippy.toml allows unwrap in test functions only.
#![allow(dead_code, clippy::unwrap_used)]

use auburnlug_state::{Change, Command, Edit, Instance, Machine, Name, Role, Server, Shard};

pub fn name(text: &str) -> Name {
    Name::try_from(text).unwrap()
}

/// An instance in failure domain `domain` of the region that its first letter names.
pub fn instance(text: &str, incarnation: u64, domain: &str) -> Instance {
    let address = "127.0.0.1:1".parse().unwrap();
    let (region, domain) = (name(&domain[..1]), name(domain));
    let name = name(text);
    Instance { name, incarnation, peer: address, http: address, region, domain, entry: true }
}

pub fn server(text: &str, group: &str, port: u16) -> Server {
    Server {
        name: name(text),
        group: name(group),
        incarnation: 1,
        address: ([127, 0, 0, 1], port).into(),
        domain: name("a1"),
        slots: 3,
        connections: 20,
        draining: false,
        role: Role::Replica,
        term: 0,
    }
}

/// A state machine with groups `g0..` of three servers and client accounts `c0..`.
pub fn machine(groups: usize, accounts: usize) -> Machine {
    let mut text = String::from("[template]\nformat=1\nname=t\nrate=1\nburst=1\nage=1\n");
    for i in 0..groups {
        text += &format!("[group g{i}]\nsize=3\ndatabase=g{i}\n");
    }
    for i in 0..accounts {
        text += &format!("[account c{i}]\nkey={i:064x}\n");
    }
    let (id, operator, edit) = (name("id"), name("op"), Edit::Publish(text));
    let mut machine = Machine::default();
    machine.apply(1, &Command::Configure(Change { id, operator, base: 0, edit }));
    machine
}

pub fn apply(machine: &mut Machine, command: &Command) -> auburnlug_state::Applied {
    machine.apply(machine.index + 1, command)
}

pub fn group(text: &str) -> Shard {
    Shard::Group(name(text))
}
