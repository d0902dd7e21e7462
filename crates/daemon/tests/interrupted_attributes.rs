//! Which interrupted requests count against their attributes when a back end crashes.

use silversail_daemon::crashes::CrashReporter;
use silversail_daemon::metrics::Metrics;
use silversail_daemon::session::SharedNodeState;
use silversail_model::{ContentDigest, RequestAttribute, RequestFingerprint};
use silversail_quarantine::QuarantineLimits;
use silversail_serving::crashes::{Diagnosis, InterruptedPrompt, InterruptedSend, ProbeResult};
use silversail_serving::quarantine::RequestQuarantine;
use std::sync::Arc;

const LOST_AT: u64 = 10_000;

fn send(name: &str, part: u64, answer_began_at: Option<u64>) -> InterruptedSend {
    InterruptedSend {
        request: name.to_owned(),
        fingerprint: RequestFingerprint::of(None, &ContentDigest::of("/x", name.as_bytes())),
        prompt: Some(InterruptedPrompt {
            tenant: Some("t1".to_owned()),
            version: "v1".to_owned(),
            attributes: vec![RequestAttribute::PromptPart(part)],
            answer_began_at,
        }),
    }
}

/// A stream that has gone on for long has shown that it does not crash its back end.
#[test]
fn only_answers_that_had_just_begun_or_not_begun_are_suspected_at_a_crash() {
    let state = SharedNodeState::default();
    let mut reporter = CrashReporter::new(state.clone(), Arc::new(Metrics::new()));
    let mut quarantine = RequestQuarantine::new(QuarantineLimits::default());
    let diagnosis = Diagnosis {
        instance: "e1".to_owned(),
        service: "pool".to_owned(),
        lost_at: LOST_AT,
        answer: ProbeResult::Refused,
        sends: vec![
            send("just begun", 1, Some(LOST_AT - 200)),
            send("not begun", 2, None),
            send("long", 3, Some(LOST_AT - 1_000)),
        ],
    };
    assert!(reporter.report_crash(&diagnosis, &mut quarantine, LOST_AT));
    let report = state
        .borrow_mut()
        .attribute_reporter
        .report("n1", LOST_AT + 100);
    assert_eq!(report.crashes.len(), 1);
    assert_eq!(report.crashes[0].age_ms, 100);
    let suspects = report.crashes[0].requests.iter();
    let mut parts: Vec<RequestAttribute> = suspects
        .flat_map(|request| request.attributes.iter().copied())
        .collect();
    parts.sort_unstable();
    assert_eq!(parts, [1, 2].map(RequestAttribute::PromptPart));
}
