//! When a request went out on a connection and when its answer began: whether the peer can be taken to have had all of it
//! by then. Only then may the connection carry another request.

use std::time::Duration;

use tokio::time::Instant;

/// A request that is no longer than this, head and body, travels in one segment of any usual link, so whoever answers it
/// has all of it.
pub const ONE_SEGMENT: u64 = 1_200;
/// The slowest link that requests go out on: 2 Mbit/s, in bytes a second.
pub const SLOWEST_LINK: u64 = 250_000;

/// When a request went out, and when its answer began.
#[derive(Debug, Clone, Copy, Default)]
pub struct Passage {
    /// Bytes that have gone to the socket.
    pub bytes: u64,
    /// When the first of them did.
    pub begun: Option<Instant>,
    /// When the last byte of the request did; none while some are held back.
    pub flushed: Option<Instant>,
    /// When the first byte of the answer came.
    pub answered: Option<Instant>,
}

impl Passage {
    /// Whether the peer can be taken to have had the whole request before its answer began.
    ///
    /// The socket's send buffer hides what has left this machine, and an answer proves nothing: a server may answer before it
    /// has read a body. So either the request fits one segment, or so much time has passed that the slowest link has carried
    /// all of it.
    pub fn taken(&self) -> bool {
        let (Some(begun), Some(flushed), Some(answered)) = (self.begun, self.flushed, self.answered) else {
            return false;
        };
        if flushed > answered {
            return false;
        }
        let on_the_way = Duration::from_micros(self.bytes.saturating_mul(1_000_000) / SLOWEST_LINK);
        self.bytes <= ONE_SEGMENT || answered.duration_since(begun) >= on_the_way
    }
}
