//! Pool of HTTP/1.1 connections to back ends. A connection carries one request at a time, is reused
//! while idle, and is closed if its state is uncertain.

use crate::keepalive;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HeaderMap;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::collections::hash_map::DefaultHasher;
use std::collections::{HashMap, HashSet};
use std::future::Future;
use std::hash::{Hash, Hasher};
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::net::TcpSocket;
use tokio::task::AbortHandle;
use tokio::time::{sleep_until, timeout};

/// Lifetime of an idle connection if the back end does not announce one.
const IDLE_LIFETIME: Duration = Duration::from_secs(8);
/// Time before the announced end of an idle connection at which it is no longer used.
const IDLE_MARGIN: Duration = Duration::from_millis(600);
/// Time after which unacknowledged bytes close a connection, as a machine that lost power or its
/// network does not send a reset.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Read buffer of the client library in bytes; also the maximum size of an answer's head.
const READ_BUFFER: usize = 32 << 10;
/// Requested socket receive buffer in bytes; Linux allocates twice as much.
const RECEIVE_BUFFER: u32 = 32 << 10;
/// Maximum wait for a connection that shows whether a back end still runs.
const PEER_CHECK_TIMEOUT: Duration = Duration::from_millis(100);
/// Time for which that connection must stay open after an answer that is not a stream: one that the
/// machine accepted for a process that is ending is closed at once.
const PEER_CHECK_OPEN_FOR: Duration = Duration::from_millis(20);
/// The same after a stream, whose events have been passed on. A busy machine takes longer to end a
/// process.
const PEER_CHECK_OPEN_FOR_STREAM: Duration = Duration::from_millis(100);
/// Pause before a back end is asked again that closed the connection.
const PEER_CHECK_PAUSE: Duration = Duration::from_millis(20);
/// Maximum number of connections of a check.
const MAX_PEER_CHECKS: usize = 4;
/// Maximum number of idle connections to one back end.
const MAX_IDLE_PER_BACKEND: usize = 16;
/// Maximum number of requests on one connection, which bounds the record of what it carried.
const MAX_REQUESTS_PER_CONNECTION: usize = 1_000;

/// Identifies something that a connection carried, as a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct CarriedKey(u64);

impl CarriedKey {
    /// Key of an identifier.
    pub fn of(id: &str) -> Self {
        let mut hasher = DefaultHasher::new();
        id.hash(&mut hasher);
        Self(hasher.finish())
    }
}

/// Reason why a request received no answer.
#[derive(Debug, thiserror::Error)]
pub enum SendError {
    /// No part of the request was sent.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The request may have been sent in part or in full.
    #[error("no answer: {0}")]
    NoAnswer(String),
}

/// An exchange that a connection carried.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EarlierExchange {
    /// Identifier of the request; empty if it has none.
    pub request: String,
    /// HTTP status of the answer.
    pub status: u16,
}

/// Connection to a back end; it is closed when dropped.
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    address: String,
    idle_since: Instant,
    lifetime: Duration,
    /// Number of requests sent, including the current one.
    requests: usize,
    /// What it carried before the current request.
    carried: HashSet<CarriedKey>,
    /// The current request.
    current: Option<CarriedKey>,
    /// Whether it may carry another request.
    is_reusable: bool,
    /// Latest exchange whose answer began.
    latest: Option<EarlierExchange>,
    /// The exchange before the current one.
    previous: Option<EarlierExchange>,
    pool: Arc<IdleConnections>,
}

/// Timer that closes a connection; it is cancelled when dropped.
pub(crate) struct ConnectionCloser(AbortHandle);

impl Drop for ConnectionCloser {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Connection {
    /// Number of requests that the connection carried before the current one.
    pub fn earlier_requests(&self) -> usize {
        self.requests.saturating_sub(1)
    }

    /// Returns whether the connection carried this before the current request.
    pub fn has_carried(&self, key: CarriedKey) -> bool {
        self.carried.contains(&key)
    }

    /// Records what the connection carried besides its requests.
    pub fn record_carried(&mut self, key: CarriedKey) {
        self.carried.insert(key);
    }

