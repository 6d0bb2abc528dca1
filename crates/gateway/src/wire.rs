//! Borders to the outside: what callers, servers and the promoting authority speak.
//!
//! The engine knows requests, jobs and answers only. An adapter decodes a wire protocol into them
//! and encodes them again.

use std::{future::Future, net::SocketAddr, pin::Pin, sync::Arc};

use auburnlug_coordination::{Position, succession::Status};
use auburnlug_protocol::job::{Answer, Reply, Request, SessionState, Shape};
use auburnlug_state::Term;
use bytes::BytesMut;

/// Why bytes of a peer cannot be decoded further.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Broken {
    /// A message exceeds the size limit.
    TooLarge,
    /// A message has another form than expected.
    Malformed,
}

/// Wire protocol of callers.
pub trait CallerWire: Send + Sync {
    /// Takes the next request off the buffer; `None` if it is not complete.
    ///
    /// # Errors
    ///
    /// The connection cannot be read any further.
    fn decode(&self, buffer: &mut BytesMut) -> Result<Option<Request>, Broken>;

    /// Appends a reply.
    fn encode(&self, reply: &Reply, buffer: &mut BytesMut);
}

/// A message to a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call<'a> {
    /// Opens a connection for a client account.
    Open {
        /// Database group.
        group: &'a str,
        /// Client account, or this instance.
        account: &'a str,
        /// Server that is expected.
        server: &'a str,
    },
    /// Runs a statement of a caller, unchanged.
    Plain {
        /// Identity of the request.
        id: &'a str,
        /// Position that the server's log must include.
        after: Option<Position>,
        /// Statement.
        text: &'a str,
    },
    /// Runs a prepared statement of a caller.
    Execute {
        /// Identity of the request.
        id: &'a str,
        /// Position that the server's log must include.
        after: Option<Position>,
        /// Name on this connection.
        name: &'a str,
        /// Arguments of the caller.
        arguments: &'a str,
    },
    /// Starts a transaction.
    Begin {
        /// Position that the server's log must include.
        after: Option<Position>,
        /// Whether it only reads.
        read_only: bool,
    },
    /// Ends a transaction and drops its writes.
    Rollback,
    /// Sets a session value.
    Set {
        /// Name.
        name: &'a str,
        /// Value.
        value: &'a str,
    },
    /// Prepares a statement.
    Prepare {
        /// Name on this connection.
        name: &'a str,
        /// Statement.
        shape: &'a Shape,
    },
    /// Drops session values and prepared statements.
    Reset,
    /// Asks for the status.
    Status,
    /// Makes a replica refuse commits of terms below this one.
    Pause(Term),
    /// Ends [`Call::Pause`].
    Resume,
    /// Makes a primary of a lower term a replica.
    Demote(Term),
    /// Ends the connection.
    Close,
}

/// Answer of a server to one call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerReply {
    /// Rows and end.
    pub answer: Answer,
    /// State of the connection after it.
    pub state: SessionState,
}

/// Wire protocol of servers.
pub trait ServerWire: Send + Sync {
    /// Appends a call.
    fn encode(&self, call: &Call<'_>, buffer: &mut BytesMut);

    /// Takes the next answer off the buffer; `None` if it is not complete. After a refused opening
    /// the server closes the connection.
    ///
    /// # Errors
    ///
    /// The connection cannot be read any further.
    fn decode(&self, opening: bool, buffer: &mut BytesMut) -> Result<Option<ServerReply>, Broken>;

    /// Status in the answer to [`Call::Status`], [`Call::Pause`] or [`Call::Demote`].
    fn status(&self, answer: &Answer) -> Option<Status>;
}

/// Outcome of an order of promotion.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ordered {
    /// The server leads the next term soon.
    Accepted,
    /// The server does not run.
    NotRunning,
    /// Too many orders; the order had no effect.
    Limited,
    /// It may have taken effect.
    Unknown,
}

/// An order of promotion.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// Database group.
    pub group: Arc<str>,
    /// Server that takes over.
    pub server: Arc<str>,
    /// Instance that gives the order.
    pub holder: String,
    /// Number that grows with each change of the holder.
    pub token: u64,
}

/// Result of an order in the future.
pub type Ordering = Pin<Box<dyn Future<Output = Ordered> + Send>>;

/// Authority that promotes servers.
pub trait Promoter: Send + Sync {
    /// Orders a promotion. `permit` is asked after the connection is open, right before the order
    /// is sent; the order is dropped if it says no.
    fn promote(&self, order: Order, permit: Box<dyn Fn() -> bool + Send + Sync>) -> Ordering;
}

/// Addresses of the instances of one deployment: all use the same ports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ports {
    /// Links of control members.
    pub control: u16,
    /// Links between entries.
    pub traffic: u16,
    /// Interface of operators and servers.
    pub operator: u16,
}

/// Address of a port on the instance named by its IP address.
pub fn address_of(instance: &str, port: u16) -> Option<SocketAddr> {
    Some(SocketAddr::new(instance.parse().ok()?, port))
}
