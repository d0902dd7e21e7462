//! Placement of the phases of a request and its engine over regions.

mod common;

use common::{call_of, in_regions, instances, traffic, LIMITS};
use rstest::rstest;
use silversail_decisions::DecisionLog;
use silversail_model::Distance;
use silversail_peer::{PhaseWork, ResultHandle, WorkId};
use silversail_serving::dispatcher::{Action, Dispatcher, SendPlan};
use silversail_serving::policy::Policy;
use silversail_serving::ports::{RelativeProcessingTime, ReportedLoad};
use silversail_serving::routes::RouteTable;

/// A node in zone `a` in the north; engines `e2` and `e3` are in `b` in the south.
fn dispatcher() -> Dispatcher {
    let topology = in_regions("a", &[("a", "north"), ("b", "south")]);
    let mut dispatcher = Dispatcher::new(
        topology,
        LIMITS,
        Policy::default(),
        1,
        DecisionLog::disabled(),
    );
    dispatcher.set_routes(RouteTable::new(&traffic()), 0);
    dispatcher.instances.replace_list(&instances());
    dispatcher
}

/// Starts a request whose only phase has two results of 500 KB for the engine.
fn start_request(dispatcher: &mut Dispatcher) -> (WorkId, PhaseWork) {
    let mut request = call_of("r1", "/staged/x");
    request.pieces = vec![0, 0, 2];
    let actions = dispatcher.handle_request(1, request, 0);
    let submitted = actions.into_iter().find_map(|action| match action {
        Action::Submit { work, phase, .. } => Some((work, phase)),
        _ => None,
    });
    submitted.expect("submitted")
}

fn plan(actions: Vec<Action>) -> SendPlan {
    let plan = actions.into_iter().find_map(|action| match action {
        Action::Send { plan, .. } => Some(plan),
        _ => None,
    });
    plan.expect("sent")
}

/// Large results are not transferred to another region.
#[rstest]
#[case::near("s1", &["e1"], Distance::SameZone)]
#[case::far("s2", &["e2", "e3"], Distance::OtherRegion)]
fn the_engine_is_in_the_region_of_its_inputs(
    #[case] backend: &str,
    #[case] engines: &[&str],
    #[case] distance: Distance,
) {
    let mut dispatcher = dispatcher();
    let (work, _) = start_request(&mut dispatcher);
    let made = (0..2).map(|index| ResultHandle(format!("{backend}:80/{index}")));
    let plan = plan(dispatcher.phase_done(work, Ok(made.collect()), 300));
    assert!(engines.contains(&plan.instance.as_str()), "{plan:?}");
    assert_eq!(plan.distance, distance);
}

/// A phase with large results runs near the expected engine, even in another region.
#[rstest]
#[case::calm(0, "a")]
#[case::engines_here_are_busy(64, "b")]
fn large_results_are_made_in_the_region_of_the_expected_engine(
    #[case] running: u32,
    #[case] zone: &str,
) {
    let mut dispatcher = dispatcher();
    let load = ReportedLoad {
        running,
        waiting: 0,
        slots: 64,
        processing_time: RelativeProcessingTime::NORMAL,
    };
    dispatcher.instances.record_load("e1", load, 0);
    let (_, phase) = start_request(&mut dispatcher);
    assert_eq!((phase.zone.as_str(), phase.moved_bytes), (zone, 1_000_000));
}
