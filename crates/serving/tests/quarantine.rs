//! Tests of quarantined requests in the dispatcher and the batcher.

mod common;

use common::batches::work;
use common::{call_of, dispatcher, instances};
use silversail_decisions::DecisionLog;
use silversail_model::{
    ContentDigest, NodeName, RequestAttribute, RequestFingerprint, ResultCode, TenantScope,
};
use silversail_peer::PieceFailure;
use silversail_quarantine::{QuarantineLimits, QuarantineList};
use silversail_serving::batcher::{Batcher, OrderKey};
use silversail_serving::crashes::InterruptedSend;
use silversail_serving::dispatcher::{Action, NotRunReason, Refusal, SendOutcome, UnknownReason};
use silversail_serving::instances::InstanceTable;
use silversail_serving::policy::Policy;
use silversail_serving::ports::{CallAttributes, PrefixPart};
use silversail_serving::quarantine::RequestQuarantine;
use std::sync::Arc;

const BROKEN: SendOutcome = SendOutcome::Unknown(UnknownReason::Broken);

fn crashing_call(id: &str, path: &str) -> CallAttributes {
    CallAttributes {
        content: ContentDigest::of(path, b"bad"),
        pieces: vec![1, 1, 1],
        ..call_of(id, path)
    }
}

fn fingerprint_of(path: &str) -> RequestFingerprint {
    RequestFingerprint::of(None, &ContentDigest::of(path, b"bad"))
}

fn refuse(quarantine: &mut RequestQuarantine, path: &str) {
    quarantine.update(Arc::new(QuarantineList {
        revision: 1,
        refused: [fingerprint_of(path)].into(),
        watched: [].into(),
    }));
}

fn refusals(actions: &[Action]) -> Vec<Refusal> {
    let answers = actions.iter().filter_map(|action| match action {
        Action::Answer { refusal, .. } => Some(*refusal),
        _ => None,
    });
    answers.collect()
}

fn send_count(actions: &[Action]) -> usize {
    let is_send = |action: &&Action| matches!(action, Action::Send { .. });
    actions.iter().filter(is_send).count()
}

const REFUSED: Refusal = Refusal {
    code: ResultCode::RequestQuarantined,
    retry_after_ms: None,
};

#[test]
fn a_quarantined_request_is_rejected_at_once_without_retry_delay() {
    let mut dispatcher = dispatcher();
    refuse(&mut dispatcher.quarantine, "/chat/x");
    let actions = dispatcher.handle_request(1, crashing_call("r1", "/chat/x"), 0);
    assert_eq!(refusals(&actions), [REFUSED]);
    assert_eq!(ResultCode::RequestQuarantined.http_status(), 400);
    // Other requests are accepted, even for the same path.
    let other = CallAttributes {
        content: ContentDigest::of("/chat/x", b"good"),
        ..call_of("r2", "/chat/x")
    };
    assert_eq!(send_count(&dispatcher.handle_request(2, other, 0)), 1);
}

#[test]
fn quarantine_ends_requests_in_their_phases_but_not_those_sent_to_an_engine() {
    let mut dispatcher = dispatcher();
    let submitted = dispatcher.handle_request(1, crashing_call("r1", "/staged/x"), 0);
    assert!(submitted
        .iter()
        .any(|action| matches!(action, Action::Submit { .. })));
    let at_engine = dispatcher.handle_request(2, crashing_call("r2", "/chat/x"), 0);
    assert_eq!(send_count(&at_engine), 1);
    refuse(&mut dispatcher.quarantine, "/staged/x");
    let actions = dispatcher.reject_quarantined(10);
    assert_eq!(refusals(&actions), [REFUSED]);
    assert!(actions
        .iter()
        .any(|action| matches!(action, Action::Cancel { .. })));
    refuse(&mut dispatcher.quarantine, "/chat/x");
    assert_eq!(dispatcher.reject_quarantined(10), []);
}

