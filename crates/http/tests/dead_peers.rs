//! Dead peers are detected, and idle connections to them are discarded.

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use silversail_http::{keepalive, ConnectionPool};
use socket2::SockRef;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

#[tokio::test]
async fn keepalive_and_user_timeout_are_set_on_a_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let address = listener.local_addr().expect("bound");
    let stream = TcpStream::connect(address).await.expect("connects");
    keepalive::detect_dead_peer(&stream, Duration::from_millis(1_500)).expect("set");
    let socket = SockRef::from(&stream);
    assert!(socket.keepalive().expect("read"));
    assert_eq!(
        socket.tcp_keepalive_time().ok(),
        Some(keepalive::KEEPALIVE_IDLE)
    );
    assert_eq!(
        socket.tcp_keepalive_interval().ok(),
        Some(keepalive::KEEPALIVE_INTERVAL)
    );
    assert_eq!(
        socket.tcp_keepalive_retries().ok(),
        Some(keepalive::KEEPALIVE_RETRIES)
    );
    let user_timeout = socket.tcp_user_timeout().expect("read");
    assert_eq!(user_timeout, Some(Duration::from_millis(1_500)));
}

fn request() -> Request<Full<Bytes>> {
    Request::builder()
        .uri("/x")
        .header("host", "a")
        .body(Full::default())
        .expect("valid")
}

/// Answers the first request of each connection and closes the connection on the second.
async fn answer_once(listener: TcpListener) {
    while let Ok((mut stream, _)) = listener.accept().await {
        tokio::spawn(async move {
            let mut bytes = [0; 1_024];
            let _ = stream.read(&mut bytes).await;
            let _ = stream.write_all(ANSWER).await;
            let _ = stream.read(&mut bytes).await;
        });
    }
}

/// Guards against requests that each wait for the timeout of another dead connection.
#[tokio::test]
async fn a_failed_connection_discards_the_idle_ones_to_its_address() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let address = listener.local_addr().expect("bound").to_string();
    tokio::spawn(answer_once(listener));
    let pool = ConnectionPool::new();
    let mut connections = Vec::new();
    for _ in 0..3 {
        let mut connection = pool
            .connect(&address, CONNECT_TIMEOUT)
            .await
            .expect("connects");
        let response = connection.send(request(), "r").await.expect("an answer");
        let body = http_body_util::BodyExt::collect(response.into_body()).await;
        assert_eq!(body.expect("a complete body").to_bytes(), "ok");
        connections.push(connection);
    }
    connections
        .into_iter()
        .for_each(|connection| connection.return_to_pool());
    let mut first = pool.take_idle(&address, "r2").expect("an idle connection");
    assert!(first.send(request(), "r").await.is_err());
    assert!(pool.take_idle(&address, "r2").is_none());
}
