//! What proxies and registries send each other about a rollout. The order of fields is part of the encoding on the wire.

use bincode::{Decode, Encode};

use crate::Micros;

/// The number of classes of latency.
pub const LATENCY_CLASSES: usize = 16;

/// What became of attempts at the servers of one version, since the order.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Encode, Decode)]
pub struct VersionSample {
    /// Attempts that were sent and have ended.
    pub attempts: u32,
    /// Those of them that failed.
    pub failures: u32,
    /// How many took how long: class 0 is under 1 ms, and each other up to twice as long as the one before.
    pub latencies: [u32; LATENCY_CLASSES],
}

impl VersionSample {
    /// Counts an attempt.
    pub fn count(&mut self, latency: Micros, has_failed: bool) {
        self.attempts += 1;
        self.failures += u32::from(has_failed);
        self.latencies[latency_class(latency)] += 1;
    }

    /// What has come since an earlier sample of the same process.
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

    /// Adds another sample.
    pub fn add(&mut self, other: &VersionSample) {
        self.attempts = self.attempts.saturating_add(other.attempts);
        self.failures = self.failures.saturating_add(other.failures);
        for (class, count) in self.latencies.iter_mut().enumerate() {
            *count = count.saturating_add(other.latencies[class]);
        }
    }
}

/// The class of a latency.
pub fn latency_class(latency: Micros) -> usize {
    let bits = (latency / 1_000).checked_ilog2().map_or(0, |log| log as usize + 1);
    bits.min(LATENCY_CLASSES - 1)
}

/// What both sides of a rollout did with the requests of one route.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Encode, Decode)]
pub struct RouteSample {
    /// The hash of the route's name.
    pub route: u64,
    /// The class of latency that the route's target is in.
    pub target_class: u8,
    /// The versions that had the requests before.
    pub stable: VersionSample,
    /// The new version.
    pub target: VersionSample,
}

/// What a proxy reports of a rollout.
#[derive(Debug, Clone, Default, PartialEq, Eq, Encode, Decode)]
pub struct RolloutReport {
    /// The service.
    pub service: String,
    /// The order.
    pub order: u64,
    /// When this was sent, by the proxy's clock; returned with a permit.
    pub sent_at: Micros,
    /// The revision of the rollout's item that is in force at the proxy.
    pub in_force: u64,
    /// How long ago this process gave the new version its first request; 0 if it has given it none.
    pub exposed_for: Micros,
    /// Whether no request is open at the other versions.
    pub has_drained: bool,
    /// Since the order, or since the process started.
    pub routes: Vec<RouteSample>,
}

/// A permit to send requests to the new version.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct RolloutPermit {
    /// The service.
    pub service: String,
    /// The order.
    pub order: u64,
    /// As in the report that it answers: the permit counts from then on.
    pub sent_at: Micros,
    /// How long it is valid.
    pub duration: Micros,
    /// The part of the requests that the new version may get, in thousandths.
    pub share_permille: u16,
    /// So many requests may go there before any was counted, over all proxies.
    pub margin: u32,
    /// Whether that bounds the part of all requests since the order, and not just of the next ones.
    pub is_cumulative: bool,
}
