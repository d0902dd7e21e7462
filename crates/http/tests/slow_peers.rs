//! Memory for callers and back ends that read or send slowly is bounded, for each connection and in
//! total.

use bytes::Bytes;
use http_body_util::{Either, Full};
use hyper::http::request::Parts;
use hyper::{Request, Response};
use silversail_http::{
    serve, AnswerBody, AsyncService, BodyMemoryLimit, ConnectionPool, IncomingRequest,
    RejectReason, RelayBody, ServedResponse, ServiceFuture, ServiceLimits,
};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

const TIMEOUT: Duration = Duration::from_secs(60);
const LIMITS: ServiceLimits = ServiceLimits {
    head_bytes: 16 << 10,
    body_bytes: 4 << 20,
    body_timeout: TIMEOUT,
    idle_timeout: TIMEOUT,
};
/// Socket buffer of the callers and back ends of these tests, in bytes.
const PEER_BUFFER: u32 = 4 << 10;
/// Number of streams to callers that read nothing that must fit into [`MEMORY_FOR_STREAMS`].
const SLOW_STREAMS: usize = 300;
/// Half of the memory of a node with 160 MB, in bytes.
const MEMORY_FOR_STREAMS: usize = 80 << 20;

/// Returns an address whose port is free at the time of the call.
async fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    listener.local_addr().expect("bound")
}

async fn start(service: Arc<dyn AsyncService>, body_memory: BodyMemoryLimit) -> SocketAddr {
    let address = free_address().await;
    let (stop, is_stopping) = watch::channel(false);
    // The service is never stopped.
    std::mem::forget(stop);
    serve(&address.to_string(), service, body_memory, is_stopping).expect("serves");
    address
}

async fn connect(address: SocketAddr) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(PEER_BUFFER).expect("set");
    socket.connect(address).await.expect("connects")
}

/// Waits until a counter has not changed for 500 ms and returns its value.
async fn stable_value(counter: &AtomicUsize) -> usize {
    let mut last = counter.load(Ordering::Relaxed);
    let mut since = Instant::now();
    while since.elapsed() < Duration::from_millis(500) {
        sleep(Duration::from_millis(20)).await;
        let current = counter.load(Ordering::Relaxed);
        if current != last {
            last = current;
            since = Instant::now();
        }
    }
    last
}

/// Starts a back end that streams without end. Returns its address and the number of bytes sent.
async fn start_endless_backend() -> (String, Arc<AtomicUsize>) {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_send_buffer_size(PEER_BUFFER).expect("set");
    socket
        .bind("127.0.0.1:0".parse().expect("valid"))
        .expect("binds");
    let listener = socket.listen(1_024).expect("listens");
    let address = listener.local_addr().expect("bound").to_string();
    let sent_bytes = Arc::new(AtomicUsize::new(0));
    let counter = sent_bytes.clone();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let counter = counter.clone();
            tokio::spawn(async move {
                let mut head = [0; 1_024];
                let _ = stream.read(&mut head).await;
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n").await;
                while let Ok(written) = stream.write(&[b'x'; 4 << 10]).await {
                    counter.fetch_add(written, Ordering::Relaxed);
                }
            });
        }
    });
    (address, sent_bytes)
}

/// Service that relays each request to one back end.
struct RelayService {
    pool: ConnectionPool,
    backend: String,
}

