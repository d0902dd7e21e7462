//! The reports of all nodes on attributes, as each voter collects them.

use super::refused::{RefusedAttribute, RefusedAttributes};
use super::report::{
    AnsweredAttributes, AttributeCrashReport, AttributeReport, InterruptedRequest,
    WatchedAttributes,
};
use super::{attribute_fingerprints, BackendGroup};
use crate::list::{QuarantineList, QuarantineRevision};
use silversail_model::{RequestAttribute, RequestFingerprint};
use std::collections::{BTreeMap, BTreeSet};

/// Milliseconds of the voter's own monotonic clock.
type Millis = u64;

/// Maximum distance of the times in reports about the same crash of a back end, in milliseconds: an
/// idle connection shows the end of its peer after up to 1,500 ms.
const SAME_CRASH_WINDOW: Millis = 2_000;
/// Time after the first report of a crash for which reports of other nodes are awaited, in
/// milliseconds. Relays forward reports within 100 ms.
const CRASH_SETTLE_DURATION: Millis = 200;
/// Time for which a crash counts, in milliseconds.
const CRASH_RETENTION: Millis = 30 * 60_000;
/// Time after a crash for which the attributes of its requests are watched, in milliseconds. Nodes
/// remember answers, so that those in between two crashes count as well.
const WATCH_DURATION: Millis = 20_000;
/// Minimum time between reports that a relay forwards, in milliseconds.
const FORWARD_INTERVAL: Millis = 200;
/// Time after which a relay repeats a report without news, in milliseconds.
const REPEAT_INTERVAL: Millis = 1_000;
/// Time for which a relay forwards a crash, in milliseconds. Nodes report it to the leader as well.
const FORWARD_DURATION: Millis = 1_500;
/// Maximum number of retained crashes; the oldest are removed first.
const MAX_CRASHES: usize = 512;
/// Maximum number of retained requests of one crash.
const MAX_REQUESTS_PER_CRASH: usize = 256;
/// Number of attributes of a group above which answers that concern no crash are forgotten.
const MAX_ANSWERED: usize = 1_024;
/// Maximum number of watched attributes; those of the fewest crashes are left out first.
const MAX_WATCHED: usize = 128;
/// Maximum number of attributes on probation that are watched as well.
const MAX_WATCHED_ON_PROBATION: usize = 64;

/// A crash of a back end, combined from the reports of several nodes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttributeCrash {
    /// Name of the back end that crashed.
    pub backend: String,
    /// Group of the back end.
    pub group: BackendGroup,
    /// Time of the crash.
    pub at: Millis,
    /// Requests that were interrupted.
    pub requests: BTreeSet<InterruptedRequest>,
    /// Nodes that reported the crash.
    pub reported_by: BTreeSet<String>,
    first_reported_at: Millis,
    /// Whether a refused request or attribute explains the crash.
    is_explained: bool,
    /// Revision of the list with which that was checked last; none if requests were added since.
    checked_with: Option<QuarantineRevision>,
}

impl AttributeCrash {
    fn is_same(&self, backend: &str, at: Millis) -> bool {
        self.backend == backend && self.at.abs_diff(at) < SAME_CRASH_WINDOW
    }

    /// Whether one of the interrupted requests has an attribute.
    pub fn has(&self, attribute: &RequestAttribute) -> bool {
        let mut requests = self.requests.iter();
        requests.any(|request| request.attributes.contains(attribute))
    }

    fn is_explained_by(&self, list: &QuarantineList) -> bool {
        let service = &self.group.service;
        self.requests.iter().any(|request| {
            let attributes = request.attributes.iter().copied();
            let tenant = request.tenant.as_deref();
            let mut fingerprints = attribute_fingerprints(service, tenant, attributes).into_iter();
            list.refused.contains(&request.fingerprint)
                || fingerprints.any(|(_, fingerprint)| list.refused.contains(&fingerprint))
        })
    }
}

