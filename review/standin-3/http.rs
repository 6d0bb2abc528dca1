//! HTTP/1.1 with one request a connection.

use std::{
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// Time that servers and operators wait for an answer.
const TIMEOUT: Duration = Duration::from_millis(1_000);

/// Answer to a call; status 0 without one.
#[derive(Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub location: Option<SocketAddr>,
    pub body: String,
}

/// Makes a call and follows up to two redirects.
pub fn call(to: SocketAddr, method: &str, path: &str, body: &str) -> Answer {
    let mut to = to;
    for _ in 0..3 {
        let answer = call_once(to, method, path, body).unwrap_or_default();
        match answer.location {
            Some(next) if answer.status == 307 => to = next,
            _ => return answer,
        }
    }
    Answer::default()
}

fn call_once(to: SocketAddr, method: &str, path: &str, body: &str) -> std::io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&to, TIMEOUT)?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    stream.set_nodelay(true)?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\n\
         Connection: close\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all((head + body).as_bytes())?;
    let (first, headers, body) = read_message(&mut BufReader::new(stream))?;
    let status = first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
    let location = headers.iter().find(|(name, _)| name == "location");
    let location =
        location.and_then(|(_, url)| url.strip_prefix("http://")?.split('/').next()?.parse().ok());
    Ok(Answer { status, location, body })
}

/// Reads the first line, the headers and the body of a message.
pub fn read_message(
    from: &mut impl BufRead,
) -> std::io::Result<(String, Vec<(String, String)>, String)> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if from.read_line(&mut line)? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end().to_owned();
        if line.is_empty() {
            break;
        }
        lines.push(line);
    }
    let first = lines.first().cloned().unwrap_or_default();
    let headers: Vec<(String, String)> = lines
        .iter()
        .skip(1)
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    let length = headers.iter().find(|(name, _)| name == "content-length");
    let length = length.and_then(|(_, text)| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    from.read_exact(&mut body)?;
    Ok((first, headers, String::from_utf8_lossy(&body).into_owned()))
}

/// A text field of a JSON object whose values hold no escapes.
pub fn text_field(json: &str, name: &str) -> Option<String> {
    let rest = json.split_once(&format!("\"{name}\":"))?.1.trim_start();
    Some(rest.strip_prefix('"')?.split('"').next()?.to_owned())
}
