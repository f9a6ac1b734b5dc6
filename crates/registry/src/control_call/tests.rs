//! Which calls are parsed.

use googletest::prelude::*;

use super::*;

#[gtest]
fn one_dispatch_for_servers_and_operators() {
    let sent = |method, path, query, body: &str| parse(method, path, Some(query), body.as_bytes());
    expect_that!(sent("POST", PATH, "call=config.read", ""), ok(eq(&ControlCall::Read)));
    let update = sent("POST", PATH, "call=config.update&x=1", "{}");
    expect_that!(update, ok(eq(&ControlCall::Update(b"{}".to_vec()))));
    let leave = sent("POST", PATH, "of=i%2d7&call=servers.leave", "");
    expect_that!(leave, ok(eq(&ControlCall::Leave { id: "i-7".into() })));
    let status = |call: std::result::Result<ControlCall, CallError>| call.expect_err("rejected").status();
    expect_that!(status(sent("GET", PATH, "call=config.read", "")), eq(405));
    expect_that!(status(sent("POST", "/", "call=config.read", "")), eq(404));
    expect_that!(status(sent("POST", PATH, "call=config", "")), eq(404));
    expect_that!(status(sent("POST", PATH, "call=servers.leave&of=%zz", "")), eq(400));
    expect_that!(status(sent("POST", PATH, "call=servers.heartbeat&of=i", "{}")), eq(400));
}
