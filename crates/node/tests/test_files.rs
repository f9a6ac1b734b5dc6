//! The files of a test belong to it alone: whatever clears the temporary folder of the system leaves them in place.

mod fakes;

use std::path::Path;

use fakes::*;

/// A folder of this package's build, which no other program uses.
const OWN_FOLDER: &str = env!("CARGO_TARGET_TMPDIR");

#[test]
fn a_cleared_temporary_folder_does_not_take_the_records_of_running_nodes() {
    let folder = Folder::new();
    assert!(folder.0.starts_with(OWN_FOLDER), "{}", folder.0.display());
    let edge = Edge::with_operators(&config(&[entry("s-1", refusing_address(), "a", "up")]), &folder.0);
    assert!(edge.config_file().starts_with(OWN_FOLDER), "{}", edge.config_file().display());
}

#[test]
fn configurations_of_ended_nodes_do_not_pile_up() {
    let edge = Edge::new(&config(&[]));
    let file = edge.config_file().to_owned();
    assert!(file.exists());
    drop(edge);
    assert!(!file.exists(), "{}", file.display());
    let edge = Edge::new(&config(&[]));
    let file = edge.config_file().to_owned();
    edge.terminate();
    edge.end_in_success();
    assert!(!Path::new(&file).exists(), "{}", file.display());
}