/// Answers of one group of back ends.
#[derive(Clone, Debug, Default)]
pub(super) struct GroupAnswers {
    /// Beginning of the newest answer to any request.
    pub(super) newest: Option<Millis>,
    /// Beginning of the newest answer to a request with each attribute.
    pub(super) by_attribute: BTreeMap<RequestAttribute, Millis>,
}

/// Crashes with the attributes of their requests, and answers to requests with such attributes. A
/// new leader has the crashes, as nodes report them to all voters, and gets the answers from its
/// relays.
#[derive(Debug, Default)]
pub struct AttributeEvidence {
    crashes: Vec<AttributeCrash>,
    answers: BTreeMap<BackendGroup, GroupAnswers>,
    refused: RefusedAttributes,
    /// Whether there is something that was not forwarded.
    has_news: bool,
    forwarded_at: Millis,
}

impl AttributeEvidence {
    /// Records a report that arrived at `now`.
    pub fn record_report(&mut self, report: &AttributeReport, now: Millis) {
        for crash in &report.crashes {
            self.record_crash(crash, now);
        }
        for answered in &report.answers {
            self.record_answers(answered, now);
        }
    }

    fn record_crash(&mut self, report: &AttributeCrashReport, now: Millis) {
        let at = now.saturating_sub(report.age_ms);
        let mut crashes = self.crashes.iter();
        let position = crashes.position(|crash| crash.is_same(&report.backend, at));
        let position = position.unwrap_or_else(|| {
            self.has_news = true;
            if self.crashes.len() == MAX_CRASHES {
                self.crashes.remove(0);
            }
            self.crashes.push(AttributeCrash {
                backend: report.backend.clone(),
                group: report.group.clone(),
                at,
                requests: BTreeSet::new(),
                reported_by: BTreeSet::new(),
                first_reported_at: now,
                is_explained: false,
                checked_with: None,
            });
            self.crashes.len() - 1
        });
        let crash = &mut self.crashes[position];
        crash.at = crash.at.min(at);
        crash.reported_by.insert(report.node.clone());
        for request in &report.requests {
            let has_room = crash.requests.len() < MAX_REQUESTS_PER_CRASH;
            if has_room && crash.requests.insert(request.clone()) {
                crash.checked_with = None;
            }
        }
    }

    fn record_answers(&mut self, answered: &AnsweredAttributes, now: Millis) {
        let began_at = |age: u64| now.saturating_sub(age);
        let answers = self.answers.entry(answered.group.clone()).or_default();
        answers.newest = answers.newest.max(Some(began_at(answered.age_ms)));
        for (attribute, age) in &answered.attributes {
            let newest = answers.by_attribute.entry(*attribute).or_default();
            let began_at = began_at(*age);
            self.has_news |= began_at > *newest;
            *newest = (*newest).max(began_at);
        }
    }

    /// Marks crashes that `list` explains, and forgets old crashes and answers that concern none.
    pub fn update(&mut self, list: &QuarantineList, now: Millis) {
        self.crashes
            .retain(|crash| now.saturating_sub(crash.at) < CRASH_RETENTION);
        let unchecked = self
            .crashes
            .iter_mut()
            .filter(|crash| crash.checked_with != Some(list.revision));
        for crash in unchecked {
            crash.checked_with = Some(list.revision);
            if !crash.is_explained && crash.is_explained_by(list) {
                crash.is_explained = true;
                self.refused.record_crash(crash, list);
            }
        }
        self.refused.update(list, now);
        self.forget_answers();
    }

    /// Forgets answers to requests without an attribute of a crash, or one on probation, once there
    /// are many.
    fn forget_answers(&mut self) {
        let crashes = &self.crashes;
        let refused = &self.refused;
        for (group, answers) in &mut self.answers {
            if answers.by_attribute.len() <= MAX_ANSWERED {
                continue;
            }
            let of_group = crashes.iter().filter(|crash| crash.group == *group);
            let on_probation = refused.on_probation();
            let suspected: BTreeSet<RequestAttribute> = of_group
                .flat_map(|crash| &crash.requests)
                .flat_map(|request| request.attributes.iter().copied())
                .chain(on_probation.map(|(_, refused, _)| refused.attribute))
                .collect();
            let answers = &mut answers.by_attribute;
            answers.retain(|attribute, _| suspected.contains(attribute));
        }
    }

