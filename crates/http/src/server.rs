//! Accepting connections and serving requests.

use crate::body::{GoneGuard, PartsBody};
use crate::config::HttpServerConfig;
use crate::request::Request;
use crate::responder::{Responder, ResponseHead, ResponsePart};
use http_body_util::{BodyExt, Either, Full, LengthLimitError, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::Response;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch, Semaphore};
use tokio::time::timeout;

/// Why the server answers a request itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// The body is larger than allowed.
    BodyTooLarge,
    /// The body did not come in time.
    BodyTimeout,
    /// The body broke off.
    BodyInterrupted,
    /// Too many connections are open.
    TooManyConnections,
    /// The process holds as many bytes of bodies as it may.
    BodyMemoryExhausted,
}

/// Serves requests. Called on the server's threads; must not block.
pub trait Handler: Send + Sync + 'static {
    /// Takes a request and returns what to call when the caller goes away
    /// before the response has ended.
    fn handle(&self, request: Request, responder: Responder) -> Box<dyn FnOnce() + Send>;

    /// The answer to a request that the server rejects; `head` has its headers
    /// and no body.
    fn reject(&self, reason: RejectReason, head: &Request) -> (ResponseHead, Vec<u8>);
}

type ServerBody = Either<Full<Bytes>, PartsBody>;

/// A running server; dropped, it stops.
pub struct HttpServer {
    address: SocketAddr,
    stopping: watch::Sender<bool>,
    runtime: Option<tokio::runtime::Runtime>,
}

impl HttpServer {
    /// Binds and starts serving.
    pub fn start(config: HttpServerConfig, handler: Arc<dyn Handler>) -> io::Result<Self> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(config.threads)
            .thread_name("http")
            .enable_all()
            .build()?;
        let listener = runtime.block_on(TcpListener::bind(&config.address))?;
        let address = listener.local_addr()?;
        let (stopping, stop) = watch::channel(false);
        runtime.spawn(accept(listener, config, handler, stop));
        Ok(Self {
            address,
            stopping,
            runtime: Some(runtime),
        })
    }

    /// The bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Accepts no more connections and closes idle ones; responses under way
    /// go on.
    pub fn stop_accepting(&self) {
        let _ = self.stopping.send(true);
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

async fn accept(
    listener: TcpListener,
    config: HttpServerConfig,
    handler: Arc<dyn Handler>,
    mut stop: watch::Receiver<bool>,
) {
    let slots = Arc::new(Semaphore::new(config.max_connections));
    let config = Arc::new(config);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.changed() => return,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) => {
                // Out of file descriptors, most likely: give others time to close.
                log::warn!(event = "accept_failed"; "{error}");
                tokio::time::sleep(std::time::Duration::from_millis(20)).await;
                continue;
            }
        };
        let Ok(slot) = slots.clone().try_acquire_owned() else {
            tokio::spawn(refuse(stream, handler.clone(), config.clone()));
            continue;
        };
        let connection = serve(stream, handler.clone(), config.clone(), stop.clone());
        tokio::spawn(async move {
            connection.await;
            drop(slot);
        });
    }
}

async fn refuse(stream: TcpStream, handler: Arc<dyn Handler>, config: Arc<HttpServerConfig>) {
    let service = service_fn(move |request: hyper::Request<Incoming>| {
        let (parts, _) = request.into_parts();
        let refused = request_of(parts, Vec::new());
        let (head, body) = handler.reject(RejectReason::TooManyConnections, &refused);
        async move { Ok::<_, Infallible>(whole(head, body)) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(config.header_timeout)
        .keep_alive(false)
        .serve_connection(TokioIo::new(stream), service);
    let _ = timeout(config.body_timeout, connection).await;
}

async fn serve(
    stream: TcpStream,
    handler: Arc<dyn Handler>,
    config: Arc<HttpServerConfig>,
    mut stop: watch::Receiver<bool>,
) {
    let _ = stream.set_nodelay(true);
    let header_timeout = config.header_timeout;
    let service = service_fn(move |request| {
        let handler = handler.clone();
        let config = config.clone();
        async move { Ok::<_, Infallible>(respond(request, handler, config).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(header_timeout)
        .serve_connection(TokioIo::new(stream), service);
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
    request: hyper::Request<Incoming>,
    handler: Arc<dyn Handler>,
    config: Arc<HttpServerConfig>,
) -> Response<ServerBody> {
    let request = match read_request(request, &config).await {
        Ok(request) => request,
        Err((reason, request)) => {
            let (head, body) = handler.reject(reason, &request);
            return whole(head, body);
        }
    };
    let (sender, mut parts) = mpsc::unbounded_channel();
    let on_gone = handler.handle(request, Responder { parts: sender });
    // Dropped with this future when the caller closes before the head is sent.
    let mut guard = GoneGuard {
        on_gone: Some(on_gone),
    };
    match parts.recv().await {
        Some(ResponsePart::Head(head)) => {
            let body = PartsBody {
                parts,
                guard,
                ended: false,
            };
            build(head, Either::Right(body))
        }
        _ => {
            guard.on_gone = None;
            whole(ResponseHead::new(500, "text/plain"), Vec::new())
        }
    }
}

/// Reads the body; a rejected request comes back without it.
async fn read_request(
    request: hyper::Request<Incoming>,
    config: &HttpServerConfig,
) -> Result<Request, (RejectReason, Request)> {
    let (head, body) = request.into_parts();
    let limited = Limited::new(body, config.max_body_bytes);
    let collected = timeout(config.body_timeout, limited.collect()).await;
    let reason = match collected {
        Ok(Ok(body)) => return Ok(request_of(head, body.to_bytes().to_vec())),
        Ok(Err(error)) if error.is::<LengthLimitError>() => RejectReason::BodyTooLarge,
        Ok(Err(_)) => RejectReason::BodyInterrupted,
        Err(_) => RejectReason::BodyTimeout,
    };
    Err((reason, request_of(head, Vec::new())))
}

fn request_of(head: hyper::http::request::Parts, body: Vec<u8>) -> Request {
    Request {
        method: head.method.to_string(),
        path: head.uri.path().to_owned(),
        query: head.uri.query().unwrap_or_default().to_owned(),
        body,
        headers: head.headers,
    }
}

fn whole(head: ResponseHead, body: Vec<u8>) -> Response<ServerBody> {
    build(head, Either::Left(Full::new(body.into())))
}

fn build(head: ResponseHead, body: ServerBody) -> Response<ServerBody> {
    let mut builder = Response::builder()
        .status(head.status)
        .header("content-type", head.content_type);
    for (name, value) in &head.headers {
        builder = builder.header(*name, value);
    }
    builder
        .body(body)
        .expect("status and headers are made by the program and valid")
}
