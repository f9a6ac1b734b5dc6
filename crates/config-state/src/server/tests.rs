//! Heartbeats are parsed, and the newest report wins.

use googletest::prelude::*;
use proptest::prelude::*;

use super::*;
use crate::item_set::ItemSet;

const HEARTBEAT: &str = r#"{"service":"s1","address":"10.128.0.9:8080","zone":"z","revision":"v1","capacity":3,
    "state":"ready","warmup_left":"250ms","call_count":4}"#;

#[gtest]
fn a_late_beat_changes_nothing_and_one_that_has_left_stays_away() {
    let heartbeat = Heartbeat::parse(HEARTBEAT.as_bytes()).expect("a heartbeat");
    expect_that!(
        (heartbeat.call_count, heartbeat.server.capacity, heartbeat.server.warmup_ms),
        eq((4, 3, 250))
    );
    let as_in = |state| Server { state, ..heartbeat.server.clone() };
    let mut item_set = ItemSet::default();
    expect_that!(item_set.merge(as_in(ServerState::Draining).to_item("i", 5)), eq(true));
    expect_that!(item_set.merge(as_in(ServerState::Ready).to_item("i", 4)), eq(false));
    expect_that!(
        item_set.merge(as_in(ServerState::Ready).to_item("i", 5)),
        eq(false),
        "draining is the further word"
    );
    expect_that!(item_set.merge(as_in(ServerState::Lost).to_item("i", 5)), eq(true));
    expect_that!(item_set.merge(as_in(ServerState::Draining).to_item("i", 6)), eq(true), "it beats again");
    expect_that!(item_set.merge(Server::tombstone("i", 1_000)), eq(true));
    expect_that!(item_set.merge(as_in(ServerState::Ready).to_item("i", 7)), eq(false));
    let cooler = Server { warmup_ms: 0, ..heartbeat.server.clone() };
    expect_that!(cooler.adds_nothing_to(&heartbeat.server), eq(true));
    expect_that!(heartbeat.server.adds_nothing_to(&cooler), eq(false));
    let mark = Server::tombstone("i", 1_000);
    expect_that!(
        [1_000, 1_300, 1_301].map(|wall| Server::is_expired_tombstone(&mark, wall)),
        eq([false, false, true])
    );
    expect_that!(Server::is_expired_tombstone(&heartbeat.server.to_item("i", 4), u64::MAX), eq(false));
}

#[gtest]
fn what_is_wrong_is_named() {
    let why = |from: &str, to: &str| {
        Heartbeat::parse(HEARTBEAT.replace(from, to).as_bytes()).expect_err(to).to_string()
    };
    expect_that!(why("\"ready\"", "\"idle\""), eq("/state: ready or draining is wanted"));
    expect_that!(why("10.128.0.9:8080", "box"), eq("/address: an address and port are wanted"));
    expect_that!(why("\"capacity\":3", "\"capacity\":-3"), starts_with("/capacity: a whole number"));
}

proptest! {
    #[test]
    fn no_bytes_make_it_panic(at in 0..HEARTBEAT.len(), byte: u8, cut in 0..HEARTBEAT.len(), noise: Vec<u8>) {
        let mut spoilt = HEARTBEAT.as_bytes().to_vec();
        spoilt[at] = byte;
        let _ = Heartbeat::parse(&spoilt);
        prop_assert!(Heartbeat::parse(&HEARTBEAT.as_bytes()[..cut]).is_err());
        let _ = Server::decode(&noise);
    }
}
