//! Orders that can't be placed yet because this process, or the cluster, has just
//! started: their service has no batching node, or this one does not know the makers.

use silversail_consensus::Millis;
use silversail_peer::PhaseWork;

/// How long an order waits for a batching node or for makers, in milliseconds. After a
/// restart of all nodes services are assigned 300 ms after a leader is elected.
const WAITS_FOR: Millis = 500;

struct WaitingOrder<K> {
    key: K,
    phase: PhaseWork,
    since: Millis,
}

/// Orders that wait, each with its key.
pub struct WaitingOrders<K> {
    orders: Vec<WaitingOrder<K>>,
}

impl<K> Default for WaitingOrders<K> {
    fn default() -> Self {
        Self { orders: Vec::new() }
    }
}

impl<K: PartialEq> WaitingOrders<K> {
    /// Lets an order wait; one that is given again is still the same order.
    pub fn add(&mut self, key: K, phase: PhaseWork, now: Millis) {
        if self.orders.iter().all(|order| order.key != key) {
            let since = now;
            self.orders.push(WaitingOrder { key, phase, since });
        }
    }

    /// Forgets an order. True when it waited.
    pub fn remove(&mut self, key: &K) -> bool {
        let before = self.orders.len();
        self.orders.retain(|order| order.key != *key);
        self.orders.len() != before
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.orders.is_empty()
    }

    /// Takes the orders that can be placed now, and those that waited long
    /// enough. Their times are those that remain at `now`.
    pub fn take_due(
        &mut self,
        can_be_placed: impl Fn(&PhaseWork) -> bool,
        now: Millis,
    ) -> Vec<(K, PhaseWork)> {
        let (due, waiting) = std::mem::take(&mut self.orders)
            .into_iter()
            .partition(|order| {
                let is_over = now.saturating_sub(order.since) >= WAITS_FOR;
                is_over || can_be_placed(&order.phase)
            });
        self.orders = waiting;
        let due: Vec<WaitingOrder<K>> = due;
        due.into_iter()
            .map(|order| {
                let waited = now.saturating_sub(order.since);
                let mut phase = order.phase;
                phase.target_remaining_ms = phase.target_remaining_ms.saturating_sub(waited);
                phase.remaining_ms = phase.remaining_ms.saturating_sub(waited);
                (order.key, phase)
            })
            .collect()
    }
}
