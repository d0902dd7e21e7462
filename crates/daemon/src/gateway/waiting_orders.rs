//! Orders that cannot be placed right after a start, because their service has no shard owner yet
//! or this node does not know its back ends.

use silversail_consensus::Millis;
use silversail_peer::PhaseWork;

/// Maximum wait for a shard owner or for back ends, in milliseconds. Owners are assigned about
/// 300 ms after a leader election.
const MAX_WAIT: Millis = 500;

struct WaitingOrder<K> {
    key: K,
    phase: PhaseWork,
    waiting_since: Millis,
}

/// Waiting orders by key.
pub struct WaitingOrders<K> {
    orders: Vec<WaitingOrder<K>>,
}

impl<K> Default for WaitingOrders<K> {
    fn default() -> Self {
        Self { orders: Vec::new() }
    }
}

impl<K: PartialEq> WaitingOrders<K> {
    /// Adds an order. A resubmitted order with a known key keeps its entry.
    pub fn add(&mut self, key: K, phase: PhaseWork, now: Millis) {
        if self.orders.iter().all(|order| order.key != key) {
            let waiting_since = now;
            self.orders.push(WaitingOrder {
                key,
                phase,
                waiting_since,
            });
        }
    }

    /// Removes an order. Returns `true` if it was waiting.
    pub fn remove(&mut self, key: &K) -> bool {
        let before = self.orders.len();
        self.orders.retain(|order| order.key != *key);
        self.orders.len() != before
    }

    /// Whether no order is waiting.
    pub fn is_empty(&self) -> bool {
        self.orders.is_empty()
    }

    /// Removes the orders that can be placed and those whose wait has expired. The wait is
    /// deducted from their remaining times.
    pub fn take_due(
        &mut self,
        can_be_placed: impl Fn(&PhaseWork) -> bool,
        now: Millis,
    ) -> Vec<(K, PhaseWork)> {
        let (due, waiting) = std::mem::take(&mut self.orders)
            .into_iter()
            .partition(|order| {
                let has_expired = now.saturating_sub(order.waiting_since) >= MAX_WAIT;
                has_expired || can_be_placed(&order.phase)
            });
        self.orders = waiting;
        let due: Vec<WaitingOrder<K>> = due;
        due.into_iter()
            .map(|order| {
                let waited = now.saturating_sub(order.waiting_since);
                let mut phase = order.phase;
                phase.target_remaining_ms = phase.target_remaining_ms.saturating_sub(waited);
                phase.remaining_ms = phase.remaining_ms.saturating_sub(waited);
                (order.key, phase)
            })
            .collect()
    }
}
