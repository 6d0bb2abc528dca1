//! A caller's connection after start-up.

use std::{io, sync::Arc, time::Duration};

use auburnlug_protocol::{
    outcome::{SqlError, outcome_error, refusal_error},
    peer::{Answer, Outcome, Reason, Request, TransactionEffect},
    statement::Setting,
};
use auburnlug_state::Millis;
use bytes::BytesMut;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::watch,
    time::timeout,
};

use crate::{
    batch::{Forward, Plan, Prepared},
    entry::EntryContext,
    event::{Event, log},
    forwarder::{Forwarded, Peer, RequestTracker},
    frame::{self, Frame},
    handshake::{Identity, is_valid_key},
    view::View,
};

/// Bounds each message and each batch of a caller.
pub(crate) const MAX_BATCH_BYTES: usize = 1 << 20;

/// Bounds the time to write the error that closes a connection.
const CLOSE_WRITE_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after the withdrawal of a key for which the answer to a request in flight is still passed
/// on. Without it, the outcome of most requests in flight would be unknown.
const WITHDRAWAL_GRACE_PERIOD: Duration = Duration::from_millis(200);

/// A caller's connection.
pub(crate) struct Caller {
    shared: Arc<EntryContext>,
    stream: TcpStream,
    buf: BytesMut,
    identity: Identity,
    view: watch::Receiver<Arc<View>>,
    stopping: watch::Receiver<bool>,
    tracker: Arc<RequestTracker>,
    prepared: Prepared,
    transaction: TransactionState,
    session: Option<String>,
    request_id: Option<String>,
    age: Option<Millis>,
}

/// State of the caller's transaction.
enum TransactionState {
    Idle,
    /// Open at the owner that this link leads to; the byte is the status that the server reported.
    Open(Arc<Peer>, u8),
    /// Lost with its owner or connection; the caller has not ended it yet.
    Lost,
    /// Like [`TransactionState::Lost`], but its commit was sent and may have run.
    CommitUnknown,
}

/// Why a connection ends.
enum End {
    /// The caller has disconnected or violated the protocol.
    Disconnected,
    /// The proxy closes it with this error.
    Close(SqlError),
}

impl From<io::Error> for End {
    fn from(error: io::Error) -> End {
        match error.kind() {
            io::ErrorKind::FileTooLarge => End::Close(refusal_error(Reason::Size, 0)),
            io::ErrorKind::InvalidData => End::Close(SqlError::new("08P01", "malformed message")),
            _ => End::Disconnected,
        }
    }
}

impl Caller {
    pub(crate) fn new(
        shared: Arc<EntryContext>,
        stream: TcpStream,
        buf: BytesMut,
        identity: Identity,
        tracker: Arc<RequestTracker>,
    ) -> Caller {
        let (view, stopping) = (shared.control.view(), shared.stopping.clone());
        let session = identity.settings.get("auburnlug.session").cloned();
        let age = identity.settings.get("auburnlug.age").and_then(|age| age.parse().ok());
        Caller {
            shared,
            stream,
            buf,
            identity,
            view,
            stopping,
            tracker,
            prepared: Prepared::default(),
            transaction: TransactionState::Idle,
            session,
            request_id: None,
            age,
        }
    }

    /// Serves the caller until either side ends the connection.
    pub(crate) async fn serve(mut self) {
        let end = loop {
            if let Err(end) = self.serve_batch().await {
                break end;
            }
        };
        if let End::Close(error) = end {
            match error.code {
                "28000" => log(Event::KeyWithdrawn, format_args!("{}", self.identity.account)),
                "54000" => log(Event::CallerOversized, format_args!("{}", self.identity.account)),
                "08P01" => log(Event::CallerMalformed, format_args!("{}", self.identity.account)),
                _ => {}
            }
            let mut out = BytesMut::new();
            frame::put_error(&mut out, "FATAL", &error);
            // The caller may have disconnected already, or may not read.
            let _ = timeout(CLOSE_WRITE_TIMEOUT, self.stream.write_all(&out)).await;
            let _ = self.stream.shutdown().await;
        }
    }

    /// Reads one batch and answers it.
    async fn serve_batch(&mut self) -> Result<(), End> {
        let Some(batch) = self.read_batch().await? else { return Ok(()) };
        let plan = {
            let view = self.view.borrow().clone();
            self.prepared.plan(
                &batch,
                &view.machine.config,
                !matches!(self.transaction, TransactionState::Idle),
            )
        };
        let mut out = BytesMut::new();
        match plan {
            Plan::Refuse(error) => {
                self.shared.metrics.count_refusal(refusal_label(&error));
                self.put_refusal(&mut out, &error);
            }
            Plan::Local(settings, answer) => {
                for setting in settings {
                    self.apply_setting(setting);
                }
                out = answer;
                frame::put_ready(&mut out, self.transaction_status());
            }
            Plan::Forward(forward) => self.forward(*forward, &mut out).await?,
        }
        self.write(&out).await
    }

