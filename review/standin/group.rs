//! A database group whose servers speak the line protocol, and the replication between them.
//!
//! Every server has a log of its own. A commit is acknowledged once one replica has received it.
//! A replica receives entries from the server that leads the newest term that it can reach, and
//! applies them after its lag. A promoted server leads with what it had received.

use std::{
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

use crate::record::Record;

/// Time after which a former primary that can reach the new one becomes a replica.
const STEP_DOWN_TIME: Duration = Duration::from_millis(1_000);

/// Limits of a server.
#[derive(Clone, Copy)]
pub struct Limits {
    pub slots: u32,
    pub connections: u32,
    pub read_time: Duration,
    pub write_time: Duration,
    /// Time that a new connection takes.
    pub opening_time: Duration,
    /// Time that a promotion takes.
    pub promotion_time: Duration,
    /// Latency, one way, between two zones. It applies to replication, and to the control members,
    /// which name themselves when they connect.
    pub zone_latency: Duration,
}

/// A commit in the log of a server.
#[derive(Clone)]
struct LogEntry {
    term: u64,
    writes: Vec<ItemWrite>,
    received: Instant,
}

/// A write: the id of its request, the item and the data.
#[derive(Clone)]
struct ItemWrite {
    request: String,
    item: String,
    data: String,
}

struct Server {
    id: String,
    address: SocketAddr,
    zone: u8,
    alive: bool,
    draining: bool,
    leads: bool,
    term: u64,
    log: Vec<LogEntry>,
    /// Time between receiving and applying a commit.
    lag: Duration,
    /// Receives nothing.
    deaf: bool,
    /// Cut from the other servers of the group.
    isolated: bool,
    /// Term of a pause; 0 without one.
    paused: u64,
    busy: u32,
    connections: u32,
    /// Time since which a newer primary can be reached.
    superseded: Option<Instant>,
}

impl Server {
    /// Number of commits that a read sees.
    fn applied(&self) -> usize {
        if self.leads || self.lag.is_zero() {
            return self.log.len();
        }
        self.log.iter().take_while(|entry| entry.received.elapsed() >= self.lag).count()
    }
}

struct State {
    servers: Vec<Server>,
}

/// A group of servers.
pub struct Group {
    pub name: String,
    limits: Limits,
    record: Record,
    state: Mutex<State>,
    changed: Condvar,
}

/// A server as its heartbeats report it.
pub struct Report {
    pub id: String,
    pub address: SocketAddr,
    pub zone: u8,
    pub alive: bool,
    pub draining: bool,
    pub leads: bool,
    pub slots: u32,
}

/// State of one connection to a server.
struct Session {
    server: usize,
    tenant: String,
    open: Option<Transaction>,
    failed: bool,
    prepared: Vec<(String, bool)>,
}

struct Transaction {
    read_only: bool,
    term: u64,
    writes: Vec<ItemWrite>,
}

impl Group {
    /// Starts the servers; the first one leads term 1.
    pub fn start(
        name: &str,
        servers: &[(String, SocketAddr, u8)],
        limits: Limits,
        record: Record,
    ) -> Arc<Group> {
        let list = servers.iter().enumerate().map(|(number, (id, address, zone))| Server {
            id: id.clone(),
            address: *address,
            zone: *zone,
            alive: true,
            draining: false,
            leads: number == 0,
            term: 1,
            log: Vec::new(),
            lag: Duration::ZERO,
            deaf: false,
            isolated: false,
            paused: 0,
            busy: 0,
            connections: 0,
            superseded: None,
        });
        let state = Mutex::new(State { servers: list.collect() });
        let changed = Condvar::new();
        let group = Arc::new(Group { name: name.into(), limits, record, state, changed });
        for (number, (_, address, _)) in servers.iter().enumerate() {
            let listener = TcpListener::bind(address).expect("address of a server");
            let group = group.clone();
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let group = group.clone();
                    thread::spawn(move || group.serve(number, stream));
                }
            });
        }
        let replicator = group.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(2));
                replicator.replicate();
            }
        });
        group
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    fn change(&self, id: &str, act: impl FnOnce(&mut Server)) {
        let mut state = self.state();
        if let Some(server) = state.servers.iter_mut().find(|server| server.id == id) {
            act(server);
        }
        self.changed.notify_all();
    }

    /// Makes a server the first primary, before the servers announce themselves.
    pub fn set_first_primary(&self, id: &str) {
        for server in &mut self.state().servers {
            server.leads = server.id == id;
        }
    }

    /// Latency, one way, between two zones.
    fn latency(&self, one: u8, other: u8) -> Duration {
        if one == other { Duration::from_micros(500) } else { self.limits.zone_latency }
    }

    /// Makes a replica receive nothing, or receive again.
    pub fn set_deaf(&self, id: &str, deaf: bool) {
        self.record.add(format!("trouble server={id} receives={}", !deaf));
        self.change(id, |server| server.deaf = deaf);
    }

    /// Cuts a server from the other servers of the group.
    pub fn set_isolated(&self, id: &str, isolated: bool) {
        self.record.add(format!("trouble server={id} cut_from_group={isolated}"));
        self.change(id, |server| server.isolated = isolated);
    }

    /// Sets the time after which a replica applies what it received.
    pub fn set_lag(&self, id: &str, lag: Duration) {
        self.record.add(format!("trouble server={id} lag_ms={}", lag.as_millis()));
        self.change(id, |server| server.lag = lag);
    }

    /// Announces that a server is leaving.
    pub fn drain(&self, id: &str) {
        self.record.add(format!("server={id} state=draining"));
        self.change(id, |server| server.draining = true);
    }

    /// Ends a server's process.
    pub fn end(&self, id: &str) {
        self.record.add(format!("server={id} exits"));
        self.change(id, |server| server.alive = false);
    }

    /// Id of the server that leads the newest term.
    pub fn primary(&self) -> Option<String> {
        let state = self.state();
        let leaders = state.servers.iter().filter(|server| server.alive && server.leads);
        leaders.max_by_key(|server| server.term).map(|server| server.id.clone())
    }

    /// All servers.
    pub fn reports(&self) -> Vec<Report> {
        let state = self.state();
        let report = |server: &Server| Report {
            id: server.id.clone(),
            address: server.address,
            zone: server.zone,
            alive: server.alive,
            draining: server.draining,
            leads: server.leads,
            slots: self.limits.slots,
        };
        state.servers.iter().map(report).collect()
    }

    /// Orders a promotion; false if the server is not running.
    pub fn promote(self: &Arc<Group>, id: &str) -> bool {
        let state = self.state();
        let Some(server) = state.servers.iter().find(|server| server.id == id) else {
            return false;
        };
        if !server.alive {
            return false;
        }
        if server.leads {
            return true;
        }
        let (group, id) = (self.clone(), id.to_owned());
        thread::spawn(move || {
            thread::sleep(group.limits.promotion_time);
            group.finish_promotion(&id);
        });
        true
    }

    fn finish_promotion(&self, id: &str) {
        let mut state = self.state();
        let term = state.servers.iter().map(|server| server.term).max().unwrap_or(0) + 1;
        for server in &mut state.servers {
            server.paused = 0;
        }
        let Some(server) = state.servers.iter_mut().find(|server| server.id == id) else { return };
        if !server.alive || server.leads {
            return;
        }
        server.leads = true;
        server.term = term;
        let held: Vec<String> =
            server.log.iter().flat_map(|e| &e.writes).map(|w| w.request.clone()).collect();
        self.record.add_promotion(id, term, held);
        self.changed.notify_all();
    }

    /// Sends the log of each primary to the replicas that can receive it.
    fn replicate(&self) {
        let mut state = self.state();
        let leaders: Vec<usize> = (0..state.servers.len())
            .filter(|at| state.servers[*at].alive && state.servers[*at].leads)
            .collect();
        for &at in &leaders {
            let (term, isolated) = (state.servers[at].term, state.servers[at].isolated);
            let zone = state.servers[at].zone;
            for other in 0..state.servers.len() {
                if other == at || isolated || !state.servers[other].alive {
                    continue;
                }
                let (log, follower) = if at < other {
                    let (left, right) = state.servers.split_at_mut(other);
                    (&left[at].log, &mut right[0])
                } else {
                    let (left, right) = state.servers.split_at_mut(at);
                    (&right[0].log, &mut left[other])
                };
                if follower.isolated || follower.term > term {
                    continue;
                }
                if follower.leads {
                    // A former primary that can reach the new one steps down after a second.
                    if follower.term < term {
                        let since = *follower.superseded.get_or_insert_with(Instant::now);
                        if since.elapsed() >= STEP_DOWN_TIME {
                            follower.leads = false;
                        }
                    }
                    continue;
                }
                if follower.deaf || follower.paused > term {
                    continue;
                }
                follower.term = term;
                let latency = self.latency(zone, follower.zone);
                let sent = log.iter().take_while(|entry| entry.received.elapsed() >= latency);
                let log = &log[..sent.count()];
                let same = follower
                    .log
                    .iter()
                    .zip(log)
                    .take_while(|(mine, theirs)| same_entry(mine, theirs))
                    .count();
                follower.log.truncate(same);
                let now = Instant::now();
                follower
                    .log
                    .extend(log[same..].iter().map(|e| LogEntry { received: now, ..e.clone() }));
            }
        }
        self.changed.notify_all();
    }

    fn serve(&self, number: usize, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        if !self.state().servers[number].alive {
            return;
        }
        let Ok(reader) = stream.try_clone() else { return };
        let _ = reader.set_read_timeout(Some(Duration::from_millis(100)));
        let mut lines = Lines { reader: BufReader::new(reader), buffer: Vec::new() };
        let mut stream = stream;
        let Some(first) = lines.next(|| self.state().servers[number].alive) else { return };
        let words: Vec<&str> = first.split(' ').collect();
        let (id, full) = {
            let state = self.state();
            let server = &state.servers[number];
            (server.id.clone(), server.connections >= self.limits.connections)
        };
        if words.len() < 3 || words[0] != "START" || words[1] != self.name {
            let _ = stream.write_all(format!("ERR MISROUTED {id}\r\n").as_bytes());
            return;
        }
        if words.get(3).is_some_and(|expected| *expected != id) {
            let _ = stream.write_all(format!("ERR MISROUTED {id}\r\n").as_bytes());
            return;
        }
        if full {
            let _ = stream.write_all(format!("ERR CONNLIMIT {id}\r\n").as_bytes());
            return;
        }
        self.state().servers[number].connections += 1;
        let member = words[2].strip_prefix("core-").and_then(|zone| zone.parse().ok());
        let round_trip = member.map_or(Duration::ZERO, |zone: u8| {
            2 * self.latency(zone, self.state().servers[number].zone)
        });
        // The connect and the opening each take a round trip.
        thread::sleep(2 * round_trip);
        thread::sleep(self.limits.opening_time);
        let mut session = Session {
            server: number,
            tenant: words[2].to_owned(),
            open: None,
            failed: false,
            prepared: Vec::new(),
        };
        let ready = format!("READY I {}\r\n", self.position(number));
        if stream.write_all(ready.as_bytes()).is_ok() {
            while let Some(line) = lines.next(|| self.state().servers[number].alive) {
                let Some(rest) = line.strip_prefix("QUERY ") else { break };
                let (request, text) = rest.split_once(' ').unwrap_or((rest, ""));
                thread::sleep(round_trip);
                let Some(answer) = self.answer(&mut session, request, text) else { break };
                if !self.state().servers[number].alive
                    || stream.write_all(answer.as_bytes()).is_err()
                {
                    break;
                }
            }
        }
        self.state().servers[number].connections -= 1;
    }

    fn position(&self, number: usize) -> String {
        let state = self.state();
        let server = &state.servers[number];
        format!("{}.{}", server.term, server.applied())
    }

    /// Answer to a statement; `None` if the connection ends without one.
    fn answer(&self, session: &mut Session, request: &str, text: &str) -> Option<String> {
        let number = session.server;
        let id = self.state().servers[number].id.clone();
        let outcome = self.run(session, request, text)?;
        let state = match (&session.open, session.failed) {
            (_, true) => "E",
            (Some(_), _) => "T",
            _ => "I",
        };
        let (rows, end) = match outcome {
            Ok(rows) => (rows, format!("DONE sig.{id}.{request}")),
            Err(code) => (Vec::new(), format!("ERR {code} {id}")),
        };
        let rows: String = rows.iter().map(|row| format!("ROW {row}\r\n")).collect();
        Some(format!("{rows}{end}\r\nREADY {state} {}\r\n", self.position(number)))
    }

    /// Claims a slot; false if all are taken.
    fn claim_slot(&self, number: usize) -> bool {
        let mut state = self.state();
        let server = &mut state.servers[number];
        let free = server.busy < self.limits.slots;
        server.busy += u32::from(free);
        free
    }

    fn release_slot(&self, number: usize) {
        self.state().servers[number].busy -= 1;
    }

    fn run(
        &self,
        session: &mut Session,
        request: &str,
        text: &str,
    ) -> Option<Result<Vec<String>, &'static str>> {
        let number = session.server;
        let mut text = text;
        if let Some(rest) = text.strip_prefix("AFTER ") {
            let (position, rest) = rest.split_once(' ').unwrap_or((rest, ""));
            text = rest;
            if !self.has_position(number, position) {
                session.failed = session.open.is_some();
                return Some(Err("LAGGING"));
            }
        }
        let words: Vec<&str> = text.splitn(3, ' ').collect();
        if session.failed && !matches!(words[0], "COMMIT" | "ROLLBACK") {
            return Some(Err("MALFORMED"));
        }
        match words[0] {
            "STATUS" | "PAUSE" | "RESUME" | "DEMOTE" => {
                if !self.claim_slot(number) {
                    return Some(Err("BUSY"));
                }
                let row = self.control(number, &words);
                self.release_slot(number);
                Some(Ok(vec![row]))
            }
            "BEGIN" => {
                let read_only = words.get(1) == Some(&"READ");
                let state = self.state();
                let server = &state.servers[number];
                if !read_only && !server.leads {
                    return Some(Err("READONLY"));
                }
                let term = server.term;
                session.open = Some(Transaction { read_only, term, writes: Vec::new() });
                Some(Ok(Vec::new()))
            }
            "ROLLBACK" => {
                (session.open, session.failed) = (None, false);
                Some(Ok(Vec::new()))
            }
            "SET" => Some(Ok(Vec::new())),
            "RESET" => {
                session.prepared.clear();
                Some(Ok(Vec::new()))
            }
            "PREPARE" => {
                let writes = words.get(2).is_some_and(|rest| rest.starts_with("WRITE"));
                session.prepared.push((words[1].to_owned(), writes));
                Some(Ok(Vec::new()))
            }
            "READ" | "WRITE" | "EXECUTE" | "COMMIT" => {
                if !self.claim_slot(number) {
                    session.failed = session.open.is_some();
                    return Some(Err("BUSY"));
                }
                let outcome = self.execute(session, request, text, &words);
                self.release_slot(number);
                outcome
            }
            _ => Some(Err("MALFORMED")),
        }
    }

    fn execute(
        &self,
        session: &mut Session,
        request: &str,
        text: &str,
        words: &[&str],
    ) -> Option<Result<Vec<String>, &'static str>> {
        let number = session.server;
        let mut writes = words[0] == "WRITE";
        let (item, mut data) = (words.get(1).copied().unwrap_or(""), words.get(2).copied());
        let mut item = item.to_owned();
        if words[0] == "EXECUTE" {
            let Some((_, kind)) = session.prepared.iter().rev().find(|(name, _)| *name == item)
            else {
                return Some(Err("NOSTMT"));
            };
            writes = *kind;
            let rest = words.get(2).copied().unwrap_or("");
            let (first, second) = rest.split_once(' ').unwrap_or((rest, ""));
            (item, data) = (first.to_owned(), Some(second));
        }
        let lost_lead = {
            let state = self.state();
            let server = &state.servers[number];
            let stale = |tx: &Transaction| !tx.read_only && tx.term != server.term;
            (!server.leads || session.open.as_ref().is_some_and(stale))
                && session.open.as_ref().is_none_or(|tx| !tx.read_only)
        };
        if words[0] == "COMMIT" {
            let Some(transaction) = session.open.take() else { return Some(Err("MALFORMED")) };
            session.failed = false;
            if transaction.writes.is_empty() {
                return Some(Ok(Vec::new()));
            }
            if lost_lead {
                return Some(Err("READONLY"));
            }
            thread::sleep(self.limits.write_time);
            return self.commit(number, request, transaction.writes);
        }
        if lost_lead && (writes || session.open.is_some()) {
            session.failed = session.open.is_some();
            return Some(Err("READONLY"));
        }
        let server_id = self.state().servers[number].id.clone();
        if writes {
            let data = data.unwrap_or("").to_owned();
            self.record.add_run(&server_id, request, &session.tenant, text, "");
            let write = ItemWrite { request: request.to_owned(), item, data };
            if let Some(transaction) = &mut session.open {
                if transaction.read_only {
                    session.failed = true;
                    return Some(Err("READONLY"));
                }
                transaction.writes.push(write);
                return Some(Ok(Vec::new()));
            }
            thread::sleep(self.limits.write_time);
            return self.commit(number, request, vec![write]);
        }
        let (value, held) = {
            let state = self.state();
            let server = &state.servers[number];
            let log = &server.log[..server.applied()];
            let newest = log
                .iter()
                .rev()
                .flat_map(|entry| entry.writes.iter().rev())
                .find(|write| write.item == item)
                .map(|write| write.data.clone());
            (newest.unwrap_or_else(|| "none".into()), format!("{}.{}", server.term, log.len()))
        };
        self.record.add_run(&server_id, request, &session.tenant, text, &held);
        thread::sleep(self.limits.read_time);
        Some(Ok(vec![value]))
    }

    /// Appends a commit and waits until a replica has received it. `None` if this server lost the
    /// lead meanwhile.
    fn commit(
        &self,
        number: usize,
        request: &str,
        writes: Vec<ItemWrite>,
    ) -> Option<Result<Vec<String>, &'static str>> {
        let mut state = self.state();
        let server = &mut state.servers[number];
        if !server.leads {
            return Some(Err("READONLY"));
        }
        let term = server.term;
        server.log.push(LogEntry { term, writes, received: Instant::now() });
        let length = server.log.len();
        // The work is done; waiting for a replica takes no slot.
        server.busy -= 1;
        loop {
            let server = &mut state.servers[number];
            if !server.alive || !server.leads || server.term != term {
                server.busy += 1;
                return None;
            }
            let own = &state.servers[number].log[length - 1];
            let received = state.servers.iter().enumerate().any(|(at, other)| {
                at != number
                    && other.alive
                    && other.log.get(length - 1).is_some_and(|entry| {
                        let way_back = self.latency(other.zone, state.servers[number].zone);
                        same_entry(entry, own) && entry.received.elapsed() >= way_back
                    })
            });
            if received {
                state.servers[number].busy += 1;
                let id = state.servers[number].id.clone();
                self.record.add(format!("commit server={id} request={request} at={term}.{length}"));
                return Some(Ok(Vec::new()));
            }
            let wait = Duration::from_millis(20);
            state = self.changed.wait_timeout(state, wait).unwrap().0;
        }
    }

    fn has_position(&self, number: usize, position: &str) -> bool {
        let Some((term, count)) = position.split_once('.') else { return false };
        let (Ok(term), Ok(count)) = (term.parse::<u64>(), count.parse::<usize>()) else {
            return false;
        };
        let state = self.state();
        let server = &state.servers[number];
        server.term >= term && server.applied() >= count
    }

    fn control(&self, number: usize, words: &[&str]) -> String {
        let mut state = self.state();
        let term: u64 = words.get(1).and_then(|term| term.parse().ok()).unwrap_or(0);
        let newest = state.servers.iter().map(|server| server.term).max().unwrap_or(0);
        let server = &mut state.servers[number];
        match words[0] {
            "PAUSE" if term > newest && !server.leads => server.paused = term,
            "RESUME" => server.paused = 0,
            "DEMOTE" if server.leads && term > server.term => server.leads = false,
            _ => {}
        }
        if words[0] != "STATUS" {
            self.record.add(format!("order server={} {}", server.id, words.join(" ")));
        }
        let role = if server.leads { "primary" } else { "replica" };
        let (term, log) = (server.term, server.log.len());
        let lag = server.lag.as_millis();
        let row = format!(
            "{role} {term} {term}.{log} {} {lag} {} {}",
            server.paused, server.busy, server.connections
        );
        drop(state);
        self.changed.notify_all();
        row
    }
}

fn same_entry(one: &LogEntry, other: &LogEntry) -> bool {
    one.term == other.term
        && one.writes.first().map(|write| &write.request)
            == other.writes.first().map(|write| &write.request)
}

/// Lines of a connection, read with a timeout so that a server that ended notices it.
struct Lines {
    reader: BufReader<TcpStream>,
    buffer: Vec<u8>,
}

impl Lines {
    /// Next line, terminated by CR LF; `None` at the end of the connection.
    fn next(&mut self, alive: impl Fn() -> bool) -> Option<String> {
        loop {
            match self.reader.read_until(b'\n', &mut self.buffer) {
                Ok(0) => return None,
                Ok(_) if self.buffer.ends_with(b"\r\n") => {
                    let line =
                        String::from_utf8_lossy(&self.buffer).trim_end_matches("\r\n").to_owned();
                    self.buffer.clear();
                    return alive().then_some(line);
                }
                Ok(_) => {}
                Err(e)
                    if matches!(
                        e.kind(),
                        std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                    ) =>
                {
                    if !alive() {
                        return None;
                    }
                }
                Err(_) => return None,
            }
        }
    }
}
