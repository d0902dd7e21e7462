//! Requests that take up a stream go to the software version that began it, or nowhere.

mod common;

use common::versions::{directive, in_progress, of_version, rolled_back, rollout};
use common::{call_of, dispatcher, in_zone, instance, list_of, route, traffic, LIMITS};
use rstest::rstest;
use silversail_decisions::DecisionLog;
use silversail_model::traffic::{RouteKind, RouteTarget};
use silversail_model::ResultCode;
use silversail_peer::StreamOrigin;
use silversail_serving::dispatcher::{Action, Dispatcher, RequestNumber};
use silversail_serving::policy::Policy;
use silversail_serving::ports::{
    BackendListEntry, CallAttributes, OriginSource, ResumedStream, SoleVersionEvidence,
};
use silversail_serving::routes::RouteTable;

/// A time after the period in which a service must have had one version only.
const SETTLED: u64 = 40_000;

fn two_versions() -> Vec<BackendListEntry> {
    vec![
        of_version("e1", "pool", "v1"),
        of_version("e2", "pool", "v1"),
        of_version("e3", "pool", "v2"),
        of_version("e4", "pool", "v2"),
    ]
}

fn dispatcher_of(entries: &[BackendListEntry]) -> Dispatcher {
    let policy = Policy::default();
    let mut dispatcher = Dispatcher::new(in_zone("a"), LIMITS, policy, 1, DecisionLog::disabled());
    dispatcher.set_routes(RouteTable::new(&traffic()), 0);
    dispatcher.apply_backend_list(&list_of(entries), 0);
    dispatcher
}

fn origin(service: &str, version: &str) -> StreamOrigin {
    StreamOrigin {
        service: service.into(),
        version: version.into(),
        tenant: None,
    }
}

/// A request that takes up a stream that began at `origin`; at an unknown one if that is none.
fn resumed(id: &str, origin: Option<StreamOrigin>) -> CallAttributes {
    CallAttributes {
        resumed: Some(ResumedStream {
            first_attempt: Some("first".into()),
            origin: origin.map(|origin| (origin, OriginSource::Peer)),
            sole_version: SoleVersionEvidence::NoPeers,
        }),
        ..call_of(id, "/chat/deep/x")
    }
}

/// Version to which a request is sent, or the code with which it is rejected.
fn result_of(actions: &[Action]) -> Result<String, ResultCode> {
    let result = actions.iter().find_map(|action| match action {
        Action::Send { plan, .. } => Some(Ok(plan.version.clone())),
        Action::Answer { refusal, .. } => Some(Err(refusal.code)),
        _ => None,
    });
    result.expect("sent or rejected")
}

fn handle(
    dispatcher: &mut Dispatcher,
    number: RequestNumber,
    call: CallAttributes,
    now: u64,
) -> Result<String, ResultCode> {
    result_of(&dispatcher.handle_request(number, call, now))
}

#[rstest]
#[case("v1")]
#[case("v2")]
fn a_stream_goes_on_at_the_version_that_began_it_for_every_identifier(#[case] version: &str) {
    let mut dispatcher = dispatcher_of(&two_versions());
    for number in 0..50 {
        let call = resumed(&format!("r{number}"), Some(origin("pool", version)));
        let sent = handle(&mut dispatcher, number, call, SETTLED);
        assert_eq!(sent.as_deref(), Ok(version));
    }
}

#[test]
fn a_stream_of_unknown_origin_is_rejected_while_several_versions_serve() {
    let mut dispatcher = dispatcher_of(&two_versions());
    let refused = handle(&mut dispatcher, 1, resumed("r1", None), SETTLED);
    assert_eq!(refused, Err(ResultCode::StreamOriginUnknown));
}

#[test]
fn a_stream_of_unknown_origin_goes_on_where_only_one_version_served_for_long() {
    let mut dispatcher = dispatcher_of(&two_versions()[..2]);
    let refused = handle(&mut dispatcher, 1, resumed("r1", None), 1_000);
    assert_eq!(refused, Err(ResultCode::StreamOriginUnknown));
    let sent = handle(&mut dispatcher, 2, resumed("r2", None), SETTLED);
    assert_eq!(sent.as_deref(), Ok("v1"));
}

#[rstest]
#[case::confirmed(SoleVersionEvidence::Confirmed("v1".into()), true)]
#[case::of_another_version(SoleVersionEvidence::Confirmed("v2".into()), false)]
#[case::unconfirmed(SoleVersionEvidence::Unconfirmed, false)]
fn other_nodes_must_have_seen_the_same_version_only(
    #[case] sole_version: SoleVersionEvidence,
    #[case] goes_on: bool,
) {
    let mut dispatcher = dispatcher_of(&two_versions()[..2]);
    let mut call = resumed("r1", None);
    if let Some(resumed) = &mut call.resumed {
        resumed.sole_version = sole_version;
    }
    assert_eq!(handle(&mut dispatcher, 1, call, SETTLED).is_ok(), goes_on);
}

#[test]
fn the_period_of_one_version_begins_when_the_other_is_gone() {
    let mut dispatcher = dispatcher_of(&two_versions());
    let only_new = list_of(&two_versions()[2..]);
    dispatcher.apply_backend_list(&only_new, SETTLED);
    let refused = handle(&mut dispatcher, 1, resumed("r1", None), SETTLED + 20_000);
    assert_eq!(refused, Err(ResultCode::StreamOriginUnknown));
    let sent = handle(&mut dispatcher, 2, resumed("r2", None), 2 * SETTLED);
    assert_eq!(sent.as_deref(), Ok("v2"));
}

