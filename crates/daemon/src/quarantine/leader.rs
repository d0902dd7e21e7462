//! The actor that commits crashes. It acts while its replica leads the control group; every voter
//! has one.

use crate::clock::Clock;
use crate::metrics::Metrics;
use crate::replica::{ProposalOutcome, ProposerActor, SharedGroupStatus};
use crate::session::SharedSightings;
use silversail_consensus::Millis;
use silversail_control::{ControlCommand, ControlState, ReportedCrash};
use silversail_decisions::{DecisionLog, Event as LogEvent};
use silversail_model::RequestFingerprint;
use silversail_quarantine::{
    CrashEvidence, CrashRecord, QuarantineCommand, QuarantineLimits, QuarantineReply,
};
use stakker::{after, call, ret_some_to, Actor, CX};
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Interval of commits: a twentieth of the time within which a verdict must be in force.
const TICK: Duration = Duration::from_millis(100);
/// Longest wait for a commit; then what is told is committed anew.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Between looks for verdicts that end, in milliseconds: they last an hour.
const EXPIRE_EVERY: Millis = 10_000;

/// What the actor is made of.
pub struct QuarantineLeaderSetup {
    /// The replicated judgement.
    pub machine: Rc<RefCell<ControlState>>,
    /// Status of the own replica of the control group.
    pub status: SharedGroupStatus,
    /// What nodes told.
    pub sightings: SharedSightings,
    /// Commits.
    pub proposer: Actor<ProposerActor>,
    /// What holds.
    pub limits: QuarantineLimits,
    /// Decisions.
    pub log: DecisionLog,
    /// Counters.
    pub metrics: Arc<Metrics>,
    /// Time.
    pub clock: Clock,
}

/// What is being committed.
pub(crate) struct Commit {
    crashes: Vec<ReportedCrash>,
}

/// Commits crashes and whole answers.
pub struct QuarantineLeaderActor {
    setup: QuarantineLeaderSetup,
    is_committing: bool,
    expired_at: Millis,
}

impl QuarantineLeaderActor {
    /// Starts as no leader.
    pub fn init(cx: CX![], setup: QuarantineLeaderSetup) -> Option<Self> {
        after!(TICK, [cx], tick());
        Some(Self {
            setup,
            is_committing: false,
            expired_at: 0,
        })
    }

    fn tick(&mut self, cx: CX![]) {
        after!(TICK, [cx], tick());
        self.count();
        if self.is_committing || !self.setup.status.borrow().is_leader {
            return;
        }
        let now = self.setup.clock.millis(cx.now());
        let ended_well = self.setup.sightings.borrow_mut().take_completed_requests();
        if !ended_well.is_empty() {
            let command = QuarantineCommand::RecordSuccesses {
                fingerprints: ended_well.into_iter().collect(),
                limits: self.setup.limits,
            };
            self.commit(cx, command, Vec::new());
            return;
        }
        let due = self.setup.sightings.borrow_mut().uncommitted(now);
        if !due.is_empty() {
            let crashes = due.iter().map(|crash| self.record_of(crash)).collect();
            let command = QuarantineCommand::RecordCrashes {
                crashes,
                limits: self.setup.limits,
            };
            self.commit(cx, command, due);
            return;
        }
        self.expire_if_due(cx, now);
    }

    fn record_of(&self, crash: &ReportedCrash) -> CrashRecord {
        CrashRecord {
            backend: crash.backend.clone(),
            at_ms: self.setup.clock.unix_millis(crash.at),
            fingerprints: crash.fingerprints.clone(),
        }
    }

    fn expire_if_due(&mut self, cx: CX![], now: Millis) {
        if now.saturating_sub(self.expired_at) < EXPIRE_EVERY {
            return;
        }
        self.expired_at = now;
        let now_ms = self.setup.clock.unix_millis(now);
        let limits = self.setup.limits;
        let machine = self.setup.machine.borrow();
        let has_ended = machine.quarantine.needs_expiry(now_ms, &limits);
        drop(machine);
        if has_ended {
            self.commit(cx, QuarantineCommand::Expire { now_ms, limits }, Vec::new());
        }
    }

    fn commit(&mut self, cx: CX![], command: QuarantineCommand, crashes: Vec<ReportedCrash>) {
        self.is_committing = true;
        let command = ControlCommand::Quarantine(command).encode();
        let commit = Commit { crashes };
        let ret = ret_some_to!([cx], committed(commit) as (ProposalOutcome));
        let proposer = &self.setup.proposer;
        call!([proposer], propose_locally(command, COMMIT_TIMEOUT, ret));
    }

    /// What was to be committed is, or not: then it is due still.
    fn committed(&mut self, _: CX![], commit: Commit, outcome: ProposalOutcome) {
        self.is_committing = false;
        let reply = match outcome {
            ProposalOutcome::Applied(bytes) => postcard::from_bytes(&bytes).ok(),
            ProposalOutcome::Unavailable => None,
        };
        let Some(QuarantineReply::Applied { refused, released }) = reply else {
            return;
        };
        for crash in &commit.crashes {
            self.setup.sightings.borrow_mut().mark_committed(crash);
            self.record_crash(crash);
        }
        for (fingerprint, crashes) in refused {
            self.record_verdict(&fingerprint, &crashes);
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
        let told = |crash: &CrashEvidence| format!("{}@{}", crash.backend, crash.at_ms);
        self.setup.log.record(LogEvent::QuarantineBegun {
            fingerprint: fingerprint.to_string(),
            crashes: crashes.iter().map(told).collect(),
        });
    }

    fn count(&self) {
        let machine = self.setup.machine.borrow();
        let gauge = &self.setup.metrics.quarantine;
        let suspects = machine.quarantine.suspect_count();
        gauge.with_label_values(&["suspect"]).set(suspects as i64);
    }
}
