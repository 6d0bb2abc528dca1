//! Announcements of database servers, as JSON.

use std::net::SocketAddr;

use auburnlug_state::{Name, Role, Server, Term};
use serde::{Deserialize, Serialize};

use crate::{Error, Result};

/// Most slots or connections that a server may announce.
const MAX_CONNECTIONS: u32 = 100_000;

/// An announcement as it arrives.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Identity of the server.
    pub server: String,
    /// Database group.
    pub group: String,
    /// Random number of this run of the server.
    pub incarnation: u64,
    /// Term that it claims.
    pub term: Term,
    /// Role that it claims.
    pub role: Role,
    /// Address that takes connections.
    pub address: SocketAddr,
    /// Failure domain, if the server knows it.
    #[serde(default)]
    pub domain: Option<String>,
    /// Statements that may run at once.
    pub slots: u32,
    /// Connections that may be open at once.
    pub connections: u32,
    /// Whether the server is leaving.
    #[serde(default)]
    pub draining: bool,
}

impl TryFrom<Announcement> for Server {
    type Error = Error;

    fn try_from(raw: Announcement) -> Result<Server> {
        if raw.slots == 0 || raw.slots > raw.connections || raw.connections > MAX_CONNECTIONS {
            return Err(Error::codec(format!(
                "{} slots of {} connections, expected 1 <= slots <= connections <= {MAX_CONNECTIONS}",
                raw.slots, raw.connections
            )));
        }
        Ok(Server {
            name: Name::try_from(raw.server)?,
            group: Name::try_from(raw.group)?,
            incarnation: raw.incarnation,
            address: raw.address,
            domain: Name::try_from(raw.domain.unwrap_or_else(|| "unknown".into()))?,
            slots: raw.slots,
            connections: raw.connections,
            draining: raw.draining,
            role: raw.role,
            term: raw.term,
        })
    }
}
