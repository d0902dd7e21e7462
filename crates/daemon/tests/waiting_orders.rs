//! Orders that wait for a shard owner or for back ends after a start.

use rstest::rstest;
use silversail_daemon::gateway::waiting_orders::WaitingOrders;
use silversail_model::topology::RegionFilter;
use silversail_model::{RequestFingerprint, Shard};
use silversail_peer::PhaseWork;

fn order(service: &str) -> PhaseWork {
    PhaseWork {
        shard: Shard::whole_service(service),
        pieces: Vec::new(),
        fingerprint: RequestFingerprint::default(),
        priority: 1,
        zone: String::new(),
        moved_bytes: 0,
        regions: RegionFilter::any(),
        target_remaining_ms: 200,
        remaining_ms: 2_000,
    }
}

/// Keys of the orders that are due at `now`.
fn take_due_keys(orders: &mut WaitingOrders<u64>, can_be_placed: bool, now: u64) -> Vec<u64> {
    let due = orders.take_due(|_| can_be_placed, now);
    due.into_iter().map(|(key, _)| key).collect()
}

/// Guards against a restarted owner that fails all orders for lack of back ends.
#[test]
fn an_order_waits_until_its_service_can_be_placed() {
    let mut orders = WaitingOrders::default();
    orders.add(1, order("s"), 1_000);
    assert!(take_due_keys(&mut orders, false, 1_100).is_empty());
    assert_eq!(take_due_keys(&mut orders, true, 1_150), [1]);
    assert!(orders.is_empty());
}

#[test]
fn the_wait_of_an_order_is_limited() {
    let mut orders = WaitingOrders::default();
    orders.add(1, order("s"), 1_000);
    assert!(take_due_keys(&mut orders, false, 1_499).is_empty());
    assert_eq!(take_due_keys(&mut orders, false, 1_500), [1]);
}

#[test]
fn the_wait_is_deducted_from_the_remaining_times() {
    let mut orders = WaitingOrders::default();
    orders.add(1, order("s"), 1_000);
    let (_, phase) = orders.take_due(|_| true, 1_300).remove(0);
    assert_eq!((phase.target_remaining_ms, phase.remaining_ms), (0, 1_700));
}

#[test]
fn only_orders_that_can_be_placed_are_taken() {
    let mut orders = WaitingOrders::default();
    orders.add(1, order("a"), 0);
    orders.add(2, order("b"), 0);
    let due_orders = orders.take_due(|phase| phase.shard.service == "b", 100);
    assert_eq!(due_orders.len(), 1);
    assert_eq!(due_orders[0].0, 2);
}

#[rstest]
#[case::once(1)]
#[case::resubmitted(3)]
fn a_resubmitted_order_waits_only_once_and_can_be_removed(#[case] times: usize) {
    let mut orders = WaitingOrders::default();
    for _ in 0..times {
        orders.add(7, order("s"), 0);
    }
    assert!(orders.remove(&7));
    assert!(!orders.remove(&7));
}
