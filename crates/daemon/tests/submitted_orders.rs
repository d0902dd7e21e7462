//! Orders that are submitted to several shard owners in turn.

use silversail_daemon::gateway::submitted_orders::{OrderAnswer, SubmittedOrders};
use silversail_model::topology::RegionFilter;
use silversail_model::{NodeName, RequestFingerprint, Shard};
use silversail_peer::PhaseWork;

fn order() -> PhaseWork {
    PhaseWork {
        shard: Shard::whole_service("s"),
        pieces: Vec::new(),
        fingerprint: RequestFingerprint::default(),
        priority: 1,
        zone: String::new(),
        moved_bytes: 0,
        regions: RegionFilter::any(),
        target_remaining_ms: 500,
        remaining_ms: 4_000,
    }
}

fn node(name: &str) -> NodeName {
    name.into()
}

/// An order that was submitted to `n1`, and then to `n2`.
fn order_resubmitted_to_n2() -> SubmittedOrders {
    let mut orders = SubmittedOrders::default();
    orders.record_submission(1, node("n1"), order(), 0);
    let placement = Some((Shard::whole_service("s"), node("n2")));
    let resubmitted = orders
        .resubmit(1, placement, 1_000)
        .expect("order is pending");
    assert_eq!((resubmitted.0, resubmitted.1), (node("n1"), node("n2")));
    assert_eq!(
        (
            resubmitted.2.target_remaining_ms,
            resubmitted.2.remaining_ms
        ),
        (0, 3_000)
    );
    orders
}

/// Guards against a phase that fails, and cancels its order, on a failure of a former owner.
#[test]
fn a_failure_at_a_former_owner_does_not_end_the_order() {
    let mut orders = order_resubmitted_to_n2();
    assert_eq!(
        orders.record_answer(1, &node("n1"), false),
        OrderAnswer::FailedByFormerOwner
    );
    assert!(!orders.is_empty());
    assert_eq!(
        orders.record_answer(1, &node("n2"), true),
        OrderAnswer::Completed
    );
    assert!(orders.is_empty());
}

#[test]
fn a_result_of_a_former_owner_completes_the_order_and_names_the_current_owner() {
    let mut orders = order_resubmitted_to_n2();
    let current_owner = node("n2");
    assert_eq!(
        orders.record_answer(1, &node("n1"), true),
        OrderAnswer::CompletedByFormerOwner { current_owner }
    );
    assert_eq!(
        orders.record_answer(1, &node("n2"), true),
        OrderAnswer::Unknown
    );
}

#[test]
fn a_failure_at_the_current_owner_ends_the_order() {
    let mut orders = order_resubmitted_to_n2();
    assert_eq!(
        orders.record_answer(1, &node("n2"), false),
        OrderAnswer::Completed
    );
    assert_eq!(
        orders.record_answer(1, &node("n1"), false),
        OrderAnswer::Unknown
    );
}

#[test]
fn an_order_keeps_its_owner_if_the_service_has_no_other() {
    let mut orders = SubmittedOrders::default();
    orders.record_submission(1, node("n1"), order(), 0);
    let resubmitted = orders.resubmit(1, None, 1_000).expect("order is pending");
    assert_eq!((resubmitted.0, resubmitted.1), (node("n1"), node("n1")));
}

/// Nodes may disagree on which zones are evacuated, so that the number of moves is bounded.
#[test]
fn an_order_moves_to_other_zone_shards_a_limited_number_of_times() {
    let mut orders = SubmittedOrders::default();
    let shard = |zone: &str| Shard::in_zone("s", zone);
    let phase = PhaseWork {
        shard: shard("a"),
        ..order()
    };
    orders.record_submission(1, node("n1"), phase, 0);
    for zone in ["b", "c"] {
        assert!(orders.movable_phase(1, 100).is_some());
        let moved = orders.move_to(1, (shard(zone), node("n2")), 100);
        let (owner, phase) = moved.expect("order is pending");
        assert_eq!((owner, phase.shard), (node("n2"), shard(zone)));
    }
    assert!(orders.movable_phase(1, 100).is_none());
    assert!(orders.is_assigned_to(1, &node("n2")));
}

#[test]
fn an_order_of_a_whole_service_does_not_move() {
    let mut orders = SubmittedOrders::default();
    orders.record_submission(1, node("n1"), order(), 0);
    assert!(orders.movable_phase(1, 100).is_none());
}

/// Two nodes that reach no back end must not send an order to each other without end.
#[test]
fn an_order_goes_to_another_owner_of_its_shard_a_bounded_number_of_times() {
    let mut orders = SubmittedOrders::default();
    orders.record_submission(1, node("n1"), order(), 0);
    for owner in ["n2", "n1"] {
        let phase = orders.reassignable_phase(1, 100).expect("may go on");
        let moved = orders.move_to(1, (phase.shard, node(owner)), 100);
        assert_eq!(moved.expect("order is pending").0, node(owner));
    }
    assert!(orders.reassignable_phase(1, 100).is_none());
}
