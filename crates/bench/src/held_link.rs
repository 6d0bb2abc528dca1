//! A link on loopback whose bytes can be held up, as a partition does.
//!
//! Bytes that are held up arrive once the link is healed, after the end of the connection too. They
//! are lost if their sender resets the connection.

use std::{
    collections::BTreeSet,
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::BytesMut;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{ReadHalf, WriteHalf},
    },
    sync::watch,
    time::sleep,
};

/// Interval at which a connection whose sender has finished is checked for a reset.
const RESET_CHECK_INTERVAL: Duration = Duration::from_millis(5);

const CHUNK_BYTES: usize = 16 << 10;

/// Number of heals since which a connection is held up that is not.
const NEVER: u64 = u64::MAX;

/// A link from one address to another.
#[derive(Debug)]
pub struct HeldLink {
    rules: watch::Sender<Rules>,
    held: AtomicUsize,
    lost: AtomicUsize,
}

/// Direction of the bytes on a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Way {
    /// To the target.
    Forth,
    /// From the target.
    Back,
}

/// What is held up. Texts are in lower case.
#[derive(Debug, Default)]
struct Rules {
    /// Texts in the first bytes of the connections that are held up.
    labels: BTreeSet<String>,
    /// Text in the bytes of the next connection to hold up.
    next: Option<String>,
    /// Ways on which the bytes of all connections are held up.
    ways: BTreeSet<Way>,
    /// Number of times that the link was healed.
    heals: u64,
}

impl HeldLink {
    /// Forwards connections to `listen` on to `target`.
    ///
    /// # Errors
    ///
    /// The address cannot be used.
    pub async fn open(listen: SocketAddr, target: SocketAddr) -> io::Result<Arc<HeldLink>> {
        let listener = TcpListener::bind(listen).await?;
        let link = Arc::new(HeldLink {
            rules: watch::Sender::default(),
            held: AtomicUsize::new(0),
            lost: AtomicUsize::new(0),
        });
        let accepting = link.clone();
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                let link = accepting.clone();
                tokio::spawn(async move {
                    let _ = link.forward(near, target).await;
                });
            }
        });
        Ok(link)
    }

    /// Holds up connections whose first bytes contain `text`, both ways.
    pub fn hold(&self, text: &str) {
        self.rules.send_modify(|rules| {
            rules.labels.insert(text.to_lowercase());
        });
    }

    /// Holds up the bytes of all connections one way, while the others pass.
    pub fn hold_way(&self, way: Way) {
        self.rules.send_modify(|rules| {
            rules.ways.insert(way);
        });
    }

    /// Holds up no bytes one way any more, unless their connection is held up both ways.
    pub fn pass_way(&self, way: Way) {
        self.rules.send_modify(|rules| {
            rules.ways.remove(&way);
        });
    }

    /// Holds up the next connection on which bytes with `text` are sent, from these bytes on.
    pub fn hold_next(&self, text: &str) {
        self.rules.send_modify(|rules| rules.next = Some(text.to_lowercase()));
    }

    /// Holds up nothing any more.
    pub fn heal(&self) {
        self.rules.send_modify(|rules| {
            let heals = rules.heals + 1;
            *rules = Rules { heals, ..Rules::default() };
        });
    }

    /// Bytes on their way to the target that were ever held up.
    pub fn held_bytes(&self) -> usize {
        self.held.load(Ordering::Acquire)
    }

    /// Bytes that were lost, as their sender reset the connection.
    pub fn lost_bytes(&self) -> usize {
        self.lost.load(Ordering::Acquire)
    }

    async fn forward(&self, mut near: TcpStream, target: SocketAddr) -> io::Result<()> {
        let mut first = BytesMut::with_capacity(CHUNK_BYTES);
        near.read_buf(&mut first).await?;
        let connection = Held { label: lowercase(&first), since: AtomicU64::new(NEVER) };
        let mut far = TcpStream::connect(target).await?;
        near.set_nodelay(true)?;
        far.set_nodelay(true)?;
        let outcome = {
            let ((near_read, near_write), (far_read, far_write)) = (near.split(), far.split());
            let forth = Direction { link: self, connection: &connection, way: Way::Forth };
            let back = Direction { link: self, connection: &connection, way: Way::Back };
            tokio::try_join!(
                forth.copy(first, near_read, far_write),
                back.copy(BytesMut::with_capacity(CHUNK_BYTES), far_read, near_write)
            )
        };
        if outcome.is_err() {
            near.set_zero_linger()?;
            far.set_zero_linger()?;
        }
        Ok(())
    }
}

/// State of a connection that both directions share.
struct Held {
    /// First bytes of the connection.
    label: String,
    /// Number of heals since which the connection is held up, or [`NEVER`].
    since: AtomicU64,
}

impl Held {
    /// Holds up the connection if it is the next one to hold up and `bytes` have the text for it.
    fn match_next(&self, rules: &watch::Sender<Rules>, bytes: &[u8]) {
        rules.send_if_modified(|rules| {
            let matches = rules.next.as_ref().is_some_and(|text| lowercase(bytes).contains(text));
            if matches {
                rules.next = None;
                self.since.store(rules.heals, Ordering::Release);
            }
            matches
        });
    }

    fn is_held(&self, rules: &Rules, way: Way) -> bool {
        rules.ways.contains(&way)
            || self.since.load(Ordering::Acquire) == rules.heals
            || rules.labels.iter().any(|text| self.label.contains(text.as_str()))
    }
}

fn lowercase(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).to_lowercase()
}

/// One direction of a connection.
struct Direction<'a> {
    link: &'a HeldLink,
    connection: &'a Held,
    way: Way,
}

impl Direction<'_> {
    /// Copies bytes until the sender finishes; fails as soon as it resets the connection.
    async fn copy(
        &self,
        mut pending: BytesMut,
        mut from: ReadHalf<'_>,
        mut to: WriteHalf<'_>,
    ) -> io::Result<()> {
        let mut rules = self.link.rules.subscribe();
        let mut finished = false;
        let mut counted = 0;
        loop {
            if self.way == Way::Forth {
                self.connection.match_next(&self.link.rules, &pending);
            }
            let held = self.connection.is_held(&rules.borrow_and_update(), self.way);
            if !held {
                to.write_all(&pending).await?;
                pending.clear();
                counted = 0;
                if finished {
                    return to.shutdown().await;
                }
            } else if pending.len() > counted {
                self.count(&self.link.held, pending.len() - counted);
                counted = pending.len();
            }
            pending.reserve(CHUNK_BYTES);
            tokio::select! {
                changed = rules.changed() => {
                    if changed.is_err() {
                        return Ok(());
                    }
                }
                read = from.read_buf(&mut pending), if !finished => match read {
                    Ok(count) => finished = count == 0,
                    Err(e) => {
                        self.count(&self.link.lost, pending.len());
                        return Err(e);
                    }
                },
                () = sleep(RESET_CHECK_INTERVAL), if finished => {
                    if let Some(e) = from.as_ref().take_error()? {
                        self.count(&self.link.lost, pending.len());
                        return Err(e);
                    }
                }
            }
        }
    }

    fn count(&self, counter: &AtomicUsize, bytes: usize) {
        if self.way == Way::Forth {
            counter.fetch_add(bytes, Ordering::AcqRel);
        }
    }
}
