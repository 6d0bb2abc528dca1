//! Connection to a server.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use auburnlug_protocol::job::{
    Completion, ErrorCode, PreparedStatement, SessionState, SessionVariables,
};
use auburnlug_transport::socket;
use bytes::BytesMut;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

use crate::{
    leader_lease::OrderSocket,
    wire::{ServerCall, ServerReply, ServerWire},
};

/// Longest wait for a connect: three times the longest latency between regions, and one
/// retransmitted packet.
const SERVER_CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest wait for the answer to the opening message; a fully loaded server queues it.
const SERVER_OPENING_TIMEOUT: Duration = Duration::from_millis(1_500);

const SERVER_READ_BYTES: usize = 8 << 10;

/// Prepared statements per connection; beyond it, a reset drops them all.
const MAX_PREPARED_STATEMENTS: usize = 64;

/// Texts of prepared statements per connection, in bytes; beyond it, a reset drops them all.
const MAX_PREPARED_BYTES: usize = 256 << 10;

/// Bytes of session values and prepared statements up to which a connection is kept for the next
/// session. No client's budget counts what an idle connection holds, and there may be hundreds.
const MAX_KEPT_STATE_BYTES: usize = 64 << 10;

/// Size of a message above which its buffer is not kept for the next one.
const MAX_KEPT_BUFFER_BYTES: usize = 64 << 10;

/// Reason why a connection cannot be used any more.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fault {
    /// The server refused the connect: its process is not running.
    Refused,
    /// The server did not answer the connect.
    Unanswered,
    /// The server refused the opening.
    Opening(ErrorCode),
    /// The connection ended or broke.
    Broken,
}

/// Server that a connection leads to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Database group.
    pub group: Arc<str>,
    /// Server.
    pub server: Arc<str>,
    /// Address of the server.
    pub address: SocketAddr,
}

/// An open connection, with the session state that the server keeps for it.
pub struct Connection {
    stream: TcpStream,
    wire: Arc<dyn ServerWire>,
    inbound: BytesMut,
    outbound: BytesMut,
    /// Client account that the connection was opened for.
    pub account: Arc<str>,
    /// Session values that are set on the connection.
    pub values: SessionVariables,
    prepared: BTreeMap<PreparedStatement, String>,
}

impl Connection {
    /// Connects to a server and opens a session for `account`.
    ///
    /// # Errors
    ///
    /// The server cannot be reached, or it refused the connect or the opening.
    pub async fn open(
        wire: Arc<dyn ServerWire>,
        target: Target,
        account: Arc<str>,
    ) -> Result<Connection, Fault> {
        let stream =
            match timeout(SERVER_CONNECT_TIMEOUT, socket::connect(None, target.address)).await {
                Err(_) => return Err(Fault::Unanswered),
                Ok(Err(e)) if e.kind() == std::io::ErrorKind::ConnectionRefused => {
                    return Err(Fault::Refused);
                }
                Ok(Err(_)) => return Err(Fault::Unanswered),
                Ok(Ok(stream)) => stream,
            };
        // What a server has not received when a call is given up must not reach it later.
        socket::reset_on_close(&stream).map_err(|_| Fault::Broken)?;
        let (inbound, outbound) = (BytesMut::with_capacity(SERVER_READ_BYTES), BytesMut::new());
        let (values, prepared) = (SessionVariables::new(), BTreeMap::new());
        let mut connection =
            Connection { stream, wire, inbound, outbound, account, values, prepared };
        let account = connection.account.clone();
        let call =
            ServerCall::Open { group: &target.group, account: &account, server: &target.server };
        connection.wire.encode(&call, &mut connection.outbound);
        let reply = timeout(SERVER_OPENING_TIMEOUT, connection.exchange(true))
            .await
            .map_err(|_| Fault::Broken)??;
        match reply.answer.code() {
            Some(code) => Err(Fault::Opening(code)),
            None => Ok(connection),
        }
    }

    /// Sends a call and waits for its answer.
    ///
    /// # Errors
    ///
    /// The connection broke; it is unknown whether the call ran.
    pub async fn call(&mut self, call: &ServerCall<'_>) -> Result<ServerReply, Fault> {
        // A left-over answer of an earlier call would be taken for the answer to this one.
        if !self.inbound.is_empty() {
            return Err(Fault::Broken);
        }
        self.wire.encode(call, &mut self.outbound);
        self.exchange(false).await
    }

