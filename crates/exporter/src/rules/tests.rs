//! Files that are accepted, and what is reported of those that are not.

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

fn why(from: &str, to: &str) -> String {
    match parse(Path::new("r.toml"), &FILE.replace(from, to)) {
        Ok(rules) => format!("taken: {rules:?}"),
        Err(error) => error.to_string(),
    }
}

#[gtest]
fn what_is_wrong_is_reported_with_file_key_and_what_is_wanted() {
    let rule = &parse(Path::new("r.toml"), FILE).expect("rules")[0];
    expect_that!((rule.raise, rule.clear, rule.reading), eq((4.0, 2.0, Reading::Value)));
    let at = |key: &str| starts_with(format!("r.toml: alert[0].{key}: "));
    let all = |key, what: &'static str| at(key).and(contains_substring(what));
    expect_that!(why("\"1500ms\"", "1500"), all("hold", "a time with its unit"));
    expect_that!(why("\"1500ms\"", "\"soon\""), all("hold", "a time with its unit"));
    expect_that!(why("\"4s\"", "4"), all("raise", "a time with its unit"));
    expect_that!(why("\"4s\"", "\"1s\""), all("clear", "the side without trouble"));
    expect_that!(why("update_age", "mood"), all("metric", "docs/design/observing.md"));
    expect_that!(why("calm", "clam"), contains_substring("unknown field `clam`"));
    expect_that!(why("\"zone\"", "\"rack\""), all("group", "`zone`"));
    expect_that!(why("compare = \"above\"", ""), contains_substring("missing field `compare`"));
    expect_that!(why("name = \"updates_late\"", "name = \"News\""), all("name", "lower-case"));
    expect_that!(why("page = \"updates-late\"", "page = \"\""), all("page", "alerts.md"));
    expect_that!(why("hold", "rate_over = \"9s\"\nhold"), all("rate_over", "does not count"));
    expect_that!(why("proxy_update_age_seconds", "starts_total"), all("rate_over", "only grows"));
    expect_that!(why("[[alert]]", "[[alarm]]"), contains_substring("unknown field `alarm`"));
    expect_that!(why("[[alert]]", "[[alert"), starts_with("r.toml: .: "));
    expect_that!(parse(Path::new("r.toml"), &FILE.replace("metric =", "figure =")), ok(len(eq(1))));
    let twice = format!("{FILE}{FILE}");
    let twice = parse(Path::new("r.toml"), &twice).expect_err("two of a name").to_string();
    expect_that!(twice, starts_with("r.toml: alert[1].name: "));
}

proptest! {
    #[test]
    fn no_text_makes_it_panic(at in 0..FILE.len(), byte: u8, cut in 0..FILE.len()) {
        let mut spoilt = FILE.as_bytes().to_vec();
        spoilt[at] = byte;
        let _ = parse(Path::new("r.toml"), &String::from_utf8_lossy(&spoilt));
        let _ = parse(Path::new("r.toml"), &FILE[..cut]);
    }
}
