//! Sessions of callers: a connection with its session values, prepared statements and transaction.

use std::{rc::Rc, sync::Arc, time::Duration};

use auburnlug_coordination::{
    Position,
    client_budget::{MESSAGE_COPIES, Standing},
    home_regions::HomeRegions,
};
use auburnlug_protocol::job::{
    Answer, DataRequirement, ErrorCode, Job, Opening, Reply, Request, SessionState, Statement,
    StatementText, TransactionStep,
};
use auburnlug_state::{
    Millis,
    fleet::{Database, Freshness, KeyHash},
};
use auburnlug_transport::{
    client_room::Client,
    event::{Event, log},
};
use bytes::{BufMut, BytesMut};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{Instant, sleep_until, timeout},
};

use crate::{
    local_state::LocalState,
    router::{Router, StatementTask},
    session_log::{AnsweredRequest, log_answer},
    session_names::SessionNames,
    session_transaction::Transaction,
    shutdown::Shutdown,
    wire::{CallerWire, DecodeError},
};

/// Longest wait for the opening message after a caller has connected.
const CALLER_OPENING_TIMEOUT: Duration = Duration::from_millis(10_000);

/// Longest wait of a new session for the first configuration. Callers give up after two seconds.
const FIRST_CONFIG_TIMEOUT: Duration = Duration::from_millis(1_700);

/// Time after the answer to an opening within which the first request is taken for the reason of
/// the opening: a round trip to the caller, also on a loaded link.
const FIRST_REQUEST_DELAY_MS: Millis = 100;

const CALLER_READ_BYTES: usize = 4 << 10;

/// Longest opening message; the names and keys of the configuration are far shorter.
const MAX_OPENING_BYTES: usize = 8 << 10;

/// Size of a message above which its buffer is not kept for the next one.
const MAX_KEPT_BUFFER_BYTES: usize = 16 << 10;

/// Time within which a message that has begun must be complete: several times what the largest one
/// takes on a link of 2 Mbit/s.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(60);

/// Longest time for which a caller may read nothing of an answer.
const ANSWER_READ_TIMEOUT: Duration = Duration::from_secs(30);

/// Copies of an answer while it is sent: its rows and the encoded message.
const ANSWER_COPIES: usize = 2;

/// Context shared by all sessions of an entry.
pub struct SessionContext {
    /// State of the entry.
    pub local: Rc<LocalState>,
    /// Runs statements on servers.
    pub router: Rc<Router>,
    /// Wire protocol of callers.
    pub wire: Arc<dyn CallerWire>,
    /// Progress of a shutdown.
    pub shutdown: Rc<Shutdown>,
}

/// Reason why a session ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Ending {
    /// The caller closed the session or the connection.
    Caller,
    /// The caller sent an unreadable message.
    Unreadable,
    /// The opening was refused.
    Refused,
    /// The key was withdrawn.
    KeyWithdrawn,
    /// The instance is shutting down.
    Stopping,
}

/// Session of a caller.
pub(crate) struct Session {
    pub(crate) context: Rc<SessionContext>,
    stream: TcpStream,
    /// Place of the connection in the budget of all callers.
    pub(crate) client: Client,
    inbound: BytesMut,
    outbound: BytesMut,
    database: Arc<str>,
    /// Client account; empty for callers without a key.
    pub(crate) account: Arc<str>,
    key: Option<KeyHash>,
    names: SessionNames,
    /// Position of the last commit of this session.
    pub(crate) commit_position: Option<Position>,
    pub(crate) transaction: Option<Transaction>,
    /// Whether the opening was accepted.
    is_open: bool,
    /// Arrival of the first bytes of a message that is not complete.
    begun_at: Option<Instant>,
    /// Times at which the opening arrived and was answered, until the first request.
    opened: Option<(Millis, Millis)>,
    /// Time from which the latency of the present operation counts.
    asked_at: Millis,
}

