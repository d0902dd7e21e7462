//! The relay's part in limits of back ends: its nodes are told of those that began.

use crate::session::RelayActor;
use silversail_consensus::Millis;
use silversail_limits::{LimitAnnouncement, LimitMessage};
use silversail_peer::PeerMessage;
use stakker::CX;

/// Limits that a relay tells its nodes of in a second at most. Of those that it drops nodes find out
/// by a request of their own.
const MOST_A_SECOND: u32 = 256;
const SECOND: Millis = 1_000;

/// How many limits were told of in the present second.
#[derive(Default)]
pub(super) struct AnnouncementBudget {
    since: Millis,
    told: u32,
}

impl AnnouncementBudget {
    fn take(&mut self, now: Millis) -> bool {
        if now.saturating_sub(self.since) >= SECOND {
            *self = Self {
                since: now,
                told: 0,
            };
        }
        self.told += 1;
        self.told <= MOST_A_SECOND
    }
}

impl RelayActor {
    /// A back end has a limit: the nodes of this relay are told.
    pub fn announce_limit(&mut self, cx: CX![], announcement: LimitAnnouncement) {
        let now = self.now(cx);
        if !self.announcements.take(now) {
            return;
        }
        let mut outbox = self.setup.outbox.borrow_mut();
        for node in self.sessions.keys() {
            let message = LimitMessage::Announced(announcement.clone());
            outbox.send(node, PeerMessage::Limits(message));
        }
    }
}
