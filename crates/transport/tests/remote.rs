//! Requests that an entry forwards to a group owner on another instance.

mod common;

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use auburnlug_state::{Command, Shard, ShardOwner};
use auburnlug_transport::view::View;
use common::{KEY, TestInstance, hash, name, wait_until};
use tokio_postgres::error::SqlState;

/// Guards against failures on the path over a link.
#[tokio::test]
async fn requests_run_at_the_owner() {
    let (a, b, _wire) = TestInstance::owner_and_entry().await;
    let mut client = b.connect().await;
    assert_eq!(
        client.query("select status from loans where id = $1", &[&"7"]).await.unwrap().len(),
        1
    );
    let transaction = client.transaction().await.unwrap();
    transaction.execute("insert into loans values (1)", &[]).await.unwrap();
    transaction.commit().await.unwrap();
    assert_eq!(a.backends[0].ran().last().map(String::as_str), Some("COMMIT"));
}

/// Guards against a second run of a write whose answer was lost with the link (property P10), and
/// against a "not run" for it (property P9).
#[tokio::test]
async fn write_on_a_closed_link_is_unknown() {
    let (a, b, wire) = TestInstance::owner_and_entry().await;
    let client = b.connect().await;
    let request = tokio::spawn(async move { client.simple_query("insert into loans hangs").await });
    wait_until(|| !a.backends[0].ran().is_empty()).await;
    wire.cut();
    let error = request.await.unwrap().unwrap_err();
    assert_eq!(error.code().map(SqlState::code), Some("08007"));
    a.backends[0].wake.notify_waiters();
    assert_eq!(a.backends[0].ran(), ["insert into loans hangs"]);
}

/// Guards against reads that are not retried although they are idempotent.
#[tokio::test]
async fn read_on_a_closed_link_is_retried() {
    let (a, b, wire) = TestInstance::owner_and_entry().await;
    let client = b.connect().await;
    let request = tokio::spawn(async move { client.simple_query("select status hangs").await });
    wait_until(|| a.backends[0].ran().len() == 1).await;
    wire.cut();
    wait_until(|| a.backends[0].ran().len() == 2).await;
    a.backends[0].wake.notify_waiters();
    request.await.unwrap().unwrap();
    assert!(b.metrics.text().contains("unknown_read"), "{}", b.metrics.text());
}

/// Guards against transactions that stay open when their link closes, and against statements of a
/// lost transaction that run outside of it.
#[tokio::test]
async fn transaction_on_a_closed_link_is_rolled_back() {
    let (a, b, wire) = TestInstance::owner_and_entry().await;
    let client = b.connect().await;
    client.simple_query("begin").await.unwrap();
    wire.cut();
    wait_until(|| a.backends[0].ran().contains(&"ROLLBACK".to_string())).await;
    client.simple_query("insert into loans values (1)").await.unwrap_err();
    let error = client.simple_query("insert into loans values (2)").await.unwrap_err();
    assert_eq!(error.code(), Some(&SqlState::IN_FAILED_SQL_TRANSACTION));
    client.simple_query("rollback").await.unwrap();
    client.simple_query("insert into loans values (3)").await.unwrap();
    assert_eq!(a.backends[0].ran(), ["begin", "ROLLBACK", "insert into loans values (3)"]);
}

/// Guards against a withdrawn key that an entry with an outdated configuration accepts
/// (property P6).
#[tokio::test]
async fn owner_checks_the_key_again() {
    let (a, b, _wire) = TestInstance::owner_and_entry().await;
    let client = b.connect().await;
    client.simple_query("select status").await.unwrap();
    a.control.change(|machine| {
        machine.config.accounts.get_mut("sohar").unwrap().keys.remove(&hash(KEY));
    });
    let error = client.simple_query("insert into loans values (1)").await.unwrap_err();
    assert_eq!(error.code(), Some(&SqlState::INVALID_AUTHORIZATION_SPECIFICATION));
    assert_eq!(a.backends[0].ran(), ["select status"]);
}

