//! Settings files: valid and invalid files, and random text.
#![allow(clippy::unwrap_used)]

use auburnlug_protocol::{
    Category, Error, Settings,
    settings::{Listener, Policy, SettingsFile},
};
use proptest::{
    prelude::*,
    test_runner::{RngSeed, TestRunner},
};

const EXAMPLE: &str = include_str!("../../../settings/example.ini");

const VALID: &str = "\
[instance]
format = 1
name = c1
region = r
domain = d
roles = control
data = /data
peer = 127.0.0.1:7100
http = 127.0.0.1:7200
[control]
members = c1@127.0.0.1:7100, c2@127.0.0.2:7100, c3@127.0.0.3:7100
[secrets]
cluster = /s/cluster
operator = /s/operator
announce = /s/announce
database_user = auburnlug
database_password = /s/database
";

fn parse(text: &str) -> Result<Settings, Error> {
    Settings::try_from(SettingsFile { file: "s.ini", text })
}

/// Guards against an example file that an instance does not accept.
#[test]
fn example_is_valid() {
    let settings = parse(EXAMPLE).unwrap();
    assert_eq!(settings.name.as_str(), "i1");
    assert_eq!(settings.members.len(), 3);
    assert!(settings.callers.is_some() && settings.data.is_some(), "both roles");
    let without_optional: String = EXAMPLE
        .lines()
        .filter(|line| {
            !["trust_refused", "threads", "wait", "format = text", "level"]
                .iter()
                .any(|key| line.starts_with(key))
        })
        .map(|line| format!("{line}\n"))
        .collect();
    assert!(without_optional.len() < EXAMPLE.len());
    assert_eq!(parse(&without_optional).unwrap(), settings, "the example shows the default values");
}

/// Guards against defaults that change unnoticed, and against fields that are swapped.
#[test]
fn valid_file_is_parsed() {
    let settings = parse(VALID).unwrap();
    assert_eq!(settings.callers, None);
    assert_eq!(settings.data, Some("/data".into()));
    let peer = "127.0.0.1:7100".parse().unwrap();
    assert_eq!(settings.peer, Listener { bind: peer, advertised: peer });
    assert_eq!(settings.source, None);
    let members = settings.members.iter().map(|(name, at)| format!("{name}@{at}"));
    let expected = ["c1@127.0.0.1:7100", "c2@127.0.0.2:7100", "c3@127.0.0.3:7100"];
    assert_eq!(members.collect::<Vec<_>>(), expected);
    assert!(settings.trust_refused);
    let secrets = &settings.secrets;
    let files = [&secrets.cluster, &secrets.operator, &secrets.announce, &secrets.password];
    let files = files.map(|file| file.to_str().unwrap());
    assert_eq!(files, ["/s/cluster", "/s/operator", "/s/announce", "/s/database"]);
    assert_eq!(secrets.user, "auburnlug");
    let traffic = &settings.traffic;
    assert_eq!((traffic.threads, traffic.max_wait), (2, 5_000));
    assert_eq!(traffic.policy, Policy::Default);
    assert_eq!((settings.log.json, settings.log.level.as_str()), (false, "info"));
}

/// Guards against an entry that needs a data directory, and against an advertised address that is
/// not used.
#[test]
fn entry_can_advertise_another_address() {
    let text = VALID
        .replace("name = c1", "name = e1")
        .replace("roles = control\ndata = /data", "roles = entry\ncallers = 0.0.0.0:6400")
        .replace("peer = 127.0.0.1:7100", "peer = 0.0.0.0:7100\nadvertised_peer = 10.0.0.9:7101")
        .replace("http = 127.0.0.1:7200", "http = [::]:7200\nadvertised_http = 10.0.0.9:7201");
    let settings = parse(&text).unwrap();
    assert_eq!(settings.data, None);
    assert_eq!(settings.callers, Some("0.0.0.0:6400".parse().unwrap()));
    assert_eq!(settings.peer.bind, "0.0.0.0:7100".parse().unwrap());
    assert_eq!(settings.peer.advertised, "10.0.0.9:7101".parse().unwrap());
    assert_eq!(settings.http.advertised, "10.0.0.9:7201".parse().unwrap());
}

