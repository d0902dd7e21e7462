//! Replication progress that a leader tracks for each follower.

use crate::log::Index;
use crate::message::ProcessTimestamp;
use crate::Millis;

/// A leader's view of one follower's log and replies.
#[derive(Clone, Debug)]
pub struct Progress {
    /// Last index that the follower is known to have synced.
    pub match_index: Index,
    /// Index of the next entry to send.
    pub next_index: Index,
    /// Number of append messages sent and not acknowledged.
    pub in_flight: usize,
    /// Latest heartbeat round that the follower acknowledged.
    pub acknowledged_round: u64,
    /// Latest clock reading of the follower, echoed in messages to it.
    pub echo: Option<ProcessTimestamp>,
    /// Time of the last reply, on the leader's clock.
    pub last_reply_at: Option<Millis>,
    /// Time at which a still unacknowledged snapshot was sent.
    pub snapshot_sent_at: Option<Millis>,
}

impl Progress {
    /// Progress of a follower that has not replied yet.
    pub fn new(next_index: Index) -> Self {
        Self {
            match_index: 0,
            next_index,
            in_flight: 0,
            acknowledged_round: 0,
            echo: None,
            last_reply_at: None,
            snapshot_sent_at: None,
        }
    }

    /// Records the timestamp of a reply if it is newer; replies may arrive out of order.
    pub fn record_timestamp(&mut self, timestamp: ProcessTimestamp) {
        let is_newer = self.echo.is_none_or(|known| {
            (timestamp.incarnation, timestamp.at) > (known.incarnation, known.at)
        });
        if is_newer {
            self.echo = Some(timestamp);
        }
    }
}
