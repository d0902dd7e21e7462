//! HTTP clients and classification of their transport errors.

use crate::call::CallFailure;
use std::time::Duration;
use ureq::{Agent, AgentBuilder, ErrorKind, Transport};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const IDLE_CONNECTIONS: usize = 256;
const IDLE_CONNECTIONS_PER_HOST: usize = 16;

/// HTTP clients of a process; clones share their connections.
#[derive(Clone)]
pub struct Agents {
    /// Client with a connection pool, for calls that may be retried.
    pub pooled: Agent,
    /// Client that opens a connection for each call, for calls that must not be retried. If the
    /// peer closes a pooled connection, it is unknown whether the request arrived, and the library
    /// may send it again.
    pub single_use: Agent,
}

impl Agents {
    /// Creates clients that do not follow redirects, as a redirect would send a call twice.
    pub fn new() -> Self {
        let builder = || {
            AgentBuilder::new()
                .timeout_connect(CONNECT_TIMEOUT)
                .redirects(0)
                .no_delay(true)
        };
        Self {
            pooled: builder()
                .max_idle_connections(IDLE_CONNECTIONS)
                .max_idle_connections_per_host(IDLE_CONNECTIONS_PER_HOST)
                .build(),
            single_use: builder().max_idle_connections(0).build(),
        }
    }

    /// Returns the client for a call that may or may not be retried.
    pub fn for_call(&self, repeatable: bool) -> &Agent {
        if repeatable {
            &self.pooled
        } else {
            &self.single_use
        }
    }
}

impl Default for Agents {
    fn default() -> Self {
        Self::new()
    }
}

/// Determines from a transport error whether the call may have reached the back end.
pub fn classify_transport_error(error: &Transport) -> CallFailure {
    match error.kind() {
        // The connection was not established, so nothing was sent.
        ErrorKind::ConnectionFailed | ErrorKind::Dns | ErrorKind::InvalidUrl => {
            CallFailure::NotRun(error.to_string())
        }
        _ => CallFailure::AnswerLost(error.to_string()),
    }
}
