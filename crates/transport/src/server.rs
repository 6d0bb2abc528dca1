//! Connections to database servers.

use std::{
    future::Future,
    io::{Error, ErrorKind, Result},
    net::{IpAddr, SocketAddr},
    pin::Pin,
};

use auburnlug_coordination::Position;
use bytes::{Bytes, BytesMut};
use pgwire::messages::{
    Message,
    cancel::CancelRequest,
    response::ErrorResponse,
    simplequery::Query,
    startup::{BackendKeyData, ParameterStatus, Password, SecretKey, Startup},
};
use tokio::{
    io::AsyncWriteExt,
    net::{TcpSocket, TcpStream},
};

use crate::{
    event::{Event, log},
    frame::{self, Frame, put},
};

/// Limit for the answer to one request; a longer one is discarded.
pub const MAX_REPLY_BYTES: usize = 16 << 20;

/// Parameter by which a server reports the position of a write.
const POSITION_PARAMETER: &str = "auburnlug.position";

/// A future of the server traits.
pub type ServerFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T>> + Send + 'a>>;

/// Opens connections to database servers.
pub trait ServerConnector: Send + Sync {
    /// Opens a connection with the credentials of the proxy.
    fn connect(
        &self,
        address: SocketAddr,
        database: &str,
    ) -> ServerFuture<'static, Box<dyn Connection>>;

    /// Asks the server to cancel the statement that runs on the connection with `key`.
    fn cancel(&self, address: SocketAddr, key: CancelKey) -> ServerFuture<'static, ()>;
}

/// An open connection to a database server.
pub trait Connection: Send {
    /// Sends complete requests and collects the answer up to `ReadyForQuery`.
    ///
    /// After an error, or if the future is dropped before it ends, the connection must be closed:
    /// what arrives later belongs to the old request.
    fn run(&mut self, messages: Bytes) -> ServerFuture<'_, Reply>;

    /// Key that cancels the running statement.
    fn key(&self) -> CancelKey;

    /// Whether the connection can take a request: it is open, and no unsolicited data has arrived.
    fn is_open(&mut self) -> bool;
}

/// Key of a connection for cancel requests.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CancelKey {
    /// Process id of the server connection.
    pub pid: i32,
    /// Secret key of the server connection.
    pub secret: Vec<u8>,
}

/// A complete answer.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Reply {
    /// Messages up to and including `ReadyForQuery`.
    pub messages: Bytes,
    /// Transaction status: `I`, `T` or `E`.
    pub status: u8,
    /// SQLSTATE of the first error.
    pub error: Option<String>,
    /// Position of the last write.
    pub position: Option<Position>,
    /// Whether a setting of the connection changed.
    pub settings_changed: bool,
    /// Whether the answer exceeded [`MAX_REPLY_BYTES`]; `messages` is then empty.
    pub oversize: bool,
}

/// Credentials of the proxy on the database servers.
#[derive(Debug, Clone)]
pub struct Credentials {
    /// User.
    pub user: String,
    /// Password for the cleartext password message.
    pub password: Option<String>,
}

/// Database servers reached over TCP.
#[derive(Debug, Clone)]
pub struct TcpConnector {
    credentials: Credentials,
    source: Option<IpAddr>,
}

impl TcpConnector {
    /// Connects with `credentials`, and from the address `source` if it is given.
    pub fn new(credentials: Credentials, source: Option<IpAddr>) -> TcpConnector {
        TcpConnector { credentials, source }
    }
}

impl ServerConnector for TcpConnector {
    fn connect(
        &self,
        address: SocketAddr,
        database: &str,
    ) -> ServerFuture<'static, Box<dyn Connection>> {
        let (this, database) = (self.clone(), database.to_string());
        Box::pin(async move {
            let stream = open_stream(address, this.source).await?;
            let mut connection = TcpConnection::new(stream);
            connection.start_up(&this.credentials, database).await?;
            Ok(Box::new(connection) as Box<dyn Connection>)
        })
    }

    fn cancel(&self, address: SocketAddr, key: CancelKey) -> ServerFuture<'static, ()> {
        let source = self.source;
        Box::pin(async move {
            let secret = <[u8; 4]>::try_from(&key.secret[..]).map_or_else(
                |_| SecretKey::Bytes(key.secret.into()),
                |four| SecretKey::I32(i32::from_be_bytes(four)),
            );
            let mut out = BytesMut::new();
            CancelRequest::new(key.pid, secret).encode(&mut out).map_err(Error::other)?;
            open_stream(address, source).await?.write_all(&out).await
        })
    }
}

async fn open_stream(address: SocketAddr, source: Option<IpAddr>) -> Result<TcpStream> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    if let Some(source) = source {
        socket.bind(SocketAddr::new(source, 0))?;
    }
    let stream = socket.connect(address).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

struct TcpConnection {
    stream: TcpStream,
    buf: BytesMut,
    key: CancelKey,
}

impl TcpConnection {
    fn new(stream: TcpStream) -> TcpConnection {
        TcpConnection { stream, buf: BytesMut::with_capacity(8192), key: CancelKey::default() }
    }

