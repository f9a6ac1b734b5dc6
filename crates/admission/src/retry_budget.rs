//! Retry budgets: a bound on the retries on another server that holds over all nodes together and needs no coordination (see
//! "Handling Overload" in the SRE book).

use std::collections::BTreeMap;
use std::time::Duration;

use crate::Micros;

#[cfg(test)]
mod tests;

/// The operator's bounds on retries.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBounds {
    /// The sliding window in which retries are counted.
    pub window: Duration,
    /// The number of retries allowed per request.
    pub ratio: f64,
    /// The number of retries allowed in addition, over all nodes together.
    pub extra: f64,
}

impl Default for RetryBounds {
    fn default() -> Self {
        RetryBounds { window: Duration::from_secs(10), ratio: 0.2, extra: 62.0 }
    }
}

/// The number of buckets that the window is divided into.
const BUCKETS: u64 = 10;
/// The fraction of the bound that nodes use. The rest covers retries of processes that have ended since, and the bucket by which
/// a sliding window can reach further back than the counted ones.
const USABLE_FRACTION: f64 = 0.7;
/// With fewer allowed retries than this, a single one is a large part of the budget, and the used ratio is not meaningful.
const MIN_MEANINGFUL_BUDGET: f64 = 10.0;

/// The requests and retries in one bucket of the window.
#[derive(Debug, Clone, Copy, Default)]
struct Bucket {
    /// The index of the time span that the bucket covers.
    span: u64,
    requests: f64,
    retries: f64,
}

/// The numbers of granted and denied retries.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RetryCounts {
    /// Retries that were granted.
    pub granted: u64,
    /// Retries that were denied because the budget was exhausted.
    pub denied: u64,
}

/// The retries of one window, and the number of allowed ones.
struct Balance {
    retries: f64,
    allowed: f64,
}

/// The retry budget of one node, with a separate window for each service. Each node allows itself a fraction of its own requests
/// and an equal part of the extra retries, so the sum over all nodes is within the bounds.
#[derive(Debug, Default)]
pub struct RetryBudget {
    bounds: RetryBounds,
    services: BTreeMap<String, [Bucket; BUCKETS as usize]>,
    counts: RetryCounts,
}

impl RetryBudget {
    /// Creates an unused budget with the given bounds.
    pub fn new(bounds: RetryBounds) -> RetryBudget {
        RetryBudget { bounds, ..RetryBudget::default() }
    }

    fn span(&self, now: Micros) -> u64 {
        now / (self.bounds.window.as_micros() as u64 / BUCKETS).max(1)
    }

    /// Returns the current bucket of a service, cleared if it was last used for an earlier span.
    fn bucket(&mut self, now: Micros, service: &str) -> &mut Bucket {
        let span = self.span(now);
        if !self.services.contains_key(service) {
            self.services.insert(service.into(), Default::default());
        }
        let buckets = self.services.entry(service.into()).or_default();
        let bucket = &mut buckets[(span % BUCKETS) as usize];
        if bucket.span != span {
            *bucket = Bucket { span, ..Bucket::default() };
        }
        bucket
    }

    /// Counts a client's request to a service.
    pub fn count_request(&mut self, now: Micros, service: &str) {
        self.bucket(now, service).requests += 1.0;
    }

    /// Takes one retry from the budget and returns whether it was granted. `nodes` is the number of nodes that share the bounds.
    #[must_use = "a retry that is not granted must not be sent"]
    pub fn try_take(&mut self, now: Micros, service: &str, nodes: usize) -> bool {
        let is_granted = self.has_retry(now, service, nodes);
        if is_granted {
            self.bucket(now, service).retries += 1.0;
            self.counts.granted += 1;
        } else {
            self.counts.denied += 1;
        }
        is_granted
    }

    /// Whether the budget allows one more retry.
    pub fn has_retry(&self, now: Micros, service: &str, nodes: usize) -> bool {
        let buckets = self.services.get(service).map_or(&[][..], |buckets| buckets);
        let Balance { retries, allowed } = balance(buckets, self.span(now), self.bounds, nodes);
        retries + 1.0 <= allowed
    }

    /// The numbers of retries granted and denied so far, over all services.
    pub fn counts(&self) -> RetryCounts {
        self.counts
    }

    /// The used fraction of the budget, of the service where it is largest. Services whose budget is too small for a meaningful
    /// ratio are left out.
    pub fn used_ratio(&self, now: Micros, nodes: usize) -> f64 {
        let span = self.span(now);
        let balances = self.services.values().map(|buckets| balance(buckets, span, self.bounds, nodes));
        let meaningful = balances.filter(|balance| balance.allowed >= MIN_MEANINGFUL_BUDGET);
        meaningful.map(|balance| balance.retries / balance.allowed).fold(0.0, f64::max)
    }
}

/// Returns the balance of the window that ends with a span. A sliding window may reach one span further back than is counted here;
/// [`USABLE_FRACTION`] leaves a margin for that.
fn balance(buckets: &[Bucket], span: u64, bounds: RetryBounds, nodes: usize) -> Balance {
    let in_window = buckets.iter().filter(|bucket| bucket.span + BUCKETS > span);
    let (requests, retries) = in_window.fold((0.0, 0.0), |(requests, retries), bucket| {
        (requests + bucket.requests, retries + bucket.retries)
    });
    let allowed = USABLE_FRACTION * (bounds.ratio * requests + bounds.extra / nodes.max(1) as f64);
    Balance { retries, allowed }
}
