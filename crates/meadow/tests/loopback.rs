//! The short form of the play, with the real programs; and what the program says when it can't play.

mod programs;

use googletest::prelude::*;
use programs::{build, meadow, run, text};

#[gtest]
fn a_small_gateway_serves_and_keeps_its_rules_through_troubles() {
    build();
    let out = run(&meadow(), &["--seconds", "7", "--early", "--herd", "--tenants", "3000"]);
    let (said, told) = (text(&out.stdout), text(&out.stderr));
    expect_that!(out.status.code(), some(eq(0)), "{said}{told}");
    expect_that!(said, contains_substring("verdict: all rules kept"));
    expect_that!(said, not(contains_substring("no word")));
}

// A core that was told to bear two losses had three voters, so two lost disks left none that could read or write: the
// operator got "503 no majority of the stores has answered in time" from then on.
#[gtest]
fn a_core_of_five_that_loses_two_disks_keeps_what_was_acknowledged_and_takes_changes() {
    build();
    let out = run(&meadow(), &["--seconds", "7", "--disks"]);
    let (said, told) = (text(&out.stdout), text(&out.stderr));
    expect_that!(out.status.code(), some(eq(0)), "{said}{told}");
    expect_that!(said, contains_substring("core machines [0, 1] are back, with empty disks"));
    expect_that!(said, contains_substring("verdict: all rules kept"));
}

#[gtest]
fn without_the_programs_it_says_what_builds_them() {
    let folder = std::env::temp_dir().join(format!("meadow-test-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let alone = folder.join("meadow");
    std::fs::copy(meadow(), &alone).expect("a copy");
    let out = run(&alone, &[]);
    std::fs::remove_dir_all(folder).expect("the folder");
    expect_that!(out.status.code(), some(eq(3)));
    let told = text(&out.stderr);
    expect_that!(told, contains_substring("this builds it: cargo build"));
    expect_that!(told.lines().count(), eq(1));
}
