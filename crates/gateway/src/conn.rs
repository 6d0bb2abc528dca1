//! One connection to a server.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use auburnlug_protocol::job::{Code, End, SessionState, Shape, Values};
use auburnlug_transport::socket;
use bytes::BytesMut;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

use crate::wire::{Call, ServerReply, ServerWire};

/// Longest time until a server accepts a connection, in milliseconds. Three times the longest way
/// between regions and one lost packet.
const CONNECT: Duration = Duration::from_millis(500);

/// Longest time until a server answers the opening, in milliseconds. A full server queues it.
const OPEN: Duration = Duration::from_millis(1_500);

/// Bytes read at once.
const READ: usize = 8 << 10;

/// Prepared statements kept on one connection; a reset drops them.
const PREPARED: usize = 64;

/// Why a connection cannot be used any more.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fault {
    /// The server refused the connect: its process does not run.
    Refused,
    /// The server did not answer the connect.
    Unanswered,
    /// The server refused the opening.
    Opening(Code),
    /// The connection ended or broke.
    Broken,
}

/// Expected peer of a connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Database group.
    pub group: Arc<str>,
    /// Server.
    pub server: Arc<str>,
    /// Its address.
    pub address: SocketAddr,
}

/// An open connection with the state that the server keeps for it.
pub struct Connection {
    stream: TcpStream,
    wire: Arc<dyn ServerWire>,
    inbound: BytesMut,
    outbound: BytesMut,
    /// Client account that it belongs to.
    pub account: Arc<str>,
    /// Session values in force on it.
    pub values: Values,
    prepared: BTreeMap<Shape, String>,
}

impl Connection {
    /// Connects and opens a session for `account`.
    ///
    /// # Errors
    ///
    /// The server cannot be reached or refused.
    pub async fn open(
        wire: Arc<dyn ServerWire>,
        target: Target,
        account: Arc<str>,
    ) -> Result<Connection, Fault> {
        let stream = match timeout(CONNECT, socket::connect(None, target.address)).await {
            Err(_) => return Err(Fault::Unanswered),
            Ok(Err(e)) if e.kind() == std::io::ErrorKind::ConnectionRefused => {
                return Err(Fault::Refused);
            }
            Ok(Err(_)) => return Err(Fault::Unanswered),
            Ok(Ok(stream)) => stream,
        };
        let (inbound, outbound) = (BytesMut::with_capacity(READ), BytesMut::new());
        let (values, prepared) = (Values::new(), BTreeMap::new());
        let mut connection =
            Connection { stream, wire, inbound, outbound, account, values, prepared };
        let account = connection.account.clone();
        let call = Call::Open { group: &target.group, account: &account, server: &target.server };
        connection.wire.encode(&call, &mut connection.outbound);
        let reply = timeout(OPEN, connection.exchange(true)).await.map_err(|_| Fault::Broken)??;
        match reply.answer.code() {
            Some(code) => Err(Fault::Opening(code)),
            None => Ok(connection),
        }
    }

    /// Sends a call and takes its answer.
    ///
    /// # Errors
    ///
    /// The connection broke; whether the call ran is not known.
    pub async fn call(&mut self, call: &Call<'_>) -> Result<ServerReply, Fault> {
        // Nothing may arrive without a request: an answer left over would be taken for this one.
        if !self.inbound.is_empty() {
            return Err(Fault::Broken);
        }
        self.wire.encode(call, &mut self.outbound);
        self.exchange(false).await
    }

    /// Makes the server's state for this connection that of a session with `values`, and prepares
    /// `shape`; returns the name of the prepared statement.
    ///
    /// # Errors
    ///
    /// The connection broke or the server refused; nothing of the caller's has run.
    pub async fn adopt(
        &mut self,
        values: &Values,
        shape: Option<&Shape>,
        open: bool,
    ) -> Result<Option<String>, Fault> {
        let extra = self.values.keys().any(|name| !values.contains_key(name));
        let full = shape.is_some_and(|shape| {
            !self.prepared.contains_key(shape) && self.prepared.len() >= PREPARED
        });
        if !open && (extra || full) {
            self.setup(&Call::Reset).await?;
            self.values.clear();
            self.prepared.clear();
        }
        for (name, value) in values {
            if self.values.get(name) != Some(value) {
                self.setup(&Call::Set { name, value }).await?;
                self.values.insert(name.clone(), value.clone());
            }
        }
        let Some(shape) = shape else { return Ok(None) };
        if let Some(name) = self.prepared.get(shape) {
            return Ok(Some(name.clone()));
        }
        let name = format!("p{}", self.prepared.len());
        self.setup(&Call::Prepare { name: &name, shape }).await?;
        self.prepared.insert(shape.clone(), name.clone());
        Ok(Some(name))
    }

    /// Whether the peer has closed the connection, or sent something without being asked.
    pub fn ended(&mut self) -> bool {
        let mut byte = [0; 1];
        !matches!(self.stream.try_read(&mut byte), Err(e) if e.kind() == std::io::ErrorKind::WouldBlock)
    }

    async fn setup(&mut self, call: &Call<'_>) -> Result<(), Fault> {
        let reply = self.call(call).await?;
        match reply.answer.end {
            End::Done(_) => Ok(()),
            End::Error(code, _) => Err(Fault::Opening(code)),
        }
    }

    async fn exchange(&mut self, opening: bool) -> Result<ServerReply, Fault> {
        let outbound = self.outbound.split();
        self.stream.write_all(&outbound).await.map_err(|_| Fault::Broken)?;
        loop {
            match self.wire.decode(opening, &mut self.inbound) {
                Err(_) => return Err(Fault::Broken),
                Ok(Some(reply)) => return Ok(reply),
                Ok(None) => {}
            }
            self.inbound.reserve(READ);
            let count = self.stream.read_buf(&mut self.inbound).await;
            if count.map_err(|_| Fault::Broken)? == 0 {
                return Err(Fault::Broken);
            }
        }
    }
}

/// Whether the connection can serve another transaction after this reply.
pub fn reusable(reply: &ServerReply) -> bool {
    reply.state == SessionState::Idle
}
