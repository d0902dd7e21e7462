//! Suspected attributes of requests: reports of nodes, which a relay forwards to the leader, and the
//! attributes whose answers nodes report.

use crate::session::relay::{RelayActor, SESSION_TIMEOUT};
use silversail_consensus::Millis;
use silversail_model::NodeName;
use silversail_peer::PeerMessage;
use silversail_quarantine::{AttributeMessage, AttributeReport, WatchedAttributes};
use stakker::CX;

/// Minimum time between changes of what nodes watch, in milliseconds.
const WATCH_INTERVAL: Millis = 200;
/// Time after which nodes are told again what to watch, in milliseconds.
const WATCH_REPEAT_INTERVAL: Millis = 1_000;

/// What nodes were last told to watch.
#[derive(Default)]
pub(super) struct WatchedAttributesPush {
    watched: Vec<WatchedAttributes>,
    sent_at: Millis,
}

impl WatchedAttributesPush {
    /// Returns `watched` if nodes are to be told at `now`.
    fn take_due(
        &mut self,
        watched: Vec<WatchedAttributes>,
        now: Millis,
    ) -> Option<Vec<WatchedAttributes>> {
        let interval = match (watched == self.watched, watched.is_empty()) {
            (true, true) => return None,
            (true, false) => WATCH_REPEAT_INTERVAL,
            (false, _) => WATCH_INTERVAL,
        };
        if now.saturating_sub(self.sent_at) < interval {
            return None;
        }
        self.watched = watched.clone();
        self.sent_at = now;
        Some(watched)
    }
}

impl RelayActor {
    /// Handles a report of a node or another relay.
    pub fn attribute_report(&mut self, cx: CX![], report: AttributeReport) {
        let now = self.now(cx);
        let mut evidence = self.setup.attribute_evidence.borrow_mut();
        evidence.record_report(&report, now);
    }

    /// Forwards evidence to the leader, and tells nodes what to watch.
    pub(super) fn exchange_attributes(&mut self, now: Millis) {
        let list = self.setup.machine.borrow().quarantine.list().clone();
        let mut evidence = self.setup.attribute_evidence.borrow_mut();
        evidence.update(&list, now);
        let is_leader = self.membership_table.is_some();
        let forwarded = match is_leader {
            true => None,
            false => evidence.take_forwarded(now),
        };
        let watched = evidence.watched(now);
        drop(evidence);
        let leader = self.setup.status.borrow().leader.clone();
        if let (Some(report), Some(leader)) = (forwarded, leader) {
            self.send_attributes(&NodeName(leader), AttributeMessage::Report(report));
        }
        if let Some(watched) = self.watched_attributes.take_due(watched, now) {
            let sessions = self.sessions.iter();
            let is_live = |last_heartbeat_at: Millis| {
                now.saturating_sub(last_heartbeat_at) <= SESSION_TIMEOUT
            };
            for (node, _) in sessions.filter(|(_, session)| is_live(session.last_heartbeat_at)) {
                self.send_attributes(node, AttributeMessage::Watch(watched.clone()));
            }
        }
    }

    fn send_attributes(&self, to: &NodeName, message: AttributeMessage) {
        let mut outbox = self.setup.outbox.borrow_mut();
        outbox.send(to, PeerMessage::Attributes(message));
    }
}
