//! Share of requests that nodes send to a candidate, also with restarts and delayed directives.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use silversail_rollout::{Directive, ExposureBudget};

fn canary_directive(canary_permille: u16) -> Directive {
    Directive {
        step: 1,
        canary_permille,
        ..Directive::default()
    }
}

/// Number of requests sent to both versions, and to the candidate.
#[derive(Default)]
struct SentRequests {
    total: u64,
    to_candidate: u64,
}

fn send(
    budget: &mut ExposureBudget,
    directive: &Directive,
    sampling_key: u64,
    sent: &mut SentRequests,
) {
    let is_candidate = budget.may_send_to_candidate(directive, "route", sampling_key);
    budget.record_sent(is_candidate);
    sent.total += 1;
    sent.to_candidate += u64::from(is_candidate);
}

#[test]
fn a_process_never_exceeds_the_share_by_a_whole_request() {
    for seed in 0..50 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let permille = random.gen_range(1..=500);
        let mut budget = ExposureBudget::new();
        let mut sent = SentRequests::default();
        for _ in 0..5_000 {
            send(
                &mut budget,
                &canary_directive(permille),
                random.gen(),
                &mut sent,
            );
            let allowed_requests = f64::from(permille) / 1_000.0 * sent.total as f64;
            assert!(
                (sent.to_candidate as f64) < allowed_requests + 1.0,
                "seed {seed}"
            );
        }
    }
}

/// Many nodes with few requests each, some of which lose their counts or apply the directive late.
#[rstest]
#[case::no_restarts(0.0)]
#[case::many_restarts(0.2)]
#[case::a_restart_after_each_request(1.0)]
fn the_sum_keeps_the_share_despite_restarts_and_delayed_directives(
    #[case] restart_probability: f64,
) {
    for seed in 0..200 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut nodes: Vec<ExposureBudget> = (0..94).map(|_| ExposureBudget::new()).collect();
        let applies_from_request: Vec<u64> = (0..94).map(|_| random.gen_range(0..3_000)).collect();
        let mut sent = SentRequests::default();
        for request in 0..2_000 {
            let node = random.gen_range(0..nodes.len());
            let permille = if applies_from_request[node] <= request {
                40
            } else {
                0
            };
            let sampling_key = random.gen();
            send(
                &mut nodes[node],
                &canary_directive(permille),
                sampling_key,
                &mut sent,
            );
            if random.gen_bool(restart_probability) {
                nodes[node] = ExposureBudget::new();
            }
        }
        let allowed_requests = 0.04 * sent.total as f64;
        // Five standard deviations of the sum if each request were drawn independently.
        let random_deviation = 5.0 * allowed_requests.sqrt();
        assert!(
            (sent.to_candidate as f64) < allowed_requests + random_deviation,
            "seed {seed}"
        );
    }
}

#[test]
fn few_requests_on_many_nodes_reach_the_candidate() {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let mut nodes: Vec<ExposureBudget> = (0..94).map(|_| ExposureBudget::new()).collect();
    let mut sent = SentRequests::default();
    for _ in 0..2_000 {
        let node = random.gen_range(0..nodes.len());
        send(
            &mut nodes[node],
            &canary_directive(40),
            random.gen(),
            &mut sent,
        );
    }
    assert!(sent.to_candidate >= 60, "{} of 80", sent.to_candidate);
}

#[test]
fn catching_up_with_an_increased_share_is_limited() {
    let mut random = ChaCha8Rng::seed_from_u64(2);
    let mut budget = ExposureBudget::new();
    let mut before = SentRequests::default();
    for _ in 0..1_000 {
        send(&mut budget, &canary_directive(0), random.gen(), &mut before);
    }
    let mut after = SentRequests::default();
    for _ in 0..200 {
        send(
            &mut budget,
            &canary_directive(100),
            random.gen(),
            &mut after,
        );
    }
    assert_eq!(before.to_candidate, 0);
    assert!(after.to_candidate <= 60, "{} of 200", after.to_candidate);
}

#[test]
fn a_moved_route_always_goes_to_the_candidate_and_others_pause() {
    let mut budget = ExposureBudget::new();
    let mut directive = canary_directive(100);
    directive.moved_routes.insert("moved".into());
    for sampling_key in 0..100 {
        assert!(budget.may_send_to_candidate(&directive, "moved", sampling_key));
        budget.record_sent(true);
        assert!(!budget.may_send_to_candidate(&directive, "other", sampling_key));
    }
}

#[rstest]
#[case(0, 0)]
#[case(1_000, 500)]
fn a_share_of_zero_sends_nothing_and_a_full_share_everything(
    #[case] permille: u16,
    #[case] sent: usize,
) {
    let mut budget = ExposureBudget::new();
    let to_candidate = (0..500)
        .filter(|sampling_key| {
            let is_candidate =
                budget.may_send_to_candidate(&canary_directive(permille), "route", *sampling_key);
            budget.record_sent(is_candidate);
            is_candidate
        })
        .count();
    assert_eq!(to_candidate, sent);
}
