//! Status of a database server, parsed from its answer to `SHOW auburnlug.status`.

use auburnlug_state::{Millis, Role, Term};
use bytes::Buf;
use pgwire::messages::data::DataRow;

use crate::{frame, server::Reply};

/// Statement that queries the status.
pub(crate) const STATUS: &str = "SHOW auburnlug.status";

/// Term changes kept for each server.
const MAX_TERM_STARTS: usize = 16;

/// Status of a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Status {
    /// Highest term known to the server.
    pub term: Term,
    pub role: Role,
    /// Offset up to which the server has stored its log.
    pub received: u64,
    /// Offset up to which the log is applied and visible to reads.
    pub applied: u64,
    /// Term of the last entry of its log.
    pub last: Term,
    /// Time since the server last received a message from its primary, in milliseconds.
    pub upstream_age: Millis,
}

impl Status {
    /// Parses the row `term, role, received, applied, last_term, upstream_ms`.
    pub(crate) fn parse(reply: &Reply) -> Option<Status> {
        let row =
            frame::split_frames(&reply.messages).into_iter().find(|frame| frame.tag == b'D')?;
        let fields = parse_fields(&row.decode::<DataRow>()?)?;
        let [term, role, received, applied, last, upstream] =
            <[String; 6]>::try_from(fields).ok()?;
        Some(Status {
            term: term.parse().ok()?,
            role: match role.as_str() {
                "primary" => Role::Primary,
                "replica" => Role::Replica,
                _ => return None,
            },
            received: received.parse().ok()?,
            applied: applied.parse().ok()?,
            last: last.parse().ok()?,
            upstream_age: upstream.parse().unwrap_or(Millis::MAX),
        })
    }
}

/// Offsets in a server's log at which entries are known to have at least a given term.
///
/// The status only contains the term of the last received entry, which may differ from the term of
/// the last applied entry.
#[derive(Debug, Default)]
pub(crate) struct Terms {
    starts: Vec<(u64, Term)>,
    received: u64,
}

impl Terms {
    /// Records the log end and its term from a status.
    pub(crate) fn record(&mut self, status: &Status) {
        if status.received < self.received {
            self.starts.clear();
        }
        self.received = status.received;
        if self.starts.last().is_none_or(|last| last.1 != status.last) {
            self.starts.push((status.received, status.last));
            let excess = self.starts.len().saturating_sub(MAX_TERM_STARTS);
            self.starts.drain(..excess);
        }
    }

    /// Lower bound of the term of the entry at `offset`; 0 if not known.
    pub(crate) fn at(&self, offset: u64) -> Term {
        let known = self.starts.iter().rev().find(|start| start.0 <= offset);
        known.map_or(0, |start| start.1)
    }
}

fn parse_fields(row: &DataRow) -> Option<Vec<String>> {
    let mut data = &row.data[..];
    let mut list = Vec::new();
    while data.len() >= 4 {
        let length = usize::try_from(data.get_i32()).unwrap_or(0);
        let (field, rest) = data.split_at_checked(length)?;
        list.push(std::str::from_utf8(field).ok()?.to_string());
        data = rest;
    }
    Some(list)
}
