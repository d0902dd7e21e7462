//! The replica: its state and its inputs.

use crate::config::ConsensusConfig;
use crate::freshness::Freshness;
use crate::log::{Entry, HardState, Index, Payload, ReplicatedLog, Snapshot, SnapshotMeta, Term};
use crate::membership::{Membership, ReplicaId};
use crate::message::{Message, MessageBody, Stamp};
use crate::output::{Output, ProposeError, Role, StoredState};
use crate::progress::Progress;
use crate::Millis;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// One replica of a group.
pub struct Replica {
    pub(crate) id: ReplicaId,
    pub(crate) config: ConsensusConfig,
    pub(crate) random: ChaCha8Rng,
    pub(crate) incarnation: u64,
    pub(crate) now: Millis,
    pub(crate) hard_state: HardState,
    pub(crate) role: Role,
    pub(crate) leader: Option<ReplicaId>,
    pub(crate) log: ReplicatedLog,
    pub(crate) snapshot: Snapshot,
    pub(crate) membership: Membership,
    pub(crate) commit: Index,
    pub(crate) applied: Index,
    /// Last index synced to the own disk.
    pub(crate) synced: Index,
    /// Writes handed out and not yet synced: the last index of each.
    pub(crate) writes_pending: VecDeque<Option<(Index, Term)>>,
    pub(crate) election_deadline: Millis,
    pub(crate) started_at: Millis,
    /// Whether the pre-votes asked for last are those of a start.
    pub(crate) asks_after_start: bool,
    /// When a replica that has heard no leader since its start asks again.
    pub(crate) next_pre_vote_after_start: Millis,
    /// Voters that would vote for this replica and can't be bound to a leader.
    pub(crate) unbound_votes: BTreeSet<ReplicaId>,
    /// Voters whose disks were emptied: their nodes have other replicas now.
    pub(crate) emptied: BTreeSet<ReplicaId>,
    /// When a leader of the current term was last heard.
    pub(crate) leader_heard_at: Option<Millis>,
    pub(crate) votes: BTreeSet<ReplicaId>,
    pub(crate) progress: BTreeMap<ReplicaId, Progress>,
    pub(crate) round: u64,
    /// When each unconfirmed round began.
    pub(crate) rounds: VecDeque<(u64, Millis)>,
    pub(crate) confirmed_at: Option<Millis>,
    pub(crate) heartbeat_due: Millis,
    /// Set while this leader hands leadership over and takes no proposals.
    pub(crate) hand_over: Option<HandOver>,
    pub(crate) term_start_index: Index,
    pub(crate) freshness: Freshness,
    pub(crate) output: Output,
}

/// A hand-over of leadership that is under way.
pub(crate) struct HandOver {
    /// When it began.
    pub(crate) since: Millis,
    /// The voter that was asked to take over.
    pub(crate) successor: Option<ReplicaId>,
}

impl Replica {
    /// A replica that continues from what was stored.
    ///
    /// `seed` randomises election timeouts; replicas should use different ones.
    /// `incarnation` grows with each start of the replica.
    pub fn new(
        id: ReplicaId,
        config: ConsensusConfig,
        stored: StoredState,
        seed: u64,
        incarnation: u64,
        now: Millis,
    ) -> Self {
        let meta = &stored.snapshot.meta;
        let entries: Vec<Entry> = stored
            .entries
            .into_iter()
            .filter(|entry| entry.index > meta.index)
            .collect();
        let log = ReplicatedLog::new(meta.index, meta.term, entries);
        let membership = log
            .last_membership()
            .map_or_else(|| meta.membership.clone(), |(_, found)| found.clone());
        let synced = log.last_index();
        let snapshot_index = meta.index;
        let mut replica = Self {
            id,
            config,
            random: ChaCha8Rng::seed_from_u64(seed),
            incarnation,
            now,
            hard_state: stored.hard_state,
            role: Role::Follower,
            leader: None,
            log,
            membership,
            commit: snapshot_index,
            applied: snapshot_index,
            synced,
            writes_pending: VecDeque::new(),
            election_deadline: 0,
            started_at: now,
            asks_after_start: false,
            next_pre_vote_after_start: now,
            unbound_votes: BTreeSet::new(),
            emptied: BTreeSet::new(),
            leader_heard_at: None,
            votes: BTreeSet::new(),
            progress: BTreeMap::new(),
            round: 0,
            rounds: VecDeque::new(),
            confirmed_at: None,
            heartbeat_due: now,
            hand_over: None,
            term_start_index: 0,
            freshness: Freshness::default(),
            output: Output::default(),
            snapshot: stored.snapshot,
        };
        replica.reset_election_deadline();
        replica
    }

