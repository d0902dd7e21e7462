//! Requests that a node forwards to peers, as it does not reach the back ends itself.

mod common;

use common::{call, call_of, dispatcher, traffic};
use rstest::rstest;
use silversail_model::topology::RegionFilter;
use silversail_model::{AnswerEnd, NodeName, ResultCode, TrafficConfiguration};
use silversail_peer::ResultHandle;
use silversail_serving::dispatcher::{
    Action, Dispatcher, NotRunReason, Refusal, SendOutcome, SendPlan, UnknownReason,
};
use silversail_serving::forwarding::{
    ForwardPlan, PeerNode, PeerTable, ReceivedForward, MAX_PEERS_TRIED,
};
use silversail_serving::ports::CallAttributes;
use silversail_serving::routes::RouteTable;
use std::collections::BTreeMap;

const UNREACHABLE: SendOutcome = SendOutcome::NotRun(NotRunReason::Unreachable);
const BROKEN: SendOutcome = SendOutcome::Unknown(UnknownReason::Broken);
const DEADLINE: SendOutcome = SendOutcome::Unknown(UnknownReason::Deadline);
const WHOLE: SendOutcome = SendOutcome::Delivered {
    status: 200,
    end: AnswerEnd::Whole,
};

fn peer(name: &str) -> PeerNode {
    PeerNode {
        node: name.into(),
        address: format!("{name}:1"),
        zone: "b".to_owned(),
    }
}

fn peers(count: usize) -> Vec<PeerNode> {
    (0..count)
        .map(|number| peer(&format!("n{number}")))
        .collect()
}

fn with_peers(count: usize) -> Dispatcher {
    let mut dispatcher = dispatcher();
    dispatcher.set_peers(peers(count));
    dispatcher
}

/// A dispatcher whose node reaches no back end.
fn cut_off(peers: usize) -> Dispatcher {
    let mut dispatcher = with_peers(peers);
    let monitor = &mut dispatcher.reachability;
    monitor.record_failure("e1", 0);
    monitor.record_failure("e2", 0);
    monitor.probes_started(["e3".to_owned()], 0);
    monitor.probe_finished("e3", false, 0);
    assert!(monitor.is_cut_off());
    dispatcher
}

fn forwarded(actions: &[Action]) -> Option<&ForwardPlan> {
    actions.iter().find_map(|action| match action {
        Action::Forward { plan, .. } => Some(plan),
        _ => None,
    })
}

fn sent(actions: &[Action]) -> Option<&SendPlan> {
    actions.iter().find_map(|action| match action {
        Action::Send { plan, .. } => Some(plan),
        _ => None,
    })
}

fn answered(actions: &[Action]) -> Option<Refusal> {
    actions.iter().find_map(|action| match action {
        Action::Answer { refusal, .. } => Some(*refusal),
        _ => None,
    })
}

fn received_from_peer(call: CallAttributes, earlier_attempts: u32) -> CallAttributes {
    CallAttributes {
        forwarded: Some(ReceivedForward {
            earlier_attempts,
            min_version: 0,
        }),
        ..call
    }
}

#[rstest]
#[case::stream("/chat/x")]
#[case::at_most_once("/gate/x")]
#[case::repeatable("/lookup/x")]
#[case::with_phases("/staged/x")]
fn a_node_that_is_cut_off_forwards_at_once(#[case] path: &str) {
    let mut dispatcher = cut_off(3);
    let actions = dispatcher.handle_request(1, call_of("r", path), 100);
    let plan = forwarded(&actions).expect("forwarded");
    assert_eq!((plan.end, plan.earlier_attempts), (4_100, 0));
    assert_eq!(actions.len(), 1, "{actions:?}");
    assert!(dispatcher.send_ended(1, WHOLE, None, 200).is_empty());
    assert_eq!(dispatcher.open_requests(), 0);
}

/// The caller learns at once, and when to return.
#[test]
fn without_a_usable_peer_a_node_that_is_cut_off_rejects_at_once() {
    let mut dispatcher = cut_off(0);
    let refusal = answered(&dispatcher.handle_request(1, call("r"), 100)).expect("answered");
    assert_eq!(refusal.code, ResultCode::NoBackend);
    assert_eq!(refusal.retry_after_ms, Some(1_000));
}

