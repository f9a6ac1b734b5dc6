//! The short form of the soak, with the real programs.

mod programs;

use std::process::Command;
use std::time::{Duration, Instant};

use googletest::prelude::*;
use programs::{build, meadow, run, text};

/// What the short soak is drawn from.
const SEED: &str = "1";
/// The processes of a gateway with three cores and three proxies.
const PROCESSES: usize = 9;
/// How long they may take to start, how long then until some are in trouble, and how often is looked.
const START: Duration = Duration::from_secs(30);
const TROUBLES: Duration = Duration::from_secs(3);
const LOOK: Duration = Duration::from_millis(20);
/// How long a soak that is interrupted may take to end.
const END: Duration = Duration::from_secs(10);

#[gtest]
fn a_short_soak_with_a_kill_of_all_keeps_its_rules() {
    build();
    let out = run(&meadow(), &["--soak", "--seed", SEED, "--seconds", "20"]);
    let (said, told) = (text(&out.stdout), text(&out.stderr));
    expect_that!(out.status.code(), some(eq(0)), "{said}{told}");
    expect_that!(said, contains_substring("all killed at"));
    expect_that!(said, contains_substring("verdict: all rules kept"));
    expect_that!(said, not(contains_substring("no word")));
}

/// The processes that a process has started and that still run.
fn children(id: u32) -> Vec<String> {
    let path = format!("/proc/{id}/task/{id}/children");
    let list = std::fs::read_to_string(path).unwrap_or_default();
    list.split_whitespace().map(String::from).collect()
}

#[gtest]
fn an_interrupted_soak_ends_its_processes_also_those_that_stand_still() {
    build();
    let mut soak = Command::new(meadow());
    soak.args(["--soak", "--seed", SEED, "--seconds", "60"]).stdout(std::process::Stdio::null());
    let mut soak = soak.spawn().expect("the soak");
    let until = Instant::now() + START;
    while children(soak.id()).len() < PROCESSES && Instant::now() < until {
        std::thread::sleep(LOOK);
    }
    std::thread::sleep(TROUBLES);
    let started = children(soak.id());
    expect_that!(started.len(), ge(PROCESSES - 2), "all but those that are down right now");
    let signal = |name: &str, id: &str| {
        let sent = Command::new("sh").args(["-c", &format!("kill -{name} {id}")]).status();
        expect_that!(sent.is_ok_and(|status| status.success()), eq(true), "{name} to {id}");
    };
    signal("STOP", &started[0]);
    signal("INT", &soak.id().to_string());
    let until = Instant::now() + END;
    while soak.try_wait().expect("its state").is_none() && Instant::now() < until {
        std::thread::sleep(LOOK);
    }
    // One that has ended by itself keeps its status.
    soak.kill().expect("its end");
    expect_that!(soak.wait().expect("its status").code(), some(eq(3)));
    // What was cut short leaves its settings and logs.
    let folder = std::env::temp_dir().join(format!("meadow-{}", soak.id()));
    expect_that!(std::fs::remove_dir_all(folder), ok(anything()));
    let left = started.iter().filter(|id| std::path::Path::new(&format!("/proc/{id}")).exists());
    expect_that!(left.count(), eq(0));
}
