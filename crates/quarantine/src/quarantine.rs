//! The judgement over what all nodes told: replicated, so that it outlives the loss of every
//! process. Each replica applies the same commands; the leader's limits stand in them.

use crate::limits::QuarantineLimits;
use crate::list::{QuarantineList, SharedQuarantineList};
use crate::suspects::{CrashEvidence, CrashNumber, Suspects};
use crate::UnixMillis;
use serde::{Deserialize, Serialize};
use silversail_model::RequestFingerprint;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// Two tellings of the end of one back end are of the same crash if so many milliseconds lie
/// between them at most: nodes tell a crash for seconds, and a new leader's clock may differ by
/// two. A back end that is back sooner under the same identity, as the list does not tell its
/// start, and crashes again counts once too few.
const SAME_CRASH_WITHIN_MS: u64 = 5_000;
/// So long after the last crash, in milliseconds, the judgement looks whom other verdicts clear.
const CALM_AFTER_MS: u64 = 10_000;
/// Crashes that are remembered to tell that one is told again.
const REMEMBERED_CRASHES: usize = 1_024;

/// A crash as the leader puts it together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRecord {
    /// The back end that ended.
    pub backend: String,
    /// When.
    pub at_ms: UnixMillis,
    /// The requests that broke off there, as far as nodes told.
    pub fingerprints: BTreeSet<RequestFingerprint>,
}

/// Changes the quarantine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuarantineCommand {
    /// Back ends ended. A crash may be told again, with more requests.
    RecordCrashes {
        /// The crashes.
        crashes: Vec<CrashRecord>,
        /// What holds.
        limits: QuarantineLimits,
    },
    /// Requests got a whole answer: they crash nothing.
    RecordSuccesses {
        /// What they are.
        fingerprints: Vec<RequestFingerprint>,
        /// What holds.
        limits: QuarantineLimits,
    },
    /// An operator lifts a verdict.
    Lift {
        /// What is to be sent again.
        fingerprint: RequestFingerprint,
    },
    /// Time went on.
    Expire {
        /// Now.
        now_ms: UnixMillis,
        /// What holds.
        limits: QuarantineLimits,
    },
}

/// What became of a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuarantineReply {
    /// It was applied.
    Applied {
        /// Requests that are refused from now on, with the crashes that decided it.
        refused: Vec<(RequestFingerprint, Vec<CrashEvidence>)>,
        /// Requests that are refused no more.
        released: Vec<RequestFingerprint>,
    },
    /// The request to be lifted is not refused.
    NotRefused,
}

/// A request that is refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusedRequest {
    /// The crashes that decided it.
    pub crashes: Vec<CrashEvidence>,
    /// Since when.
    pub since_ms: UnixMillis,
    /// Until when, unless it crashes a back end again.
    pub until_ms: UnixMillis,
}

/// A crash that may be told again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct KnownCrash {
    number: CrashNumber,
    backend: String,
    at_ms: UnixMillis,
    /// Whether a refused request ran there, which explains it.
    is_explained: bool,
}

/// Suspects, and the requests that are refused.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quarantine {
    last_number: CrashNumber,
    known: VecDeque<KnownCrash>,
    suspects: Suspects,
    refused: BTreeMap<RequestFingerprint, RefusedRequest>,
    list: SharedQuarantineList,
}

impl Quarantine {
    /// What nodes have to know.
    pub fn list(&self) -> &SharedQuarantineList {
        &self.list
    }

    /// The requests that are refused, with the evidence.
    pub fn refused(&self) -> &BTreeMap<RequestFingerprint, RefusedRequest> {
        &self.refused
    }

    /// How many requests are under suspicion.
    pub fn suspect_count(&self) -> usize {
        self.suspects.len()
    }

    /// Whether a suspicion or a verdict ends by now.
    pub fn needs_expiry(&self, now_ms: UnixMillis, limits: &QuarantineLimits) -> bool {
        let verdicts = self.refused.values().map(|one| one.until_ms);
        let next_end = verdicts.chain(self.suspects.next_end(limits)).min();
        next_end.is_some_and(|end| end <= now_ms) || !self.explained(now_ms, limits).is_empty()
    }

    /// Applies a command. Commands may come twice and late.
    pub fn apply(&mut self, command: QuarantineCommand) -> QuarantineReply {
        let mut refused = Vec::new();
        let mut released = Vec::new();
        match command {
            QuarantineCommand::RecordCrashes { crashes, limits } => {
                let at_ms = crashes.iter().map(|crash| crash.at_ms).max();
                for crash in crashes {
                    refused.extend(self.crashed(crash, &limits));
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
                self.publish_refused(self.list.watched.clone());
            }
            QuarantineCommand::Expire { now_ms, limits } => {
                released = self.expire(now_ms, &limits);
                released.extend(self.release_explained(now_ms, &limits));
                self.publish(&limits);
            }
        }
        QuarantineReply::Applied { refused, released }
    }

    /// Counts a crash; returns whom it has refused.
    fn crashed(
        &mut self,
        crash: CrashRecord,
        limits: &QuarantineLimits,
    ) -> Vec<(RequestFingerprint, Vec<CrashEvidence>)> {
        let number = self.number_of(&crash);
        let evidence = CrashEvidence {
            number,
            backend: crash.backend,
            at_ms: crash.at_ms,
        };
        for fingerprint in &crash.fingerprints {
            if let Some(refused) = self.refused.get_mut(fingerprint) {
                refused.until_ms = refused.until_ms.max(crash.at_ms + limits.refuse_for_ms);
                self.explain(number);
            }
        }
        // A crash under a refused request says nothing against others.
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
            if self.suspects.count(fingerprint) < limits.crashes.max(1) as usize {
                continue;
            }
            let Some(crashes) = self.suspects.remove(fingerprint) else {
                continue;
            };
            for crash in &crashes {
                self.explain(crash.number);
            }
            let verdict = RefusedRequest {
                crashes: crashes.clone(),
                since_ms: at_ms,
                until_ms: at_ms + limits.refuse_for_ms,
            };
            self.refused.insert(*fingerprint, verdict);
            refused.push((*fingerprint, crashes));
        }
        refused
    }