    /// Sets the connection to exactly these session values, and prepares `shape`; returns the name
    /// of the prepared statement. Inside a transaction, other values are kept, as no reset is
    /// possible.
    ///
    /// # Errors
    ///
    /// The connection broke or the server refused; no statement of the caller has run.
    pub async fn apply_session(
        &mut self,
        values: &SessionVariables,
        shape: Option<&PreparedStatement>,
        in_transaction: bool,
    ) -> Result<Option<String>, Fault> {
        let has_extra = self.values.keys().any(|name| !values.contains_key(name));
        let is_full = shape.is_some_and(|shape| {
            !self.prepared.contains_key(shape)
                && (self.prepared.len() >= MAX_PREPARED_STATEMENTS || self.has_many_bytes(shape))
        });
        if !in_transaction && (has_extra || is_full) {
            self.run_setup_call(&ServerCall::Reset).await?;
            self.values.clear();
            self.prepared.clear();
        }
        for (name, value) in values {
            if self.values.get(name) != Some(value) {
                self.run_setup_call(&ServerCall::Set { name, value }).await?;
                self.values.insert(name.clone(), value.clone());
            }
        }
        let Some(shape) = shape else { return Ok(None) };
        if let Some(name) = self.prepared.get(shape) {
            return Ok(Some(name.clone()));
        }
        let name = format!("p{}", self.prepared.len());
        self.run_setup_call(&ServerCall::Prepare { name: &name, shape }).await?;
        self.prepared.insert(shape.clone(), name.clone());
        Ok(Some(name))
    }

    /// Socket for an order that is sent under the leader lease.
    ///
    /// # Errors
    ///
    /// The socket cannot be used.
    pub fn order_socket(&self) -> std::io::Result<OrderSocket> {
        OrderSocket::new(&self.stream)
    }

    /// Whether the connection holds little enough of its last session to be kept for the next one.
    pub fn is_keepable(&self) -> bool {
        let values: usize = self.values.iter().map(|(name, value)| name.len() + value.len()).sum();
        let prepared: usize = self.prepared.keys().map(|prepared| prepared.text.len()).sum();
        values + prepared <= MAX_KEPT_STATE_BYTES
    }

    /// Whether the server has closed the connection, or sent data without a request.
    pub fn is_closed(&mut self) -> bool {
        let mut byte = [0; 1];
        !matches!(self.stream.try_read(&mut byte), Err(e) if e.kind() == std::io::ErrorKind::WouldBlock)
    }

    /// Sends a call that must succeed before a statement of the caller runs.
    async fn run_setup_call(&mut self, call: &ServerCall<'_>) -> Result<(), Fault> {
        let reply = self.call(call).await?;
        match reply.answer.end {
            Completion::Done(_) => Ok(()),
            Completion::Error(code, _) => Err(Fault::Opening(code)),
        }
    }

    /// Whether the prepared statements and `shape` take too many bytes together; a single statement
    /// never does.
    fn has_many_bytes(&self, shape: &PreparedStatement) -> bool {
        let prepared: usize = self.prepared.keys().map(|prepared| prepared.text.len()).sum();
        prepared > 0 && prepared + shape.text.len() > MAX_PREPARED_BYTES
    }

    /// Sends the buffered call and reads one reply.
    async fn exchange(&mut self, opening: bool) -> Result<ServerReply, Fault> {
        let outbound = self.outbound.split();
        self.stream.write_all(&outbound).await.map_err(|_| Fault::Broken)?;
        if outbound.len() > MAX_KEPT_BUFFER_BYTES {
            self.outbound = BytesMut::new();
        }
        drop(outbound);
        loop {
            let before = self.inbound.len();
            match self.wire.decode(opening, &mut self.inbound) {
                Err(_) => return Err(Fault::Broken),
                Ok(Some(reply)) => {
                    if before > MAX_KEPT_BUFFER_BYTES {
                        self.inbound = BytesMut::from(&self.inbound[..]);
                    }
                    return Ok(reply);
                }
                Ok(None) => {}
            }
            self.inbound.reserve(SERVER_READ_BYTES);
            let count = self.stream.read_buf(&mut self.inbound).await;
            if count.map_err(|_| Fault::Broken)? == 0 {
                return Err(Fault::Broken);
            }
        }
    }
}

/// Whether the connection can serve another transaction after this reply.
pub fn is_reusable(reply: &ServerReply) -> bool {
    reply.state == SessionState::Idle
}
