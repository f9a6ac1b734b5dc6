//! What is sent to a second server, bounded over all nodes together without asking any.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::Micros;

/// The operator's bounds on further tries.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// The window that counts.
    pub window: Duration,
    /// Arrivals beyond the first of each request, as a share of the requests.
    pub ratio: f64,
    /// And the number on top.
    pub extra: f64,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds { window: Duration::from_secs(10), ratio: 0.2, extra: 62.0 }
    }
}

/// The window is counted in so many parts.
const PARTS: u64 = 10;
/// The part of what is allowed that nodes use: the rest is for what processes spent that have ended since.
const USED: f64 = 0.7;
/// Where fewer further tries are allowed, each is a large part of them.
const TELLING: f64 = 10.0;

#[derive(Debug, Clone, Copy, Default)]
struct Count {
    part: u64,
    requests: f64,
    further: f64,
}

/// One service's requests and further tries at this node. The sum over all nodes of what each allows itself, by its own
/// requests and its even part of the number, is within the bound.
#[derive(Debug, Default)]
pub struct Budget {
    bounds: Bounds,
    services: BTreeMap<String, [Count; PARTS as usize]>,
    /// Further tries taken, and those that were not there.
    counts: [u64; 2],
}

impl Budget {
    /// A budget within these bounds.
    pub fn new(bounds: Bounds) -> Budget {
        Budget { bounds, services: BTreeMap::new(), counts: [0; 2] }
    }

    fn part(&self, now: Micros) -> u64 {
        now / (self.bounds.window.as_micros() as u64 / PARTS).max(1)
    }

    fn count(&mut self, now: Micros, service: &str) -> &mut Count {
        let part = self.part(now);
        if !self.services.contains_key(service) {
            self.services.insert(service.into(), Default::default());
        }
        let parts = self.services.entry(service.into()).or_default();
        let count = &mut parts[(part % PARTS) as usize];
        if count.part != part {
            *count = Count { part, ..Count::default() };
        }
        count
    }

    /// A client has asked for this service.
    pub fn asked(&mut self, now: Micros, service: &str) {
        self.count(now, service).requests += 1.0;
    }

    /// Takes one further try, if there is one, at one of so many nodes.
    pub fn further(&mut self, now: Micros, service: &str, nodes: usize) -> bool {
        let fits = self.has(now, service, nodes);
        if fits {
            self.count(now, service).further += 1.0;
        }
        self.counts[usize::from(!fits)] += 1;
        fits
    }

    /// Whether there is a further try.
    pub fn has(&self, now: Micros, service: &str, nodes: usize) -> bool {
        let parts = self.services.get(service).map_or(&[][..], |parts| parts);
        let (further, allowed) = spent(parts, self.part(now), self.bounds, nodes);
        further + 1.0 <= allowed
    }

    /// Further tries that were taken, and those that were asked for and not there.
    pub fn counts(&self) -> [u64; 2] {
        self.counts
    }

    /// The part of what is allowed that is spent, of the service where it is largest. Services that are allowed too few for
    /// this to tell anything are left out.
    pub fn used(&self, now: Micros, nodes: usize) -> f64 {
        let part = self.part(now);
        let all = self.services.values().map(|parts| spent(parts, part, self.bounds, nodes));
        all.filter(|(_, allowed)| *allowed >= TELLING).map(|(f, allowed)| f / allowed).fold(0.0, f64::max)
    }
}

/// What is spent of the window that ends with this part, and what is allowed.
fn spent(parts: &[Count], part: u64, bounds: Bounds, nodes: usize) -> (f64, f64) {
    let live = parts.iter().filter(|count| count.part + PARTS > part);
    let (requests, further) = live.fold((0.0, 0.0), |(r, f), count| (r + count.requests, f + count.further));
    // Danger: of a window that slides, one more part may be in it than is counted here.
    (further, USED * (bounds.ratio * requests + bounds.extra / nodes.max(1) as f64))
}

#[cfg(test)]
mod tests {
    use googletest::prelude::*;

    use super::*;

    #[gtest]
    fn what_is_spent_of_it_is_told_where_it_tells_something() {
        let mut budget = Budget::new(Bounds::default());
        expect_that!(budget.further(0, "thin", 10), eq(true));
        expect_that!(budget.used(0, 10), eq(0.0));
        (0..1_000).for_each(|_| budget.asked(0, "s"));
        (0..200).for_each(|_| {
            budget.further(0, "s", 62);
        });
        // 0.7 of 200 and of 1.
        expect_that!(budget.counts(), eq([141, 60]));
        expect_that!(budget.used(0, 62), near(140.0 / 140.7, 1e-9));
    }

    #[gtest]
    fn eleven_nodes_stay_within_the_bound_in_every_window() {
        let bounds = Bounds::default();
        let mut nodes: Vec<Budget> = (0..11).map(|_| Budget::new(bounds)).collect();
        let mut lot = 3;
        let (mut requests, mut further): (Vec<Micros>, Vec<Micros>) = Default::default();
        for now in (0..40_000_000_u64).step_by(5_000) {
            // Quiet, then busy, then quiet.
            let busy = (10_000_000..25_000_000).contains(&now);
            let node = (mountbend::measure::lot(&mut lot) * 11.0) as usize;
            if busy || now % 50_000 == 0 {
                nodes[node].asked(now, "s");
                requests.push(now);
            }
            while nodes[node].further(now, "s", 11) {
                further.push(now);
            }
        }
        let window = bounds.window.as_micros() as u64;
        let within = |times: &[Micros], from: Micros| {
            times.iter().filter(|&&at| at >= from && at < from + window).count() as f64
        };
        for from in (0..30_000_000_u64).step_by(250_000) {
            let asked = [from, from.saturating_sub(window / 2), from.saturating_sub(window)]
                .map(|from| within(&requests, from))
                .into_iter()
                .fold(0.0, f64::max);
            assert_that!(within(&further, from), le(0.2 * asked + 62.0), "from {from}");
        }
        expect_that!(further.len() as f64, gt(0.1 * requests.len() as f64));
    }
}
