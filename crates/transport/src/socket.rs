//! WebSocket transport of links: handshake, message transfer and failure detection.

use std::{
    marker::PhantomData,
    net::{IpAddr, SocketAddr},
    os::fd::AsFd,
    sync::Arc,
    time::Duration,
};

use auburnlug_coordination::client_budget::{BudgetLimits, ProcessLimits};
use auburnlug_protocol::{
    auth::{Challenge, Hello, Nonce, Proof, Purpose, Secret},
    decode, encode,
};
use auburnlug_state::{Name, byte_size::ByteSize, record};
use futures_util::{
    SinkExt, StreamExt,
    stream::{FuturesUnordered, SplitSink, SplitStream},
};
use rand::RngCore;
use rustix::net::sockopt;
use serde::{Serialize, de::DeserializeOwned};
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    sync::mpsc,
    time::{MissedTickBehavior, timeout},
};
use tokio_tungstenite::{
    WebSocketStream, accept_async_with_config, client_async_with_config,
    tungstenite::{Message, protocol::WebSocketConfig},
};

use crate::{
    Error, Result,
    byte_channel::{Receiver, Sender},
    client_room::ClientRoom,
    limited_stream::LimitedStream,
    link::{Dial, Dialing, Link},
    metrics::{LinkMetrics, Meter},
};

const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// Covers the connect and the handshake.
const DIAL_TIMEOUT: Duration = Duration::from_millis(3_500);

/// Times between the successive connect attempts, and after the last one. The packets to a machine
/// that is just starting or cut off are lost, and the operating system retransmits them only after
/// a second. A machine that is up answers within the round trip between regions, mostly also under
/// load; for one that is slower, the earlier attempts go on.
pub const CONNECT_INTERVALS_MS: [u64; 6] = [250; 6];

pub const DEFAULT_PING_INTERVAL: Duration = Duration::from_millis(500);

/// Ping intervals without received data after which a link is closed.
const MAX_MISSED_PINGS: u32 = 4;

/// The largest state that can be stored, as a snapshot with the names of two members.
const MAX_MESSAGE_BYTES: usize = record::MAX_PAYLOAD_BYTES + (4 << 10);

/// Read buffer of one link. An instance may have links to and from each of 700 others, and the
/// library's default of 128 KiB per link would use 180 MB.
const READ_BUFFER_BYTES: usize = 16 << 10;

/// First bytes of the upgrade request of a traffic link.
const TRAFFIC_REQUEST_PREFIX: &[u8; 12] = b"GET /traffic";

const MAX_MESSAGES_PER_FLUSH: usize = 256;

/// Bytes that an end reads before the other one has proven itself; a handshake takes less than 1 KiB.
const MAX_HANDSHAKE_BYTES: usize = 16 << 10;

type Socket = WebSocketStream<LimitedStream>;

/// Identity and credentials of this end of a link.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Name of this instance.
    pub name: Name,
    /// Secret shared by all instances.
    pub secret: Secret,
    /// Source address of outbound connections.
    pub source: Option<IpAddr>,
    /// Counters of bytes and messages on links.
    pub links: LinkMetrics,
    /// Interval between pings on control links.
    pub control_ping: Duration,
    /// Interval between pings on traffic links.
    pub traffic_ping: Duration,
}

impl Identity {
    fn ping_interval(&self, purpose: Purpose) -> Duration {
        match purpose {
            Purpose::Traffic => self.traffic_ping,
            Purpose::Control => self.control_ping,
        }
    }
}

/// Opens links for one purpose.
#[derive(Debug)]
pub struct Dialer<M> {
    identity: Arc<Identity>,
    purpose: Purpose,
    marker: PhantomData<fn() -> M>,
}

impl<M> Dialer<M> {
    /// A dialer that opens links for `purpose`.
    pub fn new(identity: Arc<Identity>, purpose: Purpose) -> Dialer<M> {
        Dialer { identity, purpose, marker: PhantomData }
    }
}

