//! Connections that fall silent are noticed, and the others to the same back end with them.

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use silversail_http::{liveness, ConnectionPool};
use socket2::SockRef;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const LONGEST: Duration = Duration::from_secs(5);
const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

#[tokio::test]
async fn a_watched_connection_is_probed_and_gives_up_unacknowledged_bytes() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let address = listener.local_addr().expect("bound");
    let stream = TcpStream::connect(address).await.expect("connects");
    liveness::watch(&stream, Duration::from_millis(1_500)).expect("set");
    let socket = SockRef::from(&stream);
    assert!(socket.keepalive().expect("read"));
    assert_eq!(
        socket.tcp_keepalive_time().ok(),
        Some(liveness::PROBED_AFTER)
    );
    assert_eq!(
        socket.tcp_keepalive_interval().ok(),
        Some(liveness::PROBE_INTERVAL)
    );
    assert_eq!(socket.tcp_keepalive_retries().ok(), Some(liveness::PROBES));
    let unacknowledged = socket.tcp_user_timeout().expect("read");
    assert_eq!(unacknowledged, Some(Duration::from_millis(1_500)));
}

fn request() -> Request<Full<Bytes>> {
    Request::builder()
        .uri("/x")
        .header("host", "a")
        .body(Full::default())
        .expect("valid")
}

/// Answers the first request of each connection, and cuts it on the second.
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

/// What made one connection silent made those beside it silent too: no request shall find
/// that out for each of them anew.
#[tokio::test]
async fn a_connection_that_breaks_takes_the_idle_ones_to_its_address_along() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let address = listener.local_addr().expect("bound").to_string();
    tokio::spawn(answer_once(listener));
    let pool = ConnectionPool::new();
    let mut used = Vec::new();
    for _ in 0..3 {
        let mut connection = pool.connect(&address, LONGEST).await.expect("connects");
        let response = connection.send(request()).await.expect("an answer");
        let body = http_body_util::BodyExt::collect(response.into_body()).await;
        assert_eq!(body.expect("whole").to_bytes(), "ok");
        used.push(connection);
    }
    used.into_iter()
        .for_each(|connection| connection.return_to_pool());
    let mut first = pool.take_idle(&address).expect("kept");
    assert!(first.send(request()).await.is_err());
    assert!(pool.take_idle(&address).is_none());
}
