//! Callers and back ends that read slowly, or send slowly: what this process keeps for them is
//! bounded, for a connection and for all.

use bytes::Bytes;
use http_body_util::{Either, Full};
use hyper::http::request::Parts;
use hyper::{Request, Response};
use silversail_http::{
    serve, AsyncService, BodyMemoryLimit, ConnectionPool, IncomingRequest, RejectReason, RelayBody,
    ServedResponse, ServiceFuture, ServiceLimits,
};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

const LONGEST: Duration = Duration::from_secs(60);
const LIMITS: ServiceLimits = ServiceLimits {
    head_bytes: 16 << 10,
    body_bytes: 4 << 20,
    body_timeout: LONGEST,
    idle_timeout: LONGEST,
};
/// Buffer of the sockets of the callers and back ends of these tests, in bytes.
const PEER_BUFFER: u32 = 4 << 10;
/// Streams whose callers read nothing that a node of 160 MB bears in half of its memory.
const SLOW_STREAMS: usize = 300;
const MEMORY_FOR_STREAMS: usize = 80 << 20;

/// Where a service listens; the port is free when it is asked for.
async fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    listener.local_addr().expect("bound")
}

async fn start(service: Arc<dyn AsyncService>, held: BodyMemoryLimit) -> SocketAddr {
    let address = free_address().await;
    let (stop, is_stopping) = watch::channel(false);
    // Never stopped.
    std::mem::forget(stop);
    serve(&address.to_string(), service, held, is_stopping).expect("serves");
    address
}

async fn connect(address: SocketAddr) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(PEER_BUFFER).expect("set");
    socket.connect(address).await.expect("connects")
}

/// Waits until a count stands still.
async fn settled(count: &AtomicUsize) -> usize {
    let mut seen = count.load(Ordering::Relaxed);
    let mut since = Instant::now();
    while since.elapsed() < Duration::from_millis(500) {
        sleep(Duration::from_millis(20)).await;
        let now = count.load(Ordering::Relaxed);
        if now != seen {
            seen = now;
            since = Instant::now();
        }
    }
    seen
}

/// A back end that streams without end and counts what was taken from it.
async fn start_endless_back_end() -> (String, Arc<AtomicUsize>) {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_send_buffer_size(PEER_BUFFER).expect("set");
    socket
        .bind("127.0.0.1:0".parse().expect("valid"))
        .expect("binds");
    let listener = socket.listen(1_024).expect("listens");
    let address = listener.local_addr().expect("bound").to_string();
    let taken = Arc::new(AtomicUsize::new(0));
    let counted = taken.clone();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let counted = counted.clone();
            tokio::spawn(async move {
                let mut head = [0; 1_024];
                let _ = stream.read(&mut head).await;
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n").await;
                while let Ok(written) = stream.write(&[b'x'; 4 << 10]).await {
                    counted.fetch_add(written, Ordering::Relaxed);
                }
            });
        }
    });
    (address, taken)
}

/// Relays each request to one back end.
struct Relay {
    pool: ConnectionPool,
    back_end: String,
}

impl AsyncService for Relay {
    fn call(&self, _: IncomingRequest) -> ServiceFuture {
        let (pool, back_end) = (self.pool.clone(), self.back_end.clone());
        Box::pin(async move {
            let mut connection = pool.connect(&back_end, LONGEST).await?;
            let request = Request::builder().uri("/").header("host", "a");
            let request = request.body(Full::default()).expect("valid");
            let sent = connection.send(request).await;
            let (parts, body) = sent.map_err(std::io::Error::other)?.into_parts();
            let end = Instant::now() + LONGEST;
            let body = RelayBody::new(body, connection, end, |_| {});
            Ok(Response::from_parts(parts, Either::Right(body)))
        })
    }

    fn reject(&self, _: RejectReason, _: Parts) -> ServedResponse {
        Ok(Response::new(Either::Left(Full::default())))
    }

    fn limits(&self) -> ServiceLimits {
        LIMITS
    }
}

