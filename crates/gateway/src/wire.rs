//! Interfaces of the adapter: wire protocols of callers and servers, and the authority that
//! promotes servers.
//!
//! The proxy works on requests, jobs and answers only; the adapter decodes and encodes them.

use std::{future::Future, net::SocketAddr, pin::Pin, sync::Arc};

use auburnlug_coordination::{Position, external_failover::Status};
use auburnlug_protocol::job::{Answer, PreparedStatement, Reply, Request, SessionState};
use auburnlug_state::Term;
use bytes::BytesMut;

use crate::leader_lease::LeaderLease;

/// Reason why data of a peer cannot be decoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DecodeError {
    /// A message exceeds the size limit.
    TooLarge,
    /// A message does not follow the protocol.
    Malformed,
}

/// Wire protocol of callers.
pub trait CallerWire: Send + Sync {
    /// Decodes the next request and removes it from the buffer; `None` if it is incomplete.
    ///
    /// # Errors
    ///
    /// The connection cannot be read any further.
    fn decode(&self, buffer: &mut BytesMut) -> Result<Option<Request>, DecodeError>;

    /// Whether [`CallerWire::decode`] has a result other than `None`, if it had none before the last
    /// `received` bytes of the buffer.
    fn ends_message(&self, buffer: &[u8], received: usize) -> bool;

    /// Appends an encoded reply to the buffer.
    fn encode(&self, reply: &Reply, buffer: &mut BytesMut);
}

/// A message to a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ServerCall<'a> {
    /// Opens a connection for a client account.
    Open {
        /// Database group.
        group: &'a str,
        /// Client account, or this instance.
        account: &'a str,
        /// Expected server; another one refuses the call.
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
        /// Arguments, as sent by the caller.
        arguments: &'a str,
    },
    /// Starts a transaction.
    Begin {
        /// Position that the server's log must include.
        after: Option<Position>,
        /// Whether it only reads.
        read_only: bool,
    },
    /// Rolls back a transaction.
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
        shape: &'a PreparedStatement,
    },
    /// Drops session values and prepared statements.
    Reset,
    /// Requests the replication status.
    Status,
    /// Makes a replica refuse commits of terms below this one.
    Pause(Term),
    /// Ends the effect of [`ServerCall::Pause`].
    Resume,
    /// Turns a primary of a lower term into a replica.
    Demote(Term),
    /// Ends the connection.
    Close,
}

/// Answer of a server to one call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerReply {
    /// Rows and final status.
    pub answer: Answer,
    /// State of the session after the call.
    pub state: SessionState,
}

/// Wire protocol of servers.
pub trait ServerWire: Send + Sync {
    /// Appends an encoded call to the buffer.
    fn encode(&self, call: &ServerCall<'_>, buffer: &mut BytesMut);

    /// Decodes the next answer and removes it from the buffer; `None` if it is incomplete. After a
    /// refused opening, the server closes the connection.
    ///
    /// # Errors
    ///
    /// The connection cannot be read any further.
    fn decode(
        &self,
        opening: bool,
        buffer: &mut BytesMut,
    ) -> Result<Option<ServerReply>, DecodeError>;

    /// Replication status in the answer to [`ServerCall::Status`], [`ServerCall::Pause`] or
    /// [`ServerCall::Demote`].
    fn status(&self, answer: &Answer) -> Option<Status>;
}

/// Outcome of a promotion order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PromotionOutcome {
    /// The server will lead the next term.
    Accepted,
    /// The server is not running.
    NotRunning,
    /// Rate limited, not permitted or not sent; the order had no effect.
    Limited,
    /// The order may have taken effect.
    Unknown,
}

/// Order to promote a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromotionOrder {
    /// Database group.
    pub group: Arc<str>,
    /// Server to promote.
    pub server: Arc<str>,
    /// Instance that holds the leader lease and sends the order.
    pub lease_holder: String,
    /// Fencing token; it grows with each change of the lease holder.
    pub fencing_token: u64,
}

/// Future outcome of a promotion order.
pub type PromotionFuture = Pin<Box<dyn Future<Output = PromotionOutcome> + Send>>;

/// Authority that promotes servers.
pub trait Promoter: Send + Sync {
    /// Orders a promotion while the lease is held. Nothing of the order may reach the authority
    /// once the future has ended or was dropped.
    fn promote(&self, order: PromotionOrder, lease: LeaderLease) -> PromotionFuture;
}

/// Ports of the instances of a deployment, the same on all of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ports {
    /// Links of control members.
    pub control: u16,
    /// Links between entries.
    pub traffic: u16,
    /// Interface of operators and servers.
    pub operator: u16,
}

/// Socket address of an instance, which is named by its IP address.
pub fn socket_address(instance: &str, port: u16) -> Option<SocketAddr> {
    Some(SocketAddr::new(instance.parse().ok()?, port))
}
