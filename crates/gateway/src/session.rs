//! Sessions of callers: one connection, its values, prepared statements and transaction.

use std::{collections::BTreeMap, rc::Rc, sync::Arc, time::Duration};

use auburnlug_coordination::Position;
use auburnlug_protocol::job::{
    Answer, Code, Job, Need, Opening, Reply, Request, SessionState, Shape, Statement, Step, Text,
    Values,
};
use auburnlug_state::{
    Millis,
    fleet::{Database, Freshness, KeyHash},
};
use auburnlug_transport::event::{Event, log};
use bytes::BytesMut;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

use crate::{
    admission::Admission,
    local::Local,
    relay::Place,
    router::{Router, Task},
    session_log::{Asked, log_answer},
    stop::Stop,
    wire::{Broken, CallerWire},
};

/// Longest time from the connect of a caller to its opening, in milliseconds.
const OPENING: Duration = Duration::from_millis(10_000);

/// Longest wait of an opening for the first configuration, in milliseconds: callers give up after
/// two seconds.
const VIEW: Duration = Duration::from_millis(1_700);

/// Bytes read at once.
const READ: usize = 4 << 10;

/// Prepared statements and values of one session.
const NAMES: usize = 256;

/// What sessions share.
pub struct Sessions {
    /// State of the entry.
    pub local: Rc<Local>,
    /// Rates of client accounts.
    pub admission: Admission,
    /// Runs statements on servers.
    pub router: Rc<Router>,
    /// Wire protocol of callers.
    pub wire: Arc<dyn CallerWire>,
    /// Progress of a shutdown.
    pub stop: Rc<Stop>,
}

/// Why a session ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Ending {
    /// The caller left.
    Caller,
    /// The caller sent what cannot be read.
    Unreadable,
    /// The opening was refused.
    Refused,
    /// The key was withdrawn.
    KeyWithdrawn,
    /// The instance stops.
    Stopping,
}

pub(crate) struct Session {
    pub(crate) shared: Rc<Sessions>,
    stream: TcpStream,
    inbound: BytesMut,
    outbound: BytesMut,
    database: Arc<str>,
    /// Client account; empty for callers without a key.
    pub(crate) account: Arc<str>,
    key: Option<KeyHash>,
    values: Values,
    prepared: BTreeMap<Arc<str>, Shape>,
    /// Position of the last commit of this session.
    position: Option<Position>,
    pub(crate) transaction: Option<Transaction>,
}

pub(crate) struct Transaction {
    pub(crate) state: SessionState,
    read_only: bool,
    database: Database,
    /// Arrival of its first request.
    arrival: Millis,
    /// Where its statements run; `None` before the first.
    pub(crate) place: Option<Place>,
    wrote: bool,
}

/// Serves a caller's connection until it ends.
pub async fn serve(shared: Rc<Sessions>, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let metrics = shared.local.metrics.clone();
    metrics.sessions.inc();
    let mut session = Session {
        shared,
        stream,
        inbound: BytesMut::with_capacity(READ),
        outbound: BytesMut::new(),
        database: "".into(),
        account: "".into(),
        key: None,
        values: Values::new(),
        prepared: BTreeMap::new(),
        position: None,
        transaction: None,
    };
    let ending = session.run().await;
    session.drop_transaction();
    metrics.sessions.dec();
    if ending != Ending::Caller {
        log(
            Event::SessionEnded,
            format_args!(
                "account={} database={} reason={ending:?}",
                session.account, session.database
            ),
        );
    }
}

impl Session {
    async fn run(&mut self) -> Ending {
        let opening = match timeout(OPENING, self.read()).await {
            Ok(Ok(Some(Request::Open(opening)))) => opening,
            Ok(Ok(None)) | Err(_) => return Ending::Caller,
            Ok(Ok(Some(_))) => {
                return self.unreadable(Code::Malformed, "the session is not open").await;
            }
            Ok(Err(broken)) => return self.broken(broken).await,
        };
        if !self.shared.router.viewed(VIEW).await {
            let answer = Answer::error(Code::Busy, "this instance has no configuration yet");
            self.refuse(answer).await;
            return Ending::Refused;
        }
        if let Err(answer) = self.open(&opening) {
            self.refuse(answer).await;
            return Ending::Refused;
        }
        if self.send(None, Some(SessionState::Idle)).await.is_err() {
            return Ending::Caller;
        }
        loop {
            let request = match self.next().await {
                Ok(Some(request)) => request,
                Ok(None) => return Ending::Caller,
                Err(ending) => return ending,
            };
            let served = match request {
                Request::Run { id, statement } => self.serve(id, statement).await,
                Request::Close => return Ending::Caller,
                Request::Open(_) => self.reject("", "the session is open already").await,
                Request::Malformed { id, reason } => self.reject(&id, reason).await,
            };
            match served {
                Ok(()) => {}
                Err(ending) => return ending,
            }
        }
    }

