//! Engines and makers that ask for rest, or say in answers that they leave: what they get, what
//! takes it back, and what becomes of requests for which all rest.

mod common;

use common::{call, call_of, dispatcher, dispatcher_with, in_zone, instances, list_of, traffic};
use rstest::rstest;
use silversail_decisions::DecisionLog;
use silversail_model::{NamedLimit, ResultCode};
use silversail_peer::{ListedInstance, PieceFailure, ResultHandle};
use silversail_serving::dispatcher::{
    Action, Dispatcher, NotRunReason, Refusal, SendOutcome, UnknownReason,
};
use silversail_serving::instances::{InstanceTable, ReturnPolicy};
use silversail_serving::notices::ExchangeKind;
use silversail_serving::policy::Policy;
use silversail_serving::ports::SelfReport;
use silversail_serving::retry_budget::RetryLimits;
use silversail_serving::routes::RouteTable;
use std::time::Duration;

const FULL: SendOutcome = SendOutcome::NotRun(NotRunReason::Full);
const WITHHELD: SendOutcome = SendOutcome::NotRun(NotRunReason::Withheld);
const WHOLE: SendOutcome = SendOutcome::Delivered {
    status: 200,
    is_whole: true,
};

fn rest(millis: u64) -> SelfReport {
    SelfReport {
        rest: Some(Duration::from_millis(millis)),
        ..SelfReport::default()
    }
}

const LEAVING: SelfReport = SelfReport {
    load: None,
    rest: None,
    has_unreadable_rest: false,
    has_unreadable_pace: false,
    is_leaving: true,
    limit: NamedLimit {
        lowest: None,
        is_unreadable: false,
    },
    unknown: Vec::new(),
};

fn hear(table: &InstanceTable, ids: &[&str], said: &SelfReport, now: u64) {
    for id in ids {
        table
            .notices()
            .record_report(id, ExchangeKind::Request, said, now);
    }
}

/// The back end to which the request goes; none where it does not go.
fn sent_to(actions: &[Action]) -> Option<String> {
    actions.iter().find_map(|action| match action {
        Action::Send { plan, .. } => Some(plan.instance.clone()),
        _ => None,
    })
}

fn refusal(actions: &[Action]) -> Option<Refusal> {
    actions.iter().find_map(|action| match action {
        Action::Answer { refusal, .. } => Some(*refusal),
        _ => None,
    })
}

/// A dispatcher whose first request leaves no budget for another send.
fn without_retries() -> Dispatcher {
    let limits = RetryLimits {
        ratio: 0.0,
        allowance: 0.0,
        window: 10_000,
    };
    let policy = Policy::default();
    let mut dispatcher = Dispatcher::new(in_zone("a"), limits, policy, 1, DecisionLog::off());
    dispatcher.set_routes(RouteTable::new(&traffic()));
    dispatcher.instances.replace(&instances());
    dispatcher
}

#[test]
fn a_resting_engine_gets_nothing_until_its_rest_is_over() {
    let mut dispatcher = dispatcher();
    hear(&dispatcher.instances, &["g1"], &rest(3_000), 0);
    let mut came_back = false;
    for number in 0..20 {
        let actions = dispatcher.arrive(number, call_of("r", "/gate/x"), 400 * number);
        let to = sent_to(&actions).expect("sent");
        came_back |= to == "g1";
        assert!(to == "g2" || 400 * number >= 3_000, "at {}", 400 * number);
    }
    assert!(came_back);
}

#[rstest]
#[case::of_another_node(|_: &mut Vec<ListedInstance>| {})]
#[case::that_lacked_it_before(|listed: &mut Vec<ListedInstance>| listed.retain(|one| one.id != "g1"))]
fn no_list_takes_back_what_an_engine_said(#[case] change: fn(&mut Vec<ListedInstance>)) {
    for said in [rest(5_000), LEAVING] {
        let mut dispatcher = dispatcher();
        hear(&dispatcher.instances, &["g1"], &said, 0);
        let mut listed = instances();
        change(&mut listed);
        dispatcher.take_listing(&list_of(&listed), 100);
        dispatcher.take_listing(&list_of(&instances()), 1_100);
        let actions = dispatcher.arrive(1, call_of("r", "/gate/x"), 1_200);
        assert_eq!(sent_to(&actions).as_deref(), Some("g2"), "{said:?}");
    }
}

