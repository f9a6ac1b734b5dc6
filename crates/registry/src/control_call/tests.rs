//! Parsing of control calls, and the HTTP status of each kind of rejection.

use googletest::prelude::*;

use super::*;

#[gtest]
fn calls_are_parsed_from_method_path_and_query() {
    let parse_with = |method, path, query, body: &str| parse(method, path, Some(query), body.as_bytes());
    expect_that!(parse_with("POST", PATH, "call=config.read", ""), ok(eq(&ControlCall::Read)));
    let update = parse_with("POST", PATH, "call=config.update&x=1", "{}");
    expect_that!(update, ok(eq(&ControlCall::Update(b"{}".to_vec()))));
    let leave = parse_with("POST", PATH, "of=i%2d7&call=servers.leave", "");
    expect_that!(leave, ok(eq(&ControlCall::Leave { id: "i-7".into() })));
    let status = |call: std::result::Result<ControlCall, CallError>| call.expect_err("rejected").status();
    expect_that!(status(parse_with("GET", PATH, "call=config.read", "")), eq(405));
    expect_that!(status(parse_with("POST", "/", "call=config.read", "")), eq(404));
    expect_that!(status(parse_with("POST", PATH, "call=config", "")), eq(404));
    expect_that!(status(parse_with("POST", PATH, "call=servers.leave&of=%zz", "")), eq(400));
    expect_that!(status(parse_with("POST", PATH, "call=servers.heartbeat&of=i", "{}")), eq(400));
}
