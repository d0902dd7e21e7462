//! Decides when the connection to a peer is replaced.
//!
//! After a power loss or a network partition, TCP retransmits on the old connection with a
//! backoff of seconds, even if the peer is reachable again. A message from the peer shows
//! that it is reachable, so the connection is replaced then.

use std::time::{Duration, Instant};

/// Timeout for connecting to a reachable peer; shorter than the one second after which the
/// operating system retransmits a lost SYN.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// Time without messages after which a peer with unanswered messages counts as unreachable:
/// five heartbeat intervals between voters, more than two of a session.
const UNREACHABLE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// State of the connection to a peer and times of the messages exchanged with it.
#[derive(Debug, Default)]
pub struct ConnectionMonitor {
    /// Latest incarnation from which a message was received.
    incarnation: Option<u64>,
    last_received_at: Option<Instant>,
    /// Time of the first message sent since the last one received.
    unanswered_since: Option<Instant>,
    dialled_at: Option<Instant>,
}

impl ConnectionMonitor {
    /// Records the start of a connection attempt.
    pub fn record_dial(&mut self, now: Instant) {
        self.dialled_at = Some(now);
    }

    /// Records that a message was passed to the connection.
    pub fn record_send(&mut self, now: Instant) {
        self.unanswered_since.get_or_insert(now);
    }

    /// Whether the connection attempt has exceeded its timeout, as after the loss of its first
    /// packet.
    pub fn is_connect_overdue(&self, is_connected: bool, now: Instant) -> bool {
        let age = |at: Instant| now.saturating_duration_since(at);
        !is_connected && self.dialled_at.is_some_and(|at| age(at) >= CONNECT_TIMEOUT)
    }

    /// Records a message received from the peer's process `incarnation`. Returns whether the
    /// connection to the peer has to be replaced.
    pub fn record_message(&mut self, incarnation: u64, is_connected: bool, now: Instant) -> bool {
        let is_outdated = self.incarnation.is_some_and(|known| known > incarnation);
        if is_outdated {
            return false;
        }
        let previous = self.incarnation.replace(incarnation);
        let is_new_process = previous.is_some_and(|known| known < incarnation);
        let elapsed_since = |at: Option<Instant>| at.map(|at| now.saturating_duration_since(at));
        let was_silent = elapsed_since(self.last_received_at)
            .is_none_or(|silence| silence >= UNREACHABLE_TIMEOUT);
        let has_unanswered = elapsed_since(self.unanswered_since)
            .is_some_and(|elapsed| elapsed >= UNREACHABLE_TIMEOUT);
        let is_connect_overdue = self.is_connect_overdue(is_connected, now);
        self.last_received_at = Some(now);
        self.unanswered_since = None;
        self.dialled_at.is_some()
            && (is_new_process || is_connect_overdue || (was_silent && has_unanswered))
    }
}
