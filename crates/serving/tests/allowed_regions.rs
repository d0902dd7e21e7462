//! Requests that only some regions may serve: each place that gives work.

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

/// Zone `a` lies in the north, `b` in the south.
const ZONES: [(&str, &str); 2] = [("a", "north"), ("b", "south")];
const UNREACHABLE: SendOutcome = SendOutcome::NotRun(NotRunReason::Unreachable);

fn set(regions: &[&str]) -> BTreeSet<String> {
    regions.iter().map(|region| (*region).to_owned()).collect()
}

/// A configuration whose routes allow some regions, if any are named.
fn restricted(regions: Option<&[&str]>) -> TrafficConfiguration {
    let mut traffic = traffic();
    for route in &mut traffic.routes {
        route.allowed_regions = regions.map(set);
    }
    traffic
}

/// A dispatcher in the north.
fn dispatcher(traffic: &TrafficConfiguration) -> Dispatcher {
    let topology = in_regions("a", &ZONES);
    let mut dispatcher = Dispatcher::new(
        topology,
        LIMITS,
        Policy::default(),
        1,
        DecisionLog::disabled(),
    );
    dispatcher.set_routes(RouteTable::new(traffic));
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
fn where_route_and_tenant_name_regions_both_bind(
    #[case] of_route: Option<&[&str]>,
    #[case] of_tenant: Option<&[&str]>,
    #[case] expected: &[&str],
) {
    let mut traffic = restricted(of_route);
    traffic.tenants = vec![TenantKeys {
        tenant: "t1".into(),
        key_hashes: vec![hash_key("secret")],
        priority: None,
        allowed_regions: of_tenant.map(set),
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

/// A host's routes may differ: its addresses may lie where any of them is allowed.
#[test]
fn a_hosts_regions_are_those_of_any_of_its_routes() {
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

/// Nearer engines are free, and retries find none that is untried.
#[test]
fn engines_and_retries_lie_in_the_allowed_region() {
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

/// Said at the arrival, before any phase is made, and true: nothing ran.
#[rstest]
#[case::no_engine("/chat/x", &["e2", "e3"])]
#[case::no_maker_of_a_phase("/staged/x", &["s2"])]
fn without_allowed_back_ends_a_request_is_refused_at_once(
    #[case] path: &str,
    #[case] gone: &[&str],
) {
    let mut dispatcher = dispatcher(&restricted(Some(&["south"])));
    let mut listed = instances();
    listed.retain(|one| !gone.contains(&one.id.as_str()));
    dispatcher.instances.replace_list(&listed);
    let mut request = call_of("r1", path);
    request.pieces = vec![2, 2];
    let actions = dispatcher.handle_request(1, request, 0);
    assert_eq!(actions.len(), 1, "{actions:?}");
    let code = code_of(&actions).expect("refused");
    assert_eq!((code.number(), code.http_status()), (2113, 503));
    assert_eq!(dispatcher.open_requests(), 0);
}

/// An evacuated region is like one that is lost: what may be served there only is refused.
#[test]
fn an_allowed_region_that_is_evacuated_serves_nothing_and_nobody_else_does() {
    let mut dispatcher = dispatcher(&restricted(Some(&["south"])));
    dispatcher.instances.set_evacuated(set(&["b"]), 0);
    let actions = dispatcher.handle_request(1, call("r1"), 0);
    assert_eq!(code_of(&actions), Some(ResultCode::NoAllowedBackend));
}

#[test]
fn orders_carry_the_regions_that_may_do_them() {
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
fn a_phase_that_no_allowed_maker_takes_is_said_so() {
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

/// Another configuration counts for the next send and the next order of a request.
#[test]
fn what_a_new_configuration_allows_counts_for_requests_under_way() {
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
    dispatcher.set_routes(RouteTable::new(&restricted(Some(&["north"]))));
    assert_eq!(dispatcher.regions_of_work(work), Some(&only(&["north"])));
    let again = dispatcher.send_ended(1, UNREACHABLE, None, 10);
    assert_eq!(engine_of(&again), None, "e2 and e3 lie in the south");
    dispatcher.set_routes(RouteTable::new(&restricted(None)));
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

/// One node batches for all zones: its calls keep to the regions of each order.
#[test]
fn a_call_holds_pieces_only_of_orders_that_its_maker_may_make() {
    let table = table(&[("s1", "a"), ("s2", "b")]);
    let mut batcher = batcher_in_regions();
    for number in 1..4 {
        let order = batcher.submit(key(number), in_south(number), &table, 0);
        order.expect("taken");
    }
    let calls = batcher.next_calls(&table, 0);
    let makers: Vec<&str> = calls.iter().map(|call| call.instance.as_str()).collect();
    assert_eq!(makers, ["s2"]);
    // Free makers elsewhere get what nothing restricts.
    batcher
        .submit(key(9), work(9, 2), &table, 1)
        .expect("taken");
    let calls = batcher.next_calls(&table, 1);
    let makers: Vec<&str> = calls.iter().map(|call| call.instance.as_str()).collect();
    assert_eq!(makers, ["s1"]);
    assert!(calls[0]
        .pieces
        .iter()
        .all(|(piece, _)| piece.request == "r9"));
}

#[test]
fn an_order_without_allowed_makers_is_refused_or_ended() {
    let mut makers = table(&[("s1", "a"), ("s2", "b")]);
    let mut batcher = batcher_in_regions();
    batcher
        .submit(key(1), in_south(1), &makers, 0)
        .expect("taken");
    batcher
        .submit(key(2), work(2, 2), &makers, 0)
        .expect("taken");
    assert!(batcher.reject_orders_without_backend(&makers).is_empty());
    makers.set_evacuated(set(&["b"]), 10);
    let refused = batcher.submit(key(3), in_south(3), &makers, 10);
    assert_eq!(refused, Err(PieceFailure::NoBackend));
    let ended = batcher.reject_orders_without_backend(&makers);
    let ended: Vec<_> = ended.into_iter().map(|one| (one.key, one.result)).collect();
    assert_eq!(ended, [(key(1), Err(PieceFailure::NoBackend))]);
}

/// Orders leave a shard whose makers all fail at once, not after its queue is lost.
#[test]
fn a_shard_whose_makers_all_fail_tells_a_queue() {
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
    // Until one may be tried again.
    assert_eq!(batcher.waits(&shard, &table, 260).queue_ms, 0);
}