    /// Next request. A session without a transaction ends here when the instance stops.
    async fn next(&mut self) -> Result<Option<Request>, Ending> {
        let shared = self.shared.clone();
        let idle = self.idle_limit();
        let open = self.transaction.is_some();
        tokio::select! {
            biased;
            request = self.read() => match request {
                Ok(request) => return Ok(request),
                Err(broken) => return Err(self.broken(broken).await),
            },
            () = shared.stop.idle_sessions_end(), if !open => return Err(Ending::Stopping),
            () = shared.stop.transactions_end(), if open => {}
            () = tokio::time::sleep(idle), if open => {}
        }
        // The transaction has rested for too long: its connection goes to others.
        if let Some(transaction) = &mut self.transaction
            && transaction.state != SessionState::Failed
        {
            transaction.state = SessionState::Failed;
            log(
                Event::TransactionAborted,
                format_args!(
                    "account={} database={} idle_ms={}",
                    self.account,
                    self.database,
                    idle.as_millis()
                ),
            );
        }
        if let Some(place) = self.transaction.as_mut().and_then(|t| t.place.take()) {
            self.shared.router.end(place);
        }
        match self.read().await {
            Ok(request) => Ok(request),
            Err(broken) => Err(self.broken(broken).await),
        }
    }

    fn idle_limit(&self) -> Duration {
        let idle = self.shared.local.view().plan.idle;
        Duration::from_millis(if idle == 0 { DEFAULT_IDLE } else { idle })
    }

    /// Reads the next request; safe to drop while it waits.
    async fn read(&mut self) -> Result<Option<Request>, Broken> {
        loop {
            if let Some(request) = self.shared.wire.decode(&mut self.inbound)? {
                return Ok(Some(request));
            }
            self.inbound.reserve(READ);
            match self.stream.read_buf(&mut self.inbound).await {
                Ok(0) | Err(_) => return Ok(None),
                Ok(_) => {}
            }
        }
    }

    fn open(&mut self, opening: &Opening) -> Result<(), Answer> {
        let view = self.shared.local.view();
        self.database = opening.database.clone();
        self.key = opening.key.as_deref().map(KeyHash::from);
        let refusal = match view.plan.databases.get(&opening.database) {
            None => Some((Code::UnknownDatabase, "no database of this name")),
            Some(database) => {
                let account = self.key.as_ref().and_then(|key| view.plan.account_of(key));
                match account {
                    Some(account) => {
                        self.account = account.clone();
                        None
                    }
                    None if database.open => None,
                    None => Some((Code::UnknownKey, "no client account has this key")),
                }
            }
        };
        let Some((code, reason)) = refusal else { return Ok(()) };
        self.shared.local.metrics.count_error(code);
        log(
            Event::SessionRefused,
            format_args!(
                "database={} code={code} reason={reason:?} config_version={}",
                opening.database.escape_debug(),
                view.plan.version
            ),
        );
        Err(Answer::error(code, reason))
    }

    /// Checks database and key again: both may have been withdrawn.
    fn check(&self) -> Result<Database, (Code, &'static str)> {
        let view = self.shared.local.view();
        let Some(database) = view.plan.databases.get(&self.database) else {
            return Err((Code::UnknownDatabase, "no database of this name"));
        };
        let holds = |key: &KeyHash| view.plan.account_of(key) == Some(&self.account);
        if !self.account.is_empty() && !self.key.as_ref().is_some_and(holds) {
            return Err((Code::UnknownKey, "the key was withdrawn"));
        }
        if self.account.is_empty() && !database.open {
            return Err((Code::UnknownKey, "the database needs a key"));
        }
        Ok(database.clone())
    }

