//! State that back ends advertise in their answers: back-off periods, draining and rate
//! limits for all nodes together.
//!
//! The state is independent of the list of back ends, which lags by seconds: neither a list nor an
//! answer without the state clears it. A back-off ends when its time has passed; a draining back
//! end stays so until it restarts under a new identity. Threads that read answers record the state
//! before the next send.

mod backend_notice;
mod brittle;
mod limits;

pub use backend_notice::BackendNotice;

use crate::instances::InstanceId;
use crate::ports::SelfReport;
use crate::Millis;
use silversail_decisions::{DecisionLog, Event};
use silversail_limits::Serial;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// How long the state of an unlisted back end is kept, in milliseconds: a back end may be missing
/// from the list temporarily. Far longer than back ends take to leave; the state of one takes some
/// 200 bytes.
const UNLISTED_RETENTION: Millis = 600_000;

/// Maximum number of unknown header names that are logged; further ones are not logged.
const MAX_UNKNOWN_NAMES: usize = 32;

/// Kind of exchange in which a back end advertised state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeKind {
    /// A caller's request.
    Request,
    /// A batch call.
    Batch,
    /// A call that frees results.
    Free,
    /// A call of a pipeline stage.
    Stage,
    /// A load query.
    Load,
}

impl ExchangeKind {
    /// Label value in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            ExchangeKind::Request => "request",
            ExchangeKind::Batch => "batch",
            ExchangeKind::Free => "free",
            ExchangeKind::Stage => "stage",
            ExchangeKind::Load => "load",
        }
    }
}

/// The exchange that an answer belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerContext {
    /// Kind of the exchange.
    pub path: ExchangeKind,
    /// Serial of the permit with which the request was sent; none without a permit.
    pub permit: Option<Serial>,
    /// Whether the answer comes from the back end itself, to this request, and is no failure.
    pub is_success: bool,
}

impl From<ExchangeKind> for AnswerContext {
    fn from(path: ExchangeKind) -> Self {
        Self {
            path,
            permit: None,
            is_success: false,
        }
    }
}

/// Changes that a [`SelfReport`] made to the known state of a back end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SelfReportChanges {
    /// The back end requested a back-off that ends later than all before.
    pub is_longer_backoff: bool,
    /// The back end announced for the first time that it is draining.
    pub is_draining: bool,
    /// The back end's rate limit changed.
    pub is_limit_changed: bool,
    /// The number of rejections per second that the back end bears changed.
    pub is_brittleness_changed: bool,
}

/// Advertised state because of which nothing may be sent to a back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnavailableReason {
    /// The back-off period that it requested has not ended.
    InBackoff,
    /// It is draining.
    Draining,
    /// It has a rate limit, and this node holds no permit.
    Limited,
}

impl UnavailableReason {
    /// Label value in metrics.
    pub fn name(self) -> &'static str {
        match self {
            UnavailableReason::InBackoff => "resting",
            UnavailableReason::Draining => "leaving",
            UnavailableReason::Limited => "limited",
        }
    }
}

#[derive(Default)]
struct Entry {
    notice: Arc<BackendNotice>,
    /// Whether the start of a back-off was logged and its end was not.
    backoff_is_logged: bool,
}

#[derive(Default)]
struct Entries {
    by_id: BTreeMap<InstanceId, Entry>,
    /// Unlisted back ends with the time since when they are; none until it is first observed. A
    /// separate index, so that changes of the list need no scan over all entries.
    unlisted: BTreeMap<InstanceId, Option<Millis>>,
    /// Back ends that have a rate limit.
    limited: BTreeSet<InstanceId>,
}

impl Entries {
    /// Returns the entry of a back end, and creates it as unlisted if it is missing. The
    /// identifier is copied only then, as every answer and send calls this.
    fn entry(&mut self, id: &str) -> &mut Entry {
        if !self.by_id.contains_key(id) {
            self.by_id.insert(id.to_owned(), Entry::default());
            self.unlisted.insert(id.to_owned(), None);
        }
        self.by_id
            .get_mut(id)
            .expect("inserted above where it was absent")
    }
}

