//! Tests of the alert rules parser and its error messages.

use googletest::prelude::*;
use proptest::prelude::*;

use super::*;

const FILE: &str = r#"
[[alert]]
name = "updates_late"
metric = "proxy_update_age_seconds"
compare = "above"
raise = "4s"
clear = "2s"
hold = "1500ms"
calm = "6s"
group = "zone"
severity = "page"
page = "updates-late"
"#;

fn parse_result(from: &str, to: &str) -> String {
    match parse(Path::new("r.toml"), &FILE.replace(from, to)) {
        Ok(rules) => format!("accepted: {rules:?}"),
        Err(error) => error.to_string(),
    }
}

#[gtest]
fn errors_name_the_file_the_key_and_the_expected_value() {
    let rule = &parse(Path::new("r.toml"), FILE).expect("rules")[0];
    expect_that!((rule.raise, rule.clear, rule.reading), eq((4.0, 2.0, Reading::Value)));
    let error_at = |key: &str| starts_with(format!("r.toml: alert[0].{key}: "));
    let error_with = |key, what: &'static str| error_at(key).and(contains_substring(what));
    expect_that!(parse_result("\"1500ms\"", "1500"), error_with("hold", "a duration with a unit"));
    expect_that!(parse_result("\"1500ms\"", "\"soon\""), error_with("hold", "a duration with a unit"));
    expect_that!(parse_result("\"4s\"", "4"), error_with("raise", "a duration with a unit"));
    expect_that!(parse_result("\"4s\"", "\"1s\""), error_with("clear", "must not lie beyond raise"));
    expect_that!(parse_result("update_age", "mood"), error_with("metric", "docs/design/observing.md"));
    expect_that!(parse_result("calm", "clam"), contains_substring("unknown field `clam`"));
    expect_that!(parse_result("\"zone\"", "\"rack\""), error_with("group", "`zone`"));
    expect_that!(parse_result("compare = \"above\"", ""), contains_substring("missing field `compare`"));
    expect_that!(
        parse_result("name = \"updates_late\"", "name = \"News\""),
        error_with("name", "lower-case")
    );
    expect_that!(parse_result("page = \"updates-late\"", "page = \"\""), error_with("page", "alerts.md"));
    expect_that!(
        parse_result("hold", "rate_over = \"9s\"\nhold"),
        error_with("rate_over", "is not a counter")
    );
    expect_that!(
        parse_result("proxy_update_age_seconds", "starts_total"),
        error_with("rate_over", "is a counter")
    );
    expect_that!(parse_result("[[alert]]", "[[alarm]]"), contains_substring("unknown field `alarm`"));
    expect_that!(parse_result("[[alert]]", "[[alert"), starts_with("r.toml: .: "));
    expect_that!(parse(Path::new("r.toml"), &FILE.replace("metric =", "figure =")), ok(len(eq(1))));
    let duplicate = format!("{FILE}{FILE}");
    let duplicate = parse(Path::new("r.toml"), &duplicate).expect_err("two rules with one name").to_string();
    expect_that!(duplicate, starts_with("r.toml: alert[1].name: "));
}

proptest! {
    #[test]
    fn malformed_text_does_not_panic(index in 0..FILE.len(), byte: u8, length in 0..FILE.len()) {
        let mut corrupted = FILE.as_bytes().to_vec();
        corrupted[index] = byte;
        let _ = parse(Path::new("r.toml"), &String::from_utf8_lossy(&corrupted));
        let _ = parse(Path::new("r.toml"), &FILE[..length]);
    }
}