#[test]
fn an_engine_at_whose_address_another_answered_stays_gone_although_lists_name_it() {
    let mut dispatcher = dispatcher();
    dispatcher.instances.misplaced("g1", 0);
    let mut listed = instances();
    listed[0].cold = true;
    dispatcher.take_listing(&list_of(&listed), 1_000);
    let actions = dispatcher.arrive(1, call_of("r", "/gate/x"), 1_100);
    assert_eq!(sent_to(&actions).as_deref(), Some("g2"));
    // At another address it is another matter.
    listed[3].address = "elsewhere:80".into();
    dispatcher.take_listing(&list_of(&listed), 2_000);
    let actions = dispatcher.arrive(2, call_of("r", "/gate/x"), 2_100);
    assert_eq!(sent_to(&actions).as_deref(), Some("g1"));
}

#[test]
fn a_later_start_of_an_engine_is_bound_by_nothing_that_the_former_said() {
    let mut dispatcher = dispatcher();
    hear(&dispatcher.instances, &["g1"], &LEAVING, 0);
    let mut listed = instances();
    listed[3].id = "g1#2".into();
    dispatcher.take_listing(&list_of(&listed), 1_000);
    let actions = dispatcher.arrive(1, call_of("r", "/gate/x"), 1_100);
    assert_eq!(sent_to(&actions).as_deref(), Some("g1#2"));
}

#[test]
fn an_engine_that_said_it_leaves_is_no_last_resort() {
    let mut dispatcher = dispatcher();
    dispatcher.instances.failed("g1", 0, "test");
    dispatcher.instances.failed("g2", 0, "test");
    hear(&dispatcher.instances, &["g1"], &LEAVING, 0);
    let actions = dispatcher.arrive(1, call_of("r", "/gate/x"), 10);
    assert_eq!(sent_to(&actions).as_deref(), Some("g2"));
    hear(&dispatcher.instances, &["g2"], &LEAVING, 20);
    let refused = refusal(&dispatcher.arrive(2, call_of("r", "/gate/x"), 30));
    assert_eq!(refused.map(|one| one.code), Some(ResultCode::NoBackend));
}

#[test]
fn an_engine_that_rests_is_no_last_resort_where_the_others_failed() {
    let mut dispatcher = dispatcher();
    dispatcher.instances.failed("g1", 0, "test");
    dispatcher.instances.failed("g2", 0, "test");
    hear(&dispatcher.instances, &["g1"], &rest(3_000), 0);
    let actions = dispatcher.arrive(1, call_of("r", "/gate/x"), 10);
    assert_eq!(sent_to(&actions).as_deref(), Some("g2"));
}

/// It was chosen before it said so, and nothing left for it.
#[test]
fn a_send_that_is_withheld_costs_no_retry_and_no_send() {
    let mut dispatcher = without_retries();
    let first = sent_to(&dispatcher.arrive(1, call_of("r", "/gate/x"), 0)).expect("sent");
    hear(&dispatcher.instances, &[&first], &rest(3_000), 5);
    let second = sent_to(&dispatcher.send_ended(1, WITHHELD, None, 5)).expect("sent anew");
    assert_ne!(second, first);
    // What an engine turned away did reach it, and is paid for.
    let refused = refusal(&dispatcher.send_ended(1, FULL, None, 10));
    let code = refused.map(|one| one.code);
    assert_eq!(code, Some(ResultCode::RetryBudgetSpent));
}

#[test]
fn where_all_rest_beyond_the_deadline_a_request_is_refused_at_once_with_the_time() {
    let mut dispatcher = dispatcher();
    hear(&dispatcher.instances, &["g1"], &rest(9_000), 0);
    hear(&dispatcher.instances, &["g2"], &rest(7_000), 0);
    let refused = refusal(&dispatcher.arrive(1, call_of("r", "/gate/x"), 1_000)).expect("refused");
    assert_eq!(refused.code, ResultCode::BackendsResting);
    assert_eq!(refused.retry_after_ms, Some(6_000));
    assert_eq!(dispatcher.open_requests(), 0);
}

#[test]
fn of_a_rest_without_end_no_return_is_told() {
    let mut dispatcher = dispatcher();
    hear(&dispatcher.instances, &["g1", "g2"], &rest(u64::MAX), 0);
    let refused = refusal(&dispatcher.arrive(1, call_of("r", "/gate/x"), 10)).expect("refused");
    assert_eq!(refused.code, ResultCode::BackendsResting);
    assert_eq!(refused.retry_after_ms, None);
}