#[test]
fn a_request_that_reaches_no_back_end_twice_is_forwarded_with_the_time_left() {
    let mut dispatcher = with_peers(2);
    assert!(sent(&dispatcher.handle_request(1, call_of("r", "/gate/x"), 0)).is_some());
    assert!(sent(&dispatcher.send_ended(1, UNREACHABLE, None, 300)).is_some());
    let actions = dispatcher.send_ended(1, UNREACHABLE, None, 600);
    let plan = forwarded(&actions).expect("forwarded");
    assert_eq!((plan.end, plan.earlier_attempts), (4_000, 0));
}

#[test]
fn a_request_that_reached_no_back_end_and_may_try_no_other_is_forwarded() {
    let mut dispatcher = with_peers(2);
    let actions = dispatcher.handle_request(1, call_of("r", "/gate/x"), 0);
    let first = sent(&actions).expect("sent").instance.clone();
    let other = if first == "g1" { "g2" } else { "g1" };
    dispatcher.instances.record_address_mismatch(other, 0);
    let actions = dispatcher.send_ended(1, UNREACHABLE, None, 300);
    assert!(forwarded(&actions).is_some(), "{actions:?}");
}

/// A forwarded request must not go from node to node.
#[test]
fn a_forwarded_request_is_not_forwarded_again() {
    let mut dispatcher = cut_off(3);
    let received = received_from_peer(call("r"), 0);
    let actions = dispatcher.handle_request(1, received, 0);
    assert!(forwarded(&actions).is_none());
    assert_eq!(
        answered(&actions).expect("answered").code,
        ResultCode::NoBackend
    );

    let mut dispatcher = with_peers(3);
    let received = received_from_peer(call_of("r", "/gate/x"), 0);
    dispatcher.handle_request(2, received, 0);
    dispatcher.send_ended(2, UNREACHABLE, None, 300);
    let actions = dispatcher.send_ended(2, UNREACHABLE, None, 600);
    assert!(forwarded(&actions).is_none());
    assert_eq!(dispatcher.open_requests(), 0);
}

/// The peer may have run it.
#[rstest]
#[case::lost(BROKEN, ResultCode::AnswerLost)]
#[case::no_answer(DEADLINE, ResultCode::DeadlineWhileSent)]
fn a_request_that_may_not_be_repeated_ends_as_unknown_if_the_peer_does_not_answer(
    #[case] outcome: SendOutcome,
    #[case] code: ResultCode,
) {
    let mut dispatcher = cut_off(3);
    dispatcher.handle_request(1, call_of("r", "/gate/x"), 0);
    let actions = dispatcher.send_ended(1, outcome, None, 500);
    assert!(forwarded(&actions).is_none() && sent(&actions).is_none());
    let refusal = answered(&actions).expect("answered");
    assert_eq!((refusal.code, refusal.retry_after_ms), (code, None));
}

/// The peer may have used all attempts.
#[test]
fn a_repeatable_request_is_not_forwarded_again_after_its_peer_was_lost() {
    let mut dispatcher = cut_off(3);
    dispatcher.handle_request(1, call_of("r", "/lookup/x"), 0);
    let actions = dispatcher.send_ended(1, BROKEN, None, 500);
    assert!(forwarded(&actions).is_none() && sent(&actions).is_none());
    let code = answered(&actions).expect("answered").code;
    assert_eq!(code, ResultCode::BackendFailed);
}

