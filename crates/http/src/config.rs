//! Configuration of the HTTP server.

use std::time::Duration;

/// Address, limits and timeouts of an [`crate::HttpServer`].
#[derive(Clone, Debug)]
pub struct HttpServerConfig {
    /// IP address and port to listen on; port 0 selects a free port.
    pub address: String,
    /// Maximum number of open connections; requests on further ones are rejected.
    pub max_connections: usize,
    /// Timeout for the head of a request, which also limits the idle time of a connection.
    pub header_timeout: Duration,
    /// Timeout for the body of a request.
    pub body_timeout: Duration,
    /// Maximum size of a body, in bytes.
    pub max_body_bytes: usize,
    /// Number of worker threads.
    pub threads: usize,
}

impl HttpServerConfig {
    /// Creates a configuration with default limits for `address`.
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
