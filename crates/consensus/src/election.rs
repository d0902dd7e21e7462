//! Leader election: pre-votes, votes and leadership transfer.

use crate::log::{HardState, Index, Payload, Term};
use crate::membership::ReplicaId;
use crate::message::MessageBody;
use crate::output::Role;
use crate::progress::Progress;
use crate::replica::{LeadershipTransfer, Replica};
use crate::Millis;

/// Interval between the pre-vote requests of a replica that has had no leader contact since its
/// start, in milliseconds: a few round trips.
const STARTUP_PRE_VOTE_INTERVAL: Millis = 60;

impl Replica {
    pub(crate) fn start_pre_vote(&mut self) {
        self.reset_election_deadline();
        self.ask_for_pre_votes(false);
    }

    /// Whether there was no leader contact since the start and the next pre-vote request is due.
    pub(crate) fn is_startup_pre_vote_due(&self) -> bool {
        let is_not_elected = matches!(self.role, Role::Follower | Role::PreCandidate);
        is_not_elected
            && self.last_leader_contact_at.is_none()
            && self.leader.is_none()
            && self.now >= self.next_startup_pre_vote_at
    }

    /// Requests pre-votes without waiting for the election timeout, as after a restart of all
    /// replicas there is no leader to time out. If each voter replies that it neither leads nor has
    /// leader contact, no lease can be active. Among the replicas with the longest log only the one
    /// with the greatest identity starts an election, so that votes are not split.
    pub(crate) fn start_startup_pre_vote(&mut self) {
        self.next_startup_pre_vote_at = self.now + STARTUP_PRE_VOTE_INTERVAL;
        self.ask_for_pre_votes(true);
    }

