//! What all proxies have seen of both versions, and whether the new one is worse.
//!
//! Both versions are compared route by route, over the same time: what hits both shows nothing. Once the new version has all
//! requests there is no such comparison, and only many more failures than before count. A difference counts if it exceeds a
//! tolerance and some standard deviations of a difference by chance (the two-proportion z-test). Between the limit of an alarm and that
//! of clearance nothing is decided, and more is waited for: a version that was not found to be bad is not good for that.

use std::collections::{BTreeMap, VecDeque};

use crate::report::{RolloutReport, RouteSample, VersionSample, LATENCY_CLASSES};
use crate::Micros;

/// From which differences on something is concluded.
#[derive(Debug, Clone, Copy)]
struct Limits {
    /// By how much a larger part of the new version's attempts may fail.
    failure_tolerance: f64,
    /// By how much a larger part of them may take longer than some latency.
    slowness_tolerance: f64,
    /// How many standard deviations a difference has to exceed besides.
    deviations: f64,
    /// How many attempts have to be bad.
    min_bad_attempts: u64,
}

/// Beyond these the new version is worse. Four deviations are one chance in 30,000 for one test, and tests are repeated with each
/// report.
const ALARM: Limits =
    Limits { failure_tolerance: 0.05, slowness_tolerance: 0.08, deviations: 4.0, min_bad_attempts: 5 };
/// Within these, over all time since the order, it is healthy.
const CLEARANCE: Limits =
    Limits { failure_tolerance: 0.02, slowness_tolerance: 0.04, deviations: 1.5, min_bad_attempts: 3 };
/// Beyond these it is worse once it has all requests, and is compared with what the others did before.
const LATER_ALARM: Limits = Limits { failure_tolerance: 0.15, ..ALARM };
/// Latencies this many classes below that of the route's target do not matter: there the cost of new connections shows.
const CLASSES_BELOW_TARGET: usize = 3;
/// No judgement is made on fewer attempts at the new version, nor of its latency on fewer at the others.
const MIN_ATTEMPTS: u64 = 12;
/// A version is healthy only with so many attempts.
const HEALTHY_ATTEMPTS: u64 = 30;
/// A route with a smaller part of the service's attempts is not waited for.
const ROUTE_SHARE: f64 = 0.05;
/// A route that is waited for needs so many attempts at the new version.
const ROUTE_ATTEMPTS: u32 = 8;
/// The spans over which versions are compared, besides the whole time: what turns bad late would be diluted by the rest.
const SPANS: [Micros; 2] = [2_000_000, 5_000_000];
/// How often the totals are noted.
const SNAPSHOT_INTERVAL: Micros = 500_000;
/// How many of them are kept: more than the longest span needs.
const SNAPSHOTS: usize = 12;
/// So many routes are told apart; the rest are compared together.
const MAX_ROUTES: usize = 64;
/// Stands for all routes beyond those.
const OTHER_ROUTES: u64 = 0;

/// How the new version compares with the others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Too little is known.
    Undecided,
    /// Nothing shows that it is worse.
    Healthy,
    /// More of its attempts fail.
    Failing,
    /// More of its attempts take longer than some latency that matters.
    Slow,
}

impl Verdict {
    /// Whether the new version is worse.
    pub fn is_bad(self) -> bool {
        matches!(self, Verdict::Failing | Verdict::Slow)
    }
}

/// How the new version differs from the others for the worse.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Difference {
    /// In what.
    pub verdict: Verdict,
    /// How many of its attempts are bad beyond what the others would have had.
    pub bad_attempts: f64,
}

/// With what the new version is compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Comparison {
    /// With the others at the same time.
    AtTheSameTime,
    /// With the others before: the new version has all requests now.
    WithBefore,
}

type Totals = BTreeMap<u64, RouteSample>;

/// The last report of a proxy's process.
#[derive(Debug, Clone)]
struct LastReport {
    process_id: u64,
    routes: Vec<RouteSample>,
}

/// What all proxies have reported of one rollout.
#[derive(Debug, Clone, Default)]
pub struct Evidence {
    totals: Totals,
    last_reports: BTreeMap<String, LastReport>,
    /// The totals at earlier moments, the oldest first.
    snapshots: VecDeque<(Micros, Totals)>,
}

impl Evidence {
    /// A proxy has reported. Each report holds all that its process has counted.
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

    /// Time has passed.
    pub fn tick(&mut self, now: Micros) {
        let is_due = self.snapshots.back().is_none_or(|(at, _)| now >= at + SNAPSHOT_INTERVAL);
        if is_due {
            self.snapshots.push_back((now, self.totals.clone()));
            if self.snapshots.len() > SNAPSHOTS {
                self.snapshots.pop_front();
            }
        }
    }

    /// All attempts at the new version.
    pub fn target_attempts(&self) -> u64 {
        self.totals.values().map(|sample| u64::from(sample.target.attempts)).sum()
    }

    /// All attempts at the new version that failed.
    pub fn target_failures(&self) -> u64 {
        self.totals.values().map(|sample| u64::from(sample.target.failures)).sum()
    }

    /// How the new version compares with the others so far.
    pub fn verdict(&self, now: Micros, comparison: Comparison) -> Verdict {
        let bad = match comparison {
            Comparison::AtTheSameTime => {
                let alarm = |sample: &RouteSample| compare(sample, &ALARM);
                let worst = worst_of(self.totals.values().copied(), alarm);
                let spans = SPANS.iter().filter_map(|span| worst_of(self.within(now, *span)?, alarm));
                worst.into_iter().chain(spans).next()
            }
            Comparison::WithBefore => self.worst_since_before(now),
        };
        match bad {
            Some(bad) => bad.verdict,
            None if self.is_sufficient() && self.doubt().is_none() => Verdict::Healthy,
            None => Verdict::Undecided,
        }
    }

