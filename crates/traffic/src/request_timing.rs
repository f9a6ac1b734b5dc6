//! Timing of a request and its answer on a connection, to decide whether the peer must have received the
//! whole request before it answered. Only then may the connection carry another request.

use std::time::Duration;

use tokio::time::Instant;

/// A request of at most this many bytes, head and body, fits one segment on any usual link, so a peer that
/// answers it has received all of it.
pub const ONE_SEGMENT: u64 = 1_200;
/// The slowest supported link: 2 Mbit/s, in bytes per second.
pub const SLOWEST_LINK: u64 = 250_000;

/// When a request was written and when its answer began.
#[derive(Debug, Clone, Copy, Default)]
pub struct RequestTiming {
    /// Bytes of the request written to the socket.
    pub bytes: u64,
    /// When the first byte of the request was written.
    pub begun: Option<Instant>,
    /// When the last byte of the request was written; none while some is still buffered.
    pub flushed: Option<Instant>,
    /// When the first byte of the answer came.
    pub answered: Option<Instant>,
}

impl RequestTiming {
    /// Whether the peer can be assumed to have received the whole request before its answer began.
    ///
    /// The socket's send buffer hides what has left this machine, and an answer is no proof: a server may
    /// answer before it has read the body. So either the request fits one segment, or enough time has passed
    /// for the slowest link to carry all of it.
    pub fn is_received(&self) -> bool {
        let (Some(begun), Some(flushed), Some(answered)) = (self.begun, self.flushed, self.answered) else {
            return false;
        };
        if flushed > answered {
            return false;
        }
        let transfer_time = Duration::from_micros(self.bytes.saturating_mul(1_000_000) / SLOWEST_LINK);
        self.bytes <= ONE_SEGMENT || answered.duration_since(begun) >= transfer_time
    }
}
