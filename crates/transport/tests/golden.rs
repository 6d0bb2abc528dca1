//! Golden sessions: messages sent and received on the wire, with one file per outcome.
//!
//! A line `> T body` is sent, `< T body` is expected (`T` is the message type, `-` for none), and
//! `! action` changes the control state or the servers. `UPDATE_GOLDEN=1` writes the answers into
//! the files.

#![allow(clippy::unwrap_used, clippy::panic)]

mod common;

use std::{fmt::Write, fs, path::PathBuf, sync::atomic::Ordering};

use auburnlug_state::Shard;
use bytes::{Buf, BufMut, BytesMut};
use common::{KEY, TestInstance, hash, name};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// Guards against changes of what a caller sees in each outcome.
#[tokio::test]
async fn sessions_match_their_files() {
    let files = [
        "done",
        "extended",
        "failed",
        "key",
        "lease",
        "owner",
        "primary",
        "public",
        "rate",
        "size",
        "state",
        "stopping",
        "transaction",
        "unknown",
        "withdrawn",
    ];
    for file in files {
        let path =
            PathBuf::from(env!("CARGO_MANIFEST_DIR")).join(format!("tests/golden/{file}.txt"));
        let text = fs::read_to_string(&path).unwrap();
        let actual = run_session(&text).await;
        if std::env::var_os("UPDATE_GOLDEN").is_some() {
            fs::write(&path, &actual).unwrap();
        }
        assert_eq!(actual, text, "session {file}");
    }
}

async fn run_session(text: &str) -> String {
    let servers = if text.contains("! servers 3") { 3 } else { 1 };
    let mut instance = TestInstance::start(servers).await;
    let stream = TcpStream::connect(("127.0.0.1", instance.port)).await.unwrap();
    let mut session = Session { stream, buf: BytesMut::new(), open: true };
    let mut out = String::new();
    let mut sent = false;
    for line in text.lines().filter(|line| !line.starts_with('<')) {
        if sent && !line.starts_with('>') {
            session.read_answers(&mut out).await;
            sent = false;
        }
        writeln!(out, "{line}").unwrap();
        if let Some(message) = line.strip_prefix("> ") {
            session.send(message).await;
            sent = true;
            if message == "-ssl" || matches!(message.as_bytes()[0], b'-' | b'p' | b'Q' | b'S') {
                session.read_answers(&mut out).await;
                sent = false;
            }
        } else if let Some(action) = line.strip_prefix("! ") {
            apply_action(&mut instance, action).await;
            if matches!(action, "withdraw" | "stop") {
                session.read_answers(&mut out).await;
            }
        }
    }
    out
}

async fn apply_action(instance: &mut TestInstance, action: &str) {
    let shard = Shard::Group(name("loans"));
    match action {
        "lease" => instance.control.lease.store(0, Ordering::SeqCst),
        "orphan" => instance
            .control
            .change(|machine| machine.shards.get_mut(&shard).unwrap().instance = None),
        "withdraw" => instance.control.change(|machine| {
            machine.config.accounts.get_mut("sohar").unwrap().keys.remove(&hash(KEY));
        }),
        "burst 1" => instance.control.change(|machine| {
            let account = machine.config.accounts.get_mut("sohar").unwrap();
            (account.rate, account.burst) = (0.5, 1.0);
        }),
        "silent" => instance
            .backends
            .iter()
            .for_each(|backend| backend.shared.lock().unwrap().unresponsive = true),
        "stop" => instance.control.view.send_modify(|view| {
            let mut next = auburnlug_transport::view::View::clone(view);
            next.stopping = true;
            *view = next.into();
        }),
        "servers 3" | "servers 1" => {}
        other => panic!("unknown action {other}"),
    }
}

struct Session {
    stream: TcpStream,
    buf: BytesMut,
    open: bool,
}

impl Session {
    async fn send(&mut self, message: &str) {
        let (tag, body) = message.split_once(' ').unwrap_or((message, ""));
        let mut body = unescape(body);
        if let Some(size) = body.strip_prefix(b"FILL ") {
            body = vec![b' '; std::str::from_utf8(size).unwrap().parse().unwrap()];
        }
        let mut out = BytesMut::new();
        if tag != "-" {
            out.put_u8(tag.as_bytes()[0]);
        }
        out.put_u32(body.len() as u32 + 4);
        out.put_slice(&body);
        // The proxy may have closed the connection; the recorded answers show that.
        let _ = self.stream.write_all(&out).await;
    }

    /// Reads up to `ReadyForQuery`, a password request, `N`, or the end of the connection.
    async fn read_answers(&mut self, out: &mut String) {
        while self.open {
            while !self.has_message() {
                if self.stream.read_buf(&mut self.buf).await.unwrap_or(0) == 0 {
                    self.open = false;
                    writeln!(out, "< end").unwrap();
                    return;
                }
            }
            if self.buf[0] == b'N' && self.buf.len() == 1 {
                self.buf.clear();
                writeln!(out, "< N").unwrap();
                return;
            }
            let length = (&self.buf[1..]).get_u32() as usize;
            let frame = self.buf.split_to(length + 1);
            let body =
                if frame[0] == b'K' { "*".into() } else { frame[5..].escape_ascii().to_string() };
            writeln!(out, "< {} {body}", char::from(frame[0])).unwrap();
            if frame[0] == b'Z' || (frame[0] == b'R' && frame[8] == 3) {
                return;
            }
        }
    }

    fn has_message(&self) -> bool {
        match self.buf.len() {
            0 => false,
            1 => self.buf[0] == b'N',
            2..5 => false,
            len => len > (&self.buf[1..]).get_u32() as usize,
        }
    }
}

/// Undoes `escape_ascii`.
fn unescape(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    let mut bytes = text.bytes();
    while let Some(byte) = bytes.next() {
        if byte != b'\\' {
            out.push(byte);
            continue;
        }
        match bytes.next().unwrap() {
            b'x' => {
                let digits = [bytes.next().unwrap(), bytes.next().unwrap()];
                out.push(u8::from_str_radix(std::str::from_utf8(&digits).unwrap(), 16).unwrap());
            }
            b'n' => out.push(b'\n'),
            other => out.push(other),
        }
    }
    out
}
