//! Tests of the command-line parser and its error messages.

use googletest::prelude::*;

use super::*;

fn parsed(line: &str) -> std::result::Result<Command, String> {
    parse(line.split_whitespace().map(String::from)).map_err(|e| e.to_string())
}

#[gtest]
fn parses_actions_and_targets_and_reports_invalid_arguments() {
    let targets = || TargetOptions {
        control_addresses: vec!["127.0.0.1:9".parse().expect("an address")],
        ..TargetOptions::default()
    };
    let expected = |action, targets| Ok(Command::Execute(Invocation { action, targets, as_json: false }));
    expect_that!(parsed("nodes --at 127.0.0.1:9"), eq(&expected(Action::Nodes, targets())));
    expect_that!(
        parsed("items tenant --at 127.0.0.1:9"),
        eq(&expected(Action::Items(Some(Kind::Tenant)), targets()))
    );
    let check = Action::Check("f".into());
    expect_that!(parsed("config check f"), eq(&expected(check, TargetOptions::default())));
    let apply = Action::Apply { path: "f".into(), is_dry_run: true };
    expect_that!(parsed("config apply f --dry-run --at 127.0.0.1:9"), eq(&expected(apply, targets())));
    expect_that!(parsed("nodes"), err(starts_with("one of --at")));
    expect_that!(parsed("move"), err(starts_with("\"move\": nodes, servers")));
    expect_that!(parsed(""), err(starts_with("\"\": nodes")));
    expect_that!(parsed("items cars --at 127.0.0.1:9"), err(starts_with("\"cars\": routes")));
    expect_that!(parsed("nodes now --at 127.0.0.1:9"), err(starts_with("\"now\": nothing more")));
    expect_that!(parsed("nodes --at me"), err(starts_with("--at: an IPv4")));
    expect_that!(parsed("nodes --at 127.0.0.1:9 --internal 0"), err(starts_with("--internal: a port")));
    expect_that!(parsed("nodes --dry-run --at 127.0.0.1:9"), err(starts_with("--dry-run")));
    expect_that!(parsed("config diff"), err(starts_with("a file with")));
    expect_that!(parsed("completion bash"), ok(eq(&Command::PrintCompletion)));
    let text = options().usage("");
    for option in OPTIONS {
        expect_that!(text, contains_substring(format!("--{option}")));
    }
    let endpoints = targets().resolve().expect("endpoints");
    expect_that!(endpoints.internal().is_err(), eq(true));
}
