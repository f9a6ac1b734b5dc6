//! When a rollout goes on, and when it is reverted: a state machine without clock or messages, at the registry that has the duty
//! for the service.
//!
//! It decides on the item that the stores have committed, and proposes the next stage for it. A registry that has acted before and
//! does not know that another has the duty now proposes for a revision that is no longer there, which the stores reject.

use std::collections::BTreeMap;

use pinerelay_config_state::rollout::{Rollout, Stage};
use pinerelay_config_state::routing_table::RolloutInForce;

use crate::evidence::{Comparison, Evidence, Verdict};
use crate::report::{RolloutPermit, RolloutReport};
use crate::Micros;

/// How long a permit is valid at most. A proxy that has no other by then sends nothing to the new version.
const MAX_PERMIT_DURATION: Micros = 1_000_000;
/// The part of the time for a stop for which a permit is valid: most of it goes to finding that the version is bad.
const PERMIT_PART: f64 = 0.25;
/// How often proxies report.
pub const REPORT_INTERVAL: Micros = 300_000;
/// The part of the operator's bounds on exposure that a canary uses; the ramp uses no more than the rest.
const CANARY_PART_OF_EXPOSURE: f64 = 0.6;
/// The part of the requests in each step of the ramp, in thousandths.
const RAMP_SHARES: [u16; 2] = [250, 500];
/// The part of the time to the deadline for which the new version has to be healthy as a canary.
const CANARY_PART: f64 = 0.3;
/// The part of the time to the deadline that a step of the ramp takes, for each part of the requests that the new version may get.
const RAMP_STEP_PART: f64 = 0.6;
/// A step of the ramp takes no less.
const MIN_RAMP_STEP: Micros = 800_000;
/// After this part of the time a version that has not been shown to be healthy is reverted.
const DECISION_PART: f64 = 0.92;
/// Doubt about a version for so long, with so many bad attempts, is enough to give it up: with twice as many, which is where the
/// operator's bound for the stop begins, a difference may still be explained by chance.
const DOUBT_PERIOD: Micros = 1_000_000;
/// See [`DOUBT_PERIOD`].
const DOUBTFUL_ATTEMPTS: f64 = 25.0;
/// A proposal that has had no effect by then is made again.
const PROPOSAL_INTERVAL: Micros = 400_000;
/// A proxy that has been missing for so long is not waited for: it knows no server by then, or has ended.
const MISSING_PROXY_TIMEOUT: Micros = 6_000_000;
/// Canary requests wait until this part of the new version's servers is past its slow start.
const WARM_PART: f64 = 0.8;
/// The new version has to have so many servers, as a part of those of the others, before it gets all requests.
const CAPACITY_PART: f64 = 0.6;
/// With fewer of its servers left, as a part of the most that there were, the new version is given up.
const LEFT_PART: f64 = 0.5;
/// New servers that come later than this after the first are not waited for.
const WARM_TIMEOUT: Micros = 6_000_000;

/// The operator's bounds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RolloutBounds {
    /// The share of the requests between order and deadline that a bad version may get.
    pub exposure_share: f64,
    /// The number of requests that it may get on top.
    pub exposure_margin: f64,
    /// The time after its fiftieth bad answer from which on it may get nothing.
    pub rollback: Micros,
}

impl Default for RolloutBounds {
    fn default() -> RolloutBounds {
        RolloutBounds { exposure_share: 0.1, exposure_margin: 50.0, rollback: 5_000_000 }
    }
}

/// What the registry knows besides the reports.
#[derive(Debug, Clone, Default)]
pub struct Surroundings {
    /// The servers of the new version that are ready.
    pub target_servers: usize,
    /// Those of them that are past their slow start.
    pub warm_target_servers: usize,
    /// The servers of the other versions that are ready.
    pub stable_servers: usize,
    /// The proxies that are linked to this registry, with their processes.
    pub linked_proxies: BTreeMap<String, u64>,
    /// The proxies that are not heard any more, and since when.
    pub missing_proxies: BTreeMap<String, Micros>,
    /// The number of proxies, as far as any registry knows.
    pub total_proxies: usize,
}

/// What a proxy has reported last.
#[derive(Debug, Clone, Copy, Default)]
struct ProxyState {
    process_id: u64,
    /// The revision of the item that is in force there.
    in_force: u64,
    has_drained: bool,
}

