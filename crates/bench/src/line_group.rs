//! Stand-ins for a database group whose servers speak the line protocol and for the external
//! authority that promotes them.
//!
//! The servers of a group share one in-memory log; a replica sees each commit after its
//! replication lag. Executed statements are recorded for tests to check. The code shares nothing
//! with the protocol adapter, so that a bug in the codec of the adapter cannot cancel out.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use axum::{
    Router,
    extract::State,
    http::{HeaderMap, StatusCode},
    routing::post,
};
use serde::Deserialize;
use tokio::{
    io::{AsyncBufReadExt, AsyncWriteExt, BufReader},
    net::{TcpListener, TcpStream},
    sync::watch,
    time::sleep,
};

/// Service time of a statement.
const STATEMENT_TIME: Duration = Duration::from_millis(1);

/// Time that the authority takes to promote a server.
const PROMOTION_TIME: Duration = Duration::from_millis(50);

/// A statement that a server ran.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExecutedStatement {
    /// Server.
    pub server: String,
    /// Account that the connection was opened for.
    pub account: String,
    /// Request id.
    pub id: String,
    /// Statement text without its `AFTER` prefix.
    pub text: String,
}

/// A group of stand-in servers.
#[derive(Debug)]
pub struct LineGroup {
    /// Name of the group.
    pub name: String,
    state: Mutex<GroupState>,
}

#[derive(Debug)]
struct GroupState {
    term: u64,
    primary: String,
    commits: Vec<Commit>,
    servers: BTreeMap<String, Member>,
    executed_statements: Vec<ExecutedStatement>,
    promotion_delay: Duration,
    orders: Vec<Order>,
    server_orders: Vec<ServerOrder>,
}

/// An order of promotion that the authority received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// Server to promote.
    pub server: String,
    /// Instance that sent the order.
    pub holder: String,
    /// Fencing token of the order.
    pub token: u64,
}

/// A pause, resumption or demotion that a server received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerOrder {
    /// Server.
    pub server: String,
    /// Instance that sent the order.
    pub sender: String,
    /// Text of the order.
    pub text: String,
}

#[derive(Debug)]
struct Commit {
    at: Instant,
    writes: Vec<(String, String)>,
}

#[derive(Debug)]
struct Member {
    lag: Duration,
    /// Number of commits received when replication was paused.
    paused: Option<usize>,
    /// Whether it refuses control calls for lack of a slot.
    busy: bool,
    alive: watch::Sender<bool>,
}

/// State of one connection.
#[derive(Debug, Default)]
struct Session {
    account: String,
    open: bool,
    failed: bool,
    writes: Vec<(String, String)>,
    prepared: BTreeMap<String, (bool, String)>,
}

impl LineGroup {
    /// Creates a group without servers; the first server added becomes the primary of term 1.
    pub fn new(name: &str) -> Arc<LineGroup> {
        let state = GroupState {
            term: 1,
            primary: String::new(),
            commits: Vec::new(),
            servers: BTreeMap::new(),
            executed_statements: Vec::new(),
            promotion_delay: Duration::ZERO,
            orders: Vec::new(),
            server_orders: Vec::new(),
        };
        Arc::new(LineGroup { name: name.into(), state: Mutex::new(state) })
    }

    fn state(&self) -> MutexGuard<'_, GroupState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts a server on `address`.
    ///
    /// # Errors
    ///
    /// The address cannot be used.
    pub async fn add(self: &Arc<Self>, id: &str, address: SocketAddr) -> std::io::Result<()> {
        let listener = TcpListener::bind(address).await?;
        let (alive, mut alive_changes) = watch::channel(true);
        {
            let mut state = self.state();
            // A server that returns while the primary is demoted waits for a promotion.
            if state.primary.is_empty() && state.servers.is_empty() {
                state.primary = id.into();
            }
            let member = Member { lag: Duration::ZERO, paused: None, busy: false, alive };
            state.servers.insert(id.into(), member);
        }
        let (group, id) = (self.clone(), id.to_owned());
        tokio::spawn(async move {
            loop {
                tokio::select! {
                    accepted = listener.accept() => {
                        let Ok((stream, _)) = accepted else { continue };
                        let (group, id) = (group.clone(), id.clone());
                        let mut alive_changes = alive_changes.clone();
                        tokio::spawn(async move {
                            tokio::select! {
                                _ = group.serve(&id, stream) => {}
                                _ = alive_changes.changed() => {}
                            }
                        });
                    }
                    _ = alive_changes.changed() => return,
                }
            }
        });
        Ok(())
    }

