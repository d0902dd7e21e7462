//! Tests of requests that only some regions may serve, in routing, dispatch and batching.

mod common;

use common::batches::{batcher, key, table, work};
use common::{call, call_of, in_regions, instances, only, traffic, LIMITS};
use rstest::rstest;
use silversail_decisions::DecisionLog;
use silversail_model::topology::RegionFilter;
use silversail_model::traffic::{hash_key, TenantKeys};
use silversail_model::{ResultCode, Shard, TrafficConfiguration};
use silversail_peer::{PhaseWork, PieceFailure};
use silversail_serving::batcher::{Batcher, CallOutcome};
use silversail_serving::dispatcher::{Action, Dispatcher, NotRunReason, SendOutcome};
use silversail_serving::policy::Policy;
use silversail_serving::routes::RouteTable;
use std::collections::BTreeSet;

/// Zone `a` is in region `north`, zone `b` in region `south`.
const ZONES: [(&str, &str); 2] = [("a", "north"), ("b", "south")];
const UNREACHABLE: SendOutcome = SendOutcome::NotRun(NotRunReason::Unreachable);

fn set(regions: &[&str]) -> BTreeSet<String> {
    regions.iter().map(|region| (*region).to_owned()).collect()
}

/// A configuration whose routes are restricted to `regions`; none for no restriction.
fn restricted(regions: Option<&[&str]>) -> TrafficConfiguration {
    let mut traffic = traffic();
    for route in &mut traffic.routes {
        route.allowed_regions = regions.map(set);
    }
    traffic
}

/// A dispatcher in region `north`.
fn dispatcher(traffic: &TrafficConfiguration) -> Dispatcher {
    let topology = in_regions("a", &ZONES);
    let mut dispatcher = Dispatcher::new(
        topology,
        LIMITS,
        Policy::default(),
        1,
        DecisionLog::disabled(),
    );
    dispatcher.set_routes(RouteTable::new(traffic), 0);
    dispatcher.instances.replace_list(&instances());
    dispatcher
}

fn engine_of(actions: &[Action]) -> Option<&str> {
    actions.iter().find_map(|action| match action {
        Action::Send { plan, .. } => Some(plan.instance.as_str()),
        _ => None,
    })
}

fn code_of(actions: &[Action]) -> Option<ResultCode> {
    actions.iter().find_map(|action| match action {
        Action::Answer { refusal, .. } => Some(refusal.code),
        _ => None,
    })
}

fn phase_of(actions: &[Action]) -> Option<&PhaseWork> {
    actions.iter().find_map(|action| match action {
        Action::Submit { phase, .. } => Some(phase),
        _ => None,
    })
}

#[rstest]
#[case::none(None, None, &["north", "south", "east"])]
#[case::route(Some(&["north"][..]), None, &["north"])]
#[case::tenant(None, Some(&["south"][..]), &["south"])]
#[case::both(Some(&["north", "south"][..]), Some(&["south", "east"][..]), &["south"])]
#[case::nothing_in_common(Some(&["north"][..]), Some(&["south"][..]), &[])]
fn the_allowed_regions_are_the_intersection_of_route_and_tenant(
    #[case] route_regions: Option<&[&str]>,
    #[case] tenant_regions: Option<&[&str]>,
    #[case] expected: &[&str],
) {
    let mut traffic = restricted(route_regions);
    traffic.tenants = vec![TenantKeys {
        tenant: "t1".into(),
        key_hashes: vec![hash_key("secret")],
        priority: None,
        allowed_regions: tenant_regions.map(set),
    }];
    let mut request = call("r1");
    request.key = Some("secret".into());
    let routed = RouteTable::new(&traffic).route(&request).expect("routed");
    let allowed = ["north", "south", "east"];
    let allowed: Vec<&str> = allowed
        .into_iter()
        .filter(|region| routed.regions.allows(Some(region)))
        .collect();
    assert_eq!(allowed, expected);
}

#[test]
fn the_regions_of_a_host_are_the_union_over_its_routes() {
    let mut traffic = restricted(Some(&["north"]));
    traffic.routes[1].allowed_regions = Some(set(&["south"]));
    let regions = RouteTable::new(&traffic).allowed_regions_of_host("A.example:80");
    assert_eq!(regions, only(&["north", "south"]));
    traffic.routes[0].allowed_regions = None;
    let table = RouteTable::new(&traffic);
    assert_eq!(
        table.allowed_regions_of_host("a.example"),
        RegionFilter::any()
    );
    assert_eq!(table.allowed_regions_of_host("other"), RegionFilter::any());
}

