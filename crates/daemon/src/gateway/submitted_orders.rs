//! Orders that this node submitted to shard owners and that are not answered yet.

use silversail_consensus::Millis;
use silversail_model::{NodeName, Shard};
use silversail_peer::{PhaseWork, WorkId};
use std::collections::BTreeMap;

/// Time after which an unanswered order is resubmitted, in milliseconds. Its answer may be lost.
const RESUBMIT_AFTER: Millis = 1_500;

/// Maximum number of moves to another shard or owner. Bounds them while nodes disagree on which zones are
/// evacuated.
const MAX_MOVES: u32 = 2;

struct SubmittedOrder {
    owner: NodeName,
    /// Number of moves to another shard or owner.
    moves: u32,
    phase: PhaseWork,
    submitted_at: Millis,
    deadline: Millis,
}

/// Effect of an answer to an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// The current owner answered; the order is complete.
    Completed,
    /// A former owner completed the order, which must be cancelled at the current one.
    CompletedByFormerOwner {
        /// Owner at which to cancel the order.
        current_owner: NodeName,
    },
    /// A former owner failed; the current owner still processes the order.
    FailedByFormerOwner,
    /// The order is not pending.
    Unknown,
}

/// Pending orders by work identifier.
#[derive(Default)]
pub struct SubmittedOrders {
    orders: BTreeMap<WorkId, SubmittedOrder>,
}

impl SubmittedOrders {
    /// Records that an order was submitted to `owner`.
    pub fn record_submission(
        &mut self,
        work: WorkId,
        owner: NodeName,
        phase: PhaseWork,
        now: Millis,
    ) {
        let order = SubmittedOrder {
            owner,
            moves: 0,
            deadline: now + phase.remaining_ms,
            phase,
            submitted_at: now,
        };
        self.orders.insert(work, order);
    }

    /// Records an answer to an order. A result counts from any owner. A failure at a former owner
    /// says nothing about the current one and is ignored.
    pub fn record_answer(&mut self, work: WorkId, from: &NodeName, is_result: bool) -> OrderAnswer {
        let Some(order) = self.orders.get(&work) else {
            return OrderAnswer::Unknown;
        };
        if order.owner == *from {
            self.orders.remove(&work);
            return OrderAnswer::Completed;
        }
        if !is_result {
            return OrderAnswer::FailedByFormerOwner;
        }
        let current_owner = order.owner.clone();
        self.orders.remove(&work);
        OrderAnswer::CompletedByFormerOwner { current_owner }
    }

    /// Removes an order and returns its owner.
    pub fn remove(&mut self, work: WorkId) -> Option<NodeName> {
        Some(self.orders.remove(&work)?.owner)
    }

    /// Whether `owner` is the current owner of a pending order.
    pub fn is_assigned_to(&self, work: WorkId, owner: &NodeName) -> bool {
        let order = self.orders.get(&work);
        order.is_some_and(|order| order.owner == *owner)
    }

    /// Whether no order is pending.
    pub fn is_empty(&self) -> bool {
        self.orders.is_empty()
    }

    /// Oldest pending order of each owner, with the time of its submission.
    pub fn oldest_by_owner(&self) -> BTreeMap<NodeName, (WorkId, Millis)> {
        let mut oldest_by_owner: BTreeMap<NodeName, (WorkId, Millis)> = BTreeMap::new();
        for (work, order) in &self.orders {
            let oldest = oldest_by_owner
                .entry(order.owner.clone())
                .or_insert((*work, order.submitted_at));
            if order.submitted_at < oldest.1 {
                *oldest = (*work, order.submitted_at);
            }
        }
        oldest_by_owner
    }

    /// Phase of an order with the time that remains at `now`.
    pub fn current_phase(&self, work: WorkId, now: Millis) -> Option<PhaseWork> {
        let order = self.orders.get(&work)?;
        let mut phase = order.phase.clone();
        phase.remaining_ms = order.deadline.saturating_sub(now);
        Some(phase)
    }

    /// Phase of an order that may still go to another owner of its shard.
    pub fn reassignable_phase(&self, work: WorkId, now: Millis) -> Option<PhaseWork> {
        let order = self.orders.get(&work)?;
        let may_move = order.moves < MAX_MOVES;
        may_move.then(|| self.current_phase(work, now))?
    }

    /// Phase of an order that may still move to another shard of its service.
    pub fn movable_phase(&self, work: WorkId, now: Millis) -> Option<PhaseWork> {
        let order = self.orders.get(&work)?;
        let may_move = !order.phase.shard.is_whole_service() && order.moves < MAX_MOVES;
        may_move.then(|| self.current_phase(work, now))?
    }

    /// Moves an order to another shard or owner and resubmits it.
    pub fn move_to(
        &mut self,
        work: WorkId,
        placement: (Shard, NodeName),
        now: Millis,
    ) -> Option<(NodeName, PhaseWork)> {
        self.orders.get_mut(&work)?.moves += 1;
        let (_, owner, phase) = self.resubmit(work, Some(placement), now)?;
        Some((owner, phase))
    }

    /// Pending orders to resubmit: those whose owner is not `is_live`, and those without an
    /// answer for too long.
    pub fn due_for_resubmission(
        &mut self,
        now: Millis,
        is_live: impl Fn(&NodeName) -> bool,
    ) -> Vec<WorkId> {
        self.orders
            .iter()
            .filter(|(_, order)| {
                let is_silent = now.saturating_sub(order.submitted_at) >= RESUBMIT_AFTER;
                order.deadline > now && (is_silent || !is_live(&order.owner))
            })
            .map(|(work, _)| *work)
            .collect()
    }

    /// Resubmits an order to `placement`, or to its current owner if that is `None`. Returns the
    /// former owner, the new owner and the phase.
    pub fn resubmit(
        &mut self,
        work: WorkId,
        placement: Option<(Shard, NodeName)>,
        now: Millis,
    ) -> Option<(NodeName, NodeName, PhaseWork)> {
        let order = self.orders.get_mut(&work)?;
        let elapsed = now.saturating_sub(order.submitted_at);
        order.phase.remaining_ms = order.deadline.saturating_sub(now);
        order.phase.target_remaining_ms = order.phase.target_remaining_ms.saturating_sub(elapsed);
        order.submitted_at = now;
        let former_owner = order.owner.clone();
        if let Some((shard, owner)) = placement {
            order.phase.shard = shard;
            order.owner = owner;
        }
        Some((former_owner, order.owner.clone(), order.phase.clone()))
    }
}
