//! A test that fails prints the logs of its nodes: they say what the peers can't see.

mod fakes;

use std::process::Command;

use fakes::*;

/// Set for the run that fails on purpose.
const FAILS: &str = "PINERELAY_TEST_FAILS";

/// Runs one test of this file by itself so that it fails; returns what it prints.
fn output_of_failure(test: &str) -> String {
    let this = std::env::current_exe().expect("the path of this program");
    let run = Command::new(this).args(["--exact", test]).env(FAILS, "1").output().expect("an end");
    assert!(!run.status.success(), "the run was to fail");
    format!("{}{}", String::from_utf8_lossy(&run.stdout), String::from_utf8_lossy(&run.stderr))
}

/// Whether this is the run that fails on purpose.
fn fails() -> bool {
    std::env::var_os(FAILS).is_some()
}

/// Asserts that this output has the line that a node logs when it turns a configuration down.
fn assert_has_log(output: &str) {
    assert!(output.contains("pinerelay: the old configuration stays: "), "{output}");
}

/// A node that has logged one line after those of its start, and its folder.
fn node_with_a_log() -> (Edge, Folder) {
    let folder = Folder::new();
    let edge = Edge::with_operators(&config(&[]), &folder.0);
    edge.reload("{");
    until("turned down", || edge.metric("config_reload_errors_total") == 1.0);
    (edge, folder)
}

#[test]
fn a_failed_assertion_does_not_leave_the_cause_in_an_unread_log() {
    if fails() {
        let (edge, _folder) = node_with_a_log();
        assert_eq!(edge.call("GET", "/nowhere", "").0, 200);
    }
    assert_has_log(&output_of_failure("a_failed_assertion_does_not_leave_the_cause_in_an_unread_log"));
}

#[test]
fn a_condition_that_never_holds_does_not_leave_the_cause_in_an_unread_log() {
    if fails() {
        let (edge, _folder) = node_with_a_log();
        until_within("never", std::time::Duration::ZERO, || edge.call("GET", "/nowhere", "").0 == 200);
    }
    assert_has_log(&output_of_failure(
        "a_condition_that_never_holds_does_not_leave_the_cause_in_an_unread_log",
    ));
}

#[test]
fn an_end_without_success_does_not_leave_the_cause_in_an_unread_log() {
    if fails() {
        let (edge, _folder) = node_with_a_log();
        edge.signal("KILL");
        edge.end_in_success();
    }
    assert_has_log(&output_of_failure("an_end_without_success_does_not_leave_the_cause_in_an_unread_log"));
}
