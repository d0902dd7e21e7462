//! Judgement of attributes that requests share, case by case.

use rstest::rstest;
use silversail_model::{ContentDigest, RequestAttribute, RequestFingerprint, TenantScope};
use silversail_quarantine::{
    AnsweredAttributes, AttributeCrashReport, AttributeEvidence, AttributeJudge, AttributeReport,
    AttributeReporter, AttributeVerdict, BackendGroup, InterruptedRequest, QuarantineList,
};
use std::collections::BTreeSet;

type Millis = u64;

const GUILTY: RequestAttribute = RequestAttribute::PromptPart(0xbad);
const POPULAR: RequestAttribute = RequestAttribute::PromptPart(0xa1);
const OTHER: RequestAttribute = RequestAttribute::PromptPart(0xc1);

fn group(version: &str) -> BackendGroup {
    BackendGroup {
        service: "pool".into(),
        version: version.into(),
    }
}

/// Evidence of one service, told at the time at which it happened.
struct Case {
    /// Software version of the back ends that crash.
    version: String,
    evidence: AttributeEvidence,
    judge: AttributeJudge,
    list: QuarantineList,
    requests: u64,
}

impl Default for Case {
    fn default() -> Self {
        Self {
            version: "v1".to_owned(),
            evidence: AttributeEvidence::default(),
            judge: AttributeJudge::default(),
            list: QuarantineList::default(),
            requests: 0,
        }
    }
}

impl Case {
    /// The guilty part was refused for its crashes of three back ends of `v1`, and is on probation
    /// since 9,000 ms.
    fn on_probation() -> Self {
        let mut case = Self::default();
        for number in 0..3 {
            let at = 1_000 * (number + 1);
            case.crash(at, &format!("e{number}"), &[("t1", &[GUILTY])]);
            case.answer(at + 300, &[OTHER]);
        }
        assert_eq!(case.refused(3_400), [(GUILTY, only("t1"))]);
        assert_eq!(case.refused(3_500), []);
        case.list.watched = std::mem::take(&mut case.list.refused);
        case.list.revision += 1;
        assert_eq!(case.refused(9_000), []);
        case
    }

    fn crash(&mut self, at: Millis, backend: &str, requests: &[(&str, &[RequestAttribute])]) {
        let interrupted = requests.iter().map(|(tenant, attributes)| {
            self.requests += 1;
            let body = self.requests.to_le_bytes();
            InterruptedRequest {
                fingerprint: RequestFingerprint::of(None, &ContentDigest::of("/x", &body)),
                tenant: Some((*tenant).to_owned()),
                attributes: attributes.to_vec(),
            }
        });
        let report = AttributeReport {
            crashes: vec![AttributeCrashReport {
                node: "n1".into(),
                backend: backend.into(),
                group: group(&self.version),
                age_ms: 0,
                requests: interrupted.collect(),
            }],
            ..AttributeReport::default()
        };
        self.evidence.record_report(&report, at);
    }

    fn answer_at(&mut self, at: Millis, version: &str, attributes: &[RequestAttribute]) {
        let report = AttributeReport {
            answers: vec![AnsweredAttributes {
                group: group(version),
                age_ms: 0,
                attributes: attributes.iter().map(|attribute| (*attribute, 0)).collect(),
            }],
            ..AttributeReport::default()
        };
        self.evidence.record_report(&report, at);
    }

    fn answer(&mut self, at: Millis, attributes: &[RequestAttribute]) {
        self.answer_at(at, "v1", attributes);
    }

    fn judge(&mut self, now: Millis) -> Vec<AttributeVerdict> {
        self.evidence.update(&self.list, now);
        self.judge.judge(&self.evidence, &self.list, now)
    }

    fn refused(&mut self, now: Millis) -> Vec<(RequestAttribute, TenantScope)> {
        let verdicts = self.judge(now);
        for verdict in &verdicts {
            self.judge.record_refused(verdict);
            self.list.refused.insert(verdict.fingerprint());
            self.list.revision += 1;
        }
        let refused = verdicts.into_iter();
        refused
            .map(|verdict| (verdict.attribute, verdict.tenants))
            .collect()
    }
}

fn only(tenant: &str) -> TenantScope {
    TenantScope::Only(Some(tenant.into()))
}

