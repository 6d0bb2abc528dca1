//! Announcements of database servers.
#![allow(clippy::unwrap_used)]

use auburnlug_protocol::announce::Announcement;
use auburnlug_state::{Role, Server};
use proptest::{
    prelude::*,
    test_runner::{RngSeed, TestRunner},
};

const VALID: &str = r#"{"server":"muscat-1","group":"muscat","incarnation":7,"term":3,"role":"primary","address":"127.0.0.1:5500","slots":3,"connections":20,"domain":"d1","draining":true}"#;

/// Reads a body in the two steps of the HTTP listener.
fn read(body: &str) -> Result<Server, String> {
    let raw: Announcement = serde_json::from_str(body).map_err(|e| e.to_string())?;
    Server::try_from(raw).map_err(|e| e.to_string())
}

/// Guards against a field that ends up in another one, and against a lost field.
#[test]
fn valid_announcement_is_read() {
    let server = read(VALID).unwrap();
    assert_eq!((server.name.as_str(), server.group.as_str()), ("muscat-1", "muscat"));
    assert_eq!((server.incarnation, server.term), (7, 3));
    assert_eq!(server.role, Role::Primary);
    assert_eq!(server.address, "127.0.0.1:5500".parse().unwrap());
    assert_eq!((server.slots, server.connections), (3, 20));
    assert_eq!(server.domain.as_str(), "d1");
    assert!(server.draining);
    let again: Announcement = serde_json::from_str(VALID).unwrap();
    let again = serde_json::to_string(&again).unwrap();
    assert_eq!(read(&again).unwrap(), server);
}

/// Guards against a server that must know its failure domain or say that it stays.
#[test]
fn domain_and_draining_may_be_left_out() {
    let body = VALID.replace(r#","domain":"d1","draining":true"#, "");
    let server = read(&body).unwrap();
    assert_eq!(server.domain.as_str(), "unknown");
    assert!(!server.draining);
}

/// What is replaced, by what, and a part of the error.
const FAULTS: &[(&str, &str, &str)] = &[
    (r#""server":"muscat-1","#, "", "missing field `server`"),
    (r#""group":"muscat","#, "", "missing field `group`"),
    (r#""incarnation":7,"#, "", "missing field `incarnation`"),
    (r#""term":3,"#, "", "missing field `term`"),
    (r#""role":"primary","#, "", "missing field `role`"),
    (r#""slots":3,"#, "", "missing field `slots`"),
    (r#""slots":3"#, r#""slots":3,"open":true"#, "unknown field `open`"),
    (r#""slots":3"#, r#""slots":3,"slots":3"#, "duplicate field `slots`"),
    (r#""muscat-1""#, r#""Muscat 1""#, "is not a name"),
    (r#""muscat-1""#, r#""""#, "is not a name"),
    (r#""group":"muscat""#, r#""group":"a/b""#, "is not a name"),
    (r#""d1""#, r#""d 1""#, "is not a name"),
    (r#""primary""#, r#""Primary""#, "unknown variant"),
    (r#""primary""#, r#""leader""#, "unknown variant"),
    ("127.0.0.1:5500", "host:5500", "invalid socket address"),
    ("127.0.0.1:5500", "127.0.0.1", "invalid socket address"),
    (r#""term":3"#, r#""term":-3"#, "invalid value"),
    (r#""incarnation":7"#, r#""incarnation":7.5"#, "invalid type"),
    (r#""slots":3"#, r#""slots":0"#, "0 slots of 20 connections, expected 1 <= slots"),
    (r#""slots":3"#, r#""slots":21"#, "21 slots of 20 connections, expected 1 <= slots"),
    (r#""connections":20"#, r#""connections":100001"#, "connections <= 100000"),
    (r#""connections":20"#, r#""connections":4294967296"#, "invalid value"),
    (r#"true}"#, r#"true}x"#, "trailing characters"),
    (r#"true}"#, "true", "EOF"),
];

/// Guards against a faulty announcement that reaches the directory.
#[test]
fn faults_are_refused() {
    for (from, to, expected) in FAULTS {
        assert!(VALID.contains(from), "{from} is not in the valid body");
        let error = read(&VALID.replacen(from, to, 1)).expect_err(to);
        assert!(error.contains(expected), "{to}: {error}, expected {expected}");
    }
    let most = VALID.replace(r#""slots":3,"connections":20"#, r#""slots":9,"connections":100000"#);
    assert!(read(&most).is_ok(), "the greatest value is allowed");
    assert!(read(&VALID.replace(r#""slots":3"#, r#""slots":20"#)).is_ok(), "a slot a connection");
}

fn json() -> impl Strategy<Value = serde_json::Value> {
    let keys = prop::sample::select(vec![
        "server",
        "group",
        "incarnation",
        "term",
        "role",
        "address",
        "slots",
        "connections",
        "domain",
        "draining",
        "other",
    ]);
    let leaf = prop_oneof![
        Just(serde_json::Value::Null),
        any::<bool>().prop_map(Into::into),
        any::<i64>().prop_map(Into::into),
        any::<u32>().prop_map(Into::into),
        any::<f64>().prop_map(Into::into),
        any::<String>().prop_map(Into::into),
        prop::sample::select(vec!["primary", "127.0.0.1:1", "a"]).prop_map(Into::into),
    ];
    let value = leaf.prop_recursive(3, 16, 4, |inner| {
        prop::collection::vec(inner, 0..4).prop_map(serde_json::Value::Array)
    });
    prop::collection::btree_map(keys, value, 0..11).prop_map(|fields| {
        let fields = fields.into_iter().map(|(key, value)| (key.to_string(), value));
        serde_json::Value::Object(fields.collect())
    })
}

/// Guards against a panic on any JSON, and against a server outside the limits.
#[test]
fn random_json_is_read_or_refused() {
    let config = ProptestConfig {
        cases: 1000,
        rng_seed: RngSeed::Fixed(0xa220),
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let overlay = json();
    TestRunner::new(config)
        .run(&(overlay, any::<String>()), |(fields, text)| {
            let mut near: serde_json::Value = serde_json::from_str(VALID).unwrap();
            // One field of a valid body is replaced, so that the checks behind the JSON are reached.
            if let (Some((key, value)), Some(near)) =
                (fields.as_object().and_then(|all| all.iter().next()), near.as_object_mut())
            {
                near.insert(key.clone(), value.clone());
            }
            for body in [text, fields.to_string(), near.to_string()] {
                if let Ok(server) = read(&body) {
                    prop_assert!(server.slots >= 1 && server.slots <= server.connections);
                    prop_assert!(server.connections <= 100_000);
                }
            }
            Ok(())
        })
        .unwrap();
}
