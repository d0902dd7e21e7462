//! Tests of crash detection by lost connections.

use rstest::rstest;
use silversail_model::{ContentDigest, RequestFingerprint};
use silversail_serving::crashes::{
    ConnectionLoss, ConnectionLossAction, CrashDetector, Diagnosis, InterruptedSend, Probe,
    ProbeResult,
};

fn send(request: &str) -> InterruptedSend {
    let content = ContentDigest::of("/x", request.as_bytes());
    InterruptedSend {
        request: request.to_owned(),
        fingerprint: RequestFingerprint::of(None, &content),
        prompt: None,
    }
}

fn loss(instance: &str, request: &str) -> ConnectionLoss {
    ConnectionLoss {
        instance: instance.to_owned(),
        service: "pool".to_owned(),
        address: format!("{instance}:80"),
        sends: vec![send(request)],
    }
}

fn probe(instance: &str) -> ConnectionLossAction {
    ConnectionLossAction::Probe(Probe {
        instance: instance.to_owned(),
        address: format!("{instance}:80"),
    })
}

fn diagnosis(lost_at: u64, answer: ProbeResult, requests: &[&str]) -> Diagnosis {
    Diagnosis {
        instance: "e1".to_owned(),
        service: "pool".to_owned(),
        lost_at,
        answer,
        sends: requests.iter().map(|request| send(request)).collect(),
    }
}

#[test]
fn losses_within_the_window_share_one_probe_and_its_result() {
    let mut detector = CrashDetector::default();
    assert_eq!(detector.connection_lost(loss("e1", "a"), 10), probe("e1"));
    assert_eq!(
        detector.connection_lost(loss("e1", "b"), 11),
        ConnectionLossAction::Wait
    );
    assert_eq!(detector.connection_lost(loss("e2", "c"), 11), probe("e2"));
    let first = detector.probe_finished("e1", ProbeResult::Refused);
    assert_eq!(
        first,
        Some(diagnosis(10, ProbeResult::Refused, &["a", "b"]))
    );
    // An idle connection is found lost later.
    let known = diagnosis(10, ProbeResult::Refused, &["d"]);
    assert_eq!(
        detector.connection_lost(loss("e1", "d"), 1_500),
        ConnectionLossAction::Known(known)
    );
    assert_eq!(detector.probe_finished("e1", ProbeResult::Refused), None);
    // After the window, a loss counts as a new crash.
    assert_eq!(
        detector.connection_lost(loss("e1", "e"), 2_010),
        probe("e1")
    );
}

#[rstest]
#[case(ProbeResult::Accepted)]
#[case(ProbeResult::Silent)]
fn a_back_end_that_did_not_refuse_the_probe_is_probed_again(#[case] answer: ProbeResult) {
    let mut detector = CrashDetector::default();
    detector.connection_lost(loss("e1", "a"), 10);
    assert_eq!(
        detector.probe_finished("e1", answer),
        Some(diagnosis(10, answer, &["a"]))
    );
    assert_eq!(detector.connection_lost(loss("e1", "b"), 20), probe("e1"));
    let second = detector.probe_finished("e1", ProbeResult::Refused);
    assert_eq!(second, Some(diagnosis(20, ProbeResult::Refused, &["b"])));
}

#[test]
fn an_unsolicited_probe_result_is_ignored() {
    let mut detector = CrashDetector::default();
    assert_eq!(detector.probe_finished("e1", ProbeResult::Refused), None);
}
