//! Replication between stand-in servers: JSON lines over TCP, on the port of the database clients.
//!
//! The replica opens the connection and sends the terms of its log; the primary answers with the
//! position up to which both logs agree, then with entries and beats. Each message carries the
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
    Entry, Result,
    cut::Way,
    server::{self, Server},
};

/// Period of beats; the owner suspects a primary that replicas have not heard for 300 ms.
const BEAT_PERIOD: Duration = Duration::from_millis(50);
/// Pause before a replica connects again.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Time without a message after which a replica connects again, as a cut leaves no other sign.
const SILENCE_LIMIT: Duration = Duration::from_secs(2);
/// Entries in one message.
const BATCH: usize = 256;

#[derive(Debug, Serialize, Deserialize)]
struct Hello {
    server: String,
    term: u64,
    /// Last position of each term in the log.
    terms: Vec<(u64, u64)>,
}

#[derive(Debug, Serialize, Deserialize)]
struct Feed {
    term: u64,
    /// Position up to which the logs agree; only in the first message.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    common: Option<u64>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    entries: Vec<Entry>,
}

/// Serves a replica for as long as this server is the primary of the same term.
///
/// # Errors
/// The connection fails.
pub async fn serve(server: Arc<Server>, stream: TcpStream, peer: IpAddr) -> Result<()> {
    let (read, mut write) = stream.into_split();
    let Some(line) = BufReader::new(read).lines().next_line().await? else { return Ok(()) };
    server.cuts.pass(peer, Way::In).await;
    let hello: Hello = serde_json::from_str(&line)?;
    let mut changes = server.changes();
    let (term, mut sent) = {
        let node = server.node();
        if !node.primary || hello.term > node.term {
            return Ok(());
        }
        (node.term, node.common(&hello.terms))
    };
    send(&server, &mut write, peer, &Feed { term, common: Some(sent), entries: vec![] }).await?;
    loop {
        let entries: Vec<Entry> = {
            let node = server.node();
            if !node.primary || node.term != term {
                return Ok(());
            }
            node.log().iter().skip(sent as usize).take(BATCH).cloned().collect()
        };
        let wait = entries.len() < BATCH;
        sent += entries.len() as u64;
        send(&server, &mut write, peer, &Feed { term, common: None, entries }).await?;
        if wait {
            let _ = tokio::time::timeout(BEAT_PERIOD, changes.changed()).await;
        }
    }
}

/// Follows the primary that the server is told to follow, whichever it is at a time.
///
/// # Errors
/// None; it runs until it is dropped.
pub async fn follow(server: Arc<Server>) -> Result<()> {
    loop {
        let (epoch, upstream) = {
            let node = server.node();
            (node.epoch, node.upstream.clone())
        };
        let mut changes = server.changes();
        let address: Option<SocketAddr> = upstream.and_then(|a| a.parse().ok());
        let moved = async {
            while server.node().epoch == epoch {
                if changes.changed().await.is_err() {
                    return;
                }
            }
        };
        match address {
            None => moved.await,
            Some(address) => tokio::select! {
                _ = pull(&server, address, epoch) => tokio::time::sleep(RETRY_PAUSE).await,
                () = moved => {}
            },
        }
    }
}

async fn pull(server: &Arc<Server>, address: SocketAddr, epoch: u64) -> Result<()> {
    let peer = address.ip();
    server.cuts.pass(peer, Way::Out).await;
    let stream = server::connect(server.options.listen.ip(), address).await?;
    let (read, mut write) = stream.into_split();
    let hello = {
        let node = server.node();
        Hello { server: server.options.name.clone(), term: node.term, terms: node.terms() }
    };
    send(server, &mut write, peer, &hello).await?;
    let mut lines = BufReader::new(read).lines();
    loop {
        let Ok(line) = tokio::time::timeout(SILENCE_LIMIT, lines.next_line()).await else {
            return Ok(());
        };
        let Some(line) = line? else { return Ok(()) };
        server.cuts.pass(peer, Way::In).await;
        let feed: Feed = serde_json::from_str(&line)?;
        let kept = server.update(|node| {
            let now = Instant::now();
            if node.hear(feed.term, epoch, now).is_err() {
                return false;
            }
            if let Some(common) = feed.common {
                node.truncate(common);
            }
            feed.entries.into_iter().all(|entry| node.receive(entry, now))
        })?;
        if !kept {
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
    server.cuts.pass(peer, Way::Out).await;
    Ok(write.write_all(&line).await?)
}