impl<M: Serialize + DeserializeOwned + ByteSize + Send + 'static> Dial<M> for Dialer<M> {
    fn dial(&self, name: Name, address: SocketAddr) -> Dialing<M> {
        let (identity, purpose) = (self.identity.clone(), self.purpose);
        Box::pin(async move {
            let dialed =
                timeout(DIAL_TIMEOUT, dial(&identity, purpose, name.clone(), address)).await;
            let Ok(Ok(socket)) = dialed else { return None };
            let ping_interval = identity.ping_interval(purpose);
            Some(spawn(
                name,
                socket,
                &Meters::new(&identity.links, purpose),
                Some(ping_interval),
                ping_interval,
            ))
        })
    }
}

/// A socket that has passed the handshake.
#[derive(Debug)]
pub struct Accepted {
    /// Instance at the other end.
    pub peer: Name,
    /// What the link is for.
    pub purpose: Purpose,
    socket: Socket,
    meters: Meters,
    ping_interval: Duration,
}

/// Counters of a link.
#[derive(Debug)]
struct Meters {
    inbound: Meter,
    outbound: Meter,
}

impl Meters {
    fn new(links: &LinkMetrics, purpose: Purpose) -> Meters {
        Meters { inbound: links.meter(purpose, "in"), outbound: links.meter(purpose, "out") }
    }
}

impl Accepted {
    /// Starts the message transfer. The dialing end sends the pings; this end only answers them.
    pub fn link<M: Serialize + DeserializeOwned + ByteSize + Send + 'static>(self) -> Link<M> {
        spawn(self.peer, self.socket, &self.meters, None, self.ping_interval)
    }
}

/// Accepts links. Control links go to `control`. The sockets of traffic links go to `traffic`
/// before their handshake, so that each purpose runs on its own threads.
pub async fn listen(
    listener: TcpListener,
    identity: Arc<Identity>,
    control: mpsc::Sender<Accepted>,
    traffic: mpsc::Sender<std::net::TcpStream>,
) {
    let openings = opening_room(ProcessLimits::default().link_openings());
    listen_within(listener, identity, control, traffic, openings).await;
}

/// Room for connections before their handshake is complete.
pub fn opening_room(limits: BudgetLimits) -> ClientRoom {
    ClientRoom::new("links", limits, |_| {})
}

/// Accepts links like [`listen`]; `openings` bounds the connections before their handshake.
pub async fn listen_within(
    listener: TcpListener,
    identity: Arc<Identity>,
    control: mpsc::Sender<Accepted>,
    traffic: mpsc::Sender<std::net::TcpStream>,
    openings: ClientRoom,
) {
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let Some(opening) = openings.admit(peer.ip()) else { continue };
        let (identity, control, traffic) = (identity.clone(), control.clone(), traffic.clone());
        tokio::spawn(async move {
            let routing = route_socket(stream, &identity, &control, &traffic);
            tokio::select! {
                routed = timeout(HANDSHAKE_TIMEOUT, routing) => drop(routed),
                () = opening.closed() => {}
            }
        });
    }
}

/// Takes a traffic socket from [`listen`] and completes its handshake.
///
/// # Errors
///
/// The socket failed, or the peer failed authentication.
pub async fn accept_traffic(socket: std::net::TcpStream, identity: &Identity) -> Result<Accepted> {
    let accepted = timeout(HANDSHAKE_TIMEOUT, accept(TcpStream::from_std(socket)?, identity)).await;
    accepted.map_err(|_| Error::closed())?
}

async fn route_socket(
    stream: TcpStream,
    identity: &Identity,
    control: &mpsc::Sender<Accepted>,
    traffic: &mpsc::Sender<std::net::TcpStream>,
) -> Result<()> {
    let mut start = [0; TRAFFIC_REQUEST_PREFIX.len()];
    loop {
        match stream.peek(&mut start).await? {
            0 => return Err(Error::closed()),
            count if count == start.len() => break,
            // A peek returns as soon as one byte is available.
            _ => tokio::time::sleep(Duration::from_millis(1)).await,
        }
    }
    if start == *TRAFFIC_REQUEST_PREFIX {
        let _ = traffic.send(stream.into_std()?).await;
    } else {
        let _ = control.send(accept(stream, identity).await?).await;
    }
    Ok(())
}