/// Holds although nearer engines are idle, and when all allowed engines were tried.
#[test]
fn sends_and_retries_stay_in_the_allowed_region() {
    let mut dispatcher = dispatcher(&restricted(Some(&["south"])));
    let first = dispatcher.handle_request(1, call("r1"), 0);
    let first = engine_of(&first).expect("sent").to_owned();
    let second = dispatcher.send_ended(1, UNREACHABLE, None, 10);
    let second = engine_of(&second).expect("sent again").to_owned();
    assert_eq!(set(&[&first, &second]), set(&["e2", "e3"]));
    let third = dispatcher.send_ended(1, UNREACHABLE, None, 20);
    assert_eq!(engine_of(&third), None);
    assert_eq!(code_of(&third), Some(ResultCode::BackendRefused));
    assert_eq!(dispatcher.open_requests(), 0);
}

/// The rejection comes on arrival, before any phase runs.
#[rstest]
#[case::no_engine("/chat/x", &["e2", "e3"])]
#[case::no_batch_back_end("/staged/x", &["s2"])]
fn without_allowed_back_ends_a_request_is_rejected_on_arrival(
    #[case] path: &str,
    #[case] removed: &[&str],
) {
    let mut dispatcher = dispatcher(&restricted(Some(&["south"])));
    let mut listed = instances();
    listed.retain(|listed| !removed.contains(&listed.id.as_str()));
    dispatcher.instances.replace_list(&listed);
    let mut request = call_of("r1", path);
    request.pieces = vec![2, 2];
    let actions = dispatcher.handle_request(1, request, 0);
    assert_eq!(actions.len(), 1, "{actions:?}");
    let code = code_of(&actions).expect("refused");
    assert_eq!((code.number(), code.http_status()), (2113, 503));
    assert_eq!(dispatcher.open_requests(), 0);
}

#[test]
fn a_request_is_rejected_while_its_only_allowed_region_is_evacuated() {
    let mut dispatcher = dispatcher(&restricted(Some(&["south"])));
    dispatcher.instances.set_evacuated(set(&["b"]), 0);
    let actions = dispatcher.handle_request(1, call("r1"), 0);
    assert_eq!(code_of(&actions), Some(ResultCode::NoAllowedBackend));
}

#[test]
fn orders_carry_the_allowed_regions() {
    let mut dispatcher = dispatcher(&restricted(Some(&["south"])));
    let mut request = call_of("r1", "/staged/x");
    request.pieces = vec![2, 2];
    let actions = dispatcher.handle_request(1, request, 0);
    let phase = phase_of(&actions).expect("submitted");
    assert_eq!(phase.regions, only(&["south"]));
    let announced = actions.iter().find_map(|action| match action {
        Action::Announce { regions, .. } => Some(regions.clone()),
        _ => None,
    });
    assert!(announced.is_none_or(|regions| regions == only(&["south"])));
}

#[test]
fn a_phase_without_an_allowed_back_end_ends_with_its_own_result_code() {
    let mut dispatcher = dispatcher(&restricted(Some(&["south"])));
    let mut request = call_of("r1", "/staged/x");
    request.pieces = vec![2, 2];
    let actions = dispatcher.handle_request(1, request, 0);
    let work = actions.iter().find_map(|action| match action {
        Action::Submit { work, .. } => Some(*work),
        _ => None,
    });
    let work = work.expect("submitted");
    let ended = dispatcher.phase_done(work, Err(PieceFailure::NoBackend), 10);
    assert_eq!(code_of(&ended), Some(ResultCode::NoAllowedBackend));
}

