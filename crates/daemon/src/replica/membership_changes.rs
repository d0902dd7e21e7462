//! Membership changes that the leader of a group makes.

use crate::replica::actor::{ReplicaActor, ReplicaState};
use silversail_consensus::{
    next_membership, without_unreachable_voter, Membership, Millis, ReplicaId, Role, StateMachine,
};

/// Time after which a join request that is not repeated is dropped, in milliseconds.
const JOIN_REQUEST_LIFETIME_MS: Millis = 2_000;
/// Rounds that a new leader waits for join requests before it removes a learner that sent
/// none.
const ROUNDS_BEFORE_LEARNER_REMOVAL: u64 = 20;
/// Rounds that a new leader waits before it treats a voter without messages as unreachable.
const ROUNDS_BEFORE_VOTER_REMOVAL: u64 = 12;
/// Time without a message after which a voter may be replaced by a node that is ready, in
/// milliseconds.
const VOTER_TIMEOUT_MS: Millis = 2_500;

impl<M: StateMachine + 'static> ReplicaActor<M> {
    /// On the leader, proposes the next single-step membership change, if one is due.
    pub(super) fn advance_membership_change(&mut self, now: Millis) {
        let ReplicaState::Member(replica) = &mut self.state else {
            return;
        };
        if replica.role() != Role::Leader {
            self.join_requests.clear();
            self.rounds_as_leader = 0;
            return;
        }
        self.rounds_as_leader += 1;
        let membership = replica.membership().clone();
        self.join_requests.retain(|_, join| {
            let is_fresh = now.saturating_sub(join.received_at) < JOIN_REQUEST_LIFETIME_MS;
            is_fresh && !membership.is_voter(join.request.replica)
        });
        let joining = self.join_requests.values().map(|join| &join.request);
        let directory = self.setup.directory.borrow();
        let is_unreachable = |node: &str| {
            let last_heard_age = directory.last_heard_age(node, now);
            let has_waited = self.rounds_as_leader > ROUNDS_BEFORE_VOTER_REMOVAL;
            has_waited
                && directory.is_discovering()
                && last_heard_age.is_none_or(|age| age > VOTER_TIMEOUT_MS)
        };
        let step = joining.clone().find_map(|join| {
            next_membership(
                &membership,
                join,
                replica.learner_lag(join.replica),
                is_unreachable,
            )
        });
        let step =
            step.or_else(|| without_unreachable_voter(&membership, replica.id(), is_unreachable));
        drop(directory);
        // A learner that no longer sends join requests is a former identity of a replica
        // whose request arrived late; without this removal it would remain for ever.
        let still_asks_to_join =
            |learner: &ReplicaId| joining.clone().any(|join| join.replica == *learner);
        let abandoned = membership
            .learners
            .keys()
            .find(|learner| !still_asks_to_join(learner));
        let may_remove_learner = self.rounds_as_leader > ROUNDS_BEFORE_LEARNER_REMOVAL;
        let learner_removal = abandoned
            .copied()
            .filter(|_| may_remove_learner)
            .map(|learner| {
                let mut next = membership.clone();
                next.learners.remove(&learner);
                next
            });
        if let Some(next) = step.or(learner_removal) {
            self.propose_membership(next, now);
        }
    }

    pub(super) fn propose_membership(&mut self, next: Membership, now: Millis) {
        let ReplicaState::Member(replica) = &mut self.state else {
            return;
        };
        if replica.propose_membership(next.clone(), now).is_ok() {
            let group = self.setup.group.to_string();
            log::info!(event = "membership_change", group = group.as_str(), voters = next.voters.len(), learners = next.learners.len(); "membership change proposed");
        }
    }
}
