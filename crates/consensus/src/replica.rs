//! A replica of one Raft group: its state and the handling of its inputs.

use crate::config::ConsensusConfig;
use crate::freshness::Freshness;
use crate::log::{Entry, HardState, Index, Payload, ReplicatedLog, Snapshot, SnapshotMeta, Term};
use crate::membership::{Membership, ReplicaId};
use crate::message::{Message, MessageBody, ProcessTimestamp};
use crate::output::{Output, ProposeError, Role, StoredState};
use crate::progress::Progress;
use crate::Millis;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// One replica of a Raft group.
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
    pub(crate) commit_index: Index,
    pub(crate) applied_index: Index,
    /// Last log index that this replica has synced to its own disk.
    pub(crate) synced_index: Index,
    /// Last index and term of each write that was returned to the caller and is not synced yet.
    pub(crate) pending_writes: VecDeque<Option<(Index, Term)>>,
    pub(crate) election_deadline: Millis,
    pub(crate) started_at: Millis,
    /// Whether the latest pre-vote requests were sent as part of a startup election.
    pub(crate) is_startup_pre_vote: bool,
    /// Time of the next pre-vote request of a replica without leader contact since its start.
    pub(crate) next_startup_pre_vote_at: Millis,
    /// Voters that granted a pre-vote and cannot be part of a leader's lease.
    pub(crate) lease_free_votes: BTreeSet<ReplicaId>,
    /// Voters whose storage was lost: their nodes now run replicas with other identities.
    pub(crate) voters_without_storage: BTreeSet<ReplicaId>,
    /// Time of the last message from a leader of the current term.
    pub(crate) last_leader_contact_at: Option<Millis>,
    pub(crate) votes: BTreeSet<ReplicaId>,
    pub(crate) progress: BTreeMap<ReplicaId, Progress>,
    pub(crate) round: u64,
    /// Start time of each heartbeat round that no quorum has acknowledged yet.
    pub(crate) unconfirmed_rounds: VecDeque<(u64, Millis)>,
    pub(crate) confirmed_at: Option<Millis>,
    pub(crate) next_heartbeat_at: Millis,
    /// Set while this leader transfers leadership; it rejects proposals meanwhile.
    pub(crate) leadership_transfer: Option<LeadershipTransfer>,
    pub(crate) term_start_index: Index,
    pub(crate) freshness: Freshness,
    pub(crate) output: Output,
}

/// A leadership transfer in progress.
pub(crate) struct LeadershipTransfer {
    /// Start of the transfer.
    pub(crate) started_at: Millis,
    /// The voter that was asked to start an election.
    pub(crate) successor: Option<ReplicaId>,
}

