//! Callers, the operator and the heartbeats of servers, and the checks that they make.

use std::{
    net::SocketAddr,
    sync::atomic::Ordering,
    thread,
    time::{Duration, Instant},
};

use auburnlug_bench::{
    line_client::{Caller, call_http},
    line_group::LineGroup,
};
use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};

use crate::record::Record;

/// Time within which a configuration is in force at an instance that is in touch.
const APPLY_TIME: Duration = Duration::from_millis(3_000);

/// Time after which a regression of the configuration counts.
const REGRESSION_TIME: Duration = Duration::from_millis(250);

/// Errors that promise that nothing of the statement is kept.
const PROMISES: [&str; 6] = ["BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "CONNLIMIT"];

/// Start time of the processes that foreign heartbeats name, later than those of the servers.
const FOREIGN_START_TIME: u64 = 1_000_000;

/// Share of the sessions that a caller uses until their connection is gone.
const LONG_SESSION_RATIO: f64 = 0.5;

/// Writes unique keys and reads them again, in sessions of some statements or for as long as the
/// connection lasts.
pub fn run_caller(record: &Record, entry: SocketAddr, seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut newest: Option<String> = None;
    while record.runs() {
        let database = *["newest", "own"].choose(&mut rng).unwrap();
        let Some(mut caller) = Caller::open(entry, database, "k1") else {
            thread::sleep(Duration::from_millis(50));
            continue;
        };
        let mut session_key: Option<String> = None;
        let long = rng.random_bool(LONG_SESSION_RATIO);
        let statements = if long { usize::MAX } else { rng.random_range(1..30) };
        for _ in 0..statements {
            if !record.runs() {
                return;
            }
            thread::sleep(Duration::from_millis(rng.random_range(5..60)));
            let expected = if database == "own" { &session_key } else { &newest };
            let sent = Instant::now();
            let id = format!("q{}", record.next_key.fetch_add(1, Ordering::AcqRel));
            let answer = match expected.clone().filter(|_| rng.random_bool(0.5)) {
                Some(key) => {
                    let answer = caller.ask(&format!("{id} READ {key}"));
                    if answer.starts_with("ROW") && !answer.starts_with(&format!("ROW {key}\n")) {
                        record.report(format!("STALE {database} read of {key}: {answer}"));
                    }
                    answer
                }
                None => {
                    let key = format!("w{}", record.next_key.fetch_add(1, Ordering::AcqRel));
                    let transaction = rng.random_bool(0.3);
                    if transaction && !caller.ask("b BEGIN").contains("DONE") {
                        break;
                    }
                    let mut answer = caller.ask(&format!("{id} WRITE {key} {key}"));
                    if transaction && answer.contains("DONE") {
                        answer = caller.ask(&format!("{id}-c COMMIT"));
                    } else if transaction {
                        break;
                    }
                    let mut seen = record.seen();
                    if answer.contains("DONE s.") {
                        record.served.fetch_add(1, Ordering::AcqRel);
                        seen.acknowledged.push(key.clone());
                        newest = Some(key.clone());
                        session_key = Some(key);
                    } else if PROMISES.iter().any(|p| answer.starts_with(&format!("ERR {p}"))) {
                        seen.promised.push(key);
                    }
                    answer
                }
            };
            if !answer.contains("READY I") {
                if answer.is_empty() && record.seen().planned {
                    record.record_unanswered(entry, id, sent);
                }
                break;
            }
        }
    }
}

fn config(template: &Value, version: u64) -> Value {
    let mut config = template.clone();
    config["version"] = json!(version);
    let mut route = config["routes"][0].clone();
    route["name"] = json!(format!("v{version}"));
    route["host"] = json!(format!("v{version}"));
    config["routes"].as_array_mut().unwrap().push(route);
    config["tenants"][0]["api-keys"] = json!(["k1", format!("key-{version}")]);
    config
}

/// Publishes configurations; each has a route and a key that no other one has.
pub fn run_operator(record: &Record, template: &Value, members: &[SocketAddr], seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut version = 1;
    while record.runs() {
        version += rng.random_range(1..4);
        let body = config(template, version).to_string();
        while record.runs() {
            let member = members.choose(&mut rng).unwrap();
            if call_http(*member, "PUT", "/-/config", &body).0 == 200 {
                record.seen().versions.insert(version, Instant::now());
                record.version.store(version, Ordering::Release);
                break;
            }
            thread::sleep(Duration::from_millis(20));
        }
        thread::sleep(Duration::from_millis(rng.random_range(100..1_500)));
    }
}

/// Checks which configurations an entry applies.
pub fn check_entry(record: &Record, entry: SocketAddr) {
    let mut reached: Option<(u64, Instant)> = None;
    while record.runs() {
        thread::sleep(Duration::from_millis(30));
        let (newest, others) = {
            let seen = record.seen();
            let versions: Vec<_> = seen.versions.iter().map(|(v, at)| (*v, *at)).collect();
            let Some(((newest, at), others)) = versions.split_last() else { continue };
            ((*newest, *at), others.to_vec())
        };
        let due = record.is_calm() && newest.1.elapsed() > APPLY_TIME;
        let answer = open_answer(entry, &format!("v{}", newest.0), "k1");
        if answer.starts_with("READY") && reached.is_none_or(|(version, _)| version < newest.0) {
            reached = Some((newest.0, Instant::now()));
        }
        let still_newest = record.version.load(Ordering::Acquire) == newest.0;
        if due && still_newest && answer.starts_with("ERR NO") {
            record.report(format!("CONFIG {entry} lacks version {}: {answer}", newest.0));
        }
        let Some((older, _)) = others.last() else { continue };
        let asked = Instant::now();
        let route = open_answer(entry, &format!("v{older}"), "k1").starts_with("READY");
        let key = open_answer(entry, "newest", &format!("key-{older}")).starts_with("READY");
        let regressed = reached.is_some_and(|(version, at)| {
            version == newest.0 && asked.duration_since(at) > REGRESSION_TIME
        });
        if (route || key) && (due || regressed) {
            record.report(format!(
                "CONFIG {entry} applies version {older} after {} (due {due}): route {route} key {key}",
                newest.0
            ));
        }
    }
}

/// Answer to the opening of a session; empty without one.
fn open_answer(entry: SocketAddr, database: &str, key: &str) -> String {
    let Some(mut caller) = Caller::connect(entry) else { return String::new() };
    caller.send(&format!("START {database} {key}"));
    caller.answer()
}

/// Checks that no member answers a read with an old configuration.
pub fn check_member(record: &Record, member: SocketAddr) {
    while record.runs() {
        thread::sleep(Duration::from_millis(100));
        let newest = record.seen().versions.last_key_value().map(|(v, at)| (*v, *at));
        let Some((version, at)) = newest else { continue };
        let due = at.elapsed() > APPLY_TIME;
        let (status, body) = call_http(member, "GET", "/-/config", "");
        let read = serde_json::from_str::<Value>(&body).ok();
        let read = read.and_then(|config| config["version"].as_u64());
        if status == 200 && due && read.is_none_or(|read| read < version) {
            record.report(format!("CONFIG {member} read {read:?} after {version}"));
        }
    }
}

/// Sends the heartbeats of a server while it runs.
pub fn run_heartbeats(
    record: &Record,
    group: &LineGroup,
    server: u8,
    address: SocketAddr,
    members: &[SocketAddr],
) {
    let id = format!("s{server}");
    let (mut sequence, mut born) = (10, 1);
    let mut was_running = true;
    while record.runs() {
        thread::sleep(Duration::from_millis(150));
        let running = group.is_running(&id);
        born += u64::from(running && !was_running);
        was_running = running;
        if !running {
            continue;
        }
        sequence += 1;
        let state = if record.seen().draining.contains(&server) { "draining" } else { "ready" };
        let role = if group.primary() == id { "primary" } else { "replica" };
        let body = json!({"service": "g1", "address": address, "zone": "d1", "version": "v1", "slots": 3, "cold-remaining-ms": 0, "state": state, "db-role": role, "seq": sequence, "born": born}).to_string();
        let path = format!("/-/instances/{id}");
        members.iter().any(|member| call_http(*member, "PUT", &path, &body).0 == 200);
    }
}

/// Sends heartbeats that no server has sent, in the place of the servers.
pub fn run_foreign_writer(
    record: &Record,
    servers: &[(u8, SocketAddr)],
    members: &[SocketAddr],
    seed: u64,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    while record.runs() {
        thread::sleep(Duration::from_millis(rng.random_range(300..2_500)));
        let (server, address) = *servers.choose(&mut rng).unwrap();
        let (other, _) = *servers.choose(&mut rng).unwrap();
        let (service, id) = match rng.random_range(0..5) {
            0 => ("unknown", "x9".into()),
            1 => ("unknown", format!("s{server}")),
            2 => ("g1", "x8".into()),
            // A restart in its place is believed until the server itself is heard again.
            3 => ("g1", format!("s{server}")),
            _ => ("g1", format!("s{other}")),
        };
        let role = *["primary", "replica"].choose(&mut rng).unwrap();
        let born = FOREIGN_START_TIME + rng.random_range(0..1_000);
        let body = json!({"service": service, "address": address, "zone": "d1", "version": "v1", "slots": 3, "cold-remaining-ms": 0, "state": "ready", "db-role": role, "seq": 1, "born": born}).to_string();
        let path = format!("/-/instances/{id}");
        for member in members {
            call_http(*member, "PUT", &path, &body);
        }
    }
}
