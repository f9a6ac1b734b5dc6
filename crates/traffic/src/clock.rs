//! The node's clock.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use mountbend::interface::Micros;
use tokio::time::Instant;

/// Unix time in microseconds that never goes back: the machine's clock at the start, then monotonic time.
pub struct Clock {
    start: Micros,
    at: Instant,
}

impl Default for Clock {
    fn default() -> Self {
        Clock::new()
    }
}

impl Clock {
    /// A clock that starts at the machine's time.
    pub fn new() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: unix.as_micros() as Micros, at: Instant::now() }
    }

    /// Now.
    pub fn now(&self) -> Micros {
        self.start + self.at.elapsed().as_micros() as Micros
    }

    /// A time of this clock as the runtime's timers take it.
    pub fn instant(&self, time: Micros) -> Instant {
        self.at + Duration::from_micros(time.saturating_sub(self.start))
    }
}
