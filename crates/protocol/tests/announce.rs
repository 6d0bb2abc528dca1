//! Announcements of database servers.
#![allow(clippy::unwrap_used)]

use auburnlug_protocol::announce::Announcement;
use auburnlug_state::{Role, Server};
use proptest::{
    prelude::*,
    test_runner::{RngSeed, TestRunner},
};

const VALID: &str = r#"{"server":"muscat-1","group":"muscat","incarnation":7,"term":3,"role":"primary","address":"127.0.0.1:5500","slots":3,"connections":20,"domain":"d1","draining":true}"#;

/// Decodes and validates a body as the HTTP listener does.
fn decode(body: &str) -> Result<Server, String> {
    let raw: Announcement = serde_json::from_str(body).map_err(|e| e.to_string())?;
    Server::try_from(raw).map_err(|e| e.to_string())
}

/// Guards against fields that are swapped or lost.
#[test]
fn valid_announcement_is_decoded() {
    let server = decode(VALID).unwrap();
    assert_eq!((server.name.as_str(), server.group.as_str()), ("muscat-1", "muscat"));
    assert_eq!((server.incarnation, server.term), (7, 3));
    assert_eq!(server.role, Role::Primary);
    assert_eq!(server.address, "127.0.0.1:5500".parse().unwrap());
    assert_eq!((server.slots, server.connections), (3, 20));
    assert_eq!(server.domain.as_str(), "d1");
    assert!(server.draining);
    let announcement: Announcement = serde_json::from_str(VALID).unwrap();
    let encoded = serde_json::to_string(&announcement).unwrap();
    assert_eq!(decode(&encoded).unwrap(), server);
}

/// Servers that do not know their failure domain, or that are not draining, may omit these fields.
#[test]
fn domain_and_draining_are_optional() {
    let body = VALID.replace(r#","domain":"d1","draining":true"#, "");
    let server = decode(&body).unwrap();
    assert_eq!(server.domain.as_str(), "unknown");
    assert!(!server.draining);
}

/// Text to replace, replacement and expected part of the error.
const INVALID_FIELDS: &[(&str, &str, &str)] = &[
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

/// Guards against an invalid announcement that is added to the directory.
#[test]
fn invalid_announcements_are_refused() {
    for (from, to, expected) in INVALID_FIELDS {
        assert!(VALID.contains(from), "{from} is not in the valid body");
        let error = decode(&VALID.replacen(from, to, 1)).expect_err(to);
        assert!(error.contains(expected), "{to}: {error}, expected {expected}");
    }
    let maximum =
        VALID.replace(r#""slots":3,"connections":20"#, r#""slots":9,"connections":100000"#);
    assert!(decode(&maximum).is_ok(), "the maximum is allowed");
    assert!(
        decode(&VALID.replace(r#""slots":3"#, r#""slots":20"#)).is_ok(),
        "as many slots as connections"
    );
}

fn random_object() -> impl Strategy<Value = serde_json::Value> {
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

/// Guards against a panic on arbitrary JSON, and against an accepted server outside the limits.
#[test]
fn random_json_never_panics() {
    let config = ProptestConfig {
        cases: 1000,
        rng_seed: RngSeed::Fixed(0xa220),
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let objects = random_object();
    TestRunner::new(config)
        .run(&(objects, any::<String>()), |(fields, text)| {
            let mut almost_valid: serde_json::Value = serde_json::from_str(VALID).unwrap();
            // Replaces one field of a valid body, so that the checks after JSON decoding are
            // reached.
            if let (Some((key, value)), Some(body)) =
                (fields.as_object().and_then(|all| all.iter().next()), almost_valid.as_object_mut())
            {
                body.insert(key.clone(), value.clone());
            }
            for body in [text, fields.to_string(), almost_valid.to_string()] {
                if let Ok(server) = decode(&body) {
                    prop_assert!(server.slots >= 1 && server.slots <= server.connections);
                    prop_assert!(server.connections <= 100_000);
                }
            }
            Ok(())
        })
        .unwrap();
}