    /// Stops a server: closes its connections and its listener.
    pub fn kill(&self, id: &str) {
        let mut state = self.state();
        if let Some(member) = state.servers.remove(id) {
            let _ = member.alive.send(false);
        }
    }

    /// Sets the replication lag of a replica.
    pub fn set_lag(&self, id: &str, lag: Duration) {
        if let Some(member) = self.state().servers.get_mut(id) {
            member.lag = lag;
        }
    }

    /// Makes a replica receive nothing, or receive again.
    pub fn set_deaf(&self, id: &str, deaf: bool) {
        let mut state = self.state();
        let received = state.commits.len();
        if let Some(member) = state.servers.get_mut(id) {
            member.paused = deaf.then_some(received);
        }
    }

    /// Makes a server refuse control calls, as one without a free slot does.
    pub fn set_busy(&self, id: &str, busy: bool) {
        if let Some(member) = self.state().servers.get_mut(id) {
            member.busy = busy;
        }
    }

    /// Sets the time between the answer to an order of promotion and its effect.
    pub fn set_promotion_delay(&self, delay: Duration) {
        self.state().promotion_delay = delay;
    }

    /// Orders of promotion that the authority received.
    pub fn orders(&self) -> Vec<Order> {
        self.state().orders.clone()
    }

    /// Pauses, resumptions and demotions that servers received.
    pub fn server_orders(&self) -> Vec<ServerOrder> {
        self.state().server_orders.clone()
    }

    /// Id of the primary.
    pub fn primary(&self) -> String {
        self.state().primary.clone()
    }

    /// Keys and data of all committed writes, in order.
    pub fn committed_writes(&self) -> Vec<(String, String)> {
        let state = self.state();
        state.commits.iter().flat_map(|commit| commit.writes.clone()).collect()
    }

    /// Whether a server runs.
    pub fn is_running(&self, id: &str) -> bool {
        self.state().servers.contains_key(id)
    }

    /// Executed statements.
    pub fn executed_statements(&self) -> Vec<ExecutedStatement> {
        self.state().executed_statements.clone()
    }

    /// Accepts an order of promotion, which takes effect after the delay that is set; `false` if the
    /// server is not running.
    fn order_promotion(self: &Arc<Self>, order: Order) -> bool {
        let (delay, running) = {
            let mut state = self.state();
            state.orders.push(order.clone());
            (state.promotion_delay, state.servers.contains_key(&order.server))
        };
        if delay.is_zero() || !running {
            return self.promote(&order.server);
        }
        let group = self.clone();
        tokio::spawn(async move {
            sleep(delay).await;
            group.promote(&order.server);
        });
        true
    }

    /// Promotes a server; `false` if the server is not running.
    pub fn promote(&self, id: &str) -> bool {
        let mut state = self.state();
        let Some(member) = state.servers.get(id) else { return false };
        if state.primary == id {
            return true;
        }
        let retained = member.paused.unwrap_or(state.commits.len());
        state.commits.truncate(retained);
        state.term += 1;
        state.primary = id.into();
        for member in state.servers.values_mut() {
            member.paused = None;
        }
        true
    }

    async fn serve(&self, id: &str, stream: TcpStream) -> std::io::Result<()> {
        let (read, mut write) = stream.into_split();
        let mut lines = BufReader::new(read).lines();
        let mut session = Session::default();
        let Some(first) = lines.next_line().await? else { return Ok(()) };
        let words: Vec<&str> = first.split(' ').collect();
        match words[..] {
            ["START", group, account, server] if group == self.name && server == id => {
                session.account = account.into();
                write.write_all(b"READY I -\r\n").await?;
            }
            _ => return write.write_all(b"ERR MISROUTED wrong server\r\n").await,
        }
        while let Some(line) = lines.next_line().await? {
            let Some(rest) = line.strip_prefix("QUERY ") else { return Ok(()) };
            let (request, text) = rest.split_once(' ').unwrap_or((rest, ""));
            match self.answer(id, &mut session, request, text) {
                Some(answer) => {
                    sleep(STATEMENT_TIME).await;
                    write.write_all(answer.as_bytes()).await?;
                }
                None => std::future::pending().await,
            }
        }
        Ok(())
    }

