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
        Troubles { tenants: 40, early: true, herd: true, disks: true, soak: None },
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
    let soak = Soak { seed: 9, cores: 5, proxies: 40 };
    let soaked = Ok(Command::Play(Duration::from_secs(20), Troubles { soak: Some(soak), ..none }, false));
    expect_that!(said(&["--soak", "--seed", "9", "--cores", "5", "--proxies", "40"]), eq(&soaked));
    for odd in [&["--soak", "--early"][..], &["--soak", "--disks"], &["--seed", "3"], &["--proxies", "9"]] {
        expect_that!(said(odd), err(starts_with("--soak goes with")), "{odd:?}");
    }
    for bad in [["--cores", "2"], ["--cores", "6"], ["--proxies", "61"], ["--seed", "-1"]] {
        expect_that!(said(&["--soak", bad[0], bad[1]]), err(contains_substring("a number from")), "{bad:?}");
    }
    expect_that!(said(&["now"]), err(starts_with("\"now\" is no option")));
    expect_that!(said(&["--help"]), ok(matches_pattern!(Command::Print(contains_substring("Exit codes")))));
}
