//! Calls of a batched service while its makers move from one version to another.

mod common;

use common::batches::{batcher, key, work};
use common::made;
use common::versions::{completed, directive, in_progress, of_version, rolled_back, rollout};
use rstest::rstest;
use silversail_decisions::DecisionLog;
use silversail_peer::{PieceFailure, ResultHandle};
use silversail_rollout::{Directive, ResponseCounts, Rollout, RolloutState, BATCH_ROUTE};
use silversail_serving::batcher::{BatchCall, Batcher, CallOutcome};
use silversail_serving::instances::InstanceTable;

/// Makers and a batcher that may call candidates.
struct Owner {
    table: InstanceTable,
    batcher: Batcher,
    orders: u64,
}

impl Owner {
    /// Owns these makers, each with its version.
    fn of(makers: &[(&str, &str)]) -> Self {
        let mut table = InstanceTable::new(DecisionLog::off());
        let listed = makers.iter();
        let listed = listed.map(|(id, version)| of_version(id, "encode", version));
        table.replace(&listed.collect::<Vec<_>>());
        let mut batcher = batcher();
        batcher.rollouts.set_permitted(true);
        Self {
            table,
            batcher,
            orders: 0,
        }
    }

    fn take(&mut self, rollout: &Rollout) {
        self.batcher.rollouts.take([rollout]);
        let roles = self.batcher.rollouts.roles().clone();
        self.table.set_version_roles(roles);
    }

    fn obey(&mut self, directive: Directive) {
        self.take(&in_progress("encode", directive));
    }

    /// One more order of `pieces` pieces.
    fn order(&mut self, pieces: u32, now: u64) -> Result<(), PieceFailure> {
        self.orders += 1;
        let work = work(self.orders, pieces);
        self.batcher
            .submit(key(self.orders), work, &self.table, now)
    }

    fn calls(&mut self, now: u64) -> Vec<BatchCall> {
        self.batcher.next_calls(&self.table, now)
    }

    fn makers_of_calls(&mut self, now: u64) -> Vec<String> {
        let calls = self.calls(now);
        calls.into_iter().map(|call| call.instance).collect()
    }

    /// Answers of the baseline and of the candidate.
    fn answers(&self) -> (ResponseCounts, ResponseCounts) {
        let told = self.batcher.rollouts.evidence(|_| 0);
        let seen = told[0].routes.get(BATCH_ROUTE).cloned().unwrap_or_default();
        (seen.baseline, seen.candidate)
    }

    fn in_flight_at_baseline(&self) -> u64 {
        self.batcher.in_flight_at_baseline("encode", &self.table)
    }
}

/// Without the bound the candidate, one of two idle makers, would get half of the calls.
#[test]
fn a_candidate_makes_its_share_of_the_calls_and_no_more() {
    let mut owner = Owner::of(&[("s1", "v1"), ("s2", "v2")]);
    owner.obey(directive(1, 200, &[]));
    let mut to_candidate = 0;
    for round in 0..500 {
        let now = round * 400;
        owner.order(2, now).expect("taken");
        let calls = owner.calls(now);
        assert_eq!(calls.len(), 1);
        to_candidate += u64::from(calls[0].version == "v2");
        let finished = owner
            .batcher
            .call_ended(calls[0].call, made(&calls[0]), now + 260);
        assert_eq!(finished.len(), 1);
        owner
            .batcher
            .release(finished[0].result.as_ref().expect("made"));
        let releases = owner.batcher.take_releases();
        owner.batcher.freed(&releases);
    }
    assert!((70..=101).contains(&to_candidate), "{to_candidate} of 500");
    let (baseline, candidate) = owner.answers();
    assert_eq!(candidate.sent, to_candidate);
    assert_eq!(baseline.sent, 500 - to_candidate);
    assert_eq!((candidate.succeeded, candidate.failed), (to_candidate, 0));
}

#[test]
fn without_a_permit_a_candidate_makes_nothing() {
    let mut owner = Owner::of(&[("s1", "v1"), ("s2", "v2")]);
    owner.obey(directive(1, 1_000, &[BATCH_ROUTE]));
    owner.batcher.rollouts.set_permitted(false);
    owner.order(1, 0).expect("taken");
    owner.order(1, 0).expect("taken");
    assert_eq!(owner.makers_of_calls(0), ["s1"]);
}

