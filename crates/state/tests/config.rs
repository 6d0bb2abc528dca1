//! Templates are accepted or refused as a whole; errors name section, key and allowed values.

use auburnlug_state::{Category, Class, Config, Kind, Name};
use proptest::{
    prelude::*,
    test_runner::{RngSeed, TestRunner},
};

const TEMPLATE: &str = "\
[template]
format = 1
name = sahil
rate = 50
age = 200

[group muscat]
size = 3
database = provisioning

[route status]
statement = select status from orders where note = '\\'
kind = read
idempotent = yes
open = no
class = interactive

[account desk]
burst = 20
key = AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA

[account public]
rate = 1
burst = 1
age = 0
";

#[test]
fn valid_template_is_decoded() {
    let config = Config::try_from(TEMPLATE).unwrap();
    let desk = &config.accounts["desk"];
    assert_eq!((desk.rate, desk.burst, desk.age), (50.0, 20.0, 200));
    let name = Name::try_from("desk").unwrap();
    assert_eq!(config.account_of_key(&"a".repeat(64)), Some(&name));
    assert_eq!(config.account_of_key(&"b".repeat(64)), None);
    assert!(config.accounts["public"].keys.is_empty());
    let route = &config.routes["status"];
    assert_eq!((route.kind, route.idempotent, route.open), (Kind::Read, true, false));
    assert_eq!(route.class, Class::Interactive);
    assert_eq!(route.statement, "select status from orders where note = '\\'");
    assert_eq!(config.groups["muscat"].size, 3);
}

/// One case for each check of the decoder: text to replace, replacement, expected part of the
/// error.
const INVALID_TEMPLATES: &[(&str, &str, &str)] = &[
    ("format = 1", "format = 2", "[template], key format: allowed is 1 to 1"),
    ("format = 1\n", "", "[template], key format"),
    ("name = sahil\n", "", "[template], key name"),
    ("name = sahil", "name = Sahil", "[template], key name"),
    ("[template]", "[templates]", "[template]"),
    ("[template]", "x = 1\n[template]", "key x"),
    ("rate = 50", "rate = 0", "[template], key rate: allowed is 0.1 to 1000000 requests/s"),
    ("rate = 50\n", "", "[account desk], key rate"),
    ("rate = 50", "rate = NaN", "[template], key rate"),
    ("age = 200", "age = 3600001", "[template], key age: allowed is 0 to 3600000 ms"),
    ("age = 200", "age = -1", "[template], key age"),
    ("burst = 20", "burst = 0.5", "[account desk], key burst: allowed is 1 to 1000000 requests"),
    ("burst = 20", "burst = inf", "[account desk], key burst"),
    ("burst = 20", "burst = 20\nburst = 30", "[account desk], key burst"),
    ("key = A", "key = ", "[account desk], key key: allowed is SHA-256"),
    ("key = A", "#", "[account desk], key key"),
    ("key = A", "limit = 3\nkey = A", "[account desk], key limit"),
    ("size = 3", "size = 0", "[group muscat], key size: allowed is 1 to 9 servers"),
    ("size = 3", "size = 10", "[group muscat], key size"),
    ("[group muscat]", "[group]", "[group]"),
    ("[group muscat]", "[groups muscat]", "[groups muscat]"),
    ("[group muscat]", "[group Muscat]", "[group Muscat]"),
    ("[group muscat]", "[group a]\nsize = 1\ndatabase = provisioning\n[group b]", "database"),
    (
        "[route status]",
        "[group  muscat]\nsize = 3\ndatabase = b\n[route status]",
        "[group  muscat]",
    ),
    ("statement = select", "statement = Select", "[route status], key statement"),
    ("statement = select", "statement = select ", "[route status], key statement"),
    ("kind = read", "kind = reads", "[route status], key kind: allowed is read or write"),
    ("open = no", "open = false", "[route status], key open: allowed is yes or no"),
    ("class = interactive\n", "", "[route status], key class"),
    ("[account public]", "[account public]\nkey = 00", "[account public], key key"),
    ("age = 0\n", "age = 0\ntrailing", "line "),
];

#[test]
fn error_of_invalid_template_names_section_and_key() {
    for (from, to, expected) in INVALID_TEMPLATES {
        let text = TEMPLATE.replacen(from, to, 1);
        assert_ne!(text, TEMPLATE, "case {to:?} changes nothing");
        let error = Config::try_from(text.as_str()).unwrap_err();
        assert!(error.to_string().contains(expected), "{to:?}: {error}");
        assert!(matches!(error.category(), Category::Template | Category::Syntax), "{to:?}");
    }
}

/// If two accounts had the same key, the account of a caller would be ambiguous.
#[test]
fn shared_key_and_shared_statement_are_refused() {
    let key = "a".repeat(64);
    let text = format!("{TEMPLATE}[account extra]\nrate=1\nburst=1\nage=1\nkey={key}\n");
    assert!(Config::try_from(text.as_str()).unwrap_err().to_string().contains("key key"));
    let route = TEMPLATE.split("\n\n").find(|s| s.starts_with("[route")).unwrap();
    let text = format!("{TEMPLATE}{}\n", route.replace("status]", "other]"));
    assert!(Config::try_from(text.as_str()).unwrap_err().to_string().contains("key statement"));
}

/// A key entered by mistake instead of its SHA-256 must not get into a log through the error.
#[test]
fn error_does_not_contain_the_key() {
    let text = TEMPLATE.replace(&"A".repeat(64), "hunter2");
    assert!(!Config::try_from(text.as_str()).unwrap_err().to_string().contains("hunter2"));
}

fn runner(cases: u32) -> TestRunner {
    let rng_seed = RngSeed::Fixed(0x7e3a);
    TestRunner::new(ProptestConfig {
        cases,
        rng_seed,
        failure_persistence: None,
        ..ProptestConfig::default()
    })
}

/// Guards against a panic on arbitrary text, and against accepted templates with values outside
/// their ranges.
#[test]
fn decoder_never_panics() {
    let lines = prop_oneof![
        "\\PC{0,40}",
        "[\\[\\]=:;# \t\r\\\\'\"a-z0-9]{0,30}",
        proptest::sample::select(TEMPLATE.lines().map(String::from).collect::<Vec<_>>()),
        "(rate|burst|age|size|format) = [-0-9.einfNa]{1,8}",
    ];
    let texts = proptest::collection::vec(lines, 0..40);
    runner(600)
        .run(&texts, |lines| {
            if let Ok(config) = Config::try_from(lines.join("\n").as_str()) {
                for account in config.accounts.values() {
                    prop_assert!((0.1..=1e6).contains(&account.rate));
                    prop_assert!((1.0..=1e6).contains(&account.burst));
                }
            }
            Ok(())
        })
        .unwrap();
    let replacements = (0..TEMPLATE.len(), any::<char>());
    runner(600)
        .run(&replacements, |(at, c)| {
            let mut text: Vec<char> = TEMPLATE.chars().collect();
            text[at] = c;
            let _ = Config::try_from(text.iter().collect::<String>().as_str());
            Ok(())
        })
        .unwrap();
}