    /// Marks crashes as explained, so that they count no more.
    pub fn mark_explained(&mut self, crashes: &[AttributeCrash]) {
        let is_marked = |crash: &AttributeCrash| {
            let mut marked = crashes.iter();
            marked.any(|marked| crash.is_same(&marked.backend, marked.at))
        };
        for crash in self.crashes.iter_mut().filter(|crash| is_marked(crash)) {
            crash.is_explained = true;
        }
    }

    /// Crashes that count at `now` in the order of their times, by group. Groups without a recent
    /// crash are left out, as nothing but a crash adds evidence.
    pub(super) fn counted_crashes(
        &self,
        now: Millis,
    ) -> BTreeMap<&BackendGroup, Vec<&AttributeCrash>> {
        let mut by_group: BTreeMap<&BackendGroup, Vec<&AttributeCrash>> = BTreeMap::new();
        let has_settled = |crash: &&AttributeCrash| {
            now.saturating_sub(crash.first_reported_at) >= CRASH_SETTLE_DURATION
        };
        let crashes = self.crashes.iter().filter(has_settled);
        for crash in crashes.filter(|crash| !crash.is_explained) {
            by_group.entry(&crash.group).or_default().push(crash);
        }
        let is_recent = |crash: &&AttributeCrash| now.saturating_sub(crash.at) < WATCH_DURATION;
        by_group.retain(|_, crashes| crashes.iter().any(is_recent));
        for crashes in by_group.values_mut() {
            crashes.sort_by_key(|crash| crash.at);
        }
        by_group
    }

    pub(super) fn answers_of(&self, group: &BackendGroup) -> GroupAnswers {
        self.answers.get(group).cloned().unwrap_or_default()
    }

    /// Requests and attributes that answers show to be sound: those that nodes `told` by their
    /// fingerprints, and the attributes whose probation ends. An attribute is told without the time
    /// and software version of its answer, and so only counts if its crashes are not known here.
    pub fn successes(&self, told: BTreeSet<RequestFingerprint>) -> BTreeSet<RequestFingerprint> {
        let told = told.into_iter();
        let told = told.filter(|fingerprint| self.refused.get(fingerprint).is_none());
        let on_probation = self.refused.on_probation();
        let cleared = on_probation
            .filter(|(_, refused, released_at)| self.is_sound(refused, *released_at))
            .map(|(fingerprint, _, _)| fingerprint);
        told.chain(cleared).collect()
    }

    /// Whether answers began after the release of an attribute wherever it crashed back ends, and
    /// none of these crashed under it since.
    fn is_sound(&self, refused: &RefusedAttribute, released_at: Millis) -> bool {
        let mut groups = refused.groups.iter();
        groups.all(|group| {
            let crashes = self.crashes.iter().filter(|crash| crash.group == *group);
            let crashes = crashes.filter(|crash| crash.has(&refused.attribute));
            let last_crash = crashes.map(|crash| crash.at).max();
            let since = last_crash.map_or(released_at, |at| at.max(released_at));
            let answers = self.answers.get(group);
            let answer = answers.and_then(|answers| answers.by_attribute.get(&refused.attribute));
            answer.is_some_and(|began_at| *began_at > since)
        })
    }

    /// Whether one more crash of a back end of `group` has an attribute on probation refused again.
    /// If its crashes are not known here, those of any group do.
    pub(super) fn is_on_probation_at(
        &self,
        fingerprint: &RequestFingerprint,
        group: &BackendGroup,
    ) -> bool {
        let refused = self.refused.get(fingerprint);
        refused.is_none_or(|refused| refused.groups.contains(group))
    }

