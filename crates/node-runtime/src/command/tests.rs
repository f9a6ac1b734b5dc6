//! Tests of the command-line parser.

use googletest::prelude::*;

use super::*;

fn parsed(args: &[&str], settings_path: Option<&str>) -> std::result::Result<Command, String> {
    let args = args.iter().map(|a| a.to_string());
    parse("config-store", "keeps", args, settings_path.map(PathBuf::from)).map_err(|e| e.to_string())
}

#[gtest]
fn settings_path_comes_from_the_option_or_the_environment() {
    let run = |path: &str| Ok(Command::Run(path.into(), Level::Info));
    expect_that!(parsed(&[], Some("b.toml")), eq(&run("b.toml")));
    expect_that!(parsed(&["-s", "a.toml"], Some("b.toml")), eq(&run("a.toml")));
    let debug = Command::Run("b.toml".into(), Level::Debug);
    expect_that!(parsed(&["--log=debug"], Some("b.toml")), eq(&Ok(debug)));
    expect_that!(parsed(&["--check"], Some("b.toml")), eq(&Ok(Command::Check("b.toml".into()))));
    expect_that!(parsed(&[], None), err(contains_substring("PINERELAY_BOOT")));
    expect_that!(parsed(&["--log=loud"], None), err(starts_with("--log: error, warn")));
    expect_that!(parsed(&["now"], None), err(starts_with("\"now\" is not an option")));
    expect_that!(parsed(&["--hush"], None), err(contains_substring("hush")));
    expect_that!(parsed(&["-h"], None), ok(matches_pattern!(Command::Print(contains_substring("--check")))));
}
