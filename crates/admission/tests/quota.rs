//! Each part of a quota's rate and burst has one owner at a time: regression tests for violations that a fault simulation found.

use googletest::prelude::*;
use pinerelay_admission::fleet::Fleet;
use pinerelay_admission::lease::LeaseGrant;
use pinerelay_admission::lease::Usage;
use pinerelay_admission::lease_cache::{Admission, LeaseCache};
use pinerelay_admission::quota::Quota;
use pinerelay_admission::quota_allocator::QuotaAllocator;
use pinerelay_admission::Micros;

const QUOTA: Quota = Quota { rate: 100.0, burst: 100.0 };
/// Two proxies, both reachable.
const HEARD: Fleet = Fleet { proxies: 2, unheard: 0 };
/// Two proxies, one of which is out of reach.
const ONE_UNHEARD: Fleet = Fleet { proxies: 2, unheard: 1 };
const SECOND: Micros = 1_000_000;

fn usage(wanted: f64, held_share: f64) -> Usage {
    Usage { wanted, held_share, ..Usage::default() }
}

/// Draws all available units for a proxy.
fn drain(allocator: &mut QuotaAllocator, now: Micros, proxy: &str, fleet: Fleet) -> f64 {
    let share = allocator.draw(now, proxy, fleet, &usage(0.0, 0.0)).share;
    allocator.draw(now, proxy, fleet, &usage(1_000.0, share)).units.unwrap_or(0.0)
}

#[gtest]
fn units_reserved_for_a_missing_proxy_do_not_become_a_second_burst() {
    let mut allocator = QuotaAllocator::full(0, QUOTA);
    let share = allocator.draw(0, "a", HEARD, &usage(1.0, 0.0)).share;
    expect_that!(share, gt(0.9));
    // `a` is cut off for four seconds without any requests. Then `b` draws all available units, and `a` returns.
    allocator.proxy_missing(SECOND, "a", 0);
    let mut granted = drain(&mut allocator, 4 * SECOND, "b", HEARD);
    allocator.proxy_returned(4 * SECOND, "a");
    for (spent, at) in [(0.0, 4 * SECOND), (0.0, 4 * SECOND + 1)] {
        let reported = Usage { share_spent: spent, ..usage(1_000.0, share) };
        granted += allocator.draw(at, "a", HEARD, &reported).units.unwrap_or(0.0);
    }
    expect_that!(
        granted,
        all!(ge(QUOTA.burst - 2.0), le(QUOTA.burst + 1.0)),
        "including the units that the proxy did not spend"
    );
}

#[gtest]
fn a_new_allocator_grants_no_share_that_the_previous_one_may_have_granted() {
    let mut allocator = QuotaAllocator::new(0, QUOTA);
    // The previous allocator granted a share of 0.6 to `a`, which is cut off, and 0.35 to `b`, the only reachable proxy.
    let mut share_of_b = 0.35;
    for at in 1..100 {
        share_of_b = allocator.draw(at * SECOND / 10, "b", ONE_UNHEARD, &usage(5.0, share_of_b)).share;
        expect_that!(share_of_b, le(0.35 + 1e-9), "at {at}");
    }
    // No units are granted from the part of the rate that belongs to `a`.
    let granted = drain(&mut allocator, 20 * SECOND, "b", ONE_UNHEARD);
    expect_that!(granted, le(QUOTA.burst * 0.4 + 1.0));
    // `a` is reachable again: no share is unknown any more, and shares follow demand.
    let mut share_of_a = 0.6;
    for at in 21..=23 {
        share_of_a = allocator.draw(at * SECOND, "a", HEARD, &usage(1.0, share_of_a)).share;
    }
    expect_that!(allocator.draw(23 * SECOND, "b", HEARD, &usage(5.0, 0.35)).share, gt(0.5));
}

/// Returns the admission times of requests that arrive every 10 ms from `from` on, while lease requests stay unanswered. The proxy
/// requested its share at 0.
fn admission_times(from: Micros, until: Micros) -> Vec<Micros> {
    let mut cache = LeaseCache::new();
    cache.admit(0, "t", QUOTA, 0);
    cache.lease_requests(0);
    cache.granted(
        10_000,
        0,
        "t",
        LeaseGrant::Units { units: 1.0, duration: 1, fencing_token: 1, share: 0.5 },
    );
    let mut admitted = Vec::new();
    for now in (from..until).step_by(10_000) {
        cache.lease_requests(now);
        let decided = cache.tick(now).into_iter().map(|decision| decision.admission);
        let all: Vec<Admission> = decided.chain([cache.admit(now, "t", QUOTA, now)]).collect();
        admitted.extend(all.iter().filter(|admission| **admission == Admission::Admitted).map(|_| now));
    }
    admitted
}

