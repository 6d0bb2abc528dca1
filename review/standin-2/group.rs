//! A service with one primary and its replicas, as `PROTOCOL.md` describes servers. All commits
//! are in one log; a replica has received those that are older than its lag.

use std::{
    collections::BTreeMap,
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

/// Time until a replica has received a commit.
const LAG: Duration = Duration::from_millis(20);

/// Work of a statement.
const WORK: Duration = Duration::from_millis(2);

/// A statement of a client that a server ran.
#[derive(Debug, Clone)]
pub struct Run {
    pub at: Instant,
    pub server: String,
    pub id: String,
    pub text: String,
}

pub struct Group {
    name: String,
    state: Mutex<State>,
}

struct State {
    term: u64,
    primary: String,
    log: Vec<(Instant, String, String)>,
    servers: BTreeMap<String, Member>,
    runs: Vec<Run>,
}

#[derive(Default)]
struct Member {
    /// Commits received when the server was paused.
    paused: Option<usize>,
}

#[derive(Default)]
struct Session {
    open: bool,
    writes: Vec<(String, String)>,
    prepared: BTreeMap<String, String>,
}

impl Group {
    /// A service whose log starts in `term` with these commits.
    pub fn new(name: &str, term: u64, log: &[(&str, &str)]) -> Arc<Group> {
        let now = Instant::now();
        let log = log.iter().map(|(item, data)| (now, item.to_string(), data.to_string()));
        let state = State {
            term,
            primary: String::new(),
            log: log.collect(),
            servers: BTreeMap::new(),
            runs: Vec::new(),
        };
        Arc::new(Group { name: name.into(), state: Mutex::new(state) })
    }

    /// Starts a server; the first one is the primary.
    pub fn start(self: &Arc<Self>, id: &str, address: SocketAddr) -> std::io::Result<()> {
        let listener = TcpListener::bind(address)?;
        {
            let mut state = self.state();
            if state.servers.is_empty() {
                state.primary = id.into();
            }
            state.servers.insert(id.into(), Member::default());
        }
        let (group, id) = (self.clone(), id.to_owned());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (group, id) = (group.clone(), id.clone());
                thread::spawn(move || drop(group.serve(&id, stream)));
            }
        });
        Ok(())
    }

    pub fn primary(&self) -> String {
        self.state().primary.clone()
    }

    /// Statements of clients that the servers ran.
    pub fn runs(&self) -> Vec<Run> {
        self.state().runs.clone()
    }

    /// Promotes a server; returns the status of the call.
    pub fn promote(&self, id: &str) -> u16 {
        let mut state = self.state();
        if !state.servers.contains_key(id) {
            return 409;
        }
        if state.primary != id {
            let received = state.visible(id);
            state.log.truncate(received);
            state.term += 1;
            state.primary = id.into();
            state.servers.values_mut().for_each(|member| member.paused = None);
        }
        200
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics with the lock held")
    }

    fn serve(&self, id: &str, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut out = stream.try_clone()?;
        let mut lines = BufReader::new(stream).lines();
        let Some(first) = lines.next() else { return Ok(()) };
        let first = first?;
        let fields: Vec<&str> = first.split(' ').collect();
        let accepted = fields.len() >= 3
            && fields[0] == "START"
            && fields[1] == self.name
            && fields.get(3).is_none_or(|expected| *expected == id);
        if !accepted {
            return out.write_all(b"ERR MISROUTED another server\r\n");
        }
        out.write_all(b"READY I -\r\n")?;
        let mut session = Session::default();
        for line in lines {
            let line = line?;
            let Some((request, text)) =
                line.strip_prefix("QUERY ").and_then(|rest| rest.split_once(' '))
            else {
                return Ok(());
            };
            let answer = self.answer(id, &mut session, request, text);
            out.write_all(answer.as_bytes())?;
        }
        Ok(())
    }

    fn answer(&self, id: &str, session: &mut Session, request: &str, text: &str) -> String {
        thread::sleep(WORK);
        let mut state = self.state();
        let mut text = text.to_owned();
        if let Some(rest) = text.strip_prefix("AFTER ") {
            let (position, rest) = rest.split_once(' ').unwrap_or((rest, ""));
            let (term, number) = position.split_once('.').unwrap_or(("0", "0"));
            let required: (u64, usize) =
                (term.parse().unwrap_or(0), number.parse().unwrap_or(0));
            if required.0 > state.term || required.1 > state.visible(id) {
                return state.refuse(id, session, "LAGGING");
            }
            text = rest.to_owned();
        }
        let words: Vec<String> = text.splitn(4, ' ').map(str::to_owned).collect();
        let word = |n: usize| words.get(n).map_or("", String::as_str);
        let leads = state.primary == id;
        match word(0) {
            "STATUS" => return state.status(id, session),
            "PAUSE" => {
                let term: u64 = word(1).parse().unwrap_or(0);
                if term > state.term {
                    let received = state.visible(id);
                    if let Some(member) = state.servers.get_mut(id) {
                        member.paused.get_or_insert(received);
                    }
                }
                return state.status(id, session);
            }
            "RESUME" => {
                if let Some(member) = state.servers.get_mut(id) {
                    member.paused = None;
                }
                return state.status(id, session);
            }
            "DEMOTE" => {
                if leads && word(1).parse().unwrap_or(0) > state.term {
                    state.primary.clear();
                }
                return state.status(id, session);
            }
            "BEGIN" if !leads && word(1) != "READ" => return state.refuse(id, session, "READONLY"),
            "BEGIN" => {
                session.open = true;
                return state.done(id, session, request, "");
            }
            "ROLLBACK" => {
                *session = Session { prepared: std::mem::take(&mut session.prepared), ..Session::default() };
                return state.done(id, session, request, "");
            }
            "RESET" => {
                session.prepared.clear();
                return state.done(id, session, request, "");
            }
            "SET" => return state.done(id, session, request, ""),
            "PREPARE" => {
                session.prepared.insert(word(1).into(), word(2).into());
                return state.done(id, session, request, "");
            }
            _ => {}
        }
        if request != "-" {
            let run = Run { at: Instant::now(), server: id.into(), id: request.into(), text: text.clone() };
            state.runs.push(run);
        }
        let kind = session.prepared.get(word(1)).cloned();
        let (is_read, item, data) = match word(0) {
            "READ" => (true, word(1).to_owned(), String::new()),
            "WRITE" => (false, word(1).to_owned(), words[2..].join(" ")),
            "EXECUTE" => (
                kind.as_deref() == Some("READ"),
                word(2).to_owned(),
                word(3).to_owned(),
            ),
            "COMMIT" => {
                let writes = std::mem::take(&mut session.writes);
                session.open = false;
                if writes.is_empty() {
                    return state.done(id, session, request, "");
                }
                if !leads {
                    return state.refuse(id, session, "READONLY");
                }
                state.commit(writes);
                drop(state);
                thread::sleep(LAG);
                return self.state().done(id, session, request, "");
            }
            _ => return state.refuse(id, session, "MALFORMED"),
        };
        if is_read {
            let visible = state.visible(id);
            let found = state.log[..visible].iter().rev().find(|(_, known, _)| *known == item);
            let row = found.map_or("none", |(_, _, data)| data).to_owned();
            return state.done(id, session, request, &format!("ROW {row}\r\n"));
        }
        if !leads {
            return state.refuse(id, session, "READONLY");
        }
        if session.open {
            session.writes.push((item, data));
            return state.done(id, session, request, "");
        }
        state.commit(vec![(item, data)]);
        drop(state);
        thread::sleep(LAG);
        self.state().done(id, session, request, "")
    }
}

