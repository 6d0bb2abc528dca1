//! "Not run" is said only of requests that are known not to have run (property P9).

mod common;

use std::sync::{Arc, atomic::Ordering};

use auburnlug_state::Shard;
use common::{FakeControl, KEY, TestInstance, hash, name, wait_until};
use tokio::task::JoinHandle;
use tokio_postgres::{Client, Error, NoTls, SimpleQueryMessage};

type Running<T> = JoinHandle<Result<T, Error>>;

async fn connect(instance: &TestInstance) -> (Client, Running<()>) {
    let (client, connection) =
        tokio_postgres::connect(&instance.url(), NoTls).await.expect("connects");
    (client, tokio::spawn(connection))
}

fn spawn_query(client: &Arc<Client>, sql: &'static str) -> Running<Vec<SimpleQueryMessage>> {
    let client = client.clone();
    tokio::spawn(async move { client.simple_query(sql).await })
}

fn withdraw_key(control: &FakeControl) {
    control.change(|machine| {
        machine.config.accounts.get_mut("sohar").expect("exists").keys.remove(&hash(KEY));
    });
}

fn sqlstate<T: std::fmt::Debug>(result: Result<T, Error>) -> String {
    result.expect_err("fails").code().expect("has an SQLSTATE").code().to_string()
}

/// Guards against "not run" (28000) for a write that a server is running when its key is withdrawn,
/// at an entry that owns the group and at one that forwards, and against a connection that stays
/// open.
#[tokio::test]
async fn withdrawn_key_leaves_a_running_write_unknown() {
    let (a, b, _wire) = TestInstance::owner_and_entry().await;
    for instance in [&a, &b] {
        let (client, connection) = connect(instance).await;
        let before = a.backends[0].ran().len();
        let request = spawn_query(&Arc::new(client), "insert into loans hangs");
        wait_until(|| a.backends[0].ran().len() > before).await;
        withdraw_key(&instance.control);
        assert_eq!(sqlstate(request.await.unwrap()), "08007");
        assert_eq!(sqlstate(connection.await.unwrap()), "28000");
        instance.control.change(|machine| {
            machine.config.accounts.get_mut("sohar").unwrap().keys.insert(hash(KEY));
        });
    }
}

/// Guards against an answer that is discarded because the key was withdrawn while the request ran,
/// and against a second request on that connection.
#[tokio::test]
async fn withdrawn_key_passes_on_an_answer_in_flight() {
    let (a, b, _wire) = TestInstance::owner_and_entry().await;
    let (client, connection) = connect(&b).await;
    let client = Arc::new(client);
    let request = spawn_query(&client, "insert into loans hangs");
    wait_until(|| !a.backends[0].ran().is_empty()).await;
    let next = spawn_query(&client, "insert into loans values (2)");
    withdraw_key(&b.control);
    a.backends[0].wake.notify_one();
    request.await.unwrap().unwrap();
    assert_eq!(sqlstate(next.await.unwrap()), "28000");
    // The library has reported the error to the request that waited.
    let _ = connection.await.unwrap();
    assert_eq!(a.backends[0].ran(), ["insert into loans hangs"]);
}

/// Guards against a request that is sent to an owner after its key was withdrawn, and against
/// "unknown" for one that was never sent.
#[tokio::test]
async fn withdrawn_key_refuses_a_request_that_waits_for_an_owner() {
    let instance = TestInstance::start(1).await;
    let (client, connection) = connect(&instance).await;
    let shard = Shard::Group(name("loans"));
    instance.control.change(|machine| machine.shards.get_mut(&shard).unwrap().instance = None);
    let request = spawn_query(&Arc::new(client), "insert into loans values (1)");
    let retries = || instance.metrics.text().contains("kind=\"owner_moved\"");
    wait_until(|| retries() || instance.metrics.text().contains("kind=\"no_owner\"")).await;
    withdraw_key(&instance.control);
    instance.control.change(|machine| {
        let holder = machine.shards.get_mut(&shard).unwrap();
        (holder.instance, holder.epoch) = (Some(name("a")), 2);
    });
    assert_eq!(sqlstate(request.await.unwrap()), "28000");
    // The library may report the end of the connection to the request only.
    let _ = connection.await.unwrap();
    assert!(instance.backends[0].ran().is_empty());
}

/// Guards against "not run" for a write that a server is running when the lease of the owner, of
/// the entry or of both expires.
#[tokio::test]
async fn end_of_the_lease_leaves_a_running_write_unknown() {
    for (owner, entry) in [(true, false), (false, true), (true, true)] {
        let (a, b, _wire) = TestInstance::owner_and_entry().await;
        // The fake control state does not notify tasks of a changed lease: set its end in advance.
        for (instance, expires) in [(&a, owner), (&b, entry)] {
            let end = u64::from(expires) * 700 + u64::from(!expires) * (1 << 40);
            instance.control.lease.store(end, Ordering::SeqCst);
        }
        let (client, _connection) = connect(&b).await;
        let request = spawn_query(&Arc::new(client), "insert into loans hangs");
        wait_until(|| !a.backends[0].ran().is_empty()).await;
        assert_eq!(sqlstate(request.await.unwrap()), "08007", "{owner} {entry}");
    }
}

/// Guards against "not run" for a write that a server is running when its group changes its owner.
#[tokio::test]
async fn change_of_the_owner_leaves_a_running_write_unknown() {
    let (a, b, _wire) = TestInstance::owner_and_entry().await;
    let (client, _connection) = connect(&b).await;
    let request = spawn_query(&Arc::new(client), "insert into loans hangs");
    wait_until(|| !a.backends[0].ran().is_empty()).await;
    for instance in [&a, &b] {
        instance.control.change(|machine| {
            machine.shards.values_mut().for_each(|holder| holder.epoch += 1);
        });
    }
    assert_eq!(sqlstate(request.await.unwrap()), "08007");
}

/// Guards against "not run" for a write that a server ran, when the server does not answer before
/// the connection to it breaks.
#[tokio::test]
async fn broken_server_connection_leaves_a_write_unknown() {
    let instance = TestInstance::start(1).await;
    let (client, _connection) = connect(&instance).await;
    assert_eq!(sqlstate(client.simple_query("insert into loans breaks").await), "08007");
    assert_eq!(instance.backends[0].ran(), ["insert into loans breaks"]);
}

/// Guards against "not run" or a confirmed rollback for a transaction whose commit was sent and
/// lost, when the caller ends the transaction again.
#[tokio::test]
async fn lost_commit_stays_unknown() {
    for end in ["commit", "rollback"] {
        let (a, b, wire) = TestInstance::owner_and_entry().await;
        let (client, _connection) = connect(&b).await;
        let client = Arc::new(client);
        client.simple_query("begin").await.unwrap();
        let request = spawn_query(&client, "commit /* hangs */");
        wait_until(|| a.backends[0].ran().len() == 2).await;
        wire.cut();
        assert_eq!(sqlstate(request.await.unwrap()), "08007");
        assert_eq!(sqlstate(client.simple_query("select status").await), "25P02");
        assert_eq!(sqlstate(client.simple_query(end).await), "08007", "{end}");
        client.simple_query("select status").await.unwrap();
    }
}