#[gtest]
fn a_share_accrues_from_the_first_failed_request_and_expires() {
    // The share is 50 units per second, from the first failed lease request on: not from when the share was granted.
    let admitted = admission_times(10 * SECOND, 11 * SECOND);
    expect_that!(admitted.len(), all!(ge(45), le(50)));
    // After twenty seconds without a request, the share may have been granted to other proxies.
    expect_that!(admission_times(19 * SECOND, 20 * SECOND), is_empty());
    // A proxy that is cut off spends its share for up to a minute.
    let admitted = admission_times(10 * SECOND, 70 * SECOND);
    expect_that!(admitted.last(), some(all!(gt(&(58 * SECOND)), lt(&(60 * SECOND)))));
}

// Guards against a rate that all proxies are refused while one of hundreds is silent: a new allocator reserved 0.95 of it until
// the last proxy was heard.
#[gtest]
fn one_silent_proxy_of_hundreds_takes_little_of_the_rate_from_the_others() {
    const PROXIES: usize = 282;
    let fleet = Fleet { proxies: PROXIES, unheard: 1 };
    let mut allocator = QuotaAllocator::new(0, QUOTA);
    let mut granted = 0.0;
    for now in (SECOND / 100..=5 * SECOND).step_by(SECOND as usize / 100) {
        let proxy = format!("proxy{}", now % 281);
        granted += allocator.draw(now, &proxy, fleet, &usage(2.0, 0.0)).units.unwrap_or(0.0);
    }
    expect_that!(granted, ge(0.95 * 5.0 * QUOTA.rate), "of {} units", 5.0 * QUOTA.rate);
}

#[gtest]
fn what_is_reserved_for_unheard_proxies_covers_the_shares_that_any_allocator_grants() {
    for proxies in [1, 3, 11, 85, 282, 590] {
        // The busiest proxy of a tenant that only this proxy draws from.
        let mut allocator = QuotaAllocator::full(0, QUOTA);
        let mut share = 0.0;
        for at in 1..50 {
            share = allocator.draw(at * SECOND / 10, "a", Fleet::heard(proxies), &usage(5.0, share)).share;
        }
        for unheard in 1..=proxies.min(20) {
            let held = (share * unheard as f64).min(0.95);
            let fleet = Fleet { proxies, unheard };
            expect_that!(fleet.max_unheard_share(), ge(held), "{unheard} of {proxies}");
            let grown = Fleet { proxies: proxies + proxies / 5, unheard };
            expect_that!(grown.max_unheard_share(), ge(held - 1e-9), "{unheard} of {proxies}, since grown");
        }
    }
}

#[gtest]
fn a_zone_of_proxies_that_stays_away_leaves_the_others_half_of_the_rate() {
    const PROXIES: usize = 282;
    let fleet = Fleet { proxies: PROXIES, unheard: PROXIES / 6 };
    let mut allocator = QuotaAllocator::new(0, QUOTA);
    let mut granted = 0.0;
    for now in (SECOND / 100..=5 * SECOND).step_by(SECOND as usize / 100) {
        granted += allocator.draw(now, "a", fleet, &usage(2.0, 0.0)).units.unwrap_or(0.0);
    }
    expect_that!(granted, ge(0.5 * 5.0 * QUOTA.rate), "of {} units", 5.0 * QUOTA.rate);
}

// Guards against a share that was granted when few proxies were known, and is spent among many.
#[gtest]
fn a_share_is_limited_when_the_proxy_learns_of_more_proxies() {
    let mut cache = LeaseCache::new();
    cache.admit(0, "t", QUOTA, 0);
    cache.lease_requests(0);
    let grant = LeaseGrant::Units { units: 1.0, duration: 1, fencing_token: 1, share: 0.9 };
    cache.granted(10_000, 0, "t", grant);
    cache.set_proxies(282);
    cache.admit(SECOND, "t", QUOTA, 1);
    let held: Vec<f64> = cache.lease_requests(SECOND).iter().map(|request| request.held_share).collect();
    expect_that!(held, elements_are![le(&Fleet::heard(282).max_share())]);
}
