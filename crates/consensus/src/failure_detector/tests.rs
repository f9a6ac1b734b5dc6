//! Silence of stores while their heartbeats wait here.

use googletest::prelude::*;

use super::*;

#[gtest]
fn a_store_whose_heartbeats_wait_here_has_not_failed() {
    let member = Member { name: "b".into(), incarnation: 1 };
    let mut detector = FailureDetector::new("a".into());
    detector.heartbeat(0, "b", Some(1), true);
    for now in (0..3_000_000).step_by(100_000) {
        detector.set_backlog(now, 800_000);
        detector.tick(now);
    }
    expect_that!(detector.has_failed(3_000_000, &member), eq(false));
    for now in (3_000_000..=5_400_000).step_by(100_000) {
        detector.set_backlog(now, 0);
        detector.tick(now);
    }
    expect_that!(detector.has_failed(5_399_999, &member), eq(false), "silent for 2.5 s without a backlog");
    expect_that!(detector.has_failed(5_400_000, &member), eq(true));
}
