//! Calls of a batched service during a rollout of its back ends.

mod common;

use common::batches::{batcher, handles_of, key, work};
use common::made;
use common::versions::{completed, directive, in_progress, of_version, rolled_back, rollout};
use rstest::rstest;
use silversail_decisions::DecisionLog;
use silversail_peer::{PieceFailure, ResultHandle};
use silversail_rollout::{Directive, ResponseCounts, Rollout, RolloutState, BATCH_ROUTE};
use silversail_serving::batcher::{BatchCall, Batcher, CallOutcome};
use silversail_serving::instances::InstanceTable;

/// A batcher that may call candidates, with its back ends.
struct ShardOwner {
    table: InstanceTable,
    batcher: Batcher,
    orders: u64,
}

impl ShardOwner {
    /// An owner of these back ends, given with their versions.
    fn of(backends: &[(&str, &str)]) -> Self {
        let mut table = InstanceTable::new(DecisionLog::disabled());
        let listed = backends.iter();
        let listed = listed.map(|(id, version)| of_version(id, "encode", version));
        table.replace_list(&listed.collect::<Vec<_>>());
        let mut batcher = batcher();
        batcher.rollouts.set_permitted(true);
        Self {
            table,
            batcher,
            orders: 0,
        }
    }

    fn apply_rollout(&mut self, rollout: &Rollout) {
        self.batcher.rollouts.update([rollout]);
        let roles = self.batcher.rollouts.roles().clone();
        self.table.set_version_roles(roles);
    }

    fn set_directive(&mut self, directive: Directive) {
        self.apply_rollout(&in_progress("encode", directive));
    }

    /// Submits one more order of `pieces` pieces.
    fn submit_order(&mut self, pieces: u32, now: u64) -> Result<(), PieceFailure> {
        self.orders += 1;
        let work = work(self.orders, pieces);
        self.batcher
            .submit(key(self.orders), work, &self.table, now)
    }

    fn calls(&mut self, now: u64) -> Vec<BatchCall> {
        self.batcher.next_calls(&self.table, now)
    }

    fn backends_of_calls(&mut self, now: u64) -> Vec<String> {
        let calls = self.calls(now);
        calls.into_iter().map(|call| call.instance).collect()
    }

    /// Counted answers of the baseline and of the candidate.
    fn answers(&self) -> (ResponseCounts, ResponseCounts) {
        let evidence = self.batcher.rollouts.evidence(|_| 0);
        let route_evidence = evidence[0]
            .routes
            .get(BATCH_ROUTE)
            .cloned()
            .unwrap_or_default();
        (route_evidence.baseline, route_evidence.candidate)
    }

    fn in_flight_at_baseline(&self) -> u64 {
        self.batcher.in_flight_at_baseline("encode", &self.table)
    }
}

/// Without the canary share, one of two idle back ends would get half of the calls.
#[test]
fn a_candidate_gets_its_share_of_the_calls_and_no_more() {
    let mut owner = ShardOwner::of(&[("s1", "v1"), ("s2", "v2")]);
    owner.set_directive(directive(1, 200, &[]));
    let mut to_candidate = 0;
    for round in 0..500 {
        let now = round * 400;
        owner.submit_order(2, now).expect("accepted");
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
        owner.batcher.results_freed(&handles_of(&releases));
    }
    assert!((70..=101).contains(&to_candidate), "{to_candidate} of 500");
    let (baseline, candidate) = owner.answers();
    assert_eq!(candidate.sent, to_candidate);
    assert_eq!(baseline.sent, 500 - to_candidate);
    assert_eq!((candidate.succeeded, candidate.failed), (to_candidate, 0));
}

#[test]
fn without_a_permit_a_candidate_gets_no_calls() {
    let mut owner = ShardOwner::of(&[("s1", "v1"), ("s2", "v2")]);
    owner.set_directive(directive(1, 1_000, &[BATCH_ROUTE]));
    owner.batcher.rollouts.set_permitted(false);
    owner.submit_order(1, 0).expect("accepted");
    owner.submit_order(1, 0).expect("accepted");
    assert_eq!(owner.backends_of_calls(0), ["s1"]);
}

