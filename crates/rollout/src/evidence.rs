//! The outcomes that all proxies have reported, and whether the new version is worse than the stable ones.
//!
//! Both sides are compared route by route over the same period, so that faults which affect both do not count. Once the new version
//! gets all requests there is no concurrent comparison, and only many more failures than before count. A difference counts if it
//! exceeds a tolerance plus several standard deviations of a difference by chance (two-proportion z-test). The limits for a bad
//! version are wider than those for a healthy one; between them the verdict is open until there is more evidence, because a version
//! that was not found to be bad is not healthy for that reason.

use std::collections::{BTreeMap, VecDeque};

use crate::report::{RolloutReport, RouteSample, VersionSample, LATENCY_CLASSES};
use crate::Micros;

/// The limits beyond which a difference counts.
#[derive(Debug, Clone, Copy)]
struct Limits {
    /// The tolerated difference of the failure ratios.
    failure_tolerance: f64,
    /// The tolerated difference of the ratios of attempts above a latency.
    slowness_tolerance: f64,
    /// The number of standard deviations that a difference has to exceed the tolerance by.
    deviations: f64,
    /// The minimum number of bad attempts at the new version.
    min_bad_attempts: u64,
}

/// Beyond these limits the new version is worse. Four deviations occur by chance once in 30,000 tests, and the test is repeated
/// with each report.
const WORSE_LIMITS: Limits =
    Limits { failure_tolerance: 0.05, slowness_tolerance: 0.08, deviations: 4.0, min_bad_attempts: 5 };
/// Within these limits, over the whole time since the order, the new version is healthy.
const HEALTHY_LIMITS: Limits =
    Limits { failure_tolerance: 0.02, slowness_tolerance: 0.04, deviations: 1.5, min_bad_attempts: 3 };
/// Beyond these limits the new version is worse once it gets all requests. Only failures are compared, not latencies: those of
/// its recent attempts with those of all attempts at the stable versions since the order.
const CUTOVER_LIMITS: Limits = Limits { failure_tolerance: 0.15, ..WORSE_LIMITS };
/// Latencies are compared from this many classes below the route's target on. Lower ones reflect the cost of new connections.
const CLASSES_BELOW_TARGET: usize = 3;
/// The minimum number of attempts at the new version for any comparison, and at the stable versions for one of latencies.
const MIN_ATTEMPTS: u64 = 12;
/// The minimum number of attempts at the new version for it to be healthy.
const HEALTHY_ATTEMPTS: u64 = 30;
/// A route with a smaller fraction of the service's attempts need not have enough evidence.
const ROUTE_SHARE: f64 = 0.05;
/// The minimum number of attempts at the new version on each other route.
const ROUTE_ATTEMPTS: u32 = 8;
/// The recent periods over which versions are compared, in addition to the whole time, which would dilute a late change for the
/// worse.
const SPANS: [Micros; 2] = [2_000_000, 5_000_000];
/// The interval between snapshots of the totals.
const SNAPSHOT_INTERVAL: Micros = 500_000;
/// The number of snapshots that are kept, which is more than the longest span needs.
const SNAPSHOTS: usize = 12;
/// The maximum number of routes with totals of their own; further ones are combined.
const MAX_ROUTES: usize = 64;
/// The key of the combined totals of further routes.
const OTHER_ROUTES: u64 = 0;

/// The result of comparing the new version with the stable ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The evidence is not sufficient.
    Undecided,
    /// The evidence is sufficient and does not suggest that it is worse.
    Healthy,
    /// A larger fraction of its attempts fail.
    Failing,
    /// A larger fraction of its attempts exceed one of the compared latencies.
    Slow,
}

impl Verdict {
    /// Whether the new version was found to be worse.
    pub fn is_bad(self) -> bool {
        matches!(self, Verdict::Failing | Verdict::Slow)
    }
}

/// A difference by which the new version is worse.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Difference {
    /// The kind of difference.
    pub verdict: Verdict,
    /// The number of its bad attempts in excess of the stable versions' ratio.
    pub bad_attempts: f64,
}

/// The attempts that the new version is compared with.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Comparison {
    /// Attempts at the stable versions during the same period.
    Concurrent,
    /// Earlier attempts at the stable versions, because the new version gets all requests now.
    Earlier,
}

type Totals = BTreeMap<u64, RouteSample>;

/// The last report of a proxy's process.
#[derive(Debug, Clone)]
struct LastReport {
    process_id: u64,
    routes: Vec<RouteSample>,
}

