//! One order: all pieces of one phase of one request.

use super::CallId;
use crate::policy::Policy;
use crate::Millis;
use silversail_peer::{PhaseWork, Piece, PieceFailure, ResultHandle, PRIORITY_LEVELS};

/// A lower rank lets a phase wait longer by this much, in milliseconds.
const RANK_STEP: Millis = 1_000;
/// How long an order that a call could hold waits for a maker with room for more than
/// a few of its pieces, in milliseconds: results of the first pieces take room while
/// the others wait.
const SPLIT_AFTER: Millis = 400;
/// An order that comes too late for its objective waits longer by this much, in
/// milliseconds, so that it does not make others late too.
const LATE_STEP: Millis = 2_500;

/// Where a piece is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum PieceState {
    /// Waits for a call.
    Waiting,
    /// Takes part in a call.
    InCall(CallId),
    /// Made.
    Made(ResultHandle),
}

/// An order and where its pieces are.
pub(super) struct Order {
    pub(super) work: PhaseWork,
    policy: Policy,
    states: Vec<PieceState>,
    /// How many pieces wait.
    waiting: usize,
    /// When it should be done to keep the request's objective.
    pub(super) wanted_at: Millis,
    /// When the request ends.
    pub(super) deadline: Millis,
    /// When it may be split over calls.
    splits_from: Millis,
    /// Until when it waits for a maker in the zone where it had better be made.
    waits_near_until: Millis,
    calls: Vec<u32>,
    /// When its last waiting piece went into a call; none while pieces wait.
    pub(super) all_called_at: Option<Millis>,
    /// Whether it was told that its inputs are read.
    pub(super) told_inputs_read: bool,
    /// Whether a piece may well have to be made a second time: its inputs must last.
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
            told_inputs_read: false,
            is_at_risk: false,
            policy,
            work,
        }
    }

    /// Waiting pieces with their numbers.
    pub(super) fn waiting(&self) -> impl Iterator<Item = (usize, &Piece)> {
        let states = self.states.iter().enumerate();
        states
            .filter(|(_, state)| **state == PieceState::Waiting)
            .map(|(index, _)| (index, &self.work.pieces[index]))
    }

    /// Its request's rank; the last for all beyond.
    pub(super) fn rank(&self) -> usize {
        usize::from(self.work.priority).min(PRIORITY_LEVELS - 1)
    }

    /// Orders the waiting orders: the least goes first. An order that can't be done
    /// when it is wanted, as it would end at `earliest_end`, stands back.
    pub(super) fn due(&self, earliest_end: Millis) -> Millis {
        let steps = match self.policy.rank_order {
            true => Millis::from(self.work.priority),
            false => 0,
        };
        let due = self.wanted_at + RANK_STEP * steps;
        if self.policy.late_orders_stand_back && self.is_late(earliest_end) {
            due + LATE_STEP
        } else {
            due
        }
    }

    /// Whether it can't be done when it is wanted, if it ends at `earliest_end`.
    pub(super) fn is_late(&self, earliest_end: Millis) -> bool {
        earliest_end > self.wanted_at
    }

    /// How many of its waiting pieces fit into `places` and `room` bytes.
    pub(super) fn fitting(&self, places: usize, room: u64) -> usize {
        let mut left = room;
        let fits = |piece: &Piece| {
            let rest = left.checked_sub(piece.result_bytes);
            left = rest.unwrap_or(left);
            rest.is_some()
        };
        let waiting = self.waiting().take(places).map(|(_, piece)| piece);
        waiting.map(fits).take_while(|fits| *fits).count()
    }

    /// Whether it had better be made in another zone than `zone`. An order of a zone's
    /// shard has no other makers to wait for.
    pub(super) fn is_far_from(&self, zone: &str) -> bool {
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

    /// Whether it may be made in `zone` at `now`: for a while it waits for a maker where
    /// less has to be moved, if it can still end when it is wanted. A call takes
    /// `call_ms`.
    pub(super) fn may_go_to(&self, zone: &str, call_ms: Millis, now: Millis) -> bool {
        if !self.policy.wait_for_zone || !self.is_far_from(zone) || now >= self.waits_near_until {
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

    /// Sets where a piece is.
    pub(super) fn set_state(&mut self, index: usize, state: PieceState) {
        let before = std::mem::replace(&mut self.states[index], state);
        let was_waiting = usize::from(before == PieceState::Waiting);
        let is_waiting = usize::from(self.states[index] == PieceState::Waiting);
        self.waiting = self.waiting + is_waiting - was_waiting;
    }

    /// Results made so far, in the order of the pieces.
    pub(super) fn made(&self) -> Vec<ResultHandle> {
        let states = self.states.iter();
        states
            .filter_map(|state| match state {
                PieceState::Made(handle) => Some(handle.clone()),
                PieceState::Waiting | PieceState::InCall(_) => None,
            })
            .collect()
    }

    pub(super) fn is_whole(&self) -> bool {
        let mut states = self.states.iter();
        states.all(|state| matches!(state, PieceState::Made(_)))
    }

    /// Lets a piece wait again. `counts` tells whether its call counts against
    /// `most_calls`; returns why the order can't go on.
    pub(super) fn put_back(
        &mut self,
        index: usize,
        counts: bool,
        most_calls: u32,
    ) -> Option<PieceFailure> {
        self.set_state(index, PieceState::Waiting);
        self.all_called_at = None;
        self.is_at_risk = true;
        if counts {
            self.calls[index] += 1;
        }
        (self.calls[index] >= most_calls).then_some(PieceFailure::Failed)
    }
}
