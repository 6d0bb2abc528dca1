//! Server side of a database connection: PostgreSQL protocol 3, simple and extended queries.

use std::{
    collections::BTreeMap,
    net::IpAddr,
    sync::{Arc, Mutex, PoisonError, atomic::Ordering},
    time::Duration,
};

use bytes::{BufMut, Bytes, BytesMut};
use pgwire::messages::{
    DecodeContext, PgWireBackendMessage as Back, PgWireFrontendMessage as Front, ProtocolVersion,
    cancel::CancelRequest,
    data::{DataRow, FieldDescription, NoData, ParameterDescription, RowDescription},
    extendedquery::{BindComplete, CloseComplete, ParseComplete},
    response::{CommandComplete, EmptyQueryResponse, ErrorResponse, ReadyForQuery, SslResponse},
    response::{GssEncResponse, TransactionStatus},
    startup::{Authentication, BackendKeyData, ParameterStatus, SecretKey, Startup},
};
use pgwire::messages::{SslNegotiationMetaMessage as Negotiation, extendedquery::Bind};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::Notify,
};

use crate::{
    Result,
    cut::Direction,
    executor::{Answer, Executor, SqlError, StatementResult},
    server::Server,
    statement::{self, Statement},
};

/// OID of the type `text`, which all columns have, and parameters without a declared type.
const TEXT_OID: u32 = 25;
/// OIDs of the types whose binary format is an integer: `int8`, `int2`, `int4`.
const INTEGER_OIDS: [u32; 3] = [20, 21, 23];

/// Cancel keys of the open connections: process id and secret.
pub type CancelKeys = Mutex<BTreeMap<(i32, i32), Arc<Notify>>>;

/// Serves a database connection until it closes.
///
/// # Errors
/// The connection or a file of the server fails.
pub async fn serve(server: Arc<Server>, stream: TcpStream, peer: IpAddr) -> Result<()> {
    let mut context = DecodeContext::default();
    context.protocol_version = ProtocolVersion::PROTOCOL3_0;
    let (input, output) = (BytesMut::new(), BytesMut::new());
    let mut connection =
        Connection { server: server.clone(), stream, peer, context, input, output };
    let Some(startup) = connection.startup().await? else { return Ok(()) };
    if !server.admit_connection() {
        connection.put_error("FATAL", ("53300", "too many connections".into()))?;
        return connection.flush().await;
    }
    let _open = ConnectionGuard { server: server.clone() };
    let number = server.next_connection.fetch_add(1, Ordering::Relaxed);
    let user = startup.parameters.get("user").cloned().unwrap_or_default();
    if !connection.authenticate(&startup).await? {
        return Ok(());
    }
    let cancel = Arc::new(Notify::new());
    let id = (number as i32, rand::random::<i32>());
    lock_cancel_keys(&server).insert(id, cancel.clone());
    let executor = Executor::new(server.clone(), user, number, cancel);
    let mut session = Session {
        connection,
        executor,
        statements: BTreeMap::new(),
        portals: BTreeMap::new(),
        skip_until_sync: false,
    };
    let done = session.run(id).await;
    lock_cancel_keys(&server).remove(&id);
    session.executor.roll_back()?;
    done
}

/// Decrements the number of open connections on drop.
struct ConnectionGuard {
    server: Arc<Server>,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.server.open_connections.fetch_sub(1, Ordering::SeqCst);
    }
}

fn lock_cancel_keys(
    server: &Server,
) -> std::sync::MutexGuard<'_, BTreeMap<(i32, i32), Arc<Notify>>> {
    server.cancel_keys.lock().unwrap_or_else(PoisonError::into_inner)
}

struct Connection {
    server: Arc<Server>,
    stream: TcpStream,
    peer: IpAddr,
    context: DecodeContext,
    input: BytesMut,
    output: BytesMut,
}

impl Connection {
    async fn next(&mut self) -> Result<Option<Front>> {
        loop {
            if let Some(message) = Front::decode(&mut self.input, &self.context)? {
                return Ok(Some(message));
            }
            if self.stream.read_buf(&mut self.input).await? == 0 {
                return Ok(None);
            }
            self.server.cuts.wait_unblocked(self.peer, Direction::Inbound).await;
        }
    }

    fn put(&mut self, message: Back) -> Result<()> {
        Ok(message.encode(&mut self.output)?)
    }

    fn put_error(&mut self, severity: &str, (code, text): SqlError) -> Result<()> {
        let fields = vec![
            (b'S', severity.to_owned()),
            (b'V', severity.to_owned()),
            (b'C', code.to_owned()),
            (b'M', text),
        ];
        self.put(Back::ErrorResponse(ErrorResponse::new(fields)))
    }

    async fn flush(&mut self) -> Result<()> {
        self.server.cuts.wait_unblocked(self.peer, Direction::Outbound).await;
        Ok(self.stream.write_all_buf(&mut self.output).await?)
    }

