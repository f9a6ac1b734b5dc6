//! Tests of request head validation.

use googletest::prelude::*;
use hyper::Request;

use super::*;

fn parts(headers: &[(&str, &str)], uri: &str) -> Parts {
    let mut request = Request::builder().uri(uri);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    request.body(()).expect("a request").into_parts().0
}

const VALID_HEADERS: [(&str, &str); 4] =
    [("host", "a.example"), ("x-request-id", "1"), ("x-deadline-ms", "250"), ("x-credential", "k")];

#[gtest]
fn a_head_is_parsed_and_duplicate_or_invalid_headers_are_rejected() {
    let head = RequestHead::parse(&parts(&VALID_HEADERS, "/x/y?z=1")).expect("a head");
    expect_that!((head.host.as_str(), head.api_key.as_deref()), eq(("a.example", Some("k"))));
    expect_that!(head.deadline, some(eq(Duration::from_millis(250))));
    let head = RequestHead::parse(&parts(&VALID_HEADERS, "http://b.example/x?z")).expect("a head");
    expect_that!((head.host.as_str(), head.target.to_string().as_str()), eq(("b.example", "/x?z")));
    for (name, value) in VALID_HEADERS {
        let duplicated: Vec<_> = VALID_HEADERS.into_iter().chain([(name, value)]).collect();
        expect_that!(RequestHead::parse(&parts(&duplicated, "/")).is_err(), eq(true), "{name} twice");
    }
    expect_that!(RequestHead::parse(&parts(&VALID_HEADERS[..1], "/")).is_err(), eq(true), "no id");
    let mut invalid = VALID_HEADERS;
    invalid[2].1 = "-1";
    expect_that!(RequestHead::parse(&parts(&invalid, "/")).is_err(), eq(true));
}
