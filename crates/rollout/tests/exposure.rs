//! What nodes send to a candidate, whatever happens to them.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use silversail_rollout::{Directive, ExposureBudget};

fn share(canary_permille: u16) -> Directive {
    Directive {
        step: 1,
        canary_permille,
        ..Directive::default()
    }
}

/// Requests sent in all and to the candidate.
#[derive(Default)]
struct Sent {
    in_all: u64,
    to_candidate: u64,
}

fn send(budget: &mut ExposureBudget, directive: &Directive, lot: u64, sent: &mut Sent) {
    let is_candidate = budget.may_send_to_candidate(directive, "route", lot);
    budget.record_sent(is_candidate);
    sent.in_all += 1;
    sent.to_candidate += u64::from(is_candidate);
}

#[test]
fn a_process_is_never_ahead_by_a_whole_request() {
    for seed in 0..50 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let permille = random.gen_range(1..=500);
        let mut budget = ExposureBudget::new();
        let mut sent = Sent::default();
        for _ in 0..5_000 {
            send(&mut budget, &share(permille), random.gen(), &mut sent);
            let allowed = f64::from(permille) / 1_000.0 * sent.in_all as f64;
            assert!((sent.to_candidate as f64) < allowed + 1.0, "seed {seed}");
        }
    }
}

/// Many nodes with few requests each, of which some lose their counts, some obey late or never.
#[rstest]
#[case::all_live_on(0.0)]
#[case::many_restarts(0.2)]
#[case::a_restart_after_each_request(1.0)]
fn the_sum_keeps_the_share_whatever_restarts_or_obeys_late(#[case] restarts: f64) {
    for seed in 0..200 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut nodes: Vec<ExposureBudget> = (0..94).map(|_| ExposureBudget::new()).collect();
        let obeys_from: Vec<u64> = (0..94).map(|_| random.gen_range(0..3_000)).collect();
        let mut sent = Sent::default();
        for request in 0..2_000 {
            let node = random.gen_range(0..nodes.len());
            let permille = if obeys_from[node] <= request { 40 } else { 0 };
            let lot = random.gen();
            send(&mut nodes[node], &share(permille), lot, &mut sent);
            if random.gen_bool(restarts) {
                nodes[node] = ExposureBudget::new();
            }
        }
        let allowed = 0.04 * sent.in_all as f64;
        // Five deviations of the sum with a request each drawn for itself.
        let chance = 5.0 * allowed.sqrt();
        assert!((sent.to_candidate as f64) < allowed + chance, "seed {seed}");
    }
}

#[test]
fn few_requests_on_many_nodes_still_reach_the_candidate() {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let mut nodes: Vec<ExposureBudget> = (0..94).map(|_| ExposureBudget::new()).collect();
    let mut sent = Sent::default();
    for _ in 0..2_000 {
        let node = random.gen_range(0..nodes.len());
        send(&mut nodes[node], &share(40), random.gen(), &mut sent);
    }
    assert!(sent.to_candidate >= 60, "{} of 80", sent.to_candidate);
}

#[test]
fn a_raised_share_is_caught_up_with_slowly() {
    let mut random = ChaCha8Rng::seed_from_u64(2);
    let mut budget = ExposureBudget::new();
    let mut before = Sent::default();
    for _ in 0..1_000 {
        send(&mut budget, &share(0), random.gen(), &mut before);
    }
    let mut after = Sent::default();
    for _ in 0..200 {
        send(&mut budget, &share(100), random.gen(), &mut after);
    }
    assert_eq!(before.to_candidate, 0);
    assert!(after.to_candidate <= 60, "{} of 200", after.to_candidate);
}

#[test]
fn a_moved_route_always_goes_to_the_candidate_and_others_pause() {
    let mut budget = ExposureBudget::new();
    let mut directive = share(100);
    directive.moved_routes.insert("moved".into());
    for lot in 0..100 {
        assert!(budget.may_send_to_candidate(&directive, "moved", lot));
        budget.record_sent(true);
        assert!(!budget.may_send_to_candidate(&directive, "other", lot));
    }
}

#[rstest]
#[case(0, 0)]
#[case(1_000, 500)]
fn no_share_is_nothing_and_a_whole_one_everything(#[case] permille: u16, #[case] sent: usize) {
    let mut budget = ExposureBudget::new();
    let to_candidate = (0..500)
        .filter(|lot| {
            let is_candidate = budget.may_send_to_candidate(&share(permille), "route", *lot);
            budget.record_sent(is_candidate);
            is_candidate
        })
        .count();
    assert_eq!(to_candidate, sent);
}
