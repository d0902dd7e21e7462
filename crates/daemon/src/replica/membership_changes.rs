//! How the leader of a group changes who votes.

use crate::replica::actor::{ReplicaActor, State};
use silversail_consensus::{
    next_membership, without_unreachable_voter, Membership, Millis, ReplicaId, Role, StateMachine,
};

/// A join request that is not repeated is forgotten after this time, in
/// milliseconds.
const JOIN_VALID_FOR: Millis = 2_000;
/// A new leader waits so many rounds for join requests before it takes a learner
/// for gone: about five seconds.
const ROUNDS_BEFORE_DROP: u64 = 20;
/// A new leader waits so many rounds, about as long as a silence, before it takes a
/// voter that it has not heard for gone.
const ROUNDS_BEFORE_REMOVAL: u64 = 12;
/// Silence after which a voter gives its place to a new node that is ready, in
/// milliseconds.
const VOTER_SILENCE: Millis = 2_500;

impl<M: StateMachine + 'static> ReplicaActor<M> {
    /// On the leader: takes the next single step for a replica that joins.
    pub(super) fn change_membership(&mut self, now: Millis) {
        let State::Member(replica) = &mut self.state else {
            return;
        };
        if replica.role() != Role::Leader {
            self.joins.clear();
            self.rounds_as_leader = 0;
            return;
        }
        self.rounds_as_leader += 1;
        let membership = replica.membership().clone();
        self.joins.retain(|_, join| {
            let is_fresh = now.saturating_sub(join.heard_at) < JOIN_VALID_FOR;
            is_fresh && !membership.is_voter(join.request.replica)
        });
        let joining = self.joins.values().map(|join| &join.request);
        let directory = self.setup.directory.borrow();
        let is_silent = |node: &str| {
            let silence = directory.last_heard_age(node, now);
            let is_settled = self.rounds_as_leader > ROUNDS_BEFORE_REMOVAL;
            is_settled
                && directory.is_discovering()
                && silence.is_none_or(|silence| silence > VOTER_SILENCE)
        };
        let step = joining.clone().find_map(|join| {
            next_membership(
                &membership,
                join,
                replica.learner_lag(join.replica),
                is_silent,
            )
        });
        let step = step.or_else(|| without_unreachable_voter(&membership, replica.id(), is_silent));
        drop(directory);
        // A learner that asks no more is a former identity, whose request came
        // late: it would stay for ever.
        let is_asking = |learner: &ReplicaId| joining.clone().any(|join| join.replica == *learner);
        let silent = membership.learners.keys().find(|one| !is_asking(one));
        let may_drop = self.rounds_as_leader > ROUNDS_BEFORE_DROP;
        let drop_silent = silent.copied().filter(|_| may_drop).map(|learner| {
            let mut next = membership.clone();
            next.learners.remove(&learner);
            next
        });
        if let Some(next) = step.or(drop_silent) {
            self.propose_membership(next, now);
        }
    }

    pub(super) fn propose_membership(&mut self, next: Membership, now: Millis) {
        let State::Member(replica) = &mut self.state else {
            return;
        };
        if replica.propose_membership(next.clone(), now).is_ok() {
            let group = self.setup.group.to_string();
            log::info!(event = "membership_change", group = group.as_str(), voters = next.voters.len(), learners = next.learners.len(); "membership proposed");
        }
    }
}