#[rstest]
#[case::unreachable(UNREACHABLE)]
#[case::rejected(SendOutcome::NotRun(NotRunReason::Refused))]
fn a_request_that_its_peer_did_not_run_goes_to_others_and_is_then_rejected_as_not_run(
    #[case] outcome: SendOutcome,
) {
    let mut dispatcher = cut_off(9);
    let mut actions = dispatcher.handle_request(1, call_of("r", "/gate/x"), 0);
    let mut tried: Vec<NodeName> = Vec::new();
    while let Some(plan) = forwarded(&actions) {
        assert!(!tried.contains(&plan.node));
        tried.push(plan.node.clone());
        actions = dispatcher.send_ended(1, outcome, None, 300);
    }
    assert_eq!(tried.len(), MAX_PEERS_TRIED);
    let code = answered(&actions).expect("answered").code;
    assert_eq!(code, ResultCode::NoBackend);
}

/// An attempt that may have run counts against those of the route, and makes "not run" untrue.
#[test]
fn an_attempt_that_may_have_run_is_counted_at_the_peer() {
    let mut dispatcher = with_peers(3);
    dispatcher.handle_request(1, call_of("r", "/lookup/x"), 0);
    dispatcher.send_ended(1, BROKEN, None, 100);
    let monitor = &mut dispatcher.reachability;
    monitor.record_failure("g2", 100);
    monitor.probes_started(["e3".to_owned()], 100);
    monitor.probe_finished("e3", false, 100);
    let actions = dispatcher.send_ended(1, UNREACHABLE, None, 400);
    assert_eq!(forwarded(&actions).expect("forwarded").earlier_attempts, 1);
    let refused = SendOutcome::NotRun(NotRunReason::Refused);
    let mut actions = dispatcher.send_ended(1, refused, None, 500);
    while let Some(plan) = forwarded(&actions) {
        assert_eq!(plan.earlier_attempts, 1);
        actions = dispatcher.send_ended(1, refused, None, 500);
    }
    let code = answered(&actions).expect("answered").code;
    assert_eq!(code, ResultCode::BackendFailed, "it may have run");

    let mut peer = with_peers(3);
    let received = received_from_peer(call_of("r", "/lookup/x"), 1);
    assert!(sent(&peer.handle_request(1, received, 0)).is_some());
    let actions = peer.send_ended(1, BROKEN, None, 100);
    assert!(sent(&actions).is_none(), "two attempts are allowed");
}

/// The peer runs the phases itself.
#[test]
fn results_of_phases_are_released_when_their_request_is_forwarded() {
    let mut dispatcher = with_peers(3);
    let mut attributes = call_of("r", "/staged/x");
    attributes.pieces = vec![1, 0, 0];
    let actions = dispatcher.handle_request(1, attributes, 0);
    let mut works = actions.iter().filter_map(|action| match action {
        Action::Submit { work, .. } => Some(*work),
        _ => None,
    });
    let work = works.next().expect("a phase is submitted");
    let monitor = &mut dispatcher.reachability;
    monitor.record_failure("e1", 100);
    monitor.record_failure("e2", 100);
    monitor.probes_started(["e3".to_owned()], 100);
    monitor.probe_finished("e3", false, 100);
    let handles = vec![ResultHandle("s1:80/h".to_owned())];
    let actions = dispatcher.phase_done(work, Ok(handles.clone()), 300);
    assert!(forwarded(&actions).is_some());
    let is_release = |action: &Action| match action {
        Action::Release {
            handles: released, ..
        } => *released == handles,
        _ => false,
    };
    assert!(actions.iter().any(is_release), "{actions:?}");
}

/// A node's own timeout must not answer while the peer serves the request.
#[test]
fn a_forwarded_request_does_not_expire_at_the_node_that_waits_for_the_peer() {
    let mut dispatcher = cut_off(3);
    dispatcher.handle_request(1, call("r"), 0);
    assert!(dispatcher.expire(5_000).is_empty());
    assert!(dispatcher.is_open(1));
}

/// All peers get a part, and no peer more than a bounded number at a time.
#[rstest]
#[case::of_nine(8)]
#[case::of_64(63)]
#[case::of_985(984)]
fn forwarded_requests_are_spread_over_the_peers(#[case] count: usize) {
    let mut dispatcher = cut_off(count);
    let mut by_peer: BTreeMap<NodeName, usize> = BTreeMap::new();
    let requests = count * 20;
    for number in 0..requests as u64 {
        let actions = dispatcher.handle_request(number, call(&format!("r{number}")), 0);
        let node = forwarded(&actions).expect("forwarded").node.clone();
        *by_peer.entry(node).or_default() += 1;
    }
    let busiest = by_peer.values().max().copied().unwrap_or_default();
    println!("{count} peers: busiest {busiest}, mean 20");
    assert!(busiest <= 40, "busiest {busiest}, mean 20");
    assert_eq!(by_peer.len(), count);
}

