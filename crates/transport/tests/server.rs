//! Connections to a database server that sends more answers than requests.

use auburnlug_transport::server::{Credentials, ServerConnector, TcpConnector, query};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::oneshot,
};

/// `AuthenticationOk` and `ReadyForQuery`.
const GREETING: &[u8] = b"R\0\0\0\x08\0\0\0\0Z\0\0\0\x05I";

/// `CommandComplete` and `ReadyForQuery`.
const ANSWER: &[u8] = b"C\0\0\0\x07OK\0Z\0\0\0\x05I";

async fn request(stream: &mut TcpStream) {
    let mut buf = [0; 256];
    assert!(stream.read(&mut buf).await.expect("open") > 0);
}

/// Guards against a duplicate or late answer that is mistaken for the answer to the next request.
#[tokio::test]
async fn duplicate_answer_closes_the_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let address = listener.local_addr().expect("bound");
    let (duplicated, sent) = oneshot::channel();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("accepts");
        request(&mut stream).await;
        stream.write_all(GREETING).await.expect("open");
        request(&mut stream).await;
        stream.write_all(ANSWER).await.expect("open");
        request(&mut stream).await;
        stream.write_all(&[ANSWER, ANSWER].concat()).await.expect("open");
        let _ = duplicated.send(());
        request(&mut stream).await;
    });
    let credentials = Credentials { user: "system".into(), password: None };
    let servers = TcpConnector::new(credentials, None);
    let mut connection = servers.connect(address, "loans").await.expect("connects");
    for _ in 0..2 {
        connection.run(query("SELECT 1")).await.expect("answered");
    }
    sent.await.expect("sent");
    assert!(
        connection.run(query("SELECT 2")).await.is_err(),
        "the duplicate answer was used for the next request"
    );
}
