//! Connections to one database server that are ready for use.

use std::{
    io::{ErrorKind, Result},
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use tokio::time::timeout;

use crate::{
    forward::lock,
    metrics::Metrics,
    server::{Connection, Servers, query},
};

/// Longest time that opening a connection may take.
const CONNECT: Duration = Duration::from_secs(2);

/// Longest time of a reset; a slower connection is closed instead.
const RESET: Duration = Duration::from_secs(1);

/// Pool of one server.
pub(crate) struct Pool {
    servers: Arc<dyn Servers>,
    pub address: SocketAddr,
    database: String,
    cap: u32,
    idle: Mutex<Vec<Pooled>>,
    warming: AtomicBool,
    metrics: Arc<Metrics>,
}

/// A connection of a pool; dropping it closes it.
pub(crate) struct Pooled {
    pub connection: Box<dyn Connection>,
    metrics: Arc<Metrics>,
}

impl Drop for Pooled {
    fn drop(&mut self) {
        self.metrics.connections.dec();
    }
}

impl Pool {
    /// Pool for a server that announced `connections`.
    pub(crate) fn new(
        servers: Arc<dyn Servers>,
        address: SocketAddr,
        database: &str,
        connections: u32,
        metrics: Arc<Metrics>,
    ) -> Pool {
        // Two owners may overlap during a move, and each keeps a monitor connection.
        let cap = (connections / 2).saturating_sub(1).max(1);
        let (idle, warming) = (Mutex::default(), AtomicBool::new(false));
        Pool { servers, address, database: database.into(), cap, idle, warming, metrics }
    }

    /// Most connections that this instance opens, the monitor left out.
    pub(crate) fn cap(&self) -> u32 {
        self.cap
    }

    /// A connection without state of a caller.
    ///
    /// # Errors
    ///
    /// No connection could be opened; nothing was sent.
    pub(crate) async fn get(&self) -> Result<Pooled> {
        loop {
            let Some(mut pooled) = lock(&self.idle).pop() else { return self.open().await };
            if pooled.connection.is_open() {
                return Ok(pooled);
            }
        }
    }

    /// Takes back a connection whose last answer was complete with status `I`.
    pub(crate) fn put(&self, pooled: Pooled) {
        let mut idle = lock(&self.idle);
        if idle.len() < self.cap as usize {
            idle.push(pooled);
        }
    }

    /// Rolls back what is open and takes the connection back once that is confirmed.
    pub(crate) async fn reset(&self, mut pooled: Pooled, settings: bool) {
        let mut sql = vec!["ROLLBACK"];
        if settings {
            sql.push("DISCARD ALL");
        }
        for text in sql {
            match timeout(RESET, pooled.connection.run(query(text))).await {
                Ok(Ok(reply)) if reply.status == b'I' && reply.error.is_none() => {}
                _ => return,
            }
        }
        self.put(pooled);
    }

    /// Number of connections that are ready.
    pub(crate) fn idle(&self) -> usize {
        lock(&self.idle).len()
    }

    /// Opens connections until `count` are idle.
    pub(crate) async fn warm(&self, count: usize) {
        if self.warming.swap(true, Ordering::SeqCst) {
            return;
        }
        let count = count.min(self.cap as usize);
        while lock(&self.idle).len() < count {
            let Ok(pooled) = self.open().await else { break };
            self.put(pooled);
        }
        self.warming.store(false, Ordering::SeqCst);
    }

    /// Closes the idle connections.
    pub(crate) fn clear(&self) {
        lock(&self.idle).clear();
    }

    async fn open(&self) -> Result<Pooled> {
        let opening = self.servers.connect(self.address, &self.database);
        let connection = timeout(CONNECT, opening).await.map_err(|_| ErrorKind::TimedOut)??;
        self.metrics.connections.inc();
        Ok(Pooled { connection, metrics: self.metrics.clone() })
    }
}
