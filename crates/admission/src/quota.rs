//! Quotas, the bounds on exceeding them, and the lease duration that keeps within these bounds.

use std::time::Duration;

use bincode::{Decode, Encode};

use crate::Micros;

#[cfg(test)]
mod tests;

/// A tenant's quota, which applies to all nodes together.
#[derive(Debug, Clone, Copy, PartialEq, Default, Encode, Decode)]
pub struct Quota {
    /// The number of requests per second; 0 for no limit.
    pub rate: f64,
    /// The number of requests that may exceed the rate at once.
    pub burst: f64,
}

/// The operator's bounds on how far quotas may be exceeded.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaBounds {
    /// The sliding window in which requests are counted.
    pub period: Duration,
    /// The fraction by which the requests in a window may exceed the quota.
    pub overrun: f64,
    /// The number of requests by which they may exceed it in addition.
    pub margin: f64,
}

impl Default for QuotaBounds {
    fn default() -> Self {
        QuotaBounds { period: Duration::from_secs(5), overrun: 0.1, margin: 20.0 }
    }
}

/// The time from a request's admission to its arrival at the server that executes it, in seconds: transit, connecting and one
/// retry.
const TRANSIT_SECONDS: f64 = 0.25;
/// The minimum lease duration in seconds.
const MIN_LEASE_SECONDS: f64 = 0.15;
/// The maximum lease duration in seconds, which applies however wide the bounds are.
const MAX_LEASE_SECONDS: f64 = 2.0;
/// Lower limit of a rate in divisions, which keeps the result finite.
const MIN_RATE: f64 = 1e-9;

impl QuotaBounds {
    /// Returns for how long leased units may be spent, counted from when they were requested.
    ///
    /// At most rate x t + burst units are granted in any period of length t. Requests that arrive at servers in a window of
    /// length W use units that were granted in the W + L before the window's end, where L is the lease duration plus the transit
    /// time. So at most rate x (W + L) + burst requests arrive, which is within (rate x W + burst) x (1 + overrun) + margin as
    /// long as rate x L does not exceed the overrun and the margin.
    pub fn lease_duration(&self, quota: Quota) -> Micros {
        let allowance = self.overrun * (quota.rate * self.period.as_secs_f64() + quota.burst) + self.margin;
        let seconds = allowance / quota.rate.max(MIN_RATE) - TRANSIT_SECONDS;
        (seconds.clamp(MIN_LEASE_SECONDS, MAX_LEASE_SECONDS) * 1e6) as Micros
    }
}