    /// What has come within a span; `None` if nothing is known from before.
    fn within(&self, now: Micros, span: Micros) -> Option<impl Iterator<Item = RouteSample> + '_> {
        let (_, earlier) = self.snapshots.iter().rfind(|(at, _)| at + span <= now)?;
        Some(self.totals.values().map(|total| {
            let earlier = earlier.get(&total.route).copied().unwrap_or_default();
            let stable = total.stable.since(&earlier.stable);
            let target = total.target.since(&earlier.target);
            RouteSample { stable, target, ..*total }
        }))
    }

    /// Compares what the new version did lately with what the others did since the order.
    fn worst_since_before(&self, now: Micros) -> Option<Difference> {
        let [span, _] = SPANS;
        let samples = self.within(now, span)?.map(|sample| {
            let stable = self.totals.get(&sample.route).map_or(sample.stable, |total| total.stable);
            RouteSample { stable, ..sample }
        });
        worst_of(samples, |sample| fails_more(sample, &LATER_ALARM))
    }

    /// What hints that the new version is worse, since the order, though it may be chance.
    pub fn doubt(&self) -> Option<Difference> {
        worst_of(self.totals.values().copied(), |sample| compare(sample, &CLEARANCE))
    }

    /// Whether enough is known of each route that has a part of the requests.
    fn is_sufficient(&self) -> bool {
        let attempts =
            |sample: &RouteSample| f64::from(sample.stable.attempts) + f64::from(sample.target.attempts);
        let all: f64 = self.totals.values().map(attempts).sum();
        let counts = |sample: &&RouteSample| attempts(sample) >= all * ROUTE_SHARE;
        let has_enough = |sample: &RouteSample| sample.target.attempts >= ROUTE_ATTEMPTS;
        self.target_attempts() >= HEALTHY_ATTEMPTS && self.totals.values().filter(counts).all(has_enough)
    }
}

/// The difference with the most bad attempts, on any route or on all together.
fn worst_of(
    samples: impl Iterator<Item = RouteSample>,
    compare: impl Fn(&RouteSample) -> Option<Difference>,
) -> Option<Difference> {
    let mut together = RouteSample::default();
    let mut differences = Vec::new();
    for sample in samples {
        together.target_class = together.target_class.max(sample.target_class);
        together.stable.add(&sample.stable);
        together.target.add(&sample.target);
        differences.extend(compare(&sample));
    }
    differences.extend(compare(&together));
    larger(differences)
}

fn larger(differences: impl IntoIterator<Item = Difference>) -> Option<Difference> {
    differences.into_iter().max_by(|one, other| one.bad_attempts.total_cmp(&other.bad_attempts))
}

/// How the new version is worse than the others, if it is.
fn compare(sample: &RouteSample, limits: &Limits) -> Option<Difference> {
    fails_more(sample, limits).or_else(|| is_slower(sample, limits))
}

/// Whether more of the new version's attempts fail.
fn fails_more(RouteSample { stable, target, .. }: &RouteSample, limits: &Limits) -> Option<Difference> {
    let failed =
        |sample: &VersionSample| Proportion { bad: sample.failures.into(), all: sample.attempts.into() };
    let excess = excess(failed(target), failed(stable), limits.failure_tolerance, limits);
    excess.map(|bad_attempts| Difference { verdict: Verdict::Failing, bad_attempts })
}

/// Whether more of the new version's attempts take longer than some latency that matters.
fn is_slower(sample: &RouteSample, limits: &Limits) -> Option<Difference> {
    let RouteSample { stable, target, target_class, .. } = sample;
    if u64::from(stable.attempts) < MIN_ATTEMPTS {
        return None;
    }
    let above = |sample: &VersionSample, class| Proportion {
        bad: count_from(sample, class),
        all: sample.attempts.into(),
    };
    let first = usize::from(*target_class).saturating_sub(CLASSES_BELOW_TARGET).max(1);
    let slower =
        |class| excess(above(target, class), above(stable, class), limits.slowness_tolerance, limits);
    let differences = (first..LATENCY_CLASSES).filter_map(slower);
    larger(differences.map(|bad_attempts| Difference { verdict: Verdict::Slow, bad_attempts }))
}

/// The attempts in a class of latency and those above it.
fn count_from(sample: &VersionSample, class: usize) -> u64 {
    sample.latencies[class..].iter().copied().map(u64::from).sum()
}

/// A part of attempts.
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

/// How many bad attempts a proportion has beyond another one, if it exceeds that by more than a tolerance and chance.
fn excess(target: Proportion, stable: Proportion, tolerance: f64, limits: &Limits) -> Option<f64> {
    if target.all < MIN_ATTEMPTS || target.bad < limits.min_bad_attempts {
        return None;
    }
    let pooled = Proportion { bad: target.bad + stable.bad, all: target.all + stable.all }.ratio();
    let spread = 1.0 / target.all as f64 + 1.0 / stable.all.max(1) as f64;
    let deviation = (pooled * (1.0 - pooled).max(0.0) * spread).sqrt();
    let difference = target.ratio() - stable.ratio();
    (difference > tolerance + limits.deviations * deviation).then_some(difference * target.all as f64)
}
