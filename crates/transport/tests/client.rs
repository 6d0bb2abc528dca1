//! Sessions of a real client library against one instance.

mod common;

use std::{sync::Arc, time::Duration};

use common::{KEY, TestInstance, hash, name, wait_until};
use tokio_postgres::{SimpleQueryMessage, error::SqlState};

/// Guards against a failure on any part of the path of a simple query.
#[tokio::test]
async fn simple_query_is_answered() {
    let instance = TestInstance::start(1).await;
    let client = instance.connect().await;
    let rows = client.simple_query("select status from loans").await.unwrap();
    let found = rows
        .iter()
        .any(|row| matches!(row, SimpleQueryMessage::Row(row) if row.get(0) == Some("ok")));
    assert!(found, "{rows:?}");
    assert_eq!(instance.backends[0].ran(), ["select status from loans"]);
}

/// Guards against a wrong order of messages in the extended protocol.
#[tokio::test]
async fn extended_query_is_answered() {
    let instance = TestInstance::start(1).await;
    let client = instance.connect().await;
    let row = client.query_one("select status from loans where id = $1", &[&"7"]).await.unwrap();
    assert_eq!(row.get::<_, &str>(0), "ok");
}

/// Guards against named statements on server connections, and against answers with the
/// `ParseComplete` that the proxy adds. The server asserts that no statement has a name.
#[tokio::test]
async fn prepared_statements_stay_in_the_proxy() {
    let instance = TestInstance::start(1).await;
    let client = instance.connect().await;
    let one = client.prepare("select status from loans where id = $1").await.unwrap();
    let two = client.prepare("insert into loans values ($1)").await.unwrap();
    for _ in 0..3 {
        assert_eq!(client.query(&one, &[&"7"]).await.unwrap().len(), 1);
        assert_eq!(client.execute(&two, &[&"8"]).await.unwrap(), 1);
    }
    assert_eq!(instance.backends[0].ran().len(), 6);
}

/// Guards against transactions that use several server connections or are not ended.
#[tokio::test]
async fn transactions_commit_and_roll_back() {
    let instance = TestInstance::start(1).await;
    let mut client = instance.connect().await;
    let transaction = client.transaction().await.unwrap();
    transaction.execute("insert into loans values (1)", &[]).await.unwrap();
    transaction.commit().await.unwrap();
    let transaction = client.transaction().await.unwrap();
    let error = transaction.simple_query("select fails").await.unwrap_err();
    assert_eq!(error.code(), Some(&SqlState::DIVISION_BY_ZERO));
    transaction.rollback().await.unwrap();
    client.simple_query("select status").await.unwrap();
    let ran = instance.backends[0].ran();
    let expected = [
        "START TRANSACTION",
        "insert into loans values (1)",
        "COMMIT",
        "START TRANSACTION",
        "select fails",
        "ROLLBACK",
        "select status",
    ];
    assert_eq!(ran, expected);
}

/// Guards against a transaction that stays open after its caller has disconnected: its slot would
/// be lost, and the next caller could continue it.
#[tokio::test]
async fn transaction_of_a_disconnected_caller_is_rolled_back() {
    let instance = TestInstance::start(1).await;
    let (client, connection) =
        tokio_postgres::connect(&instance.url(), tokio_postgres::NoTls).await.unwrap();
    let task = tokio::spawn(connection);
    client.simple_query("begin").await.unwrap();
    task.abort();
    wait_until(|| instance.backends[0].ran().contains(&"ROLLBACK".to_string())).await;
}

/// Guards against cancel requests that do not reach the server.
#[tokio::test]
async fn cancel_reaches_the_server() {
    let instance = TestInstance::start(1).await;
    let client = Arc::new(instance.connect().await);
    let token = client.cancel_token();
    let running = client.clone();
    let task = tokio::spawn(async move { running.simple_query("select status hangs").await });
    wait_until(|| !instance.backends[0].ran().is_empty()).await;
    token.cancel_query(tokio_postgres::NoTls).await.unwrap();
    // The fake server ends the statement when the cancel request arrives.
    task.await.unwrap().unwrap();
    assert_eq!(instance.backends[0].shared.lock().unwrap().cancels, 1);
}

