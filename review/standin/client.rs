//! A client: one session over the line protocol.

use std::{
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpStream},
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use crate::record::Record;

static NEXT_REQUEST: AtomicU64 = AtomicU64::new(1);

/// An open session.
pub struct Client {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
    record: Record,
}

/// Answer to a statement.
#[derive(Debug, Clone)]
pub struct Answer {
    pub request: String,
    /// `DONE`, or the code of the error; `NONE` if the connection ended.
    pub code: String,
    pub signature: String,
    pub rows: Vec<String>,
    pub state: String,
}

impl Client {
    /// Opens a session; `None` if it is refused.
    pub fn open(record: &Record, entry: SocketAddr, database: &str, key: &str) -> Option<Client> {
        let stream = TcpStream::connect_timeout(&entry, Duration::from_secs(1)).ok()?;
        let _ = stream.set_nodelay(true);
        stream.set_read_timeout(Some(Duration::from_secs(6))).ok()?;
        let reader = BufReader::new(stream.try_clone().ok()?);
        let mut client = Client { stream, reader, record: record.clone() };
        client.send(&format!("START {database} {key}\r\n"))?;
        client.line()?.starts_with("READY I").then_some(client)
    }

    fn send(&mut self, text: &str) -> Option<()> {
        self.stream.write_all(text.as_bytes()).ok()
    }

    fn line(&mut self) -> Option<String> {
        let mut line = String::new();
        let count = self.reader.read_line(&mut line).ok()?;
        (count > 0).then(|| line.trim_end().to_owned())
    }

    /// Runs a statement and waits for its answer.
    pub fn run(&mut self, text: &str) -> Answer {
        let number = NEXT_REQUEST.fetch_add(1, Ordering::Relaxed);
        let request = format!("q{number:08}");
        self.record.add_sent(&request, text);
        let answer = self.exchange(&request, text);
        let writes = text.starts_with("WRITE") || text.starts_with("COMMIT");
        let shown = format!("{} {} rows={:?}", answer.code, answer.signature, answer.rows);
        self.record.add_answer(&request, &shown, writes && answer.code == "DONE");
        answer
    }

    fn exchange(&mut self, request: &str, text: &str) -> Answer {
        let mut answer = Answer {
            request: request.to_owned(),
            code: "NONE".into(),
            signature: String::new(),
            rows: Vec::new(),
            state: String::new(),
        };
        if self.send(&format!("QUERY {request} {text}\r\n")).is_none() {
            return answer;
        }
        loop {
            let Some(line) = self.line() else {
                answer.code = "NONE".into();
                return answer;
            };
            let (word, rest) = line.split_once(' ').unwrap_or((&line, ""));
            match word {
                "ROW" => answer.rows.push(rest.to_owned()),
                "DONE" => (answer.code, answer.signature) = ("DONE".into(), rest.to_owned()),
                "ERR" => {
                    let (code, reason) = rest.split_once(' ').unwrap_or((rest, ""));
                    (answer.code, answer.signature) = (code.to_owned(), reason.to_owned());
                }
                "READY" => {
                    answer.state = rest.split(' ').next().unwrap_or("").to_owned();
                    return answer;
                }
                _ => return answer,
            }
        }
    }
}
