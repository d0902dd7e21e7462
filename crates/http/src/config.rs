//! Limits of the HTTP server.

use std::time::Duration;

/// Limits that protect callers from each other.
#[derive(Clone, Debug)]
pub struct HttpServerConfig {
    /// IP address and port to listen on; port 0 takes any.
    pub address: String,
    /// Most open connections; more are refused.
    pub max_connections: usize,
    /// Longest wait for a request's head, also on an idle connection.
    pub header_timeout: Duration,
    /// Longest wait for a request's body.
    pub body_timeout: Duration,
    /// Largest body, in bytes.
    pub max_body_bytes: usize,
    /// Threads of the server.
    pub threads: usize,
}

impl HttpServerConfig {
    /// Usual limits on `address`.
    pub fn with_default_limits(address: &str) -> Self {
        Self {
            address: address.to_owned(),
            max_connections: 4096,
            header_timeout: Duration::from_secs(15),
            body_timeout: Duration::from_secs(5),
            max_body_bytes: 1 << 20,
            threads: 2,
        }
    }
}
