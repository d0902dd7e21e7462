//! Proposals that other processes bring to a replica.

use crate::replica::actor::{PendingProposal, ReplicaActor, State};
use silversail_consensus::{Millis, ProposeError, StateMachine};
use silversail_model::NodeName;
use silversail_peer::ProposalResult;

/// A leader of which nothing was heard for so many of its heartbeats is not named to those who
/// propose: a proposal to one that was killed waits 600 ms, and a new leader is there after
/// 900 to 1,800 ms.
const SILENT_HEARTBEATS: Millis = 4;

impl<M: StateMachine + 'static> ReplicaActor<M> {
    pub(super) fn propose(&mut self, from: NodeName, proposal: u64, command: Vec<u8>, now: Millis) {
        let proposed = match &mut self.state {
            State::Forming(_) => Err(None),
            State::Member(replica) => match replica.propose(command, now) {
                Ok(position) => Ok(position),
                // Its successor is not known yet: whoever proposes asks again soon.
                Err(ProposeError::LeadershipTransferInProgress) => Err(None),
                Err(_) => Err(replica.leader()),
            },
        };
        match proposed {
            Ok((index, term)) => {
                let pending = PendingProposal {
                    term,
                    from,
                    proposal,
                };
                self.proposals.insert(index, pending);
            }
            Err(leader) => {
                let leader = leader.and_then(|leader| self.node_of(leader));
                let leader = leader.filter(|leader| !self.is_silent(leader, now));
                self.reply(&from, proposal, ProposalResult::NotLeader(leader));
            }
        }
    }

    /// Whether a leader may be gone: whoever is sent to it waits for an answer in vain, and
    /// asks here again soon where it is told of none.
    fn is_silent(&self, leader: &NodeName, now: Millis) -> bool {
        let silence = self
            .setup
            .directory
            .borrow()
            .last_heard_age(leader.as_str(), now);
        silence.is_none_or(|silence| {
            silence >= SILENT_HEARTBEATS * self.setup.config.heartbeat_interval
        })
    }
}