    /// Reads messages up to `Query` or `Sync`.
    async fn read_batch(&mut self) -> Result<Option<Vec<Frame>>, End> {
        let mut batch: Vec<Frame> = Vec::new();
        let mut size = 0;
        let mut refused: Option<SqlError> = None;
        loop {
            self.check_open(batch.is_empty())?;
            let frame = tokio::select! {
                biased;
                changed = self.view.changed() => {
                    changed.map_err(|_| End::Disconnected)?;
                    continue;
                }
                changed = self.stopping.changed() => {
                    changed.map_err(|_| End::Disconnected)?;
                    continue;
                }
                frame = frame::read(&mut self.stream, &mut self.buf, MAX_BATCH_BYTES) => frame?,
            };
            size += frame.bytes.len();
            match frame.tag {
                b'X' => return Err(End::Disconnected),
                _ if size > MAX_BATCH_BYTES => refused = Some(refusal_error(Reason::Size, 0)),
                // A batch is answered only at its end: a caller that waits for an answer after
                // `Flush` would wait for ever.
                b'H' => refused = Some(SqlError::new("0A000", "not run: Flush is not supported")),
                _ if refused.is_none() => batch.push(frame.clone()),
                _ => {}
            }
            if !matches!(frame.tag, b'Q' | b'S') {
                if refused.is_some() {
                    batch.clear();
                }
                continue;
            }
            let Some(error) = refused else { return Ok(Some(batch)) };
            let mut out = BytesMut::new();
            self.put_refusal(&mut out, &error);
            self.shared.metrics.count_refusal(refusal_label(&error));
            self.write(&out).await?;
            return Ok(None);
        }
    }

    /// Closes the connection if its key was withdrawn or, while it is `idle`, the instance stops.
    fn check_open(&mut self, idle: bool) -> Result<(), End> {
        let view = self.view.borrow_and_update().clone();
        if !has_valid_key(&self.identity, &view) {
            return Err(End::Close(withdrawn_fault()));
        }
        let stopping = view.stopping || *self.stopping.borrow();
        if stopping && idle && matches!(self.transaction, TransactionState::Idle) {
            return Err(End::Close(SqlError::new("57P01", "the instance is stopping")));
        }
        Ok(())
    }

    /// Writes an answer. If the key is withdrawn meanwhile, the rest must be written within
    /// [`WITHDRAWAL_GRACE_PERIOD`]. No error message may follow an incomplete answer.
    async fn write(&mut self, out: &[u8]) -> Result<(), End> {
        let writing = self.stream.write_all(out);
        tokio::pin!(writing);
        loop {
            tokio::select! {
                biased;
                done = &mut writing => return Ok(done?),
                changed = self.view.changed() => {
                    changed.map_err(|_| End::Disconnected)?;
                    if !has_valid_key(&self.identity, &self.view.borrow()) {
                        let written = timeout(WITHDRAWAL_GRACE_PERIOD, writing)
                            .await
                            .map_err(|_| End::Disconnected)?;
                        written?;
                        return Err(End::Close(withdrawn_fault()));
                    }
                }
            }
        }
    }

    /// Forwards a batch and appends its answer.
    async fn forward(&mut self, mut forward: Forward, out: &mut BytesMut) -> Result<(), End> {
        if self.identity.key.is_none() && !forward.needs.open {
            self.put_refusal(
                out,
                &SqlError::new("42501", "not run: without a key only open routes run"),
            );
            return Ok(());
        }
        if matches!(self.transaction, TransactionState::Lost | TransactionState::CommitUnknown) {
            self.answer_lost_transaction(&forward, out);
            return Ok(());
        }
        let commit = forward.needs.block == TransactionEffect::Commit;
        let request = self.build_request(&mut forward);
        let Forwarded { answer, peer } = self.run_request(request).await?;
        self.shared.metrics.count_answer(&answer.outcome);
        self.update_transaction(&answer, peer, commit);
        match outcome_error(&answer.outcome) {
            Some(error) => self.put_refusal(out, &error),
            None => out.extend_from_slice(&self.prepared.complete(&mut forward, answer.messages)),
        }
        if matches!(self.transaction, TransactionState::Idle) {
            self.prepared.clear_portals();
        }
        Ok(())
    }

    /// Runs the request; stops early if the caller disconnects or its key is withdrawn.
    ///
    /// After a withdrawal no attempt is sent. The answer to a request in flight is passed on if it
    /// arrives in time; otherwise the outcome is unknown. The connection closes before the next
    /// request.
    async fn run_request(&mut self, request: Request) -> Result<Forwarded, End> {
        let pin = match &self.transaction {
            TransactionState::Open(peer, _) => Some(peer.clone()),
            _ => None,
        };
        let shared = self.shared.clone();
        let tracker = self.tracker.clone();
        let run = shared.forwarder.run(&tracker, request, pin);
        tokio::pin!(run);
        loop {
            tokio::select! {
                answer = &mut run => return Ok(answer),
                changed = self.view.changed() => {
                    changed.map_err(|_| End::Disconnected)?;
                    if has_valid_key(&self.identity, &self.view.borrow()) {
                        continue;
                    }
                    // `run` is not polled before this call, so no attempt can start in between.
                    if !tracker.revoke() {
                        return Err(End::Close(withdrawn_fault()));
                    }
                    let answer = timeout(WITHDRAWAL_GRACE_PERIOD, run).await;
                    return Ok(answer.unwrap_or_else(|_| Forwarded::unknown()));
                }
                read = self.stream.read_buf(&mut self.buf), if self.buf.len() < MAX_BATCH_BYTES => {
                    if read? == 0 {
                        return Err(End::Disconnected);
                    }
                }
            }
        }
    }

