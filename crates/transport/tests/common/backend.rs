//! Fake database server that records the statements it runs.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::{Buf, BufMut, Bytes, BytesMut};
use pgwire::messages::{
    DecodeContext, Message,
    data::{DataRow, FieldDescription, NoData, ParameterDescription, RowDescription},
    extendedquery::Parse,
    response::{CommandComplete, ErrorResponse, ReadyForQuery, TransactionStatus},
    simplequery::Query,
    startup::{Authentication, BackendKeyData, ParameterStatus, Password, SecretKey},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::Notify,
};

/// State that all connections of a fake server share.
#[derive(Debug, Default)]
pub struct BackendState {
    pub primary: bool,
    pub term: u64,
    pub received: u64,
    pub applied: u64,
    pub last_term: u64,
    pub upstream: u64,
    /// Statements in the order in which they ran, without those of the server interface.
    pub ran: Vec<String>,
    /// Start-up parameters and password of each connection.
    pub logins: Vec<String>,
    /// Number of connections so far, and the one that ran a statement last.
    pub connections: usize,
    pub last: usize,
    /// Number of cancel requests.
    pub cancels: usize,
    /// Statements of the server interface, such as status and fence, are not answered.
    pub unresponsive: bool,
    /// Server whose writes this replica copies at each status poll.
    pub follows: Option<Arc<Mutex<BackendState>>>,
    /// Server that it copies from after an order to follow the primary of a new term.
    pub source_after_follow: Option<Arc<Mutex<BackendState>>>,
}

/// A running fake server; dropping it stops the server.
pub struct Backend {
    pub address: SocketAddr,
    pub shared: Arc<Mutex<BackendState>>,
    pub wake: Arc<Notify>,
    task: tokio::task::JoinHandle<()>,
}

impl Drop for Backend {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Backend {
    pub async fn start(primary: bool) -> Backend {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let initial = BackendState {
            primary,
            term: 1,
            last_term: 1,
            received: 10,
            applied: 10,
            ..BackendState::default()
        };
        let shared = Arc::new(Mutex::new(initial));
        let wake = Arc::new(Notify::new());
        let (state, notify) = (shared.clone(), wake.clone());
        let task = tokio::spawn(async move {
            let mut tasks = tokio::task::JoinSet::new();
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                let number = {
                    let mut shared = state.lock().unwrap();
                    shared.connections += 1;
                    shared.connections
                };
                let session = Session {
                    number,
                    stream,
                    buf: BytesMut::new(),
                    shared: state.clone(),
                    wake: notify.clone(),
                    status: b'I',
                    parsed: String::new(),
                };
                tasks.spawn(session.serve());
            }
        });
        Backend { address, shared, wake, task }
    }

    /// Statements of callers that ran on this server.
    pub fn ran(&self) -> Vec<String> {
        self.shared.lock().unwrap().ran.clone()
    }

    /// Number of the connection that ran a caller's statement last.
    pub fn last(&self) -> usize {
        self.shared.lock().unwrap().last
    }

    /// Stops the server, and closes its listener and connections.
    pub fn kill(&self) {
        self.task.abort();
    }
}

struct Session {
    number: usize,
    stream: TcpStream,
    buf: BytesMut,
    shared: Arc<Mutex<BackendState>>,
    wake: Arc<Notify>,
    status: u8,
    parsed: String,
}

fn put(out: &mut BytesMut, message: impl Message) {
    message.encode(out).unwrap();
}

impl Session {
    async fn serve(mut self) {
        // The proxy may close connections at any time.
        let _ = self.run().await;
    }

