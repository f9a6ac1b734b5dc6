//! Each kind of response has one class.

use googletest::prelude::*;

use super::*;

#[gtest]
fn each_kind_of_answer_means_one_thing() {
    let sent = |status: u16, names: &[(&'static str, &str)]| {
        let mut headers = HeaderMap::new();
        for (name, value) in names {
            headers.insert(*name, value.parse().expect("a value"));
        }
        classify(StatusCode::from_u16(status).expect("a status"), &headers, &HeaderValue::from_static("7"))
    };
    let (id, seal) = (("x-request-id", "7"), ("x-server-seal", "s"));
    expect_that!(sent(200, &[id, seal]), eq(ResponseClass::Answer));
    expect_that!(sent(200, &[id]), eq(ResponseClass::Untrusted), "no stamp");
    expect_that!(sent(200, &[seal]), eq(ResponseClass::Untrusted), "no id");
    expect_that!(sent(200, &[("x-request-id", "8"), seal]), eq(ResponseClass::Untrusted), "another's");
    expect_that!(sent(503, &[("x-request-id", "8"), ("x-not-executed", "1")]), eq(ResponseClass::Untrusted));
    expect_that!(sent(200, &[id, seal, ("content-encoding", "gzip")]), eq(ResponseClass::Untrusted));
    expect_that!(sent(503, &[("x-not-executed", "1")]), eq(ResponseClass::NotExecuted));
    expect_that!(sent(200, &[id, seal, ("x-not-executed", "1")]), eq(ResponseClass::Untrusted), "either or");
    expect_that!(sent(503, &[id]), eq(ResponseClass::ServerError));
    expect_that!(sent(500, &[id]), eq(ResponseClass::ServerError));
    expect_that!(sent(404, &[id]), eq(ResponseClass::Answer));
    expect_that!(sent(421, &[id]), eq(ResponseClass::Misdirected));
    expect_that!(ResponseClass::Untrusted.execution().allows_rejection(), eq(false));
    expect_that!(ResponseClass::Misdirected.execution().allows_rejection(), eq(true));
}
