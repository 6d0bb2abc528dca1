//! The state machine: conditional changes, withdrawn keys, epochs, terms.

// clippy.toml allows unwrap in test functions; this covers their helpers.
#![allow(clippy::unwrap_used)]

use auburnlug_state::{
    Applied, Change, Command, Edit, Holder, Instance, Machine, Name, Role, Server, Shard,
};
use proptest::{
    prelude::*,
    test_runner::{RngSeed, TestRunner},
};

fn name(text: &str) -> Name {
    Name::try_from(text).unwrap()
}

fn key(c: char) -> String {
    c.to_string().repeat(64)
}

fn template(groups: &[&str], accounts: &[(&str, char)]) -> String {
    let mut text = String::from("[template]\nformat=1\nname=t\nrate=1\nburst=1\nage=1\n");
    for g in groups {
        text += &format!("[group {g}]\nsize=2\ndatabase={g}\n");
    }
    for (a, c) in accounts {
        let line = if *a == "public" { String::new() } else { format!("key={}\n", key(*c)) };
        text += &format!("[account {a}]\n{line}");
    }
    text
}

fn change(id: &str, base: u64, edit: Edit) -> Command {
    Command::Configure(Change { id: name(id), operator: name("op"), base, edit })
}

fn instance(text: &str, incarnation: u64) -> Instance {
    let address = "127.0.0.1:1".parse().unwrap();
    let (region, domain) = (name("r"), name("d"));
    Instance {
        name: name(text),
        incarnation,
        peer: address,
        http: address,
        region,
        domain,
        entry: true,
    }
}

fn server(text: &str, group: &str, role: Role, term: u64) -> Server {
    Server {
        name: name(text),
        group: name(group),
        incarnation: 1,
        address: "127.0.0.1:5".parse().unwrap(),
        domain: name("d"),
        slots: 3,
        connections: 20,
        draining: false,
        role,
        term,
    }
}

/// Applies commands with consecutive indexes.
struct Log(Machine);

impl Log {
    fn new() -> Log {
        let mut log = Log(Machine::default());
        let text = template(&["g", "h"], &[("desk", 'a'), ("till", 'b'), ("public", '-')]);
        assert_eq!(log.run(change("first", 0, Edit::Publish(text))), Applied::Changed(1));
        log
    }

    fn run(&mut self, command: Command) -> Applied {
        self.0.apply(self.0.index + 1, &command)
    }

    fn edit(&mut self, edit: Edit) -> Applied {
        let id = format!("edit-{}", self.0.index);
        self.run(change(&id, self.0.version, edit))
    }

    fn assign(&mut self, shard: &Shard, to: Option<&str>) -> Applied {
        let epoch = self.0.shards[shard].epoch;
        self.run(Command::Assign { shard: shard.clone(), instance: to.map(name), epoch })
    }

    fn holds(&self, c: char) -> Option<&str> {
        self.0.config.account_of_key(&key(c)).map(Name::as_str)
    }
}

fn group() -> Shard {
    Shard::Group(name("g"))
}

/// Two operators who start from the same version: the second must not undo the first's change.
#[test]
fn equal_base_versions_conflict() {
    let mut log = Log::new();
    let text = template(&["g"], &[]);
    assert_eq!(log.run(change("x", 1, Edit::Publish(text.clone()))), Applied::Changed(2));
    let conflict = Applied::Conflict { version: 2, operator: name("op"), id: name("x") };
    assert_eq!(log.run(change("y", 1, Edit::Publish(text.clone()))), conflict);
    assert_eq!((log.0.version, log.0.index), (2, 3));
    let ahead = log.run(change("z", 9, Edit::Publish(text)));
    assert_eq!(ahead, conflict);
}

/// A change that is sent again after a lost answer must neither run twice nor look refused.
#[test]
fn repeated_change_gets_its_first_answer() {
    let mut log = Log::new();
    let withdraw = change("x", 1, Edit::Withdraw(name("desk")));
    assert_eq!(log.run(withdraw.clone()), Applied::Changed(2));
    let bad = change("bad", 2, Edit::Publish("[group g]".into()));
    let refused = log.run(bad.clone());
    assert!(matches!(refused, Applied::Invalid(_)));
    for i in 0..1020 {
        log.run(change(&format!("fill-{i}"), 0, Edit::Withdraw(name("desk"))));
    }
    let before = log.0.clone();
    assert_eq!(log.run(withdraw.clone()), Applied::Changed(2));
    assert_eq!(log.run(bad), refused);
    assert_eq!(Machine { index: before.index, ..log.0.clone() }, before);
    for i in 1020..1030 {
        log.run(change(&format!("fill-{i}"), 0, Edit::Withdraw(name("desk"))));
    }
    assert!(matches!(log.run(withdraw), Applied::Conflict { .. }), "forgotten after 1024");
}

