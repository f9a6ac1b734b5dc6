//! Rollouts of good and bad versions in a simulated fleet.

use googletest::prelude::*;
use pinerelay_config_state::rollout::Stage;

mod fleet;

use fleet::{play, Badness, Outcome, Plan, ROLLBACK, SECOND};

/// Seeds of each kind.
const SEEDS: u64 = 6;

fn check_bounds(plan: &Plan, outcome: &Outcome) {
    expect_that!(outcome.exposed, le(outcome.exposure_bound()), "{plan:?}");
    expect_that!(outcome.stopped_after(), le(ROLLBACK), "{plan:?}");
    expect_that!(outcome.stage, some(eq(Stage::Reverted)), "{plan:?} {outcome:?}");
}

fn check_finished(plan: &Plan, outcome: &Outcome) {
    expect_that!(outcome.stage, some(eq(Stage::Finished)), "{plan:?} {outcome:?}");
    expect_that!(outcome.ended_at, some(le(plan.deadline)), "{plan:?}");
    expect_that!(outcome.open_at_finish, eq(0), "{plan:?}");
}

#[gtest]
fn a_good_version_is_finished_by_its_deadline() {
    for seed in 0..SEEDS {
        for faults in [0.0, 0.05] {
            let plan = Plan { faults, ..Plan::new(seed, Badness::None) };
            check_finished(&plan, &play(plan));
        }
    }
}

#[gtest]
fn a_bad_version_is_reverted_within_its_exposure() {
    let ways = [
        Badness::Errors(0.5),
        Badness::Errors(0.2),
        Badness::Slow(0.38, 8.0),
        Badness::Slow(0.38, 4.0),
        Badness::Slow(0.6, 3.0),
        Badness::OneRoute(0.5),
        Badness::Late(0.4, 3 * SECOND),
    ];
    for seed in 0..SEEDS {
        for badness in ways {
            let plan = Plan::new(seed, badness);
            check_bounds(&plan, &play(plan));
        }
    }
}

#[gtest]
fn takeovers_restarts_and_lost_messages_break_no_bound() {
    for seed in 0..SEEDS {
        for badness in [Badness::Errors(0.4), Badness::Slow(0.5, 8.0)] {
            let plan = Plan {
                lost_messages: 0.2,
                takeover_every: Some(1_700_000),
                restart_every: Some(130_000),
                ..Plan::new(seed, badness)
            };
            check_bounds(&plan, &play(plan));
        }
    }
}

#[gtest]
fn a_version_that_nobody_can_judge_in_time_is_reverted() {
    let plan = Plan { requests_per_second: 2.0, proxies: 11, ..Plan::new(1, Badness::None) };
    let outcome = play(plan);
    expect_that!(outcome.stage, some(eq(Stage::Reverted)));
}

#[gtest]
fn a_version_whose_servers_go_before_it_has_finished_is_reverted() {
    for seconds in [5, 9, 11] {
        let plan = Plan { servers_left: Some((seconds * SECOND, 20)), ..Plan::new(1, Badness::None) };
        expect_that!(play(plan).stage, some(eq(Stage::Reverted)), "after {seconds} s");
    }
}

/// Another registry had the duty every few seconds, and each began the canary's time anew: no good version was ever finished.
#[gtest]
fn takeovers_do_not_keep_a_good_version_from_being_finished() {
    for seed in 0..SEEDS {
        let plan =
            Plan { takeover_every: Some(3_700_000), lost_messages: 0.1, ..Plan::new(seed, Badness::None) };
        let outcome = play(plan);
        expect_that!(outcome.stage, some(eq(Stage::Finished)), "{plan:?} {outcome:?}");
    }
}

/// The canary began with all that it might have had since the order at once. The slow ones of these requests ended together, two
/// seconds later, and five good versions of 300 were reverted as slow.
#[gtest]
fn a_canary_does_not_begin_with_many_requests_at_once() {
    for seed in [28, 50, 66, 216, 256] {
        let plan = Plan::new(seed, Badness::None);
        check_finished(&plan, &play(plan));
    }
}

/// Versions with 38 of 100 answers four times slower stayed just below the alarm as a canary, and the ramp went on: 12 of 300 seeds
/// had all requests in the end, three times what a bad version may get.
#[gtest]
fn a_version_that_is_not_clearly_good_is_not_taken_for_good() {
    for seed in [26, 43, 64, 84, 141, 146, 147, 167, 178, 239, 258, 264] {
        let plan = Plan::new(seed, Badness::Slow(0.38, 4.0));
        check_bounds(&plan, &play(plan));
    }
}

/// Fifty bad answers are as many of a service with few requests, where the time after them brings little more to judge by.
#[gtest]
fn a_service_with_few_requests_stops_a_bad_version_in_time_as_well() {
    for seed in 0..SEEDS {
        for badness in [Badness::Slow(0.38, 4.0), Badness::Errors(0.2)] {
            let plan = Plan {
                requests_per_second: 200.0,
                proxies: 20,
                deadline: 60 * SECOND,
                ..Plan::new(seed, badness)
            };
            check_bounds(&plan, &play(plan));
        }
    }
}
