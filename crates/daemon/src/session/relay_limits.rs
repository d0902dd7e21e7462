//! Distribution of rate-limit announcements from a relay to its nodes.

use crate::session::RelayActor;
use silversail_consensus::Millis;
use silversail_limits::{LimitAnnouncement, LimitMessage};
use silversail_peer::PeerMessage;
use stakker::CX;

/// Announcements that a relay sends in a window. A node that misses one learns of the limit with
/// its own permit request.
const MAX_ANNOUNCEMENTS_PER_WINDOW: u32 = 256;
const WINDOW: Millis = 1_000;

/// Counts the announcements sent in the current window.
#[derive(Default)]
pub(super) struct AnnouncementBudget {
    window_started_at: Millis,
    sent: u32,
}

impl AnnouncementBudget {
    fn try_take(&mut self, now: Millis) -> bool {
        if now.saturating_sub(self.window_started_at) >= WINDOW {
            *self = Self {
                window_started_at: now,
                sent: 0,
            };
        }
        self.sent += 1;
        self.sent <= MAX_ANNOUNCEMENTS_PER_WINDOW
    }
}

impl RelayActor {
    /// Announces the rate limit of a back end to the nodes of this relay.
    pub fn announce_limit(&mut self, cx: CX![], announcement: LimitAnnouncement) {
        let now = self.now(cx);
        if !self.announcements.try_take(now) {
            return;
        }
        let mut outbox = self.setup.outbox.borrow_mut();
        for node in self.sessions.keys() {
            let message = LimitMessage::Announced(announcement.clone());
            outbox.send(node, PeerMessage::Limits(message));
        }
    }
}
