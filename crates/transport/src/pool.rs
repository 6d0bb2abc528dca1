//! Pool of connections to one database server.

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
    forwarder::lock,
    metrics::Metrics,
    server::{Connection, ServerConnector, query},
};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// A connection whose reset takes longer is closed.
const RESET_TIMEOUT: Duration = Duration::from_secs(1);

/// Connection pool of one server.
pub(crate) struct Pool {
    servers: Arc<dyn ServerConnector>,
    pub address: SocketAddr,
    database: String,
    max_connections: u32,
    idle: Mutex<Vec<Pooled>>,
    warming: AtomicBool,
    metrics: Arc<Metrics>,
}

/// A connection of a pool; dropping it closes the connection.
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
    /// Creates the pool of a server that announced `connections` connections.
    pub(crate) fn new(
        servers: Arc<dyn ServerConnector>,
        address: SocketAddr,
        database: &str,
        connections: u32,
        metrics: Arc<Metrics>,
    ) -> Pool {
        // While a group moves, two owners may use the server, and each keeps a monitor connection.
        let max_connections = (connections / 2).saturating_sub(1).max(1);
        let (idle, warming) = (Mutex::default(), AtomicBool::new(false));
        Pool {
            servers,
            address,
            database: database.into(),
            max_connections,
            idle,
            warming,
            metrics,
        }
    }

    /// Maximum number of connections that this instance opens, without the monitor's.
    pub(crate) fn max_connections(&self) -> u32 {
        self.max_connections
    }

    /// Returns an idle or new connection, without session state of a caller.
    ///
    /// # Errors
    ///
    /// No connection could be opened; no statement was sent.
    pub(crate) async fn get(&self) -> Result<Pooled> {
        loop {
            let Some(mut pooled) = lock(&self.idle).pop() else { return self.open().await };
            if pooled.connection.is_open() {
                return Ok(pooled);
            }
        }
    }

    /// Returns a connection to the pool; its last answer was complete and had status `I`.
    pub(crate) fn put_idle(&self, pooled: Pooled) {
        let mut idle = lock(&self.idle);
        if idle.len() < self.max_connections as usize {
            idle.push(pooled);
        }
    }

    /// Rolls back the open transaction, also discards the session state if `discard` is set, and
    /// returns the connection to the pool if both succeed.
    pub(crate) async fn reset(&self, mut pooled: Pooled, discard: bool) {
        let mut statements = vec!["ROLLBACK"];
        if discard {
            statements.push("DISCARD ALL");
        }
        for sql in statements {
            match timeout(RESET_TIMEOUT, pooled.connection.run(query(sql))).await {
                Ok(Ok(reply)) if reply.status == b'I' && reply.error.is_none() => {}
                _ => return,
            }
        }
        self.put_idle(pooled);
    }

    /// Number of idle connections.
    pub(crate) fn idle(&self) -> usize {
        lock(&self.idle).len()
    }

    /// Opens connections until `count` are idle.
    pub(crate) async fn warm(&self, count: usize) {
        if self.warming.swap(true, Ordering::SeqCst) {
            return;
        }
        let count = count.min(self.max_connections as usize);
        while lock(&self.idle).len() < count {
            let Ok(pooled) = self.open().await else { break };
            self.put_idle(pooled);
        }
        self.warming.store(false, Ordering::SeqCst);
    }

    /// Closes the idle connections.
    pub(crate) fn clear(&self) {
        lock(&self.idle).clear();
    }

    async fn open(&self) -> Result<Pooled> {
        let opening = self.servers.connect(self.address, &self.database);
        let connection =
            timeout(CONNECT_TIMEOUT, opening).await.map_err(|_| ErrorKind::TimedOut)??;
        self.metrics.connections.inc();
        Ok(Pooled { connection, metrics: self.metrics.clone() })
    }
}