/// Guards against an owner that checks a request against an older configuration than the entry's.
#[tokio::test]
async fn owner_waits_for_the_configuration_of_the_entry() {
    let (a, b, _wire) = TestInstance::owner_and_entry().await;
    let grant = |machine: &mut auburnlug_state::Machine| {
        machine.config.accounts.get_mut("sohar").unwrap().keys.insert(hash("second"));
        (machine.index, machine.version) = (100, 100);
    };
    b.control.change(grant);
    let url = b.url().replace(KEY, "second");
    let (client, connection) = tokio_postgres::connect(&url, tokio_postgres::NoTls).await.unwrap();
    tokio::spawn(connection);
    let request = tokio::spawn(async move { client.simple_query("select status").await });
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert!(a.backends[0].ran().is_empty());
    a.control.change(grant);
    request.await.unwrap().unwrap();
}

/// Guards against entries that together admit more than the burst (property P7).
#[tokio::test]
async fn entries_share_the_burst() {
    let (a, b, _wire) = TestInstance::owner_and_entry().await;
    for rig in [&a, &b] {
        rig.control.change(|machine| {
            let account = machine.config.accounts.get_mut("sohar").unwrap();
            (account.rate, account.burst) = (0.001, 4.0);
            (machine.index, machine.version) = (50, 50);
        });
    }
    let mut served = 0;
    for client in [a.connect().await, b.connect().await] {
        for _ in 0..4 {
            served +=
                usize::from(client.simple_query("insert into loans values (1)").await.is_ok());
        }
    }
    assert_eq!(served, 4);
    assert_eq!(a.backends[0].ran().len(), 4);
}

/// Guards against a graceful stop of an owner that aborts statements, or that lets requests for the
/// next owner be refused (property P12).
#[tokio::test]
async fn entry_holds_requests_while_the_owner_stops() {
    let (a, b, _wire) = TestInstance::owner_and_entry().await;
    let client = Arc::new(b.connect().await);
    let running = client.clone();
    let first = tokio::spawn(async move { running.simple_query("insert into loans hangs").await });
    wait_until(|| !a.backends[0].ran().is_empty()).await;
    let (mut handle, backends) = (a.handle, a.backends);
    let stop = tokio::spawn(async move {
        handle.stop().await;
        handle
    });
    tokio::time::sleep(Duration::from_millis(30)).await;
    assert!(!stop.is_finished());
    backends[0].wake.notify_waiters();
    first.await.unwrap().unwrap();
    let held = b.connect().await;
    let second =
        tokio::spawn(async move { held.simple_query("insert into loans values (2)").await });
    let handle = stop.await.unwrap();
    // The next owner is `b` itself.
    b.control.change(|machine| {
        for holder in machine.shards.values_mut() {
            (holder.instance, holder.epoch) = (Some(name("b")), 2);
        }
    });
    drop(handle);
    second.await.unwrap().unwrap();
    assert_eq!(backends[0].ran(), ["insert into loans hangs", "insert into loans values (2)"]);
}

/// Guards against a release, on order of the control leader, that aborts an open transaction, runs
/// new requests beside it, or starts the group again under the released epoch.
#[tokio::test]
async fn released_group_waits_for_its_transaction() {
    let (a, b, _wire) = TestInstance::owner_and_entry().await;
    let open = b.connect().await;
    open.simple_query("begin").await.unwrap();
    let shard = Shard::Group(name("loans"));
    let releasing = BTreeMap::from([(shard.clone(), 1)]);
    a.control.view.send_modify(|view| {
        *view = Arc::new(View { releasing, ..View::clone(view) });
    });
    tokio::time::sleep(Duration::from_millis(20)).await;
    let held = b.connect().await;
    let second =
        tokio::spawn(async move { held.simple_query("insert into loans values (2)").await });
    open.simple_query("insert into loans values (1)").await.unwrap();
    assert!(!second.is_finished());
    assert!(a.control.commands.lock().unwrap().is_empty());
    open.simple_query("commit").await.unwrap();
    wait_until(|| !a.control.commands.lock().unwrap().is_empty()).await;
    let expected = Command::Assign { shard: shard.clone(), instance: None, epoch: 1 };
    assert_eq!(*a.control.commands.lock().unwrap(), [expected]);
    b.control.change(|machine| {
        let next = ShardOwner { instance: Some(name("b")), epoch: 3 };
        machine.shards.insert(shard, next);
    });
    // The token of the second request comes from `a`, which still owns the client account.
    second.await.unwrap().unwrap();
    let ran = a.backends[0].ran();
    let writes: Vec<_> = ran.iter().filter(|sql| sql.starts_with("insert")).collect();
    assert_eq!(writes, ["insert into loans values (1)", "insert into loans values (2)"]);
}
