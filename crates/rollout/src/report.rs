//! Messages between proxies and registries about a rollout. The order of fields is part of the wire encoding.

use bincode::{Decode, Encode};

use crate::Micros;

/// The number of latency classes.
pub const LATENCY_CLASSES: usize = 16;

/// The outcomes of attempts at the servers of one side of a rollout, since the order or the process's start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Encode, Decode)]
pub struct VersionSample {
    /// The number of attempts that were sent and have ended.
    pub attempts: u32,
    /// The number of these attempts that failed.
    pub failures: u32,
    /// The number of attempts by latency class: class 0 is below 1 ms, and each further class extends to twice the latency of the
    /// one before; the last one has no upper limit.
    pub latencies: [u32; LATENCY_CLASSES],
}

impl VersionSample {
    /// Adds one attempt.
    pub fn count(&mut self, latency: Micros, has_failed: bool) {
        self.attempts += 1;
        self.failures += u32::from(has_failed);
        self.latencies[latency_class(latency)] += 1;
    }

    /// Returns the counts that were added since an earlier sample of the same process.
    pub fn since(&self, earlier: &VersionSample) -> VersionSample {
        let mut difference = VersionSample {
            attempts: self.attempts.saturating_sub(earlier.attempts),
            failures: self.failures.saturating_sub(earlier.failures),
            ..VersionSample::default()
        };
        for (class, count) in difference.latencies.iter_mut().enumerate() {
            *count = self.latencies[class].saturating_sub(earlier.latencies[class]);
        }
        difference
    }

    /// Adds the counts of another sample.
    pub fn add(&mut self, other: &VersionSample) {
        self.attempts = self.attempts.saturating_add(other.attempts);
        self.failures = self.failures.saturating_add(other.failures);
        for (class, count) in self.latencies.iter_mut().enumerate() {
            *count = count.saturating_add(other.latencies[class]);
        }
    }
}

/// Returns the class of a latency.
pub fn latency_class(latency: Micros) -> usize {
    let bits = (latency / 1_000).checked_ilog2().map_or(0, |log| log as usize + 1);
    bits.min(LATENCY_CLASSES - 1)
}

/// The outcomes of one route's requests on both sides of a rollout.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Encode, Decode)]
pub struct RouteSample {
    /// The hash of the route's name.
    pub route: u64,
    /// The latency class of the route's latency target.
    pub target_class: u8,
    /// The outcomes at the stable versions, which had the requests before the rollout.
    pub stable: VersionSample,
    /// The outcomes at the new version.
    pub target: VersionSample,
}

/// A proxy's report about a rollout.
#[derive(Debug, Clone, Default, PartialEq, Eq, Encode, Decode)]
pub struct RolloutReport {
    /// The name of the service.
    pub service: String,
    /// The order that started the rollout: the item's revision at which it was accepted.
    pub order: u64,
    /// When the report was sent, by the proxy's clock; a permit in answer repeats it.
    pub sent_at: Micros,
    /// The revision of the rollout's item that is in force at the proxy.
    pub in_force: u64,
    /// The time since this process sent the first request to the new version; 0 if it has sent none.
    pub exposed_for: Micros,
    /// Whether no new requests go to the stable versions and none is open there.
    pub has_drained: bool,
    /// The outcomes by route, since the order or the start of the process.
    pub routes: Vec<RouteSample>,
}

/// A permit to send requests to the new version.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct RolloutPermit {
    /// The name of the service.
    pub service: String,
    /// The order that started the rollout, as in the report.
    pub order: u64,
    /// The send time of the report that is answered. The permit's duration counts from then on.
    pub sent_at: Micros,
    /// How long the permit is valid.
    pub duration: Micros,
    /// The fraction of the requests that may go to the new version, in thousandths.
    pub share_permille: u16,
    /// The number of requests that may go to the new version in addition, over all proxies, if `is_cumulative`.
    pub margin: u32,
    /// Whether the fraction bounds all requests since the proxy's first permit, instead of being the probability for each next
    /// request.
    pub is_cumulative: bool,
}
