//! Proposals that other processes send to a replica.

use crate::replica::actor::{PendingProposal, ReplicaActor, ReplicaState};
use silversail_consensus::{Millis, ProposeError, Role, StateMachine};
use silversail_control::earlier_builds::convert_command;
use silversail_model::NodeName;
use silversail_peer::{GroupId, ProposalResult};

/// Heartbeat intervals without a message after which proposers are not referred to a leader, so
/// that they don't wait for a leader that has failed.
const MAX_MISSED_LEADER_HEARTBEATS: Millis = 4;

impl<M: StateMachine + 'static> ReplicaActor<M> {
    pub(super) fn propose(&mut self, from: NodeName, proposal: u64, command: Vec<u8>, now: Millis) {
        let is_understood = self.is_understood_by_all(&command);
        let proposed = match &mut self.state {
            ReplicaState::Forming(_) => Err(None),
            // The proposer retries until the last member has been upgraded.
            ReplicaState::Member(replica) if replica.role() == Role::Leader && !is_understood => {
                Err(None)
            }
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

    /// Whether every member of the group can apply a command. An entry that a member of an earlier
    /// build can't be sent would keep all later entries from it.
    fn is_understood_by_all(&self, command: &[u8]) -> bool {
        let ReplicaState::Member(replica) = &self.state else {
            return true;
        };
        let membership = replica.membership();
        let members = membership
            .voters
            .values()
            .chain(membership.learners.values());
        let outbox = self.setup.outbox.borrow();
        let mut earlier =
            members.filter(|node| outbox.speaks_earlier_version(&NodeName::from(node.as_str())));
        let has_earlier_member = earlier.next().is_some();
        let is_control = self.setup.group == GroupId::Control;
        !has_earlier_member || !is_control || convert_command(command).is_some()
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