/// Its phases would be made for nothing.
#[test]
fn a_request_with_phases_is_refused_before_them_where_all_engines_rest_too_long() {
    let mut dispatcher = dispatcher();
    hear(&dispatcher.instances, &["e1", "e2", "e3"], &rest(60_000), 0);
    let mut staged = call_of("r", "/staged/x");
    staged.pieces = vec![1, 1, 1];
    let actions = dispatcher.arrive(1, staged, 10);
    let refused = refusal(&actions).expect("refused");
    assert_eq!(refused.code, ResultCode::BackendsResting);
    let is_submit = |action: &Action| matches!(action, Action::Submit { .. });
    assert!(!actions.iter().any(is_submit));
}

#[test]
fn a_request_waits_for_an_engine_that_is_back_in_time() {
    let mut dispatcher = dispatcher();
    hear(&dispatcher.instances, &["g1"], &rest(2_000), 0);
    hear(&dispatcher.instances, &["g2"], &rest(1_000), 0);
    assert!(dispatcher
        .arrive(1, call_of("r", "/gate/x"), 100)
        .is_empty());
    assert!(dispatcher.send_waiting(999).is_empty());
    assert!(dispatcher.expire(999).is_empty());
    let actions = dispatcher.send_waiting(1_000);
    assert_eq!(sent_to(&actions).as_deref(), Some("g2"));
    assert!(dispatcher.send_waiting(1_100).is_empty(), "sent once");
}

#[test]
fn a_waiting_request_goes_elsewhere_as_soon_as_another_engine_is_there() {
    let mut dispatcher = dispatcher();
    hear(&dispatcher.instances, &["g1", "g2"], &rest(2_000), 0);
    assert!(dispatcher
        .arrive(1, call_of("r", "/gate/x"), 100)
        .is_empty());
    let mut listed = instances();
    listed.push(common::instance("g3", "gate", "a"));
    dispatcher.take_listing(&list_of(&listed), 200);
    let actions = dispatcher.send_waiting(225);
    assert_eq!(sent_to(&actions).as_deref(), Some("g3"));
}

/// If it is turned away the others were spared; else they follow its answer.
#[test]
fn after_a_rest_one_request_goes_first() {
    let mut dispatcher = dispatcher();
    hear(&dispatcher.instances, &["g1", "g2"], &rest(1_000), 0);
    for number in 1..=4 {
        let actions = dispatcher.arrive(number, call_of("r", "/gate/x"), 100);
        assert!(actions.is_empty());
    }
    let first = dispatcher.send_waiting(1_000);
    let sends = |actions: &[Action]| {
        let is_send = |action: &&Action| matches!(action, Action::Send { .. });
        actions.iter().filter(is_send).count()
    };
    assert_eq!(sends(&first), 2, "one to each engine");
    assert_eq!(sends(&dispatcher.send_waiting(1_050)), 0);
    // One engine answers and says nothing of rest, the other asks for more.
    hear(
        &dispatcher.instances,
        &["g1"],
        &SelfReport::default(),
        1_060,
    );
    hear(&dispatcher.instances, &["g2"], &rest(1_000), 1_060);
    let later = dispatcher.send_waiting(1_075);
    assert_eq!(sends(&later), 2);
    assert!(later.iter().all(|action| match action {
        Action::Send { plan, .. } => plan.instance == "g1",
        _ => true,
    }));
}

#[test]
fn an_engine_whose_first_request_gives_no_sign_gets_another_in_time() {
    let mut dispatcher = dispatcher();
    hear(&dispatcher.instances, &["g1", "g2"], &rest(500), 0);
    for number in 1..=3 {
        dispatcher.arrive(number, call_of("r", "/gate/x"), 100);
    }
    dispatcher.send_waiting(500);
    assert!(dispatcher.send_waiting(1_400).is_empty());
    assert!(sent_to(&dispatcher.send_waiting(1_500)).is_some());
}

