//! Names that are accepted, and names that are not.

use googletest::prelude::*;

use super::*;

#[gtest]
fn names_are_parsed_as_processes_write_them_and_nothing_unbounded_is_accepted() {
    expect_that!(
        parse_name("registry_majority"),
        some(eq(&MetricName { name: "registry_majority", label: None }))
    );
    let label = Some(Label { name: "status", value: "200".to_string() });
    let labelled = MetricName { name: "proxy_answers_total", label };
    expect_that!(parse_name("proxy_answers_total{status=\"200\"}"), some(eq(&labelled)));
    for bad in ["registry_mood", "up{key=\"k\"}", "up{zone=\"a", "up{zone=\"a b\"}", "up{", "{}"] {
        expect_that!(parse_name(bad), none(), "{bad}");
    }
    expect_that!(parse_name(&format!("up{{zone=\"{}\"}}", "a".repeat(49))), none());
}
