//! A caller's connection after start-up.

use std::{io, sync::Arc, time::Duration};

use auburnlug_protocol::{
    outcome::{Fault, fault, refusal},
    peer::{Answer, Block, Outcome, Reason, Request},
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
    entry::Shared,
    event::{Event, log},
    forward::{Forwarded, Peer, Track},
    frame::{self, Frame},
    handshake::{Identity, holds},
    view::View,
};

/// Longest message and longest batch of a caller, in bytes.
pub(crate) const MAX_REQUEST: usize = 1 << 20;

/// Longest time to write the error that closes a connection.
const FAREWELL: Duration = Duration::from_secs(1);

/// Time after the withdrawal of a key in which the answer to a request that was sent is still
/// passed on. Without it, most requests in flight would end as unknown.
const GRACE: Duration = Duration::from_millis(200);

/// A caller's connection.
pub(crate) struct Caller {
    shared: Arc<Shared>,
    stream: TcpStream,
    buf: BytesMut,
    who: Identity,
    view: watch::Receiver<Arc<View>>,
    stopping: watch::Receiver<bool>,
    track: Arc<Track>,
    prepared: Prepared,
    block: State,
    session: Option<String>,
    request: Option<String>,
    age: Option<Millis>,
}

/// State of the caller's transaction.
enum State {
    Idle,
    /// Open at the owner behind this link; the byte is the status that the server reported.
    Open(Arc<Peer>, u8),
    /// Lost with its owner or connection; waits for the caller to end it.
    Lost,
    /// Like `Lost`, but its commit was sent and may have run.
    Doubtful,
}

/// Why a connection ends.
enum End {
    /// The caller is gone or broke the protocol.
    Gone,
    /// The proxy closes it with this error.
    Close(Fault),
}

impl From<io::Error> for End {
    fn from(error: io::Error) -> End {
        match error.kind() {
            io::ErrorKind::FileTooLarge => End::Close(refusal(Reason::Size, 0)),
            io::ErrorKind::InvalidData => End::Close(Fault::new("08P01", "malformed message")),
            _ => End::Gone,
        }
    }
}

impl Caller {
    pub(crate) fn new(
        shared: Arc<Shared>,
        stream: TcpStream,
        buf: BytesMut,
        who: Identity,
        track: Arc<Track>,
    ) -> Caller {
        let (view, stopping) = (shared.control.view(), shared.stopping.clone());
        let session = who.settings.get("auburnlug.session").cloned();
        let age = who.settings.get("auburnlug.age").and_then(|age| age.parse().ok());
        Caller {
            shared,
            stream,
            buf,
            who,
            view,
            stopping,
            track,
            prepared: Prepared::default(),
            block: State::Idle,
            session,
            request: None,
            age,
        }
    }

    /// Serves the caller until either side ends the connection.
    pub(crate) async fn serve(mut self) {
        let end = loop {
            if let Err(end) = self.turn().await {
                break end;
            }
        };
        if let End::Close(fault) = end {
            match fault.code {
                "28000" => log(Event::KeyWithdrawn, format_args!("{}", self.who.account)),
                "54000" => log(Event::CallerOversized, format_args!("{}", self.who.account)),
                "08P01" => log(Event::CallerMalformed, format_args!("{}", self.who.account)),
                _ => {}
            }
            let mut out = BytesMut::new();
            frame::put_fault(&mut out, "FATAL", &fault);
            // The caller may be gone already, or read nothing.
            let _ = timeout(FAREWELL, self.stream.write_all(&out)).await;
            let _ = self.stream.shutdown().await;
        }
    }

    /// Reads one batch and answers it.
    async fn turn(&mut self) -> Result<(), End> {
        let Some(batch) = self.batch().await? else { return Ok(()) };
        let plan = {
            let view = self.view.borrow().clone();
            self.prepared.plan(&batch, &view.machine.config, !matches!(self.block, State::Idle))
        };
        let mut out = BytesMut::new();
        match plan {
            Plan::Refuse(fault) => {
                self.shared.metrics.refused(label(&fault));
                self.refuse(&mut out, &fault);
            }
            Plan::Local(settings, answer) => {
                for setting in settings {
                    self.set(setting);
                }
                out = answer;
                frame::put_ready(&mut out, self.status());
            }
            Plan::Forward(forward) => self.forward(*forward, &mut out).await?,
        }
        self.write(&out).await
    }