/// Serves the connection of a caller until it ends.
pub async fn serve(context: Rc<SessionContext>, stream: TcpStream, client: Client) {
    let _ = stream.set_nodelay(true);
    let metrics = context.local.metrics.clone();
    metrics.sessions.inc();
    let mut session = Session {
        context,
        stream,
        client,
        inbound: BytesMut::with_capacity(CALLER_READ_BYTES),
        outbound: BytesMut::new(),
        database: "".into(),
        account: "".into(),
        key: None,
        names: SessionNames::default(),
        commit_position: None,
        transaction: None,
        is_open: false,
        begun_at: None,
        opened: None,
        asked_at: 0,
    };
    let ending = session.run().await;
    session.drop_transaction();
    metrics.sessions.dec();
    if ending != Ending::Caller && session.client.may_log() {
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
    /// Opens the session and serves its requests until it ends.
    async fn run(&mut self) -> Ending {
        let opening = match timeout(CALLER_OPENING_TIMEOUT, self.read_request()).await {
            Ok(Ok(Some(Request::Open(opening)))) => opening,
            Ok(Ok(None)) | Err(_) => return Ending::Caller,
            Ok(Ok(Some(_))) => {
                return self.end_unreadable(ErrorCode::Malformed, "the session is not open").await;
            }
            Ok(Err(error)) => return self.end_undecodable(error).await,
        };
        let arrival = self.context.local.now();
        if !self.context.router.wait_for_config(FIRST_CONFIG_TIMEOUT).await {
            let silence = self.context.router.describe_silence();
            let reason = format!("this instance has no configuration yet{silence}");
            self.send_final_answer(Answer::error(ErrorCode::Busy, reason)).await;
            return Ending::Refused;
        }
        if let Err(answer) = self.authorize(&opening) {
            self.send_final_answer(answer).await;
            return Ending::Refused;
        }
        self.is_open = true;
        self.client.open(&self.account);
        if self.send(None, Some(SessionState::Idle)).await.is_err() {
            return Ending::Caller;
        }
        self.opened = Some((arrival, self.context.local.now()));
        loop {
            let request = match self.next_request().await {
                Ok(Some(request)) => request,
                Ok(None) => return Ending::Caller,
                Err(ending) => return ending,
            };
            let served = match request {
                Request::Run { id, statement } => self.serve_statement(id, statement).await,
                Request::Close => return Ending::Caller,
                Request::Open(_) => self.refuse_malformed("", "the session is open already").await,
                Request::Malformed { id, reason } => self.refuse_malformed(&id, reason).await,
            };
            match served {
                Ok(()) => {}
                Err(ending) => return ending,
            }
        }
    }

    /// Waits for the next request. On shutdown, a session without a transaction ends here.
    async fn next_request(&mut self) -> Result<Option<Request>, Ending> {
        let context = self.context.clone();
        let idle = self.idle_limit();
        let open = self.transaction.is_some();
        tokio::select! {
            biased;
            request = self.read_request() => match request {
                Ok(request) => return Ok(request),
                Err(error) => return Err(self.end_undecodable(error).await),
            },
            () = context.shutdown.wait_for_idle_deadline(), if !open => return Err(Ending::Stopping),
            () = context.shutdown.wait_for_transaction_deadline(), if open => {}
            () = tokio::time::sleep(idle), if open => {}
        }
        // The transaction was idle for too long or the instance is shutting down: the transaction
        // is rolled back, so that other jobs can use its connection.
        if let Some(transaction) = &mut self.transaction
            && transaction.state != SessionState::Failed
        {
            transaction.state = SessionState::Failed;
            self.client.set_standing(Standing::Open);
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
        if let Some(route) = self.transaction.as_mut().and_then(|t| t.route.take()) {
            self.context.router.release(route);
        }
        match self.read_request().await {
            Ok(request) => Ok(request),
            Err(error) => Err(self.end_undecodable(error).await),
        }
    }

    fn idle_limit(&self) -> Duration {
        let idle = self.context.local.view().config.idle;
        Duration::from_millis(if idle == 0 { DEFAULT_IDLE_LIMIT_MS } else { idle })
    }

    /// Reads the next request; cancel safe.
    async fn read_request(&mut self) -> Result<Option<Request>, DecodeError> {
        let mut received = self.inbound.len();
        loop {
            let before = self.inbound.len();
            if self.context.wire.ends_message(&self.inbound, received)
                && let Some(request) = self.context.wire.decode(&mut self.inbound)?
            {
                self.begun_at = None;
                if before - self.inbound.len() > MAX_KEPT_BUFFER_BYTES {
                    self.inbound = BytesMut::from(&self.inbound[..]);
                }
                return Ok(Some(request));
            }
            if !self.is_open && before > MAX_OPENING_BYTES {
                return Err(DecodeError::TooLarge);
            }
            received = self.receive().await;
            if received == 0 {
                return Ok(None);
            }
        }
    }

    /// Reads bytes once there is room for them; zero if the connection ends. Cancel safe.
    async fn receive(&mut self) -> usize {
        let held = self.names.bytes() + self.inbound.len() * MESSAGE_COPIES + CALLER_READ_BYTES;
        if !self.client.hold(held).await {
            return 0;
        }
        if !self.inbound.is_empty() {
            self.begun_at.get_or_insert_with(Instant::now);
        }
        let deadline = self.begun_at.map(|begun| begun + MESSAGE_TIMEOUT);
        self.inbound.reserve(CALLER_READ_BYTES);
        let mut buffer = (&mut self.inbound).limit(CALLER_READ_BYTES);
        tokio::select! {
            biased;
            count = self.stream.read_buf(&mut buffer) => count.unwrap_or(0),
            () = self.client.closed() => 0,
            () = wait_until(deadline) => {
                self.client.record_stalled();
                0
            }
        }
    }

    /// Checks the database and the key of a new session.
    ///
    /// # Errors
    ///
    /// The database does not exist, or no client account has the key.
    fn authorize(&mut self, opening: &Opening) -> Result<(), Answer> {
        let view = self.context.local.view();
        self.database = opening.database.clone();
        self.key = opening.key.as_deref().map(KeyHash::from);
        let refusal = match view.config.databases.get(&opening.database) {
            None => Some((ErrorCode::UnknownDatabase, "no database of this name")),
            Some(database) => {
                let account = self.key.as_ref().and_then(|key| view.config.account_of_key(key));
                match account {
                    Some(account) => {
                        self.account = account.clone();
                        None
                    }
                    None if database.anonymous => None,
                    None => Some((ErrorCode::UnknownKey, "no client account has this key")),
                }
            }
        };
        let Some((code, reason)) = refusal else { return Ok(()) };
        self.context.local.metrics.count_error(code);
        if self.client.may_log() {
            log(
                Event::SessionRefused,
                format_args!(
                    "database={} code={code} reason={reason:?} config_version={}",
                    opening.database.escape_debug(),
                    view.config.version
                ),
            );
        }
        Err(Answer::error(code, reason))
    }

    /// Checks the database and the key again, as both may have been withdrawn.
    ///
    /// # Errors
    ///
    /// The database or the key was withdrawn.
    pub(crate) fn check_access(&self) -> Result<Database, (ErrorCode, &'static str)> {
        let view = self.context.local.view();
        let Some(database) = view.config.databases.get(&self.database) else {
            return Err((ErrorCode::UnknownDatabase, "no database of this name"));
        };
        let owns_key = |key: &KeyHash| view.config.account_of_key(key) == Some(&self.account);
        if !self.account.is_empty() && !self.key.as_ref().is_some_and(owns_key) {
            return Err((ErrorCode::UnknownKey, "the key was withdrawn"));
        }
        if self.account.is_empty() && !database.anonymous {
            return Err((ErrorCode::UnknownKey, "the database needs a key"));
        }
        Ok(database.clone())
    }

    /// Runs a statement and sends its answer.
    async fn serve_statement(&mut self, id: Arc<str>, statement: Statement) -> Result<(), Ending> {
        self.client.set_standing(Standing::Running);
        let arrival = self.context.local.now();
        let opened = self.opened.take();
        if self.transaction.is_none() {
            self.asked_at = operation_start(opened, arrival);
        }
        let database = match self.check_access() {
            Ok(database) => database,
            Err((code, reason)) => return self.refuse_withdrawn(&id, code, reason).await,
        };
        let state = self.transaction.as_ref().map_or(SessionState::Idle, |t| t.state);
        let kind = statement.label();
        let (answer, state) = match statement {
            Statement::Commit(_) | Statement::Rollback if state == SessionState::Failed => {
                self.drop_transaction();
                (answer_to_end(&statement), SessionState::Idle)
            }
            _ if state == SessionState::Failed => {
                (Answer::error(ErrorCode::Malformed, "the transaction failed"), state)
            }
            Statement::Begin { read_only } => {
                if state == SessionState::Open {
                    (Answer::error(ErrorCode::Malformed, "a transaction is open"), state)
                } else {
                    self.begin_transaction(database, read_only, arrival);
                    (Answer::without_server(), SessionState::Open)
                }
            }
            Statement::Rollback => {
                self.drop_transaction();
                (Answer::without_server(), SessionState::Idle)
            }
            Statement::Set { name, value } => match self.names.set_value(name, value) {
                true => (Answer::without_server(), state),
                false => (Answer::error(ErrorCode::Failed, "too many session values"), state),
            },
            Statement::Prepare { name, shape } => match self.names.prepare(name, shape) {
                true => (Answer::without_server(), state),
                false => (Answer::error(ErrorCode::Failed, "too many prepared statements"), state),
            },
            Statement::Deallocate { name } => match self.names.deallocate(&name) {
                true => (Answer::without_server(), state),
                false => (Answer::error(ErrorCode::UnknownStatement, name), state),
            },
            Statement::Read(text) => self.run_text(&id, arrival, database, text, false).await,
            Statement::Write(text) => self.run_text(&id, arrival, database, text, true).await,
            Statement::Commit(text) => self.commit(&id, arrival, text).await,
            Statement::Execute { name, arguments } => match self.names.prepared(&name).cloned() {
                Some(shape) => {
                    let writes = shape.writes;
                    let text = StatementText::Prepared { shape, arguments };
                    self.run_statement(&id, arrival, database, text, writes).await
                }
                None => (Answer::error(ErrorCode::UnknownStatement, name), state),
            },
        };
        log_answer(&self.context.local, &self.answered_request(&id, kind, arrival), &answer);
        self.send(Some(answer), Some(state)).await.map_err(|()| Ending::Caller)
    }

    async fn run_text(
        &mut self,
        id: &Arc<str>,
        arrival: Millis,
        database: Database,
        text: Arc<str>,
        writes: bool,
    ) -> (Answer, SessionState) {
        self.run_statement(id, arrival, database, StatementText::Plain(text), writes).await
    }

    async fn run_statement(
        &mut self,
        id: &Arc<str>,
        arrival: Millis,
        database: Database,
        text: StatementText,
        writes: bool,
    ) -> (Answer, SessionState) {
        if self.transaction.is_some() {
            return self.run_in_transaction(id, arrival, text, writes, false).await;
        }
        let task = self.build_task(id, &database, TransactionStep::Single, text, writes, arrival);
        let (answer, route) = self.context.router.run_first(task).await;
        if let Some(route) = route {
            self.context.router.release(route);
        }
        if writes && answer.code().is_none() {
            self.commit_position = self.commit_position.max(answer.position);
        }
        (answer, SessionState::Idle)
    }

    pub(crate) fn build_task(
        &self,
        id: &Arc<str>,
        database: &Database,
        step: TransactionStep,
        text: StatementText,
        run_once: bool,
        arrival: Millis,
    ) -> StatementTask {
        let need = match database.freshness {
            Freshness::Newest => DataRequirement::Primary,
            Freshness::Bounded(age) => DataRequirement::Recent { age, after: None },
            Freshness::Session(age) => DataRequirement::Recent { age, after: self.commit_position },
        };
        let job = Job {
            id: id.clone(),
            account: self.account.clone(),
            group: database.group.clone(),
            server: "".into(),
            after: None,
            step,
            run_once,
            commits: false,
            text,
            values: self.names.values().clone(),
            remaining: database.timeout,
            max_wait: max_queue_wait(database),
            priority: database.priority,
            objective: (self.asked_at + latency_objective(database))
                .saturating_sub(self.context.local.now()),
        };
        let config = &self.context.local.view().config;
        let account = config.accounts.get(&self.account).map(|account| &account.homes);
        let homes = HomeRegions::new(&database.homes, account);
        StatementTask { job, need, arrival, homes }
    }

    pub(crate) fn answered_request<'a>(
        &'a self,
        id: &'a str,
        kind: &'static str,
        arrival: Millis,
    ) -> AnsweredRequest<'a> {
        AnsweredRequest { id, kind, account: &self.account, database: &self.database, arrival }
    }

    pub(crate) async fn send(
        &mut self,
        answer: Option<Answer>,
        state: Option<SessionState>,
    ) -> Result<(), ()> {
        self.context.wire.encode(&Reply { answer, state }, &mut self.outbound);
        let outbound = self.outbound.split();
        if outbound.len() > MAX_KEPT_BUFFER_BYTES {
            self.outbound = BytesMut::new();
        }
        if self.is_open {
            let is_idle = self.transaction.is_none();
            let standing = if is_idle { Standing::Open } else { Standing::Transaction };
            self.client.set_standing(standing);
        }
        if !self.client.hold(self.names.bytes() + outbound.len() * ANSWER_COPIES).await {
            return Err(());
        }
        let mut rest = &outbound[..];
        while !rest.is_empty() {
            let written = tokio::select! {
                biased;
                written = timeout(ANSWER_READ_TIMEOUT, self.stream.write(rest)) => written,
                () = self.client.closed() => return Err(()),
            };
            match written {
                Ok(Ok(count)) if count > 0 => rest = &rest[count..],
                Ok(_) => return Err(()),
                Err(_) => {
                    self.client.record_stalled();
                    return Err(());
                }
            }
        }
        Ok(())
    }
}

