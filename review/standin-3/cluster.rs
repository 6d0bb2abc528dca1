//! Database services with their servers, which speak the line protocol, and the platform that
//! promotes them.
//!
//! Each server has a log of its own. A commit is acknowledged once one replica has received it. A
//! replica receives what it lacks from the primary unless it is paused or receives nothing for a
//! while; a promoted server leads with what it had received, and the others are rolled back to it.

use std::{
    collections::BTreeMap,
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{http, record::Record};

/// Time that a read, write or commit takes.
const WORK: Duration = Duration::from_millis(6);

/// Time after which a replica has applied what it received.
const APPLY_DELAY: Duration = Duration::from_millis(60);

/// Time from the answer to an order of promotion until the server leads.
const PROMOTE_TIME: Duration = Duration::from_millis(300);

/// Time after which a former primary that reaches the new one is a replica.
const FORMER_TIME: Duration = Duration::from_millis(1_000);

/// Interval of heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

const MAX_LINE: usize = 1 << 20;

/// A write that was committed.
#[derive(Debug)]
pub struct Commit {
    /// Identity of the request that committed it.
    pub id: String,
    writes: Vec<(String, String)>,
}

struct Server {
    address: SocketAddr,
    zone: String,
    born: u64,
    alive: bool,
    leads: bool,
    term: u64,
    log: Vec<(Arc<Commit>, Instant)>,
    /// Term of the last pause; it receives nothing from primaries of lower terms.
    paused: u64,
    /// Whether it receives nothing for a while.
    deaf: bool,
    connections: usize,
}

struct Service {
    max_connections: usize,
    term: u64,
    promoted_at: Instant,
    servers: BTreeMap<String, Server>,
}

/// What a promoted server lacks of what clients were told is done.
#[derive(Debug, Clone)]
pub struct Promotion {
    pub service: String,
    pub server: String,
    pub term: u64,
    /// Ids of all commits in the log with which it leads.
    pub log: Vec<String>,
    pub at: u64,
}

pub struct Cluster {
    state: Mutex<State>,
    changed: Condvar,
    record: Record,
    control: Vec<SocketAddr>,
}

struct State {
    services: BTreeMap<String, Service>,
    promotions: Vec<Promotion>,
    ended: bool,
}

struct Session {
    service: String,
    server: String,
    open: bool,
    failed: bool,
    writes: Vec<(String, String)>,
    prepared: BTreeMap<String, (bool, String)>,
}

impl Cluster {
    pub fn new(record: Record, control: Vec<SocketAddr>) -> Arc<Cluster> {
        let state = State { services: BTreeMap::new(), promotions: Vec::new(), ended: false };
        let (state, changed) = (Mutex::new(state), Condvar::new());
        let cluster = Arc::new(Cluster { state, changed, record, control });
        let pump = cluster.clone();
        thread::spawn(move || {
            while !pump.state().ended {
                pump.replicate();
                thread::sleep(Duration::from_millis(10));
            }
        });
        cluster
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// Adds a service; the first of its servers leads term 1.
    pub fn add_service(
        self: &Arc<Self>,
        name: &str,
        max_connections: usize,
        servers: &[(&str, SocketAddr, &str)],
    ) -> std::io::Result<()> {
        let mut listeners = Vec::new();
        let mut members = BTreeMap::new();
        for (index, (id, address, zone)) in servers.iter().enumerate() {
            listeners.push((id.to_string(), TcpListener::bind(address)?));
            let server = Server {
                address: *address,
                zone: zone.to_string(),
                born: unix_millis(),
                alive: true,
                leads: index == 0,
                term: 1,
                log: Vec::new(),
                paused: 0,
                deaf: false,
                connections: 0,
            };
            members.insert(id.to_string(), server);
        }
        let service =
            Service { max_connections, term: 1, promoted_at: Instant::now(), servers: members };
        self.state().services.insert(name.into(), service);
        for (id, listener) in listeners {
            self.spawn_listener(name, &id, listener);
            let (cluster, service) = (self.clone(), name.to_owned());
            thread::spawn(move || cluster.send_heartbeats(&service, &id));
        }
        Ok(())
    }

    pub fn end(&self) {
        self.state().ended = true;
        self.changed.notify_all();
    }

    pub fn address(&self, service: &str, server: &str) -> SocketAddr {
        self.state().services[service].servers[server].address
    }

    pub fn primary(&self, service: &str) -> Option<String> {
        let state = self.state();
        let servers = &state.services[service].servers;
        let leading = servers.iter().filter(|(_, server)| server.alive && server.leads);
        leading.max_by_key(|(_, server)| server.term).map(|(id, _)| id.clone())
    }

    pub fn promotions(&self) -> Vec<Promotion> {
        self.state().promotions.clone()
    }

    /// Makes a replica receive nothing, or receive again.
    pub fn set_deaf(&self, service: &str, id: &str, deaf: bool) {
        self.record.note(format!("server {id}: receives nothing = {deaf}"));
        if let Some(server) = self.server(&mut self.state(), service, id) {
            server.deaf = deaf;
        }
    }

    /// Ends the process of a server; its log is kept.
    pub fn crash(&self, service: &str, id: &str) {
        self.record.note(format!("server {id}: crashes"));
        if let Some(server) = self.server(&mut self.state(), service, id) {
            server.alive = false;
            server.leads = false;
        }
        self.changed.notify_all();
    }

    fn server<'a>(&self, state: &'a mut State, service: &str, id: &str) -> Option<&'a mut Server> {
        state.services.get_mut(service)?.servers.get_mut(id)
    }

    fn is_alive(&self, service: &str, id: &str) -> bool {
        let mut state = self.state();
        !state.ended && self.server(&mut state, service, id).is_some_and(|server| server.alive)
    }

    /// Sends replicas what they lack of the log of the present primary.
    fn replicate(&self) {
        let mut state = self.state();
        for service in state.services.values_mut() {
            replicate(service);
        }
        drop(state);
        self.changed.notify_all();
    }

    fn spawn_listener(self: &Arc<Self>, service: &str, id: &str, listener: TcpListener) {
        let (cluster, service, id) = (self.clone(), service.to_owned(), id.to_owned());
        thread::spawn(move || {
            let _ = listener.set_nonblocking(true);
            while cluster.is_alive(&service, &id) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let (cluster, service, id) = (cluster.clone(), service.clone(), id.clone());
                        thread::spawn(move || {
                            let _ = cluster.serve(&service, &id, stream);
                            let mut state = cluster.state();
                            if let Some(server) = cluster.server(&mut state, &service, &id) {
                                server.connections -= 1;
                            }
                        });
                    }
                    Err(_) => thread::sleep(Duration::from_millis(2)),
                }
            }
        });
    }

    fn serve(&self, service: &str, id: &str, stream: TcpStream) -> std::io::Result<()> {
        let connections = {
            let mut state = self.state();
            let Some(service) = state.services.get_mut(service) else { return Ok(()) };
            let limit = service.max_connections;
            let Some(server) = service.servers.get_mut(id) else { return Ok(()) };
            server.connections += 1;
            (server.connections, limit)
        };
        stream.set_nonblocking(false)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_millis(100)))?;
        let mut write = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        let Some(first) = self.read_line(service, id, &mut reader)? else { return Ok(()) };
        let words: Vec<&str> = first.split(' ').collect();
        let is_named = match words[..] {
            ["START", group, _who] => group == service,
            ["START", group, _who, server] => group == service && server == id,
            _ => false,
        };
        if !is_named {
            return write.write_all(format!("ERR MISROUTED {id}\r\n").as_bytes());
        }
        if connections.0 > connections.1 {
            return write.write_all(format!("ERR CONNLIMIT {id}\r\n").as_bytes());
        }
        let mut session = Session {
            service: service.into(),
            server: id.into(),
            open: false,
            failed: false,
            writes: Vec::new(),
            prepared: BTreeMap::new(),
        };
        let position = self.position(&session);
        write.write_all(format!("READY I {position}\r\n").as_bytes())?;
        while let Some(line) = self.read_line(service, id, &mut reader)? {
            let Some(rest) = line.strip_prefix("QUERY ") else { return Ok(()) };
            let (request, text) = rest.split_once(' ').unwrap_or((rest, ""));
            let Some(answer) = self.answer(&mut session, request, text) else { return Ok(()) };
            if !self.is_alive(service, id) {
                return Ok(());
            }
            write.write_all(answer.as_bytes())?;
        }
        Ok(())
    }

    /// Reads a line without its end; `None` once the connection or the server has ended.
    fn read_line(
        &self,
        service: &str,
        id: &str,
        reader: &mut BufReader<TcpStream>,
    ) -> std::io::Result<Option<String>> {
        let mut line = Vec::new();
        loop {
            match reader.read_until(b'\n', &mut line) {
                Ok(_) if line.ends_with(b"\r\n") => {
                    line.truncate(line.len() - 2);
                    return Ok(Some(String::from_utf8_lossy(&line).into_owned()));
                }
                Ok(0) => return Ok(None),
                Ok(_) if line.len() > MAX_LINE + 2 => return Ok(None),
                Ok(_) => {}
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
                Err(e) => return Err(e),
            }
            if !self.is_alive(service, id) {
                return Ok(None);
            }
        }
    }

    fn position(&self, session: &Session) -> String {
        let mut state = self.state();
        let server = self.server(&mut state, &session.service, &session.server);
        server.map_or("-".into(), |server| format!("{}.{}", server.term, server.log.len()))
    }

    /// Answer to a statement; `None` if the server ends before.
    fn answer(&self, session: &mut Session, request: &str, text: &str) -> Option<String> {
        let (after, text) = match text.strip_prefix("AFTER ").and_then(|t| t.split_once(' ')) {
            Some((after, text)) => (Some(after), text),
            None => (None, text),
        };
        let words: Vec<&str> = text.splitn(3, ' ').collect();
        let is_work = matches!(words[0], "READ" | "WRITE" | "EXECUTE" | "COMMIT");
        if is_work {
            thread::sleep(WORK);
        }
        let result = self.run(session, request, after, text, &words)?;
        if request != "-" {
            let shown = if text.len() > 60 { &text[..60] } else { text };
            self.record.line(format!(
                "server {} ran? id={request} {shown} -> {}",
                session.server,
                result.as_ref().map_or_else(|code| *code, |_| "DONE")
            ));
        }
        let end = match result {
            Ok(rows) => format!("{rows}DONE s.{}.{request}\r\n", session.server),
            Err(code) => {
                session.failed = session.open;
                format!("ERR {code} {}\r\n", session.server)
            }
        };
        let state = match (session.open, session.failed) {
            (true, true) => "E",
            (true, false) => "T",
            _ => "I",
        };
        Some(format!("{end}READY {state} {}\r\n", self.position(session)))
    }

    fn run(
        &self,
        session: &mut Session,
        request: &str,
        after: Option<&str>,
        text: &str,
        words: &[&str],
    ) -> Option<Result<String, &'static str>> {
        if session.failed && !matches!(words[0], "COMMIT" | "ROLLBACK") {
            return Some(Err("MALFORMED"));
        }
        let mut state = self.state();
        let server = self.server(&mut state, &session.service, &session.server)?;
        if !server.alive {
            return None;
        }
        if let Some((term, number)) = after.and_then(|after| after.split_once('.')) {
            let applied = server.log.iter().filter(|(_, at)| at.elapsed() >= APPLY_DELAY).count();
            let applied = if server.leads { server.log.len() } else { applied };
            let (term, number): (u64, usize) = (term.parse().ok()?, number.parse().ok()?);
            if server.term < term || applied < number {
                return Some(Err("LAGGING"));
            }
        }
        Some(match words {
            ["STATUS"] | ["PAUSE" | "DEMOTE", _] | ["RESUME"] => {
                let term = words.get(1).and_then(|term| term.parse::<u64>().ok()).unwrap_or(0);
                match words[0] {
                    "PAUSE" if term > server.term && !server.leads => server.paused = term,
                    "RESUME" => server.paused = 0,
                    "DEMOTE" if term > server.term => server.leads = false,
                    _ => {}
                }
                if words[0] != "STATUS" {
                    self.record.note(format!("server {}: order {text}", session.server));
                }
                let role = if server.leads { "primary" } else { "replica" };
                let (term, length) = (server.term, server.log.len());
                let (paused, connections) = (server.paused, server.connections);
                Ok(format!("ROW {role} {term} {term}.{length} {paused} 0 0 {connections}\r\n"))
            }
            ["BEGIN"] if !server.leads => Err("READONLY"),
            ["BEGIN", ..] => {
                session.open = true;
                Ok(String::new())
            }
            ["ROLLBACK"] => {
                (session.open, session.failed) = (false, false);
                session.writes.clear();
                Ok(String::new())
            }
            ["COMMIT"] => {
                let (writes, failed) = (std::mem::take(&mut session.writes), session.failed);
                (session.open, session.failed) = (false, false);
                if failed {
                    Err("ABORTED")
                } else if writes.is_empty() {
                    Ok(String::new())
                } else if !server.leads {
                    Err("READONLY")
                } else {
                    return self.commit(state, session, request, writes);
                }
            }
            ["READ", item] => Ok(read(server, item)),
            ["WRITE", ..] if !server.leads => Err("READONLY"),
            ["WRITE", item, data] => {
                let write = (item.to_string(), data.to_string());
                if session.open {
                    session.writes.push(write);
                    return Some(Ok(String::new()));
                }
                return self.commit(state, session, request, vec![write]);
            }
            ["PREPARE", name, rest] => {
                let (kind, shape) = rest.split_once(' ').unwrap_or((rest, ""));
                session.prepared.insert(name.to_string(), (kind == "WRITE", shape.into()));
                Ok(String::new())
            }
            ["EXECUTE", name, rest] => match session.prepared.get(*name) {
                None => Err("NOSTMT"),
                Some((false, _)) => Ok(read(server, rest.split(' ').next().unwrap_or(""))),
                Some((true, _)) if !server.leads => Err("READONLY"),
                Some((true, _)) => {
                    let (item, data) = rest.split_once(' ').unwrap_or((rest, ""));
                    let write = (item.to_string(), data.to_string());
                    if session.open {
                        session.writes.push(write);
                        return Some(Ok(String::new()));
                    }
                    return self.commit(state, session, request, vec![write]);
                }
            },
            ["SET", ..] | ["DEALLOC", ..] => Ok(String::new()),
            ["RESET"] => {
                session.prepared.clear();
                Ok(String::new())
            }
            _ => Err("MALFORMED"),
        })
    }

    /// Commits writes, and waits until one replica has received them.
    fn commit(
        &self,
        mut state: MutexGuard<'_, State>,
        session: &Session,
        request: &str,
        writes: Vec<(String, String)>,
    ) -> Option<Result<String, &'static str>> {
        let service = state.services.get_mut(&session.service)?;
        let server = service.servers.get_mut(&session.server)?;
        let term = server.term;
        let commit = Arc::new(Commit { id: request.into(), writes });
        server.log.push((commit.clone(), Instant::now()));
        let number = server.log.len();
        loop {
            let service = state.services.get_mut(&session.service)?;
            replicate(service);
            if !service.servers[&session.server].alive {
                return None;
            }
            let holds = |(id, server): (&String, &Server)| {
                let received = server.log.get(number - 1);
                *id != session.server
                    && received.is_some_and(|(held, _)| Arc::ptr_eq(held, &commit))
            };
            let holders: Vec<&String> =
                service.servers.iter().filter(|(id, s)| holds((id, s))).map(|(id, _)| id).collect();
            if !holders.is_empty() && service.servers[&session.server].leads {
                self.record.line(format!(
                    "server {}: commit {term}.{number} id={request} is held by {holders:?} too",
                    session.server
                ));
                return Some(Ok(String::new()));
            }
            let (next, _) = self.changed.wait_timeout(state, Duration::from_millis(50)).unwrap();
            state = next;
            if state.ended {
                return None;
            }
        }
    }

    /// Serves the platform's call for promotions.
    pub fn serve_platform(self: &Arc<Self>, address: SocketAddr) -> std::io::Result<()> {
        let listener = TcpListener::bind(address)?;
        let cluster = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let cluster = cluster.clone();
                thread::spawn(move || cluster.serve_promotion(stream));
            }
        });
        Ok(())
    }

    fn serve_promotion(self: &Arc<Self>, mut stream: TcpStream) -> std::io::Result<()> {
        let (first, headers, body) = http::read_message(&mut BufReader::new(stream.try_clone()?))?;
        let header = |name: &str| {
            headers.iter().find(|(key, _)| key == name).map_or("", |(_, value)| value.as_str())
        };
        let (holder, token) = (
            header("auburnlug-lease-holder").to_owned(),
            header("auburnlug-fencing-token").to_owned(),
        );
        let service = http::text_field(&body, "service").unwrap_or_default();
        let server = http::text_field(&body, "id").unwrap_or_default();
        let runs = self.is_alive(&service, &server);
        self.record.note(format!(
            "platform: {first} service={service} id={server} holder={holder} token={token} runs={runs}"
        ));
        let status = if runs { "200 OK" } else { "409 Conflict" };
        if runs && self.primary(&service).as_ref() != Some(&server) {
            let cluster = self.clone();
            thread::spawn(move || {
                thread::sleep(PROMOTE_TIME);
                cluster.promote(&service, &server);
            });
        }
        let answer =
            format!("HTTP/1.1 {status}\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{{}}");
        stream.write_all(answer.as_bytes())
    }

    fn promote(&self, name: &str, id: &str) {
        let mut state = self.state();
        let Some(service) = state.services.get_mut(name) else { return };
        if !service.servers.get(id).is_some_and(|server| server.alive && !server.leads) {
            return;
        }
        service.term += 1;
        service.promoted_at = Instant::now();
        let term = service.term;
        for server in service.servers.values_mut() {
            server.paused = 0;
        }
        let Some(server) = service.servers.get_mut(id) else { return };
        (server.leads, server.term) = (true, term);
        let log: Vec<String> = server.log.iter().map(|(commit, _)| commit.id.clone()).collect();
        let at = self.record.now();
        self.record.note(format!("server {id}: leads term {term} with {} commits", log.len()));
        state.promotions.push(Promotion { service: name.into(), server: id.into(), term, log, at });
        drop(state);
        self.replicate();
    }

    /// Sends the heartbeats of a server while it runs; a change of its role at once.
    fn send_heartbeats(&self, service: &str, id: &str) {
        let (mut sequence, mut next, mut target) = (0, 0, None);
        let mut last: Option<(Instant, bool)> = None;
        loop {
            let (address, zone, born, leads) = {
                let mut state = self.state();
                if state.ended {
                    return;
                }
                let Some(server) = self.server(&mut state, service, id) else { return };
                if !server.alive {
                    return;
                }
                (server.address, server.zone.clone(), server.born, server.leads)
            };
            let due = last.is_none_or(|(at, role)| at.elapsed() >= HEARTBEAT || role != leads);
            if due {
                sequence += 1;
                let role = if leads { "primary" } else { "replica" };
                let body = heartbeat(service, address, &zone, role, sequence, born);
                let to = target.unwrap_or(self.control[next % self.control.len()]);
                let answer = http::call(to, "PUT", &format!("/-/instances/{id}"), &body);
                self.record.line(format!(
                    "heartbeat of {id} seq={sequence} role={role} to {to} -> {}",
                    answer.status
                ));
                if (200..300).contains(&answer.status) {
                    last = Some((Instant::now(), leads));
                    target = http::text_field(&answer.body, "heartbeat-address")
                        .and_then(|text| text.parse().ok());
                } else {
                    (target, next) = (None, next + 1);
                }
            }
            thread::sleep(Duration::from_millis(50));
        }
    }
}