    /// Reads the startup message; `None` after a cancel request or a closed connection.
    async fn startup(&mut self) -> Result<Option<Startup>> {
        while let Some(message) = self.next().await? {
            match message {
                Front::SslNegotiation(Negotiation::PostgresSsl(_)) => {
                    self.put(Back::SslResponse(SslResponse::Refuse))?;
                    self.flush().await?;
                }
                Front::SslNegotiation(Negotiation::PostgresGss(_)) => {
                    self.put(Back::GssEncResponse(GssEncResponse::Refuse))?;
                    self.flush().await?;
                }
                Front::SslNegotiation(Negotiation::None) => {
                    self.context.awaiting_frontend_ssl = false;
                }
                Front::Startup(startup) => {
                    self.context.awaiting_frontend_startup = false;
                    return Ok(Some(startup));
                }
                Front::CancelRequest(request) => {
                    self.cancel(&request);
                    return Ok(None);
                }
                _ => return Ok(None),
            }
        }
        Ok(None)
    }

    fn cancel(&self, request: &CancelRequest) {
        let Some(secret) = request.secret_key.as_i32() else { return };
        if let Some(notify) = lock_cancel_keys(&self.server).get(&(request.pid, secret)) {
            notify.notify_one();
        }
    }

    async fn authenticate(&mut self, startup: &Startup) -> Result<bool> {
        for (name, value) in &startup.parameters {
            self.server.record_key_sighting(name, value)?;
        }
        if let Some(expected) = self.server.password.clone() {
            self.put(Back::Authentication(Authentication::CleartextPassword))?;
            self.flush().await?;
            let Some(Front::PasswordMessageFamily(message)) = self.next().await? else {
                return Ok(false);
            };
            let password = message.into_password()?.password;
            self.server.record_key_sighting("password", &password)?;
            if password != expected {
                self.put_error("FATAL", ("28P01", "password authentication failed".into()))?;
                self.flush().await?;
                return Ok(false);
            }
        }
        tokio::time::sleep(Duration::from_millis(self.server.options.connect)).await;
        Ok(true)
    }
}

struct Session {
    connection: Connection,
    executor: Executor,
    statements: BTreeMap<String, (String, Vec<u32>)>,
    portals: BTreeMap<String, Option<Statement>>,
    skip_until_sync: bool,
}

impl Session {
    async fn run(&mut self, id: (i32, i32)) -> Result<()> {
        self.connection.put(Back::Authentication(Authentication::Ok))?;
        let status = [
            ("server_version", "16.0 (stand-in)"),
            ("server_encoding", "UTF8"),
            ("client_encoding", "UTF8"),
            ("standard_conforming_strings", "on"),
        ];
        for (name, value) in status {
            let status = ParameterStatus::new(name.into(), value.into());
            self.connection.put(Back::ParameterStatus(status))?;
        }
        let key = BackendKeyData::new(id.0, SecretKey::I32(id.1));
        self.connection.put(Back::BackendKeyData(key))?;
        self.send_ready().await?;
        while let Some(message) = self.connection.next().await? {
            match message {
                Front::Terminate(_) => break,
                Front::Query(query) => self.query(&query.query).await?,
                Front::Sync(_) => {
                    self.skip_until_sync = false;
                    self.send_ready().await?;
                }
                _ if self.skip_until_sync => {}
                message => self.extended(message).await?,
            }
        }
        Ok(())
    }

    async fn query(&mut self, sql: &str) -> Result<()> {
        let parts = statement::split_statements(sql);
        if parts.is_empty() {
            self.connection.put(Back::EmptyQueryResponse(EmptyQueryResponse::new()))?;
        }
        for part in parts {
            match self.execute(statement::parse_statement(part, &[])).await? {
                Ok(answer) => {
                    if !answer.fields.is_empty() {
                        self.connection
                            .put(Back::RowDescription(row_description(&answer.fields)))?;
                    }
                    self.answer(answer)?;
                }
                Err(error) => {
                    self.connection.put_error("ERROR", error)?;
                    break;
                }
            }
        }
        self.send_ready().await
    }

    async fn extended(&mut self, message: Front) -> Result<()> {
        match message {
            Front::Parse(parse) => {
                let name = parse.name.unwrap_or_default();
                self.statements.insert(name, (parse.query, parse.type_oids));
                self.connection.put(Back::ParseComplete(ParseComplete::new()))
            }
            Front::Bind(bind) => self.bind(bind),
            Front::Describe(target) => {
                let name = target.name.unwrap_or_default();
                self.describe(target.target_type, &name)
            }
            Front::Execute(execute) => {
                let name = execute.name.unwrap_or_default();
                let Some(portal) = self.portals.get(&name).cloned() else {
                    return self.fail(("34000", format!("portal {name:?} does not exist")));
                };
                match self.execute(portal).await? {
                    Ok(answer) => self.answer(answer),
                    Err(error) => self.fail(error),
                }
            }
            Front::Close(target) => {
                let name = target.name.unwrap_or_default();
                if target.target_type == b'S' {
                    self.statements.remove(&name);
                } else {
                    self.portals.remove(&name);
                }
                self.connection.put(Back::CloseComplete(CloseComplete::new()))
            }
            Front::Flush(_) => self.connection.flush().await,
            _ => self.fail(("08P01", "unexpected message".into())),
        }
    }

