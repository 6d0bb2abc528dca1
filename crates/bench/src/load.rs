//! Open-loop load generator: sends each request at its intended time, regardless of the progress
//! of earlier ones.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    path::PathBuf,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use hdrhistogram::Histogram;
use tokio::{sync::Semaphore, time::Instant};
use tokio_postgres::{Client, Config, NoTls, SimpleQueryMessage, types::Type};

use crate::{
    Error, Result, Sink,
    deployment::{self, Schedule, Template},
    record::{self, Kind, Outcome, Request},
};

/// Timeout of a request or a connection attempt.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
/// Delay before a non-idempotent request with an unknown outcome is retransmitted with its id.
const RETRANSMIT_DELAY: Duration = Duration::from_millis(300);
/// Bounds the connections in use, as each request in flight uses one.
const MAX_CONCURRENT_REQUESTS: usize = 2000;
/// Every n-th request runs in a transaction if it is an idempotent write.
const TRANSACTION_EVERY: usize = 10;
/// Upper bound of the histogram; longer latencies count as this value.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Options of the load generator.
#[derive(Debug, Clone)]
pub struct Options {
    /// Template with the groups and client accounts.
    pub template: PathBuf,
    /// File with one client account and its key per line.
    pub keys: PathBuf,
    /// Addresses of the entries.
    pub entries: Vec<SocketAddr>,
    /// File for the record.
    pub record: PathBuf,
    /// Arrival schedule.
    pub schedule: Schedule,
}

/// Key of a connection pool: client account, database group, session and entry index.
type PoolKey = (String, String, String, usize);

struct Load {
    options: Options,
    keys: BTreeMap<String, String>,
    idle: Mutex<BTreeMap<PoolKey, Vec<Client>>>,
    permits: Semaphore,
    sink: Sink,
}

/// Outcome, SQLSTATE and read value of one attempt.
type AttemptResult = (Outcome, String, String);

/// Sends the requests of the schedule and prints a summary.
///
/// # Errors
/// A file cannot be used.
pub async fn run(options: Options) -> Result<()> {
    let template = deployment::read_template(&options.template)?;
    check_inputs(&options, &template)?;
    let text = std::fs::read_to_string(&options.keys)?;
    let pairs = text.lines().filter_map(|l| l.split_once(' '));
    let load = Arc::new(Load {
        keys: pairs.map(|(a, k)| (a.to_owned(), k.trim().to_owned())).collect(),
        idle: Mutex::new(BTreeMap::new()),
        permits: Semaphore::new(MAX_CONCURRENT_REQUESTS),
        sink: Sink::open(&options.record)?,
        options: options.clone(),
    });
    let requests = options.schedule.requests(&template, options.entries.len());
    let (start, epoch) = (Instant::now(), record::now());
    let mut tasks = tokio::task::JoinSet::new();
    for (number, (mut request, entry)) in requests.into_iter().enumerate() {
        let intended = Duration::from_micros(request.intended);
        request.intended += epoch;
        tokio::time::sleep_until(start + intended).await;
        let load = load.clone();
        tasks.spawn(async move { load.run_request(request, entry, number).await });
    }
    let mut done = Vec::new();
    while let Some(result) = tasks.join_next().await {
        done.push(result.map_err(|e| Error::Input(e.to_string()))??);
    }
    print_summary(&done)
}

fn check_inputs(options: &Options, template: &Template) -> Result<()> {
    if options.entries.is_empty() || template.groups.is_empty() || template.accounts.is_empty() {
        return Err(Error::Input("the load needs entries, groups and client accounts".into()));
    }
    Ok(())
}

impl Load {
    async fn run_request(
        &self,
        mut request: Request,
        entry: usize,
        number: usize,
    ) -> Result<Request> {
        let Ok(_permit) = self.permits.acquire().await else {
            return Err(Error::Input("the load has ended".into()));
        };
        let mut reply = self.send(&mut request, entry, number).await;
        let unresolved = matches!(reply.0, Outcome::Unknown | Outcome::None);
        if request.kind == Kind::Once && unresolved && request.sent > 0 {
            tokio::time::sleep(RETRANSMIT_DELAY).await;
            reply = self.send(&mut request, entry + 1, number).await;
        }
        (request.outcome, request.code, request.value) = reply;
        if request.outcome != Outcome::None {
            request.answered = record::now();
        }
        self.sink.put(std::slice::from_ref(&request))?;
        Ok(request)
    }

    async fn send(&self, request: &mut Request, entry: usize, number: usize) -> AttemptResult {
        let (client, pool) = match self.connect(request, entry).await {
            Ok(found) => found,
            Err(reply) => return reply,
        };
        if request.sent == 0 {
            request.sent = record::now();
        }
        request.tries += 1;
        let run = execute(&client, request, number);
        let reply = match tokio::time::timeout(ANSWER_TIMEOUT, run).await {
            Ok(Ok(value)) => (Outcome::Done, String::new(), value),
            Ok(Err(error)) => classify(&error),
            Err(_) => (Outcome::None, "timeout".into(), String::new()),
        };
        // After any other answer the connection may still be in a transaction.
        if matches!(reply.0, Outcome::Done | Outcome::Limit) && !client.is_closed() {
            self.lock().entry(pool).or_default().push(client);
        }
        reply
    }