/// The outcomes that all proxies have reported for one rollout.
#[derive(Debug, Clone, Default)]
pub struct Evidence {
    totals: Totals,
    last_reports: BTreeMap<String, LastReport>,
    /// The totals at earlier times, oldest first.
    snapshots: VecDeque<(Micros, Totals)>,
}

impl Evidence {
    /// Adds a proxy's report. Each report contains all counts of the process, of which the new ones are added.
    pub fn report(&mut self, node: &str, process_id: u64, report: &RolloutReport) {
        let last = self.last_reports.get(node).filter(|last| last.process_id == process_id);
        let nothing = RouteSample::default();
        let routes = &report.routes[..report.routes.len().min(MAX_ROUTES)];
        let mut changes = Vec::with_capacity(routes.len());
        for sample in routes {
            let earlier = last.and_then(|last| last.routes.iter().find(|other| other.route == sample.route));
            let earlier = earlier.unwrap_or(&nothing);
            let stable = sample.stable.since(&earlier.stable);
            let target = sample.target.since(&earlier.target);
            changes.push(RouteSample { stable, target, ..*sample });
        }
        changes.iter().for_each(|change| self.add(change));
        let last = LastReport { process_id, routes: routes.to_vec() };
        self.last_reports.insert(node.into(), last);
    }

    /// Adds new counts to the totals of their route, or to those of [`OTHER_ROUTES`] if it would exceed [`MAX_ROUTES`]. The totals
    /// keep the highest target class.
    fn add(&mut self, change: &RouteSample) {
        let is_known = self.totals.contains_key(&change.route) || self.totals.len() < MAX_ROUTES;
        let route = if is_known { change.route } else { OTHER_ROUTES };
        let total = self.totals.entry(route).or_insert(RouteSample {
            route,
            target_class: change.target_class,
            ..RouteSample::default()
        });
        total.target_class = total.target_class.max(change.target_class);
        total.stable.add(&change.stable);
        total.target.add(&change.target);
    }

    /// Takes a snapshot of the totals when one is due.
    pub fn tick(&mut self, now: Micros) {
        let is_due = self.snapshots.back().is_none_or(|(at, _)| now >= at + SNAPSHOT_INTERVAL);
        if is_due {
            self.snapshots.push_back((now, self.totals.clone()));
            if self.snapshots.len() > SNAPSHOTS {
                self.snapshots.pop_front();
            }
        }
    }

    /// The number of attempts at the new version.
    pub fn target_attempts(&self) -> u64 {
        self.totals.values().map(|sample| u64::from(sample.target.attempts)).sum()
    }

    /// The number of failed attempts at the new version.
    pub fn target_failures(&self) -> u64 {
        self.totals.values().map(|sample| u64::from(sample.target.failures)).sum()
    }

    /// Compares the new version with the stable ones, over the evidence so far.
    pub fn verdict(&self, now: Micros, comparison: Comparison) -> Verdict {
        let bad = match comparison {
            Comparison::Concurrent => {
                let is_worse = |sample: &RouteSample| compare(sample, &WORSE_LIMITS);
                let worst = worst_of(self.totals.values().copied(), is_worse);
                let spans = SPANS.iter().filter_map(|span| worst_of(self.within(now, *span)?, is_worse));
                worst.into_iter().chain(spans).next()
            }
            Comparison::Earlier => self.worst_recent(now),
        };
        match bad {
            Some(bad) => bad.verdict,
            None if self.is_sufficient() && self.suspicion().is_none() => Verdict::Healthy,
            None => Verdict::Undecided,
        }
    }

    /// The outcomes of the most recent span; `None` if no snapshot is old enough.
    fn within(&self, now: Micros, span: Micros) -> Option<impl Iterator<Item = RouteSample> + '_> {
        let (_, earlier) = self.snapshots.iter().rfind(|(at, _)| at + span <= now)?;
        Some(self.totals.values().map(|total| {
            let earlier = earlier.get(&total.route).copied().unwrap_or_default();
            let stable = total.stable.since(&earlier.stable);
            let target = total.target.since(&earlier.target);
            RouteSample { stable, target, ..*total }
        }))
    }

    /// Compares the recent attempts at the new version with all those at the stable versions since the order.
    fn worst_recent(&self, now: Micros) -> Option<Difference> {
        let [span, _] = SPANS;
        let samples = self.within(now, span)?.map(|sample| {
            let stable = self.totals.get(&sample.route).map_or(sample.stable, |total| total.stable);
            RouteSample { stable, ..sample }
        });
        worst_of(samples, |sample| failure_difference(sample, &CUTOVER_LIMITS))
    }

    /// The largest difference since the order that suggests that the new version is worse, though it may be due to chance.
    pub fn suspicion(&self) -> Option<Difference> {
        worst_of(self.totals.values().copied(), |sample| compare(sample, &HEALTHY_LIMITS))
    }

    /// Whether the evidence is sufficient overall and on each route with a relevant fraction of the attempts.
    fn is_sufficient(&self) -> bool {
        let attempts =
            |sample: &RouteSample| f64::from(sample.stable.attempts) + f64::from(sample.target.attempts);
        let all: f64 = self.totals.values().map(attempts).sum();
        let is_relevant = |sample: &&RouteSample| attempts(sample) >= all * ROUTE_SHARE;
        let has_enough = |sample: &RouteSample| sample.target.attempts >= ROUTE_ATTEMPTS;
        self.target_attempts() >= HEALTHY_ATTEMPTS && self.totals.values().filter(is_relevant).all(has_enough)
    }
}

