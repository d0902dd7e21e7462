//! The relay's part in the list of back ends: one node reads it for all, and relays pass
//! it on to their nodes.

use crate::session::large_updates::UpdateKind;
use crate::session::relay::SESSION_SILENCE;
use crate::session::{ListingLease, RelayActor};
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

/// How often at most the leader tells a relay that reports another listing what it lacks, in
/// milliseconds: reports come each 100, and what was told may be on its way.
const REPAIR_LISTING_EVERY: Millis = 500;

/// The newest listing and when the same was last read.
pub(super) struct HeldListing {
    pub(super) listing: SharedBackendList,
    pub(super) confirmed_at: Millis,
}

impl HeldListing {
    /// Whether it was read lately. One that is not gives way also to an older version:
    /// the leader's does not count up with what another node read in its place.
    fn is_current(&self, lease: ListingLease, now: Millis) -> bool {
        now.saturating_sub(self.confirmed_at) <= lease.0
    }
}

impl RelayActor {
    /// This node read the list of back ends: that is news for all. The leader counts
    /// versions in its term; another node that reads in its place gives a version that
    /// comes after the leader's last and before its next.
    pub fn list_read(&mut self, cx: CX![], entries: Vec<BackendListEntry>) {
        let now = self.now(cx);
        let term = self.table.as_ref().map(|(term, _)| *term);
        let held_entries = self.listing.as_ref().map(|held| &held.listing.entries);
        let entries = held_entries.cloned().unwrap_or_default().with_read(entries);
        // A leader of another term gives its list a version of its own: a relay that read in
        // its place holds other entries, which a confirmation would not replace.
        let held = self.listing.as_mut().filter(|held| {
            let is_of_term = term.is_none_or(|term| held.listing.version.term == term);
            held.listing.entries == entries && is_of_term
        });
        if let Some(held) = held {
            held.confirmed_at = now;
            let message = SessionMessage::BackendListConfirmed(held.listing.version);
            self.tell_relays(message);
            return;
        }
        let former = self.listing.as_ref().map(|held| held.listing.version);
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
        let listing = Arc::new(BackendList { version, entries });
        self.take_listing(listing, now);
        // The other relays hold what this one held before, as a rule; one that does not shows
        // so with its next reports.
        if let Some(update) = self.listings.update_since(former) {
            self.tell_relays(SessionMessage::BackendList(update));
        }
    }

    /// What changed of the leader's listing.
    pub fn listing(&mut self, cx: CX![], update: BackendListUpdate) {
        let now = self.now(cx);
        if !self.wants_listing(update.version, now) {
            return;
        }
        let held = self.listing.as_ref();
        if let Some(held) = held.filter(|held| held.listing.version == update.version) {
            self.take_listing(held.listing.clone(), now);
            return;
        }
        match update.apply_to(held.map(|held| &*held.listing)) {
            Ok(listing) => self.take_listing(Arc::new(listing), now),
            // The next reports tell the leader what is held here.
            Err(error) => log::info!(event = "listing_update_refused"; "{error}"),
        }
    }

    /// Whether a listing of this version is not older than the one held.
    fn wants_listing(&self, version: BackendListVersion, now: Millis) -> bool {
        let held = self.listing.as_ref();
        let lease = self.setup.listing_lease;
        held.is_none_or(|held| !held.is_current(lease, now) || held.listing.version <= version)
    }

    /// Takes a listing that is not older, and tells it to the nodes if it is newer.
    fn take_listing(&mut self, listing: SharedBackendList, now: Millis) {
        if !self.wants_listing(listing.version, now) {
            return;
        }
        let known = self.listing.as_ref().map(|held| held.listing.version);
        let is_new = known != Some(listing.version);
        self.listing = Some(HeldListing {
            listing: listing.clone(),
            confirmed_at: now,
        });
        if !is_new {
            return;
        }
        self.makers = makers_by_zone(&listing.entries);
        self.listings.set_latest(listing);
        self.push_listing(now);
    }

    /// Tells all nodes what they lack of the listing. Each change is sent to a node once; one
    /// that missed it shows so with its next heartbeat.
    fn push_listing(&mut self, now: Millis) {
        let mut outbox = self.setup.outbox.borrow_mut();
        for (node, session) in &mut self.sessions {
            if now.saturating_sub(session.heard_at) > SESSION_SILENCE {
                continue;
            }
            let update = self.listings.update_since(session.listing);
            let large = &mut session.large_updates;
            let update = update.filter(|one| large.may_send(UpdateKind::Listing, one.size(), now));
            if let Some(update) = update {
                session.listing = Some(update.version);
                outbox.send(
                    node,
                    PeerMessage::Session(SessionMessage::BackendList(update)),
                );
            }
        }
    }

    /// A relay reported which listing it holds: on the leader, it is told what it lacks. A
    /// relay that holds what another node read in the leader's place takes the leader's once
    /// its own is not confirmed any more.
    pub(super) fn repair_listing(
        &mut self,
        relay: &NodeName,
        held: Option<BackendListVersion>,
        now: Millis,
    ) {
        let told_at = self.told_listing_at.get(relay).copied();
        let was_told = told_at.is_some_and(|at| now.saturating_sub(at) < REPAIR_LISTING_EVERY);
        if self.table.is_none() || was_told {
            return;
        }
        let Some(update) = self.listings.update_since(held) else {
            return;
        };
        self.told_listing_at.insert(relay.clone(), now);
        let message = PeerMessage::Session(SessionMessage::BackendList(update));
        self.setup.outbox.borrow_mut().send(relay, message);
    }

    /// The leader read the list again and found it unchanged.
    pub fn listing_confirmed(&mut self, cx: CX![], version: BackendListVersion) {
        let now = self.now(cx);
        if let Some(held) = &mut self.listing {
            if held.listing.version == version {
                held.confirmed_at = now;
            }
        }
    }
}

/// Counts the back ends that are not leaving, by service and zone.
fn makers_by_zone(entries: &BackendListEntries) -> BTreeMap<String, BackendsByZone> {
    let mut makers: BTreeMap<String, BackendsByZone> = BTreeMap::new();
    for entry in entries.iter().filter(|entry| !entry.draining) {
        let of_service = makers.entry(entry.service.clone()).or_default();
        *of_service.entry(entry.zone.clone()).or_default() += 1;
    }
    makers
}
