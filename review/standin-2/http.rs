//! A small HTTP/1.1 client and server.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
    time::Duration,
};

/// Longest wait of a caller of the control interface.
const TIMEOUT: Duration = Duration::from_millis(1_000);

/// Sends a request; returns the status and the body, or status 0 without an answer in time.
/// Redirects are followed twice.
pub fn call(to: SocketAddr, method: &str, path: &str, body: &str) -> (u16, String) {
    let mut to = to;
    for _ in 0..3 {
        let Some((status, head, text)) = call_once(to, method, path, body) else {
            return (0, String::new());
        };
        if status != 307 {
            return (status, text);
        }
        let location = head.lines().find_map(|line| {
            let (name, value) = line.split_once(':')?;
            name.eq_ignore_ascii_case("location").then(|| value.trim().to_owned())
        });
        let next = location.and_then(|l| l.strip_prefix("http://")?.split('/').next()?.parse().ok());
        let Some(next) = next else { return (0, String::new()) };
        to = next;
    }
    (0, String::new())
}

/// Sends a request once; returns the status, the head and the body.
pub fn call_once(
    to: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
) -> Option<(u16, String, String)> {
    let mut stream = TcpStream::connect_timeout(&to, TIMEOUT).ok()?;
    stream.set_read_timeout(Some(TIMEOUT)).ok()?;
    let length = body.len();
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {to}\r\nConnection: close\r\n\
         Content-Type: application/json\r\nContent-Length: {length}\r\n\r\n{body}"
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).ok()?;
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some((status, head.to_owned(), body.to_owned()))
}

/// Serves requests: `answer` gets the head and the body, and returns the status.
pub fn serve(
    address: SocketAddr,
    answer: impl Fn(&str, &str) -> u16 + Send + Clone + 'static,
) -> std::io::Result<()> {
    let listener = TcpListener::bind(address)?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = answer.clone();
            thread::spawn(move || drop(serve_one(stream, answer)));
        }
    });
    Ok(())
}

fn serve_one(mut stream: TcpStream, answer: impl Fn(&str, &str) -> u16) -> std::io::Result<()> {
    let mut bytes = Vec::new();
    let mut chunk = [0; 4096];
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head.lines().find_map(|line| {
                let (name, value) = line.split_once(':')?;
                name.eq_ignore_ascii_case("content-length").then(|| value.trim().parse().ok())?
            });
            if body.len() >= length.unwrap_or(0) {
                let status = answer(head, body);
                let text = format!(
                    "HTTP/1.1 {status} X\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
                );
                return stream.write_all(text.as_bytes());
            }
        }
        let count = stream.read(&mut chunk)?;
        if count == 0 {
            return Ok(());
        }
        bytes.extend_from_slice(&chunk[..count]);
    }
}