    fn bind(&mut self, bind: Bind) -> Result<()> {
        let name = bind.statement_name.unwrap_or_default();
        let Some((sql, types)) = self.statements.get(&name) else {
            return self.fail(("26000", format!("prepared statement {name:?} does not exist")));
        };
        let formats = &bind.parameter_format_codes;
        let values = bind.parameters.iter().enumerate().map(|(at, value)| {
            let format = formats.get(if formats.len() == 1 { 0 } else { at }).copied();
            let kind = types.get(at).copied().unwrap_or(TEXT_OID);
            decode_parameter(
                value.as_ref(),
                format.unwrap_or(0) == 1 && INTEGER_OIDS.contains(&kind),
            )
        });
        let parsed = statement::parse_statement(sql, &values.collect::<Vec<_>>());
        self.portals.insert(bind.portal_name.unwrap_or_default(), parsed);
        self.connection.put(Back::BindComplete(BindComplete::new()))
    }

    fn describe(&mut self, target: u8, name: &str) -> Result<()> {
        let parsed = if target == b'S' {
            let Some((sql, types)) = self.statements.get(name) else {
                return self.fail(("26000", format!("prepared statement {name:?} does not exist")));
            };
            let count = statement::count_parameters(sql);
            let mut types = types.clone();
            types.resize(count.max(types.len()), TEXT_OID);
            types.iter_mut().filter(|t| **t == 0).for_each(|t| *t = TEXT_OID);
            let placeholders = vec!["0".to_owned(); count];
            let parsed = statement::parse_statement(sql, &placeholders);
            let description = ParameterDescription::new(types);
            self.connection.put(Back::ParameterDescription(description))?;
            parsed
        } else {
            let Some(parsed) = self.portals.get(name) else {
                return self.fail(("34000", format!("portal {name:?} does not exist")));
            };
            parsed.clone()
        };
        match result_columns(parsed.as_ref()) {
            [] => self.connection.put(Back::NoData(NoData::new())),
            fields => self.connection.put(Back::RowDescription(row_description(fields))),
        }
    }

    async fn execute(&mut self, statement: Option<Statement>) -> Result<StatementResult> {
        match statement {
            Some(statement) => self.executor.run(statement).await,
            None => {
                self.executor.failed = self.executor.open();
                Ok(Err(("0A000", "statement is not supported".into())))
            }
        }
    }

    fn answer(&mut self, answer: Answer) -> Result<()> {
        if answer.tag.is_empty() {
            return self.connection.put(Back::EmptyQueryResponse(EmptyQueryResponse::new()));
        }
        if let Some(row) = answer.row {
            let mut data = BytesMut::new();
            for value in &row {
                data.put_i32(value.len() as i32);
                data.put_slice(value.as_bytes());
            }
            self.connection.put(Back::DataRow(DataRow::new(data, row.len() as i16)))?;
        }
        self.connection.put(Back::CommandComplete(CommandComplete::new(answer.tag.into())))
    }

    /// Reports an error of an extended query and skips messages up to the next `Sync`.
    fn fail(&mut self, error: SqlError) -> Result<()> {
        self.skip_until_sync = true;
        self.executor.failed = self.executor.open();
        self.connection.put_error("ERROR", error)
    }

    async fn send_ready(&mut self) -> Result<()> {
        if let Some((term, position)) = self.executor.position.take() {
            let value = format!("{term}/{position}");
            let status = ParameterStatus::new("auburnlug.position".into(), value);
            self.connection.put(Back::ParameterStatus(status))?;
        }
        let status = match (self.executor.open(), self.executor.failed) {
            (false, _) => TransactionStatus::Idle,
            (true, false) => TransactionStatus::Transaction,
            (true, true) => TransactionStatus::Error,
        };
        self.connection.put(Back::ReadyForQuery(ReadyForQuery::new(status)))?;
        self.connection.flush().await
    }
}

/// Result columns of a statement that has not run yet.
fn result_columns(statement: Option<&Statement>) -> &'static [&'static str] {
    match statement {
        Some(Statement::Read { .. }) => &["value"],
        Some(Statement::Fence(_) | Statement::Promote(_) | Statement::Follow(..)) => &["term"],
        Some(Statement::Status) => {
            &["term", "role", "received", "applied", "last_term", "upstream_ms"]
        }
        _ => &[],
    }
}

/// Row description with columns of type `text`, whose text and binary formats are identical.
fn row_description(names: &[&str]) -> RowDescription {
    let field = |name: &&str| FieldDescription::new((*name).into(), 0, 0, TEXT_OID, -1, -1, 0);
    RowDescription::new(names.iter().map(field).collect())
}

fn decode_parameter(value: Option<&Bytes>, integer: bool) -> String {
    let Some(value) = value else { return String::new() };
    match (integer, value.len()) {
        (true, 1..=8) => {
            let sign = if value[0] & 0x80 == 0 { 0 } else { -1_i64 };
            value.iter().fold(sign, |n, b| (n << 8) | i64::from(*b)).to_string()
        }
        _ => String::from_utf8_lossy(value).into_owned(),
    }
}
