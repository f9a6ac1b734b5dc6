//! The operators' page names these calls. An order that is answered 404 three times is never acknowledged.

use googletest::prelude::*;
use pinerelay_registry::control_call;

const ORDER: &[u8] = br#"{"service":"huvo11a","target_version":"v2","deadline":"12s"}"#;

#[gtest]
fn the_order_of_a_rollout_and_its_read_are_calls_of_the_registry() {
    let started = control_call::parse("POST", control_call::PATH, Some("call=rollouts.start"), ORDER);
    expect_that!(started, ok(anything()));
    let read = control_call::parse("POST", control_call::PATH, Some("call=rollouts.read&of=huvo11a"), b"");
    expect_that!(read, ok(anything()));
}
