//! Units and shares that an allocator grants.

use googletest::prelude::*;

use super::*;

const FLEET: Fleet = Fleet { proxies: 1, unheard: 0 };
const UNHEARD: Fleet = Fleet { proxies: 1, unheard: 1 };

fn usage(wanted: f64, returned: f64) -> Usage {
    Usage { wanted, returned, ..Usage::default() }
}

#[gtest]
fn grants_in_any_period_stay_within_rate_and_burst() {
    let quota = Quota { rate: 50.0, burst: 30.0 };
    let mut allocator = QuotaAllocator::new(0, quota);
    let mut granted: Vec<(Micros, f64)> = Vec::new();
    let mut random = 9;
    let mut now = 0;
    for _ in 0..5_000 {
        now += (mountbend::measure::uniform(&mut random) * 20_000.0) as Micros;
        let count = (mountbend::measure::uniform(&mut random) * 8.0).floor();
        if let Ok(units) = allocator.draw(now, "n", FLEET, &usage(count, 0.0)).units {
            granted.push((now, units));
        }
    }
    for (n, &(from, _)) in granted.iter().enumerate().step_by(37) {
        let mut sum = 0.0;
        for &(at, units) in &granted[n..] {
            sum += units;
            let limit = quota.burst + quota.rate * (at - from) as f64 / 1e6;
            assert_that!(sum, le(limit + 1.0));
        }
    }
    expect_that!(granted.iter().map(|g| g.1).sum::<f64>(), gt(0.9 * 50.0 * now as f64 / 1e6));
}

#[gtest]
fn a_new_allocator_starts_empty_and_reports_when_a_unit_is_available() {
    let mut allocator = QuotaAllocator::new(0, Quota { rate: 10.0, burst: 5.0 });
    let mut draw = |now, count, unspent| allocator.draw(now, "n", FLEET, &usage(count, unspent)).units;
    expect_that!(draw(0, 2.0, 0.0), err(eq(Exhausted { retry_after: 100_000 })));
    expect_that!(draw(100_000, 2.0, 0.0), ok(eq(1.0)));
    expect_that!(draw(100_000, 2.0, 1.0), ok(eq(1.0)), "a returned unit can be leased again");
    expect_that!(draw(10_000_000, 9.0, 0.0), ok(eq(5.0)), "the level is limited to the burst");
    expect_that!(QuotaAllocator::full(0, Quota { rate: 10.0, burst: 5.0 }).level(), eq(5.0));
    allocator.set_quota(11_200_000, Quota { rate: 10.0, burst: 2.0 });
    expect_that!(allocator.draw(11_200_000, "n", FLEET, &usage(9.0, 0.0)).units, ok(eq(2.0)));
}

#[gtest]
fn shares_follow_demand_and_never_exceed_the_rate_in_sum() {
    let mut allocator = QuotaAllocator::new(0, Quota { rate: 100.0, burst: 100.0 });
    allocator.drop_unknown_shares();
    let mut random = 4;
    let mut held_shares = [0.0; 10];
    for step in 1..2_000_u64 {
        let node = (mountbend::measure::uniform(&mut random) * 10.0) as usize;
        // The proxy with the highest demand changes halfway through.
        let busy = if step < 1_000 { 2 } else { 7 };
        let count = if node == busy { 8.0 } else { 1.0 };
        let reported = Usage { held_share: held_shares[node], ..usage(count, 0.0) };
        let share = allocator.draw(step * 20_000, &format!("n{node}"), FLEET, &reported).share;
        held_shares[node] = share;
        let total: f64 = allocator.lessees.iter().map(|(_, lessee)| lessee.share()).sum();
        expect_that!(allocator.lessees.total_share(), near(total, 1e-9), "at step {step}");
        // A proxy's earlier share counts until its next request, beside the shares that were granted to others since.
        expect_that!(total, le(1.0 + 1e-9), "at step {step}");
        if step == 990 || step == 1_990 {
            let busiest =
                allocator.lessees.iter().max_by(|a, b| a.1.granted_share.total_cmp(&b.1.granted_share));
            expect_that!(busiest.map(|b| b.0.clone()), some(eq(&format!("n{busy}"))));
            expect_that!(share, gt(0.02));
        }
    }
}