    /// Attributes of recent crashes that nothing explains yet, and those on probation, of which
    /// nodes report answers.
    pub fn watched(&self, now: Millis) -> Vec<WatchedAttributes> {
        let mut counts: BTreeMap<(&BackendGroup, RequestAttribute), usize> = BTreeMap::new();
        let is_recent = |crash: &&AttributeCrash| now.saturating_sub(crash.at) < WATCH_DURATION;
        let unexplained = self.crashes.iter().filter(|crash| !crash.is_explained);
        for crash in unexplained.filter(is_recent) {
            let requests = crash.requests.iter();
            let attributes: BTreeSet<RequestAttribute> = requests
                .flat_map(|request| request.attributes.iter().copied())
                .collect();
            for attribute in attributes {
                *counts.entry((&crash.group, attribute)).or_default() += 1;
            }
        }
        let mut most_suspected: Vec<_> = counts.into_iter().collect();
        most_suspected.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
        most_suspected.truncate(MAX_WATCHED);
        let suspected = most_suspected.into_iter().map(|(suspected, _)| suspected);
        let on_probation = self.refused.on_probation();
        let on_probation = on_probation.flat_map(|(_, refused, _)| {
            let groups = refused.groups.iter();
            groups.map(|group| (group, refused.attribute))
        });
        let mut by_group: BTreeMap<&BackendGroup, Vec<RequestAttribute>> = BTreeMap::new();
        for (group, attribute) in suspected.chain(on_probation.take(MAX_WATCHED_ON_PROBATION)) {
            let attributes = by_group.entry(group).or_default();
            if !attributes.contains(&attribute) {
                attributes.push(attribute);
            }
        }
        let watched = by_group
            .into_iter()
            .map(|(group, attributes)| WatchedAttributes {
                group: group.clone(),
                attributes,
            });
        watched.collect()
    }

    /// What a relay forwards to the leader at `now`: the newest crashes, and the answers that it
    /// knows; none if nothing is due. The answers are repeated while attributes are watched, as the
    /// leader may be a new one.
    pub fn take_forwarded(&mut self, now: Millis) -> Option<AttributeReport> {
        let interval = match self.has_news {
            true => FORWARD_INTERVAL,
            false => REPEAT_INTERVAL,
        };
        let is_due = now.saturating_sub(self.forwarded_at) >= interval;
        let is_recent = |crash: &AttributeCrash| now.saturating_sub(crash.at) < WATCH_DURATION;
        let has_unexplained = |crash: &AttributeCrash| !crash.is_explained && is_recent(crash);
        let is_watching = self.crashes.iter().any(has_unexplained)
            || self.refused.on_probation().next().is_some();
        if !is_due || !is_watching {
            return None;
        }
        self.has_news = false;
        self.forwarded_at = now;
        Some(self.forwarded_report(now))
    }

    fn forwarded_report(&self, now: Millis) -> AttributeReport {
        let age = |at: Millis| now.saturating_sub(at);
        let crashes = self.crashes.iter().filter(|crash| !crash.is_explained);
        let crashes = crashes.filter(|crash| age(crash.first_reported_at) < FORWARD_DURATION);
        let crashes = crashes.flat_map(|crash| {
            let nodes = crash.reported_by.iter();
            nodes.take(1).map(|node| AttributeCrashReport {
                node: node.clone(),
                backend: crash.backend.clone(),
                group: crash.group.clone(),
                age_ms: age(crash.at),
                requests: crash.requests.iter().cloned().collect(),
            })
        });
        let answers = self.answers.iter().filter_map(|(group, answers)| {
            Some(AnsweredAttributes {
                group: group.clone(),
                age_ms: age(answers.newest?),
                attributes: answers
                    .by_attribute
                    .iter()
                    .map(|(attribute, began_at)| (*attribute, age(*began_at)))
                    .collect(),
            })
        });
        AttributeReport {
            crashes: crashes.collect(),
            answers: answers.collect(),
            is_forwarded: true,
        }
    }
}
