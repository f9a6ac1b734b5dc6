//! Tests of the metric name parser.

use googletest::prelude::*;

use super::*;

#[gtest]
fn parses_reported_names_and_rejects_unknown_or_unbounded_ones() {
    expect_that!(
        parse_name("registry_majority"),
        some(eq(&MetricName { name: "registry_majority", label: None }))
    );
    let label = Some(Label { name: "status", value: "200".to_string() });
    let labelled = MetricName { name: "proxy_answers_total", label };
    expect_that!(parse_name("proxy_answers_total{status=\"200\"}"), some(eq(&labelled)));
    for invalid in ["registry_mood", "up{key=\"k\"}", "up{zone=\"a", "up{zone=\"a b\"}", "up{", "{}"] {
        expect_that!(parse_name(invalid), none(), "{invalid}");
    }
    expect_that!(parse_name(&format!("up{{zone=\"{}\"}}", "a".repeat(49))), none());
}
