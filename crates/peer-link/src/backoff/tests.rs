//! Pauses that grow with failed attempts, and get short again.

use googletest::prelude::*;

use super::*;

/// More failed attempts than the pause grows for.
const FAILED_ATTEMPTS: usize = 10;
/// As many processes as the largest deployment has.
const PROCESSES: u64 = 300;
/// The parts of the range of a pause among which attempts are counted.
const PARTS: usize = 10;

#[gtest]
fn pauses_grow_up_to_the_maximum_until_a_connection_succeeds() {
    let mut backoff = Backoff::new(7);
    for round in 0..3 {
        let pauses: Vec<Duration> = (0..FAILED_ATTEMPTS).map(|_| backoff.pause()).collect();
        expect_that!(pauses[..4].is_sorted(), eq(true), "round {round}: {pauses:?}");
        expect_that!(pauses[0], le(MIN_PAUSE), "round {round}");
        expect_that!(pauses[3..], each(all!(ge(&(MAX_PAUSE / 2)), le(&MAX_PAUSE))), "round {round}");
        backoff.reset();
    }
}

#[gtest]
fn processes_that_start_together_do_not_reconnect_together() {
    let mut backoffs: Vec<Backoff> = (0..PROCESSES).map(Backoff::new).collect();
    for limit in [MIN_PAUSE, 2 * MIN_PAUSE, 4 * MIN_PAUSE, MAX_PAUSE, MAX_PAUSE] {
        let mut attempts = [0_u64; PARTS + 1];
        for backoff in &mut backoffs {
            let pause = backoff.pause();
            assert_that!(pause, all!(ge(limit / 2), le(limit)));
            let part = (pause - limit / 2).as_nanos() * PARTS as u128 / (limit / 2).as_nanos();
            attempts[part as usize] += 1;
        }
        // An even spread has a tenth of the attempts in each part.
        expect_that!(attempts, each(le(PROCESSES / 5)), "up to {limit:?}");
    }
}
