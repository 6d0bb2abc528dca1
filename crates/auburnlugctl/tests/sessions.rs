//! Golden sessions of an operator: commands, HTTP requests and answers, output, exit code.
//!
//! `$` is a command, `>` a request that the stand-in got, `<` its answer, `out` and `err` are the
//! output. An exchange that repeats the one before it is written once, with `again` after it.
//! `UPDATE_GOLDEN=1` writes the files.

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

use auburnlug_protocol::operator::{Answer, Status};
use auburnlug_state::{Machine, Name};

const SECRET: &str = "operator-secret";

const TEMPLATE: &str = "[template]\nformat = 1\nname = t\n";

/// What the stand-in does with a request.
#[derive(Clone)]
enum Reply {
    /// Answers a change.
    Say(Answer),
    /// Answers with the status.
    Status,
    /// Closes the connection after the whole request.
    Hang,
}

/// A control instance: answers the status from version 4, and changes by its script, of which the
/// last reply is repeated.
struct Control {
    address: SocketAddr,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Control {
    fn start(script: Vec<Reply>) -> Control {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let lines = Arc::new(Mutex::new(Vec::new()));
        let log = lines.clone();
        thread::spawn(move || {
            let mut script = script;
            for stream in listener.incoming() {
                let mut stream = stream.unwrap();
                let request = request(&stream);
                let reply = reply(&request, &mut script);
                // Noted before it is sent: the command may end as soon as it has the answer.
                note(&mut log.lock().unwrap(), format!("{}\n{}", request.line(), reply.line()));
                reply.send(&mut stream);
            }
        });
        Control { address, lines }
    }
}

/// Notes an exchange.
fn note(log: &mut Vec<String>, exchange: String) {
    let last = log.iter().rposition(|line| line != "again");
    match last {
        Some(last) if log[last] == exchange => {
            log.truncate(last + 1);
            log.push("again".into());
        }
        _ => log.push(exchange),
    }
}

/// A request that the stand-in got.
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

fn request(stream: &TcpStream) -> Request {
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

fn reply(request: &Request, script: &mut Vec<Reply>) -> Reply {
    if request.bearer != format!("Bearer {SECRET}") {
        Reply::Say(Answer::Denied)
    } else if request.target.starts_with("GET") {
        Reply::Status
    } else if script.len() > 1 {
        script.remove(0)
    } else {
        script[0].clone()
    }
}

impl Reply {
    /// Status and body; `None` if the connection is closed.
    fn content(&self) -> Option<(u16, String)> {
        match self {
            Reply::Say(answer) => {
                Some((answer.status(), String::from_utf8(answer.encode().unwrap()).unwrap()))
            }
            Reply::Status => Some((200, serde_json::to_string(&status()).unwrap())),
            Reply::Hang => None,
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

fn status() -> Status {
    let machine = Machine { version: 4, index: 6, ..Machine::default() };
    Status::new(&name("c1"), None, &machine, 80)
}

fn name(text: &str) -> Name {
    Name::try_from(text).unwrap()
}

/// A session with one control instance and its files.
struct Session {
    folder: PathBuf,
    address: SocketAddr,
    lines: Arc<Mutex<Vec<String>>>,
    text: String,
}

impl Session {
    fn new(file: &str, control: &Control) -> Session {
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(file);
        fs::create_dir_all(&folder).unwrap();
        fs::write(folder.join("t.template"), TEMPLATE).unwrap();
        fs::write(folder.join("operator.secret"), format!("{SECRET}\n")).unwrap();
        fs::write(folder.join("wrong.secret"), "wrong\n").unwrap();
        let lines = control.lines.clone();
        Session { folder, address: control.address, lines, text: String::new() }
    }

    /// Runs a command in the session's folder and notes what was sent and printed.
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
        self.text += &lines.join("\n").replace(&address, "ADDRESS");
    }

    /// Compares the session with its file.
    fn check(self, file: &str) {
        let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("tests/golden/{file}.txt"));
        if std::env::var_os("UPDATE_GOLDEN").is_some() {
            fs::write(&path, &self.text).unwrap();
        }
        assert_eq!(self.text, fs::read_to_string(&path).unwrap(), "session {file}");
    }
}

fn play(file: &str, script: Vec<Reply>, commands: &[&str]) {
    let mut session = Session::new(file, &Control::start(script));
    for command in commands {
        session.run(command);
    }
    session.check(file);
}

const PUBLISH: &str =
    "--control ADDRESS --secret-file operator.secret --operator ana publish --id ana-1 t.template";

/// Guards against a changed request, and a base version that is not the one in force.
#[test]
fn publish() {
    let based = PUBLISH.replace("--id", "--base 3 --id");
    let json = PUBLISH.replace("publish", "--json publish");
    let script = vec![Reply::Say(Answer::Changed { version: 9 })];
    play("publish", script, &[PUBLISH, &based, &json]);
}

/// Guards against a lost race that is repeated from the winner's version and overwrites it.
#[test]
fn conflict() {
    let (operator, id) = (name("bogdan"), name("bogdan-7"));
    let script = vec![Reply::Say(Answer::Conflict { version: 8, operator, id })];
    play("conflict", script, &[PUBLISH]);
}

/// Guards against a change that is made twice because its answer was lost.
#[test]
fn resent_id() {
    let script = vec![Reply::Hang, Reply::Say(Answer::Changed { version: 9 })];
    play("resent-id", script, &[PUBLISH, &PUBLISH.replace("--id", "--base 4 --id")]);
}

/// Guards against a refusal that does not say which section and key are wrong.
#[test]
fn invalid_template() {
    let reason = "section [group muscat], key size: allowed is 1 to 9 servers".into();
    play("invalid-template", vec![Reply::Say(Answer::Invalid { reason })], &[PUBLISH]);
}

/// Guards against a wrong secret that is tried again or reported as unreachable.
#[test]
fn wrong_secret() {
    let script = vec![Reply::Say(Answer::Changed { version: 9 })];
    let wrong = PUBLISH.replace("operator.secret", "wrong.secret");
    let based = wrong.replace("--id", "--base 4 --id");
    play("wrong-secret", script, &[&wrong, &based]);
}

/// Guards against a change that was sent nowhere and is reported as possibly in force. A port
/// that is not open stands for an instance that is down.
#[test]
fn no_control_instance() {
    let closed = TcpListener::bind("127.0.0.2:0").unwrap().local_addr().unwrap();
    let control = Control { address: closed, lines: Arc::default() };
    let mut session = Session::new("no-control-instance", &control);
    session.run(&PUBLISH.replace("--id", "--base 4 --id"));
    session.run("--secret-file operator.secret status");
    session.run("--control ADDRESS status");
    session.check("no-control-instance");
}

/// Guards against an unknown effect that is reported as done or refused, and against a message
/// without the id and the base that a repetition needs.
#[test]
fn unknown_effect() {
    play("unknown-effect", vec![Reply::Say(Answer::Unknown)], &[PUBLISH]);
}

/// Guards against a change whose answers were all lost and that is reported as not sent.
#[test]
fn lost_answers() {
    play("lost-answers", vec![Reply::Hang], &[&PUBLISH.replace("--id", "--base 4 --id")]);
}
