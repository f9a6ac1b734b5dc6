//! What follows from each kind of answer.

use googletest::prelude::*;
use pinerelay_proxy::attempt_outcome::{AttemptOutcome, ConnectionFate, ResponseUse};
use pinerelay_proxy::response_class::ResponseClass;

const ALL: [ResponseClass; 5] = [
    ResponseClass::NotExecuted,
    ResponseClass::Misdirected,
    ResponseClass::Answer,
    ResponseClass::ServerError,
    ResponseClass::Untrusted,
];

#[gtest]
fn only_a_clean_connection_with_a_trusted_response_is_reused() {
    for class in ALL {
        for is_idempotent in [false, true] {
            let clean = AttemptOutcome::new(class, is_idempotent, true);
            let left = AttemptOutcome::new(class, is_idempotent, false);
            let is_untrusted = class == ResponseClass::Untrusted;
            expect_that!(
                clean.connection,
                eq(if is_untrusted { ConnectionFate::Distrusted } else { ConnectionFate::Reused }),
                "{class:?}"
            );
            expect_that!(
                left.connection,
                eq(if is_untrusted { ConnectionFate::Distrusted } else { ConnectionFate::Closed }),
                "{class:?}"
            );
            expect_that!((clean.outcome, clean.response), eq((left.outcome, left.response)), "{class:?}");
            expect_that!((clean.outcome, clean.execution), eq((class.outcome(), class.execution())));
        }
    }
}

#[gtest]
fn a_client_gets_a_servers_own_answer_and_a_failure_at_once_only_if_no_other_may_be_asked() {
    let reply = |class, is_idempotent| AttemptOutcome::new(class, is_idempotent, true).response;
    for is_idempotent in [false, true] {
        expect_that!(reply(ResponseClass::Answer, is_idempotent), eq(ResponseUse::Client));
        for none in [ResponseClass::NotExecuted, ResponseClass::Misdirected, ResponseClass::Untrusted] {
            expect_that!(reply(none, is_idempotent), eq(ResponseUse::Dropped));
        }
    }
    expect_that!(reply(ResponseClass::ServerError, false), eq(ResponseUse::Client));
    expect_that!(reply(ResponseClass::ServerError, true), eq(ResponseUse::Fallback));
}
