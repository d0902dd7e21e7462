//! Requests that crash back ends, on the path of a pass-through request.

mod common;

use common::batches::work;
use common::{call_of, dispatcher, instances};
use silversail_decisions::DecisionLog;
use silversail_model::{ContentDigest, NodeName, RequestFingerprint, ResultCode};
use silversail_peer::PieceFailure;
use silversail_quarantine::{QuarantineLimits, QuarantineList};
use silversail_serving::batcher::{Batcher, OrderKey};
use silversail_serving::crashes::BrokenSend;
use silversail_serving::dispatcher::{Action, Refusal, SendOutcome, UnknownReason};
use silversail_serving::instances::InstanceTable;
use silversail_serving::policy::Policy;
use silversail_serving::ports::CallAttributes;
use silversail_serving::quarantine::RequestQuarantine;
use std::sync::Arc;

const BROKEN: SendOutcome = SendOutcome::Unknown(UnknownReason::Broken);

fn bad_call(id: &str, path: &str) -> CallAttributes {
    CallAttributes {
        content: ContentDigest::of(path, b"bad"),
        pieces: vec![1, 1, 1],
        ..call_of(id, path)
    }
}

fn bad(path: &str) -> RequestFingerprint {
    RequestFingerprint::of(None, &ContentDigest::of(path, b"bad"))
}

fn refuse(quarantine: &mut RequestQuarantine, path: &str) {
    quarantine.take(Arc::new(QuarantineList {
        revision: 1,
        refused: [bad(path)].into(),
        watched: [].into(),
    }));
}

fn answered(actions: &[Action]) -> Vec<Refusal> {
    let answers = actions.iter().filter_map(|action| match action {
        Action::Answer { refusal, .. } => Some(*refusal),
        _ => None,
    });
    answers.collect()
}

fn sends(actions: &[Action]) -> usize {
    let is_send = |action: &&Action| matches!(action, Action::Send { .. });
    actions.iter().filter(is_send).count()
}

const REFUSED: Refusal = Refusal {
    code: ResultCode::RequestQuarantined,
    retry_after_ms: None,
};

#[test]
fn a_refused_request_is_answered_at_once_and_told_not_to_come_again() {
    let mut dispatcher = dispatcher();
    refuse(&mut dispatcher.quarantine, "/chat/x");
    let actions = dispatcher.arrive(1, bad_call("r1", "/chat/x"), 0);
    assert_eq!(answered(&actions), [REFUSED]);
    assert_eq!(ResultCode::RequestQuarantined.http_status(), 400);
    // Others, of the same path too, go on.
    let other = CallAttributes {
        content: ContentDigest::of("/chat/x", b"good"),
        ..call_of("r2", "/chat/x")
    };
    assert_eq!(sends(&dispatcher.arrive(2, other, 0)), 1);
}

#[test]
fn a_verdict_ends_requests_whose_phases_are_under_way_and_lets_sent_ones_end() {
    let mut dispatcher = dispatcher();
    let submitted = dispatcher.arrive(1, bad_call("r1", "/staged/x"), 0);
    assert!(submitted
        .iter()
        .any(|action| matches!(action, Action::Submit { .. })));
    let at_engine = dispatcher.arrive(2, bad_call("r2", "/chat/x"), 0);
    assert_eq!(sends(&at_engine), 1);
    refuse(&mut dispatcher.quarantine, "/staged/x");
    let actions = dispatcher.end_quarantined(10);
    assert_eq!(answered(&actions), [REFUSED]);
    assert!(actions
        .iter()
        .any(|action| matches!(action, Action::Cancel { .. })));
    refuse(&mut dispatcher.quarantine, "/chat/x");
    assert_eq!(dispatcher.end_quarantined(10), []);
}

/// It ran at an engine that broke off: "not run" would not be true of this attempt.
#[test]
fn a_request_that_is_refused_meanwhile_is_not_sent_again_and_not_said_to_be_not_run() {
    let mut dispatcher = dispatcher();
    dispatcher.arrive(1, bad_call("r1", "/lookup/x"), 0);
    refuse(&mut dispatcher.quarantine, "/lookup/x");
    let actions = dispatcher.send_ended(1, BROKEN, None, 20);
    assert_eq!(sends(&actions), 0);
    let codes: Vec<ResultCode> = answered(&actions).iter().map(|one| one.code).collect();
    assert_eq!(codes, [ResultCode::BackendFailed]);
}

#[test]
fn what_breaks_off_is_to_be_diagnosed_and_a_late_end_is_not() {
    let mut dispatcher = dispatcher();
    dispatcher.arrive(1, bad_call("r1", "/gate/x"), 0);
    let actions = dispatcher.send_ended(1, BROKEN, None, 20);
    let broken: Vec<&Vec<BrokenSend>> = actions
        .iter()
        .filter_map(|action| match action {
            Action::Diagnose { broken } => Some(&broken.sends),
            _ => None,
        })
        .collect();
    let expected = vec![BrokenSend {
        request: "r1".into(),
        fingerprint: bad("/gate/x"),
    }];
    assert_eq!(broken, [&expected]);
    dispatcher.arrive(2, bad_call("r2", "/gate/x"), 0);
    let late = SendOutcome::Unknown(UnknownReason::Deadline);
    let actions = dispatcher.send_ended(2, late, None, 20);
    assert!(!actions
        .iter()
        .any(|action| matches!(action, Action::Diagnose { .. })));
}

#[test]
fn three_crashes_seen_here_count_here_until_the_verdict_is_lifted() {
    let mut quarantine = RequestQuarantine::new(QuarantineLimits::default());
    for backend in ["e1", "e2", "e3"] {
        assert!(!quarantine.refuses(&bad("/x")));
        quarantine.crashed(backend, [bad("/x")], 10);
    }
    assert!(quarantine.refuses(&bad("/x")));
    refuse(&mut quarantine, "/x");
    quarantine.take(Arc::new(QuarantineList {
        revision: 2,
        ..QuarantineList::default()
    }));
    assert!(!quarantine.refuses(&bad("/x")));
}

#[test]
fn waiting_orders_of_a_refused_request_end_and_calls_name_their_suspects() {
    let mut batcher = Batcher::new(Policy::default(), DecisionLog::off());
    batcher.set_specs([("encode".to_owned(), common::batch_spec())].into());
    let mut table = InstanceTable::new(DecisionLog::off());
    table.replace(&instances());
    let submit = |batcher: &mut Batcher, number: u64, path: &str| {
        let key = OrderKey {
            node: NodeName("n1".into()),
            work: number,
        };
        let mut order = work(number, 2);
        order.fingerprint = bad(path);
        batcher.submit(key, order, &table, 0).expect("taken");
    };
    submit(&mut batcher, 1, "/a");
    submit(&mut batcher, 2, "/b");
    let calls = batcher.next_calls(&table, 0);
    let mut suspects: Vec<RequestFingerprint> = calls
        .iter()
        .filter_map(|call| batcher.break_off(call.call))
        .flat_map(|broken| broken.sends)
        .map(|send| send.fingerprint)
        .collect();
    suspects.sort_unstable();
    suspects.dedup();
    let mut expected = vec![bad("/a"), bad("/b")];
    expected.sort_unstable();
    assert_eq!(suspects, expected);
    for number in 3..9 {
        submit(&mut batcher, number, "/c");
    }
    let mut quarantine = RequestQuarantine::default();
    refuse(&mut quarantine, "/c");
    let ended = batcher.end_quarantined(&quarantine);
    assert_eq!(ended.len(), 6);
    assert!(ended
        .iter()
        .all(|one| one.result == Err(PieceFailure::Quarantined)));
}
