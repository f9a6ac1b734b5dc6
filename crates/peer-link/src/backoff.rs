//! Exponential backoff with jitter between attempts to connect to a process. No I/O and no clock.

use std::time::Duration;

use pinerelay_config_state::hash::mix64;

#[cfg(test)]
mod tests;

/// The initial limit on the pause between two attempts.
const MIN_PAUSE: Duration = Duration::from_millis(100);
/// The maximum of that limit.
const MAX_PAUSE: Duration = Duration::from_millis(800);
/// The increment of splitmix64.
const RANDOM_INCREMENT: u64 = 0x9e37_79b9_7f4a_7c15;

/// The pauses between attempts to connect to one process. Their limit doubles after each, up to [`MAX_PAUSE`], until a connection
/// succeeds. Each pause is uniform between half of the limit and the limit, so that processes that start together, or lose the
/// same peer, do not reconnect together.
#[derive(Debug)]
pub struct Backoff {
    limit: Duration,
    random: u64,
}

impl Backoff {
    /// The backoff before the first attempt. Seeds must differ between processes.
    pub fn new(seed: u64) -> Backoff {
        Backoff { limit: MIN_PAUSE, random: seed }
    }

    /// A connection has succeeded: the next pause is short again.
    pub fn reset(&mut self) {
        self.limit = MIN_PAUSE;
    }

    /// The pause before the next attempt.
    pub fn pause(&mut self) -> Duration {
        let half = self.limit / 2;
        self.limit = (self.limit * 2).min(MAX_PAUSE);
        self.random = self.random.wrapping_add(RANDOM_INCREMENT);
        half + Duration::from_nanos(mix64(self.random) % (half.as_nanos() as u64 + 1))
    }
}