/// Else the baseline would get every call for which the candidate is just busy, and never come
/// to rest.
#[test]
fn once_calls_moved_they_wait_for_a_candidate_that_is_busy() {
    let mut owner = Owner::of(&[("s1", "v1"), ("s2", "v2")]);
    owner.obey(directive(2, 0, &[BATCH_ROUTE]));
    for _ in 0..3 {
        owner.order(8, 0).expect("taken");
    }
    let first = owner.calls(0);
    assert_eq!(first.len(), 1);
    assert_eq!(first[0].version, "v2");
    owner
        .batcher
        .call_ended(first[0].call, made(&first[0]), 320);
    assert_eq!(owner.makers_of_calls(320), ["s2"]);
}

#[rstest]
#[case::refuses(CallOutcome::NotRun)]
#[case::is_not_reached(CallOutcome::Unreachable)]
#[case::breaks_off(CallOutcome::Unknown)]
fn once_calls_moved_the_baseline_makes_what_no_candidate_can(#[case] outcome: CallOutcome) {
    let mut owner = Owner::of(&[("s1", "v1"), ("s2", "v2")]);
    owner.obey(directive(2, 0, &[BATCH_ROUTE]));
    owner.order(2, 0).expect("taken");
    let first = owner.calls(0);
    assert_eq!(first[0].version, "v2");
    owner.batcher.call_ended(first[0].call, outcome, 10);
    assert_eq!(owner.makers_of_calls(11), ["s1"]);
}

#[rstest]
#[case::rolled_back(rolled_back(), "s1")]
#[case::completed(completed(&["v1"]), "s2")]
fn a_retired_maker_makes_nothing(#[case] end: RolloutState, #[case] serving: &str) {
    let mut owner = Owner::of(&[("s1", "v1"), ("s2", "v2")]);
    owner.obey(directive(1, 500, &[]));
    owner.take(&rollout(1, "encode", "v2", end));
    for _ in 0..4 {
        owner.order(8, 0).expect("taken");
    }
    assert_eq!(owner.makers_of_calls(0), [serving]);
}

#[test]
fn orders_end_at_once_where_all_makers_are_retired() {
    let mut owner = Owner::of(&[("s2", "v2")]);
    owner.obey(directive(1, 0, &[BATCH_ROUTE]));
    owner.order(1, 0).expect("taken");
    owner.take(&rollout(1, "encode", "v2", rolled_back()));
    let ended = owner.batcher.end_unstaffed(&owner.table);
    assert_eq!(ended[0].result, Err(PieceFailure::NoBackend));
    assert_eq!(owner.order(1, 0), Err(PieceFailure::NoBackend));
}

/// An order that waited for a share of a candidate's calls could wait for ever.
#[test]
fn a_shard_with_candidates_only_has_makers_once_calls_moved_there() {
    let mut owner = Owner::of(&[("s2", "v2")]);
    owner.obey(directive(1, 100, &[]));
    assert_eq!(owner.order(1, 0), Err(PieceFailure::NoBackend));
    owner.obey(directive(2, 100, &[BATCH_ROUTE]));
    assert_eq!(owner.order(1, 0), Ok(()));
    assert_eq!(owner.makers_of_calls(0), ["s2"]);
}

/// The baseline may have been stopped, as the rollout completed on the other side of a cut.
#[test]
fn without_a_permit_a_shard_with_candidates_only_uses_them() {
    let mut owner = Owner::of(&[("s2", "v2")]);
    owner.obey(directive(1, 0, &[]));
    owner.batcher.rollouts.set_permitted(false);
    assert_eq!(owner.order(1, 0), Ok(()));
    assert_eq!(owner.makers_of_calls(0), ["s2"]);
}

