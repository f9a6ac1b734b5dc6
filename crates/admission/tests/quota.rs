//! A quota's rate and its burst have one owner each: what broke that in the simulator, without it.

use googletest::prelude::*;
use pinerelay_admission::lease::LeaseGrant;
use pinerelay_admission::lease::Usage;
use pinerelay_admission::lease_cache::{Admission, LeaseCache};
use pinerelay_admission::quota::Quota;
use pinerelay_admission::quota_allocator::QuotaAllocator;
use pinerelay_admission::Micros;

const QUOTA: Quota = Quota { rate: 100.0, burst: 100.0 };
const SECOND: Micros = 1_000_000;

fn usage(wanted: f64, held_share: f64) -> Usage {
    Usage { wanted, held_share, ..Usage::default() }
}

/// Draws all that is there.
fn drain(allocator: &mut QuotaAllocator, now: Micros, node: &str, strangers: bool) -> f64 {
    let share = allocator.draw(now, node, strangers, &usage(0.0, 0.0)).share;
    allocator.draw(now, node, strangers, &usage(1_000.0, share)).units.unwrap_or(0.0)
}

#[gtest]
fn what_was_kept_back_for_one_that_returns_is_no_second_burst() {
    let mut allocator = QuotaAllocator::full(0, QUOTA);
    let share = allocator.draw(0, "a", false, &usage(1.0, 0.0)).share;
    expect_that!(share, gt(0.9));
    // It is cut off for four seconds, in which nobody asks. Then another takes all that is there, and it returns.
    allocator.proxy_missing(SECOND, "a", 0);
    let mut granted = drain(&mut allocator, 4 * SECOND, "b", false);
    allocator.proxy_returned(4 * SECOND, "a");
    for (spent, at) in [(0.0, 4 * SECOND), (0.0, 4 * SECOND + 1)] {
        let reported = Usage { share_spent: spent, ..usage(1_000.0, share) };
        granted += allocator.draw(at, "a", false, &reported).units.unwrap_or(0.0);
    }
    expect_that!(granted, all!(ge(QUOTA.burst - 2.0), le(QUOTA.burst + 1.0)), "with what it had not spent");
}

#[gtest]
fn a_new_count_tells_no_share_that_another_may_hold_by_the_word_of_the_count_before() {
    let mut allocator = QuotaAllocator::new(0, QUOTA);
    // `a` was told 0.6 and is cut off; `b` was told 0.35, and is all that is heard.
    let mut holds = 0.35;
    for at in 1..100 {
        holds = allocator.draw(at * SECOND / 10, "b", true, &usage(5.0, holds)).share;
        expect_that!(holds, le(0.35 + 1e-9), "at {at}");
    }
    // Of the rate no more is granted than is not `a`'s.
    let granted = drain(&mut allocator, 20 * SECOND, "b", true);
    expect_that!(granted, le(QUOTA.burst * 0.4 + 1.0));
    // It is heard: nothing is unknown, and shares follow what is drawn again.
    allocator.draw(21 * SECOND, "a", false, &usage(1.0, 0.6));
    allocator.draw(22 * SECOND, "a", false, &usage(1.0, 0.1));
    allocator.draw(23 * SECOND, "a", false, &usage(1.0, 0.1));
    expect_that!(allocator.draw(23 * SECOND, "b", false, &usage(5.0, 0.35)).share, gt(0.5));
}

/// How many requests run that come every 10 ms from `from` on, while no ask is answered. What it was told was asked at 0.
fn runs_of(from: Micros, until: Micros) -> Vec<Micros> {
    let mut cache = LeaseCache::new();
    cache.admit(0, "t", QUOTA, 0);
    cache.lease_requests(0);
    cache.granted(
        10_000,
        0,
        "t",
        LeaseGrant::Units { units: 1.0, duration: 1, fencing_token: 1, share: 0.5 },
    );
    let mut runs = Vec::new();
    for now in (from..until).step_by(10_000) {
        cache.lease_requests(now);
        let ended = cache.tick(now).into_iter().map(|decision| decision.admission);
        let all: Vec<Admission> = ended.chain([cache.admit(now, "t", QUOTA, now)]).collect();
        runs.extend(all.iter().filter(|admission| **admission == Admission::Admitted).map(|_| now));
    }
    runs
}

#[gtest]
fn a_share_counts_from_the_first_ask_that_failed_and_not_for_ever() {
    // 50 a second, from the ask on: not from when it was told.
    let runs = runs_of(10 * SECOND, 11 * SECOND);
    expect_that!(runs.len(), all!(ge(45), le(50)));
    // Who has drawn nothing for twenty seconds may have lost its share to others.
    expect_that!(runs_of(19 * SECOND, 20 * SECOND), is_empty());
    // One that is cut off lives on it for a minute.
    let runs = runs_of(10 * SECOND, 70 * SECOND);
    expect_that!(runs.last(), some(all!(gt(&(58 * SECOND)), lt(&(60 * SECOND)))));
}
