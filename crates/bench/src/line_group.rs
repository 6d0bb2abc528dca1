//! Stand-in for a group of servers that speak the line protocol, and for the authority that
//! promotes them.
//!
//! The servers of a group share one log in memory; a replica sees each commit after its lag. What
//! the servers were asked is recorded, so that a test can check it. Nothing here is shared with the
//! adapter, so that a fault of its codec shows.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use axum::{Router, extract::State, http::StatusCode, routing::post};
use serde::Deserialize;
use tokio::{
    io::{AsyncBufReadExt, AsyncWriteExt, BufReader},
    net::{TcpListener, TcpStream},
    sync::watch,
    time::sleep,
};

/// Time that a statement takes, in milliseconds.
const WORK: Duration = Duration::from_millis(1);

/// Time that a promoted server takes to lead, in milliseconds.
const PROMOTE: Duration = Duration::from_millis(50);

/// A statement that a server ran.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ran {
    /// Server.
    pub server: String,
    /// Account that the connection was opened for.
    pub account: String,
    /// Identity of the request.
    pub id: String,
    /// Text, without the position in front of it.
    pub text: String,
}

/// A group of stand-in servers.
#[derive(Debug)]
pub struct LineGroup {
    /// Name of the group.
    pub name: String,
    state: Mutex<GroupLog>,
}

#[derive(Debug)]
struct GroupLog {
    term: u64,
    primary: String,
    commits: Vec<Commit>,
    servers: BTreeMap<String, Member>,
    ran: Vec<Ran>,
}

#[derive(Debug)]
struct Commit {
    at: Instant,
    writes: Vec<(String, String)>,
}

#[derive(Debug)]
struct Member {
    lag: Duration,
    /// Commits received when it was paused.
    paused: Option<usize>,
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
    /// A group without servers; the first one added leads term 1.
    pub fn new(name: &str) -> Arc<LineGroup> {
        let state = GroupLog {
            term: 1,
            primary: String::new(),
            commits: Vec::new(),
            servers: BTreeMap::new(),
            ran: Vec::new(),
        };
        Arc::new(LineGroup { name: name.into(), state: Mutex::new(state) })
    }

    fn state(&self) -> MutexGuard<'_, GroupLog> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts a server on `address`.
    ///
    /// # Errors
    ///
    /// The address cannot be used.
    pub async fn add(self: &Arc<Self>, id: &str, address: SocketAddr) -> std::io::Result<()> {
        let listener = TcpListener::bind(address).await?;
        let (alive, mut living) = watch::channel(true);
        {
            let mut state = self.state();
            if state.primary.is_empty() {
                state.primary = id.into();
            }
            let member = Member { lag: Duration::ZERO, paused: None, alive };
            state.servers.insert(id.into(), member);
        }
        let (group, id) = (self.clone(), id.to_owned());
        tokio::spawn(async move {
            loop {
                tokio::select! {
                    accepted = listener.accept() => {
                        let Ok((stream, _)) = accepted else { continue };
                        let (group, id) = (group.clone(), id.clone());
                        let mut living = living.clone();
                        tokio::spawn(async move {
                            tokio::select! {
                                _ = group.serve(&id, stream) => {}
                                _ = living.changed() => {}
                            }
                        });
                    }
                    _ = living.changed() => return,
                }
            }
        });
        Ok(())
    }

    /// Ends a server: its connections break and its port refuses.
    pub fn kill(&self, id: &str) {
        let mut state = self.state();
        if let Some(member) = state.servers.remove(id) {
            let _ = member.alive.send(false);
        }
    }

    /// Makes a replica see commits later.
    pub fn set_lag(&self, id: &str, lag: Duration) {
        if let Some(member) = self.state().servers.get_mut(id) {
            member.lag = lag;
        }
    }

    /// Server that leads.
    pub fn primary(&self) -> String {
        self.state().primary.clone()
    }

    /// Statements that ran.
    pub fn ran(&self) -> Vec<Ran> {
        self.state().ran.clone()
    }

    /// Promotes a server; false if it does not run.
    pub fn promote(&self, id: &str) -> bool {
        let mut state = self.state();
        let Some(member) = state.servers.get(id) else { return false };
        if state.primary == id {
            return true;
        }
        let kept = member.paused.unwrap_or(state.commits.len());
        state.commits.truncate(kept);
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
                    sleep(WORK).await;
                    write.write_all(answer.as_bytes()).await?;
                }
                None => std::future::pending().await,
            }
        }
        Ok(())
    }

    /// Answer to a statement; `None` if it is never sent.
    fn answer(&self, id: &str, session: &mut Session, request: &str, text: &str) -> Option<String> {
        let mut state = self.state();
        let seen = state.seen(id, state.primary == id);
        let position = format!("{}.{seen}", state.term);
        let asked = Asked { id, request, seen, position };
        let Some(text) = after(text, seen) else {
            return Some(asked.refuse(session, "LAGGING"));
        };
        if request != "-" {
            state.ran.push(Ran {
                server: id.into(),
                account: session.account.clone(),
                id: request.into(),
                text: text.into(),
            });
        }
        let words: Vec<&str> = text.splitn(4, ' ').collect();
        match words[0] {
            "STATUS" | "PAUSE" | "RESUME" | "DEMOTE" => {
                state.control(id, &words);
                let role = if state.primary == id { "primary" } else { "replica" };
                let row = format!("ROW {role} {} {} 0 0 0 1\r\n", state.term, asked.position);
                Some(asked.done(session, &row))
            }
            "BEGIN" | "ROLLBACK" | "COMMIT" => state.transact(&asked, session, &words),
            "SET" | "RESET" | "PREPARE" => Some(asked.prepare(session, &words)),
            _ => state.run(&asked, session, text, &words),
        }
    }
}