    async fn serve(&mut self, id: Arc<str>, statement: Statement) -> Result<(), Ending> {
        let arrival = self.shared.local.now();
        let database = match self.check() {
            Ok(database) => database,
            Err((code, reason)) => return self.withdraw(&id, code, reason).await,
        };
        let state = self.transaction.as_ref().map_or(SessionState::Idle, |t| t.state);
        let kind = statement.label();
        let (answer, state) = match statement {
            Statement::Commit(_) | Statement::Rollback if state == SessionState::Failed => {
                self.drop_transaction();
                (ended(&statement), SessionState::Idle)
            }
            _ if state == SessionState::Failed => {
                (Answer::error(Code::Malformed, "the transaction failed"), state)
            }
            Statement::Begin { read_only } => {
                if state == SessionState::Open {
                    (Answer::error(Code::Malformed, "a transaction is open"), state)
                } else {
                    self.begin(database, read_only, arrival);
                    (Answer::local(), SessionState::Open)
                }
            }
            Statement::Rollback => {
                self.drop_transaction();
                (Answer::local(), SessionState::Idle)
            }
            Statement::Set { name, value } => (self.set(name, value), state),
            Statement::Prepare { name, shape } => (self.prepare(name, shape), state),
            Statement::Deallocate { name } => match self.prepared.remove(&name) {
                Some(_) => (Answer::local(), state),
                None => (Answer::error(Code::UnknownStatement, name), state),
            },
            Statement::Read(text) => self.run_text(&id, arrival, database, text, false).await,
            Statement::Write(text) => self.run_text(&id, arrival, database, text, true).await,
            Statement::Commit(text) => self.commit(&id, arrival, text).await,
            Statement::Execute { name, arguments } => match self.prepared.get(&name).cloned() {
                Some(shape) => {
                    let writes = shape.writes;
                    let text = Text::Prepared { shape, arguments };
                    self.run_statement(&id, arrival, database, text, writes).await
                }
                None => (Answer::error(Code::UnknownStatement, name), state),
            },
        };
        log_answer(&self.shared.local, &self.asked(&id, kind, arrival), &answer);
        self.send(Some(answer), Some(state)).await.map_err(|()| Ending::Caller)
    }

    fn begin(&mut self, database: Database, read_only: bool, arrival: Millis) {
        self.transaction = Some(Transaction {
            state: SessionState::Open,
            read_only,
            database,
            arrival,
            place: None,
            wrote: false,
        });
    }

    fn set(&mut self, name: Arc<str>, value: Arc<str>) -> Answer {
        if self.values.len() >= NAMES && !self.values.contains_key(&name) {
            return Answer::error(Code::Failed, "too many session values");
        }
        self.values.insert(name, value);
        Answer::local()
    }

    fn prepare(&mut self, name: Arc<str>, shape: Shape) -> Answer {
        if self.prepared.len() >= NAMES && !self.prepared.contains_key(&name) {
            return Answer::error(Code::Failed, "too many prepared statements");
        }
        self.prepared.insert(name, shape);
        Answer::local()
    }

    async fn run_text(
        &mut self,
        id: &Arc<str>,
        arrival: Millis,
        database: Database,
        text: Arc<str>,
        writes: bool,
    ) -> (Answer, SessionState) {
        self.run_statement(id, arrival, database, Text::Plain(text), writes).await
    }

    async fn run_statement(
        &mut self,
        id: &Arc<str>,
        arrival: Millis,
        database: Database,
        text: Text,
        writes: bool,
    ) -> (Answer, SessionState) {
        if self.transaction.is_some() {
            return self.run_in_transaction(id, arrival, text, writes, false).await;
        }
        if let Some(refused) = self.admit().await {
            return (refused, SessionState::Idle);
        }
        let task = self.task(id, &database, Step::Single, text, writes, arrival);
        let (answer, place) = self.shared.router.start(task).await;
        if let Some(place) = place {
            self.shared.router.end(place);
        }
        if writes && answer.code().is_none() {
            self.position = self.position.max(answer.position);
        }
        (answer, SessionState::Idle)
    }

