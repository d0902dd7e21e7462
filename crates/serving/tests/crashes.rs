//! What connections that break off say of a back end.

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
    }
}

fn broken(instance: &str, request: &str) -> ConnectionLoss {
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
fn a_back_end_is_asked_once_for_all_that_broke_off_and_later_ones_are_of_the_same_crash() {
    let mut watch = CrashDetector::default();
    assert_eq!(watch.connection_lost(broken("e1", "a"), 10), probe("e1"));
    assert_eq!(
        watch.connection_lost(broken("e1", "b"), 11),
        ConnectionLossAction::Wait
    );
    assert_eq!(watch.connection_lost(broken("e2", "c"), 11), probe("e2"));
    let first = watch.probe_finished("e1", ProbeResult::Refused);
    assert_eq!(
        first,
        Some(diagnosis(10, ProbeResult::Refused, &["a", "b"]))
    );
    // Its silent connection shows the end later.
    let known = diagnosis(10, ProbeResult::Refused, &["d"]);
    assert_eq!(
        watch.connection_lost(broken("e1", "d"), 1_500),
        ConnectionLossAction::Known(known)
    );
    assert_eq!(watch.probe_finished("e1", ProbeResult::Refused), None);
    // It was back since, and crashed again.
    assert_eq!(watch.connection_lost(broken("e1", "e"), 2_010), probe("e1"));
}

#[rstest]
#[case(ProbeResult::Accepted)]
#[case(ProbeResult::Silent)]
fn a_back_end_that_did_not_refuse_is_asked_again(#[case] answer: ProbeResult) {
    let mut watch = CrashDetector::default();
    watch.connection_lost(broken("e1", "a"), 10);
    assert_eq!(
        watch.probe_finished("e1", answer),
        Some(diagnosis(10, answer, &["a"]))
    );
    assert_eq!(watch.connection_lost(broken("e1", "b"), 20), probe("e1"));
    let second = watch.probe_finished("e1", ProbeResult::Refused);
    assert_eq!(second, Some(diagnosis(20, ProbeResult::Refused, &["b"])));
}

#[test]
fn an_answer_that_nobody_waits_for_says_nothing() {
    let mut watch = CrashDetector::default();
    assert_eq!(watch.probe_finished("e1", ProbeResult::Refused), None);
}