/// Opens a TCP connection from the configured source address.
///
/// # Errors
///
/// The error of the socket, unchanged, so that the caller can detect a refused connection.
pub async fn connect(source: Option<IpAddr>, address: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    if let Some(ip) = source {
        socket.bind(SocketAddr::new(ip, 0))?;
    }
    let stream = socket.connect(address).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Makes a connection reset its peer when it is closed, also by the end of the process. The peer
/// then receives no byte that the network still holds up.
///
/// # Errors
///
/// The error of the socket.
pub fn reset_on_close(connection: &impl AsFd) -> std::io::Result<()> {
    Ok(sockopt::set_socket_linger(connection, Some(Duration::ZERO))?)
}

/// Sets the time after which the operating system closes a connection whose peer acknowledges
/// nothing; zero for its default.
///
/// # Errors
///
/// The error of the socket.
pub fn set_delivery_limit(connection: &impl AsFd, limit: Duration) -> std::io::Result<()> {
    let limit = u32::try_from(limit.as_millis()).unwrap_or(u32::MAX);
    Ok(sockopt::set_tcp_user_timeout(connection, limit)?)
}

fn socket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(MAX_MESSAGE_BYTES))
        .max_frame_size(Some(MAX_MESSAGE_BYTES))
        .read_buffer_size(READ_BUFFER_BYTES)
}

fn random_nonce() -> Nonce {
    let mut nonce = Nonce::default();
    rand::rng().fill_bytes(&mut nonce);
    nonce
}

/// Starts an attempt, and another one after each of the `intervals`, in milliseconds, but the last.
/// The first attempt to end decides; earlier ones go on while later ones are made.
///
/// # Errors
///
/// The error of the first attempt to end, or a timeout if none ends in all the intervals.
pub async fn repeat_attempts<T, F>(intervals: &[u64], attempt: impl Fn() -> F) -> std::io::Result<T>
where
    F: Future<Output = std::io::Result<T>>,
{
    let mut attempts = FuturesUnordered::new();
    for interval in intervals {
        attempts.push(attempt());
        if let Ok(Some(ended)) = timeout(Duration::from_millis(*interval), attempts.next()).await {
            return ended;
        }
    }
    Err(std::io::ErrorKind::TimedOut.into())
}

async fn dial(
    identity: &Identity,
    purpose: Purpose,
    to: Name,
    address: SocketAddr,
) -> Result<Socket> {
    let stream =
        repeat_attempts(&CONNECT_INTERVALS_MS, || connect(identity.source, address)).await?;
    let path = match purpose {
        Purpose::Control => "control",
        Purpose::Traffic => "traffic",
    };
    let url = format!("ws://{address}/{path}");
    let stream = LimitedStream::new(stream, MAX_HANDSHAKE_BYTES);
    let (mut socket, _) = client_async_with_config(url, stream, Some(socket_config())).await?;
    let hello = Hello { from: identity.name.clone(), to, purpose, nonce: random_nonce() };
    send(&mut socket, &hello).await?;
    let challenge: Challenge = receive(&mut socket).await?;
    let proof = identity.secret.prove(&hello, &challenge).ok_or_else(Error::authentication)?;
    send(&mut socket, &proof).await?;
    socket.get_mut().lift_limit();
    Ok(socket)
}

async fn accept(stream: TcpStream, identity: &Identity) -> Result<Accepted> {
    stream.set_nodelay(true)?;
    let stream = LimitedStream::new(stream, MAX_HANDSHAKE_BYTES);
    let mut socket = accept_async_with_config(stream, Some(socket_config())).await?;
    let hello: Hello = receive(&mut socket).await?;
    if hello.to != identity.name {
        return Err(Error::authentication());
    }
    let nonce = random_nonce();
    send(&mut socket, &identity.secret.challenge(&hello, nonce)).await?;
    let proof: Proof = receive(&mut socket).await?;
    if !identity.secret.verify(&hello, &nonce, &proof) {
        return Err(Error::authentication());
    }
    socket.get_mut().lift_limit();
    let meters = Meters::new(&identity.links, hello.purpose);
    let (peer, purpose) = (hello.from, hello.purpose);
    let ping_interval = identity.ping_interval(purpose);
    Ok(Accepted { peer, purpose, socket, meters, ping_interval })
}