#[test]
fn a_part_at_three_crashes_is_refused_and_the_popular_part_beside_it_is_not() {
    let mut case = Case::default();
    case.answer(500, &[POPULAR]);
    for (number, at) in [1_000, 2_000, 3_000].into_iter().enumerate() {
        let prompts: [(&str, &[RequestAttribute]); 2] =
            [("t1", &[POPULAR, GUILTY]), ("t1", &[POPULAR, OTHER])];
        case.crash(at, &format!("e{number}"), &prompts);
        let refused = case.refused(at + 250);
        match number {
            2 => assert_eq!(refused, [(GUILTY, only("t1"))]),
            _ => assert_eq!(refused, [], "after crash {number}"),
        }
        case.answer(at + 300, &[POPULAR, OTHER]);
    }
    // What it explains counts against nothing else.
    assert_eq!(case.refused(9_000), []);
}

#[test]
fn an_answer_before_the_crashes_does_not_protect_a_part() {
    let mut case = Case::default();
    case.answer(900, &[GUILTY]);
    for number in 0..5 {
        case.crash(
            1_000 * (number + 1),
            &format!("e{number}"),
            &[("t1", &[GUILTY])],
        );
        case.answer(1_000 * (number + 1) + 300, &[OTHER]);
    }
    let verdicts = case.judge(5_400);
    assert_eq!(verdicts.len(), 1, "{verdicts:?}");
    assert_eq!(verdicts[0].attribute, GUILTY);
    assert!(verdicts[0].refused_for_ms.is_some(), "a trial comes later");
}

#[test]
fn answers_at_another_software_version_clear_nothing() {
    let mut case = Case::default();
    for number in 0..3 {
        let at = 1_000 * (number + 1);
        case.crash(at, &format!("e{number}"), &[("t1", &[GUILTY])]);
        case.answer(at + 300, &[OTHER]);
        case.answer_at(at + 300, "v2", &[GUILTY]);
    }
    assert_eq!(case.refused(3_400), [(GUILTY, only("t1"))]);
}

#[test]
fn back_ends_that_are_lost_together_count_by_share() {
    let mut case = Case::default();
    for moment in 0..4 {
        let at = 5_000 * (moment + 1);
        for engine in 0..6 {
            let attributes: &[RequestAttribute] = if engine == 0 { &[OTHER] } else { &[POPULAR] };
            case.crash(
                at + engine,
                &format!("e{moment}-{engine}"),
                &[("t1", attributes)],
            );
        }
        case.answer(at + 1_000, &[POPULAR]);
    }
    // In flight at one of six each time.
    assert_eq!(case.refused(25_000), []);
}

#[test]
fn parts_that_never_come_without_each_other_are_refused_together() {
    let mut case = Case::default();
    for number in 0..3 {
        let at = 1_000 * (number + 1);
        case.crash(at, &format!("e{number}"), &[("t1", &[GUILTY, OTHER])]);
        case.answer(at + 300, &[POPULAR]);
    }
    let refused = case.refused(3_400);
    assert_eq!(refused.len(), 2, "{refused:?}");
    assert!(refused.contains(&(GUILTY, only("t1"))) && refused.contains(&(OTHER, only("t1"))));
}

/// A tenant that sends another one's part together with what crashes can't get it refused there.
#[test]
fn a_tenants_crashes_refuse_nothing_of_another_tenant() {
    let mut case = Case::default();
    for number in 0..3 {
        let at = 1_000 * (number + 1);
        case.crash(
            at,
            &format!("e{number}"),
            &[("attacker", &[POPULAR, GUILTY])],
        );
        case.answer(at + 300, &[OTHER]);
    }
    let refused = case.refused(3_400);
    assert!(
        refused
            .iter()
            .all(|(_, tenants)| *tenants == only("attacker")),
        "{refused:?}"
    );
    let of_victim = RequestFingerprint::of_attribute("pool", &only("victim"), &POPULAR);
    let of_all = RequestFingerprint::of_attribute("pool", &TenantScope::All, &POPULAR);
    assert!(!case.list.refused.contains(&of_victim));
    assert!(!case.list.refused.contains(&of_all));
}

#[rstest]
#[case::together(&["t1", "t2", "t1"], 3_400)]
#[case::one_after_the_other(&["t1", "t1", "t1", "t2", "t2", "t2"], 6_400)]
fn crashes_of_two_tenants_refuse_a_part_for_all(#[case] tenants: &[&str], #[case] until: Millis) {
    let mut case = Case::default();
    let mut refused = Vec::new();
    for (number, tenant) in tenants.iter().enumerate() {
        let at = 1_000 * (number as u64 + 1);
        case.crash(at, &format!("e{number}"), &[(tenant, &[GUILTY])]);
        case.answer(at + 300, &[OTHER]);
        refused.extend(case.refused(at + 400));
    }
    refused.extend(case.refused(until));
    assert_eq!(
        refused.last(),
        Some(&(GUILTY, TenantScope::All)),
        "{refused:?}"
    );
}

