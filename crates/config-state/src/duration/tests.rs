//! Texts that are accepted and rejected as durations.

use googletest::prelude::*;

use super::*;

#[gtest]
fn only_a_number_with_the_unit_ms_or_s_is_accepted() {
    expect_that!(parse_duration("1500ms"), some(eq(Duration::from_millis(1500))));
    expect_that!(parse_duration("2.5s"), some(eq(Duration::from_millis(2500))));
    expect_that!(parse_duration("0ms"), some(eq(Duration::ZERO)));
    for bad in ["", "s", "ms", "1", "-1s", "1 s", "1e3s", "infs", "nans", "1m", "1..2s", "99999999999s"] {
        expect_that!(parse_duration(bad), none(), "{bad}");
    }
}
