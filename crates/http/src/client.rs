//! Connections to back ends: kept while idle, never shared by two requests at
//! once, and closed whenever what they carry next is in doubt.

use crate::liveness;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HeaderMap;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::collections::HashMap;
use std::io;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::net::TcpSocket;
use tokio::task::AbortHandle;
use tokio::time::timeout;

/// How long an idle connection is kept where the back end does not say.
const IDLE_LIFETIME: Duration = Duration::from_secs(8);
/// An idle connection is given up so long before the back end closes it.
const IDLE_MARGIN: Duration = Duration::from_millis(600);
/// Unacknowledged bytes end a connection after this time: a machine that lost
/// power or is cut off says nothing.
const UNACKNOWLEDGED: Duration = Duration::from_millis(1_500);
/// Bytes of an answer that the client library keeps for a caller that reads slowly; also the
/// largest head of an answer.
const READ_BUFFER: usize = 32 << 10;
/// Bytes that the system keeps beside it. It doubles what it is told.
const RECEIVE_BUFFER: u32 = 32 << 10;
/// Most idle connections kept to one back end.
const MAX_IDLE: usize = 16;

/// Why a request got no answer.
#[derive(Debug, thiserror::Error)]
pub enum SendError {
    /// Nothing of it was sent.
    #[error("not sent: {0}")]
    NotSent(String),
    /// Some of it may have been sent.
    #[error("no answer: {0}")]
    NoAnswer(String),
}

/// A connection to a back end; dropped, it is closed.
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    address: String,
    idle_since: Instant,
    lifetime: Duration,
    is_reused: bool,
    pool: Arc<Shared>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Connection {
    /// Whether it carried a request before.
    pub fn is_reused(&self) -> bool {
        self.is_reused
    }

    /// Sends a request and waits for the answer's head.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        self.sender
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
            })
    }

    /// Takes in how long the back end keeps the connection.
    pub fn apply_keep_alive(&mut self, headers: &HeaderMap) {
        let is_closing = header_text(headers, "connection")
            .is_some_and(|value| value.to_ascii_lowercase().contains("close"));
        let told = header_text(headers, "keep-alive").and_then(keep_alive_seconds);
        self.lifetime = match (is_closing, told) {
            (true, _) => Duration::ZERO,
            (false, Some(seconds)) => Duration::from_secs(seconds).saturating_sub(IDLE_MARGIN),
            (false, None) => self.lifetime,
        };
    }

    /// Keeps the connection for the next request, after a whole answer.
    pub fn return_to_pool(mut self) {
        if self.lifetime.is_zero() || self.sender.is_closed() {
            return;
        }
        self.idle_since = Instant::now();
        self.is_reused = true;
        let shared = self.pool.clone();
        if let Ok(mut idle) = shared.idle.lock() {
            let kept = idle.entry(self.address.clone()).or_default();
            if kept.len() < MAX_IDLE {
                kept.push(self);
            }
        };
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

/// Reads the seconds of `timeout=N` or of a bare number.
fn keep_alive_seconds(value: &str) -> Option<u64> {
    let mut parts = value.split(',').map(str::trim);
    parts.find_map(|part| part.strip_prefix("timeout=").unwrap_or(part).parse().ok())
}

#[derive(Default)]
struct Shared {
    idle: Mutex<HashMap<String, Vec<Connection>>>,
}

impl Shared {
    /// Closes the idle connections to an address: what broke one off, or made it silent,
    /// likely did the same to them, and each would hold a request for 1.5 s to show it.
    fn discard_idle(&self, address: &str) {
        let discarded = match self.idle.lock() {
            Ok(mut idle) => idle.remove(address),
            Err(_) => None,
        };
        drop(discarded);
    }
}

/// Idle connections by address.
#[derive(Clone, Default)]
pub struct ConnectionPool {
    shared: Arc<Shared>,
}

impl ConnectionPool {
    /// An empty pool.
    pub fn new() -> Self {
        Self::default()
    }

    /// An idle connection to `address`, where one is kept.
    pub fn take_idle(&self, address: &str) -> Option<Connection> {
        let mut idle = self.shared.idle.lock().ok()?;
        let kept = idle.get_mut(address)?;
        while let Some(connection) = kept.pop() {
            if connection.is_usable() {
                return Some(connection);
            }
        }
        None
    }

    /// Closes the idle connections to `address`, as one of them gave no answer.
    pub fn discard_idle(&self, address: &str) {
        self.shared.discard_idle(address);
    }

    /// A new connection to `address`.
    pub async fn connect(&self, address: &str, longest: Duration) -> io::Result<Connection> {
        let socket = TcpSocket::new_v4()?;
        if let Err(error) = socket.set_recv_buffer_size(RECEIVE_BUFFER) {
            log::debug!(event = "receive_buffer"; "{error}");
        }
        let target = address.parse().map_err(io::Error::other)?;
        let stream = timeout(longest, socket.connect(target))
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        stream.set_nodelay(true)?;
        liveness::watch(&stream, UNACKNOWLEDGED)?;
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(READ_BUFFER)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        let task = tokio::spawn(async move {
            // Its end shows at the sender.
            let _ = connection.await;
        });
        Ok(Connection {
            sender,
            task: task.abort_handle(),
            address: address.to_owned(),
            idle_since: Instant::now(),
            lifetime: IDLE_LIFETIME,
            is_reused: false,
            pool: self.shared.clone(),
        })
    }

    /// Closes idle connections that are too old.
    pub fn remove_expired(&self) {
        if let Ok(mut idle) = self.shared.idle.lock() {
            idle.retain(|_, kept| {
                kept.retain(Connection::is_usable);
                !kept.is_empty()
            });
        }
    }
}
