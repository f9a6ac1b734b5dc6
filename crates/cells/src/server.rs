//! A server as it tells of itself, and which word of it is the newest.

use std::net::SocketAddrV4;

use bincode::{Decode, Encode};
use sonic_rs::JsonValueTrait;

use crate::call::{Unfit, NAME_MOST};
use crate::item::{Item, Key, Kind, Version};
use crate::json;
use crate::span;

/// Where a server stands in its life. A later word of the same number of calls is the further one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub enum State {
    /// Takes requests.
    Ready,
    /// Finishes what it has.
    Draining,
    /// Has not been heard of for some beats; what it says next brings it back.
    Lost,
    /// Has left for good.
    Gone,
}

/// A life of a server.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Server {
    /// Its service.
    pub service: String,
    /// Where it takes requests.
    pub address: SocketAddrV4,
    /// Its zone.
    pub zone: String,
    /// Of its software.
    pub revision: String,
    /// On how many requests it works at once.
    pub capacity: u32,
    /// Where it stands in its life.
    pub state: State,
    /// How much longer it is slow, in milliseconds, when it said this.
    pub warmup_ms: u32,
}

/// No server's item is longer, in bytes.
const LONGEST: usize = 64 * 1024;
/// The number of calls that a leave counts as: none is higher.
const LAST: u64 = u64::MAX;
/// The mark of one that has left is kept for so long, in seconds; by then nothing that speaks of it is under way.
const MARKED: u64 = 300;

/// A beat as a server sent it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Beat {
    /// The server as it tells of itself.
    pub server: Server,
    /// Rises with each of its calls.
    pub calls: u64,
}

impl Beat {
    /// Reads the body of a `servers.heartbeat`.
    pub fn read(body: &[u8]) -> Result<Beat, Unfit> {
        let beat = json::parse(body, &json::BEAT)?;
        let wrong = |field: &str, why: &str| Unfit::new(format!("/{field}"), why);
        let text = |field: &str| beat.get(field).and_then(|v| v.as_str()).map(String::from);
        let needed = |field: &str| {
            text(field).filter(|t| !t.is_empty()).ok_or_else(|| wrong(field, "a text is wanted"))
        };
        for field in ["service", "zone", "revision"] {
            if text(field).is_some_and(|text| text.len() > NAME_MOST) {
                return Err(wrong(field, "a shorter text is wanted"));
            }
        }
        let state = match needed("state")?.as_str() {
            "ready" => State::Ready,
            "draining" => State::Draining,
            _ => return Err(wrong("state", "ready or draining is wanted")),
        };
        let whole = |field: &str| {
            let number = beat.get(field).and_then(|v| v.as_u64());
            number.ok_or_else(|| wrong(field, "a whole number from 0 on is wanted"))
        };
        let address = needed("address")?.parse();
        let warmup = text("warmup_left").map(|t| span::parse(&t)).unwrap_or_else(|| span::parse("0s"));
        let warmup = warmup.ok_or_else(|| wrong("warmup_left", "a time such as 1500ms is wanted"))?;
        Ok(Beat {
            server: Server {
                service: needed("service")?,
                address: address.map_err(|_| wrong("address", "an address and port are wanted"))?,
                zone: text("zone").unwrap_or_default(),
                revision: text("revision").unwrap_or_default(),
                capacity: u32::try_from(whole("capacity")?).unwrap_or(u32::MAX).max(1),
                state,
                warmup_ms: u32::try_from(warmup.as_millis()).unwrap_or(u32::MAX),
            },
            calls: whole("call_count")?.min(LAST - 1),
        })
    }
}

impl Server {
    /// It as an item, as of its call of this number.
    pub fn item(&self, id: &str, calls: u64) -> Item {
        let value = bincode::encode_to_vec(self, bincode::config::standard()).ok();
        Item { key: Key::new(Kind::Server, id), version: Version(calls, self.state as u64), value }
    }

    /// The mark of one that has left, at this time of day in seconds.
    pub fn left(id: &str, wall: u64) -> Item {
        Item { key: Key::new(Kind::Server, id), version: Version(LAST, wall), value: None }
    }

