//! Back ends that answer before they have read the body of a request.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use silversail_http::{Connection, ConnectionPool};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
const EARLY_ANSWER: &[u8] = b"HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n";
/// More than fits into the buffers of both sockets, in bytes.
const BODY_BYTES: usize = 16 << 20;
/// Time from an answer until the back end reads the body.
const READ_DELAY: Duration = Duration::from_millis(300);
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Sends the position of the first foreign byte in each body; the length of the body if there is
/// none.
type BodyReports = mpsc::UnboundedSender<usize>;

/// Answers each request once its head is there, and reads its body later.
async fn answer_early(listener: TcpListener, reports: BodyReports) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(serve(stream, reports.clone()));
    }
}

async fn serve(mut stream: TcpStream, reports: BodyReports) {
    loop {
        let mut head = Vec::new();
        while !head.ends_with(HEAD_END) {
            let Ok(byte) = stream.read_u8().await else {
                return;
            };
            head.push(byte);
        }
        let _ = stream.write_all(EARLY_ANSWER).await;
        tokio::time::sleep(READ_DELAY).await;
        let mut body = vec![0; BODY_BYTES];
        if stream.read_exact(&mut body).await.is_err() {
            return;
        }
        let foreign = body.iter().position(|byte| *byte != b'b');
        let _ = reports.send(foreign.unwrap_or(BODY_BYTES));
    }
}

fn request() -> Request<Full<Bytes>> {
    Request::builder()
        .method("POST")
        .uri("/x")
        .header("host", "a")
        .body(Full::new(Bytes::from(vec![b'b'; BODY_BYTES])))
        .expect("valid")
}

async fn send(connection: &mut Connection, id: &str) {
    let response = connection.send(request(), id).await.expect("an answer");
    assert_eq!(response.status(), 503);
    response.into_body().collect().await.expect("whole");
}

/// Guards against a request that is written where the rest of the body before it is due.
#[tokio::test]
async fn a_connection_is_not_reused_until_the_body_of_its_request_is_written() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let address = listener.local_addr().expect("bound").to_string();
    let (reports, mut bodies) = mpsc::unbounded_channel();
    tokio::spawn(answer_early(listener, reports));
    let pool = ConnectionPool::new();
    let connecting = pool.connect(&address, CONNECT_TIMEOUT);
    let mut first = connecting.await.expect("connects");
    send(&mut first, "r1").await;
    first.return_to_pool();
    assert!(pool.take_idle(&address, "r2").is_none());
    let connecting = pool.connect(&address, CONNECT_TIMEOUT);
    let mut second = connecting.await.expect("connects");
    send(&mut second, "r2").await;
    second.return_to_pool();
    // Whether a connection is kept for longer is not promised; what was begun on one must not mix.
    for _ in 0..2 {
        let report = tokio::time::timeout(READ_DELAY * 4, bodies.recv()).await;
        if let Ok(Some(foreign_at)) = report {
            assert_eq!(foreign_at, BODY_BYTES);
        }
    }
}
