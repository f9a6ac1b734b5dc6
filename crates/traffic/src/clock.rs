//! The clock of a node.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use mountbend::interface::Micros;
use tokio::time::Instant;

/// Unix time in microseconds that never goes backwards: the system time at construction plus monotonic time.
pub struct Clock {
    /// The system time at construction, in microseconds since the Unix epoch.
    start_unix_micros: Micros,
    /// The monotonic time at construction.
    start_instant: Instant,
}

impl Default for Clock {
    fn default() -> Self {
        Clock::new()
    }
}

impl Clock {
    /// A clock that starts at the current system time.
    pub fn new() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start_unix_micros: unix.as_micros() as Micros, start_instant: Instant::now() }
    }

    /// The current time, in microseconds since the Unix epoch.
    pub fn now(&self) -> Micros {
        self.start_unix_micros + self.start_instant.elapsed().as_micros() as Micros
    }

    /// Converts a time of this clock to the runtime's `Instant`.
    pub fn instant(&self, time: Micros) -> Instant {
        self.start_instant + Duration::from_micros(time.saturating_sub(self.start_unix_micros))
    }
}
