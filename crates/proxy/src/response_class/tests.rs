//! Tests of response classification.

use googletest::prelude::*;

use super::*;

#[gtest]
fn each_response_gets_its_class() {
    let class_of = |status: u16, names: &[(&'static str, &str)]| {
        let mut headers = HeaderMap::new();
        for (name, value) in names {
            headers.insert(*name, value.parse().expect("a value"));
        }
        classify(StatusCode::from_u16(status).expect("a status"), &headers, &HeaderValue::from_static("7"))
    };
    let (id, seal) = (("x-request-id", "7"), ("x-server-seal", "s"));
    expect_that!(class_of(200, &[id, seal]), eq(ResponseClass::Answer));
    expect_that!(class_of(200, &[id]), eq(ResponseClass::Untrusted), "no seal");
    expect_that!(class_of(200, &[seal]), eq(ResponseClass::Untrusted), "no id");
    expect_that!(
        class_of(200, &[("x-request-id", "8"), seal]),
        eq(ResponseClass::Untrusted),
        "id of another request"
    );
    expect_that!(
        class_of(503, &[("x-request-id", "8"), ("x-not-executed", "1")]),
        eq(ResponseClass::Untrusted)
    );
    expect_that!(class_of(200, &[id, seal, ("content-encoding", "gzip")]), eq(ResponseClass::Untrusted));
    expect_that!(class_of(503, &[("x-not-executed", "1")]), eq(ResponseClass::NotExecuted));
    expect_that!(
        class_of(200, &[id, seal, ("x-not-executed", "1")]),
        eq(ResponseClass::Untrusted),
        "success and not executed"
    );
    expect_that!(class_of(503, &[id]), eq(ResponseClass::ServerError));
    expect_that!(class_of(500, &[id]), eq(ResponseClass::ServerError));
    expect_that!(class_of(404, &[id]), eq(ResponseClass::Answer));
    expect_that!(class_of(421, &[id]), eq(ResponseClass::Misdirected));
    expect_that!(ResponseClass::Untrusted.execution().allows_rejection(), eq(false));
    expect_that!(ResponseClass::Misdirected.execution().allows_rejection(), eq(true));
}
