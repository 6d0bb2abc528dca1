//! Tests the stand-in server with a real client library.
#![allow(clippy::unwrap_used, clippy::panic, reason = "helpers of tests fail the test")]

use std::{net::SocketAddr, sync::Arc, time::Duration};

use auburnlug_bench::{
    Result,
    cut::Direction,
    record::Event,
    server::{Options, Server, start},
};
use tokio::task::JoinSet;
use tokio_postgres::{Client, NoTls, SimpleQueryMessage};

struct RunningServer {
    server: Arc<Server>,
    tasks: JoinSet<Result<()>>,
}

impl RunningServer {
    fn address(&self) -> SocketAddr {
        self.server.options.listen
    }
}

fn options(name: &str) -> Options {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    Options {
        name: name.into(),
        group: "g".into(),
        domain: "d1".into(),
        listen: any,
        panel: any,
        announce: Vec::new(),
        secret: None,
        password: None,
        keys: None,
        record: None,
        data: None,
        primary: false,
        follow: None,
        slots: 3,
        connections: 20,
        size: 3,
        connect: 0,
        service: 0,
        lag: 0,
    }
}

async fn run(options: Options) -> RunningServer {
    let (server, tasks) = start(options).await.unwrap();
    RunningServer { server, tasks }
}

async fn connect(address: SocketAddr) -> std::result::Result<Client, tokio_postgres::Error> {
    let text = format!("host={} port={} user=proxy dbname=g", address.ip(), address.port());
    let (client, connection) = tokio_postgres::connect(&text, NoTls).await?;
    tokio::spawn(connection);
    Ok(client)
}

async fn client(running: &RunningServer) -> Client {
    connect(running.address()).await.unwrap()
}

async fn simple(client: &Client, sql: &str) -> std::result::Result<Vec<String>, String> {
    let messages = client.simple_query(sql).await.map_err(|e| code(&e))?;
    let row = messages.into_iter().find_map(|m| match m {
        SimpleQueryMessage::Row(row) => Some(row),
        _ => None,
    });
    let text = |r: tokio_postgres::SimpleQueryRow| {
        (0..r.len()).map(|i| r.get(i).unwrap_or("").to_owned()).collect()
    };
    Ok(row.map_or_else(Vec::new, text))
}

fn code(error: &tokio_postgres::Error) -> String {
    error.code().map_or_else(|| error.to_string(), |c| c.code().to_owned())
}