#[test]
fn above_a_bound_in_flight_at_all_peers_requests_are_rejected_at_once() {
    const MAX_IN_FLIGHT: u64 = 64;
    let mut dispatcher = cut_off(1);
    for number in 0..MAX_IN_FLIGHT {
        let actions = dispatcher.handle_request(number, call(&format!("r{number}")), 0);
        assert!(forwarded(&actions).is_some());
    }
    let actions = dispatcher.handle_request(900, call("r900"), 0);
    assert!(answered(&actions).is_some());
    dispatcher.send_ended(0, WHOLE, None, 10);
    dispatcher.caller_disconnected(1, 10);
    for number in [901, 902] {
        let actions = dispatcher.handle_request(number, call(&format!("r{number}")), 20);
        assert!(forwarded(&actions).is_some());
    }
}

#[test]
fn an_unreachable_peer_is_left_out_for_a_while() {
    let mut table = PeerTable::default();
    table.set_peers(peers(2));
    let topology = common::in_zone("a");
    let any = RegionFilter::any();
    table.record_unreachable(&"n0".into(), 0);
    for number in 0..20 {
        let request = format!("r{number}");
        let peer = table.choose(&request, &[], &any, &topology, 500);
        assert_eq!(peer.expect("a peer").node.as_str(), "n1");
    }
    let is_used = |number: usize| {
        let request = format!("r{number}");
        let peer = table.choose(&request, &[], &any, &topology, 1_000);
        peer.expect("a peer").node.as_str() == "n0"
    };
    assert!((0..20).any(is_used));
}

/// Callers of a node that is cut off meet an older configuration than before, at a peer that lags.
#[rstest]
#[case::older(6, Some(ResultCode::OlderConfiguration))]
#[case::the_same(7, None)]
#[case::newer(8, None)]
fn a_forwarded_request_is_rejected_under_an_older_configuration(
    #[case] own_version: u64,
    #[case] expected: Option<ResultCode>,
) {
    let mut peer = dispatcher();
    peer.set_routes(RouteTable::new(&with_version(own_version)), 0);
    let call = CallAttributes {
        forwarded: Some(ReceivedForward {
            earlier_attempts: 0,
            min_version: 7,
        }),
        ..call_of("r", "/gate/x")
    };
    let actions = peer.handle_request(1, call, 100);
    assert_eq!(answered(&actions).map(|refusal| refusal.code), expected);
    assert_eq!(sent(&actions).is_some(), expected.is_none());
    let open = usize::from(expected.is_none());
    assert_eq!(peer.open_requests(), open);
}

fn with_version(version: u64) -> TrafficConfiguration {
    TrafficConfiguration {
        version,
        ..traffic()
    }
}

/// A configuration that reaches the nodes one after the other is not asked of a peer at once.
#[rstest]
#[case::just_applied(1_099, 6)]
#[case::propagated(1_100, 7)]
#[case::the_second_of_a_quick_series(1_150, 8)]
#[case::the_last(1_300, 9)]
fn a_peer_must_have_the_configuration_that_callers_have_met_for_a_while(
    #[case] now: u64,
    #[case] expected: u64,
) {
    let mut dispatcher = cut_off(3);
    for (version, applied_at) in [(6, 0), (7, 1_000), (8, 1_050), (9, 1_090)] {
        if applied_at <= now {
            dispatcher.set_routes(RouteTable::new(&with_version(version)), applied_at);
        }
    }
    let actions = dispatcher.handle_request(1, call_of("r", "/gate/x"), now);
    let plan = forwarded(&actions).expect("forwarded");
    assert_eq!(plan.min_version, expected);
}
