//! Linear regression over repeated measurements, and a closed-loop load to measure.

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

/// Connections that are opened concurrently at the start of a load.
const MAX_PENDING_CONNECTS: usize = 32;
/// Upper bound of the histogram; longer latencies count as this value.
const MAX_LATENCY_US: u64 = 60_000_000;

/// A regression line.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Line {
    /// Increase per unit of x.
    pub slope: f64,
    /// Value at 0.
    pub intercept: f64,
    /// Coefficient of determination; 1 if all points are on the line.
    pub r_squared: f64,
}

/// Fits a line by least squares; `None` with fewer than two distinct values of x.
pub fn fit_line(points: &[(f64, f64)]) -> Option<Line> {
    let count = points.len() as f64;
    let mean = |f: fn(&(f64, f64)) -> f64| points.iter().map(f).sum::<f64>() / count;
    let (x, y) = (mean(|p| p.0), mean(|p| p.1));
    let sum = |f: &dyn Fn(f64, f64) -> f64| points.iter().map(|p| f(p.0 - x, p.1 - y)).sum::<f64>();
    let (xx, xy, yy) = (sum(&|a, _| a * a), sum(&|a, b| a * b), sum(&|_, b| b * b));
    if points.is_empty() || xx == 0.0 {
        return None;
    }
    let r_squared = if yy == 0.0 { 1.0 } else { xy * xy / (xx * yy) };
    Some(Line { slope: xy / xx, intercept: y - x * xy / xx, r_squared })
}

/// Reads `SERIES X Y` lines and writes the medians, ranges and regression line of each series. The
/// line is fitted to the medians, so that outliers do not tilt it.
///
/// # Errors
/// A line is not of that form, or the streams fail.
pub fn write_fits(input: impl BufRead, mut out: impl Write) -> Result<()> {
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
            let median = (run[(run.len() - 1) / 2].1 + run[run.len() / 2].1) / 2.0;
            writeln!(out, "{name}_at_{x}={median:.3}")?;
            writeln!(out, "{name}_at_{x}_range={low:.3}..{high:.3}")?;
            medians.push((x, median));
        }
        if let Some(line) = fit_line(&medians) {
            writeln!(out, "{name}_slope={:.6}", line.slope)?;
            writeln!(out, "{name}_base={:.3}", line.intercept)?;
            writeln!(out, "{name}_fit={:.4}", line.r_squared)?;
        }
    }
    Ok(())
}

/// Options of a closed-loop load.
#[derive(Debug, Clone)]
pub struct DriveOptions {
    /// Entry or server.
    pub at: SocketAddr,
    /// Client account or database user.
    pub user: String,
    /// File with the key or password.
    pub password: PathBuf,
    /// Databases, assigned to the connections in turn.
    pub database: Vec<String>,
    /// Connections.
    pub connections: usize,
    /// Total number of statements of all connections.
    pub count: u64,
    /// Time between the statements of a connection, in milliseconds.
    pub every: u64,
    /// Time that the connections stay open after the last statement, in seconds.
    pub hold: u64,
}

/// Opens the connections, prints `open=N`, runs the statements and prints rate and latency.
///
/// # Errors
/// A connection cannot be opened.
pub async fn drive(options: DriveOptions) -> Result<()> {
    let password = std::fs::read_to_string(&options.password)?;
    let clients = open_all(&options, password.trim()).await?;
    println!("open={}", clients.len());
    let (remaining, failed) =
        (Arc::new(AtomicU64::new(options.count)), Arc::new(AtomicU64::new(0)));
    let (start, mut tasks) = (Instant::now(), tokio::task::JoinSet::new());
    for client in clients {
        let (remaining, failed, every) = (remaining.clone(), failed.clone(), options.every);
        tasks.spawn(
            async move { (run_statements(&client, &remaining, &failed, every).await, client) },
        );
    }
    let (mut clients, mut latencies) = (Vec::new(), Vec::new());
    while let Some(done) = tasks.join_next().await {
        let (own, client) = done.map_err(|e| Error::Input(e.to_string()))?;
        latencies.extend(own);
        clients.push(client);
    }
    let seconds = start.elapsed().as_secs_f64();
    let failed = failed.load(Ordering::Relaxed);
    let histogram = Histogram::<u64>::new_with_bounds(1, MAX_LATENCY_US, 3);
    let mut histogram = histogram.map_err(|e| Error::Input(e.to_string()))?;
    latencies.iter().for_each(|micros| histogram.saturating_record(*micros));
    println!("failed={failed}");
    println!("rate={:.1}", latencies.len() as f64 / seconds);
    println!("p50_us={}", histogram.value_at_quantile(0.5));
    println!("p99_us={}", histogram.value_at_quantile(0.99));
    tokio::time::sleep(Duration::from_secs(options.hold)).await;
    Ok(())
}

async fn open_all(options: &DriveOptions, password: &str) -> Result<Vec<Client>> {
    let (mut clients, mut tasks) = (Vec::new(), tokio::task::JoinSet::new());
    for number in 0..options.connections {
        let mut config = Config::new();
        config.host(options.at.ip().to_string()).port(options.at.port());
        let database = options.database.get(number % options.database.len().max(1));
        config.user(&options.user).password(password);
        config.dbname(database.map_or("", String::as_str));
        if tasks.len() >= MAX_PENDING_CONNECTS
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

/// Runs statements until none remain and returns the latencies of the successful ones, in
/// microseconds.
async fn run_statements(
    client: &Client,
    remaining: &AtomicU64,
    failed: &AtomicU64,
    every: u64,
) -> Vec<u64> {
    let mut latencies = Vec::new();
    let take = |remaining: u64| remaining.checked_sub(1);
    while remaining.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take).is_ok() {
        let start = Instant::now();
        match client.simple_query("SELECT value FROM provisioning WHERE key = 'k1'").await {
            Ok(_) => latencies.push(start.elapsed().as_micros() as u64),
            Err(_) => drop(failed.fetch_add(1, Ordering::Relaxed)),
        }
        tokio::time::sleep_until(start + Duration::from_millis(every)).await;
    }
    latencies
}
