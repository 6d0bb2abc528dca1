//! Classification of statements.
#![allow(clippy::unwrap_used)]

use auburnlug_protocol::statement::{Effect, Hints, Setting, classify, normalize, parse_hints};
use auburnlug_state::{Class, Config, Kind, Name, Route};
use proptest::{
    prelude::*,
    test_runner::{RngSeed, TestRunner},
};

fn config() -> Config {
    let mut config = Config::default();
    let route = |statement: &str, kind, open| Route {
        statement: statement.into(),
        kind,
        idempotent: kind == Kind::Read,
        open,
        class: Class::Interactive,
    };
    let routes = [
        ("lookup", route("select status", Kind::Read, false)),
        ("audit", route("select status for audit", Kind::Write, false)),
        ("hours", route("select hours", Kind::Read, true)),
    ];
    for (name, route) in routes {
        config.routes.insert(Name::try_from(name).unwrap(), route);
    }
    config
}

fn runner(seed: u64) -> TestRunner {
    TestRunner::new(ProptestConfig {
        cases: 500,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..ProptestConfig::default()
    })
}

/// Guards against comments, case or white space that make a statement miss its route, and against
/// changes inside quotes.
#[test]
fn statements_are_normalized() {
    let table: [(&str, &[&str]); 12] = [
        ("SELECT  Status\n\tFROM a", &["select status from a"]),
        ("/* a /* nested */ b */ Select 1 -- tail", &["select 1"]),
        ("select 'It''s ; A'", &["select 'It''s ; A'"]),
        ("select E'\\';' ; x", &["select e'\\';'", "x"]),
        ("select 'a\\'; delete", &["select 'a\\'", "delete"]),
        ("select $q$;A$q$; b", &["select $q$;A$q$", "b"]),
        ("select $1, a$b$c; d", &["select $1, a$b$c", "d"]),
        ("select \"A;b\"", &["select \"A;b\""]),
        (";; ;", &[]),
        ("select 'open", &["select 'open"]),
        ("a/**/b", &["a b"]),
        ("", &[]),
    ];
    for (sql, expected) in table {
        assert_eq!(normalize(sql), expected, "{sql}");
    }
}

/// Guards against a wrong choice among several matching routes.
#[test]
fn route_with_the_longest_prefix_is_used() {
    let list = classify("Select STATUS for audit; select status x; delete from a", &config());
    let kinds: Vec<_> = list.iter().map(|item| (item.kind, item.idempotent)).collect();
    assert_eq!(kinds, [(Kind::Write, false), (Kind::Read, true), (Kind::Write, false)]);
}