    /// Sets whether the connection may carry another request once the answer has been read.
    pub fn set_reusable(&mut self, is_reusable: bool) {
        self.is_reusable = is_reusable;
    }

    /// The exchange before the current one.
    pub fn previous_exchange(&self) -> Option<&EarlierExchange> {
        self.previous.as_ref()
    }

    /// Returns whether the peer leaves the new connection open for `period`.
    pub async fn stays_open(&self, period: Duration) -> bool {
        tokio::time::sleep(period).await;
        !self.sender.is_closed()
    }

    /// Sends the request `id` and waits for the head of the answer. The identifier may be empty.
    ///
    /// # Errors
    ///
    /// If no answer arrives; the error tells whether the request may have been sent.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
        id: &str,
    ) -> Result<Response<Incoming>, SendError> {
        self.previous = self.latest.take();
        self.requests += 1;
        self.carried.extend(self.current.take());
        self.current = Some(CarriedKey::of(id)).filter(|_| !id.is_empty());
        let response = self
            .sender
            .try_send_request(request)
            .await
            .map_err(|mut failure| {
                let was_sent = failure.take_message().is_none();
                let text = failure.error().to_string();
                match was_sent {
                    true => {
                        self.pool.discard_idle(&self.address);
                        SendError::NoAnswer(text)
                    }
                    false => SendError::NotSent(text),
                }
            })?;
        self.latest = Some(EarlierExchange {
            request: id.to_owned(),
            status: response.status().as_u16(),
        });
        Ok(response)
    }

    /// Applies the lifetime of idle connections that the head of an answer announces.
    pub fn apply_keep_alive(&mut self, headers: &HeaderMap) {
        let is_closing = header_text(headers, "connection")
            .is_some_and(|value| value.to_ascii_lowercase().contains("close"));
        let announced_seconds = header_text(headers, "keep-alive").and_then(keep_alive_seconds);
        self.lifetime = match (is_closing, announced_seconds) {
            (true, _) => Duration::ZERO,
            (false, Some(seconds)) => Duration::from_secs(seconds).saturating_sub(IDLE_MARGIN),
            (false, None) => self.lifetime,
        };
    }

    /// Returns the connection to its pool. The answer must have been read completely.
    pub fn return_to_pool(mut self) {
        let is_worn = self.requests >= MAX_REQUESTS_PER_CONNECTION;
        if !self.is_reusable || is_worn || self.lifetime.is_zero() || self.sender.is_closed() {
            return;
        }
        self.idle_since = Instant::now();
        let pool = self.pool.clone();
        if let Ok(mut idle) = pool.idle.lock() {
            let connections = idle.entry(self.address.clone()).or_default();
            if connections.len() < MAX_IDLE_PER_BACKEND {
                connections.push(self);
            }
        };
    }

    /// Starts a timer that closes the connection at `deadline`.
    pub(crate) fn closer(&self, deadline: Instant) -> ConnectionCloser {
        let connection = self.task.clone();
        let timer = tokio::spawn(async move {
            sleep_until(deadline.into()).await;
            connection.abort();
        });
        ConnectionCloser(timer.abort_handle())
    }

    /// Finds out whether the back end's process is gone, which shows by refused connections. A back
    /// end that cannot be asked counts as running.
    pub(crate) fn peer_check(
        &self,
        is_stream: bool,
    ) -> Pin<Box<dyn Future<Output = bool> + Send + Sync>> {
        let open_for = match is_stream {
            true => PEER_CHECK_OPEN_FOR_STREAM,
            false => PEER_CHECK_OPEN_FOR,
        };
        let pool = ConnectionPool {
            shared: self.pool.clone(),
        };
        let address = self.address.clone();
        Box::pin(async move { pool.is_peer_gone(&address, open_for).await })
    }

    /// Whether the current request or one before it is this.
    fn carries(&self, key: CarriedKey) -> bool {
        self.current == Some(key) || self.carried.contains(&key)
    }

