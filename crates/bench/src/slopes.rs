//! Straight lines through repeated measurements, and the loads that they need.

use std::{
    collections::BTreeMap,
    io::{BufRead, Write},
    net::SocketAddr,
    path::PathBuf,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use hdrhistogram::Histogram;
use tokio::time::Instant;
use tokio_postgres::{Client, Config, NoTls};

use crate::{Error, Result};

/// Connections opened at the same time at the start of a load.
const OPENING: usize = 32;
/// Latencies above this are counted as this, in microseconds.
const MAX_LATENCY: u64 = 60_000_000;

/// A straight line through points.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Line {
    /// Growth for each unit of x.
    pub slope: f64,
    /// Value at 0.
    pub base: f64,
    /// Coefficient of determination; 1 if all points are on the line.
    pub fit: f64,
}

/// Least-squares line; `None` with fewer than two values of x.
pub fn line(points: &[(f64, f64)]) -> Option<Line> {
    let count = points.len() as f64;
    let mean = |f: fn(&(f64, f64)) -> f64| points.iter().map(f).sum::<f64>() / count;
    let (x, y) = (mean(|p| p.0), mean(|p| p.1));
    let sum = |f: &dyn Fn(f64, f64) -> f64| points.iter().map(|p| f(p.0 - x, p.1 - y)).sum::<f64>();
    let (xx, xy, yy) = (sum(&|a, _| a * a), sum(&|a, b| a * b), sum(&|_, b| b * b));
    if points.is_empty() || xx == 0.0 {
        return None;
    }
    let fit = if yy == 0.0 { 1.0 } else { xy * xy / (xx * yy) };
    Some(Line { slope: xy / xx, base: y - x * xy / xx, fit })
}

/// Reads `SERIES X Y` lines and writes median, range and line of each series.
///
/// # Errors
/// A line is not of that form, or the streams fail.
pub fn fit(input: impl BufRead, mut out: impl Write) -> Result<()> {
    let mut series: BTreeMap<String, Vec<(f64, f64)>> = BTreeMap::new();
    for text in input.lines() {
        let text = text?;
        let words: Vec<&str> = text.split_whitespace().collect();
        let point = match words[..] {
            [name, x, y] => x.parse().ok().zip(y.parse().ok()).map(|point| (name, point)),
            _ => None,
        };
        let Some((name, point)) = point else {
            return Err(Error::Input(format!("{text:?} is not SERIES X Y")));
        };
        series.entry(name.to_owned()).or_default().push(point);
    }
    for (name, mut points) in series {
        points.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.total_cmp(&b.1)));
        let mut medians = Vec::new();
        for run in points.chunk_by(|a, b| a.0 == b.0) {
            let (x, low, high) = (run[0].0, run[0].1, run[run.len() - 1].1);
            let middle = (run[(run.len() - 1) / 2].1 + run[run.len() / 2].1) / 2.0;
            writeln!(out, "{name}_at_{x}={middle:.3}")?;
            writeln!(out, "{name}_at_{x}_range={low:.3}..{high:.3}")?;
            medians.push((x, middle));
        }
        if let Some(line) = line(&medians) {
            writeln!(out, "{name}_slope={:.6}", line.slope)?;
            writeln!(out, "{name}_base={:.3}", line.base)?;
            writeln!(out, "{name}_fit={:.4}", line.fit)?;
        }
    }
    Ok(())
}

/// Options of a closed-loop load.
#[derive(Debug, Clone)]
pub struct Drive {
    /// Entry or server.
    pub at: SocketAddr,
    /// Client account or database user.
    pub user: String,
    /// File with the key or password.
    pub password: PathBuf,
    /// Databases; connections are spread over them.
    pub database: Vec<String>,
    /// Connections.
    pub connections: usize,
    /// Statements of all connections together.
    pub count: u64,
    /// Time between the statements of a connection, in milliseconds.
    pub every: u64,
    /// Time for which the connections stay open after the last statement, in seconds.
    pub hold: u64,
}

/// Opens the connections, prints `open=N`, runs the statements and prints rate and latency.
///
/// # Errors
/// A connection cannot be opened.
pub async fn drive(options: Drive) -> Result<()> {
    let password = std::fs::read_to_string(&options.password)?;
    let clients = open_all(&options, password.trim()).await?;
    println!("open={}", clients.len());
    let (left, failed) = (Arc::new(AtomicU64::new(options.count)), Arc::new(AtomicU64::new(0)));
    let (start, mut tasks) = (Instant::now(), tokio::task::JoinSet::new());
    for client in clients {
        let (left, failed, every) = (left.clone(), failed.clone(), options.every);
        tasks.spawn(async move { (statements(&client, &left, &failed, every).await, client) });
    }
    let (mut clients, mut latencies) = (Vec::new(), Vec::new());
    while let Some(done) = tasks.join_next().await {
        let (own, client) = done.map_err(|e| Error::Input(e.to_string()))?;
        latencies.extend(own);
        clients.push(client);
    }
    let seconds = start.elapsed().as_secs_f64();
    let failed = failed.load(Ordering::Relaxed);
    let histogram = Histogram::<u64>::new_with_bounds(1, MAX_LATENCY, 3);
    let mut histogram = histogram.map_err(|e| Error::Input(e.to_string()))?;
    latencies.iter().for_each(|micros| histogram.saturating_record(*micros));
    println!("failed={failed}");
    println!("rate={:.1}", latencies.len() as f64 / seconds);
    println!("p50_us={}", histogram.value_at_quantile(0.5));
    println!("p99_us={}", histogram.value_at_quantile(0.99));
    tokio::time::sleep(Duration::from_secs(options.hold)).await;
    Ok(())
}

async fn open_all(options: &Drive, password: &str) -> Result<Vec<Client>> {
    let (mut clients, mut tasks) = (Vec::new(), tokio::task::JoinSet::new());
    for number in 0..options.connections {
        let mut config = Config::new();
        config.host(options.at.ip().to_string()).port(options.at.port());
        let database = options.database.get(number % options.database.len().max(1));
        config.user(&options.user).password(password);
        config.dbname(database.map_or("", String::as_str));
        if tasks.len() >= OPENING
            && let Some(client) = tasks.join_next().await
        {
            clients.push(client.map_err(|e| Error::Input(e.to_string()))??);
        }
        tasks.spawn(open(config));
    }
    while let Some(client) = tasks.join_next().await {
        clients.push(client.map_err(|e| Error::Input(e.to_string()))??);
    }
    Ok(clients)
}

async fn open(config: Config) -> Result<Client> {
    let connected = config.connect(NoTls).await;
    let (client, connection) = connected.map_err(|e| Error::Input(format!("connect: {e:?}")))?;
    tokio::spawn(connection);
    Ok(client)
}

/// Latencies of the statements that were served, in microseconds.
async fn statements(client: &Client, left: &AtomicU64, failed: &AtomicU64, every: u64) -> Vec<u64> {
    let mut latencies = Vec::new();
    let take = |left: u64| left.checked_sub(1);
    while left.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take).is_ok() {
        let start = Instant::now();
        match client.simple_query("SELECT value FROM provisioning WHERE key = 'k1'").await {
            Ok(_) => latencies.push(start.elapsed().as_micros() as u64),
            Err(_) => drop(failed.fetch_add(1, Ordering::Relaxed)),
        }
        tokio::time::sleep_until(start + Duration::from_millis(every)).await;
    }
    latencies
}
