//! The relay's handling of the back-end list: one node reads the list for all nodes, and relays
//! distribute it to their nodes.

use crate::session::large_updates::UpdateKind;
use crate::session::relay::SESSION_TIMEOUT;
use crate::session::{BackendListLease, RelayActor};
use silversail_consensus::Millis;
use silversail_control::batch_owners::BackendsByZone;
use silversail_model::NodeName;
use silversail_peer::{
    BackendList, BackendListEntries, BackendListEntry, BackendListUpdate, BackendListVersion,
    PeerMessage, SessionMessage, SharedBackendList,
};
use stakker::CX;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Minimum interval between repairs that the leader sends to one relay, in milliseconds. Reports
/// arrive more often, and the last repair may still be in transit.
const BACKEND_LIST_REPAIR_INTERVAL: Millis = 500;

/// The newest back-end list and the time at which it was last confirmed.
pub(super) struct HeldBackendList {
    pub(super) backend_list: SharedBackendList,
    pub(super) confirmed_at: Millis,
}

impl HeldBackendList {
    /// Whether the list was confirmed within the lease. An expired list is replaced also by one
    /// with a lower version, because the leader's versions do not count up with those of a fallback
    /// reader.
    fn is_current(&self, lease: BackendListLease, now: Millis) -> bool {
        now.saturating_sub(self.confirmed_at) <= lease.0
    }
}

impl RelayActor {
    /// Handles the entries that this node has read, and distributes them. The leader numbers
    /// versions within its term; a fallback reader creates a version that sorts after the leader's
    /// last and before its next.
    pub fn backend_list_read(&mut self, cx: CX![], entries: Vec<BackendListEntry>) {
        let now = self.now(cx);
        let term = self.membership_table.as_ref().map(|(term, _)| *term);
        let held_entries = self
            .backend_list
            .as_ref()
            .map(|held| &held.backend_list.entries);
        let entries = held_entries.cloned().unwrap_or_default().with_read(entries);
        // A leader of another term assigns its own version: a relay that acted as fallback reader
        // may hold other entries, which a confirmation would not replace.
        let held = self.backend_list.as_mut().filter(|held| {
            let is_of_term = term.is_none_or(|term| held.backend_list.version.term == term);
            held.backend_list.entries == entries && is_of_term
        });
        if let Some(held) = held {
            held.confirmed_at = now;
            let message = SessionMessage::BackendListConfirmed(held.backend_list.version);
            self.send_to_other_relays(message);
            return;
        }
        let former = self
            .backend_list
            .as_ref()
            .map(|held| held.backend_list.version);
        let version = match term {
            Some(term) => BackendListVersion {
                term,
                sequence: former.unwrap_or_default().sequence + 1,
                fallback: 0,
            },
            None => {
                let incarnation = self.setup.outbox.borrow().incarnation();
                BackendListVersion::fallback_of(former.unwrap_or_default(), incarnation)
            }
        };
        let backend_list = Arc::new(BackendList { version, entries });
        self.apply_backend_list(backend_list, now);
        // The other relays usually hold the former version; a relay that does not is repaired after
        // its next reports.
        if let Some(update) = self.backend_list_history.update_since(former) {
            self.send_to_other_relays(SessionMessage::BackendList(update));
        }
    }

    /// Applies a back-end list update from the leader.
    pub fn backend_list_update(&mut self, cx: CX![], update: BackendListUpdate) {
        let now = self.now(cx);
        if !self.accepts_version(update.version, now) {
            return;
        }
        let held = self.backend_list.as_ref();
        if let Some(held) = held.filter(|held| held.backend_list.version == update.version) {
            self.apply_backend_list(held.backend_list.clone(), now);
            return;
        }
        match update.apply_to(held.map(|held| &*held.backend_list)) {
            Ok(backend_list) => self.apply_backend_list(Arc::new(backend_list), now),
            // The next reports carry the version held here, so that the leader repairs it.
            Err(error) => log::info!(event = "listing_update_refused"; "{error}"),
        }
    }

    /// Whether `version` is at least the one held, or the held list has expired.
    fn accepts_version(&self, version: BackendListVersion, now: Millis) -> bool {
        let held = self.backend_list.as_ref();
        let lease = self.setup.backend_list_lease;
        held.is_none_or(|held| !held.is_current(lease, now) || held.backend_list.version <= version)
    }

    /// Stores a back-end list that is not older, and pushes it to the nodes if it is newer.
    fn apply_backend_list(&mut self, backend_list: SharedBackendList, now: Millis) {
        if !self.accepts_version(backend_list.version, now) {
            return;
        }
        let held_version = self
            .backend_list
            .as_ref()
            .map(|held| held.backend_list.version);
        let is_new = held_version != Some(backend_list.version);
        self.backend_list = Some(HeldBackendList {
            backend_list: backend_list.clone(),
            confirmed_at: now,
        });
        if !is_new {
            return;
        }
        self.backends_by_zone = count_backends_by_zone(&backend_list.entries);
        self.backend_list_history.set_latest(backend_list);
        self.push_backend_list(now);
    }

    /// Pushes list changes to all nodes. Each change is sent to a node once; a node that misses it
    /// gets it with its next heartbeat.
    fn push_backend_list(&mut self, now: Millis) {
        let mut outbox = self.setup.outbox.borrow_mut();
        for (node, session) in &mut self.sessions {
            if now.saturating_sub(session.last_heartbeat_at) > SESSION_TIMEOUT {
                continue;
            }
            let update = self.backend_list_history.update_since(session.backend_list);
            let large_updates = &mut session.large_updates;
            let update = update.filter(|update| {
                large_updates.try_start_send(UpdateKind::BackendList, update.size(), now)
            });
            if let Some(update) = update {
                session.backend_list = Some(update.version);
                outbox.send(
                    node,
                    PeerMessage::Session(SessionMessage::BackendList(update)),
                );
            }
        }
    }

    /// Sends a relay the list changes that it lacks, if this replica leads. A relay that holds a
    /// list from a fallback reader accepts the leader's once its own has expired.
    pub(super) fn repair_backend_list(
        &mut self,
        relay: &NodeName,
        held: Option<BackendListVersion>,
        now: Millis,
    ) {
        let repaired_at = self.backend_list_repaired_at.get(relay).copied();
        let was_repaired =
            repaired_at.is_some_and(|at| now.saturating_sub(at) < BACKEND_LIST_REPAIR_INTERVAL);
        if self.membership_table.is_none() || was_repaired {
            return;
        }
        let Some(update) = self.backend_list_history.update_since(held) else {
            return;
        };
        self.backend_list_repaired_at.insert(relay.clone(), now);
        let message = PeerMessage::Session(SessionMessage::BackendList(update));
        self.setup.outbox.borrow_mut().send(relay, message);
    }

    /// Extends the lease of the held list after the leader has read the same entries again.
    pub fn backend_list_confirmed(&mut self, cx: CX![], version: BackendListVersion) {
        let now = self.now(cx);
        if let Some(held) = &mut self.backend_list {
            if held.backend_list.version == version {
                held.confirmed_at = now;
            }
        }
    }
}

/// Counts the back ends that are not draining, by service and zone.
fn count_backends_by_zone(entries: &BackendListEntries) -> BTreeMap<String, BackendsByZone> {
    let mut backends_by_zone: BTreeMap<String, BackendsByZone> = BTreeMap::new();
    for entry in entries.iter().filter(|entry| !entry.draining) {
        let zones = backends_by_zone.entry(entry.service.clone()).or_default();
        *zones.entry(entry.zone.clone()).or_default() += 1;
    }
    backends_by_zone
}
