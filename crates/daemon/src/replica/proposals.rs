//! Proposals that other processes send to a replica.

use crate::replica::actor::{PendingProposal, ReplicaActor, ReplicaState};
use silversail_consensus::{Millis, ProposeError, StateMachine};
use silversail_model::NodeName;
use silversail_peer::ProposalResult;

/// Heartbeat intervals without a message after which proposers are not referred to a leader, so
/// that they don't wait for a leader that has failed.
const MAX_MISSED_LEADER_HEARTBEATS: Millis = 4;

impl<M: StateMachine + 'static> ReplicaActor<M> {
    pub(super) fn propose(&mut self, from: NodeName, proposal: u64, command: Vec<u8>, now: Millis) {
        let proposed = match &mut self.state {
            ReplicaState::Forming(_) => Err(None),
            ReplicaState::Member(replica) => match replica.propose(command, now) {
                Ok(index_and_term) => Ok(index_and_term),
                // The next leader is not known yet; the proposer retries.
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
                let leader = leader.filter(|leader| !self.is_unreachable(leader, now));
                self.send_proposal_reply(&from, proposal, ProposalResult::NotLeader(leader));
            }
        }
    }

    /// Whether a leader may have failed. A proposer referred to it would wait for the reply
    /// timeout; one that gets no leader's name retries sooner.
    fn is_unreachable(&self, leader: &NodeName, now: Millis) -> bool {
        let last_heard_age = self
            .setup
            .directory
            .borrow()
            .last_heard_age(leader.as_str(), now);
        last_heard_age.is_none_or(|age| {
            age >= MAX_MISSED_LEADER_HEARTBEATS * self.setup.config.heartbeat_interval
        })
    }
}
