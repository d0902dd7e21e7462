//! Which attributes crash back ends.
//!
//! Each request with such an attribute crashes the back end that begins to answer it, so that none
//! of them is ever answered. An attribute that sound requests share is interrupted as well, even at
//! each crash, but is answered at other back ends. So crashes count against an attribute only as
//! long as no answer to a request with it began after them. Back ends that are lost together count
//! by the share at which the attribute was in flight: a rack that is lost is one piece of evidence.

use super::evidence::{AttributeCrash, AttributeEvidence, GroupAnswers};
use super::{attribute_fingerprints, BackendGroup};
use crate::list::QuarantineList;
use silversail_model::{RequestAttribute, RequestFingerprint, TenantScope};
use std::collections::{BTreeMap, BTreeSet};

/// Milliseconds of the voter's own monotonic clock.
type Millis = u64;

/// Time within which back ends count as lost together, in milliseconds.
const MOMENT: Millis = 300;
/// Number of back ends lost in one moment above which their crashes count by share only, as a rack
/// may have been lost.
const MAX_SINGLE_CRASHES: usize = 4;
/// Maximum number of crashes of one moment that count one by one.
const MAX_CRASHES_OF_MOMENT: u64 = 2;
/// Evidence of a moment at which an attribute was in flight at all back ends that were lost.
const FULL_MOMENT: u64 = 1_000;
/// Evidence that is required against an attribute that was never answered.
const REQUIRED_UNANSWERED: RequiredEvidence = RequiredEvidence {
    full_moments: 3,
    crashes: 5,
    moments: 3,
};
/// Evidence that is required against an attribute that was answered before the crashes.
const REQUIRED_ANSWERED_BEFORE: RequiredEvidence = RequiredEvidence {
    full_moments: 5,
    crashes: 12,
    moments: 6,
};
/// Crashes without which no evidence is sufficient.
const MIN_CRASHES: usize = 3;
/// Further moments that are required if no other request was answered since, as all back ends may
/// have been lost.
const MOMENTS_WITHOUT_COMPARISON: u64 = 3;
/// Minimum age of the first counted crash, in milliseconds: an answer that began after it has gone
/// on for long enough by then and was reported.
const MIN_EVIDENCE_AGE: Millis = 2_000;

/// Time for which an attribute that was answered before is refused at first, in milliseconds.
const FIRST_REFUSAL_MS: u64 = 5 * 60_000;
/// Factor by which each further verdict on it lasts longer.
const REFUSAL_GROWTH: u64 = 4;
/// Number of verdicts after which that time grows no more: more than five hours.
const MAX_TRIALS: u32 = 3;

/// An attribute that is to be refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttributeVerdict {
    /// Group of the back ends that crashed.
    pub group: BackendGroup,
    /// Attribute that crashes them.
    pub attribute: RequestAttribute,
    /// Tenants whose requests are refused.
    pub tenants: TenantScope,
    /// Time for which the attribute is refused at first, in milliseconds; none for as long as a
    /// request. After that, one crash more has it refused again.
    pub refused_for_ms: Option<u64>,
    /// Crashes that decided it.
    pub crashes: Vec<AttributeCrash>,
    /// Other attributes of these crashes that answers cleared.
    pub cleared: Vec<RequestAttribute>,
}

impl AttributeVerdict {
    /// Fingerprint by which nodes recognize what is refused.
    pub fn fingerprint(&self) -> RequestFingerprint {
        RequestFingerprint::of_attribute(&self.group.service, &self.tenants, &self.attribute)
    }
}

/// Tenants of requests; none stands for those of routes that need no API key.
type Tenants = BTreeSet<Option<String>>;

/// Earlier verdicts on one attribute of a service.
#[derive(Debug, Default)]
struct EarlierVerdicts {
    count: u32,
    /// Tenants whose interrupted requests the verdicts rested on.
    tenants: Tenants,
}

/// Decides on the evidence of the leader. Remembers what was refused, as evidence of another tenant
/// makes a verdict on one apply to all.
#[derive(Debug, Default)]
pub struct AttributeJudge {
    /// Verdicts on each attribute of a service.
    verdicts: BTreeMap<(String, RequestAttribute), EarlierVerdicts>,
}

