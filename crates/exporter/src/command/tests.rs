//! Tests of the command-line parser and its error messages.

use googletest::prelude::*;

use super::*;

fn parsed(line: &str) -> std::result::Result<Command, String> {
    parse(line.split_whitespace().map(String::from)).map_err(|e| e.to_string())
}

#[gtest]
fn parses_run_and_check_options_and_reports_invalid_arguments() {
    let run = |registries, rules: Option<&str>| {
        Command::Run(RunOptions {
            listen: "127.0.0.1:9".parse().expect("an address"),
            registries,
            rules: rules.map(PathBuf::from),
            level: Level::Info,
        })
    };
    let at = RegistrySource::Addresses(vec!["127.0.0.2:7".parse().expect("an address")]);
    expect_that!(parsed("--listen 127.0.0.1:9 --at 127.0.0.2:7"), eq(&Ok(run(at, None))));
    let settings = RegistrySource::Settings("s.toml".into());
    expect_that!(parsed("--listen=127.0.0.1:9 -s s.toml -r r.toml"), eq(&Ok(run(settings, Some("r.toml")))));
    expect_that!(parsed("--check r.toml"), eq(&Ok(Command::CheckRules("r.toml".into()))));
    expect_that!(parsed("--at 127.0.0.2:7"), err(starts_with("--listen ADDRESS")));
    expect_that!(parsed("--listen here --at 127.0.0.2:7"), err(starts_with("--listen: an address")));
    expect_that!(parsed("--listen 127.0.0.1:9"), err(starts_with("one of --settings")));
    expect_that!(parsed("--listen 127.0.0.1:9 --at 127.0.0.2:7 -s s"), err(starts_with("one of --settings")));
    expect_that!(parsed("--listen 127.0.0.1:9 --at me"), err(starts_with("--at: an IPv4")));
    let two = parsed("--listen 127.0.0.1:9 --at 127.0.0.2:7 --at 127.0.0.3:8");
    expect_that!(two, err(contains_substring("the same port")));
    expect_that!(parsed("now"), err(starts_with("\"now\" is not an option")));
    expect_that!(parsed("-h"), ok(matches_pattern!(Command::Print(contains_substring("--rules")))));
}
