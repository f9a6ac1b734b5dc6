//! Estimators for the decisions: exponentially decaying rates and means, token buckets, and a seeded random
//! generator.

use crate::interface::Micros;

/// An exponentially decaying rate, in units per second.
#[derive(Debug, Clone, Copy, Default)]
pub struct Rate {
    /// The rate at the time `at`.
    pub value: f64,
    /// The time of the last update.
    pub at: Micros,
}

impl Rate {
    /// The rate at `now`; it decays with the time constant `span`, in microseconds.
    pub fn get(&self, now: Micros, span: f64) -> f64 {
        self.value * (-(now.saturating_sub(self.at) as f64) / span).exp()
    }

    /// Counts `amount` units that occurred at `now`.
    pub fn add(&mut self, now: Micros, amount: f64, span: f64) {
        self.value = self.get(now, span) + amount * 1e6 / span;
        self.at = now;
    }
}

/// An exponentially decaying mean of samples; of samples 0 and 1 a share.
#[derive(Clone, Copy, Default)]
pub(crate) struct DecayingMean {
    pub(crate) count: Rate,
    pub(crate) sum: Rate,
}

impl DecayingMean {
    /// Adds a sample. `span` is the time constant in microseconds.
    pub(crate) fn add(&mut self, now: Micros, value: f64, span: f64) {
        self.count.add(now, span / 1e6, span);
        self.sum.add(now, value * span / 1e6, span);
    }

    /// The mean at `now`, with `prior` as one more sample.
    pub(crate) fn mean(&self, now: Micros, prior: f64, span: f64) -> f64 {
        (self.sum.get(now, span) + prior) / (self.count.get(now, span) + 1.0)
    }
}

/// A token bucket.
#[derive(Debug, Clone, Copy, Default)]
pub struct Bucket {
    /// Its level at the time `at`.
    pub store: f64,
    /// When it was last refilled.
    pub at: Micros,
}

impl Bucket {
    /// Refills it up to `now` at `rate` per second, up to `capacity`.
    pub fn refill(&mut self, now: Micros, rate: f64, capacity: f64) {
        let span = now.saturating_sub(self.at) as f64 / 1e6;
        self.store = (self.store + rate * span).min(capacity);
        self.at = now;
    }
}

/// The increment of the splitmix64 generator.
pub(crate) const GOLDEN: u64 = 0x9e37_79b9_7f4a_7c15;

/// The finalizer of splitmix64: spreads keys evenly, and mixes the state of the random generator.
pub(crate) fn mix(mut z: u64) -> u64 {
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// Advances the generator (splitmix64) and returns a uniform random number in [0, 1).
pub fn uniform(state: &mut u64) -> f64 {
    *state = mix(state.wrapping_add(GOLDEN));
    (*state >> 11) as f64 / (1u64 << 53) as f64
}