/// The request may have run at the engine, so that "not run" would be wrong.
#[test]
fn a_request_quarantined_after_its_send_is_not_retried_and_not_reported_as_not_run() {
    let mut dispatcher = dispatcher();
    dispatcher.handle_request(1, crashing_call("r1", "/lookup/x"), 0);
    refuse(&mut dispatcher.quarantine, "/lookup/x");
    let actions = dispatcher.send_ended(1, BROKEN, None, 20);
    assert_eq!(send_count(&actions), 0);
    let codes: Vec<ResultCode> = refusals(&actions)
        .iter()
        .map(|refusal| refusal.code)
        .collect();
    assert_eq!(codes, [ResultCode::BackendFailed]);
}

#[test]
fn a_lost_connection_is_diagnosed_and_a_missed_deadline_is_not() {
    let mut dispatcher = dispatcher();
    dispatcher.handle_request(1, crashing_call("r1", "/gate/x"), 0);
    let actions = dispatcher.send_ended(1, BROKEN, None, 20);
    let broken: Vec<&Vec<InterruptedSend>> = actions
        .iter()
        .filter_map(|action| match action {
            Action::Diagnose { broken } => Some(&broken.sends),
            _ => None,
        })
        .collect();
    let expected = vec![InterruptedSend {
        request: "r1".into(),
        fingerprint: fingerprint_of("/gate/x"),
        prompt: None,
    }];
    assert_eq!(broken, [&expected]);
    dispatcher.handle_request(2, crashing_call("r2", "/gate/x"), 0);
    let late = SendOutcome::Unknown(UnknownReason::Deadline);
    let actions = dispatcher.send_ended(2, late, None, 20);
    assert!(!actions
        .iter()
        .any(|action| matches!(action, Action::Diagnose { .. })));
}

#[test]
fn local_evidence_of_three_crashes_quarantines_until_the_request_is_released() {
    let mut quarantine = RequestQuarantine::new(QuarantineLimits::default());
    for backend in ["e1", "e2", "e3"] {
        assert!(!quarantine.refuses(&fingerprint_of("/x")));
        quarantine.record_crash(backend, [fingerprint_of("/x")], 10);
    }
    assert!(quarantine.refuses(&fingerprint_of("/x")));
    refuse(&mut quarantine, "/x");
    quarantine.update(Arc::new(QuarantineList {
        revision: 2,
        ..QuarantineList::default()
    }));
    assert!(!quarantine.refuses(&fingerprint_of("/x")));
}

