//! The state machine: conditional changes, withdrawn keys, epochs and terms.

// clippy.toml allows unwrap in test functions only; this covers their helpers.
#![allow(clippy::unwrap_used)]

use auburnlug_state::{
    Applied, Change, Command, Edit, Instance, Machine, Name, Role, Server, Shard, ShardOwner,
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

/// Applies commands to a machine with consecutive indexes.
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

    fn assign(&mut self, shard: &Shard, owner: Option<&str>) -> Applied {
        let epoch = self.0.shards[shard].epoch;
        self.run(Command::Assign { shard: shard.clone(), instance: owner.map(name), epoch })
    }

    fn holds(&self, c: char) -> Option<&str> {
        self.0.config.account_of_key(&key(c)).map(Name::as_str)
    }
}

fn group() -> Shard {
    Shard::Group(name("g"))
}

/// If two operators base changes on the same version, the second must not undo the first one.
#[test]
fn second_change_to_the_same_base_version_conflicts() {
    let mut log = Log::new();
    let text = template(&["g"], &[]);
    assert_eq!(log.run(change("x", 1, Edit::Publish(text.clone()))), Applied::Changed(2));
    let conflict = Applied::Conflict { version: 2, operator: name("op"), id: name("x") };
    assert_eq!(log.run(change("y", 1, Edit::Publish(text.clone()))), conflict);
    assert_eq!((log.0.version, log.0.index), (2, 3));
    let unknown_base = log.run(change("z", 9, Edit::Publish(text)));
    assert_eq!(unknown_base, conflict);
}

/// A change that is sent again after a lost answer must neither be applied twice nor look refused.
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
    assert!(
        matches!(log.run(withdraw), Applied::Conflict { .. }),
        "answer is dropped after 1024 changes"
    );
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

/// A withdrawn key that an old template still lists must not become valid again (property P6).
#[test]
fn withdrawn_key_never_becomes_valid_again() {
    let mut log = Log::new();
    let text = template(&["g"], &[("desk", 'a'), ("till", 'b')]);
    let desk = name("desk");
    log.edit(Edit::Grant { account: desk.clone(), key: key('c') });
    log.edit(Edit::Grant { account: desk.clone(), key: key('d') });
    log.edit(Edit::Publish(text.clone()));
    assert_eq!((log.holds('c'), log.holds('d')), (Some("desk"), Some("desk")), "granted");
    log.edit(Edit::Revoke { account: desk.clone(), key: key('A') });
    log.edit(Edit::Revoke { account: desk.clone(), key: key('c') });
    log.edit(Edit::Publish(text.clone()));
    assert_eq!((log.holds('a'), log.holds('c')), (None, None));
    assert_eq!(log.holds('d'), Some("desk"));
    let repeated = log.edit(Edit::Grant { account: desk, key: key('a') });
    assert!(matches!(repeated, Applied::Invalid(_)));
    log.edit(Edit::Withdraw(name("till")));
    log.edit(Edit::Publish(text));
    assert_eq!(log.holds('b'), None, "key of a withdrawn account");
    assert!(log.0.config.accounts.contains_key("till"));
}

/// A granted key that a later template lists for another account would belong to both accounts.
#[test]
fn template_with_a_key_granted_to_another_account_is_refused() {
    let mut log = Log::new();
    log.edit(Edit::Grant { account: name("desk"), key: key('c') });
    let text = template(&["g"], &[("desk", 'a'), ("till", 'c')]);
    assert!(matches!(log.edit(Edit::Publish(text)), Applied::Invalid(_)));
    assert_eq!(log.holds('c'), Some("desk"));
}

/// If a group is removed and added again, its shard must not reuse an epoch of an earlier owner,
/// and the group must not reuse a term of an earlier primary.
#[test]
fn epochs_and_terms_are_kept_while_a_group_is_removed() {
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
    let holder = ShardOwner { instance: Some(name("i")), epoch: epoch + 1 };
    assert_eq!(log.0.shards[&group()], holder);
    assert_eq!(log.0.groups["g"].term, 1);
    assert_eq!(log.run(term(2)), Applied::Stale, "old epoch");
}

/// Commands issued before a shard moved must not take effect afterwards.
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
    assert_eq!(log.run(Command::Register(instance("i", 4))), Applied::Stale, "old incarnation");
    let remove = |incarnation| Command::Remove { instance: name("i"), incarnation };
    assert_eq!(log.run(remove(4)), Applied::Stale);
    assert_eq!(log.run(Command::Register(instance("i", 6))), Applied::Done);
    assert_eq!(log.0.shards[&group()], ShardOwner { instance: None, epoch: 2 });
    assert_eq!(log.run(term(2, 2)), Applied::Stale, "no owner");
    log.run(assign("i", 2));
    assert_eq!(log.run(remove(6)), Applied::Done);
    assert_eq!(log.0.shards[&group()], ShardOwner { instance: None, epoch: 4 });
}