/// All were told alike: those that came back together would overload it again.
#[test]
fn nodes_come_back_spread_over_a_share_of_the_rest() {
    let returns_at = |node: &str| {
        let mut table = InstanceTable::new(DecisionLog::off());
        table.set_senders(node, vec![node.to_owned()]);
        table.set_returns(ReturnPolicy {
            first_alone: true,
            spread: 0.4,
        });
        table.replace(&instances());
        hear(&table, &["g1"], &rest(1_000), 0);
        let engine = table.get("g1").expect("listed");
        (0..3_000).find(|now| engine.is_usable(*now))
    };
    let nodes = (0..40).map(|node| format!("n{node}"));
    let times: Vec<u64> = nodes.filter_map(|node| returns_at(&node)).collect();
    assert_eq!(times.len(), 40);
    assert!(times.iter().all(|at| (1_000..=1_400).contains(at)));
    let early = times.iter().filter(|at| **at < 1_200).count();
    assert!(
        (10..=30).contains(&early),
        "{early} of 40 in the first half"
    );
}

/// Whoever has no other choice does not wait for the sake of the spread.
#[test]
fn a_node_without_another_engine_comes_back_at_the_end_of_the_rest() {
    let mut dispatcher = dispatcher();
    hear(&dispatcher.instances, &["g1"], &rest(1_000), 0);
    dispatcher.instances.failed("g2", 900, "test");
    let actions = dispatcher.arrive(1, call_of("r", "/gate/x"), 1_000);
    assert_eq!(sent_to(&actions).as_deref(), Some("g1"));
}

/// Two back ends run four requests each at once: no more than eight wait for them.
#[test]
fn no_more_requests_wait_than_the_engines_run_at_once() {
    let mut dispatcher = dispatcher();
    hear(&dispatcher.instances, &["g1", "g2"], &rest(1_000), 0);
    for number in 1..=8 {
        let actions = dispatcher.arrive(number, call_of("r", "/gate/x"), 10);
        assert!(actions.is_empty(), "{number}");
    }
    let refused = refusal(&dispatcher.arrive(9, call_of("r", "/gate/x"), 10)).expect("refused");
    assert_eq!(refused.code, ResultCode::BackendsResting);
    assert_eq!(refused.retry_after_ms, Some(990));
}

#[test]
fn a_caller_that_leaves_while_it_waits_is_forgotten() {
    let mut dispatcher = dispatcher();
    hear(&dispatcher.instances, &["g1", "g2"], &rest(1_000), 0);
    dispatcher.arrive(1, call_of("r", "/gate/x"), 10);
    dispatcher.caller_gone(1, 20);
    assert!(dispatcher.send_waiting(1_000).is_empty());
}

#[test]
fn a_whole_answer_of_a_plain_request_is_a_sign_of_a_sound_back_end() {
    let mut dispatcher = dispatcher();
    for id in ["g1", "g2"] {
        for _ in 0..3 {
            dispatcher.instances.failed(id, 0, "test");
        }
    }
    let first = sent_to(&dispatcher.arrive(1, call_of("r", "/gate/x"), 5_000)).expect("sent");
    dispatcher.send_ended(1, WHOLE, None, 5_010);
    dispatcher.instances.failed(&first, 5_020, "test");
    let engine = dispatcher.instances.get(&first).expect("listed");
    assert!(engine.is_usable(5_520), "as after a first failure");
}

/// "Not run" must be true: the first send may have run.
#[test]
fn a_request_that_may_have_run_is_not_refused_as_if_it_had_not() {
    let mut dispatcher = dispatcher();
    let first = sent_to(&dispatcher.arrive(1, call_of("r", "/lookup/x"), 0)).expect("sent");
    let other = if first == "g1" { "g2" } else { "g1" };
    hear(&dispatcher.instances, &[other], &rest(1_000), 5);
    let broken = SendOutcome::Unknown(UnknownReason::Broken);
    let refused = refusal(&dispatcher.send_ended(1, broken, None, 10)).expect("given up");
    assert_eq!(refused.code, ResultCode::BackendFailed);
    assert_eq!(refused.retry_after_ms, None);
}

#[test]
fn nor_is_one_that_was_turned_away_after_a_send_that_may_have_run() {
    let mut dispatcher = dispatcher();
    dispatcher.arrive(1, call_of("r", "/lookup/x"), 0);
    let broken = SendOutcome::Unknown(UnknownReason::Broken);
    assert!(sent_to(&dispatcher.send_ended(1, broken, None, 10)).is_some());
    let refused = refusal(&dispatcher.send_ended(1, FULL, None, 20)).expect("given up");
    assert_eq!(refused.code.http_status(), 502);
}