/// One rollout, as a registry follows it.
#[derive(Debug, Clone)]
pub struct Decider {
    bounds: RolloutBounds,
    order: u64,
    /// When this registry learned of the order.
    known_since: Micros,
    /// How old the order was then.
    age_when_known: Micros,
    evidence: Evidence,
    proxies: BTreeMap<String, ProxyState>,
    /// The most servers of the new version that were ready.
    most_target_servers: usize,
    /// When the first server of the new version was seen.
    target_since: Option<Micros>,
    /// Since when the new version has had requests, as far as any proxy knows.
    exposed_since: Option<Micros>,
    /// The step of the ramp, and when it began.
    ramp_step: Option<(usize, Micros)>,
    /// Since when there has been doubt about the new version.
    doubt_since: Option<Micros>,
    /// Whether the new version was found to be worse: nothing is permitted any more.
    verdict: Verdict,
    proposed_at: Option<Micros>,
}

impl Decider {
    /// Follows the rollout of an item. `time_of_day_ms` is the time of day.
    pub fn new(now: Micros, time_of_day_ms: u64, bounds: RolloutBounds, rollout: &Rollout) -> Decider {
        // A clock that has been set may make it any age. At most it is over.
        let age_ms = time_of_day_ms.saturating_sub(rollout.ordered_at_ms).min(rollout.deadline_ms);
        Decider {
            bounds,
            order: rollout.order,
            known_since: now,
            age_when_known: age_ms.saturating_mul(1_000),
            evidence: Evidence::default(),
            proxies: BTreeMap::new(),
            most_target_servers: 0,
            target_since: None,
            exposed_since: None,
            ramp_step: None,
            doubt_since: None,
            verdict: Verdict::Undecided,
            proposed_at: None,
        }
    }

    /// The order that it follows.
    pub fn order(&self) -> u64 {
        self.order
    }

    /// What all proxies have reported.
    pub fn evidence(&self) -> &Evidence {
        &self.evidence
    }

    /// A proxy has reported.
    pub fn report(&mut self, now: Micros, node: &str, process_id: u64, report: &RolloutReport) {
        if report.exposed_for > 0 {
            let since = now.saturating_sub(report.exposed_for);
            self.exposed_since = Some(self.exposed_since.map_or(since, |earlier| earlier.min(since)));
        }
        self.evidence.report(node, process_id, report);
        let RolloutReport { in_force, has_drained, .. } = *report;
        let state = ProxyState { process_id, in_force, has_drained };
        self.proxies.insert(node.into(), state);
    }

    /// A proxy's process has ended: what it confirmed does not hold for the next one.
    pub fn proxy_ended(&mut self, node: &str) {
        self.proxies.remove(node);
    }

    /// Time has passed. Returns the stage that the rollout should go on to, if that is another one.
    pub fn tick(&mut self, now: Micros, item: &RolloutInForce, around: &Surroundings) -> Option<Stage> {
        self.evidence.tick(now);
        if around.target_servers > 0 {
            self.target_since.get_or_insert(now);
        }
        self.most_target_servers = self.most_target_servers.max(around.target_servers);
        if !self.verdict.is_bad() {
            self.verdict = self.judge(now, item.rollout.stage);
        }
        let next = self.next_stage(now, item, around)?;
        let is_repeated = self.proposed_at.is_some_and(|at| now < at + PROPOSAL_INTERVAL);
        if is_repeated {
            return None;
        }
        self.proposed_at = Some(now);
        Some(next)
    }

    /// How the new version compares with the others now.
    fn judge(&mut self, now: Micros, stage: Stage) -> Verdict {
        if stage == Stage::Cutover {
            return self.evidence.verdict(now, Comparison::WithBefore);
        }
        let verdict = self.evidence.verdict(now, Comparison::AtTheSameTime);
        let doubt = self.evidence.doubt().filter(|doubt| doubt.bad_attempts >= DOUBTFUL_ATTEMPTS);
        let Some(doubt) = doubt else {
            self.doubt_since = None;
            return verdict;
        };
        let since = *self.doubt_since.get_or_insert(now);
        let is_long = now >= since.saturating_add(DOUBT_PERIOD);
        if is_long && !verdict.is_bad() {
            return doubt.verdict;
        }
        verdict
    }

    /// The stages of the item have changed.
    pub fn stage_changed(&mut self) {
        self.proposed_at = None;
    }

    fn next_stage(&mut self, now: Micros, item: &RolloutInForce, around: &Surroundings) -> Option<Stage> {
        let rollout = &item.rollout;
        if !rollout.stage.is_under_way() {
            return None;
        }
        if self.verdict.is_bad() || self.has_lost_servers(around) {
            return Some(Stage::Reverted);
        }
        match rollout.stage {
            Stage::Canary if self.has_been_healthy(now, rollout) => Some(Stage::Ramp),
            Stage::Canary => self.is_out_of_time(now, rollout).then_some(Stage::Reverted),
            Stage::Ramp => self.ramp(now, rollout, around),
            _ => self.all_have_drained(now, item, around).then_some(Stage::Finished),
        }
    }

    /// Whether most of the new version's servers have gone.
    fn has_lost_servers(&self, around: &Surroundings) -> bool {
        (around.target_servers as f64) < self.most_target_servers as f64 * LEFT_PART
    }

