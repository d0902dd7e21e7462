//! Verdicts of the leader on attributes of requests.

use super::leader::{PendingCommit, QuarantineLeaderActor};
use silversail_consensus::Millis;
use silversail_decisions::Event as LogEvent;
use silversail_model::RequestFingerprint;
use silversail_quarantine::{
    AttributeCrash, AttributeVerdict, CrashEvidence, CrashRecord, QuarantineCommand,
};
use stakker::CX;
use std::collections::BTreeSet;

/// Time for which a new leader waits for reports of answers, in milliseconds. Relays forward new
/// answers each 200 ms, and repeat those that they know each second.
const REPORT_WAIT: Millis = 1_100;

impl QuarantineLeaderActor {
    /// Attributes that are to be refused by now.
    pub(super) fn judge_attributes(&mut self, now: Millis) -> Vec<AttributeVerdict> {
        let has_reports = self
            .leads_since
            .is_some_and(|since| now.saturating_sub(since) >= REPORT_WAIT);
        if !has_reports {
            return Vec::new();
        }
        let list = self.setup.control_state.borrow().quarantine.list().clone();
        let mut evidence = self.setup.attribute_evidence.borrow_mut();
        evidence.update(&list, now);
        self.attribute_judge.judge(&evidence, &list, now)
    }

    /// Commits verdicts: the crashes that decided each are recorded under its fingerprint.
    pub(super) fn commit_verdicts(&mut self, cx: CX![], verdicts: Vec<AttributeVerdict>) {
        let mut limits = self.setup.limits;
        let mut crashes = Vec::new();
        for verdict in &verdicts {
            let records = verdict.crashes.iter();
            crashes.extend(records.map(|crash| self.verdict_record(verdict, crash)));
        }
        let shortest = verdicts.iter().filter_map(|verdict| verdict.refused_for_ms);
        limits.refuse_for_ms = shortest.min().unwrap_or(limits.refuse_for_ms);
        let fewest = verdicts.iter().filter_map(distinct_backends).min();
        limits.crashes = limits.crashes.min(fewest.unwrap_or(u32::MAX));
        let command = QuarantineCommand::RecordCrashes { crashes, limits };
        let commit = PendingCommit {
            crashes: Vec::new(),
            verdicts,
        };
        self.commit(cx, command, commit);
    }

    fn verdict_record(&self, verdict: &AttributeVerdict, crash: &AttributeCrash) -> CrashRecord {
        CrashRecord {
            backend: crash.backend.clone(),
            at_ms: self.setup.clock.unix_millis(crash.at),
            fingerprints: [verdict.fingerprint()].into(),
        }
    }

    /// Records committed verdicts. The crashes of one that the replicated quarantine did not take
    /// count no more, as it knows another explanation of them.
    pub(super) fn record_attribute_verdicts(
        &mut self,
        verdicts: &[AttributeVerdict],
        refused: &[(RequestFingerprint, Vec<CrashEvidence>)],
    ) {
        for verdict in verdicts {
            let fingerprint = verdict.fingerprint();
            if refused.iter().any(|(refused, _)| *refused == fingerprint) {
                self.attribute_judge.record_refused(verdict);
                self.log_attribute_verdict(verdict);
            } else {
                let mut evidence = self.setup.attribute_evidence.borrow_mut();
                evidence.mark_explained(&verdict.crashes);
            }
        }
    }

    fn log_attribute_verdict(&self, verdict: &AttributeVerdict) {
        self.setup.metrics.quarantine_verdicts.inc();
        let clock = &self.setup.clock;
        let crashes = verdict.crashes.iter();
        let describe =
            |crash: &AttributeCrash| format!("{}@{}", crash.backend, clock.unix_millis(crash.at));
        let told_by: BTreeSet<String> = crashes
            .clone()
            .flat_map(|crash| crash.reported_by.iter().cloned())
            .collect();
        self.setup.log.record(LogEvent::AttributeQuarantineBegun {
            service: verdict.group.service.clone(),
            attribute: verdict.attribute.to_string(),
            tenants: verdict.tenants.to_string(),
            fingerprint: verdict.fingerprint().to_string(),
            crashes: crashes.map(describe).collect(),
            told_by: told_by.into_iter().collect(),
            cleared: verdict.cleared.iter().map(ToString::to_string).collect(),
        });
    }
}

/// Number of back ends whose crashes decided a verdict; none if one crash was enough, as the
/// attribute had been refused before.
fn distinct_backends(verdict: &AttributeVerdict) -> Option<u32> {
    let crashes = verdict.crashes.iter();
    let backends: BTreeSet<&String> = crashes.map(|crash| &crash.backend).collect();
    (verdict.crashes.len() > 1).then_some(backends.len() as u32)
}
