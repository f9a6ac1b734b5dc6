//! A short run of each reader with seeds that stay the same, and all finds of earlier runs once more.

use std::path::Path;

use googletest::prelude::*;
use pinerelay_fuzz::{apart, readers};

/// The program, which runs as a proxy, too.
const PROGRAM: &str = env!("CARGO_BIN_EXE_fuzz");
const CORPUS: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/corpus");

/// Plays cases in a process of their own: it counts what they allocate, and may end.
fn finds(reader: &str, cases: u64) -> Vec<String> {
    let mut finds = Vec::new();
    let chunk = apart::Chunk { reader, run: 1, from: 0, to: cases };
    apart::play(Path::new(PROGRAM), chunk, &mut |line| finds.push(line)).expect("a process");
    finds
}

#[gtest]
fn no_input_harms_a_reader() {
    for reader in readers::PURE {
        let cases = if reader == "disk" { 40 } else { 2_000 };
        expect_that!(finds(reader, cases), is_empty(), "{reader}");
    }
}

#[gtest]
fn nothing_is_sent_on_changed_and_no_answer_is_anothers() {
    for reader in readers::SOCKETS {
        expect_that!(finds(reader, 100), is_empty(), "{reader}");
    }
}

#[gtest]
fn what_was_found_once_is_not_found_again() {
    let mut played = 0;
    for folder in std::fs::read_dir(CORPUS).expect("the corpus").flatten() {
        let name = folder.file_name().to_string_lossy().into_owned();
        for file in std::fs::read_dir(folder.path()).expect("a reader's finds").flatten() {
            let mut child = std::process::Command::new(PROGRAM);
            let child = child.args(["--reader", &name, "--input"]).arg(file.path());
            let ended = child.output().expect("a process");
            let said = String::from_utf8_lossy(&ended.stdout).into_owned();
            expect_that!(ended.status.success(), eq(true), "{}: {said}", file.path().display());
            played += 1;
        }
    }
    expect_that!(played, ge(1));
}
