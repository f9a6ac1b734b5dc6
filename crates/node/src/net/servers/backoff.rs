//! How long to stay away from discovery after calls that it did not serve. No I/O and no clock.

use std::time::Duration;

use mountbend::measure::uniform;

/// The mean pause after the first call that was not served, and at most, in seconds. The platform's service can take one
/// call of every node in 2 to 8 s, at any size of the fleet: so a fleet that comes back at these paces is served.
const FIRST: f64 = 4.0;
const MOST: f64 = 8.0;

/// Pauses that double from call to call, each drawn between half of its mean and half as much again. Danger: a
/// fleet that has lost its lists calls all at once, and a service that serves one call a node in some seconds works on
/// calls that nobody waits for any more as long as the others come again sooner than that: then no node hears anything.
/// It does harm where
/// a single call fails by chance: that node hears up to 6 s late.
pub struct Backoff {
    random: u64,
    mean: f64,
}

impl Backoff {
    /// No call has failed yet. Nodes have different seeds, or they would come back in step.
    pub fn new(seed: u64) -> Self {
        Backoff { random: seed, mean: FIRST }
    }

    /// A call was served: the next one that is not is the first again.
    pub fn served(&mut self) {
        self.mean = FIRST;
    }

    /// How long to wait after a call that was not served.
    pub fn pause(&mut self) -> Duration {
        let mean = self.mean;
        self.mean = (mean * 2.0).min(MOST);
        Duration::from_secs_f64(mean * (0.5 + uniform(&mut self.random)))
    }
}

#[cfg(test)]
mod tests {
    use std::collections::BTreeMap;

    use super::*;

    const NODES: usize = 100;
    /// How long a node waits for an answer, in seconds.
    const WAIT: f64 = 2.0;

    /// When each of a hundred nodes that call at once has its list, at a service that takes calls in turn, serves one of
    /// each node in `all` seconds, turns away what would wait for longer than `line`, and does not learn of callers that
    /// have given up. In seconds, in order; a node that has none after 60 s is left out.
    fn heard(all: f64, line: f64, mut pauses: Vec<Box<dyn FnMut() -> f64>>) -> Vec<f64> {
        let (mut free_at, mut heard) = (0.0_f64, Vec::new());
        let mut calls: BTreeMap<(u64, usize), ()> =
            (0..NODES).map(|node| ((node as u64, node), ())).collect();
        while let Some(((at, node), ())) = calls.pop_first() {
            let now = at as f64 / 1e6;
            if now > 60.0 {
                break;
            }
            let wait = (free_at - now).max(0.0) + all / NODES as f64;
            let again = if wait > line {
                now
            } else {
                free_at = now + wait;
                if wait <= WAIT {
                    heard.push(now + wait);
                    continue;
                }
                now + WAIT
            };
            calls.insert((((again + pauses[node]()) * 1e6) as u64, node), ());
        }
        heard.sort_by(f64::total_cmp);
        heard
    }

    fn backoffs(seed: u64) -> Vec<Box<dyn FnMut() -> f64>> {
        let one = |node: usize| {
            let mut backoff = Backoff::new(seed * 1_000 + node as u64);
            Box::new(move || backoff.pause().as_secs_f64()) as Box<dyn FnMut() -> f64>
        };
        (0..NODES).map(one).collect()
    }

    #[test]
    fn a_fleet_that_lost_its_lists_has_them_again_soon() {
        // Lines as long as a node waits, and lines longer than anyone waits.
        for (all, line) in [(2.0, 2.0), (8.0, 2.0), (4.0, 6.0), (8.0, 6.0)] {
            for seed in 1..=5 {
                let heard = heard(all, line, backoffs(seed));
                let last = heard.last().copied().unwrap_or_default();
                assert_eq!(heard.len(), NODES, "{all} s for all, a line of {line} s, seed {seed}");
                assert!(last < 4.0 * all + 4.0, "{all} s for all, a line of {line} s, seed {seed}: {last} s");
            }
        }
    }

    #[test]
    fn the_model_shows_the_loss_where_nodes_come_again_at_once() {
        let hasty = || Box::new(|| 0.16) as Box<dyn FnMut() -> f64>;
        let heard = heard(8.0, 6.0, (0..NODES).map(|_| hasty()).collect());
        assert!(heard.len() < NODES / 2, "{} of {NODES} within a minute", heard.len());
    }

    #[test]
    fn what_was_served_is_forgiven() {
        let mut backoff = Backoff::new(7);
        let long = (0..4).map(|_| backoff.pause()).max().unwrap_or_default();
        assert!(long > Duration::from_secs(4) && long <= Duration::from_secs(12), "{long:?}");
        backoff.served();
        assert!(backoff.pause() <= Duration::from_secs(6));
    }
}
