//! Memory for bodies: how much of one may be taken in ahead, and whether one more long one may be passed on.
//!
//! All bodies share one room. What is taken in ahead of one may be an eighth of what is free (a dynamic threshold, as
//! switches share buffers: Choudhury and Hahne, IEEE/ACM Transactions on Networking 6 (2), 1998): one body alone gets all
//! that it wants, and however many stall together, some of the room stays free.

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;

use bytes::Bytes;

use crate::long::LONGEST;

/// A body may have this part of what is free taken in ahead.
const PART: usize = 8;
/// What a long body holds on its way, in bytes: a buffer of 16 KiB on either side.
const PIPE: usize = 32 * 1024;
/// The part of the process's memory that is for bodies; as much for those of the process beside it in an upgrade, and half
/// for all else.
const OF_MEMORY: usize = 4;

/// The room that bodies share.
#[derive(Clone)]
pub struct Room(Arc<Share>);

struct Share {
    most: usize,
    longest: AtomicU64,
    held: AtomicUsize,
}

/// Bytes of the room; free again when dropped.
pub struct Hold {
    room: Room,
    bytes: usize,
}

impl Room {
    /// The room of a process that may hold so many MiB.
    pub fn of(memory_mb: usize) -> Room {
        Room::sized(memory_mb.saturating_mul(1024 * 1024) / OF_MEMORY)
    }

    fn sized(most: usize) -> Room {
        Room(Arc::new(Share { most, longest: AtomicU64::new(LONGEST), held: AtomicUsize::new(0) }))
    }

    /// The most bytes that one body may have.
    pub fn longest(&self) -> u64 {
        self.0.longest.load(Ordering::Relaxed)
    }

    /// Bodies may have so many bytes from now on.
    pub fn lengthen(&self, longest: u64) {
        self.0.longest.store(longest, Ordering::Relaxed);
    }

    fn free(&self) -> usize {
        self.0.most.saturating_sub(self.0.held.load(Ordering::Relaxed))
    }

    /// Holds nothing yet.
    pub fn hold(&self) -> Hold {
        Hold { room: self.clone(), bytes: 0 }
    }

    /// What one more long request holds on its way, if there is room for it.
    pub fn pipe(&self) -> Option<Hold> {
        (self.free() >= PIPE).then(|| self.pipe_at_once())
    }

    /// What one more long answer holds on its way. Its request may have run: it is passed on, room or not.
    pub fn pipe_at_once(&self) -> Hold {
        let mut hold = self.hold();
        hold.add(PIPE);
        hold
    }
}

impl Hold {
    /// So many bytes more have come.
    pub fn add(&mut self, bytes: usize) {
        self.bytes += bytes;
        self.room.0.held.fetch_add(bytes, Ordering::Relaxed);
    }

    /// The most bytes that the body may have.
    pub fn longest(&self) -> u64 {
        self.room.longest()
    }

    /// Whether more of the same body may be taken in ahead.
    pub fn may_grow(&self) -> bool {
        self.bytes <= self.room.free() / PART
    }

    /// These bytes, which hold the room for as long as any of them is kept.
    pub fn around(self, bytes: Bytes) -> Bytes {
        if bytes.is_empty() {
            return bytes;
        }
        Bytes::from_owner(Held { bytes, _hold: self })
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        self.room.0.held.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

struct Held {
    bytes: Bytes,
    _hold: Hold,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Takes in pieces of 1 KiB of each of so many bodies in turn until none may grow.
    fn stall(room: &Room, bodies: usize) -> Vec<Hold> {
        let mut holds: Vec<Hold> = (0..bodies).map(|_| room.hold()).collect();
        loop {
            let mut grown = false;
            for hold in holds.iter_mut().filter(|hold| hold.may_grow() && hold.bytes < 64 * 1024) {
                hold.add(1024);
                grown = true;
            }
            if !grown {
                return holds;
            }
        }
    }

    #[test]
    fn however_many_stall_together_some_room_stays_free() {
        for bodies in [1, 10, 100, 1_000] {
            let room = Room::sized(2_000_000);
            let holds = stall(&room, bodies);
            assert!(room.free() > 0, "{bodies} bodies hold all of it");
            assert!(
                bodies > 10 || holds.iter().all(|hold| hold.bytes == 64 * 1024),
                "{bodies}: none in need"
            );
            drop(holds);
            assert_eq!(room.free(), 2_000_000);
        }
    }

    #[test]
    fn bytes_hold_the_room_until_the_last_of_them_is_dropped() {
        let room = Room::sized(100_000);
        let mut hold = room.hold();
        hold.add(5);
        let bytes = hold.around(Bytes::from_static(b"hello"));
        let part = bytes.slice(1..3);
        drop(bytes);
        assert_eq!((part.as_ref(), room.free()), (&b"el"[..], 99_995));
        drop(part);
        assert_eq!(room.free(), 100_000);
    }

    #[test]
    fn a_long_request_finds_room_or_none_and_a_long_answer_always_goes_on() {
        let room = Room::sized(2 * PIPE);
        let first = room.pipe();
        let answer = room.pipe_at_once();
        assert!(first.is_some() && room.pipe().is_none());
        let beyond = room.pipe_at_once();
        drop((first, answer));
        assert!(room.pipe().is_some(), "one is left of three");
        drop(beyond);
        assert_eq!(room.free(), 2 * PIPE);
    }
}