/// Guards against a request that waits for a slot without bound, and against one that is refused
/// but runs.
#[tokio::test]
async fn request_without_a_slot_is_refused() {
    let instance = TestInstance::start(1).await;
    let mut tasks = Vec::new();
    for _ in 0..3 {
        let client = instance.connect().await;
        tasks.push(tokio::spawn(async move { client.simple_query("select status hangs").await }));
    }
    wait_until(|| instance.backends[0].ran().len() == 3).await;
    let error =
        instance.connect().await.simple_query("insert into loans values (1)").await.unwrap_err();
    assert_eq!(error.code(), Some(&SqlState::CONFIGURATION_LIMIT_EXCEEDED));
    instance.backends[0].wake.notify_waiters();
    for task in tasks {
        task.await.unwrap().unwrap();
    }
    assert_eq!(instance.backends[0].ran().len(), 3);
}

/// Guards against a waiting request that cannot be cancelled, or that runs afterwards.
#[tokio::test]
async fn waiting_request_is_cancelled() {
    let instance = TestInstance::start(1).await;
    let mut tasks = Vec::new();
    for _ in 0..3 {
        let client = instance.connect().await;
        tasks.push(tokio::spawn(async move { client.simple_query("select status hangs").await }));
    }
    wait_until(|| instance.backends[0].ran().len() == 3).await;
    let client = instance.connect().await;
    let token = client.cancel_token();
    let waiting =
        tokio::spawn(async move { client.simple_query("insert into loans values (1)").await });
    // The request may not have arrived yet, and a cancel request without one has no effect.
    while !waiting.is_finished() {
        token.cancel_query(tokio_postgres::NoTls).await.unwrap();
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let error = waiting.await.unwrap().unwrap_err();
    assert_eq!(error.code(), Some(&SqlState::QUERY_CANCELED));
    instance.backends[0].wake.notify_waiters();
    for task in tasks {
        task.await.unwrap().unwrap();
    }
    assert_eq!(instance.backends[0].ran().len(), 3);
}

/// Guards against a late cancel request that cancels another caller's statement on a reused
/// connection.
#[tokio::test]
async fn cancelled_connection_is_not_reused() {
    let instance = TestInstance::start(1).await;
    let client = Arc::new(instance.connect().await);
    client.simple_query("select status").await.unwrap();
    let token = client.cancel_token();
    let running = client.clone();
    let task = tokio::spawn(async move { running.simple_query("insert into loans hangs").await });
    wait_until(|| instance.backends[0].ran().len() == 2).await;
    let used = instance.backends[0].last();
    token.cancel_query(tokio_postgres::NoTls).await.unwrap();
    task.await.unwrap().unwrap();
    for _ in 0..20 {
        client.simple_query("select status").await.unwrap();
        assert_ne!(instance.backends[0].last(), used);
    }
}

/// Guards against a caller's key that reaches a server (property P5).
#[tokio::test]
async fn servers_see_only_the_system_credentials() {
    let instance = TestInstance::start(1).await;
    instance.connect().await.simple_query("select status").await.unwrap();
    let logins = instance.backends[0].shared.lock().unwrap().logins.clone();
    assert!(!logins.is_empty());
    for login in logins {
        assert!(login.contains("user auburnlug") && login.ends_with(" secret"), "{login}");
        assert!(!login.contains(KEY) && !login.contains("sohar"), "{login}");
    }
}

/// Guards against a withdrawn key that stays usable in an open transaction (property P6).
#[tokio::test]
async fn withdrawn_key_closes_the_connection_during_a_transaction() {
    let instance = TestInstance::start(1).await;
    let (client, connection) =
        tokio_postgres::connect(&instance.url(), tokio_postgres::NoTls).await.unwrap();
    let task = tokio::spawn(connection);
    client.simple_query("begin").await.unwrap();
    instance.control.change(|machine| {
        let account = machine.config.accounts.get_mut("sohar").unwrap();
        account.keys.remove(&hash(KEY));
    });
    let error = task.await.unwrap().unwrap_err();
    assert_eq!(error.code(), Some(&SqlState::INVALID_AUTHORIZATION_SPECIFICATION));
    wait_until(|| instance.backends[0].ran().contains(&"ROLLBACK".to_string())).await;
}

/// Guards against a graceful stop that aborts a transaction or keeps idle connections
/// (property P12).
#[tokio::test]
async fn stop_waits_for_transactions() {
    let mut instance = TestInstance::start(1).await;
    let (idle, idle_connection) =
        tokio_postgres::connect(&instance.url(), tokio_postgres::NoTls).await.unwrap();
    let idle_task = tokio::spawn(idle_connection);
    let client = instance.connect().await;
    client.simple_query("begin").await.unwrap();
    let mut handle = instance.handle;
    let stop = tokio::spawn(async move {
        handle.stop().await;
        handle
    });
    let error = idle_task.await.unwrap().unwrap_err();
    assert_eq!(error.code(), Some(&SqlState::ADMIN_SHUTDOWN));
    assert!(!stop.is_finished());
    client.simple_query("insert into loans values (1)").await.unwrap();
    client.simple_query("commit").await.unwrap();
    drop(stop.await.unwrap());
    drop(idle);
    instance.backends.clear();
}

/// Guards against start-up checks that reveal whether an account exists.
#[tokio::test]
async fn wrong_key_and_unknown_account_get_the_same_answer() {
    let instance = TestInstance::start(1).await;
    let mut answers = Vec::new();
    for user in ["sohar", "nobody"] {
        let url = format!(
            "host=127.0.0.1 port={} user={user} password=wrong dbname=loans",
            instance.port
        );
        let error = tokio_postgres::connect(&url, tokio_postgres::NoTls).await.err().unwrap();
        answers.push((
            error.code().cloned(),
            error.as_db_error().map(|error| error.message().to_string()),
        ));
    }
    assert_eq!(answers[0].0, Some(SqlState::INVALID_PASSWORD));
    assert_eq!(answers[0], answers[1]);
}

/// Guards against `public` running more than open routes (property P4).
#[tokio::test]
async fn public_runs_only_open_routes() {
    let instance = TestInstance::start(1).await;
    let url = format!("host=127.0.0.1 port={} user=public dbname=loans", instance.port);
    let (client, connection) = tokio_postgres::connect(&url, tokio_postgres::NoTls).await.unwrap();
    tokio::spawn(connection);
    client.simple_query("select hours from desk").await.unwrap();
    for sql in [
        "select status",
        "begin",
        "select hours from desk; delete from loans",
        "insert into loans values (1)",
    ] {
        let error = client.simple_query(sql).await.unwrap_err();
        assert!(error.code().is_some(), "{sql}: {error}");
    }
    assert_eq!(instance.backends[0].ran(), ["select hours from desk"]);
}

/// Guards against a read that misses an earlier write of its session (property P1), and against
/// replicas that serve no reads.
#[tokio::test]
async fn reads_use_a_replica_only_when_it_has_the_write() {
    let instance = TestInstance::start(3).await;
    for replica in &instance.backends[1..] {
        replica.shared.lock().unwrap().follows = Some(instance.backends[0].shared.clone());
    }
    let client = instance.connect().await;
    wait_until(|| {
        instance.metrics.text().contains("auburnlug_failover")
            || !instance.backends[2].shared.lock().unwrap().logins.is_empty()
    })
    .await;
    client.simple_query("insert into loans values (1)").await.unwrap();
    for replica in &instance.backends[1..] {
        let mut shared = replica.shared.lock().unwrap();
        shared.follows = None;
        shared.applied = 10;
    }
    tokio::time::sleep(Duration::from_millis(120)).await;
    client.simple_query("select status after write").await.unwrap();
    assert!(instance.backends[0].ran().contains(&"select status after write".to_string()));
    for replica in &instance.backends[1..] {
        replica.shared.lock().unwrap().follows = Some(instance.backends[0].shared.clone());
    }
    let served = || instance.backends[1].ran().len() + instance.backends[2].ran().len() > 0;
    while !served() {
        client.simple_query("select status later").await.unwrap();
    }
}

/// Guards against an acknowledgement without a majority (property P2).
#[tokio::test]
async fn write_without_a_majority_is_unknown() {
    let instance = TestInstance::start(3).await;
    let client = instance.connect().await;
    let error = client.simple_query("insert into loans values (1)").await.unwrap_err();
    assert_eq!(error.code().map(SqlState::code), Some("08007"));
    assert_eq!(instance.backends[0].ran(), ["insert into loans values (1)"]);
}

/// Guards against a failover that does not complete or records no new primary.
#[tokio::test]
async fn writes_continue_after_the_primary_is_killed() {
    let instance = TestInstance::start(3).await;
    for replica in &instance.backends[1..] {
        replica.shared.lock().unwrap().follows = Some(instance.backends[0].shared.clone());
    }
    let client = instance.connect().await;
    client.simple_query("insert into loans values (1)").await.unwrap();
    for (replica, other) in [(1, 2), (2, 1)] {
        let source = instance.backends[other].shared.clone();
        let mut shared = instance.backends[replica].shared.lock().unwrap();
        (shared.upstream, shared.follows) = (1000, None);
        shared.source_after_follow = Some(source);
    }
    instance.backends[0].kill();
    // One attempt may end as unknown: it was in flight to the killed primary.
    while client.simple_query("insert into loans values (2)").await.is_err() {}
    let view = instance.control.view.subscribe().borrow().clone();
    let state = &view.machine.groups[&name("loans")];
    assert!(state.term > 1 && state.primary != Some(name("s0")), "{state:?}");
    assert!(instance.metrics.text().contains("kind=\"promotion\""), "{}", instance.metrics.text());
}

/// Guards against an acknowledgement by a primary that became unreachable and was replaced
/// (property P2).
#[tokio::test]
async fn replaced_primary_acknowledges_nothing() {
    let instance = TestInstance::start(3).await;
    for replica in &instance.backends[1..] {
        replica.shared.lock().unwrap().follows = Some(instance.backends[0].shared.clone());
    }
    let client = instance.connect().await;
    client.simple_query("insert into loans values (1)").await.unwrap();
    let request = tokio::spawn(async move { client.simple_query("insert into loans hangs").await });
    wait_until(|| instance.backends[0].ran().len() == 2).await;
    instance.backends[0].shared.lock().unwrap().unresponsive = true;
    for (replica, other) in [(1, 2), (2, 1)] {
        let source = instance.backends[other].shared.clone();
        let mut shared = instance.backends[replica].shared.lock().unwrap();
        (shared.upstream, shared.follows) = (1000, None);
        shared.source_after_follow = Some(source);
    }
    let error = request.await.unwrap().unwrap_err();
    assert_eq!(error.code().map(SqlState::code), Some("08007"));
    instance.backends[0].wake.notify_waiters();
    let client = instance.connect().await;
    client.simple_query("insert into loans values (3)").await.unwrap();
    assert_eq!(instance.backends[0].ran().len(), 2);
    let view = instance.control.view.subscribe().borrow().clone();
    assert_ne!(view.machine.groups[&name("loans")].primary, Some(name("s0")));
}

/// Guards against a non-idempotent request that runs twice under one id (property P10).
#[tokio::test]
async fn repeated_request_id_gets_the_first_answer() {
    let instance = TestInstance::start(1).await;
    let client = instance.connect().await;
    for _ in 0..3 {
        client.simple_query("/* auburnlug id=r1 */ insert into loans values (1)").await.unwrap();
    }
    client.simple_query("set auburnlug.request = 'r1'").await.unwrap();
    client.simple_query("insert into loans values (1)").await.unwrap();
    assert_eq!(instance.backends[0].ran().len(), 1);
}

/// Guards against requests above the burst that run, or that are refused with another SQLSTATE than
/// that of the limit (properties P7 and P9).
#[tokio::test]
async fn requests_above_the_burst_are_refused() {
    let instance = TestInstance::start(1).await;
    instance.control.change(|machine| {
        let account = machine.config.accounts.get_mut("sohar").unwrap();
        (account.rate, account.burst) = (0.001, 3.0);
    });
    let client = instance.connect().await;
    let mut codes = Vec::new();
    for _ in 0..5 {
        let result = client.simple_query("insert into loans values (1)").await;
        codes.push(result.err().and_then(|error| error.code().cloned()));
    }
    let limit = Some(SqlState::CONFIGURATION_LIMIT_EXCEEDED);
    assert_eq!(codes, [None, None, None, limit.clone(), limit]);
    assert_eq!(instance.backends[0].ran().len(), 3);
}

/// Guards against requests that run without a valid lease.
#[tokio::test]
async fn nothing_runs_without_a_lease() {
    let instance = TestInstance::start(1).await;
    let client = instance.connect().await;
    client.simple_query("select status").await.unwrap();
    instance.control.lease.store(0, std::sync::atomic::Ordering::SeqCst);
    let error = client.simple_query("insert into loans values (1)").await.unwrap_err();
    assert_eq!(error.code(), Some(&SqlState::CANNOT_CONNECT_NOW));
    assert_eq!(instance.backends[0].ran(), ["select status"]);
}

/// Guards against request ids that are lost when the lease expires (property P10).
#[tokio::test]
async fn request_ids_survive_an_expired_lease() {
    let instance = TestInstance::start(1).await;
    let client = instance.connect().await;
    let sql = "/* auburnlug id=r1 */ insert into loans values (1)";
    client.simple_query(sql).await.unwrap();
    instance.control.lease.store(0, std::sync::atomic::Ordering::SeqCst);
    instance.control.change(|_| {});
    client.simple_query(sql).await.unwrap_err();
    instance.control.lease.store(1 << 40, std::sync::atomic::Ordering::SeqCst);
    client.simple_query(sql).await.unwrap();
    client.simple_query("/* auburnlug id=r2 */ insert into loans values (2)").await.unwrap();
    assert_eq!(instance.backends[0].ran().len(), 2);
}

/// Guards against a new owner that runs a request which the former one may have run (property P10).
#[tokio::test]
async fn request_ids_are_unknown_after_a_takeover() {
    let instance = TestInstance::start(1).await;
    let client = instance.connect().await;
    instance
        .control
        .change(|machine| machine.shards.values_mut().for_each(|holder| holder.epoch += 1));
    let sql = "/* auburnlug id=r1 */ insert into loans values (1)";
    let error = client.simple_query(sql).await.unwrap_err();
    assert_eq!(error.code().map(SqlState::code), Some("08007"));
    assert!(instance.backends[0].ran().is_empty());
}

/// Guards against requests that are refused while a group changes its owner.
#[tokio::test]
async fn requests_wait_for_an_owner() {
    let instance = TestInstance::start(1).await;
    let client = instance.connect().await;
    let shard = auburnlug_state::Shard::Group(name("loans"));
    instance.control.change(|machine| machine.shards.get_mut(&shard).unwrap().instance = None);
    let request = client.simple_query("select status");
    let assign = async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        instance.control.change(|machine| {
            let holder = machine.shards.get_mut(&shard).unwrap();
            (holder.instance, holder.epoch) = (Some(name("a")), 2);
        });
    };
    let (answer, ()) = tokio::join!(request, assign);
    answer.unwrap();
}
