//! Announcements that database servers send, as JSON.

use std::net::SocketAddr;

use auburnlug_state::{Name, Role, Server, Term};
use serde::{Deserialize, Serialize};

use crate::{Error, Result};

const MAX_ANNOUNCED_CONNECTIONS: u32 = 100_000;

/// An announcement as received, not yet validated.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Identity of the server.
    pub server: String,
    /// Database group.
    pub group: String,
    /// Random number of this start of the server process.
    pub incarnation: u64,
    /// Term that it claims.
    pub term: Term,
    /// Role that it claims.
    pub role: Role,
    /// Address that accepts connections.
    pub address: SocketAddr,
    /// Failure domain, if the server knows it.
    #[serde(default)]
    pub domain: Option<String>,
    /// Maximum number of concurrent statements.
    pub slots: u32,
    /// Maximum number of open connections.
    pub connections: u32,
    /// Whether the server is draining.
    #[serde(default)]
    pub draining: bool,
}

impl TryFrom<Announcement> for Server {
    type Error = Error;

    fn try_from(announcement: Announcement) -> Result<Server> {
        if announcement.slots == 0
            || announcement.slots > announcement.connections
            || announcement.connections > MAX_ANNOUNCED_CONNECTIONS
        {
            return Err(Error::codec(format!(
                "{} slots of {} connections, expected 1 <= slots <= connections <= {MAX_ANNOUNCED_CONNECTIONS}",
                announcement.slots, announcement.connections
            )));
        }
        Ok(Server {
            name: Name::try_from(announcement.server)?,
            group: Name::try_from(announcement.group)?,
            incarnation: announcement.incarnation,
            address: announcement.address,
            domain: Name::try_from(announcement.domain.unwrap_or_else(|| "unknown".into()))?,
            slots: announcement.slots,
            connections: announcement.connections,
            draining: announcement.draining,
            role: announcement.role,
            term: announcement.term,
        })
    }
}
