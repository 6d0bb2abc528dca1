//! The operator interface: JSON of requests and answers, and the HTTP status of each answer.

use auburnlug_protocol::operator::{
    ActiveConfig, Answer, MAX_OPERATOR_BODY_BYTES, Request, Status,
};
use auburnlug_state::{Applied, Change, Command, Config, Edit, Machine, Name};
use proptest::{
    prelude::*,
    test_runner::{RngSeed, TestRunner},
};

const KEY: &str = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa";

fn request_body(edit: &str) -> String {
    format!(r#"{{"id":"c1","operator":"ana","base":7,"edit":{edit}}}"#)
}

/// A changed field name would break the tools of operators.
#[test]
fn json_format_of_requests_is_stable() {
    let edits = [
        r#"{"kind":"publish","template":"[template]\n"}"#.to_owned(),
        r#"{"kind":"account","account":"desk","rate":2.5,"burst":3.0,"age":4}"#.to_owned(),
        r#"{"kind":"withdraw","account":"desk"}"#.to_owned(),
        format!(r#"{{"kind":"grant_key","account":"desk","key":"{KEY}"}}"#),
        format!(r#"{{"kind":"withdraw_key","account":"desk","key":"{KEY}"}}"#),
    ];
    for body in edits.map(|e| request_body(&e)) {
        let request = Request::decode(body.as_bytes()).unwrap();
        assert_eq!(String::from_utf8(request.encode().unwrap()).unwrap(), body);
        let change = Change::from(request);
        assert_eq!((change.id.as_str(), change.operator.as_str(), change.base), ("c1", "ana", 7));
    }
    let upper = KEY.to_uppercase();
    let body = request_body(&format!(r#"{{"kind":"grant_key","account":"desk","key":"{upper}"}}"#));
    let change = Change::from(Request::decode(body.as_bytes()).unwrap());
    assert!(matches!(change.edit, Edit::Grant { key, .. } if key == KEY));
}

/// A request with unknown or missing fields must be refused: applied in part, it could change
/// something that the operator did not intend.
#[test]
fn invalid_requests_are_refused() {
    let withdraw = r#"{"kind":"withdraw","account":"desk"}"#;
    let bodies = [
        format!(r#"{{"id":"c1","operator":"ana","edit":{withdraw}}}"#),
        format!(r#"{{"id":"c 1","operator":"ana","base":7,"edit":{withdraw}}}"#),
        format!(r#"{{"id":"c1","operator":"","base":7,"edit":{withdraw}}}"#),
        format!(r#"{{"id":"c1","operator":"ana","base":-7,"edit":{withdraw}}}"#),
        format!(r#"{{"id":"c1","operator":"ana","base":7,"force":true,"edit":{withdraw}}}"#),
        request_body(r#"{"kind":"drop","account":"desk"}"#),
        request_body(r#"{"kind":"withdraw","account":"desk","key":"x"}"#),
        request_body(r#"{"kind":"account","account":"desk","rate":0,"burst":1,"age":1}"#),
        request_body(r#"{"kind":"account","account":"desk","rate":1,"burst":0.5,"age":1}"#),
        request_body(r#"{"kind":"account","account":"desk","rate":1,"burst":1,"age":3600001}"#),
        request_body(r#"{"kind":"account","account":"desk","rate":1,"burst":1}"#),
        request_body(&format!(r#"{{"kind":"grant_key","account":"desk","key":"{}"}}"#, &KEY[1..])),
        request_body(&format!(
            r#"{{"kind":"withdraw_key","account":"desk","key":"g{}"}}"#,
            &KEY[1..]
        )),
        format!("{}{}", request_body(withdraw), " ".repeat(MAX_OPERATOR_BODY_BYTES)),
    ];
    for body in bodies {
        let Err(error) = Request::decode(body.as_bytes()) else {
            panic!("accepted: {}", &body[..100]);
        };
        assert_eq!(Answer::from(&error).status(), 422);
    }
}

/// An answer with an unknown outcome must never look like success or like a refusal.
#[test]
fn each_answer_has_its_status_and_json() {
    let (operator, id) = (Name::try_from("ana").unwrap(), Name::try_from("c1").unwrap());
    let leader = Some("127.0.0.1:80".parse().unwrap());
    let conflict = Some(Applied::Conflict { version: 9, operator, id });
    let conflict_body = r#"{"result":"conflict","version":9,"operator":"ana","id":"c1"}"#;
    let invalid = Some(Applied::Invalid("x".into()));
    let cases = [
        (Answer::from(Some(Applied::Changed(9))), 200, r#"{"result":"changed","version":9}"#),
        (Answer::from(conflict), 409, conflict_body),
        (Answer::from(invalid), 422, r#"{"result":"invalid","reason":"x"}"#),
        (Answer::Redirect { leader }, 421, r#"{"result":"redirect","leader":"127.0.0.1:80"}"#),
        (Answer::from(None), 503, r#"{"result":"unknown"}"#),
        (Answer::from(Some(Applied::Stale)), 503, r#"{"result":"unknown"}"#),
        (Answer::from(Some(Applied::Done)), 503, r#"{"result":"unknown"}"#),
        (Answer::Denied, 401, r#"{"result":"denied"}"#),
    ];
    for (answer, status, body) in cases {
        assert_eq!(answer.status(), status);
        assert_eq!(answer.encode().unwrap(), body.as_bytes());
        assert_eq!(Answer::decode(status, body.as_bytes()).unwrap(), answer);
        assert!(Answer::decode(201, body.as_bytes()).is_err(), "another status");
    }
}

/// Key hashes must not be shown; differences use the names of the template.
#[test]
fn configuration_and_status_are_shown_without_keys() {
    let text = format!(
        "[template]\nformat=1\nname=t\n[group g]\nsize=3\ndatabase=d\n\
         [account desk]\nrate=1\nburst=2\nage=3\nkey={KEY}\n\
         [account public]\nrate=1\nburst=2\nage=3\n"
    );
    let (id, operator) = (Name::try_from("c1").unwrap(), Name::try_from("ana").unwrap());
    let (name, edit) = (operator.clone(), Edit::Publish(text.clone()));
    let mut machine = Machine::default();
    machine.apply(1, &Command::Configure(Change { id, operator, base: 0, edit }));
    let in_force = ActiveConfig::new(&machine, 5);
    let status = Status::new(&name, None, &machine, 5);
    let json = serde_json::to_string(&(&in_force, &status)).unwrap();
    assert!(!json.contains(KEY) && json.contains(r#""age":5"#), "{json}");
    let decoded: (ActiveConfig, Status) = serde_json::from_str(&json).unwrap();
    assert_eq!(decoded, (in_force.clone(), status));
    assert!(in_force.diff(&Config::try_from(text.as_str()).unwrap()).is_empty());
    let next = text.replace("burst=2\nage=3\nkey", "burst=4\nage=3\nkey");
    let next = Config::try_from(next.replace("[group g]", "[group h]").as_str()).unwrap();
    let lines = in_force.diff(&next).into_iter();
    let lines = lines.map(|d| format!("{} {} {:?} {:?}", d.section, d.key, d.from, d.to));
    let expected = [
        r#"account desk burst Some("2") Some("4")"#,
        r#"group g database Some("d") None"#,
        r#"group g size Some("3") None"#,
        r#"group h database None Some("d")"#,
        r#"group h size None Some("3")"#,
    ];
    assert_eq!(lines.collect::<Vec<_>>(), expected);
}

/// The decoders read bodies from the network and must not panic on any input.
#[test]
fn decoders_never_panic() {
    let defaults = ProptestConfig::default();
    let rng_seed = RngSeed::Fixed(0x0be7);
    let config = ProptestConfig { cases: 1000, rng_seed, failure_persistence: None, ..defaults };
    let body = request_body(r#"{"kind":"account","account":"desk","rate":1,"burst":1,"age":1}"#);
    let bytes = proptest::collection::vec(any::<u8>(), 0..100);
    let inputs = (bytes, 0..body.len(), any::<u8>(), any::<u16>());
    TestRunner::new(config)
        .run(&inputs, |(bytes, at, byte, status)| {
            let mut altered = body.clone().into_bytes();
            altered[at] = byte;
            for body in [bytes, altered] {
                let _ = (Request::decode(&body), Answer::decode(status, &body));
            }
            Ok(())
        })
        .unwrap();
}
