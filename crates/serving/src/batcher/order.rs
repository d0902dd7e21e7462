//! An order: all pieces of one phase of one request.

use super::CallId;
use crate::policy::Policy;
use crate::Millis;
use silversail_peer::{PhaseWork, Piece, PieceFailure, ResultHandle, PRIORITY_LEVELS};

/// How much later an order is due per priority level, in milliseconds.
const PRIORITY_LEVEL_DELAY: Millis = 1_000;
/// How long an order that fits into one call waits for a back end with enough memory before it
/// may be split, in milliseconds: results of its first pieces use memory while the others wait.
const SPLIT_AFTER: Millis = 400;
/// How much later an order is due that can no longer meet its objective, in milliseconds, so
/// that it does not delay others.
const LATE_ORDER_DELAY: Millis = 2_500;

/// Progress of a piece.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum PieceState {
    Waiting,
    /// Sent in a call that has not ended.
    InCall(CallId),
    /// Completed with a result.
    Completed(ResultHandle),
}

/// An order with the progress of its pieces.
pub(super) struct Order {
    pub(super) work: PhaseWork,
    policy: Policy,
    states: Vec<PieceState>,
    /// Number of waiting pieces.
    waiting: usize,
    /// When it has to be done to meet the request's objective.
    pub(super) wanted_at: Millis,
    /// Deadline of the request.
    pub(super) deadline: Millis,
    /// When it may be split over several calls.
    splits_from: Millis,
    /// Until when it waits for a back end in its preferred zone.
    waits_near_until: Millis,
    calls: Vec<u32>,
    /// When its last waiting piece was sent; none while pieces wait.
    pub(super) all_called_at: Option<Millis>,
    /// Whether it was reported to its submitter that its inputs are read.
    pub(super) is_inputs_read_reported: bool,
    /// Whether a piece is likely to be run again, so that its inputs must be kept.
    pub(super) is_at_risk: bool,
}

impl Order {
    pub(super) fn new(work: PhaseWork, policy: Policy, now: Millis) -> Self {
        Self {
            states: vec![PieceState::Waiting; work.pieces.len()],
            waiting: work.pieces.len(),
            calls: vec![0; work.pieces.len()],
            wanted_at: now + work.target_remaining_ms,
            deadline: now + work.remaining_ms,
            splits_from: now + SPLIT_AFTER,
            waits_near_until: now + policy.zone_wait_ms,
            all_called_at: None,
            is_inputs_read_reported: false,
            is_at_risk: false,
            policy,
            work,
        }
    }

    /// Waiting pieces with their indexes.
    pub(super) fn waiting(&self) -> impl Iterator<Item = (usize, &Piece)> {
        let states = self.states.iter().enumerate();
        states
            .filter(|(_, state)| **state == PieceState::Waiting)
            .map(|(index, _)| (index, &self.work.pieces[index]))
    }

    /// Priority of its request, capped at the lowest level.
    pub(super) fn priority(&self) -> usize {
        usize::from(self.work.priority).min(PRIORITY_LEVELS - 1)
    }

    /// Sort key of waiting orders; the smallest goes first. An order that would end at
    /// `earliest_end`, too late for its objective, is deferred.
    pub(super) fn sort_key(&self, earliest_end: Millis) -> Millis {
        let steps = match self.policy.rank_order {
            true => Millis::from(self.work.priority),
            false => 0,
        };
        let due = self.wanted_at + PRIORITY_LEVEL_DELAY * steps;
        if self.policy.late_orders_stand_back && self.is_late(earliest_end) {
            due + LATE_ORDER_DELAY
        } else {
            due
        }
    }

    /// Whether it misses its objective if it ends at `earliest_end`.
    pub(super) fn is_late(&self, earliest_end: Millis) -> bool {
        earliest_end > self.wanted_at
    }

    /// How many of its waiting pieces fit into `places` of a call and `free_bytes` of result
    /// memory.
    pub(super) fn fitting(&self, places: usize, free_bytes: u64) -> usize {
        let mut remaining_bytes = free_bytes;
        let fits = |piece: &Piece| {
            let after_piece = remaining_bytes.checked_sub(piece.result_bytes);
            remaining_bytes = after_piece.unwrap_or(remaining_bytes);
            after_piece.is_some()
        };
        let waiting = self.waiting().take(places).map(|(_, piece)| piece);
        waiting.map(fits).take_while(|fits| *fits).count()
    }

    /// Whether it prefers another zone than `zone`. An order of a zone's shard has no choice of
    /// zones.
    pub(super) fn prefers_other_zone_than(&self, zone: &str) -> bool {
        let may_choose = !self.work.shard.is_single_zone() && !self.work.zone.is_empty();
        may_choose && self.work.zone != zone
    }

    /// Whether a call may take only `fitting` of its waiting pieces at `now`.
    pub(super) fn may_split(&self, fitting: usize, pieces_of_call: usize, now: Millis) -> bool {
        let waiting = self.waiting_pieces();
        !self.policy.whole_orders
            || waiting > pieces_of_call
            || fitting * 2 >= waiting
            || now >= self.splits_from
    }

    /// Whether it may run in `zone` at `now`. For a while it waits for a back end in its
    /// preferred zone, if it can still meet its objective afterwards. A call takes `call_ms`
    /// milliseconds.
    pub(super) fn may_run_in(&self, zone: &str, call_ms: Millis, now: Millis) -> bool {
        if !self.policy.wait_for_zone
            || !self.prefers_other_zone_than(zone)
            || now >= self.waits_near_until
        {
            return true;
        }
        self.is_late(self.waits_near_until + call_ms)
    }

    pub(super) fn is_waiting(&self) -> bool {
        self.waiting > 0
    }

    pub(super) fn waiting_pieces(&self) -> usize {
        self.waiting
    }

    /// Sets the progress of a piece and updates the count of waiting pieces.
    pub(super) fn set_state(&mut self, index: usize, state: PieceState) {
        let before = std::mem::replace(&mut self.states[index], state);
        let was_waiting = usize::from(before == PieceState::Waiting);
        let is_waiting = usize::from(self.states[index] == PieceState::Waiting);
        self.waiting = self.waiting + is_waiting - was_waiting;
    }

    /// Results so far, in the order of the pieces.
    pub(super) fn results(&self) -> Vec<ResultHandle> {
        let states = self.states.iter();
        states
            .filter_map(|state| match state {
                PieceState::Completed(handle) => Some(handle.clone()),
                PieceState::Waiting | PieceState::InCall(_) => None,
            })
            .collect()
    }

    pub(super) fn is_complete(&self) -> bool {
        let mut states = self.states.iter();
        states.all(|state| matches!(state, PieceState::Completed(_)))
    }

    /// Requeues a piece. `counts` tells whether the call counts against `max_calls`. Returns
    /// the failure that ends the order, if any.
    pub(super) fn requeue(
        &mut self,
        index: usize,
        counts: bool,
        max_calls: u32,
    ) -> Option<PieceFailure> {
        self.set_state(index, PieceState::Waiting);
        self.all_called_at = None;
        self.is_at_risk = true;
        if counts {
            self.calls[index] += 1;
        }
        (self.calls[index] >= max_calls).then_some(PieceFailure::Failed)
    }
}
