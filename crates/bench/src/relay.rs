//! TCP relay that injects one-way latency and network partitions.
//!
//! The relay connects to the target from the address of the client, so that the target sees the
//! same source address as without the relay. It accepts and then closes a connection to a target
//! that is down, so instances behind a relay need `trust_refused = no`.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use axum::{
    Router,
    extract::{RawQuery, State},
    http::StatusCode,
    routing::get,
};
use bytes::{Bytes, BytesMut};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::{mpsc, watch},
    task::JoinSet,
    time::Instant,
};

use crate::{
    Error, Result,
    control_api::{bad_request, parse_query},
    server,
};

/// Chunks buffered per direction; further data stays in the socket of the sender.
const MAX_CHUNKS_IN_FLIGHT: usize = 1024;
/// Capacity of a chunk.
const CHUNK_BYTES: usize = 64 * 1024;

/// Options of a relay.
#[derive(Debug, Clone)]
pub struct Options {
    /// Control address.
    pub panel: SocketAddr,
    /// Pairs of listener and target.
    pub forward: Vec<Forward>,
    /// One-way latency of links without a rule of their own, in microseconds.
    pub latency: u64,
}

/// A listener and the target that it forwards to.
#[derive(Debug, Clone, Copy)]
pub struct Forward {
    /// Listener.
    pub listen: SocketAddr,
    /// Target.
    pub target: SocketAddr,
}

impl std::str::FromStr for Forward {
    type Err = Error;

    fn from_str(text: &str) -> Result<Forward> {
        let parse = || {
            let (listen, target) = text.split_once('=')?;
            Some(Forward { listen: listen.parse().ok()?, target: target.parse().ok()? })
        };
        parse().ok_or_else(|| Error::Input(format!("{text:?} is not IP:PORT=IP:PORT")))
    }
}

/// Direction of a rule.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Direction {
    /// From the source to the target.
    ToTarget,
    /// From the target to the source.
    ToSource,
}

/// Source and target address that a rule applies to; `None` matches any address.
type Scope = (Option<IpAddr>, Option<IpAddr>);

#[derive(Debug, Clone, Default)]
struct Rules {
    cuts: BTreeSet<(Scope, Direction)>,
    delays: BTreeMap<Scope, Duration>,
    delay: Duration,
}

impl Rules {
    fn is_cut(&self, link: Link, direction: Direction) -> bool {
        scopes(link).iter().any(|scope| self.cuts.contains(&(*scope, direction)))
    }

    fn delay(&self, link: Link) -> Duration {
        scopes(link).iter().find_map(|s| self.delays.get(s)).copied().unwrap_or(self.delay)
    }
}

#[derive(Debug, Clone, Copy)]
struct Link {
    source: IpAddr,
    target: IpAddr,
}

/// Scopes that match a link, most specific first.
fn scopes(link: Link) -> [Scope; 4] {
    let (source, target) = (Some(link.source), Some(link.target));
    [(source, target), (source, None), (None, target), (None, None)]
}

type Shared = Arc<watch::Sender<Rules>>;

/// Runs a relay until the process ends.
///
/// # Errors
/// An address is in use.
pub async fn run(options: Options) -> Result<()> {
    let delay = Duration::from_micros(options.latency);
    let rules: Shared = Arc::new(watch::Sender::new(Rules { delay, ..Rules::default() }));
    let mut tasks: JoinSet<Result<()>> = JoinSet::new();
    for forward in options.forward {
        let listener = TcpListener::bind(forward.listen).await?;
        tasks.spawn(accept(rules.clone(), listener, forward.target));
    }
    let router = Router::new()
        .route("/cut", get(cut))
        .route("/heal", get(heal))
        .route("/latency", get(latency))
        .with_state(rules);
    let listener = TcpListener::bind(options.panel).await?;
    tasks.spawn(async move { Ok(axum::serve(listener, router).await?) });
    match tasks.join_next().await {
        Some(Ok(done)) => done,
        _ => Err(Error::Input("a task of the relay ended early".into())),
    }
}

async fn accept(rules: Shared, listener: TcpListener, target: SocketAddr) -> Result<()> {
    loop {
        let (stream, peer) = listener.accept().await?;
        let rules = rules.clone();
        tokio::spawn(async move {
            let _ = relay(rules, stream, peer.ip(), target).await;
        });
    }
}

