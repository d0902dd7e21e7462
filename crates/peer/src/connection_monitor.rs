//! When the connection to a peer is given up for a new one.
//!
//! A connection to a machine that lost power or was cut off hangs: what it holds is sent
//! again after seconds only, also once the machine is back. A message of the peer shows
//! that it is back.

use std::time::{Duration, Instant};

/// A connection that is not up after this time, though the peer is: its first packet was
/// lost, and the system sends the next one after a second.
const CONNECT_PATIENCE: Duration = Duration::from_millis(100);
/// Silence of a peer that owes an answer after which it counts as having been away: five
/// times the interval of heartbeats between voters, more than two of a session's.
const AWAY_AFTER: Duration = Duration::from_millis(1_000);

/// What is known of the connection to a peer and of the peer's signs of life.
#[derive(Debug, Default)]
pub struct ConnectionMonitor {
    /// The peer's process, once it was heard.
    incarnation: Option<u64>,
    heard_at: Option<Instant>,
    /// When the first message was sent that nothing was heard after.
    unanswered_since: Option<Instant>,
    dialled_at: Option<Instant>,
}

impl ConnectionMonitor {
    /// A connection was begun.
    pub fn record_dial(&mut self, now: Instant) {
        self.dialled_at = Some(now);
    }

    /// A message was handed to the connection.
    pub fn record_send(&mut self, now: Instant) {
        self.unanswered_since.get_or_insert(now);
    }

    /// Whether a connection is not up though it was begun a while ago: its first packet was
    /// lost.
    pub fn is_connect_overdue(&self, is_connected: bool, now: Instant) -> bool {
        let age = |at: Instant| now.saturating_duration_since(at);
        !is_connected
            && self
                .dialled_at
                .is_some_and(|at| age(at) >= CONNECT_PATIENCE)
    }

    /// A message of the peer's process `incarnation` came. True when the connection to it
    /// is to be given up for a new one.
    pub fn record_message(&mut self, incarnation: u64, is_connected: bool, now: Instant) -> bool {
        let is_former = self.incarnation.is_some_and(|known| known > incarnation);
        if is_former {
            return false;
        }
        let former = self.incarnation.replace(incarnation);
        let is_new_process = former.is_some_and(|known| known < incarnation);
        let since = |at: Option<Instant>| at.map(|at| now.saturating_duration_since(at));
        let was_silent = since(self.heard_at).is_none_or(|silence| silence >= AWAY_AFTER);
        let owed = since(self.unanswered_since).is_some_and(|owed| owed >= AWAY_AFTER);
        let hangs = self.is_connect_overdue(is_connected, now);
        self.heard_at = Some(now);
        self.unanswered_since = None;
        self.dialled_at.is_some() && (is_new_process || hangs || (was_silent && owed))
    }
}
