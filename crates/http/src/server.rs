//! HTTP server with its own runtime for synchronous handlers.

use crate::body::{ChannelBody, DisconnectGuard};
use crate::caller_connection::{self, EndsWithConnection};
use crate::config::HttpServerConfig;
use crate::open_connections::OpenConnections;
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

/// Reason why the server rejects a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// The body exceeds the maximum size.
    BodyTooLarge,
    /// The body did not arrive in time.
    BodyTimeout,
    /// The connection failed within the body.
    BodyInterrupted,
    /// Too many connections are open.
    TooManyConnections,
    /// The memory for request bodies is exhausted.
    BodyMemoryExhausted,
}

/// Handler of requests. It is called on the server's threads and must not block.
pub trait Handler: Send + Sync + 'static {
    /// Starts to handle a request. The returned function is called if the caller disconnects before
    /// the response has ended.
    fn handle(&self, request: Request, responder: Responder) -> Box<dyn FnOnce() + Send>;

    /// Returns the response to a request that the server rejects; `head` is the request without its
    /// body.
    fn reject(&self, reason: RejectReason, head: &Request) -> (ResponseHead, Vec<u8>);
}

type ServerBody = Either<Full<Bytes>, ChannelBody>;

/// Running server; it stops when dropped.
pub struct HttpServer {
    address: SocketAddr,
    stopping: watch::Sender<bool>,
    open_connections: OpenConnections,
    runtime: Option<tokio::runtime::Runtime>,
}

impl HttpServer {
    /// Binds the address and starts to serve requests.
    ///
    /// # Errors
    ///
    /// If the runtime cannot be created or the address cannot be bound.
    pub fn start(config: HttpServerConfig, handler: Arc<dyn Handler>) -> io::Result<Self> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(config.threads)
            .thread_name("http")
            .enable_all()
            .build()?;
        let listener = runtime.block_on(TcpListener::bind(&config.address))?;
        let address = listener.local_addr()?;
        let (stopping, is_stopping) = watch::channel(false);
        let open_connections = OpenConnections::default();
        runtime.spawn(accept(
            listener,
            config,
            handler,
            open_connections.clone(),
            is_stopping,
        ));
        Ok(Self {
            address,
            stopping,
            open_connections,
            runtime: Some(runtime),
        })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> usize {
        self.open_connections.count()
    }

    /// Accepts no further connections and closes idle ones. Responses in progress are completed.
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
    open_connections: OpenConnections,
    mut is_stopping: watch::Receiver<bool>,
) {
    let slots = Arc::new(Semaphore::new(config.max_connections));
    let config = Arc::new(config);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = is_stopping.changed() => return,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) => {
                // Most likely out of file descriptors: wait for connections to close.
                log::warn!(event = "accept_failed"; "{error}");
                tokio::time::sleep(std::time::Duration::from_millis(20)).await;
                continue;
            }
        };
        let Ok(slot) = slots.clone().try_acquire_owned() else {
            tokio::spawn(reject_connection(stream, handler.clone(), config.clone()));
            continue;
        };
        let connection = serve(stream, handler.clone(), config.clone(), is_stopping.clone());
        let open_connection = open_connections.add();
        tokio::spawn(async move {
            connection.await;
            drop((slot, open_connection));
        });
    }
}

async fn reject_connection(
    stream: TcpStream,
    handler: Arc<dyn Handler>,
    config: Arc<HttpServerConfig>,
) {
    let service = service_fn(move |request: hyper::Request<Incoming>| {
        let (parts, _) = request.into_parts();
        let rejected = build_request(parts, Vec::new());
        let (head, body) = handler.reject(RejectReason::TooManyConnections, &rejected);
        async move { Ok::<_, Infallible>(complete_response(head, body)) }
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
    is_stopping: watch::Receiver<bool>,
) {
    let _ = stream.set_nodelay(true);
    let header_timeout = config.header_timeout;
    let ends_with_connection = EndsWithConnection::default();
    let recorded = ends_with_connection.clone();
    let service = service_fn(move |request: hyper::Request<Incoming>| {
        let (version, recorded) = (request.version(), recorded.clone());
        let responding = respond(request, handler.clone(), config.clone());
        async move {
            let response = responding.await;
            recorded.record(version, &response);
            Ok::<_, Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(header_timeout)
        .serve_connection(TokioIo::new(stream), service);
    caller_connection::run(connection, is_stopping, ends_with_connection).await;
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
            return complete_response(head, body);
        }
    };
    let (sender, mut parts) = mpsc::unbounded_channel();
    let on_disconnect = handler.handle(request, Responder { parts: sender });
    // Dropped with this future if the caller disconnects before the head is sent.
    let mut guard = DisconnectGuard {
        on_disconnect: Some(on_disconnect),
    };
    match parts.recv().await {
        Some(ResponsePart::Head(head)) => {
            let body = ChannelBody {
                parts,
                guard,
                is_ended: false,
            };
            build_response(head, Either::Right(body))
        }
        _ => {
            guard.on_disconnect = None;
            complete_response(ResponseHead::new(500, "text/plain"), Vec::new())
        }
    }
}

/// Reads the body of a request. A rejected request is returned without its body.
async fn read_request(
    request: hyper::Request<Incoming>,
    config: &HttpServerConfig,
) -> Result<Request, (RejectReason, Request)> {
    let (head, body) = request.into_parts();
    let limited = Limited::new(body, config.max_body_bytes);
    let collected = timeout(config.body_timeout, limited.collect()).await;
    let reason = match collected {
        Ok(Ok(body)) => return Ok(build_request(head, body.to_bytes().to_vec())),
        Ok(Err(error)) if error.is::<LengthLimitError>() => RejectReason::BodyTooLarge,
        Ok(Err(_)) => RejectReason::BodyInterrupted,
        Err(_) => RejectReason::BodyTimeout,
    };
    Err((reason, build_request(head, Vec::new())))
}

fn build_request(head: hyper::http::request::Parts, body: Vec<u8>) -> Request {
    Request {
        method: head.method.to_string(),
        path: head.uri.path().to_owned(),
        query: head.uri.query().unwrap_or_default().to_owned(),
        body,
        headers: head.headers,
    }
}

fn complete_response(head: ResponseHead, body: Vec<u8>) -> Response<ServerBody> {
    build_response(head, Either::Left(Full::new(body.into())))
}

fn build_response(head: ResponseHead, body: ServerBody) -> Response<ServerBody> {
    let mut builder = Response::builder()
        .status(head.status)
        .header("content-type", head.content_type);
    for (name, value) in &head.headers {
        builder = builder.header(*name, value);
    }
    builder.body(body).expect("status and headers are valid")
}
