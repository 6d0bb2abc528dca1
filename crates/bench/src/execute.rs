//! Execution of statements at a stand-in server.

use std::{
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use tokio::sync::{Notify, SemaphorePermit};

use crate::{
    Result, Write,
    node::Refusal,
    record::{self, Event, Ran},
    server::Server,
    statement::Statement,
};

/// Tables of batch jobs; their reads take longer.
const LONG_TABLES: &str = "quarterly";

/// Time of a long read, as a multiple of the time of a statement.
const LONG_FACTOR: u64 = 10;

/// Error to a client: SQLSTATE and message.
pub type Fault = (&'static str, String);

/// What a client gets for a statement.
pub type Verdict = std::result::Result<Answer, Fault>;

/// Answer to a statement.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Answer {
    /// Names of the columns; empty for a statement that returns no rows.
    pub fields: Vec<&'static str>,
    /// The row, if there is one.
    pub row: Option<Vec<String>>,
    /// Command tag.
    pub tag: &'static str,
}

/// State of one database connection.
#[derive(Debug)]
pub struct Executor {
    /// Position of the last write that was not reported yet.
    pub position: Option<(u64, u64)>,
    /// Whether the open transaction has failed.
    pub failed: bool,
    server: Arc<Server>,
    user: String,
    number: u64,
    cancel: Arc<Notify>,
    count: u64,
    transaction: Option<Transaction>,
}

#[derive(Debug, Default)]
struct Transaction {
    writes: Vec<Write>,
    ran: Vec<Ran>,
}

impl Executor {
    /// State of a new connection.
    pub fn new(server: Arc<Server>, user: String, number: u64, cancel: Arc<Notify>) -> Executor {
        Executor {
            position: None,
            failed: false,
            server,
            user,
            number,
            cancel,
            count: 0,
            transaction: None,
        }
    }

    /// Whether a transaction is open.
    pub fn open(&self) -> bool {
        self.transaction.is_some()
    }

    /// Runs a statement. The outer error ends the connection.
    ///
    /// # Errors
    /// A file of the server cannot be written.
    pub async fn run(&mut self, statement: Statement) -> Result<Verdict> {
        let ends = matches!(statement, Statement::Commit | Statement::Rollback);
        if self.failed && !ends && statement != Statement::Discard {
            let text = "current transaction is aborted";
            return Ok(Err(("25P02", text.into())));
        }
        let result = match statement {
            Statement::Begin => {
                if self.transaction.is_none() {
                    self.count += 1;
                    self.transaction = Some(Transaction::default());
                }
                Ok(tag("BEGIN"))
            }
            Statement::Commit if self.failed => self.abandon().map(|()| Ok(tag("ROLLBACK")))?,
            Statement::Commit => self.commit().await?,
            Statement::Rollback => self.abandon().map(|()| Ok(tag("ROLLBACK")))?,
            Statement::Discard if self.open() => {
                Err(("25001", "DISCARD ALL cannot run in a transaction".into()))
            }
            Statement::Discard => Ok(tag("DISCARD ALL")),
            Statement::Write(write) => self.write(write).await?,
            Statement::Read { table, key, request } => self.read(&table, &key, request).await?,
            Statement::Empty => Ok(Answer::default()),
            command => self.command(command)?,
        };
        self.failed |= result.is_err() && self.open();
        Ok(result)
    }

    /// Rolls back the open transaction, if there is one.
    ///
    /// # Errors
    /// The record cannot be written.
    pub fn abandon(&mut self) -> Result<()> {
        self.failed = false;
        let Some(transaction) = self.transaction.take() else { return Ok(()) };
        self.note(transaction.ran, None)
    }

    async fn write(&mut self, write: Write) -> Result<Verdict> {
        let tag = tag("INSERT 0 1");
        let server = self.server.clone();
        let _slot = slot(&server).await;
        if !server.node().primary {
            return Ok(Err(read_only()));
        }
        let ran = self.ran(Ran::write(&write));
        if let Err(fault) = self.serve(1).await {
            self.note(vec![ran], None)?;
            return Ok(Err(fault));
        }
        if let Some(transaction) = &mut self.transaction {
            transaction.writes.push(write);
            transaction.ran.push(ran);
            return Ok(Ok(tag));
        }
        self.finish(vec![write], vec![ran], tag)
    }

    async fn read(&mut self, table: &str, key: &str, request: Option<String>) -> Result<Verdict> {
        let server = self.server.clone();
        let _slot = slot(&server).await;
        let mut ran = self.ran(Ran {
            request: request.unwrap_or_default(),
            account: record::account(key).into(),
            table: table.into(),
            key: key.into(),
            ..Ran::default()
        });
        let factor = if table.starts_with(LONG_TABLES) { LONG_FACTOR } else { 1 };
        // The data is read when the statement gets its slot, as a snapshot would be.
        let mut value = {
            let node = server.node();
            (ran.term, ran.position, ran.primary) = (node.term, node.applied(), node.primary);
            node.get(table, key).cloned()
        };
        if let Some(transaction) = &self.transaction {
            let mut own = transaction.writes.iter().rev();
            if let Some(write) = own.find(|w| w.table == table && w.key == key) {
                value = Some(write.value.clone());
            }
        }
        ran.value = value.clone().unwrap_or_default();
        let served = self.serve(factor).await;
        ran.committed = served.is_ok();
        server.note(&[Event::Ran(ran)])?;
        let row = value.map(|v| vec![v]);
        let tag = if row.is_some() { "SELECT 1" } else { "SELECT 0" };
        Ok(served.map(|()| Answer { fields: vec!["value"], row, tag }))
    }

    async fn commit(&mut self) -> Result<Verdict> {
        let server = self.server.clone();
        let _slot = slot(&server).await;
        let Some(transaction) = self.transaction.take() else { return Ok(Ok(tag("COMMIT"))) };
        if transaction.writes.is_empty() {
            return Ok(Ok(tag("COMMIT")));
        }
        self.finish(transaction.writes, transaction.ran, tag("COMMIT"))
    }

    fn finish(&mut self, writes: Vec<Write>, ran: Vec<Ran>, answer: Answer) -> Result<Verdict> {
        let done = self.server.update(|n| n.commit(writes, Instant::now()))?;
        self.note(ran, done.ok())?;
        Ok(match done {
            Ok(position) => {
                self.position = Some(position);
                Ok(answer)
            }
            Err(_) => Err(read_only()),
        })
    }

    fn command(&mut self, statement: Statement) -> Result<Verdict> {
        let now = Instant::now();
        let done = match statement {
            Statement::Status => return Ok(Ok(self.status(now))),
            Statement::Fence(term) => self.server.update(|n| n.fence(term))?,
            Statement::Promote(term) if self.server.promote(term)? => Ok(()),
            Statement::Promote(_) => Err(Refusal::Term(self.server.node().term)),
            Statement::Follow(term, address) => {
                self.server.update(|n| n.follow(term, &address, now))?
            }
            _ => return Ok(Err(("0A000", "statement is not supported".into()))),
        };
        Ok(match done {
            Ok(()) => {
                let row = vec![self.server.node().term.to_string()];
                Ok(Answer { fields: vec!["term"], row: Some(row), tag: "SELECT 1" })
            }
            Err(refusal) => Err(("55000", describe(refusal))),
        })
    }

    fn status(&self, now: Instant) -> Answer {
        let node = self.server.node();
        let role = if node.primary { "primary" } else { "replica" };
        let since = if node.primary { 0 } else { (now - node.heard).as_millis() };
        let row = vec![
            node.term.to_string(),
            role.to_owned(),
            node.received().to_string(),
            node.applied().to_string(),
            node.last_term().to_string(),
            since.to_string(),
        ];
        let fields = vec!["term", "role", "received", "applied", "last_term", "upstream_ms"];
        Answer { fields, row: Some(row), tag: "SHOW" }
    }

    /// Holds the slot for the time of a statement; a cancel request ends it early.
    async fn serve(&self, factor: u64) -> std::result::Result<(), Fault> {
        let time = self.server.service.load(Ordering::Relaxed) * factor;
        // The timer rounds up to a millisecond, even for a time of 0.
        if time == 0 {
            return Ok(());
        }
        tokio::select! {
            () = tokio::time::sleep(Duration::from_millis(time)) => Ok(()),
            () = self.cancel.notified() => {
                Err(("57014", "canceling statement due to user request".into()))
            }
        }
    }

    fn ran(&self, ran: Ran) -> Ran {
        Ran {
            time: record::now(),
            server: self.server.options.name.clone(),
            connection: self.number,
            transaction: self.transaction.as_ref().map(|_| self.count),
            user: self.user.clone(),
            primary: self.server.node().primary,
            ..ran
        }
    }

    fn note(&self, ran: Vec<Ran>, position: Option<(u64, u64)>) -> Result<()> {
        let (term, last) = position.unwrap_or((self.server.node().term, 0));
        let committed = position.is_some();
        let event = |r| Event::Ran(Ran { term, position: last, committed, ..r });
        self.server.note(&ran.into_iter().map(event).collect::<Vec<_>>())
    }
}

/// Waits for a slot; the semaphore is never closed, so there always is one in the end.
async fn slot(server: &Server) -> Option<SemaphorePermit<'_>> {
    if let Ok(permit) = server.slots.try_acquire() {
        return Some(permit);
    }
    server.excess.fetch_add(1, Ordering::Relaxed);
    server.slots.acquire().await.ok()
}

fn tag(tag: &'static str) -> Answer {
    Answer { tag, ..Answer::default() }
}

fn read_only() -> Fault {
    ("25006", "cannot write: this server is not the primary".into())
}

fn describe(refusal: Refusal) -> String {
    match refusal {
        Refusal::Term(term) => format!("this server is at term {term}"),
        Refusal::Replica => "this server follows another primary of the term".into(),
        Refusal::Primary => "this server is the primary of the term".into(),
    }
}
