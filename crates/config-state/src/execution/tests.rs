//! How statuses combine, and which answers and retries each one allows.

use googletest::prelude::*;

use super::ExecutionStatus::*;

#[gtest]
fn the_higher_status_prevails_and_decides_on_rejection_and_retry() {
    expect_that!(NotExecuted.combine(MayHaveExecuted).combine(NotExecuted), eq(MayHaveExecuted));
    expect_that!(MayHaveExecuted.combine(Executed), eq(Executed));
    expect_that!(
        [NotExecuted, MayHaveExecuted, Executed].map(|status| status.allows_rejection()),
        eq([true, false, false])
    );
    expect_that!(
        [NotExecuted, MayHaveExecuted, Executed].map(|status| status.allows_retry(false)),
        eq([true, false, false])
    );
    expect_that!([MayHaveExecuted, Executed].map(|status| status.allows_retry(true)), eq([true, true]));
}