    fn is_usable(&self) -> bool {
        !self.sender.is_closed()
            && self.sender.is_ready()
            && self.idle_since.elapsed() < self.lifetime
    }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Parses the seconds of a `keep-alive` header, which are `timeout=N` or a bare number.
fn keep_alive_seconds(value: &str) -> Option<u64> {
    let mut parts = value.split(',').map(str::trim);
    parts.find_map(|part| part.strip_prefix("timeout=").unwrap_or(part).parse().ok())
}

#[derive(Default)]
struct IdleConnections {
    idle: Mutex<HashMap<String, Vec<Connection>>>,
}

impl IdleConnections {
    /// Closes the idle connections to an address. A fault of one connection probably affects the
    /// others, and each would delay a request until its own timeout.
    fn discard_idle(&self, address: &str) {
        let discarded = match self.idle.lock() {
            Ok(mut idle) => idle.remove(address),
            Err(_) => None,
        };
        drop(discarded);
    }
}

/// Pool of idle connections by address; clones share it.
#[derive(Clone, Default)]
pub struct ConnectionPool {
    shared: Arc<IdleConnections>,
}

impl ConnectionPool {
    /// Creates an empty pool.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes a usable idle connection to `address` out of the pool for the request `id`, if there is
    /// one. It has not carried that request before, so that a late repetition of an earlier answer
    /// to the request cannot come in place of the next one.
    pub fn take_idle(&self, address: &str, id: &str) -> Option<Connection> {
        let key = CarriedKey::of(id);
        let mut idle = self.shared.idle.lock().ok()?;
        let connections = idle.get_mut(address)?;
        let mut end = connections.len();
        loop {
            let mut candidates = connections[..end].iter();
            let position = candidates.rposition(|connection| !connection.carries(key))?;
            let connection = connections.remove(position);
            if connection.is_usable() {
                return Some(connection);
            }
            end = position;
        }
    }

    /// Closes the idle connections to `address`, for use after one of them received no answer.
    pub fn discard_idle(&self, address: &str) {
        self.shared.discard_idle(address);
    }

    /// Opens a connection to `address` within `connect_timeout`.
    ///
    /// # Errors
    ///
    /// If the address is invalid or the connection cannot be established in time.
    pub async fn connect(
        &self,
        address: &str,
        connect_timeout: Duration,
    ) -> io::Result<Connection> {
        let socket = TcpSocket::new_v4()?;
        if let Err(error) = socket.set_recv_buffer_size(RECEIVE_BUFFER) {
            log::debug!(event = "receive_buffer"; "{error}");
        }
        let target = address.parse().map_err(io::Error::other)?;
        let stream = timeout(connect_timeout, socket.connect(target))
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        stream.set_nodelay(true)?;
        keepalive::detect_dead_peer(&stream, UNACKNOWLEDGED_TIMEOUT)?;
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(READ_BUFFER)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        let task = tokio::spawn(async move {
            // The sender reports the end of the connection.
            let _ = connection.await;
        });
        Ok(Connection {
            sender,
            task: task.abort_handle(),
            address: address.to_owned(),
            idle_since: Instant::now(),
            lifetime: IDLE_LIFETIME,
            requests: 0,
            carried: HashSet::new(),
            current: None,
            is_reusable: true,
            latest: None,
            previous: None,
            pool: self.shared.clone(),
        })
    }

    /// Whether connections to `address` are refused. One that stays open for `open_for`, or silence,
    /// shows that they are not; one that is closed or reset shows nothing, as the listening socket of
    /// an ending process may be closed just after a connection was accepted.
    async fn is_peer_gone(&self, address: &str, open_for: Duration) -> bool {
        for _ in 0..MAX_PEER_CHECKS {
            match self.connect(address, PEER_CHECK_TIMEOUT).await {
                Ok(connection) if connection.stays_open(open_for).await => {
                    connection.return_to_pool();
                    return false;
                }
                Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => return true,
                Err(error) if error.kind() == io::ErrorKind::TimedOut => return false,
                Ok(_) | Err(_) => tokio::time::sleep(PEER_CHECK_PAUSE).await,
            }
        }
        false
    }

    /// Closes idle connections that have expired or been closed by the back end.
    pub fn remove_expired(&self) {
        if let Ok(mut idle) = self.shared.idle.lock() {
            idle.retain(|_, connections| {
                connections.retain(Connection::is_usable);
                !connections.is_empty()
            });
        }
    }
}
