//! The policy modules: `policy` in the deploy file names all of them and no others, and each is pure and short.

use std::path::Path;

/// Most lines of one policy file.
const MAX_FILE_LINES: usize = 500;
/// Most characters of one line.
const MAX_LINE_WIDTH: usize = 110;
/// What a policy module must not use: it does no I/O, reads no clock, and draws random numbers from its own state.
const FORBIDDEN: [&str; 12] = [
    "std::time",
    "std::net",
    "std::fs",
    "std::io",
    "std::thread",
    "std::process",
    "std::env",
    "tokio",
    "hyper",
    "Instant",
    "SystemTime",
    "unsafe",
];

#[test]
fn the_deploy_file_names_all_policy_modules_and_they_are_pure_and_short() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let deploy = std::fs::read_to_string(root.join("deploy/balancer.toml")).expect("the deploy file");
    let policy = deploy.lines().find_map(|l| l.strip_prefix("policy = ")).expect("a line for policy");
    let named: Vec<String> = serde_json::from_str(policy).expect("a list of files on one line");
    let mut on_disk = vec!["crates/decisions/src/control.rs".to_string()];
    for entry in std::fs::read_dir(root.join("crates/decisions/src/control")).expect("a folder") {
        let name = entry.expect("an entry").file_name().into_string().expect("UTF-8");
        on_disk.push(format!("crates/decisions/src/control/{name}"));
    }
    on_disk.sort();
    let mut listed = named.clone();
    listed.sort();
    assert_eq!(listed, on_disk, "policy names exactly the policy modules");
    for file in &named {
        let text = std::fs::read_to_string(root.join(file)).expect("a file");
        let lines = text.lines().count();
        assert!(lines <= MAX_FILE_LINES, "{file} has {lines} lines; {MAX_FILE_LINES} are allowed");
        for (index, line) in text.lines().enumerate() {
            let width = line.chars().count();
            assert!(
                width <= MAX_LINE_WIDTH,
                "{file}:{}: {width} characters; {MAX_LINE_WIDTH} are allowed",
                index + 1
            );
            let code = line.split("//").next().unwrap_or_default();
            let forbidden = FORBIDDEN.iter().find(|word| code.contains(**word));
            assert_eq!(forbidden, None, "{file}:{}", index + 1);
        }
    }
}
