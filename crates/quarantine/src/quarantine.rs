//! Replicated state machine of the quarantine, which combines the crash reports of all nodes.
//!
//! Each replica applies the same commands. A command carries the leader's limits, so that the
//! result does not depend on the settings of a replica.

use crate::limits::QuarantineLimits;
use crate::list::{QuarantineList, SharedQuarantineList};
use crate::suspects::{CrashEvidence, CrashNumber, Suspects};
use crate::UnixMillis;
use serde::{Deserialize, Serialize};
use silversail_model::RequestFingerprint;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// Reports on the same back end whose times differ by less than this, in milliseconds, count as
/// one crash: nodes repeat a report for several seconds, and the clocks of leaders differ. A
/// second crash of the same back end within this time is not counted. Clocks of leaders may differ
/// by two seconds.
const SAME_CRASH_WINDOW_MS: u64 = 5_000;
/// Time without a crash, in milliseconds, after which requests are released whose crashes are
/// explained by other refused requests.
const QUIET_PERIOD_MS: u64 = 10_000;
/// Number of recent crashes kept to recognize repeated reports.
const MAX_RECENT_CRASHES: usize = 1_024;

/// A back end crash, combined by the leader from the reports of several nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRecord {
    /// Name of the back end that crashed.
    pub backend: String,
    /// Time of the crash.
    pub at_ms: UnixMillis,
    /// Requests that the crash interrupted, as far as nodes have reported them.
    pub fingerprints: BTreeSet<RequestFingerprint>,
}

/// A replicated command that changes the quarantine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuarantineCommand {
    /// Records crashes of back ends. A crash may be reported again with more requests.
    RecordCrashes {
        /// Crashes to record; those already known are extended.
        crashes: Vec<CrashRecord>,
        /// Limits of the leader that proposed the command.
        limits: QuarantineLimits,
    },
    /// Clears requests that received a complete response and so do not crash back ends.
    RecordSuccesses {
        /// Requests that succeeded.
        fingerprints: Vec<RequestFingerprint>,
        /// Limits of the leader that proposed the command.
        limits: QuarantineLimits,
    },
    /// Ends the refusal of one request on an operator's command.
    Lift {
        /// Request that may be sent again.
        fingerprint: RequestFingerprint,
    },
    /// Releases requests whose refusal has expired and drops old suspects.
    Expire {
        /// Current time by the leader's clock.
        now_ms: UnixMillis,
        /// Limits of the leader that proposed the command.
        limits: QuarantineLimits,
    },
}

/// Result of a [`QuarantineCommand`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuarantineReply {
    /// The command was applied.
    Applied {
        /// Requests that are newly refused, each with the crashes counted against it.
        refused: Vec<(RequestFingerprint, Vec<CrashEvidence>)>,
        /// Requests that are no longer refused.
        released: Vec<RequestFingerprint>,
    },
    /// The request named by [`QuarantineCommand::Lift`] is not refused.
    NotRefused,
}

/// Evidence against a refused request and the period of its refusal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusedRequest {
    /// Crashes for which the request is refused.
    pub crashes: Vec<CrashEvidence>,
    /// Start of the refusal.
    pub since_ms: UnixMillis,
    /// End of the refusal, extended if the request crashes another back end.
    pub until_ms: UnixMillis,
}

/// A recent crash, kept to recognize repeated reports of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct RecentCrash {
    number: CrashNumber,
    backend: String,
    at_ms: UnixMillis,
    /// Whether a refused request was interrupted by the crash and is taken as its cause.
    is_explained: bool,
}

/// Replicated state: suspected and refused requests, with the crashes counted against them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quarantine {
    last_crash_number: CrashNumber,
    recent_crashes: VecDeque<RecentCrash>,
    suspects: Suspects,
    refused: BTreeMap<RequestFingerprint, RefusedRequest>,
    list: SharedQuarantineList,
}

impl Quarantine {
    /// Current list to distribute to all nodes.
    pub fn list(&self) -> &SharedQuarantineList {
        &self.list
    }

    /// All refused requests, each with the evidence against it.
    pub fn refused(&self) -> &BTreeMap<RequestFingerprint, RefusedRequest> {
        &self.refused
    }

    /// Number of suspected requests that are not refused.
    pub fn suspect_count(&self) -> usize {
        self.suspects.len()
    }

    /// Whether [`QuarantineCommand::Expire`] would release a request or drop a suspect at `now_ms`.
    pub fn needs_expiry(&self, now_ms: UnixMillis, limits: &QuarantineLimits) -> bool {
        let refusal_ends = self.refused.values().map(|request| request.until_ms);
        let next_end = refusal_ends
            .chain(self.suspects.next_expiry_ms(limits))
            .min();
        next_end.is_some_and(|end| end <= now_ms)
            || !self.explained_requests(now_ms, limits).is_empty()
    }

