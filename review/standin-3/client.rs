//! A caller of the line protocol.

use std::{
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// Longest wait for an answer, longer than every timeout of a route.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(12);

pub struct Caller {
    reader: BufReader<TcpStream>,
}

impl Caller {
    /// Opens a session; `None` if it is refused or not answered.
    pub fn open(to: SocketAddr, database: &str, key: &str) -> Option<Caller> {
        let stream = TcpStream::connect_timeout(&to, Duration::from_secs(2)).ok()?;
        stream.set_read_timeout(Some(ANSWER_TIMEOUT)).ok()?;
        stream.set_nodelay(true).ok()?;
        let mut caller = Caller { reader: BufReader::new(stream) };
        caller.send(&format!("START {database} {key}"))?;
        caller.answer()?.starts_with("READY I").then_some(caller)
    }

    fn send(&mut self, line: &str) -> Option<()> {
        self.reader.get_mut().write_all(format!("{line}\r\n").as_bytes()).ok()
    }

    /// Lines up to READY, joined by blanks; `None` if the connection ends before.
    fn answer(&mut self) -> Option<String> {
        let mut text = String::new();
        loop {
            let mut line = String::new();
            if self.reader.read_line(&mut line).ok()? == 0 {
                return None;
            }
            let is_last = line.starts_with("READY");
            text.push_str(line.trim_end());
            if is_last {
                return Some(text);
            }
            text.push(' ');
        }
    }

    /// Sends a query and reads its answer.
    pub fn ask(&mut self, id: &str, text: &str) -> Option<String> {
        self.send(&format!("QUERY {id} {text}"))?;
        self.answer()
    }

    /// Sends queries without waiting for answers, and then reads these.
    pub fn ask_ahead(&mut self, texts: &[String]) -> Option<Vec<String>> {
        let lines: String = texts.iter().map(|text| format!("QUERY a {text}\r\n")).collect();
        self.reader.get_mut().write_all(lines.as_bytes()).ok()?;
        texts.iter().map(|_| self.answer()).collect()
    }

    pub fn bye(mut self) {
        let _ = self.send("BYE");
    }
}
