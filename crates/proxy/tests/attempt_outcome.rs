//! Tests of how each class of response is handled.

use googletest::prelude::*;
use pinerelay_proxy::attempt_outcome::{ConnectionDisposition, ResponseDisposition, ResponseHandling};
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
            let clean = ResponseHandling::new(class, is_idempotent, true);
            let unclean = ResponseHandling::new(class, is_idempotent, false);
            let is_untrusted = class == ResponseClass::Untrusted;
            expect_that!(
                clean.connection,
                eq(if is_untrusted {
                    ConnectionDisposition::Distrusted
                } else {
                    ConnectionDisposition::Reused
                }),
                "{class:?}"
            );
            expect_that!(
                unclean.connection,
                eq(if is_untrusted {
                    ConnectionDisposition::Distrusted
                } else {
                    ConnectionDisposition::Closed
                }),
                "{class:?}"
            );
            expect_that!(
                (clean.outcome, clean.response),
                eq((unclean.outcome, unclean.response)),
                "{class:?}"
            );
            expect_that!((clean.outcome, clean.execution), eq((class.outcome(), class.execution())));
        }
    }
}

#[gtest]
fn clients_get_answers_and_a_server_error_at_once_only_without_a_further_attempt() {
    let reply = |class, is_idempotent| ResponseHandling::new(class, is_idempotent, true).response;
    for is_idempotent in [false, true] {
        expect_that!(reply(ResponseClass::Answer, is_idempotent), eq(ResponseDisposition::Client));
        for dropped_class in
            [ResponseClass::NotExecuted, ResponseClass::Misdirected, ResponseClass::Untrusted]
        {
            expect_that!(reply(dropped_class, is_idempotent), eq(ResponseDisposition::Dropped));
        }
    }
    expect_that!(reply(ResponseClass::ServerError, false), eq(ResponseDisposition::Client));
    expect_that!(reply(ResponseClass::ServerError, true), eq(ResponseDisposition::Fallback));
}
