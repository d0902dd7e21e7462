//! Orders that were given to more than one batching node, one after the other.

use silversail_daemon::gateway::works::{Answered, Works};
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

/// An order that was given to `n1`, and then to `n2`.
fn given_again() -> Works {
    let mut works = Works::default();
    works.submitted(1, node("n1"), order(), 0);
    let placed = Some((Shard::whole_service("s"), node("n2")));
    let renewed = works.renew(1, placed, 1_000).expect("under way");
    assert_eq!((renewed.0, renewed.1), (node("n1"), node("n2")));
    assert_eq!(
        (renewed.2.target_remaining_ms, renewed.2.remaining_ms),
        (0, 3_000)
    );
    works
}

/// Before, such a failure ended the phase, and the present owner's order was cancelled.
#[test]
fn a_failure_that_a_former_owner_tells_does_not_end_the_order() {
    let mut works = given_again();
    assert_eq!(
        works.answered(1, &node("n1"), false),
        Answered::FailedElsewhere
    );
    assert!(!works.is_empty());
    assert_eq!(works.answered(1, &node("n2"), true), Answered::Ended);
    assert!(works.is_empty());
}

#[test]
fn a_result_that_a_former_owner_tells_counts_and_the_present_one_is_told() {
    let mut works = given_again();
    let present = node("n2");
    assert_eq!(
        works.answered(1, &node("n1"), true),
        Answered::MadeElsewhere { present }
    );
    assert_eq!(works.answered(1, &node("n2"), true), Answered::Unknown);
}

#[test]
fn a_failure_that_the_present_owner_tells_ends_the_order() {
    let mut works = given_again();
    assert_eq!(works.answered(1, &node("n2"), false), Answered::Ended);
    assert_eq!(works.answered(1, &node("n1"), false), Answered::Unknown);
}

#[test]
fn an_order_without_a_node_that_batches_its_service_stays_where_it_is() {
    let mut works = Works::default();
    works.submitted(1, node("n1"), order(), 0);
    let renewed = works.renew(1, None, 1_000).expect("under way");
    assert_eq!((renewed.0, renewed.1), (node("n1"), node("n1")));
}

/// The makers of the order's zone may get no work any more: it goes to another zone's, a
/// bounded number of times, as nodes may differ in which zones are evacuated.
#[test]
fn an_order_of_a_zone_without_makers_moves_a_few_times() {
    let mut works = Works::default();
    let shard = |zone: &str| Shard::in_zone("s", zone);
    let phase = PhaseWork {
        shard: shard("a"),
        ..order()
    };
    works.submitted(1, node("n1"), phase, 0);
    for zone in ["b", "c"] {
        assert!(works.movable_phase(1, 100).is_some());
        let moved = works.moved(1, (shard(zone), node("n2")), 100);
        let (owner, phase) = moved.expect("under way");
        assert_eq!((owner, phase.shard), (node("n2"), shard(zone)));
    }
    assert!(works.movable_phase(1, 100).is_none());
    assert!(works.is_owed_by(1, &node("n2")));
}

/// A whole service's order has nowhere else to go.
#[test]
fn an_order_of_a_whole_service_does_not_move() {
    let mut works = Works::default();
    works.submitted(1, node("n1"), order(), 0);
    assert!(works.movable_phase(1, 100).is_none());
}