async fn relay(rules: Shared, client: TcpStream, source: IpAddr, target: SocketAddr) -> Result<()> {
    client.set_nodelay(true)?;
    let link = Link { source, target: target.ip() };
    wait_unblocked(&rules, link, Direction::ToTarget).await;
    let upstream = server::connect(source, target).await?;
    let (client_read, client_write) = client.into_split();
    let (upstream_read, upstream_write) = upstream.into_split();
    tokio::join!(
        copy_direction(&rules, link, Direction::ToTarget, client_read, upstream_write),
        copy_direction(&rules, link, Direction::ToSource, upstream_read, client_write)
    );
    Ok(())
}

/// Copies one direction until its end. Latency and cuts apply to the end of the stream as they do
/// to data.
async fn copy_direction(
    rules: &Shared,
    link: Link,
    direction: Direction,
    mut read: OwnedReadHalf,
    mut write: OwnedWriteHalf,
) {
    let (sender, mut receiver) = mpsc::channel::<(Instant, Bytes)>(MAX_CHUNKS_IN_FLIGHT);
    let reader = async move {
        loop {
            let mut chunk = BytesMut::with_capacity(CHUNK_BYTES);
            let count = read.read_buf(&mut chunk).await.unwrap_or(0);
            let end = sender.send((Instant::now(), chunk.freeze())).await.is_err() || count == 0;
            if end {
                return;
            }
        }
    };
    let writer = async {
        while let Some((time, chunk)) = receiver.recv().await {
            let delay = rules.borrow().delay(link);
            // The timer rounds up to a millisecond, even for a deadline in the past.
            if !delay.is_zero() {
                tokio::time::sleep_until(time + delay).await;
            }
            wait_unblocked(rules, link, direction).await;
            if chunk.is_empty() || write.write_all(&chunk).await.is_err() {
                break;
            }
        }
        let _ = write.shutdown().await;
        receiver.close();
    };
    tokio::join!(reader, writer);
}

async fn wait_unblocked(rules: &Shared, link: Link, direction: Direction) {
    let mut rules = rules.subscribe();
    let _ = rules.wait_for(|r| !r.is_cut(link, direction)).await;
}

type Reply = std::result::Result<&'static str, (StatusCode, String)>;

/// `/cut?source=IP&target=IP&way=forth|back`: an omitted parameter matches all.
async fn cut(State(rules): State<Shared>, RawQuery(query): RawQuery) -> Reply {
    let query = parse_query(query.as_deref());
    let scope = scope(&query)?;
    let directions: &[Direction] = match query.get("way").map(String::as_str) {
        Some("forth") => &[Direction::ToTarget],
        Some("back") => &[Direction::ToSource],
        None | Some("both") => &[Direction::ToTarget, Direction::ToSource],
        Some(_) => return Err(bad_request("way must be forth, back or both")),
    };
    rules.send_modify(|r| r.cuts.extend(directions.iter().map(|direction| (scope, *direction))));
    Ok("cut\n")
}

/// `/heal?source=IP&target=IP`: removes the cuts of this scope, or all cuts without parameters.
async fn heal(State(rules): State<Shared>, RawQuery(query): RawQuery) -> Reply {
    let scope = scope(&parse_query(query.as_deref()))?;
    let all = scope == (None, None);
    rules.send_modify(|r| r.cuts.retain(|(s, _)| !all && *s != scope));
    Ok("healed\n")
}

/// `/latency?source=IP&target=IP&us=N`: sets the one-way latency of this scope.
async fn latency(State(rules): State<Shared>, RawQuery(query): RawQuery) -> Reply {
    let query = parse_query(query.as_deref());
    let scope = scope(&query)?;
    let delay = query.get("us").and_then(|t| t.parse().ok()).map(Duration::from_micros);
    let delay = delay.ok_or_else(|| bad_request("us must be a number of microseconds"))?;
    rules.send_modify(|r| {
        r.delays.insert(scope, delay);
    });
    Ok("set\n")
}

fn scope(query: &BTreeMap<String, String>) -> std::result::Result<Scope, (StatusCode, String)> {
    let parse = |name: &str| {
        let parse = |text: &String| text.parse().map_err(|_| bad_request("not an IP address"));
        query.get(name).map(parse).transpose()
    };
    Ok((parse("source")?, parse("target")?))
}