async fn send<T: Serialize>(socket: &mut Socket, message: &T) -> Result<()> {
    socket.send(Message::Binary(encode(message)?.into())).await?;
    Ok(())
}

async fn receive<T: DeserializeOwned>(socket: &mut Socket) -> Result<T> {
    match socket.next().await {
        Some(Ok(Message::Binary(bytes))) => Ok(decode(&bytes)?),
        Some(Err(e)) => Err(e.into()),
        _ => Err(Error::closed()),
    }
}

fn spawn<M: Serialize + DeserializeOwned + ByteSize + Send + 'static>(
    peer: Name,
    socket: Socket,
    meters: &Meters,
    ping: Option<Duration>,
    ping_interval: Duration,
) -> Link<M> {
    let (near, far) = Link::pair(peer.clone(), peer);
    let (sink, stream) = socket.split();
    let Link { out, inbox, .. } = far;
    let writer = tokio::spawn(write(sink, inbox, meters.outbound.clone(), ping));
    let inbound = meters.inbound.clone();
    tokio::spawn(async move {
        read(stream, out, inbound, ping_interval).await;
        writer.abort();
    });
    near
}

async fn write<M: Serialize>(
    mut sink: SplitSink<Socket, Message>,
    mut inbox: Receiver<M>,
    meter: Meter,
    ping: Option<Duration>,
) {
    let mut ticks = tokio::time::interval(ping.unwrap_or(DEFAULT_PING_INTERVAL));
    loop {
        let sent = tokio::select! {
            message = inbox.recv() => {
                let Some(message) = message else { break };
                write_batch(&mut sink, message, &mut inbox, &meter).await
            }
            _ = ticks.tick(), if ping.is_some() => sink.send(Message::Ping(Default::default())).await.map_err(Error::from),
        };
        if sent.is_err() {
            return;
        }
    }
    let _ = sink.close().await;
}

async fn write_batch<M: Serialize>(
    sink: &mut SplitSink<Socket, Message>,
    first: M,
    inbox: &mut Receiver<M>,
    meter: &Meter,
) -> Result<()> {
    sink.feed(frame(&first, meter)?).await?;
    for _ in 0..MAX_MESSAGES_PER_FLUSH {
        let Ok(next) = inbox.try_recv() else { break };
        sink.feed(frame(&next, meter)?).await?;
    }
    sink.flush().await?;
    Ok(())
}

fn frame<M: Serialize>(message: &M, meter: &Meter) -> Result<Message> {
    let bytes = encode(message)?;
    meter.count(bytes.len());
    Ok(Message::Binary(bytes.into()))
}

async fn read<M: DeserializeOwned + ByteSize>(
    mut stream: SplitStream<Socket>,
    out: Sender<M>,
    meter: Meter,
    ping_interval: Duration,
) {
    let mut check = tokio::time::interval(ping_interval);
    // Intervals in which this task was unable to run are skipped: what arrived meanwhile has not been
    // read yet.
    check.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut silent_intervals = 0;
    loop {
        let message = tokio::select! {
            message = stream.next() => message,
            _ = out.closed() => return,
            _ = check.tick() => {
                silent_intervals += 1;
                if silent_intervals > MAX_MISSED_PINGS {
                    return;
                }
                continue;
            }
        };
        // Time spent waiting for a full channel is skipped, too.
        silent_intervals = 0;
        match message {
            Some(Ok(Message::Binary(bytes))) => {
                meter.count(bytes.len());
                let Ok(message) = decode(&bytes) else { return };
                if out.send(message).await.is_err() {
                    return;
                }
            }
            Some(Ok(Message::Ping(_) | Message::Pong(_))) => {}
            _ => return,
        }
    }
}