    /// Applies a committed command. A command may be applied late or more than once.
    pub fn apply(&mut self, command: QuarantineCommand) -> QuarantineReply {
        let mut refused = Vec::new();
        let mut released = Vec::new();
        match command {
            QuarantineCommand::RecordCrashes { crashes, limits } => {
                let at_ms = crashes.iter().map(|crash| crash.at_ms).max();
                for crash in crashes {
                    refused.extend(self.record_crash(crash, &limits));
                }
                released = self.expire(at_ms.unwrap_or_default(), &limits);
                self.publish(&limits);
            }
            QuarantineCommand::RecordSuccesses {
                fingerprints,
                limits,
            } => {
                for fingerprint in fingerprints {
                    self.suspects.remove(&fingerprint);
                    if self.refused.remove(&fingerprint).is_some() {
                        released.push(fingerprint);
                    }
                }
                self.publish(&limits);
            }
            QuarantineCommand::Lift { fingerprint } => {
                if self.refused.remove(&fingerprint).is_none() {
                    return QuarantineReply::NotRefused;
                }
                released.push(fingerprint);
                self.publish_list(self.list.watched.clone());
            }
            QuarantineCommand::Expire { now_ms, limits } => {
                released = self.expire(now_ms, &limits);
                released.extend(self.release_explained(now_ms, &limits));
                self.publish(&limits);
            }
        }
        QuarantineReply::Applied { refused, released }
    }

    /// Counts a crash against its requests and returns those that are refused for it.
    fn record_crash(
        &mut self,
        crash: CrashRecord,
        limits: &QuarantineLimits,
    ) -> Vec<(RequestFingerprint, Vec<CrashEvidence>)> {
        let number = self.crash_number_for(&crash);
        let evidence = CrashEvidence {
            number,
            backend: crash.backend,
            at_ms: crash.at_ms,
        };
        for fingerprint in &crash.fingerprints {
            if let Some(refused) = self.refused.get_mut(fingerprint) {
                refused.until_ms = refused.until_ms.max(crash.at_ms + limits.refuse_for_ms);
                self.mark_explained(number);
            }
        }
        // A crash that a refused request explains does not count against other requests.
        if self.is_explained(number) {
            return Vec::new();
        }
        for fingerprint in &crash.fingerprints {
            self.suspects.add(*fingerprint, evidence.clone());
        }
        self.refuse(&crash.fingerprints, crash.at_ms, limits)
    }

    fn refuse(
        &mut self,
        fingerprints: &BTreeSet<RequestFingerprint>,
        at_ms: UnixMillis,
        limits: &QuarantineLimits,
    ) -> Vec<(RequestFingerprint, Vec<CrashEvidence>)> {
        let mut refused = Vec::new();
        for fingerprint in fingerprints {
            if self.suspects.crash_count(fingerprint) < limits.crashes.max(1) as usize {
                continue;
            }
            let Some(crashes) = self.suspects.remove(fingerprint) else {
                continue;
            };
            for crash in &crashes {
                self.mark_explained(crash.number);
            }
            let request = RefusedRequest {
                crashes: crashes.clone(),
                since_ms: at_ms,
                until_ms: at_ms + limits.refuse_for_ms,
            };
            self.refused.insert(*fingerprint, request);
            refused.push((*fingerprint, crashes));
        }
        refused
    }

    /// Releases the requests found by [`Self::explained_requests`].
    fn release_explained(
        &mut self,
        now_ms: UnixMillis,
        limits: &QuarantineLimits,
    ) -> Vec<RequestFingerprint> {
        let released = self.explained_requests(now_ms, limits);
        for fingerprint in &released {
            self.put_on_probation(*fingerprint, now_ms, limits);
        }
        released
    }

    /// Returns refused requests whose every crash is explained by another refused request that has
    /// enough crashes of its own. A harmless request that is sent often is in flight at the crashes
    /// of others, and cannot be cleared by a success while it is refused. Returns none until
    /// [`QUIET_PERIOD_MS`] after the last crash, as an early release of requests that did cause
    /// their crashes would crash more back ends.
    fn explained_requests(
        &self,
        now_ms: UnixMillis,
        limits: &QuarantineLimits,
    ) -> Vec<RequestFingerprint> {
        let latest_crash = self.recent_crashes.iter().map(|crash| crash.at_ms).max();
        if latest_crash.is_none_or(|at| at + QUIET_PERIOD_MS > now_ms) {
            return Vec::new();
        }
        let explained_requests = self.refused.iter().filter(|(fingerprint, request)| {
            let mut crashes = request.crashes.iter();
            crashes.all(|crash| self.is_explained_by_other_request(crash, fingerprint, limits))
        });
        explained_requests
            .map(|(fingerprint, _)| *fingerprint)
            .collect()
    }

