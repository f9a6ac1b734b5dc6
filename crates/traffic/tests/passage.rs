//! Guards against reusing a connection whose peer may not have read the whole previous request when it
//! answered.

use std::time::Duration;

use googletest::prelude::*;
use pinerelay_traffic::request_timing::{RequestTiming, ONE_SEGMENT};
use tokio::time::Instant;

/// A request of `bytes` bytes, flushed and answered that many milliseconds after its first byte was written.
fn timing(bytes: u64, flushed: u64, answered: u64) -> RequestTiming {
    let begun = Instant::now();
    let after = |ms| Some(begun + Duration::from_millis(ms));
    RequestTiming { bytes, begun: Some(begun), flushed: after(flushed), answered: after(answered) }
}

#[gtest]
fn a_request_counts_as_received_once_the_slowest_link_could_carry_it() {
    // 24 kB and a head take 0.097 s at 2 Mbit/s.
    expect_that!(timing(24_300, 0, 98).is_received(), eq(true));
    expect_that!(timing(24_300, 0, 97).is_received(), eq(false));
    expect_that!(timing(60_300, 0, 200).is_received(), eq(false));
    expect_that!(timing(u64::MAX, 0, 200).is_received(), eq(false));
}

#[gtest]
fn a_request_of_one_segment_counts_as_received_at_once() {
    expect_that!(timing(ONE_SEGMENT, 0, 0).is_received(), eq(true));
    expect_that!(timing(ONE_SEGMENT + 1, 0, 0).is_received(), eq(false));
}

#[gtest]
fn a_request_not_flushed_before_its_answer_began_is_not_received() {
    expect_that!(timing(300, 2, 1).is_received(), eq(false));
    expect_that!(RequestTiming { flushed: None, ..timing(300, 0, 500) }.is_received(), eq(false));
    expect_that!(RequestTiming { answered: None, ..timing(300, 0, 500) }.is_received(), eq(false));
    expect_that!(RequestTiming::default().is_received(), eq(false));
}