    /// Reads messages up to `Query` or `Sync`.
    async fn batch(&mut self) -> Result<Option<Vec<Frame>>, End> {
        let mut batch: Vec<Frame> = Vec::new();
        let mut size = 0;
        let mut skip: Option<Fault> = None;
        loop {
            self.check(batch.is_empty())?;
            let frame = tokio::select! {
                biased;
                changed = self.view.changed() => {
                    changed.map_err(|_| End::Gone)?;
                    continue;
                }
                changed = self.stopping.changed() => {
                    changed.map_err(|_| End::Gone)?;
                    continue;
                }
                frame = frame::read(&mut self.stream, &mut self.buf, MAX_REQUEST) => frame?,
            };
            size += frame.bytes.len();
            match frame.tag {
                b'X' => return Err(End::Gone),
                _ if size > MAX_REQUEST => skip = Some(refusal(Reason::Size, 0)),
                // An answer comes only at the end of a batch: a caller that waits for one before
                // would wait for ever.
                b'H' => skip = Some(Fault::new("0A000", "not run: Flush is not supported")),
                _ if skip.is_none() => batch.push(frame.clone()),
                _ => {}
            }
            if !matches!(frame.tag, b'Q' | b'S') {
                if skip.is_some() {
                    batch.clear();
                }
                continue;
            }
            let Some(fault) = skip else { return Ok(Some(batch)) };
            let mut out = BytesMut::new();
            self.refuse(&mut out, &fault);
            self.shared.metrics.refused(label(&fault));
            self.write(&out).await?;
            return Ok(None);
        }
    }

    /// Closes the connection if its key was withdrawn or, while it is `idle`, the instance stops.
    fn check(&mut self, idle: bool) -> Result<(), End> {
        let view = self.view.borrow_and_update().clone();
        if !current(&self.who, &view) {
            return Err(End::Close(withdrawn()));
        }
        let stopping = view.stopping || *self.stopping.borrow();
        if stopping && idle && matches!(self.block, State::Idle) {
            return Err(End::Close(Fault::new("57P01", "the instance is stopping")));
        }
        Ok(())
    }

    /// Writes an answer. If the key is withdrawn meanwhile, a caller that does not read is given a
    /// short time; no error may follow a part of an answer.
    async fn write(&mut self, out: &[u8]) -> Result<(), End> {
        let writing = self.stream.write_all(out);
        tokio::pin!(writing);
        loop {
            tokio::select! {
                biased;
                done = &mut writing => return Ok(done?),
                changed = self.view.changed() => {
                    changed.map_err(|_| End::Gone)?;
                    if !current(&self.who, &self.view.borrow()) {
                        let written = timeout(GRACE, writing).await.map_err(|_| End::Gone)?;
                        written?;
                        return Err(End::Close(withdrawn()));
                    }
                }
            }
        }
    }

    /// Forwards a batch and appends its answer.
    async fn forward(&mut self, mut forward: Forward, out: &mut BytesMut) -> Result<(), End> {
        if self.who.key.is_none() && !forward.needs.open {
            self.refuse(out, &Fault::new("42501", "not run: without a key only open routes run"));
            return Ok(());
        }
        if matches!(self.block, State::Lost | State::Doubtful) {
            self.lost(&forward, out);
            return Ok(());
        }
        let commit = forward.needs.block == Block::Commit;
        let request = self.request(&mut forward);
        let Forwarded { answer, peer } = self.answer(request).await?;
        self.shared.metrics.answered(&answer.outcome);
        self.settle(&answer, peer, commit);
        match fault(&answer.outcome) {
            Some(fault) => self.refuse(out, &fault),
            None => out.extend_from_slice(&self.prepared.complete(&mut forward, answer.messages)),
        }
        if matches!(self.block, State::Idle) {
            self.prepared.end();
        }
        Ok(())
    }

    /// Runs the request; ends early if the caller leaves or its key is withdrawn.
    ///
    /// After a withdrawal nothing more is sent. A request that was sent gets its answer if that
    /// arrives in time and is unknown otherwise; the connection closes before the next request.
    async fn answer(&mut self, request: Request) -> Result<Forwarded, End> {
        let pin = match &self.block {
            State::Open(peer, _) => Some(peer.clone()),
            _ => None,
        };
        let shared = self.shared.clone();
        let track = self.track.clone();
        let run = shared.forwarder.run(&track, request, pin);
        tokio::pin!(run);
        loop {
            tokio::select! {
                answer = &mut run => return Ok(answer),
                changed = self.view.changed() => {
                    changed.map_err(|_| End::Gone)?;
                    if current(&self.who, &self.view.borrow()) {
                        continue;
                    }
                    // The future is not polled here, so that no attempt can begin in between.
                    if !track.revoke() {
                        return Err(End::Close(withdrawn()));
                    }
                    let answer = timeout(GRACE, run).await;
                    return Ok(answer.unwrap_or_else(|_| Forwarded::unknown()));
                }
                read = self.stream.read_buf(&mut self.buf), if self.buf.len() < MAX_REQUEST => {
                    if read? == 0 {
                        return Err(End::Gone);
                    }
                }
            }
        }
    }

