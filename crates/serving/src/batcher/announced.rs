//! Announced orders: later phases of admitted requests whose earlier phases still run. Counting
//! them keeps a burst from being over-admitted before it reaches the last phase.

use super::OrderKey;
use crate::Millis;
use silversail_model::Shard;
use silversail_peer::PRIORITY_LEVELS;
use std::collections::BTreeMap;

/// How long an announced order counts without further news of it, in milliseconds.
const ANNOUNCED_FOR: Millis = 4_000;

/// An order that will be submitted once earlier phases are done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnnouncedOrder {
    /// The shard that will process it.
    pub shard: Shard,
    /// Number of pieces.
    pub pieces: usize,
    /// Priority of the request; 0 is the most urgent.
    pub priority: u8,
}

/// The announced orders with their expiry times.
#[derive(Default)]
pub(super) struct AnnouncedOrders {
    orders: BTreeMap<OrderKey, (AnnouncedOrder, Millis)>,
}

impl AnnouncedOrders {
    pub(super) fn add(&mut self, key: OrderKey, order: AnnouncedOrder, now: Millis) {
        self.orders.insert(key, (order, now + ANNOUNCED_FOR));
    }

    /// Removes an order that was submitted or cancelled.
    pub(super) fn remove(&mut self, key: &OrderKey) {
        self.orders.remove(key);
    }

    /// Removes the orders whose key matches.
    pub(super) fn forget(&mut self, matches: impl Fn(&OrderKey) -> bool) {
        self.orders.retain(|key, _| !matches(key));
    }

    /// Announced pieces of a shard by priority.
    pub(super) fn pieces_by_priority(
        &self,
        shard: &Shard,
        now: Millis,
    ) -> [usize; PRIORITY_LEVELS] {
        let mut pieces = [0; PRIORITY_LEVELS];
        for (order, until) in self.orders.values() {
            if order.shard == *shard && *until > now {
                pieces[usize::from(order.priority).min(PRIORITY_LEVELS - 1)] += order.pieces;
            }
        }
        pieces
    }

    /// Removes expired orders.
    pub(super) fn expire(&mut self, now: Millis) {
        self.orders.retain(|_, (_, until)| *until > now);
    }
}
