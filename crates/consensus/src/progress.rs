//! What a leader knows of each follower.

use crate::log::Index;
use crate::message::Stamp;
use crate::Millis;

/// A follower as the leader sees it.
#[derive(Clone, Debug)]
pub struct Progress {
    /// Last index known to be synced at the follower.
    pub match_index: Index,
    /// Next index to send.
    pub next_index: Index,
    /// Append messages sent and not answered.
    pub in_flight: usize,
    /// Latest round that the follower answered.
    pub acknowledged_round: u64,
    /// Latest clock value of the follower, to be echoed.
    pub echo: Option<Stamp>,
    /// When the last answer came, on the leader's clock.
    pub last_reply_at: Option<Millis>,
    /// When a snapshot was last sent and is still unanswered.
    pub snapshot_sent_at: Option<Millis>,
}

impl Progress {
    /// Progress of a follower of which nothing is known.
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

    /// Takes in the stamp of a reply; replies may come out of order.
    pub fn note_stamp(&mut self, stamp: Stamp) {
        let is_newer = self
            .echo
            .is_none_or(|known| (stamp.incarnation, stamp.at) > (known.incarnation, known.at));
        if is_newer {
            self.echo = Some(stamp);
        }
    }
}