/// An invalid template must leave the configuration as it was.
#[test]
fn invalid_change_has_no_effect() {
    let mut log = Log::new();
    let desk = name("desk");
    let limits = |rate, burst, age| Edit::Account { account: name("desk"), rate, burst, age };
    let other = Edit::Account { account: name("nobody"), rate: 1.0, burst: 1.0, age: 1 };
    let edits = [
        Edit::Publish(template(&["g"], &[("a", 'c')]) + "[group g]\n"),
        Edit::Publish(template(&["g"], &[("x", 'c'), ("y", 'c')])),
        limits(0.0, 1.0, 1),
        limits(f64::NAN, 1.0, 1),
        limits(1.0, 0.0, 1),
        limits(1.0, 1.0, 3_600_001),
        other,
        Edit::Withdraw(name("nobody")),
        Edit::Grant { account: desk.clone(), key: "ab".into() },
        Edit::Grant { account: desk.clone(), key: key('b') },
        Edit::Grant { account: name("public"), key: key('c') },
        Edit::Revoke { account: desk, key: key('b') },
    ];
    for edit in edits {
        let before = log.0.config.clone();
        assert!(matches!(log.edit(edit.clone()), Applied::Invalid(_)), "{edit:?}");
        assert_eq!((&log.0.config, log.0.version), (&before, 1), "{edit:?}");
    }
    assert_eq!(log.edit(limits(5.0, 6.0, 7)), Applied::Changed(log.0.index));
    let desk = &log.0.config.accounts["desk"];
    assert_eq!((desk.rate, desk.burst, desk.age), (5.0, 6.0, 7));
}

/// P6: a withdrawn key that an old template still lists must not work again.
#[test]
fn withdrawn_key_never_comes_back() {
    let mut log = Log::new();
    let text = template(&["g"], &[("desk", 'a'), ("till", 'b')]);
    let desk = name("desk");
    log.edit(Edit::Grant { account: desk.clone(), key: key('c') });
    log.edit(Edit::Grant { account: desk.clone(), key: key('d') });
    log.edit(Edit::Publish(text.clone()));
    assert_eq!((log.holds('c'), log.holds('d')), (Some("desk"), Some("desk")), "kept");
    log.edit(Edit::Revoke { account: desk.clone(), key: key('A') });
    log.edit(Edit::Revoke { account: desk.clone(), key: key('c') });
    log.edit(Edit::Publish(text.clone()));
    assert_eq!((log.holds('a'), log.holds('c')), (None, None));
    assert_eq!(log.holds('d'), Some("desk"));
    let again = log.edit(Edit::Grant { account: desk, key: key('a') });
    assert!(matches!(again, Applied::Invalid(_)));
    log.edit(Edit::Withdraw(name("till")));
    log.edit(Edit::Publish(text));
    assert_eq!(log.holds('b'), None, "key of a withdrawn account");
    assert!(log.0.config.accounts.contains_key("till"));
}

/// A granted key that a later template lists for another account would belong to both.
#[test]
fn granted_key_is_not_published_for_another_account() {
    let mut log = Log::new();
    log.edit(Edit::Grant { account: name("desk"), key: key('c') });
    let text = template(&["g"], &[("desk", 'a'), ("till", 'c')]);
    assert!(matches!(log.edit(Edit::Publish(text)), Applied::Invalid(_)));
    assert_eq!(log.holds('c'), Some("desk"));
}

/// A shard that leaves and comes back must not get an epoch again that a former holder had, and
/// a group must not get a term again that a former primary had.
#[test]
fn epochs_and_terms_outlast_a_removed_group() {
    let mut log = Log::new();
    log.run(Command::Register(instance("i", 1)));
    log.assign(&group(), Some("i"));
    let epoch = log.0.shards[&group()].epoch;
    let term = |term| Command::Term { group: name("g"), term, epoch };
    assert_eq!(log.run(term(1)), Applied::Done);
    log.run(Command::Announce(server("s", "g", Role::Replica, 1)));
    log.edit(Edit::Publish(template(&["h"], &[])));
    assert!(!log.0.shards.contains_key(&group()) && log.0.servers.is_empty());
    assert_eq!(log.run(term(2)), Applied::Stale);
    log.edit(Edit::Publish(template(&["g"], &[])));
    let holder = Holder { instance: Some(name("i")), epoch: epoch + 1 };
    assert_eq!(log.0.shards[&group()], holder);
    assert_eq!(log.0.groups["g"].term, 1);
    assert_eq!(log.run(term(2)), Applied::Stale, "old epoch");
}

