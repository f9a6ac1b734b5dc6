//! What follows from each kind of answer.

use googletest::prelude::*;
use pinerelay_forager::flow::Means;
use pinerelay_forager::settlement::{Line, Reply, Settlement};

const ALL: [Means; 5] = [Means::NotRun, Means::Another, Means::Answer, Means::Failure, Means::Spoilt];

#[gtest]
fn only_a_clean_line_with_a_trusted_answer_is_kept() {
    for means in ALL {
        for repeatable in [false, true] {
            let clean = Settlement::of(means, repeatable, true);
            let left = Settlement::of(means, repeatable, false);
            let spoilt = means == Means::Spoilt;
            expect_that!(clean.line, eq(if spoilt { Line::Distrusted } else { Line::Kept }), "{means:?}");
            expect_that!(left.line, eq(if spoilt { Line::Distrusted } else { Line::Closed }), "{means:?}");
            expect_that!((clean.outcome, clean.reply), eq((left.outcome, left.reply)), "{means:?}");
            expect_that!((clean.outcome, clean.verdict), eq(means.told()));
        }
    }
}

#[gtest]
fn a_client_gets_a_servers_own_answer_and_a_failure_at_once_only_if_no_other_may_be_asked() {
    let reply = |means, repeatable| Settlement::of(means, repeatable, true).reply;
    for repeatable in [false, true] {
        expect_that!(reply(Means::Answer, repeatable), eq(Reply::Client));
        for none in [Means::NotRun, Means::Another, Means::Spoilt] {
            expect_that!(reply(none, repeatable), eq(Reply::Dropped));
        }
    }
    expect_that!(reply(Means::Failure, false), eq(Reply::Client));
    expect_that!(reply(Means::Failure, true), eq(Reply::Spare));
}