/// Evidence against one attribute.
struct Candidate<'a> {
    attribute: RequestAttribute,
    was_answered: bool,
    crashes: Vec<&'a AttributeCrash>,
}

impl Candidate<'_> {
    /// Number of interrupted requests with the attribute.
    fn interrupted_requests(&self) -> usize {
        let requests = self.crashes.iter().flat_map(|crash| &crash.requests);
        let has_attribute = |attributes: &[RequestAttribute]| attributes.contains(&self.attribute);
        requests
            .filter(|request| has_attribute(&request.attributes))
            .count()
    }

    /// Whether the requests with both attributes are the same at each of the same crashes.
    fn is_inseparable_from(&self, other: &Candidate) -> bool {
        let crashes_of = |candidate: &Candidate| -> Vec<(String, Millis)> {
            let crashes = candidate.crashes.iter();
            crashes
                .map(|crash| (crash.backend.clone(), crash.at))
                .collect()
        };
        let mut requests = self.crashes.iter().flat_map(|crash| &crash.requests);
        crashes_of(self) == crashes_of(other)
            && requests.all(|request| {
                request.attributes.contains(&self.attribute)
                    == request.attributes.contains(&other.attribute)
            })
    }
}

impl AttributeJudge {
    /// Remembers that a verdict was committed.
    pub fn record_refused(&mut self, verdict: &AttributeVerdict) {
        let service = verdict.group.service.clone();
        let verdicts = self.verdicts.entry((service, verdict.attribute));
        let verdicts = verdicts.or_default();
        verdicts.count += 1;
        let tenants = tenants_of(&verdict.crashes, &verdict.attribute);
        verdicts.tenants.extend(tenants);
    }

    fn verdicts_on(
        &self,
        group: &BackendGroup,
        attribute: RequestAttribute,
    ) -> Option<&EarlierVerdicts> {
        let known = (group.service.clone(), attribute);
        self.verdicts.get(&known)
    }

    /// Time for which an attribute that was answered before is refused. It may be sound, and can't
    /// show that while it is refused; each time that it crashes a back end again, it is refused for
    /// longer.
    fn trial_refusal(&self, group: &BackendGroup, attribute: RequestAttribute) -> u64 {
        let earlier = self.verdicts_on(group, attribute);
        let count = earlier.map_or(0, |verdicts| verdicts.count);
        FIRST_REFUSAL_MS * REFUSAL_GROWTH.pow(count.min(MAX_TRIALS))
    }

    /// Attributes that are to be refused at `now`, in addition to those on `list`.
    pub fn judge(
        &self,
        evidence: &AttributeEvidence,
        list: &QuarantineList,
        now: Millis,
    ) -> Vec<AttributeVerdict> {
        let mut verdicts = Vec::new();
        for (group, crashes) in evidence.counted_crashes(now) {
            let answers = evidence.answers_of(group);
            verdicts.extend(self.on_probation(group, &crashes, evidence, list));
            let mut unexplained = crashes;
            loop {
                let found = self.judge_group(group, &unexplained, &answers, now);
                if found.is_empty() {
                    break;
                }
                unexplained.retain(|crash| {
                    let mut found = found.iter();
                    !found.any(|verdict| crash.has(&verdict.attribute))
                });
                verdicts.extend(found);
            }
        }
        verdicts
    }

    /// The attribute of a group that explains the crashes best, with those that can't be told apart
    /// from it.
    fn judge_group(
        &self,
        group: &BackendGroup,
        crashes: &[&AttributeCrash],
        answers: &GroupAnswers,
        now: Millis,
    ) -> Vec<AttributeVerdict> {
        let candidates = candidates(crashes, answers);
        let is_sufficient =
            |candidate: &&Candidate| is_sufficient(candidate, crashes, answers, now);
        let sufficient: Vec<&Candidate> = candidates.iter().filter(is_sufficient).collect();
        let best = sufficient.iter().min_by_key(|candidate| {
            let crash_count = std::cmp::Reverse(candidate.crashes.len());
            let requests = candidate.interrupted_requests();
            (
                candidate.was_answered,
                crash_count,
                requests,
                candidate.attribute,
            )
        });
        let Some(best) = best else {
            return Vec::new();
        };
        let inseparable = sufficient.iter().filter(|candidate| {
            candidate.was_answered == best.was_answered && candidate.is_inseparable_from(best)
        });
        let verdicts = inseparable.map(|candidate| self.verdict(group, candidate, answers));
        verdicts.collect()
    }

