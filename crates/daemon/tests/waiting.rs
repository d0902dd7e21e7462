//! Orders that wait for a batching node, or for the makers, after a start.

use rstest::rstest;
use silversail_daemon::gateway::waiting::WaitingOrders;
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

/// Keys of the orders that are due at `now`, where services can be placed or not.
fn due(orders: &mut WaitingOrders<u64>, can_be_placed: bool, now: u64) -> Vec<u64> {
    let due = orders.take_due(|_| can_be_placed, now);
    due.into_iter().map(|(key, _)| key).collect()
}

/// An owner that has just restarted used to answer "no back end" to all orders.
#[test]
fn an_order_waits_until_its_service_can_be_placed() {
    let mut orders = WaitingOrders::default();
    orders.add(1, order("s"), 1_000);
    assert!(due(&mut orders, false, 1_100).is_empty());
    assert_eq!(due(&mut orders, true, 1_150), [1]);
    assert!(orders.is_empty());
}

#[test]
fn an_order_does_not_wait_for_ever() {
    let mut orders = WaitingOrders::default();
    orders.add(1, order("s"), 1_000);
    assert!(due(&mut orders, false, 1_499).is_empty());
    assert_eq!(due(&mut orders, false, 1_500), [1]);
}

#[test]
fn the_time_that_an_order_waited_is_taken_off() {
    let mut orders = WaitingOrders::default();
    orders.add(1, order("s"), 1_000);
    let (_, placed) = orders.take_due(|_| true, 1_300).remove(0);
    assert_eq!(
        (placed.target_remaining_ms, placed.remaining_ms),
        (0, 1_700)
    );
}

#[test]
fn only_orders_of_a_service_that_can_be_placed_leave() {
    let mut orders = WaitingOrders::default();
    orders.add(1, order("a"), 0);
    orders.add(2, order("b"), 0);
    let placed = orders.take_due(|phase| phase.shard.service == "b", 100);
    assert_eq!(placed.len(), 1);
    assert_eq!(placed[0].0, 2);
}

#[rstest]
#[case::once(1)]
#[case::given_again(3)]
fn an_order_waits_once_and_can_be_cancelled(#[case] times: usize) {
    let mut orders = WaitingOrders::default();
    for _ in 0..times {
        orders.add(7, order("s"), 0);
    }
    assert!(orders.remove(&7));
    assert!(!orders.remove(&7));
}
