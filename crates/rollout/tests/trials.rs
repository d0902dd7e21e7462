//! Whole rollouts on the fake, over seeds: what good and bad versions get, and how they end.

mod fake;

use fake::{play, Fault, Outcome, Route, Setting, Upset, BATCHED, GOOD, PLAIN, STREAMS};
use rstest::rstest;
use silversail_rollout::RolloutDecision;

/// Half of the default bound on the time from the 50th bad answer to the last request.
const LAST_AFTER_50TH_MS: u64 = 2_500;

fn failing(failing: f64) -> Fault {
    Fault { failing, ..GOOD }
}

fn slower(failing: f64) -> Fault {
    Fault {
        failing,
        times_slower: 4.0,
        ..GOOD
    }
}

fn late(failing: f64) -> Fault {
    Fault {
        failing,
        from_part: 0.5,
        ..GOOD
    }
}

fn under_load(failing: f64) -> Fault {
    Fault {
        failing,
        above_share: 0.3,
        ..GOOD
    }
}

/// Directives and counts that take a fifth of a second.
fn prompt(routes: &'static [Route], fault: Fault) -> Setting {
    Setting {
        routes,
        fault,
        has_background: false,
        upset: Upset::None,
        duration_ms: 12_000,
        directive_delay_ms: (100, 200),
        report_delay_ms: 200,
    }
}

/// Directives that take up to a second, counts half of one.
fn slow(routes: &'static [Route], fault: Fault) -> Setting {
    Setting {
        directive_delay_ms: (500, 1_000),
        report_delay_ms: 500,
        ..prompt(routes, fault)
    }
}

fn is_rolled_back(outcome: &Outcome) -> bool {
    matches!(outcome.decision, Some(RolloutDecision::RollBack(_)))
}

fn is_in_time(outcome: &Outcome, setting: &Setting) -> bool {
    outcome.is_completed() && outcome.decided_at_ms <= setting.duration_ms
}

#[rstest]
fn good_versions_are_completed_in_time(
    #[values(STREAMS, PLAIN, BATCHED)] routes: &'static [Route],
    #[values(12_000, 30_000)] duration_ms: u64,
    #[values(Upset::None, Upset::NewLeader(6_000))] upset: Upset,
) {
    let setting = Setting {
        duration_ms,
        upset,
        ..prompt(routes, GOOD)
    };
    let late: Vec<u64> = (0..100)
        .filter(|seed| !is_in_time(&play(setting, *seed), &setting))
        .collect();
    assert!(late.len() <= 1, "seeds {late:?}");
}

#[rstest]
fn trouble_on_both_sides_delays_good_versions_at_most(
    #[values(STREAMS, PLAIN, BATCHED)] routes: &'static [Route],
) {
    let setting = Setting {
        has_background: true,
        ..prompt(routes, GOOD)
    };
    let outcomes: Vec<Outcome> = (0..200).map(|seed| play(setting, seed)).collect();
    let rolled_back = outcomes.iter().filter(|one| is_rolled_back(one)).count();
    let in_time = outcomes
        .iter()
        .filter(|one| is_in_time(one, &setting))
        .count();
    assert!(rolled_back <= 2, "{rolled_back} of 200 rolled back");
    assert!(in_time >= 150, "{in_time} of 200 in time");
}

#[rstest]
#[case::all_fail(failing(1.0))]
#[case::a_third_fails(failing(0.3))]
#[case::slower(slower(0.0))]
#[case::both(slower(0.3))]
fn versions_bad_from_the_start_never_get_much(
    #[case] fault: Fault,
    #[values(STREAMS, PLAIN, BATCHED)] routes: &'static [Route],
    #[values(false, true)] has_background: bool,
) {
    for setting in [prompt(routes, fault), slow(routes, fault)] {
        let setting = Setting {
            has_background,
            upset: if has_background {
                Upset::NewLeader(2_000)
            } else {
                Upset::None
            },
            ..setting
        };
        for seed in 0..25 {
            let outcome = play(setting, seed);
            assert!(
                is_rolled_back(&outcome),
                "seed {seed}: {:?}",
                outcome.decision
            );
            check_bounds(&outcome, seed);
        }
    }
}

#[rstest]
#[case::some_fail(failing(0.1))]
#[case::late(late(0.3))]
#[case::under_load(under_load(0.3))]
#[case::one_route(Fault { route: Some(0), ..failing(0.3) })]
fn versions_that_are_hard_to_tell_stay_in_the_bound_too(
    #[case] fault: Fault,
    #[values(STREAMS, PLAIN, BATCHED)] routes: &'static [Route],
    #[values(false, true)] has_background: bool,
    #[values(6_000, 12_000)] duration_ms: u64,
) {
    for setting in [prompt(routes, fault), slow(routes, fault)] {
        let setting = Setting {
            has_background,
            duration_ms,
            ..setting
        };
        for seed in 0..25 {
            let outcome = play(setting, seed);
            if is_rolled_back(&outcome) {
                check_bounds(&outcome, seed);
            }
        }
    }
}

#[rstest]
fn upsets_at_any_time_break_no_bound(
    #[values(STREAMS, PLAIN, BATCHED)] routes: &'static [Route],
    #[values(1_000, 4_000, 9_000, 10_500, 11_000, 11_500, 12_000)] at_ms: u64,
    #[values(false, true)] is_restart: bool,
) {
    let upset = if is_restart {
        Upset::AllRestart(at_ms)
    } else {
        Upset::NewLeader(at_ms)
    };
    for fault in [late(0.3), under_load(0.3)] {
        for setting in [prompt(routes, fault), slow(routes, fault)] {
            for seed in 0..10 {
                let outcome = play(Setting { upset, ..setting }, seed);
                assert!(outcome.decision.is_some(), "seed {seed} has no end");
                if is_rolled_back(&outcome) {
                    check_bounds(&outcome, seed);
                }
            }
        }
    }
}

#[rstest]
fn versions_that_turn_bad_late_are_rolled_back(
    #[values(STREAMS, PLAIN, BATCHED)] routes: &'static [Route],
) {
    let setting = prompt(routes, late(0.3));
    let completed: Vec<u64> = (0..100)
        .filter(|seed| !is_rolled_back(&play(setting, *seed)))
        .collect();
    assert!(completed.len() <= 2, "seeds {completed:?}");
}

/// What reaches a bad version until the deadline, and the time until nothing does.
fn check_bounds(outcome: &Outcome, seed: u64) {
    let exposed = outcome.until_deadline.1 as f64;
    assert!(exposed <= outcome.bound(), "seed {seed}: {outcome:?}");
    let after = outcome.last_after_50th_ms.unwrap_or(0);
    assert!(after <= LAST_AFTER_50TH_MS, "seed {seed}: {after} ms");
}
