//! What back ends said of themselves in their answers: that they want rest, that they leave, or how
//! many requests they take from all nodes together.
//!
//! It is kept apart from the list of back ends, which lags by seconds and is read by another node:
//! no list takes it back, nor does an answer that does not say it again. A rest ends by its time
//! only, leaving by a later start of the back end, which has an identity of its own. The threads
//! that read answers write here before anything else is sent.

mod limits;
mod notice;

pub use notice::Notice;

use crate::instances::InstanceId;
use crate::ports::SelfReport;
use crate::Millis;
use silversail_decisions::{DecisionLog, Event};
use silversail_limits::Serial;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// For how long what a back end said is kept once no list names it, in milliseconds: a list that
/// lacks it for a while must not make it a back end of which nothing is known. Ten minutes are
/// far more than back ends take to leave, and a back end takes some 200 bytes.
const KEPT_UNLISTED_FOR: Millis = 600_000;

/// Names of headers that are told of as unknown at most; further ones are not told.
const MOST_UNKNOWN_NAMES: usize = 32;

/// The kind of exchange in which a back end said something.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeKind {
    /// The answer to a caller's request.
    Request,
    /// The answer to a batch call.
    Batch,
    /// The answer to a call that frees results.
    Free,
    /// The answer to a stage of a pipeline.
    Stage,
    /// The answer to the question for its load.
    Load,
}

impl ExchangeKind {
    /// Its name in logs and metrics.
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

/// What an answer was to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerContext {
    /// The kind of exchange.
    pub path: ExchangeKind,
    /// The permit with which the request was sent, where it had one.
    pub permit: Option<Serial>,
    /// Whether it is an answer that shows how the back end fares: the back end's own to this
    /// request, and no failure.
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

/// What was new in what a back end said of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SelfReportChanges {
    /// It asked for a rest that ends later than any before.
    pub is_longer_rest: bool,
    /// It said for the first time that it leaves.
    pub is_leaving: bool,
    /// It named another limit than before.
    pub is_other_limit: bool,
}

/// Why nothing may be sent to a back end, as it said so itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnavailableReason {
    /// It asked for a rest that is not over.
    Resting,
    /// It leaves.
    Leaving,
    /// It takes so many requests from all nodes together, and this node has no permit.
    Limited,
}

impl UnavailableReason {
    /// Its name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            UnavailableReason::Resting => "resting",
            UnavailableReason::Leaving => "leaving",
            UnavailableReason::Limited => "limited",
        }
    }
}

#[derive(Default)]
struct Entry {
    notice: Arc<Notice>,
    /// Whether the log has the beginning of a rest and not its end.
    rest_is_logged: bool,
}

#[derive(Default)]
struct Entries {
    by_id: BTreeMap<InstanceId, Entry>,
    /// Those that no list names, with the time since when that was seen. Kept apart, as a look
    /// at all entries at each change of the list grows with the number of back ends.
    unlisted: BTreeMap<InstanceId, Option<Millis>>,
    /// Those that have a limit.
    limited: BTreeSet<InstanceId>,
}