#[tokio::test]
async fn streams_whose_callers_read_nothing_take_a_bounded_part_of_the_memory() {
    const STREAMS: usize = 40;
    let (back_end, taken) = start_endless_back_end().await;
    let pool = ConnectionPool::new();
    let relay = Arc::new(Relay { pool, back_end });
    let address = start(relay, BodyMemoryLimit::new(1 << 20)).await;
    let mut callers = Vec::new();
    for _ in 0..STREAMS {
        let mut caller = connect(address).await;
        let request = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n";
        caller.write_all(request).await.expect("sent");
        callers.push(caller);
    }
    let bytes = settled(&taken).await / STREAMS;
    println!("{bytes} bytes for a stream");
    assert!(bytes <= MEMORY_FOR_STREAMS / SLOW_STREAMS, "{bytes}");
    // Whoever reads goes on.
    let mut read = vec![0; 4 << 10];
    for _ in 0..200 {
        let count = callers[0].read(&mut read).await.expect("open");
        assert!(count > 0);
    }
}

/// Holds each request until told to answer, as while a back end reads its body slowly.
struct Holding {
    taken_in: Arc<AtomicUsize>,
    rejected: Arc<AtomicUsize>,
    answers: watch::Receiver<bool>,
}

impl AsyncService for Holding {
    fn call(&self, _: IncomingRequest) -> ServiceFuture {
        self.taken_in.fetch_add(1, Ordering::Relaxed);
        let mut answers = self.answers.clone();
        Box::pin(async move {
            let _ = answers.wait_for(|answers| *answers).await;
            Ok(Response::new(Either::Left(Full::new(Bytes::from("ok")))))
        })
    }

    fn reject(&self, reason: RejectReason, _: Parts) -> ServedResponse {
        assert_eq!(reason, RejectReason::BodyMemoryExhausted);
        self.rejected.fetch_add(1, Ordering::Relaxed);
        let mut response = Response::new(Either::Left(Full::default()));
        *response.status_mut() = hyper::StatusCode::SERVICE_UNAVAILABLE;
        Ok(response)
    }

    fn limits(&self) -> ServiceLimits {
        LIMITS
    }
}

async fn post(address: SocketAddr, announced: usize, sent: usize) -> TcpStream {
    let mut caller = connect(address).await;
    let head = format!("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: {announced}\r\n\r\n");
    caller.write_all(head.as_bytes()).await.expect("sent");
    // One that is rejected closes early.
    let _ = caller.write_all(&vec![b'x'; sent]).await;
    caller
}

#[tokio::test]
async fn bodies_that_back_ends_do_not_read_take_the_room_that_there_is() {
    const BODY: usize = 100 << 10;
    let (answer, answers) = watch::channel(false);
    let service = Holding {
        taken_in: Arc::default(),
        rejected: Arc::default(),
        answers,
    };
    let (taken_in, rejected) = (service.taken_in.clone(), service.rejected.clone());
    let held = BodyMemoryLimit::new(10 * BODY + BODY / 2);
    let address = start(Arc::new(service), held.clone()).await;
    let mut callers = Vec::new();
    for _ in 0..10 {
        callers.push(post(address, BODY, BODY).await);
    }
    assert_eq!(settled(&taken_in).await, 10);
    for _ in 0..10 {
        callers.push(post(address, BODY, BODY).await);
    }
    assert_eq!(settled(&rejected).await, 10);
    assert_eq!(taken_in.load(Ordering::Relaxed), 10);
    answer.send_replace(true);
    let mut byte = [0];
    callers[0].read_exact(&mut byte).await.expect("an answer");
    while held.available_bytes() < 10 * BODY {
        sleep(Duration::from_millis(10)).await;
    }
}

#[tokio::test]
async fn a_caller_who_announces_much_and_sends_little_keeps_nobody_out() {
    const BODY: usize = 100 << 10;
    let (_answer, answers) = watch::channel(false);
    let service = Holding {
        taken_in: Arc::default(),
        rejected: Arc::default(),
        answers,
    };
    let taken_in = service.taken_in.clone();
    let address = start(Arc::new(service), BodyMemoryLimit::new(2 * BODY)).await;
    let mut callers = Vec::new();
    for _ in 0..20 {
        callers.push(post(address, 2 * BODY, 10).await);
    }
    callers.push(post(address, BODY, BODY).await);
    assert_eq!(settled(&taken_in).await, 1);
}
