//! The command line and `pinerelay check`.

mod fakes;

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use fakes::{config, entry, refusing_address};
use serde_json::{json, Value};

fn pinerelay(words: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_pinerelay"));
    command.env_remove("PROXY_CONFIG").env_remove("PINERELAY_OPERATOR");
    command.args(words).output().expect("the program runs")
}

fn file(name: &str, text: &str) -> PathBuf {
    let path =
        Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("pinerelay-check-{}-{name}", std::process::id()));
    std::fs::write(&path, text).expect("a file");
    path
}

/// Checks one file; returns the exit code and the standard error output.
fn check(name: &str, text: &str) -> (Option<i32>, String) {
    let path = file(name, text);
    let out = pinerelay(&["check", path.to_str().expect("UTF-8")]);
    std::fs::remove_file(path).expect("the file");
    (out.status.code(), String::from_utf8(out.stderr).expect("text"))
}

fn valid_config() -> Value {
    config(&[entry("s-1", refusing_address(), "a", "up")])
}

#[test]
fn valid_files_are_accepted_and_no_socket_is_opened() {
    // An address that this machine does not have: listening there would fail.
    let mut config = valid_config();
    config["listen"] = json!("192.0.2.1:3000");
    let config = file("sound.json", &config.to_string());
    let operator = file("sound.toml", "[counter]\nconnections = 8\n");
    let out = pinerelay(&["check", config.to_str().expect("UTF-8"), operator.to_str().expect("UTF-8")]);
    assert_eq!(out.status.code(), Some(0), "{out:?}");
    assert_eq!(String::from_utf8_lossy(&out.stdout).matches(": valid\n").count(), 2);
    for path in [config, operator] {
        std::fs::remove_file(path).expect("the file");
    }
}

#[test]
fn each_fault_of_a_configuration_names_file_and_key() {
    type Change = fn(&mut Value);
    let rows: [(Change, &str); 9] = [
        (|c| c["listen"] = json!("nowhere"), "listen: \"nowhere\" is no address"),
        (|c| c["seed"] = json!("xyz"), "seed: \"xyz\" is no hexadecimal number"),
        (|c| c["settings"]["classes"] = json!([]), "settings.classes: at least one class"),
        (|c| c["settings"]["zones"] = json!(["a", "a"]), "settings.zones: \"a\" stands there twice"),
        (|c| c["known"]["endpoints"][0]["status"] = json!("fine"), "known.endpoints[0].status: \"fine\""),
        (|c| c["known"]["endpoints"][0]["address"] = json!("x"), "known.endpoints[0].address: \"x\""),
        (|c| c["known"]["endpoints"][0]["zone"] = json!("c"), "known.endpoints[0].zone: \"c\" is not in"),
        (|c| c["known"]["endpoints"][0] = json!({"name": 7}), "known.endpoints[0]: invalid type"),
        (|c| c["settings"]["bounds"] = json!(null), "the configuration is malformed"),
    ];
    for (change, wanted) in rows {
        let mut config = valid_config();
        change(&mut config);
        let (code, errors) = check("broken.json", &config.to_string());
        assert_eq!(code, Some(1), "{errors}");
        assert!(errors.contains("broken.json: ") && errors.contains(wanted), "{errors:?} lacks {wanted:?}");
    }
    // All faults are reported at once.
    let mut config = valid_config();
    config["seed"] = json!("xyz");
    config["settings"]["zones"] = json!(["a", "a"]);
    let (_, errors) = check("two.json", &config.to_string());
    assert_eq!(errors.lines().count(), 2, "{errors}");
}

#[test]
fn a_missing_file_and_an_invalid_operators_file_are_refused() {
    let out = pinerelay(&["check", "/nonexistent/operator.toml"]);
    assert_eq!(out.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&out.stderr).contains("cannot read /nonexistent/operator.toml"));
    let (code, errors) = check("wrong.toml", "[stop]\npatience = 3\n");
    assert_eq!(code, Some(1));
    assert!(errors.contains("wrong.toml:2: stop.patience: wanted a time with its unit"), "{errors}");
}

#[test]
fn an_invalid_command_line_prints_usage_and_nothing_runs() {
    for words in [&["chek"][..], &["check"], &["--operator"]] {
        let out = pinerelay(words);
        assert_eq!(out.status.code(), Some(2), "{words:?}");
        assert!(String::from_utf8_lossy(&out.stderr).contains("--help"), "{out:?}");
    }
    let out = pinerelay(&[]);
    assert_eq!(out.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&out.stderr).contains("PROXY_CONFIG names no configuration"));
}

#[test]
fn a_node_does_not_start_with_an_invalid_operators_file() {
    let config = file("start.json", &valid_config().to_string());
    let operator = file("start.toml", "[fronts]\n");
    let path_text = |p: &PathBuf| p.to_str().expect("UTF-8").to_string();
    let out = pinerelay(&["--config", &path_text(&config), "--operator", &path_text(&operator)]);
    assert_eq!(out.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&out.stderr).contains("unknown field `fronts`"), "{out:?}");
    for path in [config, operator] {
        std::fs::remove_file(path).expect("the file");
    }
}
