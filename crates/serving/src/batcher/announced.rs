//! Orders to come: requests under way whose phases before are not done yet. Without
//! them, a burst would be seen only when it reaches the last phase, and too much be
//! admitted until then.

use super::OrderKey;
use crate::Millis;
use silversail_model::Shard;
use silversail_peer::PRIORITY_LEVELS;
use std::collections::BTreeMap;

/// How long an announced order counts, in milliseconds, if nothing more is heard
/// of it.
const ANNOUNCED_FOR: Millis = 4_000;

/// An order to come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnnouncedOrder {
    /// The back ends that will make it.
    pub shard: Shard,
    /// How many pieces it will have.
    pub pieces: usize,
    /// Rank of the request.
    pub priority: u8,
}

/// All orders to come.
#[derive(Default)]
pub(super) struct AnnouncedOrders {
    orders: BTreeMap<OrderKey, (AnnouncedOrder, Millis)>,
}

impl AnnouncedOrders {
    pub(super) fn add(&mut self, key: OrderKey, order: AnnouncedOrder, now: Millis) {
        self.orders.insert(key, (order, now + ANNOUNCED_FOR));
    }

    /// Forgets an order: it came, or it will not.
    pub(super) fn remove(&mut self, key: &OrderKey) {
        self.orders.remove(key);
    }

    /// Forgets the orders that `is_theirs` holds for.
    pub(super) fn forget(&mut self, is_theirs: impl Fn(&OrderKey) -> bool) {
        self.orders.retain(|key, _| !is_theirs(key));
    }

    /// Pieces to come of a shard, by the rank of their requests.
    pub(super) fn pieces_by_rank(&self, shard: &Shard, now: Millis) -> [usize; PRIORITY_LEVELS] {
        let mut pieces = [0; PRIORITY_LEVELS];
        for (order, until) in self.orders.values() {
            if order.shard == *shard && *until > now {
                pieces[usize::from(order.priority).min(PRIORITY_LEVELS - 1)] += order.pieces;
            }
        }
        pieces
    }

    /// Forgets orders whose time is over.
    pub(super) fn expire(&mut self, now: Millis) {
        self.orders.retain(|_, (_, until)| *until > now);
    }
}