/// What is told at the head counts for others while the answer goes on.
#[test]
fn what_a_head_said_counts_while_its_answer_goes_on() {
    let mut dispatcher = dispatcher();
    let first = sent_to(&dispatcher.arrive(1, call("r"), 0)).expect("sent");
    hear(&dispatcher.instances, &[&first], &LEAVING, 50);
    dispatcher.head_received(1, None, 50);
    for number in 2..10 {
        let to = sent_to(&dispatcher.arrive(number, call("r"), 60));
        assert_ne!(to.as_deref(), Some(first.as_str()));
    }
    assert!(dispatcher.send_ended(1, WHOLE, None, 4_000).is_empty());
}

mod makers {
    use super::*;
    use common::batches::{batcher, key, table, whole, work};
    use common::made;
    use silversail_serving::batcher::CallOutcome;

    #[test]
    fn a_resting_maker_gets_no_call_and_is_no_capacity() {
        let (table, mut batcher) = (table(&[("s1", "a"), ("s2", "a")]), batcher());
        batcher
            .submit(key(1), work(1, 8), &table, 0)
            .expect("taken");
        let before = batcher.waits(&whole(), &table, 0);
        hear(&table, &["s1"], &rest(2_000), 0);
        let after = batcher.waits(&whole(), &table, 0);
        assert!(after.queue_ms > before.queue_ms, "{after:?}");
        let calls = batcher.next_calls(&table, 0);
        assert_eq!(calls.len(), 1);
        assert_eq!(calls[0].instance, "s2");
    }

    #[test]
    fn where_all_makers_rest_waits_tell_it_and_orders_too_late_are_refused_at_once() {
        let (table, mut batcher) = (table(&[("s1", "a"), ("s2", "a")]), batcher());
        batcher
            .submit(key(1), work(1, 1), &table, 0)
            .expect("taken");
        hear(&table, &["s1"], &rest(3_000), 0);
        hear(&table, &["s2"], &rest(2_000), 0);
        assert!(batcher.next_calls(&table, 0).is_empty());
        let waits = batcher.waits(&whole(), &table, 0);
        assert!(waits.backlog_ms[1] >= 2_000, "{waits:?}");
        assert!(batcher.end_late_by_rests(&table, 10).is_empty());
        let mut short = work(2, 1);
        short.remaining_ms = 1_500;
        let refused = batcher.submit(key(2), short, &table, 10);
        assert_eq!(refused, Err(PieceFailure::Overloaded));
        // A longer rest makes the order that waits too late.
        hear(&table, &["s1", "s2"], &rest(9_000), 100);
        let ended = batcher.end_late_by_rests(&table, 110);
        assert_eq!(ended.len(), 1);
        assert_eq!(ended[0].result, Err(PieceFailure::Overloaded));
    }

    #[test]
    fn a_call_that_was_withheld_costs_its_pieces_no_call_and_its_maker_no_trust() {
        let (table, mut batcher) = (table(&[("s1", "a"), ("s2", "a")]), batcher());
        batcher
            .submit(key(1), work(1, 2), &table, 0)
            .expect("taken");
        for turn in 0..5 {
            let now = 10 * turn;
            let call = batcher.next_calls(&table, now).remove(0);
            let ended = batcher.call_ended(call.call, CallOutcome::Withheld, now);
            assert!(ended.is_empty(), "{turn}");
        }
        let call = batcher.next_calls(&table, 60).remove(0);
        let ended = batcher.call_ended(call.call, made(&call), 300);
        let handles: Option<Vec<ResultHandle>> = ended.into_iter().find_map(|one| one.result.ok());
        assert_eq!(handles.map(|one| one.len()), Some(2));
    }

    #[test]
    fn a_maker_that_said_it_leaves_staffs_no_shard() {
        let (table, mut batcher) = (table(&[("s1", "a")]), batcher());
        batcher
            .submit(key(1), work(1, 1), &table, 0)
            .expect("taken");
        hear(&table, &["s1"], &LEAVING, 0);
        let ended = batcher.end_unstaffed(&table);
        assert_eq!(ended.len(), 1);
        assert_eq!(ended[0].result, Err(PieceFailure::NoBackend));
    }
}

#[test]
fn engines_are_chosen_as_before_where_nothing_is_said() {
    let mut dispatcher = dispatcher_with(Policy::default());
    assert!(sent_to(&dispatcher.arrive(1, call("r"), 0)).is_some());
}