/// Waits until a time; for ever without one.
async fn wait_until(deadline: Option<Instant>) {
    match deadline {
        Some(deadline) => sleep_until(deadline).await,
        None => std::future::pending().await,
    }
}

/// Idle limit of transactions if the configuration sets none.
const DEFAULT_IDLE_LIMIT_MS: u64 = 3_000;

/// Part of the latency objective that a job may wait for a slot. The rest is for network latency,
/// opening a connection, and the work of the server. Under lasting overload, a longer queue would
/// not serve more statements, but answer all of them late.
const QUEUE_WAIT_FRACTION: f64 = 0.6;

/// Time from which the latency of an operation counts that arrives at `arrival`. The first one of a
/// session was asked with the opening, unless the caller paused after the answer to it.
fn operation_start(opened: Option<(Millis, Millis)>, arrival: Millis) -> Millis {
    let follows = |(_, answered): &(Millis, Millis)| arrival < answered + FIRST_REQUEST_DELAY_MS;
    opened.filter(follows).map_or(arrival, |(opening, _)| opening)
}

/// Latency objective of the operations on a database; its timeout if it has none.
fn latency_objective(database: &Database) -> Millis {
    if database.latency_objective == 0 { database.timeout } else { database.latency_objective }
}

/// Longest expected wait for a slot with which a job joins a queue, in milliseconds.
fn max_queue_wait(database: &Database) -> Millis {
    (latency_objective(database) as f64 * QUEUE_WAIT_FRACTION) as Millis
}

/// Answer to the commit or rollback of a failed transaction.
fn answer_to_end(statement: &Statement) -> Answer {
    match statement {
        Statement::Commit(_) => {
            Answer::error(ErrorCode::Aborted, "the transaction was rolled back")
        }
        _ => Answer::without_server(),
    }
}