    fn verdict(
        &self,
        group: &BackendGroup,
        candidate: &Candidate,
        answers: &GroupAnswers,
    ) -> AttributeVerdict {
        AttributeVerdict {
            group: group.clone(),
            attribute: candidate.attribute,
            tenants: self.refused_tenants(group, candidate),
            refused_for_ms: candidate
                .was_answered
                .then(|| self.trial_refusal(group, candidate.attribute)),
            crashes: candidate
                .crashes
                .iter()
                .map(|crash| (*crash).clone())
                .collect(),
            cleared: cleared_attributes(&candidate.crashes, answers),
        }
    }

    /// The tenant whose requests crashed back ends, by this evidence and that of earlier verdicts;
    /// all tenants if there were several.
    fn refused_tenants(&self, group: &BackendGroup, candidate: &Candidate) -> TenantScope {
        let crashes = candidate.crashes.iter().copied();
        let mut tenants = tenants_of(crashes, &candidate.attribute);
        if let Some(earlier) = self.verdicts_on(group, candidate.attribute) {
            tenants.extend(earlier.tenants.iter().cloned());
        }
        match (tenants.pop_first(), tenants.is_empty()) {
            (Some(only), true) => TenantScope::Only(only),
            _ => TenantScope::All,
        }
    }

    /// Attributes that were refused before and are released: one crash more has them refused again.
    fn on_probation(
        &self,
        group: &BackendGroup,
        crashes: &[&AttributeCrash],
        evidence: &AttributeEvidence,
        list: &QuarantineList,
    ) -> Vec<AttributeVerdict> {
        let is_on_probation = |fingerprint: &RequestFingerprint| {
            list.watched.contains(fingerprint) && evidence.is_on_probation_at(fingerprint, group)
        };
        let mut verdicts: BTreeMap<RequestFingerprint, AttributeVerdict> = BTreeMap::new();
        for crash in crashes {
            for request in &crash.requests {
                let attributes = request.attributes.iter().copied();
                let tenant = request.tenant.as_deref();
                let own = TenantScope::Only(request.tenant.clone());
                for (attribute, fingerprint) in
                    attribute_fingerprints(&group.service, tenant, attributes)
                {
                    if !is_on_probation(&fingerprint) {
                        continue;
                    }
                    let of_tenant =
                        RequestFingerprint::of_attribute(&group.service, &own, &attribute);
                    let tenants = match fingerprint == of_tenant {
                        true => own.clone(),
                        false => TenantScope::All,
                    };
                    verdicts.entry(fingerprint).or_insert(AttributeVerdict {
                        group: group.clone(),
                        attribute,
                        tenants,
                        refused_for_ms: Some(self.trial_refusal(group, attribute)),
                        crashes: vec![(*crash).clone()],
                        cleared: Vec::new(),
                    });
                }
            }
        }
        verdicts.into_values().collect()
    }
}

/// Attributes of the crashes, each with the crashes that count against it.
fn candidates<'a>(crashes: &[&'a AttributeCrash], answers: &GroupAnswers) -> Vec<Candidate<'a>> {
    let mut by_attribute: BTreeMap<RequestAttribute, Candidate> = BTreeMap::new();
    for crash in crashes {
        for attribute in attributes_of(crash) {
            let answered_at = answers.by_attribute.get(&attribute);
            if answered_at.is_some_and(|began_at| *began_at > crash.at) {
                continue;
            }
            let candidate = by_attribute.entry(attribute).or_insert(Candidate {
                attribute,
                was_answered: answered_at.is_some(),
                crashes: Vec::new(),
            });
            candidate.crashes.push(crash);
        }
    }
    by_attribute.into_values().collect()
}

fn attributes_of(crash: &AttributeCrash) -> BTreeSet<RequestAttribute> {
    let requests = crash.requests.iter();
    requests
        .flat_map(|request| request.attributes.iter().copied())
        .collect()
}