    async fn start_up(&mut self, credentials: &Credentials, database: String) -> Result<()> {
        let mut startup = Startup::new();
        startup.parameters.insert("user".into(), credentials.user.clone());
        startup.parameters.insert("database".into(), database);
        let mut out = BytesMut::new();
        put(&mut out, &startup);
        self.stream.write_all(&out).await?;
        loop {
            let frame = frame::read(&mut self.stream, &mut self.buf, MAX_REPLY_BYTES).await?;
            match frame.tag {
                b'R' => self.authenticate(&frame, credentials).await?,
                b'K' => {
                    if let Some(data) = frame.decode::<BackendKeyData>() {
                        self.key = CancelKey {
                            pid: data.pid,
                            secret: data.secret_key.to_bytes().to_vec(),
                        };
                    }
                }
                b'E' => return Err(startup_error(&frame)),
                b'Z' => return Ok(()),
                _ => {}
            }
        }
    }

    async fn authenticate(&mut self, frame: &Frame, credentials: &Credentials) -> Result<()> {
        match frame.body().first_chunk().map(|code| u32::from_be_bytes(*code)) {
            Some(0) => Ok(()),
            Some(3) => {
                let password = credentials.password.clone().ok_or(ErrorKind::PermissionDenied)?;
                let mut out = BytesMut::new();
                put(&mut out, &Password::new(password));
                self.stream.write_all(&out).await
            }
            _ => Err(Error::new(ErrorKind::Unsupported, "unsupported authentication method")),
        }
    }

    async fn exchange(&mut self, messages: Bytes) -> Result<Reply> {
        // A late or duplicate answer would be taken for the answer to this request.
        if !self.is_open() {
            let address = self.stream.peer_addr();
            log(
                Event::AnswerMismatched,
                format_args!("server {address:?} sent an unsolicited message"),
            );
            return Err(Error::new(ErrorKind::InvalidData, "unsolicited message from the server"));
        }
        self.stream.write_all(&messages).await?;
        let mut reply = Reply::default();
        let mut out = BytesMut::new();
        loop {
            let frame = frame::read(&mut self.stream, &mut self.buf, MAX_REPLY_BYTES).await?;
            if out.len() + frame.bytes.len() > MAX_REPLY_BYTES {
                reply.oversize = true;
                out.clear();
            }
            if !record_frame(&mut reply, &frame)? && !reply.oversize {
                out.extend_from_slice(&frame.bytes);
            }
            if frame.tag == b'Z' {
                reply.messages = if reply.oversize { Bytes::new() } else { out.freeze() };
                return Ok(reply);
            }
        }
    }
}

impl Connection for TcpConnection {
    fn run(&mut self, messages: Bytes) -> ServerFuture<'_, Reply> {
        Box::pin(self.exchange(messages))
    }

    fn key(&self) -> CancelKey {
        self.key.clone()
    }

    fn is_open(&mut self) -> bool {
        let mut byte = [0];
        let read = self.stream.try_read(&mut byte);
        self.buf.is_empty() && read.is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
    }
}

/// Records in `reply` what `frame` reports; true if the frame is not passed on to the caller.
fn record_frame(reply: &mut Reply, frame: &Frame) -> Result<bool> {
    match frame.tag {
        b'Z' => reply.status = frame.body().first().copied().unwrap_or(b'E'),
        b'E' if reply.error.is_none() => {
            let error: Option<ErrorResponse> = frame.decode();
            let fields = error.map(|error| error.fields).unwrap_or_default();
            reply.error = Some(
                fields
                    .into_iter()
                    .find(|field| field.0 == b'C')
                    .map_or_else(String::new, |field| field.1),
            );
        }
        b'S' => {
            let Some(status) = frame.decode::<ParameterStatus>() else { return Ok(false) };
            if status.name == POSITION_PARAMETER {
                reply.position = Some(parse_position(&status.value).ok_or(ErrorKind::InvalidData)?);
                return Ok(true);
            }
            reply.settings_changed = true;
        }
        // Notifications belong to no request.
        b'A' => return Ok(true),
        b'G' | b'W' => {
            return Err(Error::new(ErrorKind::Unsupported, "the server requested COPY data"));
        }
        _ => {}
    }
    Ok(false)
}

fn parse_position(text: &str) -> Option<Position> {
    let (term, offset) = text.split_once('/')?;
    Some(Position { term: term.parse().ok()?, offset: offset.parse().ok()? })
}

fn startup_error(frame: &Frame) -> Error {
    let fields = frame.decode::<ErrorResponse>().map(|error| error.fields).unwrap_or_default();
    let text =
        fields.into_iter().find(|field| field.0 == b'M').map_or_else(String::new, |field| field.1);
    Error::new(ErrorKind::PermissionDenied, text)
}

/// Messages of a simple query.
pub fn query(sql: &str) -> Bytes {
    let mut out = BytesMut::new();
    put(&mut out, &Query::new(sql.to_string()));
    out.freeze()
}
