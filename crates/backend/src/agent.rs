//! HTTP clients and what their errors prove.

use crate::call::CallFailure;
use std::time::Duration;
use ureq::{Agent, AgentBuilder, ErrorKind, Transport};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const IDLE_CONNECTIONS: usize = 256;
const IDLE_CONNECTIONS_PER_HOST: usize = 16;

/// The two clients of a process.
#[derive(Clone)]
pub struct Agents {
    /// Keeps connections; for calls that may be repeated.
    pub pooled: Agent,
    /// A new connection for each call; for calls that may not be repeated, as
    /// a kept connection that the other side has closed makes it unclear
    /// whether a request arrived, and the library may send it again.
    pub single_use: Agent,
}

impl Agents {
    /// Clients that follow no redirects: a redirect would send a call twice.
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

    /// The client for a call.
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

/// What a transport error proves about the call.
pub fn classify_transport_error(error: &Transport) -> CallFailure {
    match error.kind() {
        // The connection was never made, so nothing was sent.
        ErrorKind::ConnectionFailed | ErrorKind::Dns | ErrorKind::InvalidUrl => {
            CallFailure::NotRun(error.to_string())
        }
        _ => CallFailure::AnswerLost(error.to_string()),
    }
}
