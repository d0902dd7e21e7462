//! The actor that commits crash reports. It runs on every voter and is active while its replica
//! leads the control group.

use crate::clock::Clock;
use crate::metrics::Metrics;
use crate::replica::{ProposalOutcome, ProposerActor, SharedGroupStatus};
use crate::session::{SharedAttributeEvidence, SharedCrashTable};
use silversail_consensus::Millis;
use silversail_control::{ControlCommand, ControlState, ReportedCrash};
use silversail_decisions::{DecisionLog, Event as LogEvent};
use silversail_model::RequestFingerprint;
use silversail_quarantine::{
    AttributeJudge, AttributeVerdict, CrashEvidence, CrashRecord, QuarantineCommand,
    QuarantineLimits, QuarantineReply,
};
use stakker::{after, call, ret_some_to, Actor, CX};
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Interval of commits.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Longest wait for a commit; after that the reports are committed again.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Interval of the checks for expired verdicts, in milliseconds.
const EXPIRY_CHECK_INTERVAL_MS: Millis = 10_000;

/// Dependencies and configuration of a [`QuarantineLeaderActor`].
pub struct QuarantineLeaderSetup {
    /// Replicated state with the quarantine.
    pub control_state: Rc<RefCell<ControlState>>,
    /// Status of this node's replica of the control group.
    pub status: SharedGroupStatus,
    /// Crashes and completed requests that nodes reported.
    pub crash_table: SharedCrashTable,
    /// Attributes of requests that crashes interrupted or that were answered.
    pub attribute_evidence: SharedAttributeEvidence,
    /// Proposes commands to the control group.
    pub proposer: Actor<ProposerActor>,
    /// Limits of the quarantine.
    pub limits: QuarantineLimits,
    /// Records committed crashes, and the begin and end of refusals.
    pub log: DecisionLog,
    /// Counts verdicts and suspects.
    pub metrics: Arc<Metrics>,
    /// Clock of the process.
    pub clock: Clock,
}

/// Crash reports and verdicts that are being committed.
#[derive(Default)]
pub(crate) struct PendingCommit {
    pub(super) crashes: Vec<ReportedCrash>,
    pub(super) verdicts: Vec<AttributeVerdict>,
}

/// Commits crash reports and completed requests on the leader of the control group.
pub struct QuarantineLeaderActor {
    pub(super) setup: QuarantineLeaderSetup,
    is_committing: bool,
    last_expiry_check_at: Millis,
    pub(super) attribute_judge: AttributeJudge,
    /// Since when this replica leads; none while it does not.
    pub(super) leads_since: Option<Millis>,
}

impl QuarantineLeaderActor {
    /// Starts as a follower.
    pub fn init(cx: CX![], setup: QuarantineLeaderSetup) -> Option<Self> {
        after!(TICK_INTERVAL, [cx], tick());
        Some(Self {
            setup,
            is_committing: false,
            last_expiry_check_at: 0,
            attribute_judge: AttributeJudge::default(),
            leads_since: None,
        })
    }

    fn tick(&mut self, cx: CX![]) {
        after!(TICK_INTERVAL, [cx], tick());
        self.update_suspect_gauge();
        let now = self.setup.clock.millis(cx.now());
        let is_leader = self.setup.status.borrow().is_leader;
        let leads_since = self.leads_since.filter(|_| is_leader);
        self.leads_since = leads_since.or_else(|| is_leader.then_some(now));
        if self.is_committing || !is_leader {
            return;
        }
        let verdicts = self.judge_attributes(now);
        if !verdicts.is_empty() {
            self.commit_verdicts(cx, verdicts);
            return;
        }
        let told = self
            .setup
            .crash_table
            .borrow_mut()
            .take_completed_requests();
        let successes = self.setup.attribute_evidence.borrow().successes(told);
        if !successes.is_empty() {
            let command = QuarantineCommand::RecordSuccesses {
                fingerprints: successes.into_iter().collect(),
                limits: self.setup.limits,
            };
            self.commit(cx, command, PendingCommit::default());
            return;
        }
        let uncommitted_crashes = self.setup.crash_table.borrow_mut().uncommitted(now);
        if !uncommitted_crashes.is_empty() {
            let crashes = uncommitted_crashes
                .iter()
                .map(|crash| self.to_crash_record(crash))
                .collect();
            let command = QuarantineCommand::RecordCrashes {
                crashes,
                limits: self.setup.limits,
            };
            let commit = PendingCommit {
                crashes: uncommitted_crashes,
                verdicts: Vec::new(),
            };
            self.commit(cx, command, commit);
            return;
        }
        self.expire_if_due(cx, now);
    }

