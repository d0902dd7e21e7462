//! Sends commands to a group's leader and returns their outcomes.

use crate::clock::Clock;
use crate::directory::SharedDirectory;
use crate::metrics::Metrics;
use crate::outbox::SharedOutbox;
use silversail_consensus::Millis;
use silversail_peer::{GroupId, GroupMessage, PeerMessage, ProposalResult};
use stakker::{after, ret, Ret, CX};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Interval of the checks for proposals that expired or have to be resent.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Time without a reply after which a proposal is sent to another voter.
const RESEND_TIMEOUT: Duration = Duration::from_millis(600);
/// Time without a message after which a voter gets no proposals while another voter is
/// reachable, in milliseconds. Above the discovery probe interval plus a round trip.
const VOTER_TIMEOUT_MS: Millis = 1_500;
/// Resend timeout while no leader is known and the voters are tried in turn. Shorter, as one of
/// them is usually the leader that failed.
const RESEND_TIMEOUT_WITHOUT_LEADER: Duration = Duration::from_millis(200);
/// Delay before a retry after a voter replied that it knows no leader.
const NO_LEADER_RETRY_DELAY: Duration = Duration::from_millis(80);

/// Outcome of a proposed command.
#[derive(Clone, Debug, PartialEq)]
pub enum ProposalOutcome {
    /// Applied, with the state machine's reply.
    Applied(Vec<u8>),
    /// No reply before the timeout; the command may still be applied, now or later.
    Unavailable,
}

struct OutstandingProposal {
    command: Vec<u8>,
    deadline: Instant,
    resend_at: Instant,
    /// Whether the last voter that replied knew no leader.
    is_leader_unknown: bool,
    ret: Ret<ProposalOutcome>,
}

impl OutstandingProposal {
    /// Time that the current target has to reply before the proposal is resent.
    fn resend_timeout(&self) -> Duration {
        match self.is_leader_unknown {
            true => RESEND_TIMEOUT_WITHOUT_LEADER,
            false => RESEND_TIMEOUT,
        }
    }
}

/// Proposes commands to one group. A command may be committed more than once, so
/// commands must be idempotent.
pub struct ProposerActor {
    group: GroupId,
    directory: SharedDirectory,
    target_index: usize,
    outbox: SharedOutbox,
    metrics: Arc<Metrics>,
    clock: Clock,
    next_proposal: u64,
    outstanding: BTreeMap<u64, OutstandingProposal>,
    is_ticking: bool,
}

impl ProposerActor {
    /// Starts a proposer to `group` without outstanding proposals.
    pub fn init(
        _: CX![],
        group: GroupId,
        directory: SharedDirectory,
        outbox: SharedOutbox,
        metrics: Arc<Metrics>,
        clock: Clock,
    ) -> Option<Self> {
        // The incarnation is in the high bits so that replies to an earlier process of
        // this node are not matched to proposals of this process.
        let next_proposal = outbox.borrow().incarnation() << 20;
        Some(Self {
            group,
            directory,
            target_index: 0,
            outbox,
            metrics,
            clock,
            next_proposal,
            outstanding: BTreeMap::new(),
            is_ticking: false,
        })
    }

    /// Proposes `command`; `ret` gets the outcome within `timeout`.
    pub fn propose(
        &mut self,
        cx: CX![],
        command: Vec<u8>,
        timeout: Duration,
        ret: Ret<ProposalOutcome>,
    ) {
        self.next_proposal += 1;
        let proposal = self.next_proposal;
        let outstanding = OutstandingProposal {
            command,
            deadline: cx.now() + timeout,
            resend_at: cx.now() + RESEND_TIMEOUT,
            is_leader_unknown: false,
            ret,
        };
        self.outstanding.insert(proposal, outstanding);
        self.skip_unreachable_voters(cx.now());
        self.send(proposal);
        self.start_ticking(cx);
    }

    /// Proposes `command` to this node's own replica first, for callers that know that it is
    /// the leader: the last target may be a former leader that has failed.
    pub fn propose_locally(
        &mut self,
        cx: CX![],
        command: Vec<u8>,
        timeout: Duration,
        ret: Ret<ProposalOutcome>,
    ) {
        let voters = self.directory.borrow().replicating_nodes();
        let own = self.outbox.borrow().node().clone();
        if let Some(position) = voters.iter().position(|voter| *voter == own) {
            self.target_index = position;
        }
        self.propose(cx, command, timeout, ret);
    }

