//! What an acknowledged call leaves, and the quota that is judged.

use googletest::prelude::*;

use super::*;

#[gtest]
fn what_is_acknowledged_stands_and_what_is_removed_does_not() {
    let mut records = Records::default();
    acknowledged(&mut records, &first_call(CROWD));
    expect_that!(records.acknowledged.len(), eq(9 + 3 + CROWD + 4 + 1));
    acknowledged(&mut records, SECOND);
    let key = |list: &str, name: &str| (list.to_string(), name.to_string());
    expect_that!(records.acknowledged.contains_key(&key("routes", "old")), eq(false));
    expect_that!(records.acknowledged.contains_key(&key("routes", "new")), eq(true));
    let moved = &records.acknowledged[&key("routes", "move")];
    expect_that!(moved.get("service"), some(eq("\"bells\"")));
    expect_that!(moved.contains_key("traffic_split"), eq(false), "null is left out");
    expect_that!(records.acknowledged[&key("limits", "limits")].get("revision"), some(eq("1")));
}

#[gtest]
fn the_greedy_tenant_is_judged_by_what_is_sent() {
    let mut records = Records::default();
    acknowledged(&mut records, &first_call(CROWD));
    let tenant = &records.acknowledged[&("tenants".to_string(), GREEDY.to_string())];
    let number = |name: &str| tenant.get(name).and_then(|n| n.parse::<f64>().ok());
    expect_that!((number("rate_per_s"), number("burst")), eq((Some(GREEDY_QUOTA.0), Some(GREEDY_QUOTA.1))));
}
