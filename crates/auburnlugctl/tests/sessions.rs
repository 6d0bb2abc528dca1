//! Golden tests of the operator tool: commands, HTTP requests and answers, output and exit code.
//!
//! In the golden files `$` starts a command, `>` a request that the fake control instance received,
//! `<` its answer, and `out` and `err` a line of output. An exchange that repeats the previous one
//! is written once, followed by `again`. `UPDATE_GOLDEN=1` rewrites the files.

#![allow(clippy::unwrap_used, clippy::panic)]

use std::{
    fs,
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Command, Output},
    sync::{Arc, Mutex},
    thread,
};

use auburnlug_protocol::operator::{Answer, LossStatus, Status};
use auburnlug_state::{Machine, Name};

const SECRET: &str = "operator-secret";

const TEMPLATE: &str = "[template]\nformat = 1\nname = t\n";

/// How the fake control instance replies to a request.
#[derive(Clone)]
enum Reply {
    /// Answers a change.
    Answer(Answer),
    /// Answers with the status, with the disk losses that the leader reports.
    Status(Option<LossStatus>),
    /// Closes the connection after it has read the whole request.
    Close,
}

/// Fake control instance. It answers status requests with version 4, and changes with the replies
/// of its script, the last of which it repeats.
struct FakeControl {
    address: SocketAddr,
    lines: Arc<Mutex<Vec<String>>>,
}

impl FakeControl {
    fn start(script: Vec<Reply>) -> FakeControl {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let lines = Arc::new(Mutex::new(Vec::new()));
        let log = lines.clone();
        thread::spawn(move || {
            let mut script = script;
            for stream in listener.incoming() {
                let mut stream = stream.unwrap();
                let request = read_request(&stream);
                let reply = select_reply(&request, &mut script);
                // Recorded before it is sent, as the command may end as soon as it has the answer.
                record_exchange(
                    &mut log.lock().unwrap(),
                    format!("{}\n{}", request.line(), reply.line()),
                );
                reply.send(&mut stream);
            }
        });
        FakeControl { address, lines }
    }
}

/// Records an exchange; repetitions of the last one become a single `again`.
fn record_exchange(log: &mut Vec<String>, exchange: String) {
    let last = log.iter().rposition(|line| line != "again");
    match last {
        Some(last) if log[last] == exchange => {
            log.truncate(last + 1);
            log.push("again".into());
        }
        _ => log.push(exchange),
    }
}

/// A request that the fake control instance received.
struct Request {
    target: String,
    bearer: String,
    body: String,
}

impl Request {
    fn line(&self) -> String {
        let Request { target, bearer, body } = self;
        format!("> {target} [{bearer}] {body}").trim_end().into()
    }
}

fn read_request(stream: &TcpStream) -> Request {
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).unwrap();
    let target = line.trim().trim_end_matches(" HTTP/1.1").to_string();
    let (mut length, mut bearer) = (0, String::from("none"));
    loop {
        line.clear();
        reader.read_line(&mut line).unwrap();
        match line.trim().split_once(": ") {
            None => break,
            Some((name, value)) if name.eq_ignore_ascii_case("content-length") => {
                length = value.parse().unwrap();
            }
            Some((name, value)) if name.eq_ignore_ascii_case("authorization") => {
                bearer = value.into();
            }
            Some(_) => {}
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).unwrap();
    Request { target, bearer, body: String::from_utf8(body).unwrap() }
}

fn select_reply(request: &Request, script: &mut Vec<Reply>) -> Reply {
    if request.bearer != format!("Bearer {SECRET}") {
        Reply::Answer(Answer::Denied)
    } else if request.target.starts_with("GET") {
        match &script[0] {
            status @ Reply::Status(_) => status.clone(),
            _ => Reply::Status(None),
        }
    } else if script.len() > 1 {
        script.remove(0)
    } else {
        script[0].clone()
    }
}

impl Reply {
    /// HTTP status and body; `None` if the connection is closed instead.
    fn content(&self) -> Option<(u16, String)> {
        match self {
            Reply::Answer(answer) => {
                Some((answer.status(), String::from_utf8(answer.encode().unwrap()).unwrap()))
            }
            Reply::Status(losses) => Some((200, serde_json::to_string(&status(*losses)).unwrap())),
            Reply::Close => None,
        }
    }

    fn line(&self) -> String {
        self.content()
            .map_or("< connection closed".into(), |(status, body)| format!("< {status} {body}"))
    }

    fn send(&self, stream: &mut TcpStream) {
        let Some((status, body)) = self.content() else { return };
        let length = body.len();
        let head = format!("HTTP/1.1 {status} S\r\nconnection: close\r\ncontent-length: {length}");
        stream.write_all(format!("{head}\r\n\r\n{body}").as_bytes()).unwrap();
    }
}

fn status(losses: Option<LossStatus>) -> Status {
    let machine = Machine { version: 4, index: 6, ..Machine::default() };
    Status { losses, ..Status::new(&name("c1"), None, &machine, 80) }
}

fn name(text: &str) -> Name {
    Name::try_from(text).unwrap()
}

/// Transcript of commands against one control instance, and the folder with their files.
struct Session {
    folder: PathBuf,
    address: SocketAddr,
    lines: Arc<Mutex<Vec<String>>>,
    transcript: String,
}