/// Text behind a position that the log has; `None` if it lacks it.
fn after(text: &str, seen: usize) -> Option<&str> {
    let Some(rest) = text.strip_prefix("AFTER ") else { return Some(text) };
    let (position, rest) = rest.split_once(' ')?;
    let (_, number) = position.split_once('.')?;
    (number.parse::<usize>().ok()? <= seen).then_some(rest)
}

/// A statement that is being answered.
struct Asked<'a> {
    id: &'a str,
    request: &'a str,
    /// Commits that the server sees.
    seen: usize,
    position: String,
}

impl Asked<'_> {
    fn done(&self, session: &Session, rows: &str) -> String {
        self.done_at(session, rows, &self.position)
    }

    fn done_at(&self, session: &Session, rows: &str, position: &str) -> String {
        let Asked { id, request, .. } = self;
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

impl GroupLog {
    /// Commits that a server sees.
    fn seen(&self, id: &str, leads: bool) -> usize {
        let Some(member) = self.servers.get(id).filter(|_| !leads) else {
            return self.commits.len();
        };
        let old = self.commits.iter().take_while(|commit| commit.at.elapsed() >= member.lag);
        old.count().min(member.paused.unwrap_or(usize::MAX))
    }

    fn control(&mut self, id: &str, words: &[&str]) {
        let term = words.get(1).and_then(|term| term.parse::<u64>().ok()).unwrap_or(0);
        let received = self.commits.len();
        let above = term > self.term;
        match words[0] {
            "PAUSE" if above => {
                if let Some(member) = self.servers.get_mut(id) {
                    member.paused.get_or_insert(received);
                }
            }
            "RESUME" => {
                if let Some(member) = self.servers.get_mut(id) {
                    member.paused = None;
                }
            }
            "DEMOTE" if above && self.primary == id => self.primary.clear(),
            _ => {}
        }
    }

    fn transact(
        &mut self,
        asked: &Asked<'_>,
        session: &mut Session,
        words: &[&str],
    ) -> Option<String> {
        let leads = self.primary == asked.id;
        match *words {
            ["BEGIN"] if !leads => Some(asked.refuse(session, "READONLY")),
            ["BEGIN", ..] => {
                session.open = true;
                Some(asked.done(session, ""))
            }
            ["COMMIT"] => {
                let writes = std::mem::take(&mut session.writes);
                session.end();
                match (writes.is_empty(), leads) {
                    (true, _) => Some(asked.done(session, "")),
                    (false, false) => Some(asked.refuse(session, "READONLY")),
                    (false, true) => self.commit(asked, session, writes),
                }
            }
            _ => {
                session.end();
                Some(asked.done(session, ""))
            }
        }
    }

    fn run(
        &mut self,
        asked: &Asked<'_>,
        session: &mut Session,
        text: &str,
        words: &[&str],
    ) -> Option<String> {
        match *words {
            ["EXECUTE", name, item] if session.prepared.contains_key(name) => {
                let row = format!("ROW {}\r\n", self.value(asked.seen, item));
                Some(asked.done(session, &row))
            }
            ["READ", item] => {
                let row = format!("ROW {}\r\n", self.value(asked.seen, item));
                Some(asked.done(session, &row))
            }
            ["WRITE", ..] if self.primary != asked.id => Some(asked.refuse(session, "READONLY")),
            ["WRITE", item, ..] => {
                let data = text.splitn(3, ' ').nth(2).unwrap_or("");
                let write = (item.to_owned(), data.to_owned());
                if session.open {
                    session.writes.push(write);
                    return Some(asked.done(session, ""));
                }
                self.commit(asked, session, vec![write])
            }
            _ => Some(asked.refuse(session, "MALFORMED")),
        }
    }

    /// Commits, unless no replica receives it: then there is no answer.
    fn commit(
        &mut self,
        asked: &Asked<'_>,
        session: &Session,
        writes: Vec<(String, String)>,
    ) -> Option<String> {
        let receives =
            |(id, member): (&String, &Member)| *id != self.primary && member.paused.is_none();
        if !self.servers.iter().any(receives) {
            return None;
        }
        self.commits.push(Commit { at: Instant::now(), writes });
        let position = format!("{}.{}", self.term, self.commits.len());
        Some(asked.done_at(session, "", &position))
    }

    fn value(&self, seen: usize, item: &str) -> String {
        let writes =
            self.commits[..seen].iter().rev().flat_map(|commit| commit.writes.iter().rev());
        let mut found = writes.filter(|(key, _)| key == item).map(|(_, data)| data.clone());
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

    fn end(&mut self) {
        (self.open, self.failed) = (false, false);
        self.writes.clear();
    }
}

#[derive(Debug, Deserialize)]
struct Promotion {
    service: String,
    id: String,
}

/// Serves the authority that promotes servers of `groups`.
///
/// # Errors
///
/// The address cannot be used.
pub async fn serve_authority(
    address: SocketAddr,
    groups: Vec<Arc<LineGroup>>,
) -> std::io::Result<()> {
    let promote = |State(groups): State<Vec<Arc<LineGroup>>>, body: String| async move {
        let Ok(order) = serde_json::from_str::<Promotion>(&body) else {
            return StatusCode::BAD_REQUEST;
        };
        sleep(PROMOTE).await;
        let group = groups.iter().find(|group| group.name == order.service);
        match group.map(|group| group.promote(&order.id)) {
            Some(true) => StatusCode::OK,
            Some(false) => StatusCode::CONFLICT,
            None => StatusCode::NOT_FOUND,
        }
    };
    let router = Router::new().route("/promotion", post(promote)).with_state(groups);
    let listener = TcpListener::bind(address).await?;
    tokio::spawn(async move {
        let _ = axum::serve(listener, router).await;
    });
    Ok(())
}
