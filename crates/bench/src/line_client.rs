//! Clients of a deployment: callers of the line protocol, and HTTP calls.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// Longest wait for an answer to an HTTP call.
const HTTP_TIMEOUT: Duration = Duration::from_secs(3);

/// Longest wait for an answer to a caller.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

/// Makes an HTTP call, without following redirects; status 0 without an answer.
pub fn call_http(to: SocketAddr, method: &str, path: &str, body: &str) -> (u16, String) {
    call_http_with(to, method, path, "", body)
}

/// Makes an HTTP call like [`call_http`] with more header lines, each with its end of line.
pub fn call_http_with(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &str,
    body: &str,
) -> (u16, String) {
    let Ok(mut stream) = TcpStream::connect_timeout(&to, HTTP_TIMEOUT) else {
        return (0, String::new());
    };
    let mut text = String::new();
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let done = stream
        .set_read_timeout(Some(HTTP_TIMEOUT))
        .and_then(|()| stream.write_all(request.as_bytes()))
        .and_then(|()| stream.read_to_string(&mut text));
    if done.is_err() {
        return (0, text);
    }
    let code = text.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0);
    let body = text.split_once("\r\n\r\n").map_or("", |(_, body)| body).to_owned();
    (code, body)
}

/// A caller's connection.
#[derive(Debug)]
pub struct Caller {
    reader: BufReader<TcpStream>,
}

impl Caller {
    /// Opens a session; `None` if it is refused.
    pub fn open(entry: SocketAddr, database: &str, key: &str) -> Option<Caller> {
        let mut caller = Caller::connect(entry)?;
        caller.send(&format!("START {database} {key}"));
        (caller.answer() == "READY I -\n").then_some(caller)
    }

    /// Connects without opening a session.
    pub fn connect(entry: SocketAddr) -> Option<Caller> {
        let stream = TcpStream::connect(entry).ok()?;
        stream.set_read_timeout(Some(ANSWER_TIMEOUT)).ok()?;
        Some(Caller { reader: BufReader::new(stream) })
    }

    /// The connection, without what has been received and not read.
    pub fn into_stream(self) -> TcpStream {
        self.reader.into_inner()
    }

    /// Sends a line.
    pub fn send(&mut self, line: &str) {
        let _ = self.reader.get_mut().write_all(format!("{line}\r\n").as_bytes());
    }

    /// Reads lines up to READY or the end of the connection.
    pub fn answer(&mut self) -> String {
        let mut text = String::new();
        loop {
            let mut line = String::new();
            match self.reader.read_line(&mut line) {
                Ok(count) if count > 0 => text.push_str(&line.replace("\r\n", "\n")),
                _ => return text,
            }
            if line.starts_with("READY") {
                return text;
            }
        }
    }

    /// Sends a query and reads its answer.
    pub fn ask(&mut self, query: &str) -> String {
        self.send(&format!("QUERY {query}"));
        self.answer()
    }
}