/// Commands from before a move must not take effect after it.
#[test]
fn old_epochs_terms_and_incarnations_are_stale() {
    let mut log = Log::new();
    let assign =
        |to: &str, epoch| Command::Assign { shard: group(), instance: Some(name(to)), epoch };
    assert_eq!(log.run(assign("i", 0)), Applied::Stale, "unknown instance");
    log.run(Command::Register(instance("i", 5)));
    assert_eq!(log.run(assign("i", 0)), Applied::Done);
    assert_eq!(log.run(assign("i", 0)), Applied::Stale, "old epoch");
    let term = |term, epoch| Command::Term { group: name("g"), term, epoch };
    assert_eq!(log.run(term(2, 1)), Applied::Stale, "not the next term");
    assert_eq!(log.run(term(1, 0)), Applied::Stale, "old epoch");
    assert_eq!(log.run(term(1, 1)), Applied::Done);
    assert_eq!(log.run(term(1, 1)), Applied::Stale, "repeated");
    log.run(Command::Announce(server("s", "g", Role::Replica, 1)));
    log.run(Command::Announce(server("u", "g", Role::Replica, 1)));
    let primary = |term, server: &str, epoch| Command::Primary {
        group: name("g"),
        term,
        server: name(server),
        epoch,
    };
    assert_eq!(log.run(primary(1, "x", 1)), Applied::Stale, "unknown server");
    assert_eq!(log.run(primary(0, "s", 1)), Applied::Stale, "old term");
    assert_eq!(log.run(primary(1, "s", 1)), Applied::Done);
    assert_eq!(log.run(primary(1, "u", 1)), Applied::Stale, "a term has one primary");
    assert_eq!(log.run(Command::Forget(name("s"))), Applied::Stale, "primary");
    assert_eq!(log.run(Command::Register(instance("i", 4))), Applied::Stale, "earlier run");
    let remove = |incarnation| Command::Remove { instance: name("i"), incarnation };
    assert_eq!(log.run(remove(4)), Applied::Stale);
    assert_eq!(log.run(Command::Register(instance("i", 6))), Applied::Done);
    assert_eq!(log.0.shards[&group()], Holder { instance: None, epoch: 2 });
    assert_eq!(log.run(term(2, 2)), Applied::Stale, "no owner");
    log.run(assign("i", 2));
    assert_eq!(log.run(remove(6)), Applied::Done);
    assert_eq!(log.0.shards[&group()], Holder { instance: None, epoch: 4 });
}

/// Guards against a new server that counts for promotions before it holds what was acknowledged,
/// and against one that never counts.
#[test]
fn servers_after_the_first_primary_are_filled_before_they_count() {
    let mut log = Log::new();
    let shard = Shard::Group(name("g"));
    let announce = |s: &str| Command::Announce(server(s, "g", Role::Replica, 0));
    log.run(Command::Register(instance("i", 1)));
    log.run(Command::Assign { shard, instance: Some(name("i")), epoch: 0 });
    log.run(announce("a"));
    log.run(announce("b"));
    log.run(Command::Term { group: name("g"), term: 1, epoch: 1 });
    let filled = |s: &str, term, epoch| {
        let (group, server) = (name("g"), name(s));
        Command::Filled { group, term, server, epoch }
    };
    let (group, server) = (name("g"), name("a"));
    assert_eq!(log.run(Command::Primary { group, term: 1, server, epoch: 1 }), Applied::Done);
    log.run(announce("b"));
    assert!(log.0.filling["g"].is_empty(), "they were there before");
    log.run(Command::Forget(name("b")));
    log.run(announce("c"));
    assert_eq!(Vec::from_iter(&log.0.filling["g"]), [&name("c")]);
    assert_eq!(log.run(filled("c", 1, 0)), Applied::Stale, "old epoch");
    assert_eq!(log.run(filled("c", 0, 1)), Applied::Stale, "old term");
    assert_eq!(log.run(filled("a", 1, 1)), Applied::Stale, "not new");
    assert_eq!(log.run(filled("c", 1, 1)), Applied::Done);
    log.run(Command::Forget(name("c")));
    log.run(announce("b"));
    assert_eq!(Vec::from_iter(&log.0.filling["g"]), [&name("b")], "back after it was removed");
}

