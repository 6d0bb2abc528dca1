//! Tests of server announcements: which are refused and which are recorded.

// The exemption for tests in clippy.toml does not cover helper functions in test files.
#![allow(clippy::unwrap_used)]

mod common;

use auburnlug_coordination::directory::{
    Directory, Refusal, SERVER_LIVENESS_TIMEOUT_MS, SERVER_REPLACEMENT_TIMEOUT_MS,
};
use auburnlug_state::{Command, Machine, Role, Server};
use common::{apply, machine, name, server};

/// Group `g0` in term 2 with primary `s1` and replicas `s2`, `s3`, all announced at time 0.
fn full_group() -> (Machine, Directory) {
    let mut machine = machine(2, 0);
    for i in 1..=3 {
        let mut server = server(&format!("s{i}"), "g0", i);
        server.term = 2;
        apply(&mut machine, &Command::Announce(server));
    }
    let group = machine.groups.get_mut("g0").unwrap();
    (group.term, group.primary) = (2, Some(name("s1")));
    (machine, Directory::new(0))
}

/// Name of the case, changes to the recorded `s2`, time of the announcement, expected refusal.
type Case = (&'static str, fn(&mut Server), u64, Option<Refusal>);

/// Each refusal protects a group from a server that would corrupt its majority or its routing.
#[test]
fn announcements_are_checked() {
    let old = "127.0.0.1:2".parse().unwrap();
    let cases: [Case; 14] = [
        ("unchanged", |_| {}, 1, None),
        ("restarted", |s| s.incarnation = 2, 1, None),
        ("draining", |s| s.draining = true, 1, None),
        ("unknown group", |s| s.group = name("x"), 1, Some(Refusal::Unknown)),
        ("group", |s| s.group = name("g1"), 1, Some(Refusal::Group(name("g0")))),
        (
            "two live addresses",
            |s| s.address.set_port(9),
            SERVER_LIVENESS_TIMEOUT_MS - 1,
            Some(Refusal::Identity(old)),
        ),
        ("moved", |s| s.address.set_port(9), SERVER_LIVENESS_TIMEOUT_MS, None),
        (
            "address of another",
            |s| s.address.set_port(3),
            SERVER_LIVENESS_TIMEOUT_MS,
            Some(Refusal::Address(name("s3"))),
        ),
        ("late message", |s| s.term = 1, 1, Some(Refusal::Term(2))),
        ("behind after a restart", |s| (s.incarnation, s.term) = (2, 1), 1, None),
        (
            "replaced primary",
            |s| (s.incarnation, s.term, s.role) = (2, 1, Role::Primary),
            1,
            Some(Refusal::Term(2)),
        ),
        ("full", |s| (s.name, s.address) = (name("s4"), ([1, 1, 1, 1], 4).into()), 1, {
            Some(Refusal::Full(3))
        }),
        ("renamed", |s| s.name = name("s4"), 1, Some(Refusal::Address(name("s2")))),
        (
            "other group",
            |s| {
                *s = server("s4", "g1", 4);
            },
            1,
            None,
        ),
    ];
    for (case, edit, now, refusal) in cases {
        let (machine, mut directory) = full_group();
        let mut server = machine.servers["s2"].clone();
        edit(&mut server);
        let result = directory.announce(&server, &machine, now);
        assert_eq!(result.as_ref().err(), refusal.as_ref(), "{case}");
        if let Ok(commands) = result {
            let changed = (case != "unchanged").then_some(Command::Announce(server));
            assert_eq!(commands, Vec::from_iter(changed), "{case}");
        }
    }
}

/// Guards against the removal of an unresponsive replica without a replacement, which would shrink
/// the majority, and against the removal of the recorded primary.
#[test]
fn unresponsive_server_is_replaced_but_not_removed() {
    let (mut machine, mut directory) = full_group();
    let announce = |directory: &mut Directory, machine: &Machine, who: &str, now| {
        directory.announce(&machine.servers[who], machine, now).unwrap();
    };
    announce(&mut directory, &machine, "s1", SERVER_REPLACEMENT_TIMEOUT_MS);
    announce(
        &mut directory,
        &machine,
        "s2",
        SERVER_REPLACEMENT_TIMEOUT_MS - SERVER_LIVENESS_TIMEOUT_MS,
    );
    assert!(
        directory.tick(&machine, SERVER_REPLACEMENT_TIMEOUT_MS).is_empty(),
        "the group keeps its size"
    );
    let new = server("s4", "g0", 4);
    let full = directory.announce(&new, &machine, SERVER_REPLACEMENT_TIMEOUT_MS - 1);
    assert_eq!(full, Err(Refusal::Full(3)), "not unresponsive for long enough");
    let replaced = vec![Command::Forget(name("s3")), Command::Announce(new.clone())];
    assert_eq!(
        directory.announce(&new, &machine, SERVER_REPLACEMENT_TIMEOUT_MS),
        Ok(replaced.clone())
    );
    let late = SERVER_REPLACEMENT_TIMEOUT_MS + SERVER_LIVENESS_TIMEOUT_MS;
    let refused = directory.announce(&new, &machine, late);
    assert_eq!(refused, Err(Refusal::Full(3)), "no live primary");
    let mut renamed = new.clone();
    renamed.address.set_port(3);
    let swap = vec![Command::Forget(name("s3")), Command::Announce(renamed.clone())];
    assert_eq!(
        directory.announce(&renamed, &machine, SERVER_REPLACEMENT_TIMEOUT_MS),
        Ok(swap),
        "address of an unresponsive server"
    );
    for command in &replaced {
        apply(&mut machine, command);
    }
    assert!(machine.servers.contains_key("s4") && !machine.servers.contains_key("s3"));
    machine.config.groups.get_mut("g0").unwrap().size = 2;
    announce(&mut directory, &machine, "s4", late);
    announce(&mut directory, &machine, "s1", late);
    assert_eq!(directory.announcement_age(&name("s2"), late), 2 * SERVER_LIVENESS_TIMEOUT_MS);
    let later =
        SERVER_REPLACEMENT_TIMEOUT_MS - SERVER_LIVENESS_TIMEOUT_MS + SERVER_REPLACEMENT_TIMEOUT_MS;
    announce(&mut directory, &machine, "s1", later);
    assert_eq!(directory.tick(&machine, later), vec![Command::Forget(name("s2"))]);
    announce(&mut directory, &machine, "s1", late + SERVER_REPLACEMENT_TIMEOUT_MS);
    assert_eq!(
        directory.tick(&machine, late + SERVER_REPLACEMENT_TIMEOUT_MS).len(),
        1,
        "two are unresponsive, one exceeds the size"
    );
}

/// A replaced primary that still claims the role is refused, but counts as live: the owner needs
/// its address to make it a replica.
#[test]
fn refused_claim_counts_as_an_announcement_from_the_same_address_only() {
    let (machine, mut directory) = full_group();
    let mut claim = machine.servers["s2"].clone();
    (claim.role, claim.term, claim.incarnation) = (Role::Primary, 1, 2);
    assert!(directory.announce(&claim, &machine, 5000).is_err());
    assert_eq!(directory.announcement_age(&claim.name, 5000), 0);
    claim.address.set_port(9);
    assert!(directory.announce(&claim, &machine, 9000).is_err());
    assert_eq!(directory.announcement_age(&claim.name, 9000), 4000);
}
