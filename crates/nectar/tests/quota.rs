//! A quota's rate and its burst have one owner each: what broke that in the simulator, without it.

use googletest::prelude::*;
use pinerelay_nectar::purse::{Admission, Grant, Purse};
use pinerelay_nectar::terms::Quota;
use pinerelay_nectar::well::{Call, Well};
use pinerelay_nectar::Micros;

const QUOTA: Quota = Quota { rate: 100.0, burst: 100.0 };
const SECOND: Micros = 1_000_000;

fn call(want: f64, holds: f64) -> Call {
    Call { want, holds, ..Call::default() }
}

/// Draws all that is there.
fn drain(well: &mut Well, now: Micros, node: &str, strangers: bool) -> f64 {
    let share = well.draw(now, node, strangers, &call(0.0, 0.0)).share;
    well.draw(now, node, strangers, &call(1_000.0, share)).units.unwrap_or(0.0)
}

#[gtest]
fn what_was_kept_back_for_one_that_returns_is_no_second_burst() {
    let mut well = Well::full(0, QUOTA);
    let share = well.draw(0, "a", false, &call(1.0, 0.0)).share;
    expect_that!(share, gt(0.9));
    // It is cut off for four seconds, in which nobody asks. Then another takes all that is there, and it returns.
    well.missing(SECOND, "a", 0);
    let mut granted = drain(&mut well, 4 * SECOND, "b", false);
    well.returned(4 * SECOND, "a");
    for (spent, at) in [(0.0, 4 * SECOND), (0.0, 4 * SECOND + 1)] {
        let told = Call { spent, ..call(1_000.0, share) };
        granted += well.draw(at, "a", false, &told).units.unwrap_or(0.0);
    }
    expect_that!(granted, all!(ge(QUOTA.burst - 2.0), le(QUOTA.burst + 1.0)), "with what it had not spent");
}

#[gtest]
fn a_new_count_tells_no_share_that_another_may_hold_by_the_word_of_the_count_before() {
    let mut well = Well::new(0, QUOTA);
    // `a` was told 0.6 and is cut off; `b` was told 0.35, and is all that is heard.
    let mut holds = 0.35;
    for at in 1..100 {
        holds = well.draw(at * SECOND / 10, "b", true, &call(5.0, holds)).share;
        expect_that!(holds, le(0.35 + 1e-9), "at {at}");
    }
    // Of the rate no more is granted than is not `a`'s.
    let granted = drain(&mut well, 20 * SECOND, "b", true);
    expect_that!(granted, le(QUOTA.burst * 0.4 + 1.0));
    // It is heard: nothing is unknown, and shares follow what is drawn again.
    well.draw(21 * SECOND, "a", false, &call(1.0, 0.6));
    well.draw(22 * SECOND, "a", false, &call(1.0, 0.1));
    well.draw(23 * SECOND, "a", false, &call(1.0, 0.1));
    expect_that!(well.draw(23 * SECOND, "b", false, &call(5.0, 0.35)).share, gt(0.5));
}

/// How many requests run that come every 10 ms from `from` on, while no ask is answered. What it was told was asked at 0.
fn lives(from: Micros, until: Micros) -> Vec<Micros> {
    let mut purse = Purse::new();
    purse.arrive(0, "t", QUOTA, 0);
    purse.asks(0);
    purse.granted(10_000, 0, "t", Grant::Block { units: 1.0, life: 1, fence: 1, share: 0.5 });
    let mut runs = Vec::new();
    for now in (from..until).step_by(10_000) {
        purse.asks(now);
        let ended = purse.tick(now).into_iter().map(|(_, admission)| admission);
        let all: Vec<Admission> = ended.chain([purse.arrive(now, "t", QUOTA, now)]).collect();
        runs.extend(all.iter().filter(|admission| **admission == Admission::Go).map(|_| now));
    }
    runs
}

#[gtest]
fn a_share_counts_from_the_first_ask_that_failed_and_not_for_ever() {
    // 50 a second, from the ask on: not from when it was told.
    let runs = lives(10 * SECOND, 11 * SECOND);
    expect_that!(runs.len(), all!(ge(45), le(50)));
    // Who has drawn nothing for twenty seconds may have lost its share to others.
    expect_that!(lives(19 * SECOND, 20 * SECOND), is_empty());
    // One that is cut off lives on it for a minute.
    let runs = lives(10 * SECOND, 70 * SECOND);
    expect_that!(runs.last(), some(all!(gt(&(58 * SECOND)), lt(&(60 * SECOND)))));
}