    /// Response to a statement; `None` if no response is ever sent.
    fn answer(&self, id: &str, session: &mut Session, request: &str, text: &str) -> Option<String> {
        let mut state = self.state();
        let visible = state.visible(id, state.primary == id);
        let position = format!("{}.{visible}", state.term);
        let context = StatementContext { id, request, visible, position };
        let Some(text) = strip_required_position(text, visible) else {
            return Some(context.refuse(session, "LAGGING"));
        };
        if request != "-" {
            state.executed_statements.push(ExecutedStatement {
                server: id.into(),
                account: session.account.clone(),
                id: request.into(),
                text: text.into(),
            });
        }
        let words: Vec<&str> = text.splitn(4, ' ').collect();
        match words[0] {
            "STATUS" | "PAUSE" | "RESUME" | "DEMOTE"
                if state.servers.get(id).is_some_and(|member| member.busy) =>
            {
                Some(context.refuse(session, "BUSY"))
            }
            "STATUS" | "PAUSE" | "RESUME" | "DEMOTE" => {
                state.apply_control(id, &words);
                if words[0] != "STATUS" {
                    let (server, sender) = (id.into(), session.account.clone());
                    state.server_orders.push(ServerOrder { server, sender, text: text.into() });
                }
                let role = if state.primary == id { "primary" } else { "replica" };
                let row = format!("ROW {role} {} {} 0 0 0 1\r\n", state.term, context.position);
                Some(context.done(session, &row))
            }
            "BEGIN" | "ROLLBACK" | "COMMIT" => state.run_transaction(&context, session, &words),
            "SET" | "RESET" | "PREPARE" => Some(context.prepare(session, &words)),
            _ => state.run(&context, session, text, &words),
        }
    }
}

/// Strips the required position from a statement; `None` if the server has not applied it.
fn strip_required_position(text: &str, visible: usize) -> Option<&str> {
    let Some(rest) = text.strip_prefix("AFTER ") else { return Some(text) };
    let (position, rest) = rest.split_once(' ')?;
    let (_, number) = position.split_once('.')?;
    (number.parse::<usize>().ok()? <= visible).then_some(rest)
}

/// Context of the statement that is being answered.
struct StatementContext<'a> {
    id: &'a str,
    request: &'a str,
    /// Number of commits visible at the server.
    visible: usize,
    position: String,
}

impl StatementContext<'_> {
    fn done(&self, session: &Session, rows: &str) -> String {
        self.done_at(session, rows, &self.position)
    }

    fn done_at(&self, session: &Session, rows: &str, position: &str) -> String {
        let StatementContext { id, request, .. } = self;
        format!("{rows}DONE s.{id}.{request}\r\nREADY {} {position}\r\n", session.state())
    }

    fn refuse(&self, session: &mut Session, code: &str) -> String {
        session.failed = session.open;
        format!("ERR {code} {}\r\nREADY {} {}\r\n", self.id, session.state(), self.position)
    }

    fn prepare(&self, session: &mut Session, words: &[&str]) -> String {
        match *words {
            ["RESET"] => session.prepared.clear(),
            ["PREPARE", name, kind, shape] => {
                session.prepared.insert(name.into(), (kind == "WRITE", shape.into()));
            }
            _ => {}
        }
        self.done(session, "")
    }
}

impl GroupState {
    /// Number of commits visible at a server.
    fn visible(&self, id: &str, is_primary: bool) -> usize {
        let Some(member) = self.servers.get(id).filter(|_| !is_primary) else {
            return self.commits.len();
        };
        let old = self.commits.iter().take_while(|commit| commit.at.elapsed() >= member.lag);
        old.count().min(member.paused.unwrap_or(usize::MAX))
    }

    fn apply_control(&mut self, id: &str, words: &[&str]) {
        let term = words.get(1).and_then(|term| term.parse::<u64>().ok()).unwrap_or(0);
        let received = self.commits.len();
        let newer = term > self.term;
        match words[0] {
            "PAUSE" if newer => {
                if let Some(member) = self.servers.get_mut(id) {
                    member.paused.get_or_insert(received);
                }
            }
            "RESUME" => {
                if let Some(member) = self.servers.get_mut(id) {
                    member.paused = None;
                }
            }
            "DEMOTE" if newer && self.primary == id => self.primary.clear(),
            _ => {}
        }
    }

