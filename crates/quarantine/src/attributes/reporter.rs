//! What one node has observed of attributes, and what of it is still to be reported.

use super::report::{
    AnsweredAttributes, AttributeCrashReport, AttributeReport, InterruptedRequest,
    WatchedAttributes,
};
use super::BackendGroup;
use silversail_model::RequestAttribute;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// Milliseconds of the node's own monotonic clock.
type Millis = u64;

/// How long a crash is reported, in milliseconds: the longest election and three lost heartbeats.
const REPORT_DURATION: Millis = 6_000;
/// Time for which attributes are watched after a relay told so, in milliseconds; it repeats that each
/// second.
const WATCH_DURATION: Millis = 5_000;
/// Minimum time between reports of answers, in milliseconds.
const ANSWER_REPORT_INTERVAL: Millis = 200;
/// Maximum number of crashes in a report; the oldest are dropped first.
const MAX_CRASHES: usize = 32;
/// Maximum number of interrupted requests in the report of one crash.
const MAX_REQUESTS_PER_CRASH: usize = 64;
/// Number of attributes whose newest answer is remembered; those answered longest ago are forgotten
/// first.
const MAX_REMEMBERED_ATTRIBUTES: usize = 8_192;

struct ObservedCrash {
    backend: String,
    group: BackendGroup,
    at: Millis,
    requests: BTreeSet<InterruptedRequest>,
}

#[derive(Default)]
struct GroupAnswers {
    /// When the newest answer began.
    newest: Millis,
    by_attribute: HashMap<RequestAttribute, Millis>,
}

/// Crashes and answers that this node observed.
#[derive(Default)]
pub struct AttributeReporter {
    crashes: VecDeque<ObservedCrash>,
    answers: BTreeMap<BackendGroup, GroupAnswers>,
    watched: Vec<WatchedAttributes>,
    watched_until: Millis,
    has_unreported_answers: bool,
    answers_reported_at: Millis,
}

impl AttributeReporter {
    /// Records a crash that interrupted these requests at `at`.
    pub fn record_crash(
        &mut self,
        backend: &str,
        group: &BackendGroup,
        at: Millis,
        requests: impl IntoIterator<Item = InterruptedRequest>,
    ) {
        self.crashes
            .retain(|crash| at.saturating_sub(crash.at) < REPORT_DURATION);
        let is_same = |crash: &&mut ObservedCrash| crash.backend == backend && crash.at == at;
        match self.crashes.iter_mut().find(is_same) {
            Some(known) => known.requests.extend(requests),
            None => self.crashes.push_back(ObservedCrash {
                backend: backend.to_owned(),
                group: group.clone(),
                at,
                requests: requests.into_iter().collect(),
            }),
        }
        if self.crashes.len() > MAX_CRASHES {
            self.crashes.pop_front();
        }
    }

    /// Records that a request with these attributes was answered, or that its answer went on for
    /// long enough. The answer began at `began_at`.
    pub fn record_answer(
        &mut self,
        group: &BackendGroup,
        attributes: impl IntoIterator<Item = RequestAttribute>,
        began_at: Millis,
    ) {
        if !self.answers.contains_key(group) {
            self.answers.insert(group.clone(), GroupAnswers::default());
        }
        let Some(answers) = self.answers.get_mut(group) else {
            return;
        };
        answers.newest = answers.newest.max(began_at);
        let watched = self.watched.iter().find(|watched| watched.group == *group);
        for attribute in attributes {
            let newest = answers.by_attribute.entry(attribute).or_default();
            *newest = (*newest).max(began_at);
            self.has_unreported_answers |=
                watched.is_some_and(|watched| watched.attributes.contains(&attribute));
        }
        forget_oldest(&mut answers.by_attribute);
    }

    /// Replaces the attributes whose answers are reported for some seconds from `now` on.
    pub fn set_watched(&mut self, watched: Vec<WatchedAttributes>, now: Millis) {
        self.watched_until = now + WATCH_DURATION;
        self.watched = watched;
        self.has_unreported_answers = !self.watched.is_empty();
        self.answers_reported_at = 0;
    }

    /// Whether answers are to be reported at `now`.
    pub fn is_answer_report_due(&self, now: Millis) -> bool {
        let since_last = now.saturating_sub(self.answers_reported_at);
        self.has_unreported_answers && since_last >= ANSWER_REPORT_INTERVAL
    }

    /// What to report at `now`; `node` is the name of this one.
    pub fn report(&mut self, node: &str, now: Millis) -> AttributeReport {
        if now >= self.watched_until {
            self.watched.clear();
        }
        self.has_unreported_answers = false;
        self.answers_reported_at = now;
        AttributeReport {
            crashes: self.crash_reports(node, now),
            answers: self.answer_reports(now),
            is_forwarded: false,
        }
    }

    fn crash_reports(&self, node: &str, now: Millis) -> Vec<AttributeCrashReport> {
        let crashes = self.crashes.iter();
        let recent = crashes.filter(|crash| now.saturating_sub(crash.at) < REPORT_DURATION);
        recent
            .map(|crash| AttributeCrashReport {
                node: node.to_owned(),
                backend: crash.backend.clone(),
                group: crash.group.clone(),
                age_ms: now.saturating_sub(crash.at),
                requests: crash
                    .requests
                    .iter()
                    .take(MAX_REQUESTS_PER_CRASH)
                    .cloned()
                    .collect(),
            })
            .collect()
    }

    fn answer_reports(&self, now: Millis) -> Vec<AnsweredAttributes> {
        let of_group = |watched: &WatchedAttributes| {
            let answers = self.answers.get(&watched.group)?;
            let age = |began_at: &Millis| now.saturating_sub(*began_at);
            let attributes = watched.attributes.iter().filter_map(|attribute| {
                let began_at = answers.by_attribute.get(attribute)?;
                Some((*attribute, age(began_at)))
            });
            Some(AnsweredAttributes {
                group: watched.group.clone(),
                age_ms: age(&answers.newest),
                attributes: attributes.collect(),
            })
        };
        self.watched.iter().filter_map(of_group).collect()
    }
}

/// Keeps the newer half of the answers once there are too many.
fn forget_oldest(answers: &mut HashMap<RequestAttribute, Millis>) {
    if answers.len() <= MAX_REMEMBERED_ATTRIBUTES {
        return;
    }
    let mut times: Vec<Millis> = answers.values().copied().collect();
    let middle = times.len() / 2;
    let (_, median, _) = times.select_nth_unstable(middle);
    let oldest_kept = *median;
    answers.retain(|_, began_at| *began_at >= oldest_kept);
}