/// Guards against a new server that counts for promotions before it has all acknowledged commits,
/// and against one that never counts.
#[test]
fn servers_added_after_the_first_primary_count_only_once_caught_up() {
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
    assert!(log.0.filling["g"].is_empty(), "both joined before the first primary");
    log.run(Command::Forget(name("b")));
    log.run(announce("c"));
    assert_eq!(Vec::from_iter(&log.0.filling["g"]), [&name("c")]);
    assert_eq!(log.run(filled("c", 1, 0)), Applied::Stale, "old epoch");
    assert_eq!(log.run(filled("c", 0, 1)), Applied::Stale, "old term");
    assert_eq!(log.run(filled("a", 1, 1)), Applied::Stale, "not a new server");
    assert_eq!(log.run(filled("c", 1, 1)), Applied::Done);
    log.run(Command::Forget(name("c")));
    log.run(announce("b"));
    assert_eq!(
        Vec::from_iter(&log.0.filling["g"]),
        [&name("b")],
        "a server that was removed and added again is new"
    );
}

/// A group must not have more servers than its size: two majorities of that size might then have no
/// server in common.
#[test]
fn group_has_no_more_servers_than_its_size() {
    let mut log = Log::new();
    let announce = |s: &str, g: &str, role, term| Command::Announce(server(s, g, role, term));
    assert_eq!(log.run(announce("a", "nowhere", Role::Replica, 0)), Applied::Stale);
    assert_eq!(log.run(announce("a", "g", Role::Primary, 7)), Applied::Done);
    assert_eq!(log.0.groups["g"].term, 7, "the first claim sets the term");
    assert_eq!(log.run(announce("b", "g", Role::Primary, 8)), Applied::Done);
    assert_eq!(log.0.groups["g"].term, 7, "later claims do not");
    assert_eq!(log.run(announce("c", "g", Role::Replica, 7)), Applied::Stale, "group is full");
    assert_eq!(
        log.run(announce("a", "h", Role::Replica, 7)),
        Applied::Stale,
        "server belongs to another group"
    );
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

/// Under repeated, reordered and conflicting changes, versions and epochs never decrease, a change
/// id always gets the same answer, a withdrawn key is never valid, and two machines stay equal.
#[test]
fn invariants_hold_for_any_sequence_of_changes() {
    let step = (0_u32..12, 0_u64..3, edits(), any::<bool>());
    let steps = proptest::collection::vec(step, 1..60);
    let rng_seed = RngSeed::Fixed(0x51a7);
    let config =
        ProptestConfig { cases: 400, rng_seed, failure_persistence: None, ..Default::default() };
    TestRunner::new(config)
        .run(&steps, |steps| {
            let (mut log, mut replica) = (Log::new(), Log::new());
            let mut answers = std::collections::BTreeMap::new();
            let mut withdrawn = Vec::new();
            let mut epochs = std::collections::BTreeMap::new();
            for (id, lag, edit, assign) in steps {
                let old = log.0.clone();
                let command =
                    change(&format!("c{id}"), old.version.saturating_sub(lag), edit.clone());
                let applied = log.run(command.clone());
                prop_assert_eq!(&applied, &replica.run(command));
                let first = answers.entry(id).or_insert(applied.clone()).clone();
                prop_assert_eq!(&applied, &first);
                let version = log.0.version;
                let changed = applied == Applied::Changed(log.0.index);
                prop_assert_eq!(version, if changed { log.0.index } else { old.version });
                prop_assert!(changed || old.config == log.0.config);
                if let (true, Edit::Revoke { key, .. }) = (changed, edit) {
                    withdrawn.push(key);
                }
                prop_assert!(withdrawn.iter().all(|k| log.0.config.account_of_key(k).is_none()));
                if assign {
                    log.run(Command::Register(instance("i", 1)));
                    replica.run(Command::Register(instance("i", 1)));
                    let _ = (log.0.shards.contains_key(&group())).then(|| {
                        (log.assign(&group(), Some("i")), replica.assign(&group(), Some("i")))
                    });
                }
                for (shard, holder) in &log.0.shards {
                    let last = epochs.insert(shard.clone(), holder.epoch).unwrap_or(0);
                    prop_assert!(holder.epoch >= last);
                }
                let shards = log.0.config.groups.len() + log.0.config.accounts.len();
                prop_assert_eq!(log.0.shards.len(), shards);
                prop_assert!(log.0.groups.keys().eq(log.0.config.groups.keys()));
                prop_assert_eq!(&log.0, &replica.0);
            }
            Ok(())
        })
        .unwrap();
}

/// A log entry that is delivered twice must be applied once.
#[test]
fn old_index_has_no_effect() {
    let mut log = Log::new();
    let before = log.0.clone();
    let withdraw = change("x", 1, Edit::Withdraw(name("desk")));
    assert_eq!(log.0.apply(1, &withdraw), Applied::Stale);
    assert_eq!(log.0, before);
}
