//! What each execution status allows.

use googletest::prelude::*;

use super::ExecutionStatus::*;

#[gtest]
fn nothing_takes_back_what_was_sent() {
    expect_that!(NotExecuted.combine(MayHaveExecuted).combine(NotExecuted), eq(MayHaveExecuted));
    expect_that!(MayHaveExecuted.combine(Executed), eq(Executed));
    expect_that!(
        [NotExecuted, MayHaveExecuted, Executed].map(|v| v.allows_rejection()),
        eq([true, false, false])
    );
    expect_that!(
        [NotExecuted, MayHaveExecuted, Executed].map(|v| v.allows_retry(false)),
        eq([true, false, false])
    );
    expect_that!([MayHaveExecuted, Executed].map(|v| v.allows_retry(true)), eq([true, true]));
}
