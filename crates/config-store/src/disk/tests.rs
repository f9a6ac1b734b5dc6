//! The stored state survives restarts, and upgrades from earlier releases.

use googletest::prelude::*;

use pinerelay_config_state::{Item, Key, Kind};
use pinerelay_consensus::{Ballot, Batch, Membership};
use rusqlite::{params, Connection};

use super::file::{DATABASE, LEGACY_DATABASE, UNREADABLE_DATABASE};
use super::*;

fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("config-store-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    folder
}

fn item(name: &str, revision: u64) -> Item {
    Item::with_revision(Key::new(Kind::Tenant, name), revision, Some(vec![1, 2]))
}

#[gtest]
fn written_state_is_read_back_and_a_new_database_has_none() {
    let folder = folder("found");
    let OpenedDisk { disk, state, mut completed } = Disk::open(&folder).expect("a disk");
    expect_that!(state, none());
    let membership = Membership::first(["10.0.0.1".to_string(), "10.0.0.2".into()]);
    let (incarnation, ceiling) = (Some(u64::MAX), Some(1_000));
    let first = StateChange {
        incarnation,
        promise_ceiling: ceiling,
        membership: Some(membership.clone()),
        ..StateChange::default()
    };
    disk.write(1, first);
    let batch = Some(Batch { items: vec![item("b", 9)], membership: Some(membership.clone()) });
    disk.write(
        2,
        StateChange { accepted: Some((Ballot::new(4, u64::MAX), batch.clone())), ..StateChange::default() },
    );
    disk.write(3, StateChange { committed: vec![item("a", 1), item("a", 7)], ..StateChange::default() });
    expect_that!((0..3).filter_map(|_| completed.blocking_recv()).collect::<Vec<_>>(), eq(&vec![1, 2, 3]));
    drop(disk);
    let fresh = Database::open(&folder.join("copy.sqlite"));
    expect_that!(fresh.and_then(|d| d.read()), ok(none()));
    // The writer thread closes its database after the handle is dropped, and the lock is exclusive until then.
    let state = loop {
        match Database::open(&folder.join(DATABASE)).and_then(|database| database.read()) {
            Ok(state) => break state,
            Err(_) => std::thread::yield_now(),
        }
    };
    let state = state.expect("the written state");
    expect_that!(state.membership, eq(&membership));
    expect_that!((state.incarnation, Some(state.promise_ceiling)), eq((incarnation, ceiling)));
    expect_that!((state.accepted, state.pending), eq(&(Ballot::new(4, u64::MAX), batch)));
    expect_that!(state.items, elements_are![eq(&item("a", 7))]);
    let _ = std::fs::remove_dir_all(&folder);
}

#[gtest]
fn the_first_schema_is_migrated() {
    let folder = folder("earlier");
    std::fs::create_dir_all(&folder).expect("a folder");
    let connection = Connection::open(folder.join(DATABASE)).expect("a database");
    let pending = bincode::encode_to_vec(vec![item("b", 9)], bincode::config::standard()).expect("bytes");
    connection
        .execute_batch(
            "CREATE TABLE cells (kind INTEGER, name TEXT, revision INTEGER, tie INTEGER, value BLOB,
                 PRIMARY KEY (kind, name)) WITHOUT ROWID;
             CREATE TABLE vote (one INTEGER PRIMARY KEY CHECK (one = 1), voters TEXT NOT NULL,
                 turn INTEGER NOT NULL, node INTEGER NOT NULL, pending BLOB);",
        )
        .expect("the tables");
    let row = "INSERT INTO vote VALUES (1, '10.0.0.1,10.0.0.2', 7, 3, ?1)";
    connection.execute(row, params![pending]).expect("a row");
    drop(connection);
    let state = Database::open(&folder.join(DATABASE))
        .and_then(|d| d.read())
        .expect("read")
        .expect("the migrated state");
    expect_that!(state.membership, eq(&Membership::first(["10.0.0.1".to_string(), "10.0.0.2".into()])));
    expect_that!(
        (state.incarnation, state.promise_ceiling, state.accepted),
        eq((Some(0), 1_007, Ballot::new(7, 3)))
    );
    expect_that!(state.pending.map(|batch| batch.items), some(eq(&vec![item("b", 9)])));
    let _ = std::fs::remove_dir_all(&folder);
}

#[gtest]
fn an_unreadable_database_is_replaced_by_a_new_one() {
    let folder = folder("spoilt");
    std::fs::create_dir_all(&folder).expect("a folder");
    std::fs::write(folder.join(DATABASE), vec![7_u8; 9000]).expect("a file");
    let OpenedDisk { disk, state, mut completed } = Disk::open(&folder).expect("a disk");
    expect_that!(state, none());
    disk.write(1, StateChange { committed: vec![item("a", 1)], ..StateChange::default() });
    expect_that!(completed.blocking_recv(), some(eq(1)));
    let _ = std::fs::remove_dir_all(&folder);
}

/// The name of a database's write-ahead log.
fn log_of(database: &str) -> String {
    format!("{database}-wal")
}

