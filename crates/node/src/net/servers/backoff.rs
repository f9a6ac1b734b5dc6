//! Backoff for calls to discovery that failed or were rejected. No I/O and no clock.

use std::time::Duration;

use mountbend::measure::uniform;

/// The initial and the maximum mean pause, in seconds. The platform's discovery can serve one call from every node in 2
/// to 8 s, at any fleet size, so a whole fleet that retries with these pauses is served.
const FIRST_MEAN_SECONDS: f64 = 4.0;
const MAX_MEAN_SECONDS: f64 = 8.0;

/// Exponential backoff: the mean doubles with each failed call, and each pause is uniform between 0.5 and 1.5 times the
/// mean. Danger: a fleet that has lost its lists calls all at once. If nodes retry sooner than discovery can serve one
/// call per node, it spends its time on calls that have already timed out, and no node gets a list. Cost: after a
/// single random failure a node gets its list up to 6 s late.
pub struct Backoff {
    random: u64,
    mean: f64,
}

impl Backoff {
    /// Starts without a failed call. Seeds must differ between nodes, or their retries synchronise.
    pub fn new(seed: u64) -> Self {
        Backoff { random: seed, mean: FIRST_MEAN_SECONDS }
    }

    /// Resets the pause after a successful call.
    pub fn served(&mut self) {
        self.mean = FIRST_MEAN_SECONDS;
    }

    /// Returns the pause after a failed call, and doubles the mean of the next.
    pub fn pause(&mut self) -> Duration {
        let mean = self.mean;
        self.mean = (mean * 2.0).min(MAX_MEAN_SECONDS);
        Duration::from_secs_f64(mean * (0.5 + uniform(&mut self.random)))
    }
}

#[cfg(test)]
mod tests {
    use std::collections::BTreeMap;

    use super::*;

    const NODES: usize = 100;
    /// Timeout of a call, in seconds.
    const CALL_TIMEOUT_SECONDS: f64 = 2.0;

    /// Simulates a hundred nodes that call discovery at once, and returns the sorted times, in seconds, at which they get
    /// their lists; a node without one after 60 s is left out. The service handles calls in order of arrival, one per node
    /// in `fleet_seconds`, rejects calls that would queue for longer than `max_queue_seconds`, and also serves calls whose
    /// caller has timed out.
    fn list_times(
        fleet_seconds: f64,
        max_queue_seconds: f64,
        mut pauses: Vec<Box<dyn FnMut() -> f64>>,
    ) -> Vec<f64> {
        let (mut free_at, mut received_at) = (0.0_f64, Vec::new());
        let mut calls: BTreeMap<(u64, usize), ()> =
            (0..NODES).map(|node| ((node as u64, node), ())).collect();
        while let Some(((at, node), ())) = calls.pop_first() {
            let now = at as f64 / 1e6;
            if now > 60.0 {
                break;
            }
            let wait = (free_at - now).max(0.0) + fleet_seconds / NODES as f64;
            let again = if wait > max_queue_seconds {
                now
            } else {
                free_at = now + wait;
                if wait <= CALL_TIMEOUT_SECONDS {
                    received_at.push(now + wait);
                    continue;
                }
                now + CALL_TIMEOUT_SECONDS
            };
            calls.insert((((again + pauses[node]()) * 1e6) as u64, node), ());
        }
        received_at.sort_by(f64::total_cmp);
        received_at
    }

    fn backoff_pauses(seed: u64) -> Vec<Box<dyn FnMut() -> f64>> {
        let one = |node: usize| {
            let mut backoff = Backoff::new(seed * 1_000 + node as u64);
            Box::new(move || backoff.pause().as_secs_f64()) as Box<dyn FnMut() -> f64>
        };
        (0..NODES).map(one).collect()
    }

    #[test]
    fn backoff_lets_the_whole_fleet_recover_its_lists() {
        // Queues as long as the call timeout, and longer ones.
        for (all, line) in [(2.0, 2.0), (8.0, 2.0), (4.0, 6.0), (8.0, 6.0)] {
            for seed in 1..=5 {
                let received_at = list_times(all, line, backoff_pauses(seed));
                let last = received_at.last().copied().unwrap_or_default();
                assert_eq!(received_at.len(), NODES, "{all} s for all, a line of {line} s, seed {seed}");
                assert!(last < 4.0 * all + 4.0, "{all} s for all, a line of {line} s, seed {seed}: {last} s");
            }
        }
    }

    #[test]
    fn the_simulation_shows_starvation_with_immediate_retries() {
        let constant_pause = || Box::new(|| 0.16) as Box<dyn FnMut() -> f64>;
        let received_at = list_times(8.0, 6.0, (0..NODES).map(|_| constant_pause()).collect());
        assert!(received_at.len() < NODES / 2, "{} of {NODES} within a minute", received_at.len());
    }

    #[test]
    fn a_served_call_resets_the_pause() {
        let mut backoff = Backoff::new(7);
        let long = (0..4).map(|_| backoff.pause()).max().unwrap_or_default();
        assert!(long > Duration::from_secs(4) && long <= Duration::from_secs(12), "{long:?}");
        backoff.served();
        assert!(backoff.pause() <= Duration::from_secs(6));
    }
}