    async fn run_in_transaction(
        &mut self,
        id: &Arc<str>,
        arrival: Millis,
        text: Text,
        writes: bool,
        commits: bool,
    ) -> (Answer, SessionState) {
        let Some(mut transaction) = self.transaction.take() else {
            return (Answer::error(Code::Malformed, "no transaction is open"), SessionState::Idle);
        };
        let place = transaction.place.take();
        let step = match place {
            Some(_) => Step::Next,
            None => Step::First { read_only: transaction.read_only },
        };
        if place.is_none()
            && let Some(refused) = self.admit().await
        {
            if commits {
                return (refused, SessionState::Idle);
            }
            transaction.state = SessionState::Failed;
            self.transaction = Some(transaction);
            return (refused, SessionState::Failed);
        }
        let begun = if place.is_some() { arrival } else { transaction.arrival };
        let mut task = self.task(id, &transaction.database, step, text, writes || commits, begun);
        task.job.commits = commits;
        transaction.wrote |= writes;
        let (answer, place) = match place {
            Some(place) => self.shared.router.next(place, task).await,
            None => self.shared.router.start(task).await,
        };
        if commits {
            if let Some(place) = place {
                self.shared.router.end(place);
            }
            if answer.code().is_none() && transaction.wrote {
                self.position = self.position.max(answer.position);
            }
            return (answer, SessionState::Idle);
        }
        let failed = answer.code().is_some() || place.is_none();
        if failed {
            if let Some(place) = place {
                self.shared.router.end(place);
            }
            transaction.state = SessionState::Failed;
        } else {
            transaction.place = place;
        }
        let state = transaction.state;
        self.transaction = Some(transaction);
        (answer, state)
    }

    async fn commit(
        &mut self,
        id: &Arc<str>,
        arrival: Millis,
        text: Arc<str>,
    ) -> (Answer, SessionState) {
        self.run_in_transaction(id, arrival, Text::Plain(text), false, true).await
    }

    /// A refusal, if the rate of the client account does not cover another operation.
    async fn admit(&self) -> Option<Answer> {
        if self.account.is_empty() || self.shared.admission.admit(&self.account).await {
            return None;
        }
        let held = self.shared.local.describe(&self.account);
        Some(Answer::error(Code::Busy, format!("rate of the client account: {held}")))
    }

    fn task(
        &self,
        id: &Arc<str>,
        database: &Database,
        step: Step,
        text: Text,
        once: bool,
        arrival: Millis,
    ) -> Task {
        let need = match database.freshness {
            Freshness::Newest => Need::Primary,
            Freshness::Bounded(age) => Need::Recent { age, after: None },
            Freshness::Session(age) => Need::Recent { age, after: self.position },
        };
        let job = Job {
            id: id.clone(),
            account: self.account.clone(),
            group: database.group.clone(),
            server: "".into(),
            after: None,
            step,
            once,
            commits: false,
            text,
            values: self.values.clone(),
            left: database.timeout,
            patience: patience(database),
            priority: database.priority,
        };
        Task { job, need, arrival }
    }

    pub(crate) fn drop_transaction(&mut self) {
        if let Some(place) = self.transaction.take().and_then(|mut t| t.place.take()) {
            self.shared.router.end(place);
        }
    }

    pub(crate) fn asked<'a>(
        &'a self,
        id: &'a str,
        kind: &'static str,
        arrival: Millis,
    ) -> Asked<'a> {
        Asked { id, kind, account: &self.account, database: &self.database, arrival }
    }

    pub(crate) async fn send(
        &mut self,
        answer: Option<Answer>,
        state: Option<SessionState>,
    ) -> Result<(), ()> {
        self.shared.wire.encode(&Reply { answer, state }, &mut self.outbound);
        let outbound = self.outbound.split();
        self.stream.write_all(&outbound).await.map_err(|_| ())
    }
}

/// Idle time of transactions before a configuration sets one, in milliseconds.
const DEFAULT_IDLE: u64 = 3_000;

/// Part of the latency objective that a job may be expected to wait for a slot. The rest is for the
/// ways, a connection that must be opened, and the server's work. A longer queue under lasting
/// overload would serve no more statements, only all of them late.
const PATIENCE: f64 = 0.6;

fn patience(database: &Database) -> Millis {
    let objective = if database.objective == 0 { database.timeout } else { database.objective };
    (objective as f64 * PATIENCE) as Millis
}

/// Answer to the end of a failed transaction.
fn ended(statement: &Statement) -> Answer {
    match statement {
        Statement::Commit(_) => Answer::error(Code::Aborted, "the transaction was rolled back"),
        _ => Answer::local(),
    }
}
