//! The lease duration keeps requests within the quota's bounds.

use googletest::prelude::*;

use super::*;

#[gtest]
fn requests_on_leased_units_stay_within_the_quota_bounds() {
    let bounds = QuotaBounds::default();
    for rate in [1.0, 10.0, 94.0, 122.0, 400.0] {
        let quota = Quota { rate, burst: rate };
        let duration = bounds.lease_duration(quota) as f64 / 1e6;
        expect_that!(duration, all!(ge(MIN_LEASE_SECONDS), le(MAX_LEASE_SECONDS)));
        let arrivals = rate * (5.0 + duration + TRANSIT_SECONDS) + rate;
        expect_that!(arrivals, le((rate * 5.0 + rate) * 1.1 + 20.0 + 1e-6), "at {rate} a second");
    }
}
