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

/// Time for which a refused commit is retried before the connection is given up, in milliseconds.
const COMMIT_WAIT: Duration = Duration::from_millis(20);

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
    read_only: bool,
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
            let (answer, wait) = self.answer(id, &mut session, request, text);
            if wait {
                // No replica receives the commit: the primary does not answer.
                std::future::pending::<()>().await;
            }
            sleep(COMMIT_WAIT / 20).await;
            write.write_all(answer.as_bytes()).await?;
        }
        Ok(())
    }

    /// Answer to a statement, and whether it is never sent.
    fn answer(&self, id: &str, session: &mut Session, request: &str, text: &str) -> (String, bool) {
        let mut state = self.state();
        let leads = state.primary == id;
        let seen = state.seen(id, leads);
        let position = format!("{}.{seen}", state.term);
        let mut text = text;
        if let Some(rest) = text.strip_prefix("AFTER ") {
            let (after, rest) = rest.split_once(' ').unwrap_or((rest, ""));
            let wanted = after.split_once('.').and_then(|(_, number)| number.parse::<usize>().ok());
            if wanted.is_none_or(|wanted| wanted > seen) {
                return (format!("ERR LAGGING {id}\r\nREADY {} {position}\r\n", session.state()), false);
            }
            text = rest;
        }
        if request != "-" {
            state.ran.push(Ran {
                server: id.into(),
                account: session.account.clone(),
                id: request.into(),
                text: text.into(),
            });
        }
        let words: Vec<&str> = text.splitn(4, ' ').collect();
        let done = |session: &Session, rows: &str, position: &str| {
            (format!("{rows}DONE s.{id}.{request}\r\nREADY {} {position}\r\n", session.state()), false)
        };
        let refuse = |session: &mut Session, code: &str, position: &str| {
            session.failed = session.open;
            (format!("ERR {code} {id}\r\nREADY {} {position}\r\n", session.state()), false)
        };
        match words[..] {
            ["STATUS"] | ["PAUSE" | "DEMOTE", _] | ["RESUME"] => {
                state.control(id, &words);
                let role = if state.primary == id { "primary" } else { "replica" };
                let row = format!("ROW {role} {} {position} 0 0 0 1\r\n", state.term);
                done(session, &row, &position)
            }
            ["BEGIN"] if !leads => refuse(session, "READONLY", &position),
            ["BEGIN"] | ["BEGIN", "READ"] => {
                session.open = true;
                session.read_only = words.len() > 1;
                done(session, "", &position)
            }
            ["ROLLBACK"] => {
                session.end();
                done(session, "", &position)
            }
            ["COMMIT"] => {
                let writes = std::mem::take(&mut session.writes);
                session.end();
                if writes.is_empty() {
                    return done(session, "", &position);
                }
                if !leads {
                    return refuse(session, "READONLY", &position);
                }
                state.commit(session, writes, done)
            }
            ["SET", ..] | ["RESET"] => {
                if words[0] == "RESET" {
                    session.prepared.clear();
                }
                done(session, "", &position)
            }
            ["PREPARE", name, kind, shape] => {
                session.prepared.insert(name.into(), (kind == "WRITE", shape.into()));
                done(session, "", &position)
            }
            ["EXECUTE", name, item] if session.prepared.contains_key(name) => {
                let row = format!("ROW {}\r\n", state.value(seen, item));
                done(session, &row, &position)
            }
            ["READ", item] => {
                let row = format!("ROW {}\r\n", state.value(seen, item));
                done(session, &row, &position)
            }
            ["WRITE", ..] if !leads => refuse(session, "READONLY", &position),
            ["WRITE", item, ..] => {
                let data = text.splitn(3, ' ').nth(2).unwrap_or("");
                let write = (item.to_owned(), data.to_owned());
                if session.open {
                    session.writes.push(write);
                    return done(session, "", &position);
                }
                state.commit(session, vec![write], done)
            }
            _ => refuse(session, "MALFORMED", &position),
        }
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

    fn commit(
        &mut self,
        session: &Session,
        writes: Vec<(String, String)>,
        done: impl Fn(&Session, &str, &str) -> (String, bool),
    ) -> (String, bool) {
        let received = |(id, member): (&String, &Member)| *id != self.primary && member.paused.is_none();
        if !self.servers.iter().any(received) {
            return (String::new(), true);
        }
        self.commits.push(Commit { at: Instant::now(), writes });
        done(session, "", &format!("{}.{}", self.term, self.commits.len()))
    }

    fn value(&self, seen: usize, item: &str) -> String {
        let writes = self.commits[..seen].iter().rev().flat_map(|commit| commit.writes.iter().rev());
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
        (self.open, self.failed, self.read_only) = (false, false, false);
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
