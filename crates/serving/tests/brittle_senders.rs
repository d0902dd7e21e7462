//! Nodes that leave a brittle back end with few slots to others: what they forward, and how they
//! find out whether it still is brittle.

mod common;

use common::{call_of, dispatcher};
use silversail_model::{AnswerEnd, ResultCode};
use silversail_serving::dispatcher::{Action, Dispatcher, SendOutcome, UnknownReason};
use silversail_serving::forwarding::PeerNode;
use silversail_serving::notices::{AnswerContext, ExchangeKind};
use silversail_serving::ports::SelfReport;

const NODES: usize = 9;
const ENGINES: [&str; 2] = ["g1", "g2"];
const MAX_REJECTIONS: u32 = 2;
/// Time by which a node asks again after an answer, in milliseconds.
const ASKS_BY: u64 = 100_000;
const WHOLE: SendOutcome = SendOutcome::Delivered {
    status: 200,
    end: AnswerEnd::Whole,
};
const LOST: SendOutcome = SendOutcome::Unknown(UnknownReason::Deadline);

/// A node that knows that both engines are brittle.
fn node(own: usize, has_peers: bool) -> Dispatcher {
    let names: Vec<String> = (0..NODES).map(|node| format!("n{node}")).collect();
    let peers = names
        .iter()
        .filter(|name| has_peers && **name != names[own]);
    let peer = |name: &String| PeerNode {
        node: name.as_str().into(),
        address: format!("{name}:1"),
        zone: "b".to_owned(),
    };
    let mut dispatcher = dispatcher();
    dispatcher.set_peers(peers.map(peer).collect());
    dispatcher.set_nodes(&names[own], names.clone());
    for engine in ENGINES {
        report(&dispatcher, engine, Some(MAX_REJECTIONS), 0);
    }
    dispatcher
}

fn report(dispatcher: &Dispatcher, engine: &str, max_rejections: Option<u32>, now: u64) {
    let report = SelfReport {
        max_rejections_per_second: max_rejections,
        ..SelfReport::default()
    };
    let answer = AnswerContext {
        path: ExchangeKind::Request,
        permit: None,
        is_success: true,
    };
    let notices = dispatcher.instances.notices();
    notices.record_report(engine, answer, &report, now);
}

fn request(dispatcher: &mut Dispatcher, number: u64, now: u64) -> Vec<Action> {
    dispatcher.handle_request(number, call_of(&format!("r{number}"), "/gate/x"), now)
}

fn sent_to(actions: &[Action]) -> Option<String> {
    actions.iter().find_map(|action| match action {
        Action::Send { plan, .. } => Some(plan.instance.clone()),
        _ => None,
    })
}

fn forwarded_to(actions: &[Action]) -> Option<String> {
    actions.iter().find_map(|action| match action {
        Action::Forward { plan, .. } => Some(plan.node.0.clone()),
        _ => None,
    })
}

/// Number of the first node that sends to none of the engines.
fn node_that_leaves_all_to_others() -> usize {
    let sends = |own: &usize| sent_to(&request(&mut node(*own, true), 1, 10)).is_some();
    let mut nodes = 0..NODES;
    nodes
        .find(|own| !sends(own))
        .expect("more nodes than slots")
}

/// A request that went to another node that may not send either would be rejected there.
#[test]
fn requests_are_forwarded_to_nodes_that_may_send() {
    let mut dispatcher = node(node_that_leaves_all_to_others(), true);
    for number in 1..=30 {
        let peer = forwarded_to(&request(&mut dispatcher, number, 10)).expect("forwarded");
        let peer_number = peer[1..].parse().expect("a number");
        let actions = request(&mut node(peer_number, true), number, 11);
        assert!(sent_to(&actions).is_some(), "{peer} does not send");
        dispatcher.send_ended(number, WHOLE, None, 20);
    }
}

/// Without a peer that may send, a request would wait for nothing.
#[test]
fn without_a_peer_that_may_send_a_request_is_rejected_at_once() {
    let mut dispatcher = node(node_that_leaves_all_to_others(), false);
    let actions = request(&mut dispatcher, 1, 10);
    let code = actions.iter().find_map(|action| match action {
        Action::Answer { refusal, .. } => Some(refusal.code),
        _ => None,
    });
    assert_eq!(code, Some(ResultCode::NoBackend), "{actions:?}");
}

/// Each question that is lost would be followed by one more with the next request.
#[test]
fn an_engine_whose_answer_is_lost_is_asked_again_after_the_interval() {
    let mut dispatcher = node(node_that_leaves_all_to_others(), true);
    let mut questions = 0;
    for number in 1..=60 {
        let now = ASKS_BY + number * 500;
        let actions = request(&mut dispatcher, number, now);
        let is_question = sent_to(&actions).is_some();
        questions += usize::from(is_question);
        let outcome = if is_question { LOST } else { WHOLE };
        dispatcher.send_ended(number, outcome, None, now + 100);
    }
    assert_eq!(questions, ENGINES.len());
}

/// Others would go on carrying the requests of this node.
#[test]
fn once_an_engine_answers_that_it_is_sound_this_node_sends_to_it_again() {
    let mut dispatcher = node(node_that_leaves_all_to_others(), true);
    let asked = sent_to(&request(&mut dispatcher, 1, ASKS_BY)).expect("a question");
    report(&dispatcher, &asked, None, ASKS_BY + 100);
    dispatcher.send_ended(1, WHOLE, None, ASKS_BY + 100);
    for number in 2..=10 {
        let now = ASKS_BY + number * 500;
        let actions = request(&mut dispatcher, number, now);
        assert!(sent_to(&actions).is_some(), "{actions:?}");
        dispatcher.send_ended(number, WHOLE, None, now + 100);
    }
}
