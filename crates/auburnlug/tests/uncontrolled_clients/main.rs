//! Crowds of clients that keep to no limit, against real processes whose settings allow them little
//! memory and few descriptors. After each crowd, while it is still connected, the process lives,
//! has kept within both, and answers an ordinary request.

// The setting for tests in clippy.toml does not reach helper functions in test files.
#![allow(clippy::unwrap_used)]

mod crowd;

use std::{
    net::SocketAddr,
    path::PathBuf,
    sync::{Mutex, MutexGuard, PoisonError},
    thread,
    time::Duration,
};

use auburnlug_bench::line_processes::{
    CALLER_PORT, ENTRY_HOST, LINK_PORT, LineProcesses, OPERATOR_PORT, Size,
};

use serde_json::json;

use crate::crowd::Crowd;

/// Memory of every process, and its bound in each test.
const MEMORY_MB: u64 = 64;

/// Descriptors of every process, and their bound in each test.
const DESCRIPTORS: usize = 128;

/// Connections that send much.
const SENDERS: usize = 120;

/// Connections that send little.
const IDLERS: usize = 200;

/// Longest message of the line protocol.
const MESSAGE_BYTES: usize = 1 << 20;

/// Time that a process has to take what has been sent.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);

/// Only one deployment runs at a time.
static RUNNING: Mutex<()> = Mutex::new(());

struct Fixture {
    deployment: LineProcesses,
    _running: MutexGuard<'static, ()>,
}

/// Program under test; `CLIENTS_PROGRAM` sets another build.
fn program() -> PathBuf {
    let other = std::env::var("CLIENTS_PROGRAM").ok();
    other.map_or_else(|| env!("CARGO_BIN_EXE_auburnlug").into(), PathBuf::from)
}

fn start(test: u8) -> Fixture {
    let running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
    let id = std::process::id();
    let folder = std::env::temp_dir().join(format!("auburnlug-clients-{id}-{test}"));
    let net = [100 + (id % 100) as u8, 60 + test];
    let limits = format!("[limits]\nmemory = {MEMORY_MB}\ndescriptors = {DESCRIPTORS}\n");
    let size = Size { members: 3, losses: 1, entries: 1 };
    let deployment = LineProcesses::start_with(&program(), &folder, net, size, &limits).unwrap();
    Fixture { deployment, _running: running }
}

impl Fixture {
    fn callers(&self) -> SocketAddr {
        self.deployment.address(ENTRY_HOST, CALLER_PORT)
    }

    fn leader(&self) -> u8 {
        self.deployment.eventually("a member leads", |d| d.leader().is_some()).unwrap();
        self.deployment.leader().unwrap()
    }

    /// Checks that a process lives, its memory and its descriptors.
    fn check_process(&self, host: u8, name: &str) {
        thread::sleep(SETTLE_TIME);
        let memory = self.deployment.peak_memory(host);
        let descriptors = self.deployment.descriptors(host);
        println!("{name}: memory={memory:?} descriptors={descriptors:?}");
        let (memory, descriptors) = (memory.unwrap(), descriptors.unwrap());
        assert!(memory <= MEMORY_MB << 20, "{name}: {memory} bytes of memory");
        assert!(descriptors <= DESCRIPTORS, "{name}: {descriptors} descriptors");
    }

    /// Checks the entry beside a crowd, and that a caller is answered.
    fn check_entry(&self, name: &str, crowd: &mut Crowd) {
        self.check_process(ENTRY_HOST, name);
        self.deployment.eventually("a write is served", |d| d.try_write(0, "probe")).unwrap();
        println!("{name}: open={}", crowd.open_count());
    }

    /// Checks a control member beside a crowd, and that it takes a configuration.
    fn check_member(&self, host: u8, name: &str, crowd: &mut Crowd) {
        self.check_process(host, name);
        self.deployment.publish(&self.deployment.config(2)).unwrap();
        println!("{name}: open={}", crowd.open_count());
    }
}

/// A line of `bytes` bytes without its end.
fn long_line(start: &str, bytes: usize) -> Vec<u8> {
    let mut line = start.as_bytes().to_vec();
    line.resize(bytes, b'x');
    line
}

/// Guards against an entry that holds the longest message of each caller, in several copies.
#[test]
fn longest_messages_at_once() {
    let fixture = start(1);
    let mut crowd = Crowd::open_sessions(fixture.callers(), SENDERS);
    let mut message = long_line("QUERY q WRITE big ", MESSAGE_BYTES);
    message.extend_from_slice(b"\r\n");
    crowd.send(&message);
    fixture.check_entry("longest messages", &mut crowd);
}

/// Guards against an entry that holds the beginning of a long message of each caller.
#[test]
fn long_messages_that_stop_halfway() {
    let fixture = start(2);
    let mut crowd = Crowd::open_sessions(fixture.callers(), SENDERS);
    crowd.send(&long_line("QUERY q WRITE big ", MESSAGE_BYTES - 1));
    fixture.check_entry("messages that stop half-way", &mut crowd);
}

/// Guards against an entry that reads a message far over the limit up to the limit, also from
/// callers that have no session.
#[test]
fn messages_far_over_the_limit() {
    let fixture = start(3);
    let mut crowd = Crowd::connect(fixture.callers(), SENDERS);
    crowd.send(&long_line("START newest ", 4 * MESSAGE_BYTES));
    fixture.check_entry("messages over the limit", &mut crowd);
}

