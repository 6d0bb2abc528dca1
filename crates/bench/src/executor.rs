//! Statement execution in a stand-in server.

use std::{
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use tokio::sync::{Notify, SemaphorePermit};

use crate::{
    Result, Write,
    node::Refusal,
    record::{self, Event, ExecutedStatement},
    server::Server,
    statement::Statement,
};

/// Name prefix of the tables of batch jobs, whose reads take longer.
const BATCH_TABLE_PREFIX: &str = "quarterly";

/// Service time of a batch read, as a multiple of that of other statements.
const BATCH_READ_FACTOR: u64 = 10;

/// SQLSTATE and message of an error response.
pub type SqlError = (&'static str, String);

/// Response to a statement.
pub type StatementResult = std::result::Result<Answer, SqlError>;

/// Successful response to a statement.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Answer {
    /// Column names; empty for a statement that returns no rows.
    pub fields: Vec<&'static str>,
    /// The row, if there is one.
    pub row: Option<Vec<String>>,
    /// Command tag.
    pub tag: &'static str,
}

/// Executes the statements of one database connection.
#[derive(Debug)]
pub struct Executor {
    /// Term and position of the last write that is not yet reported to the client.
    pub position: Option<(u64, u64)>,
    /// Whether the open transaction has failed.
    pub failed: bool,
    server: Arc<Server>,
    user: String,
    connection: u64,
    cancel: Arc<Notify>,
    transactions: u64,
    transaction: Option<Transaction>,
}

#[derive(Debug, Default)]
struct Transaction {
    writes: Vec<Write>,
    statements: Vec<ExecutedStatement>,
}

impl Executor {
    /// Creates the executor of a new connection.
    pub fn new(
        server: Arc<Server>,
        user: String,
        connection: u64,
        cancel: Arc<Notify>,
    ) -> Executor {
        Executor {
            position: None,
            failed: false,
            server,
            user,
            connection,
            cancel,
            transactions: 0,
            transaction: None,
        }
    }

    /// Whether a transaction is open.
    pub fn open(&self) -> bool {
        self.transaction.is_some()
    }

    /// Runs a statement. The outer error closes the connection.
    ///
    /// # Errors
    /// A file of the server cannot be written.
    pub async fn run(&mut self, statement: Statement) -> Result<StatementResult> {
        let ends_transaction = matches!(statement, Statement::Commit | Statement::Rollback);
        if self.failed && !ends_transaction && statement != Statement::Discard {
            let text = "current transaction is aborted";
            return Ok(Err(("25P02", text.into())));
        }
        let result = match statement {
            Statement::Begin => {
                if self.transaction.is_none() {
                    self.transactions += 1;
                    self.transaction = Some(Transaction::default());
                }
                Ok(tag("BEGIN"))
            }
            Statement::Commit if self.failed => self.roll_back().map(|()| Ok(tag("ROLLBACK")))?,
            Statement::Commit => self.commit().await?,
            Statement::Rollback => self.roll_back().map(|()| Ok(tag("ROLLBACK")))?,
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
    pub fn roll_back(&mut self) -> Result<()> {
        self.failed = false;
        let Some(transaction) = self.transaction.take() else { return Ok(()) };
        self.record_statements(transaction.statements, None)
    }

    async fn write(&mut self, write: Write) -> Result<StatementResult> {
        let tag = tag("INSERT 0 1");
        let server = self.server.clone();
        let _slot = acquire_slot(&server).await;
        if !server.node().primary {
            return Ok(Err(read_only()));
        }
        let statement = self.statement_record(ExecutedStatement::write(&write));
        if let Err(error) = self.hold_slot(1).await {
            self.record_statements(vec![statement], None)?;
            return Ok(Err(error));
        }
        if let Some(transaction) = &mut self.transaction {
            transaction.writes.push(write);
            transaction.statements.push(statement);
            return Ok(Ok(tag));
        }
        self.commit_writes(vec![write], vec![statement], tag)
    }

    async fn read(
        &mut self,
        table: &str,
        key: &str,
        request: Option<String>,
    ) -> Result<StatementResult> {
        let server = self.server.clone();
        let _slot = acquire_slot(&server).await;
        let mut executed = self.statement_record(ExecutedStatement {
            request: request.unwrap_or_default(),
            account: record::account(key).into(),
            table: table.into(),
            key: key.into(),
            ..ExecutedStatement::default()
        });
        let factor = if table.starts_with(BATCH_TABLE_PREFIX) { BATCH_READ_FACTOR } else { 1 };
        // The value is read when the statement gets its slot, as a snapshot is taken at the start
        // of a statement.
        let mut value = {
            let node = server.node();
            (executed.term, executed.position, executed.primary) =
                (node.term, node.applied(), node.primary);
            node.get(table, key).cloned()
        };
        if let Some(transaction) = &self.transaction {
            let mut own = transaction.writes.iter().rev();
            if let Some(write) = own.find(|w| w.table == table && w.key == key) {
                value = Some(write.value.clone());
            }
        }
        executed.value = value.clone().unwrap_or_default();
        let served = self.hold_slot(factor).await;
        executed.committed = served.is_ok();
        server.record_events(&[Event::Ran(executed)])?;
        let row = value.map(|v| vec![v]);
        let tag = if row.is_some() { "SELECT 1" } else { "SELECT 0" };
        Ok(served.map(|()| Answer { fields: vec!["value"], row, tag }))
    }

    async fn commit(&mut self) -> Result<StatementResult> {
        let server = self.server.clone();
        let _slot = acquire_slot(&server).await;
        let Some(transaction) = self.transaction.take() else { return Ok(Ok(tag("COMMIT"))) };
        if transaction.writes.is_empty() {
            return Ok(Ok(tag("COMMIT")));
        }
        self.commit_writes(transaction.writes, transaction.statements, tag("COMMIT"))
    }

    fn commit_writes(
        &mut self,
        writes: Vec<Write>,
        statements: Vec<ExecutedStatement>,
        answer: Answer,
    ) -> Result<StatementResult> {
        let done = self.server.update(|n| n.commit(writes, Instant::now()))?;
        self.record_statements(statements, done.ok())?;
        Ok(match done {
            Ok(position) => {
                self.position = Some(position);
                Ok(answer)
            }
            Err(_) => Err(read_only()),
        })
    }

    fn command(&mut self, statement: Statement) -> Result<StatementResult> {
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
            Err(refusal) => Err(("55000", refusal_message(refusal))),
        })
    }

    fn status(&self, now: Instant) -> Answer {
        let node = self.server.node();
        let role = if node.primary { "primary" } else { "replica" };
        let since = if node.primary { 0 } else { (now - node.last_heartbeat).as_millis() };
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

    /// Waits for the service time of a statement; a cancel request interrupts the wait.
    async fn hold_slot(&self, factor: u64) -> std::result::Result<(), SqlError> {
        let time = self.server.service_ms.load(Ordering::Relaxed) * factor;
        // The timer rounds even a zero duration up to a millisecond.
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

    fn statement_record(&self, statement: ExecutedStatement) -> ExecutedStatement {
        ExecutedStatement {
            time: record::now(),
            server: self.server.options.name.clone(),
            connection: self.connection,
            transaction: self.transaction.as_ref().map(|_| self.transactions),
            user: self.user.clone(),
            primary: self.server.node().primary,
            ..statement
        }
    }

    fn record_statements(
        &self,
        statements: Vec<ExecutedStatement>,
        position: Option<(u64, u64)>,
    ) -> Result<()> {
        let (term, last) = position.unwrap_or((self.server.node().term, 0));
        let committed = position.is_some();
        let event = |r| Event::Ran(ExecutedStatement { term, position: last, committed, ..r });
        self.server.record_events(&statements.into_iter().map(event).collect::<Vec<_>>())
    }
}

/// Waits for an execution slot. The semaphore is never closed, so the result is never `None`.
async fn acquire_slot(server: &Server) -> Option<SemaphorePermit<'_>> {
    if let Ok(permit) = server.slots.try_acquire() {
        return Some(permit);
    }
    server.slot_waits.fetch_add(1, Ordering::Relaxed);
    server.slots.acquire().await.ok()
}

fn tag(tag: &'static str) -> Answer {
    Answer { tag, ..Answer::default() }
}

fn read_only() -> SqlError {
    ("25006", "cannot write: this server is not the primary".into())
}

fn refusal_message(refusal: Refusal) -> String {
    match refusal {
        Refusal::Term(term) => format!("this server is at term {term}"),
        Refusal::Replica => "this server follows another primary of the term".into(),
        Refusal::Primary => "this server is the primary of the term".into(),
    }
}
