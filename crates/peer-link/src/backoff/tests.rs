//! Pauses that grow with failed attempts, and get short again.

use googletest::prelude::*;

use super::*;

/// More failed attempts than the pause grows for.
const FAILED_ATTEMPTS: usize = 10;

#[gtest]
fn pauses_grow_up_to_the_maximum_until_a_connection_succeeds() {
    let mut backoff = Backoff::new();
    for round in 0..3 {
        let pauses: Vec<Duration> = (0..FAILED_ATTEMPTS).map(|_| backoff.pause()).collect();
        expect_that!(pauses[..4].is_sorted_by(|a, b| a < b), eq(true), "round {round}: {pauses:?}");
        expect_that!(pauses[0], le(MIN_PAUSE), "round {round}");
        expect_that!(pauses[3..], each(all!(ge(&(MAX_PAUSE / 2)), le(&MAX_PAUSE))), "round {round}");
        backoff.reset();
    }
}