    /// Identity of this replica.
    pub fn id(&self) -> ReplicaId {
        self.id
    }

    /// Cluster that this replica belongs to.
    pub fn cluster_id(&self) -> u64 {
        self.snapshot.meta.cluster_id
    }

    /// Current role.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Current term.
    pub fn term(&self) -> Term {
        self.hard_state.term
    }

    /// The leader of the current term, where known.
    pub fn leader(&self) -> Option<ReplicaId> {
        self.leader
    }

    /// The membership in force.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Index of the last committed entry.
    pub fn commit_index(&self) -> Index {
        self.commit
    }

    /// Index of the last entry handed out for application.
    pub fn applied_index(&self) -> Index {
        self.applied
    }

    /// Index of the last entry of the log.
    pub fn last_index(&self) -> Index {
        self.log.last_index()
    }

    /// Number of entries held in memory.
    pub fn log_length(&self) -> usize {
        self.log.len()
    }

    /// How far a learner is behind, where this replica leads and has heard it.
    pub fn learner_lag(&self, learner: ReplicaId) -> Option<Index> {
        let progress = self.progress.get(&learner)?;
        progress.last_reply_at?;
        Some(self.commit.saturating_sub(progress.match_index))
    }

    /// Lower bound on the age of the applied state. On a leader it is what a
    /// quorum confirmed; on a follower what the leader's messages prove.
    pub fn freshness(&self) -> Freshness {
        if self.role == Role::Leader {
            let as_of = if self.has_committed_in_term() {
                self.confirmed_at
            } else {
                None
            };
            return Freshness { as_of };
        }
        self.freshness
    }

    /// Whether this replica leads and may answer reads at `now`: a quorum has
    /// confirmed it within the lease and it knows all commits before its term.
    pub fn may_serve_reads(&self, now: Millis) -> bool {
        self.role == Role::Leader
            && self.hand_over.is_none()
            && self.has_committed_in_term()
            && self
                .confirmed_at
                .is_some_and(|confirmed| now.saturating_sub(confirmed) < self.config.lease_duration)
    }

    pub(crate) fn has_committed_in_term(&self) -> bool {
        self.commit >= self.term_start_index
    }

    /// Takes what the last inputs produced.
    pub fn take_output(&mut self) -> Output {
        let output = std::mem::take(&mut self.output);
        if !output.writes.is_empty() || !output.messages_after_sync.is_empty() {
            let last = output.writes.entries.last();
            let snapshot = output.writes.snapshot.as_ref();
            let reached = last
                .map(|entry| (entry.index, entry.term))
                .or_else(|| snapshot.map(|one| (one.meta.index, one.meta.term)));
            self.writes_pending.push_back(reached);
        }
        output
    }

    /// Whether [`Replica::take_output`] would give something that needs
    /// [`Replica::on_synced`].
    pub fn has_output(&self) -> bool {
        let output = &self.output;
        !(output.messages.is_empty()
            && output.writes.is_empty()
            && output.messages_after_sync.is_empty()
            && output.restore.is_none()
            && output.committed.is_empty())
    }

    /// Tells that the oldest output with writes or messages after sync, not yet
    /// reported, is synced.
    pub fn on_synced(&mut self, now: Millis) {
        self.now = self.now.max(now);
        let Some(Some((index, term))) = self.writes_pending.pop_front() else {
            return;
        };
        // The entry may have been replaced meanwhile by another leader's; only
        // what is still in the log counts as synced.
        if self.log.term_at(index) == Some(term) && index > self.synced {
            self.synced = index;
        }
        if self.role == Role::Leader {
            self.advance_commit();
        }
    }