impl Replica {
    /// Creates a follower from its stored state.
    ///
    /// `seed` randomizes election timeouts and should differ between replicas.
    /// `incarnation` must increase with each start of the replica.
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
        let membership = log.last_membership().map_or_else(
            || meta.membership.clone(),
            |(_, membership)| membership.clone(),
        );
        let synced_index = log.last_index();
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
            commit_index: snapshot_index,
            applied_index: snapshot_index,
            synced_index,
            pending_writes: VecDeque::new(),
            election_deadline: 0,
            started_at: now,
            is_startup_pre_vote: false,
            next_startup_pre_vote_at: now,
            lease_free_votes: BTreeSet::new(),
            voters_without_storage: BTreeSet::new(),
            last_leader_contact_at: None,
            votes: BTreeSet::new(),
            progress: BTreeMap::new(),
            round: 0,
            unconfirmed_rounds: VecDeque::new(),
            confirmed_at: None,
            next_heartbeat_at: now,
            leadership_transfer: None,
            term_start_index: 0,
            freshness: Freshness::default(),
            output: Output::default(),
            snapshot: stored.snapshot,
        };
        replica.reset_election_deadline();
        replica
    }

    /// Identity of this replica, bound to its storage.
    pub fn id(&self) -> ReplicaId {
        self.id
    }

    /// Cluster that this replica belongs to.
    pub fn cluster_id(&self) -> u64 {
        self.snapshot.meta.cluster_id
    }

    /// Role of this replica in its current term.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Highest term that this replica has seen.
    pub fn term(&self) -> Term {
        self.hard_state.term
    }

    /// The leader of the current term; `None` if it is not known.
    pub fn leader(&self) -> Option<ReplicaId> {
        self.leader
    }

    /// The latest membership in the log, whether committed or not.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Index of the last committed entry.
    pub fn commit_index(&self) -> Index {
        self.commit_index
    }

    /// Index of the last entry returned to the caller for application.
    pub fn applied_index(&self) -> Index {
        self.applied_index
    }

    /// Index of the last entry of the log.
    pub fn last_index(&self) -> Index {
        self.log.last_index()
    }

    /// Number of entries held in memory.
    pub fn log_length(&self) -> usize {
        self.log.len()
    }

    /// Number of committed entries that a learner lacks; `None` unless this replica is the leader
    /// and the learner has replied to it.
    pub fn learner_lag(&self, learner: ReplicaId) -> Option<Index> {
        let progress = self.progress.get(&learner)?;
        progress.last_reply_at?;
        Some(self.commit_index.saturating_sub(progress.match_index))
    }

    /// The time as of which the applied state is known to be current: on a leader the start of
    /// the last round that a quorum acknowledged, on a follower derived from the leader's messages.
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

    /// Whether this replica may answer reads at `now` under its leader lease: a quorum has
    /// acknowledged it within the lease duration and it knows all commits of earlier terms.
    pub fn may_serve_reads(&self, now: Millis) -> bool {
        self.role == Role::Leader
            && self.leadership_transfer.is_none()
            && self.has_committed_in_term()
            && self.confirmed_at.is_some_and(|confirmed_at| {
                now.saturating_sub(confirmed_at) < self.config.lease_duration
            })
    }

    pub(crate) fn has_committed_in_term(&self) -> bool {
        self.commit_index >= self.term_start_index
    }

    /// Returns the output of all inputs since the last call.
    pub fn take_output(&mut self) -> Output {
        let output = std::mem::take(&mut self.output);
        if !output.writes.is_empty() || !output.messages_after_sync.is_empty() {
            let last = output.writes.entries.last();
            let snapshot = output.writes.snapshot.as_ref();
            let last_position = last
                .map(|entry| (entry.index, entry.term))
                .or_else(|| snapshot.map(|snapshot| (snapshot.meta.index, snapshot.meta.term)));
            self.pending_writes.push_back(last_position);
        }
        output
    }

    /// Whether [`Replica::take_output`] would return anything to send, write, restore or apply.
    pub fn has_output(&self) -> bool {
        let output = &self.output;
        !(output.messages.is_empty()
            && output.writes.is_empty()
            && output.messages_after_sync.is_empty()
            && output.restore.is_none()
            && output.committed.is_empty())
    }

    /// Reports that the oldest unreported output with writes or messages after sync is synced.
    /// Must be called once for each such output, in order.
    pub fn on_synced(&mut self, now: Millis) {
        self.now = self.now.max(now);
        let Some(Some((index, term))) = self.pending_writes.pop_front() else {
            return;
        };
        // A later leader may have overwritten the entry; only entries that are still in the log
        // count as synced.
        if self.log.term_at(index) == Some(term) && index > self.synced_index {
            self.synced_index = index;
        }
        if self.role == Role::Leader {
            self.advance_commit();
        }
    }

    /// Advances the clock to `now` and starts any heartbeat or election that is due.
    pub fn tick(&mut self, now: Millis) {
        self.now = self.now.max(now);
        if self.role == Role::Leader {
            self.leader_tick();
        } else if !self.membership.is_voter(self.id) {
            // Learners never start elections.
        } else if self.now >= self.election_deadline {
            self.start_pre_vote();
        } else if self.is_startup_pre_vote_due() {
            self.start_startup_pre_vote();
        }
    }

    /// Appends a command to the log. The returned index and term identify its entry among the
    /// committed ones.
    ///
    /// # Errors
    /// If this replica is not the leader or is transferring leadership.
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
        match (self.role, &self.leadership_transfer) {
            (Role::Leader, None) => Ok(()),
            (Role::Leader, Some(_)) => Err(ProposeError::LeadershipTransferInProgress),
            _ => Err(ProposeError::NotLeader),
        }
    }

    /// Appends a membership that differs from the current one in a single member.
    ///
    /// # Errors
    /// Those of [`Replica::propose`], or if an earlier change is not committed yet.
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
            .is_some_and(|(index, _)| index > self.commit_index);
        if pending || !self.has_committed_in_term() {
            return Err(ProposeError::MembershipPending);
        }
        Ok(self.append_as_leader(Payload::Membership(membership)))
    }

    /// Stores a snapshot that the state machine made at the applied index, and drops the log
    /// entries that it covers except for the last `retained_entries`.
    pub fn compact(&mut self, data: Vec<u8>, retained_entries: usize) -> Snapshot {
        let index = self.applied_index;
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
        let base = index.saturating_sub(retained_entries as Index);
        if base >= self.log.first_index() {
            self.log.compact_to(base);
        }
        self.snapshot.clone()
    }

    /// The latest snapshot.
    pub fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// Entries after the snapshot, used to rewrite the stored log.
    pub fn entries_after_snapshot(&self) -> Vec<Entry> {
        self.log
            .slice(self.snapshot.meta.index + 1, usize::MAX, usize::MAX)
    }

    /// Current term and vote, used to rewrite the stored log.
    pub fn hard_state(&self) -> HardState {
        self.hard_state
    }

    fn membership_at(&self, index: Index) -> Membership {
        match self.log.last_membership() {
            Some((membership_index, _)) if membership_index > index => {
                self.previous_membership(index)
            }
            Some((_, membership)) => membership.clone(),
            None => self.snapshot.meta.membership.clone(),
        }
    }

    fn previous_membership(&self, index: Index) -> Membership {
        let mut entry_index = index;
        while entry_index >= self.log.first_index() {
            if let Some(Payload::Membership(membership)) =
                self.log.entry(entry_index).map(|entry| &entry.payload)
            {
                return membership.clone();
            }
            entry_index -= 1;
        }
        self.snapshot.meta.membership.clone()
    }

    /// Handles a message from another replica.
    pub fn step(&mut self, message: Message, now: Millis) {
        self.now = self.now.max(now);
        if message.to != self.id {
            return;
        }
        self.voters_without_storage.remove(&message.from);
        if !self.check_term(&message) {
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
                is_lease_free,
            } => self.on_pre_vote_reply(from, granted, is_lease_free),
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
                commit_index,
                freshness,
            } => self.on_append(
                from,
                previous_index,
                previous_term,
                entries,
                commit_index,
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

    /// Compares the message's term with the current one; false if the message must be dropped.
    fn check_term(&mut self, message: &Message) -> bool {
        let current = self.hard_state.term;
        match &message.body {
            // A pre-vote carries the term that its sender would enter, not a current one.
            MessageBody::PreVote { .. } => true,
            MessageBody::PreVoteReply { .. } => message.term == current + 1,
            // Vote requests are ignored while there is a live leader, so that a partitioned
            // replica cannot disrupt it. The leader lease relies on this.
            MessageBody::Vote { forced: false, .. }
                if message.term > current && self.has_live_leader() =>
            {
                false
            }
            _ => {
                if message.term > current {
                    self.become_follower(message.term, None);
                }
                self.notify_former_leader(message);
                message.term == self.hard_state.term
            }
        }
    }

    /// Sends the current term to a leader of an earlier term, so that it steps down. Without this,
    /// a replica with a later term than its leader's could neither follow it nor be elected.
    fn notify_former_leader(&mut self, message: &Message) {
        let is_from_leader = matches!(
            message.body,
            MessageBody::Append { .. } | MessageBody::InstallSnapshot { .. }
        );
        if is_from_leader && message.term < self.hard_state.term {
            self.send_current_term(message.from);
        }
    }

    /// Sends the current term to a replica with an older one.
    pub(crate) fn send_current_term(&mut self, to: ReplicaId) {
        let body = MessageBody::AppendReply {
            accepted: false,
            match_index: 0,
            round: 0,
            sent_at: self.timestamp(),
        };
        self.send(to, self.hard_state.term, body);
    }

    pub(crate) fn has_live_leader(&self) -> bool {
        if self.role == Role::Leader {
            return true;
        }
        self.last_leader_contact_at.is_some_and(|contact_at| {
            self.now.saturating_sub(contact_at) < self.config.election_timeout
        })
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
            // The freshness that a quorum confirmed to this leader stays valid.
            if let Some(confirmed_at) = self.confirmed_at.filter(|_| self.has_committed_in_term()) {
                self.freshness.advance(confirmed_at);
            }
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.votes.clear();
        self.reset_election_deadline();
    }

    pub(crate) fn reset_election_deadline(&mut self) {
        let min_timeout = self.config.election_timeout;
        let timeout = self.random.gen_range(min_timeout..min_timeout * 2);
        self.election_deadline = self.now + timeout;
    }

    pub(crate) fn timestamp(&self) -> ProcessTimestamp {
        ProcessTimestamp {
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
        if index <= self.commit_index {
            return;
        }
        self.commit_index = index;
        while self.applied_index < self.commit_index {
            let next = self.applied_index + 1;
            let Some(entry) = self.log.entry(next) else {
                break;
            };
            self.output.committed.push(entry.clone());
            self.applied_index = next;
        }
    }
}
