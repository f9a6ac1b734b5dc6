//! The retry budget: how many requests may be sent to a second server, bounded over all nodes together without asking any
//! (see "Handling Overload" in the SRE book for retry budgets).

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
    /// Retries as a share of the requests.
    pub ratio: f64,
    /// The number of retries on top, over all nodes together.
    pub extra: f64,
}

impl Default for RetryBounds {
    fn default() -> Self {
        RetryBounds { window: Duration::from_secs(10), ratio: 0.2, extra: 62.0 }
    }
}

/// The window is counted in so many buckets.
const BUCKETS: u64 = 10;
/// The part of the bound that nodes use: the rest is for retries of processes that have ended since.
const USABLE: f64 = 0.7;
/// Where fewer retries are allowed, one of them is a large part, and the used part tells nothing.
const MIN_TELLING: f64 = 10.0;

/// What was counted in one bucket of the window.
#[derive(Debug, Clone, Copy, Default)]
struct Bucket {
    /// The number of the bucket's time span.
    span: u64,
    requests: f64,
    retries: f64,
}

/// Retries that were granted and denied.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RetryCounts {
    /// Granted.
    pub granted: u64,
    /// Requested when the budget was exhausted.
    pub denied: u64,
}

/// The retries of one window, and how many are allowed.
struct Balance {
    retries: f64,
    allowed: f64,
}

/// The requests and retries of one node, by service. Each node allows itself a share of its own requests and an even part of
/// the extra number, so the sum over all nodes is within the bounds.
#[derive(Debug, Default)]
pub struct RetryBudget {
    bounds: RetryBounds,
    services: BTreeMap<String, [Bucket; BUCKETS as usize]>,
    counts: RetryCounts,
}

impl RetryBudget {
    /// A budget within these bounds.
    pub fn new(bounds: RetryBounds) -> RetryBudget {
        RetryBudget { bounds, ..RetryBudget::default() }
    }

    fn span(&self, now: Micros) -> u64 {
        now / (self.bounds.window.as_micros() as u64 / BUCKETS).max(1)
    }

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

    /// Takes one retry if the budget allows it; `nodes` is the number of nodes that share the bounds.
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

    /// Retries that were granted and denied so far.
    pub fn counts(&self) -> RetryCounts {
        self.counts
    }

    /// The used part of the budget, of the service where it is largest. Services whose budget is too small for this to tell
    /// anything are left out.
    pub fn used_ratio(&self, now: Micros, nodes: usize) -> f64 {
        let span = self.span(now);
        let balances = self.services.values().map(|buckets| balance(buckets, span, self.bounds, nodes));
        let telling = balances.filter(|balance| balance.allowed >= MIN_TELLING);
        telling.map(|balance| balance.retries / balance.allowed).fold(0.0, f64::max)
    }
}

/// The balance of the window that ends with a span. A sliding window may reach one span further back than is counted here;
/// [`USABLE`] leaves room for that.
fn balance(buckets: &[Bucket], span: u64, bounds: RetryBounds, nodes: usize) -> Balance {
    let in_window = buckets.iter().filter(|bucket| bucket.span + BUCKETS > span);
    let (requests, retries) = in_window.fold((0.0, 0.0), |(requests, retries), bucket| {
        (requests + bucket.requests, retries + bucket.retries)
    });
    let allowed = USABLE * (bounds.ratio * requests + bounds.extra / nodes.max(1) as f64);
    Balance { retries, allowed }
}
