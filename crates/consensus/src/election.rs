//! Pre-votes and votes.

use crate::log::{HardState, Index, Payload, Term};
use crate::membership::ReplicaId;
use crate::message::MessageBody;
use crate::output::Role;
use crate::progress::Progress;
use crate::replica::{HandOver, Replica};
use crate::Millis;

/// How often a replica that has heard no leader since its start asks for votes, in
/// milliseconds: a few round trips.
const PRE_VOTE_AFTER_START_EVERY: Millis = 60;

impl Replica {
    pub(crate) fn start_pre_vote(&mut self) {
        self.reset_election_deadline();
        self.ask_for_pre_votes(false);
    }

    /// Whether no leader was heard since the start and it is time to ask.
    pub(crate) fn is_due_after_start(&self) -> bool {
        let is_undecided = matches!(self.role, Role::Follower | Role::PreCandidate);
        is_undecided
            && self.leader_heard_at.is_none()
            && self.leader.is_none()
            && self.now >= self.next_pre_vote_after_start
    }

    /// After all replicas restarted at once nobody leads, and waiting for a leader's
    /// silence would be in vain. Where each voter answers that it neither leads nor hears
    /// a leader, no lease can be left; of the replicas with the longest log the one with
    /// the greatest identity stands, so that votes are not split.
    pub(crate) fn start_pre_vote_after_start(&mut self) {
        self.next_pre_vote_after_start = self.now + PRE_VOTE_AFTER_START_EVERY;
        self.ask_for_pre_votes(true);
    }

    fn ask_for_pre_votes(&mut self, after_start: bool) {
        self.role = Role::PreCandidate;
        self.asks_after_start = after_start;
        self.leader = None;
        self.votes = [self.id].into();
        self.unbound_votes = self.votes.clone();
        if !self.is_unbound() {
            self.unbound_votes.clear();
        }
        if self.has_pre_votes() {
            self.start_election(false);
            return;
        }
        let body = MessageBody::PreVote {
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
            after_start,
        };
        self.send_to_voters(self.hard_state.term + 1, body);
    }

    /// Whether enough voters would vote for this replica.
    fn has_pre_votes(&self) -> bool {
        let quorum = self.membership.quorum();
        if !self.asks_after_start {
            return self.votes.len() >= quorum;
        }
        let mut voters = self.membership.voters.keys();
        let all_answered = voters.all(|voter| {
            let has_granted = self.votes.contains(voter);
            has_granted || self.emptied.contains(voter)
        });
        (all_answered && self.votes.len() >= quorum) || self.unbound_votes.len() >= quorum
    }

    /// `node` has the replica `present`, which holds nothing yet: former replicas of that
    /// node went with its disk, and none of them can lead or hear a leader.
    pub fn record_empty_storage(&mut self, node: &str, present: ReplicaId) {
        let voters = self.membership.voters.iter();
        let former = voters.filter(|(id, of)| of.as_str() == node && **id != present);
        let former: Vec<ReplicaId> = former.map(|(id, _)| *id).collect();
        self.emptied.extend(former);
    }

    /// Whether this replica can't have acknowledged a leader within an election timeout.
    fn is_unbound(&self) -> bool {
        let uptime = self.now.saturating_sub(self.started_at);
        uptime >= self.config.election_timeout && !self.leader_is_alive()
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
        (last_term, last_index): (Term, Index),
        after_start: bool,
    ) {
        let own = (self.log.last_term(), self.log.last_index(), self.id);
        let has_precedence = !after_start || (last_term, last_index, from) > own;
        let granted = term > self.hard_state.term
            && !self.leader_is_alive()
            && has_precedence
            && self.log_is_current(last_index, last_term);
        if term <= self.hard_state.term {
            self.tell_term(from);
            return;
        }
        let is_unbound = self.is_unbound();
        let body = MessageBody::PreVoteReply {
            granted,
            is_unbound,
        };
        self.send(from, term, body);
    }

    pub(crate) fn on_pre_vote_reply(&mut self, from: ReplicaId, granted: bool, is_unbound: bool) {
        if self.role != Role::PreCandidate || !granted || !self.membership.is_voter(from) {
            return;
        }
        self.votes.insert(from);
        if is_unbound {
            self.unbound_votes.insert(from);
        }
        if self.has_pre_votes() {
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
            // The candidate gets the time that a leader would get.
            self.next_pre_vote_after_start = self.now + self.config.election_timeout;
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
        self.hand_over = None;
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

    /// Begins to hand leadership over: takes no more proposals and asks a follower that holds
    /// the whole log to take over, as soon as one does. Entries under way would else leave
    /// nobody to ask. False where this replica does not lead or no other one votes.
    pub fn transfer_leadership(&mut self) -> bool {
        let is_other_voter = |id: &ReplicaId| *id != self.id && self.membership.is_voter(*id);
        if self.role != Role::Leader || !self.progress.keys().any(is_other_voter) {
            return false;
        }
        // The successor's election does not wait for this leader's lease to end, so no read may
        // be answered under it for the rest of the term.
        let now = self.now;
        self.hand_over.get_or_insert(HandOver {
            since: now,
            successor: None,
        });
        self.ask_successor();
        true
    }

    /// Asks the successor to take over: the follower that was heard last, of those that hold
    /// the whole log. One only, as two that stand at once may win neither.
    pub(crate) fn ask_successor(&mut self) {
        let ready = self.ready_successor();
        let Some(hand_over) = &mut self.hand_over else {
            return;
        };
        hand_over.successor = hand_over.successor.or(ready);
        if let Some(successor) = hand_over.successor {
            self.send(successor, self.hard_state.term, MessageBody::TimeoutNow);
        }
    }

    fn ready_successor(&self) -> Option<ReplicaId> {
        let last = self.log.last_index();
        let is_ready = |id: &ReplicaId, one: &Progress| {
            *id != self.id && self.membership.is_voter(*id) && one.match_index == last
        };
        let ready = self.progress.iter().filter(|(id, one)| is_ready(id, one));
        let heard_last = ready.max_by_key(|(_, one)| one.last_reply_at);
        heard_last.map(|(id, _)| *id)
    }
}