    fn start_ticking(&mut self, cx: CX![]) {
        if !self.is_ticking {
            self.is_ticking = true;
            after!(TICK_INTERVAL, [cx], tick());
        }
    }

    /// Advances the target to the next voter that was heard from recently, if there is one.
    fn skip_unreachable_voters(&mut self, now: Instant) {
        let now = self.clock.millis(now);
        let directory = self.directory.borrow();
        let voters = directory.replicating_nodes();
        let is_reachable = |index: &usize| {
            let voter = &voters[index % voters.len()];
            let last_heard_age = directory.last_heard_age(voter.as_str(), now);
            last_heard_age.is_some_and(|age| age < VOTER_TIMEOUT_MS)
        };
        let mut indexes = self.target_index..self.target_index + voters.len();
        if let Some(index) = indexes.find(is_reachable) {
            self.target_index = index;
        }
    }

    fn send(&mut self, proposal: u64) {
        let Some(outstanding) = self.outstanding.get(&proposal) else {
            return;
        };
        let message = PeerMessage::Group {
            group: self.group,
            message: GroupMessage::Propose {
                proposal,
                command: outstanding.command.clone(),
            },
        };
        let voters = self.directory.borrow().replicating_nodes();
        if voters.is_empty() {
            return;
        }
        let target = &voters[self.target_index % voters.len()];
        self.outbox.borrow_mut().send(target, message);
    }

    fn tick(&mut self, cx: CX![]) {
        self.is_ticking = false;
        let now = cx.now();
        let expired: Vec<u64> = self.proposals_where(|outstanding| outstanding.deadline <= now);
        for proposal in expired {
            self.finish(proposal, ProposalOutcome::Unavailable, "unavailable");
        }
        let unanswered: Vec<u64> = self.proposals_where(|outstanding| outstanding.resend_at <= now);
        if !unanswered.is_empty() {
            self.target_index += 1;
            self.skip_unreachable_voters(now);
        }
        for proposal in unanswered {
            if let Some(outstanding) = self.outstanding.get_mut(&proposal) {
                outstanding.resend_at = now + outstanding.resend_timeout();
            }
            self.send(proposal);
        }
        if !self.outstanding.is_empty() {
            self.start_ticking(cx);
        }
    }

    fn proposals_where(&self, predicate: impl Fn(&OutstandingProposal) -> bool) -> Vec<u64> {
        self.outstanding
            .iter()
            .filter(|(_, outstanding)| predicate(outstanding))
            .map(|(proposal, _)| *proposal)
            .collect()
    }

    /// Handles a voter's reply to a proposal.
    pub fn handle_reply(&mut self, cx: CX![], proposal: u64, result: ProposalResult) {
        let Some(outstanding) = self.outstanding.get_mut(&proposal) else {
            return;
        };
        match result {
            ProposalResult::Applied(reply) => {
                self.finish(proposal, ProposalOutcome::Applied(reply), "applied");
            }
            ProposalResult::Superseded => {
                outstanding.resend_at = cx.now();
            }
            ProposalResult::NotLeader(Some(leader)) => {
                outstanding.is_leader_unknown = false;
                outstanding.resend_at = cx.now() + RESEND_TIMEOUT;
                let voters = self.directory.borrow().replicating_nodes();
                if let Some(position) = voters.iter().position(|voter| *voter == leader) {
                    self.target_index = position;
                }
                self.send(proposal);
            }
            ProposalResult::NotLeader(None) => {
                outstanding.is_leader_unknown = true;
                outstanding.resend_at = cx.now() + NO_LEADER_RETRY_DELAY;
            }
        }
    }

    fn finish(&mut self, proposal: u64, outcome: ProposalOutcome, label: &str) {
        if let Some(outstanding) = self.outstanding.remove(&proposal) {
            let group = self.group.to_string();
            self.metrics
                .proposals
                .with_label_values(&[group.as_str(), label])
                .inc();
            ret!([outstanding.ret], outcome);
        }
    }
}