    fn has_been_healthy(&self, now: Micros, rollout: &Rollout) -> bool {
        let needed = part_of_deadline(rollout, CANARY_PART);
        let is_long = self.exposed_since.is_some_and(|since| now >= since.saturating_add(needed));
        is_long && self.verdict == Verdict::Healthy
    }

    fn is_out_of_time(&self, now: Micros, rollout: &Rollout) -> bool {
        self.age(now) >= part_of_deadline(rollout, DECISION_PART)
    }

    /// How long ago the order was accepted.
    fn age(&self, now: Micros) -> Micros {
        self.age_when_known.saturating_add(now.saturating_sub(self.known_since))
    }

    /// Goes on with the ramp. A registry that takes the duty over begins it anew.
    fn ramp(&mut self, now: Micros, rollout: &Rollout, around: &Surroundings) -> Option<Stage> {
        let part = RAMP_STEP_PART * self.bounds.exposure_share;
        let duration = part_of_deadline(rollout, part).max(MIN_RAMP_STEP);
        let (step, since) = *self.ramp_step.get_or_insert((0, now));
        if now < since.saturating_add(duration) {
            return None;
        }
        let is_last = step + 1 == RAMP_SHARES.len();
        let has_capacity = around.target_servers as f64 >= around.stable_servers as f64 * CAPACITY_PART;
        if self.verdict != Verdict::Healthy || is_last && !has_capacity {
            return self.is_out_of_time(now, rollout).then_some(Stage::Reverted);
        }
        if is_last {
            return Some(Stage::Cutover);
        }
        self.ramp_step = Some((step + 1, now));
        None
    }

    /// Whether no proxy can send to the other versions any more, and none has a request open there.
    fn all_have_drained(&self, now: Micros, item: &RolloutInForce, around: &Surroundings) -> bool {
        let has_drained = |state: &ProxyState| state.in_force >= item.revision && state.has_drained;
        let is_done = |(node, process_id): (&String, &u64)| {
            let state = self.proxies.get(node).filter(|state| state.process_id == *process_id);
            state.is_some_and(has_drained)
        };
        let is_given_up = |since: &Micros| now >= since + MISSING_PROXY_TIMEOUT;
        let missing_is_done = |(node, since): (&String, &Micros)| {
            is_given_up(since) || self.proxies.get(node).is_some_and(has_drained)
        };
        let known = around.linked_proxies.len() + around.missing_proxies.len();
        known >= around.total_proxies
            && around.linked_proxies.iter().all(is_done)
            && around.missing_proxies.iter().all(missing_is_done)
    }

    /// The permit for a proxy that has reported; `None` if nothing is permitted now.
    pub fn permit(
        &self,
        now: Micros,
        rollout: &Rollout,
        around: &Surroundings,
        report: &RolloutReport,
    ) -> Option<RolloutPermit> {
        if self.verdict.is_bad() || !self.is_warm(now, around) {
            return None;
        }
        let (share_permille, is_cumulative) = match (rollout.stage, self.ramp_step) {
            (Stage::Canary, _) if !self.is_out_of_time(now, rollout) => (self.canary_share(), true),
            (Stage::Ramp, Some((step, _))) => (RAMP_SHARES[step], false),
            _ => return None,
        };
        Some(RolloutPermit {
            service: report.service.clone(),
            order: report.order,
            sent_at: report.sent_at,
            duration: self.permit_duration(),
            share_permille,
            margin: (self.bounds.exposure_margin * CANARY_PART_OF_EXPOSURE) as u32,
            is_cumulative,
        })
    }

    /// The part of all requests since the order that a canary gets, in thousandths.
    fn canary_share(&self) -> u16 {
        (self.bounds.exposure_share * CANARY_PART_OF_EXPOSURE * 1_000.0) as u16
    }

    fn permit_duration(&self) -> Micros {
        let part = (self.bounds.rollback as f64 * PERMIT_PART) as Micros;
        part.min(MAX_PERMIT_DURATION)
    }

    /// Whether the new version's servers are past their slow start, in which they would look slow.
    fn is_warm(&self, now: Micros, around: &Surroundings) -> bool {
        let expected = around.target_servers.max(around.stable_servers) as f64;
        let has_waited = self.target_since.is_some_and(|since| now >= since + WARM_TIMEOUT);
        let is_most = around.warm_target_servers as f64 >= expected * WARM_PART;
        around.warm_target_servers > 0 && (is_most || has_waited)
    }

    /// Whether the new version was found to be worse, and how.
    pub fn verdict(&self) -> Verdict {
        self.verdict
    }
}

fn part_of_deadline(rollout: &Rollout, part: f64) -> Micros {
    (rollout.deadline_ms as f64 * 1_000.0 * part) as Micros
}
