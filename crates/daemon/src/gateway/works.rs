//! Orders of work that this node gave to batching nodes, until they are answered.

use silversail_consensus::Millis;
use silversail_model::{NodeName, Shard};
use silversail_peer::{PhaseWork, WorkId};
use std::collections::BTreeMap;

/// An order that is not answered for so long is given again, in milliseconds: its
/// answer may be lost.
const RESUBMIT_AFTER: Millis = 1_500;

/// How often an order goes to another shard because the makers of its own may get no work:
/// nodes may differ for a moment in which zones are evacuated.
const MAX_MOVES: u32 = 2;

struct Submitted {
    owner: NodeName,
    /// How often it went to another shard.
    moves: u32,
    phase: PhaseWork,
    at: Millis,
    end: Millis,
}

/// What an answer of a batching node means.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answered {
    /// The order ended.
    Ended,
    /// A former owner has done it after all; the present one need not.
    MadeElsewhere {
        /// The present owner.
        present: NodeName,
    },
    /// A former owner failed it; the present one still has it.
    FailedElsewhere,
    /// It is not under way.
    Unknown,
}

/// Orders under way.
#[derive(Default)]
pub struct Works {
    submitted: BTreeMap<WorkId, Submitted>,
}

impl Works {
    /// An order was given to `owner`.
    pub fn submitted(&mut self, work: WorkId, owner: NodeName, phase: PhaseWork, now: Millis) {
        let submitted = Submitted {
            owner,
            moves: 0,
            end: now + phase.remaining_ms,
            phase,
            at: now,
        };
        self.submitted.insert(work, submitted);
    }

    /// A batching node answered an order. A failure that a former owner tells, to which
    /// the order was given before, says nothing of the present owner's work and changes
    /// nothing; a result counts, whoever made it.
    pub fn answered(&mut self, work: WorkId, from: &NodeName, is_result: bool) -> Answered {
        let Some(submitted) = self.submitted.get(&work) else {
            return Answered::Unknown;
        };
        if submitted.owner == *from {
            self.submitted.remove(&work);
            return Answered::Ended;
        }
        if !is_result {
            return Answered::FailedElsewhere;
        }
        let present = submitted.owner.clone();
        self.submitted.remove(&work);
        Answered::MadeElsewhere { present }
    }

    /// An order ended. Returns who had it.
    pub fn ended(&mut self, work: WorkId) -> Option<NodeName> {
        Some(self.submitted.remove(&work)?.owner)
    }

    /// Whether `owner` has an order and owes its answer.
    pub fn is_owed_by(&self, work: WorkId, owner: &NodeName) -> bool {
        let submitted = self.submitted.get(&work);
        submitted.is_some_and(|submitted| submitted.owner == *owner)
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.submitted.is_empty()
    }

    /// Nodes that owe answers, each with the order that it owes longest and since
    /// when.
    pub fn owing(&self) -> BTreeMap<NodeName, (WorkId, Millis)> {
        let mut owing: BTreeMap<NodeName, (WorkId, Millis)> = BTreeMap::new();
        for (work, one) in &self.submitted {
            let oldest = owing.entry(one.owner.clone()).or_insert((*work, one.at));
            if one.at < oldest.1 {
                *oldest = (*work, one.at);
            }
        }
        owing
    }

    /// The phase of an order, as it is to be given again at `now`.
    pub fn phase_of(&self, work: WorkId, now: Millis) -> Option<PhaseWork> {
        let submitted = self.submitted.get(&work)?;
        let mut phase = submitted.phase.clone();
        phase.remaining_ms = submitted.end.saturating_sub(now);
        Some(phase)
    }

    /// The phase of an order that may still go to another shard of its service.
    pub fn movable_phase(&self, work: WorkId, now: Millis) -> Option<PhaseWork> {
        let submitted = self.submitted.get(&work)?;
        let may_move = !submitted.phase.shard.is_whole_service() && submitted.moves < MAX_MOVES;
        may_move.then(|| self.phase_of(work, now))?
    }

    /// An order goes to another shard: see [`Works::renew`].
    pub fn moved(
        &mut self,
        work: WorkId,
        placed: (Shard, NodeName),
        now: Millis,
    ) -> Option<(NodeName, PhaseWork)> {
        self.submitted.get_mut(&work)?.moves += 1;
        let (_, owner, phase) = self.renew(work, Some(placed), now)?;
        Some((owner, phase))
    }

    /// Orders to be given again at `now`: those whose owner, by `is_live`, is gone,
    /// and those that were not answered for long.
    pub fn due(&mut self, now: Millis, is_live: impl Fn(&NodeName) -> bool) -> Vec<WorkId> {
        self.submitted
            .iter()
            .filter(|(_, one)| {
                let is_silent = now.saturating_sub(one.at) >= RESUBMIT_AFTER;
                one.end > now && (is_silent || !is_live(&one.owner))
            })
            .map(|(work, _)| *work)
            .collect()
    }

    /// The former owner, the owner and the phase of an order that is given again to
    /// `placed`, or to its former owner where no node batches the service.
    pub fn renew(
        &mut self,
        work: WorkId,
        placed: Option<(Shard, NodeName)>,
        now: Millis,
    ) -> Option<(NodeName, NodeName, PhaseWork)> {
        let submitted = self.submitted.get_mut(&work)?;
        let waited = now.saturating_sub(submitted.at);
        submitted.phase.remaining_ms = submitted.end.saturating_sub(now);
        submitted.phase.target_remaining_ms =
            submitted.phase.target_remaining_ms.saturating_sub(waited);
        submitted.at = now;
        let former = submitted.owner.clone();
        if let Some((shard, owner)) = placed {
            submitted.phase.shard = shard;
            submitted.owner = owner;
        }
        Some((former, submitted.owner.clone(), submitted.phase.clone()))
    }
}
