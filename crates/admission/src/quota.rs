//! What a quota allows, and for how long leased units of it may be spent.

use std::time::Duration;

use bincode::{Decode, Encode};

use crate::Micros;

#[cfg(test)]
mod tests;

/// A tenant's quota, over all nodes together.
#[derive(Debug, Clone, Copy, PartialEq, Default, Encode, Decode)]
pub struct Quota {
    /// Requests a second; 0 for no limit.
    pub rate: f64,
    /// Requests on top of the rate.
    pub burst: f64,
}

/// The operator's bounds on how far quotas may be exceeded.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaBounds {
    /// The sliding window in which requests are counted.
    pub period: Duration,
    /// The share by which a window may exceed the quota.
    pub overrun: f64,
    /// The number of requests by which it may, on top.
    pub margin: f64,
}

impl Default for QuotaBounds {
    fn default() -> Self {
        QuotaBounds { period: Duration::from_secs(5), overrun: 0.1, margin: 20.0 }
    }
}

/// Seconds from admission to the arrival at a server that executes the request: transit, connecting, a retry.
const TRANSIT_SECONDS: f64 = 0.25;
/// No lease is shorter, in seconds.
const MIN_LEASE_SECONDS: f64 = 0.15;
/// However wide the bounds, no lease is longer, in seconds.
const MAX_LEASE_SECONDS: f64 = 2.0;
/// Keeps divisions by a rate finite.
const MIN_RATE: f64 = 1e-9;

impl QuotaBounds {
    /// For how long after they were requested leased units may be spent.
    ///
    /// At most rate x t + burst units are granted in any time t. What arrives at servers in a window of length W was granted
    /// in the W + L before the window's end, where L is the lease and the transit. So at most rate x (W + L) + burst
    /// requests arrive, which is within (rate x W + burst) x (1 + overrun) + margin as long as rate x L is within the
    /// overrun and the margin.
    pub fn lease_duration(&self, quota: Quota) -> Micros {
        let allowance = self.overrun * (quota.rate * self.period.as_secs_f64() + quota.burst) + self.margin;
        let seconds = allowance / quota.rate.max(MIN_RATE) - TRANSIT_SECONDS;
        (seconds.clamp(MIN_LEASE_SECONDS, MAX_LEASE_SECONDS) * 1e6) as Micros
    }
}