    fn to_crash_record(&self, crash: &ReportedCrash) -> CrashRecord {
        CrashRecord {
            backend: crash.backend.clone(),
            at_ms: self.setup.clock.unix_millis(crash.at),
            fingerprints: crash.fingerprints.clone(),
        }
    }

    fn expire_if_due(&mut self, cx: CX![], now: Millis) {
        if now.saturating_sub(self.last_expiry_check_at) < EXPIRY_CHECK_INTERVAL_MS {
            return;
        }
        self.last_expiry_check_at = now;
        let now_ms = self.setup.clock.unix_millis(now);
        let limits = self.setup.limits;
        let control_state = self.setup.control_state.borrow();
        let needs_expiry = control_state.quarantine.needs_expiry(now_ms, &limits);
        drop(control_state);
        if needs_expiry {
            let command = QuarantineCommand::Expire { now_ms, limits };
            self.commit(cx, command, PendingCommit::default());
        }
    }

    pub(super) fn commit(&mut self, cx: CX![], command: QuarantineCommand, commit: PendingCommit) {
        self.is_committing = true;
        let command = ControlCommand::Quarantine(command).encode();
        let ret = ret_some_to!([cx], handle_commit_outcome(commit) as (ProposalOutcome));
        let proposer = &self.setup.proposer;
        call!([proposer], propose_locally(command, COMMIT_TIMEOUT, ret));
    }

    /// Handles the outcome of a commit; reports that were not committed remain uncommitted and are
    /// proposed again.
    fn handle_commit_outcome(&mut self, _: CX![], commit: PendingCommit, outcome: ProposalOutcome) {
        self.is_committing = false;
        let reply = match outcome {
            ProposalOutcome::Applied(bytes) => postcard::from_bytes(&bytes).ok(),
            ProposalOutcome::Unavailable => None,
        };
        let Some(QuarantineReply::Applied { refused, released }) = reply else {
            return;
        };
        for crash in &commit.crashes {
            self.setup.crash_table.borrow_mut().mark_committed(crash);
            self.record_crash(crash);
        }
        self.record_attribute_verdicts(&commit.verdicts, &refused);
        let is_attribute = |refused: &RequestFingerprint| {
            let mut verdicts = commit.verdicts.iter();
            verdicts.any(|verdict| verdict.fingerprint() == *refused)
        };
        for (fingerprint, crashes) in &refused {
            if !is_attribute(fingerprint) {
                self.record_verdict(fingerprint, crashes);
            }
        }
        for fingerprint in released {
            self.setup.log.record(LogEvent::QuarantineEnded {
                fingerprint: fingerprint.to_string(),
            });
        }
    }

    fn record_crash(&self, crash: &ReportedCrash) {
        self.setup.log.record(LogEvent::CrashRecorded {
            backend: crash.backend.clone(),
            fingerprints: crash.fingerprints.iter().map(ToString::to_string).collect(),
            told_by: crash
                .reported_by
                .iter()
                .map(|node| node.0.clone())
                .collect(),
        });
    }

    fn record_verdict(&self, fingerprint: &RequestFingerprint, crashes: &[CrashEvidence]) {
        self.setup.metrics.quarantine_verdicts.inc();
        let describe = |crash: &CrashEvidence| format!("{}@{}", crash.backend, crash.at_ms);
        self.setup.log.record(LogEvent::QuarantineBegun {
            fingerprint: fingerprint.to_string(),
            crashes: crashes.iter().map(describe).collect(),
        });
    }

    fn update_suspect_gauge(&self) {
        let control_state = self.setup.control_state.borrow();
        let gauge = &self.setup.metrics.quarantine;
        let suspects = control_state.quarantine.suspect_count();
        gauge.with_label_values(&["suspect"]).set(suspects as i64);
    }
}