    /// Moves time on.
    pub fn tick(&mut self, now: Millis) {
        self.now = self.now.max(now);
        if self.role == Role::Leader {
            self.leader_tick();
        } else if !self.membership.is_voter(self.id) {
            // A learner follows only.
        } else if self.now >= self.election_deadline {
            self.start_pre_vote();
        } else if self.is_due_after_start() {
            self.start_pre_vote_after_start();
        }
    }

    /// Proposes a command; the index and term identify it among the committed
    /// entries.
    pub fn propose(
        &mut self,
        command: Vec<u8>,
        now: Millis,
    ) -> Result<(Index, Term), ProposeError> {
        self.now = self.now.max(now);
        self.may_propose()?;
        Ok(self.append_as_leader(Payload::Command(command)))
    }

    fn may_propose(&self) -> Result<(), ProposeError> {
        match (self.role, &self.hand_over) {
            (Role::Leader, None) => Ok(()),
            (Role::Leader, Some(_)) => Err(ProposeError::LeadershipTransferInProgress),
            _ => Err(ProposeError::NotLeader),
        }
    }

    /// Proposes a membership that differs in one member.
    pub fn propose_membership(
        &mut self,
        membership: Membership,
        now: Millis,
    ) -> Result<(Index, Term), ProposeError> {
        self.now = self.now.max(now);
        self.may_propose()?;
        let pending = self
            .log
            .last_membership()
            .is_some_and(|(index, _)| index > self.commit);
        if pending || !self.has_committed_in_term() {
            return Err(ProposeError::MembershipPending);
        }
        Ok(self.append_as_leader(Payload::Membership(membership)))
    }

    /// Takes over a snapshot made by the state machine at the applied index
    /// and drops the entries that it covers, but for the last `keep`.
    pub fn compact(&mut self, data: Vec<u8>, keep: usize) -> Snapshot {
        let index = self.applied;
        let term = self.log.term_at(index).unwrap_or(self.snapshot.meta.term);
        let membership = self.membership_at(index);
        self.snapshot = Snapshot {
            meta: SnapshotMeta {
                cluster_id: self.cluster_id(),
                index,
                term,
                membership,
            },
            data,
        };
        let base = index.saturating_sub(keep as Index);
        if base >= self.log.first_index() {
            self.log.compact_to(base);
        }
        self.snapshot.clone()
    }

    /// The newest snapshot.
    pub fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// Entries after the snapshot, for rewriting the stored log.
    pub fn entries_after_snapshot(&self) -> Vec<Entry> {
        self.log
            .slice(self.snapshot.meta.index + 1, usize::MAX, usize::MAX)
    }

    /// Term and vote, for rewriting the stored log.
    pub fn hard_state(&self) -> HardState {
        self.hard_state
    }

    fn membership_at(&self, index: Index) -> Membership {
        match self.log.last_membership() {
            Some((found, _)) if found > index => self.previous_membership(index),
            Some((_, membership)) => membership.clone(),
            None => self.snapshot.meta.membership.clone(),
        }
    }

    fn previous_membership(&self, index: Index) -> Membership {
        let mut at = index;
        while at >= self.log.first_index() {
            if let Some(Payload::Membership(found)) = self.log.entry(at).map(|entry| &entry.payload)
            {
                return found.clone();
            }
            at -= 1;
        }
        self.snapshot.meta.membership.clone()
    }

    /// Handles a message of a peer.
    pub fn step(&mut self, message: Message, now: Millis) {
        self.now = self.now.max(now);
        if message.to != self.id {
            return;
        }
        self.emptied.remove(&message.from);
        if !self.admit_term(&message) {
            return;
        }
        let from = message.from;
        match message.body {
            MessageBody::PreVote {
                last_index,
                last_term,
                after_start,
            } => {
                let log = (last_term, last_index);
                self.on_pre_vote(from, message.term, log, after_start);
            }
            MessageBody::PreVoteReply {
                granted,
                is_unbound,
            } => self.on_pre_vote_reply(from, granted, is_unbound),
            MessageBody::Vote {
                last_index,
                last_term,
                forced: _,
            } => self.on_vote(from, last_index, last_term),
            MessageBody::VoteReply { granted } => self.on_vote_reply(from, granted),
            MessageBody::Append {
                previous_index,
                previous_term,
                entries,
                commit,
                freshness,
            } => self.on_append(
                from,
                previous_index,
                previous_term,
                entries,
                commit,
                freshness,
            ),
            MessageBody::AppendReply {
                accepted,
                match_index,
                round,
                sent_at,
            } => self.on_append_reply(from, accepted, match_index, round, sent_at),
            MessageBody::InstallSnapshot { snapshot, round } => {
                self.on_install_snapshot(from, snapshot, round)
            }
            MessageBody::TimeoutNow => self.on_timeout_now(from),
        }
    }