#[gtest]
fn the_share_of_a_missing_proxy_is_not_granted_to_others() {
    let mut allocator = QuotaAllocator::new(0, Quota { rate: 100.0, burst: 10.0 });
    allocator.drop_unknown_shares();
    let mut now = 0;
    let mut share = 0.0;
    for _ in 0..400 {
        now += 20_000;
        share = allocator.draw(now, "a", FLEET, &Usage { held_share: share, ..usage(1.0, 0.0) }).share;
        allocator.draw(now, "b", FLEET, &Usage { held_share: 0.475, ..usage(1.0, 0.0) });
    }
    expect_that!(share, near(0.475, 0.02));
    // `a` was last reachable half a second ago, and may have spent half a second's worth of its share.
    allocator.proxy_missing(now, "a", now - 500_000);
    expect_that!(allocator.level(), lt(10.0 - 0.4 * 50.0));
    let mut granted = 0.0;
    for _ in 0..500 {
        now += 20_000;
        let reported = Usage { held_share: 0.475, ..usage(9.0, 0.0) };
        granted += allocator.draw(now, "b", FLEET, &reported).units.unwrap_or(0.0);
    }
    expect_that!(granted, all!(gt(450.0), lt(540.0)));
    allocator.proxy_returned(now, "a");
    // `a` has spent 300 of the 500 reserved units: the others are put back, up to the burst.
    let reported =
        Usage { held_share: share, share_spent: 300.0, share_spent_lately: 300.0, ..usage(9.0, 0.0) };
    expect_that!(allocator.draw(now + 100_000, "a", FLEET, &reported).units, ok(ge(8.0)));
}

#[gtest]
fn spending_from_a_share_is_taken_out_with_each_request_though_answers_are_lost() {
    let mut allocator = QuotaAllocator::full(0, Quota { rate: 10.0, burst: 50.0 });
    allocator.draw(0, "a", FLEET, &usage(0.0, 0.0));
    // Requests arrive, but their answers are lost: by the third, the proxy has spent 20 units of its share.
    for spent in [0.0, 8.0, 20.0] {
        allocator.draw(
            0,
            "a",
            FLEET,
            &Usage { share_spent: spent, share_spent_lately: spent, ..usage(0.0, 0.0) },
        );
    }
    expect_that!(allocator.level(), eq(30.0));
    // After a takeover, the new allocator takes out only units that were spent since it started.
    let mut next = QuotaAllocator::new(0, Quota { rate: 10.0, burst: 50.0 });
    let reported = Usage { share_spent: 90.0, share_spent_lately: 40.0, held_share: 0.5, ..usage(0.0, 0.0) };
    next.draw(1_000_000, "a", FLEET, &reported);
    expect_that!(next.level(), eq(10.0 - 5.0));
}

// Guards against shares that stayed reserved for good: an allocator dropped each proxy again within the proxy's first request,
// once its process had run for longer than the idle timeout.
#[gtest]
fn a_proxy_is_known_from_its_first_request_on_however_long_the_process_has_run() {
    let start = IDLE_TIMEOUT + 700_000;
    let mut allocator = QuotaAllocator::new(start, Quota { rate: 100.0, burst: 10.0 });
    allocator.draw(start + 10_000, "a", FLEET, &Usage { held_share: 0.95, ..usage(1.0, 0.0) });
    expect_that!(allocator.knows("a"), eq(true));
    let renewed = Usage { held_share: 0.95, ..usage(1.0, 0.0) };
    expect_that!(allocator.draw(start + 30_000, "a", FLEET, &renewed).share, gt(0.9));
}

#[gtest]
fn the_reserved_share_is_what_does_not_fill_the_bucket() {
    let quota = Quota { rate: 100.0, burst: 100.0 };
    let mut allocator = QuotaAllocator::new(0, quota);
    expect_that!(allocator.reserved_share(0), eq(0.0), "no proxy is known to be cut off");
    allocator.draw(0, "a", UNHEARD, &usage(0.0, 0.0));
    expect_that!(allocator.reserved_share(0), eq(MAX_TOTAL_SHARE));
    allocator.draw(500_000, "a", UNHEARD, &usage(0.0, 0.0));
    expect_that!(allocator.level(), near(0.5 * 100.0 * (1.0 - MAX_TOTAL_SHARE), 1e-6));
    expect_that!(allocator.reserved_share(SHARE_LIFETIME), eq(0.0), "all shares granted before have expired");
    allocator.draw(500_000, "a", FLEET, &usage(0.0, 0.0));
    expect_that!(allocator.reserved_share(500_000), eq(0.0));
    // A known proxy's own share is reserved while it is missing.
    allocator.drop_unknown_shares();
    let share = allocator.draw(1_000_000, "a", FLEET, &usage(1.0, 0.0)).share;
    allocator.proxy_missing(1_000_000, "a", 1_000_000);
    expect_that!(share, gt(0.5));
    expect_that!(allocator.reserved_share(1_000_000), eq(share));
    allocator.proxy_returned(1_000_000, "a");
    expect_that!(allocator.reserved_share(1_000_000), eq(0.0));
}