    /// Takes an idle connection, or opens one at the first entry that accepts it.
    async fn connect(
        &self,
        request: &mut Request,
        entry: usize,
    ) -> std::result::Result<(Client, PoolKey), AttemptResult> {
        let entries = &self.options.entries;
        let mut last = (Outcome::None, "connect".into(), String::new());
        for offset in 0..entries.len() {
            let at = (entry + offset) % entries.len();
            let key = (request.account.clone(), request.group.clone(), request.session.clone(), at);
            request.entry = entries[at].to_string();
            while let Some(client) = self.lock().get_mut(&key).and_then(Vec::pop) {
                if !client.is_closed() {
                    return Ok((client, key));
                }
            }
            let connect = self.config(request, entries[at]);
            match tokio::time::timeout(ANSWER_TIMEOUT, open(&connect)).await {
                Ok(Ok(client)) => return Ok((client, key)),
                Ok(Err(error)) => last = classify(&error),
                Err(_) => last = (Outcome::None, "connect".into(), String::new()),
            }
            // Nothing was sent yet, so an unavailable entry is safe to replace by the next one.
            if !matches!(last.0, Outcome::None | Outcome::Unavailable) {
                break;
            }
        }
        Err(last)
    }

    fn config(&self, request: &Request, address: SocketAddr) -> Config {
        let mut config = Config::new();
        config.host(address.ip().to_string()).port(address.port());
        config.user(&request.account).dbname(&request.group);
        config.password(self.keys.get(&request.account).map_or("", String::as_str));
        if !request.session.is_empty() {
            config.options(format!("-c auburnlug.session={}", request.session));
        }
        config
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<PoolKey, Vec<Client>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn open(config: &Config) -> std::result::Result<Client, tokio_postgres::Error> {
    let (client, connection) = config.connect(NoTls).await?;
    tokio::spawn(connection);
    Ok(client)
}

async fn execute(
    client: &Client,
    request: &Request,
    number: usize,
) -> std::result::Result<String, tokio_postgres::Error> {
    let (id, key, table) = (&request.id, &request.key, &request.table);
    let value = format!("{id}|{key}");
    match request.kind {
        // Half of the reads use the extended protocol.
        Kind::Read | Kind::Batch if number.is_multiple_of(2) => {
            let sql = format!("SELECT value FROM {table} WHERE key = $1 AND request = $2");
            let types = [(key as _, Type::TEXT), (id as _, Type::TEXT)];
            let rows = client.query_typed(&sql, &types).await?;
            Ok(rows.first().and_then(|r| r.try_get(0).ok()).unwrap_or_default())
        }
        Kind::Read | Kind::Batch => {
            let sql = format!("SELECT value FROM {table} WHERE key = '{key}' AND request = '{id}'");
            let messages = client.simple_query(&sql).await?;
            let row = messages.iter().find_map(|m| match m {
                SimpleQueryMessage::Row(row) => row.get(0),
                _ => None,
            });
            Ok(row.unwrap_or_default().to_owned())
        }
        Kind::Write if number.is_multiple_of(TRANSACTION_EVERY) => {
            client.batch_execute("BEGIN").await?;
            let sql = format!("UPDATE {table} SET value = '{value}' WHERE key = '{key}'");
            client.batch_execute(&sql).await?;
            client.batch_execute("COMMIT").await?;
            Ok(String::new())
        }
        Kind::Write | Kind::Once => {
            let sql =
                format!("/* auburnlug id={id} */ INSERT INTO {table} VALUES ('{key}', '{value}')");
            client.batch_execute(&sql).await?;
            Ok(String::new())
        }
    }
}

fn classify(error: &tokio_postgres::Error) -> AttemptResult {
    match error.code() {
        Some(code) => (Outcome::of(code.code()), code.code().to_owned(), String::new()),
        None => (Outcome::None, "connection".into(), String::new()),
    }
}

fn print_summary(requests: &[Request]) -> Result<()> {
    let mut counts: BTreeMap<(Kind, Outcome), u64> = BTreeMap::new();
    let histogram = Histogram::<u64>::new_with_bounds(1, MAX_LATENCY_US, 3);
    let mut histogram = histogram.map_err(|e| Error::Input(e.to_string()))?;
    for request in requests {
        *counts.entry((request.kind, request.outcome)).or_default() += 1;
        if request.outcome == Outcome::Done {
            histogram.saturating_record(request.answered.saturating_sub(request.intended));
        }
    }
    println!("requests={}", requests.len());
    for ((kind, outcome), count) in counts {
        println!("{}_{}={count}", serialized_name(&kind)?, serialized_name(&outcome)?);
    }
    println!("load_p50_ms={:.3}", histogram.value_at_quantile(0.5) as f64 / 1000.0);
    println!("load_p99_ms={:.3}", histogram.value_at_quantile(0.99) as f64 / 1000.0);
    Ok(())
}

fn serialized_name<T: serde::Serialize>(value: &T) -> Result<String> {
    Ok(serde_json::to_string(value)?.trim_matches('"').to_owned())
}
