//! How the command line is read.

use googletest::prelude::*;

use super::*;

fn said(args: &[&str]) -> std::result::Result<Command, String> {
    read(args.iter().map(|a| a.to_string())).map_err(|e| e.to_string())
}

#[gtest]
fn options_are_read_and_what_is_odd_is_told() {
    let none = Troubles::default();
    let play = |seconds, keep| Ok(Command::Play(Duration::from_secs(seconds), none, keep));
    let both = Ok(Command::Play(
        Duration::from_secs(20),
        Troubles { tenants: 40, early: true, herd: true, disks: true },
        false,
    ));
    expect_that!(said(&["--early", "--herd", "--disks", "--tenants", "40"]), eq(&both));
    expect_that!(said(&[]), eq(&play(20, false)));
    expect_that!(said(&["--seconds", "8", "--keep"]), eq(&play(8, true)));
    for bad in ["5", "x", "inf", "nan", "-8"] {
        let told = said(&[&format!("--seconds={bad}")]);
        expect_that!(told, err(starts_with("--seconds: a number from 6 to 3600")), "{bad}");
    }
    for bad in ["0", "50001", "x"] {
        let told = said(&[&format!("--tenants={bad}")]);
        expect_that!(told, err(starts_with("--tenants: a number from 1 to 50000")), "{bad}");
    }
    expect_that!(said(&["now"]), err(starts_with("\"now\" is no option")));
    expect_that!(said(&["--help"]), ok(matches_pattern!(Command::Print(contains_substring("Exit codes")))));
}