impl Entries {
    /// The entry of a back end. Asked for at each answer and each send: names are copied for new
    /// ones only, which no list has named yet.
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

/// What all back ends said; clones share it.
#[derive(Clone)]
pub struct BackendNotices {
    entries: Arc<Mutex<Entries>>,
    /// How many entries have a rest whose end is to be logged, so that a look costs nothing where
    /// there are none.
    rests_to_log: Arc<AtomicUsize>,
    /// How many have a limit.
    limits: Arc<AtomicUsize>,
    /// Names of headers that were told of as unknown.
    unknown_names: Arc<Mutex<BTreeSet<String>>>,
    log: DecisionLog,
}

impl BackendNotices {
    /// Nothing was said yet.
    pub fn new(log: DecisionLog) -> Self {
        Self {
            entries: Arc::default(),
            rests_to_log: Arc::default(),
            limits: Arc::default(),
            unknown_names: Arc::default(),
            log,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Entries> {
        // What is written under the lock is whole after each step, also where a thread ended.
        self.entries
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// What a back end says of itself, as it comes.
    pub fn of(&self, id: &str) -> Arc<Notice> {
        self.lock().entry(id).notice.clone()
    }

    /// Takes in what a back end said of itself at `now`. Of two rests the later end holds.
    pub fn record_report(
        &self,
        id: &str,
        answer: impl Into<AnswerContext>,
        said: &SelfReport,
        now: Millis,
    ) -> SelfReportChanges {
        let answer = answer.into();
        let path = answer.path;
        let mut entries = self.lock();
        let entry = entries.entry(id);
        let mut news = SelfReportChanges::default();
        if said.rest.is_none() && entry.notice.is_unproven(now) {
            entry.notice.has_rested.store(false, Ordering::Release);
        }
        if let Some(rest) = said.rest {
            let length = whole_millis(rest);
            let until = now.saturating_add(length);
            news.is_longer_rest =
                entry.notice.rest_until.fetch_max(until, Ordering::AcqRel) < until;
            entry.notice.has_rested.store(true, Ordering::Release);
            if news.is_longer_rest {
                entry.notice.rest_ms.store(length, Ordering::Release);
                if !std::mem::replace(&mut entry.rest_is_logged, true) {
                    self.rests_to_log.fetch_add(1, Ordering::AcqRel);
                }
                self.log.record(Event::RestBegan {
                    backend: id.to_owned(),
                    for_ms: length,
                    path: path.name().to_owned(),
                });
            }
        }
        if said.is_leaving {
            news.is_leaving = !entry.notice.is_leaving.swap(true, Ordering::AcqRel);
            if news.is_leaving {
                self.log.record(Event::LeavingTold {
                    backend: id.to_owned(),
                    path: path.name().to_owned(),
                });
            }
        }
        let notice = entry.notice.clone();
        let named = said.limit.lowest;
        let heard = notice
            .permits()
            .record_answer(named, answer.permit, answer.is_success);
        news.is_other_limit = heard.is_change();
        self.note_limit(&mut entries, id, &heard, path.name(), "");
        drop(entries);
        self.note_unknown(id, &said.unknown);
        news
    }

    fn note_unknown(&self, id: &str, names: &[String]) {
        if names.is_empty() {
            return;
        }
        let known = self.unknown_names.lock();
        let mut known = known.unwrap_or_else(|poisoned| poisoned.into_inner());
        for name in names {
            if known.len() >= MOST_UNKNOWN_NAMES || !known.insert(name.clone()) {
                continue;
            }
            self.log.record(Event::UnknownHeader {
                backend: id.to_owned(),
                name: name.clone(),
            });
        }
    }

    /// Those that rest at `now`, each with the milliseconds that remain.
    pub fn resting(&self, now: Millis) -> Vec<(InstanceId, Millis)> {
        let entries = self.lock();
        let resting = entries
            .by_id
            .iter()
            .filter(|(_, one)| one.notice.is_resting(now));
        resting
            .map(|(id, one)| (id.clone(), one.notice.rest_until() - now))
            .collect()
    }

    /// Those that said that they leave.
    pub fn leaving(&self) -> Vec<InstanceId> {
        let entries = self.lock();
        let leaving = entries
            .by_id
            .iter()
            .filter(|(_, one)| one.notice.is_leaving());
        leaving.map(|(id, _)| id.clone()).collect()
    }

    /// Tells the log which rests are over.
    pub fn log_ended_rests(&self, now: Millis) {
        if self.rests_to_log.load(Ordering::Acquire) == 0 {
            return;
        }
        for (id, entry) in self.lock().by_id.iter_mut() {
            if entry.rest_is_logged && !entry.notice.is_resting(now) {
                entry.rest_is_logged = false;
                self.rests_to_log.fetch_sub(1, Ordering::AcqRel);
                self.log.record(Event::RestEnded {
                    backend: id.clone(),
                });
            }
        }
    }

    /// A list names a back end: what it says of itself, as it comes.
    pub fn listed(&self, id: &str) -> Arc<Notice> {
        let mut entries = self.lock();
        let notice = entries.entry(id).notice.clone();
        entries.unlisted.remove(id);
        notice
    }

    /// No list names a back end any more.
    pub fn unlisted(&self, id: &str, now: Millis) {
        let mut entries = self.lock();
        if entries.by_id.contains_key(id) {
            entries.unlisted.insert(id.to_owned(), Some(now));
        }
    }

    /// Forgets those that no list names and that have nothing to say, or are long gone.
    pub fn forget_unlisted(&self, now: Millis) {
        let Entries {
            by_id,
            unlisted,
            limited,
        } = &mut *self.lock();
        unlisted.retain(|id, since| {
            let since = *since.get_or_insert(now);
            let is_kept = by_id.get(id).is_some_and(|entry| {
                let notice = &entry.notice;
                let has_said = notice.is_leaving() || notice.is_resting(now) || notice.is_limited();
                has_said && now.saturating_sub(since) < KEPT_UNLISTED_FOR
            });
            if !is_kept && by_id.remove(id).is_some_and(|entry| entry.rest_is_logged) {
                self.rests_to_log.fetch_sub(1, Ordering::AcqRel);
            }
            if !is_kept {
                limited.remove(id);
            }
            is_kept
        });
        self.limits.store(limited.len(), Ordering::Release);
    }
}

/// A length in milliseconds, rounded up.
fn whole_millis(length: Duration) -> Millis {
    let millis = length.as_nanos().div_ceil(1_000_000);
    Millis::try_from(millis).unwrap_or(Millis::MAX)
}
