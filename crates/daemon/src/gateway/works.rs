//! Orders of work that this node gave to batching nodes, until they are answered.

use silversail_consensus::Millis;
use silversail_model::NodeName;
use silversail_peer::{PhaseWork, WorkId};
use std::collections::BTreeMap;

/// An order that is not answered for so long is given again, in milliseconds: its
/// answer may be lost.
const RESUBMIT_AFTER: Millis = 1_500;

struct Submitted {
    owner: NodeName,
    phase: PhaseWork,
    at: Millis,
    end: Millis,
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
            end: now + phase.remaining_ms,
            phase,
            at: now,
        };
        self.submitted.insert(work, submitted);
    }

    /// An order ended. Returns who had it.
    pub fn ended(&mut self, work: WorkId) -> Option<NodeName> {
        Some(self.submitted.remove(&work)?.owner)
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

    /// The former owner, the owner and the phase of an order that is given again.
    pub fn renew(
        &mut self,
        work: WorkId,
        owner_of: impl Fn(&str) -> Option<NodeName>,
        now: Millis,
    ) -> Option<(NodeName, NodeName, PhaseWork)> {
        let submitted = self.submitted.get_mut(&work)?;
        let waited = now.saturating_sub(submitted.at);
        submitted.phase.remaining_ms = submitted.end.saturating_sub(now);
        submitted.phase.wanted_in_ms = submitted.phase.wanted_in_ms.saturating_sub(waited);
        submitted.at = now;
        let former = submitted.owner.clone();
        submitted.owner = owner_of(&submitted.phase.service).unwrap_or(former.clone());
        Some((former, submitted.owner.clone(), submitted.phase.clone()))
    }
}