/// Advertised state of all back ends; clones share it.
#[derive(Clone)]
pub struct BackendNotices {
    entries: Arc<Mutex<Entries>>,
    /// Number of entries with a back-off whose end is not logged yet; lets the check skip the lock.
    backoffs_to_log: Arc<AtomicUsize>,
    /// Number of back ends with a rate limit.
    limits: Arc<AtomicUsize>,
    /// Number of nodes that send to the back ends.
    senders: Arc<AtomicUsize>,
    /// Whether any back end has been brittle.
    has_brittle: Arc<AtomicBool>,
    /// Hash of the name of this node.
    node_hash: Arc<AtomicU64>,
    /// Unknown header names that were logged.
    unknown_names: Arc<Mutex<BTreeSet<String>>>,
    log: DecisionLog,
}

impl BackendNotices {
    /// Creates an empty table that records changes in `log`.
    pub fn new(log: DecisionLog) -> Self {
        Self {
            entries: Arc::default(),
            backoffs_to_log: Arc::default(),
            limits: Arc::default(),
            senders: Arc::default(),
            has_brittle: Arc::default(),
            node_hash: Arc::default(),
            unknown_names: Arc::default(),
            log,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Entries> {
        // Every update under the lock is complete, so a poisoned lock is safe to use.
        self.entries
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Returns the shared state of a back end; it reflects later reports.
    pub fn of(&self, id: &str) -> Arc<BackendNotice> {
        self.lock().entry(id).notice.clone()
    }

    /// Records state that a back end advertised at `now`. Of several back-offs the latest end
    /// applies.
    pub fn record_report(
        &self,
        id: &str,
        answer: impl Into<AnswerContext>,
        report: &SelfReport,
        now: Millis,
    ) -> SelfReportChanges {
        let answer = answer.into();
        let path = answer.path;
        let mut entries = self.lock();
        let entry = entries.entry(id);
        let mut changes = SelfReportChanges::default();
        let is_rejected_as_brittle = self.backoff_of_brittle(report, now).is_some();
        if report.backoff.is_none() && !is_rejected_as_brittle && entry.notice.is_unproven(now) {
            entry.notice.had_backoff.store(false, Ordering::Release);
        }
        changes.is_brittleness_changed =
            self.record_brittleness(id, &entry.notice, answer, report, now);
        let backoff_ms = report.backoff.map(ceil_millis);
        if let Some(backoff_ms) = backoff_ms.max(self.backoff_of_brittle(report, now)) {
            let until = now.saturating_add(backoff_ms);
            changes.is_longer_backoff = entry
                .notice
                .backoff_until
                .fetch_max(until, Ordering::AcqRel)
                < until;
            entry.notice.had_backoff.store(true, Ordering::Release);
            if changes.is_longer_backoff {
                entry.notice.backoff_ms.store(backoff_ms, Ordering::Release);
                if !std::mem::replace(&mut entry.backoff_is_logged, true) {
                    self.backoffs_to_log.fetch_add(1, Ordering::AcqRel);
                }
                self.log.record(Event::RestBegan {
                    backend: id.to_owned(),
                    for_ms: backoff_ms,
                    path: path.name().to_owned(),
                });
            }
        }
        if report.is_draining {
            changes.is_draining = !entry.notice.is_draining.swap(true, Ordering::AcqRel);
            if changes.is_draining {
                self.log.record(Event::LeavingTold {
                    backend: id.to_owned(),
                    path: path.name().to_owned(),
                });
            }
        }
        let notice = entry.notice.clone();
        let advertised = report.limit.lowest;
        let limit_update =
            notice
                .permits()
                .record_answer(advertised, answer.permit, answer.is_success);
        changes.is_limit_changed = limit_update.is_change();
        self.record_limit_update(&mut entries, id, &limit_update, path.name(), "");
        drop(entries);
        self.log_unknown_headers(id, &report.unknown);
        changes
    }

    fn log_unknown_headers(&self, id: &str, names: &[String]) {
        if names.is_empty() {
            return;
        }
        let known = self.unknown_names.lock();
        let mut known = known.unwrap_or_else(|poisoned| poisoned.into_inner());
        for name in names {
            if known.len() >= MAX_UNKNOWN_NAMES || !known.insert(name.clone()) {
                continue;
            }
            self.log.record(Event::UnknownHeader {
                backend: id.to_owned(),
                name: name.clone(),
            });
        }
    }

    /// Back ends in back-off at `now`, each with the remaining milliseconds.
    pub fn in_backoff(&self, now: Millis) -> Vec<(InstanceId, Millis)> {
        let entries = self.lock();
        let in_backoff = entries
            .by_id
            .iter()
            .filter(|(_, entry)| entry.notice.is_in_backoff(now));
        in_backoff
            .map(|(id, entry)| (id.clone(), entry.notice.backoff_until() - now))
            .collect()
    }

    /// Back ends that are draining.
    pub fn draining(&self) -> Vec<InstanceId> {
        let entries = self.lock();
        let draining = entries
            .by_id
            .iter()
            .filter(|(_, entry)| entry.notice.is_draining());
        draining.map(|(id, _)| id.clone()).collect()
    }

    /// Logs the back-offs that have ended by `now`.
    pub fn log_ended_backoffs(&self, now: Millis) {
        if self.backoffs_to_log.load(Ordering::Acquire) == 0 {
            return;
        }
        for (id, entry) in self.lock().by_id.iter_mut() {
            if entry.backoff_is_logged && !entry.notice.is_in_backoff(now) {
                entry.backoff_is_logged = false;
                self.backoffs_to_log.fetch_sub(1, Ordering::AcqRel);
                self.log.record(Event::RestEnded {
                    backend: id.clone(),
                });
            }
        }
    }

    /// Marks a back end as listed and returns its shared state.
    pub fn mark_listed(&self, id: &str) -> Arc<BackendNotice> {
        let mut entries = self.lock();
        let notice = entries.entry(id).notice.clone();
        entries.unlisted.remove(id);
        notice
    }

    /// Marks a back end as unlisted from `now` on.
    pub fn mark_unlisted(&self, id: &str, now: Millis) {
        let mut entries = self.lock();
        if entries.by_id.contains_key(id) {
            entries.unlisted.insert(id.to_owned(), Some(now));
        }
    }

    /// Removes unlisted back ends without active state, and those whose retention has expired.
    pub fn remove_unlisted(&self, now: Millis) {
        let Entries {
            by_id,
            unlisted,
            limited,
        } = &mut *self.lock();
        unlisted.retain(|id, since| {
            let since = *since.get_or_insert(now);
            let is_kept = by_id.get(id).is_some_and(|entry| {
                let notice = &entry.notice;
                let has_active_state =
                    notice.is_draining() || notice.is_in_backoff(now) || notice.is_limited();
                has_active_state && now.saturating_sub(since) < UNLISTED_RETENTION
            });
            if !is_kept
                && by_id
                    .remove(id)
                    .is_some_and(|entry| entry.backoff_is_logged)
            {
                self.backoffs_to_log.fetch_sub(1, Ordering::AcqRel);
            }
            if !is_kept {
                limited.remove(id);
            }
            is_kept
        });
        self.limits.store(limited.len(), Ordering::Release);
    }
}

/// A duration in milliseconds, rounded up.
fn ceil_millis(duration: Duration) -> Millis {
    let millis = duration.as_nanos().div_ceil(1_000_000);
    Millis::try_from(millis).unwrap_or(Millis::MAX)
}