impl AsyncService for RelayService {
    fn call(&self, _: IncomingRequest) -> ServiceFuture {
        let (pool, backend) = (self.pool.clone(), self.backend.clone());
        Box::pin(async move {
            let mut connection = pool.connect(&backend, TIMEOUT).await?;
            let request = Request::builder().uri("/").header("host", "a");
            let request = request.body(Full::default()).expect("valid");
            let sent = connection.send(request, "r").await;
            let response = sent.map_err(std::io::Error::other)?;
            let answer = AnswerBody::new(response, connection);
            let (parts, body) = answer.map_err(std::io::Error::other)?;
            let end = Instant::now() + TIMEOUT;
            let body = RelayBody::new(body, end, |_| {});
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
async fn memory_of_streams_to_callers_that_read_nothing_is_bounded() {
    const STREAMS: usize = 40;
    let (backend, sent_bytes) = start_endless_backend().await;
    let pool = ConnectionPool::new();
    let relay = Arc::new(RelayService { pool, backend });
    let address = start(relay, BodyMemoryLimit::new(1 << 20)).await;
    let mut callers = Vec::new();
    for _ in 0..STREAMS {
        let mut caller = connect(address).await;
        let request = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n";
        caller.write_all(request).await.expect("sent");
        callers.push(caller);
    }
    let bytes = stable_value(&sent_bytes).await / STREAMS;
    println!("{bytes} bytes buffered per stream");
    assert!(bytes <= MEMORY_FOR_STREAMS / SLOW_STREAMS, "{bytes}");
    // A caller that resumes reading receives the rest of its stream.
    let mut read = vec![0; 4 << 10];
    for _ in 0..200 {
        let count = callers[0].read(&mut read).await.expect("open");
        assert!(count > 0);
    }
}

/// Service that delays all answers, like a back end that reads bodies slowly.
struct DelayingService {
    accepted: Arc<AtomicUsize>,
    rejected: Arc<AtomicUsize>,
    released: watch::Receiver<bool>,
}

impl AsyncService for DelayingService {
    fn call(&self, _: IncomingRequest) -> ServiceFuture {
        self.accepted.fetch_add(1, Ordering::Relaxed);
        let mut released = self.released.clone();
        Box::pin(async move {
            let _ = released.wait_for(|is_released| *is_released).await;
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

async fn post(address: SocketAddr, announced_bytes: usize, sent_bytes: usize) -> TcpStream {
    let mut caller = connect(address).await;
    let head = format!("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: {announced_bytes}\r\n\r\n");
    caller.write_all(head.as_bytes()).await.expect("sent");
    // The server closes the connection early if it rejects the request.
    let _ = caller.write_all(&vec![b'x'; sent_bytes]).await;
    caller
}

#[tokio::test]
async fn requests_are_rejected_while_unread_bodies_exhaust_the_memory() {
    const BODY_BYTES: usize = 100 << 10;
    let (release, released) = watch::channel(false);
    let service = DelayingService {
        accepted: Arc::default(),
        rejected: Arc::default(),
        released,
    };
    let (accepted, rejected) = (service.accepted.clone(), service.rejected.clone());
    let body_memory = BodyMemoryLimit::new(10 * BODY_BYTES + BODY_BYTES / 2);
    let address = start(Arc::new(service), body_memory.clone()).await;
    let mut callers = Vec::new();
    for _ in 0..10 {
        callers.push(post(address, BODY_BYTES, BODY_BYTES).await);
    }
    assert_eq!(stable_value(&accepted).await, 10);
    for _ in 0..10 {
        callers.push(post(address, BODY_BYTES, BODY_BYTES).await);
    }
    assert_eq!(stable_value(&rejected).await, 10);
    assert_eq!(accepted.load(Ordering::Relaxed), 10);
    release.send_replace(true);
    let mut byte = [0];
    callers[0].read_exact(&mut byte).await.expect("an answer");
    while body_memory.available_bytes() < 10 * BODY_BYTES {
        sleep(Duration::from_millis(10)).await;
    }
}

#[tokio::test]
async fn announced_but_unsent_bodies_do_not_use_the_memory() {
    const BODY_BYTES: usize = 100 << 10;
    let (_release, released) = watch::channel(false);
    let service = DelayingService {
        accepted: Arc::default(),
        rejected: Arc::default(),
        released,
    };
    let accepted = service.accepted.clone();
    let address = start(Arc::new(service), BodyMemoryLimit::new(2 * BODY_BYTES)).await;
    let mut callers = Vec::new();
    for _ in 0..20 {
        callers.push(post(address, 2 * BODY_BYTES, 10).await);
    }
    callers.push(post(address, BODY_BYTES, BODY_BYTES).await);
    assert_eq!(stable_value(&accepted).await, 1);
}