    fn run_transaction(
        &mut self,
        context: &StatementContext<'_>,
        session: &mut Session,
        words: &[&str],
    ) -> Option<String> {
        let is_primary = self.primary == context.id;
        match *words {
            ["BEGIN"] if !is_primary => Some(context.refuse(session, "READONLY")),
            ["BEGIN", ..] => {
                session.open = true;
                Some(context.done(session, ""))
            }
            ["COMMIT"] => {
                let writes = std::mem::take(&mut session.writes);
                session.end_transaction();
                match (writes.is_empty(), is_primary) {
                    (true, _) => Some(context.done(session, "")),
                    (false, false) => Some(context.refuse(session, "READONLY")),
                    (false, true) => self.commit(context, session, writes),
                }
            }
            _ => {
                session.end_transaction();
                Some(context.done(session, ""))
            }
        }
    }

    fn run(
        &mut self,
        context: &StatementContext<'_>,
        session: &mut Session,
        text: &str,
        words: &[&str],
    ) -> Option<String> {
        match *words {
            ["EXECUTE", name, key] if session.prepared.contains_key(name) => {
                let row = format!("ROW {}\r\n", self.value(context.visible, key));
                Some(context.done(session, &row))
            }
            ["READ", key] => {
                let row = format!("ROW {}\r\n", self.value(context.visible, key));
                Some(context.done(session, &row))
            }
            ["WRITE", ..] if self.primary != context.id => {
                Some(context.refuse(session, "READONLY"))
            }
            ["WRITE", key, ..] => {
                let data = text.splitn(3, ' ').nth(2).unwrap_or("");
                let write = (key.to_owned(), data.to_owned());
                if session.open {
                    session.writes.push(write);
                    return Some(context.done(session, ""));
                }
                self.commit(context, session, vec![write])
            }
            _ => Some(context.refuse(session, "MALFORMED")),
        }
    }

    /// Commits a transaction. Without a replica that receives it there is no response, as commits
    /// are synchronous.
    fn commit(
        &mut self,
        context: &StatementContext<'_>,
        session: &Session,
        writes: Vec<(String, String)>,
    ) -> Option<String> {
        let replicates =
            |(id, member): (&String, &Member)| *id != self.primary && member.paused.is_none();
        if !self.servers.iter().any(replicates) {
            return None;
        }
        self.commits.push(Commit { at: Instant::now(), writes });
        let position = format!("{}.{}", self.term, self.commits.len());
        Some(context.done_at(session, "", &position))
    }

    fn value(&self, visible: usize, key: &str) -> String {
        let writes =
            self.commits[..visible].iter().rev().flat_map(|commit| commit.writes.iter().rev());
        let mut found = writes.filter(|(written, _)| written == key).map(|(_, data)| data.clone());
        found.next().unwrap_or_else(|| "none".into())
    }
}

impl Session {
    fn state(&self) -> &'static str {
        match (self.open, self.failed) {
            (_, true) => "E",
            (true, _) => "T",
            _ => "I",
        }
    }

    fn end_transaction(&mut self) {
        (self.open, self.failed) = (false, false);
        self.writes.clear();
    }
}

#[derive(Debug, Deserialize)]
struct Promotion {
    service: String,
    id: String,
}

/// Serves the HTTP API of the authority that promotes servers of `groups`.
///
/// # Errors
///
/// The address cannot be used.
pub async fn serve_authority(
    address: SocketAddr,
    groups: Vec<Arc<LineGroup>>,
) -> std::io::Result<()> {
    let promote = |State(groups): State<Vec<Arc<LineGroup>>>, headers: HeaderMap, body: String| async move {
        let Ok(Promotion { service, id }) = serde_json::from_str(&body) else {
            return StatusCode::BAD_REQUEST;
        };
        let header = |name: &str| headers.get(name).and_then(|text| text.to_str().ok());
        let holder = header("auburnlug-lease-holder").unwrap_or_default().to_owned();
        let token = header("auburnlug-fencing-token").and_then(|token| token.parse().ok());
        let order = Order { server: id, holder, token: token.unwrap_or_default() };
        let Some(group) = groups.iter().find(|group| group.name == service).cloned() else {
            return StatusCode::NOT_FOUND;
        };
        // An order that was received is carried out, also if its sender does not wait for the answer.
        let promotion = tokio::spawn(async move {
            sleep(PROMOTION_TIME).await;
            group.order_promotion(order)
        });
        if promotion.await.unwrap_or(false) { StatusCode::OK } else { StatusCode::CONFLICT }
    };
    let router = Router::new().route("/promotion", post(promote)).with_state(groups);
    let listener = TcpListener::bind(address).await?;
    tokio::spawn(async move {
        let _ = axum::serve(listener, router).await;
    });
    Ok(())
}
