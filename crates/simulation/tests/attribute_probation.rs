//! Guards against answers that end the probation of an attribute though they show nothing of it:
//! those of another software version, and those that began before it was refused.

use silversail_daemon::crashes::CrashReporter;
use silversail_daemon::metrics::Metrics;
use silversail_model::{ContentDigest, RequestAttribute, RequestFingerprint, TenantScope};
use silversail_peer::GroupId;
use silversail_quarantine::{BackendGroup, InterruptedRequest};
use silversail_serving::dispatcher::AnsweredRequest;
use silversail_serving::quarantine::RequestQuarantine;
use silversail_simulation::world::{NodeDiscovery, World, WorldSize};
use stakker::call;
use std::sync::Arc;

const SIZE: WorldSize = WorldSize {
    nodes: 5,
    voters: 3,
    zones: 3,
    is_hollow: true,
    discovery: NodeDiscovery::StaticSettings,
};
/// Node that reports crashes and answers.
const REPORTER: usize = 4;
const CRASHES: u64 = 6;
const CRASH_INTERVAL_MS: u64 = 500;
const REFUSED_FOR_MS: u64 = 15_000;
/// Longest time until the probation begins: the checks for expired refusals are 10 s apart.
const RELEASE_TIMEOUT_MS: u64 = REFUSED_FOR_MS + 20_000;
/// Time in which an answer that counts ends the probation.
const REPORT_TIME_MS: u64 = 3_000;

const GUILTY: RequestAttribute = RequestAttribute::PromptPart(0xbad);

fn group(version: &str) -> BackendGroup {
    BackendGroup {
        service: "pool".into(),
        version: version.into(),
    }
}

fn fingerprint() -> RequestFingerprint {
    let tenants = TenantScope::Only(Some("t1".into()));
    RequestFingerprint::of_attribute("pool", &tenants, &GUILTY)
}

/// Starts a cluster that refuses attributes for [`REFUSED_FOR_MS`].
fn start() -> World {
    let mut world = World::new(1, SIZE);
    for position in 0..SIZE.nodes {
        world.crash(position);
        let settings = &mut world.nodes[position].parts.settings;
        Arc::make_mut(settings).quarantine.refuse_for_ms = REFUSED_FOR_MS;
        world.start(position);
    }
    world.run_for(8_000);
    assert!(world.leader(GroupId::Control).is_some());
    world
}

fn crash(world: &mut World, number: u64) {
    let instant = world.instant();
    let node = world.nodes[REPORTER].process.as_ref().expect("runs");
    let now = node.clock.millis(instant);
    let body = number.to_le_bytes();
    let request = InterruptedRequest {
        fingerprint: RequestFingerprint::of(None, &ContentDigest::of("/x", &body)),
        tenant: Some("t1".into()),
        attributes: vec![GUILTY],
    };
    node.state.borrow_mut().attribute_reporter.record_crash(
        &format!("e{number}"),
        &group("v1"),
        now,
        [request],
    );
    call!([node.actors.session], report_crash());
    world.wake(REPORTER);
}

/// The reporter receives an answer that began `age` ago, as its gateway would.
fn answer(world: &mut World, version: &str, age: u64) {
    let instant = world.instant();
    let node = world.nodes[REPORTER].process.as_ref().expect("runs");
    let now = node.clock.millis(instant);
    let mut quarantine = RequestQuarantine::default();
    quarantine.update(node.state.borrow().quarantine.clone().expect("a list"));
    let answered = AnsweredRequest {
        group: group(version),
        attributes: vec![GUILTY],
        fingerprints: vec![fingerprint()],
        began_at: now.saturating_sub(age),
    };
    let mut reporter = CrashReporter::new(node.state.clone(), Arc::new(Metrics::new()));
    reporter.request_answered(&answered, &quarantine);
    if node
        .state
        .borrow()
        .attribute_reporter
        .is_answer_report_due(now)
    {
        call!([node.actors.session], report_answers());
        world.wake(REPORTER);
    }
}

fn is_listed(world: &World, is_refused: bool) -> bool {
    let node = world.nodes[REPORTER].process.as_ref().expect("runs");
    let list = node.state.borrow().quarantine.clone();
    list.is_some_and(|list| match is_refused {
        true => list.refused.contains(&fingerprint()),
        false => list.watched.contains(&fingerprint()),
    })
}

#[test]
fn only_an_answer_of_the_same_version_since_the_release_ends_a_probation() {
    let mut world = start();
    for number in 0..CRASHES {
        crash(&mut world, number);
        world.run_for(CRASH_INTERVAL_MS);
    }
    world.run_for(REPORT_TIME_MS);
    assert!(is_listed(&world, true), "not refused");
    let until = world.now() + RELEASE_TIMEOUT_MS;
    while !is_listed(&world, false) && world.now() < until {
        world.run_for(100);
    }
    assert!(is_listed(&world, false), "not on probation");
    world.run_for(REPORT_TIME_MS);

    answer(&mut world, "v2", 0);
    world.run_for(REPORT_TIME_MS);
    assert!(is_listed(&world, false), "ended by another version");

    answer(&mut world, "v1", RELEASE_TIMEOUT_MS + REPORT_TIME_MS);
    world.run_for(REPORT_TIME_MS);
    assert!(is_listed(&world, false), "ended by an earlier answer");

    answer(&mut world, "v1", 0);
    world.run_for(REPORT_TIME_MS);
    assert!(!is_listed(&world, false), "not ended by a new answer");
}
