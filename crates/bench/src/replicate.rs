//! Replication between stand-in servers: JSON Lines over TCP, on the port of the database clients.
//!
//! The replica opens the connection and sends the terms of its log; the primary answers with the
//! position up to which both logs agree, then with entries and heartbeats. Each message carries the
//! primary's term, and a replica that has been fenced at a higher term drops the connection.

use std::{
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};
use tokio::{
    io::{AsyncBufReadExt, AsyncWriteExt, BufReader},
    net::{TcpStream, tcp::OwnedWriteHalf},
};

use crate::{
    LogEntry, Result,
    cut::Direction,
    server::{self, Server},
};

/// Must be well below 300 ms without a message at the replicas, after which the group owner
/// suspects the primary.
const HEARTBEAT_PERIOD: Duration = Duration::from_millis(50);
/// Delay before a replica reconnects.
const RECONNECT_DELAY: Duration = Duration::from_millis(50);
/// Time without a message after which a replica reconnects; a network partition closes no
/// connection.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(2);
/// Log entries in one message.
const MAX_BATCH_ENTRIES: usize = 256;

#[derive(Debug, Serialize, Deserialize)]
struct Hello {
    server: String,
    term: u64,
    /// Last position of each term in the log.
    terms: Vec<(u64, u64)>,
}

#[derive(Debug, Serialize, Deserialize)]
struct ReplicationMessage {
    term: u64,
    /// Position up to which the logs agree; set in the first message only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    common: Option<u64>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    entries: Vec<LogEntry>,
}

/// Serves a replica for as long as this server is the primary of the same term.
///
/// # Errors
/// The connection fails.
pub async fn serve_replica(server: Arc<Server>, stream: TcpStream, peer: IpAddr) -> Result<()> {
    let (read, mut write) = stream.into_split();
    let Some(line) = BufReader::new(read).lines().next_line().await? else { return Ok(()) };
    server.cuts.wait_unblocked(peer, Direction::Inbound).await;
    let hello: Hello = serde_json::from_str(&line)?;
    let mut changes = server.subscribe_changes();
    let (term, mut sent) = {
        let node = server.node();
        if !node.primary || hello.term > node.term {
            return Ok(());
        }
        (node.term, node.common_position(&hello.terms))
    };
    send(
        &server,
        &mut write,
        peer,
        &ReplicationMessage { term, common: Some(sent), entries: vec![] },
    )
    .await?;
    loop {
        let entries: Vec<LogEntry> = {
            let node = server.node();
            if !node.primary || node.term != term {
                return Ok(());
            }
            node.log().iter().skip(sent as usize).take(MAX_BATCH_ENTRIES).cloned().collect()
        };
        let wait = entries.len() < MAX_BATCH_ENTRIES;
        sent += entries.len() as u64;
        send(&server, &mut write, peer, &ReplicationMessage { term, common: None, entries })
            .await?;
        if wait {
            let _ = tokio::time::timeout(HEARTBEAT_PERIOD, changes.changed()).await;
        }
    }
}

/// Replicates from the current upstream and switches when the upstream changes.
///
/// # Errors
/// Never returns an error; the future runs until it is dropped.
pub async fn follow(server: Arc<Server>) -> Result<()> {
    loop {
        let (epoch, upstream) = {
            let node = server.node();
            (node.epoch, node.upstream.clone())
        };
        let mut changes = server.subscribe_changes();
        let address: Option<SocketAddr> = upstream.and_then(|a| a.parse().ok());
        let upstream_changed = async {
            while server.node().epoch == epoch {
                if changes.changed().await.is_err() {
                    return;
                }
            }
        };
        match address {
            None => upstream_changed.await,
            Some(address) => tokio::select! {
                _ = replicate_from(&server, address, epoch) => tokio::time::sleep(RECONNECT_DELAY).await,
                () = upstream_changed => {}
            },
        }
    }
}

async fn replicate_from(server: &Arc<Server>, address: SocketAddr, epoch: u64) -> Result<()> {
    let peer = address.ip();
    server.cuts.wait_unblocked(peer, Direction::Outbound).await;
    let stream = server::connect(server.options.listen.ip(), address).await?;
    let (read, mut write) = stream.into_split();
    let hello = {
        let node = server.node();
        Hello { server: server.options.name.clone(), term: node.term, terms: node.term_ends() }
    };
    send(server, &mut write, peer, &hello).await?;
    let mut lines = BufReader::new(read).lines();
    loop {
        let Ok(line) = tokio::time::timeout(HEARTBEAT_TIMEOUT, lines.next_line()).await else {
            return Ok(());
        };
        let Some(line) = line? else { return Ok(()) };
        server.cuts.wait_unblocked(peer, Direction::Inbound).await;
        let message: ReplicationMessage = serde_json::from_str(&line)?;
        let accepted = server.update(|node| {
            let now = Instant::now();
            if node.accept_message(message.term, epoch, now).is_err() {
                return false;
            }
            if let Some(common) = message.common {
                node.truncate(common);
            }
            message.entries.into_iter().all(|entry| node.receive(entry, now))
        })?;
        if !accepted {
            return Ok(());
        }
    }
}

async fn send<T: Serialize>(
    server: &Server,
    write: &mut OwnedWriteHalf,
    peer: IpAddr,
    message: &T,
) -> Result<()> {
    let mut line = serde_json::to_vec(message)?;
    line.push(b'\n');
    server.cuts.wait_unblocked(peer, Direction::Outbound).await;
    Ok(write.write_all(&line).await?)
}