/// Writes items to a database, and leaves its files as they are when the process is killed: without a checkpoint.
fn write_killed_database(folder: &Path, name: &str, items: &[Item]) {
    std::fs::create_dir_all(folder).expect("a folder");
    let mut database = Database::open(&folder.join(name)).expect("a database");
    for item in items {
        let change = StateChange { committed: vec![item.clone()], ..StateChange::default() };
        database.write(&change).expect("written");
    }
    // SQLite checkpoints and deletes the log on close, so both files are copied before and restored after it.
    let copy = |name: &str| (name.to_string(), std::fs::read(folder.join(name)).expect("a file"));
    let files = [copy(name), copy(&log_of(name))];
    drop(database);
    for (name, bytes) in files {
        std::fs::write(folder.join(name), bytes).expect("a file");
    }
}

/// Opens the database in a folder, and returns its items after the database is closed.
fn items_after_open(folder: &Path) -> Vec<Item> {
    let OpenedDisk { disk, state, mut completed } = Disk::open(folder).expect("a disk");
    drop(disk);
    // The writer thread drops its sender after the database is closed.
    while completed.blocking_recv().is_some() {}
    state.map_or(Vec::new(), |state| state.items)
}

fn has_file(folder: &Path, name: &str) -> bool {
    folder.join(name).exists()
}

#[gtest]
fn the_database_of_a_killed_earlier_release_is_renamed_after_a_checkpoint_of_its_log() {
    let folder = folder("take-over-killed");
    write_killed_database(&folder, LEGACY_DATABASE, &[item("a", 1), item("b", 2)]);
    expect_that!(has_file(&folder, &log_of(LEGACY_DATABASE)), eq(true));
    expect_that!(items_after_open(&folder), elements_are![eq(&item("a", 1)), eq(&item("b", 2))]);
    expect_that!((has_file(&folder, DATABASE), has_file(&folder, LEGACY_DATABASE)), eq((true, false)));
    expect_that!(items_after_open(&folder), elements_are![eq(&item("a", 1)), eq(&item("b", 2))]);
    let _ = std::fs::remove_dir_all(&folder);
}

#[gtest]
fn a_crash_between_checkpoint_and_rename_is_resumed_by_the_next_start() {
    let folder = folder("take-over-checkpoint");
    write_killed_database(&folder, LEGACY_DATABASE, &[item("a", 1), item("b", 2)]);
    let earlier = Database::open(&folder.join(LEGACY_DATABASE)).expect("a database");
    earlier.checkpoint().expect("a checkpoint");
    let log = folder.join(log_of(LEGACY_DATABASE));
    expect_that!(
        std::fs::metadata(&log).expect("a log").len(),
        eq(0),
        "the log is empty after the checkpoint"
    );
    let bytes = std::fs::read(folder.join(LEGACY_DATABASE)).expect("a file");
    drop(earlier);
    std::fs::write(folder.join(LEGACY_DATABASE), bytes).expect("a file");
    std::fs::write(log, []).expect("a file");
    expect_that!(items_after_open(&folder), elements_are![eq(&item("a", 1)), eq(&item("b", 2))]);
    expect_that!((has_file(&folder, DATABASE), has_file(&folder, LEGACY_DATABASE)), eq((true, false)));
    let _ = std::fs::remove_dir_all(&folder);
}

#[gtest]
fn a_rename_undone_by_a_power_failure_loses_no_later_write() {
    let folder = folder("take-over-lost");
    write_killed_database(&folder, LEGACY_DATABASE, &[item("a", 1)]);
    expect_that!(items_after_open(&folder), elements_are![eq(&item("a", 1))]);
    let renamed = std::fs::read(folder.join(DATABASE)).expect("a file");
    write_killed_database(&folder, DATABASE, &[item("b", 2)]);
    // The power failure restores the earlier file as of the rename; the log under the new name remains.
    std::fs::remove_file(folder.join(DATABASE)).expect("removed");
    std::fs::write(folder.join(LEGACY_DATABASE), renamed).expect("a file");
    expect_that!(has_file(&folder, &log_of(DATABASE)), eq(true));
    expect_that!(items_after_open(&folder), elements_are![eq(&item("a", 1)), eq(&item("b", 2))]);
    let _ = std::fs::remove_dir_all(&folder);
}

#[gtest]
fn the_database_of_an_earlier_release_is_ignored_beside_a_newer_one() {
    let folder = folder("take-over-both");
    write_killed_database(&folder, LEGACY_DATABASE, &[item("old", 1)]);
    write_killed_database(&folder, DATABASE, &[item("new", 2)]);
    expect_that!(items_after_open(&folder), elements_are![eq(&item("new", 2))]);
    expect_that!(has_file(&folder, LEGACY_DATABASE), eq(true));
    let _ = std::fs::remove_dir_all(&folder);
}

#[gtest]
fn an_unreadable_database_of_an_earlier_release_is_replaced_by_a_new_one() {
    let folder = folder("take-over-spoilt");
    std::fs::create_dir_all(&folder).expect("a folder");
    std::fs::write(folder.join(LEGACY_DATABASE), vec![7_u8; 9000]).expect("a file");
    expect_that!(items_after_open(&folder), is_empty());
    let files = [DATABASE, LEGACY_DATABASE, UNREADABLE_DATABASE].map(|name| has_file(&folder, name));
    expect_that!(files, eq([true, false, true]));
    let _ = std::fs::remove_dir_all(&folder);
}
