//! Guards against reusing a connection whose peer may not have read the whole previous request when it
//! answered.

use std::time::Duration;

use googletest::prelude::*;
use pinerelay_traffic::request_timing::{Passage, ONE_SEGMENT};
use tokio::time::Instant;

/// A request of `bytes` bytes, flushed and answered that many milliseconds after its first byte was written.
fn passage(bytes: u64, flushed: u64, answered: u64) -> Passage {
    let begun = Instant::now();
    let after = |ms| Some(begun + Duration::from_millis(ms));
    Passage { bytes, begun: Some(begun), flushed: after(flushed), answered: after(answered) }
}

#[gtest]
fn a_request_counts_as_received_once_the_slowest_link_could_carry_it() {
    // 24 kB and a head take 0.097 s at 2 Mbit/s.
    expect_that!(passage(24_300, 0, 98).taken(), eq(true));
    expect_that!(passage(24_300, 0, 97).taken(), eq(false));
    expect_that!(passage(60_300, 0, 200).taken(), eq(false));
    expect_that!(passage(u64::MAX, 0, 200).taken(), eq(false));
}

#[gtest]
fn a_request_of_one_segment_counts_as_received_at_once() {
    expect_that!(passage(ONE_SEGMENT, 0, 0).taken(), eq(true));
    expect_that!(passage(ONE_SEGMENT + 1, 0, 0).taken(), eq(false));
}

#[gtest]
fn a_request_not_flushed_before_its_answer_began_is_not_received() {
    expect_that!(passage(300, 2, 1).taken(), eq(false));
    expect_that!(Passage { flushed: None, ..passage(300, 0, 500) }.taken(), eq(false));
    expect_that!(Passage { answered: None, ..passage(300, 0, 500) }.taken(), eq(false));
    expect_that!(Passage::default().taken(), eq(false));
}