/// Returns the difference with the most bad attempts, on a single route or on all of them combined.
fn worst_of(
    samples: impl Iterator<Item = RouteSample>,
    compare: impl Fn(&RouteSample) -> Option<Difference>,
) -> Option<Difference> {
    let mut combined = RouteSample::default();
    let mut differences = Vec::new();
    for sample in samples {
        combined.target_class = combined.target_class.max(sample.target_class);
        combined.stable.add(&sample.stable);
        combined.target.add(&sample.target);
        differences.extend(compare(&sample));
    }
    differences.extend(compare(&combined));
    largest(differences)
}

/// Returns the difference with the most bad attempts.
fn largest(differences: impl IntoIterator<Item = Difference>) -> Option<Difference> {
    differences.into_iter().max_by(|one, other| one.bad_attempts.total_cmp(&other.bad_attempts))
}

/// Compares failures and then latencies; returns how the new version is worse, if it is.
fn compare(sample: &RouteSample, limits: &Limits) -> Option<Difference> {
    failure_difference(sample, limits).or_else(|| slowness_difference(sample, limits))
}

/// Compares the failure ratios; returns a difference if the new version's is larger.
fn failure_difference(
    RouteSample { stable, target, .. }: &RouteSample,
    limits: &Limits,
) -> Option<Difference> {
    let failed =
        |sample: &VersionSample| Proportion { bad: sample.failures.into(), all: sample.attempts.into() };
    let excess = excess(failed(target), failed(stable), limits.failure_tolerance, limits);
    excess.map(|bad_attempts| Difference { verdict: Verdict::Failing, bad_attempts })
}

/// Compares the ratios of attempts above each relevant latency; returns the largest difference if the new version is slower.
fn slowness_difference(sample: &RouteSample, limits: &Limits) -> Option<Difference> {
    let RouteSample { stable, target, target_class, .. } = sample;
    if u64::from(stable.attempts) < MIN_ATTEMPTS {
        return None;
    }
    let from_class = |sample: &VersionSample, class| Proportion {
        bad: count_from(sample, class),
        all: sample.attempts.into(),
    };
    let lowest = usize::from(*target_class).saturating_sub(CLASSES_BELOW_TARGET).max(1);
    let excess_from = |class| {
        excess(from_class(target, class), from_class(stable, class), limits.slowness_tolerance, limits)
    };
    let differences = (lowest..LATENCY_CLASSES).filter_map(excess_from);
    largest(differences.map(|bad_attempts| Difference { verdict: Verdict::Slow, bad_attempts }))
}

/// Counts the attempts in a latency class and those above it.
fn count_from(sample: &VersionSample, class: usize) -> u64 {
    sample.latencies[class..].iter().copied().map(u64::from).sum()
}

/// A number of bad attempts out of all.
#[derive(Debug, Clone, Copy)]
struct Proportion {
    bad: u64,
    all: u64,
}

impl Proportion {
    fn ratio(self) -> f64 {
        self.bad as f64 / self.all.max(1) as f64
    }
}

/// Returns the number of bad attempts of `target` in excess of the ratio of `stable`, if the ratios differ by more than the
/// tolerance and chance.
fn excess(target: Proportion, stable: Proportion, tolerance: f64, limits: &Limits) -> Option<f64> {
    if target.all < MIN_ATTEMPTS || target.bad < limits.min_bad_attempts {
        return None;
    }
    let pooled = Proportion { bad: target.bad + stable.bad, all: target.all + stable.all }.ratio();
    let inverse_sizes = 1.0 / target.all as f64 + 1.0 / stable.all.max(1) as f64;
    let deviation = (pooled * (1.0 - pooled).max(0.0) * inverse_sizes).sqrt();
    let difference = target.ratio() - stable.ratio();
    (difference > tolerance + limits.deviations * deviation).then_some(difference * target.all as f64)
}