    /// Compares terms; false when the message is to be dropped.
    fn admit_term(&mut self, message: &Message) -> bool {
        let current = self.hard_state.term;
        match &message.body {
            // Pre-votes carry a term that nobody has entered yet.
            MessageBody::PreVote { .. } => true,
            MessageBody::PreVoteReply { .. } => message.term == current + 1,
            // A vote request is ignored while a leader is alive, so that a
            // replica that was cut off can't disturb it. This also makes the
            // leader's lease sound.
            MessageBody::Vote { forced: false, .. }
                if message.term > current && self.leader_is_alive() =>
            {
                false
            }
            _ => {
                if message.term > current {
                    self.become_follower(message.term, None);
                }
                self.tell_former_leader(message);
                message.term == self.hard_state.term
            }
        }
    }

    /// A leader of an earlier term learns the present one and steps down: this replica
    /// can't follow it any more, and nobody votes for this one while the leader lives.
    fn tell_former_leader(&mut self, message: &Message) {
        let leads = matches!(
            message.body,
            MessageBody::Append { .. } | MessageBody::InstallSnapshot { .. }
        );
        if leads && message.term < self.hard_state.term {
            self.tell_term(message.from);
        }
    }

    /// Tells a replica that lags behind which term is current.
    pub(crate) fn tell_term(&mut self, to: ReplicaId) {
        let body = MessageBody::AppendReply {
            accepted: false,
            match_index: 0,
            round: 0,
            sent_at: self.stamp(),
        };
        self.send(to, self.hard_state.term, body);
    }

    pub(crate) fn leader_is_alive(&self) -> bool {
        if self.role == Role::Leader {
            return true;
        }
        self.leader_heard_at
            .is_some_and(|heard| self.now.saturating_sub(heard) < self.config.election_timeout)
    }

    pub(crate) fn become_follower(&mut self, term: Term, leader: Option<ReplicaId>) {
        if term > self.hard_state.term {
            self.hard_state = HardState {
                term,
                voted_for: None,
            };
            self.output.writes.hard_state = Some(self.hard_state);
        }
        if self.role == Role::Leader {
            // A former leader's own bound on freshness stays true.
            if let Some(confirmed) = self.confirmed_at.filter(|_| self.has_committed_in_term()) {
                self.freshness.advance(confirmed);
            }
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.votes.clear();
        self.reset_election_deadline();
    }

    pub(crate) fn reset_election_deadline(&mut self) {
        let shortest = self.config.election_timeout;
        let timeout = self.random.gen_range(shortest..shortest * 2);
        self.election_deadline = self.now + timeout;
    }

    pub(crate) fn stamp(&self) -> Stamp {
        Stamp {
            incarnation: self.incarnation,
            at: self.now,
        }
    }

    pub(crate) fn send(&mut self, to: ReplicaId, term: Term, body: MessageBody) {
        let from = self.id;
        self.output.messages.push(Message {
            from,
            to,
            term,
            body,
        });
    }

    pub(crate) fn send_after_sync(&mut self, to: ReplicaId, body: MessageBody) {
        let message = Message {
            from: self.id,
            to,
            term: self.hard_state.term,
            body,
        };
        self.output.messages_after_sync.push(message);
    }

    pub(crate) fn set_commit(&mut self, index: Index) {
        if index <= self.commit {
            return;
        }
        self.commit = index;
        while self.applied < self.commit {
            let next = self.applied + 1;
            let Some(entry) = self.log.entry(next) else {
                break;
            };
            self.output.committed.push(entry.clone());
            self.applied = next;
        }
    }
}
