//! Heartbeats are parsed and validated, and the newest report wins.

use googletest::prelude::*;
use proptest::prelude::*;

use super::*;
use crate::item_set::ItemSet;

const HEARTBEAT: &str = r#"{"service":"s1","address":"10.128.0.9:8080","zone":"z","revision":"v1","capacity":3,
    "state":"ready","warmup_left":"250ms","call_count":4}"#;

#[gtest]
fn a_late_heartbeat_has_no_effect_and_a_deregistered_server_stays_removed() {
    let heartbeat = Heartbeat::parse(HEARTBEAT.as_bytes()).expect("a heartbeat");
    expect_that!(
        (heartbeat.call_count, heartbeat.server.capacity, heartbeat.server.warmup_ms),
        eq((4, 3, 250))
    );
    let in_state = |state| Server { state, ..heartbeat.server.clone() };
    let mut item_set = ItemSet::default();
    expect_that!(item_set.merge(in_state(ServerState::Draining).to_item("i", 5)), eq(true));
    expect_that!(item_set.merge(in_state(ServerState::Ready).to_item("i", 4)), eq(false));
    expect_that!(
        item_set.merge(in_state(ServerState::Ready).to_item("i", 5)),
        eq(false),
        "draining is the newer state of one call count"
    );
    expect_that!(item_set.merge(in_state(ServerState::Lost).to_item("i", 5)), eq(true));
    expect_that!(
        item_set.merge(in_state(ServerState::Draining).to_item("i", 6)),
        eq(true),
        "a new heartbeat restores it"
    );
    expect_that!(item_set.merge(Server::tombstone("i", 1_000)), eq(true));
    expect_that!(item_set.merge(in_state(ServerState::Ready).to_item("i", 7)), eq(false));
    let warmed_up = Server { warmup_ms: 0, ..heartbeat.server.clone() };
    expect_that!(warmed_up.is_redundant_to(&heartbeat.server), eq(true));
    expect_that!(heartbeat.server.is_redundant_to(&warmed_up), eq(false));
    let removal = Server::tombstone("i", 1_000);
    expect_that!(
        [1_000, 1_300, 1_301].map(|wall_clock| Server::is_expired_tombstone(&removal, wall_clock)),
        eq([false, false, true])
    );
    expect_that!(Server::is_expired_tombstone(&heartbeat.server.to_item("i", 4), u64::MAX), eq(false));
}

#[gtest]
fn errors_name_the_invalid_field() {
    let error_text = |from: &str, to: &str| {
        Heartbeat::parse(HEARTBEAT.replace(from, to).as_bytes()).expect_err(to).to_string()
    };
    expect_that!(error_text("\"ready\"", "\"idle\""), eq("/state: ready or draining is wanted"));
    expect_that!(error_text("10.128.0.9:8080", "box"), eq("/address: an address and port are wanted"));
    expect_that!(error_text("\"capacity\":3", "\"capacity\":-3"), starts_with("/capacity: a whole number"));
}

proptest! {
    #[test]
    fn corrupted_input_causes_no_panic(
        index in 0..HEARTBEAT.len(), byte: u8, length in 0..HEARTBEAT.len(), arbitrary_bytes: Vec<u8>,
    ) {
        let mut corrupted = HEARTBEAT.as_bytes().to_vec();
        corrupted[index] = byte;
        let _ = Heartbeat::parse(&corrupted);
        prop_assert!(Heartbeat::parse(&HEARTBEAT.as_bytes()[..length]).is_err());
        let _ = Server::decode(&arbitrary_bytes);
    }
}
