//! Leases stay within the bound on quotas.

use googletest::prelude::*;

use super::*;

#[gtest]
fn what_lives_that_long_stays_within_the_bound() {
    let bounds = QuotaBounds::default();
    for rate in [1.0, 10.0, 94.0, 122.0, 400.0] {
        let quota = Quota { rate, burst: rate };
        let duration = bounds.lease_duration(quota) as f64 / 1e6;
        expect_that!(duration, all!(ge(MIN_LEASE_SECONDS), le(MAX_LEASE_SECONDS)));
        let runs = rate * (5.0 + duration + TRANSIT_SECONDS) + rate;
        expect_that!(runs, le((rate * 5.0 + rate) * 1.1 + 20.0 + 1e-6), "at {rate} a second");
    }
}