/// A group must not have more servers than its size, or a majority of it would mean nothing.
#[test]
fn servers_are_recorded_within_group_and_size() {
    let mut log = Log::new();
    let announce = |s: &str, g: &str, role, term| Command::Announce(server(s, g, role, term));
    assert_eq!(log.run(announce("a", "nowhere", Role::Replica, 0)), Applied::Stale);
    assert_eq!(log.run(announce("a", "g", Role::Primary, 7)), Applied::Done);
    assert_eq!(log.0.groups["g"].term, 7, "first claim starts the terms");
    assert_eq!(log.run(announce("b", "g", Role::Primary, 8)), Applied::Done);
    assert_eq!(log.0.groups["g"].term, 7, "later claims don't");
    assert_eq!(log.run(announce("c", "g", Role::Replica, 7)), Applied::Stale, "full");
    assert_eq!(log.run(announce("a", "h", Role::Replica, 7)), Applied::Stale, "group");
    assert_eq!(log.run(Command::Forget(name("a"))), Applied::Done);
    assert_eq!(log.run(announce("c", "g", Role::Replica, 7)), Applied::Done);
}

fn edits() -> impl Strategy<Value = Edit> {
    let accounts = || proptest::sample::select(vec!["desk", "till", "public"]);
    let keys = || proptest::sample::select(vec!['a', 'b', 'c', 'd']);
    prop_oneof![
        (any::<bool>(), keys(), keys()).prop_map(|(both, x, y)| {
            let groups: &[&str] = if both { &["g", "h"] } else { &["g"] };
            Edit::Publish(template(groups, &[("desk", x), ("till", y)]))
        }),
        accounts().prop_map(|a| Edit::Withdraw(name(a))),
        (accounts(), keys()).prop_map(|(a, c)| Edit::Grant { account: name(a), key: key(c) }),
        (accounts(), keys()).prop_map(|(a, c)| Edit::Revoke { account: name(a), key: key(c) }),
        (accounts(), 0.0..3.0).prop_map(|(a, rate)| Edit::Account {
            account: name(a),
            rate,
            burst: 2.0,
            age: 3,
        }),
    ]
}

/// Repeated, reordered and conflicting changes in any order: versions and epochs never go back,
/// a change id has one answer, a withdrawn key never works, and two machines agree.
#[test]
fn any_schedule_of_changes_keeps_the_rules() {
    let step = (0_u32..12, 0_u64..3, edits(), any::<bool>());
    let steps = proptest::collection::vec(step, 1..60);
    let rng_seed = RngSeed::Fixed(0x51a7);
    let config =
        ProptestConfig { cases: 400, rng_seed, failure_persistence: None, ..Default::default() };
    TestRunner::new(config)
        .run(&steps, |steps| {
            let (mut log, mut twin) = (Log::new(), Log::new());
            let mut answers = std::collections::BTreeMap::new();
            let mut withdrawn = Vec::new();
            let mut epochs = std::collections::BTreeMap::new();
            for (id, behind, edit, take) in steps {
                let old = log.0.clone();
                let command =
                    change(&format!("c{id}"), old.version.saturating_sub(behind), edit.clone());
                let applied = log.run(command.clone());
                prop_assert_eq!(&applied, &twin.run(command));
                let first = answers.entry(id).or_insert(applied.clone()).clone();
                prop_assert_eq!(&applied, &first);
                let version = log.0.version;
                let fresh = applied == Applied::Changed(log.0.index);
                prop_assert_eq!(version, if fresh { log.0.index } else { old.version });
                prop_assert!(fresh || old.config == log.0.config);
                if let (true, Edit::Revoke { key, .. }) = (fresh, edit) {
                    withdrawn.push(key);
                }
                prop_assert!(withdrawn.iter().all(|k| log.0.config.account_of_key(k).is_none()));
                if take {
                    log.run(Command::Register(instance("i", 1)));
                    twin.run(Command::Register(instance("i", 1)));
                    let _ = (log.0.shards.contains_key(&group())).then(|| {
                        (log.assign(&group(), Some("i")), twin.assign(&group(), Some("i")))
                    });
                }
                for (shard, holder) in &log.0.shards {
                    let last = epochs.insert(shard.clone(), holder.epoch).unwrap_or(0);
                    prop_assert!(holder.epoch >= last);
                }
                let shards = log.0.config.groups.len() + log.0.config.accounts.len();
                prop_assert_eq!(log.0.shards.len(), shards);
                prop_assert!(log.0.groups.keys().eq(log.0.config.groups.keys()));
                prop_assert_eq!(&log.0, &twin.0);
            }
            Ok(())
        })
        .unwrap();
}

/// An entry that is delivered twice must not be applied twice.
#[test]
fn old_index_has_no_effect() {
    let mut log = Log::new();
    let before = log.0.clone();
    let withdraw = change("x", 1, Edit::Withdraw(name("desk")));
    assert_eq!(log.0.apply(1, &withdraw), Applied::Stale);
    assert_eq!(log.0, before);
}