/// A new configuration applies to the next send and the next order of a request.
#[test]
fn a_new_configuration_applies_to_requests_in_progress() {
    let mut dispatcher = dispatcher(&restricted(None));
    let first = dispatcher.handle_request(1, call("r1"), 0);
    let mut staged = call_of("r2", "/staged/x");
    staged.pieces = vec![2, 2];
    let submitted = dispatcher.handle_request(2, staged, 0);
    assert_eq!(engine_of(&first), Some("e1"));
    let work = submitted.iter().find_map(|action| match action {
        Action::Submit { work, .. } => Some(*work),
        _ => None,
    });
    let work = work.expect("submitted");
    assert_eq!(dispatcher.regions_of_work(work), Some(&RegionFilter::any()));
    dispatcher.set_routes(RouteTable::new(&restricted(Some(&["north"]))), 0);
    assert_eq!(dispatcher.regions_of_work(work), Some(&only(&["north"])));
    let again = dispatcher.send_ended(1, UNREACHABLE, None, 10);
    assert_eq!(engine_of(&again), None, "e2 and e3 are in region south");
    dispatcher.set_routes(RouteTable::new(&restricted(None)), 0);
    assert_eq!(dispatcher.regions_of_work(work), Some(&RegionFilter::any()));
}

fn batcher_in_regions() -> Batcher {
    batcher().with_topology(in_regions("a", &ZONES))
}

fn in_south(number: u64) -> PhaseWork {
    PhaseWork {
        regions: only(&["south"]),
        ..work(number, 2)
    }
}

/// One node batches for all zones; its calls respect the regions of each order.
#[test]
fn a_call_contains_only_pieces_that_its_back_end_may_run() {
    let table = table(&[("s1", "a"), ("s2", "b")]);
    let mut batcher = batcher_in_regions();
    for number in 1..4 {
        let order = batcher.submit(key(number), in_south(number), &table, 0);
        order.expect("taken");
    }
    let calls = batcher.next_calls(&table, 0);
    let back_ends: Vec<&str> = calls.iter().map(|call| call.instance.as_str()).collect();
    assert_eq!(back_ends, ["s2"]);
    // Idle back ends of other regions get unrestricted orders.
    batcher
        .submit(key(9), work(9, 2), &table, 1)
        .expect("taken");
    let calls = batcher.next_calls(&table, 1);
    let back_ends: Vec<&str> = calls.iter().map(|call| call.instance.as_str()).collect();
    assert_eq!(back_ends, ["s1"]);
    assert!(calls[0]
        .pieces
        .iter()
        .all(|(piece, _)| piece.request == "r9"));
}

#[test]
fn an_order_without_allowed_back_ends_is_rejected_or_ended() {
    let mut table = table(&[("s1", "a"), ("s2", "b")]);
    let mut batcher = batcher_in_regions();
    batcher
        .submit(key(1), in_south(1), &table, 0)
        .expect("taken");
    batcher
        .submit(key(2), work(2, 2), &table, 0)
        .expect("taken");
    assert!(batcher.reject_orders_without_backend(&table, 0).is_empty());
    table.set_evacuated(set(&["b"]), 10);
    let refused = batcher.submit(key(3), in_south(3), &table, 10);
    assert_eq!(refused, Err(PieceFailure::NoBackend));
    let ended = batcher.reject_orders_without_backend(&table, 10);
    let ended: Vec<_> = ended
        .into_iter()
        .map(|order| (order.key, order.result))
        .collect();
    assert_eq!(ended, [(key(1), Err(PieceFailure::NoBackend))]);
}

/// Placement must move orders to other shards as soon as all back ends of a shard fail.
#[test]
fn a_shard_whose_back_ends_all_fail_reports_a_queue() {
    let table = table(&[("s1", "a"), ("s2", "a")]);
    let shard = Shard::in_zone("encode", "a");
    let mut batcher = batcher_in_regions();
    let order = |number| PhaseWork {
        shard: shard.clone(),
        ..work(number, 8)
    };
    for number in 1..3 {
        let taken = batcher.submit(key(number), order(number), &table, 0);
        taken.expect("taken");
    }
    let calls = batcher.next_calls(&table, 0);
    let [first, second] = [calls[0].call, calls[1].call];
    batcher.call_ended(first, CallOutcome::Unreachable, 10);
    let with_one_left = batcher.waits(&shard, &table, 10).queue_ms;
    batcher.call_ended(second, CallOutcome::Unreachable, 10);
    batcher.cancel(&key(1));
    batcher.cancel(&key(2));
    assert_eq!(batcher.waits(&shard, &table, 10).queue_ms, 250);
    assert!(with_one_left > 0);
    // Until a back end may be tried again.
    assert_eq!(batcher.waits(&shard, &table, 260).queue_ms, 0);
}