    fn request(&mut self, forward: &mut Forward) -> Request {
        let view = self.view.borrow().clone();
        let needs = forward.needs;
        let account = view.machine.config.accounts.get(&self.who.account);
        let age = forward.hints.age.or(self.age);
        let limit = account.map_or(0, |account| account.age);
        Request {
            group: self.who.group.clone(),
            account: self.who.account.clone(),
            key: self.who.key.clone(),
            index: view.machine.version,
            session: forward.hints.session.take().or_else(|| self.session.clone()),
            id: forward.hints.id.take().or_else(|| self.request.take()),
            read: needs.read,
            idempotent: needs.idempotent,
            class: needs.class,
            // A caller may ask for fresher data than its account accepts, not for older.
            age: age.map_or(limit, |age| age.min(limit)),
            wait: self.shared.wait,
            block: needs.block,
            messages: std::mem::take(&mut forward.messages).into(),
        }
    }

    /// Follows the transaction state after an answer.
    fn settle(&mut self, answer: &Answer, peer: Option<Arc<Peer>>, commit: bool) {
        let open = matches!(self.block, State::Open(..));
        self.block = match &answer.outcome {
            Outcome::Done | Outcome::Failed => match (answer.messages.last(), peer) {
                (Some(&status @ (b'T' | b'E')), Some(peer)) => State::Open(peer, status),
                _ => State::Idle,
            },
            Outcome::Refused { .. } | Outcome::Unknown if open => {
                self.track.close();
                self.shared.forwarder.renew(&self.track);
                let doubtful = commit && answer.outcome == Outcome::Unknown;
                if doubtful { State::Doubtful } else { State::Lost }
            }
            Outcome::Refused { .. } | Outcome::Unknown => State::Idle,
        };
    }

    /// Answers a batch in a lost transaction.
    fn lost(&mut self, forward: &Forward, out: &mut BytesMut) {
        let block = forward.needs.block;
        let answer = match self.block {
            State::Doubtful if matches!(block, Block::Commit | Block::Rollback) => {
                fault(&Outcome::Unknown)
            }
            State::Doubtful => Some(Fault::new("25P02", "not run: the transaction has ended")),
            _ if block == Block::Rollback => None,
            _ => Some(Fault::new("25P02", "not run: the transaction was rolled back")),
        };
        if matches!(block, Block::Commit | Block::Rollback) {
            self.block = State::Idle;
            self.prepared.end();
        }
        match answer {
            Some(fault) => self.refuse(out, &fault),
            None => {
                out.extend_from_slice(&forward.completed("ROLLBACK"));
                frame::put_ready(out, b'I');
            }
        }
    }

    fn set(&mut self, setting: Setting) {
        match setting {
            Setting::Session(value) => self.session = value,
            Setting::Request(value) => self.request = value,
            Setting::Age(value) => self.age = value,
        }
    }

    fn refuse(&self, out: &mut BytesMut, fault: &Fault) {
        frame::put_fault(out, "ERROR", fault);
        frame::put_ready(out, self.status());
    }

    fn status(&self) -> u8 {
        match self.block {
            State::Idle => b'I',
            State::Open(_, status) => status,
            State::Lost | State::Doubtful => b'E',
        }
    }
}

/// Whether the caller's key is still valid.
fn current(who: &Identity, view: &View) -> bool {
    let account = view.machine.config.accounts.get(&who.account);
    account.is_some_and(|account| who.key.as_ref().is_none_or(|key| holds(account, key)))
}

fn withdrawn() -> Fault {
    Fault::new("28000", "the key was withdrawn")
}

/// Counter of a refusal by the entry.
fn label(fault: &Fault) -> &'static str {
    match fault.code {
        "0A000" => "state",
        "54000" => "size",
        _ => "protocol",
    }
}
