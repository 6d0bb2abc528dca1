//! "Not run" is said only of requests that are known not to have run (property P9).

mod common;

use std::sync::{Arc, atomic::Ordering};

use auburnlug_state::Shard;
use common::{FakeControl, KEY, Rig, hash, name, until};
use tokio::task::JoinHandle;
use tokio_postgres::{Client, Error, NoTls, SimpleQueryMessage};

type Running<T> = JoinHandle<Result<T, Error>>;

async fn connect(rig: &Rig) -> (Client, Running<()>) {
    let (client, connection) = tokio_postgres::connect(&rig.url(), NoTls).await.expect("connects");
    (client, tokio::spawn(connection))
}

fn query(client: &Arc<Client>, sql: &'static str) -> Running<Vec<SimpleQueryMessage>> {
    let client = client.clone();
    tokio::spawn(async move { client.simple_query(sql).await })
}

fn withdraw(control: &FakeControl) {
    control.change(|machine| {
        machine.config.accounts.get_mut("sohar").expect("exists").keys.remove(&hash(KEY));
    });
}

fn code<T: std::fmt::Debug>(result: Result<T, Error>) -> String {
    result.expect_err("fails").code().expect("has an SQLSTATE").code().to_string()
}

/// Guards against "not run" (28000) for a write that a server has when its key is withdrawn, at an
/// entry that owns the group and at one that forwards, and against a connection that stays open.
#[tokio::test]
async fn withdrawn_key_leaves_a_running_write_unknown() {
    let (a, b, _wire) = Rig::pair().await;
    for rig in [&a, &b] {
        let (client, connection) = connect(rig).await;
        let before = a.backends[0].ran().len();
        let request = query(&Arc::new(client), "insert into loans hangs");
        until(|| a.backends[0].ran().len() > before).await;
        withdraw(&rig.control);
        assert_eq!(code(request.await.unwrap()), "08007");
        assert_eq!(code(connection.await.unwrap()), "28000");
        rig.control.change(|machine| {
            machine.config.accounts.get_mut("sohar").unwrap().keys.insert(hash(KEY));
        });
    }
}

/// Guards against an answer that is thrown away because the key was withdrawn while the request
/// ran, and against a second request on that connection.
#[tokio::test]
async fn withdrawn_key_lets_an_answer_on_its_way_arrive() {
    let (a, b, _wire) = Rig::pair().await;
    let (client, connection) = connect(&b).await;
    let client = Arc::new(client);
    let request = query(&client, "insert into loans hangs");
    until(|| !a.backends[0].ran().is_empty()).await;
    let next = query(&client, "insert into loans values (2)");
    withdraw(&b.control);
    a.backends[0].wake.notify_one();
    request.await.unwrap().unwrap();
    assert_eq!(code(next.await.unwrap()), "28000");
    // The library has reported the error to the request that waited.
    let _ = connection.await.unwrap();
    assert_eq!(a.backends[0].ran(), ["insert into loans hangs"]);
}

/// Guards against a request that is sent to an owner after its key was withdrawn, and against
/// "unknown" for one that was never sent.
#[tokio::test]
async fn withdrawn_key_refuses_a_request_that_waits_for_an_owner() {
    let rig = Rig::start(1).await;
    let (client, connection) = connect(&rig).await;
    let shard = Shard::Group(name("loans"));
    rig.control.change(|machine| machine.shards.get_mut(&shard).unwrap().instance = None);
    let request = query(&Arc::new(client), "insert into loans values (1)");
    let retries = || rig.metrics.text().contains("kind=\"owner_moved\"");
    until(|| retries() || rig.metrics.text().contains("kind=\"no_owner\"")).await;
    withdraw(&rig.control);
    rig.control.change(|machine| {
        let holder = machine.shards.get_mut(&shard).unwrap();
        (holder.instance, holder.epoch) = (Some(name("a")), 2);
    });
    assert_eq!(code(request.await.unwrap()), "28000");
    // The library may report the end of the connection to the request only.
    let _ = connection.await.unwrap();
    assert!(rig.backends[0].ran().is_empty());
}

/// Guards against "not run" for a write that a server has when the lease of the owner, of the
/// entry or of both ends.
#[tokio::test]
async fn end_of_the_lease_leaves_a_running_write_unknown() {
    for (owner, entry) in [(true, false), (false, true), (true, true)] {
        let (a, b, _wire) = Rig::pair().await;
        // The fake tells of the end of a lease only to those that wait for it.
        for (rig, ends) in [(&a, owner), (&b, entry)] {
            let end = u64::from(ends) * 700 + u64::from(!ends) * (1 << 40);
            rig.control.lease.store(end, Ordering::SeqCst);
        }
        let (client, _connection) = connect(&b).await;
        let request = query(&Arc::new(client), "insert into loans hangs");
        until(|| !a.backends[0].ran().is_empty()).await;
        assert_eq!(code(request.await.unwrap()), "08007", "{owner} {entry}");
    }
}

/// Guards against "not run" for a write that a server has when its group moves.
#[tokio::test]
async fn move_of_the_group_leaves_a_running_write_unknown() {
    let (a, b, _wire) = Rig::pair().await;
    let (client, _connection) = connect(&b).await;
    let request = query(&Arc::new(client), "insert into loans hangs");
    until(|| !a.backends[0].ran().is_empty()).await;
    for rig in [&a, &b] {
        rig.control.change(|machine| {
            machine.shards.values_mut().for_each(|holder| holder.epoch += 1);
        });
    }
    assert_eq!(code(request.await.unwrap()), "08007");
}

/// Guards against "not run" for a write that a server ran, when the server does not answer before
/// the connection to it breaks.
#[tokio::test]
async fn broken_server_connection_leaves_a_write_unknown() {
    let rig = Rig::start(1).await;
    let (client, _connection) = connect(&rig).await;
    assert_eq!(code(client.simple_query("insert into loans breaks").await), "08007");
    assert_eq!(rig.backends[0].ran(), ["insert into loans breaks"]);
}

/// Guards against "not run" or a confirmed rollback for a transaction whose commit was sent and
/// lost, when the caller ends the transaction again.
#[tokio::test]
async fn lost_commit_stays_unknown() {
    for end in ["commit", "rollback"] {
        let (a, b, wire) = Rig::pair().await;
        let (client, _connection) = connect(&b).await;
        let client = Arc::new(client);
        client.simple_query("begin").await.unwrap();
        let request = query(&client, "commit /* hangs */");
        until(|| a.backends[0].ran().len() == 2).await;
        wire.cut();
        assert_eq!(code(request.await.unwrap()), "08007");
        assert_eq!(code(client.simple_query("select status").await), "25P02");
        assert_eq!(code(client.simple_query(end).await), "08007", "{end}");
        client.simple_query("select status").await.unwrap();
    }
}