/// Text to replace, replacement and beginning of the error.
const INVALID_SETTINGS: &[(&str, &str, &str)] = &[
    ("format = 1", "format = 2", "s.ini [instance] format: is \"2\", expected \"1\""),
    ("format = 1\n", "", "s.ini [instance] format: is missing"),
    ("name = c1", "name = C 1", "s.ini [instance] name: \"C 1\" is not a name"),
    ("region = r", "region =", "s.ini [instance] region: is missing"),
    ("domain = d", "domain = d/1", "s.ini [instance] domain: \"d/1\" is not a name"),
    ("roles = control", "roles = control, boss", "s.ini [instance] roles: has \"boss\", allowed"),
    ("roles = control", "roles =", "s.ini [instance] roles: is missing"),
    ("data = /data\n", "", "s.ini [instance] data: is missing"),
    ("roles = control", "roles = control, entry", "s.ini [instance] callers: is missing"),
    ("peer = 127.0.0.1:7100", "peer = host:7100", "s.ini [instance] peer: is \"host:7100\", exp"),
    ("http = 127.0.0.1:7200", "http = 127.0.0.1", "s.ini [instance] http: is \"127.0.0.1\", exp"),
    ("http = 127.0.0.1:7200", "http = 127.0.0.1:70000", "s.ini [instance] http: is \"127.0.0.1:7"),
    ("peer = 127.0.0.1:7100", "peer = 0.0.0.0:7100", "s.ini [instance] peer: binds all addresses"),
    ("http = 127.0.0.1:7200", "http = [::]:7200", "s.ini [instance] http: binds all addresses"),
    (
        "data = /data",
        "data = /data\nadvertised_peer = 10.0.0.9",
        "s.ini [instance] advertised_peer: is \"10.0.0.9\", expected IP:PORT",
    ),
    ("data = /data", "data = /data\nsource = eth0", "s.ini [instance] source: is \"eth0\", expect"),
    ("data = /data", "data = /data\ncolour = red", "s.ini [instance]: unknown key \"colour\""),
    ("data = /data", "data = /data\ndata = /b", "s.ini [instance]: key \"data\" appears twice"),
    ("[control]", "[controls]", "s.ini [controls]: unknown section"),
    ("[secrets]", "[log]\n[log]\n[secrets]", "s.ini [log]: section appears twice"),
    ("[instance]", "name = c1\n[instance]", "s.ini: key \"name\" stands before any section"),
    ("[instance]", "[instance", "s.ini [instance\nformat = 1\n"),
    ("data = /data", "data /data", "s.ini [instance]: unknown key \"data /data\\npeer\""),
    (", c3@127.0.0.3:7100", "", "s.ini [control] members: must list 1, 3, 5 or 7 members"),
    (
        "c3@127.0.0.3:7100",
        "c3@127.0.0.3:7100, c4@127.0.0.4:1, c5@127.0.0.5:1, c6@127.0.0.6:1, c7@127.0.0.7:1, \
         c8@127.0.0.8:1, c9@127.0.0.9:1",
        "s.ini [control] members: must list 1, 3, 5 or 7 members",
    ),
    ("c3@127.0.0.3:7100", "c2@127.0.0.3:7100", "s.ini [control] members: lists \"c2@127.0.0.3:71"),
    ("c3@127.0.0.3:7100", "c3", "s.ini [control] members: has \"c3\", expected NAME@IP:PORT"),
    ("c1@127.0.0.1:7100", "c4@127.0.0.1:7100", "s.ini [control] members: must list this instance"),
    (
        "[control]\n",
        "[control]\ntrust_refused = maybe\n",
        "s.ini [control] trust_refused: is \"maybe\", allowed: yes, no",
    ),
    ("cluster = /s/cluster\n", "", "s.ini [secrets] cluster: is missing"),
    ("operator = /s/operator\n", "", "s.ini [secrets] operator: is missing"),
    ("announce = /s/announce\n", "", "s.ini [secrets] announce: is missing"),
    ("database_user = auburnlug\n", "", "s.ini [secrets] database_user: is missing"),
    ("database_password = /s/database\n", "", "s.ini [secrets] database_password: is missing"),
];

/// Section to add and beginning of the error.
const INVALID_SECTIONS: &[(&str, &str)] = &[
    ("[traffic]\nthreads = 0", "s.ini [traffic] threads: is 0, expected a number from 1 to 256"),
    ("[traffic]\nthreads = 257", "s.ini [traffic] threads: is 257, expected a number from 1 to "),
    ("[traffic]\nthreads = two", "s.ini [traffic] threads: is \"two\", expected a number from 1"),
    ("[traffic]\nwait = 9", "s.ini [traffic] wait: is 9, expected a number from 10 to 600000"),
    ("[traffic]\nwait = -1", "s.ini [traffic] wait: is \"-1\", expected a number fr"),
    ("[traffic]\nmax_answer = 1", "s.ini [traffic]: unknown key \"max_answer\""),
    ("[log]\nlevel = loud", "s.ini [log] level: allowed: error, warn, info, debug"),
    ("[log]\nformat = xml", "s.ini [log] format: allowed: text, json"),
];

/// Guards against invalid settings that are accepted, and against an error that does not name its
/// section and key.
#[test]
fn error_of_invalid_settings_names_section_and_key() {
    let replaced = INVALID_SETTINGS.iter().map(|(from, to, error)| {
        assert!(VALID.contains(from), "{from:?} is not in the valid file");
        (VALID.replacen(from, to, 1), *error)
    });
    let added =
        INVALID_SECTIONS.iter().map(|(section, error)| (format!("{VALID}{section}\n"), *error));
    for (text, expected) in replaced.chain(added) {
        let error = parse(&text).expect_err(expected);
        assert_eq!(error.category(), Category::Settings, "{error}");
        assert!(error.to_string().starts_with(expected), "{error}, expected {expected}");
    }
}

/// The parser must not panic on any text, similar to a valid file or random.
#[test]
fn parser_never_panics() {
    let config = ProptestConfig {
        cases: 1000,
        rng_seed: RngSeed::Fixed(0x5e77),
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let word = prop::sample::select(vec![
        "[", "]", "=", "\n", ";", "@", ",", "instance", "control", "name", "members", "0", "::",
        "\u{0}", "é",
    ]);
    let words = prop::collection::vec(word, 0..40).prop_map(|words| words.concat());
    let edit = (0..VALID.len(), 0..20usize, any::<String>());
    let strategy = (any::<String>(), words, edit);
    TestRunner::new(config)
        .run(&strategy, |(random, words, (at, removed, insert))| {
            let end = (at + removed).min(VALID.len());
            let almost_valid = format!("{}{insert}{}", &VALID[..at], &VALID[end..]);
            for text in [random, words, almost_valid] {
                if let Err(error) = parse(&text) {
                    prop_assert!(error.to_string().starts_with("s.ini"), "{error}");
                }
            }
            Ok(())
        })
        .unwrap();
}
