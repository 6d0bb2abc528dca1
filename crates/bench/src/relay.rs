//! A TCP relay that adds one-way latency and cuts links silently.
//!
//! The relay connects onwards from the caller's own address, so that the target sees the same
//! source as without it. A connection to a dead target is accepted and then closed: run instances
//! behind a relay with `trust_refused = no`.

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
    panel::{bad, parameters},
    server,
};

/// Chunks under way in one direction; more wait in the sender's socket.
const CHUNKS: usize = 1024;
/// Bytes of a chunk.
const CHUNK_BYTES: usize = 64 * 1024;

/// Options of a relay.
#[derive(Debug, Clone)]
pub struct Options {
    /// Control address.
    pub panel: SocketAddr,
    /// Pairs of listener and target.
    pub forward: Vec<Forward>,
    /// One-way latency where no rule says otherwise, in microseconds.
    pub latency: u64,
}

/// A listener and where it leads.
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
enum Way {
    /// From the source to the target.
    Forth,
    /// From the target to the source.
    Back,
}

/// Source and target address that a rule applies to; `None` stands for any.
type Scope = (Option<IpAddr>, Option<IpAddr>);

#[derive(Debug, Clone, Default)]
struct Rules {
    cuts: BTreeSet<(Scope, Way)>,
    delays: BTreeMap<Scope, Duration>,
    delay: Duration,
}

impl Rules {
    fn cut(&self, link: Link, way: Way) -> bool {
        scopes(link).iter().any(|scope| self.cuts.contains(&(*scope, way)))
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

/// Scopes that cover a link, the narrowest first.
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

async fn relay(rules: Shared, near: TcpStream, source: IpAddr, target: SocketAddr) -> Result<()> {
    near.set_nodelay(true)?;
    let link = Link { source, target: target.ip() };
    pass(&rules, link, Way::Forth).await;
    let far = server::connect(source, target).await?;
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    tokio::join!(
        carry(&rules, link, Way::Forth, near_read, far_write),
        carry(&rules, link, Way::Back, far_read, near_write)
    );
    Ok(())
}

/// Carries one direction to its end. The end is delayed and cut like the data before it.
async fn carry(
    rules: &Shared,
    link: Link,
    way: Way,
    mut read: OwnedReadHalf,
    mut write: OwnedWriteHalf,
) {
    let (sender, mut receiver) = mpsc::channel::<(Instant, Bytes)>(CHUNKS);
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
            // The timer rounds up to a millisecond, even for a time that has passed.
            if !delay.is_zero() {
                tokio::time::sleep_until(time + delay).await;
            }
            pass(rules, link, way).await;
            if chunk.is_empty() || write.write_all(&chunk).await.is_err() {
                break;
            }
        }
        let _ = write.shutdown().await;
        receiver.close();
    };
    tokio::join!(reader, writer);
}

async fn pass(rules: &Shared, link: Link, way: Way) {
    let mut rules = rules.subscribe();
    let _ = rules.wait_for(|r| !r.cut(link, way)).await;
}

type Reply = std::result::Result<&'static str, (StatusCode, String)>;

/// `/cut?source=IP&target=IP&way=forth|back`: what is left out stands for all.
async fn cut(State(rules): State<Shared>, RawQuery(query): RawQuery) -> Reply {
    let query = parameters(query.as_deref());
    let scope = scope(&query)?;
    let ways: &[Way] = match query.get("way").map(String::as_str) {
        Some("forth") => &[Way::Forth],
        Some("back") => &[Way::Back],
        None | Some("both") => &[Way::Forth, Way::Back],
        Some(_) => return Err(bad("way must be forth, back or both")),
    };
    rules.send_modify(|r| r.cuts.extend(ways.iter().map(|way| (scope, *way))));
    Ok("cut\n")
}

/// `/heal?source=IP&target=IP`: lifts the cuts of this scope; without one, all cuts.
async fn heal(State(rules): State<Shared>, RawQuery(query): RawQuery) -> Reply {
    let scope = scope(&parameters(query.as_deref()))?;
    let all = scope == (None, None);
    rules.send_modify(|r| r.cuts.retain(|(s, _)| !all && *s != scope));
    Ok("healed\n")
}

/// `/latency?source=IP&target=IP&us=N`: one-way latency of this scope.
async fn latency(State(rules): State<Shared>, RawQuery(query): RawQuery) -> Reply {
    let query = parameters(query.as_deref());
    let scope = scope(&query)?;
    let delay = query.get("us").and_then(|t| t.parse().ok()).map(Duration::from_micros);
    let delay = delay.ok_or_else(|| bad("us must be a number of microseconds"))?;
    rules.send_modify(|r| {
        r.delays.insert(scope, delay);
    });
    Ok("set\n")
}

fn scope(query: &BTreeMap<String, String>) -> std::result::Result<Scope, (StatusCode, String)> {
    let parse = |name: &str| {
        let parse = |text: &String| text.parse().map_err(|_| bad("not an IP address"));
        query.get(name).map(parse).transpose()
    };
    Ok((parse("source")?, parse("target")?))
}