#[test]
fn waiting_orders_of_a_quarantined_request_end_and_lost_calls_report_their_requests() {
    let mut batcher = Batcher::new(Policy::default(), DecisionLog::disabled());
    batcher.set_specs([("encode".to_owned(), common::batch_spec())].into());
    let mut table = InstanceTable::new(DecisionLog::disabled());
    table.replace_list(&instances());
    let submit = |batcher: &mut Batcher, number: u64, path: &str| {
        let key = OrderKey {
            node: NodeName("n1".into()),
            work: number,
        };
        let mut order = work(number, 2);
        order.fingerprint = fingerprint_of(path);
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
    let mut expected = vec![fingerprint_of("/a"), fingerprint_of("/b")];
    expected.sort_unstable();
    assert_eq!(suspects, expected);
    for number in 3..9 {
        submit(&mut batcher, number, "/c");
    }
    let mut quarantine = RequestQuarantine::default();
    refuse(&mut quarantine, "/c");
    let ended = batcher.reject_quarantined(&quarantine);
    assert_eq!(ended.len(), 6);
    assert!(ended
        .iter()
        .all(|order| order.result == Err(PieceFailure::Quarantined)));
}

const GUILTY_PART: u64 = 0xbad;

fn prompt_call(id: &str, path: &str, parts: &[u64]) -> CallAttributes {
    let part = |id: &u64| PrefixPart {
        id: *id,
        tokens: 10,
    };
    CallAttributes {
        content: ContentDigest::of(path, id.as_bytes()),
        prefix: parts.iter().map(part).collect(),
        ..call_of(id, path)
    }
}

fn refuse_guilty_part(quarantine: &mut RequestQuarantine) {
    let part = RequestAttribute::PromptPart(GUILTY_PART);
    let fingerprint = RequestFingerprint::of_attribute("pool", &TenantScope::Only(None), &part);
    quarantine.update(Arc::new(QuarantineList {
        revision: 1,
        refused: [fingerprint].into(),
        watched: [].into(),
    }));
}

const PART_REFUSED: Refusal = Refusal {
    code: ResultCode::AttributeQuarantined,
    retry_after_ms: None,
};

#[test]
fn only_requests_with_a_quarantined_prompt_part_are_rejected() {
    let mut dispatcher = dispatcher();
    refuse_guilty_part(&mut dispatcher.quarantine);
    let mut handle = |number, parts: &[u64]| {
        let call = prompt_call(&format!("r{number}"), "/chat/x", parts);
        dispatcher.handle_request(number, call, 0)
    };
    assert_eq!(
        refusals(&handle(1, &[0xa1, GUILTY_PART, 1])),
        [PART_REFUSED]
    );
    assert_eq!(ResultCode::AttributeQuarantined.http_status(), 400);
    // The same first part goes on, and the last part never counts.
    assert_eq!(send_count(&handle(2, &[0xa1, 0xc1, 2])), 1);
    assert_eq!(send_count(&handle(3, &[0xa1, GUILTY_PART])), 1);
}

#[test]
fn a_request_with_a_quarantined_part_ends_in_its_phases_and_before_a_second_send() {
    let mut dispatcher = dispatcher();
    let staged = CallAttributes {
        pieces: vec![1, 1, 1],
        ..prompt_call("r1", "/staged/x", &[GUILTY_PART, 1])
    };
    dispatcher.handle_request(1, staged, 0);
    let call = prompt_call("r2", "/chat/deep/x", &[GUILTY_PART, 2]);
    assert_eq!(send_count(&dispatcher.handle_request(2, call, 0)), 1);
    refuse_guilty_part(&mut dispatcher.quarantine);
    let ended = dispatcher.reject_quarantined(10);
    assert_eq!(refusals(&ended), [PART_REFUSED]);
    let is_cancel = |action: &Action| matches!(action, Action::Cancel { .. });
    assert!(ended.iter().any(is_cancel), "its phases are given up");
    // The engine turns the other one away unread; it is sent to no second one.
    let misplaced = SendOutcome::NotRun(NotRunReason::Misplaced);
    let actions = dispatcher.send_ended(2, misplaced, None, 20);
    assert_eq!(send_count(&actions), 0);
    assert_eq!(refusals(&actions), [PART_REFUSED]);
}

#[test]
fn answers_that_are_whole_or_go_on_show_their_parts_once() {
    let mut dispatcher = dispatcher();
    let call = prompt_call("r1", "/chat/x", &[0xa1, 0xc1, 1]);
    dispatcher.handle_request(1, call, 0);
    assert_eq!(
        dispatcher.take_lasting_answers(5_000),
        [],
        "no first byte yet"
    );
    dispatcher.head_received(1, None, 100);
    assert_eq!(dispatcher.take_lasting_answers(1_099), []);
    let lasting = dispatcher.take_lasting_answers(1_100);
    let parts = [0xa1, 0xc1].map(RequestAttribute::PromptPart);
    assert_eq!(lasting.len(), 1);
    assert_eq!(
        (lasting[0].attributes.as_slice(), lasting[0].began_at),
        (&parts[..], 100)
    );
    assert_eq!(dispatcher.take_lasting_answers(2_000), []);
    let whole = dispatcher.answered_request(1, 2_100).expect("has parts");
    assert_eq!(
        (whole.group.service.as_str(), whole.began_at),
        ("pool", 100)
    );
}
