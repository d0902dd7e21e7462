//! Relayed answers whose back end sends bytes without end.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use silversail_http::{AnswerBody, ConnectionPool, RelayBody, RelayOutcome};
use silversail_model::AnswerEnd;
use std::sync::mpsc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::{sleep, timeout};

const TIMEOUT: Duration = Duration::from_secs(5);
/// Deadline of the relayed request.
const DEADLINE: Duration = Duration::from_millis(500);
/// Time after the deadline by which the answer has ended and its back end's connection is closed.
const TOLERANCE: Duration = Duration::from_millis(500);

/// Starts a back end that answers one request without end. Returns its address and the time from its
/// first byte until the connection was closed.
async fn start_endless_backend() -> (String, mpsc::Receiver<Duration>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let address = listener.local_addr().expect("bound").to_string();
    let (closed, is_closed) = mpsc::channel();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut head = [0; 1_024];
        let _ = stream.read(&mut head).await;
        let began = Instant::now();
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n").await;
        while stream.write_all(&[b'x'; 4 << 10]).await.is_ok() {}
        let _ = closed.send(began.elapsed());
    });
    (address, is_closed)
}

async fn relay(address: &str, outcome: mpsc::Sender<RelayOutcome>) -> RelayBody {
    let pool = ConnectionPool::new();
    let mut connection = pool.connect(address, TIMEOUT).await.expect("connects");
    let request = Request::builder().uri("/").header("host", "a");
    let request = request.body(Full::<Bytes>::default()).expect("valid");
    let response = connection.send(request, "r").await.expect("a head");
    let (_, body) = AnswerBody::new(response, connection).expect("framed");
    RelayBody::new(body, Instant::now() + DEADLINE, move |end| {
        let _ = outcome.send(end);
    })
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_always_has_more_bytes_ends_at_its_deadline() {
    let (address, _) = start_endless_backend().await;
    let (outcome, outcomes) = mpsc::channel();
    let mut body = relay(&address, outcome).await;
    let began = Instant::now();
    let read = async {
        while let Some(Ok(_)) = body.frame().await {
            // The caller takes its time, so that the next bytes are there before they are asked for.
            sleep(Duration::from_millis(5)).await;
        }
    };
    let ended = timeout(DEADLINE + TOLERANCE, read).await;
    assert!(ended.is_ok(), "not ended after {:?}", began.elapsed());
    let expected = RelayOutcome::Ended(AnswerEnd::Deadline);
    assert_eq!(outcomes.try_recv(), Ok(expected));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_back_end_is_closed_at_the_deadline_although_its_caller_reads_nothing() {
    let (address, is_closed) = start_endless_backend().await;
    let (outcome, outcomes) = mpsc::channel();
    let mut body = relay(&address, outcome).await;
    sleep(DEADLINE + TOLERANCE).await;
    let closed_after = is_closed.try_recv();
    assert!(closed_after.is_ok(), "the connection is still open");
    while let Some(Ok(_)) = body.frame().await {}
    let expected = RelayOutcome::Ended(AnswerEnd::Deadline);
    assert_eq!(outcomes.try_recv(), Ok(expected));
}
