//! Serving requests with an asynchronous service, whose answers may be relayed
//! from elsewhere as they come.

use crate::body_memory::BodyMemoryLimit;
use crate::liveness;
use crate::relay::RelayBody;
use crate::server::RejectReason;
use bytes::Bytes;
use http_body_util::{Either, Full};
use hyper::body::Incoming;
use hyper::http::request::Parts;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::time::timeout;

/// Openings of connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;
/// A caller that acknowledges nothing for so long is gone: its requests' engines are freed.
/// Longer than a caller that reads slowly may pause, as bytes that it has no room for count.
const UNACKNOWLEDGED: Duration = Duration::from_secs(10);
/// Bytes of answers that the system keeps for a caller that reads slowly, beside the server
/// library's own buffer. It doubles what it is told.
const SEND_BUFFER: u32 = 32 << 10;
/// The server library's least buffer for heads, in bytes.
const LEAST_HEAD_BUFFER: usize = 8_192;

/// A request with its whole body.
#[derive(Debug)]
pub struct IncomingRequest {
    /// Method, target and headers.
    pub parts: Parts,
    /// The body.
    pub body: Bytes,
}

/// The body of an answer.
pub type OutgoingBody = Either<Full<Bytes>, RelayBody>;
/// An answer, or an error that cuts the connection.
pub type ServedResponse = io::Result<Response<OutgoingBody>>;
/// An answer to come. Dropped when the caller leaves before its head.
pub type ServiceFuture = Pin<Box<dyn Future<Output = ServedResponse> + Send>>;

/// What callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceLimits {
    /// Largest head, in bytes.
    pub head_bytes: usize,
    /// Largest body, in bytes.
    pub body_bytes: usize,
    /// Longest wait for a body.
    pub body_timeout: Duration,
    /// Longest rest of a connection between requests.
    pub idle_timeout: Duration,
}

/// Serves requests.
pub trait AsyncService: Send + Sync + 'static {
    /// Serves one request.
    fn call(&self, request: IncomingRequest) -> ServiceFuture;

    /// The answer to a request whose body was not taken.
    fn reject(&self, reason: RejectReason, head: Parts) -> ServedResponse;

    /// What callers may send now.
    fn limits(&self) -> ServiceLimits;
}

/// Binds `address` and serves it on the present runtime until `stop` is true;
/// then idle connections are closed, and answers under way go on. Bodies of requests take room
/// in `held` until their answers' heads are there.
pub fn serve(
    address: &str,
    service: Arc<dyn AsyncService>,
    held: BodyMemoryLimit,
    stop: watch::Receiver<bool>,
) -> io::Result<()> {
    let address = address.parse().map_err(io::Error::other)?;
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    // Connections have it from the listening socket.
    if let Err(error) = socket.set_send_buffer_size(SEND_BUFFER) {
        log::info!(event = "send_buffer"; "{error}");
    }
    socket.bind(address)?;
    let listener = socket.listen(BACKLOG)?;
    tokio::spawn(accept(listener, service, held, stop));
    Ok(())
}

async fn accept(
    listener: TcpListener,
    service: Arc<dyn AsyncService>,
    held: BodyMemoryLimit,
    mut stop: watch::Receiver<bool>,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.changed() => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let (service, held) = (service.clone(), held.clone());
                tokio::spawn(serve_connection(stream, service, held, stop.clone()));
            }
            Err(error) => {
                // Out of file descriptors, most likely: give others time to close.
                log::warn!(event = "accept_failed"; "{error}");
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

async fn serve_connection(
    stream: TcpStream,
    service: Arc<dyn AsyncService>,
    held: BodyMemoryLimit,
    mut stop: watch::Receiver<bool>,
) {
    let _ = stream.set_nodelay(true);
    if let Err(error) = liveness::watch(&stream, UNACKNOWLEDGED) {
        log::debug!(event = "caller_socket"; "{error}");
    }
    let limits = service.limits();
    let respond = service_fn(move |request| respond(request, service.clone(), held.clone()));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.head_bytes.max(LEAST_HEAD_BUFFER))
        .serve_connection(TokioIo::new(stream), respond);
    tokio::pin!(connection);
    let stopped = async {
        if !*stop.borrow_and_update() {
            let _ = stop.changed().await;
        }
    };
    tokio::select! {
        _ = connection.as_mut() => return,
        _ = stopped => connection.as_mut().graceful_shutdown(),
    }
    let _ = connection.await;
}

async fn respond(
    request: Request<Incoming>,
    service: Arc<dyn AsyncService>,
    held: BodyMemoryLimit,
) -> ServedResponse {
    let limits = service.limits();
    let (parts, body) = request.into_parts();
    let taken_in = timeout(limits.body_timeout, held.read_body(body, limits.body_bytes));
    let body = match taken_in.await {
        Ok(Ok(body)) => body,
        Ok(Err(reason)) => return service.reject(reason, parts),
        Err(_) => return service.reject(RejectReason::BodyTimeout, parts),
    };
    let _room = body.room;
    let body = body.bytes;
    service.call(IncomingRequest { parts, body }).await
}