/// Body of a heartbeat.
pub fn heartbeat(
    service: &str,
    address: SocketAddr,
    zone: &str,
    role: &str,
    sequence: u64,
    born: u64,
) -> String {
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
         \"version\":\"v1\",\"slots\":3,\"state\":\"ready\",\"cold-remaining-ms\":0,\
         \"db-role\":\"{role}\",\"seq\":{sequence},\"born\":{born}}}"
    )
}

pub fn unix_millis() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

fn read(server: &Server, item: &str) -> String {
    let found = server.log.iter().rev().find_map(|(commit, _)| {
        commit.writes.iter().rev().find(|(key, _)| key == item).map(|(_, data)| data.clone())
    });
    format!("ROW {}\r\n", found.unwrap_or_else(|| "none".into()))
}

/// Brings the replicas that receive from the primary to its log.
fn replicate(service: &mut Service) {
    let former_ends = service.promoted_at.elapsed() >= FORMER_TIME;
    let leading = service.servers.iter().filter(|(_, server)| server.alive && server.leads);
    let Some((leader, _)) = leading.max_by_key(|(_, server)| server.term) else { return };
    let leader = leader.clone();
    let (term, log) = {
        let server = &service.servers[&leader];
        (server.term, server.log.clone())
    };
    for (id, server) in &mut service.servers {
        if *id == leader || !server.alive || server.deaf || server.paused > term {
            continue;
        }
        if server.leads {
            if !former_ends {
                continue;
            }
            server.leads = false;
        }
        server.term = term;
        let same = |(held, sent): &(&(Arc<Commit>, Instant), &(Arc<Commit>, Instant))| {
            Arc::ptr_eq(&held.0, &sent.0)
        };
        let common = server.log.iter().zip(&log).take_while(same).count();
        server.log.truncate(common);
        let now = Instant::now();
        server.log.extend(log[common..].iter().map(|(commit, _)| (commit.clone(), now)));
    }
}