/// Waits for a condition, up to a bound that only stops a test that hangs.
async fn wait_until(mut condition: impl FnMut() -> bool) {
    for _ in 0..2000 {
        if condition() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    panic!("condition not reached");
}

/// Guards against a stand-in that ignores rollbacks, errors or parameters, which would hide a
/// mixed-up transaction from the checker.
#[tokio::test]
async fn statements_transactions_and_parameters() {
    let running = run(Options { primary: true, ..options("s1") }).await;
    let client = client(&running).await;
    simple(&client, "INSERT INTO t VALUES ('a:1', 'r1|x')").await.unwrap();
    simple(&client, "BEGIN; UPDATE t SET value = 'r2|y' WHERE key = 'a:1'").await.unwrap();
    let inside = simple(&client, "SELECT value FROM t WHERE key = 'a:1'").await.unwrap();
    assert_eq!(inside, ["r2|y"]);
    assert_eq!(simple(&client, "TRUNCATE t").await.unwrap_err(), "0A000");
    assert_eq!(simple(&client, "SELECT value FROM t WHERE key = 'a:1'").await, Err("25P02".into()));
    simple(&client, "ROLLBACK").await.unwrap();
    let sql = "SELECT value FROM t WHERE key = $1 AND request = $2";
    let rows = client.query(sql, &[&"a:1", &"r3"]).await.unwrap();
    assert_eq!(rows[0].get::<_, String>(0), "r1|x");
    let sql = "INSERT INTO t VALUES ($1, $2)";
    assert_eq!(client.execute(sql, &[&"a:2", &"it's"]).await.unwrap(), 1);
    let sql = "/* auburnlug id=r4 */ SELECT value FROM t WHERE key = 'a:2'";
    assert_eq!(simple(&client, sql).await.unwrap(), ["it's"]);
    assert!(client.query("SELECT 1", &[]).await.is_err());
    assert!(simple(&client, "SHOW auburnlug.status").await.is_ok());
}

/// Guards against a stand-in without limits, which would hide an overload.
#[tokio::test]
async fn connections_and_slots_are_limited() {
    let options = Options { connections: 2, slots: 1, service: 20, ..options("s1") };
    let running = run(Options { primary: true, ..options }).await;
    let (one, two) = (client(&running).await, client(&running).await);
    let refused = connect(running.address()).await.err().map(|e| code(&e));
    assert_eq!(refused.as_deref(), Some("53300"));
    let (a, b) = tokio::join!(
        simple(&one, "SELECT value FROM t WHERE key = 'a:1'"),
        simple(&two, "SELECT value FROM t WHERE key = 'a:1'")
    );
    assert!(a.is_ok() && b.is_ok());
    assert_eq!(running.server.slot_waits.load(std::sync::atomic::Ordering::Relaxed), 1);
    drop(one);
    wait_until(|| running.server.open_connections.load(std::sync::atomic::Ordering::SeqCst) == 1)
        .await;
    assert!(connect(running.address()).await.is_ok());
}

/// Guards against writes that do not report their position, and reads that report one.
#[tokio::test]
async fn position_is_reported_after_a_write() {
    let running = run(Options { primary: true, ..options("s1") }).await;
    let (host, port) = (running.address().ip(), running.address().port());
    let text = format!("host={host} port={port} user=proxy dbname=g");
    let (client, mut connection) = tokio_postgres::connect(&text, NoTls).await.unwrap();
    for (sql, position) in [
        ("SELECT value FROM t WHERE key = 'a:1'", None),
        ("INSERT INTO t VALUES ('a:1', 'r1|x')", Some("1/2")),
        ("BEGIN; INSERT INTO t VALUES ('a:1', 'r2|x'); ROLLBACK", Some("1/2")),
        ("BEGIN; INSERT INTO t VALUES ('a:1', 'r3|x'); COMMIT", Some("1/3")),
    ] {
        tokio::select! {
            done = client.batch_execute(sql) => done.unwrap(),
            _ = &mut connection => panic!("the connection ended"),
        }
        assert_eq!(connection.parameter("auburnlug.position"), position, "{sql}");
    }
}

/// Guards against a cut that closes connections or drops answers instead of delaying them.
#[tokio::test]
async fn cut_delays_answers_until_it_is_healed() {
    let running = run(Options { primary: true, ..options("s1") }).await;
    let client = client(&running).await;
    for direction in [Direction::Inbound, Direction::Outbound] {
        running.server.cuts.cut(None, direction);
        let write = client.batch_execute("INSERT INTO t VALUES ('a:1', 'r1|x')");
        tokio::pin!(write);
        // A slow machine can only make it more likely that there is no answer yet.
        let early = tokio::time::timeout(Duration::from_millis(50), &mut write).await;
        assert!(early.is_err(), "an answer passed the cut");
        running.server.cuts.heal(None);
        write.await.unwrap();
    }
    assert_eq!(running.server.node().received(), 3);
}

/// Guards against two primaries in one term, and against writes at a fenced primary.
#[tokio::test]
async fn fenced_primary_refuses_writes_and_lower_terms() {
    let running = run(Options { primary: true, ..options("s1") }).await;
    let client = client(&running).await;
    simple(&client, "INSERT INTO t VALUES ('a:1', 'r1|x')").await.unwrap();
    assert_eq!(simple(&client, "SELECT auburnlug.fence(2)").await.unwrap(), ["2"]);
    let write = simple(&client, "INSERT INTO t VALUES ('a:1', 'r2|x')").await;
    assert_eq!(write, Err("25006".into()));
    assert_eq!(simple(&client, "SELECT auburnlug.fence(1)").await, Err("55000".into()));
    assert_eq!(simple(&client, "SELECT auburnlug.promote(1)").await, Err("55000".into()));
    let status = simple(&client, "SHOW auburnlug.status").await.unwrap();
    assert_eq!(status[..5], ["2", "replica", "2", "2", "1"]);
    simple(&client, "SELECT auburnlug.promote(2)").await.unwrap();
    simple(&client, "INSERT INTO t VALUES ('a:1', 'r3|x')").await.unwrap();
    let follow = simple(&client, "SELECT auburnlug.follow(2, '127.0.0.1:1')").await;
    assert_eq!(follow, Err("55000".into()));
}

/// Guards against a promotion that loses entries which a majority holds, and against a former
/// primary that keeps entries which the new primary does not have.
#[tokio::test]
async fn promotion_keeps_entries_of_the_majority_and_truncates_the_rest() {
    let one = run(Options { primary: true, ..options("s1") }).await;
    let follow = Some(one.address().to_string());
    let two = run(Options { follow: follow.clone(), ..options("s2") }).await;
    let three = run(Options { follow, ..options("s3") }).await;
    let clients = [client(&one).await, client(&two).await, client(&three).await];
    simple(&clients[0], "INSERT INTO t VALUES ('a:1', 'r1|x')").await.unwrap();
    wait_until(|| two.server.node().received() == 2 && three.server.node().received() == 2).await;
    for other in [&clients[1], &clients[2]] {
        simple(other, "SELECT auburnlug.fence(2)").await.unwrap();
    }
    // The former primary still accepts the write, but the fenced replicas do not receive it.
    simple(&clients[0], "INSERT INTO t VALUES ('a:1', 'r2|lost')").await.unwrap();
    simple(&clients[1], "SELECT auburnlug.promote(2)").await.unwrap();
    let sql = format!("SELECT auburnlug.follow(2, '{}')", two.address());
    simple(&clients[2], &sql).await.unwrap();
    simple(&clients[0], &sql).await.unwrap();
    simple(&clients[1], "INSERT INTO t VALUES ('a:2', 'r3|x')").await.unwrap();
    for other in [&one, &three] {
        wait_until(|| other.server.node().log() == two.server.node().log()).await;
    }
    let value = simple(&clients[0], "SELECT value FROM t WHERE key = 'a:1'").await.unwrap();
    assert_eq!(value, ["r1|x"]);
}

/// Guards against a restarted replica that reports entries it does not have, or never catches up.
#[tokio::test]
async fn restarted_replica_keeps_its_data_and_catches_up() {
    let folder = std::env::temp_dir().join(format!("auburnlug-bench-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let one = run(Options { primary: true, ..options("s1") }).await;
    let second = Options {
        follow: Some(one.address().to_string()),
        data: Some(folder.join("s2.data")),
        ..options("s2")
    };
    let mut two = run(second.clone()).await;
    let writer = client(&one).await;
    simple(&writer, "INSERT INTO t VALUES ('a:1', 'r1|x')").await.unwrap();
    wait_until(|| two.server.node().received() == 2).await;
    two.tasks.shutdown().await;
    drop(two);
    simple(&writer, "INSERT INTO t VALUES ('a:2', 'r2|x')").await.unwrap();
    let two = run(second).await;
    assert_eq!(two.server.node().term_ends(), [(1, 2)]);
    let reader = client(&two).await;
    let sql = format!("SELECT auburnlug.follow(1, '{}')", one.address());
    simple(&reader, &sql).await.unwrap();
    wait_until(|| two.server.node().applied() == 3).await;
    let value = simple(&reader, "SELECT value FROM t WHERE key = 'a:2'").await.unwrap();
    assert_eq!(value, ["r2|x"]);
    std::fs::remove_dir_all(folder).unwrap();
}

/// Guards against a caller's key that reaches a database server unnoticed (P5).
#[tokio::test]
async fn callers_keys_are_recorded() {
    let folder = std::env::temp_dir().join(format!("auburnlug-bench-keys-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let (keys, record) = (folder.join("keys"), folder.join("s1.record"));
    std::fs::write(&keys, "a demo-key-a\n").unwrap();
    let (keys, sink) = (Some(keys), Some(record.clone()));
    let running = run(Options { primary: true, keys, record: sink, ..options("s1") }).await;
    let seen = || {
        let events: Vec<Event> = auburnlug_bench::record::read(&record).unwrap();
        events.iter().filter(|e| matches!(e, Event::Key { .. })).count()
    };
    drop(client(&running).await);
    assert_eq!(seen(), 0);
    let address = running.address();
    let text = format!(
        "host={} port={} user=proxy dbname=g options='-c auburnlug.session=demo-key-a'",
        address.ip(),
        address.port()
    );
    drop(tokio_postgres::connect(&text, NoTls).await.unwrap());
    assert_eq!(seen(), 1);
    std::fs::remove_dir_all(folder).unwrap();
}
