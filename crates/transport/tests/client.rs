//! Sessions of a real client library.

mod common;

use common::Rig;
use tokio_postgres::SimpleQueryMessage;

/// Guards against a break anywhere on the way of a simple query.
#[tokio::test]
async fn simple_query_answers() {
    let rig = Rig::start(1).await;
    let client = rig.connect().await;
    let rows = client.simple_query("select status from loans").await.unwrap();
    let found = rows
        .iter()
        .any(|row| matches!(row, SimpleQueryMessage::Row(row) if row.get(0) == Some("ok")));
    assert!(found, "{rows:?}");
    assert_eq!(rig.backends[0].ran(), ["select status from loans"]);
}

/// Guards against a wrong order of messages in the extended protocol.
#[tokio::test]
async fn extended_query_answers() {
    let rig = Rig::start(1).await;
    let client = rig.connect().await;
    let row = client.query_one("select status from loans where id = $1", &[&"7"]).await.unwrap();
    assert_eq!(row.get::<_, &str>(0), "ok");
}
