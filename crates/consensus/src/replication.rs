//! Log replication, commitment and leadership confirmation.

use crate::log::{Entry, Index, Payload, Snapshot, Term};
use crate::membership::ReplicaId;
use crate::message::{LeaderFreshness, MessageBody, ProcessTimestamp};
use crate::output::Role;
use crate::progress::Progress;
use crate::replica::Replica;
use crate::Millis;

/// Number of election timeouts after which an unacknowledged snapshot is sent again.
const SNAPSHOT_RESEND_TIMEOUTS: Millis = 3;

impl Replica {
    pub(crate) fn append_as_leader(&mut self, payload: Payload) -> (Index, Term) {
        let entry = Entry {
            index: self.log.last_index() + 1,
            term: self.hard_state.term,
            payload,
        };
        let position = (entry.index, entry.term);
        self.append_entry(entry);
        self.replicate_all();
        position
    }

    fn append_entry(&mut self, entry: Entry) {
        self.log.push(entry.clone());
        if let Payload::Membership(membership) = &entry.payload {
            self.apply_membership(membership.clone());
        }
        self.output.writes.entries.push(entry);
    }

    fn apply_membership(&mut self, membership: crate::Membership) {
        self.membership = membership;
        if self.role != Role::Leader {
            return;
        }
        let next = self.log.last_index() + 1;
        let members: Vec<ReplicaId> = self.membership.members().collect();
        self.progress.retain(|member, _| members.contains(member));
        for member in members {
            self.progress
                .entry(member)
                .or_insert_with(|| Progress::new(next));
        }
    }

    pub(crate) fn leader_tick(&mut self) {
        let last_confirmed_at = self
            .confirmed_at
            .or(self.last_leader_contact_at)
            .unwrap_or(0);
        if self.now.saturating_sub(last_confirmed_at) >= self.config.election_timeout {
            // Check quorum: without acknowledgements another replica may have been elected.
            let term = self.hard_state.term;
            self.last_leader_contact_at = None;
            self.become_follower(term, None);
            return;
        }
        let leadership_transfer = self.leadership_transfer.as_ref();
        let transfer_duration =
            leadership_transfer.map(|transfer| self.now.saturating_sub(transfer.started_at));
        if transfer_duration.is_some_and(|duration| duration >= self.config.election_timeout) {
            // The transfer timed out; the next leader is chosen by a regular election.
            let term = self.hard_state.term;
            self.become_follower(term, None);
            return;
        }
        if self.now >= self.next_heartbeat_at {
            self.next_heartbeat_at = self.now + self.config.heartbeat_interval;
            self.heartbeat();
            // Repeats the takeover request, which may have been lost.
            self.request_takeover();
        }
    }

    fn heartbeat(&mut self) {
        self.round += 1;
        self.unconfirmed_rounds.push_back((self.round, self.now));
        for member in self.other_members() {
            if let Some(progress) = self.progress.get_mut(&member) {
                // Unacknowledged messages may be lost. The heartbeat probes the next index, and a
                // follower that lacks the preceding entry rejects it.
                progress.in_flight = 0;
            }
            self.replicate(member);
        }
        self.confirm_rounds();
    }

    fn other_members(&self) -> Vec<ReplicaId> {
        let members = self.progress.keys().copied();
        members.filter(|member| *member != self.id).collect()
    }

    fn replicate_all(&mut self) {
        for member in self.other_members() {
            let has_capacity = self
                .progress
                .get(&member)
                .is_some_and(|progress| progress.in_flight < self.config.max_in_flight);
            if has_capacity {
                self.replicate(member);
            }
        }
    }

    /// Sends a member the next entries, or the snapshot if they were compacted.
    fn replicate(&mut self, member: ReplicaId) {
        let Some(progress) = self.progress.get(&member) else {
            return;
        };
        let previous_index = progress.next_index - 1;
        let Some(previous_term) = self.log.term_at(previous_index) else {
            self.send_snapshot(member);
            return;
        };
        let entries = self.log.slice(
            progress.next_index,
            self.config.max_append_entries,
            self.config.max_append_bytes,
        );
        let freshness = LeaderFreshness {
            round: self.round,
            confirmed_age: self
                .confirmed_at
                .filter(|_| self.has_committed_in_term())
                .map(|confirmed_at| self.now.saturating_sub(confirmed_at)),
            echo: progress.echo,
        };
        if let (Some(last), Some(progress)) = (entries.last(), self.progress.get_mut(&member)) {
            progress.next_index = last.index + 1;
            progress.in_flight += 1;
        }
        let body = MessageBody::Append {
            previous_index,
            previous_term,
            entries,
            commit_index: self.commit_index,
            freshness,
        };
        self.send(member, self.hard_state.term, body);
    }

