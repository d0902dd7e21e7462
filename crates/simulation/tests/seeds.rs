//! A fixed set of seeds. More run with `silversail simulate --seeds N`.

use rstest::rstest;
use silversail_simulation::run_seed;

/// Seeds that each test case runs.
const SEEDS_PER_CASE: u64 = 5;

#[rstest]
#[case(0)]
#[case(1)]
#[case(2)]
#[case(3)]
fn nothing_that_must_hold_is_broken(#[case] case: u64) {
    for seed in case * SEEDS_PER_CASE..(case + 1) * SEEDS_PER_CASE {
        let report = run_seed(seed);
        assert!(
            report.failures.is_empty(),
            "repeat with: silversail simulate --first-seed {seed} --seeds 1\n{report:#?}"
        );
        assert!(report.accepted > 10, "{report:#?}");
        assert!(report.outcomes.contains_key("completed"), "{report:#?}");
    }
}

#[test]
fn a_seed_repeats_itself() {
    assert_eq!(run_seed(7), run_seed(7));
}