    /// Whether an item is the mark of one that left so long ago that it is to be forgotten, and not taken from others.
    /// Danger: marks kept for good grow with all servers that ever were, and marks that each forgets by a clock of its
    /// own would go back and forth between them.
    pub fn past(item: &Item, wall: u64) -> bool {
        item.version.0 == LAST && item.version.1.saturating_add(MARKED) < wall
    }

    /// Reads what an item holds.
    pub fn read(value: &[u8]) -> Option<Server> {
        // Danger: bytes that promise a long text would have the memory for it taken.
        let config = bincode::config::standard().with_limit::<LONGEST>();
        bincode::decode_from_slice(value, config).ok().map(|(server, _)| server)
    }

    /// Whether this tells the nodes nothing that the earlier word did not.
    pub fn says_no_more_than(&self, earlier: &Server) -> bool {
        let still = Server { warmup_ms: earlier.warmup_ms, ..self.clone() };
        // Its warm-up runs out by itself; only one that began anew is news.
        still == *earlier && self.warmup_ms <= earlier.warmup_ms
    }
}

#[cfg(test)]
mod tests {
    use googletest::prelude::*;
    use proptest::prelude::*;

    use super::*;
    use crate::item::Cells;

    const BEAT: &str = r#"{"service":"s1","address":"10.128.0.9:8080","zone":"z","revision":"v1","capacity":3,
        "state":"ready","warmup_left":"250ms","call_count":4}"#;

    #[gtest]
    fn a_late_beat_changes_nothing_and_one_that_has_left_stays_away() {
        let beat = Beat::read(BEAT.as_bytes()).expect("a beat");
        expect_that!((beat.calls, beat.server.capacity, beat.server.warmup_ms), eq((4, 3, 250)));
        let as_in = |state| Server { state, ..beat.server.clone() };
        let mut cells = Cells::default();
        expect_that!(cells.merge(as_in(State::Draining).item("i", 5)), eq(true));
        expect_that!(cells.merge(as_in(State::Ready).item("i", 4)), eq(false));
        expect_that!(
            cells.merge(as_in(State::Ready).item("i", 5)),
            eq(false),
            "draining is the further word"
        );
        expect_that!(cells.merge(as_in(State::Lost).item("i", 5)), eq(true));
        expect_that!(cells.merge(as_in(State::Draining).item("i", 6)), eq(true), "it beats again");
        expect_that!(cells.merge(Server::left("i", 1_000)), eq(true));
        expect_that!(cells.merge(as_in(State::Ready).item("i", 7)), eq(false));
        let cooler = Server { warmup_ms: 0, ..beat.server.clone() };
        expect_that!(cooler.says_no_more_than(&beat.server), eq(true));
        expect_that!(beat.server.says_no_more_than(&cooler), eq(false));
        let mark = Server::left("i", 1_000);
        expect_that!([1_000, 1_300, 1_301].map(|wall| Server::past(&mark, wall)), eq([false, false, true]));
        expect_that!(Server::past(&beat.server.item("i", 4), u64::MAX), eq(false));
    }

    #[gtest]
    fn what_is_wrong_is_named() {
        let why =
            |from: &str, to: &str| Beat::read(BEAT.replace(from, to).as_bytes()).expect_err(to).to_string();
        expect_that!(why("\"ready\"", "\"idle\""), eq("/state: ready or draining is wanted"));
        expect_that!(why("10.128.0.9:8080", "box"), eq("/address: an address and port are wanted"));
        expect_that!(why("\"capacity\":3", "\"capacity\":-3"), starts_with("/capacity: a whole number"));
    }

    proptest! {
        #[test]
        fn no_bytes_make_it_panic(at in 0..BEAT.len(), byte: u8, cut in 0..BEAT.len(), noise: Vec<u8>) {
            let mut spoilt = BEAT.as_bytes().to_vec();
            spoilt[at] = byte;
            let _ = Beat::read(&spoilt);
            prop_assert!(Beat::read(&BEAT.as_bytes()[..cut]).is_err());
            let _ = Server::read(&noise);
        }
    }
}
