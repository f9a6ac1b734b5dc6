//! Exponential backoff between attempts to connect to a process. No I/O and no clock.

use std::time::Duration;

#[cfg(test)]
mod tests;

/// The initial pause between two attempts.
const MIN_PAUSE: Duration = Duration::from_millis(100);
/// The maximum pause.
const MAX_PAUSE: Duration = Duration::from_millis(800);

/// The pauses between attempts to connect to one process: each is twice as long as the one before, up to [`MAX_PAUSE`], until a
/// connection succeeds.
#[derive(Debug)]
pub struct Backoff {
    next: Duration,
}

impl Backoff {
    /// The backoff before the first attempt.
    pub fn new() -> Backoff {
        Backoff { next: MIN_PAUSE }
    }

    /// A connection has succeeded: the next pause is short again.
    pub fn reset(&mut self) {
        self.next = MIN_PAUSE;
    }

    /// The pause before the next attempt.
    pub fn pause(&mut self) -> Duration {
        let pause = self.next;
        self.next = (pause * 2).min(MAX_PAUSE);
        pause
    }
}