    fn is_explained_by_other_request(
        &self,
        crash: &CrashEvidence,
        fingerprint: &RequestFingerprint,
        limits: &QuarantineLimits,
    ) -> bool {
        let own_crashes = &self.refused[fingerprint].crashes;
        let is_shared =
            |crash: &&CrashEvidence| own_crashes.iter().any(|known| known.number == crash.number);
        let required_crashes = (limits.crashes.max(1) - 1) as usize;
        let mut other_requests = self
            .refused
            .iter()
            .filter(|(other_request, _)| *other_request != fingerprint);
        other_requests.any(|(_, request)| {
            let includes_crash = request
                .crashes
                .iter()
                .any(|known| known.number == crash.number);
            let shared_crashes = request.crashes.iter().filter(is_shared).count();
            includes_crash && request.crashes.len() - shared_crashes >= required_crashes
        })
    }

    /// Returns the number of a crash, and assigns one if the crash has not been reported before.
    fn crash_number_for(&mut self, crash: &CrashRecord) -> CrashNumber {
        let is_same = |known: &&RecentCrash| {
            known.backend == crash.backend
                && known.at_ms.abs_diff(crash.at_ms) < SAME_CRASH_WINDOW_MS
        };
        if let Some(known) = self.recent_crashes.iter().find(is_same) {
            return known.number;
        }
        self.last_crash_number += 1;
        if self.recent_crashes.len() == MAX_RECENT_CRASHES {
            self.recent_crashes.pop_front();
        }
        self.recent_crashes.push_back(RecentCrash {
            number: self.last_crash_number,
            backend: crash.backend.clone(),
            at_ms: crash.at_ms,
            is_explained: false,
        });
        self.last_crash_number
    }

    fn mark_explained(&mut self, number: CrashNumber) {
        let mut known = self.recent_crashes.iter_mut();
        if let Some(crash) = known.find(|crash| crash.number == number) {
            crash.is_explained = true;
        }
    }

    fn is_explained(&self, number: CrashNumber) -> bool {
        let mut known = self.recent_crashes.iter();
        known.any(|crash| crash.number == number && crash.is_explained)
    }

    /// Releases requests whose refusal has expired, and the earliest to expire where more than the
    /// limit are refused. Expired requests go on probation; old suspects are dropped.
    fn expire(&mut self, now_ms: UnixMillis, limits: &QuarantineLimits) -> Vec<RequestFingerprint> {
        let expired = self
            .refused
            .iter()
            .filter(|(_, request)| request.until_ms <= now_ms);
        let mut released: Vec<RequestFingerprint> =
            expired.map(|(fingerprint, _)| *fingerprint).collect();
        for fingerprint in &released {
            self.put_on_probation(*fingerprint, now_ms, limits);
        }
        let excess = self.refused.len().saturating_sub(limits.most_refused);
        let all = self.refused.iter();
        let mut by_expiry: Vec<(UnixMillis, RequestFingerprint)> = all
            .map(|(fingerprint, request)| (request.until_ms, *fingerprint))
            .collect();
        by_expiry.sort_unstable();
        for (_, fingerprint) in &by_expiry[..excess] {
            self.refused.remove(fingerprint);
            released.push(*fingerprint);
        }
        self.suspects.drop_expired(now_ms, limits);
        released
    }

    /// Releases a request and keeps it one crash below the limit: a success clears it, and one more
    /// crash has it refused again.
    fn put_on_probation(
        &mut self,
        fingerprint: RequestFingerprint,
        now_ms: UnixMillis,
        limits: &QuarantineLimits,
    ) {
        let Some(refused) = self.refused.remove(&fingerprint) else {
            return;
        };
        let retained_crashes = limits.crashes.saturating_sub(1) as usize;
        for crash in refused.crashes.into_iter().rev().take(retained_crashes) {
            let at_ms = now_ms;
            self.suspects
                .add(fingerprint, CrashEvidence { at_ms, ..crash });
        }
    }

    fn publish(&mut self, limits: &QuarantineLimits) {
        self.publish_list(self.suspects.one_crash_below_limit(limits));
    }

    /// Builds a new revision of the list if its content has changed.
    fn publish_list(&mut self, watched: BTreeSet<RequestFingerprint>) {
        let refused: BTreeSet<RequestFingerprint> = self.refused.keys().copied().collect();
        if refused == self.list.refused && watched == self.list.watched {
            return;
        }
        self.list = Arc::new(QuarantineList {
            revision: self.list.revision + 1,
            refused,
            watched,
        });
    }
}