    async fn fill(&mut self, count: usize) -> std::io::Result<()> {
        while self.buf.len() < count {
            if self.stream.read_buf(&mut self.buf).await? == 0 {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(())
    }

    async fn start(&mut self) -> std::io::Result<bool> {
        self.fill(4).await?;
        let length = (&self.buf[..]).get_u32() as usize;
        self.fill(length).await?;
        let packet = self.buf.split_to(length);
        if (&packet[4..]).get_u32() == 80_877_102 {
            self.shared.lock().unwrap().cancels += 1;
            self.wake.notify_waiters();
            return Ok(false);
        }
        let mut out = BytesMut::new();
        put(&mut out, Authentication::CleartextPassword);
        self.stream.write_all(&out).await?;
        let (_, mut message) = self.message().await?;
        let password = Password::decode(&mut message, &DecodeContext::default()).unwrap().unwrap();
        let login = format!(
            "{} {}",
            String::from_utf8_lossy(&packet[8..]).replace('\0', " "),
            password.password
        );
        self.shared.lock().unwrap().logins.push(login);
        let mut out = BytesMut::new();
        put(&mut out, Authentication::Ok);
        put(&mut out, BackendKeyData::new(7, SecretKey::I32(9)));
        put(&mut out, ReadyForQuery::new(TransactionStatus::Idle));
        self.stream.write_all(&out).await?;
        Ok(true)
    }

    async fn message(&mut self) -> std::io::Result<(u8, BytesMut)> {
        self.fill(5).await?;
        let length = (&self.buf[1..]).get_u32() as usize + 1;
        self.fill(length).await?;
        let message = self.buf.split_to(length);
        Ok((message[0], message))
    }

    async fn run(&mut self) -> std::io::Result<()> {
        if !self.start().await? {
            return Ok(());
        }
        let mut out = BytesMut::new();
        let mut failed = false;
        loop {
            let (tag, mut message) = self.message().await?;
            let context = DecodeContext::default();
            match tag {
                b'Q' => {
                    let query = Query::decode(&mut message, &context).unwrap().unwrap().query;
                    self.execute(&query, &mut out, true).await?;
                    self.ready(&mut out);
                }
                b'P' if !failed => {
                    let parse = Parse::decode(&mut message, &context).unwrap().unwrap();
                    assert!(parse.name.is_none(), "a server connection holds no named statement");
                    self.parsed = parse.query;
                    out.put_slice(&[b'1', 0, 0, 0, 4]);
                }
                b'B' if !failed => out.put_slice(&[b'2', 0, 0, 0, 4]),
                b'D' if !failed => self.describe(message[5], &mut out),
                b'E' if !failed => {
                    let query = self.parsed.clone();
                    failed = !self.execute(&query, &mut out, false).await?;
                }
                b'C' if !failed => out.put_slice(&[b'3', 0, 0, 0, 4]),
                b'S' => {
                    failed = false;
                    self.ready(&mut out);
                }
                b'X' => return Ok(()),
                _ => {}
            }
            if matches!(tag, b'Q' | b'S') {
                self.stream.write_all(&out).await?;
                out.clear();
            }
        }
    }

    fn ready(&self, out: &mut BytesMut) {
        put(
            out,
            ReadyForQuery::new(match self.status {
                b'T' => TransactionStatus::Transaction,
                b'E' => TransactionStatus::Error,
                _ => TransactionStatus::Idle,
            }),
        );
    }

    fn describe(&self, target: u8, out: &mut BytesMut) {
        if target == b'S' {
            let count = self.parsed.matches('$').count();
            put(out, ParameterDescription::new(vec![25; count]));
        }
        if self.parsed.contains("select") {
            put(out, row_description());
        } else {
            put(out, NoData::new());
        }
    }

    async fn execute(
        &mut self,
        sql: &str,
        out: &mut BytesMut,
        simple: bool,
    ) -> std::io::Result<bool> {
        if self.internal(sql, out).await {
            return Ok(true);
        }
        {
            let mut shared = self.shared.lock().unwrap();
            shared.ran.push(sql.to_string());
            shared.last = self.number;
        }
        let text = sql.trim().to_lowercase();
        if text.contains("fails") {
            self.status = if self.status == b'I' { b'I' } else { b'E' };
            let fields = [(b'S', "ERROR"), (b'C', "22012"), (b'M', "division by zero")];
            put(
                out,
                ErrorResponse::new(fields.map(|(tag, text)| (tag, text.to_string())).to_vec()),
            );
            return Ok(false);
        }
        if text.contains("breaks") {
            return Err(std::io::ErrorKind::ConnectionReset.into());
        }
        if text.contains("hangs") {
            self.wake.notified().await;
        }
        if text.is_empty() {
            out.put_slice(&[b'I', 0, 0, 0, 4]);
            return Ok(true);
        }
        let tag = if text.starts_with("begin") || text.starts_with("start") {
            self.status = b'T';
            "BEGIN"
        } else if text.starts_with("commit") {
            self.status = b'I';
            self.write(out);
            "COMMIT"
        } else if text.starts_with("rollback") {
            self.status = b'I';
            "ROLLBACK"
        } else if text.contains("select") {
            if simple {
                put(out, row_description());
            }
            put(out, row(&["ok"]));
            "SELECT 1"
        } else {
            if self.status == b'I' && text.starts_with("insert") {
                self.write(out);
            }
            "INSERT 0 1"
        };
        put(out, CommandComplete::new(tag.into()));
        Ok(true)
    }

    fn write(&self, out: &mut BytesMut) {
        let mut shared = self.shared.lock().unwrap();
        shared.received += 1;
        shared.applied = shared.received;
        let position = format!("{}/{}", shared.term, shared.received);
        put(out, ParameterStatus::new("auburnlug.position".into(), position));
    }

    /// Answers a statement of the server interface; false if `sql` is none.
    async fn internal(&self, sql: &str, out: &mut BytesMut) -> bool {
        if !sql.contains("auburnlug.") || sql.starts_with("/*") {
            return false;
        }
        while self.shared.lock().unwrap().unresponsive {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let source = self.shared.lock().unwrap().follows.clone();
        if let Some(source) = source.filter(|_| sql.contains("status")) {
            let (received, last) = {
                let source = source.lock().unwrap();
                (source.received, source.last_term)
            };
            let mut shared = self.shared.lock().unwrap();
            (shared.received, shared.applied, shared.last_term) = (received, received, last);
        }
        let mut shared = self.shared.lock().unwrap();
        let number =
            || sql.chars().filter(char::is_ascii_digit).collect::<String>().parse().unwrap_or(0);
        if sql.contains("fence") {
            shared.term = shared.term.max(number());
            shared.follows = None;
        } else if sql.contains("promote") {
            let term = number();
            (shared.primary, shared.term, shared.last_term) = (true, term, term);
            shared.received += 1;
            shared.applied = shared.received;
        } else if sql.contains("follow") {
            let term = sql.split(['(', ',']).nth(1).and_then(|term| term.trim().parse().ok());
            let term = term.unwrap_or(0);
            shared.primary = false;
            shared.term = shared.term.max(term);
            // A replica that follows an unreachable primary receives nothing from it.
            if term > shared.last_term
                && let Some(source) = shared.source_after_follow.take()
            {
                (shared.upstream, shared.follows) = (0, Some(source));
            }
        }
        let role = if shared.primary { "primary" } else { "replica" };
        let values =
            [shared.term, shared.received, shared.applied, shared.last_term, shared.upstream];
        let [term, received, applied, last, upstream] = values.map(|value| value.to_string());
        put(out, row(&[&term, role, &received, &applied, &last, &upstream]));
        put(out, CommandComplete::new("SHOW".into()));
        true
    }
}

fn row_description() -> RowDescription {
    RowDescription::new(vec![FieldDescription::new("v".into(), 0, 0, 25, -1, -1, 0)])
}

fn row(values: &[&str]) -> DataRow {
    let mut data = BytesMut::new();
    for value in values {
        data.put_i32(value.len() as i32);
        data.put_slice(value.as_bytes());
    }
    DataRow::new(data, values.len() as i16)
}

/// Converts without copying, for tests that build messages.
pub fn bytes(data: BytesMut) -> Bytes {
    data.freeze()
}