impl Session {
    fn new(file: &str, control: &FakeControl) -> Session {
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(file);
        fs::create_dir_all(&folder).unwrap();
        fs::write(folder.join("t.template"), TEMPLATE).unwrap();
        fs::write(folder.join("operator.secret"), format!("{SECRET}\n")).unwrap();
        fs::write(folder.join("wrong.secret"), "wrong\n").unwrap();
        let lines = control.lines.clone();
        Session { folder, address: control.address, lines, transcript: String::new() }
    }

    /// Runs a command in the session's folder and records what was sent and printed.
    fn run(&mut self, command: &str) {
        let address = self.address.to_string();
        let Output { status, stdout, stderr } = Command::new(env!("CARGO_BIN_EXE_auburnlugctl"))
            .args(command.replace("ADDRESS", &address).split(' '))
            .current_dir(&self.folder)
            .env_clear()
            .output()
            .unwrap();
        let mut lines = vec![format!("$ auburnlugctl {command}")];
        lines.append(&mut self.lines.lock().unwrap());
        for (stream, bytes) in [("out", stdout), ("err", stderr)] {
            let text = String::from_utf8(bytes).unwrap();
            lines.extend(text.lines().map(|line| format!("{stream} {line}")));
        }
        lines.push(format!("exit {}\n", status.code().unwrap()));
        self.transcript += &lines.join("\n").replace(&address, "ADDRESS");
    }

    /// Compares the transcript with its golden file.
    fn check(self, file: &str) {
        let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("tests/golden/{file}.txt"));
        if std::env::var_os("UPDATE_GOLDEN").is_some() {
            fs::write(&path, &self.transcript).unwrap();
        }
        assert_eq!(self.transcript, fs::read_to_string(&path).unwrap(), "session {file}");
    }
}

fn run_session(file: &str, script: Vec<Reply>, commands: &[&str]) {
    let mut session = Session::new(file, &FakeControl::start(script));
    for command in commands {
        session.run(command);
    }
    session.check(file);
}

const PUBLISH: &str =
    "--control ADDRESS --secret-file operator.secret --operator ana publish --id ana-1 t.template";

/// Guards against a change of the request format, and against a default base version other than the
/// one in force.
#[test]
fn publish() {
    let with_base = PUBLISH.replace("--id", "--base 3 --id");
    let json = PUBLISH.replace("publish", "--json publish");
    let script = vec![Reply::Answer(Answer::Changed { version: 9 })];
    run_session("publish", script, &[PUBLISH, &with_base, &json]);
}

/// Guards against a status that does not say how many disk losses the control group tolerates, and
/// against a number from an instance that does not know it.
#[test]
fn status_shows_tolerated_losses() {
    let command = "--control ADDRESS --secret-file operator.secret status";
    let losses = LossStatus { tolerated: 0, configured: 1 };
    run_session("status", vec![Reply::Status(Some(losses))], &[command]);
    run_session("status-follower", vec![Reply::Status(None)], &[command]);
}

/// Guards against a conflicting change that is retried from the winner's version and overwrites it.
#[test]
fn conflict() {
    let (operator, id) = (name("bogdan"), name("bogdan-7"));
    let script = vec![Reply::Answer(Answer::Conflict { version: 8, operator, id })];
    run_session("conflict", script, &[PUBLISH]);
}

/// Guards against a change that is applied twice because its answer was lost.
#[test]
fn resent_id() {
    let script = vec![Reply::Close, Reply::Answer(Answer::Changed { version: 9 })];
    run_session("resent-id", script, &[PUBLISH, &PUBLISH.replace("--id", "--base 4 --id")]);
}

/// Guards against a refusal that does not name the invalid section and key.
#[test]
fn invalid_template() {
    let reason = "section [group muscat], key size: allowed is 1 to 9 servers".into();
    run_session("invalid-template", vec![Reply::Answer(Answer::Invalid { reason })], &[PUBLISH]);
}

/// Guards against a wrong secret that is retried or reported as an unreachable instance.
#[test]
fn wrong_secret() {
    let script = vec![Reply::Answer(Answer::Changed { version: 9 })];
    let wrong = PUBLISH.replace("operator.secret", "wrong.secret");
    let with_base = wrong.replace("--id", "--base 4 --id");
    run_session("wrong-secret", script, &[&wrong, &with_base]);
}

/// Guards against a change that was never sent but is reported as possibly in force. A closed port
/// stands for an instance that is down.
#[test]
fn no_control_instance() {
    let closed = TcpListener::bind("127.0.0.2:0").unwrap().local_addr().unwrap();
    let control = FakeControl { address: closed, lines: Arc::default() };
    let mut session = Session::new("no-control-instance", &control);
    session.run(&PUBLISH.replace("--id", "--base 4 --id"));
    session.run("--secret-file operator.secret status");
    session.run("--control ADDRESS status");
    session.check("no-control-instance");
}

/// Guards against an unknown effect that is reported as done or refused, and against a message
/// without the id and the base version that a retry needs.
#[test]
fn unknown_effect() {
    run_session("unknown-effect", vec![Reply::Answer(Answer::Unknown)], &[PUBLISH]);
}

/// Guards against a change that is reported as not sent although only its answers were lost.
#[test]
fn lost_answers() {
    run_session("lost-answers", vec![Reply::Close], &[&PUBLISH.replace("--id", "--base 4 --id")]);
}