    fn send_snapshot(&mut self, member: ReplicaId) {
        let resend_after = self.config.election_timeout * SNAPSHOT_RESEND_TIMEOUTS;
        let now = self.now;
        let Some(progress) = self.progress.get_mut(&member) else {
            return;
        };
        let is_snapshot_pending = progress
            .snapshot_sent_at
            .is_some_and(|sent_at| now.saturating_sub(sent_at) < resend_after);
        if is_snapshot_pending {
            return;
        }
        progress.snapshot_sent_at = Some(now);
        let body = MessageBody::InstallSnapshot {
            snapshot: self.snapshot.clone(),
            round: self.round,
        };
        self.send(member, self.hard_state.term, body);
    }

    pub(crate) fn on_append(
        &mut self,
        from: ReplicaId,
        previous_index: Index,
        previous_term: Term,
        entries: Vec<Entry>,
        commit_index: Index,
        freshness: LeaderFreshness,
    ) {
        self.accept_leader(from);
        let round = freshness.round;
        if previous_index < self.applied_index {
            // Entries up to the applied index are committed and therefore equal; skip them.
            let new_entries: Vec<Entry> = entries
                .into_iter()
                .filter(|entry| entry.index > self.applied_index)
                .collect();
            let is_contiguous = new_entries
                .first()
                .is_none_or(|entry| entry.index == self.applied_index + 1);
            if is_contiguous {
                let match_index = new_entries
                    .last()
                    .map_or(self.applied_index, |entry| entry.index);
                self.accept_entries(new_entries);
                self.finish_append(from, match_index, commit_index, freshness);
            }
            return;
        }
        if self.log.term_at(previous_index) != Some(previous_term) {
            let retry_index = previous_index
                .min(self.log.last_index() + 1)
                .max(self.commit_index + 1);
            self.reply_append(from, false, retry_index, round);
            return;
        }
        let match_index = previous_index + entries.len() as Index;
        self.accept_entries(entries);
        self.finish_append(from, match_index, commit_index, freshness);
    }

    fn finish_append(
        &mut self,
        from: ReplicaId,
        match_index: Index,
        commit_index: Index,
        freshness: LeaderFreshness,
    ) {
        self.reply_append(from, true, match_index, freshness.round);
        self.set_commit(commit_index.min(match_index));
        // The leader sent this message after the echoed time, and its commit index was current
        // when a quorum last acknowledged the leader.
        if let (Some(echo), Some(age)) = (freshness.echo, freshness.confirmed_age) {
            let is_current_process = echo.incarnation == self.incarnation;
            if is_current_process && self.applied_index >= commit_index {
                self.freshness.advance(echo.at.saturating_sub(age));
            }
        }
    }

    fn accept_entries(&mut self, entries: Vec<Entry>) {
        for entry in entries {
            match self.log.term_at(entry.index) {
                Some(term) if term == entry.term => continue,
                Some(_) => {
                    self.log.truncate_from(entry.index);
                    self.synced_index = self.synced_index.min(entry.index - 1);
                    self.restore_membership();
                    self.append_entry(entry);
                }
                None => self.append_entry(entry),
            }
        }
    }

    /// After a truncation the latest membership that is still in the log applies.
    fn restore_membership(&mut self) {
        let last_membership = self
            .log
            .last_membership()
            .map(|(_, membership)| membership.clone());
        self.membership = last_membership.unwrap_or_else(|| self.snapshot.meta.membership.clone());
    }

    fn accept_leader(&mut self, leader: ReplicaId) {
        if self.role != Role::Follower || self.leader != Some(leader) {
            self.become_follower(self.hard_state.term, Some(leader));
        }
        self.last_leader_contact_at = Some(self.now);
        self.reset_election_deadline();
    }

    fn reply_append(&mut self, to: ReplicaId, accepted: bool, match_index: Index, round: u64) {
        let body = MessageBody::AppendReply {
            accepted,
            match_index,
            round,
            sent_at: self.timestamp(),
        };
        self.send_after_sync(to, body);
    }