    /// Once no back end crashes any more, releases the requests whose crashes other verdicts
    /// explain. See [`Self::explained`].
    fn release_explained(
        &mut self,
        now_ms: UnixMillis,
        limits: &QuarantineLimits,
    ) -> Vec<RequestFingerprint> {
        let released = self.explained(now_ms, limits);
        for fingerprint in &released {
            self.put_on_probation(*fingerprint, now_ms, limits);
        }
        released
    }

    /// Refused requests whose crashes other verdicts explain, each by one that rests on crashes at
    /// which the request did not run; none while back ends crash. One that many ask for is in
    /// flight at crash after crash where several requests crash engines, and as it is refused no
    /// whole answer could clear it. Released at once, guilty ones that shared crashes ended up to
    /// 12 engines each in place of 6 (`examples/judgement`, ten at once).
    fn explained(&self, now_ms: UnixMillis, limits: &QuarantineLimits) -> Vec<RequestFingerprint> {
        let last = self.known.iter().map(|crash| crash.at_ms).max();
        if last.is_none_or(|at| at + CALM_AFTER_MS > now_ms) {
            return Vec::new();
        }
        let explained = self.refused.iter().filter(|(fingerprint, verdict)| {
            let mut crashes = verdict.crashes.iter();
            crashes.all(|crash| self.is_explained_by_another(crash, fingerprint, limits))
        });
        explained.map(|(fingerprint, _)| *fingerprint).collect()
    }

    fn is_explained_by_another(
        &self,
        crash: &CrashEvidence,
        fingerprint: &RequestFingerprint,
        limits: &QuarantineLimits,
    ) -> bool {
        let own = &self.refused[fingerprint].crashes;
        let is_own = |one: &&CrashEvidence| own.iter().any(|known| known.number == one.number);
        let needed = (limits.crashes.max(1) - 1) as usize;
        let mut others = self
            .refused
            .iter()
            .filter(|(other, _)| *other != fingerprint);
        others.any(|(_, verdict)| {
            let has_it = verdict.crashes.iter().any(|one| one.number == crash.number);
            let shared = verdict.crashes.iter().filter(is_own).count();
            has_it && verdict.crashes.len() - shared >= needed
        })
    }

    /// The number of a crash, which may have been told before.
    fn number_of(&mut self, crash: &CrashRecord) -> CrashNumber {
        let is_same = |known: &&KnownCrash| {
            known.backend == crash.backend
                && known.at_ms.abs_diff(crash.at_ms) < SAME_CRASH_WITHIN_MS
        };
        if let Some(known) = self.known.iter().find(is_same) {
            return known.number;
        }
        self.last_number += 1;
        if self.known.len() == REMEMBERED_CRASHES {
            self.known.pop_front();
        }
        self.known.push_back(KnownCrash {
            number: self.last_number,
            backend: crash.backend.clone(),
            at_ms: crash.at_ms,
            is_explained: false,
        });
        self.last_number
    }

    fn explain(&mut self, number: CrashNumber) {
        let mut known = self.known.iter_mut();
        if let Some(crash) = known.find(|crash| crash.number == number) {
            crash.is_explained = true;
        }
    }

    fn is_explained(&self, number: CrashNumber) -> bool {
        let mut known = self.known.iter();
        known.any(|crash| crash.number == number && crash.is_explained)
    }

    /// Ends what is over. Who was refused stays a suspect whom one crash more has refused again.
    fn expire(&mut self, now_ms: UnixMillis, limits: &QuarantineLimits) -> Vec<RequestFingerprint> {
        let over = self
            .refused
            .iter()
            .filter(|(_, one)| one.until_ms <= now_ms);
        let mut released: Vec<RequestFingerprint> =
            over.map(|(fingerprint, _)| *fingerprint).collect();
        for fingerprint in &released {
            self.put_on_probation(*fingerprint, now_ms, limits);
        }
        let excess = self.refused.len().saturating_sub(limits.most_refused);
        let all = self.refused.iter();
        let mut by_age: Vec<(UnixMillis, RequestFingerprint)> = all
            .map(|(fingerprint, one)| (one.until_ms, *fingerprint))
            .collect();
        by_age.sort_unstable();
        for (_, fingerprint) in &by_age[..excess] {
            self.refused.remove(fingerprint);
            released.push(*fingerprint);
        }
        self.suspects.forget(now_ms, limits);
        released
    }

    /// Sends a request again that was refused: a whole answer clears it, one crash more has it
    /// refused again.
    fn put_on_probation(
        &mut self,
        fingerprint: RequestFingerprint,
        now_ms: UnixMillis,
        limits: &QuarantineLimits,
    ) {
        let Some(refused) = self.refused.remove(&fingerprint) else {
            return;
        };
        let kept = limits.crashes.saturating_sub(1) as usize;
        for crash in refused.crashes.into_iter().rev().take(kept) {
            let at_ms = now_ms;
            self.suspects
                .add(fingerprint, CrashEvidence { at_ms, ..crash });
        }
    }

    fn publish(&mut self, limits: &QuarantineLimits) {
        self.publish_refused(self.suspects.watched(limits));
    }

    /// Puts together what nodes have to know; a new revision only where it differs.
    fn publish_refused(&mut self, watched: BTreeSet<RequestFingerprint>) {
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