/// Guards against a refusal for all tenants that rests on one tenant's crashes alone.
#[rstest]
#[case::the_same_tenant("t1", only("t1"))]
#[case::another_tenant("t2", TenantScope::All)]
fn a_lifted_part_that_crashes_again_is_refused_for_the_tenants_whose_requests_crashed(
    #[case] tenant: &str,
    #[case] expected: TenantScope,
) {
    let mut case = Case::default();
    for (number, tenant) in ["t1", "t1", "t1", tenant, tenant, tenant]
        .into_iter()
        .enumerate()
    {
        if number == 3 {
            assert_eq!(case.refused(3_500), []);
            case.list.refused.clear();
            case.list.revision += 1;
        }
        let at = 1_000 * (number as u64 + 1);
        case.crash(at, &format!("e{number}"), &[(tenant, &[GUILTY])]);
        case.answer(at + 300, &[OTHER]);
        let refused = case.refused(at + 400);
        match number {
            2 => assert_eq!(refused, [(GUILTY, only("t1"))]),
            5 => assert_eq!(refused, [(GUILTY, expected.clone())]),
            _ => assert_eq!(refused, [], "after crash {number}"),
        }
    }
}

#[test]
fn without_any_answer_since_more_crashes_are_required() {
    let mut case = Case::default();
    for number in 0..6 {
        let at = 1_000 * (number + 1);
        case.crash(at, &format!("e{number}"), &[("t1", &[GUILTY])]);
        let expected = usize::from(number == 5);
        assert_eq!(
            case.refused(at + 400).len(),
            expected,
            "after crash {number}"
        );
    }
}

#[test]
fn a_part_on_probation_is_refused_again_after_one_crash() {
    let mut case = Case::default();
    let fingerprint = RequestFingerprint::of_attribute("pool", &only("t1"), &GUILTY);
    case.list.watched.insert(fingerprint);
    case.crash(1_000, "e1", &[("t1", &[POPULAR, GUILTY])]);
    assert_eq!(case.refused(1_300), [(GUILTY, only("t1"))]);
}

/// Guards against a refusal for a version at which the attribute crashed nothing.
#[rstest]
#[case::the_same_version("v1", 1)]
#[case::another_version("v2", 0)]
fn one_crash_on_probation_counts_at_the_version_of_the_verdict(
    #[case] version: &str,
    #[case] expected: usize,
) {
    let mut case = Case::on_probation();
    case.version = version.to_owned();
    case.crash(10_000, "e9", &[("t1", &[GUILTY])]);
    assert_eq!(case.refused(10_300).len(), expected);
}

/// Guards against an answer that says nothing of a crash after it.
#[test]
fn an_answer_before_a_crash_on_probation_does_not_end_it() {
    let mut case = Case::on_probation();
    case.answer(9_500, &[GUILTY]);
    case.crash(10_000, "e9", &[("t1", &[GUILTY])]);
    assert_eq!(case.evidence.successes(BTreeSet::new()), BTreeSet::new());
    assert_eq!(case.refused(10_300), [(GUILTY, only("t1"))]);
}

#[test]
fn a_node_reports_the_newest_answers_of_watched_attributes() {
    let mut reporter = AttributeReporter::default();
    reporter.record_answer(&group("v1"), [POPULAR, OTHER], 1_000);
    reporter.record_answer(&group("v1"), [POPULAR], 1_500);
    assert!(!reporter.is_answer_report_due(2_000), "nothing is watched");
    let mut case = Case::default();
    case.crash(1_800, "e1", &[("t1", &[POPULAR, GUILTY])]);
    reporter.set_watched(case.evidence.watched(1_900), 1_900);
    assert!(reporter.is_answer_report_due(2_000));
    let report = reporter.report("n1", 2_000);
    assert_eq!(report.answers.len(), 1);
    assert_eq!(report.answers[0].age_ms, 500);
    assert_eq!(report.answers[0].attributes, [(POPULAR, 500)]);
    assert!(!reporter.is_answer_report_due(2_500), "no news");
    assert_eq!(
        reporter.report("n1", 6_900).answers,
        [],
        "no relay repeats it"
    );
}

/// Answers are known only once they are whole or have gone on, and were reported.
#[test]
fn crashes_in_quick_succession_wait_for_answers_that_began_after_them() {
    let mut case = Case::default();
    for (number, at) in [1_000, 1_400, 1_800].into_iter().enumerate() {
        case.crash(at, &format!("e{number}"), &[("t1", &[POPULAR])]);
        case.answer(at + 100, &[OTHER]);
    }
    assert_eq!(case.refused(2_100), []);
    case.answer(2_900, &[POPULAR]);
    assert_eq!(case.refused(3_100), []);
}