    fn ask_for_pre_votes(&mut self, after_start: bool) {
        self.role = Role::PreCandidate;
        self.is_startup_pre_vote = after_start;
        self.leader = None;
        self.votes = [self.id].into();
        self.lease_free_votes = self.votes.clone();
        if !self.is_lease_free() {
            self.lease_free_votes.clear();
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

    /// Whether enough voters granted the pre-vote for this replica to start an election.
    fn has_pre_votes(&self) -> bool {
        let quorum = self.membership.quorum();
        if !self.is_startup_pre_vote {
            return self.votes.len() >= quorum;
        }
        let mut voters = self.membership.voters.keys();
        let all_answered = voters.all(|voter| {
            let has_granted = self.votes.contains(voter);
            has_granted || self.voters_without_storage.contains(voter)
        });
        (all_answered && self.votes.len() >= quorum) || self.lease_free_votes.len() >= quorum
    }

    /// Records that `node` runs the replica `current` with empty storage. The former replicas of
    /// that node are lost, so startup elections do not wait for their votes.
    pub fn record_empty_storage(&mut self, node: &str, current: ReplicaId) {
        let voters = self.membership.voters.iter();
        let former =
            voters.filter(|(id, voter_node)| voter_node.as_str() == node && **id != current);
        let former: Vec<ReplicaId> = former.map(|(id, _)| *id).collect();
        self.voters_without_storage.extend(former);
    }

    /// Whether this replica has acknowledged no leader within an election timeout, so that no
    /// leader's lease can depend on it.
    fn is_lease_free(&self) -> bool {
        let uptime = self.now.saturating_sub(self.started_at);
        uptime >= self.config.election_timeout && !self.has_live_leader()
    }

    /// Becomes a candidate in a new term. `forced` marks an election that the leader requested,
    /// which voters answer even while they have leader contact.
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
        // The candidate's own vote must be synced before it counts, so the requests are sent only
        // after the sync.
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

    fn is_log_up_to_date(&self, last_index: Index, last_term: Term) -> bool {
        (last_term, last_index) >= (self.log.last_term(), self.log.last_index())
    }

    pub(crate) fn on_pre_vote(
        &mut self,
        from: ReplicaId,
        term: Term,
        (last_term, last_index): (Term, Index),
        after_start: bool,
    ) {
        let own_position = (self.log.last_term(), self.log.last_index(), self.id);
        let has_precedence = !after_start || (last_term, last_index, from) > own_position;
        let granted = term > self.hard_state.term
            && !self.has_live_leader()
            && has_precedence
            && self.is_log_up_to_date(last_index, last_term);
        if term <= self.hard_state.term {
            self.send_current_term(from);
            return;
        }
        let is_lease_free = self.is_lease_free();
        let body = MessageBody::PreVoteReply {
            granted,
            is_lease_free,
        };
        self.send(from, term, body);
    }

    pub(crate) fn on_pre_vote_reply(
        &mut self,
        from: ReplicaId,
        granted: bool,
        is_lease_free: bool,
    ) {
        if self.role != Role::PreCandidate || !granted || !self.membership.is_voter(from) {
            return;
        }
        self.votes.insert(from);
        if is_lease_free {
            self.lease_free_votes.insert(from);
        }
        if self.has_pre_votes() {
            self.start_election(false);
        }
    }

    pub(crate) fn on_vote(&mut self, from: ReplicaId, last_index: Index, last_term: Term) {
        let can_vote = match self.hard_state.voted_for {
            None => self.leader.is_none(),
            Some(voted) => voted == from,
        };
        // A replica that is not a voter by its own log still replies, as its log may lack the
        // membership change that made it one; the candidate decides whether the vote counts.
        // A replica without stored state never votes.
        let has_stored_state = self.log.last_index() > 0;
        let granted = can_vote && has_stored_state && self.is_log_up_to_date(last_index, last_term);
        if granted && self.hard_state.voted_for.is_none() {
            self.hard_state.voted_for = Some(from);
            self.output.writes.hard_state = Some(self.hard_state);
            self.reset_election_deadline();
            // Gives the candidate one election timeout to win.
            self.next_startup_pre_vote_at = self.now + self.config.election_timeout;
        }
        // A vote must survive a restart once the candidate knows of it.
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
        self.unconfirmed_rounds.clear();
        self.confirmed_at = None;
        self.leadership_transfer = None;
        // Gives the new leader one election timeout to reach a quorum.
        self.last_leader_contact_at = Some(self.now);
        let next = self.log.last_index() + 1;
        self.progress = self
            .membership
            .members()
            .map(|member| (member, Progress::new(next)))
            .collect();
        self.term_start_index = next;
        // Entries of earlier terms are committed only together with one of the current term.
        self.append_as_leader(Payload::Noop);
        self.next_heartbeat_at = self.now;
        self.leader_tick();
    }

    pub(crate) fn on_timeout_now(&mut self, from: ReplicaId) {
        if self.leader == Some(from) && self.membership.is_voter(self.id) {
            self.last_leader_contact_at = None;
            self.start_election(true);
        }
    }

    /// Starts a leadership transfer: rejects further proposals and asks a follower to take over as
    /// soon as it has the whole log. Returns false if this replica is not the leader or there is
    /// no other voter.
    pub fn transfer_leadership(&mut self) -> bool {
        let is_other_voter = |id: &ReplicaId| *id != self.id && self.membership.is_voter(*id);
        if self.role != Role::Leader || !self.progress.keys().any(is_other_voter) {
            return false;
        }
        // The successor's election does not wait for this leader's lease to expire, so this leader
        // answers no reads under the lease for the rest of the term.
        let now = self.now;
        self.leadership_transfer.get_or_insert(LeadershipTransfer {
            started_at: now,
            successor: None,
        });
        self.request_takeover();
        true
    }

    /// Asks one successor to start an election: the voter with the whole log that replied last.
    /// Two candidates at once could split the votes.
    pub(crate) fn request_takeover(&mut self) {
        let up_to_date_voter = self.find_successor();
        let Some(leadership_transfer) = &mut self.leadership_transfer else {
            return;
        };
        leadership_transfer.successor = leadership_transfer.successor.or(up_to_date_voter);
        if let Some(successor) = leadership_transfer.successor {
            self.send(successor, self.hard_state.term, MessageBody::TimeoutNow);
        }
    }

    fn find_successor(&self) -> Option<ReplicaId> {
        let last_index = self.log.last_index();
        let is_up_to_date = |id: &ReplicaId, progress: &Progress| {
            *id != self.id && self.membership.is_voter(*id) && progress.match_index == last_index
        };
        let up_to_date = self
            .progress
            .iter()
            .filter(|(id, progress)| is_up_to_date(id, progress));
        let latest = up_to_date.max_by_key(|(_, progress)| progress.last_reply_at);
        latest.map(|(id, _)| *id)
    }
}
