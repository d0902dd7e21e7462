//! Brings commands to a group's leader and their replies back.

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

/// Interval at which unanswered proposals are looked at.
const TICK: Duration = Duration::from_millis(50);
/// Silence after which a proposal goes to another voter.
const RESEND_AFTER: Duration = Duration::from_millis(600);
/// A voter that gave no sign for so long gets no proposal while another one does, in
/// milliseconds: each node asks for a sign after a second, and the answer takes a round trip.
/// A proposal to a voter that was killed waits 600 ms for nothing.
const SILENT_VOTER: Millis = 1_500;
/// The same while no leader is known and voters are asked in turn, one of which is as a rule
/// the one that was killed: a few round trips of 40 ms.
const RESEND_WHILE_SEEKING: Duration = Duration::from_millis(200);
/// Wait after a voter said that it knows no leader.
const NO_LEADER_WAIT: Duration = Duration::from_millis(80);

/// What became of a command.
#[derive(Clone, Debug, PartialEq)]
pub enum ProposalOutcome {
    /// Applied, with the state machine's reply.
    Applied(Vec<u8>),
    /// No answer in time: it may or may not be applied, now or later.
    Unavailable,
}

struct Outstanding {
    command: Vec<u8>,
    deadline: Instant,
    resend_at: Instant,
    /// Whether the last voter that answered knew no leader.
    seeks_leader: bool,
    ret: Ret<ProposalOutcome>,
}

impl Outstanding {
    /// How long the voter that it went to last has to answer.
    fn patience(&self) -> Duration {
        match self.seeks_leader {
            true => RESEND_WHILE_SEEKING,
            false => RESEND_AFTER,
        }
    }
}

/// Proposes to one group. A command may be committed more than once, so
/// commands must be idempotent.
pub struct ProposerActor {
    group: GroupId,
    directory: SharedDirectory,
    target: usize,
    outbox: SharedOutbox,
    metrics: Arc<Metrics>,
    clock: Clock,
    next_proposal: u64,
    outstanding: BTreeMap<u64, Outstanding>,
    ticking: bool,
}

impl ProposerActor {
    /// A proposer to `group`.
    pub fn init(
        _: CX![],
        group: GroupId,
        directory: SharedDirectory,
        outbox: SharedOutbox,
        metrics: Arc<Metrics>,
        clock: Clock,
    ) -> Option<Self> {
        // A number of the process in the high bits, so that answers to a former
        // process of this node are not taken for this one's.
        let next_proposal = outbox.borrow().incarnation() << 20;
        Some(Self {
            group,
            directory,
            target: 0,
            outbox,
            metrics,
            clock,
            next_proposal,
            outstanding: BTreeMap::new(),
            ticking: false,
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
        let outstanding = Outstanding {
            command,
            deadline: cx.now() + timeout,
            resend_at: cx.now() + RESEND_AFTER,
            seeks_leader: false,
            ret,
        };
        self.outstanding.insert(proposal, outstanding);
        self.pass_over_silent(cx.now());
        self.send(proposal);
        self.start_ticking(cx);
    }

    /// Proposes `command` at this node first, for those that know that it leads: the voter that
    /// answered last may be the former leader, which is dead.
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
            self.target = position;
        }
        self.propose(cx, command, timeout, ret);
    }

    fn start_ticking(&mut self, cx: CX![]) {
        if !self.ticking {
            self.ticking = true;
            after!(TICK, [cx], tick());
        }
    }

    /// Goes on to a voter that gave a sign lately, if there is one.
    fn pass_over_silent(&mut self, now: Instant) {
        let now = self.clock.millis(now);
        let directory = self.directory.borrow();
        let voters = directory.replicating_nodes();
        let is_heard = |target: &usize| {
            let voter = &voters[target % voters.len()];
            let silence = directory.last_heard_age(voter.as_str(), now);
            silence.is_some_and(|silence| silence < SILENT_VOTER)
        };
        let mut targets = self.target..self.target + voters.len();
        if let Some(target) = targets.find(is_heard) {
            self.target = target;
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
        let target = &voters[self.target % voters.len()];
        self.outbox.borrow_mut().send(target, message);
    }

    fn tick(&mut self, cx: CX![]) {
        self.ticking = false;
        let now = cx.now();
        let ended: Vec<u64> = self.due(|one| one.deadline <= now);
        for proposal in ended {
            self.finish(proposal, ProposalOutcome::Unavailable, "unavailable");
        }
        let silent: Vec<u64> = self.due(|one| one.resend_at <= now);
        if !silent.is_empty() {
            self.target += 1;
            self.pass_over_silent(now);
        }
        for proposal in silent {
            if let Some(outstanding) = self.outstanding.get_mut(&proposal) {
                outstanding.resend_at = now + outstanding.patience();
            }
            self.send(proposal);
        }
        if !self.outstanding.is_empty() {
            self.start_ticking(cx);
        }
    }

    fn due(&self, is_due: impl Fn(&Outstanding) -> bool) -> Vec<u64> {
        self.outstanding
            .iter()
            .filter(|(_, one)| is_due(one))
            .map(|(proposal, _)| *proposal)
            .collect()
    }

    /// Handles a voter's answer.
    pub fn reply(&mut self, cx: CX![], proposal: u64, result: ProposalResult) {
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
                outstanding.seeks_leader = false;
                outstanding.resend_at = cx.now() + RESEND_AFTER;
                let voters = self.directory.borrow().replicating_nodes();
                if let Some(position) = voters.iter().position(|voter| *voter == leader) {
                    self.target = position;
                }
                self.send(proposal);
            }
            ProposalResult::NotLeader(None) => {
                outstanding.seeks_leader = true;
                outstanding.resend_at = cx.now() + NO_LEADER_WAIT;
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