#[test]
fn a_stream_whose_version_is_gone_is_rejected_at_once_without_a_retry() {
    let mut dispatcher = dispatcher_of(&two_versions()[2..]);
    let call = resumed("r1", Some(origin("pool", "v1")));
    let actions = dispatcher.handle_request(1, call, SETTLED);
    let Some(Action::Answer { refusal, .. }) = actions.first() else {
        panic!("not rejected: {actions:?}");
    };
    assert_eq!(refusal.code, ResultCode::StreamVersionGone);
    assert_eq!(refusal.retry_after_ms, None);
}

#[test]
fn a_stream_of_another_tenant_is_unknown() {
    let mut dispatcher = dispatcher_of(&two_versions());
    let of_other = StreamOrigin {
        tenant: Some("other".into()),
        ..origin("pool", "v1")
    };
    let refused = handle(&mut dispatcher, 1, resumed("r1", Some(of_other)), SETTLED);
    assert_eq!(refused, Err(ResultCode::StreamOriginUnknown));
}

/// A route with two services: the stream stays at the one that began it while the route uses it.
#[rstest]
#[case::used(1, Ok("v1".to_owned()))]
#[case::without_weight(0, Err(ResultCode::StreamVersionGone))]
fn a_stream_stays_at_its_service(
    #[case] weight: u32,
    #[case] expected: Result<String, ResultCode>,
) {
    let mut dispatcher = dispatcher();
    let mut split = traffic();
    let mut deep = route(
        "deep",
        "/chat/deep/",
        "pool",
        RouteKind::Stream { resumable: true },
    );
    deep.targets = vec![
        RouteTarget {
            service: "pool".into(),
            weight: 1,
        },
        RouteTarget {
            service: "gate".into(),
            weight,
        },
    ];
    split.routes[1] = deep;
    dispatcher.set_routes(RouteTable::new(&split), 0);
    let entries = [
        instance("e1", "pool", "a"),
        instance("g1", "gate", "a"),
        instance("g2", "gate", "b"),
    ];
    dispatcher.apply_backend_list(&list_of(&entries), 0);
    for number in 0..20 {
        let call = resumed(&format!("r{number}"), Some(origin("gate", "v1")));
        let actions = dispatcher.handle_request(number, call, SETTLED);
        assert_eq!(result_of(&actions), expected);
        let services = actions.iter().filter_map(|action| match action {
            Action::Send { plan, .. } => Some(plan.service.as_str()),
            _ => None,
        });
        assert!(services.into_iter().all(|service| service == "gate"));
    }
}

#[test]
fn a_stream_keeps_its_version_in_a_rollout_and_is_no_exposure_of_it() {
    let mut dispatcher = dispatcher_of(&two_versions());
    dispatcher.rollouts.set_permitted(true);
    dispatcher.apply_rollouts(&[in_progress("pool", directive(0, 0, &[]))]);
    let call = resumed("r1", Some(origin("pool", "v2")));
    assert_eq!(
        handle(&mut dispatcher, 1, call, SETTLED).as_deref(),
        Ok("v2")
    );
    let evidence = dispatcher.rollouts.evidence(|_| 0);
    let sent: u64 = evidence
        .iter()
        .flat_map(|evidence| evidence.routes.values())
        .map(|route| route.candidate.sent)
        .sum();
    assert_eq!(sent, 0);
}

#[test]
fn a_stream_of_a_version_that_was_rolled_back_is_rejected() {
    let mut dispatcher = dispatcher_of(&two_versions());
    dispatcher.apply_rollouts(&[rollout(1, "pool", "v2", rolled_back())]);
    let call = resumed("r1", Some(origin("pool", "v2")));
    let refused = handle(&mut dispatcher, 1, call, SETTLED);
    assert_eq!(refused, Err(ResultCode::StreamVersionGone));
}

#[test]
fn only_the_first_answer_of_a_stream_is_its_beginning() {
    let mut dispatcher = dispatcher_of(&two_versions());
    handle(&mut dispatcher, 1, call_of("s1", "/chat/deep/x"), SETTLED).expect("sent");
    let begun = dispatcher.begun_stream(1).expect("a beginning");
    assert_eq!(
        (begun.attempt.as_str(), begun.origin.service.as_str()),
        ("s1", "pool")
    );
    assert!(begun.lifetime_ms > 4_000, "the caller's deadline");
    let call = resumed("r1", Some(begun.origin));
    handle(&mut dispatcher, 2, call, SETTLED).expect("sent");
    assert_eq!(dispatcher.begun_stream(2), None);
    // A stream that can't be taken up.
    handle(&mut dispatcher, 3, call_of("c1", "/chat/x"), SETTLED).expect("sent");
    assert_eq!(dispatcher.begun_stream(3), None);
}

#[test]
fn headers_of_a_resume_on_another_kind_of_route_are_ignored() {
    let mut dispatcher = dispatcher_of(&two_versions());
    let call = CallAttributes {
        path: "/chat/x".into(),
        ..resumed("r1", None)
    };
    assert!(handle(&mut dispatcher, 1, call, SETTLED).is_ok());
}
