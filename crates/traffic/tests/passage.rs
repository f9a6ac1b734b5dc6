//! When a request can be taken to have been taken by its peer before its answer began.

use std::time::Duration;

use googletest::prelude::*;
use pinerelay_traffic::passage::{Passage, ONE_SEGMENT};
use tokio::time::Instant;

/// A request of so many bytes, flushed and answered so many milliseconds after its first byte.
fn passage(bytes: u64, flushed: u64, answered: u64) -> Passage {
    let begun = Instant::now();
    let after = |ms| Some(begun + Duration::from_millis(ms));
    Passage { bytes, begun: Some(begun), flushed: after(flushed), answered: after(answered) }
}

#[gtest]
fn a_request_is_taken_once_the_slowest_link_has_carried_it() {
    // 24 kB and a head take 0.097 s at 2 Mbit/s.
    expect_that!(passage(24_300, 0, 98).taken(), eq(true));
    expect_that!(passage(24_300, 0, 97).taken(), eq(false));
    expect_that!(passage(60_300, 0, 200).taken(), eq(false));
    expect_that!(passage(u64::MAX, 0, 200).taken(), eq(false));
}

#[gtest]
fn one_segment_needs_no_time() {
    expect_that!(passage(ONE_SEGMENT, 0, 0).taken(), eq(true));
    expect_that!(passage(ONE_SEGMENT + 1, 0, 0).taken(), eq(false));
}

#[gtest]
fn nothing_is_taken_that_had_not_gone_out_when_its_answer_began() {
    expect_that!(passage(300, 2, 1).taken(), eq(false));
    expect_that!(Passage { flushed: None, ..passage(300, 0, 500) }.taken(), eq(false));
    expect_that!(Passage { answered: None, ..passage(300, 0, 500) }.taken(), eq(false));
    expect_that!(Passage::default().taken(), eq(false));
}