/// A call with one piece that failed is bad; pieces without room or input say nothing.
#[rstest]
#[case::made(None, (1, 0))]
#[case::piece_failed(Some(PieceFailure::Failed), (0, 1))]
#[case::no_room(Some(PieceFailure::NoRoom), (1, 0))]
#[case::input_gone(Some(PieceFailure::InputGone), (1, 0))]
fn an_answered_call_counts_by_its_pieces(
    #[case] failure: Option<PieceFailure>,
    #[case] expected: (u64, u64),
) {
    let mut owner = Owner::of(&[("s1", "v1"), ("s2", "v2")]);
    owner.obey(directive(2, 0, &[BATCH_ROUTE]));
    owner.order(2, 0).expect("taken");
    let call = owner.calls(0).remove(0);
    let mut results = vec![
        Ok(ResultHandle("s2:80/a".into())),
        Ok(ResultHandle("s2:80/b".into())),
    ];
    if let Some(failure) = failure {
        results[1] = Err(failure);
    }
    owner
        .batcher
        .call_ended(call.call, CallOutcome::Answered(results), 260);
    let (_, candidate) = owner.answers();
    assert_eq!((candidate.succeeded, candidate.failed), expected);
}

#[rstest]
#[case::refused(CallOutcome::NotRun, 0)]
#[case::not_reached(CallOutcome::Unreachable, 0)]
#[case::broken(CallOutcome::Unknown, 1)]
fn a_call_without_an_answer_is_bad_if_it_may_have_run(
    #[case] outcome: CallOutcome,
    #[case] bad: u64,
) {
    let mut owner = Owner::of(&[("s1", "v1"), ("s2", "v2")]);
    owner.obey(directive(2, 0, &[BATCH_ROUTE]));
    owner.order(2, 0).expect("taken");
    let call = owner.calls(0).remove(0);
    owner.batcher.call_ended(call.call, outcome, 10);
    let (_, candidate) = owner.answers();
    assert_eq!(
        (candidate.sent, candidate.succeeded, candidate.failed),
        (1, 0, bad)
    );
}

/// A call of 240 ms and 10 ms a piece: one of eight pieces is no slower than one of two.
#[rstest]
#[case(2, 260)]
#[case(8, 320)]
fn times_of_calls_are_told_as_if_all_were_of_one_size(#[case] pieces: u32, #[case] took: u64) {
    let mut owner = Owner::of(&[("s1", "v1"), ("s2", "v2")]);
    owner.obey(directive(2, 0, &[BATCH_ROUTE]));
    owner.order(pieces, 0).expect("taken");
    let call = owner.calls(0).remove(0);
    owner.batcher.call_ended(call.call, made(&call), took);
    let (_, candidate) = owner.answers();
    let seen = candidate.response_time.quantile_ms(0.5).expect("one time");
    assert!((200.0..=290.0).contains(&seen), "{seen} ms");
}

/// The baseline's makers stop when the rollout completes: what a later phase needs of them must
/// have been used by then, or be past its time.
#[test]
fn results_at_the_baseline_are_under_way_until_they_are_released_or_over() {
    let mut owner = Owner::of(&[("s1", "v1"), ("s2", "v2")]);
    owner.obey(directive(1, 0, &[]));
    owner.order(2, 0).expect("taken");
    let call = owner.calls(0).remove(0);
    assert_eq!(owner.in_flight_at_baseline(), 1);
    let finished = owner.batcher.call_ended(call.call, made(&call), 260);
    let handles = finished[0].result.clone().expect("made");
    assert_eq!(owner.in_flight_at_baseline(), 2);
    owner.batcher.release(&handles[..1]);
    assert_eq!(owner.in_flight_at_baseline(), 1);
    // Makers keep results for 4 s.
    owner.calls(5_000);
    assert_eq!(owner.in_flight_at_baseline(), 0);
}

/// An order that waits for a maker near its inputs would wait for the candidate's, beside one of
/// the baseline that is idle where it had better be made.
#[test]
fn a_candidate_that_an_order_does_not_go_to_keeps_no_other_maker_from_it() {
    let mut owner = Owner::of(&[("s1", "v1")]);
    let mut far = of_version("s2", "encode", "v2");
    far.zone = "b".to_owned();
    let near = of_version("s1", "encode", "v1");
    owner.table.replace(&[near, far]);
    owner.obey(directive(1, 1_000, &[]));
    let mut near_inputs = work(1, 1);
    near_inputs.zone = "a".to_owned();
    let taken = owner.batcher.submit(key(1), near_inputs, &owner.table, 0);
    assert_eq!(taken, Ok(()));
    assert_eq!(owner.makers_of_calls(0), ["s1"]);
}
