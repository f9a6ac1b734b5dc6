//! Tests that reports are rendered as aligned text and as JSON, without control characters in text.

use googletest::prelude::*;

use super::*;

#[gtest]
fn columns_are_aligned_and_json_keeps_their_names() {
    let mut table = Table::new("cars", &["name", "age", "up"]);
    table.rows.push(vec!["a\u{1b}b".into(), Cell::Integer(7), Cell::Flag(true)]);
    table.rows.push(vec!["longer".into(), Cell::None, Cell::Metrics(vec![("x".into(), 1.0)])]);
    let mut report = Report { tables: vec![table], ..Report::default() };
    let text = "NAME    AGE  UP\na?b     7    yes\nlonger  -    x=1\n";
    expect_that!(report.render(false), eq(text));
    report.missing.push("one is away".into());
    expect_that!(report.render(false), ends_with("partial: one is away\n"));
    let json = report.render(true);
    expect_that!(json, starts_with(r#"{"partial":true,"missing":["one is away"],"cars":[{"name":"#));
    expect_that!(json, contains_substring(r#""age":null,"up":{"x":1.0}"#));
}