/// Guards against a session that keeps any number of the largest values, sent ahead by callers that
/// read no answer.
#[test]
fn large_session_values_sent_ahead() {
    let fixture = start(4);
    let mut crowd = Crowd::open_sessions(fixture.callers(), 4);
    for n in 0..40 {
        let mut message = long_line(&format!("QUERY q SET v{n} "), MESSAGE_BYTES / 2);
        message.extend_from_slice(b"\r\n");
        crowd.send(&message);
    }
    fixture.check_entry("session values", &mut crowd);
}

/// Guards against pooled connections that keep the values of ended sessions, one at a time here: one
/// connection for each client account and server.
#[test]
fn large_values_of_ended_sessions() {
    let fixture = start(11);
    let accounts = 20;
    let mut config = fixture.deployment.config(2);
    config["tenants"] = (1..=accounts)
        .map(|n| json!({"name": format!("t{n}"), "api-keys": [format!("k{n}")], "rate-per-s": 500, "burst": 500}))
        .collect();
    fixture.deployment.publish(&config).unwrap();
    let value = "x".repeat(1_000_000);
    for key in (1..=accounts).map(|n| format!("k{n}")) {
        let opened = |d: &LineProcesses| d.open(0, "newest", &key).is_some();
        fixture.deployment.eventually("a session is opened", opened).unwrap();
        let mut caller = fixture.deployment.open(0, "newest", &key).unwrap();
        for n in 0..3 {
            assert!(caller.ask(&format!("s SET v{n} {value}")).contains("DONE"));
        }
        assert!(caller.ask("r READ probe").contains("DONE s."), "{key}");
    }
    fixture.check_entry("values of ended sessions", &mut Crowd::connect(fixture.callers(), 0));
}

/// Guards against an entry that holds a large answer for each caller that does not read it.
#[test]
fn large_answers_that_nobody_reads() {
    let fixture = start(5);
    let mut caller = fixture.deployment.open(0, "newest", "k1").unwrap();
    let value = "x".repeat(MESSAGE_BYTES / 4);
    assert!(caller.ask(&format!("w WRITE big {value}")).contains("DONE"));
    let mut crowd = Crowd::open_sessions(fixture.callers(), SENDERS);
    crowd.send("QUERY r READ big\r\n".repeat(40).as_bytes());
    fixture.check_entry("answers that are not read", &mut crowd);
}

/// Guards against an entry whose descriptors are taken by callers that stop half-way.
#[test]
fn callers_that_stop_in_their_first_message() {
    let fixture = start(6);
    let mut crowd = Crowd::connect(fixture.callers(), IDLERS);
    crowd.send(b"START ");
    let mut closing = Crowd::connect(fixture.callers(), IDLERS / 2);
    closing.send(b"S");
    closing.half_close();
    fixture.check_entry("callers that stop", &mut crowd);
}

/// Guards against an entry whose memory is taken through its port for links.
#[test]
fn strangers_on_the_links_of_an_entry() {
    let fixture = start(7);
    let links = fixture.deployment.address(ENTRY_HOST, LINK_PORT + u16::from(ENTRY_HOST));
    let mut crowd = send_frames(links, "/traffic");
    fixture.check_entry("links of an entry", &mut crowd);
}

/// Guards against a control member whose memory is taken through its port for links.
#[test]
fn strangers_on_the_links_of_a_control_member() {
    let fixture = start(8);
    let leader = fixture.leader();
    let links = fixture.deployment.address(leader, LINK_PORT + u16::from(leader));
    let mut crowd = send_frames(links, "/control");
    fixture.check_member(leader, "links of a control member", &mut crowd);
}

/// Guards against a control member whose memory is taken by headers without an end.
#[test]
fn headers_without_an_end() {
    let fixture = start(9);
    let leader = fixture.leader();
    let mut crowd = Crowd::connect(fixture.deployment.address(leader, OPERATOR_PORT), SENDERS);
    let mut header = b"PUT /-/config HTTP/1.1\r\n".to_vec();
    for n in 0..40 {
        header.extend(long_line(&format!("H{n}: "), 8 << 10));
        header.extend_from_slice(b"\r\n");
    }
    crowd.send(&header);
    fixture.check_member(leader, "headers without an end", &mut crowd);
}

/// Guards against a control member whose descriptors and memory are taken by bodies that stop
/// half-way.
#[test]
fn bodies_that_stop_halfway() {
    let fixture = start(10);
    let leader = fixture.leader();
    let to = fixture.deployment.address(leader, OPERATOR_PORT);
    let mut crowd = Crowd::connect(to, IDLERS);
    let start = "PUT /-/instances/s1 HTTP/1.1\r\nHost: x\r\nContent-Length: 16000\r\n\r\n";
    crowd.send(&long_line(start, 15_000));
    fixture.check_member(leader, "bodies that stop half-way", &mut crowd);
}

/// Opens links without a proof, whose first message claims to be long, and sends its beginning.
fn send_frames(to: SocketAddr, path: &str) -> Crowd {
    let mut crowd = Crowd::connect(to, SENDERS);
    let upgrade = format!(
        "GET {path} HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\
         Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n"
    );
    crowd.send(upgrade.as_bytes());
    // A binary frame with a mask that claims 32 MB.
    let mut frame = vec![0x82, 0xff];
    frame.extend_from_slice(&(32_u64 << 20).to_be_bytes());
    frame.extend_from_slice(&[0; 4]);
    frame.resize(2 * MESSAGE_BYTES, 0);
    crowd.send(&frame);
    crowd
}
