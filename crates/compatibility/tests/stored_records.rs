//! Records on disk: what stores, servers' items and the edge node's processes write, and that it is read back.

mod samples;

use std::path::PathBuf;

use bincode::config::standard;
use googletest::prelude::*;
use pinerelay_compatibility::{fixture, Golden};
use pinerelay_config_state::server::Server;
use pinerelay_config_store::disk::{Disk, OpenedDisk};
use pinerelay_consensus::{Ballot, Batch, Membership};
use pinerelay_consensus::{PersistentState, StateChange};
use pinerelay_succession::held::{Call, HeldOut};
use pinerelay_succession::record::{Learned, Life, Reading, Record, Standing};

fn encoded<T: bincode::Encode>(value: &T) -> Vec<u8> {
    bincode::encode_to_vec(value, standard()).expect("encodes")
}

#[gtest]
fn records_of_stores_are_written_as_by_the_release_in_service() -> googletest::Result<()> {
    let mut golden = Golden::file("stored_records.txt");
    golden.bytes("membership", &encoded(&samples::membership()));
    golden.bytes("batch", &encoded(&samples::batch()));
    golden.bytes("server", &samples::server().to_item("server-1", 12).value.expect("a value"));
    golden.check().or_fail()
}

#[gtest]
fn records_of_stores_of_the_release_in_service_are_read() {
    let golden = Golden::file("stored_records.txt");
    let recorded = |name: &str| golden.recorded_bytes(name).expect("recorded");
    let membership = bincode::decode_from_slice::<Membership, _>(&recorded("membership"), standard());
    expect_that!(membership.expect("reads").0, eq(&samples::membership()));
    let batch = bincode::decode_from_slice::<Batch, _>(&recorded("batch"), standard());
    expect_that!(batch.expect("reads").0, eq(&samples::batch()));
    expect_that!(Server::decode(&recorded("server")), some(eq(&samples::server())));
}

fn succession_record() -> Record {
    let mut held = HeldOut::default();
    held.call("server-1", Call::Exclude, 5, false);
    held.call("with space", Call::Exclude, 6, true);
    held.call("server-1", Call::Include, 7, false);
    Record {
        life: Life { process: 7, standing: Standing::Leaves, descriptors: 192 },
        held,
        learned: Some(Learned { at: 9, of: serde_json::json!({ "classes": ["a"], "memory": [1.5] }) }),
    }
}

#[gtest]
fn records_of_succession_are_written_and_read_as_by_the_release_in_service() -> googletest::Result<()> {
    let mut golden = Golden::file("succession_records.txt");
    let record = succession_record();
    golden.bytes("record", &record.encode());
    golden.bytes("held", &record.encode_held());
    golden.check().or_fail()?;
    let read = Reading::of(&golden.recorded_bytes("record").or_fail()?);
    expect_that!((read.life, read.held, read.learned), eq(&(Some(record.life), record.held, record.learned)));
    expect_that!(read.flaw, none());
    Ok(())
}

/// A new folder with copies of these fixtures, each under the name that the release in service gave it.
fn folder(name: &str, files: &[(&str, &str)]) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("compatibility-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("a folder");
    for (from, to) in files {
        std::fs::copy(fixture(from), folder.join(to)).expect("a copy");
    }
    folder
}

/// What the fixtures hold: see `tests/fixtures/README.md`.
fn expect_recorded(kept: &PersistentState) {
    expect_that!(kept.incarnation, some(eq(0xfedc_ba98_7654_3210)));
    expect_that!(kept.is_complete, eq(true));
    expect_that!(kept.membership, eq(&samples::membership()));
    expect_that!(kept.promise_ceiling, eq(1_041));
    expect_that!((kept.accepted, &kept.pending), eq((samples::ballot(), &Some(samples::batch()))));
    let mut items = samples::items();
    items.sort_by(|a, b| a.key.cmp(&b.key));
    expect_that!(kept.items, eq(&items));
}

#[gtest]
fn the_database_of_a_store_that_ended_is_read_with_its_promise_and_what_is_pending() {
    let folder = folder("ended", &[("store-ended.sqlite", "comb.sqlite")]);
    let kept = Disk::open(&folder).expect("a disk").state;
    expect_recorded(&kept.expect("what was kept"));
    let _ = std::fs::remove_dir_all(&folder);
}

#[gtest]
fn the_database_of_a_store_that_was_killed_is_read_with_what_its_write_ahead_log_holds() {
    let files = [("store-killed.sqlite", "comb.sqlite"), ("store-killed.sqlite-wal", "comb.sqlite-wal")];
    let folder = folder("killed", &files);
    let OpenedDisk { disk, state: kept, mut completed } = Disk::open(&folder).expect("a disk");
    expect_recorded(&kept.expect("what was kept"));
    // A later promise is added to what was there.
    disk.write(
        1,
        StateChange {
            promise_ceiling: Some(2_000),
            accepted: Some((Ballot::new(42, 1), None)),
            ..StateChange::default()
        },
    );
    expect_that!(completed.blocking_recv(), some(eq(1)));
    drop(disk);
    let kept = loop {
        // The disk's thread closes the database once nobody can send to it.
        match Disk::open(&folder) {
            Ok(OpenedDisk { state: Some(kept), .. }) => break kept,
            _ => std::thread::yield_now(),
        }
    };
    expect_that!((kept.promise_ceiling, kept.accepted, kept.pending), eq(&(2_000, Ballot::new(42, 1), None)));
    expect_that!(kept.membership, eq(&samples::membership()));
    let _ = std::fs::remove_dir_all(&folder);
}