/// Guards against state that a caller leaves on a server connection for the next one (property P3).
#[test]
fn effects_are_recognized() {
    let table = [
        ("BEGIN ISOLATION LEVEL SERIALIZABLE", Effect::Begin),
        ("start transaction", Effect::Begin),
        ("commit work", Effect::Commit),
        ("end", Effect::Commit),
        ("abort", Effect::Rollback),
        ("rollback", Effect::Rollback),
        ("rollback to savepoint a", Effect::Plain),
        ("rollback work to a", Effect::Plain),
        ("savepoint a", Effect::Plain),
        ("commit and chain", Effect::LeavesState),
        ("rollback and chain", Effect::LeavesState),
        ("commit prepared 'a'", Effect::LeavesState),
        ("prepare transaction 'a'", Effect::LeavesState),
        ("set search_path = a", Effect::LeavesState),
        ("SET/**/search_path=a", Effect::LeavesState),
        ("set session authorization b", Effect::LeavesState),
        ("set local a = 1", Effect::Plain),
        ("set transaction read only", Effect::Plain),
        ("reset all", Effect::LeavesState),
        ("discard all", Effect::LeavesState),
        ("listen a", Effect::LeavesState),
        ("copy a from stdin", Effect::LeavesState),
        ("do $$ begin end $$", Effect::LeavesState),
        ("create temp table a()", Effect::LeavesState),
        ("create unlogged table a()", Effect::Plain),
        ("create or replace temporary view a as select 1", Effect::LeavesState),
        ("create table temp_a()", Effect::Plain),
        ("select 1 into temp a", Effect::LeavesState),
        ("declare c cursor with hold for select 1", Effect::LeavesState),
        ("declare c cursor for select 1", Effect::Plain),
        ("select pg_advisory_lock(1)", Effect::LeavesState),
        ("select PG_TRY_ADVISORY_LOCK (1)", Effect::LeavesState),
        ("select \"pg_advisory_lock\"(1)", Effect::LeavesState),
        ("select pg_advisory_xact_lock(1)", Effect::Plain),
        ("select 'pg_advisory_lock'", Effect::Plain),
        ("select set_config('a','b',false)", Effect::LeavesState),
        ("with a as (select 1) select 1", Effect::Plain),
        (
            "set auburnlug.session = 'desk-1'",
            Effect::Setting(Setting::Session(Some("desk-1".into()))),
        ),
        ("SET auburnlug.Session TO Desk", Effect::Setting(Setting::Session(Some("desk".into())))),
        ("set session auburnlug.age=20", Effect::Setting(Setting::Age(Some(20)))),
        ("reset auburnlug.request", Effect::Setting(Setting::Request(None))),
        ("set auburnlug.request to default", Effect::Setting(Setting::Request(None))),
        ("set auburnlug.other = 1", Effect::LeavesState),
        ("set auburnlug.age = soon", Effect::LeavesState),
        ("set search_path = 'auburnlug.session'", Effect::LeavesState),
    ];
    for (sql, effect) in table {
        let list = classify(sql, &config());
        assert_eq!(list.len(), 1, "{sql}");
        assert_eq!(list[0].effect, effect, "{sql}");
    }
}

/// Guards against hints that are taken from other text than the leading comment.
#[test]
fn hints_come_from_the_leading_comment() {
    let all = parse_hints(" /* auburnlug id=r-1 session=s age=20 other=1 */ select 1");
    assert_eq!(all, Hints { id: Some("r-1".into()), session: Some("s".into()), age: Some(20) });
    for sql in [
        "select 1 /* auburnlug id=a */",
        "/* other id=a */ x",
        "/* auburnlugid=a */",
        "/* auburnlug id=a",
        "'/* auburnlug id=a */'",
    ] {
        assert_eq!(parse_hints(sql), Hints::default(), "{sql}");
    }
    let long = format!("/* auburnlug id={} */ x", "a".repeat(200));
    assert_eq!(parse_hints(&long).id, None);
}

/// Guards against a panic of the scanner, and against a quote that extends into the next statement,
/// which would change normalized text when it is normalized again.
#[test]
fn random_text_is_scanned() {
    let text = "[a-zE'\"$;/* \\\\\\n-]{0,40}|\\PC{0,40}";
    let result = runner(7).run(&text, |sql| {
        let parts = normalize(&sql);
        prop_assert!(parts.iter().all(|part| !part.is_empty()));
        classify(&sql, &config());
        parse_hints(&sql);
        // Routes are compared with normalized text, so normalization must be idempotent.
        for part in parts {
            prop_assert_eq!(normalize(&part), vec![part.clone()]);
        }
        Ok(())
    });
    result.unwrap();
}

/// Guards against quoted text that changes the route or splits the statement.
#[test]
fn quoted_text_does_not_affect_classification() {
    let result = runner(8).run(&"\\PC{0,30}", |text| {
        let quoted = text.replace('\'', "''");
        let list = classify(&format!("select status where a = '{quoted}'"), &config());
        prop_assert_eq!(list.len(), 1);
        prop_assert_eq!((list[0].kind, &list[0].effect), (Kind::Read, &Effect::Plain));
        Ok(())
    });
    result.unwrap();
}
