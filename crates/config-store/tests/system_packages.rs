//! The system packages in `deploy/system.toml` provide all programs that the build runs. `docs/operate/build.md` describes how
//! the lists that these tests read were made, and what to do when a test fails.

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use googletest::prelude::*;
use sonic_rs::{JsonContainerTrait, JsonValueTrait, Value};

/// The cargo packages whose programs are deployed.
const PROGRAMS: [&str; 3] = ["pinerelay-proxy", "pinerelay-registry", "pinerelay-config-store"];
/// System packages that are listed for files that the build reads, not for a program.
const READ_ONLY: [&str; 2] = ["libc6-dev", "ca-certificates"];
/// The exit code if a program is not found, as in shells.
const NOT_FOUND: i32 = 127;

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn read(name: &str) -> String {
    std::fs::read_to_string(root().join(name)).expect(name)
}

/// The system packages that `deploy/system.toml` lists.
fn listed_packages() -> BTreeSet<String> {
    let text = read("deploy/system.toml");
    let line = text.lines().find_map(|line| line.strip_prefix("packages = ["));
    let names = line.and_then(|line| line.strip_suffix(']')).expect("packages in one line");
    names.split(',').map(|name| name.trim().trim_matches('"').to_string()).collect()
}

/// The lines of a list, split at white space, without comments and empty lines.
fn list(name: &str) -> Vec<Vec<String>> {
    let text = read(name);
    let lines = text.lines().filter(|line| !line.starts_with('#') && !line.is_empty());
    lines.map(|line| line.split_whitespace().map(String::from).collect()).collect()
}

/// The programs that the build runs, each with the listed package that installs it.
fn programs() -> BTreeMap<String, String> {
    let line = |words: Vec<String>| match <[String; 3]>::try_from(words) {
        Ok([program, _, provider]) => (program, provider),
        Err(words) => {
            panic!("expected a program, its package and the listed package that installs it: {words:?}")
        }
    };
    list("deploy/build-programs.txt").into_iter().map(line).collect()
}

/// The programs that each known build script runs; `-` stands for none.
fn scripts() -> BTreeMap<String, BTreeSet<String>> {
    let line = |words: Vec<String>| {
        let mut words = words.into_iter();
        let name = words.next().unwrap_or_default();
        (name, words.filter(|word| word != "-").collect())
    };
    list("deploy/build-scripts.txt").into_iter().map(line).collect()
}

fn metadata() -> Value {
    let mut cargo = Command::new(std::env::var_os("CARGO").unwrap_or("cargo".into()));
    cargo.current_dir(root()).args(["metadata", "--locked", "--format-version", "1"]);
    cargo.args(["--filter-platform", "x86_64-unknown-linux-gnu"]);
    let out = cargo.output().expect("cargo");
    assert!(out.status.success(), "{}", String::from_utf8_lossy(&out.stderr));
    sonic_rs::from_slice(&out.stdout).expect("JSON")
}

fn text<'a>(value: &'a Value, name: &str) -> &'a str {
    value.get(name).and_then(|v| v.as_str()).unwrap_or_default()
}

fn elements<'a>(value: &'a Value, name: &str) -> Vec<&'a Value> {
    value.get(name).and_then(|v| v.as_array()).map(|a| a.iter().collect()).unwrap_or_default()
}

/// The ids of all cargo packages that the build compiles: normal and build dependencies of the programs.
fn compiled(metadata: &Value) -> BTreeSet<&str> {
    let resolve = metadata.get("resolve").expect("resolve");
    let nodes: BTreeMap<&str, &Value> =
        elements(resolve, "nodes").into_iter().map(|node| (text(node, "id"), node)).collect();
    let packages = elements(metadata, "packages").into_iter();
    let mut pending: Vec<&str> =
        packages.filter(|p| PROGRAMS.contains(&text(p, "name"))).map(|p| text(p, "id")).collect();
    assert_eq!(pending.len(), PROGRAMS.len());
    let mut seen = BTreeSet::new();
    while let Some(id) = pending.pop() {
        if !seen.insert(id) {
            continue;
        }
        for dependency in nodes.get(id).map(|node| elements(node, "deps")).unwrap_or_default() {
            // The kind of a normal dependency is null.
            if elements(dependency, "dep_kinds").into_iter().any(|kind| text(kind, "kind") != "dev") {
                pending.push(text(dependency, "pkg"));
            }
        }
    }
    seen
}

fn has_build_script(package: &Value) -> bool {
    let kinds = elements(package, "targets").into_iter().flat_map(|target| elements(target, "kind"));
    kinds.into_iter().any(|kind| kind.as_str() == Some("custom-build"))
}

#[gtest]
fn a_listed_package_provides_each_program_that_the_build_runs() {
    let (listed, programs) = (listed_packages(), programs());
    for (program, package) in &programs {
        expect_that!(listed, contains(eq(package)), "which provides {program}");
    }
    let unused = listed.iter().filter(|package| !programs.values().any(|provider| provider == *package));
    let unused: Vec<&str> = unused.map(String::as_str).collect();
    expect_that!(unused, unordered_elements_are![eq(&READ_ONLY[0]), eq(&READ_ONLY[1])]);
}

#[gtest]
fn all_build_scripts_are_listed_and_run_listed_programs_only() {
    let metadata = metadata();
    let compiled = compiled(&metadata);
    let packages = elements(&metadata, "packages").into_iter();
    let with_script = packages.filter(|p| compiled.contains(text(p, "id")) && has_build_script(p));
    let with_script: BTreeSet<&str> = with_script.map(|p| text(p, "name")).collect();
    let (scripts, programs) = (scripts(), programs());
    let known: BTreeSet<&str> = scripts.keys().map(String::as_str).collect();
    expect_that!(
        with_script,
        eq(&known),
        "deploy/build-scripts.txt lists other packages than have build scripts"
    );
    for (script, runs) in &scripts {
        for program in runs {
            expect_that!(programs.contains_key(program), eq(true), "{script} runs {program}");
        }
    }
}

/// Runs a command that finds no programs but the listed ones.
fn with_listed_programs(folder: &Path, command: &[&str]) -> Output {
    let mut wrapper = Command::new(root().join(".ci/with-listed-programs"));
    wrapper.args(command).current_dir(folder).output().expect("the script")
}

/// The release build of CI runs under the same script, so it fails if it runs a program that no listed package provides.
#[gtest]
fn the_listed_programs_compile_c_and_no_other_program_is_found() {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("listed-programs");
    std::fs::create_dir_all(&folder).expect("a folder");
    let source =
        "#include <stdio.h>\n#include <pthread.h>\n#include <sys/stat.h>\nint one(void) { return 1; }\n";
    std::fs::write(folder.join("one.c"), source).expect("a source");
    for command in [&["cc", "-c", "one.c"][..], &["ar", "rcs", "libone.a", "one.o"]] {
        let out = with_listed_programs(&folder, command);
        expect_that!(out.status.code(), some(eq(0)), "{}", String::from_utf8_lossy(&out.stderr));
    }
    for program in ["sh", "sed", "env", "pkg-config", "cmake", "clang", "perl", "make", "git"] {
        let out = with_listed_programs(&folder, &[program, "--version"]);
        expect_that!(out.status.code(), some(eq(NOT_FOUND)), "{program}");
    }
}