    pub(crate) fn on_install_snapshot(&mut self, from: ReplicaId, snapshot: Snapshot, round: u64) {
        self.accept_leader(from);
        let index = snapshot.meta.index;
        if index <= self.applied_index {
            self.reply_append(from, true, self.applied_index, round);
            return;
        }
        if self.log.term_at(index) == Some(snapshot.meta.term) {
            // The log already has the entries that the snapshot covers and may have acknowledged
            // entries after it, which a delayed snapshot must not remove.
            self.set_commit(index);
            self.reply_append(from, true, index, round);
            return;
        }
        self.log.reset(index, snapshot.meta.term);
        self.membership = snapshot.meta.membership.clone();
        self.commit_index = index;
        self.applied_index = index;
        self.synced_index = index;
        self.snapshot = snapshot.clone();
        self.output.committed.clear();
        self.output.writes.entries.clear();
        self.output.writes.snapshot = Some(snapshot.clone());
        self.output.writes.hard_state = Some(self.hard_state);
        self.output.restore = Some(snapshot);
        self.reply_append(from, true, index, round);
    }

    pub(crate) fn on_append_reply(
        &mut self,
        from: ReplicaId,
        accepted: bool,
        match_index: Index,
        round: u64,
        sent_at: ProcessTimestamp,
    ) {
        if self.role != Role::Leader {
            return;
        }
        let last = self.log.last_index();
        let now = self.now;
        let Some(progress) = self.progress.get_mut(&from) else {
            return;
        };
        progress.last_reply_at = Some(now);
        progress.record_timestamp(sent_at);
        progress.acknowledged_round = progress.acknowledged_round.max(round);
        progress.in_flight = progress.in_flight.saturating_sub(1);
        if accepted {
            progress.snapshot_sent_at = None;
            progress.match_index = progress.match_index.max(match_index);
            progress.next_index = progress.next_index.max(progress.match_index + 1);
        } else {
            progress.next_index = match_index.clamp(progress.match_index + 1, last + 1);
        }
        // A follower that lacks entries which it acknowledged has lost synced data. Resending them
        // at once could loop forever, so the next heartbeat probes it instead.
        let should_send_more = match accepted {
            true => progress.next_index <= last,
            false => match_index > progress.match_index,
        };
        self.confirm_rounds();
        self.advance_commit();
        if should_send_more {
            self.replicate(from);
        }
        if self.needs_successor() {
            self.request_takeover();
        }
    }

    fn needs_successor(&self) -> bool {
        let leadership_transfer = self.leadership_transfer.as_ref();
        leadership_transfer.is_some_and(|transfer| transfer.successor.is_none())
    }

    /// Records the latest round that a quorum acknowledged, which proves that no other leader was
    /// elected before that round began.
    fn confirm_rounds(&mut self) {
        let own = self.id;
        let current_round = self.round;
        let confirmed_round = self.membership.quorum_value(|member| {
            if member == own {
                current_round
            } else {
                let progress = self.progress.get(&member);
                progress.map_or(0, |progress| progress.acknowledged_round)
            }
        });
        while let Some((round, started_at)) = self.unconfirmed_rounds.front().copied() {
            if round > confirmed_round {
                break;
            }
            self.confirmed_at = Some(started_at);
            self.unconfirmed_rounds.pop_front();
        }
    }

    pub(crate) fn advance_commit(&mut self) {
        let own = self.id;
        let synced_index = self.synced_index;
        let quorum_index = self.membership.quorum_value(|member| {
            if member == own {
                synced_index
            } else {
                let progress = self.progress.get(&member);
                progress.map_or(0, |progress| progress.match_index)
            }
        });
        // Only entries of the current term are committed by counting replicas (Raft, section 5.4.2).
        if quorum_index > self.commit_index
            && self.log.term_at(quorum_index) == Some(self.hard_state.term)
        {
            self.set_commit(quorum_index);
            self.replicate_commit();
            self.step_down_if_removed();
        }
    }

    /// Sends the new commit index to followers that are up to date, instead of waiting for the
    /// next heartbeat, so that changes take effect quickly on all replicas.
    fn replicate_commit(&mut self) {
        for member in self.other_members() {
            let is_caught_up = self
                .progress
                .get(&member)
                .is_some_and(|progress| progress.next_index > self.log.last_index());
            if is_caught_up {
                self.replicate(member);
            }
        }
    }

    fn step_down_if_removed(&mut self) {
        if !self.membership.is_voter(self.id) {
            let term = self.hard_state.term;
            self.become_follower(term, None);
        }
    }
}