/// Otherwise the baseline would get every call for which the candidate is busy, and never become
/// idle.
#[test]
fn once_calls_moved_they_wait_for_a_busy_candidate() {
    let mut owner = ShardOwner::of(&[("s1", "v1"), ("s2", "v2")]);
    owner.set_directive(directive(2, 0, &[BATCH_ROUTE]));
    for _ in 0..3 {
        owner.submit_order(8, 0).expect("accepted");
    }
    let first = owner.calls(0);
    assert_eq!(first.len(), 1);
    assert_eq!(first[0].version, "v2");
    owner
        .batcher
        .call_ended(first[0].call, made(&first[0]), 320);
    assert_eq!(owner.backends_of_calls(320), ["s2"]);
}

#[rstest]
#[case::refuses(CallOutcome::NotRun)]
#[case::is_not_reached(CallOutcome::Unreachable)]
#[case::breaks_off(CallOutcome::Unknown)]
fn once_calls_moved_the_baseline_gets_calls_that_no_candidate_can_run(
    #[case] outcome: CallOutcome,
) {
    let mut owner = ShardOwner::of(&[("s1", "v1"), ("s2", "v2")]);
    owner.set_directive(directive(2, 0, &[BATCH_ROUTE]));
    owner.submit_order(2, 0).expect("accepted");
    let first = owner.calls(0);
    assert_eq!(first[0].version, "v2");
    owner.batcher.call_ended(first[0].call, outcome, 10);
    assert_eq!(owner.backends_of_calls(11), ["s1"]);
}

#[rstest]
#[case::rolled_back(rolled_back(), "s1")]
#[case::completed(completed(&["v1"]), "s2")]
fn a_retired_backend_gets_no_calls(#[case] end: RolloutState, #[case] serving: &str) {
    let mut owner = ShardOwner::of(&[("s1", "v1"), ("s2", "v2")]);
    owner.set_directive(directive(1, 500, &[]));
    owner.apply_rollout(&rollout(1, "encode", "v2", end));
    for _ in 0..4 {
        owner.submit_order(8, 0).expect("accepted");
    }
    assert_eq!(owner.backends_of_calls(0), [serving]);
}

#[test]
fn orders_fail_at_once_if_all_backends_are_retired() {
    let mut owner = ShardOwner::of(&[("s2", "v2")]);
    owner.set_directive(directive(1, 0, &[BATCH_ROUTE]));
    owner.submit_order(1, 0).expect("accepted");
    owner.apply_rollout(&rollout(1, "encode", "v2", rolled_back()));
    let ended = owner.batcher.reject_orders_without_backend(&owner.table, 0);
    assert_eq!(ended[0].result, Err(PieceFailure::NoBackend));
    assert_eq!(owner.submit_order(1, 0), Err(PieceFailure::NoBackend));
}

/// An order that waited for a canary share could wait forever.
#[test]
fn a_shard_with_only_candidates_accepts_orders_once_calls_moved() {
    let mut owner = ShardOwner::of(&[("s2", "v2")]);
    owner.set_directive(directive(1, 100, &[]));
    assert_eq!(owner.submit_order(1, 0), Err(PieceFailure::NoBackend));
    owner.set_directive(directive(2, 100, &[BATCH_ROUTE]));
    assert_eq!(owner.submit_order(1, 0), Ok(()));
    assert_eq!(owner.backends_of_calls(0), ["s2"]);
}

/// The baseline may have been stopped: the rollout may have completed beyond a network
/// partition.
#[test]
fn without_a_permit_a_shard_with_only_candidates_uses_them() {
    let mut owner = ShardOwner::of(&[("s2", "v2")]);
    owner.set_directive(directive(1, 0, &[]));
    owner.batcher.rollouts.set_permitted(false);
    assert_eq!(owner.submit_order(1, 0), Ok(()));
    assert_eq!(owner.backends_of_calls(0), ["s2"]);
}