fn is_sufficient(
    candidate: &Candidate,
    crashes: &[&AttributeCrash],
    answers: &GroupAnswers,
    now: Millis,
) -> bool {
    let Some(first) = candidate.crashes.first() else {
        return false;
    };
    if candidate.crashes.len() < MIN_CRASHES {
        return false;
    }
    let required = match candidate.was_answered {
        true => REQUIRED_ANSWERED_BEFORE,
        false => REQUIRED_UNANSWERED,
    };
    let has_comparison = answers.newest.is_some_and(|began_at| began_at > first.at);
    let further_moments = match has_comparison {
        true => 0,
        false => MOMENTS_WITHOUT_COMPARISON,
    };
    let is_old_enough = now.saturating_sub(first.at) >= MIN_EVIDENCE_AGE;
    is_old_enough && required.is_met(&evidence_of_moments(candidate, crashes), further_moments)
}

/// Evidence that is required before an attribute is refused: enough moments at which it was in
/// flight wherever back ends were lost, or enough crashes at several moments, as several guilty
/// attributes crash back ends in the same moments.
struct RequiredEvidence {
    full_moments: u64,
    crashes: u64,
    moments: u64,
}

impl RequiredEvidence {
    fn is_met(&self, evidence: &MomentEvidence, further_moments: u64) -> bool {
        let by_weight = evidence.weight >= (self.full_moments + further_moments) * FULL_MOMENT;
        let by_crashes =
            evidence.crashes >= self.crashes && evidence.moments >= self.moments + further_moments;
        by_weight || by_crashes
    }
}

/// Evidence against an attribute, by moments.
#[derive(Default)]
struct MomentEvidence {
    /// Sum over the moments of the share of the lost back ends at which the attribute was in flight.
    weight: u64,
    /// Crashes at which it was in flight, of moments without many others.
    crashes: u64,
    /// Moments of these crashes.
    moments: u64,
}

fn evidence_of_moments(candidate: &Candidate, crashes: &[&AttributeCrash]) -> MomentEvidence {
    let counts = |crash: &AttributeCrash| {
        let mut counted = candidate.crashes.iter();
        counted.any(|counted| std::ptr::eq(*counted, crash))
    };
    let mut evidence = MomentEvidence::default();
    for moment in moments(crashes) {
        let counted = moment.iter().filter(|crash| counts(crash)).count() as u64;
        evidence.weight += FULL_MOMENT * counted / moment.len() as u64;
        if counted > 0 && moment.len() <= MAX_SINGLE_CRASHES {
            evidence.crashes += counted.min(MAX_CRASHES_OF_MOMENT);
            evidence.moments += 1;
        }
    }
    evidence
}

/// Crashes, in the order of their times, by moment.
fn moments<'a>(crashes: &[&'a AttributeCrash]) -> Vec<Vec<&'a AttributeCrash>> {
    let mut moments: Vec<Vec<&AttributeCrash>> = Vec::new();
    for crash in crashes {
        match moments.last_mut() {
            Some(moment) if crash.at - moment[0].at < MOMENT => moment.push(crash),
            _ => moments.push(vec![crash]),
        }
    }
    moments
}

fn tenants_of<'a>(
    crashes: impl IntoIterator<Item = &'a AttributeCrash>,
    attribute: &RequestAttribute,
) -> Tenants {
    let requests = crashes.into_iter().flat_map(|crash| &crash.requests);
    let with_attribute = requests.filter(|request| request.attributes.contains(attribute));
    with_attribute
        .map(|request| request.tenant.clone())
        .collect()
}

fn cleared_attributes(
    crashes: &[&AttributeCrash],
    answers: &GroupAnswers,
) -> Vec<RequestAttribute> {
    let attributes: BTreeSet<RequestAttribute> = crashes
        .iter()
        .flat_map(|crash| attributes_of(crash))
        .collect();
    let is_cleared = |attribute: &RequestAttribute| {
        let answered_at = answers.by_attribute.get(attribute);
        crashes
            .first()
            .is_some_and(|first| answered_at.is_some_and(|began_at| *began_at > first.at))
    };
    attributes.into_iter().filter(is_cleared).collect()
}
