//! Pre-votes and votes.

use crate::log::{HardState, Index, Payload, Term};
use crate::membership::ReplicaId;
use crate::message::MessageBody;
use crate::output::Role;
use crate::progress::Progress;
use crate::replica::Replica;

impl Replica {
    pub(crate) fn start_pre_vote(&mut self) {
        self.role = Role::PreCandidate;
        self.leader = None;
        self.votes = [self.id].into();
        self.reset_election_deadline();
        if self.votes.len() >= self.membership.quorum() {
            self.start_election(false);
            return;
        }
        let body = MessageBody::PreVote {
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        self.send_to_voters(self.hard_state.term + 1, body);
    }

    /// Stands for election. `forced` is set when the leader asked for it, so
    /// that voters need not wait for its silence.
    fn start_election(&mut self, forced: bool) {
        self.role = Role::Candidate;
        self.hard_state = HardState {
            term: self.hard_state.term + 1,
            voted_for: Some(self.id),
        };
        self.output.writes.hard_state = Some(self.hard_state);
        self.votes = [self.id].into();
        self.reset_election_deadline();
        if self.votes.len() >= self.membership.quorum() {
            self.become_leader();
            return;
        }
        let body = MessageBody::Vote {
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
            forced,
        };
        // The own vote must be on disk before it can count, so the requests
        // leave only after the sync.
        for voter in self.other_voters() {
            self.send_after_sync(voter, body.clone());
        }
    }

    fn other_voters(&self) -> Vec<ReplicaId> {
        let voters = self.membership.voters.keys().copied();
        voters.filter(|voter| *voter != self.id).collect()
    }

    fn send_to_voters(&mut self, term: Term, body: MessageBody) {
        for voter in self.other_voters() {
            self.send(voter, term, body.clone());
        }
    }

    fn log_is_current(&self, last_index: Index, last_term: Term) -> bool {
        (last_term, last_index) >= (self.log.last_term(), self.log.last_index())
    }

    pub(crate) fn on_pre_vote(
        &mut self,
        from: ReplicaId,
        term: Term,
        last_index: Index,
        last_term: Term,
    ) {
        let granted = term > self.hard_state.term
            && !self.leader_is_alive()
            && self.log_is_current(last_index, last_term);
        if term <= self.hard_state.term {
            // Tells a replica that lags behind which term is current.
            let body = MessageBody::AppendReply {
                accepted: false,
                match_index: 0,
                round: 0,
                sent_at: self.stamp(),
            };
            self.send(from, self.hard_state.term, body);
            return;
        }
        self.send(from, term, MessageBody::PreVoteReply { granted });
    }

    pub(crate) fn on_pre_vote_reply(&mut self, from: ReplicaId, granted: bool) {
        if self.role != Role::PreCandidate || !granted || !self.membership.is_voter(from) {
            return;
        }
        self.votes.insert(from);
        if self.votes.len() >= self.membership.quorum() {
            self.start_election(false);
        }
    }

    pub(crate) fn on_vote(&mut self, from: ReplicaId, last_index: Index, last_term: Term) {
        let free = match self.hard_state.voted_for {
            None => self.leader.is_none(),
            Some(voted) => voted == from,
        };
        // A replica that is no voter by its own log still answers: its log may
        // lag behind the membership that made it one. Whether the answer
        // counts is the candidate's to decide.
        // One that holds nothing yet never votes.
        let holds_state = self.log.last_index() > 0;
        let granted = free && holds_state && self.log_is_current(last_index, last_term);
        if granted && self.hard_state.voted_for.is_none() {
            self.hard_state.voted_for = Some(from);
            self.output.writes.hard_state = Some(self.hard_state);
            self.reset_election_deadline();
        }
        // The vote must not be forgotten once it is known.
        self.send_after_sync(from, MessageBody::VoteReply { granted });
    }

    pub(crate) fn on_vote_reply(&mut self, from: ReplicaId, granted: bool) {
        if self.role != Role::Candidate || !granted || !self.membership.is_voter(from) {
            return;
        }
        self.votes.insert(from);
        if self.votes.len() >= self.membership.quorum() {
            self.become_leader();
        }
    }

    fn become_leader(&mut self) {
        self.role = Role::Leader;
        self.leader = Some(self.id);
        self.rounds.clear();
        self.confirmed_at = None;
        self.handing_over = false;
        // A new leader gets one election timeout to reach a quorum.
        self.leader_heard_at = Some(self.now);
        let next = self.log.last_index() + 1;
        self.progress = self
            .membership
            .members()
            .map(|member| (member, Progress::new(next)))
            .collect();
        self.term_start_index = next;
        // Commits of former terms count only with an entry of the own term.
        self.append_as_leader(Payload::Noop);
        self.heartbeat_due = self.now;
        self.leader_tick();
    }

    pub(crate) fn on_timeout_now(&mut self, from: ReplicaId) {
        if self.leader == Some(from) && self.membership.is_voter(self.id) {
            self.leader_heard_at = None;
            self.start_election(true);
        }
    }

    /// Asks the follower that holds the most of the log to take over. True
    /// when there is one to ask.
    pub fn hand_over(&mut self) -> bool {
        if self.role != Role::Leader {
            return false;
        }
        let last = self.log.last_index();
        let ready = self
            .progress
            .iter()
            .filter(|(id, one)| {
                **id != self.id && self.membership.is_voter(**id) && one.match_index == last
            })
            .max_by_key(|(_, one)| one.last_reply_at)
            .map(|(id, _)| *id);
        let Some(successor) = ready else {
            return false;
        };
        // The successor's election does not wait for this leader's lease to
        // end, so no read may be answered under it any more.
        self.handing_over = true;
        self.send(successor, self.hard_state.term, MessageBody::TimeoutNow);
        true
    }
}
