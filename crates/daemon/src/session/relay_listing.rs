//! The relay's part in the list of back ends: one node reads it for all, and relays pass
//! it on to their nodes.

use crate::session::{RelayActor, LISTING_LEASE};
use silversail_consensus::Millis;
use silversail_control::batch_owners::MakersByZone;
use silversail_peer::{ListedInstance, Listing, ListingVersion, SessionMessage, SharedListing};
use stakker::CX;
use std::collections::BTreeMap;
use std::sync::Arc;

/// A leader sends an unchanged listing whole once in so many reads, for relays that
/// missed it.
const READS_PER_WHOLE_LISTING: u32 = 10;

/// The newest listing and when the same was last read.
pub(super) struct HeldListing {
    pub(super) listing: SharedListing,
    pub(super) confirmed_at: Millis,
}

impl HeldListing {
    /// Whether it was read lately. One that is not gives way also to an older version:
    /// the leader's does not count up with what another node read in its place.
    fn is_current(&self, now: Millis) -> bool {
        now.saturating_sub(self.confirmed_at) <= LISTING_LEASE
    }
}

impl RelayActor {
    /// This node read the list of back ends: that is news for all. The leader counts
    /// versions in its term; another node that reads in its place gives a version that
    /// comes after the leader's last and before its next.
    pub fn list_read(&mut self, cx: CX![], entries: Vec<ListedInstance>) {
        let now = self.now(cx);
        let term = self.table.as_ref().map(|(term, _)| *term);
        // A leader of another term tells its list whole: a relay that read in its place
        // holds other entries, which a confirmation would not replace.
        let held = self.listing.as_mut().filter(|held| {
            let is_of_term = term.is_none_or(|term| held.listing.version.term == term);
            held.listing.entries == entries && is_of_term
        });
        if let Some(held) = held {
            held.confirmed_at = now;
            self.unchanged_reads += 1;
            let message = match self.unchanged_reads.is_multiple_of(READS_PER_WHOLE_LISTING) {
                true => SessionMessage::Listing(held.listing.clone()),
                false => SessionMessage::ListingConfirmed(held.listing.version),
            };
            self.tell_relays(message);
            return;
        }
        let former = self.listing.as_ref().map(|held| held.listing.version);
        let former = former.unwrap_or_default();
        let version = match term {
            Some(term) => ListingVersion {
                term,
                sequence: former.sequence + 1,
                substitute: 0,
            },
            None => {
                let incarnation = self.setup.outbox.borrow().incarnation();
                ListingVersion::substitute_of(former, incarnation)
            }
        };
        let listing = Arc::new(Listing { version, entries });
        self.unchanged_reads = 0;
        self.tell_relays(SessionMessage::Listing(listing.clone()));
        self.take_listing(listing, now);
    }

    /// The leader's listing.
    pub fn listing(&mut self, cx: CX![], listing: SharedListing) {
        let now = self.now(cx);
        self.take_listing(listing, now);
    }

    /// Takes a listing that is not older, and tells it to the nodes if it is newer.
    fn take_listing(&mut self, listing: SharedListing, now: Millis) {
        let known = self.listing.as_ref();
        let is_current = known.is_some_and(|held| held.is_current(now));
        let known = known.map(|held| held.listing.version);
        if is_current && known > Some(listing.version) {
            return;
        }
        let is_new = known != Some(listing.version);
        self.listing = Some(HeldListing {
            listing: listing.clone(),
            confirmed_at: now,
        });
        if !is_new {
            return;
        }
        self.makers = makers_by_zone(&listing.entries);
        self.tell_nodes(SessionMessage::Listing(listing), now);
    }

    /// The leader read the list again and found it unchanged.
    pub fn listing_confirmed(&mut self, cx: CX![], version: ListingVersion) {
        let now = self.now(cx);
        if let Some(held) = &mut self.listing {
            if held.listing.version == version {
                held.confirmed_at = now;
            }
        }
    }
}

/// Counts the back ends that are not leaving, by service and zone.
fn makers_by_zone(entries: &[ListedInstance]) -> BTreeMap<String, MakersByZone> {
    let mut makers: BTreeMap<String, MakersByZone> = BTreeMap::new();
    for entry in entries.iter().filter(|entry| !entry.draining) {
        let of_service = makers.entry(entry.service.clone()).or_default();
        *of_service.entry(entry.zone.clone()).or_default() += 1;
    }
    makers
}