impl State {
    /// Commits that a server has received.
    fn visible(&self, id: &str) -> usize {
        if self.primary == id {
            return self.log.len();
        }
        let received = self.log.iter().take_while(|(at, ..)| at.elapsed() >= LAG).count();
        let paused = self.servers.get(id).and_then(|member| member.paused);
        received.min(paused.unwrap_or(usize::MAX))
    }

    fn commit(&mut self, writes: Vec<(String, String)>) {
        let now = Instant::now();
        self.log.extend(writes.into_iter().map(|(item, data)| (now, item, data)));
    }

    fn ready(&self, id: &str, session: &Session) -> String {
        let state = if session.open { "T" } else { "I" };
        format!("READY {state} {}.{}\r\n", self.term, self.visible(id))
    }

    fn done(&self, id: &str, session: &Session, request: &str, rows: &str) -> String {
        format!("{rows}DONE signed-{id}-{request}\r\n{}", self.ready(id, session))
    }

    fn refuse(&self, id: &str, session: &mut Session, code: &str) -> String {
        let state = if session.open { "E" } else { "I" };
        format!("ERR {code} {id}\r\nREADY {state} {}.{}\r\n", self.term, self.visible(id))
    }

    fn status(&self, id: &str, session: &Session) -> String {
        let role = if self.primary == id { "primary" } else { "replica" };
        let rows = format!("ROW {role} {} {}.{} 0 0 0 1\r\n", self.term, self.term, self.visible(id));
        format!("{rows}DONE -\r\n{}", self.ready(id, session))
    }
}