/// A call with a failed piece counts as bad; a lack of memory or of an input does not.
#[rstest]
#[case::made(None, (1, 0))]
#[case::piece_failed(Some(PieceFailure::Failed), (0, 1))]
#[case::no_room(Some(PieceFailure::NoRoom), (1, 0))]
#[case::input_gone(Some(PieceFailure::InputGone), (1, 0))]
fn an_answered_call_is_counted_by_its_pieces(
    #[case] failure: Option<PieceFailure>,
    #[case] expected: (u64, u64),
) {
    let mut owner = ShardOwner::of(&[("s1", "v1"), ("s2", "v2")]);
    owner.set_directive(directive(2, 0, &[BATCH_ROUTE]));
    owner.submit_order(2, 0).expect("accepted");
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
#[case::answered_by_another_back_end(CallOutcome::AddressMismatch, 0)]
#[case::answered_as_another_call(CallOutcome::ForeignAnswer, 0)]
#[case::broken(CallOutcome::Unknown, 1)]
fn a_call_without_an_answer_is_bad_if_its_connection_was_lost(
    #[case] outcome: CallOutcome,
    #[case] bad: u64,
) {
    let mut owner = ShardOwner::of(&[("s1", "v1"), ("s2", "v2")]);
    owner.set_directive(directive(2, 0, &[BATCH_ROUTE]));
    owner.submit_order(2, 0).expect("accepted");
    let call = owner.calls(0).remove(0);
    owner.batcher.call_ended(call.call, outcome, 10);
    let (_, candidate) = owner.answers();
    assert_eq!(
        (candidate.sent, candidate.succeeded, candidate.failed),
        (1, 0, bad)
    );
}

/// A call takes 240 ms and 10 ms for each piece, so that calls of different sizes compare as
/// equal.
#[rstest]
#[case(2, 260)]
#[case(8, 320)]
fn call_durations_are_scaled_to_one_call_size(#[case] pieces: u32, #[case] took: u64) {
    let mut owner = ShardOwner::of(&[("s1", "v1"), ("s2", "v2")]);
    owner.set_directive(directive(2, 0, &[BATCH_ROUTE]));
    owner.submit_order(pieces, 0).expect("accepted");
    let call = owner.calls(0).remove(0);
    owner.batcher.call_ended(call.call, made(&call), took);
    let (_, candidate) = owner.answers();
    let median_ms = candidate.response_time.quantile_ms(0.5).expect("one time");
    assert!((200.0..=290.0).contains(&median_ms), "{median_ms} ms");
}

/// The back ends of the baseline stop when the rollout completes; results that later phases need
/// must be released or expired by then.
#[test]
fn results_at_the_baseline_count_as_in_flight_until_released_or_expired() {
    let mut owner = ShardOwner::of(&[("s1", "v1"), ("s2", "v2")]);
    owner.set_directive(directive(1, 0, &[]));
    owner.submit_order(2, 0).expect("accepted");
    let call = owner.calls(0).remove(0);
    assert_eq!(owner.in_flight_at_baseline(), 1);
    let finished = owner.batcher.call_ended(call.call, made(&call), 260);
    let handles = finished[0].result.clone().expect("made");
    assert_eq!(owner.in_flight_at_baseline(), 2);
    owner.batcher.release(&handles[..1]);
    assert_eq!(owner.in_flight_at_baseline(), 1);
    // Back ends keep results for 4 s.
    owner.calls(5_000);
    assert_eq!(owner.in_flight_at_baseline(), 0);
}

/// The order must not wait for the candidate while a back end of the baseline is idle in its
/// preferred zone.
#[test]
fn a_candidate_in_another_zone_does_not_block_the_baseline_for_an_order() {
    let mut owner = ShardOwner::of(&[("s1", "v1")]);
    let mut far = of_version("s2", "encode", "v2");
    far.zone = "b".to_owned();
    let near = of_version("s1", "encode", "v1");
    owner.table.replace_list(&[near, far]);
    owner.set_directive(directive(1, 1_000, &[]));
    let mut near_inputs = work(1, 1);
    near_inputs.zone = "a".to_owned();
    let taken = owner.batcher.submit(key(1), near_inputs, &owner.table, 0);
    assert_eq!(taken, Ok(()));
    assert_eq!(owner.backends_of_calls(0), ["s1"]);
}
