//! Builds and runs the real programs for the tests that play.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

/// The program.
pub fn meadow() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_meadow"))
}

/// Runs it.
pub fn run(program: &Path, args: &[&str]) -> Output {
    Command::new(program).args(args).output().expect("the meadow")
}

/// What it said.
pub fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into()
}

/// Builds the programs beside the meadow. Cargo does not do so for another package's tests, and one that lies there may
/// be older than the sources; where nothing has changed this takes no time.
pub fn build() {
    let folder = meadow().parent().map(PathBuf::from).expect("a folder");
    let mut cargo = Command::new(std::env::var_os("CARGO").unwrap_or("cargo".into()));
    cargo.current_dir(env!("CARGO_MANIFEST_DIR")).args(["build", "--locked", "--workspace"]);
    cargo.args(["--bin", "proxy", "--bin", "registry", "--bin", "config-store"]);
    if folder.ends_with("release") {
        cargo.arg("--release");
    }
    if let Some(target) = folder.parent() {
        cargo.arg("--target-dir").arg(target);
    }
    let built = cargo.output().expect("cargo");
    assert!(built.status.success(), "{}", text(&built.stderr));
}