    fn build_request(&mut self, forward: &mut Forward) -> Request {
        let view = self.view.borrow().clone();
        let needs = forward.needs;
        let account = view.machine.config.accounts.get(&self.identity.account);
        let age = forward.hints.age.or(self.age);
        let limit = account.map_or(0, |account| account.age);
        Request {
            group: self.identity.group.clone(),
            account: self.identity.account.clone(),
            key: self.identity.key.clone(),
            index: view.machine.version,
            session: forward.hints.session.take().or_else(|| self.session.clone()),
            id: forward.hints.id.take().or_else(|| self.request_id.take()),
            read: needs.read,
            idempotent: needs.idempotent,
            class: needs.class,
            // A caller may ask for fresher data than its account accepts, not for older.
            age: age.map_or(limit, |age| age.min(limit)),
            wait: self.shared.wait_limit,
            block: needs.block,
            messages: std::mem::take(&mut forward.messages).into(),
        }
    }

    /// Updates the state of the transaction after an answer.
    fn update_transaction(&mut self, answer: &Answer, peer: Option<Arc<Peer>>, commit: bool) {
        let open = matches!(self.transaction, TransactionState::Open(..));
        self.transaction = match &answer.outcome {
            Outcome::Done | Outcome::Failed => match (answer.messages.last(), peer) {
                (Some(&status @ (b'T' | b'E')), Some(peer)) => TransactionState::Open(peer, status),
                _ => TransactionState::Idle,
            },
            Outcome::Refused { .. } | Outcome::Unknown if open => {
                self.tracker.close();
                self.shared.forwarder.renew_stream(&self.tracker);
                let commit_unknown = commit && answer.outcome == Outcome::Unknown;
                if commit_unknown {
                    TransactionState::CommitUnknown
                } else {
                    TransactionState::Lost
                }
            }
            Outcome::Refused { .. } | Outcome::Unknown => TransactionState::Idle,
        };
    }

    /// Answers a batch in a lost transaction.
    fn answer_lost_transaction(&mut self, forward: &Forward, out: &mut BytesMut) {
        let block = forward.needs.block;
        let answer = match self.transaction {
            TransactionState::CommitUnknown
                if matches!(block, TransactionEffect::Commit | TransactionEffect::Rollback) =>
            {
                outcome_error(&Outcome::Unknown)
            }
            TransactionState::CommitUnknown => {
                Some(SqlError::new("25P02", "not run: the transaction has ended"))
            }
            _ if block == TransactionEffect::Rollback => None,
            _ => Some(SqlError::new("25P02", "not run: the transaction was rolled back")),
        };
        if matches!(block, TransactionEffect::Commit | TransactionEffect::Rollback) {
            self.transaction = TransactionState::Idle;
            self.prepared.clear_portals();
        }
        match answer {
            Some(error) => self.put_refusal(out, &error),
            None => {
                out.extend_from_slice(&forward.completed("ROLLBACK"));
                frame::put_ready(out, b'I');
            }
        }
    }

    fn apply_setting(&mut self, setting: Setting) {
        match setting {
            Setting::Session(value) => self.session = value,
            Setting::Request(value) => self.request_id = value,
            Setting::Age(value) => self.age = value,
        }
    }

    fn put_refusal(&self, out: &mut BytesMut, error: &SqlError) {
        frame::put_error(out, "ERROR", error);
        frame::put_ready(out, self.transaction_status());
    }

    fn transaction_status(&self) -> u8 {
        match self.transaction {
            TransactionState::Idle => b'I',
            TransactionState::Open(_, status) => status,
            TransactionState::Lost | TransactionState::CommitUnknown => b'E',
        }
    }
}

/// Whether the caller's key is still valid.
fn has_valid_key(identity: &Identity, view: &View) -> bool {
    let account = view.machine.config.accounts.get(&identity.account);
    account
        .is_some_and(|account| identity.key.as_ref().is_none_or(|key| is_valid_key(account, key)))
}

fn withdrawn_fault() -> SqlError {
    SqlError::new("28000", "the key was withdrawn")
}

/// Metric label of a refusal by the entry.
fn refusal_label(error: &SqlError) -> &'static str {
    match error.code {
        "0A000" => "state",
        "54000" => "size",
        _ => "protocol",
    }
}
