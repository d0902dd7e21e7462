//! Tracks large updates in transit to one node. Heartbeats sent before such an update arrives still
//! report the old version; repeating the update in each reply would saturate a slow link.

use silversail_consensus::Millis;
use std::collections::BTreeMap;

/// Size from which updates are not repeated while in transit, in bytes.
const LARGE_UPDATE_BYTES: usize = 16 << 10;
/// How long a large update counts as in transit, in milliseconds.
const TRANSFER_WINDOW: Millis = 1_500;

/// Kind of state that an update carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum UpdateKind {
    /// The back-end list.
    BackendList,
    /// The cluster view.
    View,
}

/// Times at which large updates were sent to the current process of a node.
#[derive(Clone, Debug, Default)]
pub struct LargeUpdateTracker {
    incarnation: u64,
    sent_at: BTreeMap<UpdateKind, Millis>,
}

impl LargeUpdateTracker {
    /// Records the incarnation of a heartbeat. A new process has none of the updates sent to the
    /// former one.
    pub fn record_incarnation(&mut self, incarnation: u64) {
        if self.incarnation != incarnation {
            self.incarnation = incarnation;
            self.sent_at.clear();
        }
    }

    /// Whether an update of `bytes` is to be sent at `now`; if so, it is recorded as sent.
    pub fn try_start_send(&mut self, kind: UpdateKind, bytes: usize, now: Millis) -> bool {
        if bytes < LARGE_UPDATE_BYTES {
            return true;
        }
        let sent_at = self.sent_at.get(&kind);
        let is_in_transit = sent_at.is_some_and(|at| now.saturating_sub(*at) < TRANSFER_WINDOW);
        if !is_in_transit {
            self.sent_at.insert(kind, now);
        }
        !is_in_transit
    }
}
